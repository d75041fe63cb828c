"""Fleets of the soak: processes by name, what can be done to them, links between them.

``Fleet`` and ``Fault`` are the interfaces between schedules, faults and real processes.
"""

import resource
import signal
import subprocess
from abc import ABC, abstractmethod
from enum import Enum
from pathlib import Path

from attrs import define, field

from soak.links import LinkProxy
from soak.records import SignalRecord
from wagtailrun.clock import SystemClock
from wagtailrun.ports.link import Address

__all__ = ["Fault", "Fleet", "FleetProcess", "Link", "Requirements", "Role"]

END_TIMEOUT_S = 10


class Role(Enum):
    """What a process does."""

    ENTRY = "entry"
    CONTROL = "control"


@define(frozen=True, kw_only=True)
class FleetProcess:
    """A process of the fleet, whether it runs or not.

    Attributes:
        name: Its name.
        role: Its role.
        folder: Folder of its own, with its files; of a control member also its data.
        log: File that its output is appended to.
        addresses: Addresses that it listens at by use: ``caller``, ``ready``,
            ``operator``, ``peer``, ``metrics``, ``target``.
    """

    name: str
    role: Role
    folder: Path
    log: Path
    addresses: dict[str, Address] = field(factory=dict)


@define(frozen=True, kw_only=True)
class Link:
    """Way from one process to another, through an address at which a proxy listens.

    Attributes:
        name: ``source>destination``, with names of processes or targets, or
            ``callers``, ``targets`` or ``entries`` for all of these.
        listen: Address that the source connects to.
        upstream: Address that the destination listens at.
    """

    name: str
    listen: Address
    upstream: Address


@define(frozen=True, kw_only=True)
class Requirements:
    """What a run needs of the machine.

    Attributes:
        processes: Number of processes.
        memory_mb: Memory of all of them together.
        descriptors: Descriptors of the process that needs most.
    """

    processes: int
    memory_mb: int
    descriptors: int


class Fleet(ABC):
    """Processes that a soak started, and only these.

    Attributes:
        processes_by_name: All processes, running or not; known before ``start``.
        links_by_name: Links on which a proxy can be put; known before ``start``.
        signals: Signals that were sent, in order.
        proxy: Proxy on the links; None if processes reach each other directly.
        descriptors: Numbers of descriptors of the processes that have few, by name.
    """

    processes_by_name: dict[str, FleetProcess]
    links_by_name: dict[str, Link]

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.signals: list[SignalRecord] = []
        self.proxy: LinkProxy | None = None
        self.descriptors: dict[str, int] = {}
        self._running: dict[str, subprocess.Popen] = {}

    @abstractmethod
    def spawn(self, name: str) -> subprocess.Popen:
        """Start the program of a process and return it."""

    @abstractmethod
    def end_limit_ms(self, name: str) -> int:
        """Return how long after SIGTERM a process that runs must be gone."""

    @abstractmethod
    def wipe(self, name: str) -> None:
        """Remove the data of a control member, as if its VM were replaced."""

    def start(self, name: str) -> None:
        """Start a process that does not run.

        Raises:
            ValueError: If it runs.
        """
        if self.is_running(name):
            raise ValueError(f"process {name!r} runs already")
        self._running[name] = self.spawn(name)
        if name in self.descriptors:
            # Before the process reads its limit, as it has yet to import its modules.
            self._limit_descriptors(name, self.descriptors[name])
        if self.proxy is not None:
            self.proxy.name_process(name, self.pid(name))

    def _limit_descriptors(self, name: str, number: int) -> None:
        _, hard = resource.prlimit(self.pid(name), resource.RLIMIT_NOFILE)
        limits = (min(number, hard), hard)
        resource.prlimit(self.pid(name), resource.RLIMIT_NOFILE, limits)

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not ended."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Return the id of the last process that was started under a name."""
        return self._running[name].pid

    def exit_code(self, name: str) -> int | None:
        """Return the exit code of a process; None while it runs."""
        return self._running[name].poll()

    def signal(
        self,
        name: str,
        number: int,
        grace_ms: int = 0,
        is_planned: bool = False,
        answers_by_ms: int = 0,
        has_shortage: bool = False,
    ) -> bool:
        """Send a signal to a process; return False if it has ended.

        Args:
            name: Name of the process.
            number: Number of the signal.
            grace_ms: Time within which it must be gone; 0 if it need not end.
            is_planned: Whether the signal belongs to planned work.
            answers_by_ms: Time by which a process whose stop is hindered has answered
                what it had by then; 0 if it is not.
            has_shortage: Whether it has no free descriptor while it stops.
        """
        if not self.is_running(name):
            return False
        record = SignalRecord(
            process=name,
            pid=self.pid(name),
            number=number,
            at_ms=self.clock.now_ms(),
            grace_ms=grace_ms,
            is_planned=is_planned,
            answers_by_ms=answers_by_ms,
            has_shortage=has_shortage,
        )
        self._running[name].send_signal(number)
        self.signals.append(record)
        return True

    def end_all(self) -> None:
        """End all processes that this object started, also those that stand still."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self._running.values():
            process.wait(END_TIMEOUT_S)

    def names(self, role: Role) -> list[str]:
        """Return the names of all processes of a role."""
        each = self.processes_by_name.values()
        return [process.name for process in each if process.role is role]


class Fault(ABC):
    """Kind of fault that is applied from outside of the processes.

    Attributes:
        name: Name of the kind, as in schedules.
    """

    name: str

    @abstractmethod
    def subjects(self, fleet: Fleet) -> list[str]:
        """Return the processes or links that it can be applied to, in a fixed order.

        Called before the fleet is started; the result depends on its plan only.
        """

    @abstractmethod
    async def begin(self, fleet: Fleet, subject: str, strength: float) -> str:
        """Apply the fault; return its details as text.

        Args:
            fleet: The fleet.
            subject: Process or link.
            strength: From 0 (hardly) to 1 (completely).
        """

    @abstractmethod
    async def end(self, fleet: Fleet, subject: str) -> None:
        """Remove the fault; nothing happens if it is not applied any more."""
