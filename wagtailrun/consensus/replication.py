"""Leader side of replication: one task per follower, leader lease, commit index."""

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import (
    CODEC,
    AppendEntries,
    AppendReply,
    Configuration,
    Entry,
    EntryKind,
    MemberInfo,
    PieceReply,
    SnapshotHeader,
    SnapshotPiece,
)
from wagtailrun.consensus.state import Role, Signal
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.logs import events

__all__ = ["Progress", "Replication"]

MAX_APPEND_BYTES = 512 * 1024
SNAPSHOT_PIECE_BYTES = 256 * 1024
RETRY_DELAY_MS = 50


@attrs.define
class Progress:
    """Replication progress of one follower or learner.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Index of the newest entry known to be durable there.
        acknowledged_ms: Send time, by the leader's clock, of the newest message that
            the peer answered as a follower of this term.
        told_commit: Commit index in the newest entries that were sent.
    """

    next_index: int
    match_index: int = 0
    acknowledged_ms: int | None = None
    told_commit: int = 0


class Replication:
    """Sends the log to the other members while this member is the leader.

    Args:
        state: State of the member.
    """

    def __init__(self, state: MemberState):
        self.state = state
        self.progress_by_identity: dict[str, Progress] = {}
        self.first_index_of_term = 0
        self.appended = Signal()

    # Leadership

    async def start_leadership(self) -> None:
        """Become leader of the current term; the caller must hold the member's lock."""
        state = self.state
        state.role = Role.LEADER
        state.leader = state.identity
        self.progress_by_identity = {}
        self.first_index_of_term = state.journal.last_index + 1
        await self.append(EntryKind.NO_OPERATION, b"")
        await self._start_replicators()

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader, with a valid lease.

        False until an entry of its own term is committed: until then the leader cannot
        know what earlier leaders have committed.
        """
        state = self.state
        return (
            state.role is Role.LEADER
            and state.fault is None
            and state.commit_index >= self.first_index_of_term
            and self.lease_is_valid()
        )

    def leads_term(self, term: int) -> bool:
        """Whether this member is still the leader of ``term`` and has no fault."""
        state = self.state
        leading = state.role is Role.LEADER and state.term == term
        return leading and state.fault is None

    def lease_is_valid(self) -> bool:
        """Whether a quorum still withholds its votes from other candidates."""
        state = self.state
        now_ms = state.clock.now_ms()
        configuration = state.configuration
        times = []
        for identity in configuration.voters():
            progress = self.progress_by_identity.get(identity)
            if identity == state.identity:
                times.append(now_ms)
            elif progress is not None and progress.acknowledged_ms is not None:
                times.append(progress.acknowledged_ms)
        times.sort(reverse=True)
        if len(times) < configuration.quorum():
            return False
        start_ms = times[configuration.quorum() - 1]
        return now_ms < start_ms + state.timing.lease_ms

    async def append(self, kind: EntryKind, data: bytes) -> None:
        """Append one entry; the next disk write and the next messages include it."""
        state = self.state
        index = state.journal.last_index + 1
        await state.journal.append([Entry(index, state.term, kind, data)])
        await self.appended.notify()

    async def append_configuration(self, configuration: Configuration) -> None:
        """Append a new member set, which takes effect immediately."""
        members = [attrs.asdict(info) for info in configuration.members]
        events.log(
            events.CLUSTER_MEMBERSHIP_CHANGED,
            member=self.state.name,
            members=members,
        )
        await self.append(EntryKind.CONFIGURATION, CODEC.encode(configuration))
        await self._start_replicators()

    async def advance_commit(self) -> None:
        """Commit all entries that are durable at a quorum of voters."""
        state = self.state
        if not self.leads_term(state.term):
            return
        configuration = state.configuration
        matches = []
        for identity in configuration.voters():
            progress = self.progress_by_identity.get(identity)
            if identity == state.identity:
                matches.append(state.journal.durable_index)
            else:
                matches.append(progress.match_index if progress else 0)
        matches.sort(reverse=True)
        index = matches[configuration.quorum() - 1]
        # An entry of an earlier term is committed only by a later entry of this term.
        if state.journal.term_at(index) == state.term:
            is_first = state.commit_index < self.first_index_of_term
            await state.commit(index)
            if is_first:
                await self.appended.notify()

    # One task per follower

    async def _start_replicators(self) -> None:
        state = self.state
        for info in state.configuration.members:
            known = info.identity in self.progress_by_identity
            if info.identity != state.identity and not known:
                progress = Progress(next_index=state.journal.last_index + 1)
                self.progress_by_identity[info.identity] = progress
                await state.spawn(self._replicate, info, progress, state.term)

    def _should_replicate(
        self, info: MemberInfo, progress: Progress, term: int
    ) -> bool:
        current = self.progress_by_identity.get(info.identity) is progress
        configured = self.state.configuration.find(info.identity) is not None
        return self.leads_term(term) and current and configured

    async def _replicate(self, info: MemberInfo, progress: Progress, term: int) -> None:
        while self._should_replicate(info, progress, term):
            sent_ms = self.state.clock.now_ms()
            try:
                if self._needs_snapshot(progress):
                    await self._send_snapshot(info, progress, term)
                else:
                    await self._send_entries(info, progress, term)
            except PeerUnreachable:
                await self.state.clock.sleep_ms(RETRY_DELAY_MS)
                continue
            await self._wait_for_entry_or_heartbeat(progress, sent_ms)
        if self.progress_by_identity.get(info.identity) is progress:
            del self.progress_by_identity[info.identity]

    def _needs_snapshot(self, progress: Progress) -> bool:
        """Whether the follower needs entries that the log no longer holds.

        These are the next entry to send, and the term of the entry before it.
        """
        journal = self.state.journal
        unknown = journal.term_at(progress.next_index - 1) is None
        return unknown or progress.next_index < journal.first_index

    async def _wait_for_entry_or_heartbeat(
        self, progress: Progress, sent_ms: int
    ) -> None:
        """Wait for a new entry, or until the next heartbeat is due."""
        state = self.state
        # Heartbeats of all peers are due at the same times, so that an idle leader
        # wakes up once for all of them.
        heartbeat_ms = state.timing.heartbeat_ms
        due_ms = (sent_ms // heartbeat_ms + 1) * heartbeat_ms
        if progress.next_index <= state.journal.last_index:
            return
        # Followers confirm reads only after the first commit of a term. They learn of
        # later ones with the next message.
        if progress.told_commit < self.first_index_of_term <= state.commit_index:
            return
        wait_ms = max(due_ms - state.clock.now_ms(), 0)
        async with curio.ignore_after(wait_ms / MS_PER_SECOND):
            await self.appended.wait()

    async def _send_entries(
        self, info: MemberInfo, progress: Progress, term: int
    ) -> None:
        state = self.state
        journal = state.journal
        previous_index = progress.next_index - 1
        message = AppendEntries(
            cluster=journal.member_record.cluster,
            recipient=info.identity,
            term=term,
            leader=state.identity,
            leader_address=str(state.address),
            previous_index=previous_index,
            # Known, as the follower needs no snapshot.
            previous_term=journal.term_at(previous_index),  # type: ignore[arg-type]
            commit_index=state.commit_index,
            entries=journal.entries_from(progress.next_index, MAX_APPEND_BYTES),
        )
        reply = await self._call_follower(info, progress, term, message)
        if not isinstance(reply, AppendReply):
            return
        if reply.success:
            progress.told_commit = message.commit_index
        if reply.success:
            progress.match_index = max(progress.match_index, reply.last_index)
            progress.next_index = progress.match_index + 1
            await self.advance_commit()
        else:
            next_index = min(reply.last_index + 1, progress.next_index - 1)
            progress.next_index = max(next_index, progress.match_index + 1, 1)

    async def _send_snapshot(
        self, info: MemberInfo, progress: Progress, term: int
    ) -> None:
        snapshot = await self.state.journal.read_snapshot()
        if snapshot is None:
            raise RuntimeError(
                f"the log lacks the entry at index {progress.next_index}, but there is "
                "no snapshot"
            )
        header, data = snapshot
        offset = 0
        while self._should_replicate(info, progress, term):
            message = self._snapshot_piece(info, term, header, offset, data)
            reply = await self._call_follower(info, progress, term, message)
            if not isinstance(reply, PieceReply):
                return
            offset = reply.next_offset
            if offset >= header.size:
                progress.match_index = max(progress.match_index, header.index)
                progress.next_index = progress.match_index + 1
                return

    def _snapshot_piece(
        self,
        info: MemberInfo,
        term: int,
        header: SnapshotHeader,
        offset: int,
        data: bytes,
    ) -> SnapshotPiece:
        return SnapshotPiece(
            cluster=self.state.journal.member_record.cluster,
            recipient=info.identity,
            term=term,
            leader=self.state.identity,
            leader_address=str(self.state.address),
            header=header,
            offset=offset,
            data=data[offset : offset + SNAPSHOT_PIECE_BYTES],
        )

    async def _call_follower(
        self, info: MemberInfo, progress: Progress, term: int, message: object
    ) -> AppendReply | PieceReply | None:
        """Return the reply of a follower of ``term``, None if the leadership ended.

        Raises:
            PeerUnreachable: If there is no reply, it is of another type, or it comes
                from another identity or another cluster.
        """
        state = self.state
        sent_ms = state.clock.now_ms()
        timeout_ms = state.timing.call_timeout_ms
        reply = await state.link.call(info.peer_address, message, timeout_ms)
        if not isinstance(reply, AppendReply | PieceReply):
            raise PeerUnreachable(f"{info.identity} sent an unexpected reply {reply!r}")
        if reply.sender != info.identity:
            raise PeerUnreachable(
                f"expected a reply from {info.identity}, but {reply.sender} answered"
            )
        await state.observe_term(reply.term)
        if not self.leads_term(term):
            return None
        if reply.term != term:
            raise PeerUnreachable(f"{info.identity} belongs to another cluster")
        progress.acknowledged_ms = max(progress.acknowledged_ms or sent_ms, sent_ms)
        return reply
