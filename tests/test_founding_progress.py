"""Tests of ballots beside seeds that hang or send unusual messages, in virtual time."""

import itertools

import curio
import pytest

from tests.founding_cluster import FOUNDING_LIMIT_MS, FoundingCluster
from wagtailrun.consensus.messages import FoundingBallot, FoundingPrepare
from wagtailrun.virtual_time import run_virtual

# Longer than any of the tests runs.
HANG_MS = 10_000_000
PAUSE_MS = 60_000
# Less than acceptors wait for the next message of a ballot.
REPEAT_INTERVAL_MS = 250
MAX_UINT64 = 2**64 - 1


async def open_seeds(clock, seed=1):
    """Return three seeds that have started and have not yet run a ballot."""
    cluster = FoundingCluster(clock, seed, 3)
    await curio.spawn(cluster.watch, daemon=True)
    for node in cluster.nodes:
        await node.start()
    while not all(node.member.is_open for node in cluster.nodes):
        await clock.sleep_ms(1)
    return cluster


@pytest.mark.parametrize("hanging", range(3))
@pytest.mark.parametrize("seed", range(8))
def test_seed_whose_disk_hangs_does_not_stop_the_two_others(seed, hanging):
    """Guards against proposers that outbid each other while a third seed is silent.

    It answers queries, so that each ballot asks it, and waits for its disk.
    """

    async def main(clock):
        cluster = await open_seeds(clock, seed)
        cluster.nodes[hanging].disk.delay_ms = (HANG_MS, HANG_MS)
        await cluster.acknowledge()
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []


@pytest.mark.parametrize("step", [0, 1])
def test_seed_that_repeats_prepares_does_not_stop_the_two_others(step):
    """Guards against seeds that defer to a proposer which never proposes a value.

    It repeats one ballot, or has a later one each time.
    """

    async def main(clock):
        cluster = await open_seeds(clock)
        repeating, *others = cluster.nodes
        identity = repeating.member.identity
        await repeating.kill()

        async def prepare_for_ever():
            for number in itertools.count(1):
                ballot = FoundingBallot(number if step else 1, identity)
                for member in [node.member for node in others]:
                    seeds = member.journal.member_record.founding.seeds
                    message = FoundingPrepare(member.identity, seeds, ballot)
                    await curio.spawn(member.handle, message, daemon=True)
                await clock.sleep_ms(REPEAT_INTERVAL_MS)

        await curio.spawn(prepare_for_ever, daemon=True)
        await cluster.acknowledge(2 * FOUNDING_LIMIT_MS)
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []


def test_one_write_that_hung_does_not_delay_the_founding_for_as_long():
    """Guards against delays that count a long write again, as of a paused process.

    The disk of the first seed by name hangs, so that the second one has to propose.
    """

    async def main(clock):
        cluster = FoundingCluster(clock, 1, 3)
        await curio.spawn(cluster.watch, daemon=True)
        first, *others = cluster.nodes
        await first.start()
        await clock.sleep_ms(200)
        first.disk.delay_ms = (HANG_MS, HANG_MS)
        for node in others:
            node.disk.delay_ms = (PAUSE_MS, PAUSE_MS)
            await node.start()
        await clock.sleep_ms(PAUSE_MS - 1)
        for node in others:
            node.disk.delay_ms = (0, 3)
        await clock.sleep_ms(1)
        await cluster.acknowledge(3 * FOUNDING_LIMIT_MS)
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []


def test_seeds_found_their_cluster_after_a_ballot_of_the_greatest_number():
    """Guards against a ballot after which there is no greater one."""

    async def main(clock):
        cluster = FoundingCluster(clock, 1, 3)
        await curio.spawn(cluster.watch, daemon=True)
        first, *others = cluster.nodes
        await first.start()
        await clock.sleep_ms(200)
        member = first.member
        seeds = member.journal.member_record.founding.seeds
        ballot = FoundingBallot(MAX_UINT64, "m2#0")
        await member.handle(FoundingPrepare(member.identity, seeds, ballot))
        for node in others:
            await node.start()
        await cluster.acknowledge()
        return cluster, [node.member.fault for node in cluster.nodes]

    cluster, faults = run_virtual(main)
    assert faults == [None] * 3
    assert cluster.violations == []
