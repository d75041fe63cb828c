"""Tests that unexpected errors end neither a process nor a task for good."""

import curio
import pytest

from wagtailrun.exceptions import SettingsError
from wagtailrun.process.supervisor import MAX_RESTART_PAUSE_MS, supervise
from wagtailrun.virtual_time import run_virtual


def test_task_is_started_again_after_an_unexpected_error():
    """Guards against one malformed message that ends a process or a task silently."""
    starts = []

    async def task(limit):
        starts.append(limit)
        if len(starts) < limit:
            raise ValueError("unexpected")

    async def main(clock):
        await supervise("task", task, 12)
        return clock.now_ms()

    took_ms = run_virtual(main)
    assert len(starts) == 12
    assert took_ms <= 11 * MAX_RESTART_PAUSE_MS


def test_settings_error_ends_the_task():
    """Guards against a process that cannot listen and tries for ever."""

    async def task():
        raise SettingsError("cannot listen")

    async def main(clock):
        with pytest.raises(SettingsError):
            await supervise("task", task)

    run_virtual(main)


def test_cancelled_task_ends():
    """Guards against a task that survives the stop of its process."""

    async def main(clock):
        task = await curio.spawn(supervise, "task", curio.sleep, 1_000)
        await curio.sleep(1)
        await task.cancel()
        return task.terminated

    assert run_virtual(main)
