"""Tests of virtual time."""

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


def test_deadlock_is_reported():
    """Guards against a test that hangs when no task can run."""

    async def main(clock):
        await curio.Event().wait()

    with pytest.raises(VirtualTimeDeadlock):
        run_virtual(main)
