"""Tests of the handover by a leader whose disk is full or fails, in virtual time."""

import attrs
import pytest

from tests.hosted_cluster import started
from wagtailrun.consensus.member import Member
from wagtailrun.consensus.messages import CODEC, Handover, VoteReply, VoteRequest
from wagtailrun.consensus.timing import Timing
from wagtailrun.exceptions import MessageError
from wagtailrun.relay.control import CONSENSUS_TIMING
from wagtailrun.virtual_time import run_virtual

# The users' bound of 4 s for an acknowledgement, less the second after which their
# operator tries another member.
UNANSWERED_LIMIT_MS = 3_000
TIMINGS = [Timing(), CONSENSUS_TIMING]
SEEDS = range(100)


def finish(cluster):
    """Settle the cluster and return its violations."""

    async def settled():
        await cluster.settle()
        return cluster.violations

    return settled()


async def time_to_next_command(clock, cluster):
    """Return how long commands stay unanswered when the leader's disk is full."""
    leader = cluster.leader()
    leader.disk.fault = "full"
    start_ms = clock.now_ms()
    await cluster.propose(leader)
    while True:
        node = cluster.leader()
        if node is not None and await cluster.propose(node):
            return clock.now_ms() - start_ms
        await clock.sleep_ms(5)


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("timing", TIMINGS, ids=["default", "relay"])
def test_leader_with_a_full_disk_hands_over(timing, size):
    """Guards against changes that stay unanswered until an election timeout."""

    async def main(clock, seed):
        cluster = await started(clock, seed, timing=timing, size=size)
        took_ms = await time_to_next_command(clock, cluster)
        assert await finish(cluster) == []
        return took_ms

    slow = [seed for seed in SEEDS if run_virtual(main, seed) > UNANSWERED_LIMIT_MS]
    assert slow == []


@pytest.mark.parametrize("seed", range(20))
def test_voter_of_an_earlier_build_elects_as_before(monkeypatch, seed):
    """Guards against an election that needs voters that know the handover."""
    handle = Member.handle

    async def ignore_handover(self, message):
        if self.name != "m0":
            return await handle(self, message)
        if isinstance(message, Handover):
            raise MessageError("unknown message")
        if isinstance(message, VoteRequest):
            message = attrs.evolve(message, handover=False)
        return await handle(self, message)

    monkeypatch.setattr(Member, "handle", ignore_handover)

    async def main(clock):
        cluster = await started(clock, seed)
        await time_to_next_command(clock, cluster)
        return await finish(cluster)

    assert run_virtual(main) == []


def test_late_handover_deposes_no_leader():
    """Guards against a delayed or misdirected handover that ends a valid lease."""

    async def main(clock):
        cluster = await started(clock, 1)
        leader = cluster.leader()
        term = leader.member.term
        follower = next(node for node in cluster.nodes if node is not leader)
        member = follower.member
        record = member.journal.member_record
        for message in (
            Handover(record.cluster, member.identity, term - 1),
            Handover(record.cluster, member.identity, term + 1),
            Handover(record.cluster, leader.member.identity, term),
            Handover("other", member.identity, term),
        ):
            reply = await member.handle(message)
            assert reply == VoteReply(member.identity, term, False)
        # Its own term, but not that of the handover: the voters stay bound.
        member.election.handover_term = term - 1
        assert not await member.election.take_over(term - 1)
        await clock.sleep_ms(5_000)
        assert leader.member.is_leader
        assert leader.member.term == term
        return await finish(cluster)

    assert run_virtual(main) == []


def test_request_of_an_earlier_build_is_no_handover():
    """Guards against a vote without the wait, for a request that lacks the field."""
    request = VoteRequest("c", "r", 2, "x", 1, 1, True)
    assert CODEC.decode(CODEC.encode(request)).handover is False
    assert CODEC.decode(CODEC.encode(attrs.evolve(request, handover=True))).handover
