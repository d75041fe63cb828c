"""Tests of pieces whose inputs were released when they were fetched.

In virtual time. The first line of a test names the load that provokes the failure.
"""

import curio
import pytest

from tests.test_stage_pool import BatcherHarness
from wagtailrun.exceptions import TargetFailed, TargetPaused, Verdict
from wagtailrun.stages import JobState, PieceOutcome
from wagtailrun.stages.fetched_inputs import INPUT_FETCH_MS
from wagtailrun.virtual_time import run_virtual

# Inputs of a step at targets with 1,000 bytes, which the owner releases.
INPUTS = {
    "has_inputs": True,
    "inputs": ("ha",),
    "input_services": ("first",),
    "input_addresses": ("10.0.0.9:80",),
}
SMALL, LARGE = 100, 101


@pytest.mark.parametrize("fault", ["piece", "call"])
def test_piece_whose_inputs_were_released_is_not_queued_again(fault):
    """Load: a piece that fails after its inputs were fetched, at a busy target.

    Guards against a call that can only find the inputs gone: the request, whose stages
    have to run again, waited for it, and it took the place of other pieces.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        request = harness.message("r", 2, **INPUTS, moved_bytes=LARGE, aim_ms=9_000)
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


def test_piece_with_small_inputs_runs_again_after_a_failure():
    """Load: one piece of a call fails, at targets with room for its inputs.

    Guards against a failed piece for which all stages of its request run again.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        harness.client.outcomes = [PieceOutcome.DONE, PieceOutcome.ERROR]
        state = await harness.send("r", 2, **INPUTS, moved_bytes=SMALL)
        await clock.sleep_ms(10)
        released_ms = [at_ms for at_ms, _ in harness.released_elsewhere]
        return state.state, released_ms, [at_ms for at_ms, _, _ in harness.client.calls]

    state, released_ms, calls_ms = run_virtual(main)
    assert state == JobState.DONE
    assert calls_ms == [0, 210]
    # Once, at the end of the call that ran the piece again.
    assert released_ms == [390]


@pytest.mark.parametrize(
    ("inputs", "moved_bytes", "released_ms"),
    [
        (1, SMALL, 210),
        (1, LARGE, INPUT_FETCH_MS),
        (3, 3 * SMALL, 210),
        (3, 3 * SMALL + 1, INPUT_FETCH_MS),
        (8, 500, 210),
        (8, 501, INPUT_FETCH_MS),
    ],
)
def test_large_inputs_are_released_once_there_was_time_to_fetch_them(
    inputs, moved_bytes, released_ms
):
    """Load: results that occupy the memory which earlier steps wait for.

    Guards against large inputs that stay until the end of the call, and small ones that
    are released before a piece can fail.
    """
    located = {
        "has_inputs": True,
        "inputs": tuple(f"h{number}" for number in range(inputs)),
        "input_services": ("first",) * inputs,
        "input_addresses": ("10.0.0.9:80",) * inputs,
    }

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.send("r", 2, **located, moved_bytes=moved_bytes)
        await clock.sleep_ms(10)
        return [at_ms for at_ms, _ in harness.released_elsewhere]

    assert run_virtual(main) == [released_ms]


def test_failed_pieces_keep_the_inputs_until_they_are_fetched_again():
    """Load: a step of two calls, of which the first fails at its end.

    Guards against inputs that the second call releases while the pieces of the first
    one wait for another call.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        harness.client.fail_at_end = TargetFailed("reset")
        limits = {"aim_ms": 9_000, "remaining_ms": 9_000}
        state = await harness.send("r", 8, **INPUTS, moved_bytes=LARGE, **limits)
        calls = [
            (at_ms, [item.piece for item in items])
            for at_ms, _, items in harness.client.calls
        ]
        return state.state, calls, [at_ms for at_ms, _ in harness.released_elsewhere]

    state, calls, released_ms = run_virtual(main)
    assert state == JobState.DONE
    assert [pieces for _, pieces in calls] == [[0, 1, 2, 3], [4, 5, 6, 7], [0, 1, 2, 3]]
    assert released_ms == [calls[-1][0] + INPUT_FETCH_MS]


@pytest.mark.parametrize(
    "failure",
    [
        TargetPaused("the bound is used up", 300),
        TargetFailed("no connection", verdict=Verdict.NOT_RUN),
    ],
    ids=["denied", "no connection"],
)
def test_inputs_stay_until_their_call_is_sent(failure):
    """Load: a call that waits 150 ms for a permit or a connection, and gets none.

    Guards against inputs that are released although no target has fetched them.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        send, failures = harness.client.run, [failure]

        async def run(*arguments):
            if failures:
                await clock.sleep_ms(150)
                raise failures.pop()
            return await send(*arguments)

        harness.client.run = run
        limits = {"aim_ms": 9_000, "remaining_ms": 9_000}
        state = await harness.send("r", 2, **INPUTS, moved_bytes=LARGE, **limits)
        sent_ms = [at_ms for at_ms, _, _ in harness.client.calls]
        return state.state, sent_ms, [ms for ms, _ in harness.released_elsewhere]

    state, sent_ms, released_ms = run_virtual(main)
    assert state == JobState.DONE
    assert released_ms == [sent_ms[0] + INPUT_FETCH_MS]
