"""Tests of the retry budget of stage calls that run side by side, in virtual time."""

import curio
import pytest

from tests.test_overdue_stage_calls import (
    LIMIT_MS,
    REQUEST_MS,
    SILENT_MS,
    StalledStages,
)
from tests.test_stage_pool import BatcherHarness, target
from wagtailrun.stages import JobState
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.virtual_time import run_virtual


def run_beside(stalls_ms, tokens, pieces=1):
    """Run one request at each of some targets at the same time.

    Args:
        stalls_ms: Additional time of the first call to each target.
        tokens: Tokens of the retry budget.
        pieces: Pieces of each request.

    Returns:
        The states of the requests, the number of pieces that were sent, and the tokens
        that are left.
    """

    async def main(clock):
        rows = [target(number + 1) for number in range(len(stalls_ms))]
        harness = BatcherHarness(clock, rows=rows)
        client = StalledStages(clock, stalls_ms)
        harness.client = harness.batcher.client = client
        harness.batcher.budget = RetryBudget(0.0, tokens)
        tasks = []
        for number in range(len(rows)):
            message = harness.message(
                f"r{number}", pieces=pieces, remaining_ms=REQUEST_MS
            )
            tasks.append(await curio.spawn(harness.batcher.handle, message))
            # Each request gets a call of its own.
            await clock.sleep_ms(10)
        states = [(await task.join()).state for task in tasks]
        sent = sum(len(items) for _, _, items in client.calls)
        return states, sent, harness.batcher.budget.tokens_by_service["s"]

    return run_virtual(main)


@pytest.mark.parametrize(("calls", "tokens"), [(2, 1.0), (3, 1.0), (3, 2.0)])
def test_calls_that_run_side_by_side_do_not_share_a_retry(calls, tokens):
    """Guards against a request that is refused 4 s early, as another took its retry.

    Each of the calls was given up when it was overdue, as one retry was left.
    """
    states, sent, left = run_beside([LIMIT_MS + 500] * calls, tokens)
    assert states == [JobState.DONE] * calls
    assert sent <= calls + tokens
    assert left == 0


@pytest.mark.parametrize("tokens", [0.0, 1.0, 2.0, 3.0])
@pytest.mark.parametrize("stall_ms", [SILENT_MS, LIMIT_MS + 500])
def test_retries_never_exceed_the_budget(stall_ms, tokens):
    """Guards against more retries than the operator allows."""
    _, sent, left = run_beside([stall_ms] * 4, tokens)
    assert sent <= 4 + tokens
    assert left >= 0


def test_calls_without_a_failure_use_up_no_retries():
    """Guards against a budget that is empty, or claimed, after sound calls."""

    async def main(clock):
        harness = BatcherHarness(clock)
        for number in range(3):
            await harness.send(f"r{number}", pieces=2)
        budget = harness.batcher.budget
        return budget.tokens_by_service["s"], budget.claim("s", 5)

    assert run_virtual(main) == (5.0, True)


def test_claimed_retries_are_there_for_what_fails_first():
    """Guards against refusals beside a budget that sound calls only count on."""
    budget = RetryBudget(0.0, 2.0)
    assert budget.claim("s", 2)
    assert not budget.claim("s", 1)
    assert budget.spend("s")
    budget.unclaim("s", 2)
    assert budget.claim("s", 1)
    assert not budget.claim("s", 1)
