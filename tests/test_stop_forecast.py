"""Tests of the forecast which requests end before a process that stops does."""

import types

import pytest

from tests.test_relay_admission import job
from wagtailrun.exceptions import Verdict
from wagtailrun.relay.placement.answer_times import MIN_ANSWERS
from wagtailrun.relay.stopping.running_jobs import RunningJobs
from wagtailrun.relay.stopping.stop_forecast import StopForecast
from wagtailrun.routes import Route, RouteKind
from wagtailrun.stopping.plan import StopPlan
from wagtailrun.virtual_time import VirtualClock

ANSWER_MS = 2_000
ENDS_MS = 5_000
REQUEST = types.SimpleNamespace(answer_tokens=0)
DIGEST = "d"


def route(kind=RouteKind.STREAM, *, resumable=False):
    return Route("r", "h", "/a/", kind, (), 15_000, resumable=resumable)


def forecast_of(*, at_ms=0, stops=True, **options):
    """Return the forecast and a request, at a time of a stop."""
    clock = VirtualClock()
    running = RunningJobs(clock)
    for _ in range(MIN_ANSWERS):
        running.answer_times.add("r", "s", 0, ANSWER_MS)
    forecast = StopForecast(clock, running)
    if stops:
        forecast.stop = StopPlan(2_800, ENDS_MS)
    values = {
        "digest": DIGEST,
        "request": REQUEST,
        "route": route(),
        "planned_ms": 0,
        "work": None,
    }
    request = job(clock, **{**values, **options})
    clock.seconds += at_ms / 1_000
    return forecast, request


@pytest.mark.parametrize(
    ("options", "latest_ms"),
    [
        ({"planned_ms": 400}, ENDS_MS - ANSWER_MS - 400),
        ({"planned_ms": 400, "placed_ms": 700}, ENDS_MS - ANSWER_MS - 700),
        # Its stages are not complete, and take until 2,500 ms.
        ({"planned_ms": 600, "expected_ms": 2_500, "work": "w"}, 2_400),
        ({"planned_ms": 600, "expected_ms": 3_100, "work": "w"}, -1),
        # An answer that is no stream has to end before the last refusals.
        ({"route": route(RouteKind.ORDER)}, ENDS_MS - 200 - ANSWER_MS),
    ],
)
def test_request_is_sent_only_while_it_can_end(options, latest_ms):
    """Guards against requests whose stages, wait or answer outlast the process."""
    for at_ms in {latest_ms, latest_ms + 1} - {-1}:
        forecast, request = forecast_of(at_ms=at_ms, **options)
        refusal = forecast.refusal(request)
        assert (refusal is None) == (at_ms <= latest_ms)
        assert refusal is None or refusal.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize(
    ("options", "latest_ms"),
    [
        ({"placed_ms": 700}, ENDS_MS - 200 - ANSWER_MS),
        ({"planned_ms": 700}, ENDS_MS - 200 - ANSWER_MS),
        # Its stages are expected to take 500 ms.
        (
            {"planned_ms": 700, "expected_ms": 1_200, "work": "w"},
            ENDS_MS - 200 - ANSWER_MS,
        ),
        ({"planned_ms": 700, "expected_ms": 3_600, "work": "w"}, -1),
    ],
)
def test_wait_at_the_target_is_part_of_an_answer_that_is_no_stream(options, latest_ms):
    """Guards against refusals of requests whose wait for the target counts twice.

    The learned time of such an answer begins when the request is sent.
    """
    for at_ms in {latest_ms, latest_ms + 1} - {-1}:
        forecast, request = forecast_of(
            at_ms=max(at_ms, 0), route=route(RouteKind.IDEMPOTENT), **options
        )
        assert (forecast.refusal(request) is None) == (at_ms <= latest_ms)


def test_answer_that_waited_at_its_target_is_expected_to_take_as_long_again():
    """Guards against a stop that ends requests that are half a second from their end.

    The target's share of the time was added to a time that included it.
    """
    forecast, request = forecast_of(
        at_ms=ENDS_MS - 200 - 100,
        route=route(RouteKind.IDEMPOTENT),
        placed_ms=700,
        runs=1,
        sent_ms=ENDS_MS - 200 - ANSWER_MS,
    )
    assert not forecast.is_hopeless(request)


@pytest.mark.parametrize(
    "options", [{"stops": False}, {"streaming": True, "runs": 1, "sent_ms": 10}]
)
def test_nothing_is_refused_without_a_stop_or_after_a_head(options):
    """Guards against refusals in normal operation, and of answers in progress."""
    forecast, request = forecast_of(at_ms=ENDS_MS + 1, **options)
    assert forecast.refusal(request) is None
    assert not forecast.is_hopeless(request)


@pytest.mark.parametrize(
    ("resumable", "runs", "hopeless"),
    [(True, 1, True), (False, 1, False), (False, 0, True), (True, 0, True)],
)
def test_sent_request_that_must_not_run_twice_is_waited_for(resumable, runs, hopeless):
    """Guards against an end of requests that their callers could not send again."""
    forecast, request = forecast_of(
        at_ms=ENDS_MS - ANSWER_MS + 1,
        route=route(resumable=resumable),
        runs=runs,
        sent_ms=10 if runs else None,
    )
    assert forecast.is_hopeless(request) is hopeless


def test_request_that_was_ended_is_not_sent_afterwards():
    """Guards against a request that is refused as not run, but sent meanwhile.

    A task that is ended may have a turn before, in which a connection is there.
    """
    forecast, request = forecast_of(ended_by_stop=True)
    assert forecast.refusal(request).verdict is Verdict.NOT_RUN


def test_request_that_comes_back_is_refused_only_if_it_is_likely_to_be_cut():
    """Guards against requests that a stopping entry refuses until they are lost.

    The load balancer had no other entry for the caller's second and last try.
    """
    clock = VirtualClock()
    running = RunningJobs(clock)
    for number in range(10):
        running.answer_times.add("r", "s", 0, ANSWER_MS + 100 * number)
    forecast = StopForecast(clock, running)
    forecast.stop = StopPlan(2_800, ENDS_MS)
    refused = []
    for at_ms in (2_450, 2_460, 2_610):
        clock.seconds = at_ms / 1_000
        again = job(
            clock,
            digest=DIGEST,
            request=REQUEST,
            route=route(),
            planned_ms=0,
            work=None,
        )
        forecast.recognise(again)
        refused.append(forecast.refusal(again) is not None)
    # 2,600 ms cover most answers, 2,400 ms half of them.
    assert refused == [True, False, True]


@pytest.mark.parametrize(("last_event_id", "expected_ms"), [(None, 300), (5, 0)])
def test_rest_of_a_stream_does_not_count_as_a_whole_one(last_event_id, expected_ms):
    """Guards against estimates that are too short for streams from their beginning."""
    clock = VirtualClock()
    running = RunningJobs(clock)
    values = {"answer_tokens": 0, "last_event_id": last_event_id}
    request = types.SimpleNamespace(**values)
    for _ in range(MIN_ANSWERS):
        ended = job(clock, request=request, route=route(resumable=True))
        ended.streaming, ended.first_ms = True, clock.now_ms() + 1
        clock.seconds += 0.301
        running.end(ended, "answered", 200)
    assert running.answer_ms(ended, 0.5) == expected_ms
