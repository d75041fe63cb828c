"""Cluster whose members are started again by their hosts after disk faults."""

import curio

from tests.fake_cluster import CheckedLink, Cluster, ListMachine, Node
from wagtailrun.consensus.host import MemberHost
from wagtailrun.consensus.member import Member
from wagtailrun.consensus.messages import VoteReply


class HostedNode(Node):
    """One process whose member has a ``MemberHost``."""

    def __init__(self, cluster, number, rate, timing):
        super().__init__(cluster, number, rate)
        self.timing = timing
        self.host = None
        self.task = None

    async def start(self):
        self.starts += 1
        self.machine = ListMachine(self.cluster)
        self.host = host = MemberHost(
            self.clock,
            self.disk,
            self._make_member,
            lambda: None,
            self.name,
            discard_damaged_files=True,
        )

        async def handle(message):
            reply = await host.handle(message)
            if self.host is not host:
                await curio.sleep(1e9)  # A killed process sends no reply.
            if isinstance(reply, VoteReply) and reply.granted:
                self.cluster.check_vote(message, self.member)
            return reply

        self.cluster.network.handlers_by_address[self.address] = handle
        self.task = await curio.spawn(host.run, daemon=True)

    def _make_member(self, disk):
        # The state machine is replaced as a process replaces its memory.
        self.machine = ListMachine(self.cluster)
        self.member = Member(
            self.clock,
            CheckedLink(self.cluster.network.link(self.address), self),
            disk,
            self.machine,
            self.name,
            self.address,
            bootstrap=[(node.name, node.address) for node in self.cluster.nodes],
            seed=hash((self.cluster.seed, self.address.port, self.starts)),
            timing=self.timing,
        )
        return self.member

    async def kill(self):
        if self.member is None:
            return
        self.host = None
        await self.task.cancel(blocking=False)
        await super().kill()


class HostedCluster(Cluster):
    """Cluster of hosted members."""

    def __init__(self, clock, seed, size=3, rates=None, timing=None, **network):
        super().__init__(clock, seed, size, rates, **network)
        rates = rates or [1.0] * size
        self.nodes = [HostedNode(self, n, rates[n], timing) for n in range(size)]


async def started(clock, seed, **options):
    """Return a cluster that has a leader, all its members and some entries."""
    cluster = HostedCluster(clock, seed, **options)
    await cluster.start()
    await cluster.wait_leader()
    await cluster.wait_for(cluster.is_repaired, "not founded")
    await cluster.propose_many(3)
    return cluster
