"""Tests of clusters that operators order seeds to found, in virtual time."""

import random

import curio
import pytest

from tests.founding_cluster import FoundingCluster, SeedNode
from wagtailrun.consensus.messages import (
    FoundingAccept,
    FoundingOrder,
    FoundingPrepare,
    VoteRequest,
)
from wagtailrun.virtual_time import run_virtual

SEEDS = range(60)
ORDERS = 6
# More than a seed has until the first acknowledged command.
FIRST_SYNC_POINTS = 30


class AddressNode(SeedNode):
    """A process whose name is its address, as that of a control member of the relay."""

    def __init__(self, cluster, number, rate=1.0):
        super().__init__(cluster, number, rate)
        self.name = str(self.address)


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
    await clock.sleep_ms(500)
    return cluster


@pytest.mark.parametrize("permitted", [None, 0, 1, 2])
@pytest.mark.parametrize("ordered", [0, 1, 2])
def test_ordered_seeds_found_a_cluster_of_all(permitted, ordered):
    """Guards against a new system that no operator can start without reinstalling.

    Two or three of three seeds were restarted before the first write.
    """

    async def main(clock):
        cluster = await started(clock, [n == permitted for n in range(3)])
        await clock.sleep_ms(5_000)
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


def test_order_is_refused_where_a_member_has_a_log():
    """Guards against an order that gives up the data of the one disk that is left."""

    async def main(clock):
        cluster = await started(clock, (True, True, True))
        await cluster.acknowledge()
        for node in cluster.nodes[:2]:
            await node.kill()
            node.disk.empty()
            await node.start()
        await clock.sleep_ms(100)
        (kept,) = cluster.founded
        for node in cluster.nodes:
            outcome = await node.member.found_cluster()
            assert outcome.cluster == ""
            assert f"belongs to cluster {kept}" in outcome.detail
        # Nor once that member is away.
        await cluster.nodes[2].kill()
        outcome = await cluster.nodes[0].member.found_cluster()
        assert outcome.cluster == ""
        assert f"no answer of {cluster.nodes[2].address}" in outcome.detail
        records = [n.member.journal.member_record for n in cluster.nodes[:2]]
        assert [record.founding.seeds for record in records] == [(), ()]
        await clock.sleep_ms(20_000)
        assert cluster.founded == {kept}
        return cluster.violations

    assert run_virtual(main) == []


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


def test_member_that_lost_its_disk_does_not_count_by_a_majority_after_an_order():
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
def test_seed_may_end_at_each_write_of_a_founding_by_order(number, permissions):
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
def test_orders_beside_ballots_found_one_cluster(seed):
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
