"""Tests of virtual time."""

import time

import curio
import pytest

from wagtailrun.virtual_time import VirtualTimeDeadlock, run_virtual


def test_order_and_time_of_sleeps():
    """Guards against an order of tasks that differs from run to run."""
    seen = []

    async def sleeper(clock, number):
        await clock.sleep_ms(1_000 * (number % 7))
        seen.append((clock.now_ms(), number))

    async def main(clock):
        async with curio.TaskGroup() as group:
            for number in range(50):
                await group.spawn(sleeper, clock, number)
        return clock.now_ms()

    assert run_virtual(main) == 6_000
    first, seen[:] = list(seen), []
    run_virtual(main)
    assert seen == first


def test_threads_take_no_virtual_time():
    """Guards against a clock that runs ahead of work in a thread."""

    async def main(clock):
        async with curio.TaskGroup() as group:
            await group.spawn(clock.sleep_ms, 1_000)
            await curio.run_in_thread(time.sleep, 0.05)
            return clock.now_ms()

    assert run_virtual(main) == 0


def test_deadlock_is_reported():
    """Guards against a test that hangs when no task can run."""

    async def main(clock):
        await curio.Event().wait()

    with pytest.raises(VirtualTimeDeadlock):
        run_virtual(main)
