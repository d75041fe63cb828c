"""Tests of what the log tells of connections that a planned stop closes."""

import contextlib
import socket
import struct

import curio
import pytest
from curio.io import Socket

from tests.test_http_server import GOOD, echo, with_server
from tests.test_server_close import connect
from wagtailrun.adapters.closed_connections import WATCH_MS, ClosedConnections
from wagtailrun.adapters.idle_connections import IdleConnection
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events
from wagtailrun.virtual_time import run_virtual

pytestmark = pytest.mark.network

MANY = 40
TCP_CLOSE = 7


def fields_of(logged, event):
    return [fields for each, fields in logged if each is event]


async def kept_connection(address):
    """Return a connection that waits for its second request."""
    sock = await connect(address, GOOD)
    await sock.recv(65_536)
    return sock


async def end_of(sock):
    try:
        return await sock.recv(65_536)
    except OSError as error:
        return type(error)


def run_stop(client):
    """Drain a server beside ``client(sock)``; return its result and the handled."""
    handled = []

    async def handler(request):
        handled.append(request)
        return await echo(request)

    async def main(address, server):
        sock = await kept_connection(address)
        await curio.sleep(0.25)
        await server.drain()
        # The server's task closes the connection in its turn.
        await curio.sleep(0.02)
        result = await client(sock)
        await curio.sleep(2 * WATCH_MS / MS_PER_SECOND)
        return result, len(handled)

    return with_server(handler, main)


def test_log_tells_of_a_request_that_crosses_the_close(logged):
    """Guards against a request of which no line tells that it was never read."""

    async def client(sock):
        await sock.sendall(GOOD)
        return await end_of(sock), await end_of(sock)

    ends, handled = run_stop(client)
    assert ends[0] in (b"", ConnectionResetError)
    assert handled == 1
    (crossed,) = fields_of(logged, events.CLOSE_CROSSED)
    assert crossed["peer"] == "127.0.0.1"
    assert 200 <= crossed["idle_ms"] < 1_000
    assert 0 < crossed["after_ms"] <= WATCH_MS
    (closed,) = fields_of(logged, events.IDLE_CLOSED)
    assert closed["connections"] == closed["crossed"] == 1
    assert closed["min_idle_ms"] == crossed["idle_ms"]


def is_reset(sock):
    """Return whether the other end has reset a connection."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return struct.unpack("B", info)[0] == TCP_CLOSE


@contextlib.contextmanager
def connected_pair():
    """Yield both ends of a TCP connection: the server's and the client's."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
    with server, client:
        yield server, client


async def close_and_send(server, client, late_ms, stops_reading):
    """Close a connection; its client sends a request before, or some time after.

    Returns:
        Whether the client has its reset, once no time has passed since.
    """
    connection = IdleConnection(Socket(server))
    if stops_reading:
        await connection.stop_reading()

    async def close():
        async with connection.sock:
            closed = ClosedConnections("server", lambda: True)
            await closed.close(connection, "client")

    if not late_ms:
        client.sendall(GOOD)
    await curio.spawn(close, daemon=True)
    await curio.sleep(0)
    if late_ms:
        await curio.sleep(late_ms / MS_PER_SECOND)
        client.sendall(GOOD)
    await curio.sleep(0)
    return is_reset(client)


@pytest.mark.parametrize("stops_reading", [False, True])
@pytest.mark.parametrize("late_ms", [0, 1])
def test_request_that_crosses_the_close_is_reset_at_once(late_ms, stops_reading):
    """Guards against a client that sees the close alone for 10 ms or more.

    It could not tell then that its request was not received. In a soak one arrived just
    before the close, and was reset 15 ms after it.
    """
    with connected_pair() as (server, client):
        args = (server, client, late_ms, stops_reading)
        assert run_virtual(lambda clock: close_and_send(*args))


@pytest.mark.parametrize("closes", [False, True])
def test_log_tells_of_no_request_where_the_client_sent_none(closes, logged):
    """Guards against a client's own close that is taken for a request."""

    async def client(sock):
        if closes:
            await sock.close()
            return b""
        return await end_of(sock)

    assert run_stop(client) == (b"", 1)
    assert not fields_of(logged, events.CLOSE_CROSSED)
    (closed,) = fields_of(logged, events.IDLE_CLOSED)
    assert closed["connections"] == 1
    assert closed["crossed"] == 0


def test_close_of_many_connections_is_one_line(logged):
    """Guards against a stop that floods the log."""

    async def main(address, server):
        socks = [await kept_connection(address) for _ in range(MANY)]
        await server.drain()
        await curio.sleep(3 * WATCH_MS / MS_PER_SECOND)
        return [await end_of(sock) for sock in socks]

    assert with_server(echo, main) == [b""] * MANY
    (closed,) = fields_of(logged, events.IDLE_CLOSED)
    assert closed["connections"] == MANY


def test_close_of_many_connections_without_room_is_one_line(logged):
    """Guards against one line for each connection where none can be watched."""

    async def main(address, server):
        socks = [await kept_connection(address) for _ in range(MANY)]
        await curio.sleep(0.25)
        server.overload = lambda: "no descriptors are left"
        await server.drain()
        await curio.sleep(3 * WATCH_MS / MS_PER_SECOND)
        return [await end_of(sock) for sock in socks]

    assert with_server(echo, main) == [b""] * MANY
    (closed,) = fields_of(logged, events.IDLE_CLOSED)
    assert closed["connections"] == MANY


@pytest.mark.parametrize("reason", ["", "no descriptors are left"])
def test_connections_closed_just_before_the_end_are_logged(reason, logged):
    """Guards against a process that ends before it logs what it closed last."""

    async def main(address, server):
        sock = await kept_connection(address)
        await curio.sleep(0.25)
        server.overload = lambda: reason
        await server.drain()
        return await end_of(sock)

    assert with_server(echo, main) == b""
    (closed,) = fields_of(logged, events.IDLE_CLOSED)
    assert closed["connections"] == 1
