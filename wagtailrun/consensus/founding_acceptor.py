"""Durable part of a member in founding the cluster: its promises and acceptances."""

from collections.abc import Iterable

import attrs

from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import (
    FoundingAccept,
    FoundingOrder,
    FoundingPrepare,
    FoundingQuery,
    FoundingRecord,
    FoundingReply,
)
from wagtailrun.ports.link import Address

__all__ = [
    "LISTEN_MS",
    "MAX_ROUND",
    "WRITES_PER_BALLOT",
    "WRITE_TIMEOUT_MS",
    "FoundingAcceptor",
    "FoundingRequest",
    "seed_texts",
]

# A cluster that loses its leader has another one within 4 s; a leader then calls the
# seeds that are not in its cluster every second.
LISTEN_MS = 10_000

# Timeout of a request that the receiver answers once its disk has written. Disks that
# several processes use at once take over a second.
WRITE_TIMEOUT_MS = 3_000

# Time in which a proposer sends the next message of its ballot, besides the time that
# disks need.
NEXT_MESSAGE_MS = 300
# Time that a member leaves to the ballots of others in a row, besides the time that
# disks need. A proposer may repeat its messages and never propose a value.
MAX_DEFERRAL_MS = 2_000
# A seed that proposes a value promises and accepts it, and so do the others before.
WRITES_PER_BALLOT = 4

# Greatest number of a ballot, far above what proposers reach that count up by one. The
# schema holds 64 bits; after a ballot of the greatest number there would be no other.
MAX_ROUND = 2**32

FoundingRequest = FoundingQuery | FoundingPrepare | FoundingAccept | FoundingOrder


def seed_texts(seeds: Iterable[tuple[str, Address]]) -> tuple[str, ...]:
    """Return ``seeds`` of a ``FoundingRecord`` for names and addresses of seeds."""
    return tuple(sorted(f"{name}={address}" for name, address in seeds))


class FoundingAcceptor:
    """Promises and accepts ballots of seeds that found the cluster.

    Each answer that changes the record is given after the record is durable.

    Args:
        state: State of the member.

    Attributes:
        write_ms: How long the last write to the disk took, at most the timeout of a
            request that needs one.
    """

    def __init__(self, state: MemberState):
        self.state = state
        self.write_ms = 0
        # Ballots of other seeds whose messages are handled now, until when their next
        # message may be on its way, and since when there has been one or the other.
        self._handling = 0
        self._expected_until_ms = 0
        self._deferring_since_ms = 0

    @property
    def record(self) -> FoundingRecord:
        """Durable part of this member in founding the cluster."""
        return self.state.journal.member_record.founding

    @property
    def has_log(self) -> bool:
        """Whether this member has a log, after which it founds none."""
        return self.state.journal.last_index > 0

    @property
    def cluster(self) -> str:
        """Cluster that this member belongs or has belonged to, empty if none.

        A leader or candidate may have named it before this member has a log. Until
        then, the cluster of the value that it has accepted does not count, as others
        may need its promise to finish the founding.
        """
        cluster = self.state.journal.member_record.cluster
        if not self.has_log and cluster == self.record.value.cluster:
            return self.state.heard_cluster
        return cluster

    async def handle(self, message: FoundingRequest) -> FoundingReply:
        """Promise or accept a ballot if that is allowed; return the state after it."""
        state = self.state
        if isinstance(message, FoundingQuery):
            # Answered without the lock, which is held while the disk writes.
            if message.cluster:
                state.note_cluster(message.cluster, message.leader_address)
            return self._reply()
        async with state.lock:
            if isinstance(message, FoundingOrder):
                await self._take_order(message)
            elif self._may_take_part(message):
                await self._take_part(message)
            return self._reply()

    async def handle_of_other(self, message: FoundingRequest) -> FoundingReply:
        """Handle a message of another seed; see ``handle``."""
        if isinstance(message, FoundingQuery | FoundingOrder):
            return await self.handle(message)
        clock, before = self.state.clock, self.record
        if not self._handling and clock.now_ms() >= self._expected_until_ms:
            self._deferring_since_ms = clock.now_ms()
        self._handling += 1
        try:
            reply = await self.handle(message)
        finally:
            self._handling -= 1
        if reply.record != before:
            # Else it was refused or repeated. The other seeds write at the same time,
            # and then the proposer does.
            wait_ms = NEXT_MESSAGE_MS + 2 * self.write_ms
            self._expected_until_ms = clock.now_ms() + wait_ms
        return reply

    @property
    def is_in_ballot(self) -> bool:
        """Whether to leave others time for a ballot that seems to be in progress."""
        now_ms = self.state.clock.now_ms()
        limit_ms = MAX_DEFERRAL_MS + WRITES_PER_BALLOT * self.write_ms
        if now_ms >= self._deferring_since_ms + limit_ms:
            return False
        return self._handling > 0 or now_ms < self._expected_until_ms

    def _reply(self) -> FoundingReply:
        return FoundingReply(self.state.identity, self.cluster, self.record)

    def _may_take_part(self, message: FoundingPrepare | FoundingAccept) -> bool:
        return (
            message.recipient == self.state.identity
            and not self.has_log
            and not self.cluster
            and bool(self.record.seeds)
            and message.seeds == self.record.seeds
            and message.ballot >= self.record.promised
            and message.ballot.round <= MAX_ROUND
        )

    async def _take_part(self, message: FoundingPrepare | FoundingAccept) -> None:
        record = attrs.evolve(self.record, promised=message.ballot)
        if isinstance(message, FoundingAccept):
            record = attrs.evolve(record, accepted=message.ballot, value=message.value)
        if record != self.record:
            await self.save(record)

    @property
    def order_seeds(self) -> tuple[str, ...]:
        """Seeds that operators may order this member to found a cluster with.

        A member that may found by a majority, or has accepted a value, keeps its seeds.
        The settings of others hold addresses only, so that the names of all seeds have
        to be their addresses. Empty if the member is no seed.
        """
        state, record = self.state, self.record
        is_bound = record.by_majority or record.value.cluster
        is_named = state.name == str(state.address) and state.address in state.peers
        if is_bound or not is_named:
            return record.seeds
        return seed_texts((str(address), address) for address in set(state.peers))

    async def _take_order(self, message: FoundingOrder) -> None:
        """Record the permission to found the cluster with all seeds.

        Only once this member has run for so long that it has heard of a cluster that
        goes on without it.
        Not by a majority: this member may have lost the disk of an earlier founding.
        """
        state = self.state
        if (
            message.recipient == state.identity
            and not self.has_log
            and not self.cluster
            and message.seeds == self.order_seeds != self.record.seeds
            and state.clock.now_ms() - state.started_ms >= LISTEN_MS
        ):
            await self.save(attrs.evolve(self.record, seeds=message.seeds))

    async def save(self, record: FoundingRecord) -> None:
        """Make ``record`` durable; the caller holds the lock of the state."""
        journal, started_ms = self.state.journal, self.state.clock.now_ms()
        await journal.save_record(attrs.evolve(journal.member_record, founding=record))
        self.note_write(started_ms)

    def note_write(self, started_ms: int) -> None:
        """Keep how long a write took that has ended now.

        A ballot that needs one longer than the timeout fails in any case, and a pause
        of the process counts as well; the delays must not grow with it.
        """
        took_ms = self.state.clock.now_ms() - started_ms
        self.write_ms = min(took_ms, WRITE_TIMEOUT_MS)
