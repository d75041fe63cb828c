"""Tests of seeds whose first start has the permission to found but no seed list."""

import pytest

from tests.founding_cluster import FOUNDING_LIMIT_MS
from tests.test_operator_founding import new_cluster
from wagtailrun.virtual_time import run_virtual

# The settings name the seeds this long after the first start.
NAMED_AFTER_MS = 1_000
# By then a seed has heard of a cluster that goes on without it, and takes an order.
ORDERED_AFTER_MS = 20_000


async def with_late_seeds(clock):
    """Return three running members that read their seeds after their first start."""
    cluster = await new_cluster(clock, (True, True, True), 1)
    for node in cluster.nodes:
        node.seeds = ()
        await node.start()
    await clock.sleep_ms(NAMED_AFTER_MS)
    for node in cluster.nodes:
        node.seeds = [(other.name, other.address) for other in cluster.nodes]
        node.member.peers = [other.address for other in cluster.nodes]
    return cluster


@pytest.mark.parametrize("start", ["same", "restarted"])
def test_seeds_named_after_the_first_start_found_a_cluster(start):
    """Guards against a new system that has the permission to found and never does."""

    async def main(clock):
        cluster = await with_late_seeds(clock)
        if start == "restarted":
            for node in cluster.nodes:
                await node.kill()
                await node.start()
        await cluster.acknowledge(2 * FOUNDING_LIMIT_MS)
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1


def test_order_founds_a_cluster_of_seeds_named_after_the_first_start():
    """Guards against a system without a way to get its first cluster."""

    async def main(clock):
        cluster = await with_late_seeds(clock)
        await clock.sleep_ms(ORDERED_AFTER_MS)
        assert cluster.founded == set()
        outcome = await cluster.nodes[0].member.found_cluster()
        await cluster.acknowledge()
        return cluster, outcome

    cluster, outcome = run_virtual(main)
    assert cluster.founded == {outcome.cluster}
    assert cluster.violations == []
