"""Tests of founding a cluster with seeds that disagree or claim too much."""

import attrs
import curio
import pytest

from tests.founding_cluster import FoundingCluster, SeedNode
from tests.hosted_cluster import HostedNode
from wagtailrun.consensus.founding import MAX_LOGGED_REFUSALS, seeds_refusal
from wagtailrun.ports.link import Address
from wagtailrun.virtual_time import run_virtual

LONG_MS = 20_000
NAMES = [f"m{number}" for number in range(5)]
A, B, C = (Address("10.0.0.1", 7_000 + number) for number in range(3))


async def founding(clock, size=3, seed=1):
    cluster = FoundingCluster(clock, seed, size)
    await curio.spawn(cluster.watch, daemon=True)
    return cluster


def seeds_of(nodes):
    return [(node.name, node.address) for node in nodes]


@pytest.mark.parametrize(
    ("seeds", "alone", "reason"),
    [
        ([("a", A), ("b", B), ("c", A)], True, "hold 10.0.0.1:7000 more than once"),
        ([("a", A), ("b", B), ("a", C)], True, "hold a more than once"),
        ([("a", A)], False, "alone"),
        ([("a", B), ("c", C)], True, "hold a at 10.0.0.1:7001, but it is at"),
        ([("a", A)], True, ""),
        ([("a", A), ("b", B)], False, ""),
        ([("b", B), ("c", C)], False, ""),
        ([], False, ""),
    ],
)
def test_seed_list_is_refused_with_its_reason(seeds, alone, reason):
    """Guards against a majority that counts a seed twice, or of one member alone."""
    refusal = seeds_refusal("a", A, seeds, alone)
    assert reason in refusal
    assert bool(refusal) == bool(reason)


def test_member_with_an_address_twice_founds_nothing_and_says_why():
    """Guards against two seeds of which one answers for both."""

    async def main(clock):
        cluster = await founding(clock, 2)
        first, second = cluster.nodes
        seeds = [*seeds_of(cluster.nodes), ("m9", first.address)]
        first.seeds = second.seeds = seeds
        await first.start()
        await second.start()
        await clock.sleep_ms(LONG_MS)
        return cluster, first.member.founding.view

    cluster, view = run_virtual(main)
    assert cluster.founded == set()
    assert cluster.violations == []
    assert not view.may_found
    assert "more than once" in view.refusal


def test_ever_new_reasons_are_neither_kept_nor_logged_without_end(caplog):
    """Guards against a seed that names other seeds in each answer for ever.

    Each of its answers made a line of the log and an entry of a set.
    """

    async def main(clock):
        cluster = await founding(clock, 3)
        first, second, _ = cluster.nodes
        await first.start()
        await second.start()
        while not second.member.is_open:
            await clock.sleep_ms(1)
        acceptor = second.member.founding.acceptor
        for number in range(200):
            seeds = (*acceptor.record.seeds[:2], f"n{number}=10.0.0.1:7002")
            await acceptor.save(attrs.evolve(acceptor.record, seeds=seeds))
            await clock.sleep_ms(250)
        return first.member.founding, cluster

    founding_of_first, cluster = run_virtual(main)
    lines = [line for line in caplog.messages if "E0509" in line and '"m0"}' in line]
    assert cluster.violations == []
    # It still says why it founds nothing.
    assert "n199=" in founding_of_first.view.refusal
    assert len(founding_of_first.logged_refusals) <= MAX_LOGGED_REFUSALS
    assert 1 < len(lines) <= MAX_LOGGED_REFUSALS


def test_seeds_that_disagree_about_the_seeds_found_nothing(caplog):
    """Guards against two logs by two majorities of different sets of seeds.

    Each of them says once why it founds nothing, also if messages are lost.
    """

    async def main(clock):
        cluster = await founding(clock, 5)
        cluster.network.loss = 0.2
        nodes = cluster.nodes
        for node in nodes[:2]:
            node.seeds = seeds_of(nodes[:3])
        for node in nodes[3:]:
            node.seeds = seeds_of(nodes[2:])
        # It is a seed of both sets, but was given a third one.
        nodes[2].seeds = seeds_of(nodes[1:4])
        for node in nodes:
            await node.start()
        await clock.sleep_ms(LONG_MS)
        return cluster, [node.member.founding.view for node in nodes]

    cluster, views = run_virtual(main)
    assert cluster.founded == set()
    assert cluster.violations == []
    assert sum("has other seeds" in view.refusal for view in views) >= 3
    lines = [line for line in caplog.messages if "E0509" in line]
    assert len(set(lines)) == len(lines)
    for name in NAMES:
        assert any(f'"member": "{name}"' in line for line in lines)


def test_member_of_another_system_at_the_address_of_a_seed_does_not_count():
    """Guards against a majority with a stranger, and a log shared with its system."""

    async def main(clock):
        cluster = await founding(clock, 3)
        nodes = cluster.nodes
        stranger = SeedNode(cluster, 2)
        stranger.name, stranger.seeds = "x", [("x", stranger.address)]
        cluster.nodes = [*nodes[:2], stranger]
        for node in nodes[:2]:
            node.seeds = seeds_of(nodes)
        await stranger.start()
        await clock.sleep_ms(5_000)
        await nodes[0].start()
        await clock.sleep_ms(5_000)
        alone = nodes[0].member.founding.view, len(cluster.founded)
        return alone, cluster

    (view, founded), cluster = run_virtual(main)
    # The stranger has founded the log of its own system.
    assert founded == 1
    assert [s.detail for s in view.statements] == ["no answer", "answers as x"]
    assert cluster.violations == []


def test_second_process_with_the_address_of_a_seed_founds_nothing():
    """Guards against two logs by two processes that both claim to be the same seed."""

    async def main(clock):
        cluster = await founding(clock, 3)
        first, second, third = cluster.nodes
        twin = SeedNode(cluster, 0)
        # Another seed of its random numbers, so that its identity is its own.
        twin.starts = 10
        twin.seeds = seeds_of(cluster.nodes)
        await twin.start()
        # From here on the address leads to the first process.
        await first.start()
        cluster.network.cut(first.address, third.address)
        for node in (second, third):
            await node.start()
        await clock.sleep_ms(LONG_MS)
        view = twin.member.founding.view
        has_log = twin.member.journal.last_index > 0
        await twin.member.close()
        await cluster.settle()
        return cluster, view, has_log

    cluster, view, has_log = run_virtual(main)
    assert cluster.violations == []
    assert not has_log
    assert view.refusal.endswith("answers at the address of this member")


def test_seed_that_was_cut_off_joins_the_log_of_the_others():
    """Guards against a founder that founds a second log when its links are back."""

    async def main(clock):
        cluster = await founding(clock, 5)
        for node in cluster.nodes:
            await node.start()
        for cut in cluster.nodes[:2]:
            for node in cluster.nodes[2:]:
                cluster.network.cut(cut.address, node.address)
        await cluster.acknowledge()
        views = [node.member.founding.view for node in cluster.nodes[:2]]
        cluster.network.heal()
        await cluster.settle()
        return cluster, views

    cluster, views = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1
    assert all(view.may_found and view.needed == 3 for view in views)


@pytest.mark.parametrize("pause_at_ms", [0, *range(240, 320, 4), 600])
def test_founder_that_stood_still_joins_the_log_of_the_others(pause_at_ms):
    """Guards against a founder that goes on with its attempt after others founded."""

    async def main(clock):
        cluster = await founding(clock, 3)
        for node in cluster.nodes:
            await node.start()
        await clock.sleep_ms(pause_at_ms)
        first = cluster.nodes[0]
        first.freeze()
        await cluster.acknowledge()
        first.thaw()
        await cluster.settle()
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1


def test_founder_that_loses_its_disk_takes_no_permission_with_it():
    """Guards against a decided member set that only the founder's disk holds.

    Two of five seeds may not found, so that no majority is left without the founder.
    """

    async def main(clock):
        cluster = await founding(clock, 5)
        nodes = cluster.nodes
        for node in (nodes[2], nodes[4]):
            await node.never_start()
        for node in nodes:
            await node.start()
        await cluster.wait_for(lambda: cluster.founded, "not founded")
        proposers = [name.rpartition(".")[0] for name in cluster.founded]
        (founder,) = (n for n in nodes if n.member.identity in proposers)
        await founder.kill()
        founder.disk.empty()
        await founder.start()
        await cluster.acknowledge()
        await cluster.settle()
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1


def test_seeds_with_emptied_disks_do_not_count():
    """Guards against a second log by seeds that lost the disks of the first one."""

    async def main(clock):
        cluster = await founding(clock, 3)
        for node in cluster.nodes:
            await node.start()
        await cluster.acknowledge()
        await cluster.nodes[2].kill()
        for node in cluster.nodes[:2]:
            await node.kill()
            node.disk.empty()
            await node.start()
        await clock.sleep_ms(LONG_MS)
        views = [node.member.founding.view for node in cluster.nodes[:2]]
        assert all(not node.member.journal.last_index for node in cluster.nodes[:2])
        await cluster.nodes[2].start()
        await clock.sleep_ms(LONG_MS)
        return cluster, views

    cluster, views = run_virtual(main)
    assert len(cluster.founded) == 1
    assert cluster.violations == []
    for view in views:
        assert not view.may_found
        assert [s.detail for s in view.statements] == ["may not found", "no answer"]


class HostedSeedNode(HostedNode):
    """A process whose host removes damaged files and starts the member again."""

    def _make_member(self, disk):
        # Each member draws other random numbers.
        self.starts += 1
        member = super()._make_member(disk)
        member.state.founds_by_majority = True
        return member


def test_member_that_removed_its_damaged_files_does_not_found_by_majority():
    """Guards against a seed that forgets within its first process what it accepted."""

    async def main(clock):
        cluster = await founding(clock, 3)
        cluster.nodes = [HostedSeedNode(cluster, n, 1.0, None) for n in range(3)]
        first, second, _ = cluster.nodes
        await first.start()
        await clock.sleep_ms(500)
        before = first.member.journal.member_record
        first.disk.synced["member"] = b"damaged"
        await first.member.fail(OSError("injected"))
        await clock.sleep_ms(5_000)
        await second.start()
        await clock.sleep_ms(LONG_MS)
        return cluster, before, first.member.journal.member_record

    cluster, before, after = run_virtual(main)
    assert before.founding.by_majority
    assert after.identity != before.identity
    assert not after.founding.by_majority
    assert cluster.founded == set()
