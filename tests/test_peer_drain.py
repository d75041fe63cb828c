"""Tests of messages of peers that a process has in progress while it stops."""

import signal

import curio
import pytest

from demo.processes import free_addresses
from tests.stopping_entries import make_relay_entry as make_entry
from tests.test_stage_pool import target
from tests.test_stage_spread import ITEMS
from tests.test_tunnels import RawTarget
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.tcp_link import LENGTH, PeerServer, TcpPeerLink
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.codec import decode, encode
from wagtailrun.exceptions import ConnectFailed, PeerUnreachable, Verdict
from wagtailrun.messages import Ping, Pong
from wagtailrun.relay.paths.tunnel_messages import (
    OpenTunnel,
    TunnelOpened,
    TunnelRefusal,
)
from wagtailrun.stages import CarryCall, RunPieces
from wagtailrun.stages.spread import _group_by_request, _parse_replies

pytestmark = pytest.mark.network

SECRET = b"a shared secret of the tests"
TIMEOUT_MS = 2_000
LIMIT_MS = 1_000
# A peer without messages in progress ends in this time, also on a busy machine.
IDLE_MS = 500
GRACE_S = 2
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
BODY = b"ok"


async def slow_pong(message):
    """Answer after as many milliseconds as the message names."""
    await curio.sleep(int(message.sender) / MS_PER_SECOND)
    return Pong(message.sender)


def run_drain(client):
    """Run ``client(link, address, drain)``; ``drain`` ends the peer like a process."""

    async def main():
        (address,) = free_addresses(1)
        server = PeerServer(address, SECRET, slow_pong)
        serving = await curio.spawn(server.serve)
        await curio.sleep(0.05)
        link = TcpPeerLink(SECRET)

        async def drain():
            started_ms = link.clock.now_ms()
            await server.drain(LIMIT_MS)
            took_ms = link.clock.now_ms() - started_ms
            await serving.cancel()
            return took_ms

        async with curio.timeout_after(10):
            return await client(link, address, drain)

    return run_with_virtual_sockets(main)


def test_message_in_progress_is_answered_before_a_peer_ends():
    """Guards against a change, or a stage call, that ends with the process."""

    async def client(link, address, drain):
        calling = await curio.spawn(link.call, address, Ping("300"), TIMEOUT_MS)
        await curio.sleep(0.1)
        await drain()
        return await calling.join()

    assert run_drain(client) == Pong("300")


def test_message_whose_bytes_are_arriving_is_answered_before_a_peer_ends():
    """Guards against half a message that is cut off although the rest follows."""

    async def client(link, address, drain):
        connection = await link._connect(address)
        frame = encode(Ping("0"))
        await connection.sock.sendall(LENGTH.pack(len(frame)) + frame[:5])
        await curio.sleep(0.1)
        draining = await curio.spawn(drain)
        await curio.sleep(0.1)
        await connection.sock.sendall(frame[5:])
        reply = decode(await connection.read_frame())
        await draining.join()
        return reply

    assert run_drain(client) == Pong("0")


def test_message_that_follows_its_connection_into_a_drain_is_answered():
    """Guards against "may have run" for a message on its way on a new connection."""

    async def client(link, address, drain):
        connect = link._connect

        async def connect_and_drain(address):
            connection = await connect(address)
            await curio.spawn(drain, daemon=True)
            await curio.sleep(0.02)
            return connection

        link._connect = connect_and_drain
        return await link.call(address, Ping("0"), TIMEOUT_MS)

    assert run_drain(client) == Pong("0")


@pytest.mark.parametrize("was_used", [False, True])
def test_message_after_the_drain_of_a_peer_was_not_sent(was_used):
    """Guards against "may have run" for a message on a connection that has ended."""

    async def client(link, address, drain):
        if was_used:
            await link.call(address, Ping("0"), TIMEOUT_MS)
        took_ms = await drain()
        with pytest.raises(PeerUnreachable) as error:
            await link.call(address, Ping("0"), TIMEOUT_MS)
        return took_ms, error.value.sent

    took_ms, sent = run_drain(client)
    assert took_ms < IDLE_MS
    assert not sent


def test_connection_is_refused_while_a_peer_drains():
    """Guards against messages that a stopping process reads and never answers."""

    async def client(link, address, drain):
        calling = await curio.spawn(link.call, address, Ping("300"), TIMEOUT_MS)
        await curio.sleep(0.1)
        draining = await curio.spawn(drain)
        await curio.sleep(0.1)
        with pytest.raises(PeerUnreachable) as error:
            await link.call(address, Ping("0"), TIMEOUT_MS)
        await calling.join()
        await draining.join()
        return error.value.sent

    assert not run_drain(client)


def test_drain_of_a_peer_keeps_to_its_limit():
    """Guards against a stop that waits for a handler without end."""

    async def client(link, address, drain):
        calling = await curio.spawn(link.call, address, Ping("60000"), 5_000)
        await curio.sleep(0.1)
        took_ms = await drain()
        await calling.wait()
        return took_ms, calling.exception

    took_ms, error = run_drain(client)
    assert took_ms < LIMIT_MS + IDLE_MS
    assert isinstance(error, PeerUnreachable)
    assert error.sent


def ask_stopping_entry(message):
    """Return the reply of an entry that has got its signal, over a connection."""

    async def main():
        entry = make_entry()
        entry.signals.stop_count = 1
        serving = await curio.spawn(entry.peer_server.serve)
        await curio.sleep(0.05)
        link = TcpPeerLink(entry.settings.peer_secret)
        try:
            return await link.call(entry.settings.peer_address, message, TIMEOUT_MS)
        finally:
            await serving.cancel()

    return run_with_virtual_sockets(main)


def test_stopping_entry_sends_no_call_for_another():
    """Guards against a stage call that reaches a target and is then cut off.

    An entry of an earlier version sends the call itself after such a reply.
    """
    row = target(1)
    message = CarryCall(
        row.name, str(row.address), "s", "a", _group_by_request(ITEMS), 1_000
    )
    reply = ask_stopping_entry(message)
    with pytest.raises(ConnectFailed) as error:
        _parse_replies(reply, len(ITEMS))
    assert error.value.verdict is Verdict.NOT_RUN
    assert not error.value.confirmed


def test_stopping_entry_takes_no_pieces_of_another():
    """Guards against pieces that a stopping entry begins to run.

    An entry of an earlier version turns to the next owner after such a reply.
    """
    message = RunPieces(
        request_id="r",
        step=0,
        service="s",
        data_centre="a",
        pieces=(0,),
        key="k",
        inputs=(),
        has_inputs=False,
        urgency=0,
        aim_ms=1_000,
        remaining_ms=1_000,
        result_bytes=1,
        wait_ms=0,
    )
    with pytest.raises(PeerUnreachable, match="this entry stops"):
        ask_stopping_entry(message)


def test_stopping_entry_opens_no_tunnel():
    """Guards against a request that is passed on to a target and then cut off."""
    reply = ask_stopping_entry(OpenTunnel("e", "t", 1, "127.0.0.1:9", limit_ms=100))
    assert reply.reason == TunnelRefusal.STOPPING


def run_tunnel_at_stop(answer_s):
    """Stop an entry that carries a request for another one.

    Args:
        answer_s: When the target answers, in seconds after the signal.

    Returns:
        The bytes that the other entry received, how its connection ended, and when the
        entry had stopped, in milliseconds after the signal.
    """

    async def handle(sock):
        await sock.sendall(HEAD)
        await curio.sleep(answer_s)
        await sock.sendall(BODY)

    async def main():
        target_row = await RawTarget(handle).start()
        entry = make_entry(grace_s=GRACE_S, drain_notice_ms=100)
        entry.signals.install()
        tasks = [
            await curio.spawn(task)
            for task in (entry.peer_server.serve, entry.caller_server.serve)
        ]
        stopping = await curio.spawn(entry._stop_on_signal)
        await curio.sleep(0.05)
        link = TcpPeerLink(entry.settings.peer_secret)
        tunnel = await link.open_tunnel(
            entry.settings.peer_address,
            OpenTunnel("other", "", 0, str(target_row.address), limit_ms=300),
            TIMEOUT_MS,
            TunnelOpened,
        )
        reading = await curio.spawn(read_tunnel, tunnel)
        await curio.sleep(0.05)
        signal.raise_signal(signal.SIGTERM)
        started_ms = entry.clock.now_ms()
        await stopping.join()
        took_ms = entry.clock.now_ms() - started_ms
        for task in tasks:
            await task.cancel()
        received, end = await reading.join()
        return received, end, took_ms

    async def read_tunnel(tunnel):
        received = b""
        try:
            await tunnel.sendall(b"GET / HTTP/1.1\r\n\r\n")
            while len(received) < len(HEAD + BODY):
                received += await tunnel.recv(65_536)
        except ConnectionResetError:
            return received, "interrupted"
        finally:
            await tunnel.close()
        return received, "complete"

    return run_with_virtual_sockets(main)


def test_request_that_a_stopping_entry_carries_is_answered(stop_signal):
    """Guards against a tunnel that ends with the entry that carries it."""
    received, end, took_ms = run_tunnel_at_stop(GRACE_S / 2)
    assert (received, end) == (HEAD + BODY, "complete")
    assert took_ms >= GRACE_S / 2 * MS_PER_SECOND


def test_tunnel_that_outlasts_a_stop_is_interrupted(stop_signal):
    """Guards against an answer that is cut off and counts as complete."""
    received, end, took_ms = run_tunnel_at_stop(2 * GRACE_S)
    assert (received, end) == (HEAD, "interrupted")
    assert took_ms < GRACE_S * MS_PER_SECOND


def run_crossing(handler, call):
    """Run ``call(link, address)`` as its message crosses the drain of its peer.

    Over TCP: the message is sent to a connection that its peer has just ended.
    """

    async def main():
        (address,) = free_addresses(1)
        server = PeerServer(address, SECRET, handler)
        serving = await curio.spawn(server.serve)
        await curio.sleep(0.05)
        link = TcpPeerLink(SECRET)
        connect = link._connect

        async def connect_and_drain(address):
            connection = await connect(address)
            await server.drain(LIMIT_MS)
            await serving.cancel()
            return connection

        async with curio.timeout_after(10):
            await link.call(address, Ping("0"), TIMEOUT_MS)
            link._connect = connect_and_drain
            return await call(link, address)

    return curio.run(main)


def test_message_that_crosses_the_end_of_a_peer_was_not_sent():
    """Guards against "may have run" for a message that its peer never read.

    A stage call, or a change of an operator, then counts as possibly run.
    """
    handled = []

    async def handler(message):
        handled.append(message)
        return Pong(message.sender)

    async def call(link, address):
        with pytest.raises(PeerUnreachable) as error:
            await link.call(address, Ping("1"), TIMEOUT_MS)
        return error.value

    error = run_crossing(handler, call)
    assert handled == [Ping("0")]
    assert error.stopping
    assert not error.sent
