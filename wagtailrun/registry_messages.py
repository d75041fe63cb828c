"""Commands of the registry, their results, and questions to control members."""

import enum

import attrs

from wagtailrun.codec import Channel, Codec

__all__ = [
    "ApplyText",
    "AuditPage",
    "AuditRecord",
    "CloseEngineOrder",
    "CloseOrder",
    "ClosePeriod",
    "ControllerGranted",
    "EngineOrder",
    "EngineOrderKind",
    "EngineOrderState",
    "EngineOrderVerdict",
    "ExportAudit",
    "FindOrder",
    "GrantController",
    "ListOrders",
    "MembersRecorded",
    "NotLeader",
    "OpenOrder",
    "OrderList",
    "OrderRow",
    "OrderState",
    "OrderVerdict",
    "PeriodVerdict",
    "PutEngineOrder",
    "PutText",
    "RecordMembers",
    "SweepOrders",
    "Swept",
    "TextUpdate",
    "TextVerdict",
    "Unavailable",
    "WatchText",
]


class OrderState(enum.StrEnum):
    """What the registry answers about a key."""

    OPENED = "opened"
    OPEN_ELSEWHERE = "open-elsewhere"
    CLOSED = "closed"
    KEY_REUSED = "key-reused"
    TABLE_FULL = "table-full"
    UNKNOWN = "unknown"


class EngineOrderKind(enum.StrEnum):
    """What an engine is told to do; the subject names the model, adapter or role."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    UNLOAD_ADAPTER = "unload-adapter"
    SET_ROLE = "set-role"


class EngineOrderState(enum.StrEnum):
    """What is known of an engine order."""

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not-run"
    FAILED = "failed"
    SUPERSEDED = "superseded"


@attrs.frozen
class ApplyText:
    """Replaces the fleet text.

    Attributes:
        change_id: Identifier of the change; a resend carries the same one.
        base_revision: Revision that the change was made from.
        operator: Who asks.
        source: Address that the change came from.
        text: Whole new text.
        now_ms: Wall time of the leader, in milliseconds.
        fault: Why the leader found the text unacceptable, or empty. The leader
            checks the text once, because parsing it takes far longer than a command
            may take to apply.
    """

    change_id: str
    base_revision: int
    operator: str
    source: str
    text: str
    now_ms: int
    fault: str = ""


@attrs.frozen
class PutText:
    """Replaces the fleet text if its version is higher than the one in force.

    The sender numbers the texts, so a resend and a change that a higher version has
    overtaken need no record: both change nothing.

    Attributes:
        version: Number that the sender gave the text, from 1.
        operator: Who asks.
        source: Address that the change came from.
        text: Whole new text, checked by the member that received it.
        now_ms: Wall time of the leader, in milliseconds.
    """

    version: int
    operator: str
    source: str
    text: str
    now_ms: int


@attrs.frozen
class TextVerdict:
    """Result of ``ApplyText``.

    Attributes:
        accepted: Whether the text is in force.
        revision: Its revision if accepted, else the current one.
        detail: Why it was refused.
        difference: Unified difference from the current text to the refused one; empty
            unless the base revision was stale. Computed for each reply and not part
            of the replicated state.
    """

    accepted: bool
    revision: int
    detail: str = ""
    difference: str = ""


@attrs.frozen
class OpenOrder:
    """Records the intent to send an order to a target.

    Attributes:
        workspace: Workspace of the caller.
        key: Idempotency key of the caller.
        service: Service that will run the order.
        call: Call of the service.
        body_digest: Digest of the body; the same key with another one is refused.
        entry: Entry that will send it.
        entry_incarnation: Incarnation of that entry.
        now_ms: Wall time of the entry; the leader replaces it by its own and moves
            ``deadline_ms`` by the difference, in milliseconds.
        deadline_ms: Wall time after which the entry will not send, in milliseconds.
        request_id: Identifier of the caller's request.
        sender: Number of this run at the entry. Callers may repeat a request id, so
            only the sender number tells a resent command from a second request.
    """

    workspace: str
    key: str
    service: str
    call: str
    body_digest: str
    entry: str
    entry_incarnation: int
    now_ms: int
    deadline_ms: int
    request_id: str
    sender: int = 0


@attrs.frozen
class OrderVerdict:
    """What the registry knows of an order.

    Attributes:
        state: Value of ``OrderState``.
        attempt: Number of the newest attempt.
        verdict: Value of ``Verdict`` once the attempt is closed.
        status: HTTP status of the target's answer.
        body: Body of the target's answer, if it was stored.
        retry_after_ms: When to ask again, in milliseconds.
        answer_digest: SHA-256 of an answer whose body was not stored, or empty.
    """

    state: str
    attempt: int = 0
    verdict: str = ""
    status: int = 0
    body: bytes = b""
    retry_after_ms: int = 0
    answer_digest: str = ""


@attrs.frozen
class CloseOrder:
    """Records how an attempt of an order ended; the first record stays.

    Attributes:
        workspace: Workspace of the caller.
        key: Idempotency key of the caller.
        attempt: Number of the attempt; 0 withdraws whatever ``sender`` may have
            opened or may still open by a command that is under way.
        verdict: Value of ``Verdict``.
        status: HTTP status of the target's answer.
        body: Body of the target's answer, empty if too large to store.
        now_ms: Wall time of the leader, in milliseconds.
        entry: Entry that owns the attempt.
        entry_incarnation: Incarnation of that entry.
        sender: Sender number of the ``OpenOrder``.
        answer_digest: SHA-256 of an answer whose body is left out, or empty.
    """

    workspace: str
    key: str
    attempt: int
    verdict: str
    status: int
    body: bytes
    now_ms: int
    entry: str
    entry_incarnation: int
    sender: int = 0
    answer_digest: str = ""


@attrs.frozen
class SweepOrders:
    """Closes overdue orders and forgets old keys."""

    now_ms: int


@attrs.frozen
class Swept:
    """Result of ``SweepOrders``."""

    closed: int
    expired: int


@attrs.frozen
class GrantController:
    """Makes ``member`` the only issuer of engine orders."""

    member: str
    now_ms: int


@attrs.frozen
class ControllerGranted:
    """Result of ``GrantController``.

    Attributes:
        fence: Fencing token; each grant has a larger one.
        previous: Member that held the grant before, or empty.
    """

    fence: int
    previous: str = ""


@attrs.frozen
class EngineOrder:
    """One order to one engine.

    Attributes:
        order_id: Identifier, unique among all orders.
        target: Name of the engine.
        service: Service of the engine.
        data_centre: Data centre of the engine, whose weight budget it draws on.
        kind: Value of ``EngineOrderKind``.
        subject: Model, adapter or role.
        fence: Fencing token under which it was recorded.
        state: Value of ``EngineOrderState``.
        put_ms: When it was recorded, in milliseconds.
        closed_ms: When it was closed, in milliseconds; 0 while it is open.
    """

    order_id: str
    target: str
    service: str
    data_centre: str
    kind: str
    subject: str
    fence: int = 0
    state: str = EngineOrderState.OPEN
    put_ms: int = 0
    closed_ms: int = 0


@attrs.frozen
class PutEngineOrder:
    """Records an engine order before it is sent."""

    order: EngineOrder
    fence: int
    now_ms: int


@attrs.frozen
class CloseEngineOrder:
    """Records how an engine order ended; the first record stays."""

    order_id: str
    fence: int
    state: str
    now_ms: int


@attrs.frozen
class EngineOrderVerdict:
    """Result of commands about engine orders.

    Attributes:
        recorded: Whether the command took effect, now or by an earlier resend.
        fence: Newest fencing token.
        detail: Why it was refused.
    """

    recorded: bool
    fence: int
    detail: str = ""


@attrs.frozen
class ClosePeriod:
    """Closes an accounting period; the first digest stays.

    Attributes:
        period: Name of the period.
        digest: Digest of its totals.
        totals: Totals as JSON.
        now_ms: Wall time of the leader, in milliseconds.
    """

    period: str
    digest: str
    totals: str
    now_ms: int


@attrs.frozen
class PeriodVerdict:
    """Result of ``ClosePeriod``.

    Attributes:
        period: Name of the period.
        digest: Digest under which it is closed.
        totals: Totals under which it is closed, empty if too large to keep.
        closed_ms: When it was closed, in milliseconds.
        first: Whether this digest is the one that closed it.
    """

    period: str
    digest: str
    totals: str
    closed_ms: int
    first: bool = True


@attrs.frozen
class RecordMembers:
    """Records a change of the control members in the audit trail.

    Attributes:
        operator: Who asked for it.
        source: Address that it came from.
        change: What changed.
        now_ms: Wall time of the leader, in milliseconds.
    """

    operator: str
    source: str
    change: str
    now_ms: int


@attrs.frozen
class MembersRecorded:
    """Result of ``RecordMembers``: the number of the audit record."""

    number: int


@attrs.frozen
class AuditRecord:
    """One record of the audit trail.

    Attributes:
        number: Position in the trail, from 1.
        at_ms: When, in milliseconds since the Unix epoch.
        kind: Command that caused it.
        who: Operator or member.
        source: Address that the command came from.
        before_revision: Revision of the text before.
        after_revision: Revision of the text after.
        verdict: What was decided.
        subject: What it was about.
        previous: SHA-256 of the record before, in hexadecimal.
        digest: SHA-256 of all other fields, in hexadecimal.
    """

    number: int
    at_ms: int
    kind: str
    who: str
    source: str
    before_revision: int
    after_revision: int
    verdict: str
    subject: str
    previous: str
    digest: str = ""


@attrs.frozen
class ExportAudit:
    """Asks for audit records from number ``first`` on, at most ``limit``."""

    first: int
    limit: int


@attrs.frozen
class AuditPage:
    """Answers ``ExportAudit``.

    Attributes:
        records: Records in order, beginning with the oldest kept one from ``first``.
        head: Digest of the newest record of the trail.
        newest: Number of the newest record of the trail.
    """

    records: list[AuditRecord]
    head: str
    newest: int


@attrs.frozen
class ListOrders:
    """Asks for the orders that are open or may have run.

    Attributes:
        workspace: Only orders of this workspace, or empty for all.
        limit: Longest list wanted.
    """

    workspace: str
    limit: int


@attrs.frozen
class OrderRow:
    """One order that is open or may have run; its ``verdict`` is empty while open."""

    workspace: str
    key: str
    service: str
    call: str
    attempt: int
    verdict: str
    entry: str
    request_id: str
    opened_ms: int
    deadline_ms: int


@attrs.frozen
class OrderList:
    """Answers ``ListOrders``; ``total`` counts all of them before the limit."""

    rows: list[OrderRow]
    total: int


@attrs.frozen
class WatchText:
    """Asks for a text newer than ``revision``, waiting up to ``wait_ms``."""

    revision: int
    wait_ms: int


@attrs.frozen
class TextUpdate:
    """A text, whole or as a difference.

    Attributes:
        revision: Revision of the text.
        base_revision: Revision that ``difference`` applies to.
        difference: Difference as JSON, or empty when ``text`` is given.
        text: Whole text, or empty.
    """

    revision: int
    base_revision: int = 0
    difference: str = ""
    text: str = ""


@attrs.frozen
class NotLeader:
    """The member does not lead; ``leader`` is the address to ask, or empty."""

    leader: str


@attrs.frozen
class Unavailable:
    """No quorum could be reached; see ``ConsensusUnavailable``."""

    detail: str
    may_have_committed: bool
    retry_after_ms: int


@attrs.frozen
class FindOrder:
    """Asks what is known of an order."""

    workspace: str
    key: str


CODEC = Codec(
    Channel.REGISTRY,
    "registry.capnp",
    [
        ApplyText,
        AuditPage,
        CloseEngineOrder,
        CloseOrder,
        ClosePeriod,
        ControllerGranted,
        EngineOrderVerdict,
        ExportAudit,
        FindOrder,
        GrantController,
        ListOrders,
        MembersRecorded,
        NotLeader,
        OpenOrder,
        OrderList,
        OrderVerdict,
        PeriodVerdict,
        PutEngineOrder,
        PutText,
        RecordMembers,
        SweepOrders,
        Swept,
        TextUpdate,
        TextVerdict,
        Unavailable,
        WatchText,
    ],
)
