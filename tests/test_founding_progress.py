"""Tests of ballots beside seeds that hang or send unusual messages, in virtual time."""

import curio
import pytest

from tests.founding_cluster import FoundingCluster
from wagtailrun.virtual_time import run_virtual

# Longer than any of the tests runs.
HANG_MS = 10_000_000


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
