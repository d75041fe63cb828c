"""Tests of the tasks of a daemon, which run until one of them ends."""

import curio
import pytest

from wagtailrun.exceptions import SettingsError
from wagtailrun.process.daemon_tasks import CANCEL_LIMIT_MS, run_until_one_ends
from wagtailrun.virtual_time import run_virtual


class Tasks:
    """Tasks of a daemon, and which of them were cancelled when, in virtual time."""

    def __init__(self, clock):
        self.clock = clock
        self.cancelled_ms = []

    async def serve(self):
        try:
            await curio.sleep(60)
        except curio.CancelledError:
            self.cancelled_ms.append(self.clock.now_ms())
            raise

    async def write(self):
        async with curio.disable_cancellation():
            await curio.sleep(60)

    async def stop(self):
        await self.clock.sleep_ms(1_000)

    async def fail(self):
        await self.clock.sleep_ms(1_000)
        raise SettingsError("cannot listen")


def run(choose):
    """Run the chosen tasks; return when they ended, and when tasks were cancelled."""

    async def main(clock):
        tasks = Tasks(clock)
        await run_until_one_ends(choose(tasks))
        return clock.now_ms(), tasks.cancelled_ms

    return run_virtual(main)


def test_other_tasks_are_cancelled():
    """Guards against a daemon that serves on after the end of its stop."""
    assert run(lambda t: [t.serve, t.stop, t.serve]) == (1_000, [1_000, 1_000])


@pytest.mark.parametrize("position", range(3))
def test_task_that_cannot_be_cancelled_delays_neither_the_end_nor_others(position):
    """Guards against a stop that waits for a disk as long as the disk takes."""

    def choose(tasks):
        functions = [tasks.serve, tasks.stop]
        functions.insert(position, tasks.write)
        return functions

    assert run(choose) == (1_000 + CANCEL_LIMIT_MS, [1_000])


def test_error_of_the_task_that_ends_is_raised():
    """Guards against a fault that ends a daemon as a planned stop does."""

    async def main(clock):
        tasks = Tasks(clock)
        with pytest.raises(SettingsError, match="cannot listen"):
            await run_until_one_ends([tasks.serve, tasks.write, tasks.fail])
        return clock.now_ms(), tasks.cancelled_ms

    assert run_virtual(main) == (1_000 + CANCEL_LIMIT_MS, [1_000])


def test_tasks_end_with_the_daemon_that_runs_them():
    """Guards against tasks that outlive a cancelled daemon."""

    async def main(clock):
        tasks = Tasks(clock)
        running = await curio.spawn(run_until_one_ends, [tasks.serve, tasks.serve])
        await clock.sleep_ms(500)
        await running.cancel()
        return tasks.cancelled_ms

    assert run_virtual(main) == [500, 500]
