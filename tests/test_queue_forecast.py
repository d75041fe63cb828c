"""Tests of stage pieces that cannot be in time any more, in virtual time."""

import curio

from tests.test_stage_pool import BatcherHarness, target
from wagtailrun.exceptions import ConnectFailed
from wagtailrun.stages import FreeResults, JobState
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
