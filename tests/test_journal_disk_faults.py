"""Tests of the journal after disk faults, ends of the process and losses of power."""

import itertools
import random

import attrs
import curio
import pytest

from tests.fake_disk import FakeDisk
from wagtailrun.consensus import journal as journal_module
from wagtailrun.consensus.journal import Journal
from wagtailrun.consensus.journal_records import snapshot_checksum
from wagtailrun.consensus.messages import (
    Configuration,
    Entry,
    EntryKind,
    MemberRecord,
    SnapshotHeader,
)
from wagtailrun.exceptions import DiskFault, DiskFull
from wagtailrun.virtual_time import run_virtual

IDENTITY = "m#1"


def entries(first, last, term=1):
    return [
        Entry(index, term, EntryKind.COMMAND, b"%d" % index * 20)
        for index in range(first, last + 1)
    ]


@attrs.define
class Promises:
    """What a member has reported as durable to others.

    Attributes:
        terms_by_index: Terms of the durable entries.
        record: Newest saved member record, None before the first.
        attempted: Record whose write did not return.
    """

    terms_by_index: dict[int, int] = attrs.field(factory=dict)
    record: MemberRecord | None = None
    attempted: MemberRecord | None = None

    def check(self, journal):
        last = max(self.terms_by_index, default=0)
        assert journal.last_index >= last
        assert journal.first_index <= journal.snapshot_index + 1
        for index, term in self.terms_by_index.items():
            if index >= journal.first_index or index == journal.snapshot_index:
                assert journal.term_at(index) == term
        indexes = [entry.index for entry in journal.entries]
        assert indexes == list(range(journal.first_index, journal.last_index + 1))
        if self.record is not None:
            assert journal.member_record in (self.record, self.attempted)

    def adopt(self, journal):
        """Add what a journal reports as durable once it is open."""
        self.terms_by_index = {
            entry.index: entry.term
            for entry in journal.entries
            if entry.index <= journal.durable_index
        }
        if journal.snapshot is not None:
            self.terms_by_index[journal.snapshot.index] = journal.snapshot.term
        self.record, self.attempted = journal.member_record, None


class Host:
    """Process that works on a journal, and opens it again after each disk fault."""

    def __init__(self, disk, seed):
        self.disk = disk
        self.random = random.Random(seed)
        self.promises = Promises()
        self.term = 1

    async def open(self):
        journal = Journal(self.disk)
        await journal.open(IDENTITY)
        self.promises.check(journal)
        self.promises.adopt(journal)
        await curio.spawn(_run, journal, daemon=True)
        return journal

    async def work(self, journal):
        """Write in all ways until a fault."""
        for step in itertools.cycle(
            (self.append, self.vote, self.replace, self.compact, self.append)
        ):
            await step(journal)
            if self.random.random() < 0.05:
                await self.receive_snapshot(journal)

    async def append(self, journal):
        first = journal.last_index + 1
        await self.write(journal, entries(first, first + 2, self.term))

    async def replace(self, journal):
        """Let a new leader replace the newest entry."""
        self.term += 1
        first = max(journal.last_index, journal.snapshot_index + 1, 1)
        self.promises.terms_by_index.pop(first, None)
        await self.write(journal, entries(first, first + 1, self.term))

    async def write(self, journal, batch):
        await journal.wait_durable(await journal.append(batch))
        for entry in batch:
            self.promises.terms_by_index[entry.index] = entry.term

    async def vote(self, journal):
        self.term += 1
        record = MemberRecord(IDENTITY, "c", self.term, f"other#{self.term}")
        self.promises.attempted = record
        await journal.save_record(record)
        self.promises.record = record

    async def compact(self, journal):
        index = journal.last_index - 1
        await self.save_snapshot(journal, index, journal.term_at(index))

    async def receive_snapshot(self, journal):
        self.term += 1
        self.promises.terms_by_index.clear()
        await self.save_snapshot(journal, journal.last_index + 10, self.term)

    async def save_snapshot(self, journal, index, term):
        data = b"state" * 20
        checksum = snapshot_checksum(data)
        configuration = Configuration()
        await journal.save_snapshot(
            SnapshotHeader(index, term, index, configuration, len(data), checksum),
            data,
        )
        self.promises.terms_by_index[index] = term


async def _run(journal):
    try:
        await journal.run()
    except DiskFault:
        return


def lose_nothing(disk):
    pass


def end_process(disk):
    disk.end_process()


def lose_power(disk):
    disk.kill()


async def reopen(host, failures):
    """Open the journal again, after ``failures`` attempts on the failing disk."""
    for _ in range(failures):
        try:
            return await host.open()
        except DiskFault:
            assert host.disk.fault is not None
    host.disk.fault = None
    return await host.open()


@pytest.mark.parametrize("fault", ["full", "sync error"])
@pytest.mark.parametrize("before", [lose_nothing, end_process, lose_power])
@pytest.mark.parametrize("after", [lose_nothing, end_process, lose_power])
def test_disk_fault_at_each_point_of_writing(monkeypatch, fault, before, after):
    """Guards against lost entries and votes, or a refused log, after disk faults.

    ``before`` happens between the fault and the next opening, ``after`` follows it.
    """
    monkeypatch.setattr(journal_module, "RETAINED_ENTRIES", 2)

    async def main(clock, point):
        disk = FakeDisk(clock, seed=point)
        host = Host(disk, point)
        for episode in range(5):
            start = point if episode == 0 else host.random.randint(1, 40)
            disk.fault_at = (disk.sync_points + start, fault)
            with pytest.raises(DiskFault):
                await host.work(await host.open())
            before(disk)
            await reopen(host, episode % 3)
            disk.fault = None
            after(disk)
        disk.fault_at = None
        journal = await host.open()
        disk.kill()
        await host.open()
        return journal.last_index

    for point in range(1, 90):
        run_virtual(main, point)


@pytest.mark.parametrize("end", [end_process, lose_power])
def test_end_of_process_at_each_point_of_writing(monkeypatch, end):
    """Guards against a vote or an entry that is reported durable and then lost.

    The process ends between a write and its sync; the next one reports what it reads
    as durable, and then the power is lost.
    """
    monkeypatch.setattr(journal_module, "RETAINED_ENTRIES", 2)

    async def main(clock, point):
        disk = FakeDisk(clock, seed=point)
        host = Host(disk, point)

        async def on_kill():
            end(disk)

        disk.on_kill = on_kill
        for episode in range(4):
            start = point if episode == 0 else host.random.randint(1, 40)
            disk.kill_at = disk.sync_points + start
            await curio.spawn(_start, host, daemon=True)
            await clock.sleep_ms(1_000)
            assert disk.kill_at is None
            await host.open()
            disk.kill()
        await host.open()

    async def _start(host):
        await host.work(await host.open())

    for point in range(1, 90):
        run_virtual(main, point)


def used_bytes(disk):
    return sum(map(len, disk.synced.values())) + sum(map(len, disk.unsynced.values()))


async def filled_journal(disk, count):
    journal = Journal(disk)
    await journal.open(IDENTITY)
    await curio.spawn(_run, journal, daemon=True)
    await journal.wait_durable(await journal.append(entries(1, count)))
    return journal


async def take_snapshot(journal, index):
    checksum = snapshot_checksum(b"state")
    header = SnapshotHeader(index, 1, index, Configuration(), 5, checksum)
    await journal.save_snapshot(header, b"state")


def test_compaction_without_room_for_retained_entries_frees_space():
    """Guards against a disk that stays full because the log cannot be compacted."""

    async def main(clock):
        disk = FakeDisk(clock)
        journal = await filled_journal(disk, 100)
        full = used_bytes(disk)
        disk.capacity = full + 600
        await take_snapshot(journal, 98)
        assert used_bytes(disk) < full // 10
        await journal.wait_durable(await journal.append(entries(101, 110)))
        disk.kill()
        again = Journal(disk)
        await again.open(IDENTITY)
        assert again.entries == entries(99, 110)

    run_virtual(main)


def test_compaction_that_a_full_disk_interrupted_is_finished_at_opening(monkeypatch):
    """Guards against a log that grows by an interval with each refused compaction."""
    monkeypatch.setattr(journal_module, "RETAINED_ENTRIES", 4)

    async def main(clock):
        disk = FakeDisk(clock)
        journal = await filled_journal(disk, 100)
        # Room for the snapshot, but not for the entries that it does not cover.
        disk.capacity = used_bytes(disk) + 150
        with pytest.raises(DiskFull):
            await take_snapshot(journal, 90)
        size = used_bytes(disk)
        disk.capacity = None
        again = Journal(disk)
        await again.open(IDENTITY)
        assert again.entries == entries(87, 100)
        assert used_bytes(disk) < size // 4

    run_virtual(main)
