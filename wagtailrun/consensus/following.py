"""Follower side of replication: entries and snapshots received from the leader."""

import attrs

from wagtailrun.consensus.journal_records import snapshot_checksum
from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import (
    AppendEntries,
    AppendReply,
    Entry,
    PieceReply,
    SnapshotHeader,
    SnapshotPiece,
)
from wagtailrun.consensus.state import Role
from wagtailrun.ports.link import Address

__all__ = ["Follower"]

# Term reported when a message for another member or cluster is rejected. It makes the
# leader neither step down nor extend its lease.
NO_TERM = 0


class Follower:
    """Stores the entries and installs the snapshots that a leader sends.

    Args:
        state: State of the member.
    """

    def __init__(self, state: MemberState):
        self.state = state
        self.received_header: SnapshotHeader | None = None
        self.received_data = bytearray()

    async def handle_append(self, message: AppendEntries) -> AppendReply:
        """Store entries; a successful reply means that they are durable."""
        state = self.state
        journal = state.journal
        async with state.lock:
            rejection_term = await self._accept_leader(message)
            if rejection_term is not None:
                return AppendReply(state.identity, rejection_term, False, 0)
            hint = self._mismatch_hint(message)
            if hint is not None:
                return AppendReply(state.identity, state.term, False, hint)
            await self._store_entries(message.entries)
            last_index = message.previous_index + len(message.entries)
            await state.commit(min(message.commit_index, last_index))
            term = state.term
            last_index = max(last_index, journal.snapshot_index)
            return AppendReply(state.identity, term, True, last_index)

    async def handle_snapshot_piece(self, piece: SnapshotPiece) -> PieceReply:
        """Store one piece of a snapshot; install the snapshot once it is complete."""
        state = self.state
        async with state.lock:
            rejection_term = await self._accept_leader(piece)
            if rejection_term is not None:
                return PieceReply(state.identity, rejection_term, 0)
            header = piece.header
            if header.index <= state.commit_index:
                return PieceReply(state.identity, state.term, header.size)
            if header != self.received_header:
                self.received_header = header
                self.received_data = bytearray()
            if piece.offset == len(self.received_data):
                self.received_data += piece.data
            if len(self.received_data) >= header.size:
                await self._install_snapshot(header)
            installed = state.commit_index >= header.index
            offset = header.size if installed else len(self.received_data)
            return PieceReply(state.identity, state.term, offset)

    async def _accept_leader(
        self, message: AppendEntries | SnapshotPiece
    ) -> int | None:
        """Accept the sender as leader; return None, or the term of the rejection.

        Raises:
            RuntimeError: If two members lead in the same term.
        """
        state = self.state
        record = state.journal.member_record
        is_recipient = state.note_recipient(
            message.recipient, message.cluster, message.leader_address
        )
        if not is_recipient or record.cluster not in ("", message.cluster):
            return NO_TERM
        if message.term < state.term:
            return state.term
        if message.term == state.term and state.role is Role.LEADER:
            raise RuntimeError(
                f"{message.leader} also leads in term {message.term}, which must not "
                "have two leaders"
            )
        state.become_follower(message.term, message.leader)
        state.known_leader_address = Address.parse(message.leader_address)
        state.last_leader_contact_ms = state.clock.now_ms()
        if record.term != message.term or record.cluster != message.cluster:
            vote = record.vote if record.term == message.term else ""
            record = attrs.evolve(
                record, term=message.term, vote=vote, cluster=message.cluster
            )
            await state.journal.save_record(record)
        return None

    def _mismatch_hint(self, message: AppendEntries) -> int | None:
        """Return the previous index that the leader should try next.

        None if the logs agree at ``previous_index``.
        """
        journal = self.state.journal
        if message.previous_index > journal.last_index:
            return journal.last_index
        if message.previous_index <= self.state.commit_index:
            return None  # Committed entries are the same at every member.
        if journal.term_at(message.previous_index) == message.previous_term:
            return None
        return max(message.previous_index - 1, self.state.commit_index)

    async def _store_entries(self, entries: tuple[Entry, ...]) -> None:
        journal = self.state.journal
        new_entries = [
            entry for entry in entries if entry.index > self.state.commit_index
        ]
        while new_entries and (
            journal.term_at(new_entries[0].index) == new_entries[0].term
        ):
            del new_entries[0]
        ticket = await journal.append(new_entries)
        # Needed even without new entries: entries that this member appended as a
        # leader may not be durable yet.
        await journal.wait_durable(ticket)

    async def _install_snapshot(self, header: SnapshotHeader) -> None:
        """Install the received snapshot, or discard it if it is damaged."""
        data = bytes(self.received_data)
        self.received_header = None
        self.received_data = bytearray()
        if len(data) != header.size or snapshot_checksum(data) != header.checksum:
            return
        await self.state.journal.save_snapshot(header, data)
        self.state.restore_snapshot(header, data)
        await self.state.commit_advanced.notify()
