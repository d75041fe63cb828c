"""Tests of the handover by a leader that a signal stops, in virtual time."""

import curio
import pytest

from tests.hosted_cluster import started
from tests.test_handover import SEEDS, TIMINGS, UNANSWERED_LIMIT_MS, finish
from wagtailrun.consensus.host import HANDOVER_LIMIT_MS
from wagtailrun.consensus.member import Member
from wagtailrun.consensus.messages import Handover
from wagtailrun.consensus.state import Role
from wagtailrun.exceptions import ConsensusUnavailable, MessageError
from wagtailrun.relay.control import CONSENSUS_TIMING, PUT_TIMEOUT_MS
from wagtailrun.virtual_time import run_virtual

# A member of the relay answers a change, or refuses it, within PUT_TIMEOUT_MS: without
# a leader for longer, changes are refused. The product's members wait for a leader, so
# that the users' bound counts.
LIMIT_MS_BY_TIMING = {
    timing: PUT_TIMEOUT_MS if timing is CONSENSUS_TIMING else UNANSWERED_LIMIT_MS
    for timing in TIMINGS
}
# A stopping member answers its operators for this time before it hands over.
ANSWER_MS = 100
# A vote is three syncs, which together take longer than a call may.
SLOW_SYNC_MS = (150, 200)
# The candidate and a voter write it, one after the other.
SLOW_HANDOVER_LIMIT_MS = 2 * 3 * SLOW_SYNC_MS[1]
# A member without a successor ends in this time, with some for steps of virtual time.
STOP_LIMIT_MS = ANSWER_MS + HANDOVER_LIMIT_MS + 50


async def stop(node):
    """End a node like a process that gets SIGTERM."""
    node.host.refuse_leadership()
    await node.clock.sleep_ms(ANSWER_MS)
    await node.host.leave_leadership()
    await node.kill()


async def longest_silence(clock, cluster, stopping):
    """Return the longest time without an acknowledgement around the stop of nodes."""
    tasks = [await curio.spawn(stop, node) for node in stopping]
    acknowledged_ms = start_ms = clock.now_ms()
    longest_ms = 0
    while acknowledged_ms == start_ms or not all(task.terminated for task in tasks):
        await clock.sleep_ms(5)
        node = cluster.leader()
        if node is not None and await cluster.propose(node):
            longest_ms = max(longest_ms, clock.now_ms() - acknowledged_ms)
            acknowledged_ms = clock.now_ms()
    while node is None or not node.member or not await cluster.propose(node):
        await clock.sleep_ms(5)
        node = cluster.leader()
    for task in tasks:
        await task.join()
    return max(longest_ms, clock.now_ms() - acknowledged_ms)


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("timing", TIMINGS, ids=["default", "relay"])
def test_stopping_leader_hands_over(timing, size):
    """Guards against changes that wait for an election timeout after a planned stop."""

    async def main(clock, seed):
        cluster = await started(clock, seed, timing=timing, size=size)
        took_ms = await longest_silence(clock, cluster, [cluster.leader()])
        assert await finish(cluster) == []
        return took_ms

    times = [run_virtual(main, seed) for seed in SEEDS]
    assert max(times) <= LIMIT_MS_BY_TIMING[timing]


@pytest.mark.parametrize("seed", range(10))
def test_stopping_leader_hands_over_to_members_on_slow_disks(seed):
    """Guards against votes that are granted, but written too late for the candidate.

    Then nobody leads before an election timeout has passed.
    """

    async def main(clock):
        cluster = await started(clock, seed)
        leader = cluster.leader()
        term = leader.member.term
        for node in cluster.nodes:
            node.disk.delay_ms = SLOW_SYNC_MS
        await stop(leader)
        await clock.sleep_ms(SLOW_HANDOVER_LIMIT_MS)
        members = [node.member for node in cluster.nodes if node.member]
        return [m.term for m in members if m.role is Role.LEADER], term

    terms, term = run_virtual(main)
    assert terms == [term + 1]


@pytest.mark.parametrize("seed", range(20))
def test_changes_that_a_stopping_leader_has_taken_are_acknowledged(seed):
    """Guards against a handover that leaves a change in doubt, or applies it twice."""

    async def main(clock):
        cluster = await started(clock, seed)
        leader = cluster.leader()
        member = leader.member
        in_doubt = []
        acknowledged = []

        async def propose(number):
            command = f"change-{number}"
            try:
                await member.propose(command.encode(), PUT_TIMEOUT_MS)
            except ConsensusUnavailable as error:
                refused = cluster.refused
                (in_doubt if error.may_have_committed else refused).append(command)
            else:
                acknowledged.append(command)
                cluster.acknowledged.append(command)

        async def propose_all():
            async with curio.TaskGroup() as group:
                number = 0
                while leader.member is member:
                    await group.spawn(propose, number)
                    number += 1
                    await clock.sleep_ms(1)

        proposing = await curio.spawn(propose_all)
        await stop(leader)
        await proposing.join()
        violations = await finish(cluster)
        return in_doubt, len(acknowledged), violations

    in_doubt, acknowledged, violations = run_virtual(main)
    assert in_doubt == []
    assert acknowledged >= ANSWER_MS // 2
    assert violations == []


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("delays_ms", [(0, 0), (0, 50), (ANSWER_MS + 20, 0)])
def test_member_that_stops_beside_the_leader_does_not_take_over(delays_ms, seed):
    """Guards against members that stop and pass the leadership to each other.

    Each follower stops in turn, so that one of them is the first choice of the leader.
    """

    async def main(clock):
        cluster = await started(clock, seed, size=5)
        leader = cluster.leader()
        followers = [node for node in cluster.nodes if node is not leader]
        term = leader.member.term

        async def stop_later(delay_ms, node):
            await clock.sleep_ms(delay_ms)
            await stop(node)

        stopping = [leader, followers[seed % len(followers)]]
        async with curio.TaskGroup() as group:
            for delay_ms, node in zip(delays_ms, stopping, strict=True):
                await group.spawn(stop_later, delay_ms, node)
        await clock.sleep_ms(PUT_TIMEOUT_MS)
        successor = cluster.leader()
        terms = successor.member.term - term if successor else None
        return terms, successor in followers, await finish(cluster)

    assert run_virtual(main) == (1, True, [])


@pytest.mark.parametrize("stops", ["all", "one, others gone"])
@pytest.mark.parametrize("size", [1, 3])
def test_stop_without_a_successor_ends_in_its_time(size, stops):
    """Guards against a stop that waits for a successor that does not come."""

    async def main(clock, seed):
        cluster = await started(clock, seed, size=size)
        leader = cluster.leader()
        others = [node for node in cluster.nodes if node is not leader]
        term = leader.member.term
        if stops == "all":
            tasks = [await curio.spawn(stop, node) for node in others]
        else:
            tasks = []
            for node in others:
                await node.kill()
            # This change cannot be committed any more.
            await curio.spawn(cluster.propose, leader, daemon=True)
        start_ms = clock.now_ms()
        member = leader.member
        await stop(leader)
        for task in tasks:
            await task.join()
        took_ms = clock.now_ms() - start_ms
        assert await finish(cluster) == []
        return took_ms, member.term - term

    for seed in range(20):
        took_ms, terms = run_virtual(main, seed)
        assert took_ms <= STOP_LIMIT_MS
        assert terms == 0


def test_lone_member_that_stops_takes_changes_until_its_end():
    """Guards against a lone member that refuses changes as nobody can take over."""

    async def main(clock):
        cluster = await started(clock, 1, size=1)
        (node,) = cluster.nodes
        await node.host.leave_leadership()
        return await cluster.propose(node), await finish(cluster)

    assert run_virtual(main) == (True, [])


@pytest.mark.parametrize("seed", range(20))
def test_stop_beside_earlier_builds_ends_in_its_time(monkeypatch, seed):
    """Guards against a stop that needs voters that know the handover."""
    handle = Member.handle

    async def ignore_handover(self, message):
        if isinstance(message, Handover):
            raise MessageError("unknown message")
        return await handle(self, message)

    monkeypatch.setattr(Member, "handle", ignore_handover)

    async def main(clock):
        cluster = await started(clock, seed)
        start_ms = clock.now_ms()
        await stop(cluster.leader())
        took_ms = clock.now_ms() - start_ms
        return took_ms, await finish(cluster)

    took_ms, violations = run_virtual(main)
    assert took_ms <= STOP_LIMIT_MS
    assert violations == []
