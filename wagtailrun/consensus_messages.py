"""Messages among control members, and the records of their log files."""

import enum

import attrs

from wagtailrun.codec import Channel, Codec
from wagtailrun.ports.link import Address

__all__ = [
    "CODEC",
    "AppendEntries",
    "AppendReply",
    "Configuration",
    "Entry",
    "EntryBatch",
    "EntryKind",
    "Join",
    "JoinReply",
    "MemberInfo",
    "MemberRecord",
    "PieceReply",
    "ReadIndex",
    "ReadIndexReply",
    "SnapshotHeader",
    "SnapshotPiece",
    "VoteReply",
    "VoteRequest",
    "name_of",
]


def name_of(identity: str) -> str:
    """Return the name in an identity of the form ``NAME#INCARNATION``."""
    return identity.rpartition("#")[0]


class EntryKind(enum.IntEnum):
    """What the data of a log entry is."""

    COMMAND = 0
    NO_OPERATION = 1
    CONFIGURATION = 2


@attrs.frozen
class Entry:
    """One log entry.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that appended it.
        kind: Value of ``EntryKind``.
        data: Command, or an encoded ``Configuration``.
    """

    index: int
    term: int
    kind: int = attrs.field(converter=int)
    data: bytes


@attrs.frozen
class EntryBatch:
    """Entries that were written and synced together."""

    entries: tuple[Entry, ...]


@attrs.frozen
class MemberInfo:
    """One member of a configuration.

    Attributes:
        identity: ``NAME#INCARNATION``.
        address: Peer address as text.
        voter: False for a learner, which counts in no quorum.
    """

    identity: str
    address: str
    voter: bool

    @property
    def name(self) -> str:
        """Name of the VM."""
        return name_of(self.identity)

    @property
    def peer_address(self) -> Address:
        """Parsed peer address."""
        return Address.parse(self.address)


@attrs.frozen
class Configuration:
    """The members, in effect from the moment that its entry is in the log."""

    members: tuple[MemberInfo, ...] = ()

    def find(self, identity: str) -> MemberInfo | None:
        """Return the member with ``identity``, if there is one."""
        return next((m for m in self.members if m.identity == identity), None)

    def voters(self) -> list[str]:
        """Return the identities of the voters."""
        return [member.identity for member in self.members if member.voter]

    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters()) // 2 + 1

    def is_voter(self, identity: str) -> bool:
        """Whether ``identity`` counts in quorums."""
        return identity in self.voters()


@attrs.frozen
class MemberRecord:
    """What a member must remember besides the log.

    Attributes:
        identity: Its own identity.
        cluster: Identifier of the cluster that it belongs to, or empty.
        term: Newest term that it took part in.
        vote: Identity that it voted for in that term, or empty.
    """

    identity: str
    cluster: str = ""
    term: int = 0
    vote: str = ""


@attrs.frozen
class SnapshotHeader:
    """Describes the snapshot whose data follows it.

    Attributes:
        index: Newest entry that the snapshot holds.
        term: Term of that entry.
        commands: Number of commands that it holds.
        configuration: Members at that entry.
        size: Size of the data in bytes.
        checksum: Checksum of the data.
    """

    index: int
    term: int
    commands: int
    configuration: Configuration
    size: int
    checksum: int


@attrs.frozen
class AppendEntries:
    """Heartbeat and entries of a leader.

    ``recipient`` is the exact identity that is meant: a member with an emptied disk
    must not answer for the identity that it lost.
    """

    cluster: str
    recipient: str
    term: int
    leader: str
    leader_address: str
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


@attrs.frozen
class AppendReply:
    """Answer to ``AppendEntries``.

    Attributes:
        sender: Identity of the answering member.
        term: Its term.
        success: Whether the entries are durable in its log.
        last_index: Newest index known to match if ``success``, else a hint where to
            try next.
    """

    sender: str
    term: int
    success: bool
    last_index: int


@attrs.frozen
class VoteRequest:
    """Asks for a vote, or with ``pre_vote`` whether a vote would be granted."""

    cluster: str
    recipient: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool


@attrs.frozen
class VoteReply:
    """Answer to ``VoteRequest``."""

    sender: str
    term: int
    granted: bool


@attrs.frozen
class SnapshotPiece:
    """Part of a snapshot, from byte ``offset``."""

    cluster: str
    recipient: str
    term: int
    leader: str
    leader_address: str
    header: SnapshotHeader
    offset: int
    data: bytes


@attrs.frozen
class PieceReply:
    """Answer to ``SnapshotPiece``; ``next_offset`` at the size means installed."""

    sender: str
    term: int
    next_offset: int


@attrs.frozen
class Join:
    """A member without a configuration asks to be added."""

    identity: str
    address: str


@attrs.frozen
class JoinReply:
    """Answer to ``Join``.

    Attributes:
        identity: Identity of the answering member.
        cluster: Its cluster, empty at a member that has none yet.
        peers: Peer addresses of the members that it knows.
    """

    identity: str
    cluster: str
    peers: tuple[str, ...] = ()


@attrs.frozen
class ReadIndex:
    """Asks the leader what is committed, so that a follower can answer reads."""

    sender: str


@attrs.frozen
class ReadIndexReply:
    """Answer to ``ReadIndex``.

    Attributes:
        valid: Whether the sender leads under a valid lease.
        index: Its commit index; 0 if not valid.
    """

    valid: bool
    index: int


CODEC = Codec(
    Channel.CONSENSUS,
    "consensus.capnp",
    [
        AppendEntries,
        AppendReply,
        Configuration,
        EntryBatch,
        Join,
        JoinReply,
        MemberRecord,
        PieceReply,
        ReadIndex,
        ReadIndexReply,
        SnapshotHeader,
        SnapshotPiece,
        VoteReply,
        VoteRequest,
    ],
)
