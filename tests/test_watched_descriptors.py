"""Tests of the descriptors that connections take after a drain has ended them."""

import curio

from tests.test_http_server import GOOD, echo
from tests.test_server_close import connect
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.ports.link import Address


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
