"""Tests of members that hear of a decided founding, in virtual time."""

import itertools

import attrs
import curio
import pytest

from tests.founding_cluster import FoundingCluster
from wagtailrun.consensus.messages import (
    Configuration,
    FoundingAccept,
    FoundingBallot,
    FoundingDecision,
    FoundingPrepare,
    FoundingValue,
    MemberInfo,
)
from wagtailrun.virtual_time import run_virtual


async def alone(clock, size=3):
    """Return seeds of which the first one alone has started."""
    cluster = FoundingCluster(clock, 1, size)
    await curio.spawn(cluster.watch, daemon=True)
    await cluster.nodes[0].start()
    await clock.sleep_ms(200)
    return cluster


def value_of(member, name):
    info = MemberInfo(member.identity, str(member.state.address), voter=True)
    return FoundingValue(name, Configuration((info,)))


def test_decision_does_not_count_as_acceptance_of_an_earlier_ballot():
    """Guards against a proposer that takes a decision of another value for its own."""

    async def main(clock):
        cluster = await alone(clock)
        member = cluster.nodes[0].member
        seeds = member.journal.member_record.founding.seeds
        ballot = FoundingBallot(3, "m1#0")
        await member.handle(FoundingPrepare(member.identity, seeds, ballot))
        decided, other = value_of(member, "v#1"), value_of(member, "w#1")
        await member.handle(FoundingDecision(member.identity, decided))
        return ballot, await member.handle(
            FoundingAccept(member.identity, seeds, ballot, other)
        )

    ballot, reply = run_virtual(main)
    assert reply.cluster == "v#1"
    assert reply.record.value.cluster == "v#1"
    assert reply.record.promised == ballot
    assert reply.record.accepted == FoundingBallot()


def test_seed_that_accepted_begins_its_log_when_the_cluster_is_named():
    """Guards against seeds that wait for each other after the founder is lost.

    The one accepted the value, the other got the first vote request and no value.
    """

    async def main(clock):
        cluster = FoundingCluster(clock, 1, 3)
        await curio.spawn(cluster.watch, daemon=True)
        founder, second, third = cluster.nodes
        for node, other in itertools.combinations(cluster.nodes, 2):
            cluster.network.cut(node.address, other.address)
        for node in cluster.nodes:
            await node.start()
        await clock.sleep_ms(200)
        members = [node.member for node in cluster.nodes]
        infos = [MemberInfo(m.identity, str(m.state.address), True) for m in members]
        value = FoundingValue(members[0].identity, Configuration(tuple(infos)))
        await founder.kill()
        journal = second.member.journal
        record = journal.member_record
        ballot = FoundingBallot(1, members[0].identity)
        accepted = attrs.evolve(
            record.founding, promised=ballot, accepted=ballot, value=value
        )
        await journal.save_record(attrs.evolve(record, founding=accepted))
        journal = third.member.journal
        record = attrs.evolve(journal.member_record, cluster=value.cluster, term=1)
        await journal.save_record(record)
        assert cluster.founded == set()
        cluster.network.heal()
        await cluster.acknowledge(10_000)
        return cluster, value.cluster

    cluster, name = run_virtual(main)
    assert cluster.violations == []
    assert cluster.founded == {name}


@pytest.mark.parametrize("is_handled", [False, True])
def test_seed_does_not_begin_its_log_with_an_earlier_value_of_the_founder(is_handled):
    """Guards against two contents of entry 1, if a founder proposed two values.

    The second seed ended as it accepted the first value, and the founder went on with
    the third seed and its second value.
    """

    async def main(clock):
        cluster = FoundingCluster(clock, 1, 3)
        await curio.spawn(cluster.watch, daemon=True)
        founder, second, third = cluster.nodes
        second.end_at = lambda message, handled: (
            isinstance(message, FoundingAccept) and handled == is_handled
        )
        await founder.start()
        await second.start()
        await cluster.wait_for(lambda: second.member is None, "no acceptance")
        await third.start()
        await cluster.acknowledge()
        await second.start()
        while not second.member.journal.last_index:
            await clock.sleep_ms(1)
        first_entries = [
            node.member.journal.entry(1) for node in (founder, second, third)
        ]
        await cluster.settle()
        return cluster, first_entries

    cluster, first_entries = run_virtual(main)
    assert cluster.violations == []
    assert len(set(first_entries)) == 1
