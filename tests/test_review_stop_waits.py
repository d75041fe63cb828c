"""Tests of the review of a planned stop: what a connection without a request delays."""

import curio
import pytest

from demo.processes import free_addresses
from tests.test_http_server import GOOD, echo, with_server
from tests.test_relay_stop import make_entry
from tests.test_server_close import connect, read_all
from wagtailrun.adapters.http_server import Response
from wagtailrun.entry import Entry
from wagtailrun.relay.front import StopPlan
from wagtailrun.settings import EntrySettings

pytestmark = pytest.mark.network

DRAIN_LIMIT_MS = 4_000


def test_connection_without_a_request_does_not_delay_the_hand_over():
    """Guards against accounts that are handed over only after the drain limit."""
    caller, target, peer, control = free_addresses(4)
    entry = Entry(
        EntrySettings(
            name="e",
            data_centre="a",
            caller_address=caller,
            target_address=target,
            peer_address=peer,
            peer_secret=b"secret-of-this-test",
            entry_peers=(),
            control_peers=(control,),
            drain_notice_ms=0,
            drain_limit_ms=DRAIN_LIMIT_MS,
        )
    )
    handed_over_ms = []

    async def hand_over(timeout_ms):
        handed_over_ms.append(entry.clock.now_ms())

    async def main():
        entry.caller_server.handler = echo
        entry.accounts.hand_over_all = hand_over
        await curio.spawn(entry.caller_server.serve, daemon=True)
        await curio.sleep(0.05)
        sock = await connect(caller)
        await curio.sleep(0.05)
        started_ms = entry.clock.now_ms()
        await entry._drain()
        await sock.close()
        return handed_over_ms[0] - started_ms

    # A second is what the relay entry gives to requests on their way.
    assert curio.run(main) < 1_500


def run_finishing(client, handler, plan_ms):
    """Run ``_finish_requests`` beside a client."""
    entry = make_entry(grace_s=8)
    entry.caller_server.handler = handler

    async def main():
        now_ms = entry.clock.now_ms()
        entry.signals.handled_ms = entry.signals.polled_ms = now_ms - 6_800
        await curio.spawn(entry.caller_server.serve, daemon=True)
        await curio.sleep(0.05)
        return await client(entry)

    return curio.run(main)


@pytest.mark.parametrize("pause_s", [0.08, 0.15])
@pytest.mark.parametrize("late", [False, True])
def test_request_that_follows_a_stream_in_a_stop_is_answered(late, pause_s):
    """Guards against a connection that closes as its next request is on its way.

    The head of its last answer was sent before the stop and announced no close.
    """

    async def pieces():
        yield b"x"
        await curio.sleep(0.4)

    async def handler(request):
        if request.path == "/stream":
            return Response(200, pieces())
        return await echo(request)

    async def client(entry):
        server = entry.caller_server
        sock = await connect(server.address, GOOD.replace(b"/x", b"/stream"))
        received = await sock.recv(65_536)
        assert b"lose" not in received
        await server.drain()
        now_ms = entry.clock.now_ms()
        accepts_end_ms = now_ms if late else now_ms + 800
        stop = StopPlan(now_ms, now_ms + 1_200, accepts_end_ms)
        entry.handler.stop = stop
        stopping = await curio.spawn(entry._finish_requests, stop)
        while not received.endswith(b"0\r\n\r\n"):
            received += await sock.recv(65_536)
        await curio.sleep(pause_s)
        try:
            await sock.sendall(GOOD)
            answer = await read_all(sock)
        except OSError as error:
            answer = repr(error).encode()
        await stopping.join()
        return answer

    assert run_finishing(client, handler, 0)[:9] == b"HTTP/1.1 "


@pytest.mark.parametrize("leaves", [False, True])
def test_connection_that_never_sends_a_request_counts_as_no_refusal(leaves):
    """Guards against refusals that are counted though nobody asked for anything."""
    refusals = []

    async def count(refusal):
        refusals.append(refusal)

    async def client(address, server):
        sock = await connect(address)
        await curio.sleep(0.02)
        closing = await curio.spawn(server.close, 150)
        await curio.sleep(0.02)
        if leaves:
            await sock.close()
        await closing.join()

    with_server(echo, client, on_refusal=count)
    assert not refusals
