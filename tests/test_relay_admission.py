"""Tests of which requests are begun; each names the load whose pattern it answers."""

import pytest

from wagtailrun.exceptions import RefusalReason, Verdict
from wagtailrun.relay.admission import MAX_MARGIN, MIN_OVERLOAD_RETRY_MS, Admission
from wagtailrun.relay.job import RelayJob
from wagtailrun.routes import Route, RouteKind
from wagtailrun.stages import StagedWork
from wagtailrun.virtual_time import VirtualClock

AIM_MS = 2_000
LEAST_MS = 700
ENGINE_MS = 300


class FakeRunner:
    """Stages that take the same time whenever nothing waits."""

    def min_duration_ms(self, work):
        return LEAST_MS


def job(clock, **options):
    now_ms = clock.now_ms()
    route = Route("r", "h", "/a/", RouteKind.STREAM, (), 8_000)
    values = {
        "request": None,
        "http": None,
        "route": route,
        "service": "s",
        "workspace": "",
        "urgency": 0,
        "revision": 1,
        "confirmation_age_ms": 0,
        "arrived_ms": now_ms,
        "aim_at_ms": now_ms + AIM_MS,
        "end_at_ms": now_ms + 8_000,
        "planned_ms": ENGINE_MS,
        "work": StagedWork("r", (), (), "k", 0, 0, 0),
    }
    return RelayJob(**{**values, **options})


def judge(stages_ms, **options):
    clock = VirtualClock()
    admission = Admission(clock, FakeRunner(), seed=1)
    return admission.judge(job(clock, **options), stages_ms)


@pytest.mark.parametrize(
    ("stages_ms", "margin_ms", "begun"),
    [(1_600, 0, True), (1_600, 200, False), (1_800, 0, False), (900, 400, True)],
)
def test_request_is_begun_if_it_can_be_in_time(stages_ms, margin_ms, begun):
    """Load: a burst that fills all stages.

    Guards against requests that wait as long as their plan allows and are late.
    """
    assert (judge(stages_ms, margin_ms=margin_ms) is None) == begun


def test_margin_leaves_room_for_a_queue():
    """Load: a burst after engines failed.

    Guards against a route that is shut by its own errors while targets idle.
    """
    stages_ms = AIM_MS - ENGINE_MS - int(MAX_MARGIN * AIM_MS)
    assert judge(stages_ms, margin_ms=3_000) is None


def test_late_request_is_begun_while_nothing_waits():
    """Guards against refusals beside idle targets."""
    assert judge(LEAST_MS, aim_at_ms=100) is None


@pytest.mark.parametrize("stages_ms", [None, 1_900, 9_000])
def test_refusal_is_honest_and_tells_when_to_come_back(stages_ms):
    """Guards against callers who come back at once, or believe that something ran."""
    refusal = judge(stages_ms)
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms >= MIN_OVERLOAD_RETRY_MS
