"""Tests of admission."""

import attrs
import curio
import pytest

from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.serving.admission import Admission
from wagtailrun.serving.dispatch import Work
from wagtailrun.targets.estimates import Estimates
from wagtailrun.virtual_time import run_virtual

WORK = Work("engines", "/v1/stages/generate", b"{}", "r", "ws", 10_000, stage="g")


class Room:
    """Targets with room for ``size`` requests, each of which takes a second."""

    def __init__(self, clock, size=1):
        self.clock = clock
        self.free = size
        self.started = []
        self.refused = []
        estimates = Estimates(clock)
        for _ in range(20):
            estimates.record("engines", "g", WORK.size_class, 100, 1_000)
        self.admission = Admission(clock, estimates)

    def choose(self):
        if not self.free:
            return None
        self.free -= 1
        return "target"

    def release(self, target):
        self.free += 1

    async def run(self, work):
        result = await self.admission.admit(work, self.choose, self.release)
        if isinstance(result, Refusal):
            self.refused.append((self.clock.now_ms(), work.request_id, result))
            return
        self.started.append(work.request_id)
        await self.clock.sleep_ms(1_000)
        self.free += 1
        await self.admission.start_waiting(work.service)


def run(works, gap_ms=1):
    async def main(clock):
        room = Room(clock)
        async with curio.TaskGroup() as group:
            for work in works:
                await group.spawn(room.run, work)
                await clock.sleep_ms(gap_ms)
        return room

    return run_virtual(main)


def work(name, **fields):
    return attrs.evolve(WORK, request_id=name, **fields)


def test_order_of_waiting_work():
    """Guards against work that starts before work of a higher priority."""
    works = [work("running"), work("waits", may_wait=True), work("low")]
    works += [work("urgent", priority=5), work("soon", deadline_at_ms=9_000)]
    room = run(works)
    assert room.started == ["running", "urgent", "soon", "low", "waits"]


def test_workspace_over_its_share_goes_last_and_is_shed_first():
    """Guards against a large workspace that displaces the others."""
    works = [work(f"big-{n}", workspace="big") for n in range(30)]
    works[20:20] = [work(f"small-{n}", workspace="small") for n in range(3)]
    room = run(works, gap_ms=100)
    assert {"small-0", "small-1", "small-2"} <= set(room.started)
    refused = {name for _, name, _ in room.refused}
    assert refused and all(name.startswith("big") for name in refused)
    # Work-conserving: the target was never idle while work waited.
    assert len(room.started) >= 9


def test_refusal_comes_at_once_and_follows_the_queue():
    """Guards against delayed refusals and against a constant retry time."""
    early = run([work(f"w{n}", deadline_at_ms=1_500) for n in range(3)])
    late = run([work(f"w{n}", deadline_at_ms=6_000) for n in range(40)], gap_ms=50)
    for at_ms, _, refusal in early.refused + late.refused:
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.reason is RefusalReason.OVERLOADED
        assert refusal.retry_after_ms > 0
        assert at_ms <= 5_001
    assert early.refused[-1][0] <= 501
    longest = max(refusal.retry_after_ms for _, _, refusal in late.refused)
    assert longest > early.refused[0][2].retry_after_ms


def test_cancelled_caller_releases_its_room():
    """Guards against room that stays reserved after a waiting caller disconnects."""

    async def main(clock):
        room = Room(clock)
        first = await curio.spawn(room.run, work("first"))
        await clock.sleep_ms(1)
        leaving = await curio.spawn(room.run, work("leaving"))
        last = await curio.spawn(room.run, work("last"))
        await clock.sleep_ms(500)
        await leaving.cancel()
        await first.join()
        await last.join()
        return room

    room = run_virtual(main)
    assert room.started == ["first", "last"]
    assert room.free == 1


def run_in_stop(works, ends_ms, signalled_ms=0, room=1):
    """Run works that take a second each beside a stop; return the room."""

    async def main(clock):
        targets = Room(clock, room)
        async with curio.TaskGroup() as group:
            if not signalled_ms:
                targets.admission.begin_stop(ends_ms)
            for each in works:
                await group.spawn(targets.run, each)
            if signalled_ms:
                await clock.sleep_ms(signalled_ms)
                targets.admission.begin_stop(ends_ms)
        return targets

    return run_virtual(main)


def test_work_that_would_outlast_the_process_is_refused_at_once():
    """Guards against work that an entry which stops takes, sends and gives up.

    Admission asked only for the deadline of the caller, who waits longer.
    """
    room = run_in_stop([work("a")], 900)
    assert not room.started
    ((at_ms, _, refusal),) = room.refused
    assert (at_ms, refusal.reason) == (0, RefusalReason.DRAINING)
    assert (refusal.verdict, refusal.retry_after_ms) == (Verdict.NOT_RUN, 50)


def test_work_that_ends_before_the_process_is_started():
    """Guards against refusals of all work by an entry that stops."""
    room = run_in_stop([work("a"), work("b")], 2_500)
    assert (room.started, room.refused) == (["a", "b"], [])


@pytest.mark.parametrize("deadline_ms", [10_000, 2_500])
def test_waiting_work_is_refused_when_it_cannot_end_any_more(deadline_ms):
    """Guards against work that waits until the entry gives it up as begun.

    It waited when the stop began. A deadline before the end counts as without one.
    """
    works = [work(name, deadline_at_ms=deadline_ms) for name in "abc"]
    room = run_in_stop(works, 3_000, 100)
    ends_ms = min(deadline_ms, 3_000)
    assert room.started == ["a", "b"]
    ((at_ms, _, refusal),) = room.refused
    assert at_ms <= ends_ms - 1_000 + 100
    assert refusal.verdict is Verdict.NOT_RUN
    assert (refusal.reason is RefusalReason.DRAINING) == (deadline_ms > 3_000)
