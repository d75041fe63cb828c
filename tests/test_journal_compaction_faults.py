"""Tests of a log whose compaction fails while further entries wait to be written."""

import curio
import pytest

from tests.fake_disk import FakeDisk
from tests.test_journal_disk_faults import entries
from wagtailrun.consensus.journal import SEGMENT_PREFIX, Journal
from wagtailrun.consensus.journal_records import snapshot_checksum
from wagtailrun.consensus.messages import Configuration, SnapshotHeader
from wagtailrun.exceptions import DiskFault, DiskFull
from wagtailrun.virtual_time import run_virtual

SNAPSHOT = b"state"
HEADER = SnapshotHeader(
    index=50,
    term=1,
    commands=50,
    configuration=Configuration(),
    size=len(SNAPSHOT),
    checksum=snapshot_checksum(SNAPSHOT),
)


class FailingSegments(FakeDisk):
    """Disk that refuses whole segments, and creates files for refused appends."""

    error: type[DiskFault] | None = None

    async def write(self, name, data):
        if self.error and name.startswith(SEGMENT_PREFIX):
            await self._sync_point()
            raise self.error("injected")
        await super().write(name, data)

    async def append(self, name, data):
        if self.error is DiskFull:
            await self._sync_point()
            self.unsynced[name] = self.unsynced.get(name, b"")
            raise DiskFull("injected")
        await super().append(name, data)


async def reopen(disk):
    disk.end_process()
    disk.error = None
    journal = Journal(disk)
    await journal.open("m#2")
    return journal


@pytest.mark.parametrize("error", [DiskFull, DiskFault])
def test_failed_compaction_loses_no_entry(error):
    """Guards against entries that the next start drops with the segment they are in.

    A batch that waits while the compaction fails must not begin a newer segment.
    """

    async def main(clock):
        disk = FailingSegments(clock, 1, delay_ms=(1, 3))
        journal = Journal(disk)
        await journal.open("m#1")
        writer = await curio.spawn(journal.run)
        await journal.wait_durable(await journal.append(entries(1, 100)))
        disk.error = error
        compaction = await curio.spawn(journal.save_snapshot, HEADER, SNAPSHOT)
        await clock.sleep_ms(1)
        await journal.append(entries(101, 101))
        with pytest.raises(curio.TaskError):
            await compaction.join()
        await clock.sleep_ms(50)
        await writer.cancel()
        return [(await reopen(disk)).last_index for _ in range(2)]

    assert min(run_virtual(main)) >= 100


@pytest.mark.parametrize("stray", [[], entries(101, 101)])
def test_incomplete_newest_segment_replaces_no_other(stray):
    """Guards against folders that an earlier build left after a failed compaction."""

    async def main(clock):
        disk = FakeDisk()
        journal = Journal(disk)
        await journal.open("m#1")
        await curio.spawn(journal.run, daemon=True)
        await journal.wait_durable(await journal.append(entries(1, 100)))
        await disk.write("snapshot", await snapshot_file())
        other = FakeDisk()
        source = Journal(other)
        await source.open("m#1")
        source._insert_entry = source.entries.append
        await curio.spawn(source.run, daemon=True)
        if stray:
            await source.wait_durable(await source.append(stray))
        await disk.write(
            f"{SEGMENT_PREFIX}{2:012d}", await other.read(f"{SEGMENT_PREFIX}{1:012d}")
        )
        found = []
        for _ in range(2):
            disk.kill()
            journal = Journal(disk)
            await journal.open("m#2")
            found.append(journal.last_index)
        names = [name for name in await disk.names() if name.startswith(SEGMENT_PREFIX)]
        return found, len(names)

    last = 101 if stray else 100
    assert run_virtual(main) == ([last, last], 1)


async def snapshot_file():
    disk = FakeDisk()
    journal = Journal(disk)
    await journal.open("m#1")
    await journal.save_snapshot(HEADER, SNAPSHOT)
    return await disk.read("snapshot")
