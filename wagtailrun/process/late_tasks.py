"""Waits for tasks in a process that may stand still meanwhile."""

import curio

from wagtailrun.clock import MS_PER_SECOND

__all__ = ["LATE_WAIT_MS", "wait_for_end"]

# Time in which a task takes what arrived while the process stood still.
LATE_WAIT_MS = 1


async def wait_for_end(task: curio.Task, timeout_ms: int) -> None:
    """Return when a task has ended, or after a time limit.

    After a standstill the event loop may handle the limit before what has arrived, so
    that the task gets another moment.

    Args:
        task: Task to wait for.
        timeout_ms: Time limit, in milliseconds.
    """
    for limit_ms in (timeout_ms, LATE_WAIT_MS):
        if not task.terminated:
            await curio.ignore_after(limit_ms / MS_PER_SECOND, task.wait)
