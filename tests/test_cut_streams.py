"""Tests of streams without a length that are cut between or within events."""

import socket

import curio
import pytest

from demo.processes import free_addresses
from tests.test_cut_answers import HEAD, RESET
from tests.test_relay_front import event, run_relay, send
from tests.test_tunnels import get, run_tunnel
from wagtailrun.exceptions import TargetFailed
from wagtailrun.routes import RouteKind
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

# Time in which each part has reached the caller before the next one is sent.
PAUSE_S = 0.03
WHOLE = [event(1), event(2)]
# What a target sends, and whether it is a whole stream if its connection is closed.
STREAMS = {
    "at a boundary": (WHOLE, True),
    "after the first event": (WHOLE[:1], True),
    "without an event": ([], True),
    "in an event": ([event(1), event(2)[:-4]], False),
    "before the empty line": ([event(1), event(2)[:-1]], False),
    "after a comment": ([event(1), b": alive\n\n"], True),
    "in a comment": ([event(1), b": alive\n"], False),
    "within a line ending": ([event(1), event(2)[:-2] + b"\r"], False),
}


def make_target(parts, resets):
    async def handle(sock):
        for part in (HEAD + b"Content-Type: text/event-stream\r\n\r\n", *parts):
            await sock.sendall(part)
            await curio.sleep(PAUSE_S)
        if resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        await sock.close()

    return handle


async def start(handle):
    (address,) = free_addresses(1)

    async def serve(sock, peer):
        await sock.recv(65_536)
        await handle(sock)

    await curio.spawn(curio.tcp_server, address.host, address.port, serve, daemon=True)
    await curio.sleep(0.05)
    return address


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("name", STREAMS)
def test_only_a_stream_that_was_closed_at_an_event_is_whole(name, resets):
    """Guards against a stream that a reset has cut and that looks complete."""
    parts, is_whole = STREAMS[name]

    async def client(address, fleet):
        target = await start(make_target(parts, resets))
        fleet.rows.append(TargetRow("t0", target, "s", "a", 4))
        try:
            reply = await send(address)
        except TargetFailed:
            return None
        return reply.body if reply.status == 200 else None

    body = run_relay(RouteKind.STREAM, [], client, max_attempts=1)
    assert body == (b"".join(parts) if is_whole and not resets else None)


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("name", ["at a boundary", "in an event"])
def test_reset_of_a_carried_stream_is_no_end(name, resets):
    """Guards against an end of a stream that only the carrier has seen as a reset."""
    parts, _ = STREAMS[name]

    async def client(http, row, target, carrier, connector):
        try:
            return (await get(http, row)).body
        except TargetFailed:
            return None

    body = run_tunnel(make_target(parts, resets), client)
    assert body == (None if resets else b"".join(parts))
