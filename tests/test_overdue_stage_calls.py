"""Tests of stage calls that take longer than their limit, in virtual time."""

import attrs
import curio
import pytest

from tests.test_stage_pool import CAPACITY, BatcherHarness, FakeStages, target
from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.stages import JobState
from wagtailrun.stages.call_slot import (
    CALL_TIMEOUT_FACTOR,
    OVERDUE_PAUSE_MS,
    CallLimits,
    CallSlot,
)
from wagtailrun.stages.target_state import TargetState
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.virtual_time import run_virtual

LIMIT_MS = int(CALL_TIMEOUT_FACTOR * CAPACITY.duration_ms(2))
REQUEST_MS = 5_000
SILENT_MS = 60_000


class StalledStages(FakeStages):
    """Targets whose first calls take longer than configured.

    Attributes:
        stalls_ms: Additional time of each of them.
    """

    def __init__(self, clock, stalls_ms):
        super().__init__(clock)
        self.stalls_ms = list(stalls_ms)

    async def run(self, target, items, timeout_ms, watch):
        watch.record_sent(None)
        stall_ms = self.stalls_ms.pop(0) if self.stalls_ms else 0
        if stall_ms + CAPACITY.duration_ms(len(items)) > timeout_ms:
            self.calls.append((self.clock.now_ms(), target.name, list(items)))
            await self.clock.sleep_ms(timeout_ms)
            raise TargetFailed("silent", verdict=Verdict.MAY_HAVE_RUN, timed_out=True)
        await self.clock.sleep_ms(stall_ms)
        return await super().run(target, items, timeout_ms)


def run_stalled(stalls_ms, tokens, scenario):
    """Run ``scenario(clock, harness)`` with some tokens in the retry budget."""

    async def main(clock):
        harness = BatcherHarness(clock)
        harness.client = harness.batcher.client = StalledStages(clock, stalls_ms)
        harness.batcher.budget = RetryBudget(0.0, tokens)
        return await scenario(clock, harness)

    return run_virtual(main)


async def ask(clock, harness):
    state = await harness.send("r", pieces=2, remaining_ms=REQUEST_MS)
    return state, clock.now_ms(), len(harness.client.calls)


@pytest.mark.parametrize("tokens", [0.0, 1.0])
@pytest.mark.parametrize("stall_ms", [LIMIT_MS, 1_000, 2_000])
def test_call_that_no_retry_can_replace_goes_on(stall_ms, tokens):
    """Guards against a request that is refused 4 s early, just before its answer.

    Pattern: the entry that carried the call stood still for 0.6 s, and the retry budget
    did not cover all pieces of the call.
    """
    state, took_ms, calls = run_stalled([stall_ms], tokens, ask)
    assert (state.state, calls) == (JobState.DONE, 1)
    assert took_ms < stall_ms + LIMIT_MS


def test_call_that_a_retry_can_replace_ends_at_its_limit():
    """Guards against requests that wait for a silent target beside a budget."""
    state, took_ms, calls = run_stalled([SILENT_MS], 5.0, ask)
    assert (state.state, calls) == (JobState.DONE, 2)
    assert took_ms < 2 * LIMIT_MS


def test_request_at_a_silent_target_is_refused_in_time():
    """Guards against a caller that has no time left to turn to another entry."""
    state, took_ms, _ = run_stalled([SILENT_MS], 0.0, ask)
    assert state.state == JobState.REFUSED
    assert LIMIT_MS <= took_ms <= REQUEST_MS // 2 + 100


def test_overdue_call_holds_up_no_other_request():
    """Guards against an idle target that gets no calls as one of them hangs."""

    async def scenario(clock, harness):
        first = await curio.spawn(ask, clock, harness)
        await clock.sleep_ms(10)
        state = await harness.send("next")
        took_ms = clock.now_ms()
        await first.join()
        busy = harness.batcher.pools_by_service["s"].target_states_by_name
        return state.state, took_ms, [each.calls for each in busy.values()]

    state, took_ms, running = run_stalled([SILENT_MS], 0.0, scenario)
    assert state == JobState.DONE
    assert took_ms <= LIMIT_MS + OVERDUE_PAUSE_MS + CAPACITY.duration_ms(1) + 100
    assert running == [0]


class OneSilentStages(FakeStages):
    """Targets of which the first one never replies."""

    async def run(self, target, items, timeout_ms, watch):
        if target.name != "t1":
            return await super().run(target, items, timeout_ms, watch)
        watch.record_sent(None)
        self.calls.append((self.clock.now_ms(), target.name, list(items)))
        await self.clock.sleep_ms(timeout_ms)
        raise TargetFailed("silent", verdict=Verdict.MAY_HAVE_RUN, timed_out=True)


@pytest.mark.parametrize("remaining_ms", [REQUEST_MS, 12 * REQUEST_MS])
@pytest.mark.parametrize("interval_ms", [300, 600])
def test_target_with_an_overdue_call_is_the_last_choice(interval_ms, remaining_ms):
    """Load: one silent target beside an idle one, and no retry budget.

    Guards against a silent target that takes a further request after each pause, as its
    failure is only counted when its call is given up.
    """

    async def main(clock):
        rows = [target(1), target(2)]
        harness = BatcherHarness(clock, rows=rows)
        harness.client = harness.batcher.client = OneSilentStages(clock)
        harness.batcher.budget = RetryBudget(0.0, 0.0)
        for number in range(20):
            message = harness.message(f"r{number}", remaining_ms=remaining_ms)
            await curio.spawn(harness.batcher.handle, message, daemon=True)
            await clock.sleep_ms(interval_ms)
        await clock.sleep_ms(remaining_ms)
        states = harness.batcher.pools_by_service["s"].target_states_by_name
        calls = sum(name == "t1" for _, name, _ in harness.client.calls)
        return calls, [states[row.name] for row in rows]

    calls, states = run_virtual(main)
    assert calls <= 1
    assert [state.overdue_calls for state in states] == [0, 0]


def test_call_that_ends_as_it_becomes_overdue_leaves_no_mark():
    """Guards against a target that pauses, or is the last choice, for no reason."""

    async def main(clock):
        state = TargetState(calls=1)
        slot = CallSlot(clock, state, curio.Event())
        slot.record_sent(None)
        timer = await curio.spawn(slot.watch, CallLimits(10, 20))
        await clock.sleep_ms(5)
        clock.seconds += 0.1
        # The call ends in the turn in which its time is handled.
        slot.free()
        await timer.join()
        return attrs.asdict(state)

    assert run_virtual(main) == attrs.asdict(TargetState(busy_until_ms=105))


class HeldStages(FakeStages):
    """Targets whose answers are read a few turns of the event loop late."""

    async def run(self, target, items, timeout_ms, watch):
        replies = await super().run(target, items, timeout_ms, watch)
        for _ in range(3):
            await curio.sleep(0)
        return replies


@pytest.mark.parametrize("held_ms", [LIMIT_MS, 1_000, 5_000])
def test_owner_that_stood_still_takes_no_call_for_overdue(held_ms):
    """Guards against a pause of a target whose answer arrived in time."""

    async def main(clock):
        harness = BatcherHarness(clock)
        harness.client = harness.batcher.client = HeldStages(clock)
        harness.batcher.budget = RetryBudget(0.0, 0.0)
        message = harness.message("r", remaining_ms=4 * held_ms)
        task = await curio.spawn(harness.batcher.handle, message)
        await clock.sleep_ms(10)
        clock.seconds += held_ms / 1_000
        state = (await task.join()).state
        target_state = harness.batcher.pools_by_service["s"].target_states_by_name["t1"]
        return state, target_state.pause_until_ms

    assert run_virtual(main) == (JobState.DONE, 0)


@pytest.mark.parametrize(("answers_again", "failures"), [(True, 0), (False, 1)])
def test_old_call_says_nothing_about_a_target_that_answers_again(
    answers_again, failures
):
    """Load: a target that loses one call, and goes on.

    Guards against a target that pauses, and whose results are taken for lost, as a call
    is given up that was overdue before it answered others.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        stalls_ms = [SILENT_MS] if answers_again else [SILENT_MS] * 2
        harness.client = harness.batcher.client = StalledStages(clock, stalls_ms)
        harness.batcher.budget = RetryBudget(0.0, 0.0)
        first = harness.message("first", remaining_ms=REQUEST_MS)
        await curio.spawn(harness.batcher.handle, first, daemon=True)
        await clock.sleep_ms(1_000)
        others = harness.message("next", remaining_ms=2 * REQUEST_MS)
        await curio.spawn(harness.batcher.handle, others, daemon=True)
        # The first call is given up in between.
        await clock.sleep_ms(REQUEST_MS // 2)
        pool = harness.batcher.pools_by_service["s"]
        state = pool.target_states_by_name["t1"]
        return state.failures, pool.memory.used_bytes(target(1).address)

    used_bytes = 10 if answers_again else 0
    assert run_virtual(main) == (failures, used_bytes)
