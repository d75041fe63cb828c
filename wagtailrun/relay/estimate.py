"""Learns how long engines take to the first event of a prompt."""

from collections import deque

import attrs

from wagtailrun.clock import Clock

__all__ = ["IDLE_FIRST_EVENT_MS", "MarginEstimator", "FirstEventModel"]

# Time from the request to the first event of an idle engine, beside reading the
# prompt; the engines of both users' sheets state 80 and 90 ms.
IDLE_FIRST_EVENT_MS = 100.0
# Prompt tokens that an engine reads in a millisecond, until it was measured.
PRIOR_PREFILL_TOKENS_PER_MS = 60.0
# What is believed before anything was measured: two prompts, of no token and of this
# many, count as much as so many measured ones.
PRIOR_TOKENS = 8_000
PRIOR_WEIGHT = 3.0
# Each measurement makes the older ones count this much less: about 100 count.
SAMPLE_DECAY = 0.99
# Measured times contain waits of seconds at engines that fail; they are cut off here.
MAX_FIRST_EVENT_MS = 2_000.0
MIN_MS_PER_TOKEN = 1.0 / 500.0
# Errors that are remembered, for how long, and the part of them that a margin covers.
# An answer that is late is worth about a seventh of one in time. A spell of failures
# must not outlive itself: a margin that is too large admits few, so it learns slowly.
MAX_ERRORS = 64
ERROR_LIFETIME_MS = 4_000
COVERED_SHARE = 0.8
MIN_ERRORS = 8


class FirstEventModel:
    """A line through the measured times: a fixed time and one for each token read.

    Engines read a prompt in chunks between the steps of those that are generating, so
    the time for each token differs from what an idle engine takes.
    """

    def __init__(self):
        self.fixed_ms = IDLE_FIRST_EVENT_MS
        self.ms_per_token = 1.0 / PRIOR_PREFILL_TOKENS_PER_MS
        prior_ms = IDLE_FIRST_EVENT_MS + PRIOR_TOKENS * self.ms_per_token
        self._prior = _RegressionSums()
        self._prior.add(0.0, IDLE_FIRST_EVENT_MS, PRIOR_WEIGHT)
        self._prior.add(PRIOR_TOKENS, prior_ms, PRIOR_WEIGHT)
        self._measured = _RegressionSums()

    def expected_ms(self, tokens: float) -> float:
        """Return the time to the first event if ``tokens`` must be read."""
        return self.fixed_ms + self.prefill_ms(tokens)

    def prefill_ms(self, tokens: float) -> float:
        """Return the time in which an engine reads ``tokens``."""
        return tokens * self.ms_per_token

    def add_sample(self, tokens: float, took_ms: float) -> None:
        """Learn from one prompt.

        Args:
            tokens: Tokens that were probably read.
            took_ms: Time to the first event without the wait for other prompts.
        """
        took_ms = min(max(took_ms, 0.0), MAX_FIRST_EVENT_MS)
        self._measured.decay(SAMPLE_DECAY)
        self._measured.add(tokens, took_ms, 1.0)
        fixed_ms, slope = self._measured.plus(self._prior).line()
        self.ms_per_token = max(slope, MIN_MS_PER_TOKEN)
        self.fixed_ms = max(fixed_ms, 0.0)


class _RegressionSums:
    """Weighted sums from which a least-squares line follows."""

    def __init__(self):
        self.n = self.x = self.y = self.xx = self.xy = 0.0

    def add(self, x: float, y: float, weight: float) -> None:
        self.n += weight
        self.x += weight * x
        self.y += weight * y
        self.xx += weight * x * x
        self.xy += weight * x * y

    def decay(self, factor: float) -> None:
        self.n *= factor
        self.x *= factor
        self.y *= factor
        self.xx *= factor
        self.xy *= factor

    def plus(self, other: "_RegressionSums") -> "_RegressionSums":
        total = _RegressionSums()
        total.n = self.n + other.n
        total.x = self.x + other.x
        total.y = self.y + other.y
        total.xx = self.xx + other.xx
        total.xy = self.xy + other.xy
        return total

    def line(self) -> tuple[float, float]:
        """Return the line's value at zero, and its slope."""
        slope = (self.n * self.xy - self.x * self.y) / (self.n * self.xx - self.x**2)
        return (self.y - slope * self.x) / self.n, slope


@attrs.frozen
class _EstimateError:
    recorded_ms: int
    error_ms: float


class MarginEstimator:
    """How much longer than expected most things take, from the newest errors.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._errors: deque[_EstimateError] = deque(maxlen=MAX_ERRORS)

    def add_error(self, error_ms: float) -> None:
        """Note by how much a time was longer than expected."""
        self._errors.append(_EstimateError(self.clock.now_ms(), error_ms))

    @property
    def margin_ms(self) -> float:
        """The time that covers most errors; 0 until some are known."""
        oldest_ms = self.clock.now_ms() - ERROR_LIFETIME_MS
        while self._errors and self._errors[0].recorded_ms < oldest_ms:
            self._errors.popleft()
        if len(self._errors) < MIN_ERRORS:
            return 0.0
        ranked = sorted(error.error_ms for error in self._errors)
        return max(ranked[int(COVERED_SHARE * (len(ranked) - 1))], 0.0)
