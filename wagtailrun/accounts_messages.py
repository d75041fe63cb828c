"""Messages that carry account rows, and their compact form."""

import zlib
from collections.abc import Iterable, Mapping

import attrs

from wagtailrun.account_files import decompress
from wagtailrun.codec import Channel, Codec
from wagtailrun.cost_cells import (
    MAX_VALUE,
    CellTable,
    Column,
    RowKey,
    Scope,
    Source,
)
from wagtailrun.exceptions import MessageError

__all__ = [
    "AccountRows",
    "AccountsKept",
    "FetchPeriod",
    "HistogramKey",
    "PeriodContent",
    "RowBatch",
    "pack_batch",
    "unpack_batch",
]

# Bounds what a compressed batch may grow to; a frame holds at most 8 MiB.
MAX_BATCH_BYTES = 32 * 1024 * 1024
COMPRESSION_LEVEL = 6
LAYOUT_HEAD = 4
COLUMN_WIDTH = 4
ROW_HEAD = 4
HISTOGRAM_HEAD = 3

# Hour since the Unix epoch, and pipeline.
HistogramKey = tuple[int, str]


@attrs.frozen
class AccountRows:
    """Rows handed to another entry or to a control member.

    Attributes:
        sender: Name of the process that sends them.
        sequence: Grows with each exchange of the sender.
        settled: Whether control members hold everything that earlier exchanges
            of the sender carried, apart from what this message repeats.
        batches: Compressed ``RowBatch`` messages, one for each source.
    """

    sender: str
    sequence: int
    settled: bool
    batches: list[bytes]


@attrs.frozen
class AccountsKept:
    """Answers ``AccountRows``.

    Attributes:
        holder: Name of the process that answers.
        holder_incarnation: Changes when the holder may have lost rows.
        kept: Whether the rows are kept; a control member has synced them.
        detail: Why they are not.
    """

    holder: str
    holder_incarnation: int
    kept: bool
    detail: str = ""


@attrs.frozen
class RowBatch:
    """Rows of one source with their names written once.

    Attributes:
        entry: Entry that counted the rows.
        incarnation: Incarnation of that entry.
        names: Strings that the numbers below refer to.
        layouts: For each layout: scope, service, pipeline, number of columns, then
            service, stage, kind and measure of each column.
        heads: For each row: layout, bucket, workspace, number of values.
        values: Values of all rows.
        histograms: Encoded HDR histograms.
        histogram_heads: For each histogram: hour, pipeline, number of records.
    """

    entry: str
    incarnation: int
    names: list[str]
    layouts: list[int]
    heads: list[int]
    values: list[int]
    histograms: list[bytes]
    histogram_heads: list[int]


@attrs.frozen
class FetchPeriod:
    """Asks a control member for the lines of a closed period."""

    period: str


@attrs.frozen
class PeriodContent:
    """Lines of a closed period; ``content`` is empty if they are not known."""

    period: str
    digest: str
    content: bytes


CODEC = Codec(
    Channel.ACCOUNTS,
    "accounts.capnp",
    [AccountRows, AccountsKept, FetchPeriod, PeriodContent, RowBatch],
)


class _Names:
    def __init__(self) -> None:
        self.numbers_by_name: dict[str, int] = {}

    def number(self, name: str) -> int:
        return self.numbers_by_name.setdefault(name, len(self.numbers_by_name))


def pack_batch(
    source: Source,
    table: CellTable,
    keys: Iterable[RowKey],
    histograms: Mapping[HistogramKey, tuple[int, bytes]] | None = None,
) -> bytes:
    """Return the rows ``keys`` of ``table`` as one compressed batch.

    Args:
        source: Entry incarnation that counted the rows.
        table: Its rows.
        keys: Rows to include; unknown ones are left out.
        histograms: Number of records and encoding of histograms by key.
    """
    names = _Names()
    layouts: list[int] = []
    numbers_by_subject: dict[tuple, int] = {}
    heads: list[int] = []
    values: list[int] = []
    for key in keys:
        row = table.rows_by_key.get(key)
        if row is None:
            continue
        subject = (key.scope, key.service, key.pipeline)
        number = numbers_by_subject.get(subject)
        if number is None:
            number = numbers_by_subject[subject] = len(numbers_by_subject)
            layouts += _pack_layout(names, subject, table.layout(key).columns)
        heads += (number, key.bucket, names.number(key.workspace), len(row))
        values += row
    encoded, histogram_heads = [], []
    for (hour, pipeline), (count, data) in (histograms or {}).items():
        histogram_heads += (hour, names.number(pipeline), count)
        encoded.append(data)
    batch = RowBatch(
        *source,
        list(names.numbers_by_name),
        layouts,
        heads,
        values,
        encoded,
        histogram_heads,
    )
    return zlib.compress(CODEC.encode(batch), COMPRESSION_LEVEL)


def _pack_layout(
    names: _Names, subject: tuple[int, str, str], columns: list[Column]
) -> list[int]:
    scope, service, pipeline = subject
    packed = [int(scope), names.number(service), names.number(pipeline), len(columns)]
    for column in columns:
        packed += map(names.number, column)
    return packed


def unpack_batch(
    data: bytes,
) -> tuple[Source, CellTable, dict[HistogramKey, tuple[int, bytes]]]:
    """Return source, rows and histograms of a compressed batch.

    Raises:
        MessageError: If the batch is malformed.
    """
    try:
        batch = CODEC.decode(decompress(data, MAX_BATCH_BYTES))
        if not isinstance(batch, RowBatch):
            raise MessageError("account batch holds another message")
        source = Source(batch.entry, batch.incarnation)
        return source, _unpack_rows(batch), _unpack_histograms(batch)
    except (IndexError, ValueError, OverflowError) as error:
        raise MessageError(f"malformed account batch: {error}") from error


def _unpack_rows(batch: RowBatch) -> CellTable:
    layouts = _unpack_layouts(batch)
    table = CellTable()
    start = 0
    for position in range(0, len(batch.heads), ROW_HEAD):
        number, bucket, workspace, length = batch.heads[position : position + ROW_HEAD]
        (scope, service, pipeline), columns = layouts[number]
        values = batch.values[start : start + length]
        start += length
        if len(values) < length or length > len(columns):
            raise ValueError("a row has more values than its layout")
        if any(value > MAX_VALUE for value in values):
            raise ValueError("a value is too large")
        key = RowKey(scope, bucket, batch.names[workspace], service, pipeline)
        table.merge(key, columns[:length], values)
    return table


def _unpack_layouts(batch: RowBatch) -> list[tuple[tuple[int, str, str], list[Column]]]:
    names, numbers = batch.names, batch.layouts
    layouts = []
    position = 0
    while position < len(numbers):
        scope, service, pipeline, count = numbers[position : position + LAYOUT_HEAD]
        if scope not in tuple(Scope):
            raise ValueError(f"scope {scope} is unknown")
        position += LAYOUT_HEAD
        end = position + count * COLUMN_WIDTH
        if end > len(numbers):
            raise ValueError("a layout is cut short")
        parts = [names[number] for number in numbers[position:end]]
        columns = [
            Column(*parts[first : first + COLUMN_WIDTH])
            for first in range(0, len(parts), COLUMN_WIDTH)
        ]
        layouts.append(((scope, names[service], names[pipeline]), columns))
        position = end
    return layouts


def _unpack_histograms(batch: RowBatch) -> dict[HistogramKey, tuple[int, bytes]]:
    histograms = {}
    for number, data in enumerate(batch.histograms):
        first = number * HISTOGRAM_HEAD
        hour, pipeline, count = batch.histogram_heads[first : first + HISTOGRAM_HEAD]
        histograms[hour, batch.names[pipeline]] = (count, data)
    return histograms
