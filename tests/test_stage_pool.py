"""Tests of stage calls that the pieces of many requests share, in virtual time.

Each test names the load whose pattern it answers.
"""

import attrs
import curio

from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import Address
from wagtailrun.retries import RetryBudget
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
from wagtailrun.stages.pool import FETCH_MS, KEEP_ANNOUNCED_MS
from wagtailrun.stages.port import StageReply
from wagtailrun.virtual_time import run_virtual

CAPACITY = StageCapacity(
    slots=1, batch=4, call_ms=150.0, item_ms=30.0, memory_bytes=1_000, result_ms=4_000
)


def target(number, data_centre="a"):
    address = Address(f"10.0.0.{number}", 80)
    return TargetRow(f"t{number}", address, "s", data_centre)


class FakeStages(StageClient):
    """Targets that take the stated time, keep results, and can be told to fail."""

    def __init__(self, clock, capacity=CAPACITY):
        self.clock = clock
        self.capacity = capacity
        self.calls = []
        self.freed = []
        self.faults_by_name = {}
        self.outcomes = []
        self.numbers = iter(range(1_000_000))

    async def run(self, target, items, timeout_ms):
        self.calls.append((self.clock.now_ms(), target.name, list(items)))
        fault = self.faults_by_name.get(target.name)
        if fault is not None:
            raise fault
        duration_ms = self.capacity.duration_ms(len(items))
        await self.clock.sleep_ms(int(duration_ms))
        return [self.reply(target) for _ in items]

    def reply(self, target):
        if self.outcomes:
            return StageReply(self.outcomes.pop(0))
        return StageReply(PieceOutcome.DONE, f"{target.address}/{next(self.numbers)}")

    async def free(self, address, handles):
        self.freed.extend(handles)


class Load:
    """A pool of two targets, or those given, and requests for it."""

    def __init__(self, clock, rows=None, capacity=CAPACITY):
        self.clock = clock
        self.client = FakeStages(clock, capacity)
        self.rows = [target(1)] if rows is None else rows
        self.budget = RetryBudget(0.0, 5.0)
        self.host = StageBatcher(
            clock, self.client, lambda s: self.rows, lambda s: capacity, self.budget
        )

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

    async def ask(self, *arguments, **options):
        return await self.host.handle(self.message(*arguments, **options))

    async def keep_busy(self):
        """Start a call, so that what is asked now has to wait."""
        await curio.spawn(self.host.handle, self.message("busy", pieces=4), daemon=True)
        await self.clock.sleep_ms(10)

    async def ask_all(self, messages):
        async with curio.TaskGroup() as group:
            tasks = [await group.spawn(self.host.handle, m) for m in messages]
        return [task.result for task in tasks]


def test_pieces_of_waiting_requests_share_a_call():
    """Load: more requests than calls.

    Guards against one call a request.
    """

    async def main(clock):
        load = Load(clock)
        states = await load.ask_all([load.message(f"r{n}") for n in range(9)])
        return load, states

    load, states = run_virtual(main)
    assert all(state.state == JobState.DONE for state in states)
    assert sorted(len(items) for _, _, items in load.client.calls) == [1, 4, 4]


def test_job_is_done_only_with_all_results():
    """Load: one step split over calls.

    Guards against missing inputs further on.
    """

    async def main(clock):
        return await Load(clock).ask("r", pieces=6)

    state = run_virtual(main)
    assert [result.piece for result in state.results] == list(range(6))


def test_first_steps_that_are_late_go_last():
    """Load: a burst above capacity.

    Guards against serving everyone late.
    """

    async def main(clock):
        load = Load(clock)
        await load.keep_busy()
        messages = [load.message(f"late{n}", aim_ms=100) for n in range(4)]
        messages += [load.message(f"good{n}", aim_ms=900) for n in range(4)]
        await load.ask_all(messages)
        return load.client.calls

    calls = run_virtual(main)
    order = [{item.request_id[:4] for item in items} for _, _, items in calls]
    assert order == [{"busy"}, {"good"}, {"late"}]


def test_later_steps_keep_their_place():
    """Load: a burst above capacity.

    Guards against results that expire in the queue.
    """

    async def main(clock):
        load = Load(clock)
        await load.keep_busy()
        await load.ask_all(
            [
                *(load.message(f"first{n}", aim_ms=900) for n in range(4)),
                *(
                    load.message(f"next{n}", aim_ms=100, step=1, has_inputs=True)
                    for n in range(4)
                ),
            ]
        )
        return load.client.calls

    calls = run_virtual(main)
    assert {item.request_id[:4] for item in calls[1][2]} == {"next"}


def test_what_cannot_be_done_in_time_is_refused_at_once():
    """Load: a queue longer than the caller's wait.

    Guards against holding it.
    """

    async def main(clock):
        load = Load(clock)
        for number in range(8):
            await load.ask(f"r{number}", pieces=4, wait_ms=0)
        before_ms = clock.now_ms()
        state = await load.ask("hopeless", remaining_ms=600)
        waited_ms = clock.now_ms() - before_ms
        await clock.sleep_ms(10_000)
        return state, waited_ms

    state, waited_ms = run_virtual(main)
    assert (state.state, waited_ms) == (JobState.REFUSED, 0)


def test_announced_pieces_hold_a_place_and_do_not_run():
    """Load: requests on their way through earlier steps.

    Guards against an estimate that sees none of them, and against pieces that run
    without inputs.
    """

    async def main(clock):
        load = Load(clock)
        first = await load.ask("r1", pieces=12, reserve=True, wait_ms=0)
        second = await load.ask("r2", pieces=4, aim_ms=3_000, reserve=True, wait_ms=0)
        await clock.sleep_ms(100)
        assert load.client.calls == []
        done = await load.ask("r1", pieces=12)
        return first, second, done

    first, second, done = run_virtual(main)
    assert first.state == second.state == JobState.PENDING
    assert first.queue_ms == 0
    assert second.queue_ms > 600
    assert done.state == JobState.DONE


def test_calls_leave_room_for_results():
    """Load: large results.

    Guards against calls that a target refuses for memory.
    """

    async def main(clock):
        load = Load(clock)
        kept = await load.ask("kept", pieces=2, result_bytes=400)
        waiting = load.message("waits", 2, result_bytes=400)
        task = await curio.spawn(load.host.handle, waiting)
        await clock.sleep_ms(500)
        assert len(load.client.calls) == 1
        await load.host.handle(FreeResults("s", kept.results))
        state = await task.join()
        return load, state

    load, state = run_virtual(main)
    assert state.state == JobState.DONE
    assert len(load.client.freed) == 2


def test_results_made_for_another_entry_can_be_freed():
    """Load: the entry that formed calls restarts.

    Guards against memory that stays taken until results expire, which refused 8991
    pieces in one day of the bench.
    """

    async def main(clock):
        before, after = Load(clock), Load(clock)
        state = await before.ask("r", pieces=2)
        await after.host.handle(FreeResults("s", state.results))
        await clock.sleep_ms(100)
        return state, after.client.freed

    state, freed = run_virtual(main)
    assert freed == [result.handle for result in state.results]


def test_results_of_a_cancelled_request_are_freed():
    """Load: callers who leave.

    Guards against memory held for nobody.
    """

    async def main(clock):
        load = Load(clock)
        task = await curio.spawn(load.ask, "gone", 4)
        await clock.sleep_ms(50)
        await load.host.handle(CancelPieces("gone", "s"))
        state = await task.join()
        await clock.sleep_ms(1_000)
        return state, load.client

    state, client = run_virtual(main)
    assert state.state == JobState.REFUSED
    assert len(client.freed) == 4


def test_pieces_of_a_failed_call_run_elsewhere():
    """Load: a target that crashes.

    Guards against requests lost with its call.
    """

    async def main(clock):
        load = Load(clock, [target(1), target(2)])
        load.client.faults_by_name["t1"] = TargetFailed(
            "reset", verdict=Verdict.MAY_HAVE_RUN
        )
        return await load.ask("r", pieces=3)

    assert run_virtual(main).state == JobState.DONE


def test_repeats_end_with_the_budget():
    """Load: every call fails.

    Guards against repeats without bound.
    """

    async def main(clock):
        load = Load(clock)
        load.client.faults_by_name["t1"] = TargetFailed(
            "reset", verdict=Verdict.MAY_HAVE_RUN
        )
        state = await load.ask("r", pieces=1, remaining_ms=60_000)
        return state, len(load.client.calls)

    state, calls = run_virtual(main)
    assert state.state == JobState.REFUSED
    assert calls <= 6


def test_refused_connections_cost_no_budget():
    """Load: a target that is gone.

    Guards against a budget spent on no arrival.
    """

    async def main(clock):
        load = Load(clock, [target(1), target(2)])
        load.client.faults_by_name["t1"] = ConnectFailed("refused")
        states = await load.ask_all([load.message(f"r{n}") for n in range(20)])
        return states, load.budget.tokens_by_service["s"]

    states, tokens = run_virtual(main)
    assert all(state.state == JobState.DONE for state in states)
    assert tokens == 5.0


def test_service_whose_targets_all_failed_is_tried_again():
    """Load: a partition that ends.

    Guards against a service that is refused for ever at an entry that was cut off.
    """

    async def main(clock):
        load = Load(clock, [target(1), target(2)])
        for name in ("t1", "t2"):
            load.client.faults_by_name[name] = ConnectFailed("no route")
        states = []
        for number in range(12):
            states.append(await load.ask(f"cut{number}", remaining_ms=900))
        load.client.faults_by_name.clear()
        await clock.sleep_ms(3_000)
        return states, await load.ask("after")

    states, after = run_virtual(main)
    assert all(state.state == JobState.REFUSED for state in states)
    assert after.state == JobState.DONE


def test_inputs_are_needed_until_the_last_call_has_fetched_them():
    """Load: steps split over calls that start one after the other.

    Guards against inputs given up while a later call of the step still needs them.
    """

    async def main(clock):
        load = Load(clock, [target(1), target(2)])
        busy = load.message("busy", pieces=4)
        await curio.spawn(load.host.handle, busy, daemon=True)
        await clock.sleep_ms(250)
        asked = load.message("split", pieces=8, has_inputs=True, inputs=("h",))
        state = await load.host.handle(attrs.evolve(asked, seen_fetched=False))
        starts = [at for at, _, items in load.client.calls[1:]]
        await clock.sleep_ms(2_000)
        return state, clock.now_ms() - 2_000 - max(starts), len(starts)

    state, since_last_start_ms, calls = run_virtual(main)
    assert (state.state, calls) == (JobState.FETCHED, 2)
    assert since_last_start_ms >= FETCH_MS


def test_missing_input_ends_the_job_at_once():
    """Load: a target of an earlier step crashed.

    Guards against waiting for nothing.
    """

    async def main(clock):
        load = Load(clock)
        load.client.outcomes = [PieceOutcome.GONE]
        return await load.ask("r", has_inputs=True, inputs=("10.0.0.9:80/1",))

    assert run_virtual(main).state == JobState.GONE


def test_idle_targets_elsewhere_help_once_home_is_busy():
    """Load: a burst in one data centre.

    Guards against a queue beside idle targets, and against moving results while
    home is about to be free.
    """

    async def main(clock):
        load = Load(clock, [target(1, "a"), target(2, "b")])
        await load.ask_all([load.message(f"r{n}", pieces=4) for n in range(4)])
        first = [name for _, name, _ in load.client.calls]
        load.client.calls.clear()
        await load.ask("alone")
        return first, load.client.calls

    first, alone = run_virtual(main)
    assert first.count("t2") == 2
    assert alone[0][1] == "t1"


def test_small_results_fill_calls_of_another_data_centre():
    """Load: pieces wait for all data centres, and calls start that are not full.

    With five targets in four data centres, calls for eight pieces took five while ten
    others waited for their own data centre. Guards against that; results of megabytes
    stay where they are wanted.
    """

    async def main(clock):
        rows = [target(1, "a"), target(2, "b")]
        load = Load(clock, rows, attrs.evolve(CAPACITY, memory_bytes=100_000_000))
        busy = [
            load.message("a0", pieces=4),
            load.message("b0", pieces=4, data_centre="b"),
            load.message("b1", pieces=4, data_centre="b", result_bytes=9_000_000),
        ]
        small = load.message("small", data_centre="b", result_bytes=8_000)
        large = load.message("large", data_centre="b", result_bytes=9_000_000)
        short = load.message("short", data_centre="a", pieces=2)
        async with curio.TaskGroup() as group:
            for message in (*busy, short, small, large):
                await group.spawn(load.host.handle, message)
                await clock.sleep_ms(30)
        return load.client.calls

    calls = run_virtual(main)
    requests = [{item.request_id for item in items} for _, _, items in calls]
    assert {"short", "small"} in requests
    assert {"large"} in requests
    assert [name for _, name, items in calls if items[0].request_id == "large"] == [
        "t2"
    ]


def test_questions_about_waiting_pieces_look_at_no_other_job(monkeypatch):
    """Load: hundreds of requests wait for one service, each asks three times a second.

    An entry that looked at every job for every question did not answer for 250 ms and
    was taken as lost; another one then formed calls for the same targets. Guards
    against that.
    """
    ranked = []

    async def main(clock):
        load = Load(clock)
        await load.keep_busy()
        for number in range(50):
            message = load.message(f"r{number}", wait_ms=0)
            await load.host.handle(message)
        pool = await load.host.pool("s")
        rank = pool._rank
        monkeypatch.setattr(pool, "_rank", lambda *a: ranked.append(a) or rank(*a))
        for number in range(50):
            state = await load.ask(f"r{number}", wait_ms=0)
            assert state.state == JobState.PENDING
        return len(ranked)

    assert run_virtual(main) == 0


def test_announcement_that_is_given_up_is_forgotten():
    """Guards against a planned stop that waits for pieces nobody will ask for."""

    async def main(clock):
        load = Load(clock)
        await load.ask("gone", reserve=True)
        before = load.host.has_open_jobs
        await clock.sleep_ms(KEEP_ANNOUNCED_MS + 200)
        return before, load.host.has_open_jobs

    assert run_virtual(main) == (True, False)
