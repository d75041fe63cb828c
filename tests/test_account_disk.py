"""Tests of the account files on a disk that is full for some seconds."""

import os
from collections import Counter
from types import SimpleNamespace

import curio
import pytest

from tests.fake_disk import FakeDisk
from tests.test_accounts import (
    DAY_MS,
    INTERVAL_MS,
    System,
    attempt,
    message_of,
    refusal_table,
)
from wagtailrun.accounts import log as account_log
from wagtailrun.accounts.cells import Source
from wagtailrun.accounts.disk import AccountDisk
from wagtailrun.accounts.store import AccountStore
from wagtailrun.adapters.file_disk import FileDisk
from wagtailrun.clock import SystemClock
from wagtailrun.control.period_closing import PeriodCloser
from wagtailrun.exceptions import DiskFull
from wagtailrun.logs import events
from wagtailrun.registry.messages import SweepOrders, Swept
from wagtailrun.virtual_time import run_virtual

FULL_MS = 3_000
RETRY_MS = 500
# The closer runs every 5 s in the product.
STEP_MS = 500


class ControlLog:
    """Replicated state of a single control member, as ``PeriodCloser`` uses it."""

    def __init__(self, clock):
        self.clock = clock
        self.log = SimpleNamespace(leadership=1)
        self.registry = SimpleNamespace(closed_periods_by_name={})

    async def propose(self, command, leadership):
        if isinstance(command, SweepOrders):
            return Swept(0, 0)
        return self.registry.closed_periods_by_name.setdefault(command.period, command)


class Member:
    """Control member with a disk, and the rows that it has acknowledged."""

    def __init__(self, clock, disk):
        self.clock = clock
        self.disk = disk
        self.control_log = ControlLog(clock)
        self.acknowledged = Counter()
        self.sent = Counter()
        self.first_ms = clock.wall_ms() - 3 * DAY_MS
        self.tasks = []

    async def start(self):
        self.store = AccountStore(self.clock, self.disk, "control-0")
        await self.store.open()
        closer = PeriodCloser(self.control_log, self.store)
        self.tasks = [
            await curio.spawn(self.store.run, daemon=True),
            await curio.spawn(closer.run, daemon=True),
        ]

    async def stop(self):
        for task in self.tasks:
            await task.cancel()

    async def send(self, number, count, day=0):
        """Send rows until they are acknowledged, as an entry does."""
        source = Source(f"entry-{number % 3}", 7)
        table = refusal_table(self.first_ms + day * DAY_MS, count, minutes=3)
        _raise_cells(self.sent, source, table)
        while not (await self.store.handle(message_of(table, source))).kept:
            await self.clock.sleep_ms(RETRY_MS)
        _raise_cells(self.acknowledged, source, table)
        await self.check_loss_of_power()

    async def check_loss_of_power(self):
        """Check the files as they would be if the power were lost now."""
        disk = FakeDisk()
        for name in ("synced", "unsynced", "replaced", "skipped"):
            setattr(disk, name, dict(getattr(self.disk, name)))
        disk.kill()
        store = AccountStore(self.clock, disk, "control-0")
        await store.open()
        assert self.acknowledged <= await counted(store) <= self.sent


def _raise_cells(counts, source, table):
    for key, column, value in table.cells():
        cell = (source, key, column)
        counts[cell] = max(counts[cell], value)


async def counted(store):
    """Return the sums over the open and all closed periods."""
    sums = Counter()
    for period in (*store.digests_by_period, ""):
        for line in await store.lines(period):
            sums[line.source, line.key, line.column] += line.amount
    return sums


async def work(member):
    """Send rows, let their period be closed, and send late rows."""
    for count in range(1, 7):
        await member.send(count, count)
    await member.clock.sleep_ms(3 * STEP_MS)
    for count in range(7, 10):
        await member.send(count, count)
        await member.send(count, count, day=1)
    await member.clock.sleep_ms(6 * STEP_MS)


async def end_full_disks(disk, clock):
    """Give a full disk space again after ``FULL_MS``."""
    while True:
        await clock.sleep_ms(50)
        if disk.fault is not None:
            await clock.sleep_ms(FULL_MS)
            disk.fault = None


@pytest.fixture(autouse=True)
def small_sizes(monkeypatch):
    monkeypatch.setattr(account_log, "MAX_LOG_BYTES", 900)
    monkeypatch.setattr("wagtailrun.control.period_closing.STEP_INTERVAL_MS", STEP_MS)


@pytest.fixture
def logged(monkeypatch):
    """Return the list of the events that are logged."""
    logged = []
    monkeypatch.setattr(events, "log", lambda event, **fields: logged.append(event))
    return logged


@pytest.mark.parametrize("end", ["end_process", "kill"])
def test_full_disk_at_each_point_of_writing(logged, end):
    """Guards against a member that refuses rows for good after its disk was full.

    Nothing acknowledged may be lost and nothing counted twice, neither in memory nor
    after a restart.
    """

    async def main(clock, point):
        disk = FakeDisk(clock, seed=point)
        await curio.spawn(end_full_disks, disk, clock, daemon=True)
        disk.fault_at = (point, "full")
        member = Member(clock, disk)
        await member.start()
        async with curio.timeout_after(120):
            await work(member)
            # Another one, during the work on the repaired files.
            disk.fault_at = (disk.sync_points + point, "full")
            await work(member)
            await clock.sleep_ms(FULL_MS)
        assert await counted(member.store) == member.acknowledged
        await member.stop()
        getattr(disk, end)()
        await member.start()
        assert await counted(member.store) == member.acknowledged
        closed = member.control_log.registry.closed_periods_by_name
        assert closed.keys() == member.store.digests_by_period.keys()
        names = await disk.names()
        assert not [name for name in names if name.startswith("accounts-prepared")]
        return len(closed)

    waits = 0
    for point in range(1, 100):
        logged.clear()
        assert run_virtual(main, point) == 2
        assert events.ACCOUNTS_DISK_FAILED not in logged
        full = logged.count(events.DISK_FULL)
        assert full <= 3
        assert logged.count(events.DISK_SPACE_AVAILABLE) == full
        waits += full
    assert waits > 100


def test_restart_after_a_sync_error_at_each_point(logged):
    """Guards against a log that is damaged later by data whose sync had failed.

    The operating system returns such data to the next process, but does not write it
    with later data.
    """

    async def main(clock, point):
        disk = FakeDisk(clock, seed=point)
        disk.fault_at = (point, "sync error")
        member = Member(clock, disk)
        await member.start()
        worker = await curio.spawn(work, member, daemon=True)
        await clock.sleep_ms(12 * STEP_MS)
        await worker.cancel()
        await member.stop()
        disk.end_process()
        disk.fault = disk.fault_at = None
        await member.start()
        async with curio.timeout_after(120):
            await work(member)
        await member.check_loss_of_power()

    for point in range(1, 60):
        run_virtual(main, point)
    assert logged.count(events.ACCOUNTS_DISK_FAILED) > 40
    assert events.DISK_FULL not in logged


@pytest.mark.parametrize("end", ["end_process", "kill"])
def test_end_of_process_at_each_point_of_writing(end):
    """Guards against rows that are reported stored and lost with the power later."""

    async def main(clock, point):
        disk = FakeDisk(clock, seed=point)
        member = Member(clock, disk)

        async def on_kill():
            for task in (worker, *member.tasks):
                await task.cancel(blocking=False)
            getattr(disk, end)()

        disk.on_kill = on_kill
        disk.kill_at = point
        worker = await curio.spawn(_start_and_work, member, daemon=True)
        await clock.sleep_ms(20 * STEP_MS)
        assert disk.kill_at is None
        await member.start()
        await member.check_loss_of_power()
        async with curio.timeout_after(120):
            await work(member)

    async def _start_and_work(member):
        await member.start()
        await work(member)

    for point in range(1, 50):
        run_virtual(main, point)


def test_entry_keeps_rows_while_disks_are_full(monkeypatch):
    """Guards against rows that an entry drops, or never hands over, after refusals."""
    monkeypatch.setattr("tests.test_accounts.MemoryDisk", FakeDisk)

    async def main(clock):
        system = System(clock)
        await system.start()
        entry = system.entries[0]
        for disk in system.disks:
            disk.fault = "full"
            attempt(entry)
            assert not await entry.hand_over()
            await clock.sleep_ms(60_000)
            assert entry._unacknowledged()
            disk.fault = None
            await clock.sleep_ms(10 * INTERVAL_MS)
            assert not entry._unacknowledged()
        for disk in system.disks:
            disk.kill()
            store = AccountStore(clock, disk, "control-9")
            await store.open()
            assert await counted(store) == await counted(system.stores[0])

    run_virtual(main)


def test_fault_after_a_period_is_frozen_counts_nothing_twice():
    """Guards against rows of a closed period that the next one records again."""

    async def main(clock):
        disk = FakeDisk(clock)
        member = Member(clock, disk)
        await member.start()
        await member.send(0, 1)
        period = member.store.closable()
        offer = await member.store.prepare_close(period)

        async def fail(name):
            raise DiskFull("injected")

        disk.remove = fail
        with pytest.raises(DiskFull):
            await member.store.close(period, offer.digest)
        assert await counted(member.store) == member.acknowledged
        assert await member.store.lines("") == []

    run_virtual(main)


def test_compaction_without_room_waits_for_its_size(logged):
    """Guards against a store that tries the same refused compaction all the time."""

    async def main(clock):
        disk = FakeDisk(clock)
        member = Member(clock, disk)
        await member.start()
        await member.send(0, 1)
        # Room for the log, but not for a copy of the rows beside it.
        disk.capacity = account_log.MAX_LOG_BYTES + 50
        async with curio.ignore_after(60):
            for count in range(2, 20):
                await member.send(count, count)
        assert logged.count(events.DISK_FULL) == 1
        assert not logged.count(events.DISK_SPACE_AVAILABLE)
        disk.capacity = None
        await clock.sleep_ms(FULL_MS)
        await member.send(0, 20)
        assert logged.count(events.DISK_SPACE_AVAILABLE) == 1

    run_virtual(main)


def test_rows_in_flight_at_a_fault_are_not_appended_after_it():
    """Guards against a log that is damaged in the middle by the next waiting sender."""

    async def main(clock):
        disk = FakeDisk(clock)
        member = Member(clock, disk)
        await member.start()
        await member.send(0, 1)
        disk.fault = "full"
        tables = [refusal_table(member.first_ms, count) for count in (2, 3)]
        tasks = [
            await curio.spawn(member.store.handle, message_of(table))
            for table in tables
        ]
        assert not (await tasks[0].join()).kept
        disk.fault = None
        assert not (await tasks[1].join()).kept
        await member.stop()
        await member.start()
        assert await counted(member.store) == member.acknowledged

    run_virtual(main)


def test_full_file_system_of_a_running_member(tmp_path, monkeypatch):
    """Guards against a repair that works on the fake disk only."""
    full = []
    real = os.write

    def write(descriptor, data):
        if full and str(tmp_path) in os.readlink(f"/proc/self/fd/{descriptor}"):
            real(descriptor, data[: len(data) // 2])
            raise OSError(28, "No space left on device")
        return real(descriptor, data)

    monkeypatch.setattr(os, "write", write)

    async def main():
        clock = SystemClock()
        disk = FileDisk(tmp_path)
        store = AccountStore(clock, disk, "control-0")
        await store.open()
        task = await curio.spawn(store.run, daemon=True)
        # The rows are counted by minute, and a new one may begin meanwhile.
        first_ms = clock.wall_ms()
        for count in range(1, 5):
            message = message_of(refusal_table(first_ms, count))
            full.append(True)
            assert not (await store.handle(message)).kept
            assert not (await store.handle(message)).kept
            full.clear()
            async with curio.timeout_after(10):
                while not (await store.handle(message)).kept:
                    await clock.sleep_ms(20)
        await task.cancel()
        disk.close()
        again = AccountStore(clock, FileDisk(tmp_path), "control-0")
        await again.open()
        assert await counted(again) == await counted(store)
        assert set((await counted(again)).values()) == {4}

    curio.run(main)


def test_repairs_that_are_refused_although_there_is_space_become_rare(monkeypatch):
    """Guards against a log that is flooded where probes succeed and writes do not."""
    logged = []
    monkeypatch.setattr(events, "log", lambda event, **fields: logged.append(event))

    async def main(clock):
        async def repair():
            raise DiskFull("injected: refused")

        state = AccountDisk(clock, FakeDisk(clock), repair)
        await curio.spawn(state.run, daemon=True)
        await state.report_full(DiskFull("injected"), 100)
        await clock.sleep_ms(60_000)

    run_virtual(main)
    assert 2 <= logged.count(events.DISK_FULL) < 20
