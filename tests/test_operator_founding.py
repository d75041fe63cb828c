"""Tests of clusters that operators order seeds to found, in virtual time."""

import random

import attrs
import curio
import pytest

from tests.founding_cluster import WATCH_INTERVAL_MS, FoundingCluster, SeedNode
from wagtailrun.consensus import founding_acceptor
from wagtailrun.consensus.messages import (
    FoundingAccept,
    FoundingOrder,
    FoundingPrepare,
    FoundingRecord,
    VoteRequest,
)
from wagtailrun.virtual_time import run_virtual

SEEDS = range(60)
ORDERS = 6
# Shortest and longest sync of disks that several processes use at once.
SLOW_SYNC_MS = (100, 460)
# More than a seed has until the first acknowledged command.
FIRST_SYNC_POINTS = 30


class AddressNode(SeedNode):
    """A process whose name is its address, as that of a control member of the relay."""

    def __init__(self, cluster, number, rate=1.0):
        super().__init__(cluster, number, rate)
        self.name = str(self.address)


@pytest.fixture
def at_once(monkeypatch):
    """Let seeds take orders at once, so that orders come at any time beside ballots."""
    monkeypatch.setattr(founding_acceptor, "LISTEN_MS", 0)


async def new_cluster(clock, permissions=(False, False, False), seed=1):
    """Return seeds that are not started, with or without permission to found."""
    cluster = FoundingCluster(clock, seed, len(permissions))
    cluster.nodes = [AddressNode(cluster, n) for n in range(len(permissions))]
    for node, permission in zip(cluster.nodes, permissions, strict=True):
        node.may_found = permission
    await curio.spawn(cluster.watch, daemon=True)
    return cluster


async def started(clock, permissions=(False, False, False), seed=1):
    cluster = await new_cluster(clock, permissions, seed)
    for node in cluster.nodes:
        await node.start()
    # The seeds count from the end of their recovery.
    await clock.sleep_ms(founding_acceptor.LISTEN_MS + 500)
    return cluster


@pytest.mark.parametrize("permitted", [None, 0, 1, 2])
@pytest.mark.parametrize("ordered", [0, 1, 2])
def test_ordered_seeds_found_a_cluster_of_all(permitted, ordered):
    """Guards against a new system that no operator can start without reinstalling.

    Two or three of three seeds were restarted before the first write.
    """

    async def main(clock):
        cluster = await started(clock, [n == permitted for n in range(3)])
        assert cluster.founded == set()
        member = cluster.nodes[ordered].member
        outcome = await member.found_cluster()
        names = ", ".join(node.name for node in cluster.nodes)
        assert outcome.detail == f"its members are {names}"
        await cluster.acknowledge()
        assert await member.found_cluster() == outcome
        other = await cluster.nodes[ordered - 1].member.found_cluster()
        assert other.cluster == ""
        assert other.detail.endswith(f"belongs to cluster {outcome.cluster}")
        await cluster.settle()
        assert cluster.founded == {outcome.cluster}
        return cluster.violations

    assert run_virtual(main) == []


@pytest.mark.parametrize("ordered", [0, 1, 2])
def test_order_waits_for_disks_that_are_slow(ordered):
    """Guards against an order that is said to have failed, and founds a cluster.

    That came seconds later, and the audit trail had no record of it.
    """

    async def main(clock):
        cluster = await new_cluster(clock)
        for node in cluster.nodes:
            node.disk.delay_ms = SLOW_SYNC_MS
            await node.start()
        await clock.sleep_ms(founding_acceptor.LISTEN_MS + 5_000)
        outcome = await cluster.nodes[ordered].member.found_cluster()
        await clock.sleep_ms(WATCH_INTERVAL_MS)
        return cluster, outcome

    cluster, outcome = run_virtual(main)
    assert outcome.cluster, outcome.detail
    assert cluster.founded == {outcome.cluster}
    assert cluster.violations == []


def test_order_is_refused_where_a_member_has_a_log():
    """Guards against an order that gives up the data of the one disk that is left."""

    async def main(clock):
        cluster = await started(clock, (True, True, True))
        await cluster.acknowledge()
        for node in cluster.nodes[:2]:
            await node.kill()
            node.disk.empty()
            await node.start()
        await clock.sleep_ms(founding_acceptor.LISTEN_MS + 500)
        (kept,) = cluster.founded
        for node in cluster.nodes:
            outcome = await node.member.found_cluster()
            assert outcome.cluster == ""
            assert f"belongs to cluster {kept}" in outcome.detail
        # Nor once that member is away.
        await cluster.nodes[2].kill()
        outcome = await cluster.nodes[0].member.found_cluster()
        assert outcome.cluster == ""
        assert f"belongs to cluster {kept}" in outcome.detail
        records = [n.member.journal.member_record for n in cluster.nodes[:2]]
        assert [record.founding.seeds for record in records] == [(), ()]
        await clock.sleep_ms(20_000)
        assert cluster.founded == {kept}
        return cluster.violations

    assert run_virtual(main) == []


class MajorityOutsideTheSeeds:
    """Seven members, of which three are seeds, and the four others go on without them.

    Args:
        clock: Virtual clock.
        lost: How many seeds lose their disks.
        away_ms: How long they are away; after 3 s for each, the others remove them.
    """

    def __init__(self, clock, lost, away_ms):
        self.clock = clock
        self.lost = lost
        self.away_ms = away_ms

    async def start(self):
        cluster = await new_cluster(self.clock, (True,) * 3 + (False,) * 4)
        seeds = [(node.name, node.address) for node in cluster.nodes[:3]]
        for node in cluster.nodes:
            node.seeds = seeds
            await node.start()
        await cluster.acknowledge()
        await cluster.wait_for(cluster.is_repaired, "not repaired")
        for node in cluster.nodes[: self.lost]:
            await node.kill()
            node.disk.empty()
        await self.clock.sleep_ms(self.away_ms)
        for node in cluster.nodes[: self.lost]:
            await node.start()
        return cluster


@pytest.mark.parametrize("away_ms", [0, 30_000])
@pytest.mark.parametrize("lost", [2, 3])
def test_seeds_that_lost_their_disks_join_the_members_that_go_on(lost, away_ms):
    """Guards against seeds that know only each other, all with emptied disks."""

    async def main(clock):
        cluster = await MajorityOutsideTheSeeds(clock, lost, away_ms).start()
        await clock.sleep_ms(20_000)
        await cluster.settle()
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1


@pytest.mark.parametrize("away_ms", [0, 30_000])
@pytest.mark.parametrize("after_ms", [100, 1_000, 4_000, 12_000])
def test_order_founds_nothing_beside_members_that_no_seed_knows(after_ms, away_ms):
    """Guards against a second log beside a cluster that has removed all seeds."""

    async def main(clock):
        cluster = await MajorityOutsideTheSeeds(clock, 3, away_ms).start()
        (kept,) = cluster.founded
        await clock.sleep_ms(after_ms)
        tasks = [
            await curio.spawn(node.member.found_cluster) for node in cluster.nodes[:3]
        ]
        outcomes = [await task.join() for task in tasks]
        await clock.sleep_ms(20_000)
        await cluster.settle()
        return cluster, kept, outcomes

    cluster, kept, outcomes = run_virtual(main)
    assert [outcome.cluster for outcome in outcomes] == ["", "", ""]
    assert cluster.founded == {kept}
    assert cluster.violations == []


def test_member_that_was_admitted_and_has_no_log_yet_founds_none():
    """Guards against a second log by members whom a leader had begun to admit."""

    async def main(clock):
        cluster = await started(clock, (False, True, False))
        first, second, third = cluster.nodes
        journal = third.member.journal
        await journal.save_record(attrs.evolve(journal.member_record, cluster="x#1"))
        outcomes = [await node.member.found_cluster() for node in cluster.nodes]
        # Also if all have the permission, by an order that was given before.
        for node in (first, third):
            member = node.member
            record = FoundingRecord(second.member.journal.member_record.founding.seeds)
            await member.founding.acceptor.save(record)
        await clock.sleep_ms(10_000)
        return cluster, outcomes

    cluster, outcomes = run_virtual(main)
    assert all("belongs to cluster x#1" in outcome.detail for outcome in outcomes)
    assert cluster.founded == set()


def test_seed_that_has_just_started_takes_no_order():
    """Guards against an order before a leader has called the seeds that lost disks."""

    async def main(clock):
        cluster = await started(clock)
        await cluster.nodes[2].kill()
        await cluster.nodes[2].start()
        await clock.sleep_ms(5_000)
        refused = await cluster.nodes[0].member.found_cluster()
        also_refused = await cluster.nodes[2].member.found_cluster()
        assert cluster.founded == set()
        await clock.sleep_ms(5_500)
        outcome = await cluster.nodes[0].member.found_cluster()
        return refused, also_refused, outcome

    refused, also_refused, outcome = run_virtual(main)
    assert "10.0.0.1:7002 refused" in refused.detail
    assert "runs for less than 10 s" in refused.detail
    assert "10.0.0.1:7002 runs for less than 10 s" in also_refused.detail
    assert outcome.cluster


@pytest.mark.parametrize("step", ["orders", "ballots"])
def test_order_founds_nothing_without_all_seeds(step):
    """Guards against a second log beside that of a seed that is cut off.

    The seed is cut off before its permission, or after it.
    """

    async def main(clock):
        cluster = await started(clock, (False, True, False))
        first, second, third = cluster.nodes
        kind = FoundingOrder if step == "orders" else FoundingPrepare

        def cut_off(message, is_handled):
            if isinstance(message, kind) and not is_handled:
                for node in (first, second):
                    cluster.network.cut(node.address, third.address)
            return False

        third.end_at = cut_off
        outcome = await first.member.found_cluster()
        assert outcome.cluster == ""
        assert outcome.detail.endswith("repeat the order")
        await clock.sleep_ms(20_000)
        assert cluster.founded == set()
        for node in (first, second):
            refused = await node.member.found_cluster()
            assert f"no answer of {third.address}" in refused.detail
        cluster.network.heal()
        third.end_at = None
        assert (await second.member.found_cluster()).cluster
        await cluster.settle()
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1


def test_member_that_lost_its_disk_does_not_count_by_a_majority_after_an_order(
    at_once,
):
    """Guards against an order that makes up for the disk of an earlier founding.

    Two of three seeds founded the cluster; one lost its disk, and an order that
    reaches it and the third one, which may found by a majority, is not finished.
    """

    async def main(clock):
        cluster = await started(clock, (True, True, False))
        await cluster.acknowledge(10_000)
        first, second, third = cluster.nodes
        await first.kill()
        for node in (second, third):
            await node.kill()
            node.disk.empty()
        # As if it were the late start of a seed that has not taken part.
        third.may_found = True
        for node in (second, third):
            await node.start()
        await clock.sleep_ms(100)
        member = third.member
        record = member.journal.member_record.founding
        reply = await member.state.link.call(
            second.address, FoundingOrder(second.member.identity, record.seeds), 500
        )
        assert reply.record.seeds == record.seeds
        assert not reply.record.by_majority
        await clock.sleep_ms(20_000)
        assert len(cluster.founded) == 1
        await first.start()
        await clock.sleep_ms(5_000)
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1


def test_seeds_with_other_settings_take_no_order():
    """Guards against two foundings with different seeds."""

    async def main(clock):
        cluster = await started(clock)
        first, second, third = cluster.nodes
        second.member.peers = (second.address, third.address)
        outcome = await first.member.found_cluster()
        assert f"{second.address} refused: it has other seeds" in outcome.detail
        await clock.sleep_ms(10_000)
        assert cluster.founded == set()
        # It takes over the list of a later order, as it has accepted nothing.
        second.member.peers = tuple(node.address for node in cluster.nodes)
        assert (await second.member.found_cluster()).cluster
        await cluster.settle()
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1


@pytest.mark.parametrize("permissions", [(False,) * 3, (True, False, False)])
@pytest.mark.parametrize("number", [0, 1, 2])
def test_seed_may_end_at_each_write_of_a_founding_by_order(
    number, permissions, at_once
):
    """Guards against a seed that is stuck between two writes and blocks all others.

    It is started again without permission, and the order is repeated.
    """

    async def main(clock, sync_point):
        cluster = await started(clock, permissions)
        node = cluster.nodes[number]
        node.disk.kill_at = node.disk.sync_points + sync_point
        await curio.spawn(cluster.nodes[0].member.found_cluster, daemon=True)
        await clock.sleep_ms(4_000)
        ended = node.member is None
        node.disk.kill_at = None
        if ended:
            await node.start()
            await clock.sleep_ms(1_000)
        if not cluster.founded:
            outcome = await cluster.nodes[-1].member.found_cluster()
            assert outcome.cluster, outcome.detail
        await cluster.acknowledge()
        await cluster.settle()
        assert len(cluster.founded) == 1
        return cluster.violations, ended

    ends = 0
    for sync_point in range(1, FIRST_SYNC_POINTS):
        violations, ended = run_virtual(lambda clock, at=sync_point: main(clock, at))
        assert violations == [], sync_point
        ends += ended
    assert ends >= 6


@pytest.mark.parametrize("number", [0, 1, 2])
def test_seed_may_end_at_each_write_of_a_founding_by_a_majority(number):
    """Guards against a seed that is stuck between two writes and blocks all others.

    It is started again without the setting that gave it the permission.
    """

    async def main(clock, sync_point):
        cluster = await new_cluster(clock, (True, True, True))
        node = cluster.nodes[number]
        node.disk.kill_at = sync_point
        for each in cluster.nodes:
            await each.start()
        await clock.sleep_ms(4_000)
        ended = node.member is None
        node.disk.kill_at = None
        if ended:
            await node.start()
        await cluster.acknowledge()
        await cluster.settle()
        return cluster, ended

    ends = 0
    for sync_point in range(1, FIRST_SYNC_POINTS):
        cluster, ended = run_virtual(lambda clock, at=sync_point: main(clock, at))
        assert cluster.violations == [], sync_point
        assert len(cluster.founded) == 1, sync_point
        ends += ended
    assert ends >= 6


@pytest.mark.parametrize("seed", SEEDS)
def test_orders_beside_ballots_found_one_cluster(seed, at_once):
    """Guards against two logs of an order and a founding by a majority, or two orders.

    Seeds end before and after each request and at any write, stand still and are cut
    off; one at most loses its disk.
    """
    rng = random.Random(seed)
    size = rng.choice((3, 3, 4, 5))
    permissions = [rng.random() < 0.5 for _ in range(size)]
    requests = (FoundingOrder, FoundingPrepare, FoundingAccept, VoteRequest)

    def ends_at(request, handled):
        return lambda message, is_handled: (
            isinstance(message, request) and is_handled == handled
        )

    async def order(node):
        member = node.member
        if member is not None and member.is_open:
            await member.found_cluster()

    async def main(clock):
        cluster = await new_cluster(clock, permissions, seed)
        for node in cluster.nodes:
            if rng.random() < 0.4:
                node.end_at = ends_at(rng.choice(requests), rng.random() < 0.5)
            elif rng.random() < 0.4:
                node.disk.kill_at = rng.randint(1, FIRST_SYNC_POINTS)
            await node.start()
        has_lost_disk = False
        for _ in range(ORDERS):
            await curio.spawn(order, rng.choice(cluster.nodes), daemon=True)
            await clock.sleep_ms(rng.randint(0, 800))
            node, other = rng.sample(cluster.nodes, 2)
            match rng.randrange(5):
                case 0:
                    cluster.network.cut(node.address, other.address)
                case 1:
                    node.freeze()
                case 2:
                    cluster.network.heal()
                    node.thaw()
                case 3:
                    await node.kill()
            for each in cluster.nodes:
                if each.member is None and rng.random() < 0.6:
                    each.end_at = each.disk.kill_at = None
                    if not has_lost_disk and rng.random() < 0.2:
                        has_lost_disk = True
                        each.disk.empty()
                    await each.start()
        cluster.network.heal()
        for node in cluster.nodes:
            node.thaw()
            node.end_at = node.disk.kill_at = None
            if node.member is None:
                await node.start()
        await clock.sleep_ms(3_000)
        if not has_lost_disk:
            if not cluster.founded:
                await order(cluster.nodes[-1])
            await cluster.acknowledge(10_000)
            await cluster.settle()
        else:
            await clock.sleep_ms(10_000)
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) <= 1
