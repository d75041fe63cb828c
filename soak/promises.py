"""Promises about a fleet, checked from records of what callers and targets see.

Nothing here waits, reads a clock or opens a connection: records are added in any order
of their files, and each promise is checked for what is old enough to be complete.
"""

from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from signal import SIGKILL, SIGTERM

from soak.history import SEEN_MS, Finding, History, Limits
from soak.records import (
    ChangeRecord,
    ExitRecord,
    Outcome,
    ReadRecord,
    RequestRecord,
    RunRecord,
    SignalRecord,
    UsageRecord,
)

__all__ = ["Judge", "Promise"]

# By then all records of what happened at a time have been written and read.
SETTLE_MS = 3_000
# By then nothing of a request that has ended runs any more.
RUN_SETTLE_MS = 20_000
MS_PER_SECOND = 1_000
# A process has read a request this time after it was sent.
READ_MS = 100
# An entry that stood still as it got the signal to stop takes it for that much older.
LATE_NOTICE_MS = 500
# The load balancer sends no more connections after so many failed checks.
FAILED_CHECKS = 2
# An entry ends a stream a moment before its deadline.
DEADLINE_MARGIN_MS = 100
# Ends that need no excuse.
OWED_ENDS = {Outcome.ANSWERED, Outcome.LEFT, Outcome.REFUSED}


class Promise(ABC):
    """A promise; gets all records."""

    def __init__(self, history: History, limits: Limits):
        self.history = history
        self.limits = limits

    @abstractmethod
    def add(self, record: object) -> None:
        """Add a record."""

    @abstractmethod
    def check(self, until_ms: int) -> list[Finding]:
        """Return what is broken up to a time, each finding once."""


class WholeAnswers(Promise):
    """Each whole request ends with an answer, a refusal, or a break with a name."""

    name = "whole answers"

    def __init__(self, history: History, limits: Limits):
        super().__init__(history, limits)
        self._waiting: list[RequestRecord] = []
        self.ends: Counter[str] = Counter()
        # Requests that saw planned work alone, and all.
        self.planned = self.total = 0
        # Requests that ended without an answer or a refusal in an allowed way.
        self.excused = 0

    def add(self, record: object) -> None:
        """Add a record."""
        if isinstance(record, RequestRecord):
            self._waiting.append(record)

    def check(self, until_ms: int) -> list[Finding]:
        """Return the requests that ended in a way that no page allows."""
        ready = [r for r in self._waiting if r.ended_ms + SETTLE_MS <= until_ms]
        self._waiting = [r for r in self._waiting if r.ended_ms + SETTLE_MS > until_ms]
        findings = []
        for request in ready:
            self.total += 1
            has_fault = self._has_fault(request)
            self.planned += not (has_fault or self._hindered_stops(request))
            name = self.allowed_end(request, has_fault)
            self.ends[name or f"not allowed: {request.outcome.value}"] += 1
            if not name:
                findings.append(self._finding(request))
            elif request.outcome not in OWED_ENDS:
                self.excused += 1
        return findings

    def _has_fault(self, request: RequestRecord) -> bool:
        return self.history.has_fault(
            request.began_ms, request.ended_ms, self.limits.recovery_ms
        )

    def _is_excused(self, request: RequestRecord) -> bool:
        """Return whether a fault that is near explains how a request ended.

        An answer may be cut by a fault of another process or a link to it. An entry
        that has no fault itself still refuses what it cannot answer, in time.
        """
        return request.outcome is Outcome.CUT or self.history.has_fault(
            request.began_ms,
            request.ended_ms,
            self.limits.recovery_ms,
            request.entry,
        )

    def _finding(self, request: RequestRecord) -> Finding:
        return Finding(
            promise=self.name,
            subject=request.name or request.connection,
            at_ms=request.ended_ms,
            detail=f"{request.outcome.value} at {request.entry}",
            request=request,
        )

    def allowed_end(self, request: RequestRecord, has_fault: bool) -> str:
        """Return the name of the way in which a request ended; empty if not allowed."""
        if request.outcome in (Outcome.ANSWERED, Outcome.LEFT):
            return request.outcome.value
        if request.outcome is Outcome.REFUSED:
            return f"refused, {request.status}"
        if has_fault and self._is_excused(request):
            return f"{request.outcome.value}, beside a fault"
        was_ended = self.history.was_ended(
            request.entry,
            request.began_ms - self.limits.end_margin_ms,
            request.ended_ms,
            self.limits.second_signal_ends,
        )
        if was_ended and not self._was_owed(request):
            return f"{request.outcome.value}, its entry was ended at once"
        if self._may_wait_in_queue(request):
            return f"{request.outcome.value}, its entry had no free descriptor"
        if request.outcome is Outcome.NO_ANSWER:
            return self._allowed_without_answer(request)
        if request.outcome is Outcome.CUT:
            return self._allowed_cut(request)
        if request.outcome is Outcome.NO_CONNECTION:
            return self._allowed_without_connection(request)
        return ""

    def _hindered_stops(self, request: RequestRecord) -> list[SignalRecord]:
        """Return the stops of the process of a request in which it lacked something."""
        from_ms = request.connected_ms or request.began_ms
        return [
            stop
            for stop in self.history.signals[request.entry]
            if stop.answers_by_ms
            and stop.at_ms <= request.ended_ms
            and self.history.was_running(stop, from_ms)
        ]

    def _was_owed(self, request: RequestRecord) -> bool:
        """Return whether a request had to be answered before its entry stood still."""
        if request.outcome is Outcome.CUT or not request.sent_ms:
            return False
        read_ms = request.sent_ms + READ_MS + request.standstill_ms
        return any(
            read_ms <= stop.at_ms + stop.answers_by_ms
            for stop in self._hindered_stops(request)
        )

    def _may_wait_in_queue(self, request: RequestRecord) -> bool:
        """Return whether an entry without descriptors may not have accepted it."""
        is_unanswered = not (request.position or request.answer_ms)
        return is_unanswered and any(
            stop.has_shortage and self._was_not_accepted(request, stop)
            for stop in self._hindered_stops(request)
        )

    def _was_not_accepted(self, request: RequestRecord, stop: SignalRecord) -> bool:
        """Return whether its process had no descriptor left to accept a connection.

        A process that does not run for a moment accepts connections late, so that some
        from before the shortage may still wait. It has accepted all others of them.
        """
        backlog = self.history.backlogs.get((stop.process, stop.pid))
        if backlog is None:
            return False
        return backlog.at_ms <= request.connected_ms or request.port in backlog.ports

    def _allowed_without_answer(self, request: RequestRecord) -> str:
        if not request.first_byte_ms and request.position:
            return "kept connection closed before the first byte of a request"
        crossed = (
            request.closed_ms
            and request.closed_ms - request.first_byte_ms
            <= self.limits.crossing_ms + request.standstill_ms
            and request.was_reset
            and not self.history.runs.get(request.name)
        )
        # A new connection is refused in place of its request.
        if crossed and request.position:
            return "crossed the close of an idle connection"
        return ""

    def _allowed_cut(self, request: RequestRecord) -> str:
        """Allow the end of a stream that there was no time to finish."""
        lasted_ms = request.ended_ms - request.first_byte_ms
        if 0 < self.limits.deadline_ms <= lasted_ms + DEADLINE_MARGIN_MS:
            return "stream cut off at its deadline"
        stop = self.history.stop_before(request.entry, request.ended_ms)
        if stop is None or not request.events or stop.grace_ms <= 0:
            return ""
        # Until then it serves as before; what comes later must end in time.
        notice_ms = min(
            int(stop.grace_ms * self.limits.notice_share), self.limits.notice_ms
        )
        began_before = request.sent_ms <= stop.at_ms + notice_ms
        margin_ms = stop.grace_ms // 8 + self.limits.end_margin_ms
        was_at_end = request.ended_ms >= stop.at_ms + stop.grace_ms - margin_ms
        if began_before and was_at_end:
            return "stream cut off at the end of the grace period"
        return ""

    def _allowed_without_connection(self, request: RequestRecord) -> str:
        """Allow that an entry has ended before the load balancer noticed its stop.

        An entry accepts connections to the end of its notice, and the load balancer
        does not ask while the loop of the callers, in which it runs, stands still.
        """
        if not request.is_routed:
            return "no connection, not in rotation"
        stop = self.history.stop_of_ready(request.entry, request.ended_ms)
        if stop is None or self._is_in_notice(request, stop):
            return ""
        told_ms = self._ready_until_ms(stop, request.began_ms)
        noticed_ms = self.limits.rotation_ms
        noticed_ms += self.history.stood_still_ms("callers", told_ms, request.began_ms)
        if stop.has_shortage:
            # Without a descriptor it cannot say that it stops.
            noticed_ms += stop.grace_ms
        if request.began_ms - told_ms <= noticed_ms:
            return "no connection, before the load balancer noticed the stop"
        return ""

    def _ready_until_ms(self, stop: SignalRecord, at_ms: int) -> int:
        """Return when an entry that stops last was, or rightly said that it is, ready.

        It may stay ready for a moment while few other entries are.
        """
        stay_ms = min(self.limits.stay_ms, int(stop.grace_ms * self.limits.stay_share))
        until_ms = min(stop.at_ms + stay_ms, at_ms)
        times_ms = self.history.ready_ms[stop.process]
        return max([stop.at_ms, *(each for each in times_ms if each <= until_ms)])

    def _is_in_notice(self, request: RequestRecord, stop: SignalRecord) -> bool:
        """Return whether an entry still had to accept connections."""
        if stop.has_shortage:
            return False
        told_ms = self._ready_until_ms(stop, request.began_ms)
        checks_ms = self.history.unready_ms[stop.process]
        checks = sum(told_ms < each <= request.began_ms for each in checks_ms)
        if checks >= FAILED_CHECKS:
            # The load balancer has been told, but had not read the last answer.
            return False
        notice_ms = min(
            int(stop.grace_ms * self.limits.notice_share), self.limits.listen_ms
        )
        return request.began_ms < told_ms + notice_ms - LATE_NOTICE_MS


class RunsOnce(Promise):
    """Nothing with consequences runs twice; what was refused as not run ran nowhere."""

    name = "runs once"

    def __init__(self, history: History, limits: Limits):
        super().__init__(history, limits)
        self._requests: dict[str, list[RequestRecord]] = defaultdict(list)
        self._reported: set[str] = set()

    def add(self, record: object) -> None:
        """Add a record."""
        if isinstance(record, RequestRecord) and record.name:
            self._requests[record.name].append(record)

    def check(self, until_ms: int) -> list[Finding]:
        """Return the requests that ran too often."""
        findings = []
        for name, requests in list(self._requests.items()):
            last = requests[-1]
            runs = self.history.runs.get(name, [])
            if last.runs_once and len(runs) > 1 and name not in self._reported:
                self._reported.add(name)
                findings.append(self._finding(last, runs, "runs once"))
            if last.ended_ms + RUN_SETTLE_MS > until_ms:
                continue
            del self._requests[name]
            if runs and all(each.is_not_run for each in requests):
                findings.append(self._finding(last, runs, "not run"))
        return findings

    def _finding(
        self, request: RequestRecord, runs: list[RunRecord], promise: str
    ) -> Finding:
        where = ", ".join(f"{run.target} at {run.at_ms}" for run in runs)
        return Finding(
            promise=promise,
            subject=request.name,
            at_ms=request.ended_ms,
            detail=f"{len(runs)} runs: {where}",
            request=request,
        )


class Streams(Promise):
    """A stream repeats and skips no event, and keeps one software version."""

    name = "streams"

    def __init__(self, history: History, limits: Limits):
        super().__init__(history, limits)
        self._new: list[RequestRecord] = []
        self._versions: dict[str, str] = {}

    def add(self, record: object) -> None:
        """Add a record."""
        if isinstance(record, RequestRecord) and record.events:
            self._new.append(record)

    def check(self, until_ms: int) -> list[Finding]:
        """Return the streams whose events are not those that follow."""
        findings = []
        for request in self._new:
            first = request.after_event + 1
            expected = list(range(first, first + len(request.events)))
            if request.events != expected:
                findings.append(self._finding(request, f"events {request.events}"))
            stream = request.resumes or request.name
            for version in request.versions:
                if self._versions.setdefault(stream, version) != version:
                    detail = f"{version} after {self._versions[stream]}"
                    findings.append(self._finding(request, detail))
        self._new = []
        return findings

    def _finding(self, request: RequestRecord, detail: str) -> Finding:
        return Finding(
            promise=self.name,
            subject=request.name,
            at_ms=request.ended_ms,
            detail=detail,
            request=request,
        )


class Changes(Promise):
    """An acknowledged change is never lost, and versions never step back."""

    name = "changes"

    def __init__(self, history: History, limits: Limits):
        super().__init__(history, limits)
        self._changes: list[ChangeRecord] = []
        self._reads: list[ReadRecord] = []
        self._checked = 0

    def add(self, record: object) -> None:
        """Add a record."""
        if isinstance(record, ChangeRecord) and record.status == 200:
            self._changes.append(record)
        elif isinstance(record, ReadRecord):
            self._reads.append(record)

    def check(self, until_ms: int) -> list[Finding]:
        """Return the reads of versions that are too old."""
        findings = []
        for number in range(self._checked, len(self._reads)):
            read = self._reads[number]
            if read.answered_ms + SETTLE_MS > until_ms:
                break
            self._checked = number + 1
            asked_ms = read.sent_ms - self.limits.read_lag_ms
            least = max(
                (c.version for c in self._changes if c.answered_ms < asked_ms),
                default=0,
            )
            earlier = max(
                (r.version for r in self._reads if r.answered_ms < asked_ms),
                default=0,
            )
            if read.version < max(least, earlier) and not self._may_lag(read):
                detail = f"read {read.version}, acknowledged {least}, read {earlier}"
                findings.append(
                    Finding(
                        promise=self.name,
                        subject=read.member,
                        at_ms=read.answered_ms,
                        detail=detail,
                    )
                )
        findings += [
            Finding(
                promise=self.name,
                subject=change.member,
                at_ms=change.answered_ms,
                detail=f"version {change.version} is not valid and was accepted",
            )
            for change in self._changes
            if not change.is_valid
        ]
        self._changes = [change for change in self._changes if change.is_valid]
        return findings

    def _may_lag(self, read: ReadRecord) -> bool:
        """Return whether a member that answers by itself may be cut off."""
        return self.limits.read_lag_ms > 0 and self.history.has_fault(
            read.sent_ms, read.answered_ms, self.limits.recovery_ms
        )


class RevokedKeys(Promise):
    """A revoked key stops within its bound after the change is acknowledged."""

    name = "revoked keys"

    def __init__(self, history: History, limits: Limits):
        super().__init__(history, limits)
        self._revoked_ms: dict[str, int] = {}
        self._waiting: list[RequestRecord] = []

    def add(self, record: object) -> None:
        """Add a record."""
        if isinstance(record, ChangeRecord) and record.status == 200:
            for key in record.revoked:
                before_ms = self._revoked_ms.get(key, record.answered_ms)
                self._revoked_ms[key] = min(before_ms, record.answered_ms)
        elif isinstance(record, RequestRecord) and record.key:
            self._waiting.append(record)

    def check(self, until_ms: int) -> list[Finding]:
        """Return the requests that were served with a revoked key."""
        findings = []
        for request in self._waiting:
            revoked_ms = self._revoked_ms.get(request.key)
            if revoked_ms is None or request.outcome is not Outcome.ANSWERED:
                continue
            late_ms = request.first_byte_ms - revoked_ms
            if late_ms > self.limits.revoke_ms:
                findings.append(
                    Finding(
                        promise=self.name,
                        subject=request.name,
                        at_ms=request.ended_ms,
                        detail=f"{request.key} served {late_ms} ms after its end",
                        request=request,
                    )
                )
        self._waiting = [
            request
            for request in self._waiting
            if request.key not in self._revoked_ms
            and request.ended_ms + RUN_SETTLE_MS > until_ms
        ]
        return findings


class Ends(Promise):
    """A stopped process is gone by its grace period, and none ends by itself."""

    name = "ends"

    def __init__(self, history: History, limits: Limits):
        super().__init__(history, limits)
        self._stops: list[SignalRecord] = []
        self._kills: list[SignalRecord] = []
        self._exits: list[ExitRecord] = []

    def add(self, record: object) -> None:
        """Add a record."""
        if isinstance(record, SignalRecord) and record.grace_ms:
            self._stops.append(record)
        elif isinstance(record, SignalRecord) and record.number == SIGKILL:
            if record.is_planned:
                self._kills.append(record)
        elif isinstance(record, ExitRecord):
            self._exits.append(record)

    def check(self, until_ms: int) -> list[Finding]:
        """Return the processes that ended late, or without a signal."""
        findings = [
            self._finding(kill.process, kill.at_ms, "killed, its time was over")
            for kill in self._kills
            if kill.at_ms + SETTLE_MS <= until_ms and self._had_effect(kill)
        ]
        self._kills = [k for k in self._kills if k.at_ms + SETTLE_MS > until_ms]
        for stop in self._stops:
            end_ms = stop.at_ms + stop.grace_ms + self.limits.end_margin_ms
            if end_ms + SETTLE_MS > until_ms:
                continue
            exits = self.history.exits[stop.process]
            took_ms = [e.at_ms - stop.at_ms for e in exits if e.pid == stop.pid]
            # The end is seen late by a watch that stood still.
            seen_ms = took_ms[0] + stop.at_ms if took_ms else until_ms
            # The system may take time to remove a process that exits.
            seen_ms = min(seen_ms, self._exits_before_ms(stop, until_ms))
            late_ms = self.history.standstill_ms("soak", stop.at_ms, seen_ms + SEEN_MS)
            is_late = not took_ms or seen_ms > end_ms + late_ms
            if is_late and not self._has_fault(stop.at_ms, end_ms):
                detail = f"{took_ms} ms of {stop.grace_ms} ms"
                findings.append(self._finding(stop.process, end_ms, detail))
        self._stops = [
            stop
            for stop in self._stops
            if stop.at_ms + stop.grace_ms + self.limits.end_margin_ms + SETTLE_MS
            > until_ms
        ]
        for end in [e for e in self._exits if e.at_ms + SETTLE_MS <= until_ms]:
            numbers = {
                each.number
                for each in self.history.signals[end.process]
                if each.pid == end.pid
            }
            was_killed = SIGKILL in numbers
            # A signal may come before a process that starts handles it.
            codes = {0} if self._was_ready(end) else {0, -SIGTERM}
            is_expected = was_killed or (SIGTERM in numbers and end.code in codes)
            if not is_expected and not self._has_fault(end.at_ms - 1, end.at_ms):
                detail = f"exit code {end.code} after the signals {sorted(numbers)}"
                findings.append(self._finding(end.process, end.at_ms, detail))
        self._exits = [e for e in self._exits if e.at_ms + SETTLE_MS > until_ms]
        return findings

    def _had_effect(self, kill: SignalRecord) -> bool:
        """Return whether a process was killed that had not begun to exit by itself."""
        has_exited = self._exits_by_itself(kill)
        return not has_exited and not self._has_fault(kill.at_ms - 1, kill.at_ms)

    def _exits_by_itself(self, signal: SignalRecord) -> bool:
        """Return whether a process ended in another way than by SIGKILL."""
        exits = self.history.exits[signal.process]
        return any(e.pid == signal.pid and e.code != -SIGKILL for e in exits)

    def _exits_before_ms(self, stop: SignalRecord, until_ms: int) -> int:
        """Return by when a process had begun to exit, as a kill had no effect on it."""
        if not self._exits_by_itself(stop):
            return until_ms
        return self.history.killed_ms(stop.process, stop.pid, default_ms=until_ms)

    def _was_ready(self, end: ExitRecord) -> bool:
        """Return whether the process that ended ever said that it is ready."""
        before = [e.at_ms for e in self.history.exits[end.process] if e.pid != end.pid]
        started_ms = max((at for at in before if at < end.at_ms), default=0)
        ready_ms = self.history.ready_ms[end.process]
        return any(started_ms < at_ms <= end.at_ms for at_ms in ready_ms)

    def _has_fault(self, from_ms: int, to_ms: int) -> bool:
        return self.history.has_fault(from_ms, to_ms, self.limits.recovery_ms)

    def _finding(self, process: str, at_ms: int, detail: str) -> Finding:
        return Finding(promise=self.name, subject=process, at_ms=at_ms, detail=detail)


class Usage(Promise):
    """Memory, descriptors and log volume of a process stay bounded."""

    name = "usage"

    def __init__(self, history: History, limits: Limits):
        super().__init__(history, limits)
        self._new: list[UsageRecord] = []
        self._first: dict[tuple[str, int], UsageRecord] = {}
        self._reported: set[tuple[str, str]] = set()

    def add(self, record: object) -> None:
        """Add a record."""
        if isinstance(record, UsageRecord):
            self._new.append(record)

    def check(self, until_ms: int) -> list[Finding]:
        """Return the processes that use too much, each once for each use."""
        findings = []
        for record in self._new:
            first = self._first.setdefault((record.process, record.pid), record)
            # A minute's worth may be written at once, as by a start.
            written = record.log_bytes - first.log_bytes
            passed_s = max((record.at_ms - first.at_ms) / MS_PER_SECOND, 60)
            for use, value, limit in (
                ("resident memory in MB", record.resident_mb, self.limits.resident_mb),
                ("descriptors", record.descriptors, self.limits.descriptors),
                (
                    "log bytes a second",
                    written / passed_s,
                    self.limits.log_bytes_per_s,
                ),
            ):
                key = (record.process, use)
                if value > limit and key not in self._reported:
                    self._reported.add(key)
                    findings.append(
                        Finding(
                            promise=self.name,
                            subject=record.process,
                            at_ms=record.at_ms,
                            detail=f"{use}: {value:.0f} of {limit:.0f}",
                        )
                    )
        self._new = []
        return findings


class Judge:
    """Checks all promises over the records of one fleet.

    Args:
        limits: Bounds of the promises.
    """

    def __init__(self, limits: Limits):
        self.history = History()
        self.limits = limits
        self.answers = WholeAnswers(self.history, limits)
        others = (RunsOnce, Streams, Changes, RevokedKeys, Ends, Usage)
        self.promises: list[Promise] = [
            self.answers,
            *(make(self.history, limits) for make in others),
        ]

    def add(self, records: list[object]) -> None:
        """Add records."""
        for record in records:
            self.history.add(record)
            for promise in self.promises:
                promise.add(record)

    def check(self, until_ms: int) -> list[Finding]:
        """Return what is broken up to a time, each finding once.

        Args:
            until_ms: The present time; after the end of the run, a later one, by which
                all records are complete.
        """
        return [
            finding for promise in self.promises for finding in promise.check(until_ms)
        ]
