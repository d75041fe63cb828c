"""Consensus messages between control members, and the records of their files.

The classes correspond to the structs of ``schema/consensus.capnp``.
"""

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
    "FoundingAccept",
    "FoundingBallot",
    "FoundingDecision",
    "FoundingOrder",
    "FoundingPrepare",
    "FoundingQuery",
    "FoundingRecord",
    "FoundingReply",
    "FoundingValue",
    "Handover",
    "Join",
    "JoinReply",
    "LeadershipQuery",
    "LeadershipReply",
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
    """Return the member name in an identity of the form ``NAME#INCARNATION``."""
    return identity.rpartition("#")[0]


class EntryKind(enum.IntEnum):
    """Kind of a log entry, which says what its data holds."""

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
        data: Command, or an encoded ``Configuration``; empty for a no-operation.
    """

    index: int
    term: int
    kind: int = attrs.field(converter=int)
    data: bytes


@attrs.frozen
class EntryBatch:
    """Entries that are written and synced as one record of a log segment."""

    entries: tuple[Entry, ...]


@attrs.frozen
class MemberInfo:
    """One member of the cluster.

    Attributes:
        identity: ``NAME#INCARNATION``.
        address: Peer address as text.
        voter: False for a learner, which receives the log but counts in no quorum.
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
    """The member set of the cluster; it takes effect as soon as it is in the log."""

    members: tuple[MemberInfo, ...] = ()

    def find(self, identity: str) -> MemberInfo | None:
        """Return the member with ``identity``, or None."""
        return next((m for m in self.members if m.identity == identity), None)

    def voters(self) -> list[str]:
        """Return the identities of the voters."""
        return [member.identity for member in self.members if member.voter]

    def quorum(self) -> int:
        """Return the number of voters that make a majority."""
        return len(self.voters()) // 2 + 1

    def is_voter(self, identity: str) -> bool:
        """Whether the member with ``identity`` counts in quorums."""
        return identity in self.voters()


@attrs.frozen(order=True)
class FoundingBallot:
    """Number of an attempt to found the cluster; later attempts are greater.

    Attributes:
        round: Counts the attempts, from 1; 0 is before the first.
        proposer: Identity of the proposing seed, which makes the ballot unique.
    """

    round: int = 0
    proposer: str = ""


@attrs.frozen
class FoundingValue:
    """What the seeds agree on: the cluster and the first entry of its log.

    Attributes:
        cluster: Identifier of the cluster, empty for no value.
        configuration: Initial member set.
    """

    cluster: str = ""
    configuration: Configuration = Configuration()


@attrs.frozen
class FoundingRecord:
    """Durable part that a member has in founding the cluster.

    Attributes:
        seeds: ``NAME=IP:PORT`` of the seeds that it may found the cluster with,
            sorted; empty if it may not.
        by_majority: Whether a majority of the seeds may found the cluster, else only
            all of them.
        promised: Newest ballot that it takes part in.
        accepted: Ballot of ``value``.
        value: Newest value that it has accepted.
    """

    seeds: tuple[str, ...] = ()
    by_majority: bool = False
    promised: FoundingBallot = FoundingBallot()
    accepted: FoundingBallot = FoundingBallot()
    value: FoundingValue = FoundingValue()


@attrs.frozen
class MemberRecord:
    """Durable state of a member besides its log and snapshot.

    Attributes:
        identity: Identity of the member.
        cluster: Identifier of the cluster that it belongs to, empty before it joins.
        term: Newest term in which it voted or accepted a leader.
        vote: Identity that it voted for in that term, or empty.
        founding: Its part in founding the cluster.
    """

    identity: str
    cluster: str = ""
    term: int = 0
    vote: str = ""
    founding: FoundingRecord = FoundingRecord()


@attrs.frozen
class SnapshotHeader:
    """Describes the snapshot whose data follows it.

    Attributes:
        index: Index of the newest entry that the snapshot includes.
        term: Term of that entry.
        commands: Number of commands applied up to that entry.
        configuration: Member set at that entry.
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
    """Entries that a leader sends to a follower; a heartbeat if there are none.

    Attributes:
        cluster: Identifier of the cluster.
        recipient: Identity of the follower with its incarnation, because a member that
            lost its disk must not answer for its former incarnation.
        term: Term of the leader.
        leader: Identity of the leader.
        leader_address: Peer address of the leader.
        previous_index: Index of the entry before ``entries``.
        previous_term: Term of that entry.
        commit_index: Commit index of the leader.
        entries: Consecutive entries in the order of their indexes.
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
    """Reply to ``AppendEntries``.

    Attributes:
        sender: Identity of the replying member.
        term: Its term, or 0 if the message was for another member or cluster.
        success: Whether the entries are durable in its log.
        last_index: Newest index known to match if ``success``, else the
            ``previous_index`` that the leader should try next.
    """

    sender: str
    term: int
    success: bool
    last_index: int


@attrs.frozen
class VoteRequest:
    """Request for a vote.

    Attributes:
        cluster: Identifier of the cluster.
        recipient: Identity of the voter with its incarnation.
        term: Term that the candidate wants to lead.
        candidate: Identity of the candidate.
        last_index: Index of the candidate's newest entry.
        last_term: Term of that entry.
        pre_vote: Whether to report only if the vote would be granted, without voting.
        handover: Whether the leader of the term before ``term`` has given up its
            leadership and asked for this election, so that no lease of it is left.
        voters: Identities of all voters in the candidate's newest member set; empty
            from an earlier build.
    """

    cluster: str
    recipient: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    handover: bool = False
    voters: tuple[str, ...] = ()


@attrs.frozen
class LeadershipQuery:
    """Question of a member that has just started, whether a voter leads.

    Attributes:
        cluster: Identifier of the cluster.
        recipient: Identity of the voter with its incarnation.
        sender: Identity of the member that asks.
    """

    cluster: str
    recipient: str
    sender: str


@attrs.frozen
class LeadershipReply:
    """Reply to ``LeadershipQuery``.

    Attributes:
        sender: Identity of the replying member; empty if it is not the one asked.
        leads: Whether it leads, with a lease or not.
        last_term: Term of its newest entry.
        last_index: Index of that entry.
    """

    sender: str
    leads: bool
    last_term: int
    last_index: int


@attrs.frozen
class VoteReply:
    """Reply to ``VoteRequest``."""

    sender: str
    term: int
    granted: bool


@attrs.frozen
class SnapshotPiece:
    """Part of a snapshot of the leader, beginning at byte ``offset`` of its data."""

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
    """Reply to ``SnapshotPiece``.

    Attributes:
        sender: Identity of the replying member.
        term: Its term, or 0 if the message was for another member or cluster.
        next_offset: Offset of the piece to send next in bytes; the size of the
            snapshot means that it is installed.
    """

    sender: str
    term: int
    next_offset: int


@attrs.frozen
class Join:
    """Request of a member to be added to the cluster as a learner."""

    identity: str
    address: str


@attrs.frozen
class JoinReply:
    """Reply to ``Join``.

    Attributes:
        identity: Identity of the replying member.
        cluster: Identifier of its cluster, empty if it belongs to none yet.
        peers: Peer addresses of the members in its newest member set.
    """

    identity: str
    cluster: str
    peers: tuple[str, ...] = ()


@attrs.frozen
class Handover:
    """Request of a leader that a fault has stopped: start an election at once.

    The reply is a ``VoteReply`` that says whether a quorum would elect the recipient.

    Attributes:
        cluster: Identifier of the cluster.
        recipient: Identity of the follower.
        term: Term that the sender led, and does not lead any more.
    """

    cluster: str
    recipient: str
    term: int


@attrs.frozen
class ReadIndex:
    """Request of a follower for the leader's commit index, to serve a read."""

    sender: str


@attrs.frozen
class ReadIndexReply:
    """Reply to ``ReadIndex``.

    Attributes:
        valid: Whether the replying member is the leader with a valid lease.
        index: Its commit index, 0 if not valid.
    """

    valid: bool
    index: int


@attrs.frozen
class FoundingQuery:
    """Question what a member knows about the founding; it promises nothing.

    A leader also sends it, to seeds that are not in its cluster.

    Attributes:
        sender: Identity of the asking member.
        cluster: Cluster that it leads, else empty.
        leader_address: Its peer address if it leads a cluster, else empty.
    """

    sender: str
    cluster: str = ""
    leader_address: str = ""


@attrs.frozen
class FoundingPrepare:
    """Request to promise that no earlier ballot is accepted from now on.

    Attributes:
        recipient: Identity of the seed with its incarnation.
        seeds: ``seeds`` of the proposer's ``FoundingRecord``.
        ballot: Ballot of the proposer.
    """

    recipient: str
    seeds: tuple[str, ...]
    ballot: FoundingBallot


@attrs.frozen
class FoundingAccept:
    """Request to accept a value, unless a later ballot was promised.

    Attributes:
        recipient: Identity of the seed with its incarnation.
        seeds: ``seeds`` of the proposer's ``FoundingRecord``.
        ballot: Ballot of the proposer.
        value: Value of the ballot.
    """

    recipient: str
    seeds: tuple[str, ...]
    ballot: FoundingBallot
    value: FoundingValue


@attrs.frozen
class FoundingDecision:
    """Message that enough seeds have accepted a value, which then never changes.

    Attributes:
        recipient: Identity of a member in the initial member set.
        value: The decided value.
    """

    recipient: str
    value: FoundingValue


@attrs.frozen
class FoundingOrder:
    """Order of an operator: found the cluster with all seeds, unless there is a log.

    Attributes:
        recipient: Identity of the seed with its incarnation.
        seeds: ``seeds`` of a ``FoundingRecord``.
    """

    recipient: str
    seeds: tuple[str, ...]


@attrs.frozen
class FoundingReply:
    """Reply to each message about the founding: the state after it.

    Attributes:
        sender: Identity of the replying member.
        cluster: Identifier of its cluster if it has a log, else empty.
        record: Its durable part in the founding.
    """

    sender: str
    cluster: str
    record: FoundingRecord


CODEC = Codec(
    Channel.CONSENSUS,
    "consensus.capnp",
    [
        AppendEntries,
        AppendReply,
        Configuration,
        EntryBatch,
        FoundingAccept,
        FoundingDecision,
        FoundingOrder,
        FoundingPrepare,
        FoundingQuery,
        FoundingReply,
        Handover,
        Join,
        JoinReply,
        LeadershipQuery,
        LeadershipReply,
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
