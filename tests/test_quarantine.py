"""Tests of the evidence of crashes under prompts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wagtailrun.discovery.messages import AgedEvidence, CrashEvidence, PartSet
from wagtailrun.discovery.quarantine import (
    CRASHES_TO_HOLD_LONGEST,
    EVIDENCE_LIFETIME_MS,
    FIRST_HOLD_MS,
    MAX_ALTERNATIVES,
    MAX_EVIDENCE,
    MAX_HOLD_MS,
    SUSPICION_MS,
    Quarantine,
    digest_part,
)
from wagtailrun.virtual_time import VirtualClock


def make(*crashes, clock=None):
    """Return a table with crashes; each is a list of alternatives such as "a b"."""
    quarantine = Quarantine(clock or VirtualClock())
    for number, alternatives in enumerate(crashes):
        add(quarantine, f"e{number}", *alternatives)
    return quarantine


def add(quarantine, engine, *alternatives):
    quarantine.record_crash(engine, [each.split() for each in alternatives])


def held(quarantine, *parts):
    return bool(quarantine.status(parts).held_ms)


def suspects(quarantine, *parts):
    return sorted(quarantine.status(parts).suspects)


def test_one_crash_holds_nothing_back():
    """Guards against sound prompts that are refused after a crash of another cause."""
    quarantine = make(["a"])
    assert not held(quarantine, "a")
    assert suspects(quarantine, "a", "b") == ["a"]
    add(quarantine, "e0", "a")
    assert not held(quarantine, "a")


def test_prompt_is_held_back_after_two_crashes():
    """Guards against a part that crashes a third engine."""
    quarantine = make(["a"], ["a"])
    assert held(quarantine, "a", "sound")
    assert not held(quarantine, "sound")


def test_part_is_not_held_back_for_its_neighbour():
    """Guards against sound requests that share a part with those that crash engines."""
    quarantine = make(["a b"], ["a b"])
    assert held(quarantine, "a", "b")
    assert not held(quarantine, "a")
    assert suspects(quarantine, "a") == ["a"]


def test_part_that_two_bad_ones_share_is_not_held_back():
    """Guards against a shared part that all crashes have in common.

    Pattern: two parts at once, always beside the same one.
    """
    quarantine = make(["a bad1"], ["a bad2"], ["a bad1"])
    assert not held(quarantine, "a")
    assert held(quarantine, "a", "bad1")
    assert not held(quarantine, "a", "bad2")


def test_prompt_that_broke_beside_the_cause_is_not_suspected():
    """Guards against a suspicion of all that broke beside the cause."""
    quarantine = make(["x", "bad"], ["bad"])
    assert suspects(quarantine, "x") == []
    assert held(quarantine, "bad")
    add(quarantine, "e9", "x", "bad")
    assert not held(quarantine, "x")


def test_two_parts_are_held_back_at_once():
    """Guards against one cause that hides another."""
    quarantine = make(["bad1"], ["bad1", "bad2"], ["bad2"], ["bad2"], ["bad1"])
    assert held(quarantine, "bad1")
    assert held(quarantine, "bad2")


def test_success_clears_a_part_of_earlier_crashes():
    """Guards against a part that a late answer of an earlier attempt clears."""
    clock = VirtualClock()
    clock.seconds = 10.0
    quarantine = make(["a"], ["a", "b"], clock=clock)
    clock.seconds = 20.0
    quarantine.clear("a", started_ms=9_000)
    assert held(quarantine, "a")
    quarantine.clear("a", started_ms=15_000)
    assert suspects(quarantine, "a") == []
    assert suspects(quarantine, "b") == ["b"]
    add(quarantine, "e7", "a")
    assert suspects(quarantine, "a") == ["a"]


def test_suspicion_ends_and_a_hold_becomes_a_trial():
    """Guards against prompts refused for ever after crashes of other causes."""
    clock = VirtualClock()
    quarantine = make(["once"], ["a"], ["a"], clock=clock)
    clock.seconds = SUSPICION_MS / 1_000
    assert suspects(quarantine, "once") == []
    assert held(quarantine, "a")
    clock.seconds = FIRST_HOLD_MS / 1_000
    assert not held(quarantine, "a")
    assert suspects(quarantine, "a") == ["a"]


def test_crashes_long_apart_hold_nothing_back():
    """Guards against a sound part that is held back after two kills of engines."""
    clock = VirtualClock()
    quarantine = make(["a"], clock=clock)
    clock.seconds = EVIDENCE_LIFETIME_MS / 1_000
    add(quarantine, "later", "a")
    assert not held(quarantine, "a")


def test_prompt_is_not_tried_again_soon_after_many_crashes():
    """Guards against more than three prompts with a part after its fifth crash."""
    clock = VirtualClock()
    quarantine = make(*[["a"]] * CRASHES_TO_HOLD_LONGEST, clock=clock)
    clock.seconds = MAX_HOLD_MS / 1_000 - 1
    add(quarantine, "other", "b")
    assert held(quarantine, "a")


SETS = st.sets(st.sampled_from("abc"), min_size=1).map(
    lambda parts: PartSet(tuple(sorted(parts)))
)
CRASHES = st.builds(
    CrashEvidence,
    key=st.sampled_from(["e1", "e2", "e3"]),
    alternatives=st.sets(SETS, min_size=1).map(lambda sets: tuple(sorted(sets))),
)
CLEARED = st.builds(CrashEvidence, key=st.sampled_from("abc"))
ROWS = st.builds(
    AgedEvidence,
    evidence=st.one_of(CRASHES, CLEARED),
    age_ms=st.integers(0, 50).map(lambda seconds: 1_000 * seconds),
)


@given(rows=st.lists(ROWS, max_size=8), random=st.randoms())
def test_tables_agree_whatever_the_order_of_messages(rows, random):
    """Guards against processes that hold back different prompts for good."""
    clock = VirtualClock()
    clock.seconds = 60.0
    results = []
    for _ in range(3):
        quarantine = Quarantine(clock)
        shuffled = [*rows, *rows[:2]]
        random.shuffle(shuffled)
        for row in shuffled:
            quarantine.merge([row])
        results.append(quarantine.evidence_by_key)
    assert results[0] == results[1] == results[2]


def test_cleared_part_is_not_brought_back_by_older_evidence():
    """Guards against a part that a process which was cut off marks again."""
    clock = VirtualClock()
    quarantine = make(["a"], ["a"], clock=clock)
    clock.seconds = 20.0
    quarantine.clear("a", started_ms=15_000)
    old = AgedEvidence(CrashEvidence("e5", (PartSet(("a",)),)), 19_000)
    quarantine.merge([old])
    assert suspects(quarantine, "a") == []


def test_merged_evidence_keeps_its_age():
    """Guards against a hold that begins anew at each process that learns of it."""
    clock = VirtualClock()
    clock.seconds = 5_000.0
    quarantine = Quarantine(clock)
    for engine in ("e1", "e2"):
        evidence = CrashEvidence(engine, (PartSet(("a",)),))
        quarantine.merge([AgedEvidence(evidence, FIRST_HOLD_MS - 1)])
    assert quarantine.status(["a"]).held_ms == 1


def test_evidence_is_bounded():
    """Guards against memory that grows with the number of prompts that break."""
    clock = VirtualClock()
    quarantine = make(clock=clock)
    for number in range(2 * MAX_EVIDENCE):
        clock.seconds += 0.001
        add(quarantine, f"e{number}", f"p{number}")
    for number in range(2 * MAX_ALTERNATIVES):
        add(quarantine, "same", f"q{number}")
    assert len(quarantine.evidence_by_key) <= MAX_EVIDENCE
    assert len(quarantine.evidence_by_key["same"].alternatives) == MAX_ALTERNATIVES
    assert len(quarantine.log.change_numbers_by_name) <= MAX_EVIDENCE


@pytest.mark.parametrize("name", ["", "x" * 10_000, "ü"])
def test_digests_are_short(name):
    """Guards against messages that grow with the names that callers choose."""
    assert len(digest_part(name)) == 16
