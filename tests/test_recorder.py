"""Tests that attempts are recorded under the right kind of work."""

from collections import Counter
from contextlib import aclosing

import pytest

from tests.fake_targets import FakeTargets
from tests.test_caller_api import FLEET, make_recorder
from wagtailrun.exceptions import Refusal
from wagtailrun.ports.link import Address
from wagtailrun.serving.dispatch import Dispatcher
from wagtailrun.targets.routing import LeastLoadedRouter
from wagtailrun.targets.table import Membership, TargetRow
from wagtailrun.targets.work import Work
from wagtailrun.virtual_time import run_virtual


def recorded(targets_count=3, **faults):
    """Run one stream.

    Returns:
        Sums by kind of work and measure, whether the stream was refused, and the
        number of attempts.
    """

    async def main(clock):
        targets = FakeTargets(clock, **faults)
        membership = Membership()
        for number in range(targets_count):
            address = Address("127.0.0.1", 1 + number)
            row = TargetRow(f"t-{number}", address, "engines", "east", 8)
            membership.put(row, clock.now_ms())
        recorder = make_recorder(clock, FLEET)
        router = LeastLoadedRouter()
        dispatcher = Dispatcher(
            clock, membership, targets, router, observer=recorder, seed=1
        )
        body = b'{"input": {"prompt": "a"}}'
        work = Work("engines", "/g", body, "r", "stockists", 8_000, stage="generate")
        async with aclosing(dispatcher.stream(work)) as stream:
            items = [item async for item in stream]
        sums = Counter()
        for _, column, value in recorder.accounts.table.cells():
            sums[column.kind, column.measure] += value
        return sums, isinstance(items[-1], Refusal), len(targets.attempts)

    return run_virtual(main)


def test_whole_stream_is_first_work():
    """Guards against tokens that are counted twice or not at all."""
    sums, refused, _ = recorded()
    assert not refused
    assert sums["first", "calls"] == 1
    assert sums["first", "tokens-out"] == 10
    # The fleet configuration charges 6 millionths for each output token of an engine.
    assert sums["first", "price-millionths"] == 60


def test_tokens_of_a_moved_stream_are_booked_once():
    """Guards against counting delivered tokens of a resumed stream as wasted."""
    sums, refused, attempts = recorded(cut_after=4)
    assert not refused and attempts == 3
    assert (sums["first", "calls"], sums["retry", "calls"]) == (1, 2)
    assert sums["first", "tokens-out"] + sums["retry", "tokens-out"] == 10
    assert sums["wasted", "calls"] == 0


@pytest.mark.parametrize(("fault", "calls"), [("failure", 1), ("refused", 0)])
def test_only_attempts_that_were_sent_are_wasted(fault, calls):
    """Guards against wasted calls that no target has received."""
    sums, refused, attempts = recorded(**{fault: 1.0})
    assert refused
    assert sums["wasted", "calls"] == attempts
    assert (sums["wasted", "calls"] > 0) == bool(calls)
