"""Tests of targets that say that rejections may end them."""

import random

import attrs
import curio
import pytest
from wagtail_platform.requests import parse_notice
from wagtail_platform.stage_calls import PlatformStageClient

from tests.test_notices import Harness
from tests.test_relay_front import (
    GOOD,
    NOT_RUN,
    SIGNATURE,
    answer,
    run_relay,
    send,
)
from wagtailrun.adapters.http_client import HttpClient, TargetObserver
from wagtailrun.clock import SystemClock
from wagtailrun.codec import decode, encode
from wagtailrun.discovery.messages import (
    UNKNOWN_AGE_MS,
    AgedLimit,
    ReportLimits,
    TargetLimit,
)
from wagtailrun.discovery.target_limits import (
    HARMLESS_REJECTIONS_PER_S,
    TargetLimits,
)
from wagtailrun.exceptions import TargetPaused
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.relay.core.placement_messages import RequestGrant
from wagtailrun.relay.core.port import MalformedBound
from wagtailrun.relay.limits.brittle_slots import (
    GATHER_MS,
    REJECTION_PAUSE_MS,
    SETTLED_MS,
    STATEMENT_LIFETIME_MS,
    BrittleSlots,
)
from wagtailrun.relay.limits.send_grants import LINGER_MS, SendGranter
from wagtailrun.routes import RouteKind
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

ROW = TargetRow("t1", Address("10.0.0.1", 80), "s", "a", 4, incarnation=3)


@attrs.frozen
class Head:
    """Head of an answer, as the wire reads it."""

    status: int
    header_pairs: tuple

    @property
    def headers(self):
        return {n.decode().lower(): v.decode("latin-1") for n, v in self.header_pairs}


def notice(*values, status=200, more=()):
    pairs = tuple((b"Server-Brittle", value.encode()) for value in values)
    return parse_notice(Head(status, (*pairs, *more)))


# Reading the header


@pytest.mark.parametrize(
    ("value", "expected"),
    [("3", 3.0), ("0", 0.0), ("0.5", 0.5), (" 2 ", 2.0), ("1e9", 1e6)],
)
def test_bound_is_read(value, expected):
    """Guards against a bound that is not understood."""
    assert notice(value).max_rejections == expected


@pytest.mark.parametrize(
    "values", [["-1"], ["nan"], ["inf"], ["1,5"], [""], ["1", "1"], ["0x1"]]
)
def test_unreadable_bound_is_told_apart(values):
    """Guards against a bad value that passes for a bound, or for none."""
    assert isinstance(notice(*values).max_rejections, MalformedBound)


def test_answer_without_the_header_names_no_bound():
    """Guards against a brittleness that never ends."""
    assert notice().max_rejections is None


@pytest.mark.parametrize(
    ("status", "headers", "rejected"),
    [
        (503, ((b"Not-Executed", b"1"),), True),
        (409, ((b"Not-Executed", b"1"),), True),
        (503, (), False),
        (200, ((b"Not-Executed", b"1"),), False),
        (421, ((b"Not-Executed", b"1"),), None),
    ],
)
def test_rejection_is_recognised(status, headers, rejected):
    """Guards against rejections that nobody counts."""
    found = notice(status=status, more=headers)
    assert (found.rejected if found is not None else None) is rejected


@pytest.mark.network
def test_unreadable_bound_changes_nothing(monkeypatch):
    """Guards against a target that gets nothing, or is not spared, for a bad value."""
    logged = []
    monkeypatch.setattr(events, "log", lambda event, **fields: logged.append(event))
    target = answer(200, b"x", SIGNATURE, ("Server-Brittle", "1,5"))

    async def client(address, fleet):
        return [(await send(address)).status for _ in range(10)]

    assert run_relay(RouteKind.IDEMPOTENT, [[target]], client) == [200] * 10
    assert logged.count(events.TARGET_LIMIT_MALFORMED) == 10
    assert events.TARGET_BRITTLENESS_CHANGED not in logged


# Belief


def limits_after(*steps):
    """Return the bounds after answers, each with its bound, sending and arrival."""

    async def main(clock):
        limits = TargetLimits(clock)
        for row, max_rejections, sent_ms, arrived_ms in steps:
            await clock.sleep_ms(arrived_ms - clock.now_ms())
            limits.record_brittleness(row, max_rejections, sent_ms)
        return limits.max_rejections(steps[-1][0])

    return run_virtual(main)


def test_answer_to_an_earlier_request_does_not_end_brittleness():
    """Guards against answers that overtake each other."""
    assert limits_after((ROW, 2.0, 90, 100), (ROW, None, 80, 110)) == 2.0
    assert limits_after((ROW, 2.0, 90, 100), (ROW, None, 101, 120)) is None


def test_target_that_was_started_again_counts_as_brittle_until_it_answers():
    """Guards against a rush on a target that fell over and is brittle still."""
    after = attrs.evolve(ROW, incarnation=4)

    async def main(clock):
        limits = TargetLimits(clock)
        limits.record_brittleness(ROW, 1.0, clock.now_ms())
        limits.record_answer(ROW, 5.0, clock.now_ms())
        presumed = limits.max_rejections(after), limits.limit_per_s(after)
        await clock.sleep_ms(10)
        limits.record_brittleness(after, None, clock.now_ms())
        return presumed, limits.max_rejections(after)

    assert run_virtual(main) == ((1.0, None), None)


def test_bound_that_no_fleet_reaches_costs_nothing():
    """Guards against grants for a target that stands all rejections."""
    assert limits_after((ROW, HARMLESS_REJECTIONS_PER_S, 0, 1)) is None


def test_limit_and_brittleness_do_not_end_each_other():
    """Guards against an answer that names one bound and hides the other."""

    async def main(clock):
        limits = TargetLimits(clock)
        await clock.sleep_ms(1_000)
        limits.record_brittleness(ROW, 1.0, 900)
        limits.record_answer(ROW, None, 900)
        limits.record_answer(ROW, 4.0, 950)
        limits.record_brittleness(ROW, None, 950)
        return limits.max_rejections(ROW), limits.limit_per_s(ROW)

    assert run_virtual(main) == (1.0, 4.0)


def test_row_of_an_earlier_build_does_not_end_brittleness():
    """Guards against processes of two builds that undo each other's beliefs."""
    frame = encode(ReportLimits((AgedLimit(TargetLimit("t1", 3, True, 2.0), 0),)))
    (aged,) = decode(frame).rows
    assert aged.brittle_age_ms == UNKNOWN_AGE_MS

    async def main(clock):
        limits = TargetLimits(clock)
        limits.record_brittleness(ROW, 1.0, clock.now_ms())
        await clock.sleep_ms(5_000)
        limits.merge([aged])
        return limits.max_rejections(ROW), limits.limit_per_s(ROW)

    assert run_virtual(main) == (1.0, 2.0)


def test_message_keeps_the_statement():
    """Guards against requests in progress that are lost on the wire."""
    limit = AgedLimit(TargetLimit("t1", 3, False, 0.0, True, 0.5), 7, 9)
    message = RequestGrant(
        limit, "s", 5, "e1 ab", 12, (3, 4), (5,), 8, True, True, incarnation=3
    )
    assert decode(encode(message)) == message


# The owner


class Owner:
    """Owner of one brittle target, in virtual time."""

    def __init__(self, clock, max_rejections, share=1.0, slots=4):
        self.clock = clock
        self.share = share
        self.target_slots = slots
        self.limits = TargetLimits(clock)
        self.limits.record_brittleness(ROW, max_rejections, clock.now_ms())
        self.slots = BrittleSlots(clock, self.limits, random.Random(1))
        self.number = 0

    def ask(self, held=(), entry="e1", **changes):
        self.number += 1
        (limit,) = self.limits.rows([ROW.name])
        message = RequestGrant(
            limit,
            "s",
            changes.pop("urgency", 5),
            entry,
            changes.pop("number", self.number),
            tuple(held),
            slots=self.target_slots,
            incarnation=changes.pop("incarnation", ROW.incarnation),
            **changes,
        )
        return self.slots.handle(message, self.share)

    def report(self, held=(), **changes):
        return self.ask(held, is_report=True, **changes)

    async def fill(self, entry="e1"):
        """Ask until a request is denied; return the numbers that were granted."""
        held = []
        while self.ask(held, entry).granted:
            held.append(self.number)
            await self.clock.sleep_ms(SETTLED_MS)
        return held


def test_no_more_requests_than_slots():
    """Guards against requests of several entries that wait at the target."""

    async def main(clock):
        owner = Owner(clock, 5.0)
        owner.report()
        await clock.sleep_ms(GATHER_MS)
        counts = [len(await owner.fill("e1"))]
        owner.report(entry="e1")
        held = await owner.fill("e1")
        counts.append(len(held))
        counts.append(len(await owner.fill("e2")))
        owner.report(held[1:], entry="e1")
        counts.append(len(await owner.fill("e2")))
        return counts

    assert run_virtual(main) == [4, 4, 0, 1]


def test_new_owner_counts_before_it_grants():
    """Guards against slots that an owner grants twice after another one."""

    async def main(clock):
        owner = Owner(clock, 0.5)
        granted = owner.ask().granted
        owner.report([901, 902, 903], entry="e2", number=1_000)
        await clock.sleep_ms(GATHER_MS)
        return granted, len(await owner.fill())

    assert run_virtual(main) == (False, 1)


@pytest.mark.parametrize(("bound", "at_once"), [(0.0, 1), (0.5, 1), (1.0, 4)])
def test_few_requests_at_once_where_one_rejection_ends_the_target(bound, at_once):
    """Guards against many requests at once to a target that may have no room."""

    async def main(clock):
        owner = Owner(clock, bound)
        owner.report()
        await clock.sleep_ms(GATHER_MS)
        granted = []
        while owner.ask(granted).granted:
            granted.append(owner.number)
        return len(granted)

    assert run_virtual(main) == at_once


def test_nothing_for_a_second_after_a_rejection():
    """Guards against further rejections in the second that counts."""

    async def main(clock):
        owner = Owner(clock, 3.0)
        owner.report()
        await clock.sleep_ms(GATHER_MS)
        owner.ask()
        held = [owner.number]
        await clock.sleep_ms(SETTLED_MS)
        owner.report(held, rejected=True)
        denied = owner.ask(held)
        await clock.sleep_ms(REJECTION_PAUSE_MS)
        owner.report()
        return denied.granted, denied.wait_ms, len(await owner.fill())

    granted, wait_ms, room = run_virtual(main)
    assert not granted
    assert wait_ms >= REJECTION_PAUSE_MS
    assert room < 4


def test_denied_requests_of_an_entry_do_not_move_its_return():
    """Guards against targets that are idle because many requests were denied.

    All requests of an entry wait for the return that it was told last. Each of those
    that were denied moved it by an interval: 40 of them by half a second.
    """

    async def main(clock):
        owner = Owner(clock, 2.0, slots=8)
        owner.report()
        await clock.sleep_ms(GATHER_MS)
        held = await owner.fill("e1")
        entries = [f"e{number}" for number in range(1, 4)]
        waits = [
            [owner.ask(held if entry == "e1" else (), entry).wait_ms for _ in range(40)]
            for entry in entries
        ]
        return len(held), waits

    held, waits = run_virtual(main)
    assert held == 8
    # One return for each entry, one after the other.
    assert [len(set(each)) for each in waits] == [1, 1, 1]
    (first,), (second,), (third,) = map(set, waits)
    assert first < second < third <= 4 * first


def test_entry_returns_while_others_are_denied_again_and_again():
    """Guards against an entry whose return is put off by the requests of others."""

    async def main(clock):
        owner = Owner(clock, 2.0, slots=1)
        owner.report()
        await clock.sleep_ms(GATHER_MS)
        (running,) = await owner.fill("e1")
        due_ms = dict.fromkeys(("e2", "e3", "e4"), 0)
        returns = dict.fromkeys(due_ms, 0)
        end_ms = clock.now_ms() + 4_000
        while clock.now_ms() < end_ms:
            owner.report((running,), entry="e1")
            for entry, ms in due_ms.items():
                if ms <= clock.now_ms():
                    returns[entry] += 1
                    waits = [owner.ask(entry=entry).wait_ms for _ in range(20)]
                    due_ms[entry] = clock.now_ms() + waits[-1]
            await clock.sleep_ms(5)
        return list(returns.values())

    returns = run_virtual(main)
    assert min(returns) >= 15
    assert max(returns) <= 2 * min(returns)


def test_entry_does_not_return_within_the_pause_after_a_rejection():
    """Guards against a return before the pause that is kept for after it."""

    async def main(clock):
        owner = Owner(clock, 3.0)
        owner.report()
        await clock.sleep_ms(GATHER_MS)
        held = await owner.fill()
        before = owner.ask(held)
        owner.report(held, rejected=True)
        return before.wait_ms, owner.ask(held).wait_ms

    before_ms, after_ms = run_virtual(main)
    assert before_ms < REJECTION_PAUSE_MS <= after_ms


def test_requests_of_an_entry_that_is_gone_are_forgotten():
    """Guards against slots that a crashed entry occupies for ever."""

    async def main(clock):
        owner = Owner(clock, 5.0)
        owner.report()
        await clock.sleep_ms(GATHER_MS)
        await owner.fill("e1")
        before = owner.ask(entry="e2").granted
        await clock.sleep_ms(STATEMENT_LIFETIME_MS + 1)
        return before, owner.ask(entry="e2").granted

    assert run_virtual(main) == (False, True)


def test_late_statement_brings_no_request_back():
    """Guards against slots that are occupied by requests that have ended."""

    async def main(clock):
        owner = Owner(clock, 5.0)
        owner.report()
        await clock.sleep_ms(GATHER_MS)
        held = await owner.fill()
        owner.report([], number=1_000)
        owner.report(held, number=900)
        owner.number = 2_000
        return len(await owner.fill())

    assert run_virtual(main) == 4


def test_grant_whose_reply_is_on_its_way_is_counted():
    """Guards against a message that overtakes the reply to a grant."""

    async def main(clock):
        owner = Owner(clock, 5.0, slots=1)
        owner.report()
        await clock.sleep_ms(GATHER_MS)
        first = owner.ask()
        second = owner.ask(asked=(owner.number,))
        return first.granted, second.granted

    assert run_virtual(main) == (True, False)


def test_stand_in_grants_little():
    """Guards against entries beside the owner that fill a target a second time."""

    async def main(clock):
        owner = Owner(clock, 3.0, share=0.5 / 3)
        early = owner.ask().granted
        for _ in range(6):
            await clock.sleep_ms(600)
            owner.report()
        return early, len(await owner.fill())

    assert run_virtual(main) == (False, 1)


def test_new_incarnation_is_counted_anew():
    """Guards against the requests of an incarnation that has ended."""

    async def main(clock):
        owner = Owner(clock, 5.0)
        owner.report()
        await clock.sleep_ms(GATHER_MS)
        await owner.fill()
        return owner.ask(incarnation=4).granted

    assert run_virtual(main)


def test_engine_without_a_free_slot_is_not_chosen():
    """Guards against prompts that are placed on a brittle engine that has no room."""

    async def main(clock):
        limits = TargetLimits(clock)
        limits.record_brittleness(ROW, 5.0, clock.now_ms())
        granter = SendGranter(clock, limits, seed=1)
        waits = [granter.wait_ms(ROW)]
        (limit,) = limits.rows([ROW.name])
        message = RequestGrant(limit, "s", 5, "e1", 1, incarnation=ROW.incarnation)
        waits.append(granter.handle(message).granted)
        waits.append(granter.wait_ms(ROW) > 0)
        waits.append(granter.wait_ms(attrs.evolve(ROW, incarnation=4)))
        return waits

    assert run_virtual(main) == [0, True, True, 0]


@pytest.mark.parametrize("bound", [None, HARMLESS_REJECTIONS_PER_S])
def test_report_uses_up_no_request_of_a_limit(bound):
    """Guards against a limited target that gets less because of reports.

    The owner no longer takes the target for brittle, or any number of rejections is
    harmless; the target then has no bound on the requests in progress, either.
    """

    async def main(clock):
        limits = TargetLimits(clock)
        limits.record_answer(ROW, 1.0, clock.now_ms())
        limits.record_brittleness(ROW, bound, clock.now_ms())
        granter = SendGranter(clock, limits, seed=1)
        (limit,) = limits.rows([ROW.name])
        ask = RequestGrant(limit, "s", 5, "e1", 1, (7, 8, 9), incarnation=3)
        granter.handle(ask)
        await clock.sleep_ms(1_000)
        granter.handle(attrs.evolve(ask, number=2, is_report=True))
        return granter.handle(attrs.evolve(ask, number=3)).granted

    assert run_virtual(main)


# The entry


def test_request_needs_a_grant_while_the_target_is_brittle():
    """Guards against requests that were permitted before the target became brittle."""

    async def main(clock):
        harness = Harness(clock)
        notices, address = harness.notices, harness.row.address
        permit = await notices.request_permit(address, 5)
        notices.check(address, permit)
        harness.limits.record_brittleness(harness.row, 0.5, clock.now_ms())
        with pytest.raises(TargetPaused):
            notices.check(address, permit)
        with pytest.raises(TargetPaused):
            notices.check(address, None)
        free = await notices.request_permit(address, 9, takes_slot=False)
        notices.check(address, free)

    run_virtual(main)


def test_request_that_was_cut_off_keeps_its_slot_for_a_while():
    """Guards against a request that the target still runs after it was given up."""

    async def main(clock):
        harness = Harness(clock)
        grants = harness.notices.grants
        harness.limits.record_brittleness(harness.row, 5.0, clock.now_ms())
        task = await curio.spawn(grants.run, daemon=True)
        permit = await harness.notices.request_permit(harness.row.address, 5)
        await harness.notices.record_end(permit, completed=False)
        await clock.sleep_ms(LINGER_MS // 2)
        target = grants.granter.slots.targets_by_name[harness.row.name]
        during = target.count(clock.now_ms())
        await clock.sleep_ms(LINGER_MS)
        await task.cancel()
        return during, target.count(clock.now_ms())

    assert run_virtual(main) == (1, 0)


def test_request_that_ends_with_the_brittleness_is_forgotten():
    """Guards against a slot that counts as taken when a target is brittle again."""

    async def main(clock):
        harness = Harness(clock)
        grants = harness.notices.grants
        harness.limits.record_brittleness(harness.row, 5.0, clock.now_ms())
        permit = await harness.notices.request_permit(harness.row.address, 5)
        await harness.notices.record_end(permit, completed=True)
        await clock.sleep_ms(10)
        harness.limits.record_brittleness(harness.row, None, clock.now_ms())
        task = await curio.spawn(grants.run, daemon=True)
        await clock.sleep_ms(1_000)
        await task.cancel()
        return grants.held_by_target

    assert run_virtual(main) == {}


class Recorder(TargetObserver):
    """Records which requests take a slot, and how they end."""

    def __init__(self):
        self.takes_slot = []
        self.completed = []

    async def request_permit(self, address, urgency, takes_slot, requests):
        self.takes_slot.append(takes_slot)

    def check(self, address, permit):
        pass

    async def record_end(self, permit, completed):
        self.completed.append(completed)

    async def record_answer(self, address, stream, sent_ms):
        pass


@pytest.mark.network
def test_release_of_results_takes_no_slot():
    """Guards against results that are kept because their target is brittle."""

    async def client(address, fleet):
        observer = Recorder()
        http = HttpClient(SystemClock(), observer)
        await PlatformStageClient(http).free(fleet.rows[0].address, ["h"])
        await http.request(fleet.rows[0].address, "GET", "/", timeout_ms=500)
        return observer.takes_slot, observer.completed

    found = run_relay(RouteKind.IDEMPOTENT, [[GOOD, GOOD]], client)
    assert found == ([False, True], [True, True])


@pytest.mark.network
def test_requests_go_elsewhere_after_a_rejection_of_a_brittle_target():
    """Guards against a target that is sent requests until it falls over."""
    brittle = ("Server-Brittle", "3")
    first = answer(200, b"x", SIGNATURE, brittle)
    full = answer(503, b"", NOT_RUN, brittle)

    async def client(address, fleet):
        statuses = [(await send(address)).status for _ in range(30)]
        return statuses, [number for number, _ in fleet.seen]

    engines = [[first, full], [GOOD]]
    statuses, seen = run_relay(RouteKind.IDEMPOTENT, engines, client)
    assert set(statuses) == {200}
    assert seen.count(0) <= 3
