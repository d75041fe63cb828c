"""Tests of the journal on a fake disk."""

import curio
import pytest

from tests.fake_disk import FakeDisk
from wagtailrun.consensus import journal as journal_module
from wagtailrun.consensus.journal import Journal
from wagtailrun.consensus.journal_records import MAGIC, snapshot_checksum
from wagtailrun.consensus.messages import (
    Configuration,
    Entry,
    EntryKind,
    MemberRecord,
    SnapshotHeader,
)
from wagtailrun.exceptions import CorruptRecord, DiskFault
from wagtailrun.virtual_time import run_virtual


def entries(first, last, term=1, size=20):
    return [
        Entry(index, term, EntryKind.COMMAND, b"%d" % index * size)
        for index in range(first, last + 1)
    ]


async def opened(disk):
    journal = Journal(disk)
    await journal.open("m#1")
    task = await curio.spawn(_run, journal, daemon=True)
    return journal, task


async def _run(journal):
    try:
        await journal.run()
    except DiskFault:
        return


async def write(journal, batch):
    await journal.wait_durable(await journal.append(batch))


async def snapshot(journal, index, data=b"state"):
    header = SnapshotHeader(
        index, 1, index, Configuration(), len(data), snapshot_checksum(data)
    )
    await journal.save_snapshot(header, data)


def log_name(disk):
    return max(name for name in disk.synced if name.startswith("log-"))


def written_disk():
    """Return a disk with ten entries in ten frames."""

    async def main(clock):
        disk = FakeDisk(clock)
        journal, _ = await opened(disk)
        for index in range(1, 11):
            await write(journal, entries(index, index))
        return disk

    disk = run_virtual(main)
    disk.clock = None
    return disk


def reopen(disk):
    async def main(clock):
        journal = Journal(disk)
        await journal.open("m#2")
        return journal

    return run_virtual(main)


def test_recovery_returns_what_was_written():
    """Guards against recovery of other entries or another vote than were written."""

    async def main(clock):
        disk = FakeDisk(clock)
        journal, _ = await opened(disk)
        await write(journal, entries(1, 5))
        await write(journal, entries(3, 4, term=2))
        await journal.save_record(MemberRecord("m#1", "c", 2, "other#1"))
        disk.kill()
        return journal, disk

    journal, disk = run_virtual(main)
    disk.clock = None
    again = reopen(disk)
    assert again.entries == journal.entries == entries(1, 2) + entries(3, 4, term=2)
    assert again.member_record == MemberRecord("m#1", "c", 2, "other#1")
    assert again.durable_index == 4


@pytest.mark.parametrize("cut", range(1, 40))
def test_torn_tail_is_cut(cut):
    """Guards against a failed start, or a partial record, after a torn write."""
    disk = written_disk()
    name = log_name(disk)
    disk.synced[name] = disk.synced[name][:-cut]
    assert reopen(disk).entries == entries(1, 9)
    assert reopen(disk).last_index == 9


@pytest.mark.parametrize("position", range(0, 900, 30))
def test_corrupt_record_in_the_middle_is_refused(position):
    """Guards against acknowledged entries being truncated like a torn tail."""
    disk = written_disk()
    name = log_name(disk)
    data = bytearray(disk.synced[name])
    last_frame = data.rfind(MAGIC)
    data[position % last_frame] ^= 1
    disk.synced[name] = bytes(data)
    with pytest.raises(CorruptRecord, match=rf"{name}.*offset \d+.*empty it"):
        reopen(disk)


@pytest.mark.parametrize("name", ["member", "snapshot"])
def test_corrupt_or_missing_file_is_refused(name):
    """Guards against a member that runs without the vote or the log that it had."""

    async def main(clock):
        disk = FakeDisk(clock)
        journal, _ = await opened(disk)
        await write(journal, entries(1, 300))
        await snapshot(journal, 290)
        return disk

    disk = run_virtual(main)
    disk.clock = None
    good = disk.synced[name]
    disk.synced[name] = good[:-3] + b"xyz"
    with pytest.raises(CorruptRecord):
        reopen(disk)
    del disk.synced[name]
    with pytest.raises(CorruptRecord):
        reopen(disk)
    disk.synced[name] = good
    del disk.synced[log_name(disk)]
    with pytest.raises(CorruptRecord):
        reopen(disk)


@pytest.mark.parametrize("seed", range(60))
def test_kill_at_each_sync_point(seed):
    """Guards against loss of acknowledged entries by a kill in a write or snapshot."""

    async def main(clock):
        disk = FakeDisk(clock, seed)
        acknowledged = []

        async def work():
            journal, _ = await opened(disk)
            for index in range(1, 60, 3):
                await write(journal, entries(index, index + 2))
                acknowledged.append(index + 2)
                if index % 12 == 1:
                    await snapshot(journal, index)

        async def kill():
            disk.kill()

        disk.on_kill = kill
        disk.kill_at = 1 + seed
        await curio.spawn(work, daemon=True)
        await clock.sleep_ms(2_000)
        disk.kill()
        journal = Journal(disk)
        await journal.open("m#2")
        return acknowledged, journal

    acknowledged, journal = run_virtual(main)
    assert journal.last_index >= max(acknowledged, default=0)
    assert journal.entries == entries(journal.first_index, journal.last_index)
    assert journal.first_index <= journal.snapshot_index + 1


@pytest.mark.parametrize("fault", ["sync error", "full"])
def test_disk_fault_is_final(fault):
    """Guards against acknowledging entries that a failed write left only in memory."""

    async def main(clock):
        disk = FakeDisk(clock)
        journal, _ = await opened(disk)
        await write(journal, entries(1, 2))
        disk.fault = fault
        with pytest.raises(DiskFault):
            await write(journal, entries(3, 4))
        disk.fault = None
        with pytest.raises(DiskFault):
            await journal.append(entries(5, 6))
        with pytest.raises(DiskFault):
            await journal.save_record(MemberRecord("m#1"))
        assert journal.durable_index == 2
        disk.kill()
        return disk

    disk = run_virtual(main)
    disk.clock = None
    assert reopen(disk).entries[:2] == entries(1, 2)


def test_waiting_entries_share_a_sync():
    """Guards against a separate sync for each of many concurrent commands."""

    async def main(clock):
        disk = FakeDisk(clock, delay_ms=(5, 5))
        journal, _ = await opened(disk)
        before = disk.sync_points
        tickets = [await journal.append(entries(i, i)) for i in range(1, 101)]
        await journal.wait_durable(tickets[-1])
        return disk.sync_points - before

    assert run_virtual(main) <= 6


def test_files_do_not_grow_with_history():
    """Guards against files, and so recovery times, that grow with every command."""

    async def main(clock):
        disk = FakeDisk(clock)
        journal, _ = await opened(disk)
        sizes = []
        for index in range(1, 5_001, 100):
            await write(journal, entries(index, index + 99))
            if index % 300 == 1:
                await snapshot(journal, index)
                sizes.append(sum(map(len, disk.synced.values())))
        return sizes

    sizes = run_virtual(main)
    assert sizes[-1] < 1.5 * sizes[1]


def test_log_before_a_received_snapshot_is_discarded(monkeypatch):
    """Guards against a gap in the log.

    It comes about by a kill after a received snapshot is written and before a new
    segment replaces the old log.
    """

    async def main(clock):
        disk = FakeDisk(clock)
        journal, _ = await opened(disk)
        await write(journal, entries(1, 5))
        with monkeypatch.context() as patch:
            patch.setattr(journal_module.Journal, "_start_segment", _hang)
            await curio.spawn(snapshot, journal, 50, daemon=True)
            await clock.sleep_ms(100)
        disk.kill()
        for expected in (50, 60):
            journal, _ = await opened(disk)
            assert journal.last_index == expected
            if expected == 50:
                await write(journal, entries(51, 60))

    async def _hang(self):
        await curio.sleep(1e9)

    run_virtual(main)
