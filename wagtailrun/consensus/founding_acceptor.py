"""Durable part of a member in founding the cluster: its promises and acceptances."""

import attrs

from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import (
    FoundingAccept,
    FoundingPrepare,
    FoundingQuery,
    FoundingRecord,
    FoundingReply,
)

__all__ = ["FoundingAcceptor", "FoundingRequest"]

FoundingRequest = FoundingQuery | FoundingPrepare | FoundingAccept


class FoundingAcceptor:
    """Promises and accepts ballots of seeds that found the cluster.

    Each answer that changes the record is given after the record is durable.

    Args:
        state: State of the member.
    """

    def __init__(self, state: MemberState):
        self.state = state

    @property
    def record(self) -> FoundingRecord:
        """Durable part of this member in founding the cluster."""
        return self.state.journal.member_record.founding

    @property
    def has_log(self) -> bool:
        """Whether this member has a log, after which it founds none."""
        return self.state.journal.last_index > 0

    async def handle(self, message: FoundingRequest) -> FoundingReply:
        """Promise or accept a ballot if that is allowed; return the state after it."""
        state = self.state
        async with state.lock:
            if not isinstance(message, FoundingQuery) and self._may_take_part(message):
                await self._take_part(message)
            cluster = state.journal.member_record.cluster if self.has_log else ""
            return FoundingReply(state.identity, cluster, self.record)

    def _may_take_part(self, message: FoundingPrepare | FoundingAccept) -> bool:
        return (
            message.recipient == self.state.identity
            and not self.has_log
            and bool(self.record.seeds)
            and message.seeds == self.record.seeds
            and message.ballot >= self.record.promised
        )

    async def _take_part(self, message: FoundingPrepare | FoundingAccept) -> None:
        record = attrs.evolve(self.record, promised=message.ballot)
        if isinstance(message, FoundingAccept):
            record = attrs.evolve(record, accepted=message.ballot, value=message.value)
        if record != self.record:
            await self.save(record)

    async def save(self, record: FoundingRecord) -> None:
        """Make ``record`` durable; the caller holds the lock of the state."""
        journal = self.state.journal
        await journal.save_record(attrs.evolve(journal.member_record, founding=record))
