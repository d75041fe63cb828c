"""Tests of the results that a restart of all entries leaves at stages, in virtual time.

The first line of a test names the load that provokes the failure.
"""

import curio
import pytest

from tests.test_stage_memory import FullStages
from tests.test_stage_pool import BatcherHarness, target
from wagtailrun.gossip.incarnations import new_incarnation
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.routes import StageCapacity
from wagtailrun.stages import CancelPieces, EntryStarts, FreeResults, JobState
from wagtailrun.virtual_time import run_virtual

CAPACITY = StageCapacity(
    slots=1,
    batch=7,
    call_ms=150.0,
    item_ms=18.0,
    memory_bytes=1_300_000,
    result_ms=4_000,
)
RESULT_BYTES = 60_000
PLACES = CAPACITY.memory_bytes // RESULT_BYTES
PIECES = 6
# All entries start at 0; those before them ended some time earlier.
FIRST_REQUEST_MS = 700
EXPIRY_MS = 3_300
# Requests arrive at this interval: about as many as the targets can serve.
INTERVAL_MS = 130
LOAD_ENDS_MS = 7_000
# From the arrival of a request: its earlier step, and the objective of this one.
EARLIER_STEP_MS = 250
AIM_MS = 1_500
REMAINING_MS = 8_000
# How long its results are used.
USE_MS = 450


async def request(clock, harness, name, ends):
    """Admit or refuse a request by the delay of its announced step, then run it."""
    arrived_ms = clock.now_ms()
    options = {"result_bytes": RESULT_BYTES, "has_inputs": True}

    async def send(**more):
        spent_ms = clock.now_ms() - arrived_ms
        return await harness.send(
            name,
            PIECES,
            aim_ms=AIM_MS - spent_ms,
            remaining_ms=REMAINING_MS - spent_ms,
            **options,
            **more,
        )

    state = await send(reserve=True, wait_ms=0, announcement=1)
    own_ms = CAPACITY.duration_ms(PIECES)
    if state.state != JobState.PENDING or state.queue_ms + own_ms > AIM_MS:
        await harness.batcher.handle(CancelPieces(name, "s", 1))
        ends.append((arrived_ms, "refused", state.queue_ms))
        return
    await clock.sleep_ms(EARLIER_STEP_MS)
    state = await send()
    took_ms = clock.now_ms() - arrived_ms
    if state.state != JobState.DONE:
        ends.append((arrived_ms, "held, then refused", took_ms))
        return
    ends.append((arrived_ms, "in time" if took_ms <= AIM_MS else "late", took_ms))
    await clock.sleep_ms(USE_MS)
    await harness.batcher.handle(FreeResults("s", state.results))


def serve(lost, first_start_ms=0):
    """Return when requests arrived, how they ended, and after how long."""

    async def main(clock):
        begun_ms = clock.now_ms()
        harness = BatcherHarness(
            clock,
            [target(1), target(2)],
            CAPACITY,
            first_start_ms=lambda: begun_ms + first_start_ms,
        )
        harness.client = harness.batcher.client = FullStages(
            clock, lost, begun_ms + EXPIRY_MS, CAPACITY, RESULT_BYTES
        )
        ends, tasks = [], []
        await clock.sleep_ms(FIRST_REQUEST_MS)
        while clock.now_ms() < begun_ms + LOAD_ENDS_MS:
            step = request(clock, harness, f"r{len(tasks)}", ends)
            tasks.append(await curio.spawn(step))
            await clock.sleep_ms(INTERVAL_MS)
        for task in tasks:
            await task.join()
        return [(at_ms - begun_ms, end, ms) for at_ms, end, ms in ends]

    return run_virtual(main)


def share(ends, end, from_ms=0, until_ms=LOAD_ENDS_MS):
    """Return the share of the requests of a time that ended in some way."""
    found = [name for at_ms, name, _ in ends if from_ms <= at_ms < until_ms]
    return found.count(end) / len(found)


@pytest.mark.parametrize("lost", [10, 12, 15, 18])
def test_requests_that_lost_results_would_delay_are_refused_at_once(lost):
    """Load: as much as the targets can serve, after all entries lost power.

    Guards against requests that are admitted although the results of before, which
    nobody can release, occupy the memory of the targets. They were late, and so was
    every request behind them, long after those results had expired.
    """
    ends = serve(lost)
    # A step that has begun beside another one may be refused so that one of them ends.
    assert share(ends, "held, then refused") < 0.05
    assert share(ends, "late") < 0.03
    assert share(ends, "in time", 2_400, 4_400) > 0.7
    # Callers are told to come back when there will be memory.
    for at_ms, end, queue_ms in ends:
        if end == "refused" and at_ms < 1_500:
            assert EXPIRY_MS - at_ms <= queue_ms + 700


@pytest.mark.parametrize("lost", [0, 4])
def test_targets_with_room_soon_serve_all_requests_after_a_restart(lost):
    """Load: as much as the targets can serve, after a restart that left few results.

    Guards against requests that are refused until the results of before would have
    expired, though the first calls have shown that there are few.
    """
    ends = serve(lost)
    assert share(ends, "in time", 0, 1_400) > 0.6
    assert share(ends, "in time", 1_400) > 0.95


def test_entries_of_before_release_their_results():
    """Load: as much as the targets can serve, as one entry of several restarts.

    Guards against refusals for results that running entries release.
    """
    ends = serve(0, first_start_ms=-60_000)
    assert share(ends, "in time") == 1.0


@pytest.mark.parametrize(
    ("ages_ms", "expected_ms"),
    [
        # All have started lately, this one last.
        ([300, 0], -300),
        # One has run for a minute.
        ([60_000, 0], -60_000),
        # The wall clock of the other one is ahead.
        ([-5_000, 0], 0),
        # This one stood still for long, and its row is renewed.
        ([-30_000, -30_000], 0),
    ],
)
def test_first_start_is_that_of_the_entry_that_runs_longest(ages_ms, expected_ms):
    """Guards against results that count as lost although an entry can release them."""

    async def main(clock):
        started_ms = clock.now_ms()
        rows = [
            EntryRow(
                f"e{number}",
                Address("10.0.0.1", number + 1),
                "a",
                new_incarnation(clock.wall_ms() - age_ms),
            )
            for number, age_ms in enumerate(ages_ms)
        ]
        starts = EntryStarts(clock, lambda: rows)
        await clock.sleep_ms(20_000)
        return starts.first_ms() - started_ms

    assert run_virtual(main) == expected_ms
