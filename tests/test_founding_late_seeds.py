"""Tests of seeds whose first start has the permission to found but no seed list."""

import pytest

from tests.founding_cluster import FOUNDING_LIMIT_MS
from tests.test_operator_founding import new_cluster
from wagtailrun.consensus import founding_acceptor
from wagtailrun.consensus.messages import FoundingOrder, FoundingRecord
from wagtailrun.virtual_time import run_virtual

# The settings name the seeds this long after the first start.
NAMED_AFTER_MS = 1_000
LONG_MS = 20_000
PERMITTED = (True, True, True)


async def without_seeds(clock, seed=1):
    """Return three running seeds whose first start had no seed list."""
    cluster = await new_cluster(clock, PERMITTED, seed)
    for node in cluster.nodes:
        node.seeds = ()
        await node.start()
    await clock.sleep_ms(NAMED_AFTER_MS)
    return cluster


def name_seeds(cluster, numbers=(0, 1, 2), seeds=(0, 1, 2)):
    """Name seeds in the settings of some processes, which read them again."""
    for number in numbers:
        node = cluster.nodes[number]
        named = [cluster.nodes[n] for n in seeds]
        node.seeds = [(other.name, other.address) for other in named]
        if node.member is not None:
            node.member.peers = [other.address for other in named]


@pytest.mark.parametrize("start", ["same", "restarted", "restarted with permission"])
def test_seeds_named_after_the_first_start_found_a_cluster(start):
    """Guards against a new system that has the permission to found and never does.

    The first start had it, but no seeds, and recorded that there is none.
    """

    async def main(clock):
        cluster = await without_seeds(clock)
        name_seeds(cluster)
        if start != "same":
            for node in cluster.nodes:
                await node.kill()
                node.may_found = start == "restarted with permission"
                await node.start()
        await cluster.acknowledge(2 * FOUNDING_LIMIT_MS)
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1


@pytest.mark.parametrize("emptied", [0, 1, 2])
def test_seed_that_lost_its_disk_before_seeds_were_named_never_counts(emptied):
    """Guards against a permission that outlives the disk that it was given for.

    The others keep theirs, and ask for all seeds: an order founds the cluster.
    """

    async def main(clock):
        cluster = await without_seeds(clock)
        node = cluster.nodes[emptied]
        await node.kill()
        node.disk.empty()
        await node.start()
        name_seeds(cluster)
        await clock.sleep_ms(LONG_MS)
        records = [n.member.journal.member_record.founding for n in cluster.nodes]
        founded = set(cluster.founded)
        outcome = await node.member.found_cluster()
        await cluster.acknowledge()
        return cluster, records, founded, outcome

    cluster, records, founded, outcome = run_virtual(main)
    assert [bool(record.seeds) for record in records] == [
        number != emptied for number in range(3)
    ]
    assert founded == set()
    assert outcome.cluster, outcome.detail
    assert cluster.founded == {outcome.cluster}
    assert cluster.violations == []


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_seed_that_lost_its_disk_after_seeds_were_named_never_counts(lost):
    """Guards against two logs, one of which only the lost disk has shown."""

    async def main(clock):
        cluster = await without_seeds(clock)
        third = cluster.nodes[lost]
        await third.kill()
        name_seeds(cluster)
        await clock.sleep_ms(NAMED_AFTER_MS)
        third.disk.empty()
        await third.start()
        await clock.sleep_ms(LONG_MS)
        return cluster

    cluster = run_virtual(main)
    assert cluster.founded == set()
    assert cluster.violations == []


@pytest.mark.parametrize("first", [(0, 1), (0, 1, 2)])
def test_lists_of_different_times_have_no_disjoint_majorities(first):
    """Guards against two logs while the settings change and links are cut.

    Two of five seeds read an earlier list, the other three are a majority of the later
    one.
    """

    async def main(clock):
        cluster = await new_cluster(clock, (True,) * 5)
        for node in cluster.nodes:
            node.seeds = ()
            await node.start()
        early, late = cluster.nodes[: len(first)], cluster.nodes[len(first) :]
        for node in early:
            for other in late:
                cluster.network.cut(node.address, other.address)
        name_seeds(cluster, first, first)
        name_seeds(cluster, range(len(first), 5), range(5))
        await clock.sleep_ms(LONG_MS)
        cut = set(cluster.founded)
        cluster.network.heal()
        name_seeds(cluster, range(5), range(5))
        await clock.sleep_ms(LONG_MS)
        return cluster, cut

    cluster, cut = run_virtual(main)
    assert len(cut) == 1
    assert cluster.founded == cut
    assert cluster.violations == []


def test_list_is_adopted_once():
    """Guards against a seed whose record follows each change of its settings.

    Once its disk is emptied, an order founds the cluster.
    """

    async def main(clock):
        cluster = await without_seeds(clock)
        name_seeds(cluster, (0,), (0, 1))
        await clock.sleep_ms(NAMED_AFTER_MS)
        name_seeds(cluster)
        await clock.sleep_ms(LONG_MS)
        first, second, _ = (node.member for node in cluster.nodes)
        adopted = first.journal.member_record.founding.seeds
        before = adopted, second.founding.view.refusal, set(cluster.founded)
        node = cluster.nodes[0]
        await node.kill()
        node.disk.empty()
        await node.start()
        await clock.sleep_ms(LONG_MS)
        outcome = await node.member.found_cluster()
        await cluster.acknowledge()
        return cluster, before, outcome

    cluster, (seeds, refusal, founded), outcome = run_virtual(main)
    assert len(seeds) == 2
    assert "has other seeds" in refusal
    assert founded == set()
    assert outcome.cluster, outcome.detail
    assert cluster.founded == {outcome.cluster}
    assert cluster.violations == []


@pytest.mark.parametrize("seeds", [(0,), (1, 2), (0, 0, 1)])
def test_list_that_must_not_found_is_not_adopted(seeds):
    """Guards against a log of each member, and a list that others cannot share."""

    async def main(clock):
        cluster = await without_seeds(clock)
        first = cluster.nodes[0].member
        first.founding.late_seeds.may_found_alone = False
        name_seeds(cluster, (0,), seeds)
        await clock.sleep_ms(NAMED_AFTER_MS)
        refused = first.journal.member_record.founding, first.founding.view.refusal
        name_seeds(cluster)
        await cluster.acknowledge()
        return cluster, refused

    cluster, (record, refusal) = run_virtual(main)
    assert record == FoundingRecord(by_majority=True)
    assert bool(refusal) == (0 in seeds)
    assert len(cluster.founded) == 1
    assert cluster.violations == []


def test_member_of_a_cluster_adopts_no_list():
    """Guards against a member that founds another log beside that of its cluster."""

    async def main(clock):
        cluster = await without_seeds(clock)
        first = cluster.nodes[0].member
        first.state.note_cluster("m9#1.1", "")
        name_seeds(cluster)
        await clock.sleep_ms(LONG_MS)
        return cluster, first.journal.member_record.founding

    cluster, record = run_virtual(main)
    assert record == FoundingRecord(by_majority=True)
    assert cluster.founded == set()
    assert cluster.violations == []


@pytest.mark.parametrize("ordered", [0, 1, 2])
@pytest.mark.parametrize("wait_ms", range(0, 400, 50))
def test_order_beside_seeds_that_are_named_founds_one_log(
    ordered, wait_ms, monkeypatch
):
    """Guards against a permission by an order that holds for a majority."""
    monkeypatch.setattr(founding_acceptor, "LISTEN_MS", 0)

    async def main(clock):
        cluster = await without_seeds(clock)
        name_seeds(cluster)
        await clock.sleep_ms(wait_ms)
        await cluster.nodes[ordered].member.found_cluster()
        await cluster.acknowledge()
        return cluster

    cluster = run_virtual(main)
    records = [n.member.journal.member_record.founding for n in cluster.nodes]
    assert [record.by_majority for record in records] == [False] * 3
    assert len(cluster.founded) == 1
    assert cluster.violations == []


def test_order_takes_an_open_permission_away(monkeypatch):
    """Guards against an order that leaves the permission to found by a majority."""
    monkeypatch.setattr(founding_acceptor, "LISTEN_MS", 0)

    async def main(clock):
        cluster = await without_seeds(clock)
        node = cluster.nodes[0]
        member = node.member
        member.founding.late_seeds.adopt = lambda: clock.sleep_ms(0)
        name_seeds(cluster)
        seeds = member.founding.acceptor.order_seeds
        order = FoundingOrder(member.state.identity, seeds)
        return seeds, (await member.handle(order)).record

    seeds, record = run_virtual(main)
    assert len(seeds) == 3
    assert record == FoundingRecord(seeds)


def test_member_that_its_host_starts_again_has_no_open_permission():
    """Guards against a second identity of one seed with the permission."""

    async def main(clock):
        cluster = await without_seeds(clock)
        node = cluster.nodes[0]
        first = node.member.founding.new_record()
        node.member.revoke_founding()
        return first, node.member.founding.new_record()

    assert run_virtual(main) == (FoundingRecord(by_majority=True), FoundingRecord())
