"""Tests of stages whose owner has lost the path to a data centre, in virtual time."""

import curio

from tests.test_stage_pool import BatcherHarness, target
from wagtailrun.exceptions import ConnectFailed
from wagtailrun.stages import JobState
from wagtailrun.virtual_time import run_virtual

RUN_MS = 10_000


def test_steps_do_not_wait_for_a_data_centre_that_is_cut_off():
    """Load: steps whose results should be made in a data centre that is cut off.

    Guards against steps that wait until shortly before their objective for a target to
    which there is no path, as if it were busy, and against calls to it that fail for as
    long as the cut lasts: 50 in 14 s, while the others had work for their slots.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(1, "a"), target(2, "b")])
        harness.client.faults_by_name["t1"] = ConnectFailed("no path", confirmed=False)
        took_ms = []

        async def send(number):
            started_ms = clock.now_ms()
            state = await harness.send(f"r{number}", moved_bytes=10_000_000)
            assert state.state == JobState.DONE
            took_ms.append(clock.now_ms() - started_ms)

        async with curio.TaskGroup() as group:
            for number in range(RUN_MS // 250):
                await group.spawn(send, number)
                await clock.sleep_ms(250)
        to_lost = [name for _, name, _ in harness.client.calls if name == "t1"]
        harness.client.faults_by_name.clear()
        await clock.sleep_ms(2_000)
        await harness.send("again", moved_bytes=10_000_000)
        return took_ms, len(to_lost), harness.client.calls[-1][1]

    took_ms, lost_calls, last_target = run_virtual(main)
    # A call of one piece takes 180 ms; the next one may have to wait for it.
    assert max(took_ms) <= 2 * 180
    assert lost_calls <= 8
    assert last_target == "t1"


def test_owner_that_loses_all_paths_for_a_moment_refuses_nothing():
    """Load: an owner that reaches no target of a service for half a second.

    Guards against refusals of work that can be in time, as if there were no target.
    """

    async def main(clock):
        harness = BatcherHarness(clock, [target(1, "a"), target(2, "b")])
        lost = ConnectFailed("no path", confirmed=False)
        harness.client.faults_by_name = {"t1": lost, "t2": lost}
        async with curio.TaskGroup() as group:
            for number in range(10):
                await group.spawn(harness.send, f"r{number}")
                await clock.sleep_ms(50)
            harness.client.faults_by_name.clear()
        return [state.state for state in group.results]

    assert set(run_virtual(main)) == {JobState.DONE}
