"""Account rows at a control member: merged, stored on disk, closed by period."""

import random
from collections.abc import Sequence

import attrs
import curio
from hdrh.histogram import HdrHistogram

from wagtailrun.accounts.cells import (
    MS_PER_MINUTE,
    CellTable,
    RowKey,
    Scope,
    Source,
    bucket_of,
)
from wagtailrun.accounts.disk import AccountDisk
from wagtailrun.accounts.files import join_records
from wagtailrun.accounts.lines import (
    Line,
    PeriodTotals,
    digest_of,
    is_refusal_minute,
    lines_from_bytes,
    lines_to_bytes,
    map_in_chunks,
    period_end_ms,
    period_of,
    sum_by_source,
    totals_of,
)
from wagtailrun.accounts.log import AccountLog
from wagtailrun.accounts.messages import (
    AccountRows,
    AccountsKept,
    FetchPeriod,
    HistogramKey,
    PeriodContent,
    pack_batch,
    unpack_batch,
)
from wagtailrun.accounts.period_copies import PeriodCopies
from wagtailrun.accounts.periods import ClosedPeriods
from wagtailrun.clock import Clock
from wagtailrun.exceptions import (
    CorruptRecord,
    DiskFault,
    DiskFull,
    MessageError,
    PeerUnreachable,
)
from wagtailrun.logs import events
from wagtailrun.ports.disk import Disk
from wagtailrun.ports.link import Address, PeerLink

__all__ = ["AccountStore", "PeriodOffer"]

# Without failures, all rows arrive within this time after the end of a period.
CLOSE_GRACE_MS = 15 * MS_PER_MINUTE
MS_PER_DAY = 24 * 60 * MS_PER_MINUTE
# New rows of an interval that began longer ago are not counted.
LATE_LIMIT_MS = 7 * MS_PER_DAY
# Limit of rows in memory: 26 MB are available, and a row takes about 500 bytes.
MAX_ROWS = 50_000
HISTOGRAM_RETENTION_MS = 2 * MS_PER_DAY
RELAY_INTERVAL_MS = 1_000
RELAY_TIMEOUT_MS = 2_000
# An entry waits 2 s for its reply, in which two other members can be tried.
COPY_TIMEOUT_MS = 500
ROWS_PER_MESSAGE = 1_000

# Result of ``unpack_batch``.
# A row or histogram of a source.
_Pending = tuple[Source, RowKey | HistogramKey]
_Batch = tuple[Source, CellTable, dict[HistogramKey, tuple[int, bytes]]]


@attrs.frozen
class PeriodOffer:
    """Content that a control member proposes when it closes a period.

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

    Every cell of a source has the largest value received. The part of it that is in
    closed periods is recorded. The rest belongs to the oldest open period that ends
    after the row's start, so that each part of a cell is recorded exactly once. Rows
    that are fully recorded are dropped from memory; when one of them arrives again, its
    recorded part is read from the files of the closed periods.

    Args:
        clock: Clock.
        disk: Files of this member.
        name: Name of this member.
        others: Peer addresses of the other control members.
        link: Link to the other control members, None for a single member.
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
        self.name = name
        self.link: PeerLink = link  # type: ignore[assignment]  # Given with others.
        self.incarnation = random.SystemRandom().getrandbits(48)
        self.tables_by_source: dict[Source, CellTable] = {}
        self.recorded_by_source: dict[Source, CellTable] = {}
        self.recorded_minutes: set[RowKey] = set()
        self.histograms: dict[tuple[Source, HistogramKey], tuple[int, bytes]] = {}
        self.closed = ClosedPeriods(disk)
        self.copies = PeriodCopies(self.closed, others, self.link)
        self.log = AccountLog(disk)
        self.disk_state = AccountDisk(clock, disk, self._repair)
        self.row_count = 0
        self.rejected_late_rows = 0
        self.lock = curio.Lock()
        self.sequence = 0
        self.pending_by_address: dict[Address, dict[_Pending, None]] = {
            address: {} for address in others
        }
        self.incarnations_by_address: dict[Address, int] = {}
        self.relay_order = list(others)
        self.relay_locks = {address: curio.Lock() for address in others}

    async def open(self) -> None:
        """Read the files; must be called once before any other method.

        Raises:
            CorruptRecord: If a file is damaged other than by a torn last record.
            DiskFault: If a file cannot be read.
        """
        await self.closed.open()
        for record in await self.log.read():
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
        await self._load_recorded(late)
        self._drop_recorded_rows()
        try:
            await self._repair()
        except DiskFull as error:
            await self.report_fault(error)

    async def _repair(self) -> None:
        async with self.lock:
            await self.log.repair()
            await self.closed.remove_superseded()

    async def handle(
        self, message: AccountRows | FetchPeriod | PeriodContent
    ) -> AccountsKept | PeriodContent:
        """Handle a message of an entry or of another control member."""
        if isinstance(message, FetchPeriod):
            return await self.closed.content(message.period)
        if isinstance(message, PeriodContent):
            return await self._keep_proposed(message)
        try:
            batches = [self._unpack_timely(data) for data in message.batches]
        except MessageError as error:
            return self._reply(str(error))
        if self.row_count >= MAX_ROWS:
            events.log(events.ACCOUNTS_FULL, rows=self.row_count, sender=message.sender)
            return self._reply(f"the limit of {MAX_ROWS} rows in memory is reached")
        async with self.lock:
            refusal = self.disk_state.refusal
            if refusal:
                return self._reply(refusal)
            try:
                await self._store(message.batches, batches)
            except (CorruptRecord, DiskFault) as error:
                await self.report_fault(error)
                return self._reply(str(error))
        if not message.relay and not await self._copy_to_another():
            return self._reply("no other control member has stored the rows yet")
        return self._reply("")

    async def report_fault(self, error: CorruptRecord | DiskFault) -> None:
        """Stop writing: until there is space if the disk is full, else for good."""
        if isinstance(error, DiskFull):
            needed = max(self.log.refused_bytes, self.closed.refused_bytes)
            self.log.refused_bytes = self.closed.refused_bytes = 0
            await self.disk_state.report_full(error, needed)
        else:
            self.disk_state.report_failure(error)

    async def _copy_to_another(self) -> bool:
        """Copy the current rows to another member; return whether one has them.

        A single member needs no copy. The sender drops acknowledged rows, so they must
        survive the loss of one disk.
        """
        if not self.pending_by_address:
            return True
        for address in list(self.relay_order):
            if await self.relay(address, COPY_TIMEOUT_MS):
                return True
            self.relay_order.remove(address)
            self.relay_order.append(address)
        return False

    def _unpack_timely(self, data: bytes) -> _Batch:
        """Unpack a batch, without unknown rows that are older than LATE_LIMIT_MS."""
        source, rows, histograms = unpack_batch(data)
        oldest_ms = self.clock.wall_ms() - LATE_LIMIT_MS
        known = self.tables_by_source.get(source, CellTable()).rows_by_key
        for key in list(rows.rows_by_key):
            if key.start_ms < oldest_ms and key not in known:
                rows.drop(key)
                self.rejected_late_rows += 1
                events.log(
                    events.ACCOUNTS_TOO_LATE, entry=source.entry, start_ms=key.start_ms
                )
        return source, rows, histograms

    def closable(self) -> str | None:
        """Return the oldest open period with rows that may be closed, or None."""
        limit_ms = self.clock.wall_ms() - CLOSE_GRACE_MS
        for period in self.open_periods():
            if period_end_ms(period) <= limit_ms:
                return period
        return None

    def open_periods(self) -> list[str]:
        """Return the periods that have rows and are not closed, oldest first."""
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
        """Digests of the lines of the closed periods."""
        return self.closed.digests_by_period

    async def prepare_close(self, period: str) -> PeriodOffer:
        """Return digest and totals of ``period`` for the command that closes it.

        The lines are written to disk first, so that they survive a crash between the
        command and ``close``.

        Raises:
            ValueError: If the period is closed, or an earlier one is open.
            DiskFault: If the lines cannot be written.
        """
        if period <= self.last_closed:
            raise ValueError(f"period {period} is closed")
        earlier = [other for other in self.open_periods() if other < period]
        if earlier:
            raise ValueError(f"period {earlier[0]} must be closed before {period}")
        async with self.lock:
            lines = await self._unrecorded_lines(period)
            digest = await self.closed.prepare(period, await lines_to_bytes(lines))
        return PeriodOffer(period, digest, totals_of(lines))

    async def close(self, period: str, digest: str) -> bool:
        """Freeze ``period`` with the lines whose digest the members agreed on.

        Returns:
            Whether this member has the lines with ``digest``. If not, the caller must
            ``adopt`` those of another member.
        """
        if period in self.digests_by_period:
            return self.digests_by_period[period] == digest
        content = await self.closed.load_prepared(period, digest)
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
            raise MessageError(
                f"lines of period {period} have another digest than {digest}"
            )
        recorded = await sum_by_source(await lines_from_bytes(content))
        async with self.lock:
            if period not in self.digests_by_period:
                await self.closed.freeze(period, digest, content)
                self._add_recorded(recorded)
                self._drop_recorded_rows()
                await self.closed.remove_superseded()
                await self._compact_log()

    async def fetch_period(self, period: str, digest: str) -> bool:
        """Adopt a closed period from another member; return whether one has it."""
        content = await self.copies.fetch(period, digest)
        if content is not None:
            await self.adopt(period, digest, content)
        return content is not None

    async def _keep_proposed(self, offered: PeriodContent) -> PeriodContent:
        """Keep lines that another member proposes; reply without lines.

        The reply has their digest only if they are kept.
        """
        digest = ""
        async with self.lock:
            try:
                if not self.disk_state.refusal:
                    digest = await self.closed.keep(offered)
            except (CorruptRecord, DiskFault) as error:
                await self.report_fault(error)
        return PeriodContent(offered.period, digest, b"")

    async def lines(self, period: str = "") -> list[Line]:
        """Return the lines of a closed period, or of ``period`` if it is open.

        Args:
            period: UTC day; empty for all open periods.
        """
        if period in self.digests_by_period:
            return await self.closed.lines(period)
        if period and period <= self.last_closed:
            return []
        return await self._unrecorded_lines(period)

    def latency(self, pipeline: str) -> HdrHistogram | None:
        """Return the latencies in ms of a pipeline or service, merged over entries."""
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
        """Relay new rows, and recover from a full disk, until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._relay_periodically)
            await group.spawn(self.disk_state.run)
        if group.exception is not None:
            raise group.exception

    async def _relay_periodically(self) -> None:
        while True:
            await self.clock.sleep_ms(RELAY_INTERVAL_MS)
            for address in self.pending_by_address:
                await self.relay(address)

    async def relay(self, address: Address, timeout_ms: int = RELAY_TIMEOUT_MS) -> bool:
        """Send another member the rows that it lacks; return whether it has them."""
        # A concurrent caller must not treat rows as sent whose reply is outstanding.
        async with self.relay_locks[address]:
            pending = self.pending_by_address[address]
            items = list(pending)
            for start in range(0, max(len(items), 1), ROWS_PER_MESSAGE):
                part = items[start : start + ROWS_PER_MESSAGE]
                for item in part:
                    del pending[item]
                if not await self._relay_part(address, part, timeout_ms):
                    pending.update(dict.fromkeys(part))
                    return False
            return True

    async def _relay_part(
        self,
        address: Address,
        part: list[_Pending],
        timeout_ms: int,
    ) -> bool:
        keys_by_source: dict[Source, list[RowKey | HistogramKey]] = {}
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
                    if not isinstance(key, RowKey) and (source, key) in self.histograms
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
            # A restarted member may have lost its disk.
            self.incarnations_by_address[address] = reply.holder_incarnation
            pending = self.pending_by_address[address]
            pending.update(dict.fromkeys(self.histograms))
            for source, table in self.tables_by_source.items():
                for key in table.rows_by_key:
                    pending[source, key] = None
        return True

    async def _store(self, data: list[bytes], batches: list[_Batch]) -> None:
        """Merge batches, append them to the log and sync it."""
        late = {
            key
            for source, rows, _ in batches
            for key in rows.rows_by_key
            if self._is_closed(key) and not self._has_row(source, key)
        }
        await self._load_recorded(late)
        # Merged first, because a compaction of the log must write these rows too.
        for batch in batches:
            self._merge(*batch)
        if late:
            # Otherwise the members would relay a recorded row to each other forever,
            # because each has dropped it and treats it as new.
            self._drop_recorded_rows()
        records = join_records(data)
        if not records:
            return
        if self.log.has_room_for(records):
            await self.log.append(records)
        else:
            await self._compact_log()

    async def _compact_log(self) -> None:
        self._drop_old_histograms()
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
        await self.log.compact(records)

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
                self._mark_pending(source, key)
        self.row_count += len(table.rows_by_key) - known
        for histogram_key, (count, data) in histograms.items():
            known_count, _ = self.histograms.get((source, histogram_key), (0, b""))
            if count > known_count:
                self.histograms[source, histogram_key] = (count, data)
                self._mark_pending(source, histogram_key)

    def _mark_pending(self, source: Source, key: RowKey | HistogramKey) -> None:
        for pending in self.pending_by_address.values():
            pending[source, key] = None

    async def _unrecorded_lines(self, period: str) -> list[Line]:
        """Return lines for the parts of rows that no closed period has recorded.

        Only rows that start before the end of ``period`` are included, or all rows if
        it is empty.
        """
        end_ms = period_end_ms(period) if period else None
        items = [
            (source, key)
            for source, table in self.tables_by_source.items()
            for key in table.rows_by_key
            if end_ms is None or key.start_ms < end_ms
        ]
        parts = await map_in_chunks(items, self._lines_of_row)
        return [line for part in parts for line in part]

    def _lines_of_row(self, item: tuple[Source, RowKey]) -> list[Line]:
        source, key = item
        table = self.tables_by_source.get(source)
        if table is None or key not in table.rows_by_key:
            return []
        recorded = self.recorded_by_source.get(source)
        late = self._is_closed(key)
        new = not is_refusal_minute(key) or key not in self.recorded_minutes
        lines = []
        columns = table.layout(key).columns
        for column, value in zip(columns, table.rows_by_key[key], strict=False):
            amount = value - (recorded.value(key, column) if recorded else 0)
            if amount > 0:
                lines.append(Line(source, key, column, amount, late, new))
        return lines

    def _is_closed(self, key: RowKey) -> bool:
        return period_of(key.start_ms) <= self.last_closed

    def _has_row(self, source: Source, key: RowKey) -> bool:
        table = self.tables_by_source.get(source)
        return table is not None and key in table.rows_by_key

    async def _load_recorded(self, wanted: set[RowKey]) -> None:
        """Reload the recorded parts of the rows ``wanted`` from the closed periods."""
        recorded = await sum_by_source(await self.closed.lines_of_rows(wanted))
        for table in self.recorded_by_source.values():
            for key in wanted:
                table.drop(key)
        self._add_recorded(recorded)

    def _add_recorded(self, sums_by_source: dict[Source, CellTable]) -> None:
        for source, sums in sums_by_source.items():
            recorded = self.recorded_by_source.setdefault(source, CellTable())
            for key, row in sums.rows_by_key.items():
                recorded.add(key, sums.layout(key).columns[: len(row)], row)
                if is_refusal_minute(key):
                    self.recorded_minutes.add(key)

    def _drop_recorded_rows(self) -> None:
        """Drop rows that are fully recorded in closed periods, and their sums."""
        kept: set[RowKey] = set()
        for source, table in list(self.tables_by_source.items()):
            recorded = self.recorded_by_source.get(source)
            for key in list(table.rows_by_key):
                if self._is_closed(key) and not _has_unrecorded(table, recorded, key):
                    table.drop(key)
                    for pending in self.pending_by_address.values():
                        pending.pop((source, key), None)
            if table.rows_by_key:
                kept.update(table.rows_by_key)
            else:
                del self.tables_by_source[source]
        for source, recorded in list(self.recorded_by_source.items()):
            for key in recorded.rows_by_key.keys() - kept:
                recorded.drop(key)
            if not recorded.rows_by_key:
                del self.recorded_by_source[source]
        self.recorded_minutes &= kept
        self.row_count = sum(len(t.rows_by_key) for t in self.tables_by_source.values())

    def _drop_old_histograms(self) -> None:
        oldest_ms = self.clock.wall_ms() - HISTOGRAM_RETENTION_MS
        oldest_hour = bucket_of(Scope.HOUR, oldest_ms)
        for owner_and_key in list(self.histograms):
            if owner_and_key[1][0] < oldest_hour:
                del self.histograms[owner_and_key]

    def _reply(self, fault: str) -> AccountsKept:
        return AccountsKept(self.name, self.incarnation, not fault, fault)


def _has_unrecorded(table: CellTable, recorded: CellTable | None, key: RowKey) -> bool:
    """Return whether a row has a cell that exceeds its recorded value."""
    columns = table.layout(key).columns
    values = zip(columns, table.rows_by_key[key], strict=False)
    if recorded is None:
        return any(value for _, value in values)
    return any(value > recorded.value(key, column) for column, value in values)
