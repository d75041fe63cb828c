"""Tests of restarts, faults and membership changes around a lease, in virtual time."""

import attrs
import curio
import pytest

from tests import fake_cluster
from tests.fake_cluster import Cluster, shrink_sizes
from tests.hosted_cluster import HostedCluster, HostedNode
from tests.test_membership_change import join, started, voters
from wagtailrun.consensus import replication
from wagtailrun.consensus.messages import LeadershipQuery, VoteRequest
from wagtailrun.consensus.restart_round import RestartRound
from wagtailrun.exceptions import ConsensusUnavailable, DiskFault
from wagtailrun.messages import PeerError
from wagtailrun.ports.link import PeerLink
from wagtailrun.virtual_time import run_virtual

EPISODES = 6
SIZES = (3, 3, 5, 3, 4, 5, 3, 7, 2, 1)
MAX_SIZE = 7
# Numbers of added members; distinct from those of the first ones.
FIRST_NEW_NUMBER = 20
READ_INTERVAL_MS = 150
READ_TIMEOUT_MS = 1_000
# Two leases that overlap by less than the usual interval are seen as well.
MONITOR_INTERVAL_MS = 3
SLOW, FAST = 0.9, 1.1
RATES = [(1.0, 1.0, 1.0), (SLOW, FAST, FAST), (FAST, SLOW, SLOW)]
# An election timeout by the slowest clock, and an election.
ELECTION_TIMEOUT_MS = 3_500


@pytest.fixture(autouse=True)
def _small_sizes(monkeypatch):
    shrink_sizes(monkeypatch)
    monkeypatch.setattr(fake_cluster, "MONITOR_INTERVAL_MS", MONITOR_INTERVAL_MS)


class EarlierBuildLink(PeerLink):
    """Link of a member of an earlier build, whose vote requests name no voters."""

    def __init__(self, link):
        self.link = link

    async def call(self, address, message, timeout_ms):
        if isinstance(message, VoteRequest):
            message = attrs.evolve(message, voters=())
        return await self.link.call(address, message, timeout_ms)


class MixedNode(HostedNode):
    """Process with a host, of this build or an earlier one, that may be replaced.

    Attributes:
        is_seed: Whether it is among the first members and has its first disk.
        is_earlier: Whether its build does not know the round after a restart.
    """

    def __init__(self, cluster, number, rate):
        super().__init__(cluster, number, rate, None)
        self.is_seed = True
        self.is_earlier = False

    def _make_member(self, disk):
        member = super()._make_member(disk)
        state = member.state
        state.open_joining = True
        state.min_voters = 3
        if not self.is_seed:
            state.bootstrap = {}
            state.peers = tuple(node.address for node in self.cluster.nodes)
        prepare_handover = state.on_fault

        def on_fault(error):
            # The host would start the member again, and hide the error.
            if not isinstance(error, DiskFault):
                self.cluster.report(f"{self.name} stopped: {error!r}")
            prepare_handover(error)

        state.on_fault = on_fault
        if self.is_earlier:
            self._remove_round(member)
        return member

    def _remove_round(self, member):
        async def nothing():
            return

        handle = member.handle

        async def handle_known(message):
            if isinstance(message, LeadershipQuery):
                return PeerError("internal", "unknown message")
            return await handle(message)

        restart_round = member.election.restart_round
        restart_round.run = nothing
        restart_round.shows_no_leader = lambda voters: False
        member.handle = handle_known
        member.state.link = EarlierBuildLink(member.state.link)

    async def restart(self):
        await self.kill()
        await self.start()

    async def stop(self):
        """End like a process that gets SIGTERM, and start again."""
        host, rng = self.host, self.cluster.random
        if host is None:
            return
        host.refuse_leadership()
        await self.cluster.clock.sleep_ms(rng.randint(0, 50))
        await host.leave_leadership()
        if self.host is host:
            await self.kill()
            await self.cluster.clock.sleep_ms(rng.randint(0, 50))
        if self.member is None:
            await self.start()

    async def fail_disk(self):
        """Let the disk fail for a time, so that the host replaces the member."""
        rng = self.cluster.random
        self.disk.fault = rng.choice(("full", "sync error"))
        await self.cluster.clock.sleep_ms(rng.randint(1, 300))
        self.disk.fault = None


class Schedule:
    """Episodes of faults that begin while a leader holds its lease.

    Args:
        clock: Virtual clock.
        seed: Seed of all random choices.
    """

    def __init__(self, clock, seed):
        self.clock = clock
        size = SIZES[seed % len(SIZES)]
        rates = [RATES[seed % 3][number % 3] for number in range(size)]
        self.cluster = cluster = HostedCluster(clock, seed, size, rates)
        cluster.nodes = [MixedNode(cluster, n, rates[n]) for n in range(size)]
        self.random = cluster.random
        self.numbers = iter(range(FIRST_NEW_NUMBER, 100))
        self.may_change = size >= 3
        self.lost_disks = 0
        if seed % 7 == 3:
            self.random.choice(cluster.nodes).is_earlier = True

    async def run(self):
        cluster, rng = self.cluster, self.random
        await cluster.start()
        await cluster.wait_leader()
        await curio.spawn(cluster.client, 120, daemon=True)
        await curio.spawn(self.run_reads, daemon=True)
        for _ in range(EPISODES):
            await self.wait_shortly_for_leader()
            if rng.random() < 0.4:
                await self.change_members()
                await self.clock.sleep_ms(rng.randint(0, 1_500))
            leader = cluster.leader()
            if rng.random() < 0.5:
                await self.disturb_leader(leader)
                await self.disturb_others(leader)
            else:
                # Members that have just started ask a leader that lives.
                await self.disturb_others(leader)
                await self.clock.sleep_ms(rng.randint(0, 60))
                await self.disturb_leader(leader)
            await self.clock.sleep_ms(rng.choice((rng.randint(20, 900), 3_000)))
            await self.end_faults()
        await cluster.settle()
        return cluster

    async def wait_shortly_for_leader(self):
        end_ms = self.clock.now_ms() + ELECTION_TIMEOUT_MS
        while self.cluster.leader() is None and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(20)
        await self.clock.sleep_ms(self.random.choice((0, 0, 300, 2_000)))

    # Membership

    async def change_members(self):
        rng, nodes = self.random, self.cluster.nodes
        if not self.may_change:
            return
        may_lose_disk = not self.lost_disks or self.cluster.is_repaired()
        change = rng.randrange(3)
        if change == 2 and len(nodes) < MAX_SIZE:
            await self.add_member()
        elif change < 2 and may_lose_disk:
            self.lost_disks += 1
            node = rng.choice(nodes)
            await node.kill()
            if change == 0:
                node.disk.empty()
                node.is_seed = False
                await node.start()
            else:
                nodes.remove(node)
                await self.add_member()

    async def add_member(self):
        number = next(self.numbers)
        node = MixedNode(self.cluster, number, self.random.choice((1.0, SLOW, FAST)))
        node.is_seed = False
        self.cluster.nodes.append(node)
        await node.start()

    # Faults

    async def disturb_leader(self, leader):
        cluster, rng = self.cluster, self.random
        if leader is None or leader.member is None:
            return
        others = [node for node in cluster.nodes if node is not leader]
        match rng.randrange(11):
            case 0 | 1:
                leader.freeze()
            case 2 | 3:
                for node in others:
                    cluster.network.cut(node.address, leader.address)
            case 4:
                for node in others:
                    cluster.network.cut(leader.address, node.address, both_ways=False)
            case 5:
                for node in others:
                    cluster.network.cut(node.address, leader.address, both_ways=False)
            case 6 if others:
                cluster.network.cut(leader.address, rng.choice(others).address)
            case 7:
                await curio.spawn(leader.stop, daemon=True)
            case 8:
                await curio.spawn(leader.fail_disk, daemon=True)
            case 9:
                await leader.restart()

    async def disturb_others(self, leader):
        cluster, rng = self.cluster, self.random
        others = [node for node in cluster.nodes if node is not leader]
        rng.shuffle(others)
        if rng.random() < 0.25:
            for node in others:
                await node.restart()
            return
        if rng.random() < 0.2:
            cluster.network.delay_ms = rng.choice(((1, 5), (1, 40), (1, 150)))
            cluster.network.loss = rng.choice((0.0, 0.0, 0.1))
            cluster.network.duplication = rng.choice((0.0, 0.2))
        for node in others:
            await self.disturb(node)
            await self.clock.sleep_ms(rng.choice((0, 0, 5, 40, 200)))

    async def disturb(self, node):
        cluster, rng = self.cluster, self.random
        match rng.randrange(14):
            case fault if fault < 6:
                await node.restart()
            case 6:
                await node.restart()
                await self.clock.sleep_ms(rng.randint(0, 60))
                await node.restart()
            case 7:
                await node.kill()
            case 8:
                other = rng.choice(cluster.nodes)
                both_ways = rng.random() < 0.3
                cluster.network.cut(node.address, other.address, both_ways)
            case 9:
                node.freeze()
            case 10:
                await curio.spawn(node.fail_disk, daemon=True)
            case 11:
                node.disk.kill_at = node.disk.sync_points + rng.randint(1, 8)
            case 12:
                await curio.spawn(node.stop, daemon=True)

    async def end_faults(self):
        rng = self.random
        if rng.random() < 0.6:
            self.cluster.network.heal()
        for node in self.cluster.nodes:
            if rng.random() < 0.7:
                node.thaw()
            if node.member is None and rng.random() < 0.7:
                await node.start()

    # Reads

    async def run_reads(self):
        """Start reads at random members until cancelled."""
        while True:
            node = self.random.choice(self.cluster.nodes)
            if node.member is not None and not node.clock.frozen:
                await curio.spawn(self.read, node.member, node, daemon=True)
            await self.clock.sleep_ms(READ_INTERVAL_MS)

    async def read(self, member, node):
        """Check that a read returns all commands acknowledged before it began."""
        machine = node.machine
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


async def run_schedule(clock, seed):
    return await Schedule(clock, seed).run()


@pytest.mark.parametrize("seed", range(100))
def test_schedule_of_restarts_and_membership_changes(seed):
    """Guards against two leases, stale reads and lost commands after votes at once."""
    cluster = run_virtual(run_schedule, seed)
    assert cluster.violations == []
    assert cluster.acknowledged


# Schedules for one condition of the vote each


async def lagging_voter(clock, seed):
    """A voter restarts that renewed the lease of a leader which its log lacks.

    It receives a snapshot, so that its member set does not hold the leader, which was
    added since. Two voters without contact with the leader ask for its vote.
    """
    cluster = await started(clock, seed, 4)
    lagging, keeper, *candidates = first = list(cluster.nodes)
    for node in first:
        node.member.state.min_voters = 0
        if node is not lagging:
            cluster.network.cut(lagging.address, node.address)
    leader = await join(cluster)
    leader.member.state.min_voters = 0
    cluster.network.cut(lagging.address, leader.address)
    await cluster.wait_for(lambda: len(voters(cluster)) == 5, "not added")
    for node in first:
        node.member.refuse_leadership()
    if cluster.leader() is not leader:
        await cluster.leader().member.election.step_down()
    await cluster.wait_for(lambda: cluster.leader() is leader, "it does not lead")
    await cluster.propose_many(150)
    cluster.network.delay_ms = (20, 25)
    cluster.network.heal()
    for node in candidates:
        cluster.network.cut(node.address, leader.address)
        node.member.election.refuses_leadership = False
    # Longer than the candidates withhold their votes, and within the transfer.
    await clock.sleep_ms(1_450)
    assert leader.member.is_leader
    assert lagging.member.follower.received_data
    assert not lagging.member.configuration.is_voter(leader.member.identity)
    await lagging.kill()
    await lagging.start()
    cluster.network.delay_ms = (1, 5)
    for node in (lagging, keeper):
        cluster.network.cut(leader.address, node.address)
    answered = lagging.member.election.restart_round.newest_by_identity
    await campaign_for(clock, candidates, 600)
    assert len(answered) == 3
    return cluster


async def campaign_for(clock, nodes, duration_ms):
    """Let nodes ask for votes all the time, as election timeouts may end any time."""
    end_ms = clock.now_ms() + duration_ms
    while clock.now_ms() < end_ms:
        for node in nodes:
            await curio.spawn(node.member.election.campaign, daemon=True)
        await clock.sleep_ms(10)


async def leader_of_a_bridge(clock, seed):
    """After a restart of all, one voter is cut off from the leader, but not from all.

    The voter that both reach has the answers of all, and renews the lease.
    """
    cluster = Cluster(clock, seed, rates=(SLOW, SLOW, SLOW))
    await cluster.start()
    await cluster.propose_many(5)
    for node in cluster.nodes:
        await node.kill()
    for node in cluster.nodes:
        await node.start()
    await cluster.propose_many(5)
    leader = cluster.leader()
    cut_off = next(node for node in cluster.nodes if node is not leader)
    cluster.network.cut(leader.address, cut_off.address)
    await clock.sleep_ms(2 * ELECTION_TIMEOUT_MS)
    return cluster


async def leader_that_answers(clock, seed):
    """Both followers restart, ask the leader, and are cut off before a heartbeat."""
    cluster = Cluster(clock, seed, rates=(SLOW, SLOW, SLOW))
    await cluster.start()
    await cluster.propose_many(5)
    leader = cluster.leader()
    followers = [node for node in cluster.nodes if node is not leader]
    for node in followers:
        await node.kill()
    for node in followers:
        await node.start()
    await clock.sleep_ms(10 + 2 * seed)
    for node in followers:
        cluster.network.cut(leader.address, node.address)
    await campaign_for(clock, followers, 600)
    return cluster


def own_member_set(patch):
    shows_no_leader = RestartRound.shows_no_leader

    def of_own_voters(self, voters):
        return shows_no_leader(self, self.state.configuration.voters())

    patch.setattr(RestartRound, "shows_no_leader", of_own_voters)


def no_memory_of_contact(patch):
    def without_contact(self, voters):
        known = self.newest_by_identity.keys() | {self.state.identity}
        return bool(voters) and set(voters) <= known

    patch.setattr(RestartRound, "shows_no_leader", without_contact)


def any_answer_counts(patch):
    handle = RestartRound.handle

    def never_leads(self, query):
        return attrs.evolve(handle(self, query), leads=False)

    patch.setattr(RestartRound, "handle", never_leads)


def majority_answers(patch):
    def majority_suffices(self, voters):
        answers = len(self.newest_by_identity) + 1
        is_majority = answers >= self.state.configuration.quorum()
        has_contact = self.state.last_leader_contact_ms is not None
        return bool(voters) and is_majority and not has_contact

    patch.setattr(RestartRound, "shows_no_leader", majority_suffices)


CONDITIONS = [
    (own_member_set, lagging_voter),
    (no_memory_of_contact, leader_of_a_bridge),
    (any_answer_counts, leader_that_answers),
]
SEEDS = range(4)


@pytest.mark.parametrize(
    ("mutation", "schedule"),
    CONDITIONS,
    ids=lambda value: getattr(value, "__name__", value),
)
def test_each_condition_of_a_vote_at_once_is_needed(monkeypatch, mutation, schedule):
    """Guards against two leases, and against schedules that could not see them."""
    # The transfer of a snapshot outlasts the withheld votes.
    monkeypatch.setattr(replication, "SNAPSHOT_PIECE_BYTES", 40)

    async def settled(clock, seed):
        cluster = await schedule(clock, seed)
        await cluster.settle()
        return cluster.violations

    for seed in SEEDS:
        assert run_virtual(settled, seed) == []
    mutation(monkeypatch)
    found = [text for seed in SEEDS for text in run_virtual(settled, seed)]
    assert any("hold a lease at once" in text for text in found)


def test_random_schedules_see_votes_after_the_answers_of_a_majority(monkeypatch):
    """Guards against schedules in which no lease is left when members restart."""
    majority_answers(monkeypatch)
    found = (
        text for s in range(60) for text in run_virtual(run_schedule, s).violations
    )
    assert any("hold a lease at once" in text for text in found)
