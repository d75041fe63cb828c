"""Concurrency limits of targets that follow the measured latency."""

from collections import Counter

__all__ = ["AdaptiveLimits"]

# Latency up to this multiple of its least contended value is no sign of a queue:
# continuous batching slows each request while the batch fills.
TOLERANCE = 2.0
# One slow answer at most halves the target value, so that a straggling answer alone
# does not close a target.
MIN_GRADIENT = 0.5
# Room to grow; with MIN_GRADIENT the fixed point of the slowest target is 1.
ALLOWANCE = 0.5
SMOOTHING = 0.2
MIN_LIMIT = 1.0


class AdaptiveLimits:
    """Concurrency limit of each target as seen by this entry.

    The limit starts at the announced capacity and follows the gradient of latency
    against its least contended value.
    """

    def __init__(self) -> None:
        self.limits_by_name: dict[str, float] = {}
        self.in_flight_by_name: Counter[str] = Counter()

    def limit(self, name: str, capacity: int) -> float:
        """Return the limit of a target."""
        return self.limits_by_name.get(name, float(max(capacity, 1)))

    def has_room(self, name: str, capacity: int, extra: float = 0.0) -> bool:
        """Return whether one more attempt may be given to a target.

        Args:
            name: Target.
            capacity: Its announced capacity.
            extra: Part by which the limit may be exceeded.
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
            name: Target.
            capacity: Its announced capacity.
            slowness: That time as a multiple of its least contended value.
        """
        limit = self.limit(name, capacity)
        gradient = max(MIN_GRADIENT, min(1.0, TOLERANCE / max(slowness, 1e-3)))
        wanted = limit * gradient + ALLOWANCE
        if wanted > limit and self.in_flight_by_name[name] * 2 < limit:
            # An unused limit says nothing about what the target could bear.
            return
        limit += SMOOTHING * (wanted - limit)
        self.limits_by_name[name] = max(limit, MIN_LIMIT)

    def forget(self, name: str) -> None:
        """Drop a target that is no longer known."""
        self.limits_by_name.pop(name, None)
