"""Port to durable files in one data folder."""

from abc import ABC, abstractmethod

__all__ = ["Disk"]


class Disk(ABC):
    """Flat set of named files; contents last only once they are synced.

    Every method raises ``DiskFault`` when the operating system reports an error.
    """

    @abstractmethod
    async def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    @abstractmethod
    async def read(self, name: str) -> bytes:
        """Return the whole contents of ``name``; empty if it does not exist."""

    @abstractmethod
    async def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to ``name``, which is created when missing; not synced."""

    @abstractmethod
    async def sync(self, name: str) -> None:
        """Make everything appended to ``name`` so far durable."""

    @abstractmethod
    async def write(self, name: str, data: bytes) -> None:
        """Replace ``name`` by ``data`` atomically and durably."""

    @abstractmethod
    async def truncate(self, name: str, size: int) -> None:
        """Cut ``name`` to ``size`` bytes durably."""

    @abstractmethod
    async def remove(self, name: str) -> None:
        """Remove ``name`` durably; a missing file is no error."""
