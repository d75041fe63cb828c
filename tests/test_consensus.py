"""Tests of the replicated log under seeded fault schedules in virtual time."""

import attrs
import curio
import pytest

from tests.fake_cluster import Cluster, shrink_sizes
from tests.fake_disk import FakeDisk
from wagtailrun.consensus import election, replication
from wagtailrun.consensus.messages import Join
from wagtailrun.consensus.timing import Timing
from wagtailrun.exceptions import ConsensusUnavailable, DiskFault
from wagtailrun.virtual_time import run_virtual

# The last three cover a closed leader that still started tasks, which sent heartbeats.
SEEDS = (*range(500), 1758, 2144, 4143)
STEPS = 10
SLOW, FAST = 0.9, 1.1


@pytest.fixture(autouse=True)
def _small_sizes(monkeypatch):
    shrink_sizes(monkeypatch)


async def step(cluster, emptied):
    """Inject or end one fault; sometimes two in one step."""
    rng = cluster.random
    for _ in range(rng.choice((1, 1, 2))):
        node, other = rng.sample(cluster.nodes, 2)
        match rng.randrange(11):
            case fault if fault < 9:
                await cluster.inject(fault, node, other)
            case 9:
                cluster.network.loss = rng.choice((0.0, 0.1, 0.3))
                cluster.network.duplication = rng.choice((0.0, 0.2))
                cluster.network.delay_ms = rng.choice(((1, 5), (1, 150)))
            case 10 if not emptied or cluster.is_repaired():
                await node.kill()
                node.disk.empty()
                emptied.append(node)
                await node.start()


async def run_schedule(clock, seed):
    rates = [(1.0, 1.0, 1.0), (SLOW, FAST, FAST), (FAST, SLOW, SLOW)][seed % 3]
    size = 5 if seed % 10 == 0 else 3
    rates = [rates[number % 3] for number in range(size)]
    cluster = Cluster(clock, seed, size, rates)
    await cluster.start()
    await cluster.wait_leader()
    await curio.spawn(cluster.client, 120, daemon=True)
    emptied = []
    for _ in range(STEPS):
        await step(cluster, emptied)
        await clock.sleep_ms(cluster.random.randint(50, 1_500))
    await cluster.settle()
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_schedule(seed):
    """Guards against lost, repeated or diverging commands, and two valid leases."""
    cluster = run_virtual(run_schedule, seed)
    assert cluster.violations == []
    assert cluster.acknowledged


async def started(clock, seed, **options):
    """Start a cluster and return it once a leader has committed ten commands."""
    cluster = Cluster(clock, seed, **options)
    await cluster.start()
    await cluster.propose_many(10)
    return cluster


def others(cluster, *nodes):
    return [node for node in cluster.nodes if node not in nodes]


def isolate(cluster, node):
    for other in others(cluster, node):
        cluster.network.cut(node.address, other.address)


async def partitioned_leader(clock, seed):
    """A leader is partitioned from the others, which elect another one."""
    cluster = await started(clock, seed, rates=(SLOW, SLOW, SLOW))
    isolate(cluster, cluster.leader())
    await clock.sleep_ms(8_000)
    return cluster


async def all_killed(clock, seed):
    """All members are killed right after an acknowledgement."""
    cluster = await started(clock, seed)
    for node in cluster.nodes:
        await node.kill()
    return cluster


async def emptied_voter(clock, seed):
    """A follower loses its disk, which held the only other copy of a command.

    The leader is killed too, so the third member must not become leader without it.
    """
    cluster = await started(clock, seed)
    leader = cluster.leader()
    behind, emptied = others(cluster, leader)
    isolate(cluster, behind)
    await cluster.propose(leader)
    await leader.kill()
    await emptied.kill()
    emptied.disk.empty()
    cluster.network.heal()
    await emptied.start()
    await clock.sleep_ms(8_000)
    return cluster


async def restarted_voter(clock, seed):
    """A follower restarts while another one has no contact with the live leader.

    The restarted member must withhold its vote while the leader's lease may be valid.
    """
    cluster = await started(clock, seed, rates=(SLOW, SLOW, SLOW))
    leader = cluster.leader()
    candidate, restarted = others(cluster, leader)
    cluster.network.cut(leader.address, candidate.address)
    await clock.sleep_ms(1_600 + 20 * seed)
    await restarted.kill()
    await restarted.start()
    isolate(cluster, leader)
    await clock.sleep_ms(3_000)
    return cluster


async def returning_member(clock, seed):
    """A follower returns from a partition without contact with any member."""
    cluster = await started(clock, seed)
    leader = cluster.leader()
    term = leader.member.term
    isolate(cluster, others(cluster, leader)[0])
    await clock.sleep_ms(10_000)
    cluster.network.heal()
    await clock.sleep_ms(3_000)
    if leader.member.term != term or not leader.member.is_leader:
        cluster.report("a returning member deposed the leader")
    return cluster


def no_lease_check(patch):
    patch.setattr(replication.Replication, "lease_is_valid", lambda self: True)


def no_sync(patch):
    async def append_only(self, name):
        return

    patch.setattr(FakeDisk, "sync", append_only)


def learner_votes(patch):
    handle_vote = election.Election.handle_vote

    async def answer_for_lost_identity(self, request):
        own = attrs.evolve(request, recipient=self.state.identity)
        reply = await handle_vote(self, own)
        return attrs.evolve(reply, sender=request.recipient)

    patch.setattr(election.Election, "handle_vote", answer_for_lost_identity)


def no_restart_wait(patch):
    must_not_vote = election.Election.must_not_vote

    def unless_restarted(self):
        return self.state.last_leader_contact_ms is not None and must_not_vote(self)

    patch.setattr(election.Election, "must_not_vote", unless_restarted)


def no_pre_vote(patch):
    request_votes = election.Election._request_votes

    async def skip(self, term, pre_vote):
        return pre_vote or await request_votes(self, term, pre_vote)

    patch.setattr(election.Election, "_request_votes", skip)


MUTATIONS = [
    (no_lease_check, partitioned_leader, "hold a lease at once"),
    (no_sync, all_killed, "acknowledged but lost"),
    (learner_votes, emptied_voter, "voted without being a voter"),
    (learner_votes, emptied_voter, "acknowledged but lost"),
    (no_restart_wait, restarted_voter, "hold a lease at once"),
    (no_pre_vote, returning_member, "deposed the leader"),
]


async def run_and_settle(clock, schedule, seed):
    cluster = await schedule(clock, seed)
    await cluster.settle()
    return cluster.violations


@pytest.mark.parametrize(
    ("mutation", "schedule", "violation"),
    MUTATIONS,
    ids=lambda value: getattr(value, "__name__", value),
)
def test_mutation_is_caught(monkeypatch, mutation, schedule, violation):
    """Guards against harness checks that never fail, by disabling each safeguard."""
    seeds = range(12)
    for seed in seeds:
        assert run_virtual(run_and_settle, schedule, seed) == []
    mutation(monkeypatch)
    found = [run_virtual(run_and_settle, schedule, seed) for seed in seeds]
    assert any(violation in text for texts in found for text in texts)


def shape(cluster):
    """Return (voters, learners) of the leader's newest member set, or None."""
    leader = cluster.leader()
    if leader is None:
        return None
    members = leader.member.configuration.members
    voters = sum(info.voter for info in members)
    return voters, len(members) - voters


REPAIR_STEPS = {
    "emptied": (3, 0),
    "learner": (3, 1),
    "old identity removed": (2, 1),
    "promoted": (3, 0),
}


async def second_loss(clock, seed, repair_step, victim):
    cluster = await started(clock, seed)
    leader = cluster.leader()
    joiner, other = others(cluster, leader)
    await cluster.propose_many(30)
    await joiner.kill()
    joiner.disk.empty()
    await cluster.propose_many(5)
    await joiner.start()
    for name, wanted in REPAIR_STEPS.items():
        await cluster.wait_for(lambda w=wanted: shape(cluster) == w, f"not {name}")
        if name == repair_step:
            break
    lost = {"leader": leader, "other": other, "joiner": joiner}[victim]
    await lost.kill()
    if victim == "joiner":
        lost.disk.empty()
    await curio.spawn(cluster.client, 100, daemon=True)
    await clock.sleep_ms(5_000)
    await cluster.settle()
    return cluster.violations


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("victim", ["leader", "other", "joiner"])
@pytest.mark.parametrize("repair_step", REPAIR_STEPS)
def test_second_loss_in_a_repair(repair_step, victim, seed):
    """Guards against lost commands or a blocked cluster after a fault in a repair."""
    assert run_virtual(second_loss, seed, repair_step, victim) == []


async def repeated_losses(clock, seed):
    """Each member in turn loses its disk once the previous one is repaired."""
    cluster = await started(clock, seed)
    await curio.spawn(cluster.client, 100, daemon=True)
    for node in (*cluster.nodes, *cluster.nodes):
        await node.kill()
        node.disk.empty()
        await node.start()
        await cluster.wait_for(cluster.is_repaired, "not repaired")
    return cluster


@pytest.mark.parametrize("seed", range(5))
def test_each_disk_lost_in_turn(seed):
    """Guards against a replaced member that is a voter before it has caught up."""
    assert run_virtual(run_and_settle, repeated_losses, seed) == []


@pytest.mark.parametrize("fault", ["sync error", "full"])
def test_member_stops_after_a_disk_fault(fault):
    """Guards against votes or acknowledgements by a member whose disk failed."""

    async def main(clock):
        cluster = await started(clock, 1)
        leader = cluster.leader()
        leader.disk.fault = fault
        failed = leader.member
        assert not await cluster.propose(leader)
        # The proposal fails at once, before the member has ended.
        await cluster.wait_for(lambda: failed.is_closed, "not closed")
        leader.disk.fault = None
        assert failed.fault is not None
        await cluster.wait_for(lambda: cluster.leader() not in (None, leader), "none")
        await clock.sleep_ms(3_000)
        assert not failed.is_leader
        with pytest.raises(DiskFault):
            await failed.handle(Join("m9#1", "10.0.0.1:9"))
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []


def test_message_to_a_member_that_cannot_open_ends():
    """Guards against calls that wait for ever at a member whose files do not open."""

    async def main(clock):
        cluster = await started(clock, 1)
        node = cluster.nodes[0]
        await node.kill()
        # A torn tail must be cut off, which a full disk refuses.
        name = next(name for name in node.disk.synced if name.startswith("log-"))
        node.disk.synced[name] += b"torn"
        node.disk.fault = "full"
        await node.start()
        member = node.member
        async with curio.timeout_after(5):
            with pytest.raises(DiskFault):
                await member.handle(Join("m9#1", "10.0.0.1:9"))
        assert member.fault is not None
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []


def test_pending_proposal_ends_with_its_member():
    """Guards against callers that wait at a leader whose disk was found to be full."""

    async def main(clock):
        cluster = await started(clock, 1)
        leader = cluster.leader()
        isolate(cluster, leader)
        leader.disk.fault = "full"
        start_ms = clock.now_ms()
        with pytest.raises(ConsensusUnavailable) as caught:
            await leader.member.propose(b"command", 10_000)
        assert caught.value.may_have_committed
        assert clock.now_ms() - start_ms < 100
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []


@pytest.mark.parametrize("seed", range(5))
def test_leader_without_replies_steps_down(seed):
    """Guards against a leader that blocks elections although it receives no replies.

    Its heartbeats still arrive at the followers and reset their election timers.
    """

    async def main(clock):
        cluster = await started(clock, seed)
        isolated = cluster.leader()
        for node in cluster.nodes:
            if node is not isolated:
                cluster.network.cut(node.address, isolated.address, both_ways=False)
        await cluster.wait_for(
            lambda: cluster.leader() not in (None, isolated), "no other leader", 15_000
        )
        await cluster.propose_many(3)
        await cluster.settle()
        return cluster.violations

    assert run_virtual(main) == []


def test_leadership_is_another_one_after_each_election():
    """Guards against a command that is proposed by what a leader before has applied."""

    async def main(clock):
        cluster = await started(clock, 1)
        numbers = []
        for _ in range(4):
            leader = await cluster.wait_leader()
            members = [node.member for node in cluster.nodes]
            held = [member.leadership for member in members if member.leadership]
            assert held == [leader.member.term]
            numbers += held
            await leader.kill()
            assert (await cluster.wait_leader()) is not leader
            await leader.start()
            await clock.sleep_ms(2_000)
        return numbers

    numbers = run_virtual(main)
    assert numbers == sorted(set(numbers))


def test_emptied_majority_bootstraps_no_cluster():
    """Guards against members without data that bootstrap a second, empty cluster."""

    async def main(clock):
        cluster = await started(clock, 1)
        for node in cluster.nodes[:2]:
            await node.kill()
            node.disk.empty()
            await node.start()
        await clock.sleep_ms(20_000)
        assert cluster.leader() is None
        assert all(
            not n.member.journal.member_record.cluster for n in cluster.nodes[:2]
        )
        return cluster.violations

    assert run_virtual(main) == []


def test_timing_bounds_the_clock_rate():
    """Guards against a lease that is still valid when votes are granted again."""
    with pytest.raises(ValueError, match="outlast"):
        Timing(lease_ms=1_100)
    Timing(lease_ms=1_060)
