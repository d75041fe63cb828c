"""Runs curio tasks in deterministic order under virtual time."""

import selectors
import time
import weakref
from collections.abc import Callable
from typing import Any
from unittest import mock

import curio

from wagtailrun.clock import MS_PER_SECOND, Clock

__all__ = ["TaskOwner", "VirtualClock", "VirtualTimeDeadlock", "run_virtual"]

# 2026-01-01T00:00:00Z, so that wall times in tests are plausible calendar minutes.
DEFAULT_WALL_START_MS = 1_767_225_600_000


class VirtualTimeDeadlock(RuntimeError):
    """No task can run and no timer is pending."""


class VirtualClock(Clock):
    """Clock that advances only when every task is blocked and a timer is pending.

    Args:
        wall_start_ms: Wall time at virtual time zero, in milliseconds.
    """

    def __init__(self, wall_start_ms: int = DEFAULT_WALL_START_MS):
        self.seconds = 0.0
        self.wall_start_ms = wall_start_ms

    def now_ms(self) -> int:
        """Return virtual time in milliseconds."""
        # Compensates for the rounding error of repeated floating-point additions.
        return int(self.seconds * MS_PER_SECOND + 1e-6)

    def wall_ms(self) -> int:
        """Return the wall time at the current virtual time."""
        return self.wall_start_ms + self.now_ms()

    async def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the calling task for ``duration_ms`` virtual milliseconds."""
        await curio.sleep(max(duration_ms, 0) / MS_PER_SECOND)


class TaskOwner:
    """All tasks of one emulated process, which end together.

    A task belongs to the owner of the task that spawned it, so that an owner knows what
    its process has spawned and keeps no reference to.
    """

    def __init__(self) -> None:
        self.tasks_by_id: weakref.WeakValueDictionary[int, _OwnedTask]
        self.tasks_by_id = weakref.WeakValueDictionary()

    async def spawn(self, function: Callable[..., Any], *args: Any) -> curio.Task:
        """Spawn a daemon task that belongs to this owner."""
        return await curio.spawn(self._run, function, args, daemon=True)

    async def _run(self, function: Callable[..., Any], args: tuple[Any, ...]) -> Any:
        task = await curio.current_task()
        task.change_owner(self)
        return await function(*args)

    async def cancel_all(self) -> None:
        """Cancel all tasks, in the order in which they were spawned."""
        while tasks := [
            task
            for _, task in sorted(self.tasks_by_id.items())
            if not (task.terminated or task.cancelled)
        ]:
            for task in tasks:
                await task.cancel(blocking=False)
            # What they spawn as they end belongs to this owner, too.
            await curio.sleep(0)


class _OwnedTask(curio.Task):  # type: ignore[misc]
    """Task that belongs to the owner of the task that spawned it, if it has one."""

    def __init__(self, coro: Any, parent: "_OwnedTask | None" = None):
        super().__init__(coro, parent)
        self.owner: TaskOwner | None = None
        if parent is not None and parent.owner is not None:
            self.change_owner(parent.owner)

    def __hash__(self) -> int:
        # curio keeps tasks in sets. By addresses, their order would differ from run to
        # run, and with it the order in which tasks wake.
        return int(self.id)

    def change_owner(self, owner: TaskOwner) -> None:
        """Belong to another owner from now on."""
        if self.owner is not None:
            self.owner.tasks_by_id.pop(self.id, None)
        self.owner = owner
        owner.tasks_by_id[self.id] = self


class VirtualSelector(selectors.DefaultSelector):
    """Selector that advances a virtual clock instead of blocking."""

    def __init__(self, clock: VirtualClock):
        super().__init__()
        self.clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready files, or advance the clock by ``timeout`` seconds."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise VirtualTimeDeadlock("no task is runnable and no timer is pending")
        self.clock.seconds += max(timeout, 0.0)
        return ready


def run_virtual(
    corofunc: Callable[..., Any], *args: Any, clock: VirtualClock | None = None
) -> Any:
    """Run ``corofunc(clock, *args)`` to completion under virtual time.

    Args:
        corofunc: Coroutine function; its first argument is the virtual clock.
        *args: Further arguments of ``corofunc``.
        clock: Clock to use; a new one by default.

    Returns:
        The result of ``corofunc``.

    Raises:
        VirtualTimeDeadlock: If no task is runnable and no timer is pending.
    """
    clock = clock or VirtualClock()
    # The kernel looks up time.monotonic when it starts to run.
    with (
        mock.patch.object(time, "monotonic", lambda: clock.seconds),
        mock.patch.object(curio, "run_in_thread", _run_inline),
        mock.patch.object(curio.Task, "_lastid", 1),
        curio.Kernel(selector=VirtualSelector(clock), taskcls=_OwnedTask) as kernel,
    ):
        return kernel.run(corofunc, clock, *args)


async def _run_inline(function: Callable[..., Any], *args: Any) -> Any:
    """Run ``function`` at once: virtual time would not wait for a thread."""
    return function(*args)
