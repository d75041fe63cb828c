"""Tests of foundings beside members that the host of a process starts again."""

import attrs
import curio
import pytest

from tests.founding_cluster import FoundingCluster
from tests.hosted_cluster import HostedNode
from wagtailrun.consensus.messages import FoundingBallot, FoundingPrepare
from wagtailrun.exceptions import DiskFault
from wagtailrun.virtual_time import run_virtual

LONG_MS = 20_000


async def founding(clock, size=3, seed=1):
    cluster = FoundingCluster(clock, seed, size)
    await curio.spawn(cluster.watch, daemon=True)
    return cluster


class FirstProcess(HostedNode):
    """A process at its first start; its host makes new members while it lives."""

    def _make_member(self, disk):
        self.starts += 1
        member = super()._make_member(disk)
        # As RelayControl._make_member: the setting of the process never changes.
        member.state.founds_by_majority = True
        return member


def test_disks_lost_under_running_processes_found_no_second_log():
    """Guards against a permission that outlives the disk within the first process.

    The processes have run since the first start, and their folders vanish: a volume
    is detached, or an operator empties the folders of two of three members.
    """

    async def main(clock):
        cluster = await founding(clock, 3)
        cluster.nodes = [FirstProcess(cluster, n, 1.0, None) for n in range(3)]
        for node in cluster.nodes:
            await node.start()
        await cluster.acknowledge()
        await cluster.wait_for(cluster.is_repaired, "not repaired")
        third = cluster.nodes[2]
        for node in cluster.nodes[:2]:
            cluster.network.cut(node.address, third.address)
        for node in cluster.nodes[:2]:
            node.disk.empty()
            await node.member.fail(DiskFault("the volume was detached"))
        await clock.sleep_ms(LONG_MS)
        return cluster

    cluster = run_virtual(main)
    assert len(cluster.founded) == 1, cluster.founded
    assert cluster.violations == []


@pytest.mark.parametrize("size", [3, 5])
def test_proposer_that_promised_another_ballot_itself_goes_on(size):
    """Guards against a proposer that fails where only its own promise is missing.

    A greater ballot of another seed may be promised between the two steps of the
    proposer that read its newest round and promise its own ballot.
    """

    async def main(clock):
        cluster = await founding(clock, size)
        for node in cluster.nodes:
            await node.start()
        first = cluster.nodes[0].member
        acceptor = first.founding.acceptor
        handle = acceptor.handle
        interrupted = []

        async def handle_after_another(message):
            if isinstance(message, FoundingPrepare) and not interrupted:
                interrupted.append(message)
                # Its proposer ends before it has asked any other seed.
                other = FoundingBallot(message.ballot.round, "m9#0")
                await handle(attrs.evolve(message, ballot=other))
            return await handle(message)

        acceptor.handle = handle_after_another
        await cluster.acknowledge()
        await clock.sleep_ms(1_000)
        return cluster, interrupted, first.fault

    cluster, interrupted, fault = run_virtual(main)
    assert interrupted
    assert fault is None
    assert cluster.violations == []
