"""Tests of the health of targets, with the rules of both entries."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wagtailrun.ports.link import Address
from wagtailrun.ports.target import TargetLoad
from wagtailrun.relay.placement import choice
from wagtailrun.targets import routing
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.health import (
    ANSWER_LOAD_VALIDITY_MS,
    FAILURE_HALF_LIFE_MS,
    MAX_EJECTION_MS,
    MIN_EJECTION_MS,
    HealthState,
    TargetHealth,
)
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock

RULES = [choice.HEALTH_RULES, routing.HEALTH_RULES]
both_entries = pytest.mark.parametrize("rules", RULES, ids=["relay", "entry"])
ROW = TargetRow("t", Address("10.0.0.1", 80), "s", "a", 4, running=3, queued=2)
# No observation is known any more after this time.
FOREVER_MS = 1_000_000


def make(rules):
    clock = VirtualClock()
    return clock, TargetHealth(clock, rules, HealthState)


def wait(clock, duration_ms):
    clock.seconds += duration_ms / 1_000


def load(health, row=ROW):
    return health.load(health.state(row), health.clock.now_ms())


def slowness(health, row=ROW):
    return health.slowness(health.state(row), health.clock.now_ms())


def failure_rate(health, row=ROW):
    return health.failure_rate(health.state(row), health.clock.now_ms())


def announce(row, **fields):
    return attrs.evolve(row, sequence=row.sequence + 1, **fields)


@both_entries
def test_own_attempts_count_until_the_next_report(rules):
    """Guards against an entry that sends all requests to a target reported idle."""
    _, health = make(rules)
    health.record_load(ROW, TargetLoad(1, 1, 4))
    for _ in range(3):
        health.record_start(ROW)
    assert load(health) == 5
    health.record_load(ROW, TargetLoad(4, 0, 4))
    assert load(health) == 4
    health.record_load(ROW, TargetLoad(0, 0, 4))
    assert load(health) == 3


def test_load_of_an_answer_counts_less_with_age_at_the_relay():
    """Guards against a target that is avoided for a load of long ago."""
    clock, health = make(choice.HEALTH_RULES)
    assert load(health) == 0
    health.record_load(ROW, TargetLoad(4, 4, 4))
    wait(clock, choice.HEALTH_RULES.load_lifetime_ms / 2)
    assert load(health) == 4
    wait(clock, choice.HEALTH_RULES.load_lifetime_ms / 2)
    assert load(health) == 0


def test_announced_load_counts_unless_an_answer_has_just_reported_one():
    """Guards against late announcements that replace the load of an answer."""
    clock, health = make(routing.HEALTH_RULES)
    assert load(health) == 5
    health.record_start(ROW)
    health.record_end(ROW)
    assert load(health) == 5
    health.record_load(ROW, TargetLoad(1, 0, 4))
    later = announce(ROW, running=9, queued=9)
    assert load(health, later) == 1
    health.record_start(later)
    wait(clock, ANSWER_LOAD_VALIDITY_MS)
    assert load(health, attrs.evolve(later, silent=True)) == 2
    health.record_end(later)
    assert load(health, later) == 1
    assert load(health, announce(later)) == 18


@both_entries
def test_slowness_halves_in_each_half_life(rules):
    """Guards against a target that is excluded for ever after one slow answer."""
    clock, health = make(rules)
    health.record_success(ROW, 5.0)
    first = slowness(health)
    assert first == pytest.approx(1.0 + 4.0 * rules.slowness_weight)
    for halves in (1, 2, 3):
        wait(clock, rules.slowness_half_life_ms)
        assert slowness(health) == pytest.approx(1.0 + (first - 1.0) / 2**halves)


@pytest.mark.parametrize(
    ("rules", "before"), [(RULES[0], 1 + 4 * 0.3 / 2), (RULES[1], 1 + 4 * 0.2)]
)
def test_measurement_is_averaged_with_the_slowness_before(rules, before):
    """Guards against measurements that outweigh, or do not outweigh, older ones."""
    clock, health = make(rules)
    health.record_success(ROW, 5.0)
    wait(clock, rules.slowness_half_life_ms)
    health.record_success(ROW, 2.0)
    weight = rules.slowness_weight
    assert slowness(health) == pytest.approx(before + weight * (2.0 - before))


@pytest.mark.parametrize(
    ("rules", "expected"), [(RULES[0], 1 + 9 * 0.3), (RULES[1], 1 + 99 * 0.2)]
)
def test_measured_slowness_is_bounded_at_the_relay(rules, expected):
    """Guards against one hung answer that outweighs all others."""
    _, health = make(rules)
    health.record_success(ROW, 100.0)
    assert slowness(health) == pytest.approx(expected)


@both_entries
def test_failure_rate_follows_outcomes_and_time(rules):
    """Guards against a failing target that gets requests, or never gets any again."""
    clock, health = make(rules)
    rates = [failure_rate(health)]
    for _ in range(5):
        health.record_outcome(ROW, RunOutcome.FAILED)
        rates.append(failure_rate(health))
    assert rates[0] == 0.0
    assert rates == sorted(set(rates))
    assert rates[-1] < 1.0
    wait(clock, FAILURE_HALF_LIFE_MS)
    assert failure_rate(health) == pytest.approx(rates[-1] / 2)
    health.record_success(ROW, None)
    assert failure_rate(health) < rates[-1] / 2
    assert slowness(health) == 1.0


def test_ejection_doubles_and_ends_with_time_or_a_success_at_the_relay():
    """Guards against a connect timeout per request, and against ejection for ever."""
    clock, health = make(choice.HEALTH_RULES)
    for doubled_ms in (1, 2, 4, 8, 16, 32):
        duration_ms = min(MIN_EJECTION_MS * doubled_ms, MAX_EJECTION_MS)
        health.record_outcome(ROW, RunOutcome.UNREACHABLE)
        wait(clock, duration_ms - 1)
        assert health.is_unreachable(ROW)
        wait(clock, 1)
        assert not health.is_unreachable(ROW)
    assert failure_rate(health) > 0.0
    health.record_outcome(ROW, RunOutcome.MISDIRECTED)
    wait(clock, MAX_EJECTION_MS - 1)
    assert health.is_unreachable(ROW)
    health.record_success(ROW, None)
    assert not health.is_unreachable(ROW)
    health.record_unreachable(ROW)
    wait(clock, MIN_EJECTION_MS)
    assert not health.is_unreachable(ROW)


def test_rejection_without_a_report_of_a_queue_means_full():
    """Guards against further requests to a target that rejects them."""
    _, health = make(choice.HEALTH_RULES)
    health.record_outcome(ROW, RunOutcome.REJECTED)
    assert load(health) == ROW.capacity
    health.record_load(ROW, TargetLoad(4, 5, 4))
    health.record_outcome(ROW, RunOutcome.REJECTED)
    assert load(health) == 9


@both_entries
def test_new_incarnation_starts_afresh_with_its_attempts_in_progress(rules):
    """Guards against a restarted target that is judged by its time before."""
    _, health = make(rules)
    health.record_start(ROW)
    health.record_success(ROW, 9.0)
    health.record_outcome(ROW, RunOutcome.UNREACHABLE)
    health.record_load(ROW, TargetLoad(9, 9, 4))
    new = attrs.evolve(ROW, incarnation=1, running=0, queued=0)
    assert (load(health, new), slowness(health, new)) == (1, 1.0)
    assert failure_rate(health, new) == 0.0
    assert not health.is_unreachable(new)
    health.record_end(new)
    assert load(health, new) == 0


@both_entries
def test_late_end_of_an_earlier_incarnation_says_nothing_of_the_new_one(rules):
    """Guards against what is known of a restarted target being lost or mixed up."""
    _, health = make(rules)
    health.record_start(ROW)
    new = attrs.evolve(ROW, incarnation=1, sequence=0, running=1, queued=0)
    health.record_load(new, TargetLoad(1, 0, 4))
    health.record_start(new)
    health.record_success(new, 5.0)
    health.record_outcome(new, RunOutcome.UNREACHABLE)

    def known():
        beliefs = (slowness(health, new), failure_rate(health, new))
        return beliefs, health.is_unreachable(new)

    before = known()
    assert load(health, new) == 2
    health.record_end(ROW)
    health.record_load(ROW, TargetLoad(9, 9, 4))
    health.record_success(ROW, 9.0)
    for outcome in RunOutcome:
        health.record_outcome(ROW, outcome)
    assert known() == before
    assert load(health, new) == 2
    assert health.state(new).in_flight == 1


def test_announcement_of_a_restarted_target_counts_at_once():
    """Guards against a load that is unknown because of an answer before the restart."""
    _, health = make(routing.HEALTH_RULES)
    health.record_load(ROW, TargetLoad(9, 9, 4))
    new = attrs.evolve(ROW, incarnation=1, sequence=0, running=0, queued=0)
    assert load(health, new) == 0
    assert load(health, announce(new, running=4)) == 4


def test_row_of_an_earlier_announcement_is_not_read_again():
    """Guards against the load of when an attempt began, once the attempt has ended."""
    _, health = make(routing.HEALTH_RULES)
    health.record_start(ROW)
    later = announce(ROW, running=9)
    health.record_start(later)
    assert load(health, later) == 12
    health.record_failure(ROW)
    assert load(health, later) == 12
    health.record_end(ROW)
    assert load(health, later) == 11


@both_entries
def test_only_targets_without_an_attempt_are_dropped(rules):
    """Guards against state that is lost in use, or kept for ever."""
    _, health = make(rules)
    idle, busy, kept = (attrs.evolve(ROW, name=name) for name in "abc")
    for row in (idle, busy, kept):
        health.record_start(row)
    for row in (idle, kept):
        health.record_end(row)
    health.retain(["c"])
    assert set(health.states_by_name) == {"b", "c"}
    assert not health.forget("b")
    health.record_end(busy)
    assert health.forget("b")
    assert set(health.states_by_name) == {"c"}


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("start")),
        st.tuples(st.just("end")),
        st.tuples(st.just("announce"), st.integers(0, 9)),
        st.tuples(st.just("load"), st.integers(0, 9)),
        st.tuples(st.just("success"), st.none() | st.floats(0.0, 100.0)),
        st.tuples(st.just("outcome"), st.sampled_from(RunOutcome)),
        st.tuples(st.just("wait"), st.integers(0, 5_000)),
    )
)


@both_entries
@given(steps=STEPS)
def test_observations_in_any_order_stay_in_bounds_and_are_forgotten(rules, steps):
    """Guards against counts that drift, and against beliefs that outlive their cause.

    A target that announces itself idle, long after its last attempt, is as a new one.
    """
    clock, health = make(rules)
    row, in_flight, worst = ROW, 0, 1.0
    for name, *value in steps:
        if name == "start":
            health.record_start(row)
            in_flight += 1
        elif name == "end" and in_flight:
            health.record_end(row)
            in_flight -= 1
        elif name == "announce":
            row = announce(row, running=value[0])
        elif name == "load":
            health.record_load(row, TargetLoad(value[0], 0, 4))
        elif name == "success":
            health.record_success(row, value[0])
            worst = max(worst, value[0] or 1.0)
        elif name == "outcome":
            health.record_outcome(row, value[0])
        elif name == "wait":
            wait(clock, value[0])
        assert health.state(row).in_flight == in_flight
        assert load(health, row) >= in_flight
        assert 0.0 <= failure_rate(health, row) <= 1.0
        assert 0.0 <= slowness(health, row) <= worst
    while in_flight:
        health.record_end(row)
        in_flight -= 1
    wait(clock, FOREVER_MS)
    health.record_load(row, TargetLoad(0, 0, 4))
    assert load(health, row) == 0
    assert slowness(health, row) == pytest.approx(1.0)
    assert failure_rate(health, row) == pytest.approx(0.0)
    assert not health.is_unreachable(announce(row))
