"""Durable files in a folder of the file system."""

import contextlib
import errno
import fcntl
import os
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import curio

from wagtailrun.exceptions import DiskFault, DiskFull
from wagtailrun.ports.disk import Disk

__all__ = ["FileDisk"]

T = TypeVar("T")

TEMPORARY_SUFFIX = ".tmp"
LOCK_NAME = "lock"
PROBE_NAME = "probe" + TEMPORARY_SUFFIX
READ_BYTES = 1024 * 1024
# A quota that is used up refuses writes as a full disk does.
NO_SPACE_ERRORS = (errno.ENOSPC, errno.EDQUOT)


class FileDisk(Disk):
    """Files of one folder; every operation runs in a worker thread.

    The folder is created when missing. It is locked until ``close`` or the end of the
    process, so that no second process writes to it. Temporary files are removed when a
    ``write`` fails, and those of an earlier process when the folder is opened; they
    are never listed.

    Args:
        folder: Path of the folder.
    """

    def __init__(self, folder: str | Path):
        self.folder = Path(folder)
        self.descriptors_by_name: dict[str, int] = {}
        self.lock_descriptor: int | None = None
        # Whether names have changed since the last sync of the folder. An earlier
        # process may have left unsynced ones.
        self.names_changed = True

    async def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return await _in_thread(self._names)

    async def read(self, name: str) -> bytes:
        """Return the contents of ``name``; empty if it does not exist."""
        return await _in_thread(self._read, name)

    async def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to ``name`` without a sync."""
        await _in_thread(self._append, name, data)

    async def sync(self, name: str) -> None:
        """Make all data appended to ``name`` durable."""
        await _in_thread(self._sync, name)

    async def resync(self, name: str, offset: int) -> None:
        """Make ``name`` durable; write the data from ``offset`` on again."""
        await _in_thread(self._resync, name, offset)

    async def write(self, name: str, data: bytes) -> None:
        """Replace the contents of ``name`` by ``data``, atomically and durably."""
        await _in_thread(self._write, name, data)

    async def truncate(self, name: str, size: int) -> None:
        """Truncate ``name`` to ``size`` bytes durably."""
        await _in_thread(self._truncate, name, size)

    async def remove(self, name: str) -> None:
        """Remove ``name`` durably."""
        await _in_thread(self._remove, name)

    async def probe(self, size: int) -> None:
        """Write and sync a temporary file of ``size`` bytes, and remove it."""
        await _in_thread(self._probe, size)

    def close(self) -> None:
        """Close all open files and unlock the folder."""
        for name in list(self.descriptors_by_name):
            self._close_file(name)
        if self.lock_descriptor is not None:
            descriptor, self.lock_descriptor = self.lock_descriptor, None
            _close_descriptor(descriptor)

    def _names(self) -> list[str]:
        self._open_folder()
        return sorted(
            item.name
            for item in self.folder.iterdir()
            if item.is_file()
            and item.suffix != TEMPORARY_SUFFIX
            and item.name != LOCK_NAME
        )

    def _read(self, name: str) -> bytes:
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return b""

    def _append(self, name: str, data: bytes) -> None:
        _write_all(self._descriptor(name), data)

    def _sync(self, name: str) -> None:
        os.fdatasync(self._descriptor(name))

    def _resync(self, name: str, offset: int) -> None:
        self._open_folder()
        # Not the descriptor for appends: with O_APPEND, Linux ignores the offset.
        descriptor = os.open(self.folder / name, os.O_RDWR | os.O_CLOEXEC)
        try:
            os.lseek(descriptor, offset, os.SEEK_SET)
            data = _read_rest(descriptor)
            os.lseek(descriptor, offset, os.SEEK_SET)
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self._sync_names()

    def _write(self, name: str, data: bytes) -> None:
        self._open_folder()
        self._close_file(name)
        temporary = self.folder / (name + TEMPORARY_SUFFIX)
        try:
            _write_synced(temporary, data)
            self.names_changed = True
            temporary.replace(self.folder / name)
        except OSError:
            _remove_temporary(temporary)
            raise
        self._sync_names()

    def _truncate(self, name: str, size: int) -> None:
        descriptor = self._descriptor(name)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def _remove(self, name: str) -> None:
        self._open_folder()
        self._close_file(name)
        with contextlib.suppress(FileNotFoundError):
            (self.folder / name).unlink()
            self.names_changed = True
        self._sync_names()

    def _probe(self, size: int) -> None:
        self._open_folder()
        path = self.folder / PROBE_NAME
        try:
            _write_synced(path, bytes(size))
        finally:
            _remove_temporary(path)

    def _descriptor(self, name: str) -> int:
        """Return the descriptor of ``name``, which is created durably when missing."""
        if name not in self.descriptors_by_name:
            self._open_folder()
            path = self.folder / name
            if not path.exists():
                self.names_changed = True
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self.descriptors_by_name[name] = os.open(path, flags, 0o600)
        self._sync_names()
        return self.descriptors_by_name[name]

    def _sync_names(self) -> None:
        """Make all names durable."""
        if self.names_changed:
            _sync_folder(self.folder)
            self.names_changed = False

    def _close_file(self, name: str) -> None:
        """Close ``name`` if it is open."""
        descriptor = self.descriptors_by_name.pop(name, None)
        if descriptor is not None:
            _close_descriptor(descriptor)

    def _open_folder(self) -> None:
        """Create and lock the folder, once."""
        if self.lock_descriptor is not None:
            return
        _make_folder(self.folder, 0o700)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        descriptor = os.open(self.folder / LOCK_NAME, flags, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise OSError(f"{self.folder} is in use by another process") from error
        self.lock_descriptor = descriptor
        for path in self.folder.glob("*" + TEMPORARY_SUFFIX):
            path.unlink()


async def _in_thread(function: Callable[..., T], *arguments: object) -> T:
    try:
        # Otherwise the thread could still be writing after its task was cancelled.
        async with curio.disable_cancellation():
            result: T = await curio.run_in_thread(function, *arguments)
            return result
    except OSError as error:
        kind = DiskFull if error.errno in NO_SPACE_ERRORS else DiskFault
        raise kind(f"{function.__name__[1:]} failed: {error}") from error


def _close_descriptor(descriptor: int) -> None:
    # The descriptor is released also when close reports that earlier writes failed.
    # Those were not synced, so nobody relies on them.
    with contextlib.suppress(OSError):
        os.close(descriptor)


def _remove_temporary(path: Path) -> None:
    # The caller reports the error of the write; what is left is removed at opening.
    with contextlib.suppress(OSError):
        path.unlink()


def _write_synced(path: Path, data: bytes) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
    descriptor = os.open(path, flags, 0o600)
    try:
        _write_all(descriptor, data)
        os.fdatasync(descriptor)
    finally:
        os.close(descriptor)


def _read_rest(descriptor: int) -> bytes:
    chunks = []
    while chunk := os.read(descriptor, READ_BYTES):
        chunks.append(chunk)
    return b"".join(chunks)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _make_folder(folder: Path, mode: int = 0o777) -> None:
    """Create ``folder`` and its missing parents, and make their names durable.

    An earlier process may have ended between the creation of a folder and the sync of
    its name, and earlier builds synced the last name only, so the names of existing
    folders are synced as well.
    """
    folder = folder.absolute()
    if folder.is_dir():
        for parent in folder.parents:
            # A process that may not write to a parent has created no folder in it.
            if not os.access(parent, os.R_OK | os.W_OK):
                break
            _sync_folder(parent)
    else:
        _make_folder(folder.parent)
        folder.mkdir(mode=mode, exist_ok=True)
        _sync_folder(folder.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
