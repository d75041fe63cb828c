"""Linearizability of reads beside restarts of some and all members, in virtual time."""

import random

import curio
import pytest

from tests import fake_cluster
from tests.fake_cluster import Cluster, shrink_sizes
from tests.fake_network import FakeNetwork
from tests.test_membership_change import OpenNode
from wagtailrun.codec import decode
from wagtailrun.consensus.restart_round import RestartRound
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.virtual_time import run_virtual

EPISODES = 8
SIZES = (3, 5, 3, 4)
MAX_SIZE = 6
FIRST_NEW_NUMBER = 20
SLOW, FAST = 0.9, 1.1
# A leader and its candidates differ in the direction that shortens the withheld votes.
RATES = ((1.0, 1.0, 1.0), (SLOW, FAST, FAST), (FAST, SLOW, SLOW), (SLOW, SLOW, FAST))
CLIENT_INTERVAL_MS = 60
READ_TIMEOUT_MS = 1_500
# A request may be delivered again this late, also to the next process of a member.
LATE_MS = 2_500
# Plans with two leases at once without the answers of voters.
LEASE_SEEDS = (9, 13, 17)


class LateNetwork(FakeNetwork):
    """Network that delivers some requests a second time, long after the first."""

    async def round_trip(self, source, destination, frame):
        if self.random.random() < self.duplication:
            await curio.spawn(
                self._deliver_late, source, destination, frame, daemon=True
            )
        return await super().round_trip(source, destination, frame)

    async def _deliver_late(self, source, destination, frame):
        await self.clock.sleep_ms(self.random.randint(0, LATE_MS))
        handler = self.handlers_by_address.get(destination)
        is_cut = (source, destination) in self.cuts or destination in self.frozen
        if handler is None or is_cut:
            return
        task = await curio.spawn(handler, decode(frame), daemon=True)
        try:
            await task.join()
        except curio.TaskError:
            return  # The member has stopped, and tells only the sender.


class History:
    """Writes and reads of one list, checked against the order of its commands.

    Each command is appended to the list, so that a history is linearizable if and only
    if no answer contradicts the order in which the operations did not overlap.

    Args:
        cluster: Cluster; gets the violations.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        # Longest list that an operation which has ended has shown.
        self.shown = 0
        self.reads = 0
        self.writes = 0

    def note_write(self, shown_before, position, command):
        self.writes += 1
        self._check_order(shown_before, position, f"write of {command}")
        self.shown = max(self.shown, position)

    def note_read(self, shown_before, commands, reader):
        self.reads += 1
        self._check_order(shown_before, len(commands) + 1, f"read at {reader}")
        known = self.cluster.committed_commands
        if commands != known[: len(commands)]:
            self.cluster.report(f"{reader} read another list")
        self.shown = max(self.shown, len(commands))

    def _check_order(self, shown_before, position, operation):
        if position <= shown_before:
            self.cluster.report(
                f"{operation} at {position}, after {shown_before} were shown"
            )


class Plan:
    """Restarts, changes of the member set and faults that overlap leases.

    Args:
        clock: Virtual clock.
        seed: Seed of all random choices.
    """

    def __init__(self, clock, seed):
        self.clock = clock
        self.random = random.Random(seed * 7_919 + 1)
        size = SIZES[seed % len(SIZES)]
        rates = [RATES[seed // 4 % 4][number % 3] for number in range(size)]
        self.cluster = cluster = Cluster(clock, seed, size, rates)
        cluster.network = LateNetwork(clock, seed, duplication=0.1)
        cluster.nodes = [OpenNode(cluster, n, rates[n]) for n in range(size)]
        self.history = History(cluster)
        self.numbers = iter(range(FIRST_NEW_NUMBER, 1_000))
        self.lost_disks = 0
        self.leases = 0

    async def run(self):
        cluster, rng = self.cluster, self.random
        await cluster.start()
        await cluster.wait_for(cluster.is_repaired, "not founded")
        await curio.spawn(self.run_clients, daemon=True)
        for _ in range(EPISODES):
            if cluster.violations:
                return self  # What follows would show nothing more.
            self.leases += cluster.leader() is not None
            if rng.random() < 0.5:
                await self.change_members()
            await rng.choice(
                (
                    self.restart_some_then_all,
                    self.restart_followers_beside_a_dark_leader,
                    self.restart_each_and_part_the_network,
                )
            )()
            await self.clock.sleep_ms(rng.choice((50, 300, 900, 2_500)))
            if rng.random() < 0.7:
                await self.end_faults()
                await self.wait_for_lease()
        await self.end_faults()
        await cluster.settle()
        return self

    async def wait_for_lease(self):
        end_ms = self.clock.now_ms() + 5_000
        while self.cluster.leader() is None and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(10)
        await self.clock.sleep_ms(self.random.choice((0, 20, 200, 1_500)))

    # Operations

    async def run_clients(self):
        """Start writes and reads at random members until cancelled."""
        rng = self.random
        while True:
            node = rng.choice(self.cluster.nodes)
            if node.member is not None and not node.clock.frozen:
                operations = (self.write, self.read_anywhere, self.read_at_leader)
                await curio.spawn(
                    rng.choice(operations), node, node.member, daemon=True
                )
            await self.clock.sleep_ms(rng.randint(1, CLIENT_INTERVAL_MS))

    async def answered(self, node, member):
        """Return whether an answer leaves its process, once that is not frozen."""
        while node.clock.frozen:
            await self.clock.sleep_ms(3)
        return node.member is member

    async def write(self, node, member):
        cluster, shown_before = self.cluster, self.history.shown
        cluster.commands += 1
        command = f"command-{cluster.commands}"
        try:
            position = await member.propose(command.encode(), READ_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            if not error.may_have_committed:
                cluster.refused.append(command)
            return
        if await self.answered(node, member):
            cluster.acknowledged.append(command)
            self.history.note_write(shown_before, position, command)

    async def read_anywhere(self, node, member):
        await self._read(node, member, member.read_barrier)

    async def read_at_leader(self, node, member):
        await self._read(node, member, member.barrier)

    async def _read(self, node, member, barrier):
        machine, shown_before = node.machine, self.history.shown
        try:
            await barrier(READ_TIMEOUT_MS)
        except ConsensusUnavailable:
            return
        commands = list(machine.commands)
        if await self.answered(node, member):
            self.history.note_read(shown_before, commands, node.name)

    # Changes of the member set

    async def change_members(self):
        """Empty or replace a member, or add one; the leader removes silent ones."""
        rng, nodes = self.random, self.cluster.nodes
        if rng.random() < 0.3 and len(nodes) < MAX_SIZE:
            await self.add_member()
        elif self.cluster.is_repaired():
            # One disk at a time: a majority of the voters keeps its disks.
            self.lost_disks += 1
            node = rng.choice(nodes)
            await node.kill()
            if rng.random() < 0.5:
                node.disk.empty()
                node.founding = False
                await node.start()
            else:
                nodes.remove(node)
                await self.add_member()
        await self.clock.sleep_ms(rng.choice((0, 100, 600, 2_000)))

    async def add_member(self):
        rate = self.random.choice((1.0, SLOW, FAST))
        node = OpenNode(self.cluster, next(self.numbers), rate)
        node.founding = False
        self.cluster.nodes.append(node)
        await node.start()

    # Restarts

    async def restart(self, node, down_ms):
        await node.kill()
        await self.clock.sleep_ms(self.random.randint(0, down_ms))
        # It may have been replaced meanwhile; then it does not come back.
        if node.member is None and node in self.cluster.nodes:
            await node.start()

    async def restart_some_then_all(self):
        rng, nodes = self.random, self.cluster.nodes
        first = rng.sample(nodes, rng.randint(1, len(nodes)))
        for node in first:
            await curio.spawn(self.restart, node, 100, daemon=True)
            await self.clock.sleep_ms(rng.choice((0, 10, 150)))
        await self.clock.sleep_ms(rng.choice((0, 30, 80, 400)))
        for node in list(nodes):
            await curio.spawn(self.restart, node, 300, daemon=True)
            await self.clock.sleep_ms(rng.choice((0, 0, 10, 80)))
        if rng.random() < 0.5:
            await self.clock.sleep_ms(rng.randint(0, 200))
            self.disturb(rng.choice(nodes))

    async def restart_followers_beside_a_dark_leader(self):
        rng, cluster = self.random, self.cluster
        leader = cluster.leader() or rng.choice(cluster.nodes)
        others = [node for node in cluster.nodes if node is not leader]
        rng.shuffle(others)
        is_dark_first = rng.random() < 0.6
        if is_dark_first:
            self.disturb(leader, others)
        for node in others:
            if rng.random() < 0.8:
                await curio.spawn(self.restart, node, 30, daemon=True)
                await self.clock.sleep_ms(rng.choice((0, 0, 5, 30)))
        if not is_dark_first:
            await self.clock.sleep_ms(rng.randint(0, 40))
            self.disturb(leader, others)
        if rng.random() < 0.4:
            # The leader is back within or just after the lease of the others' words.
            await self.clock.sleep_ms(rng.randint(100, 1_200))
            leader.thaw()
            cluster.network.heal()

    async def restart_each_and_part_the_network(self):
        rng, cluster = self.random, self.cluster
        nodes = list(cluster.nodes)
        rng.shuffle(nodes)
        cluster.network.delay_ms = rng.choice(((1, 5), (1, 60), (20, 190)))
        cluster.network.loss = rng.choice((0.0, 0.0, 0.15))
        for node in nodes:
            if rng.random() < 0.7:
                await curio.spawn(self.restart, node, 50, daemon=True)
            if rng.random() < 0.3:
                self.disturb(node)
            await self.clock.sleep_ms(rng.choice((0, 5, 60, 250)))

    def disturb(self, node, others=None):
        """Freeze a member, or cut it off from others, in one direction or both."""
        rng, cluster = self.random, self.cluster
        others = others or rng.sample(cluster.nodes, (len(cluster.nodes) + 1) // 2)
        match rng.randrange(4):
            case 0:
                node.freeze()
            case 1:
                for other in others:
                    cluster.network.cut(node.address, other.address)
            case 2:
                for other in others:
                    cluster.network.cut(node.address, other.address, both_ways=False)
            case 3:
                for other in others:
                    cluster.network.cut(other.address, node.address, both_ways=False)

    async def end_faults(self):
        network = self.cluster.network
        network.heal()
        network.delay_ms, network.loss = (1, 5), 0.0
        for node in self.cluster.nodes:
            node.thaw()
            if node.member is None:
                await node.start()


async def run_plan(clock, seed):
    return await Plan(clock, seed).run()


@pytest.fixture(autouse=True)
def _small_sizes(monkeypatch):
    shrink_sizes(monkeypatch)
    monkeypatch.setattr(fake_cluster, "MONITOR_INTERVAL_MS", 2)


@pytest.mark.parametrize("seed", range(3))
def test_reads_and_leases_beside_restarts(seed):
    """Guards against two leases, stale reads and lost writes after votes at once."""
    plan = run_virtual(run_plan, seed)
    assert plan.cluster.violations == []
    # Plans without leases or answers would show nothing.
    assert plan.leases and plan.history.reads and plan.history.writes


def test_plans_see_votes_without_the_answers_of_voters(monkeypatch):
    """Guards against plans in which no lease is left when members vote at once."""

    def votes_at_once(self, voters):
        return bool(voters)

    monkeypatch.setattr(RestartRound, "shows_no_leader", votes_at_once)
    found = (
        text
        for s in LEASE_SEEDS
        for text in run_virtual(run_plan, s).cluster.violations
    )
    assert any("hold a lease at once" in text for text in found)


async def two_writers(clock):
    """Return the violations of a history with a stale read and a lost write."""
    cluster = Cluster(clock, 1)
    cluster.committed_commands = ["a", "b"]
    history = History(cluster)
    history.note_write(0, 1, "a")
    history.note_read(history.shown, ["a"], "m0")
    history.note_write(0, 2, "b")
    assert cluster.violations == []
    history.note_read(history.shown, ["a"], "m1")
    history.note_write(history.shown, 2, "c")
    history.note_read(0, ["x"], "m2")
    return cluster.violations


def test_histories_see_stale_reads():
    """Guards against a check of reads that always passes."""
    stale, lost, other = run_virtual(two_writers)
    assert "read at m1 at 2, after 2 were shown" in stale
    assert "write of c at 2, after 2 were shown" in lost
    assert "m2 read another list" in other
