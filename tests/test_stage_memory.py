"""Tests of the memory that results of stages occupy, in virtual time."""

import attrs
import curio
import pytest

from tests.test_stage_pool import BatcherHarness, FakeStages, target
from wagtailrun.logs.events import EVENT_LOG, STAGE_MEMORY_FULL
from wagtailrun.routes import StageCapacity
from wagtailrun.stages import FreeResults, JobState, PieceOutcome
from wagtailrun.stages.pool import FORECAST_INTERVAL_MS
from wagtailrun.stages.port import UNWATCHED, StageReply
from wagtailrun.virtual_time import run_virtual

CAPACITY = StageCapacity(
    slots=1, batch=5, call_ms=150.0, item_ms=25.0, memory_bytes=2_200, result_ms=4_000
)
RESULT_BYTES = 300
# How long the request of a finished step holds its results.
USE_MS = 200


class FullStages(FakeStages):
    """Targets that run one call at a time and refuse pieces that they have no room for.

    ``lost`` results of an owner that was killed occupy each target until ``gone_ms``.
    """

    def __init__(
        self, clock, lost=0, gone_ms=0, capacity=CAPACITY, result_bytes=RESULT_BYTES
    ):
        super().__init__(clock, capacity)
        self.most_results = capacity.memory_bytes // result_bytes
        self.turns_by_name = {}
        self.places_by_address = {}
        self.lost, self.gone_ms = lost, gone_ms
        self.refused = 0

    def free_places(self, address):
        now_ms = self.clock.now_ms()
        places = self.places_by_address.setdefault(str(address), {})
        for handle, until_ms in list(places.items()):
            if until_ms <= now_ms:
                del places[handle]
        lost = self.lost if now_ms < self.gone_ms else 0
        return self.most_results - lost - len(places)

    async def run(self, target, items, timeout_ms, watch=UNWATCHED):
        watch.record_sent(None)
        async with self.turns_by_name.setdefault(target.name, curio.Lock()):
            handles = []
            for _ in items:
                handle = f"{target.address}/{next(self.numbers)}"
                if self.free_places(target.address) > 0:
                    self.places_by_address[str(target.address)][handle] = 1 << 62
                    handles.append(handle)
                else:
                    handles.append("")
            kept = [handle for handle in handles if handle]
            self.refused += len(handles) - len(kept)
            if kept:
                await self.clock.sleep_ms(int(self.capacity.duration_ms(len(kept))))
            until_ms = self.clock.now_ms() + self.capacity.result_ms
            places = self.places_by_address[str(target.address)]
            places.update(dict.fromkeys(kept, until_ms))
        return [
            StageReply(PieceOutcome.DONE if h else PieceOutcome.NO_MEMORY, h)
            for h in handles
        ]

    async def free(self, address, handles):
        for handle in handles:
            self.places_by_address[str(address)].pop(handle, None)


async def serve(clock, harness, name, pieces, outcomes, **options):
    """Run one step, use its results for a while, and release them."""
    started_ms = clock.now_ms()
    state = await harness.send(
        name,
        pieces,
        result_bytes=RESULT_BYTES,
        aim_ms=1_000,
        remaining_ms=3_500,
        **options,
    )
    outcomes.append((started_ms, state.state, clock.now_ms() - started_ms))
    if state.state == JobState.DONE:
        await clock.sleep_ms(USE_MS)
        await harness.batcher.handle(FreeResults("s", state.results))


def make_harness(clock, rows, **options):
    harness = BatcherHarness(clock, rows, CAPACITY)
    harness.client = harness.batcher.client = FullStages(clock, **options)
    return harness


async def serve_load(clock, rows, data_centres, seconds=14, **options):
    """Serve 14 pieces a second, in steps of 2 and 5, for some seconds."""
    harness = make_harness(clock, rows, **options)
    outcomes, tasks = [], []
    for number in range(seconds * 4):
        pieces = 2 if number % 2 else 5
        name, data_centre = f"r{number}", data_centres[number % len(data_centres)]
        step = serve(
            clock,
            harness,
            name,
            pieces,
            outcomes,
            data_centre=data_centre,
            moved_bytes=pieces * 3_000_000,
        )
        tasks.append(await curio.spawn(step))
        await clock.sleep_ms(250)
    for task in tasks:
        await task.join()
    return outcomes, harness.client


@pytest.mark.parametrize("data_centres", [["a"], ["a", "b"]])
def test_lost_results_of_a_killed_owner_delay_no_request_for_long(data_centres):
    """Load: calm, with a third of the memory lost to results of a killed owner.

    Guards against steps that wait for each other's memory: each held the results of
    some of its pieces, none got room for the rest, and steps whose objective had passed
    went last and held theirs until they expired.
    """
    rows = [target(n, data_centres[n % len(data_centres)]) for n in range(2)]

    async def main(clock):
        return await serve_load(clock, rows, data_centres, lost=3, gone_ms=4_250)

    outcomes, client = run_virtual(main)
    assert {state for _, state, _ in outcomes} == {JobState.DONE}
    assert max(took_ms for _, _, took_ms in outcomes) < 1_000
    # Each refused piece costs a call that runs less than it could.
    assert client.refused < 60


def test_step_that_does_not_fit_into_its_data_centre_ends_elsewhere():
    """Load: one step whose results need more memory than its data centre has.

    Guards against a step that keeps the memory of its first results and waits for room
    that it never gets there.
    """

    async def main(clock):
        rows = [target(1, "a"), target(2, "b")]
        harness = make_harness(clock, rows)
        outcomes = []
        options = {"data_centre": "a", "moved_bytes": 24_000_000}
        await serve(clock, harness, "large", 8, outcomes, **options)
        return outcomes

    [(_, state, took_ms)] = run_virtual(main)
    assert state == JobState.DONE
    assert took_ms < 1_000


def test_step_whose_results_fit_into_no_memory_is_refused_at_once():
    """Load: a step that needs more memory than all targets have, before small steps.

    Guards against a step that takes all memory for its first results, and holds it
    until its time is up: it can never end, and the steps behind it were refused after
    seconds as well.
    """

    async def main(clock):
        harness = make_harness(clock, [target(1)])
        wide, small, tasks = [], [], []
        tasks.append(await curio.spawn(serve(clock, harness, "wide", 8, wide)))
        for number in range(6):
            await clock.sleep_ms(300)
            step = serve(clock, harness, f"small{number}", 2, small)
            tasks.append(await curio.spawn(step))
        for task in tasks:
            await task.join()
        return wide, small

    [(_, state, took_ms)], small = run_virtual(main)
    assert (state, took_ms) == (JobState.REFUSED, 0)
    assert {state for _, state, _ in small} == {JobState.DONE}
    assert max(took_ms for _, _, took_ms in small) < 500


@pytest.mark.parametrize("begins", [True, False])
def test_step_that_fitted_only_before_a_cut_is_refused_when_that_is_known(begins):
    """Load: a cut that leaves one of two targets while a step for both waits or runs.

    Guards against a side of a cut that counts on the memory of the other one: the step
    held what was left until its time was up.
    """

    async def main(clock):
        rows = [target(1, "a"), target(2, "b")]
        harness = make_harness(clock, rows)
        wide, small, tasks = [], [], []
        if not begins:
            # Its results leave too little room until they are released.
            tasks.append(await curio.spawn(serve(clock, harness, "before", 8, [])))
            await clock.sleep_ms(10)
        step = serve(clock, harness, "wide", 14, wide, moved_bytes=0)
        tasks.append(await curio.spawn(step))
        await clock.sleep_ms(100)
        harness.rows = rows[:1]
        for number in range(4):
            await clock.sleep_ms(300)
            step = serve(clock, harness, f"small{number}", 2, small)
            tasks.append(await curio.spawn(step))
        for task in tasks:
            await task.join()
        return wide, small

    [(_, state, took_ms)], small = run_virtual(main)
    assert state == JobState.REFUSED
    # The calls that began end first; the other side may keep their results.
    calls_ms = CAPACITY.duration_ms(5) + CAPACITY.duration_ms(2)
    assert took_ms < calls_ms + FORECAST_INTERVAL_MS + 50
    assert {state for _, state, _ in small} == {JobState.DONE}
    assert max(took_ms for _, _, took_ms in small) < 900


def test_steps_that_wait_for_each_others_memory_do_not_all_fail():
    """Load: results that nobody releases, beside two steps that have begun.

    Guards against steps that each hold the memory that the other one needs until their
    time is up, with all steps behind them.
    """

    async def main(clock):
        rows = [target(1), target(2)]
        harness = make_harness(clock, rows, lost=5, gone_ms=10_000)
        begun, small, tasks = [], [], []
        for name in ("first", "second"):
            tasks.append(await curio.spawn(serve(clock, harness, name, 4, begun)))
        for number in range(3):
            await clock.sleep_ms(500)
            step = serve(clock, harness, f"small{number}", 1, small)
            tasks.append(await curio.spawn(step))
        for task in tasks:
            await task.join()
        return begun, small

    begun, small = run_virtual(main)
    assert sorted(state for _, state, _ in begun) == [JobState.DONE, JobState.REFUSED]
    assert max(took_ms for _, _, took_ms in begun) < 1_500
    assert {state for _, state, _ in small} == {JobState.DONE}


@pytest.mark.parametrize("is_first", [True, False])
def test_step_that_others_cannot_pass_gives_its_memory_up(is_first):
    """Load: results of an owner beyond a cut, beside a step that has begun.

    Guards against a step that holds the memory that is left, without room for its last
    piece, until the unknown results expire: the steps behind it were refused after
    seconds. A later step waits, as its request has used the stages before.
    """

    async def main(clock):
        harness = make_harness(clock, [target(1)], lost=4, gone_ms=3_000)
        wide, small, tasks = [], [], []
        options = {} if is_first else {"has_inputs": True, "inputs": ("h",)}
        step = serve(clock, harness, "wide", 4, wide, **options)
        tasks.append(await curio.spawn(step))
        for number in range(3):
            await clock.sleep_ms(300)
            step = serve(clock, harness, f"small{number}", 1, small)
            tasks.append(await curio.spawn(step))
        for task in tasks:
            await task.join()
        return wide, small

    [(_, state, took_ms)], small = run_virtual(main)
    assert state == (JobState.REFUSED if is_first else JobState.DONE)
    if is_first:
        assert took_ms < 1_000
        assert {state for _, state, _ in small} == {JobState.DONE}
        assert max(took_ms for _, _, took_ms in small) < 1_000


def test_small_steps_pass_a_large_one_beside_unknown_results():
    """Load: results of an owner beyond a cut, a large step, and small ones behind it.

    Guards against a large step that begins without room for all its results, and takes
    the memory of the small ones until it is refused.
    """

    async def main(clock):
        harness = make_harness(clock, [target(1)], lost=4, gone_ms=3_000)
        first, large, small, tasks = [], [], [], []
        # Its refused piece shows that there are unknown results.
        tasks.append(await curio.spawn(serve(clock, harness, "first", 4, first)))
        await clock.sleep_ms(300)
        tasks.append(await curio.spawn(serve(clock, harness, "large", 4, large)))
        for number in range(4):
            await clock.sleep_ms(50)
            step = serve(clock, harness, f"small{number}", 1, small)
            tasks.append(await curio.spawn(step))
        for task in tasks:
            await task.join()
        return first, large, small

    first, _, small = run_virtual(main)
    assert [state for _, state, _ in first] == [JobState.REFUSED]
    assert {state for _, state, _ in small} == {JobState.DONE}
    # The first step is stuck for a while, then two calls with three places follow.
    assert max(took_ms for _, _, took_ms in small) < 1_000


def test_small_results_run_beside_full_memory():
    """Load: a target whose memory is full of results that are not known here.

    Guards against steps with small results that wait for the memory of large ones.
    """

    class FullForLarge(FakeStages):
        async def run(self, target, items, timeout_ms, watch=UNWATCHED):
            replies = await super().run(target, items, timeout_ms, watch)
            is_large = [item.request_id == "large" for item in items]
            full = StageReply(PieceOutcome.NO_MEMORY)
            return [
                full if large else reply
                for large, reply in zip(is_large, replies, strict=True)
            ]

    async def main(clock):
        harness = make_harness(clock, [target(1)])
        harness.batcher.client = FullForLarge(clock, CAPACITY)
        large = await curio.spawn(serve(clock, harness, "large", 3, []))
        await clock.sleep_ms(1_000)
        started_ms = clock.now_ms()
        state = await harness.send("small", 1, result_bytes=1)
        took_ms = clock.now_ms() - started_ms
        await large.join()
        return state.state, took_ms

    state, took_ms = run_virtual(main)
    assert state == JobState.DONE
    # A call of the large pieces may have to end first.
    assert took_ms <= 225 + 175


def test_inputs_stay_until_refused_pieces_have_run():
    """Load: a target whose memory is full of results that are not known here.

    Guards against inputs that are released although a piece was refused before it
    fetched them. It then found them gone, and all stages of its request ran again.
    """

    class FullAtFirst(FakeStages):
        async def run(self, target, items, timeout_ms, watch=UNWATCHED):
            replies = await super().run(target, items, timeout_ms, watch)
            full = StageReply(PieceOutcome.NO_MEMORY)
            return replies if len(self.calls) > 2 else [full for _ in replies]

    async def main(clock):
        harness = BatcherHarness(clock, [target(1)], CAPACITY)
        harness.batcher.client = client = FullAtFirst(clock, CAPACITY)
        # The first refusal is not foreseen; its step has no inputs.
        first = await curio.spawn(harness.send("first"))
        await clock.sleep_ms(200)
        state = await harness.send(
            "second",
            step=1,
            has_inputs=True,
            inputs=("10.0.0.9:80/1",),
            input_services=("earlier",),
            input_addresses=("10.0.0.9:80",),
        )
        await first.join()
        released_ms = [at_ms for at_ms, _ in harness.released_elsewhere]
        return state.state, released_ms, client.calls[-1][0]

    state, released_ms, last_call_ms = run_virtual(main)
    assert state == JobState.DONE
    assert len(released_ms) == 1
    assert released_ms[0] > last_call_ms


@pytest.mark.parametrize("memory_bytes", [0, 100, 2_200])
def test_target_that_refuses_each_piece_gets_few_calls(memory_bytes):
    """Load: a target that never has memory for a piece.

    Guards against a loop of calls, where no memory is configured or a result is larger
    than all of it, so that nothing tells that the target is full.
    """

    class AlwaysFull(FakeStages):
        async def run(self, target, items, timeout_ms, watch=UNWATCHED):
            watch.record_sent(None)
            self.calls.append(items)
            await self.clock.sleep_ms(1)
            return [StageReply(PieceOutcome.NO_MEMORY) for _ in items]

    async def main(clock):
        capacity = attrs.evolve(CAPACITY, memory_bytes=memory_bytes)
        harness = BatcherHarness(clock, [target(1)], capacity)
        harness.batcher.client = client = AlwaysFull(clock, capacity)
        await harness.send("r", result_bytes=RESULT_BYTES, remaining_ms=2_000)
        return len(client.calls)

    assert 1 < run_virtual(main) <= 50


def test_full_memory_is_told():
    """Load: results that nobody releases fill the memory of the only target.

    Guards against steps that wait for memory although their target is idle, and no log
    line and no metric that says so.
    """

    async def main(clock):
        harness = BatcherHarness(clock, capacity=CAPACITY)
        batcher = harness.batcher
        await harness.send("first", 5, result_bytes=400)
        first = batcher.held_bytes, batcher.pieces_without_memory
        options = {"result_bytes": 400, "wait_ms": 300}
        number = STAGE_MEMORY_FULL.number
        before = EVENT_LOG.counts_by_number.get(number, 0)
        state = await harness.send("second", 1, **options)
        logged = EVENT_LOG.counts_by_number.get(number, 0) - before
        waiting = batcher.held_bytes, batcher.pieces_without_memory
        await harness.send("second", 1, result_bytes=400)
        return first, state.state, waiting, batcher.pieces_without_memory, logged

    first, state, waiting, left, logged = run_virtual(main)
    assert first == (2_000, 0)
    assert (state, waiting, left) == (JobState.PENDING, (2_000, 1), 0)
    assert logged > 0
