"""Tests of refusals of requests that have not arrived completely."""

import curio
import pytest

from tests.test_http_server import GOOD, echo, with_server
from wagtailrun.adapters.http_server import ServerLimits
from wagtailrun.clock import MS_PER_SECOND, SystemClock

pytestmark = pytest.mark.network

LIMITS = ServerLimits(
    header_bytes=2_000, body_bytes=100_000, header_ms=2_000, idle_ms=2_000
)
LARGE_BODY = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n"
LARGE_HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nX: "


async def exchange(address, *parts):
    """Send the parts with pauses, then return all that is received."""
    sock = await curio.open_connection(address.host, address.port)
    for part in parts:
        await sock.sendall(part)
        await curio.sleep(0.02)
    received = b""
    while piece := await sock.recv(65_536):
        received += piece
    await sock.close()
    return received


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        ((LARGE_BODY, b"x" * 1_000_000, b"x" * 1_000_000), 413),
        ((LARGE_HEAD, b"x" * 500_000, b"x" * 500_000), 431),
        ((LARGE_BODY.replace(b"2000000", b"-1"), b"x" * 1_000_000), 400),
    ],
)
def test_refusal_reaches_a_caller_that_still_sends(parts, status):
    """Guards against a refusal that is lost as its connection is reset.

    A connection that is closed with bytes unread is reset, and the caller then loses
    what it has not read yet. With a lowered limit this hits requests that were proper.
    """

    async def client(address, server):
        return await exchange(address, *parts)

    received = with_server(echo, client, limits=lambda: LIMITS)
    assert received.startswith(b"HTTP/1.1 %d" % status)


def test_refusal_in_a_planned_stop_reaches_a_caller_that_still_sends():
    """Guards against a refusal of a half request that is lost in a planned stop."""

    async def client(address, server):
        async def stop():
            await curio.sleep(0.05)
            await server.drain()
            await server.refuse_incomplete()
            await server.close(500)

        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(LARGE_BODY + b"x" * 1_000)
        task = await curio.spawn(stop)
        await curio.sleep(0.1)
        await sock.sendall(b"x" * 50_000)
        received = await sock.recv(65_536)
        await task.join()
        return received

    limits = ServerLimits(2_000, 3_000_000, 2_000, 2_000)
    received = with_server(echo, client, limits=lambda: limits)
    assert received.startswith(b"HTTP/1.1 503")


def test_caller_that_never_stops_sending_is_cut_off():
    """Guards against a connection that stays open for a caller that sends for ever."""
    clock = SystemClock()

    async def client(address, server):
        started_ms = clock.now_ms()
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(LARGE_BODY)
        try:
            while clock.now_ms() - started_ms < 10 * MS_PER_SECOND:
                await sock.sendall(b"x" * 100_000)
                await curio.sleep(0.01)
        except OSError:
            pass
        await curio.sleep(0.1)
        return clock.now_ms() - started_ms, server.open_connections

    took_ms, left = with_server(echo, client, limits=lambda: LIMITS)
    assert took_ms < 5 * MS_PER_SECOND
    assert left == 0


def test_answer_to_a_request_before_a_bad_one_is_not_lost():
    """Guards against an answer that is lost since other bytes follow its request."""

    async def client(address, server):
        return await exchange(address, GOOD, b"\x00" * 200_000)

    received = with_server(echo, client, limits=lambda: LIMITS)
    assert received.startswith(b"HTTP/1.1 200")
    assert b"HTTP/1.1 4" in received
