"""Promises about how a fleet without faults serves its callers."""

from collections import defaultdict

from attrs import define, field

from soak.history import Finding, History, Limits
from soak.promises import SETTLE_MS, Promise
from soak.records import ChangeRecord, Outcome, RequestRecord

__all__ = ["IdleEnds", "Service"]

WINDOW_MS = 10_000
# Callers may take this long for a request that began in a window.
MAX_REQUEST_MS = 20_000
MIN_REQUESTS = 40
# A release of targets or a change of the leader may cost some requests.
MAX_REFUSED_SHARE = 0.1
MIN_CHANGES = 8
FIRST_SERVER_ERROR = 500
CHANGED = 200
# An entry that stops waits 200 ms for another request after an answer that announced no
# close; the caller may see the end of the answer late.
IDLE_MS = 100
# Part of the grace period before the kill in which requests are only refused, and the
# time that the last answer before it has left its caller.
LAST_PART = 8
LAST_WAIT_MS = 200


@define
class Window:
    """What began in a time of ``WINDOW_MS``.

    Attributes:
        requests: Requests to entries that no signal had told to stop.
        changes: Changes that could be accepted.
    """

    requests: list[RequestRecord] = field(factory=list)
    changes: list[ChangeRecord] = field(factory=list)


class Service(Promise):
    """Entries that are not stopping answer, and the configuration can be changed.

    Times with a fault, or with the recovery from one, are left out.
    """

    name = "service"

    def __init__(self, history: History, limits: Limits):
        super().__init__(history, limits)
        self._windows: dict[int, Window] = defaultdict(Window)

    def add(self, record: object) -> None:
        """Add a record."""
        if isinstance(record, RequestRecord) and record.connected_ms:
            if record.entry in self.limits.crowded_entries:
                return
            self._windows[record.began_ms // WINDOW_MS].requests.append(record)
        elif isinstance(record, ChangeRecord) and record.is_valid:
            self._windows[record.sent_ms // WINDOW_MS].changes.append(record)

    def check(self, until_ms: int) -> list[Finding]:
        """Return the times in which too little was served."""
        findings = []
        for number in sorted(self._windows):
            end_ms = (number + 1) * WINDOW_MS
            if end_ms + MAX_REQUEST_MS + SETTLE_MS > until_ms:
                break
            window = self._windows.pop(number)
            began_ms = number * WINDOW_MS
            if not self.history.has_fault(began_ms, end_ms, self.limits.recovery_ms):
                findings += self._check_requests(window, end_ms)
                findings += self._check_changes(window, end_ms)
        return findings

    def _is_stopping(self, request: RequestRecord) -> bool:
        stop = self.history.stop_before(request.entry, request.ended_ms)
        if stop is None:
            return False
        # The next process serves once it has started.
        ends_ms = stop.at_ms + stop.grace_ms + self.limits.recovery_ms
        return request.began_ms <= ends_ms

    def _check_requests(self, window: Window, end_ms: int) -> list[Finding]:
        requests = [each for each in window.requests if not self._is_stopping(each)]
        refused = [
            each
            for each in requests
            if each.outcome is Outcome.REFUSED and each.status >= FIRST_SERVER_ERROR
        ]
        is_enough = len(requests) >= MIN_REQUESTS
        if not is_enough or len(refused) <= MAX_REFUSED_SHARE * len(requests):
            return []
        detail = (
            f"{len(refused)} of {len(requests)} requests to entries that were not "
            f"stopping were refused within {WINDOW_MS} ms"
        )
        return [self._finding("entries", end_ms, detail, refused[0])]

    def _check_changes(self, window: Window, end_ms: int) -> list[Finding]:
        changes = window.changes
        if len(changes) < MIN_CHANGES or any(c.status == CHANGED for c in changes):
            return []
        detail = f"none of {len(changes)} changes was accepted within {WINDOW_MS} ms"
        return [self._finding("control members", end_ms, detail)]

    def _finding(
        self,
        subject: str,
        at_ms: int,
        detail: str,
        request: RequestRecord | None = None,
    ) -> Finding:
        return Finding(
            promise=self.name,
            subject=subject,
            at_ms=at_ms,
            detail=detail,
            request=request,
        )


class IdleEnds(Promise):
    """A connection is not ended right after an answer that announced no close."""

    name = "idle connections"

    def __init__(self, history: History, limits: Limits):
        super().__init__(history, limits)
        # Last request of each connection that may be used again.
        self._last: dict[str, RequestRecord] = {}
        self._ended: list[IdleEnd] = []

    def add(self, record: object) -> None:
        """Add a record."""
        if not isinstance(record, RequestRecord):
            return
        before = self._last.pop(record.connection, None)
        if record.outcome is Outcome.ANSWERED:
            self._last[record.connection] = record
        if before is None or not record.closed_ms:
            return
        idle_ms = record.closed_ms - before.ended_ms
        if record.outcome is Outcome.NO_ANSWER and (
            0 <= idle_ms < IDLE_MS - record.standstill_ms
        ):
            self._ended.append(IdleEnd(record, idle_ms))

    def check(self, until_ms: int) -> list[Finding]:
        """Return the connections that were ended too early."""
        # Most connections carry no further request.
        self._last = {
            connection: record
            for connection, record in self._last.items()
            if record.ended_ms + MAX_REQUEST_MS > until_ms
        }
        ready = [e for e in self._ended if e.request.ended_ms + SETTLE_MS <= until_ms]
        self._ended = [each for each in self._ended if each not in ready]
        return [self._finding(each) for each in ready if not self._is_excused(each)]

    def _is_excused(self, end: "IdleEnd") -> bool:
        request = end.request
        from_ms = request.began_ms - MAX_REQUEST_MS
        stop = self.history.stop_before(request.entry, request.closed_ms)
        if stop is not None:
            # An entry whose time is over can wait for no further request.
            wait_ms = stop.grace_ms // LAST_PART + LAST_WAIT_MS
            if request.closed_ms >= stop.at_ms + stop.grace_ms - wait_ms:
                return True
        return self.history.has_fault(
            from_ms, request.ended_ms, self.limits.recovery_ms
        ) or self.history.was_ended(
            request.entry, from_ms, request.ended_ms, self.limits.second_signal_ends
        )

    def _finding(self, end: "IdleEnd") -> Finding:
        return Finding(
            promise=self.name,
            subject=end.request.name or end.request.connection,
            at_ms=end.request.closed_ms,
            detail=f"ended {end.idle_ms} ms after an answer that announced no close",
            request=end.request,
        )


@define(frozen=True)
class IdleEnd:
    """The end of a connection that waited for its next request.

    Attributes:
        request: The request that got no answer, sent or not.
        idle_ms: Time since the end of the answer before it.
    """

    request: RequestRecord
    idle_ms: int
