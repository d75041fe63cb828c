"""Differences between two variants, with intervals over paired seeds."""

import math
from collections.abc import Sequence
from functools import cache
from typing import Any

import attrs
import numpy as np

from wagtailrun.experiments.reports.figures import FIGURES, Side, format_value

__all__ = ["METHOD", "Comparison", "Difference", "compare", "interval"]

CONFIDENCE = 0.95
MIN_PAIRS = 3
METHOD = (
    "Each figure is measured for each seed of both; the difference (second less first) "
    "is the mean of the differences of seeds that both have. The 95% interval is that "
    "of Student's t for paired differences: mean ± t(0.975, n − 1) · s / √n, with "
    "their number n and standard deviation s. It assumes that the differences of seeds "
    "are about normal and independent. Of twenty figures without a real difference, "
    "one is expected to show one by chance."
)


@attrs.frozen
class Difference:
    """Difference of one figure, second less first; None where it is unknown.

    Attributes:
        figure, unit: Name and unit.
        decimals: Decimals to show.
        pairs: Number of paired seeds.
        first, second: Means over the paired seeds.
        mean: Mean difference.
        low, high: 95% interval; None with fewer than three pairs.
    """

    figure: str
    unit: str
    decimals: int
    pairs: int
    first: float | None
    second: float | None
    mean: float | None
    low: float | None
    high: float | None

    @property
    def verdict(self) -> str:
        """What the interval says."""
        if self.low is None or self.high is None:
            return f"no interval, only {self.pairs} paired seeds"
        if self.low <= 0 <= self.high:
            return "no difference shown"
        return "second is higher" if self.low > 0 else "second is lower"

    def as_row(self) -> dict[str, Any]:
        """Return the texts of a table."""

        def text(value: float | None) -> str:
            return format_value(value, self.decimals + 1)

        known = self.low is not None
        return {
            "figure": self.figure,
            "first": text(self.first),
            "second": text(self.second),
            "difference": text(self.mean),
            "95% interval": f"{text(self.low)} to {text(self.high)}" if known else "",
            "unit": self.unit,
            "pairs": self.pairs,
            "verdict": self.verdict,
        }


@attrs.frozen
class Comparison:
    """Differences of all main figures between two variants, by their labels."""

    first: str
    second: str
    differences: list[Difference]

    def as_json(self) -> dict[str, Any]:
        """Return the differences with numbers."""
        rows = [{**attrs.asdict(d), "verdict": d.verdict} for d in self.differences]
        return {"first": self.first, "second": self.second, "differences": rows}

    def rows(self) -> list[dict[str, Any]]:
        """Return the differences as texts, a row for each figure."""
        return [each.as_row() for each in self.differences]


def compare(first: Side, second: Side) -> Comparison:
    """Return the differences of the main figures over the seeds that both have."""
    found = []
    for figure in FIGURES:
        pairs = [
            (one[figure.name], second.figures_by_seed[seed][figure.name])
            for seed, one in first.figures_by_seed.items()
            if seed in second.figures_by_seed
        ]
        known = np.array([p for p in pairs if None not in p], float).reshape(-1, 2)
        ones, others = known.T.tolist()
        mean, low, high = interval(np.subtract(others, ones).tolist())
        found.append(
            Difference(
                figure=figure.name,
                unit=figure.unit,
                decimals=figure.decimals,
                pairs=len(known),
                first=float(np.mean(ones)) if ones else None,
                second=float(np.mean(others)) if ones else None,
                mean=mean,
                low=low,
                high=high,
            )
        )
    return Comparison(first.label, second.label, found)


def interval(
    differences: Sequence[float],
) -> tuple[float | None, float | None, float | None]:
    """Return mean, and lower and upper end of its interval, of paired differences."""
    count = len(differences)
    if not count:
        return None, None, None
    mean = float(np.mean(differences))
    if count < MIN_PAIRS:
        return mean, None, None
    error = float(np.std(differences, ddof=1)) / math.sqrt(count)
    half = student_quantile((1 + CONFIDENCE) / 2, count - 1) * error
    return mean, mean - half, mean + half


@cache
def student_quantile(probability: float, freedom: int) -> float:
    """Return a quantile above the median of Student's t distribution.

    numpy has none, so the density is integrated with the rule of trapezoids.

    Args:
        probability: Between 0.5 and 0.99.
        freedom: Degrees of freedom, from 2.
    """
    # At 2 degrees of freedom, the 0.99 quantile is 6.96.
    x = np.linspace(0, 8, 80_001)
    log_scale = math.lgamma((freedom + 1) / 2) - math.lgamma(freedom / 2)
    scale = math.exp(log_scale) / math.sqrt(freedom * math.pi)
    density = scale * (1 + x * x / freedom) ** (-(freedom + 1) / 2)
    areas = (density[1:] + density[:-1]) / 2 * (x[1] - x[0])
    below = 0.5 + np.concatenate([[0.0], np.cumsum(areas)])
    return float(np.interp(probability, below, x))
