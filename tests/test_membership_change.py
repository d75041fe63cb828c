"""Tests of member sets that change, and of reads at any member, in virtual time."""

import pytest

from tests.fake_cluster import Cluster, Node
from wagtailrun.consensus.messages import Join
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.virtual_time import run_virtual


class OpenNode(Node):
    """A process whose member admits new names and removes unresponsive voters."""

    founding = True

    async def start(self):
        await super().start()
        self.member.state.open_joining = True
        self.member.state.min_voters = 3
        if not self.founding:
            self.member.state.bootstrap = {}
            self.member.peers = tuple(node.address for node in self.cluster.nodes[:3])


async def started(clock, seed, size=3):
    cluster = Cluster(clock, seed, size)
    cluster.nodes = [OpenNode(cluster, number, 1.0) for number in range(size)]
    await cluster.start()
    await cluster.propose_many(5)
    return cluster


async def join(cluster):
    """Start a member with a new name and an empty disk, and return its node."""
    node = OpenNode(cluster, 9, 1.0)
    node.founding = False
    cluster.nodes.append(node)
    await node.start()
    return node


def voters(cluster):
    leader = cluster.leader()
    if leader is None:
        return set()
    return {identity.split("#")[0] for identity in leader.member.configuration.voters()}


@pytest.mark.parametrize("seed", range(10))
def test_member_at_a_new_address_replaces_a_lost_one(seed):
    """Guards against a cluster that a second loss stops after a replacement."""

    async def main(clock):
        cluster = await started(clock, seed)
        lost = cluster.nodes[cluster.random.randrange(3)]
        await lost.kill()
        cluster.nodes.remove(lost)
        await clock.sleep_ms(1_000)
        new = await join(cluster)
        wanted = {node.name for node in cluster.nodes}
        await cluster.wait_for(lambda: voters(cluster) == wanted, "not replaced", 9_000)
        await cluster.propose_many(2)
        # A quorum of two of three members must survive one more loss.
        other = next(n for n in cluster.nodes if n not in (new, cluster.leader()))
        await other.kill()
        await cluster.propose_many(2)
        await other.start()
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []


@pytest.mark.parametrize("seed", range(10))
def test_removed_member_rejoins_after_a_partition(seed):
    """Guards against a live member that was removed as unresponsive and stays out."""

    async def main(clock):
        cluster = await started(clock, seed, 4)
        node = next(n for n in cluster.nodes if n is not cluster.leader())
        for other in cluster.nodes:
            if other is not node:
                cluster.network.cut(node.address, other.address)
        await cluster.wait_for(lambda: len(voters(cluster)) == 3, "not removed", 8_000)
        await cluster.propose_many(2)
        cluster.network.heal()
        await cluster.wait_for(lambda: len(voters(cluster)) == 4, "not back", 8_000)
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []


@pytest.mark.parametrize("seed", range(5))
def test_no_voter_is_removed_below_the_minimum(seed):
    """Guards against a cluster of two voters, which survives no further loss."""

    async def main(clock):
        cluster = await started(clock, seed)
        node = next(n for n in cluster.nodes if n is not cluster.leader())
        await node.kill()
        await clock.sleep_ms(8_000)
        count = len(voters(cluster))
        await node.start()
        await cluster.settle()
        return count, cluster.violations

    assert run_virtual(main) == (3, [])


@pytest.mark.parametrize("seed", range(10))
def test_read_at_any_member_returns_acknowledged_commands(seed):
    """Guards against a stale read at a member that lags behind the leader."""

    async def main(clock):
        cluster = await started(clock, seed)
        for _ in range(20):
            await cluster.propose_many(1)
            newest = cluster.acknowledged[-1]
            for node in cluster.nodes:
                await node.member.read_barrier(1_000)
                assert newest in node.machine.commands
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []


def test_read_at_a_partitioned_member_is_refused():
    """Guards against a stale read at a minority or at a deposed leader."""

    async def main(clock):
        cluster = await started(clock, 1)
        for isolated in cluster.nodes:
            for other in cluster.nodes:
                if other is not isolated:
                    cluster.network.cut(isolated.address, other.address)
            await clock.sleep_ms(2_000)
            with pytest.raises(ConsensusUnavailable):
                await isolated.member.read_barrier(800)
            cluster.network.heal()
            await cluster.propose_many(1)
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []


@pytest.mark.parametrize("address", ["nowhere", "10.0.0.9:0", "10.0.0.9:\u0661", ""])
def test_member_without_a_sound_address_is_not_admitted(address):
    """Guards against a member in the log that no other can read the address of."""

    async def main(clock):
        cluster = await started(clock, 1)
        with pytest.raises(ValueError):
            await cluster.leader().member.handle(Join("new#1", address))
        await clock.sleep_ms(2_000)
        await cluster.propose_many(2)
        await cluster.settle()
        return cluster.violations, voters(cluster)

    violations, names = run_virtual(main)
    assert violations == []
    assert len(names) == 3
