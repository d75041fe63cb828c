"""Recent distributions of the duration of stages, by size class."""

import attrs
from hdrh.histogram import HdrHistogram

from wagtailrun.clock import Clock

__all__ = ["Estimates", "size_class"]

WINDOW_MS = 10_000
# The least contended durations are taken from a longer window than the current ones.
BASELINE_WINDOW_MS = 60_000
MIN_SAMPLES = 8
# Computing a percentile of an HDR histogram takes 85 us in Python, so it is cached.
CACHE_MS = 500
MAX_MS = 600_000
SIGNIFICANT_DIGITS = 2
BASELINE_PERCENTILE = 10
LONGEST_PERCENTILE = 95
# Limits memory: each key has up to eight histograms of 17 KB.
MAX_KEYS = 64
GAP_WEIGHT = 0.05
# Size class of the estimate over all requests of a stage.
ANY_CLASS = (0, 0)

Key = tuple[str, str, tuple[int, int]]


def size_class(size: int, max_tokens: int) -> tuple[int, int]:
    """Return the size class of a request: the bit lengths of input and output size."""
    return (size.bit_length(), max_tokens.bit_length())


class _RecentValues:
    """Histograms of the current and the previous time window."""

    def __init__(self, window_ms: int):
        self.window_ms = window_ms
        self.started_ms: int | None = None
        self.current: HdrHistogram | None = None
        self.previous: HdrHistogram | None = None
        self.cached: dict[int, tuple[int, int | None]] = {}

    def record(self, value_ms: float, now_ms: int) -> None:
        self._rotate(now_ms)
        if self.current is None:
            self.current = HdrHistogram(1, MAX_MS, SIGNIFICANT_DIGITS)
        self.current.record_value(max(1, min(int(value_ms), MAX_MS)))

    def _rotate(self, now_ms: int) -> None:
        if self.started_ms is None:
            self.started_ms = now_ms
        age_ms = now_ms - self.started_ms
        if age_ms >= self.window_ms:
            recent = age_ms < 2 * self.window_ms
            self.previous = self.current if recent else None
            self.current = None
            self.started_ms = now_ms

    def percentile(self, percent: int, now_ms: int) -> int | None:
        cached = self.cached.get(percent)
        if cached is not None and now_ms - cached[0] < CACHE_MS:
            return cached[1]
        self._rotate(now_ms)
        value = self._compute(percent)
        if value is not None:
            self.cached[percent] = (now_ms, value)
        else:
            self.cached.pop(percent, None)
        return value

    def _compute(self, percent: int) -> int | None:
        parts = [part for part in (self.previous, self.current) if part is not None]
        count = sum(part.get_total_count() for part in parts)
        if count < MIN_SAMPLES:
            return None
        # Uses the window with more samples; merging would copy 17 KB.
        part = max(parts, key=lambda part: part.get_total_count())
        value: int = part.get_value_at_percentile(percent)
        return value


@attrs.define
class _StageTimes:
    first: _RecentValues = attrs.field(factory=lambda: _RecentValues(WINDOW_MS))
    total: _RecentValues = attrs.field(factory=lambda: _RecentValues(WINDOW_MS))
    baseline: _RecentValues = attrs.field(
        factory=lambda: _RecentValues(BASELINE_WINDOW_MS)
    )
    first_baseline: _RecentValues = attrs.field(
        factory=lambda: _RecentValues(BASELINE_WINDOW_MS)
    )


class Estimates:
    """Durations of the recent attempts of this entry.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.stages_by_key: dict[Key, _StageTimes] = {}
        self.gap_ms_by_service: dict[str, float] = {}

    def record(
        self,
        service: str,
        stage: str,
        size: tuple[int, int],
        first_ms: float,
        total_ms: float,
    ) -> None:
        """Record one successful attempt.

        Args:
            service: Service that ran it.
            stage: Kind of the stage or name of the call.
            size: Size class.
            first_ms: Time to its first item, in milliseconds.
            total_ms: Time to its end, in milliseconds.
        """
        now_ms = self.clock.now_ms()
        for key in {(service, stage, size), (service, stage, ANY_CLASS)}:
            entry = self.stages_by_key.get(key)
            if entry is None:
                if len(self.stages_by_key) >= MAX_KEYS and key[2] != ANY_CLASS:
                    continue
                entry = self.stages_by_key[key] = _StageTimes()
            entry.first.record(first_ms, now_ms)
            entry.total.record(total_ms, now_ms)
            entry.baseline.record(total_ms, now_ms)
            entry.first_baseline.record(first_ms, now_ms)

    def record_gap(self, service: str, gap_ms: float) -> None:
        """Record the time between two items of a stream."""
        known = self.gap_ms_by_service.get(service, gap_ms)
        self.gap_ms_by_service[service] = known + GAP_WEIGHT * (gap_ms - known)

    def gap_ms(self, service: str) -> float:
        """Return the expected time between two items of a stream, 0 if unknown."""
        return self.gap_ms_by_service.get(service, 0.0)

    def total_ms(
        self, service: str, stage: str, size: tuple[int, int], percent: int = 50
    ) -> int | None:
        """Return a percentile of the total time, or None without enough samples."""
        return self._percentile("total", service, stage, size, percent)

    def first_ms(
        self, service: str, stage: str, size: tuple[int, int], percent: int = 50
    ) -> int | None:
        """Return a percentile of the time to the first item; see ``total_ms``."""
        return self._percentile("first", service, stage, size, percent)

    def longest_first_ms(
        self, service: str, stage: str, size: tuple[int, int]
    ) -> int | None:
        """Return the time within which almost all first items arrive, or None.

        Where the last seconds had too few attempts, those of a minute count.
        """
        key = (service, stage, size, LONGEST_PERCENTILE)
        recent_ms = self._percentile("first", *key)
        if recent_ms is not None:
            return recent_ms
        return self._percentile("first_baseline", *key)

    def baseline_ms(
        self, service: str, stage: str, size: tuple[int, int]
    ) -> int | None:
        """Return the total time under little contention; see ``total_ms``."""
        return self._percentile("baseline", service, stage, size, BASELINE_PERCENTILE)

    def first_baseline_ms(
        self, service: str, stage: str, size: tuple[int, int]
    ) -> int | None:
        """Return the time to the first item under little contention, or None."""
        return self._percentile(
            "first_baseline", service, stage, size, BASELINE_PERCENTILE
        )

    def _percentile(
        self, what: str, service: str, stage: str, size: tuple[int, int], percent: int
    ) -> int | None:
        now_ms = self.clock.now_ms()
        for key in ((service, stage, size), (service, stage, ANY_CLASS)):
            entry = self.stages_by_key.get(key)
            if entry is not None:
                values: _RecentValues = getattr(entry, what)
                value = values.percentile(percent, now_ms)
                if value is not None:
                    return value
        return None
