"""Tests of a server that is closed while another close of it is in progress."""

import errno

import curio

from tests.test_http_server import GOOD, echo
from tests.test_server_close import connect, read_all
from tests.virtual_sockets import StandIn, run_with_virtual_sockets
from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.ports.link import Address


def test_two_closes_at_the_same_time_without_descriptors(monkeypatch):
    """Guards against a close that fails as another one closed the listener."""
    reasons = {"no descriptor is free"}
    accept = StandIn.accept

    def accept_unless_short(sock):
        if reasons:
            raise OSError(errno.EMFILE, "Too many open files")
        return accept(sock)

    async def main():
        server = HttpServer(Address("127.0.0.1", 80), echo)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        monkeypatch.setattr(StandIn, "accept", accept_unless_short)
        queued = await connect(server.address, GOOD)
        closes = []
        for limit_ms in (1_000, 600):
            closes.append(await curio.spawn(server.close, limit_ms))
            await curio.sleep(0.2)
        reasons.clear()
        for close in closes:
            await close.join()
        return await read_all(queued)

    assert run_with_virtual_sockets(main).startswith(b"HTTP/1.1 200")
