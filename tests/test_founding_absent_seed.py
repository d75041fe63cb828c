"""Tests of the seed that is absent from the first member set, in virtual time."""

import itertools

import attrs
import curio
import pytest

from tests.founding_cluster import FoundingCluster
from wagtailrun.consensus.messages import (
    FoundingAccept,
    FoundingDecision,
    FoundingPrepare,
    FoundingRecord,
    VoteRequest,
)
from wagtailrun.virtual_time import run_virtual

# Within this time of the start of the absent seed the others are up.
UP_AFTER_LAST_START_MS = 5_000
# The same if the member is asked for votes as soon as it grants them.
LEADER_LIMIT_MS = 2_000
# Two seeds without the third one have a leader by then.
FOUNDED_BY_TWO_MS = 4_000
REQUESTS = (FoundingPrepare, FoundingAccept, FoundingDecision, VoteRequest)
# Syncs of a seed from its first write to the end of its first election.
FIRST_SYNC_POINTS = range(1, 16)
PAIRS = list(itertools.permutations(range(3), 2))


def log_of(node):
    """Return all entries of a short log."""
    return node.member.journal.entries_from(1, 10_000)


def end_at_request(request, is_handled):
    """Return an end of a seed at a request, before or after it has handled it."""

    def arm(run):
        run.ending.end_at = lambda message, handled: (
            isinstance(message, request) and handled == is_handled
        )

    return arm


def end_at_own_request(request, is_handled):
    """Return an end of a seed as the other one gets, or has handled, its request."""

    def arm(run):
        def note(message, handled):
            if isinstance(message, request) and handled == is_handled:
                run.is_due = True
            return False

        run.staying.end_at = note

    return arm


def end_at_write(sync_point):
    """Return an end of a seed at one of its writes."""

    def arm(run):
        run.ending.disk.kill_at = sync_point

    return arm


ENDS = [
    *(
        end(request, is_handled)
        for end in (end_at_request, end_at_own_request)
        for request in REQUESTS
        for is_handled in (False, True)
    ),
    *map(end_at_write, FIRST_SYNC_POINTS),
]


class LateSeed:
    """Three seeds: one ends at a step of the founding, another one starts afterwards.

    Args:
        clock: Virtual clock.
        ending: Number of the seed that ends.
        staying: Number of the seed that was started with it.
        delay_ms: Time from the end of the one to the start of the third seed.
        loses_disk: Whether the ended seed is emptied before it starts again.

    Attributes:
        is_due: Whether the seed is to end now.
    """

    def __init__(self, clock, ending, staying, delay_ms, loses_disk=False):
        self.clock = clock
        self.cluster = FoundingCluster(clock, delay_ms, 3)
        nodes = self.cluster.nodes
        self.ending, self.staying = nodes[ending], nodes[staying]
        self.absent = nodes[3 - ending - staying]
        self.delay_ms = delay_ms
        self.loses_disk = loses_disk
        self.is_due = False

    def _is_awaited(self):
        """Whether the end of the one seed is to come; some steps never do."""
        has_ended = self.is_due or self.ending.member is None
        return not has_ended and self.clock.now_ms() < FOUNDED_BY_TWO_MS

    async def run(self, arm):
        """Run all of it; return the newest entry of the seed that stays."""
        cluster = self.cluster
        await curio.spawn(cluster.watch, daemon=True)
        arm(self)
        for node in sorted((self.ending, self.staying), key=lambda node: node.name):
            await node.start()
        while self._is_awaited():
            await self.clock.sleep_ms(1)
        await self.ending.kill()
        self.ending.end_at = self.staying.end_at = self.ending.disk.kill_at = None
        await self.clock.sleep_ms(self.delay_ms)
        entries = log_of(self.staying)
        last_index = len(entries)
        await self.absent.start()
        if last_index <= 1:
            await cluster.acknowledge(UP_AFTER_LAST_START_MS)
        else:
            # The ended seed may have acknowledged what the other one holds, which
            # may still append entries as a leader.
            await self.clock.sleep_ms(UP_AFTER_LAST_START_MS)
            assert log_of(self.staying)[:last_index] == entries
        if self.loses_disk and last_index <= 1:
            self.ending.disk.empty()
        await self.ending.start()
        await cluster.acknowledge()
        await cluster.settle()
        assert cluster.violations == []
        assert len(cluster.founded) == 1
        return last_index


@pytest.mark.parametrize("loses_disk", [False, True])
@pytest.mark.parametrize("delay_ms", [0, 40, 700, 20_000])
@pytest.mark.parametrize(("ending", "staying"), PAIRS)
def test_two_of_three_seeds_go_on_after_the_end_of_one_at_each_step(
    ending, staying, delay_ms, loses_disk
):
    """Guards against a seed that waits for ever for another one that it accepted.

    The third seed starts with its permission, so that two of three may found.
    """

    async def main(clock, arm):
        run = LateSeed(clock, ending, staying, delay_ms, loses_disk)
        return await run.run(arm)

    last_indexes = {run_virtual(lambda clock, a=arm: main(clock, a)) for arm in ENDS}
    # Else the steps are none of the founding.
    assert {0, 1} <= last_indexes


@pytest.mark.parametrize(
    ("ending", "staying", "arm"),
    [
        (0, 1, end_at_own_request(VoteRequest, True)),
        (1, 0, end_at_request(FoundingDecision, False)),
    ],
)
@pytest.mark.parametrize("delay_ms", range(0, 1_000, 50))
def test_member_that_adds_the_absent_seed_asks_for_votes_at_once(
    ending, staying, arm, delay_ms
):
    """Guards against a wait for the election timeout, or for an ended member.

    The absent seed withholds its vote for 1.3 s after its start.
    """

    async def main(clock):
        run = LateSeed(clock, ending, staying, delay_ms)
        acknowledge = run.cluster.acknowledge
        run.cluster.acknowledge = lambda limit_ms=LEADER_LIMIT_MS: acknowledge(
            min(limit_ms, LEADER_LIMIT_MS)
        )
        return await run.run(arm)

    assert run_virtual(main) == 1


@pytest.mark.parametrize("commands", [0, 1, 5])
@pytest.mark.parametrize(("ending", "staying"), PAIRS)
def test_acknowledged_commands_of_two_members_are_kept(ending, staying, commands):
    """Guards against a member that takes back what a lost one has acknowledged."""

    async def main(clock):
        cluster = FoundingCluster(clock, commands, 3)
        await curio.spawn(cluster.watch, daemon=True)
        lost, kept = cluster.nodes[ending], cluster.nodes[staying]
        await lost.start()
        await kept.start()
        await cluster.wait_leader()
        await cluster.propose_many(commands)
        await lost.kill()
        entries = log_of(kept)
        assert len(entries) == commands + 2
        await cluster.nodes[3 - ending - staying].start()
        await clock.sleep_ms(10_000)
        assert log_of(kept)[: len(entries)] == entries
        await kept.kill()
        await kept.start()
        await clock.sleep_ms(10_000)
        assert log_of(kept)[: len(entries)] == entries
        await lost.start()
        await cluster.acknowledge()
        await cluster.settle()
        return cluster

    cluster = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1


@pytest.mark.parametrize("number", range(3))
def test_both_members_may_add_the_absent_seed_at_once(number):
    """Guards against two leaders, or two logs, if both first members are cut off."""

    async def main(clock):
        cluster = FoundingCluster(clock, number, 3)
        await curio.spawn(cluster.watch, daemon=True)
        absent, *members = (cluster.nodes[(number + step) % 3] for step in range(3))
        first, second = members
        for node in members:
            await node.start()
        while not all(node.member.journal.last_index for node in members):
            await clock.sleep_ms(1)
        cluster.network.cut(first.address, second.address)
        await clock.sleep_ms(1_000)
        assert [node.member.journal.last_index for node in members] == [1, 1]
        await absent.start()
        await cluster.acknowledge(UP_AFTER_LAST_START_MS)
        logs = [log_of(node) for node in members]
        cluster.network.cut(first.address, absent.address)
        cluster.network.cut(second.address, absent.address)
        await clock.sleep_ms(5_000)
        await cluster.settle()
        return cluster, logs

    cluster, logs = run_virtual(main)
    assert cluster.violations == []
    assert len(cluster.founded) == 1
    assert logs[0][:2] == logs[1][:2]
    assert logs[0][1].term == 1


def by_order(record):
    return attrs.evolve(record, by_majority=False)


def with_other_seeds(record):
    return attrs.evolve(record, seeds=record.seeds[:2])


def without_permission(record):
    return FoundingRecord()


@pytest.mark.parametrize("change", [by_order, with_other_seeds, without_permission])
def test_absent_seed_without_the_permission_of_the_first_start_is_not_added(change):
    """Guards against a voter that may have lost a disk with a vote or an entry."""

    async def main(clock):
        cluster = FoundingCluster(clock, 1, 3)
        await curio.spawn(cluster.watch, daemon=True)
        first, second, absent = cluster.nodes
        await first.start()
        await second.start()
        while not all(node.member.journal.last_index for node in (first, second)):
            await clock.sleep_ms(1)
        await second.kill()
        await clock.sleep_ms(1_000)
        await absent.start()
        acceptor = absent.member.founding.acceptor
        while not absent.member.is_open:
            await clock.sleep_ms(1)
        await acceptor.save(change(acceptor.record))
        await clock.sleep_ms(10_000)
        last_index = first.member.journal.last_index
        await second.start()
        await cluster.acknowledge()
        await cluster.settle()
        return cluster, last_index

    cluster, last_index = run_virtual(main)
    assert last_index == 1
    assert cluster.violations == []


@pytest.mark.parametrize("ending", [*itertools.combinations(range(4), 2)])
def test_three_of_five_seeds_go_on_where_four_founded(ending):
    """Guards against members of a first set of four that wait for the two others."""

    async def main(clock):
        cluster = FoundingCluster(clock, sum(ending), 5)
        await curio.spawn(cluster.watch, daemon=True)
        nodes = cluster.nodes
        for node in nodes[:4]:
            await node.start()
        while not all(node.member.journal.last_index for node in nodes[:4]):
            await clock.sleep_ms(1)
        first_set = nodes[0].member.configuration
        for number in ending:
            await nodes[number].kill()
        await clock.sleep_ms(2_000)
        await nodes[4].start()
        await cluster.acknowledge(UP_AFTER_LAST_START_MS)
        for number in ending:
            nodes[number].disk.empty()
        await cluster.settle()
        return cluster, first_set

    cluster, first_set = run_virtual(main)
    assert len(first_set.members) == 4
    assert cluster.violations == []
    assert len(cluster.founded) == 1
