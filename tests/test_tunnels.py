"""Tests of connections to targets that another entry carries."""

import socket
import struct
import time

import attrs
import curio
import pytest

from demo.processes import free_addresses
from tests.test_relay_front import (
    NOT_RUN,
    OWN_ENTRY,
    SIGNATURE,
    Engines,
    FakeView,
    answer,
    event,
    run_relay,
    send,
    status_and_runs,
    stream,
)
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_client import (
    DirectConnector,
    HttpClient,
    Reachability,
)
from wagtailrun.adapters.http_server import Response
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.clock import SystemClock
from wagtailrun.exceptions import ConnectFailed, MessageError, TargetFailed
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.relay.paths.tunnel_messages import ReportPause, TunnelRefusal
from wagtailrun.relay.paths.tunnels import PathConnector, TunnelHost
from wagtailrun.routes import RouteKind
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

SECRET = b"a shared secret of the tests"
# Time within which the target learns that the caller has left.
CANCEL_LIMIT_S = 0.5
CARRIER_DELAY_S = 0.15
# Time within which an event of a stream is passed on.
EVENT_LIMIT_S = 0.12
# Time for which a sound server may be silent.
SILENCE_LIMIT_S = 1.0
# Share of a processor that an entry has.
CORE_SHARE = 0.5


@attrs.define
class View(FakeView):
    """View of an entry that knows others."""

    entries: list = attrs.field(factory=list)

    def live_entries(self):
        return (OWN_ENTRY, *self.entries)

    def known_target(self, name):
        return next((row for row in self.rows if row.name == name), None)

    def target_addresses(self):
        return [row.address for row in self.rows if not row.leaving]


class CutConnector:
    """Direct connections of an entry whose links to targets are cut."""

    def __init__(self, refused=True):
        self.refused = refused
        self.tried = 0

    async def connect(self, address, timeout_ms):
        self.tried += 1
        if not self.refused:
            await curio.sleep(timeout_ms / 1_000)
        raise ConnectFailed("cut", refused=self.refused)


class Carrier:
    """An entry that carries connections for others."""

    def __init__(self, view):
        self.clock = SystemClock()
        self.view = view
        self.stopping = False
        self.pause_ms = 0
        self.asked = 0
        self.pauses = []
        self.connector = PathConnector(self.clock, None, view)
        self.host = TunnelHost(
            self.clock,
            view,
            self.connector,
            lambda address: self.pause_ms,
            lambda: self.stopping,
        )

    async def start(self, name="carrier", data_centre="a"):
        (address,) = free_addresses(1)
        self.server = await curio.spawn(
            PeerServer(address, SECRET, lambda message: self.handle(message)).serve
        )
        await curio.sleep(0.02)
        return EntryRow(name, address, data_centre, 1)

    async def handle(self, message):
        if isinstance(message, ReportPause):
            self.pauses.append(message)
            return message
        self.asked += 1
        return await self.host.open(message)


def cut_entry(view, refused=True):
    """Return the connector of an entry that reaches no target directly."""
    link = TcpPeerLink(SECRET)
    connector = PathConnector(SystemClock(), link, view, 1)
    connector.direct = CutConnector(refused)
    return connector


class RawTarget:
    """Target whose connection a test handles byte by byte."""

    def __init__(self, handle):
        self.handle = handle
        self.closed = curio.Event()

    async def start(self):
        (address,) = free_addresses(1)
        await curio.spawn(
            curio.tcp_server, address.host, address.port, self.serve, daemon=True
        )
        await curio.sleep(0.02)
        return TargetRow("t0", address, "s", "a", 4, software_version="v1")

    async def serve(self, sock, peer):
        await sock.recv(65_536)
        await self.handle(sock)
        while await sock.recv(65_536):
            pass
        await self.closed.set()


def run_tunnel(handle, client, **options):
    """Run ``client(http, row, target, carrier, connector)`` of a cut entry."""

    async def main():
        target = RawTarget(handle)
        row = await target.start()
        view = View(None, [row])
        carrier = Carrier(view)
        view.entries = [await carrier.start()]
        connector = cut_entry(view, **options)
        http = HttpClient(connector=connector)
        async with curio.timeout_after(10):
            return await client(http, row, target, carrier, connector)

    return curio.run(main)


async def get(http, row):
    return await http.request(row.address, "GET", "/", timeout_ms=3_000)


async def whole_answer(sock):
    await sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


# Bytes


@pytest.mark.parametrize("refused", [True, False])
def test_request_goes_through_another_entry(refused):
    """Guards against an entry without links that serves nothing."""

    async def client(http, row, target, carrier, connector):
        bodies = [(await get(http, row)).body]
        # Time in which the entry finds out whether the path is only slow.
        await curio.sleep(0.5)
        tried = connector.direct.tried
        bodies += [(await get(http, row)).body for _ in range(3)]
        return bodies, carrier.asked, connector.direct.tried - tried

    found = run_tunnel(whole_answer, client, refused=refused)
    # Afterwards the path is known to be lost.
    assert found == ([b"ok"] * 4, 4, 0)


@pytest.mark.parametrize("is_reset", [False, True])
def test_end_of_an_answer_without_length_is_that_of_the_target(is_reset):
    """Guards against an answer that is cut off and looks complete."""

    async def handle(sock):
        await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await curio.sleep(0.05)
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await sock.close()

    async def client(http, row, target, carrier, connector):
        try:
            return (await get(http, row)).body
        except TargetFailed as error:
            return error.closed

    assert run_tunnel(handle, client) == (True if is_reset else b"half")


def test_death_of_the_carrier_is_no_end():
    """Guards against an answer that looks complete because its carrier died."""

    async def handle(sock):
        await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await curio.sleep(5)

    async def client(http, row, target, carrier, connector):
        async with http.open(row.address, "GET", "/", timeout_ms=3_000) as answer:
            received = await answer.read(3_000)
            # As the kernel closes the connections of a process that has died.
            for sock in carrier.sockets:
                await sock.close()
            with pytest.raises(TargetFailed) as error:
                await answer.read(3_000)
            assert error.value.closed
            # Leaves as after a failed read.
            answer.forbid_reuse()
        return received

    class SeenCarrier(Carrier):
        sockets = []

        async def handle(self, message):
            upgrade = await super().handle(message)

            async def run(peer):
                self.sockets.append(peer.connection.sock)
                await upgrade.run(peer)

            return attrs.evolve(upgrade, run=run)

    async def main():
        target = RawTarget(handle)
        row = await target.start()
        view = View(None, [row])
        carrier = SeenCarrier(view)
        view.entries = [await carrier.start()]
        http = HttpClient(connector=cut_entry(view))
        async with curio.timeout_after(10):
            return await client(http, row, target, carrier, None)

    assert curio.run(main) == b"half"


def test_caller_that_leaves_ends_the_work_of_the_target():
    """Guards against a target that works on for a caller that has left."""

    async def handle(sock):
        await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")

    async def client(http, row, target, carrier, connector):
        async def leave():
            async with http.open(row.address, "GET", "/", timeout_ms=3_000) as answer:
                await answer.read(3_000)
                await answer.read(3_000)

        task = await curio.spawn(leave)
        await curio.sleep(0.3)
        assert carrier.host.running == 1
        await task.cancel()
        async with curio.timeout_after(CANCEL_LIMIT_S):
            await target.closed.wait()
        await curio.sleep(0.05)
        return carrier.host.running

    assert run_tunnel(handle, client) == 0


def test_slow_reader_slows_the_target_down():
    """Guards against a carrier that gathers a body which nobody reads."""
    sent = []

    async def handle(sock):
        await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            await sock.sendall(bytes(65_536))
            sent.append(65_536)

    async def client(http, row, target, carrier, connector):
        async with http.open(row.address, "GET", "/", timeout_ms=3_000) as answer:
            await curio.sleep(0.7)
            before = sum(sent)
            await curio.sleep(0.5)
            answer.forbid_reuse()
            return sum(sent) - before

    assert run_tunnel(handle, client) == 0


def test_events_are_passed_on_at_once():
    """Guards against events that are late because another entry carries them."""

    async def handle(sock):
        await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(5):
            sent_s.append(SystemClock().now_ms() / 1_000)
            await sock.sendall(b"data: token\n\n")
            await curio.sleep(0.1)

    async def client(http, row, target, carrier, connector):
        delays = []
        async with http.open(row.address, "GET", "/", timeout_ms=3_000) as answer:
            for number in range(5):
                assert await answer.read(3_000) == b"data: token\n\n"
                delays.append(SystemClock().now_ms() / 1_000 - sent_s[number])
            answer.forbid_reuse()
        return max(delays)

    sent_s = []
    assert run_tunnel(handle, client) < EVENT_LIMIT_S


# Who is at fault, and who carries


def test_target_that_no_entry_reaches_is_at_fault():
    """Guards against a dead target that is taken for a lost path, and the reverse.

    The carrier shows that it reaches another target.
    """

    async def main():
        engines = Engines()
        await engines.start(answer())
        (dead,) = free_addresses(1)
        row = TargetRow("dead", dead, "s", "a", 4)
        view = View(None, [row, *engines.rows])
        carrier = Carrier(view)
        view.entries = [await carrier.start()]
        connector = cut_entry(view)
        with pytest.raises(ConnectFailed) as failed:
            await connector.connect(dead, 300)
        found = await connector.probe(dead, 300)
        return failed.value, found, connector.paths.is_lost(dead)

    error, found, is_lost = curio.run(main)
    assert (error.confirmed, error.refused) == (True, True)
    assert (found, is_lost) == (Reachability.REFUSES, False)


def test_carrier_without_links_proves_nothing_about_a_target():
    """Guards against entries that are cut off and declare sound targets dead."""

    async def main():
        engines = Engines()
        await engines.start(answer())
        await engines.start(answer())
        view = View(None, engines.rows)
        carrier = Carrier(view)
        carrier.connector.direct = CutConnector()
        view.entries = [await carrier.start()]
        connector = cut_entry(view)
        with pytest.raises(ConnectFailed) as failed:
            await connector.connect(engines.rows[0].address, 300)
        found = await connector.probe(engines.rows[0].address, 300)
        return failed.value.confirmed, found

    assert curio.run(main) == (False, Reachability.UNKNOWN)


def test_entries_that_are_all_cut_off_refuse_at_once():
    """Guards against requests that wait for entries that cannot carry them."""

    async def main():
        engines = Engines()
        await engines.start(answer())
        view = View(None, engines.rows)
        carriers = [Carrier(view) for _ in range(5)]
        for each in carriers:
            each.connector.paths.is_cut_off = True
        view.entries = [
            await each.start(f"c{number}") for number, each in enumerate(carriers)
        ]
        connector = cut_entry(view)
        clock = SystemClock()
        started_ms = clock.now_ms()
        for _ in range(20):
            with pytest.raises(ConnectFailed):
                await connector.connect(engines.rows[0].address, 300)
        return clock.now_ms() - started_ms, sum(each.asked for each in carriers)

    took_ms, asked = curio.run(main)
    assert asked <= 5
    assert took_ms < 500


def test_next_entry_carries_where_one_cannot():
    """Guards against a request that fails because the first carrier stops or is gone.

    The entries of the own data centre are asked first.
    """

    async def main():
        engines = Engines()
        await engines.start(answer())
        view = View(None, engines.rows)
        near, far = Carrier(view), Carrier(view)
        near.stopping = True
        (gone,) = free_addresses(1)
        view.entries = [
            await far.start("far", "b"),
            await near.start("near", "a"),
            EntryRow("gone", gone, "c", 1),
        ]
        opened = await cut_entry(view).connect(engines.rows[0].address, 300)
        await opened.sock.close()
        return near.asked, far.asked

    assert curio.run(main) == (1, 1)


def test_load_is_spread_over_the_entries_of_the_data_centre():
    """Guards against one entry that carries the traffic of half a data centre."""

    async def main():
        engines = Engines()
        await engines.start(answer())
        view = View(None, engines.rows)
        carriers = [Carrier(view) for _ in range(4)]
        view.entries = [
            await each.start(f"c{number}") for number, each in enumerate(carriers)
        ]
        connector = cut_entry(view)
        for _ in range(40):
            opened = await connector.connect(engines.rows[0].address, 300)
            await opened.sock.close()
        return [each.asked for each in carriers]

    asked = run_with_virtual_sockets(main)
    assert sum(asked) == 40
    assert min(asked) >= 4


def test_pause_of_all_carriers_is_no_fault_of_the_target():
    """Guards against a target that counts as dead because it asked for pauses."""

    async def client(http, row, target, carrier, connector):
        connector.view.rows = [attrs.evolve(row, data_centre="without entries")]
        connector.paths.record_lost(row.address, "carrier", "refused")
        carrier.pause_ms = 700
        with pytest.raises(ConnectFailed) as error:
            await connector.connect(row.address, 300)
        carrier.pause_ms = 700
        return error.value.confirmed, await connector.probe(row.address, 300)

    found = run_tunnel(whole_answer, client)
    assert found == (False, Reachability.ACCEPTS)


def test_stream_may_go_on_at_a_draining_target_through_another_entry():
    """Guards against carriers that refuse what the entry of the request may send."""

    async def client(http, row, target, carrier, connector):
        draining = attrs.evolve(row, leaving=True, draining=True)
        carrier.host.view = View(None, [draining])
        opened = await connector.connect(row.address, 300)
        await opened.sock.close()
        return carrier.asked

    assert run_tunnel(whole_answer, client) == 1


async def start_engines(count):
    engines = Engines()
    for _ in range(count):
        await engines.start(answer())
    return engines


def test_carrier_with_a_lost_path_proves_nothing_about_a_target():
    """Guards against a partition between data centres that declares targets dead.

    The neighbour has lost its path to the target, too; an entry elsewhere reaches it.
    """

    async def main():
        engines = await start_engines(2)
        engines.rows[0] = attrs.evolve(engines.rows[0], data_centre="c")
        view = View(None, engines.rows)
        address = engines.rows[0].address
        near, far = Carrier(view), Carrier(view)
        near.connector.paths.record_lost(address, "far", "no reply")
        view.entries = [
            await near.start("near", "a"),
            await far.start("far", "b"),
        ]
        opened = await cut_entry(view).connect(address, 300)
        await opened.sock.close()
        return opened.carrier == view.entries[1].address

    assert curio.run(main)


@pytest.mark.parametrize("kind", ["refused", "hang"])
def test_checks_end_while_no_entry_reaches_a_target(kind):
    """Guards against entries that ask each other for ever after all links are cut."""

    async def main():
        engines = await start_engines(3)
        view = View(None, engines.rows)
        entries = [Carrier(view) for _ in range(6)]
        rows = [await each.start(f"e{n}") for n, each in enumerate(entries)]
        link = TcpPeerLink(SECRET)
        for each, row in zip(entries, rows, strict=True):
            each.view = attrs.evolve(view, entries=rows, own_row=row)
            each.connector = PathConnector(each.clock, link, each.view, 1)
            each.connector.direct = CutConnector(refused=kind == "refused")
            each.host.connector, each.host.view = each.connector, each.view
        for number in range(10):
            with pytest.raises(ConnectFailed):
                connector = entries[number % 6].connector
                await connector.connect(engines.rows[0].address, 600)
        during = sum(each.asked for each in entries)
        await curio.sleep(1.5)
        return during, sum(each.asked for each in entries) - during

    during, after = curio.run(main)
    assert during <= 30
    assert after == 0


def test_slow_path_is_no_lost_path():
    """Guards against a full link whose connections all go through other entries."""

    class SlowConnector(DirectConnector):
        async def connect(self, address, timeout_ms):
            await curio.sleep(0.2)
            return await super().connect(address, timeout_ms)

    async def main():
        engines = await start_engines(2)
        view = View(None, engines.rows)
        carrier = Carrier(view)
        carrier.connector.direct = SlowConnector()
        view.entries = [await carrier.start()]
        connector = cut_entry(view)
        connector.direct = SlowConnector()
        for number in range(6):
            address = engines.rows[number % 2].address
            opened = await connector.connect(address, 600)
            await opened.sock.close()
        await curio.sleep(0.4)
        return [connector.paths.is_lost(row.address) for row in engines.rows]

    assert curio.run(main) == [False, False]


def test_silent_carriers_keep_to_the_time_limit():
    """Guards against requests that are late because other entries do not reply."""

    async def main():
        engines = await start_engines(1)
        view = View(None, engines.rows)
        (address,) = free_addresses(1)

        async def accept(sock, peer):
            await curio.sleep(5)

        await curio.spawn(
            curio.tcp_server, address.host, address.port, accept, daemon=True
        )
        await curio.sleep(0.02)
        view.entries = [EntryRow(f"c{n}", address, "a", 1) for n in range(4)]
        connector, clock = cut_entry(view), SystemClock()
        started_ms = clock.now_ms()
        with pytest.raises(ConnectFailed):
            await connector.connect(engines.rows[0].address, 200)
        return clock.now_ms() - started_ms

    assert curio.run(main) < 400


def test_dead_target_is_confirmed_while_no_other_entry_can_tell():
    """Guards against crashes that go unseen while other entries are of an old build."""

    async def main():
        engines = await start_engines(1)
        (dead,) = free_addresses(1)
        view = View(None, [TargetRow("dead", dead, "s", "a", 4), *engines.rows])

        async def reject(message):
            raise MessageError("unknown channel")

        carrier = Carrier(view)
        carrier.handle = reject
        view.entries = [await carrier.start()]
        connector = PathConnector(SystemClock(), TcpPeerLink(SECRET), view, 1)
        return await connector.probe(dead, 300)

    assert curio.run(main) is Reachability.REFUSES


def test_neighbours_that_are_cut_off_do_not_use_up_all_asks():
    """Guards against requests that fail although an entry far away could carry them."""

    async def main():
        engines = await start_engines(1)
        view = View(None, engines.rows)
        near = [Carrier(view) for _ in range(4)]
        for each in near:
            each.connector.paths.is_cut_off = True
        far = Carrier(view)
        view.entries = [await each.start(f"n{n}") for n, each in enumerate(near)]
        view.entries.append(await far.start("far", "b"))
        connector = cut_entry(view)
        for _ in range(60):
            opened = await connector.connect(engines.rows[0].address, 300)
            await opened.sock.close()
            await curio.sleep(0.04)
        return sum(each.asked for each in near)

    assert curio.run(main) <= 12


@pytest.mark.alone
def test_large_answer_leaves_the_carrier_time_for_others():
    """Guards against streams that stand still while an entry carries a fast answer."""
    size = 64 * 1024 * 1024

    async def handle(sock):
        await sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // 262_144):
            await sock.sendall(bytes(262_144))

    async def client(http, row, target, carrier, connector):
        gaps, used = [], []

        async def tick():
            while True:
                before_s, used_s = time.monotonic(), time.thread_time()
                await curio.sleep(0.005)
                gaps.append(time.monotonic() - before_s)
                used.append(time.thread_time() - used_s)

        ticker = await curio.spawn(tick, daemon=True)
        async with http.open(row.address, "GET", "/", timeout_ms=9_000) as answer:
            received = 0
            while piece := await answer.read(3_000):
                received += len(piece)
        await ticker.cancel()
        return received, max(gaps), max(used)

    received, gap_s, used_s = run_tunnel(handle, client)
    assert received == size
    # The wall clock also counts what other processes of the machine take.
    assert gap_s < SILENCE_LIMIT_S
    assert used_s < EVENT_LIMIT_S * CORE_SHARE


# What a carrier refuses


def test_carrier_sends_nothing_to_a_target_that_leaves():
    """Guards against requests to a target that only the carrier knows to leave."""

    async def client(http, row, target, carrier, connector):
        carrier.view = attrs.evolve(
            carrier.view, rows=[attrs.evolve(row, leaving=True)]
        )
        carrier.host.view = carrier.view
        with pytest.raises(ConnectFailed) as error:
            await connector.connect(row.address, 300)
        return error.value.confirmed

    assert run_tunnel(whole_answer, client) is False


def test_pause_that_the_carrier_was_asked_for_holds():
    """Guards against requests over a VM that the target wants none from.

    The target has not paused the other VMs.
    """

    async def client(http, row, target, carrier, connector):
        other = Carrier(carrier.view)
        carrier.pause_ms = 700
        with pytest.raises(ConnectFailed) as error:
            await connector.connect(row.address, 300)
        connector.view.entries.append(await other.start("other", "b"))
        opened = await connector.connect(row.address, 300)
        await opened.sock.close()
        return error.value.confirmed, other.asked

    assert run_tunnel(whole_answer, client) == (False, 1)


@pytest.mark.parametrize("reason", list(TunnelRefusal))
def test_refused_tunnel_has_sent_nothing(reason):
    """Guards against a refusal of the carrier that is taken for a run."""

    async def main():
        (dead,) = free_addresses(1)
        view = View(None, [TargetRow("t0", dead, "s", "a", 4)])
        carrier = Carrier(view)

        async def refuse(message):
            return attrs.evolve(await carrier.host.open(message), reason=reason)

        carrier.stopping = True
        carrier.handle = refuse
        view.entries = [await carrier.start()]
        with pytest.raises(TargetFailed) as error:
            await cut_entry(view).connect(dead, 300)
        return error.value.verdict

    assert curio.run(main) == "not-run"


def test_target_that_was_restarted_is_not_taken_for_its_predecessor():
    """Guards against a carrier that lags behind and refuses a restarted target."""

    async def client(http, row, target, carrier, connector):
        old = attrs.evolve(row, leaving=True)
        carrier.host.view = View(None, [old])
        connector.view.rows = [attrs.evolve(row, incarnation=row.incarnation + 1)]
        opened = await connector.connect(row.address, 300)
        await opened.sock.close()
        return carrier.asked

    assert run_tunnel(whole_answer, client) == 1


def test_connections_that_are_opening_count():
    """Guards against a carrier that exceeds its limit, or stops in between."""

    async def client(http, row, target, carrier, connector):
        host = carrier.host
        opening = []

        class SeenConnector(DirectConnector):
            async def connect(self, address, timeout_ms):
                opening.append(host.running)
                return await super().connect(address, timeout_ms)

        carrier.connector.direct = SeenConnector()
        opened = [await connector.connect(row.address, 300) for _ in range(3)]
        for each in opened:
            await each.sock.close()
        await curio.sleep(0.1)
        return opening, host.running

    assert run_tunnel(whole_answer, client) == ([1, 2, 3], 0)


def test_connection_is_closed_if_the_reply_cannot_be_sent():
    """Guards against connections to targets that leak when an entry vanishes."""

    async def client(http, row, target, carrier, connector):
        opened = carrier.host.open

        async def slow(message):
            upgrade = await opened(message)
            await curio.sleep(0.3)
            return upgrade

        carrier.host.open = slow
        with pytest.raises(ConnectFailed):
            await connector.connect(row.address, 100)
        await curio.sleep(0.5)
        return carrier.host.running, len(carrier.connector.paths.sockets)

    assert run_tunnel(whole_answer, client) == (0, 0)


# Whole requests


def relay_through(carrier_options, kind, engines, client, **options):
    """Run a relay whose entry is cut off, beside an entry that carries."""
    view = View(None)
    connector = cut_entry(view)

    async def cut_client(address, fleet):
        view.rows = fleet.rows
        carrier = Carrier(View(None, fleet.rows))
        for name, value in carrier_options.items():
            setattr(carrier, name, value)
        view.entries = [await carrier.start()]
        return await client(address, fleet, carrier)

    return run_relay(kind, engines, cut_client, connector=connector, **options)


def test_stream_through_another_entry_is_whole():
    """Guards against events that are lost, joined or reordered on the way round."""
    events = [event(number) for number in range(1, 30)]

    async def client(address, fleet, carrier):
        reply = await send(address)
        return reply.status, reply.body, carrier.asked

    engines = [[stream(*events, fail=False)]]
    found = relay_through({}, RouteKind.STREAM, engines, client)
    assert found == (200, b"".join(events), 1)


def test_order_whose_tunnel_breaks_may_have_run():
    """Guards against an order that is answered "not run", or runs again."""

    async def client(address, fleet, carrier):
        async def cut_tunnel():
            while not fleet.seen:
                await curio.sleep(0.01)
            await carrier.server.cancel()

        task = await curio.spawn(cut_tunnel)
        found = await status_and_runs(address, fleet)
        await task.join()
        return found

    async def never():
        await curio.sleep(5)
        yield b""

    def silent(request):
        echo = ("Attempt-Id", request.headers["attempt-id"])
        return Response(200, never(), (echo, SIGNATURE))

    engines = [[silent], [answer(200, b"ok", SIGNATURE)]]
    status, runs = relay_through({}, RouteKind.ORDER, engines, client)
    assert status in (502, 504)
    assert runs == [0]


def test_handed_time_is_what_is_left_when_the_tunnel_is_open():
    """Guards against a target that works on after the deadline of its request."""

    async def client(address, fleet, carrier):
        handle = carrier.handle

        async def slow(message):
            await curio.sleep(CARRIER_DELAY_S)
            return await handle(message)

        carrier.handle = slow
        await send(address)
        return int(fleet.seen[0][1].headers["deadline-remaining"])

    engines = [[answer(200, b"ok", SIGNATURE)]]
    assert relay_through({}, RouteKind.ORDER, engines, client) <= 1_850


def test_key_of_the_caller_is_not_passed_on():
    """Guards against a key that reaches another entry or a target."""

    async def client(address, fleet, carrier):
        await send(address, key="k")
        headers = fleet.seen[0][1].headers
        return "credential" in headers, headers.get("tenant")

    engines = [[answer(200, b"ok", SIGNATURE)]]
    found = relay_through({}, RouteKind.ORDER, engines, client, keys=("k",))
    assert found == (False, "guild")


def test_rejections_over_tunnels_spend_one_retry_each():
    """Guards against a way round that draws on the retry budget."""
    spent = []

    def count(handler):
        spend = handler.budget.spend
        handler.attempts.budget.spend = lambda service: (
            spent.append(service) or spend(service)
        )

    async def client(address, fleet, carrier):
        return await status_and_runs(address, fleet)

    engines = [[answer(503, b"", NOT_RUN)], [answer(200, b"ok", SIGNATURE)]]
    found = relay_through({}, RouteKind.IDEMPOTENT, engines, client, on_handler=count)
    assert found == (200, [0, 1])
    assert len(spent) == 1
