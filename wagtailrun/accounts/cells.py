"""Cells of the accounts: grow-only counters that merge by taking the maximum."""

import enum
from array import array
from collections.abc import Iterator, Sequence
from typing import NamedTuple

import attrs

from wagtailrun.fleet.model import Price

__all__ = [
    "MS_PER_MINUTE",
    "CellTable",
    "Column",
    "Measure",
    "RequestOutcome",
    "RowKey",
    "Scope",
    "Source",
    "Usage",
    "WorkKind",
    "add_saturating",
    "bucket_of",
]

MS_PER_MINUTE = 60_000
# Largest value of a cell; sums saturate there.
MAX_CELL_VALUE = 2**63 - 1


class Scope(enum.IntEnum):
    """Length in minutes of the calendar interval that a row covers."""

    MINUTE = 1
    HOUR = 60


class WorkKind(enum.StrEnum):
    """Why an attempt was made; ``WASTED`` if its result was not used."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"
    WASTED = "wasted"


class RequestOutcome(enum.StrEnum):
    """How a request ended for its caller."""

    ATTAINED = "attained"
    LATE = "late"
    INCOMPLETE = "incomplete"
    REFUSED = "refused"


class Measure(enum.StrEnum):
    """Quantity that a cell counts, apart from refusal reasons and request outcomes."""

    CALLS = "calls"
    TOKENS_IN = "tokens-in"
    TOKENS_OUT = "tokens-out"
    TOKENS_CACHED = "tokens-cached"
    ENGINE_MS = "engine-ms"
    PRICE_MILLIONTHS = "price-millionths"


class Source(NamedTuple):
    """Entry incarnation that counted a row, and the only writer of its cells."""

    entry: str
    incarnation: int


class RowKey(NamedTuple):
    """Identifies a row of a source.

    Attributes:
        scope: A ``Scope`` value.
        bucket: Whole UTC minutes or hours since the Unix epoch, as ``scope`` says.
        workspace: Workspace, or empty if the caller named none that exists.
        service: Service that was called, or empty for a pipeline.
        pipeline: Pipeline that was called, or empty for a service.
    """

    scope: int
    bucket: int
    workspace: str
    service: str
    pipeline: str

    @property
    def start_ms(self) -> int:
        """Start of the interval in milliseconds since the Unix epoch."""
        return self.bucket * self.scope * MS_PER_MINUTE

    @property
    def end_ms(self) -> int:
        """End of the interval in milliseconds since the Unix epoch."""
        return (self.bucket + 1) * self.scope * MS_PER_MINUTE


class Column(NamedTuple):
    """Identifies a counter within a row.

    Attributes:
        service: Service that did the work; empty for requests and refusals.
        stage: Stage or call; empty for requests and refusals.
        kind: A ``WorkKind``, ``"request"`` or ``"refusal"``.
        measure: A ``Measure``, a request outcome or a refusal reason.
    """

    service: str
    stage: str
    kind: str
    measure: str


@attrs.frozen
class Usage:
    """Tokens and engine time that one attempt consumed."""

    tokens_in: int = 0
    tokens_out: int = 0
    tokens_cached: int = 0
    engine_ms: int = 0

    def amounts(self, price: Price) -> tuple[int, ...]:
        """Return one amount for each ``Measure``, with the cost at ``price``."""
        cost = (
            price.call
            + price.token_in * self.tokens_in
            + price.token_out * self.tokens_out
            + price.token_cached * self.tokens_cached
            + price.engine_ms * self.engine_ms
        )
        return (
            1,
            self.tokens_in,
            self.tokens_out,
            self.tokens_cached,
            self.engine_ms,
            cost,
        )


def bucket_of(scope: Scope, wall_ms: int) -> int:
    """Return the number of the calendar interval that contains ``wall_ms``."""
    return wall_ms // (scope * MS_PER_MINUTE)


def add_saturating(value: int, amount: int) -> int:
    """Return the sum, at most ``MAX_CELL_VALUE``."""
    return min(value + amount, MAX_CELL_VALUE)


class Layout:
    """Columns of the rows of one service or pipeline, in order of first use."""

    def __init__(self) -> None:
        self.columns: list[Column] = []
        self.positions_by_column: dict[Column, int] = {}

    def position(self, column: Column) -> int:
        """Return the position of ``column``; a new column is appended."""
        position = self.positions_by_column.get(column)
        if position is None:
            position = self.positions_by_column[column] = len(self.columns)
            self.columns.append(column)
        return position


class CellTable:
    """Rows of one source.

    The counters of a row are stored in one array. An object for each counter would take
    28 more bytes, and the design scale has 26,000 rows of 24 counters in an hour.
    """

    def __init__(self) -> None:
        self.rows_by_key: dict[RowKey, array[int]] = {}
        self.layouts_by_subject: dict[tuple[int, str, str], Layout] = {}

    def layout(self, key: RowKey) -> Layout:
        """Return the layout of the row ``key``."""
        subject = (key.scope, key.service, key.pipeline)
        layout = self.layouts_by_subject.get(subject)
        if layout is None:
            layout = self.layouts_by_subject[subject] = Layout()
        return layout

    def add(
        self, key: RowKey, columns: Sequence[Column], amounts: Sequence[int]
    ) -> None:
        """Add an amount to each of ``columns``; negative amounts count as zero."""
        layout = self.layout(key)
        row = self._row(key)
        for column, amount in zip(columns, amounts, strict=True):
            if amount > 0:
                position = layout.positions_by_column.get(column)
                if position is None:
                    position = layout.position(column)
                if position >= len(row):
                    _extend(row, len(layout.columns))
                row[position] = add_saturating(row[position], amount)

    def merge(
        self, key: RowKey, columns: Sequence[Column], values: Sequence[int]
    ) -> bool:
        """Raise each column to its value; return whether any column grew."""
        layout = self.layout(key)
        row = self._row(key)
        grown = False
        for column, value in zip(columns, values, strict=True):
            if value > 0:
                position = layout.position(column)
                if position >= len(row):
                    _extend(row, len(layout.columns))
                if value > row[position]:
                    row[position] = min(value, MAX_CELL_VALUE)
                    grown = True
        return grown

    def merge_table(self, other: "CellTable") -> None:
        """Merge every row of ``other``."""
        for key, row in other.rows_by_key.items():
            self.merge(key, other.layout(key).columns[: len(row)], row)

    def value(self, key: RowKey, column: Column) -> int:
        """Return the value of a cell, or 0 if it does not exist."""
        row = self.rows_by_key.get(key)
        position = self.layout(key).positions_by_column.get(column)
        if row is None or position is None or position >= len(row):
            return 0
        return row[position]

    def cells(self) -> Iterator[tuple[RowKey, Column, int]]:
        """Yield every cell that is not zero."""
        for key, row in self.rows_by_key.items():
            for column, value in zip(self.layout(key).columns, row, strict=False):
                if value:
                    yield key, column, value

    def drop(self, key: RowKey) -> None:
        """Remove a row if it exists."""
        self.rows_by_key.pop(key, None)

    def _row(self, key: RowKey) -> "array[int]":
        row = self.rows_by_key.get(key)
        if row is None:
            row = self.rows_by_key[key] = array("q")
        return row


def _extend(row: "array[int]", length: int) -> None:
    row.extend([0] * (length - len(row)))
