"""Tests of clusters that operators order members to found, in virtual time."""

import curio
import pytest

from tests.fake_cluster import Cluster
from tests.test_membership_change import OpenNode
from wagtailrun.logs import events
from wagtailrun.virtual_time import run_virtual

SEEDS = range(60)
ORDERS = 6


class Seed(OpenNode):
    """A process whose name is its address, as that of a control member of the relay."""

    def __init__(self, cluster, number, rate):
        super().__init__(cluster, number, rate)
        self.name = str(self.address)


def new_cluster(clock, seed=1, founding=(False, False, False), **network):
    """Return three seeds that are not started; ``founding`` are their permissions."""
    cluster = Cluster(clock, seed, **network)
    cluster.nodes = [Seed(cluster, number, 1.0) for number in range(3)]
    for node, permission in zip(cluster.nodes, founding, strict=True):
        node.founding = permission
    return cluster


async def started(clock, *arguments, **network):
    cluster = new_cluster(clock, *arguments, **network)
    await cluster.start()
    await clock.sleep_ms(500)
    return cluster


async def restart(node):
    await node.kill()
    await node.start()
    await node.clock.sleep_ms(100)


def clusters_with_log(cluster):
    """Return the identifiers of the clusters of all members that have a log."""
    journals = [node.member.journal for node in cluster.nodes if node.member]
    return {each.member_record.cluster for each in journals if each.last_index > 0}


def test_ordered_member_founds_a_cluster_of_all_seeds():
    """Guards against a new system that no operator can start without reinstalling.

    Two of three seeds were restarted before the first write, so that only one of them
    still has the permission to found.
    """

    async def main(clock):
        cluster = await started(clock, 1, (False, True, False))
        await clock.sleep_ms(5_000)
        assert clusters_with_log(cluster) == set()
        outcome = await cluster.nodes[1].member.found_cluster(False)
        assert outcome.cluster == cluster.nodes[1].member.identity
        assert (
            outcome.detail
            == f"its members are {', '.join(n.name for n in cluster.nodes)}"
        )
        await cluster.propose_many(3)
        again = await cluster.nodes[1].member.found_cluster(False)
        assert again == outcome
        await cluster.settle()
        assert clusters_with_log(cluster) == {outcome.cluster}
        return cluster.violations

    assert run_virtual(main) == []


@pytest.mark.parametrize("accepts_unreached", [False, True])
def test_order_is_refused_where_a_member_has_a_log(accepts_unreached):
    """Guards against an order that gives up the data of the one disk that is left."""

    async def main(clock):
        cluster = await started(clock, 1, (True, True, True))
        await cluster.propose_many(2)
        for node in cluster.nodes[:2]:
            await node.kill()
            node.disk.empty()
            node.founding = False
            await node.start()
        await clock.sleep_ms(100)
        kept = cluster.nodes[2].member.journal.member_record.cluster
        for node in cluster.nodes:
            outcome = await node.member.found_cluster(accepts_unreached)
            assert outcome.cluster == ""
            assert kept in outcome.detail or "has named the cluster" in outcome.detail
        # It is refused by what was heard, too, once that member is away.
        await cluster.nodes[2].kill()
        outcome = await cluster.nodes[0].member.found_cluster(accepts_unreached)
        assert "has named the cluster" in outcome.detail
        records = [n.member.journal.member_record for n in cluster.nodes[:2]]
        assert [record.cluster for record in records] == ["", ""]
        return cluster.violations

    assert run_virtual(main) == []


def test_order_is_refused_where_a_seed_is_not_reached():
    """Guards against a second log beside that of a seed that is cut off."""

    async def main(clock):
        cluster = new_cluster(clock)
        first, second, third = cluster.nodes
        await first.start()
        await second.start()
        await clock.sleep_ms(100)
        outcome = await first.member.found_cluster(False)
        assert outcome.cluster == ""
        assert f"no reply of {third.address}" in outcome.detail
        # Nothing was recorded, so that another member may be chosen.
        assert second.member.journal.member_record.cluster == ""
        outcome = await second.member.found_cluster(True)
        assert outcome.detail == f"its members are {first.name}, {second.name}"
        await cluster.propose_many(1)
        await third.start()
        await clock.sleep_ms(100)
        refused = await third.member.found_cluster(True)
        assert refused.cluster == ""
        await cluster.settle()
        assert clusters_with_log(cluster) == {outcome.cluster}
        return cluster.violations

    assert run_virtual(main) == []


def test_order_is_refused_without_a_majority_of_the_seeds():
    """Guards against a log on either side of a cut.

    On the other side of it is the seed that may found a cluster without an order.
    """

    async def main(clock):
        cluster = await started(clock)
        first, second, third = cluster.nodes
        for other in (second, third):
            cluster.network.cut(first.address, other.address)
        outcome = await first.member.found_cluster(True)
        assert "no majority of the seeds" in outcome.detail
        outcome = await second.member.found_cluster(True)
        assert f"{first.address} founds a cluster by itself" in outcome.detail
        assert third.member.journal.member_record.cluster == ""
        cluster.network.heal()
        assert (await second.member.found_cluster(False)).cluster
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []


def test_member_that_took_part_takes_part_in_no_other_founding():
    """Guards against a record of the founding that is lost with the process."""

    async def main(clock):
        cluster = await started(clock)
        first, second, third = cluster.nodes
        # The first seed wins the second one and not the third one.
        cluster.network.cut(first.address, third.address)
        outcome = await first.member.found_cluster(True)
        assert outcome.cluster
        await first.kill()
        first.disk.empty()
        await restart(second)
        cluster.network.heal()
        await first.start()
        await clock.sleep_ms(100)
        assert second.member.journal.member_record.cluster == outcome.cluster
        for node in cluster.nodes:
            for accepts_unreached in (False, True):
                refused = await node.member.found_cluster(accepts_unreached)
                assert refused.cluster == ""
                assert outcome.cluster in refused.detail
        return cluster.violations

    assert run_virtual(main) == []


def test_interrupted_founding_is_repeated_at_the_same_member(monkeypatch):
    """Guards against a founder that ends before its first write and blocks the rest."""
    remedies = []

    def log(event, **fields):
        if event is events.CLUSTER_AWAITED:
            remedies.append(fields["remedy"])

    monkeypatch.setattr(events, "log", log)

    async def main(clock):
        cluster = await started(clock)
        first, second, _ = cluster.nodes
        founder = first.member.identity
        first.disk.kill_at = first.disk.sync_points + 1
        await curio.spawn(first.member.found_cluster, False, daemon=True)
        await clock.sleep_ms(200)
        assert first.member is None
        identity = second.member.journal.member_record.cluster
        assert identity == founder
        await restart(second)
        refused = await second.member.found_cluster(False)
        assert refused.cluster == ""
        await first.start()
        await clock.sleep_ms(8_000)
        assert any(f"wagtailrun found at {first.name}" in r for r in remedies)
        assert clusters_with_log(cluster) == set()
        outcome = await first.member.found_cluster(False)
        assert outcome.cluster == identity
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []


def test_seeds_with_other_settings_take_no_part():
    """Guards against two majorities that do not overlap, of different seeds."""

    async def main(clock):
        cluster = await started(clock)
        first, second, _ = cluster.nodes
        second.member.peers = (second.address,)
        outcome = await first.member.found_cluster(False)
        assert f"its seeds are {second.address}" in outcome.detail
        assert clusters_with_log(cluster) == set()
        return cluster.violations

    assert run_virtual(main) == []


@pytest.mark.parametrize("permitted", [False, True])
@pytest.mark.parametrize("seed", SEEDS)
def test_orders_at_several_members_found_one_cluster(seed, permitted):
    """Guards against two logs after orders, kills and cuts in any order.

    With the permission, the lowest seed may found by itself at the same time. The
    cluster reports two leaders, and commands that differ between members.
    """

    async def main(clock):
        founding = (permitted,) * 3
        cluster = new_cluster(clock, seed, founding, delay_ms=(1, 120), loss=0.05)
        rng = cluster.random
        await cluster.start()
        await curio.spawn(cluster.client, 200, daemon=True)
        founders = set()

        async def order(node, accepts_unreached):
            member = node.member
            outcome = await member.found_cluster(accepts_unreached)
            if outcome.cluster:
                founders.add(outcome.cluster)

        for _ in range(ORDERS):
            for node in cluster.nodes:
                if node.member is None:
                    await node.start()
                elif rng.random() < 0.6:
                    flag = rng.random() < 0.7
                    await curio.spawn(order, node, flag, daemon=True)
            node, other = rng.sample(cluster.nodes, 2)
            fault = rng.choice((0, 1, 2, 4, 5, 7, 8))
            await cluster.inject(fault, node, other)
            await clock.sleep_ms(rng.randint(1, 2_000))
        cluster.network.heal()
        cluster.network.loss = 0.0
        for node in cluster.nodes:
            node.thaw()
            node.disk.kill_at = None
            if node.member is None:
                await node.start()
        await clock.sleep_ms(20_000)
        assert len(founders) <= 1
        assert len(clusters_with_log(cluster)) <= 1
        return cluster.violations

    assert run_virtual(main) == []
