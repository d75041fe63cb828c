"""Accounts of an entry: counts refusals, requests and costs, and hands them over."""

import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any

import curio
from hdrh.histogram import HdrHistogram

from wagtailrun.accounts.cells import (
    MS_PER_MINUTE,
    CellTable,
    Column,
    Measure,
    RequestOutcome,
    RowKey,
    Scope,
    Source,
    Usage,
    WorkKind,
    bucket_of,
)
from wagtailrun.accounts.messages import (
    AccountRows,
    AccountsKept,
    HistogramKey,
    pack_batch,
    unpack_batch,
)
from wagtailrun.accounts.refusal_minutes import COPY_TIMEOUT_MS, FirstRefusals
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import MessageError, PeerUnreachable, RefusalReason
from wagtailrun.fleet.model import Price
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, PeerLink

__all__ = ["Accounts", "HeldRows"]

# Rows are handed over to the control members at every sixth exchange, so that a row
# that changes in every interval is handed over once instead of six times.
EXCHANGES_PER_HANDOVER = 6
# A source that sent nothing for this many exchange intervals is treated as stopped, and
# the entry that holds its rows hands them over.
EXCHANGES_UNTIL_SILENT = 5
MIN_SILENCE_MS = 10_000
# Longer than any message is delayed, so that a late message of a forgotten source
# cannot be mistaken for a new one.
FORGET_SOURCE_MS = 3_600_000
CALL_TIMEOUT_MS = 2_000
MIN_CALL_TIMEOUT_MS = 100
# Half of the limit for a copy, which leaves time to try a second entry.
COPY_CALL_TIMEOUT_MS = COPY_TIMEOUT_MS // 2
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
# Rows in one message: 1,000 rows of 24 counters are 200 KB before compression.
ROWS_PER_MESSAGE = 1_000


class HeldRows:
    """Rows of other entries, held until the control members have them."""

    def __init__(self) -> None:
        self.tables_by_source: dict[Source, CellTable] = {}
        self.last_received_ms_by_source: dict[Source, int] = {}
        self.sequences_by_source: dict[Source, int] = {}

    @property
    def row_count(self) -> int:
        """Number of rows of all sources."""
        return sum(len(table.rows_by_key) for table in self.tables_by_source.values())

    def merge_message(self, message: AccountRows, now_ms: int) -> None:
        """Merge the rows of ``message``.

        Raises:
            MessageError: If a batch is malformed; nothing of that batch is merged.
        """
        for data in message.batches:
            source, rows, _ = unpack_batch(data)
            # A message may carry rows of another source; its sequence number counts
            # the sender's messages, not those of the source.
            own = source.entry == message.sender
            newer = own and message.sequence > self.sequences_by_source.get(source, -1)
            if newer:
                self.sequences_by_source[source] = message.sequence
            if message.settled and newer:
                self.tables_by_source.pop(source, None)
            self.last_received_ms_by_source[source] = now_ms
            if rows.rows_by_key:
                table = self.tables_by_source.setdefault(source, CellTable())
                table.merge_table(rows)

    def silent_sources(self, now_ms: int, silence_ms: int) -> list[Source]:
        """Return sources with held rows that sent nothing for ``silence_ms``."""
        for source, received_ms in list(self.last_received_ms_by_source.items()):
            expired = now_ms - received_ms >= FORGET_SOURCE_MS
            if expired and source not in self.tables_by_source:
                del self.last_received_ms_by_source[source]
                self.sequences_by_source.pop(source, None)
        return [
            source
            for source in self.tables_by_source
            if now_ms - self.last_received_ms_by_source[source] >= silence_ms
        ]

    def restore_rows(self, source: Source, table: CellTable) -> None:
        """Merge rows that could not be handed over back into the table."""
        self.tables_by_source.setdefault(source, CellTable()).merge_table(table)


class Accounts:
    """Accounts of one entry incarnation.

    The ``count_*`` methods only change memory and take microseconds. The exception is
    ``count_refusal``: it waits for the first refusal of a minute, for each workspace
    and service or pipeline, to be copied to another entry, but at most 50 ms.

    Args:
        clock: Clock.
        link: Link to other entries and to the control members.
        source: Name and incarnation of this entry.
        entries: Returns the peer addresses of the other entries that are known.
        control_members: Peer addresses of the control members.
        interval_ms: Time between exchanges of rows.
        seed: Seed of the random choice of exchange partners.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        source: Source,
        entries: Callable[[], Sequence[Address]],
        control_members: Sequence[Address],
        interval_ms: int,
        seed: int = 0,
    ):
        self.clock = clock
        self.link = link
        self.source = source
        self.entries = entries
        self.control_members = list(control_members)
        self.interval_ms = interval_ms
        self.random = random.Random(seed)
        self.table = CellTable()
        self.histograms_by_key: dict[HistogramKey, HdrHistogram] = {}
        # Rows that the partner or the control members lack, in order of change.
        self.pending_for_partner: dict[RowKey, None] = {}
        self.pending_for_control: dict[RowKey, None] = {}
        self.changed_histograms: set[HistogramKey] = set()
        self.held_rows = HeldRows()
        self.first_refusals = FirstRefusals(self._copy_refusals)
        self.partner: Address | None = None
        self.sequence = 0
        # Whether the control members have all rows that earlier exchanges carried.
        self.settled = False
        self.is_stopping = False
        self._last_partner: Address | None = None
        self._earliest_wall_ms = 0
        self._in_handover: dict[RowKey, None] = {}
        self._handover_lock = curio.Lock()
        self._attempt_columns: dict[tuple[str, str, str], tuple[Column, ...]] = {}
        self._request_columns = {
            outcome: (Column("", "", "request", outcome.value),)
            for outcome in RequestOutcome
        }
        self._refusal_columns = {
            reason: (Column("", "", "refusal", reason.value),)
            for reason in RefusalReason
        }

    async def count_refusal(
        self,
        workspace: str,
        reason: RefusalReason,
        *,
        service: str = "",
        pipeline: str = "",
        request_id: str = "",
    ) -> None:
        """Count a refusal; must return before the caller is answered.

        Names that the fleet configuration does not have are passed as empty strings.

        Args:
            workspace: Workspace of the caller.
            reason: Why the request is refused.
            service: Service that was called.
            pipeline: Pipeline that was called.
            request_id: Identifier of the request, for the event log.
        """
        wall_ms = self._wall_ms()
        minute = bucket_of(Scope.MINUTE, wall_ms)
        key = RowKey(Scope.MINUTE, minute, workspace, service, pipeline)
        self._add(key, self._refusal_columns[reason], (1,))
        hour = bucket_of(Scope.HOUR, wall_ms)
        hour_key = RowKey(Scope.HOUR, hour, workspace, service, pipeline)
        columns = self._request_columns[RequestOutcome.REFUSED]
        self._add(hour_key, columns, (1,))
        if self.first_refusals.is_copy_finished(key):
            return
        if not await self.first_refusals.copy(key):
            events.log(
                events.REFUSAL_NOT_COPIED,
                workspace=workspace,
                service=service,
                pipeline=pipeline,
                minute=minute,
                request_id=request_id,
            )

    def count_request(
        self,
        workspace: str,
        outcome: RequestOutcome,
        duration_ms: int,
        *,
        service: str = "",
        pipeline: str = "",
    ) -> None:
        """Count an answered request; ``count_refusal`` counts the refused ones."""
        hour = bucket_of(Scope.HOUR, self._wall_ms())
        key = RowKey(Scope.HOUR, hour, workspace, service, pipeline)
        self._add(key, self._request_columns[outcome], (1,))
        histogram_key = (hour, pipeline or service)
        histogram = self.histograms_by_key.get(histogram_key)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
            self.histograms_by_key[histogram_key] = histogram
        histogram.record_value(min(max(duration_ms, 1), MAX_LATENCY_MS))
        self.changed_histograms.add(histogram_key)

    def count_attempt(
        self,
        workspace: str,
        work: WorkKind,
        usage: Usage,
        price: Price,
        *,
        service: str,
        stage: str,
        pipeline: str = "",
    ) -> None:
        """Count an attempt that has ended.

        Args:
            workspace: Workspace of the caller.
            work: Why the attempt was made; ``WASTED`` if its result was not used.
            usage: Tokens and engine time that it consumed.
            price: Current price of the service.
            service: Service of the target.
            stage: Kind of the stage, or name of the service's call.
            pipeline: Pipeline of the request, empty for a call of a service.
        """
        hour = bucket_of(Scope.HOUR, self._wall_ms())
        key = RowKey(Scope.HOUR, hour, workspace, "" if pipeline else service, pipeline)
        columns = self._attempt_columns.get((service, stage, work))
        if columns is None:
            columns = tuple(
                Column(service, stage, work.value, measure.value) for measure in Measure
            )
            self._attempt_columns[service, stage, work] = columns
        self._add(key, columns, usage.amounts(price))

    async def run(self) -> None:
        """Exchange rows with other entries and hand them over until cancelled."""
        async with curio.TaskGroup() as group:
            # Unresponsive control members must not delay the exchanges.
            await group.spawn(self._repeat, self.exchange, 1)
            await group.spawn(self._repeat, self._run_handover, EXCHANGES_PER_HANDOVER)

    async def _repeat(
        self, action: Callable[[], Awaitable[Any]], intervals: int
    ) -> None:
        while True:
            await self.clock.sleep_ms(self.interval_ms * intervals)
            await action()

    async def exchange(self) -> bool:
        """Send changed rows to another entry; return whether one holds them."""
        settled = self.settled
        keys = _refusal_minutes_first(
            self._unacknowledged() if settled else self.pending_for_partner
        )
        if not keys and not settled:
            return True
        if await self._send_to_entry(
            keys, settled, max(self.interval_ms // 2, MIN_CALL_TIMEOUT_MS)
        ):
            self.settled = self.settled and not settled
            return True
        return False

    async def _run_handover(self) -> None:
        if not await self.hand_over():
            events.log(
                events.ACCOUNTS_NOT_HANDED_OVER, rows=len(self.pending_for_control)
            )
        await self._hand_over_silent_sources()
        self._drop_finished_rows()

    async def hand_over(self) -> bool:
        """Hand over own rows to a control member; return whether it has them all."""
        async with self._handover_lock:
            return await self._hand_over_own()

    async def hand_over_all(self, timeout_ms: int) -> bool:
        """Hand over own and held rows at a planned stop; accept no more rows.

        Rows that no control member accepts are sent to another entry.

        Args:
            timeout_ms: Time limit in milliseconds.

        Returns:
            Whether all rows are stored elsewhere.
        """
        self.is_stopping = True
        kept = False
        async with curio.ignore_after(timeout_ms / MS_PER_SECOND):
            kept = await self._hand_over_everything()
        if not kept:
            rows = len(self._unacknowledged()) + self.held_rows.row_count
            events.log(events.ACCOUNTS_LEFT_AT_STOP, rows=rows)
        return kept

    async def _hand_over_everything(self) -> bool:
        kept = await self.hand_over()
        if not kept:
            kept = await self._send_to_entry(list(self._unacknowledged()), False)
        for source in list(self.held_rows.tables_by_source):
            kept = await self._hand_over_held(source, or_to_entry=True) and kept
        return kept

    def handle(self, message: AccountRows) -> AccountsKept:
        """Store the rows that another entry sent, unless this entry stops."""
        name, incarnation = self.source
        if self.is_stopping:
            # They would end with this process.
            return AccountsKept(name, incarnation, False, "this entry stops")
        try:
            self.held_rows.merge_message(message, self.clock.now_ms())
        except MessageError as error:
            return AccountsKept(name, incarnation, False, str(error))
        return AccountsKept(name, incarnation, True)

    def _wall_ms(self) -> int:
        """Return the wall time, but not less than the end of any dropped interval.

        If a dropped row were started again, its first counts would be lost, because
        merging keeps the larger value of each cell.
        """
        return max(self.clock.wall_ms(), self._earliest_wall_ms)

    def _add(
        self, key: RowKey, columns: tuple[Column, ...], amounts: tuple[int, ...]
    ) -> None:
        self.table.add(key, columns, amounts)
        self.pending_for_partner[key] = None
        self.pending_for_control[key] = None

    def _unacknowledged(self) -> dict[RowKey, None]:
        """Return the rows that no control member has acknowledged."""
        return self._in_handover | self.pending_for_control

    async def _copy_refusals(self, keys: list[RowKey]) -> bool:
        return await self._send_to_entry(keys, False, COPY_CALL_TIMEOUT_MS)

    async def _send_to_entry(
        self, keys: list[RowKey], settled: bool, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> bool:
        """Send rows to the partner or, if that fails, to one other entry."""
        for _ in range(2):
            address = self._choose_partner()
            if address is None:
                return False
            if await self._send_rows(address, keys, settled, timeout_ms):
                return True
            if self.partner == address:
                self.partner = None
            # The next partner lacks all rows that are not handed over. They are added
            # now, except when a caller waits for a copy: then the copy is sent first.
            self.pending_for_partner.update(self._unacknowledged())
            if timeout_ms > COPY_CALL_TIMEOUT_MS:
                keys = _refusal_minutes_first(self.pending_for_partner)
        return False

    async def _send_rows(
        self, address: Address, keys: list[RowKey], settled: bool, timeout_ms: int
    ) -> bool:
        for start in range(0, max(len(keys), 1), ROWS_PER_MESSAGE):
            part = keys[start : start + ROWS_PER_MESSAGE]
            for key in part:
                self.pending_for_partner.pop(key, None)
            batch = pack_batch(self.source, self.table, part)
            first = settled and start == 0
            if not await self._send(address, [batch], first, timeout_ms):
                return False
        return True

    def _choose_partner(self) -> Address | None:
        entries = list(self.entries())
        if self.partner is None or self.partner not in entries:
            others = [address for address in entries if address != self._last_partner]
            choices = others or entries
            self.partner = self.random.choice(choices) if choices else None
            self._last_partner = self.partner
        return self.partner

    async def _send(
        self, address: Address, batches: list[bytes], settled: bool, timeout_ms: int
    ) -> bool:
        self.sequence += 1
        message = AccountRows(self.source.entry, self.sequence, settled, batches)
        try:
            reply = await self.link.call(address, message, timeout_ms)
        except PeerUnreachable:
            return False
        return isinstance(reply, AccountsKept) and reply.kept

    async def _send_to_control(self, batches: list[bytes]) -> bool:
        """Send to the control member that last accepted rows, else to the others."""
        for address in list(self.control_members):
            if await self._send(address, batches, False, CALL_TIMEOUT_MS):
                return True
            self.control_members.remove(address)
            self.control_members.append(address)
        return False

    async def _hand_over_own(self) -> bool:
        histograms = self._encoded_histograms()
        changed, self.changed_histograms = self.changed_histograms, set()
        self._in_handover, self.pending_for_control = self.pending_for_control, {}
        keys = list(self._in_handover)
        for start in range(0, max(len(keys), 1), ROWS_PER_MESSAGE):
            part = keys[start : start + ROWS_PER_MESSAGE]
            if not part and not histograms:
                break
            batch = pack_batch(self.source, self.table, part, histograms)
            if not await self._send_to_control([batch]):
                self.pending_for_control = self._unacknowledged()
                self._in_handover = {}
                self.changed_histograms |= changed
                return False
            histograms, changed = {}, set()
        self._in_handover = {}
        self.pending_for_partner = {
            key: None
            for key in self.pending_for_partner
            if key in self.pending_for_control
        }
        self.settled = True
        return True

    def _encoded_histograms(self) -> dict[HistogramKey, tuple[int, bytes]]:
        return {
            key: (histogram.get_total_count(), histogram.encode())
            for key in self.changed_histograms
            if (histogram := self.histograms_by_key.get(key)) is not None
        }

    async def _hand_over_silent_sources(self) -> None:
        silence_ms = max(self.interval_ms * EXCHANGES_UNTIL_SILENT, MIN_SILENCE_MS)
        for source in self.held_rows.silent_sources(self.clock.now_ms(), silence_ms):
            await self._hand_over_held(source)

    async def _hand_over_held(self, source: Source, or_to_entry: bool = False) -> bool:
        """Hand over and drop the rows of another entry; keep them on failure."""
        table = self.held_rows.tables_by_source.pop(source)
        kept = False
        try:
            kept = await self._send_held(source, table, or_to_entry)
        finally:
            # Also if the time for it is over.
            if not kept:
                self.held_rows.restore_rows(source, table)
        return kept

    async def _send_held(
        self, source: Source, table: CellTable, or_to_entry: bool
    ) -> bool:
        """Send the rows of another entry; return whether all were accepted."""
        keys = list(table.rows_by_key)
        for start in range(0, len(keys), ROWS_PER_MESSAGE):
            part = keys[start : start + ROWS_PER_MESSAGE]
            batch = pack_batch(source, table, part)
            kept = await self._send_to_control([batch])
            if not kept and or_to_entry and (partner := self._choose_partner()):
                kept = await self._send(partner, [batch], False, CALL_TIMEOUT_MS)
            if not kept:
                return False
        return True

    def _drop_finished_rows(self) -> None:
        """Drop rows and histograms that are handed over and can no longer change."""
        minute = bucket_of(Scope.MINUTE, self._wall_ms()) - 1
        self._earliest_wall_ms = max(self._earliest_wall_ms, minute * MS_PER_MINUTE)
        self.first_refusals.drop_before(minute)
        unkept = self._unacknowledged()
        for key in list(self.table.rows_by_key):
            if key.end_ms <= self._earliest_wall_ms and key not in unkept:
                self.table.drop(key)
                self.pending_for_partner.pop(key, None)
        hour = bucket_of(Scope.HOUR, self._earliest_wall_ms)
        for histogram_key in list(self.histograms_by_key):
            is_old = histogram_key[0] < hour
            if is_old and histogram_key not in self.changed_histograms:
                del self.histograms_by_key[histogram_key]


def _refusal_minutes_first(keys: Iterable[RowKey]) -> list[RowKey]:
    """Return ``keys`` with refusal minutes first, so the first message has them."""
    return sorted(keys, key=lambda key: key.scope)
