"""Exceptions of the package, refusals and verdicts."""

import enum

import attrs

__all__ = [
    "ResponseAborted",
    "ConsensusUnavailable",
    "ConnectFailed",
    "ConnectShortage",
    "CorruptRecord",
    "DiskFault",
    "DiskFull",
    "ExperimentFailed",
    "ExperimentFileError",
    "FleetTextError",
    "MalformedAddress",
    "MessageError",
    "PeerUnreachable",
    "Refusal",
    "RefusalReason",
    "ResultsError",
    "SendForbidden",
    "SettingsError",
    "TargetFailed",
    "TargetPaused",
    "Verdict",
    "VersionMismatch",
    "WagtailrunError",
]


class Verdict(enum.StrEnum):
    """Whether a request may have taken effect."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class RefusalReason(enum.StrEnum):
    """Cause of a refusal; each value is a stable name in the API."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    UNKNOWN_WORKSPACE = "unknown-workspace"
    UNKNOWN_PIPELINE = "unknown-pipeline"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_CALL = "unknown-call"
    UNAUTHORIZED = "unauthorized"
    NO_CONFIGURATION = "no-configuration"
    CONFIGURATION_OUTDATED = "configuration-outdated"
    KEYS_UNCONFIRMED = "keys-unconfirmed"
    UNKNOWN_ROUTE = "unknown-route"
    UNKNOWN_KEY = "unknown-key"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined-prompt"
    QUARANTINED_REQUEST = "quarantined-request"
    SHARE_EXCEEDED = "share-exceeded"
    DEADLINE = "deadline"
    NO_TARGET = "no-target"
    ORIGIN_UNKNOWN = "stream-origin-unknown"
    TARGET_FAILED = "target-failed"
    CONSENSUS_UNAVAILABLE = "consensus-unavailable"
    KEY_REUSED = "key-reused"
    KEY_TABLE_FULL = "key-table-full"
    ORDER_OPEN = "order-open"
    STALE_REVISION = "stale-revision"
    INVALID_TEXT = "invalid-text"
    UNKNOWN_DATA_CENTRE = "unknown-data-centre"
    FLEET_UNKNOWN = "fleet-unknown"
    TOO_MANY_EVACUATIONS = "too-many-evacuations"
    DRAINING = "draining"
    INTERNAL = "internal"


@attrs.frozen
class Refusal:
    """A request that was not answered, returned in place of an answer.

    Attributes:
        reason: Stable name of the cause.
        verdict: Whether the request may have taken effect.
        detail: One sentence for people.
        retry_after_ms: Delay before a retry, in milliseconds; 0 means that the request
            must not be retried unchanged.
        attempt_sent: Whether this request reached a target. False with the verdict
            ``may-have-run`` means that only an earlier request with the same key may
            have run.
    """

    reason: RefusalReason
    verdict: Verdict
    detail: str = ""
    retry_after_ms: int = 0
    attempt_sent: bool = True


class WagtailrunError(Exception):
    """Base class of all errors that this package raises."""


class SettingsError(WagtailrunError):
    """The settings are invalid; the message lists every fault."""


class FleetTextError(WagtailrunError):
    """A fleet text is invalid.

    Args:
        faults: One line for each fault, with key, value and remedy.
    """

    def __init__(self, faults: list[str]):
        super().__init__("\n".join(faults))
        self.faults = faults


class ExperimentFileError(WagtailrunError):
    """The file of an experiment is invalid.

    Args:
        faults: One line for each fault, with key, value and remedy.
    """

    def __init__(self, faults: list[str]):
        super().__init__("\n".join(faults))
        self.faults = faults


class ExperimentFailed(WagtailrunError):
    """An experiment could not be played or its results not be written."""


class MessageError(WagtailrunError):
    """A message of a peer cannot be decoded, or one to a peer cannot be encoded."""


class MalformedAddress(WagtailrunError):
    """The host of an address is no IP number, or its port is out of range."""


class PeerUnreachable(WagtailrunError):
    """A peer did not answer in time.

    Args:
        detail: What happened.
        sent: Whether part of the request may have reached the peer; not of one that it
            has not taken as it stops.
        alive: Whether the peer is not to be taken for dead or cut off: it answered
            another call a moment ago and is slow, or this process is at fault.
        shortage: Whether this process, or its VM, lacks what a connection needs.
        timed_out: Whether the time ended without an error of the connection.
        stopping: Whether the peer replied that it stops and has not taken the message.
    """

    def __init__(
        self,
        detail: str,
        *,
        sent: bool = True,
        alive: bool = False,
        shortage: bool = False,
        timed_out: bool = False,
        stopping: bool = False,
    ):
        super().__init__(detail)
        self.sent = sent and not stopping
        self.alive = alive or shortage
        self.shortage = shortage
        self.timed_out = timed_out
        self.stopping = stopping


class ConsensusUnavailable(WagtailrunError):
    """No leader with a quorum could be reached.

    Args:
        detail: What happened.
        may_have_committed: Whether the command may still take effect.
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    def __init__(
        self, detail: str, *, may_have_committed: bool, retry_after_ms: int = 1_000
    ):
        super().__init__(detail)
        self.may_have_committed = may_have_committed
        self.retry_after_ms = retry_after_ms


class DiskFault(WagtailrunError):
    """A write or sync failed; the process must not acknowledge anything more."""


class DiskFull(DiskFault):
    """A write was refused because the disk has no space left.

    Everything that was synced before is intact. Writing may go on once there is space
    and the files were opened again.
    """


class CorruptRecord(WagtailrunError):
    """A stored record fails its checksum; the message names file, offset and remedy."""


class ResultsError(WagtailrunError):
    """Results of an experiment cannot be read; the message names file and line."""


class TargetFailed(WagtailrunError):
    """A call to a target ended without a usable answer.

    Args:
        detail: What happened.
        verdict: Whether the target may have run the call, as it may unless disproved.
        timed_out: Whether nothing was received in time, as opposed to an error.
        closed: Whether the target closed or reset the connection.
        retry_after_ms: Delay that the target requested before a retry, in milliseconds;
            0 if it requested none.
        pauses: Whether the target is unavailable until then.
    """

    def __init__(
        self,
        detail: str,
        *,
        verdict: Verdict = Verdict.MAY_HAVE_RUN,
        timed_out: bool = False,
        closed: bool = False,
        retry_after_ms: int = 0,
        pauses: bool = False,
    ):
        super().__init__(detail)
        self.verdict = verdict
        self.timed_out = timed_out
        self.closed = closed
        self.retry_after_ms = retry_after_ms
        self.pauses = pauses


class ResponseAborted(WagtailrunError):
    """A response that has begun cannot be completed; its connection is closed."""


class SendForbidden(TargetFailed):
    """The permission to send ended while a connection was opened; no byte was sent."""

    def __init__(self, detail: str):
        super().__init__(detail, verdict=Verdict.NOT_RUN)


class TargetPaused(TargetFailed):
    """The target asked for a pause that has not ended; no byte was sent."""

    def __init__(self, detail: str, retry_after_ms: int):
        super().__init__(detail, verdict=Verdict.NOT_RUN, retry_after_ms=retry_after_ms)


class VersionMismatch(TargetFailed):
    """A stream may not go on with this answer, which may be of another version.

    Args:
        detail: What happened.
        final: Whether no other target can be checked either.
    """

    def __init__(self, detail: str, *, final: bool = False):
        super().__init__(detail)
        self.final = final


class ConnectFailed(TargetFailed):
    """No connection could be opened, so no byte was sent.

    Args:
        detail: What happened.
        refused: Whether the target refused the connection, as opposed to no reply.
        confirmed: Whether the target is at fault and not the path to it.
        undecided: Whether an entry that may have a path did not reply in time, or this
            process stood still, so that a further attempt may succeed.
    """

    def __init__(
        self,
        detail: str,
        *,
        refused: bool = False,
        confirmed: bool = True,
        undecided: bool = False,
    ):
        super().__init__(detail, verdict=Verdict.NOT_RUN)
        self.refused = refused
        self.confirmed = confirmed
        self.undecided = undecided


class ConnectShortage(ConnectFailed):
    """This process, or its VM, lacks what a connection needs.

    It says nothing about the target, nor about the path to it.

    Args:
        detail: What happened.
        retry_after_ms: Delay before a retry, in milliseconds.
        only_here: Whether connections to other targets may still be opened.
    """

    def __init__(self, detail: str, retry_after_ms: int, *, only_here: bool = False):
        super().__init__(detail, confirmed=False)
        self.retry_after_ms = retry_after_ms
        self.only_here = only_here
