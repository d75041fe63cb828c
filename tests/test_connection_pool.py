"""Tests of the pool of idle connections."""

import os
import socket
from contextlib import asynccontextmanager, suppress

import curio
import pytest
from curio.io import Socket

from demo.processes import free_addresses
from tests.stopping_entries import make_relay_entry as make_entry
from wagtailrun.adapters import connection_pool
from wagtailrun.adapters.connection_pool import MAX_IDLE_PER_ADDRESS, ConnectionPool
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.clock import SystemClock
from wagtailrun.ports.link import Address

FIRST = Address("10.1.0.1", 80)
SECOND = Address("10.1.0.2", 80)
SWEEP_MS = 20
ENDED_WITHIN_S = 5
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class IdleConnection:
    """A connection whose other end the test holds."""

    def __init__(self, max_idle_ms=60_000):
        own, self.other_end = socket.socketpair()
        self.sock = Socket(own)
        self.idle_since_ms = 0
        self.max_idle_ms = max_idle_ms
        self.identities = ()

    def is_reusable(self):
        return True

    @property
    def is_open(self):
        return self.sock._socket is not None


async def until_empty(pool):
    """Return when a pool is empty, though nobody uses it."""
    async with curio.timeout_after(ENDED_WITHIN_S):
        while len(pool):
            await curio.sleep(SWEEP_MS / 1_000)


@pytest.fixture(autouse=True)
def fast_sweeps(monkeypatch):
    monkeypatch.setattr(connection_pool, "SWEEP_INTERVAL_MS", SWEEP_MS)


def descriptors():
    """Return what the open descriptors of this process refer to."""
    found = set()
    for name in os.listdir("/proc/self/fd"):
        # The one of the listing itself is closed by now.
        with suppress(FileNotFoundError):
            found.add(os.readlink(f"/proc/self/fd/{name}"))
    return found


@asynccontextmanager
async def server():
    """Serve requests at a free address until the block ends."""
    (address,) = free_addresses(1)

    async def serve(sock, peer):
        while await sock.recv(65_536):
            await sock.sendall(OK)

    task = await curio.spawn(curio.tcp_server, address.host, address.port, serve)
    await curio.sleep(0.02)
    try:
        yield address
    finally:
        await task.cancel()


@pytest.mark.network
def test_connections_end_with_their_servers():
    """Guards against an entry without descriptors after its targets were replaced."""
    # Those of earlier tests may be closed at any time.
    earlier = descriptors()

    async def main():
        client = HttpClient()
        counts = []
        for _ in range(4):
            async with server() as address:
                for _ in range(8):
                    async with curio.TaskGroup() as group:
                        for _ in range(8):
                            await group.spawn(send, client, address)
            await curio.sleep(10 * SWEEP_MS / 1_000)
            counts.append(len(descriptors() - earlier))
        return counts, dict(client.idle_by_address)

    async def send(client, address):
        await client.request(
            address, "POST", "/", timeout_ms=1_000, new_connection=True
        )

    counts, idle = curio.run(main)
    assert max(counts) - min(counts) <= 4, counts
    assert idle == {}


def test_connections_to_a_target_that_left_end_without_a_request():
    """Guards against descriptors that are kept for a target that keeps them open."""

    async def main():
        known = {FIRST, SECOND}
        pool = ConnectionPool(SystemClock(), 8, lambda: known)
        connections = {FIRST: IdleConnection(), SECOND: IdleConnection()}
        for address, connection in connections.items():
            await pool.release(address, connection)
        known.remove(FIRST)
        await curio.sleep(10 * SWEEP_MS / 1_000)
        states = [connection.is_open for connection in connections.values()]
        return states, list(pool.idle_by_address)

    assert curio.run(main) == ([False, True], [SECOND])


def test_old_connections_end_without_a_request():
    """Guards against descriptors that are kept until another request to the server."""

    async def main():
        pool = ConnectionPool(SystemClock(), 8)
        old, young = IdleConnection(max_idle_ms=50), IdleConnection()
        await pool.release(FIRST, old)
        await pool.release(FIRST, young)
        await curio.sleep(0.05 + 10 * SWEEP_MS / 1_000)
        return old.is_open, young.is_open

    assert curio.run(main) == (False, True)


def test_sweeps_end_with_the_last_connection_and_begin_again():
    """Guards against a pool that is swept only once, or for ever."""

    async def main():
        pool = ConnectionPool(SystemClock(), 8)
        states = []
        for _ in range(2):
            connection = IdleConnection()
            await pool.release(FIRST, connection)
            connection.other_end.close()
            await until_empty(pool)
            await curio.sleep(2 * SWEEP_MS / 1_000)
            states.append((connection.is_open, pool.is_sweeping))
        return states

    assert curio.run(main) == [(False, False)] * 2


def test_all_servers_share_one_limit():
    """Guards against idle connections that grow with the number of targets."""

    async def main():
        pool = ConnectionPool(SystemClock(), 3)
        connections = [IdleConnection() for _ in range(5)]
        for number, connection in enumerate(connections):
            await pool.release(Address("10.1.0.1", number), connection)
        taken = await pool.take(Address("10.1.0.1", 4), "")
        open_ones = [connection.is_open for connection in connections]
        return open_ones, len(pool), taken is connections[4]

    assert curio.run(main) == ([False, False, True, True, True], 2, True)


def test_one_server_has_a_limit_of_its_own():
    """Guards against a server that takes the descriptors of all others."""

    async def main():
        pool = ConnectionPool(SystemClock(), 100)
        for _ in range(MAX_IDLE_PER_ADDRESS + 5):
            await pool.release(FIRST, IdleConnection())
        return len(pool)

    assert curio.run(main) == MAX_IDLE_PER_ADDRESS


def test_stated_limit_of_descriptors_applies_to_all_pools():
    """Guards against connections to peers that use up a limit which only they ignore.

    The platform may state fewer descriptors than the operating system allows.
    """
    entry = make_entry(max_fds=64)
    assert entry.link.pool.max_idle == entry.descriptors.idle_to_peers == 2
    assert entry.pool.max_idle == entry.descriptors.idle_to_targets == 6
