"""Checksummed log records and snapshots of one member over a ``Disk``.

Files: ``member`` (a ``MemberRecord``), ``snapshot`` (header and data) and log segments
``log-<number>``, read in the order of their numbers.

A frame is appended only after the one before it was synced. Only the last frame of the
last segment can therefore be torn by a crash; a bad frame that is followed by a valid
one was damaged after it had been synced.
"""

from collections.abc import Awaitable, Callable

import attrs
import curio

from wagtailrun.consensus_messages import (
    CODEC,
    Configuration,
    Entry,
    EntryBatch,
    EntryKind,
    MemberRecord,
    SnapshotHeader,
)
from wagtailrun.consensus_state import Signal
from wagtailrun.exceptions import DiskFault, MessageError
from wagtailrun.journal_records import (
    FRAME,
    batches,
    corrupt_record,
    frame,
    payload_at,
    snapshot_checksum,
    valid_frame_after,
)
from wagtailrun.ports.disk import Disk

__all__ = ["Journal"]

MEMBER_FILE = "member"
SNAPSHOT_FILE = "snapshot"
SEGMENT_PREFIX = "log-"
# Entries kept behind a snapshot, so that a follower that lags a little needs no
# snapshot transfer.
RETAINED_ENTRIES = 256
RETAINED_BYTES = 4 * 1024 * 1024


@attrs.define
class Batch:
    """Entries that wait for the next write, and the ticket of the newest."""

    entries: list[Entry] = attrs.field(factory=list)
    ticket: int = 0


class Journal:
    """Log, snapshot and member record of one member.

    Entries are readable as soon as they are appended, and durable once ``wait_durable``
    returns. ``run`` must be running for that.

    Args:
        disk: Where the files are.
    """

    def __init__(self, disk: Disk):
        self.disk = disk
        self.member_record = MemberRecord("")
        self.snapshot: SnapshotHeader | None = None
        self.entries: list[Entry] = []
        self.durable_index = 0
        self.bytes_since_snapshot = 0
        self.fault: DiskFault | None = None
        # Called after each write, with the new durable_index in place.
        self.on_durable: Callable[[], Awaitable[None]] | None = None
        self.on_fault: Callable[[Exception], Awaitable[None]] | None = None
        self._configurations: list[tuple[int, Configuration]] = []
        self._batch = Batch()
        self._written_ticket = 0
        self._work = curio.Event()
        self._written = Signal()
        self._files = curio.Lock()
        self._segment = 1
        self._segment_size = 0

    @property
    def first_index(self) -> int:
        """Index of the oldest entry that is kept."""
        return self.entries[0].index if self.entries else self.last_index + 1

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self.term_at(self.last_index) or 0

    @property
    def snapshot_index(self) -> int:
        """Index of the newest entry in the snapshot, 0 without one."""
        return self.snapshot.index if self.snapshot else 0

    def entry(self, index: int) -> Entry | None:
        """Return the entry at ``index``, or None if it is not kept."""
        position = index - self.entries[0].index if self.entries else -1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def term_at(self, index: int) -> int | None:
        """Return the term at ``index``, or None if it is not known."""
        entry = self.entry(index)
        if entry is not None:
            return entry.term
        if self.snapshot and index == self.snapshot.index:
            return self.snapshot.term
        return 0 if index == 0 else None

    def entries_from(self, index: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``index`` on, at least one if there is one."""
        if not self.entries or index < self.first_index:
            return ()
        chosen, size = [], 0
        for position in range(index - self.first_index, len(self.entries)):
            entry = self.entries[position]
            if chosen and size + len(entry.data) > limit_bytes:
                break
            chosen.append(entry)
            size += len(entry.data)
        return tuple(chosen)

    def configuration(self) -> Configuration:
        """Return the newest configuration in the log or the snapshot."""
        return self.configuration_at(self.last_index)[1]

    def configuration_at(self, index: int) -> tuple[int, Configuration]:
        """Return index and value of the newest configuration up to ``index``."""
        for position, configuration in reversed(self._configurations):
            if position <= index:
                return position, configuration
        if self.snapshot:
            return self.snapshot.index, self.snapshot.configuration
        return 0, Configuration()

    # Recovery

    async def open(self, new_identity: str) -> None:
        """Read everything; an empty disk is initialised with ``new_identity``.

        Raises:
            CorruptRecord: If a record is damaged that had been synced.
            DiskFault: If the disk fails.
        """
        names = await self.disk.names()
        segments = sorted(name for name in names if name.startswith(SEGMENT_PREFIX))
        if MEMBER_FILE not in names:
            await self._initialise(names, new_identity)
            return
        self.member_record = self._decode(
            MEMBER_FILE, await self.disk.read(MEMBER_FILE)
        )
        if not segments:
            raise corrupt_record(MEMBER_FILE, 0, "the log segments are missing")
        if SNAPSHOT_FILE in names:
            self.snapshot, _ = await self._read_snapshot()
        for name in segments:
            await self._read_segment(name, is_last=name == segments[-1])
        self._segment = int(segments[-1].removeprefix(SEGMENT_PREFIX))
        await self._discard_covered()
        self._check_continuity(segments[-1])
        self.durable_index = self.last_index
        self.bytes_since_snapshot = sum(
            len(entry.data)
            for entry in self.entries
            if entry.index > self.snapshot_index
        )
        for name in segments[:-1]:
            await self.disk.remove(name)

    async def _initialise(self, names: list[str], new_identity: str) -> None:
        # A kill during initialisation leaves at most the empty first segment.
        if names:
            contents = [await self.disk.read(name) for name in names]
            if names != [self._segment_name()] or contents != [b""]:
                raise corrupt_record(
                    MEMBER_FILE, 0, f"missing, though there is {names}"
                )
        await self.disk.write(self._segment_name(), b"")
        await self.save_record(MemberRecord(new_identity))

    def _decode(self, name: str, data: bytes, offset: int = 0) -> object:
        payload = payload_at(data, offset)
        if payload is None:
            raise corrupt_record(name, offset, "the checksum does not match")
        try:
            return CODEC.decode(payload)
        except MessageError as error:
            raise corrupt_record(name, offset, str(error)) from error

    async def _read_snapshot(self) -> tuple[SnapshotHeader, bytes]:
        data = await self.disk.read(SNAPSHOT_FILE)
        header = self._decode(SNAPSHOT_FILE, data)
        contents = data[len(data) - header.size :]
        if snapshot_checksum(contents) != header.checksum:
            raise corrupt_record(
                SNAPSHOT_FILE, len(data) - header.size, "wrong checksum"
            )
        return header, contents

    async def _read_segment(self, name: str, is_last: bool) -> None:
        data = await self.disk.read(name)
        offset = 0
        while offset < len(data):
            payload = payload_at(data, offset)
            if payload is None:
                if not is_last or valid_frame_after(data, offset):
                    raise corrupt_record(name, offset, "the checksum does not match")
                await self.disk.truncate(name, offset)
                break
            for entry in self._decode(name, data, offset).entries:
                self._place(entry)
            offset += FRAME.size + len(payload)
        self._segment_size = offset

    def _place(self, entry: Entry) -> None:
        """Put ``entry`` at its index; it replaces itself and all after it."""
        if self.entries and entry.index > self.last_index + 1:
            # Entries that a received snapshot covers; continuity is checked later.
            self._clear()
        if self.entries:
            keep = max(entry.index - self.entries[0].index, 0)
            del self.entries[keep:]
        while self._configurations and self._configurations[-1][0] >= entry.index:
            self._configurations.pop()
        self.entries.append(entry)
        if entry.kind == EntryKind.CONFIGURATION:
            self._configurations.append((entry.index, CODEC.decode(entry.data)))

    def _clear(self) -> None:
        self.entries = []
        self._configurations = []

    async def _discard_covered(self) -> None:
        """Drop a log that a kill left behind while a snapshot replaced it."""
        if self.snapshot is None or not self.entries:
            return
        entry = self.entry(self.snapshot.index)
        behind = self.last_index < self.snapshot.index
        if behind or (entry is not None and entry.term != self.snapshot.term):
            self._clear()
            await self._start_segment()

    def _check_continuity(self, name: str) -> None:
        expected = self.first_index
        if expected > self.snapshot_index + 1:
            detail = f"entries {self.snapshot_index + 1} to {expected - 1} are missing"
            raise corrupt_record(name, 0, detail)

    # Writing

    async def save_record(self, record: MemberRecord) -> None:
        """Make ``record`` durable."""
        async with self._files:
            self._check_fault()
            try:
                await self.disk.write(MEMBER_FILE, frame(CODEC.encode(record), 0))
            except DiskFault as error:
                await self._fail(error)
                raise
        self.member_record = record

    async def append(self, entries: list[Entry]) -> int:
        """Add ``entries``, which replace what is at their indexes and after.

        Returns:
            A ticket for ``wait_durable``.
        """
        self._check_fault()
        if entries:
            first = entries[0].index
            if first <= self.last_index:
                # Otherwise a write in flight would make the replaced entries durable
                # after durable_index was set back.
                await self.wait_durable(self._batch.ticket)
                self.durable_index = min(self.durable_index, first - 1)
            for entry in entries:
                self._place(entry)
                self.bytes_since_snapshot += len(entry.data)
            self._batch.entries.extend(entries)
            self._batch.ticket += 1
            await self._work.set()
        return self._batch.ticket

    async def wait_durable(self, ticket: int) -> None:
        """Return once everything up to ``ticket`` is durable.

        Raises:
            DiskFault: If it could not be written.
        """
        while self._written_ticket < ticket:
            self._check_fault()
            await self._written.wait()
        self._check_fault()

    async def run(self) -> None:
        """Write what waits, in one frame and one sync each time, until a fault."""
        while True:
            await self._work.wait()
            self._work.clear()
            async with self._files:
                batch, self._batch = self._batch, Batch(ticket=self._batch.ticket)
                try:
                    for entries in batches(batch.entries):
                        await self._write_frame(entries)
                except DiskFault as error:
                    await self._fail(error)
                    raise
                if batch.entries:
                    self.durable_index = batch.entries[-1].index
                self._written_ticket = batch.ticket
            await self._written.notify()
            if self.on_durable is not None:
                await self.on_durable()

    async def _write_frame(self, entries: list[Entry]) -> None:
        payload = CODEC.encode(EntryBatch(tuple(entries)))
        data = frame(payload, self._segment_size)
        name = self._segment_name()
        await self.disk.append(name, data)
        await self.disk.sync(name)
        self._segment_size += len(data)

    async def _fail(self, error: DiskFault) -> None:
        self.fault = error
        if self.on_fault is not None:
            await self.on_fault(error)
        await self._written.notify()

    def _check_fault(self) -> None:
        if self.fault is not None:
            raise self.fault

    def _segment_name(self) -> str:
        return f"{SEGMENT_PREFIX}{self._segment:012d}"

    # Snapshots

    async def save_snapshot(self, header: SnapshotHeader, data: bytes) -> None:
        """Make a snapshot durable and drop the entries that it makes needless."""
        async with self._files:
            self._check_fault()
            if header.index <= self.snapshot_index:
                return
            try:
                await self._replace_files(header, data)
            except DiskFault as error:
                await self._fail(error)
                raise

    async def _replace_files(self, header: SnapshotHeader, data: bytes) -> None:
        contents = frame(CODEC.encode(header), 0) + data
        await self.disk.write(SNAPSHOT_FILE, contents)
        matches = self.term_at(header.index) == header.term
        self.snapshot = header
        if matches:
            self._drop_needless_entries()
        else:
            # The log is behind the snapshot, or differs from it.
            self._clear()
            self._batch.entries = []
            self.durable_index = header.index
        await self._start_segment()
        self.bytes_since_snapshot = 0

    async def _start_segment(self) -> None:
        """Write the kept entries to a new segment and remove the old one."""
        old_name = self._segment_name()
        self._segment += 1
        segment = b""
        for entries in batches(self.entries):
            payload = CODEC.encode(EntryBatch(tuple(entries)))
            segment += frame(payload, len(segment))
        await self.disk.write(self._segment_name(), segment)
        self._segment_size = len(segment)
        await self.disk.remove(old_name)

    def _drop_needless_entries(self) -> None:
        keep, size = 0, 0
        for entry in reversed(self.entries):
            needed = entry.index > self.snapshot_index
            size += len(entry.data)
            behind = self.snapshot_index - entry.index
            if not needed and (behind >= RETAINED_ENTRIES or size > RETAINED_BYTES):
                break
            keep += 1
        self.entries = self.entries[len(self.entries) - keep :]
        self._configurations = [
            item for item in self._configurations if item[0] > self.snapshot_index
        ]

    async def read_snapshot(self) -> tuple[SnapshotHeader, bytes] | None:
        """Return header and data of the snapshot, if there is one."""
        async with self._files:
            return await self._read_snapshot() if self.snapshot else None
