"""Account rows at a control member: merged, kept on disk, closed by period."""

import random
from collections.abc import Sequence

import attrs
import curio
from hdrh.histogram import HdrHistogram

from wagtailrun import events
from wagtailrun.account_files import decompress, join_records, split_records
from wagtailrun.account_lines import (
    Line,
    PeriodTotals,
    convert_in_parts,
    digest_of,
    is_minute,
    lines_from_bytes,
    lines_to_bytes,
    period_end_ms,
    period_of,
    totals_of,
)
from wagtailrun.account_periods import ClosedPeriods
from wagtailrun.accounts_messages import (
    AccountRows,
    AccountsKept,
    FetchPeriod,
    HistogramKey,
    PeriodContent,
    pack_batch,
    unpack_batch,
)
from wagtailrun.clock import Clock
from wagtailrun.cost_cells import (
    MS_PER_MINUTE,
    CellTable,
    RowKey,
    Scope,
    Source,
    bucket_of,
)
from wagtailrun.exceptions import (
    CorruptRecord,
    DiskFault,
    MessageError,
    PeerUnreachable,
)
from wagtailrun.ports.disk import Disk
from wagtailrun.ports.link import Address, PeerLink

__all__ = ["AccountStore", "PeriodOffer"]

LOG_NAME = "accounts-log"
ROWS_NAME = "accounts-rows"
# The log is folded into the file of rows when it has grown to this size.
MAX_LOG_BYTES = 4 * 1024 * 1024
# Rows arrive within this time after a period's end, unless something has failed.
CLOSE_GRACE_MS = 15 * MS_PER_MINUTE
MS_PER_DAY = 24 * 60 * MS_PER_MINUTE
# New rows of an interval this long ago are refused.
LATE_LIMIT_MS = 7 * MS_PER_DAY
# Most rows that are held in memory: 26 MB are free, and a row takes about 500 bytes.
MAX_ROWS = 50_000
HISTOGRAMS_KEPT_MS = 2 * MS_PER_DAY
RELAY_INTERVAL_MS = 1_000
RELAY_TIMEOUT_MS = 2_000
# An entry waits 2 s for its answer, in which two other members can be tried.
COPY_TIMEOUT_MS = 500
ROWS_PER_MESSAGE = 1_000

# What ``unpack_batch`` returns.
_Batch = tuple[Source, CellTable, dict[HistogramKey, tuple[int, bytes]]]


@attrs.frozen
class PeriodOffer:
    """What a control member proposes when it closes a period.

    Attributes:
        period: UTC day.
        digest: SHA-256 of the period's lines.
        totals: Totals of the lines.
    """

    period: str
    digest: str
    totals: PeriodTotals


class AccountStore:
    """Merged accounts of all entries.

    Every cell of a source holds its largest value seen. What closed periods hold of
    it is booked; the rest belongs to the oldest open period that it fits in, so each
    part of a cell is booked exactly once. Rows that are booked in full are forgotten;
    when one of them arrives again, what is booked of it is read from the files.

    Args:
        clock: Clock.
        disk: Files of this member.
        name: Name of this member.
        others: Peer addresses of the other control members.
        link: Link to them, None for a single member.
    """

    def __init__(
        self,
        clock: Clock,
        disk: Disk,
        name: str,
        others: Sequence[Address] = (),
        link: PeerLink | None = None,
    ):
        self.clock = clock
        self.disk = disk
        self.name = name
        self.link = link
        self.incarnation = random.SystemRandom().getrandbits(48)
        self.tables_by_source: dict[Source, CellTable] = {}
        self.booked_by_source: dict[Source, CellTable] = {}
        self.booked_minutes: set[RowKey] = set()
        self.histograms: dict[tuple[Source, HistogramKey], tuple[int, bytes]] = {}
        self.closed = ClosedPeriods(disk)
        self.log_bytes = 0
        self.row_count = 0
        self.failed = False
        self.too_late_rows = 0
        self.lock = curio.Lock()
        self.sequence = 0
        self.unsent_by_address: dict[Address, dict[tuple[Source, RowKey], None]] = {
            address: {} for address in others
        }
        self.incarnations_by_address: dict[Address, int] = {}
        self.relay_order = list(others)
        self.relay_locks = {address: curio.Lock() for address in others}

    async def open(self) -> None:
        """Read the files; call this once before anything else.

        Raises:
            CorruptRecord: If a file is damaged other than by a torn last record.
            DiskFault: If a file cannot be read.
        """
        await self.closed.open()
        rows, _ = split_records(ROWS_NAME, await self.disk.read(ROWS_NAME), False)
        data = await self.disk.read(LOG_NAME)
        log, whole = split_records(LOG_NAME, data, True)
        if whole < len(data):
            await self.disk.truncate(LOG_NAME, whole)
        self.log_bytes = whole
        for record in (*rows, *log):
            try:
                self._merge(*unpack_batch(record))
            except MessageError as error:
                detail = (
                    f"accounts: a record with a valid checksum is malformed: {error}"
                )
                raise CorruptRecord(detail) from error
        late = {
            key
            for table in self.tables_by_source.values()
            for key in table.rows_by_key
            if self._is_closed(key)
        }
        await self._load_booked(late)
        self._forget_booked()

    async def handle(
        self, message: AccountRows | FetchPeriod
    ) -> AccountsKept | PeriodContent:
        """Answer an entry or another control member."""
        if isinstance(message, FetchPeriod):
            return await self._give_period(message.period)
        try:
            batches = [self._checked(data) for data in message.batches]
        except MessageError as error:
            return self._kept(str(error))
        if self.failed:
            return self._kept("this member cannot write its files")
        if self.row_count >= MAX_ROWS:
            events.log(events.ACCOUNTS_FULL, rows=self.row_count, sender=message.sender)
            return self._kept("this member holds as many rows as it can")
        async with self.lock:
            try:
                await self._keep(message.batches, batches)
            except (CorruptRecord, DiskFault) as error:
                # What the file holds now is unknown; nothing may be appended to it.
                self.failed = True
                events.log(events.ACCOUNTS_DISK_FAILED, detail=str(error))
                return self._kept(str(error))
        if not message.relay and not await self._copy_to_another():
            return self._kept("no other control member has taken the rows yet")
        return self._kept("")

    async def _copy_to_another(self) -> bool:
        """Return whether another member has the rows of now, if there are others.

        The sender forgets what is acknowledged, so it must outlive one lost disk.
        """
        if not self.unsent_by_address:
            return True
        for address in list(self.relay_order):
            if await self.relay(address, COPY_TIMEOUT_MS):
                return True
            self.relay_order.remove(address)
            self.relay_order.append(address)
        return False

    def _checked(self, data: bytes) -> _Batch:
        """Unpack a batch without the rows that are too late."""
        source, rows, histograms = unpack_batch(data)
        oldest_ms = self.clock.wall_ms() - LATE_LIMIT_MS
        known = self.tables_by_source.get(source, CellTable()).rows_by_key
        for key in list(rows.rows_by_key):
            if key.start_ms < oldest_ms and key not in known:
                rows.drop(key)
                self.too_late_rows += 1
                events.log(
                    events.ACCOUNTS_TOO_LATE, entry=source.entry, start_ms=key.start_ms
                )
        return source, rows, histograms

    def closable(self) -> str | None:
        """Return the oldest open period with rows that is over, None without one."""
        limit_ms = self.clock.wall_ms() - CLOSE_GRACE_MS
        for period in self.open_periods():
            if period_end_ms(period) <= limit_ms:
                return period
        return None

    def open_periods(self) -> list[str]:
        """Return the periods with rows that are not closed, oldest first."""
        periods = {
            period_of(key.start_ms)
            for table in self.tables_by_source.values()
            for key in table.rows_by_key
        }
        return sorted(period for period in periods if period > self.last_closed)

    @property
    def last_closed(self) -> str:
        """Newest closed period."""
        return self.closed.last

    @property
    def digests_by_period(self) -> dict[str, str]:
        """Digests of the closed periods."""
        return self.closed.digests_by_period

    async def prepare_close(self, period: str) -> PeriodOffer:
        """Return digest and totals of ``period`` for the command that closes it.

        The lines are kept first, so that they outlive a crash between the command
        and ``close``.

        Raises:
            ValueError: If the period is closed, or an earlier one is open.
            DiskFault: If the lines cannot be kept.
        """
        if period <= self.last_closed:
            raise ValueError(f"period {period} is closed")
        earlier = [other for other in self.open_periods() if other < period]
        if earlier:
            raise ValueError(f"period {earlier[0]} must be closed before {period}")
        async with self.lock:
            lines = await self._open_lines(period)
            digest = await self.closed.prepare(period, await lines_to_bytes(lines))
        return PeriodOffer(period, digest, totals_of(lines))

    async def close(self, period: str, digest: str) -> bool:
        """Freeze ``period`` as the agreed command says.

        Returns:
            Whether the lines with this digest are known here; if not, ``adopt``
            those of another member.
        """
        if period in self.digests_by_period:
            return self.digests_by_period[period] == digest
        content = await self.closed.prepared(period, digest)
        if content is None:
            return False
        await self.adopt(period, digest, content)
        return True

    async def adopt(self, period: str, digest: str, content: bytes) -> None:
        """Freeze ``period`` with lines from another member.

        Raises:
            MessageError: If the lines do not have the digest.
        """
        if digest_of(content) != digest:
            raise MessageError(f"lines of period {period} do not have its digest")
        booked = await _sum_of(await lines_from_bytes(content))
        async with self.lock:
            if period not in self.digests_by_period:
                await self.closed.freeze(period, digest, content)
                self._book(booked)
                self._forget_booked()
                await self._fold_log()

    async def fetch_period(self, period: str, digest: str) -> bool:
        """Adopt a closed period from whichever member has it."""
        for address in self.unsent_by_address:
            try:
                reply = await self.link.call(
                    address, FetchPeriod(period), RELAY_TIMEOUT_MS
                )
                if isinstance(reply, PeriodContent) and reply.digest == digest:
                    await self.adopt(period, digest, decompress(reply.content))
                    return True
            except (PeerUnreachable, MessageError):
                continue
        return False

    async def lines(self, period: str = "") -> list[Line]:
        """Return the lines of a closed period, or of ``period`` if it is open.

        Args:
            period: UTC day; by default everything that is open.
        """
        if period in self.digests_by_period:
            return await self.closed.lines(period)
        if period and period <= self.last_closed:
            return []
        return await self._open_lines(period)

    def latency(self, pipeline: str) -> HdrHistogram | None:
        """Return the latencies of a pipeline (or service) in ms, merged over all."""
        merged = None
        for (_, (_, name)), (_, data) in self.histograms.items():
            if name == pipeline:
                one = HdrHistogram.decode(data)
                if merged is None:
                    merged = one
                else:
                    merged.add(one)
        return merged

    async def run(self) -> None:
        """Relay new rows to the other control members until cancelled."""
        while True:
            await self.clock.sleep_ms(RELAY_INTERVAL_MS)
            for address in self.unsent_by_address:
                await self.relay(address)

    async def relay(self, address: Address, timeout_ms: int = RELAY_TIMEOUT_MS) -> bool:
        """Send another member the rows it lacks now; return whether it has them."""
        # A second caller must not take rows as sent whose answer is outstanding.
        async with self.relay_locks[address]:
            unsent = self.unsent_by_address[address]
            items = list(unsent)
            for start in range(0, max(len(items), 1), ROWS_PER_MESSAGE):
                part = items[start : start + ROWS_PER_MESSAGE]
                for item in part:
                    del unsent[item]
                if not await self._relay_part(address, part, timeout_ms):
                    unsent.update(dict.fromkeys(part))
                    return False
            return True

    async def _relay_part(
        self,
        address: Address,
        part: list[tuple[Source, RowKey | HistogramKey]],
        timeout_ms: int,
    ) -> bool:
        keys_by_source: dict[Source, list] = {}
        for source, key in part:
            keys_by_source.setdefault(source, []).append(key)
        batches = [
            pack_batch(
                source,
                self.tables_by_source.get(source, CellTable()),
                [key for key in keys if isinstance(key, RowKey)],
                {
                    key: self.histograms[source, key]
                    for key in keys
                    if (source, key) in self.histograms
                },
            )
            for source, keys in keys_by_source.items()
        ]
        self.sequence += 1
        message = AccountRows(self.name, self.sequence, False, batches, relay=True)
        try:
            reply = await self.link.call(address, message, timeout_ms)
        except PeerUnreachable:
            return False
        if not isinstance(reply, AccountsKept) or not reply.kept:
            return False
        if self.incarnations_by_address.get(address) != reply.holder_incarnation:
            # A restarted member may come with an emptied disk.
            self.incarnations_by_address[address] = reply.holder_incarnation
            unsent = self.unsent_by_address[address]
            unsent.update(dict.fromkeys(self.histograms))
            for source, table in self.tables_by_source.items():
                unsent.update(dict.fromkeys((source, key) for key in table.rows_by_key))
        return True

    async def _keep(self, data: list[bytes], batches: list[_Batch]) -> None:
        """Merge batches, append them to the log and sync it."""
        late = {
            key
            for source, rows, _ in batches
            for key in rows.rows_by_key
            if self._is_closed(key) and not self._is_held(source, key)
        }
        await self._load_booked(late)
        # Merged first, because the file of rows that replaces the log must hold them.
        for batch in batches:
            self._merge(*batch)
        if late:
            # Without this, members would relay a booked row to each other for ever,
            # because each forgets it and takes it as new.
            self._forget_booked()
        records = join_records(data)
        if not records:
            return
        if self.log_bytes + len(records) > MAX_LOG_BYTES:
            await self._fold_log()
            return
        await self.disk.append(LOG_NAME, records)
        self.log_bytes += len(records)
        await self.disk.sync(LOG_NAME)

    async def _fold_log(self) -> None:
        """Replace the file of rows by all rows, then empty the log.

        A crash between the two is harmless: the log's rows merge to the same values.
        """
        self._forget_histograms()
        records = [
            pack_batch(
                source,
                table,
                list(table.rows_by_key),
                {
                    key: histogram
                    for (owner, key), histogram in self.histograms.items()
                    if owner == source
                },
            )
            for source, table in self.tables_by_source.items()
        ]
        await self.disk.write(ROWS_NAME, join_records(records))
        await self.disk.truncate(LOG_NAME, 0)
        self.log_bytes = 0

    def _merge(
        self,
        source: Source,
        rows: CellTable,
        histograms: dict[HistogramKey, tuple[int, bytes]],
    ) -> None:
        table = self.tables_by_source.setdefault(source, CellTable())
        known = len(table.rows_by_key)
        for key, row in rows.rows_by_key.items():
            if table.merge(key, rows.layout(key).columns[: len(row)], row):
                self._mark_unsent(source, key)
        self.row_count += len(table.rows_by_key) - known
        for key, (count, data) in histograms.items():
            if count > self.histograms.get((source, key), (0, b""))[0]:
                self.histograms[source, key] = (count, data)
                self._mark_unsent(source, key)

    def _mark_unsent(self, source: Source, key: RowKey | HistogramKey) -> None:
        for unsent in self.unsent_by_address.values():
            unsent[source, key] = None

    async def _open_lines(self, period: str) -> list[Line]:
        """Return what is not booked of the rows up to the end of ``period``."""
        end_ms = period_end_ms(period) if period else None
        items = [
            (source, key)
            for source, table in self.tables_by_source.items()
            for key in table.rows_by_key
            if end_ms is None or key.start_ms < end_ms
        ]
        parts = await convert_in_parts(items, self._lines_of_row)
        return [line for part in parts for line in part]

    def _lines_of_row(self, item: tuple[Source, RowKey]) -> list[Line]:
        source, key = item
        table = self.tables_by_source.get(source)
        if table is None or key not in table.rows_by_key:
            return []
        booked = self.booked_by_source.get(source)
        late = self._is_closed(key)
        new = not is_minute(key) or key not in self.booked_minutes
        lines = []
        columns = table.layout(key).columns
        for column, value in zip(columns, table.rows_by_key[key], strict=False):
            amount = value - (booked.value(key, column) if booked else 0)
            if amount > 0:
                lines.append(Line(source, key, column, amount, late, new))
        return lines

    def _is_closed(self, key: RowKey) -> bool:
        return period_of(key.start_ms) <= self.last_closed

    def _is_held(self, source: Source, key: RowKey) -> bool:
        table = self.tables_by_source.get(source)
        return table is not None and key in table.rows_by_key

    async def _load_booked(self, wanted: set[RowKey]) -> None:
        """Read anew what closed periods hold of the rows ``wanted`` of any source."""
        booked = await _sum_of(await self.closed.booked(wanted))
        for table in self.booked_by_source.values():
            for key in wanted:
                table.drop(key)
        self._book(booked)

    def _book(self, sums_by_source: dict[Source, CellTable]) -> None:
        for source, sums in sums_by_source.items():
            booked = self.booked_by_source.setdefault(source, CellTable())
            for key, row in sums.rows_by_key.items():
                booked.add(key, sums.layout(key).columns[: len(row)], row)
                if is_minute(key):
                    self.booked_minutes.add(key)

    def _forget_booked(self) -> None:
        """Forget rows that closed periods hold in full, and what is booked of them."""
        kept: set[RowKey] = set()
        for source, table in list(self.tables_by_source.items()):
            booked = self.booked_by_source.get(source)
            for key in list(table.rows_by_key):
                if self._is_closed(key) and not _grew(table, booked, key):
                    table.drop(key)
                    for unsent in self.unsent_by_address.values():
                        unsent.pop((source, key), None)
            if table.rows_by_key:
                kept.update(table.rows_by_key)
            else:
                del self.tables_by_source[source]
        for source, booked in list(self.booked_by_source.items()):
            for key in booked.rows_by_key.keys() - kept:
                booked.drop(key)
            if not booked.rows_by_key:
                del self.booked_by_source[source]
        self.booked_minutes &= kept
        self.row_count = sum(len(t.rows_by_key) for t in self.tables_by_source.values())

    def _forget_histograms(self) -> None:
        oldest_ms = self.clock.wall_ms() - HISTOGRAMS_KEPT_MS
        oldest_hour = bucket_of(Scope.HOUR, oldest_ms)
        for owner_and_key in list(self.histograms):
            if owner_and_key[1][0] < oldest_hour:
                del self.histograms[owner_and_key]

    async def _give_period(self, period: str) -> PeriodContent:
        digest = self.digests_by_period.get(period)
        if digest is None:
            return PeriodContent(period, "", b"")
        return PeriodContent(period, digest, await self.closed.compressed(period))

    def _kept(self, fault: str) -> AccountsKept:
        return AccountsKept(self.name, self.incarnation, not fault, fault)


def _grew(table: CellTable, booked: CellTable | None, key: RowKey) -> bool:
    """Return whether a row holds more than what is booked of it."""
    columns = table.layout(key).columns
    values = zip(columns, table.rows_by_key[key], strict=False)
    if booked is None:
        return any(value for _, value in values)
    return any(value > booked.value(key, column) for column, value in values)


async def _sum_of(lines: list[Line]) -> dict[Source, CellTable]:
    """Return the sums of lines by source and cell."""
    tables: dict[Source, CellTable] = {}

    def add(line: Line) -> None:
        table = tables.setdefault(line.source, CellTable())
        table.add(line.key, (line.column,), (line.amount,))

    await convert_in_parts(lines, add)
    return tables
