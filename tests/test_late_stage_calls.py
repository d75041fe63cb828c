"""Tests of stage calls during which the process of their owner stood still."""

import curio
import pytest

from tests.test_stage_pool import CAPACITY, BatcherHarness, FakeStages
from wagtailrun.process.loop_watch import MIN_LATE_MS, TICK_MS, LoopWatch
from wagtailrun.virtual_time import VirtualClock, run_virtual

CALL_MS = int(CAPACITY.duration_ms(1))


class HeldStages(FakeStages):
    """Targets whose answers are read late, as the process of the owner stands still."""

    held_ms = 0

    async def run(self, target, items, timeout_ms, watch):
        replies = await super().run(target, items, timeout_ms, watch)
        # The answer has arrived before the process goes on.
        self.clock.seconds += self.held_ms / 1_000
        return replies


class SlowStages(FakeStages):
    """Targets that take longer than configured."""

    extra_ms = 0

    async def run(self, target, items, timeout_ms, watch):
        watch.record_sent(None)
        await self.clock.sleep_ms(self.extra_ms)
        return await super().run(target, items, timeout_ms)


def queue_after(stages, calls=3):
    """Return the queueing delay at a busy target after some calls."""
    clock = VirtualClock()

    async def main(clock):
        watch = LoopWatch(clock)
        await curio.spawn(watch.run, daemon=True)
        harness = BatcherHarness(clock)
        harness.client = harness.batcher.client = stages(clock)
        harness.batcher.was_held_since = watch.was_held_since
        for number in range(calls):
            await harness.send(f"r{number}")
            await clock.sleep_ms(2 * TICK_MS)
        await harness.keep_busy()
        state = await harness.send("next", reserve=True)
        return state.queue_ms

    return run_virtual(main, clock=clock)


@pytest.mark.parametrize("held_ms", [MIN_LATE_MS + TICK_MS, 500, 700])
def test_owner_that_stood_still_takes_no_target_for_slow(held_ms):
    """Guards against requests that are refused as late though the target is idle.

    An owner that stood still for 0.7 s twice expected 1,455 ms in the queue of a target
    whose calls took 53 ms.
    """

    def stages(clock):
        client = HeldStages(clock)
        client.held_ms = held_ms
        return client

    assert queue_after(stages) == queue_after(FakeStages)


def test_target_that_is_slow_counts_as_slow():
    """Guards against a slow target whose time passes for that of the owner."""

    def stages(clock):
        client = SlowStages(clock)
        client.extra_ms = 3 * CALL_MS
        return client

    assert queue_after(stages) > 2 * queue_after(FakeStages)
