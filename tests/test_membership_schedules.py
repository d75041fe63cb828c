"""Tests of the replicated log under seeded faults and membership changes."""

import curio
import pytest

from tests.fake_cluster import Cluster, shrink_sizes
from tests.test_membership_change import OpenNode
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.virtual_time import run_virtual

# The last two cover a pre-vote request that arrives after its candidate has become a
# follower and learned that the recipient was removed.
SEEDS = (*range(100), 1457, 1847)
STEPS = 10
# Numbers of added members; distinct from those of the initial ones.
FIRST_NEW_NUMBER = 20
READ_INTERVAL_MS = 150
READ_TIMEOUT_MS = 1_000


@pytest.fixture(autouse=True)
def _small_sizes(monkeypatch):
    shrink_sizes(monkeypatch)


class Schedule:
    """Random faults and membership changes, one or two per step.

    Args:
        clock: Virtual clock.
        seed: Seed of all random choices.
    """

    def __init__(self, clock, seed):
        self.clock = clock
        size = 3 + seed % 3
        self.cluster = Cluster(clock, seed, size)
        self.cluster.nodes = [OpenNode(self.cluster, n, 1.0) for n in range(size)]
        self.random = self.cluster.random
        self.numbers = iter(range(FIRST_NEW_NUMBER, 100))
        self.lost_disks = 0

    async def run(self):
        cluster = self.cluster
        await cluster.start()
        await cluster.wait_leader()
        await curio.spawn(cluster.client, 120, daemon=True)
        await curio.spawn(self.run_reads, daemon=True)
        for _ in range(STEPS):
            for _ in range(self.random.choice((1, 1, 2))):
                await self.step()
            await self.clock.sleep_ms(self.random.randint(50, 4_000))
        await cluster.settle()
        return cluster

    async def step(self):
        cluster, rng = self.cluster, self.random
        node, other = rng.sample(cluster.nodes, 2)
        match rng.randrange(12):
            case fault if fault < 9:
                await cluster.inject(fault, node, other)
            case 9 if self.may_lose_disk():
                await self.replace(node)
            case 10 if self.may_lose_disk():
                await self.empty_disk(node)
            case 11:
                cluster.network.loss = rng.choice((0.0, 0.1))
                cluster.network.delay_ms = rng.choice(((1, 5), (1, 100)))

    def may_lose_disk(self):
        """Whether the cluster has recovered from all lost disks so far."""
        return not self.lost_disks or self.cluster.is_repaired()

    async def replace(self, node):
        """Replace a member by one with a new name and an empty disk."""
        self.lost_disks += 1
        await node.kill()
        self.cluster.nodes.remove(node)
        new = OpenNode(self.cluster, next(self.numbers), 1.0)
        new.founding = False
        self.cluster.nodes.append(new)
        await new.start()

    async def empty_disk(self, node):
        """Empty the disk of a member and restart it under the same name."""
        self.lost_disks += 1
        await node.kill()
        node.disk.empty()
        node.founding = False
        await node.start()

    async def run_reads(self):
        """Start reads at random members until cancelled."""
        while True:
            node = self.random.choice(self.cluster.nodes)
            if node.member is not None and not node.clock.frozen:
                await curio.spawn(self.read, node, daemon=True)
            await self.clock.sleep_ms(READ_INTERVAL_MS)

    async def read(self, node):
        """Check that a read returns all commands acknowledged before it began."""
        member, machine = node.member, node.machine
        before = list(self.cluster.acknowledged)
        try:
            await member.read_barrier(READ_TIMEOUT_MS)
        except ConsensusUnavailable:
            return
        if node.member is not member or node.clock.frozen:
            return
        missing = set(before) - set(machine.commands)
        if missing:
            self.cluster.report(f"{node.name} served a read without {sorted(missing)}")


def run_schedule(seed):
    """Return the violations of one schedule and whether a command was acknowledged."""

    async def main(clock):
        return await Schedule(clock, seed).run()

    cluster = run_virtual(main)
    return cluster.violations, bool(cluster.acknowledged)


@pytest.mark.parametrize("seed", SEEDS)
def test_schedule_with_changing_members(seed):
    """Guards against lost commands, stale reads and two leaders in these schedules."""
    assert run_schedule(seed) == ([], True)
