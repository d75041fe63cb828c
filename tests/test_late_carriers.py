"""Tests of entries that carry connections for others and reply late."""

import functools

import attrs
import curio
import pytest

from tests.test_relay_front import SIGNATURE, answer, run_relay, send
from tests.test_tunnels import (
    SECRET,
    Carrier,
    CutConnector,
    View,
    cut_entry,
    start_engines,
)
from wagtailrun.adapters import numeric_connection
from wagtailrun.adapters.http_client import OpenConnection
from wagtailrun.adapters.tcp_link import TcpPeerLink
from wagtailrun.clock import SystemClock
from wagtailrun.exceptions import ConnectFailed, PeerUnreachable
from wagtailrun.ports.link import Address, Upgrade
from wagtailrun.relay.paths.tunnel_messages import (
    OpenTunnel,
    TunnelRefusal,
    TunnelRefused,
)
from wagtailrun.relay.paths.tunnels import PathConnector, TunnelHost
from wagtailrun.relay.requests.attempts import CONNECT_TIMEOUT_MS
from wagtailrun.routes import RouteKind
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock, run_virtual

pytestmark = pytest.mark.network

# Time of each request, see ``send``.
REQUEST_MS = 2_000
# What a loaded machine adds.
SLACK_MS = 300


class LateCarrier(Carrier):
    """A carrier that stands still until a time on its clock."""

    returns_ms = 0

    def stand_still(self, duration_ms):
        self.returns_ms = self.clock.now_ms() + duration_ms

    async def handle(self, message):
        await self.clock.sleep_ms(self.returns_ms - self.clock.now_ms())
        return await super().handle(message)


async def start_carriers(view, count):
    """Start carriers that reach the targets of a view, and add them to it."""
    carriers = [LateCarrier(View(None, view.rows)) for _ in range(count)]
    view.entries = [await each.start(f"c{n}") for n, each in enumerate(carriers)]
    return carriers


def run_cut(client, carriers=1):
    """Run ``client(connector, carriers, address)`` of a cut entry."""

    async def main():
        engines = await start_engines(2)
        view = View(None, engines.rows)
        late = await start_carriers(view, carriers)
        async with curio.timeout_after(10):
            return await client(cut_entry(view), late, engines.rows[0].address)

    return curio.run(main)


async def is_carried(connector, address, timeout_ms=CONNECT_TIMEOUT_MS):
    opened = await connector.connect(address, timeout_ms)
    await opened.sock.close()
    return opened.carrier is not None


def relay_late(still_ms, carriers, kind=RouteKind.ORDER, handle=None):
    """Return the answer to a request, its time, and how often it was run."""
    view = View(None)
    clock = SystemClock()

    async def client(address, fleet):
        # A target of another service, which shows that the entry is cut off.
        (beside,) = (await start_engines(1)).rows
        view.rows = [*fleet.rows, attrs.evolve(beside, name="beside")]
        for each in await start_carriers(view, carriers):
            each.stand_still(still_ms)
            if handle is not None:
                each.handle = functools.partial(handle, each)
        started_ms = clock.now_ms()
        reply = await send(address)
        return reply, clock.now_ms() - started_ms, len(fleet.seen)

    engines = [[answer(200, b"ok", SIGNATURE)]]
    return run_relay(kind, engines, client, connector=cut_entry(view))


@pytest.mark.parametrize("still_ms", [300, 450])
def test_only_carrier_has_the_whole_time(still_ms):
    """Guards against a connection that fails while most of its time is left.

    The only entry that can carry it had a third of the time, as if there were three.
    """

    async def client(connector, carriers, address):
        carriers[0].stand_still(still_ms)
        return await is_carried(connector, address)

    assert run_cut(client)


@pytest.mark.parametrize("carriers", [1, 2])
@pytest.mark.parametrize("still_ms", [300, 700, 1_000])
def test_request_waits_for_carriers_that_are_late(still_ms, carriers):
    """Guards against a refusal although a further attempt would succeed in time."""
    reply, _, runs = relay_late(still_ms, carriers)
    assert (reply.status, runs) == (200, 1), reply.body


@pytest.mark.parametrize("kind", [RouteKind.ORDER, RouteKind.STREAM])
def test_request_is_refused_while_another_entry_may_take_it(kind):
    """Guards against a request that waits for silent entries until its deadline."""
    reply, took_ms, runs = relay_late(9_000, 2, kind)
    assert (reply.status, runs) == (503, 0)
    assert b'"verdict": "not-run"' in reply.body
    assert took_ms <= REQUEST_MS // 2 + CONNECT_TIMEOUT_MS + SLACK_MS


def test_carrier_that_was_silent_once_is_asked_again():
    """Guards against requests that fail for a second after a carrier was late."""

    async def client(connector, carriers, address):
        carriers[0].stand_still(400)
        with pytest.raises(ConnectFailed):
            await connector.connect(address, 200)
        await curio.sleep(0.3)
        return await is_carried(connector, address)

    assert run_cut(client)


def test_carrier_that_was_silent_comes_last():
    """Guards against requests that wait for a dead entry beside one that replies."""

    async def client(connector, carriers, address):
        carriers[0].stand_still(9_000)
        while "c0" not in connector.carriers.avoidances_by_carrier:
            await is_carried(connector, address)
        asked = [await is_carried(connector, address) for _ in range(12)]
        return all(asked), connector.carriers.avoidances_by_carrier["c0"].failures

    assert run_cut(client, carriers=2) == (True, 1)


def test_request_tries_again_after_a_carrier_that_stood_still():
    """Guards against a refusal because the only carrier was late twice in a row."""

    async def refuse_once(carrier, message):
        carrier.asked += 1
        if carrier.asked == 1:
            return TunnelRefused(TunnelRefusal.LATE, "late")
        return await carrier.host.open(message)

    reply, _, runs = relay_late(0, 1, handle=refuse_once)
    assert (reply.status, runs) == (200, 1), reply.body


class HeldConnector:
    """Direct connections during the first of which the process stands still.

    Args:
        clock: Virtual clock.
        held: Connections during which it stands still.
        held_ms: How long, each time.
    """

    def __init__(self, clock, held, held_ms):
        self.clock, self.held, self.held_ms = clock, held, held_ms
        self.tried = 0

    async def connect(self, address, timeout_ms):
        self.tried += 1
        try:
            async with curio.timeout_after(timeout_ms / 1_000):
                await curio.sleep(0.001)
                if self.tried <= self.held:
                    self.clock.seconds += self.held_ms / 1_000
                await curio.sleep(0.001)
        except curio.TaskTimeout as error:
            raise ConnectFailed("timed out") from error
        return OpenConnection(OpenSocket())


class OpenSocket:
    """Socket of an open connection."""

    async def close(self):
        pass


ROWS = [TargetRow(f"t{n}", Address("10.0.0.1", n), "s", "a", 4) for n in (1, 2)]
OPEN_TUNNEL = OpenTunnel("e", ROWS[0].name, 0, str(ROWS[0].address), False, 100)


def open_held(held, held_ms):
    """Let a process that stands still carry a connection; return its reply."""
    clock = VirtualClock()

    async def main(clock):
        view = View(None, ROWS)
        connector = PathConnector(clock, None, view, 1)
        connector.direct = HeldConnector(clock, held, held_ms)
        host = TunnelHost(clock, view, connector, lambda address: 0, lambda: False)
        return await host.open(OPEN_TUNNEL), connector.direct.tried

    return run_virtual(main, clock=clock)


@pytest.mark.parametrize("held_ms", [150, 400, 1_000])
def test_carrier_that_stood_still_tries_again(held_ms):
    """Guards against a sound target that counts as dead as its carrier was late."""
    reply, tried = open_held(1, held_ms)
    assert isinstance(reply, Upgrade)
    assert tried == 2


def test_carrier_that_stands_still_blames_no_target():
    """Guards against a sound target that counts as dead beside a short processor."""
    reply, tried = open_held(2, 400)
    assert (reply.reason, tried) == (TunnelRefusal.LATE, 2)


def test_silent_target_has_one_try():
    """Guards against twice the time at a target that is silent itself."""
    clock = VirtualClock()

    async def main(clock):
        connector = PathConnector(clock, None, View(None, ROWS), 1)
        connector.direct = CutConnector(refused=False)
        with pytest.raises(ConnectFailed) as failed:
            await connector.connect_directly(ROWS[0].address, 300)
        return failed.value.undecided, connector.direct.tried

    assert run_virtual(main, clock=clock) == (False, 1)


def test_connection_to_a_peer_that_takes_too_long_timed_out(monkeypatch):
    """Guards against an entry that counts as gone as a loop was held for 300 ms."""

    async def open_nothing(address):
        await curio.sleep(60)

    async def main(clock):
        monkeypatch.setattr(numeric_connection, "open_connection", open_nothing)
        with pytest.raises(PeerUnreachable, match="300 ms") as failed:
            await TcpPeerLink(SECRET).call(ROWS[0].address, OPEN_TUNNEL, 1_000)
        return failed.value.timed_out, failed.value.sent

    assert run_virtual(main) == (True, False)
