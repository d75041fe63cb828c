"""Tests of the models of targets, against results that are known without them."""

import random
from collections import Counter

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailrun.exceptions import ExperimentFileError
from wagtailrun.experiments.target_models import (
    CallAnswer,
    EngineModel,
    EngineParameters,
    EngineRequest,
    LostRequest,
    ModelDriver,
    Piece,
    PieceEnd,
    PlainModel,
    PlainParameters,
    PromptPart,
    RefusalCause,
    StageCall,
    StageModel,
    StageParameters,
)
from wagtailrun.virtual_time import run_virtual

LONG_MS = 1e7


def engine(**parameters):
    return EngineModel(EngineParameters(**{"warm_up_ms": 0.0, **parameters}))


def prompt(name, parts=(), tokens=1, **options):
    parts = tuple(PromptPart(*part) for part in parts)
    return EngineRequest(name, parts, tokens, **options)


def times(outputs, request):
    return [each.at_ms for each in outputs if each.request == request]


@pytest.mark.parametrize("streams", [1, 8, 64])
def test_batch_of_streams(streams):
    """Guards against a step whose time does not grow with the batch as stated."""
    model = engine(step_ms=4.0, stream_step_ms=0.25)
    for number in range(streams):
        assert model.submit(prompt(f"s{number}", tokens=20), 0.0) is None
    outputs = model.advance(LONG_MS)
    # The first request begins the first step alone, and the last step lacks it.
    alone_ms, full_ms = 4.25, 4.0 + 0.25 * streams
    expected = [alone_ms + number * full_ms for number in range(20)]
    assert times(outputs, "s0") == pytest.approx(expected)
    last_ms = expected[-1] + (4.0 + 0.25 * (streams - 1)) * (streams > 1)
    assert outputs[-1].at_ms == pytest.approx(last_ms)
    assert [e.is_last for e in outputs if e.request == "s0"] == [False] * 19 + [True]


def test_prefill_in_chunks_beside_decoding():
    """Guards against prompts that are read for nothing, or that delay nobody."""
    model = engine(
        prefill_tokens_per_ms=50.0, chunk_tokens=500, step_ms=4.0, stream_step_ms=0.5
    )
    model.submit(prompt("one", [("a", 1_200)], 10), 0.0)
    model.submit(prompt("two", [("b", 1_000)], 2), 1.0)
    outputs = model.advance(LONG_MS)
    # Alone: chunks of 10, 10 and 4 ms; the third one also reads 300 of the second
    # prompt. Then each step decodes the first stream beside a chunk.
    firsts = [30.0, 30.0 + 10.0 + 4.5, 30.0 + 10.0 + 4.5 + 4.0 + 4.5]
    assert times(outputs, "one")[:3] == pytest.approx(firsts)
    assert times(outputs, "two") == pytest.approx([firsts[2], firsts[2] + 5.0])


def test_cached_parts_are_not_read_again():
    """Guards against a cache without effect, or one that ignores what came before."""
    model = engine(prefill_tokens_per_ms=10.0, chunk_tokens=100)
    shared = [("system", 600), ("tools", 300)]
    model.submit(prompt("first", [*shared, ("q1", 100)]), 0.0)
    assert model.advance(LONG_MS)[0].at_ms == pytest.approx(100.0)
    begin_ms = LONG_MS
    for name, parts, read in (
        ("same", [*shared, ("q2", 50)], 50),
        ("tools-first", [shared[1], shared[0], ("q1", 100)], 1_000),
        ("again", [*shared, ("q1", 100)], 0),
    ):
        before = model.read_tokens
        model.submit(prompt(name, parts), begin_ms)
        (event,) = model.advance(begin_ms := begin_ms + 1_000.0)
        assert model.read_tokens - before == read, name
        assert event.cached_tokens == sum(tokens for _, tokens in parts) - read


def test_least_recently_used_parts_are_evicted_first():
    """Guards against an eviction of what is in use, or of a start before its end."""
    model = engine(memory_tokens=1_000)
    for at, name in enumerate(("old", "new")):
        model.submit(prompt(name, [(name, 300), (f"{name}-end", 100)]), at * 100.0)
        model.advance(at * 100.0 + 99.0)
    assert model.used_tokens == 800
    model.submit(prompt("big", [("big", 299)], 1), 300.0)
    model.advance(400.0)
    kept = {chain[-1] for chain in model.cache.parts_by_chain}
    assert kept == {"old", "new", "new-end", "big"}
    assert model.submit(prompt("huge", [("h", 1_000)]), 400.0) is RefusalCause.TOO_LARGE
    model.submit(prompt("most", [("m", 999)]), 400.0)
    assert len(model.advance(LONG_MS)) == 1
    assert model.used_tokens == model.cache.tokens == 999


def test_memory_and_slots_let_requests_wait():
    """Guards against a batch beyond memory or slots, and a refusal before all wait."""
    model = engine(slots=2, max_waiting=1, memory_tokens=100)
    answers = [
        model.submit(prompt(f"r{n}", [(f"p{n}", 50)], 10), 0.0) for n in range(4)
    ]
    assert answers == [None, None, None, RefusalCause.FULL]
    load = model.load(0.0)
    assert (load.running, load.waiting, load.used) == (1, 2, 60)
    outputs = model.advance(LONG_MS)
    assert [e.request for e in outputs if e.is_last] == ["r0", "r1", "r2"]
    first = {name: times(outputs, name)[0] for name in ("r0", "r1")}
    assert first["r1"] > times(outputs, "r0")[-1]


def test_priorities_and_later_events():
    """Guards against a resumed stream from its start, and urgent requests behind."""
    model = engine(slots=1, prefill_tokens_per_ms=10.0, step_ms=1.0, stream_step_ms=0.0)
    model.submit(prompt("running", tokens=5), 0.0)
    model.submit(prompt("later", tokens=5), 0.0)
    model.submit(prompt("urgent", tokens=5, first_event=3, priority=1), 0.0)
    outputs = model.advance(LONG_MS)
    names = [each.request for each in outputs]
    assert names == ["running"] * 5 + ["urgent"] * 2 + ["later"] * 5
    resumed = [each for each in outputs if each.request == "urgent"]
    assert [each.number for each in resumed] == [3, 4]
    # Three tokens are read again in 0.3 ms.
    assert [each.at_ms for each in resumed] == pytest.approx([5.3, 6.3])
    with pytest.raises(ValueError, match="ask for an event that follows"):
        prompt("none", tokens=5, first_event=5)


def test_cold_engine_warms_with_its_work():
    """Guards against an engine that warms with time, or never."""
    model = engine(step_ms=2.0, stream_step_ms=0.0, cold_factor=4.0, warm_up_ms=100.0)
    model.submit(prompt("cold", tokens=50), 5_000.0)
    cold = model.advance(LONG_MS)[-1].at_ms - 5_000.0
    # The mean factor of 50 steps from 4 down to 1.06.
    assert cold == pytest.approx(100.0 + 3.0 * 2.0 * 51 / 2)
    model.submit(prompt("warm", tokens=50), LONG_MS)
    assert model.advance(LONG_MS * 2)[-1].at_ms - LONG_MS == pytest.approx(100.0)
    model.restart(LONG_MS * 2)
    assert model.cold_factor == 4.0


def test_crash_on_a_part_ends_all_requests():
    """Guards against a crash that others survive, or a process that stays usable."""
    model = engine(crash_parts=("bad",), chunk_tokens=100)
    model.submit(prompt("sound", [("ok", 50)], 100), 0.0)
    model.submit(prompt("crash", [("ok2", 500), ("bad", 10)]), 0.0)
    model.submit(prompt("waits", tokens=100), 10.0)
    outputs = model.advance(LONG_MS)
    lost = [each for each in outputs if isinstance(each, LostRequest)]
    assert [each.request for each in lost] == ["sound", "crash", "waits"]
    assert 1 < len(outputs) - len(lost) < 100
    assert not model.is_alive and model.used_tokens == 0
    assert model.submit(prompt("late"), LONG_MS) is RefusalCause.DOWN
    model.restart(LONG_MS)
    assert model.submit(prompt("late"), LONG_MS) is None


REQUESTS = st.lists(
    st.tuples(
        st.floats(0, 50),
        st.lists(st.sampled_from("abc"), max_size=3),
        st.integers(1, 12),
        st.integers(0, 11),
        st.integers(0, 2),
    ),
    min_size=1,
    max_size=25,
)


@settings(max_examples=60, deadline=None)
@given(REQUESTS, st.randoms(use_true_random=False))
def test_any_load_is_served_in_order_within_memory(requests, rng):
    """Guards against lost, repeated or disordered events, and memory that leaks."""
    model = engine(slots=3, max_waiting=5, memory_tokens=200, chunk_tokens=32)
    outputs, expected, now_ms = [], {}, 0.0
    for number, (gap_ms, names, tokens, first, priority) in enumerate(requests):
        now_ms += gap_ms
        outputs += model.advance(now_ms)
        first = min(first, tokens - 1)
        parts = [(name, 10 * (ord(name) - 90)) for name in names]
        request = prompt(f"r{number}", parts, tokens, first_event=first)
        cause = model.submit(request, now_ms)
        assert (cause is RefusalCause.TOO_LARGE) == (request.tokens > 200)
        if cause is None:
            expected[request.request] = list(range(first, tokens))
        if priority == 2 and expected and rng.random() < 0.5:
            dropped = rng.choice(list(expected))
            model.cancel(dropped, now_ms)
            del expected[dropped]
        used = sum(job.own_tokens for job in model.batch.values())
        assert used == model.own_tokens and model.used_tokens <= 200
        users = Counter(n for j in model.batch.values() for n in range(j.kept))
        parts = model.cache.parts_by_chain.values()
        assert sum(part.users for part in parts) == users.total()
        assert sum(part.tokens for part in parts) == model.cache.tokens
    outputs += model.advance(LONG_MS)
    for name, numbers in expected.items():
        assert [each.number for each in outputs if each.request == name] == numbers
    assert [e.at_ms for e in outputs] == sorted(e.at_ms for e in outputs)
    assert model.own_tokens == 0 and model.cache.idle_tokens == model.cache.tokens


@pytest.mark.parametrize(("share", "spread"), [(0.5, 0.0), (0.7, 0.0), (0.7, 0.9)])
def test_queue_at_known_load(share, spread):
    """Guards against waits that differ from Pollaczek and Khinchine's formula."""
    model = PlainModel(PlainParameters(slots=1, max_waiting=10_000, spread=spread), 1)
    rng, now_ms, begun = random.Random(2), 0.0, {}
    outputs = []
    for number in range(120_000):
        now_ms += rng.expovariate(share / 45.0)
        outputs += model.advance(now_ms)
        begun[str(number)] = now_ms
        assert model.submit(str(number), now_ms) is None
    waits = [each.at_ms - each.run_ms - begun[each.request] for each in outputs]
    expected = share * 45.0 * (1 + spread**2 / 3) / (2 * (1 - share))
    assert sum(waits) / len(waits) == pytest.approx(expected, rel=0.05)
    assert model.busy_ms / now_ms == pytest.approx(share, rel=0.02)


def test_plain_service_has_slots_and_refuses_when_full():
    """Guards against more calls at once than slots, and a cancelled call's answer."""
    model = PlainModel(PlainParameters(slots=2, max_waiting=2, spread=0.0))
    causes = [model.submit(f"c{n}", 0.0) for n in range(5)]
    assert causes == [None] * 4 + [RefusalCause.FULL]
    model.cancel("c0", 10.0)
    model.cancel("c3", 10.0)
    ends = [(each.request, each.at_ms) for each in model.advance(LONG_MS)]
    assert ends == [("c1", 45.0), ("c2", 90.0)]
    with pytest.raises(ValueError, match="before"):
        model.advance(0.0)


def test_standstill_and_pace():
    """Guards against work that goes on while the process stands still."""
    model = PlainModel(PlainParameters(slots=1, spread=0.0, service_ms=40.0))
    model.submit("a", 0.0)
    model.pause(10.0)
    assert model.next_ms() is None
    model.submit("b", 20.0)
    model.resume(110.0)
    model.pace = 2.0
    ends = [(each.request, each.at_ms) for each in model.advance(LONG_MS)]
    assert ends == [("a", 140.0), ("b", 220.0)]
    idle = PlainModel(PlainParameters())
    idle.pause(0.0)
    idle.submit("c", 5.0)
    assert idle.advance(1_000.0) == []
    idle.resume(1_000.0)
    assert len(idle.advance(2_000.0)) == 1


def test_load_is_told_late():
    """Guards against a target that tells its load at once."""
    model = PlainModel(PlainParameters(slots=1, spread=0.0, report_lag_ms=100.0))
    for number in range(3):
        model.submit(str(number), 200.0)
    told = [model.told_load(200.0 + at) for at in (0, 99, 100, 145, 200, 400)]
    assert [load.running + load.waiting for load in told] == [0, 0, 3, 2, 1, 0]
    assert model.load(600.0).running == 0


def ends_of(answer):
    return [reply.end for reply in answer.replies]


def test_calls_of_a_stage():
    """Guards against a call whose time is not that of its pieces, or one too many."""
    model = StageModel(StageParameters(places=2, max_waiting=1))
    calls = [StageCall(f"c{n}", (Piece(),) * (n + 1)) for n in range(8)]
    assert model.submit(calls[7], 0.0) is RefusalCause.TOO_LARGE
    causes = [model.submit(call, 0.0) for call in calls[:4]]
    assert causes == [None, None, None, RefusalCause.FULL]
    ends = [(each.call, each.at_ms) for each in model.advance(1_000.0)]
    assert ends == [("c0", 168.0), ("c1", 186.0), ("c2", 168.0 + 204.0)]
    assert model.busy_ms == 168.0 + 186.0 + 204.0


def test_results_occupy_memory_until_released_or_expired():
    """Guards against results that stay, or that vanish before their time."""
    model = StageModel(StageParameters(result_bytes=325_000.0, result_ms=2_000.0), "s0")
    model.submit(StageCall("a", (Piece(),) * 6), 0.0)
    (answer,) = model.advance(500.0)
    done, full = PieceEnd.DONE, PieceEnd.NO_MEMORY
    assert ends_of(answer) == [done] * 4 + [full] * 2
    assert answer.at_ms == 150.0 + 4 * 18.0
    handles = [reply.handle for reply in answer.replies[:4]]
    model.release(handles[:1], 500.0)
    model.submit(StageCall("b", (Piece(), Piece())), 500.0)
    (answer,) = model.advance(1_000.0)
    assert ends_of(answer) == [done, full]
    assert model.has(handles[1], 2_221.0) and not model.has(handles[0], 2_221.0)
    assert not model.has(handles[1], 2_222.0)
    assert model.load(2_222.0).used == 325_000.0


def test_pieces_that_do_not_run():
    """Guards against a piece without its input, or one that is late, that runs."""
    model = StageModel(StageParameters(), can_fetch=lambda handle: handle == "far")
    model.submit(StageCall("a", (Piece(),)), 0.0)
    (answer,) = model.advance(300.0)
    own = answer.replies[0].handle
    pieces = (Piece((own, "far")), Piece((own, "none")), Piece(due_ms=400.0))
    model.submit(StageCall("b", pieces), 300.0)
    (answer,) = model.advance(1_000.0)
    assert ends_of(answer) == [PieceEnd.DONE, PieceEnd.GONE, PieceEnd.LATE]
    assert answer.at_ms == 300.0 + 168.0
    model.submit(StageCall("c", (Piece(("none",)),)), 1_000.0)
    assert model.advance(1_000.0)[0].at_ms == 1_000.0
    model.submit(StageCall("d", (Piece(),)), 1_000.0)
    model.cancel("d", 1_010.0)
    model.submit(StageCall("e", (Piece(),)), 1_020.0)
    (answer,) = model.advance(2_000.0)
    assert (answer.call, answer.at_ms) == ("e", 1_000.0 + 2 * 168.0)
    assert model.load(2_000.0).used == 3 * 30_000.0
    model.crash(2_000.0)
    assert not model.has(own, 2_000.0)


def test_driver_delivers_each_output_at_its_time():
    """Guards against outputs that the event loop delivers late or twice."""

    def load(model, now_ms):
        model.submit(StageCall(f"c{now_ms:.0f}", (Piece(),) * 3), now_ms)

    found = []

    async def main(clock):
        model = StageModel(StageParameters(max_waiting=9, piece_ms=0.1))

        async def deliver(output):
            assert isinstance(output, CallAnswer)
            now_ms = await driver.now_ms()
            assert now_ms == pytest.approx(output.at_ms)
            found.append(output)

        driver = ModelDriver(model, deliver)
        task = await curio.spawn(driver.run)
        for _ in range(5):
            load(model, await driver.now_ms())
            await driver.wake()
            await curio.sleep(0.0701)
        await curio.sleep(3)
        await task.cancel()

    run_virtual(main)
    plain = StageModel(StageParameters(max_waiting=9, piece_ms=0.1))
    for number in range(5):
        load(plain, number * 70.1)
    assert [each.call for each in found] == ["c0", "c70", "c140", "c210", "c280"]
    expected = [each.at_ms for each in plain.advance(LONG_MS)]
    assert [each.at_ms for each in found] == pytest.approx(expected)


@pytest.mark.parametrize(
    ("kind", "key", "value", "remedy"),
    [
        (EngineParameters, "slots", 0, "a whole number from 1 to"),
        (EngineParameters, "slots", 1.5, "a whole number"),
        (EngineParameters, "prefill_tokens_per_ms", 0.0, "a number from 0.001"),
        (EngineParameters, "crash_parts", "bad", "a list of names"),
        (StageParameters, "result_bytes", -1.0, "a number from 0"),
        (StageParameters, "piece_ms", float("nan"), "a number from 0"),
        (PlainParameters, "spread", 1.1, "a number from 0 to 1"),
        (PlainParameters, "service_ms", True, "a number"),
    ],
)
def test_bad_parameter_is_named(kind, key, value, remedy):
    """Guards against a typing error that models another target."""
    with pytest.raises(ExperimentFileError) as error:
        kind(**{key: value})
    assert f"{key}: {value!r} is not accepted; give {remedy}" in str(error.value)
