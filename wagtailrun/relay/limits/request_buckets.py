"""Buckets of the requests that a target may get."""

import math

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.relay.limits.return_queue import ReturnQueue

__all__ = ["RequestBucket"]

# Requests that an idle target may get at once: one, and those of this time.
BURST_S = 0.25
MAX_INTERVAL_MS = 3_600 * MS_PER_SECOND


@attrs.define
class RequestBucket:
    """Requests that a target may get.

    Attributes:
        updated_ms: When ``tokens`` was computed.
        returns: When denied requests return.
        tokens: Requests that may be granted. A new bucket is empty: another process may
            have granted requests until a moment ago.
        burst_s: Time of unused requests that is kept, beside one request.
        lapses: Whether what is not used within that time is lost, and not kept. Buckets
            of many processes must not be full at the same moment.
        most_at_once: Requests of one call that the target stands.
    """

    updated_ms: int
    returns: ReturnQueue
    tokens: float = 0.0
    burst_s: float = BURST_S
    lapses: bool = False
    most_at_once: float = math.inf

    def refill(self, rate_per_s: float, now_ms: int) -> None:
        """Add the requests of the time since the last call, up to a burst."""
        added = rate_per_s * (now_ms - self.updated_ms) / MS_PER_SECOND
        largest = 1.0 + self.burst_s * rate_per_s
        tokens = self.tokens + added
        # A call of several requests leaves a debt, which does not lapse.
        lapses = self.lapses and tokens > 0
        self.tokens = tokens % largest if lapses else min(tokens, largest)
        self.updated_ms = now_ms

    def wait_ms(self, rate_per_s: float) -> int:
        """Return when there may be room for a request; 0 if there is now."""
        if self.tokens >= 1.0:
            return 0
        return int((1.0 - self.tokens) * interval_ms(rate_per_s)) + 1

    def denied_ms(self, rate_per_s: float, urgency: int, requests: int = 1) -> int:
        """Return when a request may be asked for again; 0 if there is room for it.

        Args:
            rate_per_s: Requests a second, as in the last call of ``refill``.
            urgency: Rank of the request, 0 to 9; 0 goes first.
            requests: Requests that it counts as.
        """
        if requests > self.most_at_once:
            return int(self.returns.typical_ms)
        # More urgent requests that were denied come first.
        is_reserved = self.returns.last_return_ms(urgency - 1) > self.updated_ms
        if self.tokens >= 1.0 + is_reserved:
            return 0
        first_ms = self.wait_ms(rate_per_s) or 1
        return self.returns.add(
            urgency, self.updated_ms, first_ms, interval_ms(rate_per_s)
        )


def interval_ms(rate_per_s: float) -> int:
    """Return the time between two requests of a rate, at most an hour."""
    return int(min(MS_PER_SECOND / max(rate_per_s, 1e-9), MAX_INTERVAL_MS))
