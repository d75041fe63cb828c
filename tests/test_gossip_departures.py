"""Tests of what an entry that stops knows of targets that have left."""

import curio
import pytest

from bench.gossip_cluster import Cluster
from wagtailrun.virtual_time import run_virtual

SETTLE_MS = 4_000
# Shorter than a round of gossip, or than the detection of a silent target.
KNOWN_MS = 100
# Detection of a silent target.
SILENT_LIMIT_MS = 3_000
SEEDS = range(10)


async def end(cluster, *nodes):
    """End entries as planned stops do, after their last replies to peers."""
    for node in nodes:
        del cluster.network.handlers_by_address[node.address]
    async with curio.TaskGroup() as group:
        for node in nodes:
            await group.spawn(node.gossip.share_before_end)
    for node in nodes:
        # Nothing that the process sends later arrives.
        for other in cluster.live:
            cluster.network.cut(node.address, other.address)
        del cluster.nodes_by_name[node.name]
        await node.task.cancel()


def run_departure(seed, entries, scenario):
    """Run a scenario in which a target leaves; return which entries still use it.

    Args:
        seed: Seed of the cluster.
        entries: Number of entries.
        scenario: Called with the cluster, the entry that receives the goodbye, the
            other entries, and a function that says the goodbye.
    """

    async def main(clock):
        cluster = Cluster(clock, {"east": entries}, 2, seed=seed)
        await cluster.start()
        await clock.sleep_ms(SETTLE_MS)
        target = cluster.targets[0]
        first, *others = cluster.live
        target.announced_to = first
        await scenario(cluster, first, others, target.leave)
        await clock.sleep_ms(KNOWN_MS)
        return cluster.entries_using(target.name)

    return run_virtual(main)


@pytest.mark.parametrize("seed", SEEDS)
def test_goodbye_that_reached_no_entry_is_told_before_the_end(seed):
    """Guards against a goodbye that is acknowledged and ends with the process.

    The other entries were not reached when the target said it.
    """

    async def scenario(cluster, first, others, leave):
        addresses = [node.address for node in others]
        cluster.network.cut_off([first.address], addresses)
        await leave()
        cluster.network.heal()
        await end(cluster, first)

    assert run_departure(seed, 3, scenario) == set()


@pytest.mark.parametrize("seed", SEEDS)
def test_goodbye_that_two_stopping_entries_know_is_told_before_the_end(seed):
    """Guards against a goodbye that ends with the two entries that know it."""

    async def scenario(cluster, first, others, leave):
        second, third = others
        cluster.network.cut(first.address, third.address)
        await curio.spawn(leave, daemon=True)
        while not second.membership.targets_by_name["t0"].leaving:
            await cluster.clock.sleep_ms(1)
        await end(cluster, first, second)

    assert run_departure(seed, 3, scenario) == set()


@pytest.mark.parametrize("seed", SEEDS)
def test_goodbye_that_an_entry_was_to_forward_is_told_before_the_end(seed):
    """Guards against the rest of a push that ends with the entry that forwards it.

    The entry that received the goodbye crashes.
    """

    async def scenario(cluster, first, others, leave):
        await curio.spawn(leave, daemon=True)
        names = {node.name: node for node in others}
        informed = []
        while not informed:
            await cluster.clock.sleep_ms(1)
            informed = [
                node
                for node in names.values()
                if node.membership.targets_by_name["t0"].leaving
            ]
        for node in cluster.live:
            cluster.network.cut(first.address, node.address)
        await cluster.kill(first.name)
        await end(cluster, *informed)

    assert run_departure(seed, 8, scenario) == set()


@pytest.mark.parametrize("cut_ms", [3_000, 60_000, 400_000])
@pytest.mark.parametrize("seed", SEEDS[:3])
def test_target_that_left_is_out_of_use_after_all_that_knew_it_restarted(seed, cut_ms):
    """Guards against a target that is used again as entries forgot that it left.

    An entry that was cut off meanwhile still has its row, and the restarted entries
    have none.
    """

    async def main(clock):
        cluster = Cluster(clock, {"east": 3}, 4, seed=seed)
        await cluster.start()
        await clock.sleep_ms(SETTLE_MS)
        first, second, lone = cluster.live
        for target in cluster.targets:
            target.announced_to = first
        others = [first.address, second.address]
        cluster.network.cut_off([lone.address], [*others, *cluster.control_addresses])
        gone = cluster.targets[0]
        await gone.leave()
        await clock.sleep_ms(cut_ms)
        for node in (first, second):
            await cluster.kill(node.name)
        fresh = [await cluster.start_node(node.name) for node in (first, second)]
        for target in cluster.targets:
            target.announced_to = fresh[0]
        cluster.network.heal()
        await clock.sleep_ms(SILENT_LIMIT_MS + KNOWN_MS)
        used = cluster.entries_using(gone.name)
        await clock.sleep_ms(2 * SETTLE_MS)
        return used, cluster.entries_using(gone.name), len(cluster.live)

    assert run_virtual(main) == (set(), set(), 3)


def test_end_of_an_entry_repeats_nothing_that_all_entries_know():
    """Guards against messages at each stop about targets that left long ago."""

    async def main(clock):
        cluster = Cluster(clock, {"east": 3}, 2)
        await cluster.start()
        await clock.sleep_ms(SETTLE_MS)
        await cluster.targets[0].leave()
        await clock.sleep_ms(2 * SETTLE_MS)
        node = cluster.live[0]
        await node.task.cancel()
        sent = cluster.network.messages_by_source[node.address]
        await node.gossip.share_before_end()
        return cluster.network.messages_by_source[node.address] - sent

    assert run_virtual(main) == 0
