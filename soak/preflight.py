"""Checks of the machine before a soak starts anything."""

import os
import resource
from contextlib import suppress
from pathlib import Path

from attrs import define

from soak.fleet import Requirements
from soak.records import SoakNotStarted

__all__ = ["Machine", "check_machine", "measure_machine"]

MEMORY_FILE = Path("/proc/meminfo")
AVAILABLE = "MemAvailable:"
KB_PER_MB = 1_024
# Stands for a limit that the operating system does not set.
UNLIMITED = 1 << 30


@define(frozen=True, kw_only=True)
class Machine:
    """What the machine has left for a run.

    Attributes:
        memory_mb: Memory that can be used without swapping.
        descriptors: Descriptors that one process may have.
        processes: Processes that this user may start, beside those that run.
    """

    memory_mb: int
    descriptors: int
    processes: int


def _limit(kind: int) -> int:
    soft, _ = resource.getrlimit(kind)
    return UNLIMITED if soft == resource.RLIM_INFINITY else soft


def _own_processes() -> int:
    """Return how many processes of this user run, with their threads."""
    count = 0
    for entry in os.scandir("/proc"):
        # A process may end meanwhile.
        with suppress(OSError):
            if entry.name.isdecimal() and entry.stat().st_uid == os.getuid():
                count += len(os.listdir(f"{entry.path}/task"))
    return count


def measure_machine() -> Machine:
    """Return what the machine has left now."""
    (line,) = (
        line
        for line in MEMORY_FILE.read_text().splitlines()
        if line.startswith(AVAILABLE)
    )
    return Machine(
        memory_mb=int(line.split()[1]) // KB_PER_MB,
        descriptors=_limit(resource.RLIMIT_NOFILE),
        processes=_limit(resource.RLIMIT_NPROC) - _own_processes(),
    )


def check_machine(requirements: Requirements, machine: Machine | None = None) -> None:
    """Check that the machine has what a run needs.

    Args:
        requirements: What the run needs.
        machine: What the machine has; measured by default.

    Raises:
        SoakNotStarted: With one line for each thing that it has too little of.
    """
    machine = machine or measure_machine()
    shortages = []
    if machine.memory_mb < requirements.memory_mb:
        shortages.append(
            f"memory: the run needs {requirements.memory_mb} MB, "
            f"{machine.memory_mb} MB are available; use a smaller --size, or end "
            "other programs"
        )
    if machine.descriptors < requirements.descriptors:
        shortages.append(
            f"descriptors: a process needs {requirements.descriptors}, the limit is "
            f"{machine.descriptors}; raise it with ulimit -n {requirements.descriptors}"
        )
    if machine.processes < requirements.processes:
        shortages.append(
            f"processes: the run starts {requirements.processes}, this user may start "
            f"{machine.processes} more; use a smaller --size, or raise ulimit -u"
        )
    if shortages:
        raise SoakNotStarted("\n".join(shortages))
