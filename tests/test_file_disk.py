"""Tests of ``FileDisk`` on the real file system."""

import contextlib
import os
from pathlib import Path

import curio
import pytest

from wagtailrun.adapters.file_disk import FileDisk
from wagtailrun.exceptions import DiskFault, DiskFull


def test_contents(tmp_path):
    """Guards against files whose contents differ from what was written."""

    async def main():
        disk = FileDisk(tmp_path / "new" / "folder")
        assert await disk.names() == []
        assert await disk.read("a") == b""
        await disk.append("a", b"one")
        await disk.append("a", b"two")
        await disk.sync("a")
        await disk.write("b", b"three")
        await disk.write("a", b"four")
        await disk.append("a", b"five")
        await disk.truncate("a", 6)
        assert await disk.read("a") == b"fourfi"
        (tmp_path / "new" / "folder" / "b.tmp").write_bytes(b"left over")
        assert await disk.names() == ["a", "b"]
        await disk.remove("b")
        await disk.remove("b")
        assert await disk.names() == ["a"]
        disk.close()

    curio.run(main)


@pytest.mark.parametrize(
    ("call", "arguments", "broken"),
    [
        ("append", ("a", b"x"), "write"),
        ("sync", ("a",), "fdatasync"),
        ("write", ("a", b"x"), "fdatasync"),
        ("write", ("a", b"x"), "fsync"),
        ("resync", ("a", 0), "write"),
        ("resync", ("a", 0), "fsync"),
        ("truncate", ("a", 0), "ftruncate"),
        ("probe", (10,), "write"),
        ("probe", (10,), "fdatasync"),
    ],
)
def test_errors_become_disk_faults(tmp_path, monkeypatch, call, arguments, broken):
    """Guards against an error of the operating system that is taken for success."""

    def fail(*arguments):
        raise OSError(28, "No space left on device")

    async def main():
        disk = FileDisk(tmp_path)
        await disk.append("a", b"1")
        monkeypatch.setattr(os, broken, fail)
        with pytest.raises(DiskFull, match="No space left") as caught:
            await getattr(disk, call)(*arguments)
        assert caught.value.__cause__.errno == 28
        assert await disk.names() == ["a"]

    curio.run(main)


def test_other_errors_do_not_count_as_a_full_disk(tmp_path, monkeypatch):
    """Guards against a broken disk that is waited for as if it were full."""

    def fail(*arguments):
        raise OSError(5, "Input/output error")

    async def main():
        disk = FileDisk(tmp_path)
        monkeypatch.setattr(os, "fdatasync", fail)
        with pytest.raises(DiskFault) as caught:
            await disk.write("a", b"x")
        assert not isinstance(caught.value, DiskFull)

    curio.run(main)


def test_probe_leaves_no_file(tmp_path):
    """Guards against probes that use up the space they look for."""

    async def main():
        disk = FileDisk(tmp_path)
        await disk.append("a", b"1")
        await disk.probe(1_000)
        assert sorted(item.name for item in tmp_path.iterdir()) == ["a", "lock"]

    curio.run(main)


def test_new_names_are_synced_in_the_folder(tmp_path, monkeypatch):
    """Guards against a synced file whose directory entry is lost in a power failure."""
    synced = []
    real = os.fsync

    def fsync(descriptor):
        synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))
        real(descriptor)

    monkeypatch.setattr(os, "fsync", fsync)

    async def main():
        disk = FileDisk(tmp_path)
        await disk.names()
        assert synced == synced_at_opening(tmp_path)
        for call in (disk.append, disk.write):
            synced.clear()
            await call(call.__name__, b"x")
            assert synced == [str(tmp_path)]
        synced.clear()
        await disk.remove("append")
        assert synced == [str(tmp_path)]

    curio.run(main)


def synced_at_opening(folder):
    """Return the folders whose names an earlier process may have left unsynced."""
    folders = []
    for parent in folder.parents:
        if not os.access(parent, os.R_OK | os.W_OK):
            break
        folders.append(str(parent))
    return folders


@pytest.mark.parametrize("refused", [None, "data"])
def test_all_names_above_a_folder_of_an_earlier_build_are_synced(
    tmp_path, monkeypatch, refused
):
    """Guards against a data folder that is lost as a whole in a power failure.

    Earlier builds made all missing levels and synced the name of the last one only. A
    process that may not write to a folder has created none in it or above it.
    """
    folder = tmp_path / "data" / "control" / "consensus"
    folder.mkdir(parents=True)
    synced = []
    real_fsync, real_access = os.fsync, os.access

    def fsync(descriptor):
        synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))
        real_fsync(descriptor)

    def access(path, mode):
        return Path(path).name != refused and real_access(path, mode)

    monkeypatch.setattr(os, "fsync", fsync)
    monkeypatch.setattr(os, "access", access)
    monkeypatch.chdir(tmp_path)

    async def main():
        for path in (folder, Path("data/control/consensus")):
            synced.clear()
            disk = FileDisk(path)
            await disk.names()
            assert synced == synced_at_opening(folder)
            await disk.names()
            assert synced == synced_at_opening(folder)
            disk.close()

    curio.run(main)
    expected = [folder.parent] if refused else [*folder.parents][:3]
    assert synced[:3] == [str(each) for each in expected]


class ProcessEnded(BaseException):
    """The process ended at a step of the creation of its folder."""


class FolderNames:
    """Which names of folders a loss of power would remove, and an end at one step.

    Args:
        patch: Replaces the functions of the operating system.
        end_at: Number of the step at which ``error`` is raised, from 1 on.
        error: What is raised there.
    """

    def __init__(self, patch, end_at, error):
        self.steps = 0
        self.end_at = end_at
        self.error = error
        self.unsynced = set()
        self.real_fsync = os.fsync
        self.real_mkdir = os.mkdir
        patch.setattr(os, "fsync", self.fsync)
        patch.setattr(os, "mkdir", self.mkdir)

    def step(self):
        self.steps += 1
        if self.steps == self.end_at:
            raise self.error

    def mkdir(self, path, *arguments):
        self.step()
        self.real_mkdir(path, *arguments)
        self.unsynced.add(Path(path))
        self.step()

    def fsync(self, descriptor):
        self.step()
        self.real_fsync(descriptor)
        folder = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        self.unsynced = {path for path in self.unsynced if path.parent != folder}


@pytest.mark.parametrize("error", [ProcessEnded(), OSError(5, "Input/output error")])
@pytest.mark.parametrize("end_at", range(1, 16))
def test_folder_whose_creation_was_interrupted_is_durable(
    tmp_path, monkeypatch, end_at, error
):
    """Guards against synced files in a folder that a loss of power removes.

    The step that makes the name of a new folder durable is due once, and was left out
    by the next start, or the next attempt, if the first one ended before it.
    """
    names = FolderNames(monkeypatch, end_at, error)

    async def main():
        disk = FileDisk(tmp_path / "data" / "control" / "consensus")
        with contextlib.suppress(ProcessEnded, DiskFault):
            await disk.append("a", b"x")
        if isinstance(error, ProcessEnded):
            disk.close()
            disk = FileDisk(disk.folder)
        await disk.append("a", b"y")
        await disk.sync("a")
        disk.close()

    curio.run(main)
    assert names.steps > 6
    assert names.unsynced == set()


def test_folder_in_one_that_may_not_be_read_is_opened(tmp_path, monkeypatch):
    """Guards against a data folder that its platform made and that cannot be used."""
    folder = tmp_path / "made"
    folder.mkdir()
    real = os.open

    def refuse(path, *arguments):
        if Path(path) == tmp_path:
            raise PermissionError(13, "Permission denied")
        return real(path, *arguments)

    monkeypatch.setattr(os, "open", refuse)
    monkeypatch.setattr(os, "access", lambda path, mode: Path(path) != tmp_path)

    async def main():
        disk = FileDisk(folder)
        await disk.append("a", b"x")
        assert await disk.names() == ["a"]
        disk.close()

    curio.run(main)


def test_folder_is_locked(tmp_path):
    """Guards against two processes that write to the same folder."""

    async def main():
        first, second = FileDisk(tmp_path), FileDisk(tmp_path)
        await first.append("a", b"x")
        with pytest.raises(DiskFault, match="in use"):
            await second.names()
        first.close()
        assert await second.names() == ["a"]
        second.close()

    curio.run(main)


def test_resync_writes_the_tail_again_in_place(tmp_path, monkeypatch):
    """Guards against data that a failed sync left out of all later syncs."""
    calls = []

    def trace(name):
        real = getattr(os, name)

        def traced(descriptor, *arguments):
            path = os.readlink(f"/proc/self/fd/{descriptor}")
            calls.append((name, path, *map(bytes, arguments)))
            return real(descriptor, *arguments)

        monkeypatch.setattr(os, name, traced)

    trace("write")
    trace("fsync")

    async def main():
        disk = FileDisk(tmp_path)
        await disk.append("a", b"first")
        await disk.append("a", b"second")
        disk.close()
        calls.clear()
        disk = FileDisk(tmp_path)
        await disk.resync("a", 5)
        path = str(tmp_path / "a")
        assert calls == [
            *(("fsync", parent) for parent in synced_at_opening(tmp_path)),
            ("write", path, b"second"),
            ("fsync", path),
            ("fsync", str(tmp_path)),
        ]
        await disk.append("a", b"third")
        assert await disk.read("a") == b"firstsecondthird"

    curio.run(main)


@pytest.mark.parametrize("broken", ["write", "fdatasync", "replace"])
def test_refused_write_leaves_no_temporary_file(tmp_path, monkeypatch, broken):
    """Guards against a refused copy that uses up the space that is missing."""

    def fail(*arguments):
        raise OSError(28, "No space left on device")

    async def main():
        disk = FileDisk(tmp_path)
        await disk.write("a", b"old")
        with monkeypatch.context() as patch:
            patch.setattr(Path if broken == "replace" else os, broken, fail)
            with pytest.raises(DiskFull):
                await disk.write("a", b"new")
        assert sorted(item.name for item in tmp_path.iterdir()) == ["a", "lock"]
        assert await disk.read("a") == b"old"

    curio.run(main)


def test_temporary_files_of_an_earlier_process_are_removed(tmp_path):
    """Guards against copies left by a killed process that keep their space for good."""

    async def main():
        (tmp_path / "snapshot.tmp").write_bytes(b"left over")
        (tmp_path / "probe.tmp").write_bytes(b"left over")
        disk = FileDisk(tmp_path)
        await disk.names()
        assert [item.name for item in tmp_path.iterdir()] == ["lock"]

    curio.run(main)


def test_name_whose_sync_failed_is_synced_later(tmp_path, monkeypatch):
    """Guards against synced data in a file whose name a loss of power removes."""
    synced = []
    real = os.fsync

    def fsync(descriptor):
        synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))
        if len(synced) == 1:
            raise OSError(28, "No space left on device")
        real(descriptor)

    async def main():
        disk = FileDisk(tmp_path)
        await disk.names()
        monkeypatch.setattr(os, "fsync", fsync)
        with pytest.raises(DiskFull):
            await disk.append("a", b"x")
            await disk.sync("a")
        await disk.append("a", b"y")
        await disk.sync("a")
        assert synced == [str(tmp_path), str(tmp_path)]

    curio.run(main)


def test_names_of_an_earlier_process_are_synced(tmp_path, monkeypatch):
    """Guards against a renamed file that a later process uses and then loses."""
    synced = []
    real = os.fsync

    def fsync(descriptor):
        synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))
        real(descriptor)

    async def main():
        (tmp_path / "a").write_bytes(b"renamed")
        monkeypatch.setattr(os, "fsync", fsync)
        disk = FileDisk(tmp_path)
        await disk.append("a", b"x")
        await disk.sync("a")
        assert synced == [*synced_at_opening(tmp_path), str(tmp_path)]

    curio.run(main)


def test_close_releases_everything_after_an_error(tmp_path, monkeypatch):
    """Guards against a folder that stays locked, so that it cannot be opened again."""
    real = os.close

    def close(descriptor):
        real(descriptor)
        raise OSError(28, "No space left on device")

    async def main():
        disk = FileDisk(tmp_path)
        for name in ("a", "b"):
            await disk.append(name, b"x")
        with monkeypatch.context() as patch:
            patch.setattr(os, "close", close)
            disk.close()
        again = FileDisk(tmp_path)
        await again.append("a", b"y")
        assert await again.read("a") == b"xy"
        assert not disk.descriptors_by_name

    curio.run(main)
