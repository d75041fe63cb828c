"""Tests of services whose targets cease to announce themselves, but answer."""

import attrs
import curio
import pytest

from wagtailrun.exceptions import Refusal, RefusalReason
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.replay.emulator import Emulator, TargetModel
from wagtailrun.serving.dispatch import Work, make_dispatcher
from wagtailrun.targets.table import TARGET_TIMEOUT_MS, Membership, TargetRow
from wagtailrun.virtual_time import run_virtual

CALL = Work("s", "/v1/calls/look", b"{}", "r", "ws", 0, stage="look")
MODEL = TargetModel(capacity=4, service_ms=20.0)
DEADLINE_MS = 4_000
LOST_MS = 5_000


class Harness:
    """An entry with three targets whose announcements are lost from ``LOST_MS``.

    Attributes:
        refused: Refused requests, by start and reason.
    """

    def __init__(self, clock):
        self.clock = clock
        self.emulator = Emulator(clock)
        self.refused = []

    async def start(self):
        for number in range(3):
            await self.emulator.add(f"t{number}", "s", "east", MODEL)
        self.membership = Membership("east")
        self.emulator.observe("east", self.membership)
        await curio.spawn(self.emulator.run_reports, daemon=True)
        self.client = self.emulator.client("entry", "east")
        self.dispatcher = make_dispatcher(
            self.clock,
            self.membership,
            self.client,
            name="entry",
            data_centre="east",
            probe=self.client.probe,
            seed=1,
        )

    async def lose_reports(self, share=1.0):
        for name in self.emulator.targets_by_name:
            self.emulator.lose_reports(name, share)

    async def send_until(self, end_ms, interval_ms=200):
        while self.clock.now_ms() < end_ms:
            start_ms = self.clock.now_ms()
            work = attrs.evolve(CALL, deadline_at_ms=start_ms + DEADLINE_MS)
            answer = await self.dispatcher.call(work)
            if isinstance(answer, Refusal):
                self.refused.append((start_ms, answer.reason))
            await self.clock.sleep_ms(start_ms + interval_ms - self.clock.now_ms())

    def runs(self):
        targets = self.emulator.targets_by_name.items()
        return {name: len(target.engine_ms_by_attempt) for name, target in targets}


@pytest.fixture
def logged(monkeypatch):
    """Return the numbers and fields of the events that are logged."""
    lines = []
    monkeypatch.setattr(
        events, "log", lambda event, **fields: lines.append((event.number, fields))
    )
    return lines


@pytest.mark.parametrize("interval_ms", [200, 9_000], ids=["often", "rarely"])
def test_targets_that_answer_are_used_without_announcements(logged, interval_ms):
    """Guards against refusals beside sound targets as announcements are lost."""

    async def main(clock):
        harness = Harness(clock)
        await harness.start()
        await harness.send_until(LOST_MS)
        await harness.lose_reports()
        await harness.send_until(60_000, interval_ms)
        lines_before = len(logged)
        await harness.lose_reports(0.0)
        await harness.send_until(70_000)
        return harness.refused, lines_before

    refused, lines_before = run_virtual(main)
    # Only the first request after a pause finds nothing known of the targets.
    assert len(refused) <= (interval_ms > TARGET_TIMEOUT_MS)
    assert lines_before == 1
    numbers = [number for number, _ in logged]
    assert numbers == [
        events.TARGETS_UNANNOUNCED.number,
        events.TARGETS_ANNOUNCED.number,
    ]
    assert logged[0][1]["service"] == "s"


def test_targets_that_do_not_answer_are_refused_at_once():
    """Guards against requests to the targets of a service that is lost as a whole."""

    async def main(clock):
        harness = Harness(clock)
        await harness.start()
        await harness.send_until(LOST_MS)
        for name in harness.emulator.targets_by_name:
            await harness.emulator.vanish(name)
        await harness.send_until(30_000)
        attempts = harness.client.attempts
        await harness.send_until(60_000)
        return harness.refused, harness.client.attempts - attempts

    refused, late_attempts = run_virtual(main)
    assert late_attempts == 0
    assert {reason for at_ms, reason in refused if at_ms > 15_000} == {
        RefusalReason.NO_TARGET
    }
    # Refused at once, so that the next request is sent in time.
    assert len([at_ms for at_ms, _ in refused if at_ms >= 30_000]) == 150


@pytest.mark.parametrize("draining", [False, True])
def test_target_that_leaves_is_not_used_again(draining):
    """Guards against requests to a target that said goodbye before the silence."""

    async def main(clock):
        harness = Harness(clock)
        await harness.start()
        await harness.send_until(LOST_MS)
        leaver = harness.emulator.targets_by_name["t1"].row
        await harness.lose_reports()
        row = attrs.evolve(leaver, sequence=99, leaving=True, draining=draining)
        harness.membership.put(row, clock.now_ms())
        await clock.sleep_ms(1_000)
        before = harness.runs()
        await harness.send_until(30_000)
        return harness.refused, before, harness.runs()

    refused, before, after = run_virtual(main)
    assert refused == []
    assert after["t1"] == before["t1"]
    assert all(after[name] > before[name] for name in ("t0", "t2"))


def make_row(name, number, **fields):
    return TargetRow(name, Address(f"10.0.0.{number}", 80), "s", "east", **fields)


def test_last_known_targets_are_those_that_became_silent_together():
    """Guards against requests to targets that are gone, once nobody announces any."""
    membership = Membership("east")
    membership.put(make_row("old", 1), 0)
    for number, name in enumerate(("one", "two", "left"), 2):
        membership.put(make_row(name, number), 10_000)
    membership.put(make_row("silent", 9, silent=True), 10_500)
    membership.put(make_row("left", 4, leaving=True), 11_000)
    known = {row.name for row in membership.last_known("s")}
    assert known == {"one", "two", "silent"}
    # Another target has the address of one now.
    membership.put(attrs.evolve(make_row("new", 2), service="other"), 12_000)
    known = {row.name for row in membership.last_known("s")}
    assert known == {"two", "silent"}
    assert membership.last_known("none") == []
