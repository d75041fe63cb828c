"""Fake disk in virtual time with kills, torn writes, sync errors and a full disk."""

import random

import curio

from wagtailrun.exceptions import DiskFault, DiskFull
from wagtailrun.ports.disk import Disk


class FakeDisk(Disk):
    """Disk that stores synced data apart from data that a kill may lose.

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
        self.sync_points = 0
        self.kill_at: int | None = None
        self.on_kill = None
        self.fault: str | None = None
        self.ignore_sync = False
        self.generation = 0

    async def names(self):
        return sorted({*self.synced, *self.unsynced})

    async def read(self, name):
        return self.synced.get(name, b"") + self.unsynced.get(name, b"")

    async def append(self, name, data):
        await self._sync_point()
        if self.fault == "full":
            data = data[: len(data) // 2]
        self.unsynced[name] = self.unsynced.get(name, b"") + data
        self._raise_injected_fault()

    async def sync(self, name):
        await self._sync_point()
        self._raise_injected_fault()
        if not self.ignore_sync:
            data = self.synced.get(name, b"") + self.unsynced.pop(name, b"")
            self.synced[name] = data
        await self._sync_point()

    async def write(self, name, data):
        await self._sync_point()
        self._raise_injected_fault()
        self.unsynced.pop(name, None)
        self.synced[name] = data
        await self._sync_point()

    async def truncate(self, name, size):
        data = await self.read(name)
        await self.write(name, data[:size])

    async def remove(self, name):
        await self._sync_point()
        self._raise_injected_fault()
        self.synced.pop(name, None)
        self.unsynced.pop(name, None)

    async def probe(self, size):
        await self._sync_point()
        self._raise_injected_fault()

    def kill(self):
        """Lose unsynced data, except for a random prefix that may be damaged."""
        self.generation += 1
        for name, data in self.unsynced.items():
            tail = bytearray(data[: self.random.randint(0, len(data))])
            if tail and self.random.random() < 0.5:
                tail[self.random.randrange(len(tail))] ^= 0xFF
            self.synced[name] = self.synced.get(name, b"") + bytes(tail)
        self.unsynced.clear()
        self.kill_at = None

    def empty(self):
        """Lose all data."""
        self.kill()
        self.synced.clear()

    def _raise_injected_fault(self):
        if self.fault is not None:
            kind = DiskFull if self.fault == "full" else DiskFault
            raise kind(f"injected: {self.fault}")

    async def _sync_point(self):
        """Count a sync point, at which the process may be killed, and delay."""
        generation = self.generation
        self.sync_points += 1
        if self.kill_at is not None and self.sync_points >= self.kill_at:
            self.kill_at = None
            await self.on_kill()
        if self.clock is not None:
            await self.clock.sleep_ms(self.random.randint(*self.delay_ms))
        if generation != self.generation:
            # The calling process was killed, so it must not continue.
            await curio.sleep(1e9)
