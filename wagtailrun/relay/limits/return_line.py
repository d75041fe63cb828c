"""Requests of this entry that wait until a brittle target may have room for them."""

import bisect
import itertools

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND

__all__ = ["MAX_SPREAD_MS", "RUN_MARGIN", "STEP_MS", "ReturnLine"]

# Without a grant, requests that wait for the same return ask this long after each
# other: at twice the capacity hundreds of them wait, and few find room.
STEP_MS = 5
# The requests ahead may wait for other targets than the last one.
MAX_SPREAD_MS = 250
# A request that waits needs this many times the average time that requests take.
RUN_MARGIN = 2.0
# Weight of the newest request in the average.
RUN_WEIGHT = 0.1
MAX_SERVICES = 4_096


@attrs.define(eq=False)
class _Waiter:
    """A request that waits.

    Attributes:
        rank: Its urgency, its deadline, and a number in order of arrival.
        turn: Set when it may ask.
    """

    rank: tuple[int, int, int]
    turn: curio.Event = attrs.field(factory=curio.Event)


class ReturnLine:
    """Requests that wait, the most urgent first, then by their deadlines."""

    def __init__(self) -> None:
        self.numbers = itertools.count()
        self.waiters_by_service: dict[str, list[_Waiter]] = {}
        # Average time that requests take at brittle targets.
        self.mean_ms_by_service: dict[str, float] = {}

    def record_run(self, service: str, took_ms: int) -> None:
        """Record how long a request took that was answered."""
        mean_ms = self.mean_ms_by_service.pop(service, float(took_ms))
        while len(self.mean_ms_by_service) >= MAX_SERVICES:
            del self.mean_ms_by_service[next(iter(self.mean_ms_by_service))]
        mean_ms += RUN_WEIGHT * (took_ms - mean_ms)
        self.mean_ms_by_service[service] = mean_ms

    def run_ms(self, service: str) -> float:
        """Return what has to be left of a request's time; 0 if that is not known."""
        return RUN_MARGIN * self.mean_ms_by_service.get(service, 0.0)

    def is_behind(self, service: str, urgency: int, deadline_ms: int) -> bool:
        """Return whether a request that arrives has to wait for others."""
        waiters = self.waiters_by_service.get(service)
        if not waiters:
            return False
        return waiters[0].rank[:2] <= (urgency, deadline_ms)

    async def wait(
        self, service: str, urgency: int, deadline_ms: int, wait_ms: int
    ) -> None:
        """Wait until a request may ask for a grant again.

        Args:
            service: Service of its targets.
            urgency: Its rank, 0 to 9; 0 goes first.
            deadline_ms: Its deadline.
            wait_ms: When the first target may have room.
        """
        waiter = _Waiter((urgency, deadline_ms, next(self.numbers)))
        waiters = self.waiters_by_service.setdefault(service, [])
        position = bisect.bisect(waiters, waiter.rank, key=lambda each: each.rank)
        waiters.insert(position, waiter)
        spread_ms = min(position * STEP_MS, MAX_SPREAD_MS)
        try:
            await curio.ignore_after(
                (wait_ms + spread_ms) / MS_PER_SECOND, waiter.turn.wait
            )
        finally:
            self._remove(service, waiter)

    async def advance(self, service: str) -> None:
        """Let the next request ask, as one was granted."""
        waiters = self.waiters_by_service.get(service)
        if waiters:
            waiter = waiters[0]
            self._remove(service, waiter)
            await waiter.turn.set()

    def _remove(self, service: str, waiter: _Waiter) -> None:
        waiters = self.waiters_by_service.get(service, [])
        if waiter in waiters:
            waiters.remove(waiter)
            if not waiters:
                del self.waiters_by_service[service]
