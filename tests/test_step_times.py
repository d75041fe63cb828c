"""Tests of where the time of steps at the owner of their service goes.

In virtual time. The first line of a test names the load.
"""

import json

import attrs
import curio
import pytest

from tests.test_stage_handover import OWNER, run_load
from tests.test_stage_pool import CAPACITY, BatcherHarness, target
from wagtailrun.exceptions import ConnectFailed
from wagtailrun.logs.events import EVENT_LOG
from wagtailrun.logs.step_fields import DURATION_NAMES
from wagtailrun.stages import CancelPieces, FreeResults, JobState, PieceOutcome
from wagtailrun.stages.step_times import Phase
from wagtailrun.virtual_time import run_virtual

ABANDONED, ENDED, CALL = 711, 727, 710
# The aim of a step that is late whenever it is done, so that it has a line.
LATE = 1


@pytest.fixture
def lines(monkeypatch):
    """Return the log lines of the process, none of which is suppressed."""
    texts, seconds = [], iter(range(1_000_000))
    monkeypatch.setattr(EVENT_LOG, "put_line", texts.append)
    monkeypatch.setattr(EVENT_LOG, "now_s", lambda: next(seconds))
    monkeypatch.setattr(EVENT_LOG, "windows_by_number", {})
    monkeypatch.setattr(EVENT_LOG, "suppressed_by_number", {})

    class Lines:
        def of(self, *numbers):
            values = map(json.loads, texts)
            return [value for value in values if value["event"] in numbers]

        def step(self, request_id):
            (line,) = [
                value
                for value in self.of(ABANDONED, ENDED)
                if value["request_id"] == request_id
            ]
            return line

    return Lines()


def parts(line):
    """Return the durations of a line by name, without those of no time."""
    return {name: line[name] for name in DURATION_NAMES if name in line}


def assert_adds_up(line):
    assert sum(parts(line).values()) == line["total_ms"], line


def test_phases_have_the_names_of_the_fields():
    """Guards against durations that appear under the name of another phase."""
    assert tuple(f"{phase.name.lower()}_ms" for phase in Phase) == DURATION_NAMES


def test_step_that_waits_behind_others_counts_the_calls_before_it(lines):
    """Load: one target in a call of 270 ms.

    Guards against a wait in the queue that no line names.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.keep_busy()
        await harness.send("r", aim_ms=LATE)

    run_virtual(main)
    line = lines.step("r")
    assert parts(line) == {"queued_ms": 260, "calls_ms": 180}
    assert (line["state"], line["calls"], line["fill"]) == ("done", 1, 0.25)
    assert_adds_up(line)


def test_announced_step_counts_the_time_of_its_inputs(lines):
    """Load: a step that is announced 500 ms before it may run.

    Guards against time of earlier steps that counts as a queue.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.send("r", reserve=True)
        await clock.sleep_ms(500)
        await harness.send("r", aim_ms=LATE)

    run_virtual(main)
    assert parts(lines.step("r")) == {"inputs_ms": 500, "calls_ms": 180}
    assert_adds_up(lines.step("r"))


def test_step_without_memory_counts_it_until_results_are_released(lines):
    """Load: results that fill the target, and are released after 700 ms.

    Guards against waits for memory that look like a queue.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        state = await harness.send("first", pieces=4, result_bytes=200)
        task = await curio.spawn(
            harness.batcher.handle,
            harness.message("r", pieces=2, result_bytes=200, aim_ms=LATE),
        )
        await clock.sleep_ms(700)
        await harness.batcher.handle(FreeResults("s", state.results))
        await task.join()

    run_virtual(main)
    line = lines.step("r")
    assert 700 <= line["memory_ms"] <= 720
    assert set(parts(line)) == {"memory_ms", "calls_ms"}
    assert_adds_up(line)


def test_step_that_may_not_leave_its_data_centre_counts_the_wait_for_it(lines):
    """Load: results that are costly to move, and a free target elsewhere.

    Guards against an unused target that no line names.
    """

    async def main(clock):
        rows = [target(1), target(2, "b")]
        harness = BatcherHarness(clock, rows)
        await harness.keep_busy()
        await harness.send("r", aim_ms=LATE, moved_bytes=10_000_000)

    run_virtual(main)
    line = lines.step("r")
    assert parts(line) == {"remote_ms": 260, "calls_ms": 180}
    assert_adds_up(line)


def test_step_counts_the_pause_of_the_only_target(lines):
    """Load: a target that refuses connections for a while.

    Guards against the time of an unusable target that looks like a queue.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        fault = ConnectFailed("refused")
        harness.client.faults_by_name["t1"] = fault
        task = await curio.spawn(
            harness.batcher.handle, harness.message("r", aim_ms=LATE)
        )
        await clock.sleep_ms(400)
        harness.client.faults_by_name.clear()
        await task.join()

    run_virtual(main)
    line = lines.step("r")
    assert line["paused_ms"] >= 400
    assert line["calls"] >= 2
    assert set(parts(line)) <= {"paused_ms", "calls_ms"}
    assert_adds_up(line)


def test_step_whose_pieces_need_two_calls_waits_until_the_last_one_begins(lines):
    """Load: six pieces, four in a call.

    Guards against the wait of the last pieces that counts as a call.
    """

    async def main(clock):
        await BatcherHarness(clock).send("r", pieces=6, aim_ms=LATE)

    run_virtual(main)
    line = lines.step("r")
    assert parts(line) == {"queued_ms": 270, "calls_ms": 210}
    assert (line["calls"], line["fill"]) == (2, 0.75)
    assert_adds_up(line)


def test_results_that_are_fetched_late_count_as_transfer(lines):
    """Load: an entry that polls again only 900 ms after the end of the call.

    Guards against a slow requesting entry for which the owner seems at fault.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.send("r", aim_ms=LATE, wait_ms=0)
        await clock.sleep_ms(180 + 900)
        for _ in range(2):
            assert (await harness.send("r")).state == JobState.DONE

    run_virtual(main)
    line = lines.step("r")
    assert parts(line) == {"calls_ms": 180, "transfer_ms": 900}
    assert_adds_up(line)


def test_results_that_nobody_takes_are_named(lines):
    """Load: an entry that ends during the call.

    Guards against a step that is missing as its results were never taken.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.send("r", wait_ms=0)
        await clock.sleep_ms(4_000)
        await harness.send("other")

    run_virtual(main)
    line = lines.step("r")
    assert line["state"] == "untaken"
    assert line["transfer_ms"] >= 3_000
    assert_adds_up(line)


@pytest.mark.parametrize("outcome", [PieceOutcome.GONE, PieceOutcome.LATE])
def test_abandoned_step_has_one_line_whose_times_add_up(lines, outcome):
    """Load: a target that refuses a piece at the end of its call.

    Guards against refusals whose time is not explained, or is counted twice.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.keep_busy()
        harness.client.outcomes = [PieceOutcome.DONE] * 4 + [outcome]
        await harness.send("r")

    run_virtual(main)
    line = lines.step("r")
    assert line["event"] == ABANDONED
    assert parts(line) == {"queued_ms": 260, "calls_ms": 180}
    assert_adds_up(line)


def test_cancelled_step_says_what_it_waited_for(lines):
    """Load: an announced step whose request ends before its inputs are there.

    Guards against a cancelled step without a cause of its time.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.send("r", reserve=True)
        await clock.sleep_ms(300)
        await harness.batcher.handle(CancelPieces("r", "s"))

    run_virtual(main)
    line = lines.step("r")
    assert (line["state"], line["calls"]) == ("refused", 0)
    assert parts(line) == {"inputs_ms": 300}
    assert_adds_up(line)


def test_steps_in_time_are_in_the_sums_without_lines(lines):
    """Load: a calm day.

    Guards against a log that grows by a line a step, and sums without these steps.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        for number in range(20):
            await harness.send(f"r{number}")
        return harness

    run_virtual(main)
    assert not lines.of(ABANDONED, ENDED)
    sums = [line["ended"] for line in lines.of(CALL) if "ended" in line]
    # 20 steps of 180 ms, and a line with sums a second.
    assert 3 <= len(sums) <= 4
    total_ms = sum(each["calls_ms"] for each in sums)
    assert total_ms == 180 * sum(each["steps"] for each in sums)
    assert sum(each["steps"] for each in sums) >= 15
    assert (sums[0]["batch"], sums[0]["slots"]) == (4, 1)
    # Each step ends when the next one begins, and the last call begins before the line.
    assert [each["span_ms"] for each in sums] == [180 * each["steps"] for each in sums]


def test_times_of_a_mixed_load_add_up(lines):
    """Load: bursts of steps of many sizes at four targets, of which one fails.

    Guards against time that is counted for two reasons, or for none.
    """

    async def main(clock):
        rows = [target(n, "ab"[n % 2]) for n in range(4)]
        capacity = attrs.evolve(CAPACITY, memory_bytes=400)
        harness = BatcherHarness(clock, rows, capacity)
        harness.client.faults_by_name["t3"] = ConnectFailed("refused")

        async def run(number):
            name = f"r{number}"
            options = {"pieces": 1 + number % 5, "aim_ms": LATE}
            options |= {"data_centre": "abc"[number % 3], "result_bytes": 90}
            options["moved_bytes"] = 500_000 * (number % 4)
            started_ms = clock.now_ms()
            if number % 2:
                await harness.send(name, reserve=True, **options)
                await clock.sleep_ms(number % 7 * 40)
            state = await harness.send(name, **options)
            took_ms = clock.now_ms() - started_ms
            if state.results:
                await clock.sleep_ms(100)
                await harness.batcher.handle(FreeResults("s", state.results))
            return name, took_ms

        async with curio.TaskGroup() as group:
            tasks = [await group.spawn(run, number) for number in range(60)]
        return [task.result for task in tasks]

    took = run_virtual(main)
    for name, took_ms in took:
        line = lines.step(name)
        assert_adds_up(line)
        # The reply to the request follows at once.
        assert 0 <= took_ms - line["total_ms"] <= 1, line
    seen = {name for line in lines.of(ABANDONED, ENDED) for name in parts(line)}
    assert {"inputs_ms", "queued_ms", "memory_ms", "calls_ms"} <= seen


def test_step_that_moves_says_so_at_the_owner_that_stops(lines):
    """Load: 20 requests a second while the owner of their service stops.

    Guards against time at an owner that stops which no line has.
    """
    run_virtual(lambda clock: run_load(clock, (OWNER,)))
    moved = [line for line in lines.of(ENDED) if line["state"] == "moved"]
    assert moved
    for line in moved:
        assert_adds_up(line)
        assert line["detail"] not in ("", OWNER)
        assert "transfer_ms" not in line
