"""Makes the disk of a process full while a file with its name exists.

Python imports this module at its start if its folder is in ``PYTHONPATH``. It acts on
regular files below ``TEST_DATA_FOLDER``/NAME, and refuses writes to them while
``TEST_DATA_FOLDER``/NAME.full exists. While NAME.broken exists, syncs fail. While
NAME.slow exists, each write and sync takes as many milliseconds longer as it says.
While NAME.stalled exists, writes and syncs wait.
"""

import errno
import os
import stat
import time
from contextlib import suppress
from pathlib import Path

ROOT = os.environ["TEST_DATA_FOLDER"]
STALL_POLL_S = 0.02


def _flag_file(descriptor, flag):
    """Return the file of a flag; None if the disk does not hold this descriptor."""
    if not stat.S_ISREG(os.fstat(descriptor).st_mode):
        return None
    path = os.readlink(f"/proc/self/fd/{descriptor}")
    if not path.startswith(ROOT + os.sep):
        return None
    name, _, rest = path.removeprefix(ROOT + os.sep).partition(os.sep)
    return Path(ROOT, f"{name}.{flag}") if rest else None


def _has_flag(descriptor, flag):
    file = _flag_file(descriptor, flag)
    return file is not None and file.exists()


def _is_full(descriptor):
    return _has_flag(descriptor, "full")


def _no_space():
    return OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def _refuse_when_full(function):
    def replacement(descriptor, *arguments):
        if _is_full(descriptor):
            raise _no_space()
        return function(descriptor, *arguments)

    return replacement


def _fail_when_broken(function):
    def replacement(descriptor):
        if _has_flag(descriptor, "broken"):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        return function(descriptor)

    return replacement


def _write_part_when_full(function):
    """Write a first part before the error, as the last free blocks allow."""
    torn = set()

    def replacement(descriptor, data):
        if not _is_full(descriptor):
            torn.clear()
            return function(descriptor, data)
        size = len(data) // 2
        if descriptor in torn or not size:
            raise _no_space()
        torn.add(descriptor)
        return function(descriptor, bytes(data)[:size])

    return replacement


def _wait_when_slow(function):
    def replacement(descriptor, *arguments):
        while _has_flag(descriptor, "stalled"):
            time.sleep(STALL_POLL_S)
        file = _flag_file(descriptor, "slow")
        # It may be removed, or not written yet.
        with suppress(OSError, ValueError):
            if file is not None and file.exists():
                time.sleep(int(file.read_text()) / 1_000)
        return function(descriptor, *arguments)

    return replacement


os.write = _wait_when_slow(_write_part_when_full(os.write))
os.ftruncate = _wait_when_slow(_refuse_when_full(os.ftruncate))
os.fdatasync = _wait_when_slow(_fail_when_broken(_refuse_when_full(os.fdatasync)))
