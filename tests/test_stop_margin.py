"""Tests of the time that a stop leaves between its last refusals and the kill."""

import curio
import pytest

from tests.test_http_server import GOOD
from tests.test_relay_stop import make_entry
from tests.test_server_close import connect
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.stopping.running_requests import EntryEnds
from wagtailrun.virtual_time import VirtualClock

# What a clock that runs slow by a tenth shows of a second.
SLOW_CLOCK_RATE = 0.9
REQUESTS = {"whole": GOOD, "half": GOOD[:-1]}


def run_stop(grace_s, stop_signal, data, held_at_s=None, held_s=0):
    """Return when the refusal of a request arrives, in ms after the signal.

    Args:
        grace_s: Grace period, in seconds.
        stop_signal: Sends the signal.
        data: Bytes that the caller sends; a whole request is at a silent target.
        held_at_s: When the loop is held, in seconds after the signal.
        held_s: For how long, in seconds.
    """
    clock = VirtualClock()
    entry = make_entry(grace_s=grace_s)
    entry.signals.install()

    async def handle(request):
        task = await curio.current_task()
        entry.handler.unanswered_tasks.add(task)
        try:
            await curio.sleep(600)
        except EntryEnds:
            task.cancelled = False
        return Response(503)

    async def main():
        entry.caller_server.handler = handle
        await curio.spawn(entry.caller_server.serve, daemon=True)
        stopping = await curio.spawn(entry._stop_on_signal)
        await curio.sleep(0.2)
        sock = await connect(entry.settings.caller_address, data)
        await curio.sleep(0.05)
        started_ms = clock.now_ms()

        async def answered_ms():
            answer = await sock.recv(65_536)
            assert answer.startswith(b"HTTP/1.1 503")
            return clock.now_ms() - started_ms

        reader = await curio.spawn(answered_ms)
        stop_signal()
        if held_at_s is not None:
            await curio.sleep(held_at_s)
            clock.seconds += held_s
        took_ms = await reader.join()
        await stopping.cancel()
        return took_ms

    return run_with_virtual_sockets(main, clock)


@pytest.mark.parametrize("data", REQUESTS.values(), ids=REQUESTS)
@pytest.mark.parametrize("grace_s", [0.8, 2, 4, 8, 30])
def test_refusals_come_in_time_by_a_slow_clock(grace_s, data, stop_signal):
    """Guards against requests that the kill leaves without an answer (LOST).

    The platform counts the grace period by its own clock.
    """
    kill_ms = grace_s * MS_PER_SECOND * SLOW_CLOCK_RATE
    assert run_stop(grace_s, stop_signal, data) < kill_ms


@pytest.mark.parametrize("data", REQUESTS.values(), ids=REQUESTS)
@pytest.mark.parametrize("held_s", [0.3, 0.6, 0.9])
@pytest.mark.parametrize("held_at_s", [6.95, 7.35])
def test_refusals_come_in_time_after_the_loop_was_held(
    held_at_s, held_s, data, stop_signal
):
    """Guards against requests that the kill leaves without an answer (LOST).

    The loop is held, or the process stands still, as the refusals are due.
    """
    answered_ms = run_stop(8, stop_signal, data, held_at_s, held_s)
    assert answered_ms < 8 * MS_PER_SECOND


def test_stream_that_has_begun_keeps_its_time(stop_signal):
    """Guards against streams that end sooner since the refusals come sooner."""
    entry = make_entry(grace_s=8)
    entry.signals.install()

    async def pieces():
        yield b"x"
        await curio.sleep(7.5)
        yield b"y"

    async def handle(request):
        return Response(200, pieces())

    async def main():
        entry.caller_server.handler = handle
        await curio.spawn(entry.caller_server.serve, daemon=True)
        stopping = await curio.spawn(entry._stop_on_signal)
        await curio.sleep(0.2)
        sock = await connect(entry.settings.caller_address, GOOD)
        await curio.sleep(0.05)
        stop_signal()
        received = b""
        while not received.endswith(b"0\r\n\r\n"):
            piece = await sock.recv(65_536)
            assert piece
            received += piece
        await stopping.join()
        return received

    assert b"y" in run_with_virtual_sockets(main)
