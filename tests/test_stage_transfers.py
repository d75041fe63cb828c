"""Tests of what stage steps move between data centres, in virtual time."""

import attrs
import curio
import pytest

from tests.test_stage_pool import CAPACITY, BatcherHarness, target
from wagtailrun.stages.job import REMOTE_COST_MS_PER_MB, Job
from wagtailrun.stages.runner import StagedWork, StageStep
from wagtailrun.virtual_time import run_virtual

RESULT_BYTES = 3_000_000
INPUT_BYTES = 360_000
ROOMY = attrs.evolve(CAPACITY, batch=4, memory_bytes=100 * RESULT_BYTES)


def places(calls, name):
    """Return the targets that ran pieces of a request."""
    return {
        target_name
        for _, target_name, items in calls
        if any(item.request_id == name for item in items)
    }


@pytest.mark.parametrize("memory", [100, 5])
def test_rest_of_a_step_stays_in_its_data_centre_while_there_is_memory(memory):
    """Load: a step with more pieces than a call, while another target is idle.

    Guards against results of megabytes that cross data centres though the step has
    time: its last pieces went elsewhere after 150 ms. Where other steps wait for the
    memory of its results, they still do.
    """

    async def main(clock):
        capacity = attrs.evolve(ROOMY, memory_bytes=memory * RESULT_BYTES)
        rows = [target(1, "a"), target(2, "b")]
        harness = BatcherHarness(clock, rows, capacity)
        large = harness.message("r", pieces=7, result_bytes=RESULT_BYTES, aim_ms=4_000)
        others = [
            harness.message(f"o{n}", pieces=2, result_bytes=RESULT_BYTES, aim_ms=4_000)
            for n in range(3)
        ]
        async with curio.TaskGroup() as group:
            await group.spawn(harness.batcher.handle, large)
            await clock.sleep_ms(20)
            for other in others:
                await group.spawn(harness.batcher.handle, other)
            await clock.sleep_ms(1_500)
            await group.cancel_remaining()
        return places(harness.client.calls, "r")

    used = run_virtual(main)
    assert used == ({"t1"} if memory == 100 else {"t1", "t2"})


def test_step_that_would_be_late_goes_on_elsewhere():
    """Guards against pieces that wait for their data centre until they are late."""

    async def main(clock):
        rows = [target(1, "a"), target(2, "b")]
        harness = BatcherHarness(clock, rows, ROOMY)
        message = harness.message("r", pieces=8, result_bytes=RESULT_BYTES, aim_ms=400)
        await harness.batcher.handle(message)
        return places(harness.client.calls, "r")

    assert run_virtual(main) == {"t1", "t2"}


@pytest.mark.parametrize(("pieces", "joins"), [(1, True), (8, False)])
def test_step_with_large_inputs_fills_no_call_elsewhere(pieces, joins):
    """Load: calls that start elsewhere and are not full, beside a busy data centre.

    Guards against inputs that count once for a step, though each piece fetches them.
    """

    async def main(clock):
        rows = [target(1, "a"), target(2, "b")]
        capacity = attrs.evolve(ROOMY, batch=16)
        harness = BatcherHarness(clock, rows, capacity)
        located = {"has_inputs": True, "inputs": ("10.0.0.2:80/1",), "aim_ms": 4_000}
        step = harness.message(
            "r",
            pieces,
            data_centre="b",
            moved_bytes=INPUT_BYTES,
            input_bytes=INPUT_BYTES,
            **located,
        )
        async with curio.TaskGroup() as group:
            for message in (
                harness.message("a0", 16),
                harness.message("b0", 16, data_centre="b"),
            ):
                await group.spawn(harness.batcher.handle, message)
            await clock.sleep_ms(10)
            await group.spawn(harness.batcher.handle, step)
            await clock.sleep_ms(2)
            # The target of the other data centre is free first, with a call to start.
            harness.batcher.pools_by_service["s"].target_states_by_name[
                "t2"
            ].busy_until_ms += 300
            await group.spawn(harness.batcher.handle, harness.message("a1", 2))
        return places(harness.client.calls, "r")

    assert ("t1" in run_virtual(main)) == joins


def test_inputs_count_for_each_piece_that_waits():
    """Guards against a cost that does not grow with the pieces."""
    steps = (
        StageStep("first", (), 60_000),
        StageStep("second", (0,), 6_000),
    )
    work = StagedWork("r", steps, (6, 16), "k", 0, 0, 0)
    assert work.input_bytes(1) == 360_000
    assert work.input_bytes(0) == 0
    assert work.moved_bytes(1) == 360_000 + 16 * 6_000

    async def main(clock):
        harness = BatcherHarness(clock)
        message = harness.message("r", 16, moved_bytes=456_000, input_bytes=360_000)
        job = Job(message, 0, 0, 0, waiting=list(message.pieces))
        whole_ms = job.transfer_cost_ms
        job.waiting = [15]
        return whole_ms, job.transfer_cost_ms

    whole_ms, last_ms = run_virtual(main)
    assert whole_ms == pytest.approx(5.856 * REMOTE_COST_MS_PER_MB)
    assert last_ms == pytest.approx(0.456 * REMOTE_COST_MS_PER_MB)
