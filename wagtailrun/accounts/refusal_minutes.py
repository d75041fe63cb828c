"""Copies the first refusal of a minute to another entry before it is answered."""

from collections.abc import Awaitable, Callable

import curio

from wagtailrun.accounts.cells import RowKey
from wagtailrun.clock import MS_PER_SECOND

__all__ = ["COPY_TIMEOUT_MS", "FirstRefusals"]

# Longest time that a caller waits for the copy of its refusal.
COPY_TIMEOUT_MS = 50


class _MinuteCopy:
    """State of the copy of one minute."""

    def __init__(self) -> None:
        self.kept = False
        self.ended = curio.Event()


class FirstRefusals:
    """Decides which refusals wait for a copy, and sends copies in batches.

    Args:
        send: Copies rows to another entry; returns whether one holds them.
    """

    def __init__(self, send: Callable[[list[RowKey]], Awaitable[bool]]):
        self.send = send
        self.copies_by_key: dict[RowKey, _MinuteCopy] = {}
        self.pending: dict[RowKey, _MinuteCopy] = {}
        self.sending = False

    async def copy(self, key: RowKey) -> bool:
        """Return whether the minute ``key`` has a copy, after at most 50 ms.

        Refusals of a minute wait while its first copy is in progress: if the caller
        were answered before, a crash of this entry would lose the minute. Once that
        copy has ended, this method returns at once.
        """
        copy = self.copies_by_key.get(key)
        if copy is None:
            copy = self.copies_by_key[key] = self.pending[key] = _MinuteCopy()
            if not self.sending:
                self.sending = True
                await curio.spawn(self._send_pending, daemon=True)
        if not copy.ended.is_set():
            async with curio.ignore_after(COPY_TIMEOUT_MS / MS_PER_SECOND):
                await copy.ended.wait()
        return copy.kept

    def is_copy_finished(self, key: RowKey) -> bool:
        """Return whether the copy of the minute ``key`` succeeded or failed."""
        copy = self.copies_by_key.get(key)
        return copy is not None and copy.ended.is_set()

    def drop_before(self, minute: int) -> None:
        """Drop the state of minutes before ``minute``."""
        for key in [key for key in self.copies_by_key if key.bucket < minute]:
            del self.copies_by_key[key]

    async def _send_pending(self) -> None:
        """Send pending copies; those added meanwhile go into the next message."""
        try:
            while self.pending:
                batch, self.pending = self.pending, {}
                try:
                    kept = await self.send(list(batch))
                    for copy in batch.values():
                        copy.kept = kept
                finally:
                    for copy in batch.values():
                        await copy.ended.set()
        finally:
            self.sending = False
