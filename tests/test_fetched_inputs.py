"""Tests of pieces whose inputs were released when they were fetched.

In virtual time. The first line of a test names the load that provokes the failure.
"""

import curio
import pytest

from tests.test_stage_pool import BatcherHarness
from wagtailrun.exceptions import TargetFailed
from wagtailrun.stages import JobState, PieceOutcome
from wagtailrun.stages.fetched_inputs import INPUT_FETCH_MS
from wagtailrun.virtual_time import run_virtual


@pytest.mark.parametrize("fault", ["piece", "call"])
def test_piece_whose_inputs_were_released_is_not_queued_again(fault):
    """Load: a piece that fails after its inputs were fetched, at a busy target.

    Guards against a call that can only find the inputs gone: the request, whose stages
    have to run again, waited for it, and it took the place of other pieces.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        located = {"input_services": ("first",), "input_addresses": ("10.0.0.9:80",)}
        request = harness.message(
            "r", 2, has_inputs=True, inputs=("ha",), **located, aim_ms=9_000
        )
        task = await curio.spawn(harness.batcher.handle, request)
        await clock.sleep_ms(INPUT_FETCH_MS + 10)
        await curio.spawn(harness.batcher.handle, harness.message("other", 4))
        if fault == "piece":
            harness.client.outcomes = [PieceOutcome.DONE, PieceOutcome.ERROR]
        else:
            harness.client.fail_at_end = TargetFailed("reset")
        state = await task.join()
        ended_ms = clock.now_ms()
        await clock.sleep_ms(2_000)
        calls = harness.client.calls
        return state, ended_ms, [i for _, _, items in calls for i in items]

    state, ended_ms, items = run_virtual(main)
    assert state.state == JobState.GONE
    # The end of the call of two pieces.
    assert ended_ms == 210
    assert [item.piece for item in items if item.request_id == "r"] == [0, 1]
