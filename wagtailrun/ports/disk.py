"""Port to durable files in one data folder."""

from abc import ABC, abstractmethod

__all__ = ["Disk"]


class Disk(ABC):
    """Flat set of named files; contents are durable only once they are synced.

    Every method raises ``DiskFault`` when the operating system reports an error, and
    its subclass ``DiskFull`` when there is no space.
    """

    @abstractmethod
    async def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    @abstractmethod
    async def read(self, name: str) -> bytes:
        """Return the contents of ``name``; empty if the file does not exist."""

    @abstractmethod
    async def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to ``name`` without a sync; create the file if needed."""

    @abstractmethod
    async def sync(self, name: str) -> None:
        """Make all data appended to ``name`` so far durable."""

    @abstractmethod
    async def resync(self, name: str, offset: int) -> None:
        """Make the contents of the existing file ``name`` and all names durable.

        Used on files that an earlier process may have written without a sync. The data
        from ``offset`` on is written again in place: after a sync that failed, the
        operating system may return data that later syncs do not write.
        """

    @abstractmethod
    async def write(self, name: str, data: bytes) -> None:
        """Replace the contents of ``name`` by ``data``, atomically and durably."""

    @abstractmethod
    async def truncate(self, name: str, size: int) -> None:
        """Truncate ``name`` to ``size`` bytes durably."""

    @abstractmethod
    async def remove(self, name: str) -> None:
        """Remove ``name`` durably; a missing file is no error."""

    @abstractmethod
    async def probe(self, size: int) -> None:
        """Write and sync a temporary file of ``size`` bytes, and remove it.

        Raises:
            DiskFull: If there is no space for it.
            DiskFault: If it cannot be written for another reason.
        """

    def close(self) -> None:  # noqa: B027 - disks in memory have nothing to release
        """Release what is open; the next operation opens it again."""
