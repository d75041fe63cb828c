"""Tests of the replicated log under seeded faults in virtual time."""

import curio
import pytest

from tests.fake_cluster import Cluster
from wagtailrun import consensus, journal, replication
from wagtailrun.virtual_time import run_virtual

SEEDS = range(500)
STEPS = 10
SLOW, FAST = 0.9, 1.1


@pytest.fixture(autouse=True)
def _small_sizes(monkeypatch):
    """Reach snapshots, compaction and transfers in pieces with few commands."""
    monkeypatch.setattr(consensus, "SNAPSHOT_INTERVAL", 12)
    monkeypatch.setattr(journal, "RETAINED_ENTRIES", 4)
    monkeypatch.setattr(replication, "PIECE_BYTES", 100)


async def step(cluster, emptied):
    """Inject or end one fault; sometimes two at once."""
    rng = cluster.random
    for _ in range(rng.choice((1, 1, 2))):
        node, other = rng.sample(cluster.nodes, 2)
        match rng.randrange(11):
            case 0:
                cluster.network.cut(node.address, other.address, both_ways=False)
            case 1:
                for peer in cluster.nodes:
                    cluster.network.cut(node.address, peer.address)
            case 2 | 3:
                cluster.network.heal()
            case 4:
                node.freeze()
            case 5 | 6:
                for each in cluster.nodes:
                    each.thaw()
                    if each.member is None:
                        await each.start()
            case 7:
                await node.kill()
            case 8:
                node.disk.kill_at = node.disk.sync_points + rng.randint(1, 12)
            case 9:
                cluster.network.loss = rng.choice((0.0, 0.1, 0.3))
                cluster.network.duplication = rng.choice((0.0, 0.2))
                cluster.network.delay_ms = rng.choice(((1, 5), (1, 150)))
            case 10 if not emptied or cluster.is_repaired():
                await node.kill()
                node.disk.empty()
                emptied.append(node)
                await node.start()


async def run_schedule(clock, seed):
    rates = [(1.0, 1.0, 1.0), (SLOW, FAST, FAST), (FAST, SLOW, SLOW)][seed % 3]
    size = 5 if seed % 10 == 0 else 3
    rates = [rates[number % 3] for number in range(size)]
    cluster = Cluster(clock, seed, size, rates)
    await cluster.start()
    await cluster.wait_leader()
    await curio.spawn(cluster.client, 120, daemon=True)
    emptied = []
    for _ in range(STEPS):
        await step(cluster, emptied)
        await clock.sleep_ms(cluster.random.randint(50, 1_500))
    await cluster.settle()
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_schedule(seed):
    """Guards against loss, double or different application, and two leases at once."""
    cluster = run_virtual(run_schedule, seed)
    assert cluster.violations == []
    assert cluster.acknowledged
