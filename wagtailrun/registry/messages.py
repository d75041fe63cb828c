"""Registry commands and queries to control members, and their replies.

The classes correspond to the structs of ``schema/registry.capnp``. The wire names say
"text" for the source of the fleet configuration.
"""

import enum

import attrs

from wagtailrun.codec import Channel, Codec
from wagtailrun.ports.engine import EngineOrder

__all__ = [
    "ApplyText",
    "AuditPage",
    "AuditRecord",
    "CloseEngineOrder",
    "CloseOrder",
    "ClosePeriod",
    "ControllerGranted",
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
    """State of an order, as the registry reports it for a key.

    ``OPENED`` gives the sender the attempt; ``OPEN_ELSEWHERE`` says that another sender
    has it; ``KEY_REUSED`` refuses a different request under the same key.
    """

    OPENED = "opened"
    OPEN_ELSEWHERE = "open-elsewhere"
    CLOSED = "closed"
    KEY_REUSED = "key-reused"
    TABLE_FULL = "table-full"
    UNKNOWN = "unknown"


@attrs.frozen
class ApplyText:
    """Command that replaces the fleet configuration.

    Attributes:
        change_id: Identifier of the change; a resend has the same one.
        base_revision: Revision that the change is based on.
        operator: Name of the operator.
        source: Address that the change was sent from.
        text: Complete new fleet text.
        now_ms: Wall time of the leader, in milliseconds.
        fault: Why the leader found the text invalid, or empty. Only the leader checks
            it, because parsing takes far longer than a command may take to apply.
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
    """Command that replaces the fleet configuration by a higher version.

    The sender numbers the versions, so a resend or an older version changes nothing
    and needs no record.

    Attributes:
        version: Version number that the sender assigned, from 1.
        operator: Name of the operator.
        source: Address that the change was sent from.
        text: Complete new fleet text, checked by the member that received it.
        now_ms: Wall time of the leader, in milliseconds.
    """

    version: int
    operator: str
    source: str
    text: str
    now_ms: int


@attrs.frozen
class TextVerdict:
    """Result of ``ApplyText`` and ``PutText``.

    Attributes:
        accepted: Whether the change was accepted.
        revision: Revision of the change if accepted, else the current revision.
        detail: Why the change was refused.
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
    """Command that opens an attempt, before the entry sends an order to a target.

    Attributes:
        workspace: Workspace of the caller.
        key: Idempotency key of the caller.
        service: Service that will run the order.
        call: Call of the service.
        body_digest: Digest of the body; a request with the same key and another body
            is refused.
        entry: Entry that will send the order.
        entry_incarnation: Incarnation of that entry.
        now_ms: Wall time of the entry, in milliseconds. The leader replaces it by its
            own and shifts ``deadline_ms`` by the difference.
        deadline_ms: Wall time after which the entry does not send, in milliseconds.
        request_id: Identifier of the caller's request.
        sender: Unique number of this run at the entry. Callers may repeat a request
            id, so only this number distinguishes a resent command from a second
            request.
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
    """State of an order; result of ``OpenOrder``, ``CloseOrder`` and ``FindOrder``.

    Attributes:
        state: Value of ``OrderState``.
        attempt: Number of the newest attempt.
        verdict: Value of ``Verdict`` once the attempt is closed.
        status: HTTP status of the target's response.
        body: Body of the target's response, if it was stored.
        retry_after_ms: Delay before the next request, in milliseconds.
        answer_digest: SHA-256 of a response whose body was not stored, or empty.
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
    """Command that records the outcome of an attempt; the first record stays.

    Attributes:
        workspace: Workspace of the caller.
        key: Idempotency key of the caller.
        attempt: Number of the attempt. 0 withdraws every attempt that ``sender`` has
            opened, or would open by an ``OpenOrder`` that has not arrived yet.
        verdict: Value of ``Verdict``.
        status: HTTP status of the target's response.
        body: Body of the target's response, empty if it is too large to store.
        now_ms: Wall time of the leader, in milliseconds.
        entry: Entry that owns the attempt.
        entry_incarnation: Incarnation of that entry.
        sender: Sender number of the ``OpenOrder``.
        answer_digest: SHA-256 of a response whose body is left out, or empty.
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
    """Command that closes overdue orders and removes expired keys.

    Attributes:
        now_ms: Wall time of the leader, in milliseconds.
    """

    now_ms: int


@attrs.frozen
class Swept:
    """Result of ``SweepOrders``.

    Attributes:
        closed: Number of overdue orders that were closed.
        expired: Number of keys that were removed.
    """

    closed: int
    expired: int


@attrs.frozen
class GrantController:
    """Command that makes ``member`` the only issuer of engine orders."""

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
class PutEngineOrder:
    """Command that records an engine order before it is sent."""

    order: EngineOrder
    fence: int
    now_ms: int


@attrs.frozen
class CloseEngineOrder:
    """Command that records how an engine order ended; the first record stays."""

    order_id: str
    fence: int
    state: str
    now_ms: int


@attrs.frozen
class EngineOrderVerdict:
    """Result of ``PutEngineOrder`` and ``CloseEngineOrder``.

    Attributes:
        recorded: Whether the command took effect, now or when it was first sent.
        fence: Newest fencing token.
        detail: Why the command was refused.
    """

    recorded: bool
    fence: int
    detail: str = ""


@attrs.frozen
class ClosePeriod:
    """Command that closes an accounting period; the first digest stays.

    Attributes:
        period: Name of the period.
        digest: Digest of the totals of the period.
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
        digest: Digest of the totals that the period is closed with.
        totals: Totals that the period is closed with; empty if they were too large to
            keep or have been dropped for newer ones.
        closed_ms: Wall time of the closing, in milliseconds.
        first: Whether the digest of the command is the one that closed the period.
    """

    period: str
    digest: str
    totals: str
    closed_ms: int
    first: bool = True


@attrs.frozen
class RecordMembers:
    """Command that records a change of the control members in the audit trail.

    An order to evacuate a data centre is such a change, too; see
    ``wagtailrun.registry.evacuations``.

    Attributes:
        operator: Name of the operator.
        source: Address that the change was sent from.
        change: Description of the change.
        now_ms: Wall time of the leader, in milliseconds.
    """

    operator: str
    source: str
    change: str
    now_ms: int


@attrs.frozen
class MembersRecorded:
    """Result of ``RecordMembers``; ``number`` is that of the audit record."""

    number: int


@attrs.frozen
class AuditRecord:
    """One record of the audit trail.

    Attributes:
        number: Position in the trail, from 1.
        at_ms: Wall time of the command, in milliseconds since the Unix epoch.
        kind: Class name of the command.
        who: Name of the operator or member that sent the command.
        source: Address that the command was sent from.
        before_revision: Revision of the fleet configuration before the command.
        after_revision: Revision of the fleet configuration after the command.
        verdict: Decision on the command.
        subject: What the command was about.
        previous: SHA-256 of the preceding record, in hexadecimal.
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
    """Query for audit records from number ``first`` on, at most ``limit``."""

    first: int
    limit: int


@attrs.frozen
class AuditPage:
    """Reply to ``ExportAudit``.

    Attributes:
        records: Records in order, starting with the oldest one from ``first`` on that
            is still kept.
        head: Digest of the newest record of the trail.
        newest: Number of the newest record of the trail.
    """

    records: list[AuditRecord]
    head: str
    newest: int


@attrs.frozen
class ListOrders:
    """Query for the orders that are open or may have run.

    Attributes:
        workspace: Workspace of the orders, or empty for all workspaces.
        limit: Largest number of rows in the reply.
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
    """Reply to ``ListOrders``; ``total`` also counts the rows beyond the limit."""

    rows: list[OrderRow]
    total: int


@attrs.frozen
class WatchText:
    """Query for a revision of the fleet text newer than ``revision``.

    The reply is delayed until there is one, for at most ``wait_ms`` milliseconds.
    """

    revision: int
    wait_ms: int


@attrs.frozen
class TextUpdate:
    """Revision of the fleet text, complete or as a difference.

    Attributes:
        revision: Revision of the fleet text.
        base_revision: Revision that ``difference`` applies to.
        difference: Difference as JSON, or empty if ``text`` is given.
        text: Complete fleet text, or empty.
    """

    revision: int
    base_revision: int = 0
    difference: str = ""
    text: str = ""


@attrs.frozen
class NotLeader:
    """Reply of a member that is not the leader.

    Attributes:
        leader: Peer address of the leader, or empty if it is not known.
    """

    leader: str


@attrs.frozen
class Unavailable:
    """Reply without a quorum; the fields are those of ``ConsensusUnavailable``."""

    detail: str
    may_have_committed: bool
    retry_after_ms: int


@attrs.frozen
class FindOrder:
    """Query for the state of an order."""

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
