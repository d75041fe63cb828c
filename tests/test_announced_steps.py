"""Tests of announced steps whose inputs do not come, in virtual time."""

import attrs
import curio
import pytest

from tests.test_stage_pool import BatcherHarness
from tests.test_stage_runner import ENTRIES, Fleet, other_entry, work
from wagtailrun.stages import JobState, StageResults
from wagtailrun.stages.job import ANNOUNCEMENT_SILENCE_MS
from wagtailrun.virtual_time import run_virtual

# Time from the fault to the request of another entry.
LATER_MS = 2_000


def row_of(name):
    return next(row for row in ENTRIES if row.name == name)


def third_entry():
    """Return the entry that neither announces the steps nor forms their calls."""
    return next(row.name for row in ENTRIES if row.name not in other_entry())


def staged_request(clock, request_id, pieces, objective_ms, limit_ms):
    now_ms = clock.now_ms()
    return attrs.evolve(
        work(clock, pieces),
        request_id=request_id,
        objective_at_ms=now_ms + objective_ms,
        expires_at_ms=now_ms + limit_ms,
    )


@pytest.mark.parametrize("fault", ["killed", "cut off", "owner left"])
def test_steps_of_a_lost_entry_keep_no_place_in_the_queue(fault):
    """Load: six announced requests, whose entry or path to the owner is then lost.

    Their later steps are 3.6 s of work. Guards against a request of another entry that
    could be in time and is not admitted, or is refused, for work that never comes.
    """

    async def main(clock):
        fleet = Fleet(clock)
        name, owner = other_entry()
        runner = fleet.runners[name]
        requests = [
            staged_request(clock, f"lost{number}", (0, 4, 4, 4), 2_000, 8_000)
            for number in range(6)
        ]
        for lost in requests:
            assert await runner.announce(lost, "a") is not None
        if fault == "owner left":
            runner.owners.exclude(row_of(owner), "no reply")
        if fault != "killed":
            for lost in requests:
                await curio.spawn(runner.run, lost, "a", StageResults(), daemon=True)
        if fault == "cut off":
            await clock.sleep_ms(50)
            fleet.network.cut(row_of(name).address, row_of(owner).address)
        await clock.sleep_ms(LATER_MS)
        other = staged_request(clock, "other", (0, 4, 0, 0), 1_500, 2_500)
        third = fleet.runners[third_entry()]
        admitted_ms = await third.announce(other, "a")
        return admitted_ms, await third.run(other, "a", StageResults())

    admitted_ms, refusal = run_virtual(main)
    assert refusal is None
    assert admitted_ms is not None
    assert admitted_ms < 1_000


def test_steps_of_a_slow_request_keep_their_place():
    """Load: a request whose first step takes 2.2 s, and whose second is 3 s of work.

    Guards against other requests that are admitted in its place and make it late.
    """

    async def main(clock):
        fleet = Fleet(clock)
        name, _ = other_entry()
        runner = fleet.runners[name]
        slow = staged_request(clock, "slow", (0, 32, 40, 4), 3_000, 14_000)
        assert await runner.announce(slow, "a") is not None
        task = await curio.spawn(runner.run, slow, "a", StageResults())
        await clock.sleep_ms(LATER_MS)
        steps = {item.step for _, _, call in fleet.client.calls for item in call}
        other = staged_request(clock, "other", (0, 4, 0, 0), 2_000, 3_000)
        admitted_ms = await fleet.runners[third_entry()].announce(other, "a")
        return steps, admitted_ms, await task.join()

    steps, admitted_ms, refusal = run_virtual(main)
    assert steps == {1}
    assert admitted_ms is None
    assert refusal is None


def test_step_whose_inputs_take_long_is_not_dropped():
    """Load: a request whose first step takes 6.5 s, and whose limit is 20 s.

    Guards against a later step that is refused although its entry is alive and the
    request can be in time.
    """

    async def main(clock):
        fleet = Fleet(clock)
        runner = fleet.runners[other_entry()[0]]
        slow = staged_request(clock, "slow", (0, 96, 4, 0), 10_000, 20_000)
        assert await runner.announce(slow, "a") is not None
        return await runner.run(slow, "a", StageResults())

    assert run_virtual(main) is None


@pytest.mark.parametrize("announcement", [0, 1])
def test_step_counts_again_when_its_entry_is_heard_of(announcement):
    """Load: an entry that is out of touch for a moment, or of an earlier build.

    Guards against a step that loses its place for good, and against one of an earlier
    build, which confirms nothing, that loses it although its entry is alive.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        options = {"reserve": True, "has_inputs": True}
        await harness.send("r", 12, announcement=announcement, **options)
        delays_ms = []

        async def ask():
            number = len(delays_ms)
            limits = {"aim_ms": 3_000, "remaining_ms": 9_000}
            state = await harness.send(f"q{number}", reserve=True, **limits)
            delays_ms.append(state.queue_ms)

        await clock.sleep_ms(ANNOUNCEMENT_SILENCE_MS)
        await ask()
        await clock.sleep_ms(10)
        await ask()
        if announcement:
            await harness.send("r", 12, announcement=2, **options)
            await ask()
        return delays_ms

    delays_ms = run_virtual(main)
    assert delays_ms[0] > 600
    assert delays_ms[-1] > 600
    assert (delays_ms[1] == 0) == bool(announcement)


def test_step_that_is_ready_keeps_its_place_although_its_entry_is_silent():
    """Guards against steps that wait for their turn and lose it without a poll."""

    async def main(clock):
        harness = BatcherHarness(clock)
        options = {"wait_ms": 0, "remaining_ms": 9_000}
        await harness.send("r", 40, reserve=True, announcement=1, **options)
        await harness.send("r", 40, **options)
        await clock.sleep_ms(ANNOUNCEMENT_SILENCE_MS + 10)
        state = await harness.send("q", reserve=True, announcement=1, aim_ms=9_000)
        return state.queue_ms

    # Ten calls of 270 ms, of which six have begun.
    assert run_virtual(main) > 1_000


def test_confirmation_of_an_unknown_step_adds_no_place():
    """Load: the owner of a service changes while the first steps of a request run.

    Guards against a step that its new owner refuses before its inputs are there, by a
    queue that has gone when they are.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        await harness.send("r", reserve=True, announcement=2, remaining_ms=10)
        pool = await harness.batcher.pool("s")
        places = len(pool.jobs_by_key)
        return places, await harness.send("r")

    places, state = run_virtual(main)
    assert places == 0
    assert state.state == JobState.DONE


@pytest.mark.parametrize("remaining_ms", [5_000, 9_000])
def test_dropped_step_says_when_its_entry_was_last_heard_of(remaining_ms):
    """Guards against event 711 that does not tell a lost entry from late inputs."""

    async def main(clock):
        harness = BatcherHarness(clock)
        options = {"reserve": True, "remaining_ms": remaining_ms}
        await harness.send("r", announcement=1, **options)
        await clock.sleep_ms(500)
        await harness.send("r", announcement=2, **options)
        await clock.sleep_ms(7_000)
        pool = await harness.batcher.pool("s")
        return [job.detail for job in pool.ended_jobs]

    (detail,) = run_virtual(main)
    assert detail.endswith("was last heard of 500 ms after its announcement")


@pytest.mark.parametrize("silence_ms", [6_200, 8_900, 9_300])
def test_dropped_step_may_come_back(silence_ms):
    """Load: an entry whose confirmations do not arrive for longer than a step is kept.

    Guards against a step that is refused, although its inputs are there in time, as it
    was dropped while it was announced.
    """

    async def main(clock):
        harness = BatcherHarness(clock)
        limits = {"aim_ms": 15_000, "remaining_ms": 20_000}
        await harness.send("r", 2, reserve=True, announcement=1, **limits)
        await clock.sleep_ms(silence_ms)
        limits = {"aim_ms": 9_000, "remaining_ms": 12_000}
        return await harness.send("r", 2, has_inputs=True, inputs=("ha",), **limits)

    assert run_virtual(main).state == JobState.DONE
