"""Keeps what the threads of processes did while a part of a test failed.

The figures tell a process that waited for a processor from one that waited for
something else: a full pipe, a lock, a disk.
"""

import os
import time
from contextlib import contextmanager
from pathlib import Path

import attrs

NS_PER_SECOND = 1e9
# Where the kernel tells nothing, for example on other systems than Linux.
UNKNOWN = "?"


@attrs.frozen
class ThreadFigures:
    """What a thread had used and what it was doing at one moment.

    Attributes:
        ran_s: How long it had run, in all.
        waited_s: How long it had waited for a processor, in all.
        state: Letter of its state: R runs, or is ready to; S sleeps; D waits for a
            disk; T is stopped.
        waits_in: Function of the kernel that it waits in.
    """

    ran_s: float
    waited_s: float
    state: str
    waits_in: str


def text_of(file):
    """Return the text of a file of the kernel, empty if there is none."""
    try:
        return file.read_text()
    except OSError:
        return ""


def read_times_s(folder):
    """Return how long a thread ran and waited for a processor in all, or None."""
    times = text_of(folder / "schedstat").split()
    if len(times) < 2:
        return None
    return int(times[0]) / NS_PER_SECOND, int(times[1]) / NS_PER_SECOND


def read_state(folder):
    """Return the letter of the state of a thread, empty if it has ended."""
    return text_of(folder / "stat").rpartition(")")[2].strip()[:1]


def read_thread(folder):
    """Return the figures of the thread that a folder of /proc tells of, or None."""
    times_s, state = read_times_s(folder), read_state(folder)
    if times_s is None or not state:
        return None
    waits_in = text_of(folder / "wchan").strip()
    return ThreadFigures(*times_s, state, waits_in or UNKNOWN)


def read_threads(pid):
    """Return the figures of the threads of a process by thread identifier.

    There are none for a process that has ended, and on systems that keep none.
    """
    try:
        folders = list(Path(f"/proc/{pid}/task").iterdir())
    except OSError:
        return {}
    read = {int(folder.name): read_thread(folder) for folder in folders}
    return {thread: figures for thread, figures in read.items() if figures is not None}


def load_text():
    try:
        return " ".join(f"{load:.1f}" for load in os.getloadavg())
    except OSError:
        return UNKNOWN


def describe_thread(pid, thread, before, now):
    """Return one line on what a thread did between two looks."""
    name = "main thread" if thread == pid else f"thread {thread}"
    if before is None:
        name, before = f"{name} (new)", ThreadFigures(0, 0, "", "")
    return (
        f"  {name}: ran {now.ran_s - before.ran_s:.3f} s, waited for a processor "
        f"{now.waited_s - before.waited_s:.3f} s, state {now.state}, in {now.waits_in}"
    )


def describe(pid, before_by_thread, now_by_thread):
    """Return lines on what a process did between two looks."""
    label = "the test's own process" if pid == os.getpid() else f"process {pid}"
    lines = [
        describe_thread(pid, thread, before_by_thread.get(thread), now)
        for thread, now in sorted(now_by_thread.items())
    ]
    ended = len(before_by_thread.keys() - now_by_thread.keys())
    return [f"{label}: {len(lines)} threads, {ended} others ended", *lines]


@contextmanager
def figures_on_failure(*pids):
    """Add the figures of processes, and of this one, to an error that leaves the block.

    Args:
        pids: Identifiers of the processes.
    """
    watched = (*pids, os.getpid())
    began_s = time.monotonic()
    before_by_pid = {pid: read_threads(pid) for pid in watched}
    try:
        yield
    except BaseException as error:
        took_s = time.monotonic() - began_s
        lines = [f"after {took_s:.3f} s, load averages {load_text()}:"]
        for pid in watched:
            lines += describe(pid, before_by_pid[pid], read_threads(pid))
        error.add_note("\n".join(lines))
        raise
