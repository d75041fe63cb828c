"""Tests of the pauses that targets ask for, with the rules of both entries."""

import attrs
import pytest

from wagtailrun.ports.link import Address
from wagtailrun.relay.limits import notices
from wagtailrun.targets import routing
from wagtailrun.targets.pauses import MAX_PAUSE_MS, TargetPauses
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock

RULES = [notices.PAUSE_RULES, routing.PAUSE_RULES]
both_entries = pytest.mark.parametrize("rules", RULES, ids=["relay", "entry"])
ROW = TargetRow("t", Address("10.0.0.1", 80), "s", "a", 4)
OTHER = attrs.evolve(ROW, name="other", address=Address("10.0.0.2", 80))
NEW = attrs.evolve(ROW, incarnation=1)


def make(rules):
    clock = VirtualClock()
    return clock, TargetPauses(clock, rules, seed=1)


def wait(clock, duration_ms):
    clock.seconds += duration_ms / 1_000


@both_entries
def test_pause_ends_with_time_or_a_new_incarnation(rules):
    """Guards against requests to a target that pauses, and one that is lost for ever.

    An answer to a request of before the pause ends none, nor does a shorter pause.
    """
    clock, pauses = make(rules)
    pauses.record_pause(ROW, 5_000)
    pauses.record_pause(ROW, 10)
    pauses.end_trial(ROW)
    wait(clock, 4_999)
    assert pauses.left_ms(ROW)
    assert not pauses.left_ms(OTHER)
    wait(clock, 1 + rules.max_jitter_ms)
    assert not pauses.left_ms(ROW)
    assert pauses.last_end_ms <= clock.now_ms()
    pauses.record_pause(ROW, 10**15)
    wait(clock, MAX_PAUSE_MS - 1)
    assert pauses.left_ms(ROW)
    assert not pauses.left_ms(NEW)
    wait(clock, 1 + rules.max_jitter_ms)
    assert not pauses.left_ms(ROW)


@both_entries
def test_late_pause_of_an_earlier_incarnation_says_nothing_of_the_new_one(rules):
    """Guards against a restarted target that is lost by answers from before."""
    _, pauses = make(rules)
    pauses.record_pause(ROW, 50_000)
    assert not pauses.left_ms(NEW)
    pauses.record_pause(NEW, 5_000)
    before_ms = pauses.left_ms(NEW)
    pauses.record_pause(ROW, 50_000)
    pauses.begin_trial(ROW)
    pauses.end_trial(ROW)
    assert pauses.left_ms(NEW) == before_ms > 0


@both_entries
def test_target_with_a_smaller_incarnation_can_pause(rules):
    """Guards against requests to a pausing target whose clock was set back."""
    clock = VirtualClock()
    pauses = TargetPauses(clock, rules, 1, lambda row: ROW)
    pauses.record_pause(NEW, 5_000)
    pauses.record_pause(ROW, 50_000)
    assert pauses.left_ms(ROW) >= 50_000
    wait(clock, 50_000 + rules.max_jitter_ms)
    assert not pauses.left_ms(ROW)


@both_entries
def test_choice_is_left_a_target_if_all_pause_or_were_tried(rules):
    """Guards against work without a target while one could be tried."""
    _, pauses = make(rules)
    rows = [ROW, OTHER]
    assert pauses.admitted(rows, "e") == rows
    pauses.record_pause(ROW, 5_000)
    assert pauses.admitted(rows, "e") == [OTHER]
    assert pauses.admitted(rows, "e", {OTHER.name}) == rows
    pauses.record_pause(OTHER, 5_000)
    assert pauses.admitted(rows, "e") == rows


@both_entries
@pytest.mark.parametrize("known", [False, True])
def test_pauses_of_targets_that_are_gone_are_dropped(rules, known):
    """Guards against pauses that outlive their targets, and a rush after a pause."""
    clock = VirtualClock()
    pauses = TargetPauses(clock, rules, 1, lambda row: row if known else None)
    pauses.record_pause(ROW, 1_000)
    wait(clock, 1_000 + rules.max_jitter_ms)
    pauses.record_pause(OTHER, 1_000)
    assert (pauses.row(rules.key(ROW)) is not None) == known
    pauses.end_trial(ROW)
    assert pauses.row(rules.key(ROW)) is None
    assert pauses.row(rules.key(OTHER)) is OTHER
