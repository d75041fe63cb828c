"""Tests of the descriptors that a drain frees for connections in the queue."""

import errno

import curio
import pytest

from tests.test_http_server import GOOD, echo
from tests.test_server_close import connect, read_all
from tests.virtual_sockets import StandIn, run_with_virtual_sockets
from wagtailrun.adapters import server_state
from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.adapters.idle_connections import DRAIN_REQUEST_WAIT_MS
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.ports.link import Address

IDLE_S = (DRAIN_REQUEST_WAIT_MS + 50) / MS_PER_SECOND


def run_server(client, monkeypatch):
    """Run ``client(server, idle)`` with one kept connection and one descriptor."""

    async def main():
        server = HttpServer(Address("127.0.0.1", 80), echo)
        accept = StandIn.accept

        def accept_one(sock):
            if server.open_connections:
                raise OSError(errno.EMFILE, "Too many open files")
            return accept(sock)

        monkeypatch.setattr(StandIn, "accept", accept_one)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        idle = await connect(server.address, GOOD)
        await idle.recv(65_536)
        await curio.sleep(IDLE_S)
        return await client(server, idle)

    return run_with_virtual_sockets(main)


@pytest.mark.parametrize("limit_ms", [200, 250, 300])
def test_close_accepts_the_queue_with_the_descriptors_of_idle_connections(
    limit_ms, monkeypatch
):
    """Guards against queued requests that are reset as idle connections linger.

    A drain ends idle connections first, as the queue needs their descriptors.
    """

    async def client(server, idle):
        queued = await connect(server.address, GOOD)
        await server.close(limit_ms)
        try:
            return await read_all(queued)
        except OSError as error:
            return repr(error).encode()

    assert run_server(client, monkeypatch).startswith(b"HTTP/1.1 200")


def test_connection_that_its_client_closed_frees_its_descriptor():
    """Guards against a watch of connections on which no request can arrive."""

    async def main():
        server = HttpServer(Address("127.0.0.1", 80), echo)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        sock = await connect(server.address, GOOD)
        await sock.recv(65_536)
        server.closing = server.draining = True
        await sock.close()
        await curio.sleep(0.02)
        return server.open_connections

    assert run_with_virtual_sockets(main) == 0


def test_request_after_a_drain_is_not_refused_for_ended_connections(monkeypatch):
    """Guards against refusals for lack of room that ended connections still take."""
    monkeypatch.setattr(server_state, "MAX_CONNECTIONS", 2)

    async def main():
        server = HttpServer(Address("127.0.0.1", 80), echo)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        idle = [await connect(server.address, GOOD) for _ in range(2)]
        for sock in idle:
            await sock.recv(65_536)
        await curio.sleep(IDLE_S)
        await server.drain()
        await curio.sleep(0.02)
        return await read_all(await connect(server.address, GOOD))

    assert run_with_virtual_sockets(main).startswith(b"HTTP/1.1 200")
