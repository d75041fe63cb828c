"""Disk of one member instance: what it was refused, and what may not be on the disk."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio

from wagtailrun.exceptions import DiskFault, DiskFull
from wagtailrun.ports.disk import Disk

__all__ = ["MemberDisk"]

T = TypeVar("T")


class MemberDisk(Disk):
    """Passes operations on to a disk until it is detached.

    After a failed sync the kernel may show data that is not on the disk, and a later
    sync of the same data may succeed without writing it. The files concerned are
    therefore listed, so that they can be written again before they are read.

    Args:
        disk: Disk that the member's files are on; it outlives this object.
    """

    def __init__(self, disk: Disk):
        self.disk = disk
        # Size of the newest write that was refused because the disk was full.
        self.refused_bytes = 0
        # Bytes appended since the last sync, for each file whose data may not be on
        # the disk.
        self.unsynced_bytes_by_name: dict[str, int] = {}
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
        before = self.unsynced_bytes_by_name.get(name)
        self.unsynced_bytes_by_name[name] = (before or 0) + len(data)
        try:
            await self._run(len(data), self.disk.append, name, data)
        except DiskFull:
            # Only a part of the record was written, which recovery cuts off.
            if before is None:
                del self.unsynced_bytes_by_name[name]
            raise

    async def sync(self, name: str) -> None:
        """Make all data appended to ``name`` so far durable."""
        size = self.unsynced_bytes_by_name.setdefault(name, 0)
        await self._run(size, self.disk.sync, name)
        del self.unsynced_bytes_by_name[name]

    async def resync(self, name: str, offset: int) -> None:
        """Make ``name`` and all names durable; write the tail again in place."""
        await self._run(0, self.disk.resync, name, offset)

    async def write(self, name: str, data: bytes) -> None:
        """Replace the contents of ``name`` by ``data``, atomically and durably."""
        self.unsynced_bytes_by_name.setdefault(name, 0)
        await self._run(len(data), self.disk.write, name, data)
        del self.unsynced_bytes_by_name[name]

    async def truncate(self, name: str, size: int) -> None:
        """Truncate ``name`` to ``size`` bytes durably."""
        self.unsynced_bytes_by_name.setdefault(name, 0)
        await self._run(0, self.disk.truncate, name, size)
        del self.unsynced_bytes_by_name[name]

    async def remove(self, name: str) -> None:
        """Remove ``name`` durably; a missing file is no error."""
        await self._run(0, self.disk.remove, name)
        self.unsynced_bytes_by_name.pop(name, None)

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
