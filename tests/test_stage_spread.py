"""Tests of stage calls that other entries carry, in virtual time."""

import pytest

from tests.fake_network import FakeNetwork
from tests.test_stage_pool import FakeStages, target
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.gossip_messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.stages import DelegatingStageClient, PieceOutcome, StageItem
from wagtailrun.virtual_time import run_virtual

# The entry that forms the calls, and others in two data centres.
OWN = EntryRow("owner", Address("10.1.0.1", 7_000), "a", 0)
ENTRIES = [
    OWN,
    *(EntryRow(f"a{n}", Address("10.1.0.2", 7_000 + n), "a", n) for n in range(3)),
    *(EntryRow(f"b{n}", Address("10.2.0.1", 7_000 + n), "b", n) for n in range(3)),
]
HANDLES = tuple(f"10.1.64.9:8080/5c1e07a2e44{n}" for n in range(8))
ITEMS = [StageItem(f"r{n // 16}", 2, n % 16, 900, "", HANDLES) for n in range(32)]


class Fleet:
    """Entries on a fake network, each before the same targets."""

    def __init__(self, clock, wanted=True):
        self.network = FakeNetwork(clock)
        self.clients_by_name = {}
        self.stages_by_name = {}
        for row in ENTRIES:
            client = FakeStages(clock)
            stages = DelegatingStageClient(
                client,
                self.network.link(row.address),
                row.name,
                Owners(clock, lambda: ENTRIES),
                lambda: wanted,
            )
            self.network.handlers_by_address[row.address] = stages.run_for_peer
            self.clients_by_name[row.name] = client
            self.stages_by_name[row.name] = stages

    async def run(self, row, items=ITEMS):
        return await self.stages_by_name["owner"].run(row, items, 2_000)

    def callers(self):
        return {name for name, client in self.clients_by_name.items() if client.calls}

    def fail(self, error):
        for client in self.clients_by_name.values():
            client.faults_by_name["t1"] = error


def test_calls_go_over_the_links_of_entries_near_the_targets():
    """Load: calls of 32 pieces whose inputs take 5 KB a request, links of 5 Mbit/s.

    Guards against one entry whose link is full, so that it answers too late and is
    taken as lost.
    """

    async def main(clock):
        fleet = Fleet(clock)
        replies = [await fleet.run(target(n, "b")) for n in range(12)]
        return fleet, replies

    fleet, replies = run_virtual(main)
    assert len(fleet.callers()) >= 2
    assert all(name.startswith("b") for name in fleet.callers())
    assert all(reply.outcome == PieceOutcome.DONE for row in replies for reply in row)
    items = [call for client in fleet.clients_by_name.values() for call in client.calls]
    assert all(call[2] == ITEMS for call in items)


def test_fast_links_make_their_calls_themselves():
    """Guards against a hop that saves nothing."""

    async def main(clock):
        fleet = Fleet(clock, wanted=False)
        await fleet.run(target(1, "b"))
        return fleet.callers()

    assert run_virtual(main) == {"owner"}


@pytest.mark.parametrize(
    "error",
    [
        ConnectFailed("refused"),
        TargetFailed("full", verdict=Verdict.NOT_RUN),
        TargetFailed("cut", verdict=Verdict.MAY_HAVE_RUN),
    ],
)
def test_failures_keep_their_verdict(error):
    """Guards against pieces that run twice, or cost a repeat although none ran."""

    async def main(clock):
        fleet = Fleet(clock)
        fleet.fail(error)
        with pytest.raises(TargetFailed) as caught:
            await fleet.run(target(1, "b"))
        return caught.value

    caught = run_virtual(main)
    assert type(caught) is type(error)
    assert caught.verdict == error.verdict


def test_lost_carrier_may_have_run_the_call():
    """Guards against a call that is made a second time without a repeat being paid."""

    async def main(clock):
        fleet = Fleet(clock)
        for row in ENTRIES[1:]:
            fleet.network.cut(OWN.address, row.address)
        with pytest.raises(TargetFailed) as caught:
            await fleet.run(target(1, "b"))
        return caught.value.verdict

    assert run_virtual(main) is Verdict.MAY_HAVE_RUN


def test_unreachable_carrier_costs_nothing():
    """Guards against pieces that wait for an entry which has just stopped."""

    async def main(clock):
        fleet = Fleet(clock)
        for row in ENTRIES[1:]:
            del fleet.network.handlers_by_address[row.address]
        return await fleet.run(target(1, "b")), fleet.callers()

    replies, callers = run_virtual(main)
    assert len(replies) == len(ITEMS)
    assert callers == {"owner"}


def test_inputs_are_named_once_a_request():
    """Guards against messages as large as the calls that they stand for."""

    async def main(clock):
        fleet = Fleet(clock)
        await fleet.run(target(1, "b"))
        return fleet.network.bytes

    few = run_virtual(main)
    assert few < 32 * len(HANDLES) * len(HANDLES[0]) / 2
