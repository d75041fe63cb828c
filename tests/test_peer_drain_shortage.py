"""Tests of the drain of a peer server beside connections that were not accepted."""

import errno

import curio
import pytest

from tests.virtual_sockets import StandIn, run_with_virtual_sockets
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.messages import Ping, Pong
from wagtailrun.ports.link import Address

SECRET = b"a shared secret of the tests"
ADDRESS = Address("127.0.0.1", 80)
TIMEOUT_MS = 2_000
LIMIT_MS = 1_000


async def pong(message):
    return Pong("p")


@pytest.fixture
def server():
    return PeerServer(ADDRESS, SECRET, pong)


@pytest.fixture
def shortage(monkeypatch, server):
    """Return a set; while it is not empty, peers hold the only descriptor."""
    reasons = set()
    accept = StandIn.accept

    def accept_unless_short(sock):
        if reasons and server.connections:
            raise OSError(errno.EMFILE, "Too many open files")
        return accept(sock)

    monkeypatch.setattr(StandIn, "accept", accept_unless_short)
    return reasons


@pytest.mark.parametrize("is_queued", [False, True])
def test_idle_peers_end_although_no_connection_can_be_accepted(
    server, shortage, is_queued
):
    """Guards against a drain that waits for the descriptors which it holds itself.

    It used up the time for the last reports of the process.
    """

    async def main():
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        await TcpPeerLink(SECRET).call(ADDRESS, Ping("q"), TIMEOUT_MS)
        shortage.add("no descriptor is free")
        replies = []

        async def call():
            link = TcpPeerLink(SECRET)
            replies.append(await link.call(ADDRESS, Ping("r"), TIMEOUT_MS))

        if is_queued:
            await curio.spawn(call, daemon=True)
            await curio.sleep(0.02)
        started_s = await curio.clock()
        await server.drain(LIMIT_MS)
        took_ms = (await curio.clock() - started_s) * MS_PER_SECOND
        assert not server.connections
        assert len(replies) == is_queued
        return server.listener.is_closed, took_ms

    is_closed, took_ms = run_with_virtual_sockets(main)
    assert is_closed
    assert took_ms < LIMIT_MS


def test_peer_in_the_queue_is_answered_by_a_drain(server):
    """Guards against a drain that ends before it serves what it has accepted."""

    async def main():
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        link = TcpPeerLink(SECRET)
        calling = await curio.spawn(link.call, ADDRESS, Ping("q"), TIMEOUT_MS)
        # The peer has connected; the server had no turn since.
        while not calling.cycles:
            await curio.sleep(0)
        await server.drain(LIMIT_MS)
        assert calling.terminated
        return await calling.join()

    assert run_with_virtual_sockets(main) == Pong("p")
