"""Tests of admission control; each names the load pattern that it guards against."""

import pytest

from wagtailrun.exceptions import RefusalReason, Verdict
from wagtailrun.relay.core.job import RelayJob
from wagtailrun.relay.requests.admission import (
    MAX_MARGIN_SHARE,
    MIN_OVERLOAD_RETRY_MS,
    AdmissionController,
)
from wagtailrun.routes import Route, RouteKind
from wagtailrun.stages import StagedWork
from wagtailrun.virtual_time import VirtualClock

OBJECTIVE_MS = 2_000
MIN_STAGES_MS = 700
ENGINE_MS = 300


class FakeRunner:
    """Stages with a constant duration while nothing is queued."""

    def min_duration_ms(self, work):
        return MIN_STAGES_MS


def job(clock, **options):
    now_ms = clock.now_ms()
    route = Route("r", "h", "/a/", RouteKind.STREAM, (), 8_000)
    values = {
        "request": None,
        "http_request": None,
        "route": route,
        "service": "s",
        "workspace": "",
        "urgency": 0,
        "revision": 1,
        "confirmation_age_ms": 0,
        "arrived_ms": now_ms,
        "objective_at_ms": now_ms + OBJECTIVE_MS,
        "deadline_at_ms": now_ms + 8_000,
        "planned_ms": ENGINE_MS,
        "work": StagedWork("r", (), (), "k", 0, 0, 0),
    }
    return RelayJob(**{**values, **options})


def check_job(stages_ms, **options):
    clock = VirtualClock()
    admission = AdmissionController(clock, FakeRunner(), seed=1)
    request = job(clock, **options)
    return admission.check(request, request.work, stages_ms)


@pytest.mark.parametrize(
    ("stages_ms", "margin_ms", "admitted"),
    [(1_600, 0, True), (1_600, 200, False), (1_800, 0, False), (900, 400, True)],
)
def test_request_is_admitted_if_it_meets_the_objective(stages_ms, margin_ms, admitted):
    """Load: a burst that fills all stages.

    Guards against late answers of requests that queue for as long as the estimate
    without its margin allows.
    """
    assert (check_job(stages_ms, margin_ms=margin_ms) is None) == admitted


def test_margin_leaves_room_for_a_queue():
    """Load: a burst after engines failed.

    Guards against refusing all requests of a route, while targets are idle, because
    earlier estimates were wrong.
    """
    stages_ms = OBJECTIVE_MS - ENGINE_MS - int(MAX_MARGIN_SHARE * OBJECTIVE_MS)
    assert check_job(stages_ms, margin_ms=3_000) is None


def test_late_request_is_admitted_while_nothing_is_queued():
    """Guards against refusals while targets are idle."""
    assert check_job(MIN_STAGES_MS, objective_at_ms=100) is None


@pytest.mark.parametrize("stages_ms", [None, 1_900, 9_000])
def test_refusal_has_verdict_and_retry_delay(stages_ms):
    """Guards against callers that retry at once or assume that the request ran."""
    refusal = check_job(stages_ms)
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms >= MIN_OVERLOAD_RETRY_MS
