"""Follower side of replication: entries and snapshots received from the leader."""

from typing import TYPE_CHECKING

import attrs

from wagtailrun.consensus.journal_records import snapshot_checksum
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

if TYPE_CHECKING:
    from wagtailrun.consensus.member import Member

__all__ = ["Follower"]

# Term reported when a message for another member or cluster is rejected. It makes the
# leader neither step down nor extend its lease.
NO_TERM = 0


class Follower:
    """Stores the entries and installs the snapshots that a leader sends.

    Args:
        member: Member that owns this component.
    """

    def __init__(self, member: "Member"):
        self.member = member
        self.received_header: SnapshotHeader | None = None
        self.received_data = bytearray()

    async def handle_append(self, message: AppendEntries) -> AppendReply:
        """Store entries; a successful reply means that they are durable."""
        member = self.member
        journal = member.journal
        async with member.lock:
            rejection_term = await self._accept_leader(message)
            if rejection_term is not None:
                return AppendReply(member.identity, rejection_term, False, 0)
            hint = self._mismatch_hint(message)
            if hint is not None:
                return AppendReply(member.identity, member.term, False, hint)
            await self._store_entries(message.entries)
            last_index = message.previous_index + len(message.entries)
            await member.commit(min(message.commit_index, last_index))
            term = member.term
            last_index = max(last_index, journal.snapshot_index)
            return AppendReply(member.identity, term, True, last_index)

    async def handle_snapshot_piece(self, piece: SnapshotPiece) -> PieceReply:
        """Store one piece of a snapshot; install the snapshot once it is complete."""
        member = self.member
        async with member.lock:
            rejection_term = await self._accept_leader(piece)
            if rejection_term is not None:
                return PieceReply(member.identity, rejection_term, 0)
            header = piece.header
            if header.index <= member.commit_index:
                return PieceReply(member.identity, member.term, header.size)
            if header != self.received_header:
                self.received_header = header
                self.received_data = bytearray()
            if piece.offset == len(self.received_data):
                self.received_data += piece.data
            if len(self.received_data) >= header.size:
                await self._install_snapshot(header)
            installed = member.commit_index >= header.index
            offset = header.size if installed else len(self.received_data)
            return PieceReply(member.identity, member.term, offset)

    async def _accept_leader(
        self, message: AppendEntries | SnapshotPiece
    ) -> int | None:
        """Accept the sender as leader; return None, or the term of the rejection.

        Raises:
            RuntimeError: If two members lead in the same term.
        """
        member = self.member
        record = member.journal.member_record
        if message.recipient != member.identity or record.cluster not in (
            "",
            message.cluster,
        ):
            return NO_TERM
        if message.term < member.term:
            return member.term
        if message.term == member.term and member.role is Role.LEADER:
            raise RuntimeError(
                f"{message.leader} also leads in term {message.term}, which must not "
                "have two leaders"
            )
        member.become_follower(message.term, message.leader)
        member.known_leader_address = Address.parse(message.leader_address)
        member.last_leader_contact_ms = member.clock.now_ms()
        if record.term != message.term or record.cluster != message.cluster:
            vote = record.vote if record.term == message.term else ""
            record = attrs.evolve(
                record, term=message.term, vote=vote, cluster=message.cluster
            )
            await member.journal.save_record(record)
        return None

    def _mismatch_hint(self, message: AppendEntries) -> int | None:
        """Return the previous index that the leader should try next.

        None if the logs agree at ``previous_index``.
        """
        journal = self.member.journal
        if message.previous_index > journal.last_index:
            return journal.last_index
        if message.previous_index <= self.member.commit_index:
            return None  # Committed entries are the same at every member.
        if journal.term_at(message.previous_index) == message.previous_term:
            return None
        return max(message.previous_index - 1, self.member.commit_index)

    async def _store_entries(self, entries: tuple[Entry, ...]) -> None:
        journal = self.member.journal
        new_entries = [
            entry for entry in entries if entry.index > self.member.commit_index
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
        await self.member.journal.save_snapshot(header, data)
        self.member.restore_snapshot(header, data)
        await self.member.commit_advanced.notify()
