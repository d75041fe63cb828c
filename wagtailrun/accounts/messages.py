"""Messages that carry account rows, and the compact encoding of the rows."""

import json
import sys
import zlib
from array import array
from collections.abc import Iterable, Mapping

import attrs

from wagtailrun.accounts.cells import CellTable, Column, RowKey, Scope, Source
from wagtailrun.accounts.files import decompress
from wagtailrun.codec import Channel, Codec
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

# Limit of a decompressed batch; a frame is at most 8 MiB.
MAX_BATCH_BYTES = 32 * 1024 * 1024
COMPRESSION_LEVEL = 6
LAYOUT_HEADER_FIELDS = 4
COLUMN_FIELDS = 4
ROW_HEADER_FIELDS = 4
VALUE_BYTES = 8
# Minutes from 1970 to 2200: rejects rows of an entry whose clock is far off.
END_MINUTE = 230 * 366 * 24 * 60
HISTOGRAM_HEADER_FIELDS = 3

# Hour since the Unix epoch, and pipeline.
HistogramKey = tuple[int, str]


@attrs.frozen
class AccountRows:
    """Rows sent to another entry or to a control member.

    Attributes:
        sender: Name of the process that sends them.
        sequence: Grows with each exchange of the sender.
        settled: Whether the control members have all rows of the sender's earlier
            exchanges, apart from those that this message repeats.
        batches: Compressed ``RowBatch`` messages, one for each source.
        relay: Whether the sender is a control member, which itself relays the rows to
            all other members.
    """

    sender: str
    sequence: int
    settled: bool
    batches: list[bytes]
    relay: bool = False


@attrs.frozen
class AccountsKept:
    """Reply to ``AccountRows``.

    Attributes:
        holder: Name of the replying process.
        holder_incarnation: Changes when the holder may have lost rows.
        kept: Whether the rows are stored. At a control member this means that it and,
            if there are others, at least one of them have synced them to disk.
        detail: Reason if they are not stored.
    """

    holder: str
    holder_incarnation: int
    kept: bool
    detail: str = ""


@attrs.frozen
class RowBatch:
    """Rows of one source, in which each name is written once.

    Attributes:
        entry: Entry that counted the rows.
        incarnation: Incarnation of that entry.
        names: Strings that the numbers below index, as a JSON array, which compresses
            better than a list of pointers.
        layouts: For each layout: scope, service, pipeline, number of columns, then
            service, stage, kind and measure of each column.
        heads: Layouts of all rows, then their buckets, workspaces and numbers of
            values, in byte planes; see ``_to_planes``.
        values: Values of all rows in byte planes.
        histograms: Encoded HDR histograms.
        histogram_heads: For each histogram: hour, pipeline, number of records.
    """

    entry: str
    incarnation: int
    names: str
    layouts: list[int]
    heads: bytes
    values: bytes
    histograms: list[bytes]
    histogram_heads: list[int]


@attrs.frozen
class FetchPeriod:
    """Requests the lines of a closed period from a control member."""

    period: str


@attrs.frozen
class PeriodContent:
    """Reply to ``FetchPeriod``; ``digest`` and ``content`` are empty if unknown.

    As a request, it offers lines that the sender is about to propose. The reply to that
    has no content, and their digest if the receiver keeps them.
    """

    period: str
    digest: str
    content: bytes


CODEC = Codec(
    Channel.ACCOUNTS,
    "accounts.capnp",
    [AccountRows, AccountsKept, FetchPeriod, PeriodContent, RowBatch],
)


class _NameTable:
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
        table: Rows of the source.
        keys: Rows to include; unknown ones are skipped.
        histograms: Number of records and encoding of histograms by key.
    """
    names = _NameTable()
    layouts: list[int] = []
    numbers_by_subject: dict[tuple[int, str, str], int] = {}
    heads = [array("q") for _ in range(ROW_HEADER_FIELDS)]
    values = array("q")
    for key in keys:
        row = table.rows_by_key.get(key)
        if row is None:
            continue
        subject = (key.scope, key.service, key.pipeline)
        number = numbers_by_subject.get(subject)
        if number is None:
            number = numbers_by_subject[subject] = len(numbers_by_subject)
            layouts += _pack_layout(names, subject, table.layout(key).columns)
        head = (number, key.bucket, names.number(key.workspace), len(row))
        for column, part in zip(heads, head, strict=True):
            column.append(part)
        values += row
    encoded: list[bytes] = []
    histogram_heads: list[int] = []
    for (hour, pipeline), (count, data) in (histograms or {}).items():
        histogram_heads += (hour, names.number(pipeline), count)
        encoded.append(data)
    batch = RowBatch(
        *source,
        json.dumps(list(names.numbers_by_name), separators=(",", ":")),
        layouts,
        _to_planes(sum(heads, array("q"))),
        _to_planes(values),
        encoded,
        histogram_heads,
    )
    return zlib.compress(CODEC.encode(batch), COMPRESSION_LEVEL)


def _pack_layout(
    names: _NameTable, subject: tuple[int, str, str], columns: list[Column]
) -> list[int]:
    scope, service, pipeline = subject
    packed = [int(scope), names.number(service), names.number(pipeline), len(columns)]
    for column in columns:
        packed += map(names.number, column)
    return packed


def _to_planes(values: "array[int]") -> bytes:
    """Return the first bytes of all values, then all second bytes, and so on.

    Most values are small, so the upper planes are zeros and compress very well.
    """
    data = _little_endian(values).tobytes()
    return b"".join(data[plane::VALUE_BYTES] for plane in range(VALUE_BYTES))


def _from_planes(planes: bytes) -> "array[int]":
    """Return the values in ``planes``; raises ValueError if their length is wrong."""
    count, rest = divmod(len(planes), VALUE_BYTES)
    if rest:
        raise ValueError(f"{len(planes)} bytes are not a multiple of {VALUE_BYTES}")
    data = bytearray(len(planes))
    for plane in range(VALUE_BYTES):
        data[plane::VALUE_BYTES] = planes[plane * count : (plane + 1) * count]
    return _little_endian(array("q", bytes(data)))


def _little_endian(values: "array[int]") -> "array[int]":
    """Return ``values`` converted between native and little-endian byte order."""
    if sys.byteorder != "little":
        values = array("q", values)
        values.byteswap()
    return values


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
            raise MessageError(f"account batch is a {type(batch).__name__} message")
        source = Source(batch.entry, batch.incarnation)
        names = json.loads(batch.names)
        if not isinstance(names, list) or not all(isinstance(n, str) for n in names):
            raise ValueError("names are not a JSON array of strings")
        rows = _unpack_rows(batch, names)
        return source, rows, _unpack_histograms(batch, names)
    except (IndexError, ValueError, OverflowError, RecursionError) as error:
        raise MessageError(f"malformed account batch: {error}") from error


def _unpack_rows(batch: RowBatch, names: list[str]) -> CellTable:
    layouts = _unpack_layouts(batch, names)
    all_values = _from_planes(batch.values)
    table = CellTable()
    start = 0
    heads = _from_planes(batch.heads)
    count, rest = divmod(len(heads), ROW_HEADER_FIELDS)
    if rest or any(part < 0 for part in heads):
        raise ValueError("row headers are incomplete or have a negative number")
    for position in range(count):
        number, bucket, workspace, length = heads[position::count]
        (scope, service, pipeline), columns = layouts[number]
        values = all_values[start : start + length]
        start += length
        if len(values) < length or length > len(columns):
            raise ValueError("a row has missing values or more than its layout")
        if any(value < 0 for value in values):
            raise ValueError("a value is negative")
        if bucket >= END_MINUTE // scope:
            raise ValueError(f"bucket {bucket} of a row is after the year 2200")
        key = RowKey(scope, bucket, names[workspace], service, pipeline)
        table.merge(key, columns[:length], values)
    return table


def _unpack_layouts(
    batch: RowBatch, names: list[str]
) -> list[tuple[tuple[int, str, str], list[Column]]]:
    numbers = batch.layouts
    layouts = []
    position = 0
    while position < len(numbers):
        scope, service, pipeline, count = numbers[
            position : position + LAYOUT_HEADER_FIELDS
        ]
        if scope not in tuple(Scope):
            raise ValueError(f"scope {scope} is unknown")
        position += LAYOUT_HEADER_FIELDS
        end = position + count * COLUMN_FIELDS
        if end > len(numbers):
            raise ValueError("a layout is truncated")
        parts = [names[number] for number in numbers[position:end]]
        columns = [
            Column(*parts[first : first + COLUMN_FIELDS])
            for first in range(0, len(parts), COLUMN_FIELDS)
        ]
        layouts.append(((scope, names[service], names[pipeline]), columns))
        position = end
    return layouts


def _unpack_histograms(
    batch: RowBatch, names: list[str]
) -> dict[HistogramKey, tuple[int, bytes]]:
    histograms = {}
    for number, data in enumerate(batch.histograms):
        first = number * HISTOGRAM_HEADER_FIELDS
        hour, pipeline, count = batch.histogram_heads[
            first : first + HISTOGRAM_HEADER_FIELDS
        ]
        histograms[hour, names[pipeline]] = (count, data)
    return histograms
