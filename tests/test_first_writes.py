"""Tests of members that end before or between their first writes, in virtual time."""

import curio
import pytest

from tests.fake_cluster import Cluster
from tests.fake_disk import FakeDisk
from tests.test_membership_change import join, started, voters
from wagtailrun.consensus.journal import MEMBER_FILE, Journal
from wagtailrun.exceptions import CorruptRecord
from wagtailrun.virtual_time import run_virtual

# The empty log segment and the record take six; the rest are the first messages.
SYNC_POINTS = range(1, 13)
LIMIT_MS = 10_000


async def end_at(node, sync_point, loses_power):
    """Start a process that ends at a sync point of its disk, and wait for the end.

    Returns:
        Whether it has ended there.
    """
    if not loses_power:
        node.disk.kill = node.disk.end_process
    node.disk.kill_at = node.disk.sync_points + sync_point
    await node.start()
    await node.cluster.clock.sleep_ms(2_000)
    has_ended = node.member is None
    node.disk.kill_at = None
    await node.kill()
    node.disk.__dict__.pop("kill", None)
    return has_ended


@pytest.mark.parametrize("loses_power", [False, True])
@pytest.mark.parametrize("sync_point", SYNC_POINTS)
def test_product_seed_that_ends_at_a_first_write_founds_with_all(
    sync_point, loses_power
):
    """Guards against a cluster of the product that is never founded.

    All seeds are needed there, and all starts have the same settings.
    """

    async def main(clock):
        cluster = Cluster(clock, sync_point)
        ending, *others = cluster.nodes
        for node in others:
            await node.start()
        await curio.spawn(cluster._monitor, daemon=True)
        has_ended = await end_at(ending, sync_point, loses_power)
        await ending.start()
        await cluster.wait_leader(LIMIT_MS)
        await cluster.propose_many(2)
        await cluster.settle()
        return cluster, has_ended

    cluster, has_ended = run_virtual(main)
    assert cluster.violations == []
    assert has_ended
    assert cluster.acknowledged


@pytest.mark.parametrize("loses_disk", [False, True])
@pytest.mark.parametrize("sync_point", SYNC_POINTS)
def test_member_that_ends_at_a_first_write_joins(sync_point, loses_disk):
    """Guards against a new member whom an identity that it lost keeps out."""

    async def main(clock):
        cluster = await started(clock, sync_point)
        new = await join(cluster)
        await new.kill()
        new.disk.empty()
        has_ended = await end_at(new, sync_point, loses_power=True)
        if loses_disk:
            new.disk.empty()
        await new.start()
        await cluster.wait_for(cluster.is_repaired, "not admitted", LIMIT_MS)
        names = voters(cluster)
        await cluster.settle()
        return cluster, has_ended, names

    cluster, has_ended, names = run_virtual(main)
    assert cluster.violations == []
    assert has_ended
    assert names == {"m0", "m1", "m2", "m9"}


@pytest.mark.parametrize("size", [0, 1, 12, -1])
def test_record_that_is_empty_or_torn_is_refused(size):
    """Guards against a second identity, or permission, in the place of a damaged one.

    ``size`` bytes of the record are left. No process leaves such a file, as it is
    replaced as a whole.
    """
    disk = FakeDisk()

    async def main():
        await Journal(disk).open("m0#1")
        disk.synced[MEMBER_FILE] = disk.synced[MEMBER_FILE][:size]
        await Journal(disk).open("m0#2")

    with pytest.raises(CorruptRecord, match="member"):
        curio.run(main)
