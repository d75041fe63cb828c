"""Tests of targets that limit the requests that all VMs together send to them."""

import attrs
import curio
import pytest

from tests.test_notices import Harness
from tests.test_relay_front import GOOD, SIGNATURE, answer, run_relay, send
from wagtailrun.adapters.http_client import HttpClient, TargetObserver
from wagtailrun.clock import SystemClock
from wagtailrun.discovery.messages import AgedLimit, TargetLimit
from wagtailrun.discovery.target_limits import MAX_LIMITS, TargetLimits
from wagtailrun.exceptions import TargetPaused
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.relay.core.placement_messages import RequestGrant
from wagtailrun.relay.limits.notices import PERMIT_LIFETIME_MS
from wagtailrun.relay.limits.send_grants import (
    MAX_RETURN_MS,
    TYPICAL_RETURN_MS,
    SendGranter,
)
from wagtailrun.routes import RouteKind
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

LIMIT_WINDOW_S = 4


def allowed(per_second):
    """Return how many requests the users' rule allows in a window."""
    return 1.5 * per_second * LIMIT_WINDOW_S + 5


@pytest.mark.network
def test_target_gets_no_more_requests_than_its_limit():
    """Guards against a limit that is named in the answers and that nothing reads.

    Load: 15 requests a second; one of two targets takes one a second.
    """
    limited = answer(200, b"x", SIGNATURE, ("Server-Limit", "1"))

    async def client(address, fleet):
        statuses = []
        for _ in range(60):
            statuses.append((await send(address)).status)
            await curio.sleep(LIMIT_WINDOW_S / 60)
        return statuses, [number for number, _ in fleet.seen]

    statuses, seen = run_relay(RouteKind.IDEMPOTENT, [[limited], [GOOD]], client)
    assert set(statuses) == {200}
    assert 1 < seen.count(0) <= allowed(1)


@pytest.mark.network
def test_request_is_refused_at_once_where_all_targets_are_limited():
    """Guards against requests that wait for a limit until they are too late."""
    limited = answer(200, b"x", SIGNATURE, ("Server-Limit", "0.25"))

    async def client(address, fleet):
        started_s = await curio.clock()
        replies = [await send(address) for _ in range(6)]
        return replies, await curio.clock() - started_s, len(fleet.seen)

    replies, took_s, seen = run_relay(RouteKind.IDEMPOTENT, [[limited]], client)
    assert [reply.status for reply in replies] == [200] + [503] * 5
    waits = [float(reply.headers["retry-after"]) for reply in replies[1:]]
    assert all(1 < wait <= 8 for wait in waits)
    assert seen == 1
    assert took_s < 1


@pytest.mark.network
@pytest.mark.parametrize(
    "values", [["-1"], ["nan"], ["inf"], ["1,5"], [""], ["1", "1"], ["0x1"]]
)
def test_unreadable_limit_changes_nothing(values, monkeypatch):
    """Guards against a target that gets nothing, or all, because of a bad value."""
    logged = []
    monkeypatch.setattr(events, "log", lambda event, **fields: logged.append(event))
    headers = [("Server-Limit", value) for value in values]
    limited = answer(200, b"x", SIGNATURE, *headers)

    async def client(address, fleet):
        for _ in range(20):
            assert (await send(address)).status == 200
        return len(fleet.seen)

    assert run_relay(RouteKind.IDEMPOTENT, [[limited]], client) == 20
    assert logged.count(events.TARGET_LIMIT_MALFORMED) == 20


@pytest.mark.network
def test_unreadable_limit_ends_none():
    """Guards against a limit that a malformed value lifts."""
    first = answer(200, b"x", SIGNATURE, ("Server-Limit", "0.25"))
    later = answer(200, b"x", SIGNATURE, ("Server-Limit", "nan"))

    async def client(address, fleet):
        statuses = [(await send(address)).status for _ in range(3)]
        await curio.sleep(4.2)
        return statuses + [(await send(address)).status for _ in range(3)]

    statuses = run_relay(RouteKind.IDEMPOTENT, [[first, later]], client)
    assert statuses == [200, 503, 503, 200, 503, 503]


@pytest.mark.network
def test_huge_limit_costs_nothing():
    """Guards against requests that wait although the target takes all."""
    limited = answer(200, b"x", SIGNATURE, ("Server-Limit", "1e9"))

    async def client(address, fleet):
        await send(address)
        await curio.sleep(0.1)
        return [(await send(address)).status for _ in range(50)]

    assert run_relay(RouteKind.IDEMPOTENT, [[limited]], client) == [200] * 50


ROW = TargetRow("t1", Address("10.0.0.1", 80), "s", "a", 4, incarnation=3)


def limits_after(*steps):
    """Return the limit after answers, each with its limit, sending and arrival."""

    async def main(clock):
        limits = TargetLimits(clock)
        for row, per_second, sent_ms, arrived_ms in steps:
            await clock.sleep_ms(arrived_ms - clock.now_ms())
            limits.record_answer(row, per_second, sent_ms)
        return limits.limit_per_s(steps[-1][0])

    return run_virtual(main)


def test_answer_to_an_earlier_request_ends_no_limit():
    """Guards against answers that overtake each other."""
    assert limits_after((ROW, 2.0, 90, 100), (ROW, None, 80, 110)) == 2.0
    assert limits_after((ROW, 2.0, 90, 100), (ROW, None, 101, 120)) is None


def test_newest_of_two_limits_counts():
    """Guards against a limit that is never raised, or never lowered."""
    assert limits_after((ROW, 2.0, 0, 100), (ROW, 1.0, 0, 110)) == 1.0
    assert limits_after((ROW, 1.0, 0, 100), (ROW, 2.0, 0, 110)) == 2.0


def test_new_incarnation_is_not_limited():
    """Guards against a target that is spared because of one before it."""
    after = attrs.evolve(ROW, incarnation=4)
    assert limits_after((ROW, 2.0, 0, 100), (after, None, 105, 110)) is None
    # An answer of the earlier one arrives late.
    steps = (after, None, 105, 110), (ROW, 1.0, 0, 120), (after, None, 130, 140)
    assert limits_after(*steps) is None


def merged(first, second):
    """Return the limit after an observation here and one of another process.

    Each is a limit and the time of its observation.
    """

    async def main(clock):
        limits = TargetLimits(clock)
        await clock.sleep_ms(10_000)
        for per_second, at_ms in (first, second):
            is_limited = per_second is not None
            limit = TargetLimit(ROW.name, 3, is_limited, per_second or 0.0)
            limits.merge([AgedLimit(limit, clock.now_ms() - at_ms)])
        reported = [limits.rows([name]) for name in limits.log.changed_since(0)]
        return limits.limit_per_s(ROW), len(reported), limits.local_log.number

    return run_virtual(main)


def test_processes_agree_on_observations_of_the_same_time():
    """Guards against processes that keep different limits of a target."""
    for first, second in ((1.0, 2.0), (None, 2.0)):
        stricter = min(value for value in (first, second) if value is not None)
        one = merged((first, 9_000), (second, 9_100))
        other = merged((second, 9_100), (first, 9_000))
        assert one[0] == other[0] == stricter


def test_outdated_observation_of_another_process_is_corrected():
    """Guards against an end of a limit that hides that it was named again."""
    limit, _, corrections = merged((2.0, 9_000), (None, 5_000))
    assert limit == 2.0
    assert corrections == 1
    assert merged((2.0, 5_000), (None, 9_000))[0] is None


def test_slowly_changing_limit_is_not_reported_each_time():
    """Guards against reports of every answer of a target that names new values."""

    async def main(clock):
        limits = TargetLimits(clock)
        for number in range(100):
            await clock.sleep_ms(10)
            limits.record_answer(ROW, 10.0 + number % 2 * 0.5, clock.now_ms())
        return limits.local_log.number, limits.limit_per_s(ROW)

    assert run_virtual(main) == (1, 10.5)


def test_table_is_bounded():
    """Guards against a table that grows with every target there ever was."""

    async def main(clock):
        limits = TargetLimits(clock)
        for number in range(MAX_LIMITS + 10):
            await clock.sleep_ms(1)
            row = attrs.evolve(ROW, name=f"t{number}")
            limits.record_answer(row, 1.0, clock.now_ms())
        last = attrs.evolve(ROW, name=f"t{MAX_LIMITS + 9}")
        return len(limits.observations_by_name), limits.limit_per_s(last)

    assert run_virtual(main) == (MAX_LIMITS, 1.0)


class Grants:
    """Grants of one owner for one target, in virtual time."""

    def __init__(self, clock, per_second, share=1.0):
        self.clock = clock
        self.limits = TargetLimits(clock)
        self.limits.record_answer(ROW, per_second, clock.now_ms())
        self.granter = SendGranter(clock, self.limits, lambda service: share, 1)

    def request(self, urgency=5):
        (limit,) = self.limits.rows([ROW.name])
        return self.granter.handle(RequestGrant(limit, "s", urgency))

    async def most_in_a_window(self, duration_ms):
        """Return the most grants in a window for a request every 20 ms."""
        times = []
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            if self.request().granted:
                times.append(self.clock.now_ms())
            await self.clock.sleep_ms(20)
        window_ms = LIMIT_WINDOW_S * 1_000
        return max(sum(e - window_ms < ms <= e for ms in times) for e in times)


@pytest.mark.parametrize("per_second", [0.0, 0.25, 1.0, 7.5, 40.0])
def test_grants_keep_the_limit(per_second):
    """Guards against a burst on top of the limit."""

    async def main(clock):
        grants = Grants(clock, per_second)
        await clock.sleep_ms(60_000)
        return await grants.most_in_a_window(20_000)

    # Room is left for requests that are held up on their way to the target.
    most = run_virtual(main)
    assert 1 <= most <= allowed(per_second) - 0.25 * 4 * per_second - 2


def test_more_urgent_requests_come_first():
    """Guards against urgent requests that wait behind less urgent ones."""

    async def main(clock):
        grants = Grants(clock, 1.0)
        served = {0: 0, 5: 0}
        returns = {0: [clock.now_ms()] * 3, 5: [clock.now_ms()] * 3}
        while clock.now_ms() < 60_000:
            for urgency in (5, 0):
                for index, due_ms in enumerate(returns[urgency]):
                    if due_ms <= clock.now_ms():
                        grant = grants.request(urgency)
                        served[urgency] += grant.granted
                        wait_ms = 1 if grant.granted else grant.wait_ms
                        returns[urgency][index] = clock.now_ms() + wait_ms
            await clock.sleep_ms(5)
        return served

    served = run_virtual(main)
    assert served[0] >= 50
    assert served[5] <= 5


def test_denied_requests_return_one_after_another():
    """Guards against a rush when a limited target may get a request again."""

    async def main(clock):
        grants = Grants(clock, 1.0)
        return [grants.request().wait_ms for _ in range(50)]

    waits = run_virtual(main)
    assert waits[:3] == [1_001, 2_001, 3_001]
    assert all(1_000 < wait <= TYPICAL_RETURN_MS for wait in waits)
    assert len({wait // 100 for wait in waits}) >= 15


def test_permit_that_took_too_long_is_not_used():
    """Guards against permits of different times that are used together."""

    async def main(clock):
        harness = Harness(clock)
        harness.limits.record_answer(harness.row, 1.0, clock.now_ms())
        await clock.sleep_ms(1_100)
        address = harness.row.address
        with pytest.raises(TargetPaused):
            await harness.notices.request_permit(address, 5)
        await clock.sleep_ms(1_100)
        permit = await harness.notices.request_permit(address, 5)
        harness.notices.check(address, permit)
        await clock.sleep_ms(PERMIT_LIFETIME_MS + 1)
        with pytest.raises(TargetPaused):
            harness.notices.check(address, permit)
        with pytest.raises(TargetPaused):
            harness.notices.check(address, None)

    run_virtual(main)


def test_denial_ends_with_the_limit_or_the_target():
    """Guards against a target that is unused because of a limit that has ended."""

    async def main(clock):
        harness = Harness(clock)
        limits, address = harness.limits, harness.row.address
        denied = []
        for after in (
            lambda: limits.record_answer(harness.row, None, clock.now_ms()),
            lambda: setattr(harness, "row", attrs.evolve(ROW, incarnation=9)),
        ):
            await clock.sleep_ms(10)
            limits.record_answer(harness.row, 0.25, clock.now_ms())
            with pytest.raises(TargetPaused):
                await harness.notices.request_permit(address, 5)
            await clock.sleep_ms(10)
            denied.append(harness.notices.paused_ms(address, 5) > 0)
            after()
            denied.append(harness.notices.paused_ms(address, 5) > 0)
        return denied

    assert run_virtual(main) == [True, False] * 2


def test_denied_request_does_not_wait_for_a_long_interval():
    """Guards against a target that is unused after the owner of its service was lost.

    Pattern: an entry that grants a small share of a small limit.
    """

    async def main(clock):
        grants = Grants(clock, 0.0, share=0.1)
        return [grants.request().wait_ms for _ in range(5)]

    assert all(0 < wait <= MAX_RETURN_MS for wait in run_virtual(main))


class OnePermit(TargetObserver):
    """Permits one request, then none."""

    def __init__(self):
        self.permits = 1

    async def request_permit(self, address, urgency, takes_slot, requests):
        if not self.permits:
            raise TargetPaused("no permit", 1_000)
        self.permits -= 1

    def check(self, address, permit):
        pass

    async def record_end(self, permit, completed):
        pass

    async def record_answer(self, address, stream, sent_ms):
        pass


@pytest.mark.network
def test_request_that_is_denied_does_not_count_as_sent():
    """Guards against results of stages that are released for a request not sent.

    The target would not find them when the request reaches it later.
    """

    async def client(address, fleet):
        sent = []

        async def on_sent():
            sent.append(len(fleet.seen))

        target = fleet.rows[0].address
        http = HttpClient(SystemClock(), OnePermit())
        headers = (("Attempt-Id", "abc"),)
        for _ in range(2):
            try:
                async with http.open(
                    target, "GET", "/", headers, timeout_ms=1_000, on_sent=on_sent
                ) as stream:
                    await stream.read_all(1_000)
            except TargetPaused:
                sent.append("denied")
        return sent, len(fleet.seen)

    sent, seen = run_relay(RouteKind.IDEMPOTENT, [[GOOD]], client)
    assert sent == [0, "denied"]
    assert seen == 1
