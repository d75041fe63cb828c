"""Kinds of faults that are applied to a fleet from outside of its processes."""

import os
import resource
import signal
from abc import abstractmethod
from contextlib import suppress
from pathlib import Path

from soak.behaviours import BehaviourFolder, BehaviourKind, TargetBehaviour
from soak.fleet import Fault, Fleet, Role
from soak.link_faults import LINK_FAULTS

__all__ = [
    "DISK_FOLDER_VARIABLE",
    "FAULTS_BY_NAME",
    "DiskFault",
    "DiskFaultsUnavailable",
    "FewDescriptors",
    "Hangup",
    "Kill",
    "Standstill",
    "TargetFault",
]

NOT_RUNNING = "does not run"
MAX_HANGUPS = 20
# Descriptors beyond those in use that a process may open at the weakest fault.
MOST_FREE_DESCRIPTORS = 24
# Environment variable of ``tests/full_disk``.
DISK_FOLDER_VARIABLE = "TEST_DATA_FOLDER"
ENTRIES_PREFIX = "entries>"


class DiskFaultsUnavailable(Exception):
    """The processes were started without the wrapper of their disk."""


class ProcessFault(Fault):
    """A fault of one process of any role."""

    def subjects(self, fleet: Fleet) -> list[str]:
        """Return all processes."""
        return list(fleet.processes_by_name)

    async def begin(self, fleet: Fleet, subject: str, strength: float) -> str:
        """Apply the fault to a process, if it runs."""
        if not fleet.is_running(subject):
            return NOT_RUNNING
        return self.apply(fleet, subject, strength)

    @abstractmethod
    def apply(self, fleet: Fleet, subject: str, strength: float) -> str:
        """Apply the fault to a process that runs; return its details as text."""

    async def end(self, fleet: Fleet, subject: str) -> None:
        """Do nothing, as the fault ends by itself."""


class Standstill(ProcessFault):
    """A process stands still, as when its VM is paused."""

    name = "standstill"

    def apply(self, fleet: Fleet, subject: str, strength: float) -> str:
        """Stop the process."""
        fleet.signal(subject, signal.SIGSTOP)
        return "stopped"

    async def end(self, fleet: Fleet, subject: str) -> None:
        """Let the process go on."""
        fleet.signal(subject, signal.SIGCONT)


class Kill(ProcessFault):
    """A process is killed; what watches the fleet starts it again."""

    name = "kill"

    def apply(self, fleet: Fleet, subject: str, strength: float) -> str:
        """Kill the process."""
        fleet.signal(subject, signal.SIGKILL)
        return "killed"


class Hangup(ProcessFault):
    """A process is told to read its settings again, several times in a row."""

    name = "hangup"

    def apply(self, fleet: Fleet, subject: str, strength: float) -> str:
        """Send the signals."""
        count = 1 + round(strength * (MAX_HANGUPS - 1))
        for _ in range(count):
            fleet.signal(subject, signal.SIGHUP)
        return f"{count} signals"


class FewDescriptors(ProcessFault):
    """A process has no descriptors left beside those in use and a few more."""

    name = "few-descriptors"

    def __init__(self) -> None:
        self._limits_by_pid: dict[int, tuple[int, int]] = {}

    def apply(self, fleet: Fleet, subject: str, strength: float) -> str:
        """Lower the soft limit of the process."""
        pid = fleet.pid(subject)
        try:
            used = [int(name) for name in os.listdir(f"/proc/{pid}/fd")]
            soft, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
            free = round((1 - strength) * MOST_FREE_DESCRIPTORS)
            # The limit is one above the highest number.
            limit = min(max(used) + 1 + free, soft)
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, hard))
        except (OSError, ValueError):
            if fleet.is_running(subject):
                raise
            return NOT_RUNNING
        self._limits_by_pid.setdefault(pid, (soft, hard))
        return f"limit {limit}, {len(used)} in use"

    async def end(self, fleet: Fleet, subject: str) -> None:
        """Restore the limit of the process, if it still runs."""
        pid = fleet.pid(subject)
        limits = self._limits_by_pid.pop(pid, None)
        if limits is not None and fleet.is_running(subject):
            with suppress(ProcessLookupError):
                resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)


class DiskFault(Fault):
    """A fault of the disk of a control member, through ``tests/full_disk``.

    Args:
        name: Name of the kind.
        flag: Suffix of the file that applies it.
        slowest_ms: Content of the file at strength 1, in milliseconds; 0 for none.
    """

    def __init__(self, name: str, flag: str, slowest_ms: int = 0):
        self.name = name
        self._flag = flag
        self._slowest_ms = slowest_ms

    def subjects(self, fleet: Fleet) -> list[str]:
        """Return the control members, which alone write files."""
        return fleet.names(Role.CONTROL)

    def _path(self, fleet: Fleet, subject: str) -> Path:
        folder = fleet.processes_by_name[subject].folder
        return folder.with_name(f"{folder.name}.{self._flag}")

    async def begin(self, fleet: Fleet, subject: str, strength: float) -> str:
        """Apply the fault; it stays while the process is started again.

        Raises:
            DiskFaultsUnavailable: If the process was started without the wrapper.
        """
        if fleet.is_running(subject):
            self._check_wrapper(fleet, subject)
        if not self._slowest_ms:
            self._path(fleet, subject).touch()
            return self._flag
        duration_ms = 1 + round(strength * (self._slowest_ms - 1))
        self._path(fleet, subject).write_text(str(duration_ms))
        return f"{duration_ms} ms for each write"

    def _check_wrapper(self, fleet: Fleet, subject: str) -> None:
        try:
            values = Path(f"/proc/{fleet.pid(subject)}/environ").read_bytes()
        except OSError:
            # It ends at this moment.
            return
        folder = fleet.processes_by_name[subject].folder.parent
        wanted = f"{DISK_FOLDER_VARIABLE}={folder}".encode()
        if values and wanted not in values.split(b"\0"):
            raise DiskFaultsUnavailable(
                f"process {subject!r} was started without {wanted.decode()}; set it, "
                "and put tests/full_disk into its PYTHONPATH"
            )

    async def end(self, fleet: Fleet, subject: str) -> None:
        """Remove the fault."""
        self._path(fleet, subject).unlink(missing_ok=True)


class TargetFault(Fault):
    """A target behaves oddly.

    Args:
        name: Name of the kind.
        kind: What it does.
        weak: Amount at strength 0.
        strong: Amount at strength 1.
        unit: Unit of the amounts.
    """

    def __init__(
        self, name: str, kind: BehaviourKind, weak: int, strong: int, unit: str
    ):
        self.name = name
        self._kind = kind
        self._weak = weak
        self._strong = strong
        self._unit = unit

    def subjects(self, fleet: Fleet) -> list[str]:
        """Return the targets, which are known by the links to them."""
        return [
            name.removeprefix(ENTRIES_PREFIX)
            for name in fleet.links_by_name
            if name.startswith(ENTRIES_PREFIX)
        ]

    @staticmethod
    def _folder(fleet: Fleet) -> BehaviourFolder:
        process = next(iter(fleet.processes_by_name.values()))
        return BehaviourFolder(process.folder.parent)

    async def begin(self, fleet: Fleet, subject: str, strength: float) -> str:
        """Instruct the target."""
        amount = round(self._weak + strength * (self._strong - self._weak))
        behaviour = TargetBehaviour(kind=self._kind, amount=amount)
        self._folder(fleet).set(subject, behaviour)
        return f"{amount} {self._unit}".strip()

    async def end(self, fleet: Fleet, subject: str) -> None:
        """Take the instruction back."""
        self._folder(fleet).clear(subject)


FAULTS_BY_NAME: dict[str, Fault] = {
    fault.name: fault
    for fault in (
        Standstill(),
        Kill(),
        Hangup(),
        FewDescriptors(),
        DiskFault("full-disk", "full"),
        DiskFault("broken-disk", "broken"),
        DiskFault("slow-disk", "slow", slowest_ms=400),
        DiskFault("stalled-disk", "stalled"),
        TargetFault("target-silent", BehaviourKind.SILENT, 200, 1_500, "ms"),
        TargetFault("target-ends-early", BehaviourKind.END_EARLY, 0, 99, "%"),
        TargetFault("target-drips", BehaviourKind.DRIP, 1, 50, "ms for each byte"),
        TargetFault("target-floods", BehaviourKind.FLOOD, 0, 0, ""),
        *LINK_FAULTS,
    )
}
