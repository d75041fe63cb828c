"""Tests of the detection of crashes and their attribution to prompt parts."""

import attrs
import pytest

from wagtailrun.discovery.quarantine import Quarantine, digest_part
from wagtailrun.ports.link import Address
from wagtailrun.relay.core.placement_messages import RunBroken
from wagtailrun.relay.core.port import AnswerProgress
from wagtailrun.relay.limits.crash_detector import (
    CRASH_WINDOW_MS,
    RECENT_SUCCESS_MS,
    SETTLE_MS,
    UNCONFIRMED_LIFETIME_MS,
    CrashDetector,
)
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock

HEAD, NOTHING, EVENTS = (
    AnswerProgress.HEAD,
    AnswerProgress.NOTHING,
    AnswerProgress.EVENTS,
)
ROW = TargetRow("t1", Address("10.0.0.1", 80), "s", "a", 4, incarnation=7)


class Bench:
    """A detector with its table, and a clock."""

    def __init__(self):
        self.clock = VirtualClock()
        self.clock.seconds = 100.0
        self.quarantine = Quarantine(self.clock)
        self.detector = CrashDetector(self.clock, self.quarantine)
        self.number = 0

    def broken(self, *parts, progress=HEAD, row=ROW, since_ms=0):
        self.number += 1
        message = RunBroken(
            f"r{self.number}",
            "s",
            row.name,
            row.incarnation,
            str(row.address),
            parts,
            progress,
            since_ms,
        )
        self.detector.record_break(message)

    def after(self, ms):
        self.clock.seconds += ms / 1_000
        self.detector.suspects()

    def marked(self):
        self.after(SETTLE_MS + 1)
        names = ("bad", "x", "y", *(f"other{number}" for number in range(3)))
        return [name for name in names if self.quarantine.is_marked(digest_part(name))]


def test_prompt_whose_answer_had_just_begun_explains_a_crash():
    """Guards against a suspicion of all prompts that an engine was working on."""
    bench = Bench()
    bench.broken("x", progress=NOTHING)
    bench.broken("y", progress=EVENTS, since_ms=900)
    bench.broken("bad", progress=HEAD)
    bench.after(CRASH_WINDOW_MS + 1)
    assert bench.marked() == ["bad"]


@pytest.mark.parametrize("evidence", ["another break", "refused", "started again"])
def test_evidence_of_a_crash(evidence):
    """Guards against a crash that is not noticed because little runs at an engine."""
    bench = Bench()
    bench.broken("bad")
    assert bench.marked() == []
    if evidence == "another break":
        bench.broken(progress=EVENTS, since_ms=5_000)
    elif evidence == "refused":
        bench.detector.record_unreachable(ROW)
    else:
        bench.after(3_000)
        newer = attrs.evolve(ROW, name="t9", incarnation=8)
        bench.detector.check_rows([newer])
    assert bench.marked() == ["bad"]


def test_single_break_at_an_engine_that_goes_on_is_no_crash():
    """Guards against parts that are suspected because an answer was lost."""
    bench = Bench()
    bench.broken("x")
    started_ms = bench.clock.now_ms() + 10
    bench.after(50)
    bench.detector.record_alive(ROW, started_ms)
    bench.detector.record_unreachable(ROW)
    assert bench.marked() == []
    assert bench.detector.suspects() == set()


def test_answer_of_an_attempt_sent_before_a_break_proves_nothing():
    """Guards against a crash that is overlooked because of an earlier answer."""
    bench = Bench()
    bench.broken("bad")
    bench.detector.record_alive(ROW, bench.clock.now_ms() - 500)
    bench.detector.record_unreachable(ROW)
    assert bench.marked() == ["bad"]


def test_part_is_suspected_until_its_break_is_explained():
    """Guards against a retry that crashes a second engine within milliseconds."""
    bench = Bench()
    bench.broken("bad")
    assert bench.detector.suspects() == {digest_part("bad")}
    bench.after(UNCONFIRMED_LIFETIME_MS + 1)
    assert bench.detector.suspects() == set()


def test_part_that_others_answer_is_not_marked():
    """Guards against a shared part that is marked beside the one that crashes."""
    bench = Bench()
    bench.detector.record_success([digest_part("x")])
    bench.broken("x", "bad")
    bench.detector.record_unreachable(ROW)
    assert bench.marked() == ["bad"]


def test_sound_prompt_that_broke_beside_the_cause_is_not_marked():
    """Guards against a shared part that is held back for what broke beside it.

    The reports arrive one after the other, that of the sound prompt first.
    """
    bench = Bench()
    bench.detector.record_success([digest_part("x")])
    bench.broken("x", progress=NOTHING)
    bench.broken("x")
    bench.broken("x", "bad")
    assert bench.marked() == ["bad"]


def test_part_may_begin_to_crash_engines():
    """Guards against a part that is never marked because it was once sound."""
    bench = Bench()
    bench.detector.record_success([digest_part("x")])
    bench.broken("x")
    bench.detector.record_unreachable(ROW)
    assert bench.marked() == ["x"]


def test_weak_explanations_count_from_the_second_time_on():
    """Guards against suspicions whenever an engine is killed under load.

    No attempt had a head and no event: other causes are likelier than a prompt.
    """
    bench = Bench()
    for number in range(3):
        row = attrs.evolve(ROW, incarnation=10 + number)
        for part in ("bad", f"other{number}"):
            bench.broken(part, progress=NOTHING, row=row)
        bench.after(CRASH_WINDOW_MS + 1)
        assert bench.marked() == ["bad"][:number]


def test_weak_explanations_are_forgotten():
    """Guards against parts that crashes long apart make suspicious."""
    bench = Bench()
    for number in range(2):
        row = attrs.evolve(ROW, incarnation=10 + number)
        for part in ("x", "y"):
            bench.broken(part, progress=NOTHING, row=row)
        bench.after(CRASH_WINDOW_MS + 1)
        bench.after(RECENT_SUCCESS_MS)
    assert bench.marked() == []


def test_engine_that_sent_events_for_long_does_not_crash_by_their_prompt():
    """Guards against a suspicion of long streams that a crash cuts."""
    bench = Bench()
    for number in range(3):
        row = attrs.evolve(ROW, incarnation=10 + number)
        for _ in range(2):
            bench.broken("x", progress=EVENTS, since_ms=2_000, row=row)
        bench.after(CRASH_WINDOW_MS + 1)
    assert bench.marked() == []


def test_state_is_bounded_by_time():
    """Guards against memory that grows with the engines that crashed."""
    bench = Bench()
    for number in range(100):
        bench.broken("x", progress=NOTHING, row=attrs.evolve(ROW, incarnation=number))
    bench.after(UNCONFIRMED_LIFETIME_MS + 1)
    assert bench.detector.states_by_engine == {}
