"""Cancels awaitables and streams at the deadline of a request."""

from collections.abc import AsyncGenerator, Awaitable
from contextlib import aclosing
from typing import TypeVar

import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict

__all__ = ["before_deadline", "stream_before_deadline"]

T = TypeVar("T")


async def before_deadline(
    clock: Clock, deadline_at_ms: int, work: Awaitable[T]
) -> T | Refusal:
    """Return the result of ``work``, or a refusal if the deadline passes first.

    Args:
        clock: Clock.
        deadline_at_ms: Deadline on the clock, in milliseconds.
        work: Awaitable that is cancelled at the deadline.
    """
    remaining_ms = max(deadline_at_ms - clock.now_ms(), 0)
    try:
        result: T = await curio.timeout_after(remaining_ms / MS_PER_SECOND, work)
        return result
    except curio.TaskTimeout:
        detail = "the deadline passed while the request ran"
        return Refusal(RefusalReason.DEADLINE, Verdict.MAY_HAVE_RUN, detail)


async def stream_before_deadline(
    clock: Clock, deadline_at_ms: int, stream: AsyncGenerator[T | Refusal, None]
) -> AsyncGenerator[T | Refusal, None]:
    """Yield the items of ``stream``; at the deadline, yield a refusal and stop."""
    async with aclosing(stream):
        while True:
            try:
                item = await before_deadline(clock, deadline_at_ms, anext(stream))
            except StopAsyncIteration:
                return
            yield item
            if isinstance(item, Refusal):
                return
