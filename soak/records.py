"""Records of what callers, targets and operators see, and their JSON lines.

Times are milliseconds of ``SystemClock.now_ms``, which all processes of a machine
share. No record is made from a log of the fleet.
"""

import json
from enum import Enum
from pathlib import Path
from typing import Any, TextIO

import cattrs
from attrs import define, field

__all__ = [
    "BacklogRecord",
    "ChangeRecord",
    "ExitRecord",
    "FaultRecord",
    "Outcome",
    "ReadRecord",
    "ReadinessRecord",
    "RecordReader",
    "RecordWriter",
    "RequestRecord",
    "RunRecord",
    "SignalRecord",
    "SoakNotStarted",
    "StandstillRecord",
    "UsageRecord",
]


class SoakNotStarted(Exception):
    """The soak cannot start: bad input, or the machine has too little of something."""


class Outcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    # A whole answer with a status of 400 or more.
    REFUSED = "refused"
    # The connection ended before any byte of an answer.
    NO_ANSWER = "no answer"
    # It ended within an answer, or an event stream ended without its end.
    CUT = "cut"
    # The caller closed the connection itself.
    LEFT = "left"
    NO_CONNECTION = "no connection"
    # Neither an answer nor the end of the connection within the caller's limit.
    NO_END = "no end"


@define(frozen=True, kw_only=True)
class RequestRecord:
    """One request as its caller saw it.

    Attributes:
        name: Identifier that the caller gave it; the same one if it is repeated.
        attempt: 1, or more for a repetition with the same name.
        entry: Process that it was sent to.
        kind: Kind of request of the fleet.
        runs_once: Whether it must not run twice.
        key: Credential that it carried.
        resumes: Name of the request whose stream it takes up; empty for none.
        after_event: Last event that the caller had of that stream.
        is_routed: Whether the entry was in rotation when the connection was opened.
        began_ms: When the caller turned to it, on a connection that may be older.
        connection: Identifier of the connection.
        port: Port of the caller's end of the connection; 0 if there is none.
        position: Number of requests on the connection before it.
        connected_ms: When the connection was open; 0 if it never was.
        first_byte_ms: When the first byte of the request was handed over; 0 if none.
        sent_ms: When all of it was handed over; 0 if it was not.
        answer_ms: When the first byte of an answer arrived; 0 if none.
        ended_ms: When the answer was complete, or the request was given up.
        closed_ms: When the end of the connection arrived; 0 if it did not.
        was_reset: Whether the connection was reset rather than closed.
        received: Number of bytes that arrived.
        outcome: How it ended.
        status: Status of the answer; 0 without one.
        is_not_run: Whether the answer says that nothing ran.
        refusal: Beginning of the body of an answer that is an error.
        events: Numbers of the events of a stream, in order.
        versions: Software versions that the events name, each once.
        standstill_ms: Longest time that the caller's loop stood still meanwhile.
    """

    name: str
    entry: str
    kind: str
    outcome: Outcome
    attempt: int = 1
    runs_once: bool = True
    key: str = ""
    resumes: str = ""
    after_event: int = 0
    is_routed: bool = False
    began_ms: int = 0
    connection: str = ""
    port: int = 0
    position: int = 0
    connected_ms: int = 0
    first_byte_ms: int = 0
    sent_ms: int = 0
    answer_ms: int = 0
    ended_ms: int = 0
    closed_ms: int = 0
    was_reset: bool = False
    received: int = 0
    status: int = 0
    is_not_run: bool = False
    refusal: str = ""
    events: list[int] = field(factory=list)
    versions: list[str] = field(factory=list)
    standstill_ms: int = 0


@define(frozen=True, kw_only=True)
class RunRecord:
    """A request that arrived at a target, which runs it.

    Attributes:
        name: Identifier of the request.
        target: Target that ran it.
        at_ms: When it arrived there.
        version: Software version of the target.
        runs_once: Whether it must not run twice.
    """

    name: str
    target: str
    at_ms: int
    version: str = ""
    runs_once: bool = True


@define(frozen=True, kw_only=True)
class SignalRecord:
    """A signal that the soak sent to a process.

    Attributes:
        process: Name of the process.
        pid: Its process id, which tells one run of a process from the next.
        number: Number of the signal.
        at_ms: When it was sent.
        grace_ms: Time within which the process must be gone; 0 if it need not end.
        is_planned: Whether it belongs to planned work.
        answers_by_ms: Time from the signal by which a process whose stop is hindered
            has answered what it had by then; 0 for all other signals.
        has_shortage: Whether the process has no free descriptor while it stops.
    """

    process: str
    pid: int
    number: int
    at_ms: int
    grace_ms: int = 0
    is_planned: bool = True
    answers_by_ms: int = 0
    has_shortage: bool = False


@define(frozen=True, kw_only=True)
class BacklogRecord:
    """Connections that a process had not accepted as its descriptors ran out.

    Attributes:
        process: Name of the process.
        pid: Its process id.
        at_ms: When they were looked for.
        ports: Ports of the callers' ends.
    """

    process: str
    pid: int
    at_ms: int
    ports: list[int]


@define(frozen=True, kw_only=True)
class ExitRecord:
    """The end of a process.

    Attributes:
        process: Name of the process.
        pid: Its process id.
        at_ms: When it was seen to have ended.
        code: Exit code; the negative signal number if a signal ended it.
    """

    process: str
    pid: int
    at_ms: int
    code: int


@define(frozen=True, kw_only=True)
class ChangeRecord:
    """A change of the configuration.

    Attributes:
        version: Version that it makes.
        member: Control member that was asked.
        sent_ms: When it was sent.
        answered_ms: When the answer arrived; 0 if none did.
        status: Status of the answer; 0 if none arrived.
        is_valid: Whether the change could be accepted at all.
        revoked: Keys that it removes.
    """

    version: int
    member: str
    sent_ms: int
    answered_ms: int = 0
    status: int = 0
    is_valid: bool = True
    revoked: list[str] = field(factory=list)


@define(frozen=True, kw_only=True)
class ReadRecord:
    """A configuration version that a control member told.

    Attributes:
        version: The version.
        member: Control member that was asked.
        sent_ms: When it was asked.
        answered_ms: When the answer arrived.
    """

    version: int
    member: str
    sent_ms: int
    answered_ms: int


@define(frozen=True, kw_only=True)
class ReadinessRecord:
    """An answer to the question whether an entry is ready.

    Attributes:
        entry: The entry.
        at_ms: When the question was sent.
        is_ready: Whether it said so in time.
    """

    entry: str
    at_ms: int
    is_ready: bool


@define(frozen=True, kw_only=True)
class FaultRecord:
    """A fault that was applied from outside.

    Attributes:
        kind: Name of the kind of fault.
        subject: Process or link that it was applied to.
        from_ms: When it began.
        to_ms: When it ended; 0 while it lasts.
        detail: Strength, as text.
    """

    kind: str
    subject: str
    from_ms: int
    to_ms: int = 0
    detail: str = ""


@define(frozen=True, kw_only=True)
class UsageRecord:
    """What a process uses.

    Attributes:
        process: Name of the process.
        pid: Its process id.
        at_ms: When it was measured.
        resident_mb: Resident memory.
        descriptors: Number of open descriptors.
        log_bytes: Bytes that it has written to its log.
    """

    process: str
    pid: int
    at_ms: int
    resident_mb: float
    descriptors: int
    log_bytes: int


@define(frozen=True, kw_only=True)
class StandstillRecord:
    """A time during which the event loop of a part of the soak stood still.

    Attributes:
        loop: Name of the part: callers, targets, links, soak.
        at_ms: When it went on.
        lasted_ms: For how long.
    """

    loop: str
    at_ms: int
    lasted_ms: int


TYPES_BY_NAME = {
    each.__name__: each
    for each in (
        BacklogRecord,
        ChangeRecord,
        ExitRecord,
        FaultRecord,
        ReadRecord,
        ReadinessRecord,
        RequestRecord,
        RunRecord,
        SignalRecord,
        StandstillRecord,
        UsageRecord,
    )
}


class RecordWriter:
    """Appends records to a file, one JSON line each.

    Args:
        path: The file; only one process writes to it.
    """

    def __init__(self, path: Path):
        self._file: TextIO = path.open("a", buffering=1, encoding="utf-8")

    def write(self, record: Any) -> None:
        """Write one record."""
        value = [type(record).__name__, cattrs.unstructure(record)]
        self._file.write(json.dumps(value) + "\n")


class RecordReader:
    """Reads the records that a ``RecordWriter`` has written since the last time.

    Args:
        path: The file, which need not exist yet.
    """

    def __init__(self, path: Path):
        self._path = path
        self._offset = 0

    def read(self) -> list[Any]:
        """Return the records of all lines that are complete and were not read yet."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(self._offset)
            data = file.read()
        data = data[: data.rfind(b"\n") + 1]
        self._offset += len(data)
        return [self._parse(line) for line in data.splitlines()]

    @staticmethod
    def _parse(line: bytes) -> Any:
        name, value = json.loads(line)
        return cattrs.structure(value, TYPES_BY_NAME[name])
