"""Disk of one member instance, which can be taken away from it."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio

from wagtailrun.exceptions import DiskFault, DiskFull
from wagtailrun.ports.disk import Disk

__all__ = ["MemberDisk"]

T = TypeVar("T")


class MemberDisk(Disk):
    """Passes operations on to a disk until it is detached.

    Args:
        disk: Disk that the member's files are on; it outlives this object.
    """

    def __init__(self, disk: Disk):
        self.disk = disk
        # Size of the newest write that was refused because the disk was full.
        self.refused_bytes = 0
        # Bytes appended since the last sync; some systems refuse them only there.
        self._appended_bytes = 0
        self._is_detached = False
        self._lock = curio.Lock()

    async def detach(self) -> None:
        """Refuse all further operations, and wait until the one in progress ends."""
        self._is_detached = True
        async with self._lock:
            pass

    async def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return await self._run(0, self.disk.names)

    async def read(self, name: str) -> bytes:
        """Return the contents of ``name``; empty if the file does not exist."""
        return await self._run(0, self.disk.read, name)

    async def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to ``name`` without a sync."""
        self._appended_bytes += len(data)
        await self._run(self._appended_bytes, self.disk.append, name, data)

    async def sync(self, name: str) -> None:
        """Make all data appended to ``name`` so far durable."""
        await self._run(self._appended_bytes, self.disk.sync, name)
        self._appended_bytes = 0

    async def resync(self, name: str, offset: int) -> None:
        """Make ``name`` and all names durable; write the tail again in place."""
        try:
            await self._run(0, self.disk.resync, name, offset)
        except DiskFull:
            self.refused_bytes = len(await self.read(name)) - offset
            raise

    async def write(self, name: str, data: bytes) -> None:
        """Replace the contents of ``name`` by ``data``, atomically and durably."""
        await self._run(len(data), self.disk.write, name, data)

    async def truncate(self, name: str, size: int) -> None:
        """Truncate ``name`` to ``size`` bytes durably."""
        await self._run(0, self.disk.truncate, name, size)

    async def remove(self, name: str) -> None:
        """Remove ``name`` durably; a missing file is no error."""
        await self._run(0, self.disk.remove, name)

    async def probe(self, size: int) -> None:
        """Write and sync a temporary file of ``size`` bytes, and remove it."""
        await self._run(size, self.disk.probe, size)

    def close(self) -> None:
        """Release what is open; the next operation opens it again."""
        self.disk.close()

    async def _run(
        self, size: int, function: Callable[..., Awaitable[T]], *arguments: object
    ) -> T:
        async with self._lock:
            if self._is_detached:
                raise DiskFault("the member that used this disk has stopped")
            try:
                return await function(*arguments)
            except DiskFull:
                self.refused_bytes = size
                raise
