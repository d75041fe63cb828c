"""Tests of members whose disks are full or fail, in virtual time."""

import curio
import pytest

from tests.fake_cluster import shrink_sizes
from tests.fake_disk import FakeDisk
from tests.hosted_cluster import HostedCluster, started
from wagtailrun.consensus import host as member_host
from wagtailrun.consensus.messages import AppendEntries, Entry, EntryKind, ReadIndex
from wagtailrun.exceptions import ConsensusUnavailable, DiskFault, DiskFull
from wagtailrun.logs import events
from wagtailrun.process import disk_space
from wagtailrun.virtual_time import run_virtual

HOUR_MS = 3_600_000
SEEDS = range(5)


@pytest.fixture(autouse=True)
def _small_sizes(monkeypatch):
    shrink_sizes(monkeypatch)


@pytest.fixture
def logged(monkeypatch):
    """Events that were logged, in order."""
    found = []
    monkeypatch.setattr(events, "log", lambda event, **fields: found.append(event))
    return found


def run(scenario, seed, **options):
    """Run ``scenario(clock, cluster)``; assert that the cluster works afterwards."""

    async def main(clock):
        cluster = await started(clock, seed, **options)
        identities = {node.member.identity for node in cluster.nodes}
        await scenario(clock, cluster)
        for node in cluster.nodes:
            node.disk.fault = None
        # Not by settle: it would start stopped members again.
        await cluster.wait_for(
            lambda: all(node.host.is_running for node in cluster.nodes), "stopped"
        )
        await cluster.settle()
        assert {node.member.identity for node in cluster.nodes} == identities
        return cluster.violations

    assert run_virtual(main) == []


@pytest.mark.parametrize("fault", ["full", "sync error"])
@pytest.mark.parametrize("seed", SEEDS)
def test_disks_fail_one_after_another(seed, fault):
    """Guards against members that stay stopped once their disks work again."""

    async def scenario(clock, cluster):
        for node in cluster.nodes:
            node.disk.fault = fault
            await cluster.propose_many(20)
            await clock.sleep_ms(2_000)
            node.disk.fault = None
            await cluster.propose_many(5)
            await cluster.wait_for(lambda node=node: node.host.is_running, "stopped")

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_full_leader_and_then_all_lose_power(seed):
    """Guards against acknowledged commands that no disk holds."""

    async def scenario(clock, cluster):
        for _ in range(5):
            leader = await cluster.wait_leader()
            leader.disk.fault = "full"
            await cluster.propose(leader)
            await cluster.propose_many(4)
            await clock.sleep_ms(cluster.random.randint(0, 2_000))
            leader.disk.fault = None
        for node in cluster.nodes:
            await node.kill()
        for node in cluster.nodes:
            await node.start()

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_disks_full_at_once(seed):
    """Guards against acknowledgements without a majority, and a cluster that ends."""

    async def scenario(clock, cluster):
        full = cluster.nodes[seed % 3], cluster.nodes[(seed + 1) % 3]
        for node in full:
            node.disk.fault = "full"
        before = len(cluster.acknowledged)
        for _ in range(5):
            for node in cluster.nodes:
                await cluster.propose(node, 500)
            await clock.sleep_ms(500)
        acknowledged = len(cluster.acknowledged)
        assert acknowledged <= before + 1
        full[0].disk.fault = None
        await cluster.propose_many(3)
        assert len(cluster.acknowledged) == acknowledged + 3

    run(scenario, seed)


def test_delays_begin_anew_with_each_time_without_space():
    """Guards against disks that are full in turn and leave their members out longer."""

    async def scenario(clock, cluster):
        node = cluster.nodes[0]
        for _ in range(5):
            node.disk.fault = "full"
            await cluster.propose_many(1)
            await cluster.wait_for(lambda: not node.host.is_running, "running")
            await clock.sleep_ms(4_000)
            node.disk.fault = None
            start_ms = clock.now_ms()
            await cluster.wait_for(lambda: node.host.is_running, "stopped")
            assert clock.now_ms() - start_ms <= disk_space.MAX_PROBE_DELAY_MS + 100

    run(scenario, 1)


def test_disk_full_for_an_hour(logged):
    """Guards against a log that fills, and messages that wait for ever."""

    async def scenario(clock, cluster):
        node = cluster.nodes[0]
        node.disk.fault = "full"
        await cluster.propose_many(3)
        await cluster.wait_for(lambda: not node.host.is_running, "running")
        logged.clear()
        probes = node.disk.sync_points
        await clock.sleep_ms(HOUR_MS)
        assert logged.count(events.DISK_FULL) <= 1
        assert set(logged) <= {events.DISK_FULL, events.BECAME_LEADER}
        assert node.disk.sync_points - probes < HOUR_MS / 1_000

    run(scenario, 1)


def test_space_for_a_part_of_what_is_needed(logged):
    """Guards against a member that starts and stops all the time on a short disk."""

    async def scenario(clock, cluster):
        node = cluster.nodes[0]
        room = 200
        original = node.disk.write, node.disk.probe

        async def write(name, data):
            if len(data) > room:
                raise DiskFull("injected: no space for this file")
            await original[0](name, data)

        async def probe(size):
            if size > member_host.SPACE_RESERVE_BYTES + room:
                raise DiskFull("injected: no space for this probe")
            await original[1](size)

        node.disk.write, node.disk.probe = write, probe
        await cluster.propose_many(30)
        await cluster.wait_for(lambda: not node.host.is_running, "running")
        await clock.sleep_ms(HOUR_MS)
        assert logged.count(events.DISK_FULL) == 1
        node.disk.write, node.disk.probe = original

    run(scenario, 1)


def test_writes_that_are_refused_although_there_is_space(logged):
    """Guards against starts at full speed where probes succeed and writes do not."""

    async def scenario(clock, cluster):
        node = cluster.nodes[0]
        original = node.disk.append

        async def append(name, data):
            raise DiskFull("injected: refused")

        node.disk.append = append
        await curio_client(clock, cluster, 600)
        assert 2 <= logged.count(events.DISK_FULL) < 30
        node.disk.append = original

    async def curio_client(clock, cluster, commands):
        for _ in range(commands):
            await cluster.propose_many(1)
            await clock.sleep_ms(1_000)

    run(scenario, 1)


def test_member_that_cannot_open_its_files_answers_messages():
    """Guards against messages that wait for ever at a member that did not open."""

    async def scenario(clock, cluster):
        node = cluster.nodes[0]
        await node.kill()
        # A torn tail must be cut off, which a full disk refuses.
        name = next(name for name in node.disk.synced if name.startswith("log-"))
        node.disk.synced[name] += b"torn"
        node.disk.fault = "full"
        await node.start()
        await clock.sleep_ms(100)
        opening = node.member
        with pytest.raises(DiskFault):
            await opening.handle(None)
        await clock.sleep_ms(30_000)
        await cluster.propose_many(3)

    run(scenario, 1)


def test_read_at_a_member_whose_disk_is_full_is_refused_at_once():
    """Guards against polls of entries that wait at a member that applies nothing."""

    async def scenario(clock, cluster):
        leader = await cluster.wait_leader()
        node = next(node for node in cluster.nodes if node is not leader)
        node.disk.fault = "full"
        await cluster.propose_many(1)
        await cluster.wait_for(lambda: not node.host.is_running, "running")
        for _ in range(3):
            start_ms = clock.now_ms()
            with pytest.raises(ConsensusUnavailable) as caught:
                await node.member.read_barrier(2_000)
            assert not caught.value.may_have_committed
            assert clock.now_ms() - start_ms < 100
            await clock.sleep_ms(1_000)

    run(scenario, 1)


def test_read_at_a_member_that_is_replaced_is_refused():
    """Guards against a read of an empty state machine that counts as confirmed."""

    async def scenario(clock, cluster):
        await cluster.propose_many(10)
        await clock.sleep_ms(1_000)
        leader = await cluster.wait_leader()
        node = next(node for node in cluster.nodes if node is not leader)
        member, link = node.member, node.member.state.link

        class SlowLink:
            async def call(self, address, message, timeout_ms):
                reply = await link.call(address, message, timeout_ms)
                if isinstance(message, ReadIndex):
                    await clock.sleep_ms(350)
                return reply

        member.state.link = SlowLink()
        read = await curio.spawn(member.read_barrier, 800)
        await clock.sleep_ms(20)
        node.disk.fault = "full"
        await cluster.propose(leader)
        node.disk.fault = None
        with pytest.raises(curio.TaskError) as error:
            await read.join()
        assert isinstance(error.value.__cause__, ConsensusUnavailable)

    run(scenario, 1)


@pytest.mark.parametrize("error", [RuntimeError("x"), DiskFault("read failed")])
def test_message_in_progress_at_a_member_that_fails_ends(error):
    """Guards against handlers that wait for ever for a write that nobody makes."""

    async def scenario(clock, cluster):
        await cluster.propose_many(3)
        leader = await cluster.wait_leader()
        node = next(node for node in cluster.nodes if node is not leader)
        member, journal = node.member, node.member.journal
        node.disk.delay_ms = (30, 40)
        index = journal.last_index
        message = AppendEntries(
            cluster=journal.member_record.cluster,
            recipient=member.identity,
            term=member.term,
            leader=leader.member.identity,
            leader_address=str(leader.address),
            previous_index=index,
            previous_term=journal.last_term,
            commit_index=member.commit_index,
            entries=(Entry(index + 1, member.term, EntryKind.COMMAND, b"x"),),
        )
        call = await curio.spawn(node.host.handle, message)
        await clock.sleep_ms(5)
        await member.fail(error)
        async with curio.timeout_after(5):
            await call.wait()

    run(scenario, 1)


def test_waiter_at_a_stopped_member_moves_to_the_new_one():
    """Guards against a hub that notices changes late after its member returned."""

    async def scenario(clock, cluster):
        node = cluster.nodes[0]
        node.disk.fault = "full"
        await cluster.propose_many(3)
        await cluster.wait_for(lambda: not node.host.is_running, "running")
        previous = node.member
        waiter = await curio.spawn(previous.applied.wait)
        node.disk.fault = None
        await cluster.wait_for(lambda: node.member is not previous, "not started")
        async with curio.timeout_after(0.1):
            await waiter.join()

    run(scenario, 1)


@pytest.mark.parametrize("fault", ["sync error", "full"])
def test_entries_whose_sync_failed_are_written_anew(fault):
    """Guards against an acknowledgement of entries that a loss of power removes."""

    async def main(clock):
        cluster = HostedCluster(clock, 1)
        await cluster.start()
        await cluster.wait_leader()
        await cluster.propose_many(3)
        for node in cluster.nodes:
            fail_next_sync(node.disk, fault)
        await cluster.propose(cluster.leader())
        await cluster.wait_for(
            lambda: all(node.host.is_running for node in cluster.nodes), "stopped"
        )
        await cluster.propose_many(1)
        for node in cluster.nodes:
            await node.kill()
        for node in cluster.nodes:
            await node.start()
        await cluster.settle()
        return cluster.violations

    def fail_next_sync(disk, fault):
        sync = disk.sync

        async def failing(name):
            disk.sync = sync
            disk.fault = fault
            try:
                await sync(name)
            finally:
                disk.fault = None

        disk.sync = failing

    assert run_virtual(main) == []


class CachingDisk(FakeDisk):
    """Disk whose unsynced data outlives a killed process, but no loss of power."""

    power_is_lost = False

    def kill(self):
        if self.power_is_lost:
            super().kill()
            self.unsynced.clear()
        self.generation += 1

    async def hang(self, name):
        await curio.sleep(1e9)


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_of_a_killed_process_are_synced_first(seed):
    """Guards against an acknowledgement of what a killed process did not sync."""

    async def main(clock):
        cluster = HostedCluster(clock, seed)
        for number, node in enumerate(cluster.nodes):
            node.disk = CachingDisk(node.clock, number)
        await cluster.start()
        await cluster.wait_leader()
        await cluster.wait_for(cluster.is_repaired, "not founded")
        await cluster.propose_many(3)
        leader = cluster.leader()
        follower, other = (node for node in cluster.nodes if node is not leader)
        await other.kill()
        follower.disk.sync = follower.disk.hang
        proposal = await curio.spawn(cluster.propose, leader, 2_000)
        await cluster.wait_for(lambda: follower.disk.unsynced, "nothing written")
        await follower.kill()
        del follower.disk.sync
        await follower.start()
        assert await proposal.join()
        for node in (leader, follower):
            node.disk.power_is_lost = True
            await node.kill()
        await follower.start()
        await other.start()
        await cluster.propose_many(1)
        await leader.start()
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []
