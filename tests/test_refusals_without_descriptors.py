"""Tests of the last refusals of an entry that has no descriptor left."""

import errno

import curio
import pytest

from tests.stopping_entries import make_relay_entry as make_entry
from tests.test_http_server import GOOD, echo
from tests.test_server_close import connect, read_all
from tests.virtual_sockets import StandIn, run_with_virtual_sockets
from wagtailrun.adapters.http_server import HttpServer, Response
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.ports.link import Address
from wagtailrun.stopping.running_requests import EntryEnds

# Time that refusals have before the platform kills the process.
MARGIN_MS = 500


@pytest.fixture
def shortage(monkeypatch):
    """Return a set; while it is not empty, no connection can be accepted."""
    reasons = set()
    accept = StandIn.accept

    def accept_unless_short(sock):
        if reasons:
            raise OSError(errno.EMFILE, "Too many open files")
        return accept(sock)

    monkeypatch.setattr(StandIn, "accept", accept_unless_short)
    return reasons


def run_stop(grace_s, stop_signal, shortage, ends_with_refusal):
    """Stop an entry without descriptors that has a request at a silent target.

    Returns:
        Its answer and that of a request whose connection is in the queue of the kernel,
        each with the time of its arrival, in milliseconds after the signal.
    """
    entry = make_entry(grace_s=grace_s)
    entry.signals.install()

    async def handle(request):
        if request.path == "/queued":
            return await echo(request)
        task = await curio.current_task()
        entry.handler.unanswered_tasks.add(task)
        try:
            await curio.sleep(600)
        except EntryEnds:
            task.cancelled = False
        if ends_with_refusal:
            shortage.clear()
        return Response(502)

    async def main():
        entry.caller_server.handler = handle
        await curio.spawn(entry.caller_server.serve, daemon=True)
        stopping = await curio.spawn(entry._stop_on_signal)
        address = entry.settings.caller_address
        await curio.sleep(0.2)
        silent = await connect(address, GOOD)
        await curio.sleep(0.05)
        shortage.add("no descriptor is free")
        queued = await connect(address, GOOD.replace(b"/x", b"/queued"))
        started_ms = entry.clock.now_ms()
        stop_signal()
        answers = []
        for sock in (silent, queued):
            try:
                answer = await sock.recv(65_536)
            except OSError as error:
                answer = repr(error).encode()
            answers.append((answer[:12], entry.clock.now_ms() - started_ms))
        await stopping.join()
        return answers

    return run_with_virtual_sockets(main)


@pytest.mark.parametrize("grace_s", [2, 4, 8])
def test_shortage_of_descriptors_does_not_delay_the_last_refusals(
    grace_s, stop_signal, shortage
):
    """Guards against refusals that come after the platform has killed the process.

    The stop waited a second for a free descriptor before it went on.
    """
    (refused, refused_ms), _ = run_stop(grace_s, stop_signal, shortage, False)
    assert refused == b"HTTP/1.1 502"
    assert refused_ms <= grace_s * MS_PER_SECOND - MARGIN_MS


@pytest.mark.parametrize("grace_s", [2, 4, 8])
def test_connection_in_the_queue_is_answered_when_the_refusals_free_descriptors(
    grace_s, stop_signal, shortage
):
    """Guards against queued requests that are reset before the last refusals.

    Each of these ends a connection, so that there are descriptors afterwards.
    """
    _, (answer, answered_ms) = run_stop(grace_s, stop_signal, shortage, True)
    assert answer == b"HTTP/1.1 200"
    assert answered_ms < grace_s * MS_PER_SECOND


def test_close_keeps_its_limit_without_descriptors(shortage):
    """Guards against a close that waits for descriptors longer than it may last."""
    limit_ms = 300

    async def main():
        server = HttpServer(Address("127.0.0.1", 80), echo)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        shortage.add("no descriptor is free")
        queued = await connect(server.address, GOOD)
        started_s = await curio.clock()
        await server.close(limit_ms)
        took_s = await curio.clock() - started_s
        try:
            return await read_all(queued), took_s * MS_PER_SECOND
        except OSError:
            return b"", took_s * MS_PER_SECOND

    answer, took_ms = run_with_virtual_sockets(main)
    assert answer == b""
    assert round(took_ms) <= limit_ms
