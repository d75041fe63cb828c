"""Lines of accounting periods: encoding, digest, totals and reports."""

import hashlib
import json
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import UTC, date, datetime, timedelta
from functools import lru_cache
from typing import Any

import attrs
import curio

from wagtailrun.accounts.cells import (
    CellTable,
    Column,
    Measure,
    RowKey,
    Scope,
    Source,
)
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import MessageError

__all__ = [
    "DIMENSIONS",
    "Line",
    "PeriodTotals",
    "map_in_chunks",
    "cost_rows",
    "digest_of",
    "is_period",
    "is_refusal_minute",
    "lines_from_bytes",
    "lines_to_bytes",
    "period_end_ms",
    "period_of",
    "refusal_rows",
    "request_rows",
    "sum_by_source",
    "totals_of",
]

# Takes about 10 ms.
LINES_PER_CHUNK = 1_000
ENCODER = json.JSONEncoder()


@attrs.frozen(order=True)
class Line:
    """Part of one cell that is recorded in a period.

    Attributes:
        source: Entry incarnation that counted it.
        key: Row of the cell.
        column: Column of the cell.
        amount: Part of the cell's value that is recorded in this period.
        late: Whether the row's own period was already closed.
        new_minute: Whether no earlier period has a refusal of this minute; always
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
    """Totals that the control members agree on when a period is closed.

    Attributes:
        refusal_minutes: Minutes counted once for each workspace and service or
            pipeline.
        late_refusal_minutes: Part of them that belongs to earlier periods.
        refusals_by_reason: Number of refused requests.
        requests_by_outcome: Number of requests.
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
    """Return the period, a UTC day, that contains ``wall_ms``."""
    return datetime.fromtimestamp(wall_ms / MS_PER_SECOND, UTC).date().isoformat()


def period_end_ms(period: str) -> int:
    """Return the end of a period; raises ValueError if it is not a date."""
    day = date.fromisoformat(period) + timedelta(days=1)
    midnight = datetime(day.year, day.month, day.day, tzinfo=UTC)
    return int(midnight.timestamp()) * MS_PER_SECOND


def is_period(text: str) -> bool:
    """Return whether ``text`` is the name of a period."""
    try:
        return date.fromisoformat(text).isoformat() == text
    except ValueError:
        return False


async def map_in_chunks(
    items: Sequence[Any], convert: Callable[[Any], Any]
) -> list[Any]:
    """Return each item converted, and let other tasks run between chunks.

    A day of 160,000 lines takes over a second to write or read. A control member that
    did this without a break would lose its leader lease of 1,000 ms.
    """
    converted: list[Any] = []
    for start in range(0, len(items), LINES_PER_CHUNK):
        converted += map(convert, items[start : start + LINES_PER_CHUNK])
        await curio.sleep(0)
    return converted


async def lines_to_bytes(lines: Sequence[Line]) -> bytes:
    """Encode lines as canonical JSON: one array per text line, in sorted order."""
    return "\n".join(sorted(await map_in_chunks(lines, _encode_line))).encode()


def _encode_line(line: Line) -> str:
    fields = [*line.source, *line.key, *line.column]
    return ENCODER.encode([*fields, line.amount, int(line.late), int(line.new_minute)])


async def lines_from_bytes(content: bytes) -> list[Line]:
    """Parse lines of canonical JSON; raises MessageError if they are malformed."""
    try:
        return await map_in_chunks(content.decode().splitlines(), _decode_line)
    except (ValueError, TypeError, RecursionError) as error:
        raise MessageError(f"malformed lines of a period: {error}") from error


def _decode_line(text: str) -> Line:
    entry, incarnation, *rest = json.loads(text)
    key, column = RowKey(*rest[:5]), Column(*rest[5:9])
    amount, late, new_minute = rest[9:]
    return Line(
        Source(entry, incarnation), key, column, amount, bool(late), bool(new_minute)
    )


def digest_of(content: bytes) -> str:
    """Return the SHA-256 of a period's lines."""
    return hashlib.sha256(content).hexdigest()


async def sum_by_source(lines: list[Line]) -> dict[Source, CellTable]:
    """Return the sums of ``lines`` by source and cell."""
    tables: dict[Source, CellTable] = {}

    def add(line: Line) -> None:
        table = tables.setdefault(line.source, CellTable())
        table.add(line.key, (line.column,), (line.amount,))

    await map_in_chunks(lines, add)
    return tables


def totals_of(lines: Iterable[Line]) -> PeriodTotals:
    """Return the totals of a period's lines."""
    minutes: set[tuple[Any, ...]] = set()
    late_minutes: set[tuple[Any, ...]] = set()
    reasons: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    prices: Counter[str] = Counter()
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
    """Return one row per minute with refusals, workspace, and service or pipeline."""
    rows_by_key: dict[tuple[Any, ...], dict[str, Any]] = {}
    for line in lines:
        if line.column.kind != "refusal":
            continue
        row = rows_by_key.setdefault(
            (line.key, line.late),
            {
                "minute": _format_start(line.key),
                **_subject_fields(line.key),
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
        where: Required values by dimension.

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
    sums: dict[tuple[Any, ...], Counter[str]] = {}
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
    counts: dict[tuple[str, str, str], Counter[str]] = {}
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


def _subject_fields(key: RowKey) -> dict[str, str]:
    return {
        "workspace": key.workspace,
        "service": key.service,
        "pipeline": key.pipeline,
    }


def _format_start(key: RowKey) -> str:
    return _format_minute(key.start_ms)


@lru_cache(maxsize=4_096)
def _format_minute(start_ms: int) -> str:
    start = datetime.fromtimestamp(start_ms / MS_PER_SECOND, UTC)
    return start.strftime("%Y-%m-%dT%H:%MZ")


def is_refusal_minute(key: RowKey) -> bool:
    """Return whether a row counts refusals of one minute."""
    return key.scope == Scope.MINUTE


# Dimensions by which sums of cost lines can be grouped and filtered.
VALUES_BY_DIMENSION: dict[str, Callable[[Line], str]] = {
    "workspace": lambda line: line.key.workspace,
    "service": lambda line: line.column.service,
    "pipeline": lambda line: line.key.pipeline,
    "stage": lambda line: line.column.stage,
    "work": lambda line: line.column.kind,
    "hour": lambda line: _format_start(line.key),
    "entry": lambda line: f"{line.source.entry}/{line.source.incarnation}",
    "booking": lambda line: "late" if line.late else "in-period",
}
DIMENSIONS = tuple(VALUES_BY_DIMENSION)
