"""Durable log, snapshot and member record of one control member, on a ``Disk``.

Files: ``member`` (a ``MemberRecord``), ``snapshot`` (header and data) and log segments
``log-<number>``, read in the order of their numbers.

A frame is appended only after the previous one has been synced, so a crash or a full
disk can tear only the last frame of the last segment. An invalid frame before a valid
one was damaged after its sync; recovery then fails instead of truncating the log.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio

from wagtailrun.consensus.journal_records import (
    FRAME_HEADER,
    corrupt_record_error,
    encode_frame,
    has_valid_frame_after,
    payload_at,
    snapshot_checksum,
    split_batches,
)
from wagtailrun.consensus.messages import (
    CODEC,
    Configuration,
    Entry,
    EntryBatch,
    EntryKind,
    FoundingRecord,
    MemberRecord,
    SnapshotHeader,
)
from wagtailrun.consensus.state import Signal
from wagtailrun.exceptions import DiskFault, DiskFull, MessageError
from wagtailrun.ports.disk import Disk

__all__ = ["Journal"]

MEMBER_FILE = "member"
SNAPSHOT_FILE = "snapshot"
SEGMENT_PREFIX = "log-"
# Entries kept although the snapshot includes them, so that a follower that lags
# slightly needs no snapshot transfer.
RETAINED_ENTRIES = 256
RETAINED_BYTES = 4 * 1024 * 1024
NO_FOUNDING = FoundingRecord()


@attrs.define
class Batch:
    """Entries for the next write, and the ticket of the newest of them."""

    entries: list[Entry] = attrs.field(factory=list)
    ticket: int = 0


@attrs.frozen
class SegmentContents:
    """What was read of a log segment.

    Attributes:
        first_index: Index of its first entry, None without entries.
        last_frame: Offset of its last frame.
    """

    first_index: int | None
    last_frame: int


class Journal:
    """Log, snapshot and member record of one member.

    Entries are readable as soon as they are appended. They are durable once
    ``wait_durable`` returns, which needs ``run`` in a task.

    Args:
        disk: Disk that holds the files.
    """

    def __init__(self, disk: Disk):
        self.disk = disk
        self.member_record = MemberRecord("")
        self.snapshot: SnapshotHeader | None = None
        self.entries: list[Entry] = []
        self.durable_index = 0
        self.bytes_since_snapshot = 0
        self.fault: DiskFault | None = None
        # Called after each write, when durable_index is already updated.
        self.on_durable: Callable[[], Awaitable[None]] | None = None
        self.on_fault: Callable[[Exception], Awaitable[None]] | None = None
        self._configurations: list[tuple[int, Configuration]] = []
        self._batch = Batch()
        self._written_ticket = 0
        self._batch_ready = curio.Event()
        self._write_finished = Signal()
        self._file_lock = curio.Lock()
        self._segment_number = 1
        self._segment_size = 0

    @property
    def first_index(self) -> int:
        """Index of the oldest entry in the log."""
        return self.entries[0].index if self.entries else self.last_index + 1

    @property
    def last_index(self) -> int:
        """Index of the newest entry in the log or the snapshot, 0 without one."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_term(self) -> int:
        """Term of the newest entry, 0 without one."""
        return self.term_at(self.last_index) or 0

    @property
    def snapshot_index(self) -> int:
        """Index of the newest entry in the snapshot, 0 without a snapshot."""
        return self.snapshot.index if self.snapshot else 0

    def entry(self, index: int) -> Entry | None:
        """Return the entry at ``index``, or None if it is not in the log."""
        position = index - self.entries[0].index if self.entries else -1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or None if it is not known."""
        entry = self.entry(index)
        if entry is not None:
            return entry.term
        if self.snapshot and index == self.snapshot.index:
            return self.snapshot.term
        return 0 if index == 0 else None

    def entries_from(self, index: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Return consecutive entries from ``index`` on.

        Their data has at most ``limit_bytes`` bytes, unless the first entry alone has
        more; none are returned if the entry at ``index`` is not in the log.
        """
        if not self.entries or index < self.first_index:
            return ()
        chosen: list[Entry] = []
        size = 0
        for position in range(index - self.first_index, len(self.entries)):
            entry = self.entries[position]
            if chosen and size + len(entry.data) > limit_bytes:
                break
            chosen.append(entry)
            size += len(entry.data)
        return tuple(chosen)

    def configuration(self) -> Configuration:
        """Return the newest member set in the log or the snapshot."""
        return self.configuration_at(self.last_index)[1]

    def configuration_at(self, index: int) -> tuple[int, Configuration]:
        """Return the newest member set up to ``index``, with the index of its entry."""
        for position, configuration in reversed(self._configurations):
            if position <= index:
                return position, configuration
        if self.snapshot:
            return self.snapshot.index, self.snapshot.configuration
        return 0, Configuration()

    # Recovery

    async def open(
        self, new_identity: str, founding: FoundingRecord = NO_FOUNDING
    ) -> None:
        """Recover the state from disk; initialise an empty disk.

        Args:
            new_identity: Identity of the member if the disk is empty.
            founding: Its part in founding the cluster if the disk is empty.

        Raises:
            CorruptRecord: If a synced record is damaged or missing.
            DiskFault: If the disk fails.
        """
        names = await self.disk.names()
        segments = sorted(name for name in names if name.startswith(SEGMENT_PREFIX))
        if MEMBER_FILE not in names:
            await self._initialise(names, MemberRecord(new_identity, founding=founding))
            return
        self.member_record = self._decode_frame(
            MEMBER_FILE, await self.disk.read(MEMBER_FILE)
        )
        if not segments:
            raise corrupt_record_error(MEMBER_FILE, 0, "the log segments are missing")
        if SNAPSHOT_FILE in names:
            self.snapshot, _ = await self._read_snapshot()
        for name in segments:
            newest = await self._read_segment(name, is_last=name == segments[-1])
        # An earlier process may have ended, or failed, before it had synced what has
        # been read: at most the last frame and the names. This comes before any old
        # segment is removed, because the new name of its replacement may be lost.
        await self.disk.resync(segments[-1], newest.last_frame)
        self._segment_number = int(segments[-1].removeprefix(SEGMENT_PREFIX))
        await self._discard_superseded_log()
        self._check_continuity(segments[-1])
        self.durable_index = self.last_index
        self.bytes_since_snapshot = sum(
            len(entry.data)
            for entry in self.entries
            if entry.index > self.snapshot_index
        )
        if not self._is_complete(newest):
            # An earlier build that failed as it compacted the log may have left this.
            segments.append(self._segment_name())
            await self._write_segment()
        for name in segments:
            if name != self._segment_name():
                await self.disk.remove(name)
        await self._finish_compaction()

    async def _initialise(self, names: list[str], new_record: MemberRecord) -> None:
        # An interrupted initialisation leaves at most the empty first segment.
        if names:
            contents = [await self.disk.read(name) for name in names]
            if names != [self._segment_name()] or contents != [b""]:
                raise corrupt_record_error(
                    MEMBER_FILE, 0, f"the file is missing, but the disk holds {names}"
                )
        await self.disk.write(self._segment_name(), b"")
        await self.save_record(new_record)

    def _decode_frame(self, name: str, data: bytes, offset: int = 0) -> Any:
        payload = payload_at(data, offset)
        if payload is None:
            raise corrupt_record_error(name, offset, "the checksum does not match")
        try:
            return CODEC.decode(payload)
        except MessageError as error:
            raise corrupt_record_error(name, offset, str(error)) from error

    async def _read_snapshot(self) -> tuple[SnapshotHeader, bytes]:
        data = await self.disk.read(SNAPSHOT_FILE)
        header: SnapshotHeader = self._decode_frame(SNAPSHOT_FILE, data)
        contents = data[len(data) - header.size :]
        if snapshot_checksum(contents) != header.checksum:
            raise corrupt_record_error(
                SNAPSHOT_FILE,
                len(data) - header.size,
                "the checksum of the snapshot data does not match",
            )
        return header, contents

    def _is_complete(self, segment: SegmentContents) -> bool:
        """Return whether a segment has all entries that the snapshot does not cover."""
        if segment.first_index is None:
            return self.last_index <= self.snapshot_index
        return segment.first_index <= self.snapshot_index + 1

    async def _read_segment(self, name: str, is_last: bool) -> SegmentContents:
        """Read the entries of a segment."""
        data = await self.disk.read(name)
        offset = last_frame = 0
        first_index = None
        while offset < len(data):
            payload = payload_at(data, offset)
            if payload is None:
                if not is_last or has_valid_frame_after(data, offset):
                    raise corrupt_record_error(
                        name, offset, "the checksum does not match"
                    )
                await self.disk.truncate(name, offset)
                break
            for entry in self._decode_frame(name, data, offset).entries:
                self._insert_entry(entry)
                first_index = entry.index if first_index is None else first_index
            last_frame = offset
            offset += FRAME_HEADER.size + len(payload)
        self._segment_size = offset
        return SegmentContents(first_index, last_frame)

    def _insert_entry(self, entry: Entry) -> None:
        """Put ``entry`` at its index; drop the entries from that index on."""
        if self.entries and entry.index > self.last_index + 1:
            # The entries before the gap are covered by a received snapshot, which
            # _check_continuity verifies afterwards.
            self._clear_entries()
        if self.entries:
            keep = max(entry.index - self.entries[0].index, 0)
            del self.entries[keep:]
        while self._configurations and self._configurations[-1][0] >= entry.index:
            self._configurations.pop()
        self.entries.append(entry)
        if entry.kind == EntryKind.CONFIGURATION:
            self._configurations.append((entry.index, CODEC.decode(entry.data)))

    def _clear_entries(self) -> None:
        self.entries = []
        self._configurations = []

    async def _discard_superseded_log(self) -> None:
        """Drop a log that a crash left behind while a snapshot was replacing it."""
        if self.snapshot is None or not self.entries:
            return
        entry = self.entry(self.snapshot.index)
        behind = self.last_index < self.snapshot.index
        if behind or (entry is not None and entry.term != self.snapshot.term):
            self._clear_entries()
            await self._start_segment()

    async def _finish_compaction(self) -> None:
        """Compact the log if a snapshot was saved and the compaction was not."""
        if self._drop_covered_entries(RETAINED_ENTRIES):
            await self._start_segment()

    def _check_continuity(self, name: str) -> None:
        expected = self.first_index
        if expected > self.snapshot_index + 1:
            detail = f"entries {self.snapshot_index + 1} to {expected - 1} are missing"
            raise corrupt_record_error(name, 0, detail)

    # Writing

    async def save_record(self, record: MemberRecord) -> None:
        """Make ``record`` durable.

        Raises:
            DiskFault: If it could not be written.
        """
        async with self._file_lock:
            self._raise_if_failed()
            try:
                await self.disk.write(
                    MEMBER_FILE, encode_frame(CODEC.encode(record), 0)
                )
            except DiskFault as error:
                await self._fail(error)
                raise
        self.member_record = record

    async def append(self, entries: list[Entry]) -> int:
        """Append ``entries``; they replace all entries from their first index on.

        Returns:
            Ticket to pass to ``wait_durable``.
        """
        self._raise_if_failed()
        if entries:
            first = entries[0].index
            if first <= self.last_index:
                # A write in progress must end first. Otherwise it would raise
                # durable_index again for the entries that are replaced here.
                await self.wait_durable(self._batch.ticket)
                self.durable_index = min(self.durable_index, first - 1)
            for entry in entries:
                self._insert_entry(entry)
                self.bytes_since_snapshot += len(entry.data)
            self._batch.entries.extend(entries)
            self._batch.ticket += 1
            await self._batch_ready.set()
        return self._batch.ticket

    async def wait_durable(self, ticket: int) -> None:
        """Return once everything appended up to ``ticket`` is durable.

        Raises:
            DiskFault: If a write has failed.
        """
        while self._written_ticket < ticket:
            self._raise_if_failed()
            await self._write_finished.wait()
        self._raise_if_failed()

    async def run(self) -> None:
        """Write and sync the pending entries, one batch at a time, until a fault.

        Raises:
            DiskFault: If a write failed.
        """
        while True:
            await self._batch_ready.wait()
            self._batch_ready.clear()
            async with self._file_lock:
                # After a failed compaction nothing may be appended to the old segment.
                self._raise_if_failed()
                batch, self._batch = self._batch, Batch(ticket=self._batch.ticket)
                try:
                    for entries in split_batches(batch.entries):
                        await self._write_frame(entries)
                except DiskFault as error:
                    await self._fail(error)
                    raise
                if batch.entries:
                    self.durable_index = batch.entries[-1].index
                self._written_ticket = batch.ticket
            await self._write_finished.notify()
            if self.on_durable is not None:
                await self.on_durable()

    async def _write_frame(self, entries: list[Entry]) -> None:
        payload = CODEC.encode(EntryBatch(tuple(entries)))
        data = encode_frame(payload, self._segment_size)
        name = self._segment_name()
        await self.disk.append(name, data)
        await self.disk.sync(name)
        self._segment_size += len(data)

    async def close(self) -> None:
        """End all waits for durability with an error."""
        if self.fault is None:
            self.fault = DiskFault("the member that wrote this log has stopped")
        await self._write_finished.notify()

    async def _fail(self, error: DiskFault) -> None:
        self.fault = error
        if self.on_fault is not None:
            await self.on_fault(error)
        await self._write_finished.notify()

    def _raise_if_failed(self) -> None:
        if self.fault is not None:
            raise self.fault

    def _segment_name(self, number: int | None = None) -> str:
        """Return the name of a segment; by default of the newest one."""
        number = self._segment_number if number is None else number
        return f"{SEGMENT_PREFIX}{number:012d}"

    # Snapshots

    async def save_snapshot(self, header: SnapshotHeader, data: bytes) -> None:
        """Make a snapshot durable and drop log entries that it covers.

        A snapshot that is not newer than the current one is ignored.

        Raises:
            DiskFault: If it could not be written.
        """
        async with self._file_lock:
            self._raise_if_failed()
            if header.index <= self.snapshot_index:
                return
            try:
                await self._write_snapshot(header, data)
            except DiskFault as error:
                await self._fail(error)
                raise

    async def _write_snapshot(self, header: SnapshotHeader, data: bytes) -> None:
        contents = encode_frame(CODEC.encode(header), 0) + data
        await self.disk.write(SNAPSHOT_FILE, contents)
        matches = self.term_at(header.index) == header.term
        self.snapshot = header
        if matches:
            self._drop_covered_entries(RETAINED_ENTRIES)
        else:
            # The log ends before the snapshot, or conflicts with it.
            self._clear_entries()
            self._batch.entries = []
            self.durable_index = header.index
        await self._start_segment()
        self.bytes_since_snapshot = 0

    async def _start_segment(self) -> None:
        """Write the remaining entries to a new segment and remove the old one."""
        old_name = self._segment_name()
        try:
            await self._write_segment()
        except DiskFull:
            # Without the retained entries, the new segment is small enough for almost
            # any disk, and the removal of the old one makes room.
            if not self._drop_covered_entries(0):
                raise
            await self._write_segment()
        await self.disk.remove(old_name)

    async def _write_segment(self) -> None:
        """Write all entries to the next segment, which is the newest from then on."""
        segment = b""
        for entries in split_batches(self.entries):
            payload = CODEC.encode(EntryBatch(tuple(entries)))
            segment += encode_frame(payload, len(segment))
        await self.disk.write(self._segment_name(self._segment_number + 1), segment)
        self._segment_number += 1
        self._segment_size = len(segment)

    def _drop_covered_entries(self, retained: int) -> int:
        """Drop entries in the snapshot beyond the newest ``retained``.

        Returns:
            Number of dropped entries.
        """
        keep, size = 0, 0
        for entry in reversed(self.entries):
            needed = entry.index > self.snapshot_index
            size += len(entry.data)
            behind = self.snapshot_index - entry.index
            if not needed and (behind >= retained or size > RETAINED_BYTES):
                break
            keep += 1
        dropped = len(self.entries) - keep
        del self.entries[:dropped]
        self._configurations = [
            item for item in self._configurations if item[0] > self.snapshot_index
        ]
        return dropped

    async def read_snapshot(self) -> tuple[SnapshotHeader, bytes] | None:
        """Return header and data of the snapshot, or None if there is none.

        Raises:
            CorruptRecord: If the snapshot file is damaged.
        """
        async with self._file_lock:
            return await self._read_snapshot() if self.snapshot else None
