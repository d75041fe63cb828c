"""Tests of stage calls that are delegated to other entries, in virtual time."""

import pytest

from tests.fake_network import FakeNetwork
from tests.test_stage_pool import FakeStages, target
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.stages import DelegatingStageClient, PieceOutcome, StageItem
from wagtailrun.stages.messages import CallMade, PieceMade
from wagtailrun.stages.spread import _parse_replies
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
    """Entries on a fake network that share the same targets."""

    def __init__(self, clock, should_delegate=True):
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
                lambda: should_delegate,
            )
            self.network.handlers_by_address[row.address] = stages.run_for_peer
            self.clients_by_name[row.name] = client
            self.stages_by_name[row.name] = stages

    async def run(self, row, items=ITEMS):
        return await self.stages_by_name["owner"].run(row, items, 2_000)

    def callers(self):
        return {name for name, client in self.clients_by_name.items() if client.calls}

    def fail(self, error, *, spare=""):
        for name, client in self.clients_by_name.items():
            if name != spare:
                client.faults_by_name["t1"] = error


def test_calls_are_delegated_to_entries_near_the_targets():
    """Load: calls of 32 pieces whose inputs take 5 KB a request, links of 5 Mbit/s.

    Guards against one entry with a saturated link, whose replies are so late that it
    counts as unreachable.
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


def test_calls_over_fast_links_are_not_delegated():
    """Guards against delegation by an entry whose own link is fast enough."""

    async def main(clock):
        fleet = Fleet(clock, should_delegate=False)
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
    """Guards against pieces that run twice, or use retry budget although none ran."""

    async def main(clock):
        fleet = Fleet(clock)
        fleet.fail(error)
        with pytest.raises(TargetFailed) as caught:
            await fleet.run(target(1, "b"))
        return caught.value

    caught = run_virtual(main)
    assert type(caught) is type(error)
    assert caught.verdict == error.verdict


def test_call_is_sent_directly_if_the_delegate_has_no_path():
    """Guards against targets that count as failed because a delegate is cut off."""

    async def main(clock):
        fleet = Fleet(clock)
        fleet.fail(ConnectFailed("no path", confirmed=False), spare=OWN.name)
        replies = await fleet.run(target(1, "b"))
        return fleet.callers(), replies[0].outcome

    callers, outcome = run_virtual(main)
    assert (OWN.name in callers, outcome) == (True, PieceOutcome.DONE)


def test_delegate_without_reply_may_have_run_the_call():
    """Guards against a call that is sent a second time without using retry budget."""

    async def main(clock):
        fleet = Fleet(clock)
        for row in ENTRIES[1:]:
            fleet.network.cut(OWN.address, row.address)
        with pytest.raises(TargetFailed) as caught:
            await fleet.run(target(1, "b"))
        return caught.value.verdict

    assert run_virtual(main) is Verdict.MAY_HAVE_RUN


def test_call_is_sent_directly_if_the_delegate_is_unreachable():
    """Guards against pieces that wait for an entry that has just stopped."""

    async def main(clock):
        fleet = Fleet(clock)
        for row in ENTRIES[1:]:
            del fleet.network.handlers_by_address[row.address]
        return await fleet.run(target(1, "b")), fleet.callers()

    replies, callers = run_virtual(main)
    assert len(replies) == len(ITEMS)
    assert callers == {"owner"}


def test_inputs_are_named_once_a_request():
    """Guards against messages that repeat all inputs for every piece."""

    async def main(clock):
        fleet = Fleet(clock)
        await fleet.run(target(1, "b"))
        return fleet.network.bytes

    few = run_virtual(main)
    assert few < 32 * len(HANDLES) * len(HANDLES[0]) / 2


def test_pause_that_a_target_asks_for_is_passed_on():
    """Guards against an owner of calls that knows no pause, as another entry calls."""

    async def main(clock):
        fleet = Fleet(clock)
        fleet.fail(TargetFailed("full", verdict=Verdict.NOT_RUN, retry_after_ms=1_500))
        with pytest.raises(TargetFailed) as error:
            await fleet.run(target(1, "b"))
        return error.value.retry_after_ms

    assert run_virtual(main) == 1_500


def test_values_that_only_another_build_knows_lose_no_result():
    """Guards against finished pieces that run again beside an unknown outcome."""
    made = tuple(PieceMade(text, "h") for text in ("done", "postponed", ""))
    replies = _parse_replies(CallMade(pieces=made), 3)
    assert [each.outcome for each in replies] == [
        PieceOutcome.DONE,
        PieceOutcome.ERROR,
        PieceOutcome.ERROR,
    ]
    with pytest.raises(TargetFailed) as failure:
        _parse_replies(CallMade("failed", "perhaps", True), 3)
    assert failure.value.verdict is Verdict.MAY_HAVE_RUN


def test_call_to_a_target_that_left_is_not_sent():
    """Guards against calls that another entry wants sent, as it is cut off.

    The sending entry knows that the target leaves, the owner of the calls does not.
    """

    async def main(clock):
        fleet = Fleet(clock)
        for stages in fleet.stages_by_name.values():
            stages.has_left = lambda name: name == "t1"
        with pytest.raises(TargetFailed) as error:
            await fleet.run(target(1, "b"))
        return error.value.verdict, fleet.callers()

    assert run_virtual(main) == (Verdict.NOT_RUN, set())
