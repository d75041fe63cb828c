"""Tests of when a target of a plain service that failed is tried again."""

import pytest

from tests.test_relay_choice import row
from tests.test_relay_experiments import HEAD, fault
from tests.test_relay_experiments import play as play_with
from wagtailrun.relay import TargetLoad
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.virtual_time import VirtualClock

ROWS = [row(1), row(2), row(3)]
FEW_CALLS = """
[[load]]
workspace = "clerks"
service = "desk"
call = "stock"
arrivals = "poisson"
rate_per_s = 4
"""


def times_of(failing, duration_s, interval_ms=100, took_ms=20, may_probe=True):
    """Return when an entry chose the first target, in milliseconds after its failure.

    Args:
        failing: Returns whether an attempt there fails, by when it starts.
        duration_s: Length.
        interval_ms: Time between two requests.
        took_ms: Time of an attempt.
        may_probe: Whether the requests may be lost there.
    """
    clock = VirtualClock()
    picker = TargetChooser(clock, "a", seed=1)
    picker.health.record_failure(ROWS[0])
    since_ms, found, ends = clock.now_ms(), [], []
    for number in range(duration_s * 1_000 // interval_ms):
        at_ms = number * interval_ms
        for end in [end for end in ends if end[0] <= at_ms]:
            ends.remove(end)
            clock.seconds += (since_ms + end[0] - clock.now_ms()) / 1_000
            _, chosen, failed = end
            picker.health.record_end(chosen)
            if failed:
                picker.health.record_outcome(chosen, RunOutcome.FAILED)
            else:
                picker.health.record_success(chosen, 1.0)
        clock.seconds += (since_ms + at_ms - clock.now_ms()) / 1_000
        chosen = picker.choose(ROWS, may_probe=may_probe)
        picker.health.record_start(chosen)
        failed = chosen is ROWS[0] and failing(at_ms)
        ends.append((at_ms + took_ms, chosen, failed))
        if chosen is ROWS[0]:
            found.append(at_ms)
    return found


def test_target_that_failed_once_is_used_again_within_seconds():
    """Load: ten requests a second, and one failure.

    Guards against a target without requests for 30 to 40 s.
    """
    times = times_of(lambda at_ms: False, 30)
    assert 1_500 <= times[0] <= 4_000
    # It has its share again at once.
    assert 70 <= len([ms for ms in times if ms >= 5_000]) <= 100


@pytest.mark.parametrize(("interval_ms", "took_ms"), [(5, 20), (100, 20), (200, 1_000)])
def test_target_that_goes_on_failing_gets_few_requests(interval_ms, took_ms):
    """Load: a target that fails for a minute, at once or after 1 s.

    Guards against probes that lose many requests, or use up the retry budget.
    """
    times = times_of(lambda at_ms: True, 60, interval_ms, took_ms)
    assert 4 <= len(times) <= 8
    # The last ones are far apart, but not so far that it is forgotten.
    assert 10_000 <= times[-1] - times[-2] <= 20_000


def test_target_is_used_again_soon_after_a_long_failure():
    """Load: a target that fails for 20 s."""
    times = times_of(lambda at_ms: at_ms < 20_000, 60)
    (first, *_) = [ms for ms in times if ms >= 20_000]
    assert first <= 20_000 + 17_000
    assert len([ms for ms in times if ms < 20_000]) <= 5


def test_requests_that_may_not_be_lost_are_no_probes():
    """Load: orders only.

    Guards against orders that are sent to a target that failed a moment ago.
    """
    assert not times_of(lambda at_ms: True, 20, may_probe=False)


def test_entry_uses_a_target_again_after_a_short_pause(tmp_path):
    """Load: four calls a second, and a target that stands still for 1.5 s."""
    on = "desk-east-0"
    text = HEAD.replace("count = 2 }", "count = 1 }").replace("= 20\n", "= 40\n", 1)
    for seed in (1, 2, 3):
        records = play_with(
            tmp_path, text + FEW_CALLS + fault("pause-target", on, "for_s = 1.5"), seed
        )
        assert {r.outcome for r in records.requests} == {"served"}
        served = [r for r in records.requests if r.steps[-1].target == on]
        times = [r.sent_at_ms for r in served]
        assert [ms for ms in times if 6_500 <= ms <= 14_000]


def test_failed_attempt_counts_as_load_for_a_while_only():
    """Load: few requests, so that no answer reports the load of a target that failed.

    Guards against a target that looks busier than idle ones without end.
    """
    clock = VirtualClock()
    health = TargetChooser(clock, "a", seed=1).health
    target = ROWS[0]
    health.record_load(target, TargetLoad(0, 0, 4))
    loads = []
    for _ in range(2):
        health.record_start(target)
    health.record_end(target)
    for _ in range(4):
        loads.append(health.load(health.state(target), clock.now_ms()))
        clock.seconds += 0.75
    # One attempt is still in progress.
    assert loads == [2.0, 1.5, 1.0, 1.0]
