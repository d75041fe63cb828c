"""Messages between entries: rows, configuration, status."""

import enum
import struct
from collections.abc import Iterable, Iterator

import attrs

from wagtailrun.codec import Channel, Codec
from wagtailrun.exceptions import MessageError
from wagtailrun.membership import TargetRow, short_id
from wagtailrun.ports.link import Address

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

# Name, incarnation, age in units of 10 ms, sequence, running, queued. The whole
# incarnation is there, so that a delayed record is never credited to another start.
GROWTH = struct.Struct("<IQHQHH")
AGE_UNIT_MS = 10
# Name, term, revision.
CONFIRMATION = struct.Struct("<IIQ")
MAX_UINT16 = 0xFFFF


class Health(enum.IntEnum):
    """What is believed of an entry; at equal versions the greater one prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen
class EntryRow:
    """What is known of one entry.

    Attributes:
        name: Name of the VM.
        address: Peer address.
        data_centre: Data centre of the VM.
        incarnation: Grows each time the process starts.
        sequence: Grows when the entry refutes a suspicion.
        health: What is believed of it.
        term: Term of the revision in force there.
        revision: Revision in force there.
    """

    name: str
    address: Address
    data_centre: str
    incarnation: int
    sequence: int = 0
    # pycapnp takes no enum members.
    health: int = attrs.field(default=0, converter=int)
    term: int = 0
    revision: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Order of rows of the same entry; the greater row replaces the other."""
        return (self.incarnation, self.sequence, self.health)

    @property
    def version(self) -> tuple[int, int]:
        """Revision in force there."""
        return (self.term, self.revision)


@attrs.frozen
class AgedRow:
    """A target's row and how long ago the target was heard."""

    row: TargetRow
    age_ms: int


@attrs.frozen
class Marks:
    """Numbers of the newest changes sent or seen, of one incarnation of an entry."""

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
        hook: Bytes of another module.
        targets_digest: Digest of the state of all targets that the sender knows.
        entries_digest: Digest of all rows of entries that the sender knows.
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


@attrs.frozen
class GossipRows:
    """Rows to be passed on to ``members``; also the answer to ``GossipAsk``."""

    targets: tuple[AgedRow, ...] = ()
    growth: bytes = b""
    entries: tuple[EntryRow, ...] = ()
    members: tuple[str, ...] = ()


@attrs.frozen
class GossipGrowth:
    """Packed ``Growth`` records for a watcher; small, because it is the most sent."""

    growth: bytes


@attrs.frozen
class GossipHeard:
    """Answers ``GossipGrowth``."""


@attrs.frozen
class GossipTaken:
    """Answers a push or a probe; names the revision in force."""

    term: int = 0
    revision: int = 0
    alive: bool = True


@attrs.frozen
class GossipProbe:
    """Asks a peer to call ``address`` in the sender's place."""

    address: Address


@attrs.frozen
class GossipAsk:
    """Asks for newer knowledge of targets that were not heard lately."""

    names: tuple[str, ...]


@attrs.frozen
class GossipText:
    """A fleet text as JSON, whole or as a difference; see ``fleet_diff``."""

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
        """Order of texts."""
        return (self.term, self.revision)


@attrs.frozen
class GossipFetch:
    """Asks for the newest text; the asker has the named revision."""

    term: int
    revision: int
    whole: bool = False


@attrs.frozen
class GossipStatus:
    """Asks an entry which revision is in force on which entry."""

    asker: str = ""


@attrs.frozen
class ListTargets:
    """Asks an entry for the targets of its data centre, as ``GossipRows``."""

    asker: str = ""


@attrs.frozen
class GossipReport:
    """Answers ``GossipStatus``.

    Attributes:
        sender: Row of the entry that answers.
        entries: Every entry that it knows, itself included.
        waiting: Names of live local entries that have not confirmed its revision.
        isolated: Whether it reaches no other entry of its data centre.
        unconfirmed: Whether its targets are the last known ones, not confirmed ones.
    """

    sender: EntryRow
    entries: tuple[EntryRow, ...]
    waiting: tuple[str, ...]
    isolated: bool
    unconfirmed: bool


@attrs.frozen
class Growth:
    """Newest sequence and load of a target whose row the receiver has."""

    target_id: int
    incarnation: int
    age_ms: int
    sequence: int
    running: int
    queued: int

    @classmethod
    def of(cls, row: TargetRow, age_ms: int) -> "Growth":
        """Return the record of a row."""
        return cls(
            short_id(row.name),
            row.incarnation,
            age_ms,
            row.sequence,
            row.running,
            row.queued,
        )


def pack_growth(records: Iterable[Growth]) -> bytes:
    """Return the records as bytes; load and age are cut off at their largest value."""
    return b"".join(
        GROWTH.pack(
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
    """Yield packed records; raises MessageError if the bytes are none."""
    try:
        for target_id, incarnation, age, *rest in GROWTH.iter_unpack(data):
            yield Growth(target_id, incarnation, age * AGE_UNIT_MS, *rest)
    except struct.error as error:
        raise MessageError("growth records of a wrong length") from error


@attrs.frozen
class Confirmation:
    """Revision in force on an entry."""

    entry_id: int
    term: int
    revision: int


def pack_confirmations(rows: Iterable[EntryRow]) -> bytes:
    """Return the revisions in force on ``rows``."""
    return b"".join(
        CONFIRMATION.pack(short_id(row.name), row.term, row.revision) for row in rows
    )


def unpack_confirmations(data: bytes) -> Iterator[Confirmation]:
    """Yield packed records; raises MessageError if the bytes are none."""
    try:
        for record in CONFIRMATION.iter_unpack(data):
            yield Confirmation(*record)
    except struct.error as error:
        raise MessageError("confirmations of a wrong length") from error


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
