"""Measures how long processes of a test, or a thread of its own, stood still.

Counted is only what the processes cannot help: time in which they were stopped, or
ready to run without a processor. What a process computes, or waits for, is not.
"""

import threading
import time
from pathlib import Path

import attrs
import curio

from tests.process_figures import read_state, read_times_s

INTERVAL_S = 0.02
STOPPED_STATES = ("T", "t")


@attrs.frozen
class Standstill:
    """Time in which a process stood still, within an interval between two looks."""

    began_s: float
    ended_s: float
    held_s: float


def sum_held_s(standstills, began_s, ended_s):
    """Return how much of some standstills lies between two times, in seconds."""
    return sum(
        min(each.held_s, each.ended_s - began_s, ended_s - each.began_s)
        for each in standstills
        if each.ended_s > began_s and each.began_s < ended_s
    )


def run_delay_s(pid):
    """Return how long the first thread of a process waited for a processor, in all.

    It is 0 for a process that has ended, and on systems that do not count it.
    """
    _, waited_s = read_times_s(Path(f"/proc/{pid}")) or (0.0, 0.0)
    return waited_s


def is_stopped(pid):
    return read_state(Path(f"/proc/{pid}")) in STOPPED_STATES


class StandstillWatch:
    """Records when one of some processes, or that of the test, stood still.

    Args:
        pids: Processes to watch.
    """

    def __init__(self, pids):
        self.pids = pids
        self.standstills = []
        self.seen_s = time.monotonic()
        self.delays_s = self._delays_s()

    def _delays_s(self):
        return {pid: run_delay_s(pid) for pid in self.pids}

    def look(self):
        """Record what happened since the last look.

        Of several processes the one that was held longest counts: they mostly stand
        still together.
        """
        now_s, delays_s = time.monotonic(), self._delays_s()
        passed_s = now_s - self.seen_s
        held_s = max(passed_s - INTERVAL_S, 0.0)
        for pid in self.pids:
            held_s = max(held_s, delays_s[pid] - self.delays_s[pid])
            if is_stopped(pid):
                held_s = passed_s
        held_s = min(held_s, passed_s)
        self.standstills.append(Standstill(self.seen_s, now_s, held_s))
        self.seen_s, self.delays_s = now_s, delays_s

    async def run(self):
        """Look at the processes until cancelled."""
        while True:
            await curio.sleep(INTERVAL_S)
            self.look()

    def held_s(self, began_s, ended_s):
        """Return for how long a process stood still between two times, in seconds."""
        self.look()
        return sum_held_s(self.standstills, began_s, ended_s)


class ProcessorWaits:
    """Records when the thread that makes it waited for a processor, from within.

    Work of the thread that gives no turns is no such wait, however long it is.
    """

    def __init__(self):
        self.folder = Path(f"/proc/self/task/{threading.get_native_id()}")
        self.standstills = []
        self.seen_s, self.waited_s = time.monotonic(), self._waited_s()

    def _waited_s(self):
        """Return how long the thread waited in all; 0 where it is not counted."""
        _, waited_s = read_times_s(self.folder) or (0.0, 0.0)
        return waited_s

    def look(self):
        """Record how long the thread waited since the last look."""
        now_s, waited_s = time.monotonic(), self._waited_s()
        held_s = min(waited_s - self.waited_s, now_s - self.seen_s)
        self.standstills.append(Standstill(self.seen_s, now_s, held_s))
        self.seen_s, self.waited_s = now_s, waited_s

    def held_s(self, began_s, ended_s):
        """Return how long the thread waited between two times, in seconds."""
        self.look()
        return sum_held_s(self.standstills, began_s, ended_s)


class NoWaits:
    """Stands for ``ProcessorWaits`` under virtual time, which waits do not move."""

    def look(self):
        pass

    def held_s(self, began_s, ended_s):
        return 0.0
