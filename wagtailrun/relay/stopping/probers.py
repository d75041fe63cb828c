"""Tells when the load balancers that check an entry have ceased to use it."""

from collections import deque

import attrs

__all__ = ["Prober", "Probers"]

# After this many failed checks in a row a load balancer sends no more connections.
FAILURE_THRESHOLD = 2
CHECK_INTERVAL_MS = 1_000
# The shortest interval of two checks of one load balancer, as they may be delayed. Of
# two load balancers at one host, one that checks within the difference after the other
# may be taken for the same.
MIN_INTERVAL_MS = 900
# For how long a check that came twice, or some that were held up and came together,
# may be taken for those of several load balancers.
COUNT_MS = 10_000
# Most checks of a host that are counted in this time.
MAX_CHECKS = 1_000
# A host that has not checked for this long is not expected to use this entry.
MAX_INTERVAL_MS = 60_000


@attrs.define
class Prober:
    """A host that checks whether this entry is ready.

    Several load balancers may share a host, or an address that is translated.

    Attributes:
        checked_ms: Its checks within the last ``COUNT_MS``, on the clock.
        failures: How many of its checks have failed in this stop.
        failed_since_ms: When the first of them did.
    """

    checked_ms: deque[int] = attrs.field(factory=lambda: deque(maxlen=MAX_CHECKS))
    failures: int = 0
    failed_since_ms: int = 0

    def record(self, now_ms: int, is_failure: bool) -> None:
        """Record a check, and whether it failed as the entry stops."""
        while self.checked_ms and self.checked_ms[0] <= now_ms - COUNT_MS:
            self.checked_ms.popleft()
        self.checked_ms.append(now_ms)
        if not is_failure:
            self.failures = 0
            return
        if not self.failures:
            self.failed_since_ms = now_ms
        self.failures += 1

    @property
    def load_balancers(self) -> int:
        """How many load balancers check from this host, by its closest checks."""
        recent_ms: deque[int] = deque()
        most = 1
        for checked_ms in self.checked_ms:
            recent_ms.append(checked_ms)
            while recent_ms[0] <= checked_ms - MIN_INTERVAL_MS:
                recent_ms.popleft()
            rate = len(recent_ms) * CHECK_INTERVAL_MS / MIN_INTERVAL_MS
            most = max(most, round(rate))
        return most

    def uses_entry(self, now_ms: int) -> bool:
        """Return whether a load balancer may still send connections."""
        failing_ms = now_ms - self.failed_since_ms
        return (
            self.failures < FAILURE_THRESHOLD * self.load_balancers
            or failing_ms < (FAILURE_THRESHOLD - 1) * MIN_INTERVAL_MS
        )


class Probers:
    """All hosts that check whether this entry is ready."""

    def __init__(self) -> None:
        self.prober_by_host: dict[str, Prober] = {}
        # Since when no load balancer uses this entry, on the clock; None if one may.
        self.unused_since_ms: int | None = None

    def record(self, host: str, now_ms: int, is_failure: bool) -> None:
        """Record a check.

        Args:
            host: Host that checked.
            now_ms: Reading of the clock.
            is_failure: Whether it was told that this entry stops. A lack of room
                before the stop may be over at once.
        """
        self.prober_by_host.setdefault(host, Prober()).record(now_ms, is_failure)
        self.prober_by_host = {
            host: prober
            for host, prober in self.prober_by_host.items()
            if prober.checked_ms[-1] > now_ms - MAX_INTERVAL_MS
        }
        if any(each.uses_entry(now_ms) for each in self.prober_by_host.values()):
            self.unused_since_ms = None
        elif self.unused_since_ms is None:
            self.unused_since_ms = now_ms
