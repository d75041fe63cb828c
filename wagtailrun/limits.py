"""Concurrency limits of targets, adapted to the measured latency."""

from collections import Counter, deque

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
# A queue delays all attempts. Where durations spread by themselves some are short
# still, so that the shortest one of this many tells the two apart.
RECENT_ATTEMPTS = 10


class AdaptiveLimits:
    """Limits of this entry's concurrent attempts at each target.

    A limit starts at the announced capacity and follows the ratio of the least
    contended latency to the shortest one of the newest attempts.
    """

    def __init__(self) -> None:
        self.limits_by_name: dict[str, float] = {}
        self.in_flight_by_name: Counter[str] = Counter()
        self.recent_by_name: dict[str, deque[float]] = {}

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
        recent = self.recent_by_name.setdefault(name, deque(maxlen=RECENT_ATTEMPTS))
        recent.append(slowness)
        limit = self.limit(name, capacity)
        gradient = max(MIN_GRADIENT, min(1.0, TOLERANCE / max(min(recent), 1e-3)))
        wanted = limit * gradient + ALLOWANCE
        if wanted > limit and self.in_flight_by_name[name] * 2 < limit:
            # Latency at a mostly unused limit does not show that more load is safe.
            return
        limit += SMOOTHING * (wanted - limit)
        self.limits_by_name[name] = max(limit, MIN_LIMIT)

    def forget(self, name: str) -> None:
        """Drop a target that is no longer known."""
        self.limits_by_name.pop(name, None)
        self.recent_by_name.pop(name, None)
