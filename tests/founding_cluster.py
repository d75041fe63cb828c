"""Seeds that found a cluster in virtual time, with ends and losses at their start."""

import curio

from tests.fake_cluster import CheckedLink, ListMachine, Node
from tests.fake_cluster import Cluster as FakeCluster
from wagtailrun.consensus.member import Member

# Allowed from the last start of a seed to the first acknowledged command.
FOUNDING_LIMIT_MS = 5_000
WATCH_INTERVAL_MS = 50


class SeedNode(Node):
    """A process as a platform starts it: it may found a cluster at its first start.

    Attributes:
        may_found: Whether the next start of the process may found a cluster.
        seeds: Names and addresses of its seeds; by default all processes.
        end_at: Called with each message and whether the member has handled it; the
            process ends there if it returns True.
    """

    def __init__(self, cluster, number, rate=1.0):
        super().__init__(cluster, number, rate)
        self.may_found = True
        self.seeds = None
        self.end_at = None

    async def start(self):
        self.starts += 1
        self.machine = ListMachine(self.cluster)
        seeds = self.seeds
        if seeds is None:
            seeds = [(n.name, n.address) for n in self.cluster.nodes]
        self.member = member = Member(
            self.clock,
            CheckedLink(self.cluster.network.link(self.address), self),
            self.disk,
            self.machine,
            self.name,
            self.address,
            peers=[address for _, address in seeds],
            bootstrap=seeds if self.may_found else (),
            founds_by_majority=self.may_found,
            seed=hash((self.cluster.seed, self.address.port, self.starts)),
            open_joining=True,
            min_voters=3,
        )
        self.may_found = False

        async def handle(message):
            await self.end_if_due(member, message, False)
            reply = await member.handle(message)
            await self.end_if_due(member, message, True)
            return reply

        self.cluster.network.handlers_by_address[self.address] = handle
        await curio.spawn(self._run, member, daemon=True)

    async def end_if_due(self, member, message, is_handled):
        """End the process if its test wants that; an ended process sends no reply."""
        is_running = self.member is member
        if is_running and self.end_at and self.end_at(message, is_handled):
            self.end_at = None
            await self.kill()
            is_running = False
        if not is_running:
            await curio.sleep(1e9)

    async def never_start(self):
        """End at the start before any code runs, which uses up the first start."""
        self.starts += 1
        self.may_found = False


class FoundingCluster(FakeCluster):
    """Seeds that have not founded a cluster yet.

    Attributes:
        founded: Identifiers of all clusters whose log a member has ever had.
        entries_by_position: All entries that were seen in a log, by index and term.
    """

    def __init__(self, clock, seed, size, **network):
        super().__init__(clock, seed, size, **network)
        self.founded = set()
        self.entries_by_position = {}
        self.nodes = [SeedNode(self, number) for number in range(size)]

    async def watch(self):
        """Check until cancelled that at most one log is founded."""
        await curio.spawn(self._monitor, daemon=True)
        while True:
            for node in self.nodes:
                if node.member is not None and node.member.journal.last_index:
                    self.founded.add(node.member.journal.member_record.cluster)
                    self._check_entries(node.member.journal)
            if len(self.founded) > 1:
                self.report(f"several logs were founded: {sorted(self.founded)}")
            await self.clock.sleep_ms(WATCH_INTERVAL_MS)

    def _check_entries(self, journal):
        """Check that no two logs hold different entries of one index and term."""
        for entry in journal.entries:
            position = entry.index, entry.term
            if self.entries_by_position.setdefault(position, entry) != entry:
                self.report(f"two entries have index and term {position}")

    def may_found(self):
        """Whether enough running seeds may found a cluster, by their disks."""
        members = [node.member for node in self.nodes if node.member is not None]
        seeds = [m for m in members if m.journal.member_record.founding.seeds]
        return len(seeds) > len(self.nodes) // 2

    async def acknowledge(self, limit_ms=FOUNDING_LIMIT_MS):
        """Propose until a command is acknowledged, within a time limit."""
        end_ms = self.clock.now_ms() + limit_ms
        while self.clock.now_ms() <= end_ms:
            node = self.leader()
            if node is not None and await self.propose(node, 500):
                return
            await self.clock.sleep_ms(20)
        self.report(f"no command was acknowledged in {limit_ms} ms")
