"""Commands of the registry, their results, and questions to control members."""

import enum

import attrs

from wagtailrun.codec import Channel, Codec

__all__ = [
    "ApplyText",
    "CloseOrder",
    "FindOrder",
    "NotLeader",
    "OpenOrder",
    "OrderState",
    "OrderVerdict",
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
    """

    change_id: str
    base_revision: int
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
    """

    accepted: bool
    revision: int
    detail: str = ""


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
        now_ms: Wall time of the leader, in milliseconds.
        deadline_ms: Wall time after which the entry will not send, in milliseconds.
        request_id: Identifier of the caller's request.
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


@attrs.frozen
class OrderVerdict:
    """What the registry knows of an order.

    Attributes:
        state: Value of ``OrderState``.
        attempt: Number of the newest attempt.
        verdict: Value of ``Verdict`` once the attempt is closed.
        status: HTTP status of the target's answer.
        body: Body of the target's answer.
        retry_after_ms: When to ask again, in milliseconds.
    """

    state: str
    attempt: int = 0
    verdict: str = ""
    status: int = 0
    body: bytes = b""
    retry_after_ms: int = 0


@attrs.frozen
class CloseOrder:
    """Records how an attempt of an order ended; the first record stays."""

    workspace: str
    key: str
    attempt: int
    verdict: str
    status: int
    body: bytes
    now_ms: int
    entry: str
    entry_incarnation: int


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
        CloseOrder,
        FindOrder,
        NotLeader,
        OpenOrder,
        OrderVerdict,
        SweepOrders,
        Swept,
        TextUpdate,
        TextVerdict,
        Unavailable,
        WatchText,
    ],
)
