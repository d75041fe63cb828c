"""What the promises of the soak have in common: their bounds, findings and history."""

import itertools
from collections import defaultdict
from signal import SIGKILL, SIGTERM

from attrs import define, field

from soak.records import (
    BacklogRecord,
    ExitRecord,
    FaultRecord,
    ReadinessRecord,
    RequestRecord,
    RunRecord,
    SignalRecord,
    StandstillRecord,
)

__all__ = ["SEEN_MS", "Finding", "History", "Limits"]

# A standstill is recorded after the end that was seen when it was over.
SEEN_MS = 100


@define(frozen=True, kw_only=True)
class Limits:
    """Bounds of the promises.

    Attributes:
        crossing_ms: Longest time from the last byte of a request to the end of its
            connection for the two to have crossed on the way.
        deadline_ms: Deadline of requests, at which streams are cut off; 0 for none.
        revoke_ms: Time within which a revoked key stops to be accepted.
        end_margin_ms: What the watch of the processes adds to the end of one.
        rotation_ms: Time in which the load balancer, while it runs, takes an entry out
            of rotation.
        stay_ms: How long after the signal to stop an entry may say that it is ready.
        stay_share: Longest share of its grace period that this time has.
        recovery_ms: How long after a fault its effects may last.
        resident_mb: Largest resident memory of a process.
        descriptors: Largest number of descriptors of a process.
        log_bytes_per_s: Largest log volume of a process, on average over a minute.
        listen_ms: How long after the signal to stop an entry accepts connections, if
            its grace period allows a notice of this length.
        notice_ms: Longest time of service after the signal to stop.
        notice_share: Longest share of a grace period that this time has.
        read_lag_ms: How old the version may be that a control member tells.
        second_signal_ends: Whether a second SIGTERM ends an entry at once.
        crowded_entries: Entries with few descriptors, which refuse what they have no
            room for.
    """

    crossing_ms: int = 10
    deadline_ms: int = 0
    revoke_ms: int = 5_000
    end_margin_ms: int = 150
    rotation_ms: int = 800
    stay_ms: int = 0
    stay_share: float = 0.1875
    recovery_ms: int = 10_000
    resident_mb: float = 150.0
    descriptors: int = 1_000
    log_bytes_per_s: int = 40_000
    listen_ms: int = 2_800
    notice_ms: int = 2_800
    notice_share: float = 0.35
    read_lag_ms: int = 0
    second_signal_ends: bool = False
    crowded_entries: list[str] = field(factory=list)


@define(frozen=True, kw_only=True)
class Finding:
    """A broken promise.

    Attributes:
        promise: Which one.
        subject: Request or process.
        at_ms: When it was broken.
        detail: What was seen.
        request: The request, if it is about one.
    """

    promise: str
    subject: str
    at_ms: int
    detail: str
    request: RequestRecord | None = None


@define
class History:
    """What all promises need: signals, exits, faults, runs, readiness."""

    signals: dict[str, list[SignalRecord]] = field(factory=lambda: defaultdict(list))
    exits: dict[str, list[ExitRecord]] = field(factory=lambda: defaultdict(list))
    faults: list[FaultRecord] = field(factory=list)
    runs: dict[str, list[RunRecord]] = field(factory=lambda: defaultdict(list))
    standstills: list[StandstillRecord] = field(factory=list)
    ready_ms: dict[str, list[int]] = field(factory=lambda: defaultdict(list))
    unready_ms: dict[str, list[int]] = field(factory=lambda: defaultdict(list))
    # What a process could not accept, by its name and id.
    backlogs: dict[tuple[str, int], BacklogRecord] = field(factory=dict)

    def add(self, record: object) -> None:
        """Add a record, if it is one of these."""
        if isinstance(record, SignalRecord):
            self.signals[record.process].append(record)
        elif isinstance(record, ExitRecord):
            self.exits[record.process].append(record)
        elif isinstance(record, FaultRecord):
            # One that has ended replaces the record of its beginning.
            self.faults = [
                each
                for each in self.faults
                if (each.kind, each.subject, each.from_ms)
                != (record.kind, record.subject, record.from_ms)
            ]
            self.faults.append(record)
        elif isinstance(record, RunRecord):
            self.runs[record.name].append(record)
        elif isinstance(record, StandstillRecord):
            self.standstills.append(record)
        elif isinstance(record, BacklogRecord):
            self.backlogs[record.process, record.pid] = record
        elif isinstance(record, ReadinessRecord):
            times_ms = self.ready_ms if record.is_ready else self.unready_ms
            times_ms[record.entry].append(record.at_ms)

    def has_fault(
        self, from_ms: int, to_ms: int, recovery_ms: int, subject: str = ""
    ) -> bool:
        """Return whether a fault, or the recovery from one, was between two times.

        Args:
            from_ms: Start of the time.
            to_ms: End of the time.
            recovery_ms: How long after a fault its effects may last.
            subject: Process or link that it was applied to; empty for any.
        """
        return any(
            subject in ("", fault.subject)
            and fault.from_ms <= to_ms
            and (not fault.to_ms or from_ms <= fault.to_ms + recovery_ms)
            for fault in self.faults
        )

    def standstill_ms(self, loop: str, from_ms: int, to_ms: int) -> int:
        """Return the longest standstill of a loop of the soak that ended in a time."""
        return max(
            (
                each.lasted_ms
                for each in self.standstills
                if each.loop == loop and from_ms <= each.at_ms <= to_ms
            ),
            default=0,
        )

    def stood_still_ms(self, loop: str, from_ms: int, to_ms: int) -> int:
        """Return for how long in all a loop of the soak stood still in a time."""
        return sum(
            max(min(each.at_ms, to_ms) - max(each.at_ms - each.lasted_ms, from_ms), 0)
            for each in self.standstills
            if each.loop == loop
        )

    def longest_kill_ms(self) -> int:
        """Return the longest time that SIGKILL took to end a process.

        The kernel ends a process as soon as it runs, so that the machine did not run it
        for so long. The time for which the soak itself did not look is left out.
        """
        return max(map(self._kill_ms, itertools.chain(*self.exits.values())), default=0)

    def killed_ms(self, process: str, pid: int, default_ms: int) -> int:
        """Return when a process first got SIGKILL; ``default_ms`` if it got none."""
        kills_ms = [
            each.at_ms
            for each in self.signals[process]
            if each.pid == pid and each.number == SIGKILL
        ]
        return min(kills_ms, default=default_ms)

    def _kill_ms(self, end: ExitRecord) -> int:
        began_ms = self.killed_ms(end.process, end.pid, default_ms=end.at_ms)
        unseen_ms = self.standstill_ms("soak", began_ms, end.at_ms + SEEN_MS)
        return max(end.at_ms - began_ms - unseen_ms, 0)

    def stop_before(self, process: str, at_ms: int) -> SignalRecord | None:
        """Return the first SIGTERM to the run of a process that got the last one."""
        stops = [
            each
            for each in self.signals[process]
            if each.number == SIGTERM and each.at_ms <= at_ms
        ]
        if not stops:
            return None
        return next(each for each in stops if each.pid == stops[-1].pid)

    def stop_of_ready(self, process: str, at_ms: int) -> SignalRecord | None:
        """Return the first SIGTERM to the last process that had been ready."""
        while (stop := self.stop_before(process, at_ms)) is not None:
            ends_ms = [
                each.at_ms
                for each in self.exits[process]
                if each.pid != stop.pid and each.at_ms <= stop.at_ms
            ]
            started_ms = max(ends_ms, default=0)
            if any(started_ms <= each <= at_ms for each in self.ready_ms[process]):
                return stop
            at_ms = min(started_ms, stop.at_ms - 1)
        return None

    def was_running(self, signal: SignalRecord, at_ms: int) -> bool:
        """Return whether the process that got a signal ran at a time, started or not.

        The time in which no process runs counts as that of the next one.
        """
        ends = [each for each in self.exits[signal.process] if each.at_ms >= at_ms]
        if ends:
            return min(ends, key=lambda end: end.at_ms).pid == signal.pid
        return all(end.pid != signal.pid for end in self.exits[signal.process])

    def _end_ms(self, signal: SignalRecord) -> int:
        """Return when the process that got a signal ended, as far as is known."""
        exits = self.exits[signal.process]
        ends = [each.at_ms for each in exits if each.pid == signal.pid]
        return max([signal.at_ms, *ends])

    def was_ended(self, process: str, from_ms: int, to_ms: int, seconds: bool) -> bool:
        """Return whether a process was made to end at once between two times.

        Args:
            process: Its name.
            from_ms: Start of the time.
            to_ms: End of the time.
            seconds: Whether a second SIGTERM ends it at once.
        """
        stopped: set[int] = set()
        for each in self.signals[process]:
            is_second = each.number == SIGTERM and each.pid in stopped
            ends = each.number == SIGKILL or (seconds and is_second)
            if ends and each.at_ms <= to_ms and from_ms <= self._end_ms(each):
                return True
            if each.number == SIGTERM:
                stopped.add(each.pid)
        return False
