"""Counts refusals, requests and costs at an entry and hands them over."""

import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any

import curio
from hdrh.histogram import HdrHistogram

from wagtailrun import events
from wagtailrun.accounts_messages import (
    AccountRows,
    AccountsKept,
    HistogramKey,
    pack_batch,
    unpack_batch,
)
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.cost_cells import (
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
from wagtailrun.exceptions import MessageError, PeerUnreachable, RefusalReason
from wagtailrun.fleet import Price
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.refusal_minutes import COPY_TIMEOUT_MS, FirstRefusals

__all__ = ["Accounts", "HeldRows"]

# Rows go to the control members every sixth exchange: a row that changes in every
# exchange is then handed over once, not six times.
EXCHANGES_PER_HANDOVER = 6
# A source that another entry has not heard for this many exchanges is taken as gone.
SILENT_EXCHANGES = 5
SHORTEST_SILENCE_MS = 10_000
# No message is delayed this long, so a late one cannot be taken for a new one.
FORGET_SOURCE_MS = 3_600_000
CALL_TIMEOUT_MS = 2_000
SHORTEST_CALL_TIMEOUT_MS = 100
# The second entry asked must have time to answer within the limit for a copy.
COPY_CALL_TIMEOUT_MS = COPY_TIMEOUT_MS // 2
LONGEST_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
# Rows in one message: 1,000 rows of 24 counters are 200 KB before compression.
ROWS_PER_MESSAGE = 1_000


class HeldRows:
    """Rows of other entries, kept until the control members have them."""

    def __init__(self) -> None:
        self.tables_by_source: dict[Source, CellTable] = {}
        self.heard_ms_by_source: dict[Source, int] = {}
        self.sequences_by_source: dict[Source, int] = {}

    def take(self, message: AccountRows, now_ms: int) -> None:
        """Merge the rows of ``message``.

        Raises:
            MessageError: If a batch is malformed; nothing of it is merged.
        """
        for data in message.batches:
            source, rows, _ = unpack_batch(data)
            # Another entry may pass on rows; its sequence is not the source's.
            own = source.entry == message.sender
            newer = own and message.sequence > self.sequences_by_source.get(source, -1)
            if newer:
                self.sequences_by_source[source] = message.sequence
            if message.settled and newer:
                self.tables_by_source.pop(source, None)
            self.heard_ms_by_source[source] = now_ms
            if rows.rows_by_key:
                table = self.tables_by_source.setdefault(source, CellTable())
                table.merge_table(rows)

    def silent(self, now_ms: int, silence_ms: int) -> list[Source]:
        """Return the sources with rows that were not heard for ``silence_ms``."""
        for source, heard_ms in list(self.heard_ms_by_source.items()):
            gone = now_ms - heard_ms >= FORGET_SOURCE_MS
            if gone and source not in self.tables_by_source:
                del self.heard_ms_by_source[source]
                self.sequences_by_source.pop(source, None)
        return [
            source
            for source in self.tables_by_source
            if now_ms - self.heard_ms_by_source[source] >= silence_ms
        ]

    def put_back(self, source: Source, table: CellTable) -> None:
        """Merge rows that were taken out."""
        self.tables_by_source.setdefault(source, CellTable()).merge_table(table)


class Accounts:
    """Accounts of one entry incarnation.

    The methods that record only change memory and take microseconds; only the first
    refusal of a (minute, workspace, service or pipeline) waits, for its copy.

    Args:
        clock: Clock.
        link: Link to other entries and to the control members.
        source: Name and incarnation of this entry.
        entries: Returns the peer addresses of the other entries known now.
        control_members: Peer addresses of the control members.
        interval_ms: Time between exchanges of rows.
        seed: Seed of the choice of the entry to exchange with.
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
        # Rows that the partner, or the control members, lack; in order of change.
        self.unsent: dict[RowKey, None] = {}
        self.unhanded: dict[RowKey, None] = {}
        self.changed_histograms: set[HistogramKey] = set()
        self.held = HeldRows()
        self.first_refusals = FirstRefusals(self._copy_refusals)
        self.partner: Address | None = None
        self.sequence = 0
        self.settled = False
        self._last_partner: Address | None = None
        self._earliest_ms = 0
        self._being_handed: dict[RowKey, None] = {}
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
        """Count a refusal; call this before the caller is answered.

        Args:
            workspace: Workspace of the caller, empty if it is not in the fleet text.
            reason: Why the request is refused.
            service: Service that was called, empty if it is not in the fleet text.
            pipeline: Pipeline that was called, empty if it is not in the fleet text.
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
        if self.first_refusals.is_known(key):
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
            histogram = HdrHistogram(1, LONGEST_LATENCY_MS, SIGNIFICANT_DIGITS)
            self.histograms_by_key[histogram_key] = histogram
        histogram.record_value(min(max(duration_ms, 1), LONGEST_LATENCY_MS))
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
        """Count an attempt when it ends.

        Args:
            workspace: Workspace of the caller.
            work: Why the attempt was made; ``WASTED`` if its result was not used.
            usage: What it consumed.
            price: Price of the service in force now.
            service: Service of the target.
            stage: Kind of the stage, or name of the call.
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
        """Exchange rows and hand them over until cancelled."""
        async with curio.TaskGroup() as group:
            # A handover to silent control members must not delay the exchanges.
            await group.spawn(self._repeat, self.exchange, 1)
            await group.spawn(self._repeat, self._hand_over_due, EXCHANGES_PER_HANDOVER)

    async def _repeat(
        self, action: Callable[[], Awaitable[Any]], intervals: int
    ) -> None:
        while True:
            await self.clock.sleep_ms(self.interval_ms * intervals)
            await action()

    async def exchange(self) -> bool:
        """Send changed rows to another entry; return whether one keeps them."""
        settled = self.settled
        keys = _minutes_first(self._unkept() if settled else self.unsent)
        if not keys and not settled:
            return True
        if await self._send_to_an_entry(
            keys, settled, max(self.interval_ms // 2, SHORTEST_CALL_TIMEOUT_MS)
        ):
            self.settled = self.settled and not settled
            return True
        return False

    async def _hand_over_due(self) -> None:
        if not await self.hand_over():
            events.log(events.ACCOUNTS_NOT_HANDED_OVER, rows=len(self.unhanded))
        await self._hand_over_silent()
        self._forget_old()

    async def hand_over(self) -> bool:
        """Hand all rows to a control member; return whether it keeps them."""
        async with self._handover_lock:
            return await self._hand_over_own()

    async def hand_over_all(self, timeout_ms: int) -> bool:
        """Hand over own and held rows at a planned stop.

        Rows that no control member takes are given to another entry.

        Returns:
            Whether everything is kept elsewhere.
        """
        kept = False
        async with curio.ignore_after(timeout_ms / MS_PER_SECOND):
            kept = await self._hand_over_everything()
        if not kept:
            events.log(events.ACCOUNTS_LEFT_AT_STOP, rows=len(self._unkept()))
        return kept

    async def _hand_over_everything(self) -> bool:
        kept = await self.hand_over()
        if not kept:
            kept = await self._send_to_an_entry(list(self._unkept()), False)
        for source in list(self.held.tables_by_source):
            kept = await self._hand_over_held(source, or_to_an_entry=True) and kept
        return kept

    def handle(self, message: AccountRows) -> AccountsKept:
        """Keep the rows of another entry."""
        name, incarnation = self.source
        try:
            self.held.take(message, self.clock.now_ms())
        except MessageError as error:
            return AccountsKept(name, incarnation, False, str(error))
        return AccountsKept(name, incarnation, True)

    def _wall_ms(self) -> int:
        """Return the wall time, never before an interval that was forgotten.

        A row that was forgotten and begun anew would lose its first counts, because
        the larger value wins.
        """
        return max(self.clock.wall_ms(), self._earliest_ms)

    def _add(
        self, key: RowKey, columns: tuple[Column, ...], amounts: tuple[int, ...]
    ) -> None:
        self.table.add(key, columns, amounts)
        self.unsent[key] = None
        self.unhanded[key] = None

    def _unkept(self) -> dict[RowKey, None]:
        """Return the rows that control members may lack."""
        return self._being_handed | self.unhanded

    async def _copy_refusals(self, keys: list[RowKey]) -> bool:
        return await self._send_to_an_entry(keys, False, COPY_CALL_TIMEOUT_MS)

    async def _send_to_an_entry(
        self, keys: list[RowKey], settled: bool, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> bool:
        """Send rows to the partner and, if it fails, to one other entry."""
        for _ in range(2):
            address = self._choose_partner()
            if address is None:
                return False
            if await self._send_rows(address, keys, settled, timeout_ms):
                return True
            if self.partner == address:
                self.partner = None
            # The next partner lacks everything that is not handed over. A copy that a
            # caller waits for goes ahead of it.
            self.unsent.update(self._unkept())
            if timeout_ms > COPY_CALL_TIMEOUT_MS:
                keys = _minutes_first(self.unsent)
        return False

    async def _send_rows(
        self, address: Address, keys: list[RowKey], settled: bool, timeout_ms: int
    ) -> bool:
        for start in range(0, max(len(keys), 1), ROWS_PER_MESSAGE):
            part = keys[start : start + ROWS_PER_MESSAGE]
            for key in part:
                self.unsent.pop(key, None)
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
        """Send to the control member that answered last, else to the others."""
        for address in list(self.control_members):
            if await self._send(address, batches, False, CALL_TIMEOUT_MS):
                return True
            self.control_members.remove(address)
            self.control_members.append(address)
        return False

    async def _hand_over_own(self) -> bool:
        histograms = self._encoded_histograms()
        changed, self.changed_histograms = self.changed_histograms, set()
        self._being_handed, self.unhanded = self.unhanded, {}
        keys = list(self._being_handed)
        for start in range(0, max(len(keys), 1), ROWS_PER_MESSAGE):
            part = keys[start : start + ROWS_PER_MESSAGE]
            if not part and not histograms:
                break
            batch = pack_batch(self.source, self.table, part, histograms)
            if not await self._send_to_control([batch]):
                self.unhanded = self._unkept()
                self._being_handed = {}
                self.changed_histograms |= changed
                return False
            histograms, changed = {}, set()
        self._being_handed = {}
        self.unsent = {key: None for key in self.unsent if key in self.unhanded}
        self.settled = True
        return True

    def _encoded_histograms(self) -> dict[HistogramKey, tuple[int, bytes]]:
        return {
            key: (histogram.get_total_count(), histogram.encode())
            for key in self.changed_histograms
            if (histogram := self.histograms_by_key.get(key)) is not None
        }

    async def _hand_over_silent(self) -> None:
        silence_ms = max(self.interval_ms * SILENT_EXCHANGES, SHORTEST_SILENCE_MS)
        for source in self.held.silent(self.clock.now_ms(), silence_ms):
            await self._hand_over_held(source)

    async def _hand_over_held(
        self, source: Source, or_to_an_entry: bool = False
    ) -> bool:
        """Hand over and forget the rows of another entry; keep them on failure."""
        table = self.held.tables_by_source.pop(source)
        keys = list(table.rows_by_key)
        for start in range(0, len(keys), ROWS_PER_MESSAGE):
            part = keys[start : start + ROWS_PER_MESSAGE]
            batch = pack_batch(source, table, part)
            kept = await self._send_to_control([batch])
            if not kept and or_to_an_entry and (partner := self._choose_partner()):
                kept = await self._send(partner, [batch], False, CALL_TIMEOUT_MS)
            if not kept:
                self.held.put_back(source, table)
                return False
        return True

    def _forget_old(self) -> None:
        """Forget what the control members hold and no request can change."""
        minute = bucket_of(Scope.MINUTE, self._wall_ms()) - 1
        self._earliest_ms = max(self._earliest_ms, minute * MS_PER_MINUTE)
        self.first_refusals.forget_before(minute)
        unkept = self._unkept()
        for key in list(self.table.rows_by_key):
            if key.end_ms <= self._earliest_ms and key not in unkept:
                self.table.drop(key)
                self.unsent.pop(key, None)
        hour = bucket_of(Scope.HOUR, self._earliest_ms)
        for key in list(self.histograms_by_key):
            if key[0] < hour and key not in self.changed_histograms:
                del self.histograms_by_key[key]


def _minutes_first(keys: Iterable[RowKey]) -> list[RowKey]:
    """Return keys so that refusal minutes are in the first of several messages."""
    return sorted(keys, key=lambda key: key.scope)
