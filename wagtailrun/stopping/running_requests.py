"""Ends the requests that a process which stops cannot finish, with a refusal."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from typing import TypeVar

import curio

from wagtailrun.exceptions import Refusal, RefusalReason, Verdict

__all__ = [
    "STOPPING_RETRY_MS",
    "STOP_ANSWER_MS",
    "EntryEnds",
    "RunningRequests",
    "forget_end",
]

# Another entry takes the request at once.
STOPPING_RETRY_MS = 50
# Time to send the answer of a request whose time ends with the process.
STOP_ANSWER_MS = 200

T = TypeVar("T")


# curio has no types.
class EntryEnds(curio.CancelledError):  # type: ignore[misc]
    """The process ends before the request does."""


async def forget_end() -> None:
    """Drop an ``EntryEnds`` that came too late to be raised before the answer.

    It would be raised while the answer is sent.
    """
    async with curio.disable_cancellation():
        if await curio.check_cancellation(EntryEnds) is not None:
            task = await curio.current_task()
            task.cancelled = False


class RunningRequests:
    """Requests in progress at an entry, and the planned stop that may end them."""

    def __init__(self) -> None:
        # Tasks that wait for an answer, or for the next piece of one.
        self.tasks: set[curio.Task] = set()
        # Until when requests may run, on the clock; None while no stop is planned.
        self.ends_ms: int | None = None
        # Whether that time is over.
        self.ended = False

    def admits(self, deadline_at_ms: int) -> bool:
        """Return whether a request with this deadline cannot be cut by the stop."""
        return self.ends_ms is None or deadline_at_ms <= self.ends_ms

    async def run(self, work: Callable[[], Awaitable[T]]) -> T | Refusal:
        """Return the result of ``work``, or a refusal if the process ends before."""
        task = await curio.current_task()
        self.tasks.add(task)
        try:
            result = await work()
        except EntryEnds:
            # Else the task could not be cancelled while it sends the refusal.
            task.cancelled = False
            return _end_refusal()
        finally:
            self.tasks.discard(task)
        if self.ended:
            await forget_end()
        return result

    async def iterate(
        self, items: AsyncGenerator[T | Refusal, None]
    ) -> AsyncGenerator[T | Refusal, None]:
        """Yield the items; if the process ends before them, yield a refusal."""
        async with aclosing(items):
            while True:
                if self.ended:
                    yield _end_refusal()
                    return
                try:
                    item = await self.run(lambda: anext(items))
                except StopAsyncIteration:
                    return
                yield item
                if isinstance(item, Refusal):
                    return

    async def end_all(self) -> None:
        """Refuse all requests in progress.

        The end of the process would close their connections without an answer.
        """
        self.ended = True
        for task in list(self.tasks):
            await task.cancel(exc=EntryEnds, blocking=False)


def _end_refusal() -> Refusal:
    return Refusal(
        RefusalReason.DRAINING,
        Verdict.MAY_HAVE_RUN,
        "this entry stops, and the request was still running",
        STOPPING_RETRY_MS,
    )
