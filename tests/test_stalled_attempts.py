"""Tests of attempts that get no answer, where little is known or may be spent."""

import attrs
import curio
import pytest

from tests.test_dispatch import GENERATE, POOL, DispatcherHarness
from wagtailrun.exceptions import Refusal
from wagtailrun.targets.estimates import Estimates
from wagtailrun.virtual_time import VirtualClock, run_virtual

CALL = attrs.evolve(GENERATE, path="/v1/calls/look-up", stage="")


def call_while(fault, *, forget_estimates=True, tokens=20.0):
    """Run a call and a fault of its target; return the answer and when it came.

    Args:
        fault: Is called with the harness and the name of the target that runs the call.
        forget_estimates: Whether the dispatcher has seen no call before.
        tokens: Retry budget.
    """

    async def main(clock):
        harness = DispatcherHarness(clock)
        dispatcher = await harness.start(POOL)
        # Nobody announces the targets in this test.
        dispatcher.membership.unconfirmed = True
        dispatcher.options = attrs.evolve(dispatcher.options, hedges=False)
        dispatcher.budget.tokens_by_service["t"] = tokens
        if forget_estimates:
            dispatcher.estimates.stages_by_key.clear()
        task = await curio.spawn(dispatcher.call, harness.work(CALL))
        await clock.sleep_ms(5)
        (target,) = harness.targets_running()
        await fault(harness, target.row.name)
        answer = await task.join()
        return answer, clock.now_ms(), dispatcher.counts

    return run_virtual(main)


async def vanish(harness, name):
    await harness.emulator.vanish(name)


def test_first_call_of_a_kind_leaves_a_target_that_is_lost():
    """Guards against calls that are held to their deadline for lack of an estimate."""
    answer, ended_ms, counts = call_while(vanish)
    assert not isinstance(answer, Refusal)
    assert ended_ms < 2_500
    assert counts["retry"] == 1


def test_first_call_of_a_kind_may_take_long():
    """Guards against a call that is given up, though its target answers probes."""

    async def main(clock):
        harness = DispatcherHarness(clock)
        dispatcher = await harness.start(attrs.evolve(POOL, service_ms=6_000.0))
        dispatcher.estimates.stages_by_key.clear()
        answer = await dispatcher.call(harness.work(CALL))
        return answer, harness.client.attempts

    answer, attempts = run_virtual(main)
    assert not isinstance(answer, Refusal)
    assert attempts == 1


def test_estimate_of_a_minute_counts_where_calls_are_rare():
    """Guards against calls that are not watched as the last seconds had too few."""
    clock = VirtualClock()
    estimates = Estimates(clock)
    for _ in range(20):
        estimates.record("s", "x", (1, 0), 60, 100)
    clock.seconds += 30
    assert estimates.first_ms("s", "x", (1, 0), percent=95) is None
    assert estimates.longest_first_ms("s", "x", (1, 0)) == pytest.approx(60, abs=1)
    estimates.record("s", "x", (1, 0), 500, 500)
    assert estimates.longest_first_ms("s", "x", (1, 0)) == pytest.approx(60, abs=1)
    assert estimates.longest_first_ms("s", "y", (1, 0)) is None


def test_call_without_budget_ends_when_its_target_is_known_to_be_lost():
    """Guards against calls that are held for an answer that cannot come."""

    async def lose(harness, name):
        await harness.emulator.vanish(name)
        row = harness.emulator.targets_by_name[name].row
        dispatcher = harness.dispatcher
        dispatcher.router.mark_unreachable(row)
        await dispatcher.context.prober.start()

    answer, ended_ms, _ = call_while(lose, forget_estimates=False, tokens=0.0)
    assert isinstance(answer, Refusal)
    assert ended_ms < 3_000


def test_call_moves_once_there_is_budget_again():
    """Guards against calls that are looked at once only, when the budget is empty."""

    async def lose(harness, name):
        await harness.emulator.vanish(name)
        await harness.clock.sleep_ms(1_500)
        harness.dispatcher.budget.tokens_by_service["t"] = 2.0

    answer, ended_ms, counts = call_while(lose, forget_estimates=False, tokens=0.0)
    assert not isinstance(answer, Refusal)
    assert ended_ms < 4_000
    assert counts["retry"] == 1
