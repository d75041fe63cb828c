"""Tests of the proxy on the links of the soak."""

import errno
import os
import socket
import threading
import time
from contextlib import asynccontextmanager, suppress

import curio
import pytest

from demo.processes import free_addresses
from soak import link_proxy, link_sources
from soak.link_sources import Ends, find_sources
from soak.links import (
    AddLink,
    Direction,
    Effect,
    LinkFault,
    LinkProxy,
    LinkProxyFailed,
    pack,
)
from wagtailrun.ports.link import Address

pytestmark = pytest.mark.network

LIMIT_S = 15
# A process that stands still delays every measured time, but makes none shorter.
QUIET_S = 0.3
START_S = 5


class Echo:
    """Server that sends back what it gets, and keeps it."""

    def __init__(self, address):
        self.address = address
        self.received = b""
        self.pieces = []
        self.ends = []
        self.task = None

    async def serve(self, sock, peer):
        try:
            while data := await sock.recv(65_536):
                self.received += data
                self.pieces.append((time.monotonic(), data))
                await sock.sendall(data)
            self.ends.append("end")
        except OSError as error:
            self.ends.append(error.errno)

    async def start(self):
        self.task = await curio.spawn(
            curio.tcp_server,
            self.address.host,
            self.address.port,
            self.serve,
            daemon=True,
        )
        await curio.sleep(0.05)

    async def wait_until_ended(self):
        while not self.ends:
            await curio.sleep(0.01)

    async def stop(self):
        await self.task.cancel()


class Setup:
    """Proxy with links ``a`` and ``b`` to echo servers."""

    def __init__(self):
        self.proxy = LinkProxy()
        addresses = free_addresses(4)
        self.address_by_name = {"a": addresses[0], "b": addresses[1]}
        self.echo_by_name = {"a": Echo(addresses[2]), "b": Echo(addresses[3])}

    async def start(self):
        for name, echo in self.echo_by_name.items():
            await echo.start()
            await self.proxy.add(name, self.address_by_name[name], echo.address)

    async def connect(self, name="a"):
        address = self.address_by_name[name]
        return await curio.open_connection(address.host, address.port)

    async def begin(self, effect, amount=0, links=("a",), **values):
        fault = LinkFault(
            name="f", effect=effect, links=list(links), amount=amount, **values
        )
        await self.proxy.begin(fault)


@asynccontextmanager
async def running():
    made = Setup()
    try:
        await made.start()
        yield made
    finally:
        made.proxy.stop()


def run(test):
    """Run a test with a set-up of its own."""

    async def main():
        async with curio.timeout_after(LIMIT_S), running() as made:
            await test(made)

    curio.run(main)


async def receive(sock, size):
    data = b""
    while len(data) < size and (part := await sock.recv(65_536)):
        data += part
    return data


async def is_quiet(sock):
    async with curio.ignore_after(QUIET_S):
        await sock.recv(1)
        return False
    return True


async def exchange_s(sock, data=b"x"):
    """Return how long an exchange took, in seconds."""
    start_s = time.monotonic()
    await sock.sendall(data)
    assert await receive(sock, len(data)) == data
    return time.monotonic() - start_s


def test_bytes_and_ends_pass_unchanged():
    """Guards against a proxy that itself breaks what is tested."""

    async def test(made):
        sock = await made.connect()
        data = os.urandom(3_000_000)
        sending = await curio.spawn(sock.sendall, data)
        assert await receive(sock, len(data)) == data
        await sending.join()
        await sock.shutdown(socket.SHUT_WR)
        assert await sock.recv(1) == b""
        echo = made.echo_by_name["a"]
        await echo.wait_until_ended()
        assert (echo.received, echo.ends) == (data, ["end"])
        await curio.sleep(0.05)
        (usage,) = (await made.proxy.report()).usage
        assert (usage.link, usage.connections) == ("a", 1)
        assert usage.bytes_to_upstream == usage.bytes_to_source == len(data)

    run(test)


def test_reset_of_one_side_resets_the_other():
    """Guards against a proxy that hides resets from the program under test."""

    async def test(made):
        sock = await made.connect()
        await exchange_s(sock)
        linger = b"\x01\0\0\0\0\0\0\0"
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await sock.close()
        await made.echo_by_name["a"].wait_until_ended()
        assert made.echo_by_name["a"].ends == [errno.ECONNRESET]

    run(test)


def test_delay_is_for_each_byte_and_ends_when_let_go():
    """Guards against delays that add up over the bytes of a connection."""

    async def test(made):
        sock, other = await made.connect(), await made.connect("b")
        await exchange_s(sock)
        await made.begin(Effect.DELAY, 500)
        start_s = time.monotonic()
        for _ in range(5):
            await sock.sendall(b"abcde")
            await curio.sleep(0.05)
        assert await exchange_s(other) < 0.5
        assert await receive(sock, 25) == b"abcde" * 5
        assert 1.0 <= time.monotonic() - start_s < 2.0
        await sock.sendall(b"x")
        await made.proxy.end("f")
        assert await receive(sock, 1) == b"x"
        assert await exchange_s(sock) < 0.5

    run(test)


def test_narrow_link_passes_all_bytes_at_its_rate():
    """Guards against a rate that is not kept, or that loses bytes."""

    async def test(made):
        sock = await made.connect()
        await made.begin(Effect.NARROW, 50_000, direction=Direction.TO_UPSTREAM)
        data = os.urandom(50_000)
        assert 0.8 <= await exchange_s(sock, data) < 3
        await made.proxy.end("f")
        assert await exchange_s(sock, data) < 0.5

    run(test)


def test_reset_breaks_connections_that_exist():
    """Guards against a reset that spares connections or breaks later ones."""

    async def test(made):
        sock, other = await made.connect(), await made.connect("b")
        await exchange_s(sock)
        await exchange_s(other)
        await made.begin(Effect.RESET)
        with pytest.raises(ConnectionResetError):
            await sock.recv(1)
        await made.echo_by_name["a"].wait_until_ended()
        assert made.echo_by_name["a"].ends == [errno.ECONNRESET]
        assert made.echo_by_name["b"].ends == []
        await exchange_s(other)
        await exchange_s(await made.connect())

    run(test)


def test_silence_keeps_bytes_and_ends_until_let_go():
    """Guards against bytes that are lost or reordered while a link is silent."""

    async def test(made):
        sock = await made.connect()
        await exchange_s(sock)
        await made.begin(Effect.SILENCE)
        await sock.sendall(b"held")
        await sock.shutdown(socket.SHUT_WR)
        assert await is_quiet(sock)
        echo = made.echo_by_name["a"]
        assert (echo.received, echo.ends) == (b"x", [])
        await made.proxy.end("f")
        assert await receive(sock, 9) == b"held"
        await echo.wait_until_ended()
        assert echo.ends == ["end"]

    run(test)


@pytest.mark.parametrize(
    ("direction", "arrives"),
    [(Direction.TO_UPSTREAM, b"x"), (Direction.TO_SOURCE, b"xy")],
)
def test_one_way_is_cut(direction, arrives):
    """Guards against a cut of one direction that stops the other."""

    async def test(made):
        sock = await made.connect()
        await exchange_s(sock)
        await made.begin(Effect.SILENCE, direction=direction)
        await sock.sendall(b"y")
        assert await is_quiet(sock)
        assert made.echo_by_name["a"].received == arrives
        await made.proxy.end("f")
        assert await receive(sock, 1) == b"y"

    run(test)


def test_refusal_spares_connections_that_exist():
    """Guards against a refusal that breaks connections or outlasts the fault."""

    async def test(made):
        sock = await made.connect()
        await exchange_s(sock)
        await made.begin(Effect.REFUSE)
        with pytest.raises(ConnectionRefusedError):
            await made.connect()
        await exchange_s(sock)
        await made.proxy.end("f")
        await exchange_s(await made.connect())

    run(test)


def test_half_of_a_request_is_held():
    """Guards against a hold that delays the first half or changes the request."""

    async def test(made):
        sock = await made.connect()
        await made.begin(Effect.HOLD_HALF, 600)
        assert await exchange_s(sock, b"GET / HTTP/1.1\r\n") >= 0.6
        (first_s, first), (second_s, second) = made.echo_by_name["a"].pieces
        assert (first, second) == (b"GET / HT", b"TP/1.1\r\n")
        assert second_s - first_s >= 0.5

    run(test)


def test_faults_of_one_source_spare_the_others():
    """Guards against a fault of one process that affects its peers."""

    async def test(made):
        made.proxy.name_process("me", os.getpid())
        made.proxy.name_process("other", made.proxy.pid)
        sock = await made.connect()
        await exchange_s(sock)
        await made.begin(Effect.SILENCE, source="other")
        await exchange_s(sock)
        await exchange_s(await made.connect())
        await made.proxy.end("f")
        await made.begin(Effect.SILENCE, source="me")
        await sock.sendall(b"x")
        assert await is_quiet(sock)
        await made.proxy.end("f")
        assert await receive(sock, 1) == b"x"
        sources = {usage.source for usage in (await made.proxy.report()).usage}
        assert "me" in sources

    run(test)


def test_link_is_closed_while_its_upstream_is():
    """Guards against callers that get a connection to a process that has stopped."""

    async def test(made):
        echo = made.echo_by_name["a"]
        await echo.stop()
        sock = await made.connect()
        client = Address(*sock.getsockname())
        with pytest.raises(ConnectionResetError):
            await sock.recv(1)
        await curio.sleep(0.1)
        with pytest.raises(ConnectionRefusedError):
            await made.connect()
        (refused,) = (await made.proxy.report()).refused
        assert (refused.link, refused.client) == ("a", client)
        assert not refused.is_fault
        await echo.start()
        end_s = time.monotonic() + START_S
        while True:
            try:
                sock = await made.connect()
                break
            except ConnectionRefusedError:
                assert time.monotonic() < end_s
                await curio.sleep(0.05)
        await exchange_s(sock)

    run(test)


def pour(listen, sink):
    """Send bytes through a link until the proxy has ended; runs in threads."""

    def drain():
        sock, _ = sink.accept()
        with suppress(OSError), sock:
            while sock.recv(1_000_000):
                pass

    def flood():
        sock = socket.create_connection((listen.host, listen.port))
        with suppress(OSError), sock:
            while True:
                sock.sendall(bytes(1_000_000))

    threads = [threading.Thread(target=each) for each in (drain, flood)]
    for thread in threads:
        thread.start()
    return threads


def test_busy_link_does_not_delay_the_others():
    """Guards against one link without end that takes all turns of the proxy."""
    threads = []

    async def test(made):
        listen, upstream = free_addresses(2)
        sink = socket.create_server((upstream.host, upstream.port))
        await made.proxy.add("busy", listen, upstream)
        threads.extend(pour(listen, sink))
        await curio.sleep(0.2)
        sock = await made.connect("b")
        took_s = sorted([await exchange_s(sock) for _ in range(50)])
        assert took_s[25] < 0.1
        by_link = {each.link: each for each in (await made.proxy.report()).usage}
        assert by_link["busy"].bytes_to_upstream > 1_000_000
        sink.close()

    run(test)
    for thread in threads:
        thread.join(START_S)
        assert not thread.is_alive()


def test_wrong_commands_are_refused():
    """Guards against a fault that is believed to be applied and is not."""

    async def test(made):
        with pytest.raises(LinkProxyFailed, match="unknown links"):
            await made.begin(Effect.DELAY, links=("z",))
        with pytest.raises(LinkProxyFailed, match="unknown source 'x'"):
            await made.begin(Effect.DELAY, source="x")
        await made.begin(Effect.DELAY)
        with pytest.raises(LinkProxyFailed, match="applied already"):
            await made.begin(Effect.DELAY)
        address = made.address_by_name["a"]
        with pytest.raises(LinkProxyFailed, match="cannot listen on"):
            await made.proxy.add("c", address, address)
        await made.proxy.end("unknown")

    run(test)


def test_sources_are_found():
    """Guards against connections that are put down to a wrong process."""
    (address,) = free_addresses(1)
    with (
        socket.create_server((address.host, address.port)),
        socket.create_connection((address.host, address.port)) as client,
    ):
        own = Ends(client=Address(*client.getsockname()), server=address)
        gone = Ends(client=Address("127.0.0.1", 1), server=address)
        found = find_sources([own, gone], {os.getpid(): "me", os.getppid(): "x"})
        assert found == {own: "me"}


def test_sources_with_the_same_client_address_are_told_apart():
    """Guards against a look-up by one end, which another connection may have, too.

    The kernel gives the local port of a connection again for another destination.
    """
    first, second = free_addresses(2)
    with (
        socket.create_server((first.host, first.port)),
        socket.create_server((second.host, second.port)),
        socket.socket() as one,
        socket.socket() as other,
    ):
        for sock in (one, other):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(("127.0.0.1", 0))
        client = Address(*one.getsockname())
        other.bind((client.host, client.port))
        one.connect((first.host, first.port))
        other.connect((second.host, second.port))
        ends = [Ends(client=client, server=server) for server in (first, second)]
        inodes = [str(os.fstat(sock.fileno()).st_ino) for sock in (one, other)]
        assert list(link_sources._inodes(ends).values()) == inodes
        assert find_sources(ends[:1], {os.getpid(): "me"}) == {ends[0]: "me"}


def test_the_end_of_the_proxy_is_silent_beside_new_connections(monkeypatch):
    """Guards against a traceback at the end, in which a real error does not show.

    The tasks that accept connections ended after those of the connections.
    """
    listen, upstream = free_addresses(2)
    close = link_proxy.close
    clients = []

    def connect():
        with suppress(OSError):
            clients.append(socket.create_connection((listen.host, listen.port)))

    async def close_beside_a_new_connection(sock, resets):
        connect()
        await curio.sleep(0.02)
        await close(sock, resets)

    monkeypatch.setattr(link_proxy, "close", close_beside_a_new_connection)
    own, child = socket.socketpair()
    child.setblocking(False)

    async def main():
        echo = Echo(upstream)
        await echo.start()
        proxy = link_proxy.Proxy(child)
        running = await curio.spawn(proxy.run)
        command = AddLink(name="a", listen=listen, upstream=upstream)
        await curio.run_in_thread(own.sendall, pack(command))
        await curio.run_in_thread(own.recv, 65_536)
        connect()
        while not any(each.ways for each in proxy.connections):
            await curio.sleep(0.01)
        own.close()
        await running.join()

    curio.run(main)
    assert len(clients) == 1
    for sock in clients:
        sock.close()
