"""Tests of connections that wait for a descriptor as their process ends."""

import errno
import weakref

import curio
import pytest

from tests.held_loop import HeldLoop
from tests.stopping_entries import make_product_entry, make_relay_entry
from tests.test_http_server import GOOD, echo
from tests.test_server_close import connect, read_all
from tests.virtual_sockets import StandIn, run_with_virtual_sockets
from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.logs import events
from wagtailrun.ports.link import Address

ROOM = 6
# More than can be accepted and refused one after another before the process ends.
OCCUPANTS = 60
REQUESTS = 10
ADDRESS = Address("127.0.0.1", 80)
LIMIT_MS = 400
# When the requests are sent, before the listener would close.
BEFORE_END_MS = 100


@pytest.fixture(autouse=True)
def few_descriptors(monkeypatch):
    """Let a process have ``ROOM`` accepted connections at a time."""
    accepted = weakref.WeakSet()
    accept = StandIn.accept

    def accept_if_room(sock):
        if sum(each.fileno() >= 0 for each in accepted) >= ROOM:
            raise OSError(errno.EMFILE, "Too many open files")
        client, peer = accept(sock)
        accepted.add(client)
        return client, peer

    monkeypatch.setattr(StandIn, "accept", accept_if_room)


async def occupy(address):
    """Hold a connection without a request, and the next one when it ends."""
    while True:
        try:
            sock = await connect(address)
            await read_all(sock)
            await sock.close()
        except OSError:
            return


async def answer_of(address):
    try:
        return (await read_all(await connect(address, GOOD)))[:12]
    except OSError as error:
        return repr(error)


async def call(address):
    """Return the answers to some requests on new connections."""
    tasks = [await curio.spawn(answer_of, address) for _ in range(REQUESTS)]
    return {await task.join() for task in tasks}


@pytest.mark.parametrize("grace_s", [2, 4, 8])
def test_requests_that_wait_for_a_descriptor_are_answered_in_a_stop(
    grace_s, stop_signal, logged
):
    """Guards against requests that are reset in the queue of an entry that ends.

    Connections without a request kept its descriptors up to the end. A line tells how
    many waited.
    """
    entry = make_relay_entry(grace_s=grace_s)
    entry.signals.install()

    async def main():
        entry.caller_server.handler = echo
        await curio.spawn(entry.caller_server.serve, daemon=True)
        stopping = await curio.spawn(entry._stop_on_signal)
        await curio.sleep(0.2)
        stop_signal()
        while entry.handler.stop is None:
            await curio.sleep(0.01)
        stop = entry.handler.stop
        await entry.clock.sleep_ms(
            stop.notice_ends_ms - 2 * BEFORE_END_MS - entry.clock.now_ms()
        )
        for _ in range(OCCUPANTS):
            await curio.spawn(occupy, entry.settings.caller_address, daemon=True)
        await entry.clock.sleep_ms(
            stop.accepts_end_ms - BEFORE_END_MS - entry.clock.now_ms()
        )
        answers = await call(entry.settings.caller_address)
        await stopping.join()
        return answers

    assert run_with_virtual_sockets(main) == {b"HTTP/1.1 200"}
    (cut,) = [fields for event, fields in logged if event is events.REQUESTS_CUT]
    assert cut["waiting_connections"] >= REQUESTS


async def begin_drain_of_occupied(entry, stop_signal):
    """Begin the drain of a product's entry whose descriptors connections hold."""

    async def hand_over(timeout_ms):
        return None

    entry.caller_server.handler = echo
    entry.accounts.hand_over_all = hand_over
    await curio.spawn(entry.caller_server.serve, daemon=True)
    await curio.sleep(0.05)
    entry.signals.install()
    for _ in range(OCCUPANTS):
        await curio.spawn(occupy, entry.settings.caller_address, daemon=True)
    await curio.sleep(0.05)
    stop_signal()
    return await curio.spawn(entry.planned_stop.run)


@pytest.mark.parametrize("limit_ms", [1_000, 2_000, 8_000])
def test_requests_that_wait_for_a_descriptor_are_answered_by_an_entry_of_the_product(
    limit_ms, stop_signal
):
    """Guards against the same at the product's entry, which closes its server later."""
    entry = make_product_entry(limit_ms)

    async def main():
        stopping = await begin_drain_of_occupied(entry, stop_signal)
        await entry.clock.sleep_ms(BEFORE_END_MS)
        while not entry.caller_server.draining:
            await entry.clock.sleep_ms(BEFORE_END_MS)
        answers = await call(entry.settings.caller_address)
        await stopping.join()
        return answers

    assert run_with_virtual_sockets(main) == {b"HTTP/1.1 200"}


@pytest.mark.parametrize("held_ms", [100, 200, 300, 600])
def test_requests_that_wait_for_a_descriptor_as_a_late_entry_ends(held_ms, stop_signal):
    """Guards against requests that are reset as the time of an entry is over.

    The entry stands still just before it accepts those that wait, past its drain limit.
    """
    entry = make_product_entry(1_000)
    loop = HeldLoop(held_ms=held_ms)

    async def stand_still():
        loop.held_turn = loop.turns + 1
        await curio.sleep(0)

    async def main():
        entry.dispatcher.end = stand_still
        stopping = await begin_drain_of_occupied(entry, stop_signal)
        while not entry.caller_server.draining:
            await entry.clock.sleep_ms(BEFORE_END_MS)
        answers = await call(entry.settings.caller_address)
        await stopping.join()
        return answers

    assert loop.run(main) == {b"HTTP/1.1 200"}


def test_requests_that_wait_for_a_descriptor_are_answered_by_a_close():
    """Guards against a close that waits for requests while it resets others."""

    async def main():
        server = HttpServer(ADDRESS, echo)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        for _ in range(OCCUPANTS):
            await curio.spawn(occupy, ADDRESS, daemon=True)
        await curio.sleep(0.1)
        requests = await curio.spawn(call, ADDRESS)
        await curio.sleep(0.01)
        await server.close(LIMIT_MS)
        return await requests.join()

    assert run_with_virtual_sockets(main) == {b"HTTP/1.1 200"}
