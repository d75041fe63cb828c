"""Seeded schedules of full disks beside other faults, in virtual time."""

import curio
import pytest

from tests.fake_cluster import shrink_sizes
from tests.hosted_cluster import HostedCluster
from wagtailrun.virtual_time import run_virtual

# In 151 a voter is removed while its pre-vote is about to be requested.
SEEDS = (*range(100), 151)
STEPS = 12
MAX_DELAY_MS = 300
SLOW, FAST = 0.9, 1.1


@pytest.fixture(autouse=True)
def _small_sizes(monkeypatch):
    shrink_sizes(monkeypatch)


async def become_full(cluster, node, delay_ms):
    """Fill the disk of ``node`` after a delay, between any two of its operations."""
    await cluster.clock.sleep_ms(delay_ms)
    node.disk.fault = "full"


async def step(cluster, emptied):
    rng = cluster.random
    node, other = rng.sample(cluster.nodes, 2)
    match rng.randrange(14):
        case fault if fault < 9:
            await cluster.inject(fault, node, other)
        case 9 | 11:
            await curio.spawn(
                become_full, cluster, node, rng.randint(0, MAX_DELAY_MS), daemon=True
            )
        case 10:
            for each in cluster.nodes:
                each.disk.fault = None
        case 12:
            # For a moment: an error that lasts keeps its member out, as a full disk.
            node.disk.fault = "sync error"
            await cluster.clock.sleep_ms(rng.randint(1, 200))
            node.disk.fault = None
        case 13 if not emptied or cluster.is_repaired():
            await node.kill()
            node.disk.empty()
            emptied.append(node)
            await node.start()


async def run_schedule(clock, seed):
    rates = [(1.0, 1.0, 1.0), (SLOW, FAST, FAST), (FAST, SLOW, SLOW)][seed % 3]
    size = 5 if seed % 10 == 0 else 3
    rates = [rates[number % 3] for number in range(size)]
    cluster = HostedCluster(clock, seed, size, rates)
    await cluster.start()
    await cluster.wait_leader()
    await curio.spawn(cluster.client, 120, daemon=True)
    emptied = []
    for _ in range(STEPS):
        await step(cluster, emptied)
        await clock.sleep_ms(cluster.random.randint(50, 1_500))
    await clock.sleep_ms(MAX_DELAY_MS)
    cluster.network.heal()
    for node in cluster.nodes:
        node.thaw()
        node.disk.fault = node.disk.kill_at = None
        if node.member is None:
            await node.start()
    # Without a restart of any process.
    await cluster.wait_for(
        lambda: all(node.host.is_running for node in cluster.nodes), "stopped"
    )
    await cluster.settle()
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_schedule(seed):
    """Guards against lost or diverging commands, two leases, and members that stop."""
    cluster = run_virtual(run_schedule, seed)
    assert cluster.violations == []
    assert cluster.acknowledged
