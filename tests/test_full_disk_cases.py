"""Tests of disks that are full at a certain step of the consensus, in virtual time."""

import pytest

from tests.fake_cluster import shrink_sizes
from tests.fake_disk import FakeDisk
from tests.hosted_cluster import started
from wagtailrun.virtual_time import run_virtual

SEEDS = range(10)


@pytest.fixture(autouse=True)
def _small_sizes(monkeypatch):
    shrink_sizes(monkeypatch)


async def finish(cluster):
    """Free all disks; return the violations once all members run and agree."""
    for node in cluster.nodes:
        node.disk.fault = None
    await cluster.wait_for(
        lambda: all(node.host.is_running for node in cluster.nodes), "stopped"
    )
    await cluster.settle()
    return cluster.violations


def fill_at_write(disk, prefix):
    """Make the disk full from the next write of a file with ``prefix`` on."""

    async def filling(name, data):
        if name.startswith(prefix):
            disk.fault = "full"
        await FakeDisk.write(disk, name, data)

    disk.write = filling


def free(disk):
    """Undo ``fill_at_write``."""
    disk.fault = None
    vars(disk).pop("write", None)


@pytest.mark.parametrize("prefix", ["snapshot", "log-"])
@pytest.mark.parametrize("seed", SEEDS)
def test_no_space_for_a_snapshot_or_the_log_after_it(seed, prefix):
    """Guards against a compaction that loses entries or ends a member."""

    async def main(clock):
        cluster = await started(clock, seed)
        for node in cluster.nodes:
            fill_at_write(node.disk, prefix)
            await cluster.propose_many(30)
            await cluster.wait_for(lambda node=node: node.disk.fault, "not filled")
            await clock.sleep_ms(cluster.random.randint(0, 3_000))
            free(node.disk)
        return await finish(cluster)

    assert run_virtual(main) == []


@pytest.mark.parametrize("with_power_loss", [False, True])
@pytest.mark.parametrize("seed", SEEDS)
def test_no_space_for_a_vote(seed, with_power_loss):
    """Guards against two leaders of a term after a vote that could not be saved."""

    async def main(clock):
        cluster = await started(clock, seed)
        for _ in range(4):
            leader = await cluster.wait_leader()
            others = [node for node in cluster.nodes if node is not leader]
            for node in others:
                fill_at_write(node.disk, "member")
            await leader.kill()
            await cluster.wait_for(
                lambda others=others: any(n.disk.fault for n in others), "not filled"
            )
            if with_power_loss:
                for node in others:
                    await node.kill()
                    await node.start()
            await leader.start()
            await clock.sleep_ms(cluster.random.randint(0, 3_000))
            for node in others:
                free(node.disk)
            await cluster.propose_many(3)
        return await finish(cluster)

    assert run_virtual(main) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_no_space_at_a_member_that_joins(seed):
    """Guards against a replacement that never ends, or that counts an empty member."""

    async def main(clock):
        cluster = await started(clock, seed)
        await cluster.propose_many(20)
        lost = cluster.nodes[seed % 3]
        await lost.kill()
        lost.disk.empty()
        # A different step of the replacement with each seed.
        step = lost.disk.sync_points + 1 + seed
        await lost.start()
        await cluster.wait_for(lambda: lost.disk.sync_points >= step, "no step")
        lost.disk.fault = "full"
        await cluster.propose_many(20)
        await clock.sleep_ms(cluster.random.randint(0, 5_000))
        lost.disk.fault = None
        await cluster.wait_for(cluster.is_repaired, "not repaired")
        return await finish(cluster)

    assert run_virtual(main) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_no_space_at_another_member_while_one_is_replaced(seed):
    """Guards against a loss of entries while two of three cannot write."""

    async def main(clock):
        cluster = await started(clock, seed)
        lost = cluster.nodes[seed % 3]
        other = cluster.nodes[(seed + 1) % 3]
        await lost.kill()
        lost.disk.empty()
        await lost.start()
        await clock.sleep_ms(cluster.random.randint(0, 4_000))
        other.disk.fault = "full"
        await clock.sleep_ms(cluster.random.randint(0, 4_000))
        for node in cluster.nodes:
            await cluster.propose(node, 500)
        other.disk.fault = None
        await cluster.wait_for(cluster.is_repaired, "not repaired")
        return await finish(cluster)

    assert run_virtual(main) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_disk_that_then_is_full(seed):
    """Guards against a leader that keeps its role while its writes hang."""

    async def main(clock):
        cluster = await started(clock, seed)
        for _ in range(4):
            leader = await cluster.wait_leader()
            leader.disk.delay_ms = (1_000, 3_000)
            start_ms = clock.now_ms()
            # The others have synced the entry before the leader has.
            assert await cluster.propose(leader)
            assert clock.now_ms() - start_ms < 1_000
            await clock.sleep_ms(cluster.random.randint(0, 4_000))
            leader.disk.fault = "full"
            await cluster.propose_many(3)
            await clock.sleep_ms(cluster.random.randint(0, 4_000))
            leader.disk.fault = None
            leader.disk.delay_ms = (0, 3)
            await cluster.propose_many(3)
            await cluster.wait_for(cluster.has_converged, "members differ")
        return await finish(cluster)

    assert run_virtual(main) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_no_space_to_open(seed):
    """Guards against a member that gives up its identity, or its start, when full."""

    async def main(clock):
        cluster = await started(clock, seed)
        for node in cluster.nodes:
            identity = node.member.identity
            await node.kill()
            log = max(name for name in node.disk.synced if name.startswith("log-"))
            node.disk.synced[log] += b"a torn tail"
            # Left behind by a compaction; recovery removes it.
            node.disk.synced["log-000000000000"] = b""
            node.disk.fault = "full"
            await node.start()
            await cluster.propose_many(3)
            await clock.sleep_ms(cluster.random.randint(0, 10_000))
            node.disk.fault = None
            await cluster.wait_for(
                lambda node=node: node.host.is_running and node.member.is_open,
                "stopped",
            )
            assert node.member.identity == identity
        return await finish(cluster)

    assert run_virtual(main) == []


def test_files_are_kept_once_the_disk_was_full():
    """Guards against a member that gives up its identity after a full disk."""

    async def main(clock):
        cluster = await started(clock, 1)
        await cluster.propose_many(20)
        node = cluster.nodes[0]
        node.disk.fault = "full"
        await cluster.propose_many(3)
        await cluster.wait_for(lambda: not node.host.is_running, "running")
        node.disk.synced["member"] = b"damaged"
        node.disk.fault = None
        await clock.sleep_ms(60_000)
        assert node.disk.synced["member"] == b"damaged"
        assert not node.host.is_running
        return cluster.violations

    assert run_virtual(main) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_proposals_are_answered_while_a_snapshot_is_written(seed):
    """Guards against a leader that answers nothing until a slow disk has a snapshot."""

    async def main(clock):
        cluster = await started(clock, seed)
        leader = cluster.leader()
        leader.disk.delay_ms = (1_000, 3_000)
        for _ in range(30):
            start_ms = clock.now_ms()
            assert await cluster.propose(leader)
            assert clock.now_ms() - start_ms < 1_000
        await cluster.wait_for(lambda: leader.member.journal.snapshot_index, "none")
        leader.disk.delay_ms = (0, 3)
        return await finish(cluster)

    assert run_virtual(main) == []
