"""Keeps long-running tasks of a process alive after unexpected errors."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import SettingsError
from wagtailrun.logs import events

__all__ = ["supervise"]

FIRST_RESTART_PAUSE_MS = 50
MAX_RESTART_PAUSE_MS = 2_000


async def supervise(
    name: str, function: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Run a task until it returns; start it again after an unexpected error.

    Args:
        name: Name of the task in the log.
        function: The task; its state must allow that it is started again.
        *arguments: Arguments of the task.

    Raises:
        SettingsError: If the task raised it, since a restart would not help.
    """
    pause_ms = FIRST_RESTART_PAUSE_MS
    while True:
        try:
            await function(*arguments)
            return
        except SettingsError:
            raise
        except Exception as error:
            events.log(
                events.TASK_RESTARTED, task=name, detail=repr(error), pause_ms=pause_ms
            )
        await curio.sleep(pause_ms / MS_PER_SECOND)
        pause_ms = min(2 * pause_ms, MAX_RESTART_PAUSE_MS)
