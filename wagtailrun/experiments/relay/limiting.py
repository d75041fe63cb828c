"""Emulated targets that limit their requests, fail from rejections, or start cold."""

import math
from collections import deque

import attrs

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.experiments.relay import wire

__all__ = ["Admission", "StatedLimits"]


@attrs.frozen
class StatedLimits:
    """What a target states about the requests that it takes.

    Attributes:
        limit_per_s: Requests a second that it takes; it rejects others. 0 if it names
            no limit.
        max_rejections: Rejections a second that it stands; it then takes no more
            requests at once than it can run. None if it is not brittle.
        cold_ms: How long after a start it is cold; 0 if it never is.
        cold_per_s: Requests a second that it stands while it is cold.
    """

    limit_per_s: float = 0.0
    max_rejections: float | None = None
    cold_ms: int = 0
    cold_per_s: float = 0.0


class _Window:
    """Times of the last second."""

    def __init__(self) -> None:
        self.times_ms: deque[int] = deque()

    def count(self, now_ms: int) -> int:
        """Return how many times are within the last second."""
        while self.times_ms and self.times_ms[0] <= now_ms - MS_PER_SECOND:
            self.times_ms.popleft()
        return len(self.times_ms)

    def add(self, now_ms: int) -> int:
        """Add a time; return how many are within the last second."""
        self.times_ms.append(now_ms)
        return self.count(now_ms)


class Admission:
    """Decides which requests a target takes, and when it fails from them.

    Args:
        clock: Virtual clock.
        limits: What the target states.
        capacity: Requests that it runs at once.
    """

    def __init__(self, clock: Clock, limits: StatedLimits, capacity: int):
        self.clock = clock
        self.limits = limits
        self.capacity = capacity
        self.taken = _Window()
        self.rejected = _Window()
        # It is warm as the play begins.
        self.cold_until_ms = 0
        self.rejections = 0
        # Whether it has failed.
        self.is_broken = False

    @property
    def cold_ms(self) -> int:
        """How long it stays cold, in milliseconds."""
        return max(self.cold_until_ms - self.clock.now_ms(), 0)

    def restart(self) -> None:
        """Begin again as a new process, cold if it is so after a start."""
        self.taken, self.rejected = _Window(), _Window()
        self.is_broken = False
        self.cold_until_ms = self.clock.now_ms() + self.limits.cold_ms

    def admit(self, requests: int, in_progress: int) -> bool:
        """Return whether it takes a request; it may fail from it.

        Args:
            requests: Requests that it counts as.
            in_progress: Requests that it has.
        """
        limits, now_ms = self.limits, self.clock.now_ms()
        if limits.limit_per_s and self.taken.count(now_ms) >= limits.limit_per_s:
            return self._reject(now_ms)
        if limits.max_rejections is not None and in_progress >= self.capacity:
            return self._reject(now_ms)
        for _ in range(requests):
            recent = self.taken.add(now_ms)
        if self.cold_ms and recent > max(math.ceil(limits.cold_per_s), 1):
            self.is_broken = True
        return True

    def _reject(self, now_ms: int) -> bool:
        self.rejections += 1
        recent = self.rejected.add(now_ms)
        most = self.limits.max_rejections
        self.is_broken = self.is_broken or (most is not None and recent > most)
        return False

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return what an answer states."""
        found = []
        if self.limits.limit_per_s:
            found.append((wire.LIMIT, f"{self.limits.limit_per_s:g}"))
        if self.limits.max_rejections is not None:
            found.append((wire.BRITTLE, f"{self.limits.max_rejections:g}"))
        if self.limits.cold_ms:
            found.append((wire.COLD, str(self.cold_ms)))
        return tuple(found)
