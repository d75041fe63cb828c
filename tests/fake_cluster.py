"""Cluster of members on fake disks and a fake network, with invariant checks.

All of it runs in virtual time.
"""

import json
import random

import curio

from tests.fake_disk import FakeDisk
from tests.fake_network import FakeNetwork
from wagtailrun.clock import Clock
from wagtailrun.consensus import journal, replication
from wagtailrun.consensus import member as consensus
from wagtailrun.consensus.member import Member
from wagtailrun.consensus.messages import VoteRequest
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.ports.log import StateMachine

MONITOR_INTERVAL_MS = 10


def shrink_sizes(monkeypatch):
    """Lower limits, so that few commands cause snapshots, compaction and transfers."""
    monkeypatch.setattr(consensus, "SNAPSHOT_INTERVAL_ENTRIES", 12)
    monkeypatch.setattr(journal, "RETAINED_ENTRIES", 4)
    monkeypatch.setattr(replication, "SNAPSHOT_PIECE_BYTES", 100)


class NodeClock(Clock):
    """Clock of one process, with a rate error; a frozen process does not wake up."""

    def __init__(self, clock, rate):
        self.clock = clock
        self.rate = rate
        self.frozen = False

    def now_ms(self):
        return int(self.clock.seconds * 1_000 * self.rate + 1e-6)

    def wall_ms(self):
        return self.clock.wall_ms()

    async def sleep_ms(self, duration_ms):
        await self.clock.sleep_ms(duration_ms / self.rate)
        while self.frozen:
            await self.clock.sleep_ms(10)


class ListMachine(StateMachine):
    """State machine that lists all commands and reports differences between members."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command.decode())
        if index != len(self.commands):
            self.cluster.report(
                f"command number {index} applied as number {len(self.commands)}"
            )
        self._compare()
        return index

    def snapshot(self):
        return json.dumps(self.commands).encode()

    def restore(self, data):
        if len(json.loads(data)) < len(self.commands):
            self.cluster.report("restored an older state")
        self.commands = json.loads(data)
        self._compare()

    def _compare(self):
        common = self.cluster.committed_commands
        if len(self.commands) > len(common):
            if self.commands[: len(common)] != common:
                self.cluster.report("applied prefixes differ")
            common[:] = self.commands
        elif self.commands and common[len(self.commands) - 1] != self.commands[-1]:
            self.cluster.report("applied commands differ")


class CheckedLink(PeerLink):
    """Link of one process, which checks its vote requests."""

    def __init__(self, link, node):
        self.link = link
        self.node = node

    async def call(self, address, message, timeout_ms):
        member = self.node.member
        if isinstance(message, VoteRequest) and member is not None:
            self.node.cluster.check_vote_request(message, member)
        return await self.link.call(address, message, timeout_ms)


class Node:
    """One process with its address, clock and disk, over all its restarts."""

    def __init__(self, cluster, number, rate):
        self.cluster = cluster
        self.name = f"m{number}"
        self.address = Address("10.0.0.1", 7_000 + number)
        self.clock = NodeClock(cluster.clock, rate)
        self.disk = FakeDisk(self.clock, seed=cluster.seed * 10 + number)
        self.disk.on_kill = self.kill
        self.member = None
        self.starts = 0

    async def start(self):
        self.starts += 1
        self.machine = ListMachine(self.cluster)
        self.member = member = Member(
            self.clock,
            CheckedLink(self.cluster.network.link(self.address), self),
            self.disk,
            self.machine,
            self.name,
            self.address,
            bootstrap=[(node.name, node.address) for node in self.cluster.nodes],
            seed=hash((self.cluster.seed, self.address.port, self.starts)),
        )

        async def handle(message):
            reply = await member.handle(message)
            if self.member is not member:
                await curio.sleep(1e9)  # A killed process sends no reply.
            if isinstance(message, VoteRequest) and reply.granted:
                self.cluster.check_vote(message, member)
            return reply

        self.cluster.network.handlers_by_address[self.address] = handle
        await curio.spawn(self._run, member, daemon=True)

    async def _run(self, member):
        try:
            await member.run()
        except Exception as error:
            if self.member is member and self.disk.fault is None:
                self.cluster.report(f"{self.name} stopped: {error!r}")

    async def kill(self):
        if self.member is None:
            return
        member, self.member = self.member, None
        self.thaw()
        self.cluster.network.handlers_by_address.pop(self.address, None)
        self.disk.kill()
        # The process is gone, so its tasks must end: they would otherwise run on in
        # the harness, and the member could still claim a lease.
        await curio.spawn(member.close, daemon=True)

    def freeze(self):
        self.clock.frozen = True
        self.cluster.network.frozen.add(self.address)

    def thaw(self):
        self.clock.frozen = False
        self.cluster.network.frozen.discard(self.address)


class Cluster:
    """Members with their network, a client that proposes commands, and a monitor."""

    def __init__(self, clock, seed, size=3, rates=None, **network):
        self.clock = clock
        self.seed = seed
        self.random = random.Random(seed)
        self.network = FakeNetwork(clock, seed, **network)
        self.violations = []
        self.committed_commands = []
        self.acknowledged = []
        self.refused = []
        self.commands = 0
        rates = rates or [1.0] * size
        self.nodes = [Node(self, number, rates[number]) for number in range(size)]

    def report(self, violation):
        if len(self.violations) < 20:
            self.violations.append(f"at {self.clock.now_ms()} ms: {violation}")

    def check_vote(self, request, member):
        """Check that a granted vote was requested from this incarnation."""
        if request.recipient != member.identity:
            self.report(f"{member.identity} voted without being a voter")

    def check_vote_request(self, request, candidate):
        """Check that a vote is requested from a voter, at the time of sending.

        While the request is in transit, the candidate may become a follower and learn
        a newer member set, which a check on arrival would use.
        """
        if not candidate.configuration.is_voter(request.recipient):
            self.report(f"{request.recipient} got a vote request without being a voter")

    async def start(self):
        for node in self.nodes:
            await node.start()
        await curio.spawn(self._monitor, daemon=True)

    async def _monitor(self):
        while True:
            leaders = [n.name for n in self.nodes if n.member and n.member.is_leader]
            if len(leaders) > 1:
                self.report(f"{leaders} hold a lease at once")
            await self.clock.sleep_ms(MONITOR_INTERVAL_MS)

    async def inject(self, fault, node, other):
        """Inject or end one of the faults 0 to 8, which all schedules share."""
        match fault:
            case 0:
                self.network.cut(node.address, other.address, both_ways=False)
            case 1:
                for peer in self.nodes:
                    self.network.cut(node.address, peer.address)
            case 2 | 3:
                self.network.heal()
            case 4:
                node.freeze()
            case 5 | 6:
                for each in self.nodes:
                    each.thaw()
                    if each.member is None:
                        await each.start()
            case 7:
                await node.kill()
            case 8:
                node.disk.kill_at = node.disk.sync_points + self.random.randint(1, 12)

    def leader(self):
        return next((n for n in self.nodes if n.member and n.member.is_leader), None)

    async def wait_leader(self, limit_ms=60_000):
        return await self.wait_for(self.leader, "no leader", limit_ms)

    async def wait_for(self, condition, complaint, limit_ms=60_000):
        end_ms = self.clock.now_ms() + limit_ms
        while not (value := condition()):
            if self.clock.now_ms() > end_ms:
                self.report(f"{complaint} in {limit_ms} ms")
                return None
            await self.clock.sleep_ms(20)
        return value

    async def propose(self, node, timeout_ms=2_000):
        """Propose one unique command; return whether it was acknowledged.

        A refusal that says the command was not committed is recorded for the check.
        """
        member = node.member
        if member is None:
            # Killed between the choice of the node and the start of this task.
            return False
        self.commands += 1
        command = f"command-{self.commands}"
        try:
            await member.propose(command.encode(), timeout_ms)
        except ConsensusUnavailable as error:
            if not error.may_have_committed:
                self.refused.append(command)
            return False
        while node.clock.frozen:
            await self.clock.sleep_ms(10)
        if node.member is member:
            self.acknowledged.append(command)
        return node.member is member

    async def propose_many(self, count):
        for _ in range(count):
            node = await self.wait_leader()
            if node is not None:
                await self.propose(node)

    async def client(self, interval_ms):
        """Propose at all members in the leader role, until cancelled."""
        while True:
            for node in self.nodes:
                if node.member is not None and node.member.role.value == "leader":
                    await curio.spawn(self.propose, node, daemon=True)
            await self.clock.sleep_ms(self.random.randint(1, 2 * interval_ms))

    def is_repaired(self):
        """Whether all current incarnations are the voters of a committed member set."""
        leader = self.leader()
        if leader is None or any(node.member is None for node in self.nodes):
            return False
        member = leader.member
        index, configuration = member.journal.configuration_at(1 << 62)
        present = sorted(node.member.identity for node in self.nodes)
        voters = sorted(configuration.voters())
        return index <= member.commit_index and voters == present

    def has_converged(self):
        return len({len(n.machine.commands) for n in self.nodes}) == 1

    async def settle(self):
        """End all faults, wait for a working cluster, and check the invariants."""
        self.network.heal()
        self.network.loss = self.network.duplication = 0.0
        self.network.delay_ms = (1, 5)
        for node in self.nodes:
            node.thaw()
            node.disk.kill_at = node.disk.fault = None
            if node.member is None or node.member.fault is not None:
                await node.kill()
                await node.start()
        await self.wait_for(self.is_repaired, "not repaired")
        await self.propose_many(1)
        await self.wait_for(self.has_converged, "members differ")
        lost = set(self.acknowledged) - set(self.committed_commands)
        if lost:
            self.report(f"acknowledged but lost: {sorted(lost)}")
        wrong = set(self.refused) & set(self.committed_commands)
        if wrong:
            self.report(f"refused as not run, but applied: {sorted(wrong)}")
        if len(set(self.committed_commands)) < len(self.committed_commands):
            self.report("a command was applied twice")
