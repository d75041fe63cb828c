"""Tests of seeds whose first start has the permission to found but no seed list.

They found no cluster by themselves: an operator orders it (docs/consensus.md, "Seeds
named later").
"""

import curio
import pytest

from tests.founding_cluster import (
    FOUNDING_LIMIT_MS,
    WATCH_INTERVAL_MS,
    FoundingCluster,
)
from tests.test_operator_founding import AddressNode
from wagtailrun.consensus.founding_acceptor import LISTEN_MS, seed_texts
from wagtailrun.consensus.messages import FoundingRecord
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.virtual_time import run_virtual

# The settings name the seeds this long after the first start.
NAMED_AFTER_MS = 1_000
# By then a seed has heard of a cluster that goes on without it, and takes an order.
LONG_MS = LISTEN_MS + 2_000
# More than the time between two reports of what a member waits for.
REPORTS_MS = 65_000
STARTS = ("same", "restarted", "restarted with permission")
ALL = (0, 1, 2)
REMEDY = "only if it never had one, order one of its seeds to found it"
NOBODY = Address("10.0.0.9", 9)
# Lists of an operator who names four seeds: in steps, two at a time, one at a time.
PAIRS = {0: (0, 1), 1: (0, 1), 2: (2, 3), 3: (2, 3)}
ALONE = {number: (number,) for number in range(4)}
OVERLAPPING = {0: (0, 1), 1: (0, 1, 2), 2: (0, 1, 2, 3), 3: (2, 3)}
TRIPLES = {number: (0, 1, 2) if number < 3 else (3, 4, 5) for number in range(6)}


class TracedNode(AddressNode):
    """A process that keeps what its member learns from others, and when."""

    def __init__(self, cluster, number, rate=1.0):
        super().__init__(cluster, number, rate)
        self.learnt = []

    async def start(self):
        await super().start()
        link, handlers = self.member.state.link, self.cluster.network
        handle = handlers.handlers_by_address[self.address]
        call = link.call

        async def traced_call(address, message, timeout_ms):
            reply = await call(address, message, timeout_ms)
            self.learnt.append((self.clock.now_ms(), str(address), message, reply))
            return reply

        async def traced_handle(message):
            self.learnt.append((self.clock.now_ms(), message))
            return await handle(message)

        link.call = traced_call
        handlers.handlers_by_address[self.address] = traced_handle


async def without_seeds(clock, numbers=ALL):
    """Return running members whose first start had no seed list."""
    # Delays without chance: what one member learns depends on its messages alone.
    cluster = FoundingCluster(clock, 1, 0, delay_ms=(1, 1))
    cluster.nodes = [TracedNode(cluster, number) for number in numbers]
    await curio.spawn(cluster.watch, daemon=True)
    for node in cluster.nodes:
        node.seeds = ()
        await node.start()
    await clock.sleep_ms(NAMED_AFTER_MS)
    return cluster


def address_of(number):
    return Address("10.0.0.1", 7_000 + number)


def name_seeds(node, addresses):
    """Name seeds in the settings of a process, which reads them again."""
    node.seeds = [(str(address), address) for address in addresses]
    node.member.peers = addresses


def name_lists(cluster, lists):
    """Name each process the seeds with the numbers of its list."""
    for node in cluster.nodes:
        name_seeds(node, [address_of(n) for n in lists[node.address.port - 7_000]])


def name_all(cluster):
    """Name each process all processes."""
    for node in cluster.nodes:
        name_seeds(node, [other.address for other in cluster.nodes])


async def start_again(cluster, start):
    """Start all processes again, unless the start is that of the same processes."""
    if start == "same":
        return
    for node in cluster.nodes:
        await node.kill()
        node.may_found = start == "restarted with permission"
        await node.start()


async def order(cluster, number=0):
    """Order the founding, and wait for the first acknowledged command."""
    outcome = await cluster.nodes[number].member.found_cluster()
    await cluster.acknowledge(FOUNDING_LIMIT_MS)
    await cluster.clock.sleep_ms(2 * WATCH_INTERVAL_MS)
    return outcome


LISTS = {
    "all": dict.fromkeys(ALL, ALL),
    "pairs": PAIRS,
    "alone": ALONE,
    "overlapping": OVERLAPPING,
}


@pytest.mark.parametrize("start", STARTS)
@pytest.mark.parametrize("lists", LISTS)
def test_members_found_no_cluster_by_lists_that_are_named_later(lists, start):
    """Guards against two logs while lists are edited, and against silent members.

    An earlier build founded one log for each of two lists without a common seed. An
    operator who names all seeds and orders it gets one cluster. Until then each member
    says what it waits for: nothing else tells the operator.
    """

    async def main(clock):
        cluster = await without_seeds(clock, LISTS[lists])
        name_lists(cluster, LISTS[lists])
        await start_again(cluster, start)
        await clock.sleep_ms(LONG_MS)
        name_all(cluster)
        await start_again(cluster, start)
        await clock.sleep_ms(LONG_MS)
        waits = [node.member.founding.cluster_wait.detail for node in cluster.nodes]
        founded = set(cluster.founded)
        outcome = await order(cluster)
        return cluster, founded, waits, outcome

    cluster, founded, waits, outcome = run_virtual(main)
    assert founded == set()
    assert all(REMEDY in text for text in waits)
    assert outcome.cluster, outcome.detail
    assert cluster.founded == {outcome.cluster}
    assert cluster.violations == []


def test_members_whose_seeds_are_named_later_report_what_they_wait_for(monkeypatch):
    """Guards against members that wait for an order without a line in any log."""
    seen = []
    monkeypatch.setattr(events, "log", lambda event, **f: seen.append((event, f)))

    async def main(clock):
        cluster = await without_seeds(clock)
        name_all(cluster)
        await clock.sleep_ms(REPORTS_MS)
        return {node.name for node in cluster.nodes}

    names = run_virtual(main)
    reports = [fields for event, fields in seen if event is events.CLUSTER_AWAITED]
    assert {report["member"] for report in reports} == names
    assert len(reports) == 2 * len(names)
    assert all(REMEDY in report["remedy"] for report in reports)


MISTAKES = {
    "missing": [address_of(0), address_of(1)],
    "wrong": [address_of(0), address_of(1), NOBODY],
    "only others": [address_of(1), address_of(2)],
    "itself": [address_of(0)],
}


@pytest.mark.parametrize("ordered", ALL)
@pytest.mark.parametrize("start", STARTS[:2])
@pytest.mark.parametrize("mistake", MISTAKES)
def test_mistake_in_a_list_is_corrected_without_loss(mistake, start, ordered):
    """Guards against a first list that stays for good, so that orders are refused.

    An order that comes before the correction founds nothing.
    """

    async def main(clock):
        cluster = await without_seeds(clock)
        name_all(cluster)
        name_seeds(cluster.nodes[0], MISTAKES[mistake])
        await start_again(cluster, start)
        await clock.sleep_ms(LONG_MS)
        early = await cluster.nodes[ordered].member.found_cluster()
        await clock.sleep_ms(LONG_MS)
        founded = set(cluster.founded)
        name_all(cluster)
        await start_again(cluster, start)
        await clock.sleep_ms(LONG_MS)
        outcome = await order(cluster, ordered)
        return cluster, early, founded, outcome

    cluster, early, founded, outcome = run_virtual(main)
    assert early.cluster == "", early.detail
    assert founded == set()
    assert outcome.cluster, outcome.detail
    assert cluster.founded == {outcome.cluster}
    assert cluster.violations == []


async def found_with(node, numbers):
    """Give a member the permission to found a cluster with all seeds of its list.

    It is the most careful rule by lists: the protocol has no permission that asks for
    more.
    """
    seeds = [(str(address_of(n)), address_of(n)) for n in numbers]
    member = node.member
    async with member.state.lock:
        await member.founding.acceptor.save(FoundingRecord(seed_texts(seeds)))


async def play(clock, numbers, lists, has_rule):
    """Return what members learn of others, and which logs they found, by their lists.

    Once the lists were to be complete, all members have the same one.
    """
    cluster = await without_seeds(clock, numbers)
    name_lists(cluster, lists)
    async with curio.TaskGroup() as group:
        for node in cluster.nodes if has_rule else ():
            await group.spawn(found_with, node, lists[node.address.port - 7_000])
    await clock.sleep_ms(LONG_MS)
    learnt = {node.address: list(node.learnt) for node in cluster.nodes}
    name_all(cluster)
    await clock.sleep_ms(LONG_MS)
    return learnt, cluster.founded


@pytest.mark.parametrize("has_rule", [False, True])
@pytest.mark.parametrize("lists", [PAIRS, ALONE, TRIPLES])
def test_rule_that_founds_by_lists_founds_two_logs(lists, has_rule):
    """Guards against another rule by which members found by lists that are named later.

    The counterexample of docs/consensus.md: the members of a list learn the same, at
    the same times, whether they are the whole system or others have a list without a
    common seed, also with a rule that founds. So a rule that founds in the first system
    founds a log for each list in the second one. This test fails if members learn more
    from others than that; only then there can be a safe rule.
    """
    groups = sorted(set(lists.values()))
    alone = [run_virtual(lambda c, g=g: play(c, g, lists, has_rule)) for g in groups]
    together, founded = run_virtual(lambda c: play(c, sorted(lists), lists, has_rule))
    for learnt, _ in alone:
        assert {address: together[address] for address in learnt} == learnt
    assert any(map(len, together.values()))
    assert [len(found) for _, found in alone] == [int(has_rule)] * len(groups)
    assert len(founded) == len(groups) * int(has_rule)
    assert founded == set().union(*(found for _, found in alone))
