"""Tests of what an entry does while a data centre is cut off, in virtual time.

Four data centres with four targets and two entries each; the entry is in the first one.
"""

import random

import attrs
import curio
import pytest

from tests.test_cut_beliefs import LINK_MS, TargetSocket
from wagtailrun.adapters.http_client import OpenConnection
from wagtailrun.discovery import FleetView
from wagtailrun.exceptions import ConnectFailed, PeerUnreachable
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address, TunnelLink
from wagtailrun.relay.paths.data_centre_reach import CHECK_LIMIT_MS
from wagtailrun.relay.paths.tunnel_messages import TunnelRefusal, TunnelRefused
from wagtailrun.relay.paths.tunnels import DIRECT_TIMEOUT_MS, PathConnector
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

DATA_CENTRES = ("a", "b", "c", "d")
ROWS = [
    TargetRow(f"t{n}", Address(f"10.0.0.{n + 1}", 80), "s", DATA_CENTRES[n % 4], 4)
    for n in range(16)
]
ENTRIES = [
    EntryRow(f"e{n}", Address(f"10.0.1.{n + 1}", 80), DATA_CENTRES[n % 4], 1)
    for n in range(8)
]
# Time in which an entry finds out that a data centre is away, and that it is back.
FIND_OUT_MS = 1_000
CUT_MS = 10_000
REQUEST_INTERVAL_MS = 20


class Network(TunnelLink):
    """Connections of one entry.

    Attributes:
        lost: Addresses to which no connection can be opened.
        hangs: Whether lost connections hang rather than being refused.
        loss: Share of connections whose first packet is lost.
        carry: Entries that reach all targets. The others reach those of their own data
            centre and what this entry reaches.
        kept: Entries that reply over connections that were kept.
        tried: Time and address of each connection that was tried.
    """

    def __init__(self, clock, seed):
        self.clock = clock
        self.random = random.Random(seed)
        self.lost = set()
        self.hangs = False
        self.loss = 0.0
        self.carry = set()
        self.kept = set()
        self.tried = []

    def cut(self, *data_centres):
        rows = [row for row in [*ROWS, *ENTRIES] if row.data_centre in data_centres]
        self.lost.update(row.address for row in rows)

    async def connect(self, address, timeout_ms):
        self.tried.append((self.clock.now_ms(), address))
        is_lost = address in self.lost
        if self.random.random() < self.loss or is_lost and self.hangs:
            await curio.sleep(timeout_ms / 1_000)
            raise ConnectFailed("timed out")
        await curio.sleep(LINK_MS / 1_000)
        if is_lost:
            raise ConnectFailed("refused", refused=True)
        return OpenConnection(TargetSocket())

    async def call(self, address, message, timeout_ms):
        raise NotImplementedError

    async def open_tunnel(self, address, message, timeout_ms, opened):
        await curio.sleep(LINK_MS / 1_000)
        entry = next(each for each in ENTRIES if each.address == address)
        if address in self.lost and entry.name not in self.kept:
            if self.hangs:
                await curio.sleep(timeout_ms / 1_000)
            raise PeerUnreachable("cut off", timed_out=self.hangs)
        target = Address.parse(message.address)
        row = next(each for each in ROWS if each.address == target)
        if entry.name in self.carry or row.data_centre == entry.data_centre:
            return TargetSocket()
        if target in self.lost and not self.hangs or timeout_ms <= message.limit_ms:
            return TunnelRefused(TunnelRefusal.NO_PATH, "cut off")
        if target in self.lost:
            # It tries the target, and one beside it.
            await curio.sleep(2 * min(message.limit_ms, DIRECT_TIMEOUT_MS) / 1_000)
            return TunnelRefused(TunnelRefusal.NO_PATH, "cut off")
        return TargetSocket()


def make_view(clock, rows=ROWS):
    view = FleetView(clock, None, ENTRIES[0], tuple, None, 5_000, 2_500)
    view.entries = tuple(ENTRIES)
    for row in rows:
        view._put_target(row, 0)
    return view


def run(scenario, seed=1):
    """Run ``scenario(clock, network, entry)`` beside the watch of the paths."""

    async def main(clock):
        network = Network(clock, seed)
        entry = PathConnector(clock, network, make_view(clock), seed)
        entry.direct = network
        tasks = [await curio.spawn(entry.paths.run)]
        if hasattr(entry, "reach"):
            tasks.append(await curio.spawn(entry.reach.run))
        try:
            return await scenario(clock, network, entry)
        finally:
            for task in tasks:
                await task.cancel()

    return run_virtual(main)


async def request(entry, rows):
    """Connect to one target after the other until one accepts it."""
    for row in rows:
        try:
            opened = await entry.connect(row.address, 600)
        except ConnectFailed:
            continue
        await opened.sock.close()
        return


async def send_requests(clock, entry, length_ms):
    """Send requests to the targets of the view at a steady rate."""
    ends_ms = clock.now_ms() + length_ms
    while clock.now_ms() < ends_ms:
        rows = entry.view.targets("s")
        order = entry.random.sample(rows, len(rows))
        await curio.spawn(request, entry, order, daemon=True)
        await clock.sleep_ms(REQUEST_INTERVAL_MS)


def used(entry):
    """Return the data centres whose targets requests may be sent to."""
    return {row.data_centre for row in entry.view.targets("s")}


@pytest.mark.parametrize("hangs", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_targets_of_a_data_centre_that_is_away_are_left_out(seed, hangs):
    """Guards against an entry that tries targets that are cut off to the end.

    Each of its requests tried some of them first, and connections through others.
    """

    async def scenario(clock, network, entry):
        network.hangs = hangs
        network.cut("d")
        await send_requests(clock, entry, 3 * FIND_OUT_MS if hangs else FIND_OUT_MS)
        during, begun = used(entry), len(network.tried)
        await send_requests(clock, entry, CUT_MS)
        tried = [address for _, address in network.tried[begun:]]
        probes = sum(address in network.lost for address in tried)
        network.lost.clear()
        await send_requests(clock, entry, FIND_OUT_MS)
        return during, probes, used(entry)

    during, probes, after = run(scenario, seed)
    assert during == {"a", "b", "c"}
    # Two probes a second.
    assert 0 < probes <= 3 * CUT_MS / 1_000
    assert after == set(DATA_CENTRES)


@pytest.mark.parametrize("hangs", [False, True])
def test_cut_is_found_out_although_no_new_connection_fails(hangs):
    """Load: an entry that sends all over kept connections, and loses results.

    Guards against stages that run again across a cut: only a new connection that
    failed led to a review, up to 0.9 s after the cut.
    """

    async def scenario(clock, network, entry):
        network.hangs = hangs
        network.cut("d")
        started_ms = clock.now_ms()
        await entry.reach.check({"a", "b", "d"})
        took_ms, at_once = clock.now_ms() - started_ms, used(entry)
        tried = len(network.tried)
        await entry.reach.check({"b", "d"})
        again = len(network.tried) - tried
        await clock.sleep_ms(3 * FIND_OUT_MS)
        return took_ms, at_once, used(entry), again

    took_ms, at_once, later, again = run(scenario)
    assert took_ms <= CHECK_LIMIT_MS
    if not hangs:
        assert at_once == {"a", "b", "c"}
        # A check of a data centre that was reviewed a moment ago tries nothing.
        assert again == 0
    assert later == {"a", "b", "c"}


@pytest.mark.parametrize("hangs", [False, True])
def test_cut_side_uses_its_own_targets(hangs):
    """Guards against an entry that is cut off and uses the targets of the others.

    It hears from control members of the other side over connections that were kept, and
    there its own targets count as unresponsive. Entries of the other side reply over
    connections that were kept, too.
    """

    async def scenario(clock, network, entry):
        network.hangs = hangs
        network.cut("b", "c", "d")
        network.kept.update(entry.name for entry in ENTRIES)
        for row in ROWS:
            if row.data_centre == "a":
                silent = attrs.evolve(row, silent=True, sequence=row.sequence + 1)
                entry.view._put_target(silent, 0)
        await send_requests(clock, entry, 2 * FIND_OUT_MS if hangs else FIND_OUT_MS)
        owners = {row.data_centre for row in entry.view.near_entries()}
        return used(entry), owners, entry.paths.is_cut_off

    assert run(scenario) == ({"a"}, {"a"}, False)


def test_data_centre_that_other_entries_reach_is_not_away():
    """Guards against targets that are left out because of the paths of one entry."""

    async def scenario(clock, network, entry):
        network.lost.update(row.address for row in ROWS if row.data_centre == "d")
        network.lost.update(row.address for row in ENTRIES if row.data_centre == "d")
        network.carry.update(row.name for row in ENTRIES if row.data_centre == "b")
        found = set()
        for _ in range(10):
            await send_requests(clock, entry, FIND_OUT_MS)
            found.add(frozenset(used(entry)))
        return found

    assert run(scenario) == {frozenset(DATA_CENTRES)}


def test_data_centre_whose_entries_are_reached_is_not_away():
    """Guards against targets that are left out though entries there carry for them."""

    async def scenario(clock, network, entry):
        network.lost.update(row.address for row in ROWS if row.data_centre == "d")
        await send_requests(clock, entry, 5 * FIND_OUT_MS)
        return used(entry)

    assert run(scenario) == set(DATA_CENTRES)


@pytest.mark.parametrize("seed", range(4))
def test_lost_paths_and_packets_are_no_cut(seed):
    """Guards against a data centre that counts as away for half of its paths."""

    async def scenario(clock, network, entry):
        network.loss = 0.03
        half = network.random.sample(ROWS, len(ROWS) // 2)
        network.lost.update(row.address for row in half)
        network.carry.update(row.name for row in ENTRIES)
        found = set()
        for _ in range(20):
            await send_requests(clock, entry, FIND_OUT_MS)
            found.add(frozenset(used(entry)))
        return found

    assert run(scenario, seed) == {frozenset(DATA_CENTRES)}


def test_entry_that_was_late_decides_nothing():
    """Guards against a data centre that counts as away as this entry stood still."""

    async def scenario(clock, network, entry):
        network.cut("d")
        connect = network.connect

        async def connect_late(address, timeout_ms):
            try:
                return await connect(address, timeout_ms)
            except ConnectFailed as error:
                raise ConnectFailed("late", undecided=True, confirmed=False) from error

        network.connect = connect_late
        await send_requests(clock, entry, 3 * FIND_OUT_MS)
        return used(entry)

    assert run(scenario) == set(DATA_CENTRES)


def test_target_of_a_data_centre_that_is_away_is_refused_at_once():
    """Guards against a request that waits for a target that nobody reaches.

    Connections that were kept are not used either: results of stages cannot follow.
    """

    async def scenario(clock, network, entry):
        network.cut("d")
        await send_requests(clock, entry, FIND_OUT_MS)
        address = next(row.address for row in ROWS if row.data_centre == "d")
        started_ms, tried = clock.now_ms(), len(network.tried)
        with pytest.raises(ConnectFailed) as failed:
            await entry.connect(address, 600)
        took_ms = clock.now_ms() - started_ms
        return (
            took_ms,
            len(network.tried) - tried,
            failed.value.confirmed,
            entry.may_reuse(address),
        )

    assert run(scenario) == (0, 0, False, False)
