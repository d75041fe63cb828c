"""States when a refused caller may send its request again."""

import random

import attrs

from wagtailrun.exceptions import Refusal

__all__ = ["MIN_RETRY_AFTER_MS", "RetryTimes"]

# An entry looks for usable targets this often, so a caller that came back sooner would
# meet the same state.
MIN_RETRY_AFTER_MS = 100
# Callers that were refused together come back over a time this much longer.
SPREAD = 0.5


class RetryTimes:
    """Completes the refusals that leave an entry.

    Args:
        source: Source of the spread.
    """

    def __init__(self, source: random.Random):
        self.random = source

    def complete(self, refusal: Refusal) -> Refusal:
        """Return a refusal with the delay that its caller is told.

        The delay is never shorter than the one in ``refusal``, which a target may have
        asked for. A request that must not be retried unchanged stays without one.
        """
        if not refusal.retry_after_ms:
            return refusal
        least_ms = max(refusal.retry_after_ms, MIN_RETRY_AFTER_MS)
        spread_ms = self.random.randint(0, int(least_ms * SPREAD))
        return attrs.evolve(refusal, retry_after_ms=least_ms + spread_ms)
