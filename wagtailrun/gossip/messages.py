"""Gossip messages between entries: rows, fleet configuration, status."""

import enum
import struct
from collections.abc import Iterable, Iterator

import attrs

from wagtailrun.codec import Channel, Codec, independent_rows
from wagtailrun.exceptions import MessageError
from wagtailrun.ports.link import Address
from wagtailrun.targets.path_hints import PathHint
from wagtailrun.targets.table import TargetRow, short_id

__all__ = [
    "AgedRow",
    "Confirmation",
    "EntryRow",
    "Growth",
    "Health",
    "ListTargets",
    "Marks",
    "GossipAsk",
    "GossipExchange",
    "GossipFetch",
    "GossipGrowth",
    "GossipHeard",
    "GossipProbe",
    "GossipReport",
    "GossipRows",
    "GossipStatus",
    "GossipTaken",
    "GossipText",
]

# Name, incarnation, age in units of 10 ms, sequence, running, queued. The incarnation
# is not shortened, so that a delayed record is never credited to another incarnation.
GROWTH_RECORD = struct.Struct("<IQHQHH")
AGE_UNIT_MS = 10
# Name, term, revision.
CONFIRMATION_RECORD = struct.Struct("<IIQ")
MAX_UINT16 = 0xFFFF


class Health(enum.IntEnum):
    """Health of an entry; of two rows with equal versions the greater value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen
class EntryRow:
    """Membership row of one entry.

    Attributes:
        name: Name of the VM.
        address: Peer address.
        data_centre: Data centre of the VM.
        incarnation: Grows each time the process starts.
        sequence: Grows each time the entry refutes a suspicion.
        health: A ``Health`` value.
        term: Term of the revision that is active there.
        revision: Revision of the fleet configuration that is active there.
    """

    name: str
    address: Address
    data_centre: str
    incarnation: int
    sequence: int = 0
    # pycapnp does not accept enum members.
    health: int = attrs.field(default=0, converter=int)
    term: int = 0
    revision: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Order of rows of the same entry; the greater row replaces the other."""
        return (self.incarnation, self.sequence, self.health)

    @property
    def process(self) -> tuple[str, int]:
        """Name and incarnation: an entry that was started again has forgotten all."""
        return (self.name, self.incarnation)

    @property
    def version(self) -> tuple[int, int]:
        """Term and revision that are active there."""
        return (self.term, self.revision)


@attrs.frozen
class AgedRow:
    """A target's row and the time since its last announcement."""

    row: TargetRow
    age_ms: int


@attrs.frozen
class Marks:
    """Numbers of the newest changes of one entry incarnation that were sent or seen.

    Only the entry that set them reads them; its partner returns them unchanged.
    ``growth`` is the number of the message, see ``GrowthProgress``; earlier software
    sends the number of a change.
    """

    incarnation: int = 0
    targets: int = 0
    growth: int = 0
    entries: int = 0
    confirmed: int = 0


@attrs.frozen
class GossipExchange:
    """One direction of a gossip exchange.

    Attributes:
        sender: Row of the sender.
        seen: The receiver's changes that the sender has.
        sent: The sender's changes that the receiver has after this message.
        targets: Changed rows of targets.
        growth: Packed ``Growth`` records.
        entries: Changed rows of entries.
        confirmed: Packed ``Confirmation`` records.
        hook: Bytes of the module that registered a hook.
        targets_digest: Digest of the state of all targets that the sender knows.
        entries_digest: Digest of all rows of entries that the sender knows.
        path_hints: Targets that the sender could not reach, for entries of its data
            centre.
    """

    sender: EntryRow
    seen: Marks = Marks()
    sent: Marks = Marks()
    targets: tuple[AgedRow, ...] = ()
    growth: bytes = b""
    entries: tuple[EntryRow, ...] = ()
    confirmed: bytes = b""
    hook: bytes = b""
    targets_digest: int = 0
    entries_digest: int = 0
    path_hints: tuple[PathHint, ...] = independent_rows(default=())


@attrs.frozen
class GossipRows:
    """Rows to forward to ``members``; also the reply to ``GossipAsk``."""

    targets: tuple[AgedRow, ...] = ()
    growth: bytes = b""
    entries: tuple[EntryRow, ...] = ()
    members: tuple[str, ...] = ()


@attrs.frozen
class GossipGrowth:
    """Packed ``Growth`` records for a watcher; small, as the most frequent message."""

    growth: bytes


@attrs.frozen
class GossipHeard:
    """Reply to ``GossipGrowth``."""


@attrs.frozen
class GossipTaken:
    """Reply to a push or a probe, with the active term and revision."""

    term: int = 0
    revision: int = 0
    alive: bool = True


@attrs.frozen
class GossipProbe:
    """Requests that a peer probe ``address`` on the sender's behalf."""

    address: Address


@attrs.frozen
class GossipAsk:
    """Requests newer rows of targets whose announcements are overdue at the sender."""

    names: tuple[str, ...]


@attrs.frozen
class GossipText:
    """A fleet configuration as JSON, whole or as a difference; see ``fleet_diff``."""

    sender: EntryRow
    term: int
    revision: int
    base_term: int = 0
    base_revision: int = 0
    difference: str = ""
    document: str = ""
    members: tuple[str, ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """Term and revision, by which configurations are ordered."""
        return (self.term, self.revision)


@attrs.frozen
class GossipFetch:
    """Requests the newest fleet configuration; the sender has the named revision."""

    term: int
    revision: int
    whole: bool = False


@attrs.frozen
class GossipStatus:
    """Requests the active revision of every entry that the receiver knows."""

    asker: str = ""


@attrs.frozen
class ListTargets:
    """Requests the targets of the receiver's data centre, as ``GossipRows``."""

    asker: str = ""


@attrs.frozen
class GossipReport:
    """Reply to ``GossipStatus``.

    Attributes:
        sender: Row of the replying entry.
        entries: Rows of all entries that it knows, itself included.
        waiting: Names of live local entries that have not confirmed its revision.
        isolated: Whether it reaches no other entry of its data centre.
        unconfirmed: Whether its targets are the last known ones and may be out of date.
    """

    sender: EntryRow
    entries: tuple[EntryRow, ...]
    waiting: tuple[str, ...]
    isolated: bool
    unconfirmed: bool


@attrs.frozen
class Growth:
    """Newest sequence number and load of a target whose row the receiver has."""

    target_id: int
    incarnation: int
    age_ms: int
    sequence: int
    running: int
    queued: int

    @classmethod
    def of(cls, row: TargetRow, age_ms: int) -> "Growth":
        """Return the record for ``row``."""
        return cls(
            short_id(row.name),
            row.incarnation,
            age_ms,
            row.sequence,
            row.running,
            row.queued,
        )


def pack_growth(records: Iterable[Growth]) -> bytes:
    """Return the packed records; load and age are capped at their largest value."""
    return b"".join(
        GROWTH_RECORD.pack(
            record.target_id,
            record.incarnation,
            min(record.age_ms // AGE_UNIT_MS, MAX_UINT16),
            record.sequence,
            min(record.running, MAX_UINT16),
            min(record.queued, MAX_UINT16),
        )
        for record in records
    )


def unpack_growth(data: bytes) -> Iterator[Growth]:
    """Yield the records in ``data``; raises MessageError if its length is wrong."""
    try:
        for target_id, incarnation, age, *rest in GROWTH_RECORD.iter_unpack(data):
            yield Growth(target_id, incarnation, age * AGE_UNIT_MS, *rest)
    except struct.error as error:
        raise MessageError(f"malformed growth records: {error}") from error


@attrs.frozen
class Confirmation:
    """Revision that is active on an entry."""

    entry_id: int
    term: int
    revision: int


def pack_confirmations(rows: Iterable[EntryRow]) -> bytes:
    """Return the active revisions of the entries ``rows`` as packed records."""
    return b"".join(
        CONFIRMATION_RECORD.pack(short_id(row.name), row.term, row.revision)
        for row in rows
    )


def unpack_confirmations(data: bytes) -> Iterator[Confirmation]:
    """Yield the records in ``data``; raises MessageError if its length is wrong."""
    try:
        for record in CONFIRMATION_RECORD.iter_unpack(data):
            yield Confirmation(*record)
    except struct.error as error:
        raise MessageError(f"malformed confirmation records: {error}") from error


CODEC = Codec(
    Channel.GOSSIP,
    "gossip.capnp",
    [
        GossipExchange,
        GossipRows,
        GossipGrowth,
        GossipHeard,
        GossipTaken,
        GossipProbe,
        GossipAsk,
        GossipText,
        GossipFetch,
        GossipStatus,
        GossipReport,
        ListTargets,
    ],
)
