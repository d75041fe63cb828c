"""Tests of the lines about the start of a process."""

from wagtailrun.logs import events
from wagtailrun.process.start_steps import MAX_LINES, StartStep, StartSteps


class HandClock:
    """Clock that the test sets."""

    def __init__(self):
        self.ms = 1_000

    def now_ms(self):
        return self.ms


def test_each_step_has_one_line_with_the_time_since_the_start(monkeypatch):
    """Guards against a line for each reply, and times that count from the boot."""
    lines = []
    monkeypatch.setattr(events, "log", lambda event, **fields: lines.append(fields))
    clock = HandClock()
    steps = StartSteps(clock)
    for _ in range(3):
        clock.ms += 40
        steps.reach(StartStep.MEMBER_REPLIED)
        steps.reach(StartStep.TARGETS_KNOWN, "a")
    clock.ms += 40
    steps.reach(StartStep.TARGETS_KNOWN, "b")
    assert lines == [
        {"step": "member-replied", "subject": "", "after_ms": 40},
        {"step": "targets-known", "subject": "a", "after_ms": 40},
        {"step": "targets-known", "subject": "b", "after_ms": 160},
    ]


def test_lines_are_bounded(monkeypatch):
    """Guards against a line for each of a thousand services."""
    lines = []
    monkeypatch.setattr(events, "log", lambda event, **fields: lines.append(fields))
    steps = StartSteps(HandClock())
    for number in range(1_000):
        steps.reach(StartStep.TARGETS_KNOWN, f"service-{number}")
    assert len(lines) == len(steps.reached) == MAX_LINES
