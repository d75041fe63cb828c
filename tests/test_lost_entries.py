"""Tests of results whose entries are beyond a cut, in virtual time."""

import attrs
import curio
import pytest

from tests.test_stage_memory import make_harness, serve
from tests.test_stage_pool import target
from tests.test_stage_runner import CAPACITY, Fleet, other_entry, work
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import TargetFailed
from wagtailrun.logs.events import EVENT_LOG, UNUSED_RESULTS_RELEASED
from wagtailrun.routes import StageStep
from wagtailrun.stages import JobState, StageResults, StageRunner
from wagtailrun.stages.lost_entries import SILENCE_MS
from wagtailrun.virtual_time import run_virtual

LARGE = {"result_bytes": 300, "aim_ms": 1_000, "remaining_ms": 5_000, "wait_ms": 600}


async def ask(harness, name, pieces, **options):
    """Ask for a step as the entry beyond the cut does, without its next polls."""
    message = harness.message(name, pieces, entry_data_centre="b", **LARGE)
    message = attrs.evolve(message, **options)
    return await curio.spawn(harness.batcher.handle, message, daemon=True)


def cut_off(harness):
    """Let the data centre beyond the cut count as away."""
    harness.batcher.lost_entries.is_away = lambda data_centre: data_centre == "b"


async def serve_beside_cut(clock, confirmations=0, is_away=True, **options):
    """Serve a step after a cut, with results for an entry beyond it.

    Args:
        clock: Virtual clock.
        confirmations: Number of steps that the entry still confirms.
        is_away: Whether its data centre counts as away from the cut on.
        **options: Fields of its request.

    Returns:
        The state of the step of this side, when it ended after the cut, and the number
        of log lines about released results.
    """
    harness = make_harness(clock, [target(1)])
    number = UNUSED_RESULTS_RELEASED.number
    before = EVENT_LOG.counts_by_number.get(number, 0)
    await ask(harness, "beyond", 4, **options)
    await clock.sleep_ms(50)
    cut_ms = clock.now_ms()
    if is_away:
        cut_off(harness)

    async def confirm():
        for _ in range(confirmations):
            await ask(harness, "announced", 1, reserve=True, announcement=2, wait_ms=0)
            await clock.sleep_ms(500)

    confirming = await curio.spawn(confirm, daemon=True)
    await clock.sleep_ms(800)
    outcomes = []
    await serve(clock, harness, "here", 5, outcomes)
    ended_ms = clock.now_ms() - cut_ms
    await confirming.cancel()
    logged = EVENT_LOG.counts_by_number.get(number, 0) - before
    [(_, state, _)] = outcomes
    return state, ended_ms, logged


def test_results_of_an_entry_beyond_a_cut_are_released():
    """Load: a cut just after a call whose results fill the memory of this side.

    Guards against steps of this side that wait for that memory until the results
    expire, which is 4 s, and are refused then.
    """

    async def main(clock):
        return await serve_beside_cut(clock)

    state, ended_ms, logged = run_virtual(main)
    assert state == JobState.DONE
    # The entry is silent for a while, then one call of five pieces follows.
    assert ended_ms < SILENCE_MS + 800
    assert logged == 1


def test_step_of_an_entry_beyond_a_cut_does_not_begin():
    """Load: a cut while a step of an entry beyond it waits for memory.

    Guards against calls for nobody, whose results take up memory in turn.
    """

    async def main(clock):
        harness = make_harness(clock, [target(1)])
        harness.client.lost, harness.client.gone_ms = 7, 1_500
        poll = await ask(harness, "beyond", 4)
        await clock.sleep_ms(50)
        cut_off(harness)
        await poll.join()
        await clock.sleep_ms(2_500)
        return harness.client.places_by_address, harness.batcher.has_open_jobs

    places, is_open = run_virtual(main)
    assert not any(places.values())
    assert not is_open


@pytest.mark.parametrize("data_centre", ["a", "b"])
def test_release_that_fails_is_not_repeated(data_centre):
    """Load: results beyond a cut, and ones of a target that does not answer.

    Guards against releases that are sent again with each review, every 50 ms, which
    delayed the calls of the side: lines of event 723 rose from 97 to 144 on
    one of the days with a cut.
    """

    async def main(clock):
        harness = make_harness(clock, [target(1, data_centre)])
        releases = []

        async def free(address, handles):
            releases.append(handles)
            raise TargetFailed("no answer")

        harness.client.free = free
        await ask(harness, "beyond", 4)
        await clock.sleep_ms(50)
        cut_off(harness)
        # An open step keeps the reviews going.
        await harness.send("open", 1, reserve=True, wait_ms=0)
        await clock.sleep_ms(3_000)
        return len(releases)

    # Targets beyond the cut are not asked at all.
    assert run_virtual(main) == (1 if data_centre == "a" else 0)


@pytest.mark.parametrize("reason", ["asks", "reached", "earlier build"])
def test_results_that_may_be_used_are_kept(reason):
    """Load: a silent entry that is reached, one beyond a cut that still asks.

    Guards against results that are released before they are used: all stages of the
    request run again. Kept connections may outlive a cut, and an earlier build does not
    tell where its entries are.
    """
    options = {
        "asks": {"confirmations": 10},
        "reached": {"is_away": False},
        "earlier build": {"entry_data_centre": ""},
    }

    async def main(clock):
        return await serve_beside_cut(clock, **options[reason])

    _, ended_ms, logged = run_virtual(main)
    assert logged == 0
    assert ended_ms > 3_000


def test_standstill_is_no_silence_of_an_entry():
    """Load: an owner that stands still while a data centre counts as away.

    Guards against results that are dropped because their owner did not read what the
    entry sent.
    """

    async def main(clock):
        harness = make_harness(clock, [target(1)])
        lost_entries = harness.batcher.lost_entries
        await (await ask(harness, "beyond", 4)).join()
        [job] = harness.batcher.pools_by_service["s"].ended_jobs
        cut_off(harness)
        await clock.sleep_ms(SILENCE_MS + 100)
        held_ms = clock.now_ms() - 50
        lost_entries.was_held_since = lambda since_ms: since_ms < held_ms
        at_once = lost_entries.is_lost(job)
        await clock.sleep_ms(SILENCE_MS + 100)
        return at_once, lost_entries.is_lost(job)

    assert run_virtual(main) == (False, True)


def test_owners_learn_where_the_entry_of_a_request_is():
    """Guards against results that no side of a cut knows to be of the other one."""

    async def main(clock):
        fleet = Fleet(clock)
        name, owner = other_entry()
        plain = fleet.runners[name]
        rows = plain.owners.entries()
        runner = StageRunner(
            clock,
            plain.link,
            name,
            plain.batcher,
            Owners(clock, lambda: rows),
            lambda service: CAPACITY,
            data_centre="b",
        )
        staged = work(clock, (1,), (StageStep("s", (), 10),))
        await runner.run(staged, "a", StageResults())
        jobs = fleet.runners[owner].batcher.pools_by_service["s"].ended_jobs
        return [job.message.entry_data_centre for job in jobs]

    assert run_virtual(main) == ["b"]
