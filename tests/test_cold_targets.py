"""Tests of what is known of cold targets, and of the grants for them."""

import json

import attrs
import curio
import pytest
from wagtail_platform.control_calls import ControlHandler
from wagtail_platform.documents import read_document
from wagtail_platform.requests import PlatformWire, parse_notice
from wagtail_platform.stage_calls import PlatformStageClient

from tests.test_brittle_targets import Head
from tests.test_discovery import run
from tests.test_notices import ROW as NOTICE_ROW
from tests.test_notices import Harness
from tests.test_platform import DOCUMENT, REPORT, FakeStore, document
from tests.test_target_limits import OnePermit
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import Request
from wagtailrun.codec import decode, encode
from wagtailrun.discovery.cold_beliefs import (
    MAX_COLD_MS,
    RAMP_MS,
    START_COLD_MS,
    ColdSource,
    bounded_cold_ms,
)
from wagtailrun.discovery.hub import Hub
from wagtailrun.discovery.messages import AgedLimit, ReportLimits, TargetLimit
from wagtailrun.discovery.target_limits import MAX_LIMITS, TargetLimits
from wagtailrun.exceptions import FleetTextError, TargetPaused
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.relay.core.placement_messages import RequestGrant
from wagtailrun.relay.core.port import MalformedBound, TargetNotice
from wagtailrun.relay.limits.cold_grants import STAND_IN_SHARE, ColdRoles
from wagtailrun.relay.limits.notices import COLD_PERMIT_LIFETIME_MS
from wagtailrun.relay.limits.send_grants import SendGranter
from wagtailrun.routes import (
    RequestLimits,
    RoutedService,
    build_route_table,
    cold_per_s,
)
from wagtailrun.stages import StageItem
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

COLD_PER_S = 4.0
ROW = TargetRow("t1", Address("10.0.0.1", 80), "s", "a", 4, incarnation=3)
MALFORMED = ["-1", "NaN", '"5"', "true", "[]", "{}", "-" + "9" * 5_000, "-Infinity"]
HUGE = ["1" + "0" * 30, "1e30", "1e999", "9" * 5_000, "Infinity"]


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(events, "log", lambda event, **fields: lines.append(event))
    return lines


class CountingHub:
    """Hub that records how long targets say that they stay cold."""

    def __init__(self):
        self.reports = []

    async def report(self, row, cold_ms=None):
        self.reports.append((row.name, cold_ms))


def put_report(value):
    """Return the status of a report with a value in JSON, and what the hub gets."""
    hub = CountingHub()
    handler = ControlHandler(FakeStore(), hub)
    body = json.dumps(REPORT)[:-1] + f', "cold_remaining_ms": {value}}}'
    request = Request("PUT", "/instances/i-1", body=body.encode())
    return curio.run(handler.handle, request).status, hub.reports


@pytest.mark.parametrize("value", MALFORMED)
def test_report_with_a_malformed_time_counts_without_it(value, logged):
    """Guards against a report that is lost, or a process that fails, by one value."""
    assert put_report(value) == (200, [("i-1", None)])
    assert logged == [events.TARGET_COLD_MALFORMED]


@pytest.mark.parametrize("value", HUGE)
def test_report_with_a_huge_time_is_bounded(value, logged):
    """Guards against a target that is spared for ever."""
    assert put_report(value) == (200, [("i-1", MAX_COLD_MS)])
    assert put_report("null") == (200, [("i-1", None)])
    assert put_report("2500.7") == (200, [("i-1", 2_500)])
    assert logged == []


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("0", 0),
        ("1500", 1_500),
        ("2.5e3", 2_500),
        ("1" + "0" * 30, MAX_COLD_MS),
        ("1e999", MAX_COLD_MS),
        *[(text, None) for text in ("-1", "nan", "inf", "", "x", "1,2", "9" * 50)],
    ],
)
def test_header_of_an_answer(value, expected, logged):
    """Guards against a value of an answer that ends the request or the process."""
    head = Head(200, ((b"Cold-Ms", value.encode()),))
    notice = parse_notice(head)
    if expected is None:
        assert notice.cold_ms == MalformedBound(value[:40])
    else:
        assert notice.cold_ms == expected
    assert PlatformWire().parse_notice(Head(200, ())).cold_ms is None
    assert parse_notice(Head(421, ((b"Cold-Ms", b"5"),))) is None

    async def main(clock):
        harness = Harness(clock)
        harness.notice = notice
        await harness.notices.record_answer(NOTICE_ROW.address, None, 0)
        return len(harness.limits.observations_by_name)

    assert run_virtual(main) == (expected is not None)
    assert logged.count(events.TARGET_COLD_MALFORMED) == (expected is None)


@pytest.mark.parametrize("left_ms", [-(2**63), 2**63 - 1])
@pytest.mark.parametrize("source", ["report", "odd"])
def test_odd_belief_of_another_process_is_bounded(left_ms, source):
    """Guards against a message that makes a target cold for ever, or fails."""

    async def main(clock):
        await clock.sleep_ms(1_000)
        limits = TargetLimits(clock, lambda service: COLD_PER_S)
        nothing = TargetLimit("t1", 3, False, 0.0)
        aged = AgedLimit(nothing, 10**15, 10**15, source, left_ms, 2**63)
        limits.merge(decode(encode(ReportLimits((aged,)))).rows)
        (row,) = limits.rows(["t1"]) if limits.newest("t1") else (None,)
        return row

    row = run_virtual(main)
    if source == "odd":
        assert row is None or not row.cold_source
    else:
        assert abs(row.cold_left_ms) == MAX_COLD_MS


def test_values_that_are_no_times():
    """Guards against other types than those of JSON numbers."""
    for value in (None, "1", True, [], float("nan"), -0.5, -(10**30)):
        assert bounded_cold_ms(value) is None
    assert bounded_cold_ms(10**400) == MAX_COLD_MS


class Beliefs:
    """Limits of one process, with the bound of cold targets."""

    def __init__(self, clock, per_s=COLD_PER_S):
        self.clock = clock
        self.limits = TargetLimits(clock, lambda service: per_s)

    def say(self, left_ms, row=ROW, source=ColdSource.REPORT, sent_ms=None):
        sent_ms = self.clock.now_ms() if sent_ms is None else sent_ms
        return self.limits.record_cold(row, left_ms, source, sent_ms)


def test_new_incarnation_is_cold_until_it_says_something_else():
    """Guards against a rush on a target that has just started."""

    async def main(clock):
        beliefs = Beliefs(clock)
        limits = beliefs.limits
        limits.note_row(ROW)
        assert limits.limit_per_s(ROW) == COLD_PER_S
        beliefs.say(60_000)
        await clock.sleep_ms(START_COLD_MS + RAMP_MS + 1_000)
        assert limits.limit_per_s(ROW) == COLD_PER_S
        beliefs.say(0)
        await clock.sleep_ms(RAMP_MS + 1_000)
        assert limits.limit_per_s(ROW) is None
        after = attrs.evolve(ROW, incarnation=4)
        limits.note_row(after)
        assert limits.limit_per_s(after) == COLD_PER_S
        # The answer of the one before arrives late.
        beliefs.say(0, ROW, ColdSource.ANSWER)
        assert limits.limit_per_s(after) == COLD_PER_S
        await clock.sleep_ms(START_COLD_MS + RAMP_MS + 1_000)
        assert limits.limit_per_s(after) is None

    run_virtual(main)


def test_target_becomes_cold_again_in_the_middle_of_its_life():
    """Guards against a belief that only a start can begin."""

    async def main(clock):
        beliefs = Beliefs(clock)
        for _ in range(20):
            beliefs.say(0)
            await clock.sleep_ms(1_200)
        warm = beliefs.limits.limit_per_s(ROW)
        changed = [beliefs.say(5_000), beliefs.say(4_990)]
        return warm, changed, beliefs.limits.limit_per_s(ROW)

    assert run_virtual(main) == (None, [True, False], COLD_PER_S)


def test_reports_of_a_state_that_lasts_are_not_shared_each_time():
    """Guards against messages for each heartbeat of each target."""

    async def main(clock):
        beliefs = Beliefs(clock)
        for second in range(30):
            beliefs.say(max(10_000 - second * 1_000, 0))
            await clock.sleep_ms(1_000)
        return beliefs.limits.local_log.number

    assert run_virtual(main) == 1


def test_answer_that_was_overtaken_ends_no_coldness():
    """Guards against a target that counts as warm by an answer from before."""

    async def main(clock):
        beliefs = Beliefs(clock)
        await clock.sleep_ms(1_000)
        beliefs.say(5_000)
        await clock.sleep_ms(10)
        beliefs.say(0, source=ColdSource.ANSWER, sent_ms=990)
        kept = beliefs.limits.limit_per_s(ROW)
        beliefs.say(0, source=ColdSource.ANSWER, sent_ms=1_005)
        await clock.sleep_ms(RAMP_MS + 1_000)
        return kept, beliefs.limits.limit_per_s(ROW)

    assert run_virtual(main) == (COLD_PER_S, None)


def test_processes_agree_on_coldness():
    """Guards against entries with different beliefs of one target."""

    async def main(clock):
        found = []
        for order in (1, -1):
            first, second, third = (Beliefs(clock) for _ in range(3))
            first.say(8_000)
            await clock.sleep_ms(2_000)
            second.say(0)
            rows = [*first.limits.rows(["t1"]), *second.limits.rows(["t1"])]
            third.limits.merge(rows[::order])
            await clock.sleep_ms(100)
            (row,) = third.limits.rows(["t1"])
            found.append((row.cold_left_ms, row.cold_age_ms, row.cold_source))
        return found

    assert run_virtual(main) == [(-100, 100, "report")] * 2


def test_bound_rises_when_the_target_is_warm():
    """Guards against a rush of all entries at the moment when the target is warm."""

    async def main(clock):
        beliefs = Beliefs(clock)
        beliefs.say(1_000)
        bounds = []
        for _ in range(10):
            bounds.append(beliefs.limits.limit_per_s(ROW))
            await clock.sleep_ms(500)
        return bounds

    bounds = run_virtual(main)
    assert bounds[:3] == [COLD_PER_S] * 3
    assert all(
        after <= 2.01 * before
        for before, after in zip(bounds[2:9], bounds[3:9], strict=False)
    )
    assert bounds[8] > 20 * COLD_PER_S
    assert bounds[9] is None


def test_named_limit_and_coldness_together():
    """Guards against the larger of two bounds."""

    async def main(clock):
        beliefs = Beliefs(clock)
        beliefs.say(5_000)
        found = []
        for limit_per_s in (1.0, 9.0):
            await clock.sleep_ms(10)
            beliefs.limits.record_answer(ROW, limit_per_s, clock.now_ms())
            found.append(beliefs.limits.limit_per_s(ROW))
        return found

    assert run_virtual(main) == [1.0, COLD_PER_S]


def test_service_without_a_bound_is_not_limited():
    """Guards against limits where operators set none."""

    async def main(clock):
        beliefs = Beliefs(clock, 0.0)
        beliefs.limits.note_row(ROW)
        beliefs.say(5_000)
        return beliefs.limits.limit_per_s(ROW), beliefs.limits.age_ms(ROW)

    assert run_virtual(main) == (None, None)


def test_table_is_bounded():
    """Guards against tables that grow with every target there ever was."""

    async def main(clock):
        beliefs = Beliefs(clock)
        for number in range(MAX_LIMITS + 10):
            row = attrs.evolve(ROW, name=f"t{number}")
            beliefs.limits.note_row(row)
            beliefs.say(5_000, row)
        limits = beliefs.limits
        sizes = [len(limits.observations_by_name), len(limits.starts_by_name)]
        await clock.sleep_ms(START_COLD_MS)
        limits.log_warm()
        limits.retain_starts({"t99"})
        return sizes, len(limits.logged_cold_by_name), len(limits.starts_by_name)

    assert run_virtual(main) == ([MAX_LIMITS] * 2, 0, 1)


def test_changes_are_logged_once(logged):
    """Guards against a state of targets that operators cannot see, and floods."""

    async def main(clock):
        beliefs = Beliefs(clock)
        beliefs.limits.note_row(ROW)
        for left_ms in (3_000, 2_000, 1_000):
            beliefs.say(left_ms)
            await clock.sleep_ms(1_000)
            beliefs.limits.log_warm()
        beliefs.say(0)

    run_virtual(main)
    assert logged == [events.TARGET_COLD_CHANGED] * 2


def test_late_report_does_not_end_coldness():
    """Guards against a delayed heartbeat that arrives after a newer one."""

    async def scenario(controls, clock):
        hub: Hub = controls.hubs[0]
        await hub.report(attrs.evolve(ROW, sequence=7), 5_000)
        await hub.report(attrs.evolve(ROW, sequence=6), 0)
        (row,) = hub.limits.rows(["t1"])
        return row.cold_left_ms

    assert run(scenario) > 4_000


class Owner:
    """Grants of one process for one cold target, in virtual time."""

    def __init__(self, clock, per_s, roles=None):
        self.clock = clock
        self.limits = TargetLimits(clock, lambda service: per_s)
        self.limits.note_row(ROW)
        self.limits.record_cold(ROW, 60_000, ColdSource.REPORT, clock.now_ms())
        arguments = {} if roles is None else {"roles": roles}
        self.granter = SendGranter(clock, self.limits, seed=1, **arguments)

    def request(self, requests=1, entry=""):
        (limit,) = self.limits.rows(["t1"])
        message = RequestGrant(limit, "s", 5, entry, incarnation=3, requests=requests)
        return self.granter.handle(message)

    async def most_in_a_second(self, duration_ms, requests=1, pause_ms=0):
        """Return the most requests in a second, and the mean."""
        times = []
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            if self.request(requests).granted:
                times += [self.clock.now_ms()] * requests
                await self.clock.sleep_ms(pause_ms)
            await self.clock.sleep_ms(5)
        most = max(sum(e - 1_000 < ms <= e for ms in times) for e in times)
        return most, len(times) * 1_000 / duration_ms


@pytest.mark.parametrize("per_s", [0.5, 4.0, 20.0, 100.0])
def test_grants_keep_the_bound_in_each_second(per_s):
    """Guards against the burst that a limit of four seconds allows."""

    async def main(clock):
        owner = Owner(clock, per_s)
        await clock.sleep_ms(5_000)
        return await owner.most_in_a_second(20_000)

    most, mean = run_virtual(main)
    # Room is left for requests on their way, and for those of stand-ins.
    assert most <= 1.05 * per_s + 2
    assert mean >= 0.8 * per_s


def test_pieces_of_a_stage_call_count_as_requests():
    """Guards against calls of stages that count as one request each."""

    async def main(clock):
        return await Owner(clock, COLD_PER_S).most_in_a_second(20_000, 4)

    most, mean = run_virtual(main)
    assert most <= 1.5 * COLD_PER_S + 5
    assert 0.7 * COLD_PER_S <= mean <= 1.1 * COLD_PER_S


def test_stage_call_that_alone_breaks_the_bound_is_not_granted():
    """Guards against a batch of pieces that crashes the target."""

    async def main(clock):
        owner = Owner(clock, 2.0)
        denied = [owner.request(9)]
        await clock.sleep_ms(5_000)
        return [*denied, owner.request(9), owner.request(4)]

    grants = run_virtual(main)
    assert [grant.granted for grant in grants] == [False, False, True]
    assert all(grant.wait_ms > 0 for grant in grants[:2])


def test_stand_ins_grant_a_small_share_together():
    """Guards against entries that each grant the bound while they are cut off."""
    entries = 50

    async def main(clock):
        roles = ColdRoles(is_owner=lambda service: False, entries=lambda: entries)
        owners = [Owner(clock, 20.0, roles) for _ in range(entries)]
        for number, each in enumerate(owners):
            each.granter.random.seed(number)
        times = []
        while clock.now_ms() < 40_000:
            for each in owners:
                if each.request().granted:
                    times.append(clock.now_ms())
            await clock.sleep_ms(10)
        most = max(sum(e - 1_000 < ms <= e for ms in times) for e in times)
        return most, len(times) / 40

    most, mean = run_virtual(main)
    assert 0.5 * STAND_IN_SHARE * 20 <= mean <= 1.1 * STAND_IN_SHARE * 20
    assert most <= 0.5 * 20 + 4


@pytest.mark.parametrize("pieces", [1, 2, 4])
def test_stand_ins_pay_for_all_pieces_of_a_call(pieces):
    """Guards against calls of several pieces that a stand-in grants for one request."""
    entries, length_s = 9, 40

    async def main(clock):
        roles = ColdRoles(is_owner=lambda service: False, entries=lambda: entries)
        owners = [Owner(clock, 20.0, roles) for _ in range(entries)]
        for number, each in enumerate(owners):
            each.granter.random.seed(number)
        times = []
        while clock.now_ms() < length_s * 1_000:
            for each in owners:
                if each.request(pieces).granted:
                    times += [clock.now_ms()] * pieces
            await clock.sleep_ms(10)
        most = max(sum(e - 1_000 < ms <= e for ms in times) for e in set(times))
        return most, len(times) / length_s

    most, mean = run_virtual(main)
    # At the end, each may owe the pieces of its last call.
    assert mean <= 1.1 * STAND_IN_SHARE * 20 + entries * (pieces - 1) / length_s
    assert most <= 20


def test_call_of_many_pieces_is_not_granted_when_a_target_is_cold_again():
    """Guards against the size of calls of the time after one cold time in the next.

    A target that is about to be warm stands many requests a second.
    """

    async def main(clock):
        owner = Owner(clock, 2.0)
        owner.limits.record_cold(ROW, 0, ColdSource.REPORT, clock.now_ms())
        await clock.sleep_ms(2_900)
        # The first request to the target since this process knows it.
        owner.request()
        owner.limits.record_cold(ROW, 60_000, ColdSource.REPORT, clock.now_ms())
        granted = []
        while clock.now_ms() < 30_000:
            granted.append(owner.request(16).granted)
            await clock.sleep_ms(50)
        return any(granted)

    assert not run_virtual(main)


def test_share_of_a_stand_in_grows_with_the_entries_that_ask_it():
    """Guards against entries that are cut off together and get next to nothing."""

    async def main(clock):
        roles = ColdRoles(is_owner=lambda service: False, entries=lambda: 10)
        owner, granted = Owner(clock, 20.0, roles), 0
        while clock.now_ms() < 20_000:
            for number in range(9):
                granted += owner.request(entry=f"e{number}").granted
            await clock.sleep_ms(10)
        return granted / 20

    assert run_virtual(main) >= 0.7 * STAND_IN_SHARE * 20


def test_permit_of_a_cold_target_is_used_at_once():
    """Guards against permits of different times that are used in one second."""

    async def main(clock):
        harness = Harness(clock)
        harness.limits.cold_per_s = lambda service: COLD_PER_S
        harness.limits.record_cold(harness.row, 60_000, ColdSource.REPORT, 0)
        address = harness.row.address
        with pytest.raises(TargetPaused) as denied:
            await harness.notices.request_permit(address, 5)
        assert 0 < denied.value.retry_after_ms < 2 * 1_000 / COLD_PER_S
        await clock.sleep_ms(1_000)
        permit = await harness.notices.request_permit(address, 5)
        harness.notices.check(address, permit)
        await clock.sleep_ms(COLD_PERMIT_LIFETIME_MS + 1)
        with pytest.raises(TargetPaused):
            harness.notices.check(address, permit)

    run_virtual(main)


def test_request_under_way_is_held_back_when_its_target_turns_cold():
    """Guards against requests that are sent with the permit of a warm target."""

    async def main(clock):
        harness = Harness(clock)
        harness.limits.cold_per_s = lambda service: COLD_PER_S
        harness.limits.record_cold(harness.row, 0, ColdSource.REPORT, 0)
        await clock.sleep_ms(RAMP_MS + 1_000)
        address = harness.row.address
        permit = await harness.notices.request_permit(address, 5)
        harness.notices.check(address, permit)
        harness.notice = TargetNotice(cold_ms=5_000)
        await harness.notices.record_answer(address, None, clock.now_ms())
        with pytest.raises(TargetPaused):
            harness.notices.check(address, permit)

    run_virtual(main)


class Denying(OnePermit):
    """Denies all requests, and records as how many each counts."""

    def __init__(self):
        self.asked = []

    async def request_permit(self, address, urgency, takes_slot, requests):
        self.asked.append(requests)
        raise TargetPaused("cold", 1_000)


def test_stage_client_names_the_pieces_of_a_call():
    """Guards against pieces that are lost between the call and its permit."""
    observer = Denying()

    async def main(clock):
        http = HttpClient(clock, observer)
        items = [StageItem("r", 0, piece, 1_000, "k") for piece in range(3)]
        with pytest.raises(TargetPaused):
            await PlatformStageClient(http).run(ROW, items, 500)
        with pytest.raises(TargetPaused):
            await http.request(ROW.address, "GET", "/", (), timeout_ms=500)

    run_virtual(main)
    assert observer.asked == [3, 1]


@pytest.mark.parametrize(
    ("fields", "expected"),
    [({}, 0.0), ({"cold_per_s": None}, 0.0), ({"cold_per_s": 2.5}, 2.5)],
)
def test_bound_of_a_document(fields, expected):
    """Guards against a bound of operators that is not read."""
    services = [*DOCUMENT["services"], {"name": "more", **fields}]
    table = read_document(document(services=services))
    assert cold_per_s(table, "more") == expected
    assert cold_per_s(table, "unknown") == cold_per_s(None, "more") == 0.0


def test_bound_that_is_no_number_is_refused():
    """Guards against a bound that no request can pass, or that fails each one."""
    for value in (-1, "5", True, [2]):
        services = [*DOCUMENT["services"], {"name": "more", "cold_per_s": value}]
        with pytest.raises(FleetTextError):
            read_document(document(services=services))
    for value in (float("nan"), float("inf"), -0.5):
        with pytest.raises(FleetTextError):
            service = RoutedService("s", cold_per_s=value)
            build_route_table(1, [], [service], [], RequestLimits(), demands_keys=True)
