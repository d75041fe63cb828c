"""Tests of stage pieces that cannot be in time any more, in virtual time."""

import random

import attrs
import curio
import pytest

from tests.test_stage_pool import CAPACITY, BatcherHarness, target
from wagtailrun.exceptions import ConnectFailed
from wagtailrun.stages import CancelPieces, FreeResults, JobState
from wagtailrun.stages.pool import FORECAST_INTERVAL_MS
from wagtailrun.virtual_time import run_virtual


def test_step_that_cannot_be_in_time_any_more_is_refused_when_that_is_known():
    """Load: a queue at four targets, of which three are gone a moment later.

    Guards against requests that are held until their time has passed, after which
    their callers have no time left to turn elsewhere.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(n) for n in range(4)])
        lost = clock.now_ms() + 100
        outcomes = []

        async def send(number):
            state = await harness.send(f"r{number}", pieces=4, remaining_ms=2_000)
            outcomes.append((state.state, clock.now_ms() - lost, state.queue_ms))

        async with curio.TaskGroup() as group:
            for number in range(24):
                await group.spawn(send, number)
            await clock.sleep_ms(100)
            harness.rows = harness.rows[:1]
        return outcomes

    outcomes = run_virtual(main)
    done = [took_ms for state, took_ms, _ in outcomes if state == JobState.DONE]
    refused = [row for row in outcomes if row[0] == JobState.REFUSED]
    # One target ends six to eight calls of 270 ms in 2 s, and four had begun.
    assert len(done) >= 9
    assert max(done) <= 2_000
    assert len(refused) >= 10
    early = [row for row in refused if row[1] <= FORECAST_INTERVAL_MS + 100]
    assert len(early) >= len(refused) - 1
    # The reply tells how long the queue lasts, for the time of a retry.
    assert min(queue_ms for _, _, queue_ms in refused) > 200


def test_calm_queue_refuses_nothing():
    """Load: a target that fails for a moment.

    Guards against refusals for a pause that ends long before the steps expire.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(1), target(2)])
        harness.client.faults_by_name["t1"] = ConnectFailed("refused")
        async with curio.TaskGroup() as group:
            for number in range(8):
                await group.spawn(harness.send, f"r{number}", 2)
                await clock.sleep_ms(100)
        return {state.state for state in group.results}

    assert run_virtual(main) == {JobState.DONE}


def test_delay_counts_the_time_for_which_results_hold_memory():
    """Load: requests that release their results late, beside short calls.

    Guards against an estimate from calls alone: requests were admitted that could be in
    time by it, and then waited for memory for seconds.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        for number in range(4):
            state = await harness.send(f"r{number}", 3, result_bytes=300)
            await clock.sleep_ms(1_000)
            await harness.batcher.handle(FreeResults("s", state.results))
            await clock.sleep_ms(50)
        await harness.send("holder", 3, result_bytes=300)
        announced = {"reserve": True, "wait_ms": 0}
        large = await harness.send("large", 3, result_bytes=300, **announced)
        small = await harness.send("small", 3, result_bytes=1, **announced)
        return large.queue_ms, small.queue_ms

    large_ms, small_ms = run_virtual(main)
    # The results of the holder stay for a second; its calls are over.
    assert 900 < large_ms < 1_500
    assert small_ms == 0


def test_step_that_will_be_late_goes_behind_those_that_can_be_in_time():
    """Load: a step with many pieces, whose objective is first but cannot be met.

    Guards against steps that are late behind one that is late anyway.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.keep_busy()
        outcomes = {}

        async def send(name, pieces, aim_ms):
            started_ms = clock.now_ms()
            state = await harness.send(name, pieces, aim_ms=aim_ms)
            outcomes[name] = (state.state, clock.now_ms() - started_ms)

        async with curio.TaskGroup() as group:
            # By its own duration it could still be in time when the target is free.
            await group.spawn(send, "wide", 12, 800)
            for number in range(4):
                await group.spawn(send, f"small{number}", 2, 900)
        return outcomes

    outcomes = run_virtual(main)
    wide_state, wide_ms = outcomes.pop("wide")
    assert {state for state, _ in outcomes.values()} == {JobState.DONE}
    assert max(took_ms for _, took_ms in outcomes.values()) < 900
    assert wide_state == JobState.DONE
    assert 800 < wide_ms < 2_000


class Overload:
    """Requests at two targets, of which a cut leaves one after 3 s.

    First steps, whose results hold memory for a while, and more urgent ones with little
    results. Each is announced, and withdrawn if it would be late in a long queue, as
    requests are at admission.
    """

    def __init__(self, clock, seed):
        self.clock = clock
        self.random = random.Random(seed)
        capacity = attrs.evolve(CAPACITY, batch=5, item_ms=25.0, memory_bytes=2_200)
        self.harness = BatcherHarness(clock, [target(1), target(2)], capacity)
        self.outcomes = []

    async def run(self):
        tasks = []
        started_ms = self.clock.now_ms()
        while (passed_ms := self.clock.now_ms() - started_ms) < 14_000:
            if passed_ms > 3_000:
                self.harness.rows = self.harness.rows[:1]
            tasks.append(await curio.spawn(self._serve(f"r{len(tasks)}")))
            await self.clock.sleep_ms(int(self.random.expovariate(0.012)) + 1)
        for task in tasks:
            await task.join()

    async def _serve(self, name):
        pieces, aim_ms = self.random.choice([1, 1, 2, 2, 3, 4, 6]), 900
        options = {"result_bytes": 300, "remaining_ms": 3_500, "urgency": 2}
        if self.random.random() < 1 / 3:
            pieces, aim_ms = 1, 1_400
            options = {"result_bytes": 1, "remaining_ms": 7_000, "urgency": 0}
        options |= {"aim_ms": aim_ms, "moved_bytes": 0}
        started_ms = self.clock.now_ms()
        announced = {"reserve": True, "wait_ms": 0, **options}
        state = await self.harness.send(name, pieces, **announced)
        own_ms = self.harness.client.capacity.duration_ms(pieces)
        if state.queue_ms > 300 and state.queue_ms + own_ms > aim_ms:
            await self.harness.batcher.handle(CancelPieces(name, "s", 1))
            return
        if state.state == JobState.PENDING:
            state = await self.harness.send(name, pieces, **options)
        took_ms = self.clock.now_ms() - started_ms
        self.outcomes.append((state.state, took_ms, took_ms <= aim_ms))
        if state.state == JobState.DONE:
            await self.clock.sleep_ms(800)
            await self.harness.batcher.handle(FreeResults("s", state.results))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_on_one_side_of_a_cut_holds_few_steps_that_are_refused(seed):
    """Load: a cut leaves one of two targets, at twice what that can do.

    Guards against late steps that are held for seconds behind all that arrive
    meanwhile, until no time is left: at least one admitted request in six.
    """

    async def main(clock):
        overload = Overload(clock, seed)
        await overload.run()
        return overload.outcomes

    outcomes = run_virtual(main)
    refused = [took_ms for state, took_ms, _ in outcomes if state == JobState.REFUSED]
    held = [took_ms for took_ms in refused if took_ms > 1_000]
    assert len(held) < 0.06 * len(outcomes)
    assert sum(in_time for _, _, in_time in outcomes) > 0.55 * len(outcomes)
