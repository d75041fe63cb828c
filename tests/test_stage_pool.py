"""Tests of the batching of pieces into stage calls, in virtual time.

The first line of a test names the load that provokes the failure.
"""

import math

import attrs
import curio
import pytest

from wagtailrun.codec import decode, encode
from wagtailrun.exceptions import (
    ConnectFailed,
    ConnectShortage,
    TargetFailed,
    Verdict,
)
from wagtailrun.ports.link import Address
from wagtailrun.process.shortages import SHORTAGE_PAUSE_MS
from wagtailrun.routes import StageCapacity
from wagtailrun.stages import (
    CancelPieces,
    FreeResults,
    JobState,
    PieceOutcome,
    RunPieces,
    StageBatcher,
    StageClient,
)
from wagtailrun.stages.fetched_inputs import INPUT_FETCH_MS
from wagtailrun.stages.job import Job
from wagtailrun.stages.messages import TakeOver, TargetUse
from wagtailrun.stages.pool import ANNOUNCED_JOB_TIMEOUT_MS
from wagtailrun.stages.port import UNWATCHED, StageReply
from wagtailrun.stages.succession import take_over
from wagtailrun.stages.target_state import TargetState
from wagtailrun.targets.pauses import MAX_PAUSE_MS
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

CAPACITY = StageCapacity(
    slots=1, batch=4, call_ms=150.0, item_ms=30.0, memory_bytes=1_000, result_ms=4_000
)


def target(number, data_centre="a"):
    address = Address(f"10.0.0.{number}", 80)
    return TargetRow(f"t{number}", address, "s", data_centre)


class FakeStages(StageClient):
    """Targets that take the configured time, keep results, and fail on request."""

    def __init__(self, clock, capacity=CAPACITY):
        self.clock = clock
        self.capacity = capacity
        self.calls = []
        self.freed = []
        self.faults_by_name = {}
        self.fail_at_end = None
        self.outcomes = []
        self.numbers = iter(range(1_000_000))

    async def run(self, target, items, timeout_ms, watch=UNWATCHED):
        watch.record_sent(None)
        self.calls.append((self.clock.now_ms(), target.name, list(items)))
        fault = self.faults_by_name.get(target.name)
        if fault is not None:
            raise fault
        await self.clock.sleep_ms(int(self.capacity.duration_ms(len(items))))
        fault, self.fail_at_end = self.fail_at_end, None
        if fault is not None:
            raise fault
        return [self.reply(target) for _ in items]

    def reply(self, target):
        if self.outcomes:
            return StageReply(self.outcomes.pop(0))
        return StageReply(PieceOutcome.DONE, f"{target.address}/{next(self.numbers)}")

    async def free(self, address, handles):
        self.freed.extend(handles)


class BatcherHarness:
    """A batcher with a fake client, and helpers that send it requests.

    It has one service, whose targets are ``rows`` or a single one.
    """

    def __init__(self, clock, rows=None, capacity=CAPACITY, **options):
        self.clock = clock
        self.client = FakeStages(clock, capacity)
        self.rows = [target(1)] if rows is None else rows
        self.budget = RetryBudget(0.0, 5.0)
        self.released_elsewhere = []
        self.batcher = StageBatcher(
            clock,
            self.client,
            lambda s: self.rows,
            lambda s: capacity,
            self.budget,
            self.release_elsewhere,
            **options,
        )

    async def release_elsewhere(self, message):
        self.released_elsewhere.append((self.clock.now_ms(), message))

    def message(self, name, pieces=1, **options):
        values = {
            "request_id": name,
            "step": 0,
            "service": "s",
            "data_centre": "a",
            "pieces": tuple(range(pieces)),
            "key": "k",
            "inputs": (),
            "has_inputs": False,
            "urgency": 0,
            "aim_ms": 2_000,
            "remaining_ms": 5_000,
            "result_bytes": 10,
            "wait_ms": 10_000,
        }
        values |= {**options, "seen_fetched": True}
        values.setdefault("moved_bytes", values["result_bytes"] * pieces)
        return RunPieces(**values)

    async def send(self, *arguments, **options):
        return await self.batcher.handle(self.message(*arguments, **options))

    async def keep_busy(self):
        """Start a call, so that the next request has to wait."""
        await curio.spawn(
            self.batcher.handle, self.message("busy", pieces=4), daemon=True
        )
        await self.clock.sleep_ms(10)

    async def send_all(self, messages):
        async with curio.TaskGroup() as group:
            tasks = [await group.spawn(self.batcher.handle, m) for m in messages]
        return [task.result for task in tasks]


def test_pieces_of_waiting_requests_share_a_call():
    """Load: more requests than calls.

    Guards against a separate call for each request.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        states = await harness.send_all([harness.message(f"r{n}") for n in range(9)])
        return harness, states

    harness, states = run_virtual(main)
    assert all(state.state == JobState.DONE for state in states)
    assert sorted(len(items) for _, _, items in harness.client.calls) == [1, 4, 4]


def test_job_is_done_only_with_all_results():
    """Load: one step split over calls.

    Guards against a later step that lacks inputs.
    """

    async def main(clock):
        return await BatcherHarness(clock).send("r", pieces=6)

    state = run_virtual(main)
    assert [result.piece for result in state.results] == list(range(6))


def test_first_steps_that_are_late_go_last():
    """Load: a burst above capacity.

    Guards against a queue in which every request misses its latency objective.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.keep_busy()
        messages = [harness.message(f"late{n}", aim_ms=100) for n in range(4)]
        messages += [harness.message(f"good{n}", aim_ms=900) for n in range(4)]
        await harness.send_all(messages)
        return harness.client.calls

    calls = run_virtual(main)
    order = [{item.request_id[:4] for item in items} for _, _, items in calls]
    assert order == [{"busy"}, {"good"}, {"late"}]


def test_later_steps_keep_their_queue_position():
    """Load: a burst above capacity.

    Guards against results that expire in the queue.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.keep_busy()
        await harness.send_all(
            [
                *(harness.message(f"first{n}", aim_ms=900) for n in range(4)),
                *(
                    harness.message(f"next{n}", aim_ms=100, step=1, has_inputs=True)
                    for n in range(4)
                ),
            ]
        )
        return harness.client.calls

    calls = run_virtual(main)
    assert {item.request_id[:4] for item in calls[1][2]} == {"next"}


def test_step_that_cannot_finish_in_time_is_refused_at_once():
    """Load: a queue longer than the caller can wait.

    Guards against holding a request that will be refused in the end.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        for number in range(8):
            await harness.send(f"r{number}", pieces=4, wait_ms=0)
        before_ms = clock.now_ms()
        state = await harness.send("hopeless", remaining_ms=600)
        waited_ms = clock.now_ms() - before_ms
        await clock.sleep_ms(10_000)
        return state, waited_ms

    state, waited_ms = run_virtual(main)
    assert (state.state, waited_ms) == (JobState.REFUSED, 0)


def test_announced_pieces_are_queued_and_do_not_run():
    """Load: requests whose earlier steps are still running.

    Guards against a queueing estimate that ignores them, and against pieces that run
    without inputs.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        first = await harness.send("r1", pieces=12, reserve=True, wait_ms=0)
        second = await harness.send(
            "r2", pieces=4, aim_ms=3_000, reserve=True, wait_ms=0
        )
        await clock.sleep_ms(100)
        assert harness.client.calls == []
        done = await harness.send("r1", pieces=12)
        return first, second, done

    first, second, done = run_virtual(main)
    assert first.state == second.state == JobState.PENDING
    assert first.queue_ms == 0
    assert second.queue_ms > 600
    assert done.state == JobState.DONE


def test_calls_leave_room_for_results():
    """Load: large results.

    Guards against calls that a target refuses because its memory is full.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        kept = await harness.send("kept", pieces=2, result_bytes=400)
        waiting = harness.message("waits", 2, result_bytes=400)
        task = await curio.spawn(harness.batcher.handle, waiting)
        await clock.sleep_ms(500)
        assert len(harness.client.calls) == 1
        await harness.batcher.handle(FreeResults("s", kept.results))
        state = await task.join()
        return harness, state

    harness, state = run_virtual(main)
    assert state.state == JobState.DONE
    assert len(harness.client.freed) == 2


def test_results_made_for_another_entry_can_be_freed():
    """Load: the entry that owns a service restarts.

    Guards against memory that stays occupied until results expire, which refused 8991
    pieces in one day of the benchmark.
    """

    async def main(clock):
        before, after = BatcherHarness(clock), BatcherHarness(clock)
        state = await before.send("r", pieces=2)
        await after.batcher.handle(FreeResults("s", state.results))
        await clock.sleep_ms(100)
        return state, after.client.freed

    state, freed = run_virtual(main)
    assert freed == [result.handle for result in state.results]


def test_results_of_a_cancelled_request_are_freed():
    """Load: callers that disconnect.

    Guards against memory held by results that nobody will use.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        task = await curio.spawn(harness.send, "gone", 4)
        await clock.sleep_ms(50)
        await harness.batcher.handle(CancelPieces("gone", "s"))
        state = await task.join()
        await clock.sleep_ms(1_000)
        return state, harness.client

    state, client = run_virtual(main)
    assert state.state == JobState.REFUSED
    assert len(client.freed) == 4


def test_pieces_of_a_failed_call_run_elsewhere():
    """Load: a target that crashes.

    Guards against requests that fail together with the call.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(1), target(2)])
        harness.client.faults_by_name["t1"] = TargetFailed(
            "reset", verdict=Verdict.MAY_HAVE_RUN
        )
        return await harness.send("r", pieces=3)

    assert run_virtual(main).state == JobState.DONE


def test_retries_end_with_the_budget():
    """Load: every call fails.

    Guards against unlimited retries.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        harness.client.faults_by_name["t1"] = TargetFailed(
            "reset", verdict=Verdict.MAY_HAVE_RUN
        )
        state = await harness.send("r", pieces=1, remaining_ms=60_000)
        return state, len(harness.client.calls)

    state, calls = run_virtual(main)
    assert state.state == JobState.REFUSED
    assert calls <= 6


def test_refused_connections_cost_no_budget():
    """Load: a target that has stopped.

    Guards against retry budget spent on pieces that never reached a target.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(1), target(2)])
        harness.client.faults_by_name["t1"] = ConnectFailed("refused")
        states = await harness.send_all([harness.message(f"r{n}") for n in range(20)])
        return states, harness.budget.tokens_by_service["s"]

    states, tokens = run_virtual(main)
    assert all(state.state == JobState.DONE for state in states)
    assert tokens == 5.0


def test_service_whose_targets_all_failed_is_tried_again():
    """Load: a partition that ends.

    Guards against an entry that refuses a service for ever after it was cut off.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(1), target(2)])
        for name in ("t1", "t2"):
            harness.client.faults_by_name[name] = ConnectFailed("no route")
        states = []
        for number in range(12):
            states.append(await harness.send(f"cut{number}", remaining_ms=900))
        harness.client.faults_by_name.clear()
        await clock.sleep_ms(3_000)
        return states, await harness.send("after")

    states, after = run_virtual(main)
    assert all(state.state == JobState.REFUSED for state in states)
    assert after.state == JobState.DONE


def test_lost_path_is_no_failure_of_the_targets():
    """Load: the owner of the service is cut off for a moment.

    Guards against sound targets that are out of use for all entries after it.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(1), target(2)])
        for name in ("t1", "t2"):
            harness.client.faults_by_name[name] = ConnectFailed(
                "no path", confirmed=False
            )
        message = harness.message("waits", remaining_ms=3_000)
        task = await curio.spawn(harness.batcher.handle, message)
        await clock.sleep_ms(1_500)
        harness.client.faults_by_name.clear()
        started_ms = clock.now_ms()
        state = await task.join()
        return state.state, clock.now_ms() - started_ms

    state, took_ms = run_virtual(main)
    assert state == JobState.DONE
    assert took_ms < 500


def test_pieces_run_at_once_when_there_are_descriptors_again():
    """Load: the owner of the service is at its limit of descriptors for a moment.

    Guards against targets that stay unused after it, and against a loop of calls.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(1), target(2)])
        tokens = harness.budget.tokens_by_service["s"]
        for name in ("t1", "t2"):
            shortage = ConnectShortage("too many open files", 1_000)
            harness.client.faults_by_name[name] = shortage
        message = harness.message("waits", remaining_ms=3_000)
        task = await curio.spawn(harness.batcher.handle, message)
        await clock.sleep_ms(1_010)
        tries = len(harness.client.calls)
        harness.client.faults_by_name.clear()
        started_ms = clock.now_ms()
        state = await task.join()
        waited_ms = harness.client.calls[tries][0] - started_ms
        spent = tokens - harness.budget.tokens_by_service["s"]
        return state.state, waited_ms, tries, spent

    state, waited_ms, tries, spent = run_virtual(main)
    assert state == JobState.DONE
    assert waited_ms <= SHORTAGE_PAUSE_MS
    assert tries <= 2 * (1_010 // SHORTAGE_PAUSE_MS + 1)
    assert spent == 0


def test_inputs_are_needed_until_the_last_call_has_fetched_them():
    """Load: steps split over calls that start one after the other.

    Guards against inputs released while a later call of the step still needs them.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(1), target(2)])
        busy = harness.message("busy", pieces=4)
        await curio.spawn(harness.batcher.handle, busy, daemon=True)
        await clock.sleep_ms(250)
        request = harness.message("split", pieces=8, has_inputs=True, inputs=("h",))
        state = await harness.batcher.handle(attrs.evolve(request, seen_fetched=False))
        starts = [at for at, _, items in harness.client.calls[1:]]
        await clock.sleep_ms(2_000)
        return state, clock.now_ms() - 2_000 - max(starts), len(starts)

    state, since_last_start_ms, calls = run_virtual(main)
    assert (state.state, calls) == (JobState.FETCHED, 2)
    assert since_last_start_ms >= INPUT_FETCH_MS


def test_fetched_inputs_of_a_call_are_released_in_one_message():
    """Load: 100 staged requests a second at one owner.

    Guards against a reply, a poll and a release for each request, which took a third
    of the owner's processor time, and against a release before the fetch.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        messages = [
            harness.message(
                name,
                has_inputs=True,
                inputs=(f"h{name}",),
                input_services=("first",),
                input_addresses=("10.0.0.9:80",),
            )
            for name in "ab"
        ]
        messages = [attrs.evolve(each, seen_fetched=False) for each in messages]
        states = await harness.send_all(messages)
        return states, harness.released_elsewhere, harness.client.calls

    states, released, calls = run_virtual(main)
    assert [state.state for state in states] == [JobState.DONE, JobState.DONE]
    ((released_ms, message),) = released
    assert message.service == "first"
    assert sorted(result.handle for result in message.results) == ["ha", "hb"]
    assert {result.address for result in message.results} == {"10.0.0.9:80"}
    assert released_ms >= calls[0][0] + INPUT_FETCH_MS


def test_inputs_of_a_short_call_are_released():
    """Guards against inputs that stay until they expire if a call ends at once."""
    capacity = attrs.evolve(CAPACITY, call_ms=1.0, item_ms=0.0)

    async def main(clock):
        harness = BatcherHarness(clock, capacity=capacity)
        state = await harness.send(
            "a",
            has_inputs=True,
            inputs=("ha",),
            input_services=("first",),
            input_addresses=("10.0.0.9:80",),
        )
        await clock.sleep_ms(200)
        return state, [message for _, message in harness.released_elsewhere]

    state, released = run_virtual(main)
    assert state.state == JobState.DONE
    assert [[result.handle for result in each.results] for each in released] == [["ha"]]


def test_missing_input_ends_the_job_at_once():
    """Load: a target of an earlier step crashed.

    Guards against waiting for an input that no longer exists.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        harness.client.outcomes = [PieceOutcome.GONE]
        return await harness.send("r", has_inputs=True, inputs=("10.0.0.9:80/1",))

    assert run_virtual(main).state == JobState.GONE


def test_remote_targets_are_used_once_the_preferred_data_centre_is_busy():
    """Load: a burst in one data centre.

    Guards against a queue while targets elsewhere are idle, and against transferring
    results when a target of the preferred data centre is about to be free.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(1, "a"), target(2, "b")])
        await harness.send_all([harness.message(f"r{n}", pieces=4) for n in range(4)])
        first = [name for _, name, _ in harness.client.calls]
        harness.client.calls.clear()
        await harness.send("alone")
        return first, harness.client.calls

    first, alone = run_virtual(main)
    assert first.count("t2") == 2
    assert alone[0][1] == "t1"


def test_small_results_fill_calls_of_another_data_centre():
    """Load: pieces wait for every data centre, and calls start that are not full.

    Guards against calls with five of eight pieces while ten others wait for their
    preferred data centre, as seen with five targets in four data centres. Pieces with
    results of megabytes stay in their preferred data centre.
    """

    async def main(clock):
        rows = [target(1, "a"), target(2, "b")]
        harness = BatcherHarness(
            clock, rows, attrs.evolve(CAPACITY, memory_bytes=100_000_000)
        )
        busy = [
            harness.message("a0", pieces=4),
            harness.message("b0", pieces=4, data_centre="b"),
            harness.message("b1", pieces=4, data_centre="b", result_bytes=9_000_000),
        ]
        small = harness.message("small", data_centre="b", result_bytes=8_000)
        large = harness.message("large", data_centre="b", result_bytes=9_000_000)
        short = harness.message("short", data_centre="a", pieces=2)
        async with curio.TaskGroup() as group:
            for message in (*busy, short, small, large):
                await group.spawn(harness.batcher.handle, message)
                await clock.sleep_ms(30)
        return harness.client.calls

    calls = run_virtual(main)
    requests = [{item.request_id for item in items} for _, _, items in calls]
    assert {"short", "small"} in requests
    assert {"large"} in requests
    assert [name for _, name, items in calls if items[0].request_id == "large"] == [
        "t2"
    ]


def test_polls_of_waiting_pieces_scan_no_other_job(monkeypatch):
    """Load: hundreds of requests wait for one service, each polls three times a second.

    Guards against an owner that scans all jobs for every poll. It did not reply for
    250 ms and counted as unreachable, and a second entry formed calls for its targets.
    """
    ranked = []

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.keep_busy()
        for number in range(50):
            message = harness.message(f"r{number}", wait_ms=0)
            await harness.batcher.handle(message)
        rank = Job.rank
        monkeypatch.setattr(Job, "rank", lambda *a: ranked.append(a) or rank(*a))
        for number in range(50):
            state = await harness.send(f"r{number}", wait_ms=0)
            assert state.state == JobState.PENDING
        return len(ranked)

    assert run_virtual(main) == 0


def test_abandoned_announcement_is_dropped():
    """Guards against a planned stop that waits for pieces nobody will request."""

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.send("gone", reserve=True)
        pool = await harness.batcher.pool("s")
        announced = len(pool.open_by_key)
        is_waited_for = harness.batcher.has_open_jobs
        await clock.sleep_ms(ANNOUNCED_JOB_TIMEOUT_MS + 200)
        return announced, is_waited_for, len(pool.open_by_key)

    assert run_virtual(main) == (1, False, 0)


def test_target_that_asks_for_a_pause_gets_no_call_until_it_ends():
    """Load: calls to a target that is full and says for how long.

    Guards against calls every 40 ms to a target that wants none.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        harness.client.faults_by_name["t1"] = TargetFailed(
            "full", verdict=Verdict.NOT_RUN, retry_after_ms=1_500
        )
        task = await curio.spawn(harness.send, "r")
        await clock.sleep_ms(1_000)
        hopeless = await harness.send("late", remaining_ms=400)
        harness.client.faults_by_name.clear()
        state = await task.join()
        return state, hopeless, [at_ms for at_ms, _, _ in harness.client.calls]

    state, hopeless, called_ms = run_virtual(main)
    assert state.state == JobState.DONE
    assert hopeless.state == JobState.REFUSED
    assert len(called_ms) == 2
    assert called_ms[1] - called_ms[0] >= 1_500


@pytest.mark.parametrize(
    "failure",
    [
        TargetFailed("a shorter pause", verdict=Verdict.NOT_RUN, retry_after_ms=100),
        TargetFailed("full", verdict=Verdict.NOT_RUN),
        TargetFailed("reset", verdict=Verdict.MAY_HAVE_RUN),
        ConnectFailed("timed out"),
        ConnectFailed("refused", confirmed=True),
        ConnectShortage("no descriptors", 100),
    ],
    ids=str,
)
def test_failure_of_another_call_ends_no_pause(failure):
    """Guards against calls to a pausing target after one sent before the pause fails.

    Both entries keep the longer pause, too; a new incarnation ends it.
    """
    state = TargetState()
    state.note_incarnation(1)
    pause = TargetFailed("full", verdict=Verdict.NOT_RUN, retry_after_ms=60_000)
    state.record_failure(pause, 1_000, True)
    state.record_failure(failure, 2_000, True)
    assert state.pause_until_ms == 61_000
    state.note_incarnation(2)
    state.record_failure(failure, 2_000, True)
    assert state.pause_until_ms < 10_000


def test_pause_ends_with_the_incarnation_that_asked_for_it():
    """Guards against a target that is unused because of one before it."""

    async def main(clock):
        harness = BatcherHarness(clock)
        harness.client.faults_by_name["t1"] = TargetFailed(
            "full", verdict=Verdict.NOT_RUN, retry_after_ms=60_000
        )
        task = await curio.spawn(harness.send, "r")
        await clock.sleep_ms(1_000)
        harness.client.faults_by_name.clear()
        paused = len(harness.client.calls)
        harness.rows = [attrs.evolve(harness.rows[0], incarnation=1)]
        await clock.sleep_ms(1_000)
        state = await harness.send("next")
        await task.cancel()
        return paused, state.state

    assert run_virtual(main) == (1, JobState.DONE)


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("pause_ms", [3_600_000, 10**12])
def test_pause_outlasts_the_row_of_its_target(pause_ms, restarted):
    """Guards against calls to a pausing target whose row was dropped meanwhile.

    Nothing else is kept of it, a pause without bound loses no target for ever, and a
    target that was started again does not pause.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        harness.client.faults_by_name["t1"] = TargetFailed(
            "full", verdict=Verdict.NOT_RUN, retry_after_ms=pause_ms
        )
        await harness.send("r")
        states = harness.batcher.pools_by_service["s"].target_states_by_name
        states["t1"].slowness = 3.0
        harness.client.faults_by_name.clear()
        (row,), harness.rows = harness.rows, []
        await clock.sleep_ms(1_200_000)
        await harness.batcher.drop_gone((), None)
        harness.rows = [attrs.evolve(row, incarnation=int(restarted))]
        during = (await harness.send("during", remaining_ms=1_000)).state
        slowness = states["t1"].slowness
        await clock.sleep_ms(min(pause_ms, MAX_PAUSE_MS) - 1_200_000)
        after = (await harness.send("after")).state
        harness.rows = []
        await harness.batcher.drop_gone((), None)
        return during, after, slowness, len(states)

    during, after, slowness, kept = run_virtual(main)
    assert during == (JobState.DONE if restarted else JobState.REFUSED)
    assert (after, slowness, kept) == (JobState.DONE, 1.0, 0)


def test_pause_that_an_earlier_build_hands_over_ends():
    """Guards against a target lost for years to the next owner of its service.

    Earlier builds put no bound on the pause that a target may ask for.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        pool = await harness.batcher.pool("s")
        use = TargetUse("t1", "10.0.0.9:1", 0, 10**12, 1.0, 0)
        take_over(pool, TakeOver("s", (), (), (use,)))
        return pool.target_states_by_name["t1"].pause_until_ms - clock.now_ms()

    assert run_virtual(main) == MAX_PAUSE_MS


def test_estimates_of_odd_capacities_can_be_sent():
    """Load: pieces of a service whose document states calls of a week.

    Guards against replies and calls that cannot be sent to other entries.
    """
    capacity = attrs.evolve(CAPACITY, call_ms=6e8, item_ms=6e8)

    async def main(clock):
        harness = BatcherHarness(clock, capacity=capacity)
        limits = {"wait_ms": 0, "reserve": True, "remaining_ms": 10**15}
        states = [await harness.send(f"r{n}", 8, **limits) for n in range(8)]
        timeouts = []
        run = harness.client.run

        async def record(target, items, timeout_ms, watch):
            timeouts.append(timeout_ms)
            return await run(target, items, timeout_ms)

        harness.client.run = record
        states.append(await harness.send("now", **{**limits, "reserve": False}))
        await clock.sleep_ms(10)
        return states, timeouts

    states, timeouts = run_virtual(main)
    assert [decode(encode(state)) for state in states] == states
    assert timeouts and all(0 < timeout_ms < 2**32 for timeout_ms in timeouts)


def test_call_has_no_more_pieces_than_its_target_may_get():
    """Guards against calls that are denied as a whole, again and again."""

    async def main(clock):
        harness = BatcherHarness(clock, [target(1), target(2)])
        harness.batcher.most_pieces = lambda row: 1 if row.name == "t1" else math.inf
        state = await harness.send("r", 6)
        sizes = [(name, len(items)) for _, name, items in harness.client.calls]
        return state.state, sizes

    state, sizes = run_virtual(main)
    assert state == JobState.DONE
    assert {size for name, size in sizes if name == "t1"} == {1}
    assert {size for name, size in sizes if name == "t2"} == {4}
