"""Main figures of one variant, over its seeds and of each seed."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from wagtailrun.exceptions import ResultsError
from wagtailrun.experiments.records import Outcome, PromiseRecord, Run
from wagtailrun.experiments.reports.outages import outage_row
from wagtailrun.experiments.reports.reading import ResultsDirectory
from wagtailrun.experiments.reports.tally import WAITS, Refused, Tally, tally_play

__all__ = [
    "FIGURES",
    "Figure",
    "Row",
    "Side",
    "outage_rows",
    "promise_rows",
    "read_side",
    "summary",
]

HELD = list(WAITS)[-1]


@attrs.frozen
class Figure:
    """Main figure; ``of`` returns None where a tally has nothing to measure."""

    name: str
    unit: str
    decimals: int
    of: Callable[[Tally], float | None]


def _percent(part: float, whole: float) -> float | None:
    return 100 * part / whole if whole else None


def _share(outcome: Outcome) -> Figure:
    return Figure(
        f"share {outcome}",
        "% of requests",
        2,
        lambda tally: _percent(tally.outcomes[outcome], tally.requests),
    )


def _percentile(name: str, field: str, percent: int) -> Figure:
    def of(tally: Tally) -> float | None:
        times = getattr(tally, field)
        if not times.get_total_count():
            return None
        return float(times.get_value_at_percentile(percent))

    text = "largest" if percent == 100 else f"{percent}th percentile"
    return Figure(f"{name}, {text}", "ms", 0, of)


def _held(tally: Tally) -> int:
    return sum(n for key, n in tally.refusals.items() if key.wait == HELD)


def _wasted(tally: Tally) -> float | None:
    return _percent(tally.wasted_ms, tally.wasted_ms + sum(tally.run_ms.values()))


FIGURES = (
    *map(_share, Outcome),
    *(_percentile("first token", "first", percent) for percent in (50, 95, 99)),
    *(_percentile("complete answer", "end", percent) for percent in (50, 95, 99)),
    Figure(
        f"refusals held {HELD}",
        "% of refusals",
        2,
        lambda tally: _percent(_held(tally), tally.outcomes[Outcome.REFUSED]),
    ),
    *(_percentile("sender lateness", "lateness", percent) for percent in (99, 100)),
    Figure("work thrown away", "% of targets' time", 2, _wasted),
    Figure(
        "attempts",
        "per request",
        3,
        lambda tally: tally.attempts / tally.requests if tally.requests else None,
    ),
)


@attrs.define
class Side:
    """One variant of one results directory.

    Attributes:
        label: Name on the page.
        run: What the directory says of the experiment.
        tally: Tally of all seeds.
        figures_by_seed: Values of ``FIGURES`` by name, by seed.
        promises_by_seed: Promises by seed.
    """

    label: str
    run: Run
    tally: Tally
    figures_by_seed: dict[int, dict[str, float | None]] = attrs.field(factory=dict)
    promises_by_seed: dict[int, list[PromiseRecord]] = attrs.field(factory=dict)

    @property
    def seeds(self) -> str:
        """Seeds as a text."""
        return ", ".join(map(str, self.figures_by_seed))


def read_side(
    results: ResultsDirectory, variant: str, label: str, progress: Callable[[str], None]
) -> Side:
    """Read all plays of a variant; an invalid one is added to the gaps of ``results``.

    Args:
        results: Results directory.
        variant: Name of the variant.
        label: Name on the page.
        progress: Called with the path of each play before it is read.
    """
    side = Side(label, results.run, Tally(results.run.length_ms))
    for play in results.plays:
        if play.variant != variant:
            continue
        progress(play.path)
        try:
            read = tally_play(results, play)
        except ResultsError as error:
            results.gaps.append(f"{error}; {play.path} is left out")
            continue
        side.tally.merge(read.tally)
        values = {figure.name: figure.of(read.tally) for figure in FIGURES}
        side.figures_by_seed[play.seed] = values
        side.promises_by_seed[play.seed] = read.promises
        results.gaps += read.gaps
    return side


@attrs.frozen
class Row:
    """One figure of all sides; a value is None where there was nothing to measure."""

    figure: str
    unit: str
    decimals: int
    values: Sequence[float | None]

    def as_json(self, sides: list[Side]) -> dict[str, Any]:
        """Return the row with numbers."""
        labels = [side.label for side in sides]
        values = dict(zip(labels, self.values, strict=True))
        return {"figure": self.figure, "unit": self.unit, "values": values}

    def as_text(self, sides: list[Side]) -> dict[str, Any]:
        """Return the row with texts, as the columns of a table."""
        cells = {
            side.label: format_value(value, self.decimals)
            for side, value in zip(sides, self.values, strict=True)
        }
        return {"figure": self.figure, **cells, "unit": self.unit}


def format_value(value: float | None, decimals: int) -> str:
    """Return a number as text."""
    return "none" if value is None else f"{value:,.{decimals}f}"


def summary(sides: list[Side]) -> list[Row]:
    """Return counts and main figures, over all seeds of each side."""

    def count(name: str, unit: str, decimals: int, of: Any) -> Row:
        return Row(name, unit, decimals, [of(side.tally) for side in sides])

    rows = [
        count("plays", "seeds", 0, lambda tally: tally.plays),
        count("requests", "requests", 0, lambda tally: tally.requests),
    ]
    for outcome in Outcome:
        counts = [side.tally.outcomes[outcome] for side in sides]
        rows.append(Row(outcome, "requests", 0, counts))
        if outcome is Outcome.REFUSED:
            rows += _reason_rows(sides)
    rows.append(count(f"refusals held {HELD}", "requests", 0, _held))
    rows.append(count("work thrown away", "s", 1, lambda t: t.wasted_ms / 1_000))
    for figure in FIGURES:
        values = [figure.of(side.tally) for side in sides]
        rows.append(Row(figure.name, figure.unit, figure.decimals, values))
    return rows


def _reason_rows(sides: list[Side]) -> list[Row]:
    reasons = {key.reason for side in sides for key in side.tally.refusals}
    rows = []
    for reason in sorted(reasons):
        keys = [Refused(reason, wait) for wait in WAITS]
        counts = [sum(side.tally.refusals[key] for key in keys) for side in sides]
        rows.append(Row(f"refused: {reason}", "requests", 0, counts))
    return rows


def outage_rows(sides: list[Side]) -> list[dict[str, Any]]:
    """Return a row for each fault and side, in order of time."""
    rows = []
    for side in sides:
        by_fault = side.tally.outages
        starts_ms = {
            fault: min(outage.event.at_ms for outage in outages)
            for fault, outages in by_fault.items()
        }
        for fault in sorted(by_fault, key=lambda each: (starts_ms[each], repr(each))):
            rows.append(outage_row(side.label, fault, by_fault[fault]))
    return rows


def promise_rows(sides: list[Side]) -> list[dict[str, Any]]:
    """Return a row for each promise and side: bound, measured values, seeds held."""
    rows = []
    for side in sides:
        found: dict[str, list[tuple[int, PromiseRecord]]] = {}
        for seed, promises in side.promises_by_seed.items():
            seen: Counter[str] = Counter()
            for promise in promises:
                key = f"{promise.name} {promise.bound!r} {promise.unit}"
                # A play may state the same promise of several things.
                seen[key] += 1
                found.setdefault(f"{key} {seen[key]}", []).append((seed, promise))
        for plays in found.values():
            rows.append(_promise_row(side, plays))
    return rows


def _promise_row(side: Side, plays: list[tuple[int, PromiseRecord]]) -> dict[str, Any]:
    first = plays[0][1]
    held = sum(promise.held is True for _, promise in plays)
    unmeasured = sum(promise.held is None for _, promise in plays)
    text = f"{held} of {len(side.promises_by_seed)} seeds"
    unmeasured += len(side.promises_by_seed) - len(plays)
    text += f", {unmeasured} not measured" * bool(unmeasured)
    measured = [promise.measured for _, promise in plays]
    if all(type(each) in (int, float) for each in measured):
        low, high = min(measured), max(measured)
        span = f"{low:.10g}" + f" to {high:.10g}" * (low != high)
    else:
        span = ", ".join(
            dict.fromkeys("none" if m is None else str(m) for m in measured)
        )
    broken = [f"seed {seed}: {p.detail}" for seed, p in plays if p.held is False]
    return {
        "promise": first.name,
        "of": side.label,
        "bound": first.bound,
        "measured": span,
        "unit": first.unit,
        "held": text,
        "first breach": broken[0] if broken else "",
    }
