"""Learned estimates of the time to the first event of a prompt."""

from collections import deque

import attrs

from wagtailrun.clock import Clock

__all__ = ["IDLE_FIRST_EVENT_MS", "FirstEventModel", "MarginEstimator"]

# Time from the request to the first event of an idle engine, without prefill. The
# engines in the data sheets of both users have 80 and 90 ms.
IDLE_FIRST_EVENT_MS = 100.0
# Assumed prefill speed until there are measurements.
PRIOR_PREFILL_TOKENS_PER_MS = 60.0
# The prior consists of two prompts, of 0 and of PRIOR_TOKENS tokens, each with the
# weight of PRIOR_WEIGHT measurements.
PRIOR_TOKENS = 8_000
PRIOR_WEIGHT = 3.0
# Each measurement multiplies the weights of older ones by this, so that about the last
# 100 count.
SAMPLE_DECAY = 0.99
# Measured times include delays of seconds at failing engines; they are clipped to this.
MAX_FIRST_EVENT_MS = 2_000.0
MIN_MS_PER_TOKEN = 1.0 / 500.0
# A margin is computed from at most this many estimation errors of at most this age, and
# covers this share of them. A late answer is worth about a seventh of a timely one.
# Errors expire quickly because a margin that is too large admits few requests, so few
# new errors are measured and the margin would outlive a series of failures.
MAX_ERRORS = 64
ERROR_LIFETIME_MS = 4_000
COVERED_SHARE = 0.8
# With fewer errors the margin is 0.
MIN_ERRORS = 8


class FirstEventModel:
    """Linear model of the time to the first event: a fixed time and a time per token.

    Engines process a prompt in chunks between decoding steps of other requests, so the
    time per token differs from that of an idle engine.
    """

    def __init__(self) -> None:
        self.fixed_ms = IDLE_FIRST_EVENT_MS
        self.ms_per_token = 1.0 / PRIOR_PREFILL_TOKENS_PER_MS
        prior_ms = IDLE_FIRST_EVENT_MS + PRIOR_TOKENS * self.ms_per_token
        self._prior = _RegressionSums()
        self._prior.add(0.0, IDLE_FIRST_EVENT_MS, PRIOR_WEIGHT)
        self._prior.add(PRIOR_TOKENS, prior_ms, PRIOR_WEIGHT)
        self._measured = _RegressionSums()

    def expected_ms(self, tokens: float) -> float:
        """Return the expected time to the first event with ``tokens`` to prefill."""
        return self.fixed_ms + self.prefill_ms(tokens)

    def prefill_ms(self, tokens: float) -> float:
        """Return the expected time to prefill ``tokens``."""
        return tokens * self.ms_per_token

    def add_sample(self, tokens: float, took_ms: float) -> None:
        """Update the model with the measurement of one prompt.

        Args:
            tokens: Estimated number of tokens that were not cached.
            took_ms: Time to the first event, without queueing behind other prompts.
        """
        took_ms = min(max(took_ms, 0.0), MAX_FIRST_EVENT_MS)
        self._measured.decay(SAMPLE_DECAY)
        self._measured.add(tokens, took_ms, 1.0)
        fixed_ms, slope = self._measured.plus(self._prior).line()
        self.ms_per_token = max(slope, MIN_MS_PER_TOKEN)
        self.fixed_ms = max(fixed_ms, 0.0)


class _RegressionSums:
    """Weighted sums of a simple linear regression."""

    def __init__(self) -> None:
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
        """Return the intercept and the slope of the least-squares line."""
        slope = (self.n * self.xy - self.x * self.y) / (self.n * self.xx - self.x**2)
        return (self.y - slope * self.x) / self.n, slope


@attrs.frozen
class _ErrorSample:
    recorded_ms: int
    error_ms: float


class MarginEstimator:
    """Computes a safety margin for estimates from their newest errors.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._errors: deque[_ErrorSample] = deque(maxlen=MAX_ERRORS)

    def add_error(self, error_ms: float) -> None:
        """Record an error: measured minus expected time."""
        self._errors.append(_ErrorSample(self.clock.now_ms(), error_ms))

    @property
    def margin_ms(self) -> float:
        """Margin that covers ``COVERED_SHARE`` of the errors; 0 if there are few."""
        oldest_ms = self.clock.now_ms() - ERROR_LIFETIME_MS
        while self._errors and self._errors[0].recorded_ms < oldest_ms:
            self._errors.popleft()
        if len(self._errors) < MIN_ERRORS:
            return 0.0
        ranked = sorted(error.error_ms for error in self._errors)
        return max(ranked[int(COVERED_SHARE * (len(ranked) - 1))], 0.0)
