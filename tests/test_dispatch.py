"""Tests of attempts: retries, hedges, stalled connections and verdicts."""

from contextlib import aclosing

import attrs
import curio
import pytest

from wagtailrun.exceptions import ConnectFailed, Refusal, TargetFailed, Verdict
from wagtailrun.replay.emulator import Emulator, TargetModel
from wagtailrun.serving import repeats
from wagtailrun.serving.dispatch import DispatchOptions, Work, make_dispatcher
from wagtailrun.targets.attempt_observer import NullObserver
from wagtailrun.targets.retries import MAX_REDIRECTS
from wagtailrun.targets.table import Membership
from wagtailrun.virtual_time import run_virtual

ENGINE = TargetModel(capacity=4, decode_ms=20.0)
POOL = TargetModel(capacity=4, service_ms=20.0)
GENERATE = Work(
    "t", "/v1/stages/generate", b'{"max_tokens": 50}', "r", "ws", 0, stage="generate"
)
ORDER = Work("t", "/v1/calls/book", b'{"order_key": "k"}', "r", "ws", 0, False)


class Recorder(NullObserver):
    """Observer that lists what it was notified of."""

    def __init__(self):
        self.events = []

    def hedged(self, work, target):
        self.events.append(("hedged", target.name))

    def wasted(self, work, target, duration_ms):
        self.events.append(("wasted", target.name, duration_ms > 0))

    def retried(self, work, target, error):
        self.events.append(("retried", target.name))


class DispatcherHarness:
    """Three emulated targets and a dispatcher with known durations."""

    def __init__(self, clock, client=None):
        self.clock = clock
        self.emulator = Emulator(clock)
        self.recorder = Recorder()
        self.client = client or self.emulator.client("entry", "east")

    async def start(self, model):
        for number in range(3):
            await self.emulator.add(f"t{number}", "t", "east", model)
        membership = Membership()
        self.emulator.observe("east", membership)
        self.dispatcher = make_dispatcher(
            self.clock,
            membership,
            self.client,
            name="entry",
            probe=getattr(self.client, "probe", None),
            observer=self.recorder,
            seed=1,
        )
        for _ in range(30):
            for work in (GENERATE, ORDER):
                self.dispatcher.estimates.record("t", work.stage, (7, 0), 60, 1_100)
        self.dispatcher.estimates.record_gap("t", 20)
        self.dispatcher.budget.tokens_by_service["t"] = 20.0
        return self.dispatcher

    def work(self, work, deadline_ms=8_000):
        return attrs.evolve(work, deadline_at_ms=self.clock.now_ms() + deadline_ms)

    async def offsets(self, work, after=None):
        """Return the offsets that a caller receives; call ``after`` at the tenth."""
        seen = []
        async with aclosing(self.dispatcher.stream(self.work(work))) as stream:
            async for item in stream:
                if isinstance(item, Refusal):
                    return seen, item
                seen += [token.offset for token in item if not token.last]
                if len(seen) == 10 and after is not None:
                    await after(next(self.targets_running()))
                    after = None
        return seen, None

    def targets_running(self):
        return (t for t in self.emulator.targets_by_name.values() if t.running)


@pytest.mark.parametrize("fault", ["die", "silence", "vanish", "straggle"])
def test_broken_stream_neither_loses_nor_repeats_a_token(fault):
    """Guards against lost or duplicated tokens when a stream moves.

    Also guards against failures that are attributed to the wrong cause: only a target
    that vanishes is unreachable, and a stalled connection is not the target's failure.
    """

    async def main(clock):
        harness = DispatcherHarness(clock)
        dispatcher = await harness.start(ENGINE)
        hit = []

        async def after(target):
            hit.append(target.row.name)
            if fault == "straggle":
                target.slowdown_factor = 20.0
            elif fault == "silence":
                harness.emulator.stall_connections(target.row.name)
            else:
                await getattr(harness.emulator, fault)(target.row.name)

        work = attrs.evolve(GENERATE, max_tokens=50)
        seen, refusal = await harness.offsets(work, after)
        blamed = hit[0] in dispatcher.router.paths.observations_by_name
        samples = dispatcher.router.throttle.peers_by_name.get(hit[0])
        failed = samples is not None and max(s for _, s in samples.samples) >= 10
        return seen, refusal, blamed, failed, clock.now_ms()

    seen, refusal, blamed, failed, ended_ms = run_virtual(main)
    assert refusal is None
    assert seen == list(range(50))
    assert ended_ms < 5_000
    assert blamed == (fault == "vanish")
    assert failed == (fault != "silence")


@pytest.mark.parametrize(
    ("versions", "fault", "is_whole"),
    [
        (("v1", "v1", "v1"), "die", True),
        (("v1", "v2", "v3"), "die", False),
        (("v1", "v2", "v3"), "straggle", True),
        (("", "", ""), "die", True),
    ],
)
def test_stream_moves_only_to_a_target_of_its_version(versions, fault, is_whole):
    """Guards against a stream that is joined from two software versions.

    Also guards against a slow but sound stream that is cut because it may not move.
    """

    async def main(clock):
        harness = DispatcherHarness(clock)
        await harness.start(ENGINE)
        targets = harness.emulator.targets_by_name.values()
        for target, version in zip(targets, versions, strict=True):
            row = attrs.evolve(target.row, sequence=9, software_version=version)
            assert harness.dispatcher.membership.put(row, clock.now_ms())

        async def after(target):
            if fault == "straggle":
                target.slowdown_factor = 5.0
            else:
                await harness.emulator.die(target.row.name)

        work = attrs.evolve(GENERATE, max_tokens=50)
        started_ms = clock.now_ms()
        seen, refusal = await harness.offsets(work, after)
        return seen, refusal, clock.now_ms() - started_ms

    seen, refusal, took_ms = run_virtual(main)
    if is_whole:
        assert (seen, refusal) == (list(range(50)), None)
    else:
        assert seen == list(range(10))
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
        assert took_ms < 2_000


def test_hedge_loser_is_cancelled_and_recorded():
    """Guards against duplicate work that keeps running or is not accounted for."""

    async def main(clock):
        harness = DispatcherHarness(clock)
        await harness.start(ENGINE)
        for target in list(harness.emulator.targets_by_name.values())[:2]:
            target.slowdown_factor = 20.0
        for _ in range(6):
            await harness.offsets(GENERATE)
        await clock.sleep_ms(2_000)
        return harness.recorder.events, list(harness.targets_running())

    events, running = run_virtual(main)
    hedged = [event for event in events if event[0] == "hedged"]
    assert hedged
    assert len([event for event in events if event[0] == "wasted"]) >= len(hedged)
    assert not running


@pytest.mark.parametrize("seed", range(5))
def test_order_is_sent_at_most_once_on_a_new_connection(seed):
    """Guards against an order that runs twice when its connection breaks."""

    async def main(clock):
        harness = DispatcherHarness(clock)
        dispatcher = await harness.start(POOL)
        task = await curio.spawn(dispatcher.call, harness.work(ORDER))
        await clock.sleep_ms(5 + seed * 4)
        for name in harness.emulator.targets_by_name:
            await harness.emulator.die(name)
        result = await task.join()
        targets = harness.emulator.targets_by_name.values()
        runs = sum(target.runs_by_key["k"] for target in targets)
        return result, runs, harness.client.attempts, harness.client.fresh_attempts

    result, runs, attempts, fresh = run_virtual(main)
    assert runs <= 1
    assert attempts == fresh == 1
    assert not isinstance(result, Refusal) or result.verdict is Verdict.MAY_HAVE_RUN


class Scripted:
    """Client that fails with the given errors in turn."""

    def __init__(self, errors):
        self.errors = list(errors)

    async def call(self, address, attempt):
        raise self.errors.pop(0)

    async def cancel(self, address, number):
        return


def verdict_after(errors, work=GENERATE):
    async def main(clock):
        harness = DispatcherHarness(clock, Scripted(errors))
        dispatcher = await harness.start(POOL)
        return (await dispatcher.call(harness.work(work))).verdict

    return run_virtual(main)


RESET = TargetFailed("reset", verdict=Verdict.MAY_HAVE_RUN)
REFUSED = ConnectFailed("refused", refused=True)


def test_verdict_stays_may_have_run(monkeypatch):
    """Guards against "not run" after an attempt that may have run."""
    errors = [RESET, *[REFUSED] * 4]
    assert verdict_after(errors) is Verdict.MAY_HAVE_RUN
    assert verdict_after([REFUSED] * 4) is Verdict.NOT_RUN
    assert verdict_after([RESET, REFUSED], ORDER) is Verdict.MAY_HAVE_RUN
    monkeypatch.setattr(repeats, "_worse_verdict", lambda one, other: other)
    assert verdict_after(errors) is Verdict.NOT_RUN, (
        "the test does not detect a missing guard"
    )


class LongestDelay:
    """Random source whose delays are the longest ones."""

    def randint(self, low, high):
        return high


@pytest.mark.parametrize("work", [GENERATE, ORDER], ids=["call", "order"])
def test_attempt_that_was_never_sent_goes_elsewhere_at_once(work):
    """Guards against refusals beside idle targets once the retry budget is empty.

    Connect timeouts had spent the budget of a service, and each was followed by the
    back-off that is meant for load.
    """

    async def main(clock):
        harness = DispatcherHarness(clock)
        dispatcher = await harness.start(POOL)
        dispatcher.options = attrs.evolve(dispatcher.options, hedges=False)
        dispatcher.context.random = LongestDelay()
        dispatcher.budget.tokens_by_service["t"] = 0.5
        # Loads that make the router prefer the two that are lost.
        for name, target in harness.emulator.targets_by_name.items():
            if name == "t2":
                dispatcher.router.started(target.row)
            else:
                await harness.emulator.vanish(name)
        answer = await dispatcher.call(harness.work(work))
        tokens = dispatcher.budget.tokens_by_service["t"]
        return answer, clock.now_ms(), tokens, dispatcher.counts

    answer, ended_ms, tokens, counts = run_virtual(main)
    assert not isinstance(answer, Refusal)
    redirects = counts["redirect"]
    assert redirects == 2
    assert 2_000 <= ended_ms < 2_050
    # One first attempt has earned a tenth.
    assert tokens == pytest.approx(0.6)
    assert (counts["first"], counts["retry"]) == (1, 0)


def test_attempts_that_were_never_sent_have_a_bound_of_their_own():
    """Guards against a request that tries to connect until its deadline."""

    async def main(clock):
        client = Scripted([REFUSED] * 10)
        harness = DispatcherHarness(clock, client)
        dispatcher = await harness.start(POOL)
        answer = await dispatcher.call(harness.work(GENERATE))
        return answer.verdict, 10 - len(client.errors)

    assert run_virtual(main) == (Verdict.NOT_RUN, 1 + MAX_REDIRECTS)


def test_hedge_that_was_never_sent_returns_its_token():
    """Guards against hedges to lost targets that leave no token for retries."""

    async def main(clock):
        harness = DispatcherHarness(clock)
        dispatcher = await harness.start(POOL)
        dispatcher.options = attrs.evolve(dispatcher.options, detect_stalls=False)
        dispatcher.budget.tokens_by_service["t"] = 15.0
        slow, *lost = harness.emulator.targets_by_name.values()
        slow.slowdown_factor = 100.0
        run = curio.spawn(dispatcher.call, harness.work(GENERATE))
        for target in lost:
            dispatcher.router.started(target.row)
        task = await run
        await clock.sleep_ms(10)
        for target in lost:
            await harness.emulator.vanish(target.row.name)
        answer = await task.join()
        return answer, dispatcher.counts["hedge"], dispatcher.budget.tokens_by_service

    answer, hedges, tokens_by_service = run_virtual(main)
    assert not isinstance(answer, Refusal)
    assert hedges == 1
    assert tokens_by_service["t"] >= 15.0


def test_hedges_stop_without_budget():
    """Guards against hedges that double the load of a slow stage."""

    async def main(clock, options):
        harness = DispatcherHarness(clock)
        dispatcher = await harness.start(ENGINE)
        dispatcher.options = options
        dispatcher.budget.tokens_by_service["t"] = 0.0
        for target in harness.emulator.targets_by_name.values():
            target.slowdown_factor = 5.0
        for _ in range(10):
            await harness.offsets(GENERATE)
        return dispatcher.counts["hedge"]

    assert run_virtual(main, DispatchOptions()) == 0
    assert run_virtual(main, DispatchOptions(budget=False)) > 0


@pytest.mark.parametrize("pausing", [0, 1, 2])
def test_target_that_pauses_gets_no_hedge(pausing):
    """Guards against a second attempt at a target that asked for no new work."""

    async def main(clock):
        harness = DispatcherHarness(clock)
        dispatcher = await harness.start(ENGINE)
        first, *others = harness.emulator.targets_by_name.values()
        first.slowdown_factor = 20.0
        # The work begins at the only target that does not pause yet.
        for target in others:
            dispatcher.router.pause(target.row, 10)
        task = await curio.spawn(harness.offsets, GENERATE)
        await clock.sleep_ms(20)
        for target in others[:pausing]:
            dispatcher.router.pause(target.row, 60_000)
        await task.join()
        names = [name for kind, name, *_ in harness.recorder.events if kind == "hedged"]
        return names, [target.row.name for target in others[pausing:]]

    hedged, free = run_virtual(main)
    assert bool(hedged) == bool(free)
    assert set(hedged) <= set(free)


def test_other_data_centre_serves_a_dead_stage():
    """Guards against unused targets of other data centres."""

    async def main(clock):
        harness = DispatcherHarness(clock)
        dispatcher = await harness.start(POOL)
        dispatcher.membership.data_centre = "west"
        assert dispatcher.membership.usable("t", clock.now_ms()) == []
        return await dispatcher.call(harness.work(GENERATE))

    assert not isinstance(run_virtual(main), Refusal)
