"""Lines of accounting periods: selection, sums, canonical text and digest."""

import hashlib
import json
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import UTC, date, datetime, timedelta
from functools import lru_cache
from typing import Any

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.cost_cells import Column, Measure, RowKey, Scope, Source
from wagtailrun.exceptions import MessageError

__all__ = [
    "DIMENSIONS",
    "Line",
    "PeriodTotals",
    "convert_in_parts",
    "cost_rows",
    "digest_of",
    "is_minute",
    "lines_from_bytes",
    "lines_to_bytes",
    "period_end_ms",
    "period_of",
    "refusal_rows",
    "request_rows",
    "totals_of",
]

# About 10 ms of work.
LINES_PER_PART = 1_000
ENCODER = json.JSONEncoder()


@attrs.frozen(order=True)
class Line:
    """One amount of one cell that is booked into a period.

    Attributes:
        source: Entry incarnation that counted it.
        key: Row of the cell.
        column: Column of the cell.
        amount: Part of the cell's value that this period holds.
        late: Whether the period that the row belongs to was closed before.
        new_minute: Whether no earlier period holds a refusal of this minute; always
            True for rows of an hour.
    """

    source: Source
    key: RowKey
    column: Column
    amount: int
    late: bool = False
    new_minute: bool = True


@attrs.frozen
class PeriodTotals:
    """Totals that are agreed on when a period is closed.

    Attributes:
        refusal_minutes: Minutes counted once for each workspace and service or
            pipeline.
        late_refusal_minutes: Part of them that belongs to earlier periods.
        refusals_by_reason: Refused requests.
        requests_by_outcome: Requests.
        price_millionths_by_stage: Cost by stage, in millionths of the currency unit.
        late_price_millionths: Part of the cost that belongs to earlier periods.
    """

    refusal_minutes: int
    late_refusal_minutes: int
    refusals_by_reason: dict[str, int]
    requests_by_outcome: dict[str, int]
    price_millionths_by_stage: dict[str, int]
    late_price_millionths: int

    def to_json(self) -> str:
        """Return the totals as canonical JSON."""
        return json.dumps(attrs.asdict(self), sort_keys=True)


def period_of(wall_ms: int) -> str:
    """Return the period, a UTC day, that ``wall_ms`` lies in."""
    return datetime.fromtimestamp(wall_ms / MS_PER_SECOND, UTC).date().isoformat()


def period_end_ms(period: str) -> int:
    """Return the end of a period; raises ValueError if it is no date."""
    day = date.fromisoformat(period) + timedelta(days=1)
    midnight = datetime(day.year, day.month, day.day, tzinfo=UTC)
    return int(midnight.timestamp()) * MS_PER_SECOND


async def convert_in_parts(
    items: Sequence[Any], convert: Callable[[Any], Any]
) -> list[Any]:
    """Return each item converted, letting other tasks run now and then.

    A day of 160,000 lines takes over a second to write or read. A control member
    that did so at one go would lose its leader lease of 1,000 ms.
    """
    converted = []
    for start in range(0, len(items), LINES_PER_PART):
        converted += map(convert, items[start : start + LINES_PER_PART])
        await curio.sleep(0)
    return converted


async def lines_to_bytes(lines: Sequence[Line]) -> bytes:
    """Return lines as canonical JSON: one array a line, sorted."""
    return "\n".join(sorted(await convert_in_parts(lines, _line_text))).encode()


def _line_text(line: Line) -> str:
    fields = [*line.source, *line.key, *line.column]
    return ENCODER.encode([*fields, line.amount, int(line.late), int(line.new_minute)])


async def lines_from_bytes(content: bytes) -> list[Line]:
    """Return the lines in ``content``; raises MessageError if it is malformed."""
    try:
        return await convert_in_parts(content.decode().splitlines(), _line_of)
    except (ValueError, TypeError, RecursionError) as error:
        raise MessageError(f"malformed period: {error}") from error


def _line_of(text: str) -> Line:
    entry, incarnation, *rest = json.loads(text)
    key, column = RowKey(*rest[:5]), Column(*rest[5:9])
    amount, late, new_minute = rest[9:]
    return Line(
        Source(entry, incarnation), key, column, amount, bool(late), bool(new_minute)
    )


def digest_of(content: bytes) -> str:
    """Return the SHA-256 of a period's lines."""
    return hashlib.sha256(content).hexdigest()


def totals_of(lines: Iterable[Line]) -> PeriodTotals:
    """Return the totals of a period's lines."""
    minutes: set[tuple] = set()
    late_minutes: set[tuple] = set()
    reasons, outcomes, prices = Counter(), Counter(), Counter()
    late_price = 0
    for line in lines:
        kind, measure = line.column.kind, line.column.measure
        if kind == "refusal":
            reasons[measure] += line.amount
            if line.new_minute:
                minutes.add(line.key)
                if line.late:
                    late_minutes.add(line.key)
        elif kind == "request":
            outcomes[measure] += line.amount
        elif measure == Measure.PRICE_MILLIONTHS:
            prices[line.column.stage] += line.amount
            late_price += line.amount if line.late else 0
    return PeriodTotals(
        len(minutes),
        len(late_minutes),
        dict(sorted(reasons.items())),
        dict(sorted(outcomes.items())),
        dict(sorted(prices.items())),
        late_price,
    )


def refusal_rows(lines: Iterable[Line]) -> list[dict[str, Any]]:
    """Return one row for each refused minute of a workspace and service or pipeline."""
    rows_by_key: dict[tuple, dict[str, Any]] = {}
    for line in lines:
        if line.column.kind != "refusal":
            continue
        row = rows_by_key.setdefault(
            (line.key, line.late),
            {
                "minute": _time_text(line.key),
                **_subject(line.key),
                "refusals": 0,
                "reasons": Counter(),
                "entries": set(),
                "late": line.late,
                "new_minute": line.new_minute,
            },
        )
        row["refusals"] += line.amount
        row["reasons"][line.column.measure] += line.amount
        row["entries"].add(line.source.entry)
    rows = [rows_by_key[key] for key in sorted(rows_by_key)]
    for row in rows:
        row["reasons"] = dict(sorted(row["reasons"].items()))
        row["entries"] = sorted(row["entries"])
    return rows


def cost_rows(
    lines: Iterable[Line],
    by: Iterable[str] = ("stage",),
    where: Mapping[str, str] | None = None,
) -> list[dict[str, Any]]:
    """Return sums of cost lines.

    Args:
        lines: Lines of one or more periods.
        by: Dimensions to sum by; each is one of ``DIMENSIONS``.
        where: Values that dimensions must have.

    Raises:
        ValueError: If a dimension is unknown.
    """
    dimensions = tuple(by)
    wanted = dict(where or {})
    unknown = sorted({*dimensions, *wanted} - set(DIMENSIONS))
    if unknown:
        known = ", ".join(DIMENSIONS)
        raise ValueError(f"dimension {unknown[0]!r} is unknown; known: {known}")
    parts = [VALUES_BY_DIMENSION[name] for name in dimensions]
    wanted_values = [(VALUES_BY_DIMENSION[n], value) for n, value in wanted.items()]
    sums: dict[tuple, Counter] = {}
    for line in lines:
        if line.column.kind in ("refusal", "request"):
            continue
        if any(value_of(line) != value for value_of, value in wanted_values):
            continue
        group = tuple(value_of(line) for value_of in parts)
        sums.setdefault(group, Counter())[line.column.measure] += line.amount
    return [
        dict(zip(dimensions, group, strict=True))
        | {measure.replace("-", "_"): sums[group][measure] for measure in Measure}
        for group in sorted(sums)
    ]


def request_rows(lines: Iterable[Line]) -> list[dict[str, Any]]:
    """Return counts of requests by workspace and service or pipeline."""
    counts: dict[tuple[str, str, str], Counter] = {}
    for line in lines:
        if line.column.kind == "request":
            subject = (line.key.workspace, line.key.service, line.key.pipeline)
            counts.setdefault(subject, Counter())[line.column.measure] += line.amount
    names = ("workspace", "service", "pipeline")
    return [
        dict(zip(names, subject, strict=True))
        | dict(sorted(counts[subject].items()))
        | {"attainment": counts[subject]["attained"] / counts[subject].total()}
        for subject in sorted(counts)
    ]


def _subject(key: RowKey) -> dict[str, str]:
    return {
        "workspace": key.workspace,
        "service": key.service,
        "pipeline": key.pipeline,
    }


def _time_text(key: RowKey) -> str:
    return _minute_text(key.start_ms)


@lru_cache(maxsize=4_096)
def _minute_text(start_ms: int) -> str:
    start = datetime.fromtimestamp(start_ms / MS_PER_SECOND, UTC)
    return start.strftime("%Y-%m-%dT%H:%MZ")


def is_minute(key: RowKey) -> bool:
    """Return whether a row counts refusals of one minute."""
    return key.scope == Scope.MINUTE


# Parts that a sum of cost lines can be broken down to.
VALUES_BY_DIMENSION: dict[str, Callable[[Line], str]] = {
    "workspace": lambda line: line.key.workspace,
    "service": lambda line: line.column.service,
    "pipeline": lambda line: line.key.pipeline,
    "stage": lambda line: line.column.stage,
    "work": lambda line: line.column.kind,
    "hour": lambda line: _time_text(line.key),
    "entry": lambda line: f"{line.source.entry}/{line.source.incarnation}",
    "booking": lambda line: "late" if line.late else "in-period",
}
DIMENSIONS = tuple(VALUES_BY_DIMENSION)
