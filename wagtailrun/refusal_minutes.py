"""Copies the first refusal of a minute to another entry before it is answered."""

from collections.abc import Awaitable, Callable

import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.cost_cells import RowKey

__all__ = ["COPY_TIMEOUT_MS", "FirstRefusals"]

# A caller waits at most this long for the copy of its refusal.
COPY_TIMEOUT_MS = 50


class _Copy:
    """A copy that is under way."""

    def __init__(self) -> None:
        self.kept = False
        self.ended = curio.Event()


class FirstRefusals:
    """Decides which refusals wait for a copy, and sends copies together.

    Args:
        send: Copies rows to another entry; returns whether one keeps them.
    """

    def __init__(self, send: Callable[[list[RowKey]], Awaitable[bool]]):
        self.send = send
        self.copies_by_key: dict[RowKey, _Copy] = {}
        self.waiting: dict[RowKey, _Copy] = {}
        self.sending = False

    async def copy(self, key: RowKey) -> bool:
        """Return whether the minute ``key`` has a copy, after at most 50 ms.

        Refusals of a minute whose first copy is under way wait for it, because an
        answer before the copy could be the only trace of the minute. Once that copy
        has ended, this returns at once.
        """
        copy = self.copies_by_key.get(key)
        if copy is None:
            copy = self.copies_by_key[key] = self.waiting[key] = _Copy()
            if not self.sending:
                self.sending = True
                await curio.spawn(self._send_waiting, daemon=True)
        if not copy.ended.is_set():
            async with curio.ignore_after(COPY_TIMEOUT_MS / MS_PER_SECOND):
                await copy.ended.wait()
        return copy.kept

    def is_known(self, key: RowKey) -> bool:
        """Return whether an attempt to copy the minute has ended."""
        copy = self.copies_by_key.get(key)
        return copy is not None and copy.ended.is_set()

    def forget_before(self, minute: int) -> None:
        """Forget the minutes before ``minute``."""
        for key in [key for key in self.copies_by_key if key.bucket < minute]:
            del self.copies_by_key[key]

    async def _send_waiting(self) -> None:
        """Send what waits; what is added meanwhile goes into the next message."""
        try:
            while self.waiting:
                batch, self.waiting = self.waiting, {}
                try:
                    kept = await self.send(list(batch))
                    for copy in batch.values():
                        copy.kept = kept
                finally:
                    for copy in batch.values():
                        await copy.ended.set()
        finally:
            self.sending = False
