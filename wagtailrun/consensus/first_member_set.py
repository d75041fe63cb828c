"""Completion of the first member set with the one seed that was absent."""

from wagtailrun.consensus.founding import FIRST_TERM, Founding, seed_addresses
from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import (
    CODEC,
    Configuration,
    Entry,
    EntryKind,
    FoundingQuery,
    FoundingReply,
    MemberInfo,
    name_of,
)
from wagtailrun.logs import events

__all__ = ["FirstMemberSet"]

ROUND_INTERVAL_MS = 250
# Index of the entry that founds the log.
FOUNDING_INDEX = 1


class FirstMemberSet:
    """Adds the absent seed to a first member set that has all other seeds.

    Entry 2 of term 1 has only one possible content, because only one identity of a
    name ever has the permission to found the cluster by a majority. So each member may
    write it without asking the others, while its log holds nothing but entry 1.

    Args:
        state: State of the member.
        founding: Founding of the cluster at this member.
    """

    def __init__(self, state: MemberState, founding: Founding):
        self.state = state
        self.founding = founding

    async def run(self) -> None:
        """Ask the absent seed, and add it, until the log has a second entry."""
        while self.state.journal.last_index <= FOUNDING_INDEX:
            name = self.absent_seed
            if name:
                await self._ask(name)
            await self.state.clock.sleep_ms(ROUND_INTERVAL_MS)

    @property
    def absent_seed(self) -> str:
        """Name of the seed that this member may add, empty if it may add none.

        With an odd number of members, a further voter would raise their majority.
        """
        journal = self.state.journal
        record = self.founding.acceptor.record
        members = journal.configuration()
        if (
            journal.last_index != FOUNDING_INDEX
            or not record.by_majority
            or not members.is_voter(self.state.identity)
            or len(members.members) % 2
        ):
            return ""
        names = set(seed_addresses(record)) - {info.name for info in members.members}
        return names.pop() if len(names) == 1 else ""

    async def _ask(self, name: str) -> None:
        address = seed_addresses(self.founding.acceptor.record)[name]
        message = FoundingQuery(self.state.identity)
        replies = await self.founding.call_all({address: message})
        reply = replies.get(address)
        if reply is not None and self._may_add(name, reply):
            await self._add(name, MemberInfo(reply.sender, str(address), voter=True))

    def _may_add(self, name: str, reply: FoundingReply) -> bool:
        """Whether the reply comes from the one identity that may be added."""
        record = self.founding.acceptor.record
        cluster = self.state.journal.member_record.cluster
        return (
            name_of(reply.sender) == name
            and reply.record.by_majority
            and reply.record.seeds == record.seeds
            and reply.cluster in ("", cluster)
        )

    async def _add(self, name: str, seed: MemberInfo) -> None:
        """Append entry 2 with the absent seed, and ask for votes."""
        state, journal = self.state, self.state.journal
        async with state.lock:
            if self.absent_seed != name:
                return  # A leader has sent an entry since.
            members = Configuration((*journal.configuration().members, seed))
            data = CODEC.encode(members)
            entry = Entry(FOUNDING_INDEX + 1, FIRST_TERM, EntryKind.CONFIGURATION, data)
            await journal.wait_durable(await journal.append([entry]))
        names = [info.name for info in members.members]
        events.log(events.CLUSTER_FOUNDED, member=state.name, members=names)
        await self.founding.lead_first()
