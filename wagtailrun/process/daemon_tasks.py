"""Runs the tasks of a daemon until one of them ends."""

from collections.abc import Awaitable, Callable, Sequence

import curio

from wagtailrun.clock import MS_PER_SECOND

__all__ = ["CANCEL_LIMIT_MS", "run_until_one_ends"]

# A second signal is noticed within 100 ms, and the last lines of the log take 500 ms at
# most. With this limit, 200 ms of the second until the forced end are left for a busy
# machine.
CANCEL_LIMIT_MS = 200


async def run_until_one_ends(
    functions: Sequence[Callable[[], Awaitable[None]]],
) -> None:
    """Run tasks until one of them ends, and cancel the others.

    The caller is about to end the process. A task that waits for its disk cannot be
    cancelled meanwhile; nothing that it writes has been acknowledged, so the end of the
    process does not wait for it for long.

    Args:
        functions: The tasks; an error of the one that ends first is raised.
    """
    group = curio.TaskGroup()
    try:
        for function in functions:
            await group.spawn(function)
        ended = await group.next_done()
    finally:
        await curio.ignore_after(
            CANCEL_LIMIT_MS / MS_PER_SECOND, group.cancel_remaining
        )
    ended.joined = True
    if ended.exception is not None:
        raise ended.exception
