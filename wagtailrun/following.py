"""Follower side of replication: entries and snapshots of a leader."""

from typing import TYPE_CHECKING

import attrs

from wagtailrun.consensus_messages import (
    AppendEntries,
    AppendReply,
    Entry,
    PieceReply,
    SnapshotHeader,
    SnapshotPiece,
)
from wagtailrun.consensus_state import Role
from wagtailrun.journal_records import snapshot_checksum
from wagtailrun.ports.link import Address

if TYPE_CHECKING:
    from wagtailrun.consensus import Member

__all__ = ["Follower"]

# A refusal with this term counts for nothing at the leader.
NO_TERM = 0


class Follower:
    """Takes entries and snapshots from the leader.

    Args:
        member: Member that this is a part of.
    """

    def __init__(self, member: "Member"):
        self.member = member
        self.received_header: SnapshotHeader | None = None
        self.received_data = bytearray()

    async def handle_append(self, message: AppendEntries) -> AppendReply:
        """Store entries; the reply says that they are durable."""
        member = self.member
        journal = member.journal
        async with member.lock:
            refusal_term = await self._refusal_term(message)
            if refusal_term is not None:
                return AppendReply(member.identity, refusal_term, False, 0)
            hint = self._mismatch_hint(message)
            if hint is not None:
                return AppendReply(member.identity, member.term, False, hint)
            await self._store(message.entries)
            last_index = message.previous_index + len(message.entries)
            await member.commit(min(message.commit_index, last_index))
            term = member.term
            last_index = max(last_index, journal.snapshot_index)
            return AppendReply(member.identity, term, True, last_index)

    async def handle_piece(self, piece: SnapshotPiece) -> PieceReply:
        """Collect a snapshot and install it when it is whole."""
        member = self.member
        async with member.lock:
            refusal_term = await self._refusal_term(piece)
            if refusal_term is not None:
                return PieceReply(member.identity, refusal_term, 0)
            header = piece.header
            if header.index <= member.commit_index:
                return PieceReply(member.identity, member.term, header.size)
            if header != self.received_header:
                self.received_header = header
                self.received_data = bytearray()
            if piece.offset == len(self.received_data):
                self.received_data += piece.data
            if len(self.received_data) >= header.size:
                await self._install(header)
            received = member.commit_index >= header.index
            offset = header.size if received else len(self.received_data)
            return PieceReply(member.identity, member.term, offset)

    async def _refusal_term(self, message: AppendEntries | SnapshotPiece) -> int | None:
        """Accept the sender as leader, or return the term for a refusal."""
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
            raise RuntimeError(f"{message.leader} leads in the same term")
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
        """Return the index to try next if the log does not match before the entries."""
        journal = self.member.journal
        if message.previous_index > journal.last_index:
            return journal.last_index
        if message.previous_index <= self.member.commit_index:
            return None  # Committed entries are equal everywhere.
        if journal.term_at(message.previous_index) == message.previous_term:
            return None
        return max(message.previous_index - 1, self.member.commit_index)

    async def _store(self, entries: tuple[Entry, ...]) -> None:
        journal = self.member.journal
        new = [entry for entry in entries if entry.index > self.member.commit_index]
        while new and journal.term_at(new[0].index) == new[0].term:
            del new[0]
        ticket = await journal.append(new)
        # Also without new entries: some may wait from when this member led.
        await journal.wait_durable(ticket)

    async def _install(self, header: SnapshotHeader) -> None:
        data = bytes(self.received_data)
        self.received_header = None
        self.received_data = bytearray()
        if len(data) != header.size or snapshot_checksum(data) != header.checksum:
            return
        await self.member.journal.save_snapshot(header, data)
        self.member.restore_snapshot(header, data)
        await self.member.commit_advanced.notify()
