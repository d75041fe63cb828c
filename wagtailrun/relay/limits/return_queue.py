"""Times at which requests return that a target has no room for now."""

import random

__all__ = ["MAX_RETURN_MS", "TYPICAL_RETURN_MS", "ReturnQueue"]

# Requests that were denied return within this time, or two intervals.
TYPICAL_RETURN_MS = 4_000
# The bound may end, or the owner of the service may return, before two long intervals.
MAX_RETURN_MS = 8_000


class ReturnQueue:
    """Requests that were denied, by when they may return.

    Args:
        generator: Draws the return of those that find the queue full.
        typical_ms: Time within which requests return, or two intervals.
    """

    def __init__(self, generator: random.Random, typical_ms: float = TYPICAL_RETURN_MS):
        self.random = generator
        self.typical_ms = typical_ms
        # When the last request of an urgency that was denied may return.
        self.return_ms_by_urgency: dict[int, int] = {}
        # The same of one process, whose requests wait for the same return.
        self.return_ms_by_asker: dict[tuple[str, int], int] = {}

    def last_return_ms(self, urgency: int) -> int:
        """Return when the last request that is as urgent or more may return."""
        return max(
            (ms for rank, ms in self.return_ms_by_urgency.items() if rank <= urgency),
            default=0,
        )

    def add_asker(
        self,
        asker: str,
        urgency: int,
        now_ms: int,
        first_wait_ms: int,
        interval_ms: int,
    ) -> int:
        """Return when a process whose request is denied may ask again.

        All its requests of the urgency wait for the same return: if each moved it by an
        interval, targets would be idle until the last one.

        Args:
            asker: Name of the process.
            urgency: Rank of the request; lower ones go first.
            now_ms: The time.
            first_wait_ms: Time until there may be room.
            interval_ms: Time between two returns.
        """
        for key, return_ms in list(self.return_ms_by_asker.items()):
            if return_ms <= now_ms:
                del self.return_ms_by_asker[key]
        key = asker, urgency
        if key not in self.return_ms_by_asker:
            wait_ms = self.add(urgency, now_ms, first_wait_ms, interval_ms)
            self.return_ms_by_asker[key] = now_ms + wait_ms
        return self.return_ms_by_asker[key] - now_ms

    def forget_askers(self) -> None:
        """Give each process another return when it asks again."""
        self.return_ms_by_asker.clear()

    def add(
        self, urgency: int, now_ms: int, first_wait_ms: int, interval_ms: int
    ) -> int:
        """Return when a request that is denied may return, in milliseconds.

        Args:
            urgency: Rank of the request; lower ones go first.
            now_ms: The time.
            first_wait_ms: Time until there may be room.
            interval_ms: Time between two requests that find room.
        """
        longest_ms = min(max(self.typical_ms, 2 * interval_ms), MAX_RETURN_MS)
        last_ms = self.last_return_ms(urgency) + interval_ms
        return_ms = max(now_ms + first_wait_ms, last_ms)
        if return_ms - now_ms > longest_ms:
            # The queue is full; the others spread over its second half.
            return int(self.random.uniform(longest_ms / 2, longest_ms))
        self.return_ms_by_urgency[urgency] = return_ms
        return return_ms - now_ms
