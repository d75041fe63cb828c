"""Fake disk in virtual time with kills, losses of power and disk faults."""

import random

import curio

from wagtailrun.exceptions import DiskFault, DiskFull
from wagtailrun.ports.disk import Disk


class FakeDisk(Disk):
    """Disk that stores synced data apart from data that a loss of power may lose.

    As on a real system, reads return what was written, synced or not, also to a
    process that starts after the end of another one.

    Args:
        clock: Clock of the process, or None for no delays.
        seed: Seed of the delays and of the torn writes.
        delay_ms: Shortest and longest delay at a sync point, in milliseconds.
    """

    def __init__(self, clock=None, seed=0, delay_ms=(0, 3)):
        self.clock = clock
        self.random = random.Random(seed)
        self.delay_ms = delay_ms
        self.synced: dict[str, bytes] = {}
        self.unsynced: dict[str, bytes] = {}
        # Earlier contents of files that were replaced, truncated or removed without a
        # successful sync since; a loss of power may bring them back.
        self.replaced: dict[str, bytes | None] = {}
        # Ranges whose sync failed: reads return them, but later syncs skip them.
        self.skipped: dict[str, tuple[int, int]] = {}
        self.sync_points = 0
        self.kill_at: int | None = None
        self.on_kill = None
        self.fault: str | None = None
        # Sync point at which a fault begins, and the fault.
        self.fault_at: tuple[int, str] | None = None
        # Bytes that fit on the disk, None for any number.
        self.capacity: int | None = None
        self.ignore_sync = False
        self.generation = 0

    async def names(self):
        return sorted({*self.synced, *self.unsynced})

    async def read(self, name):
        return self.synced.get(name, b"") + self.unsynced.get(name, b"")

    async def append(self, name, data):
        await self._sync_point()
        written = data[: len(data) // 2] if self.fault == "full" else data
        written = written[: self._free_bytes(len(written))]
        self.unsynced[name] = self.unsynced.get(name, b"") + written
        self._raise_injected_fault()
        self._raise_if_full(len(data) - len(written))

    async def sync(self, name):
        await self._sync_point()
        self._skip_unsynced(name)
        self._raise_injected_fault()
        self._make_durable(name)
        await self._sync_point()

    async def resync(self, name, offset):
        await self._sync_point()
        self._skip_unsynced(name)
        self._raise_injected_fault()
        self._clip_skipped(name, offset)
        self._make_durable(name)
        await self._sync_point()

    async def write(self, name, data):
        await self._replace(name, data, 0, new_bytes=len(data))

    async def truncate(self, name, size):
        data = await self.read(name)
        await self._replace(name, data[:size], size)

    async def remove(self, name):
        await self._replace(name, None, 0)

    async def probe(self, size):
        await self._sync_point()
        self._raise_injected_fault()
        self._raise_if_full(size)

    def end_process(self):
        """End the process, which loses no data that it has written."""
        self.generation += 1
        self.kill_at = None

    def kill(self):
        """Lose the power: lose unsynced data, except for a random, damaged prefix."""
        self.end_process()
        for name, data in self.unsynced.items():
            tail = bytearray(data[: self.random.randint(0, len(data))])
            if tail and self.random.random() < 0.5:
                tail[self.random.randrange(len(tail))] ^= 0xFF
            self.synced[name] = self.synced.get(name, b"") + bytes(tail)
        self.unsynced.clear()
        for name, (start, end) in self.skipped.items():
            data = self.synced.get(name, b"")
            lost = bytes(max(min(end, len(data)) - start, 0))
            self.synced[name] = data[:start] + lost + data[end:]
        self.skipped.clear()
        for name, data in self.replaced.items():
            if data is None:
                self.synced.pop(name, None)
            else:
                self.synced[name] = data
        self.replaced.clear()

    def _skip_unsynced(self, name):
        """Let later syncs skip the unsynced data if this one fails."""
        if self.fault is not None and self.unsynced.get(name):
            size = len(self.synced.get(name, b""))
            start = min(size, self.skipped.get(name, (size, 0))[0])
            self.skipped[name] = (start, size + len(self.unsynced[name]))

    def _make_durable(self, name):
        if not self.ignore_sync:
            data = self.synced.get(name, b"") + self.unsynced.pop(name, b"")
            self.synced[name] = data
            self.replaced.clear()

    async def _replace(self, name, data, size_kept, new_bytes=0):
        """Replace a file, or remove it if ``data`` is None, and sync the folder."""
        await self._sync_point()
        self._raise_injected_fault()
        self._raise_if_full(new_bytes)
        if name in self.synced or name in self.unsynced:
            before = self.synced.get(name, b"")
        else:
            before = None
        self.replaced.setdefault(name, before)
        self.unsynced.pop(name, None)
        self.synced.pop(name, None)
        if data is not None:
            self.synced[name] = data
        self._clip_skipped(name, size_kept)
        await self._sync_point()
        self._raise_injected_fault()
        self.replaced.clear()
        await self._sync_point()

    def _clip_skipped(self, name, size):
        start, end = self.skipped.pop(name, (size, size))
        if start < min(end, size):
            self.skipped[name] = (start, min(end, size))

    def empty(self):
        """Lose all data."""
        self.kill()
        self.synced.clear()

    def _free_bytes(self, wanted):
        if self.capacity is None:
            return wanted
        files = (*self.synced.values(), *self.unsynced.values())
        return min(wanted, max(self.capacity - sum(map(len, files)), 0))

    def _raise_if_full(self, size):
        """Raise DiskFull if ``size`` bytes do not fit beside the present files."""
        if self._free_bytes(size) < size:
            raise DiskFull(f"{size} bytes do not fit")

    def _raise_injected_fault(self):
        if self.fault is not None:
            kind = DiskFull if self.fault == "full" else DiskFault
            raise kind(f"injected: {self.fault}")

    async def _sync_point(self):
        """Count a sync point, at which the process may be killed, and delay."""
        generation = self.generation
        self.sync_points += 1
        if self.fault_at is not None and self.sync_points >= self.fault_at[0]:
            self.fault = self.fault_at[1]
            self.fault_at = None
        if self.kill_at is not None and self.sync_points >= self.kill_at:
            self.kill_at = None
            await self.on_kill()
        if self.clock is not None:
            await self.clock.sleep_ms(self.random.randint(*self.delay_ms))
        if generation != self.generation:
            # The calling process was killed, so it must not continue.
            await curio.sleep(1e9)
