"""Concurrency limits of targets, adapted to the measured latency."""

import math
from collections import Counter

import attrs

__all__ = ["AdaptiveLimits"]

# Latency up to this multiple of its least contended value does not indicate a queue,
# because continuous batching slows each request while the batch fills.
TOLERANCE = 2.0
# One slow answer at most halves the value that the limit approaches, so that a single
# straggler does not stop the traffic to a target.
MIN_GRADIENT = 0.5
# Added to the limit so that it can grow; with MIN_GRADIENT the limit of the slowest
# target converges to 1.
ALLOWANCE = 0.5
SMOOTHING = 0.2
MIN_LIMIT = 1.0
# A queue delays all attempts, so that they are slow in a row. Where times spread by
# themselves, rows occur without a queue; a row counts as one if the spread explains it
# with less than this probability.
MIN_SLOW_IN_A_ROW = 10
MAX_FALSE_ALARMS = 0.001
# Assumed of a new target: of times that spread evenly from 0, four fifths are over
# TOLERANCE times their tenth percentile, which is the least contended value.
ASSUMED_SLOW = 8.0
ASSUMED_FAST = 2.0
# Older attempts count half each time that this many are known.
MAX_KNOWN_ATTEMPTS = 64


@attrs.define
class _Spread:
    """How often a target is slow without a queue, and its present row of slow attempts.

    Attributes:
        slow: Number of slow attempts in rows too short for a queue.
        fast: Number of the other attempts.
        in_a_row: Number of slow attempts since the last other one.
        least_slowness: Slowness of the fastest of these.
    """

    slow: float = ASSUMED_SLOW
    fast: float = ASSUMED_FAST
    in_a_row: int = 0
    least_slowness: float = math.inf

    def add(self, slowness: float, is_contended: bool) -> None:
        """Count an attempt.

        Args:
            slowness: Its time as a multiple of the least contended value.
            is_contended: Whether a queue may have made it slow.
        """
        if slowness > TOLERANCE:
            self.in_a_row += 1
            self.least_slowness = min(self.least_slowness, slowness)
            return
        if not is_contended:
            self._learn()
        self.in_a_row = 0
        self.least_slowness = math.inf

    def _learn(self) -> None:
        """Count the present row of slow attempts, and the attempt that ends it."""
        if not self.shows_queue:
            self.slow += self.in_a_row
        self.fast += 1
        if self.slow + self.fast > MAX_KNOWN_ATTEMPTS:
            self.slow /= 2
            self.fast /= 2

    @property
    def shows_queue(self) -> bool:
        """Whether so many attempts in a row were slow that only a queue explains it."""
        share = self.slow / (self.slow + self.fast)
        return (
            self.in_a_row >= MIN_SLOW_IN_A_ROW
            and share**self.in_a_row <= MAX_FALSE_ALARMS
        )


class AdaptiveLimits:
    """Limits of this entry's concurrent attempts at each target.

    A limit starts at the announced capacity. While a target shows a queue, the limit
    follows the ratio of the least contended latency to the shortest one in the queue.
    """

    def __init__(self) -> None:
        self.limits_by_name: dict[str, float] = {}
        self.in_flight_by_name: Counter[str] = Counter()
        self.spreads_by_name: dict[str, _Spread] = {}

    def limit(self, name: str, capacity: int) -> float:
        """Return the limit of a target."""
        return self.limits_by_name.get(name, float(max(capacity, 1)))

    def has_room(self, name: str, capacity: int, extra: float = 0.0) -> bool:
        """Return whether a target may get one more attempt.

        Args:
            name: Name of the target.
            capacity: Its announced capacity.
            extra: Share of the limit by which it may be exceeded.
        """
        limit = self.limit(name, capacity) * (1.0 + extra)
        return self.in_flight_by_name[name] + 1 <= limit

    def started(self, name: str) -> None:
        """Count an attempt as in flight."""
        self.in_flight_by_name[name] += 1

    def ended(self, name: str) -> None:
        """Count an attempt as ended."""
        self.in_flight_by_name[name] -= 1
        if self.in_flight_by_name[name] <= 0:
            del self.in_flight_by_name[name]

    def observe(self, name: str, capacity: int, slowness: float) -> None:
        """Adapt the limit to the time that an attempt waited for its first item.

        Args:
            name: Name of the target.
            capacity: Its announced capacity.
            slowness: That time as a multiple of its least contended value.
        """
        spread = self.spreads_by_name.setdefault(name, _Spread())
        limit = self.limit(name, capacity)
        is_unused = self.in_flight_by_name[name] * 2 < limit
        spread.add(slowness, is_contended=not is_unused)
        gradient = 1.0
        if spread.shows_queue:
            gradient = max(MIN_GRADIENT, TOLERANCE / spread.least_slowness)
        elif spread.in_a_row >= MIN_SLOW_IN_A_ROW:
            # It may be a queue, so that more load may not be safe.
            return
        wanted = limit * gradient + ALLOWANCE
        if wanted > limit and is_unused:
            # Latency at a mostly unused limit does not show that more load is safe.
            return
        limit += SMOOTHING * (wanted - limit)
        self.limits_by_name[name] = max(limit, MIN_LIMIT)

    def forget(self, name: str) -> None:
        """Drop a target that is no longer known."""
        self.limits_by_name.pop(name, None)
        self.spreads_by_name.pop(name, None)
