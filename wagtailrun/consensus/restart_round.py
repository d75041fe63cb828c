"""Lets a member that has just started vote as soon as no voter leads any more."""

from collections.abc import Callable, Collection, Coroutine
from typing import Any

from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import (
    LeadershipQuery,
    LeadershipReply,
    MemberInfo,
)
from wagtailrun.consensus.state import Role
from wagtailrun.exceptions import PeerUnreachable

__all__ = ["RestartRound"]

# Pause before a voter that gave no answer is asked again, and before the first member
# asks again for votes that were refused. Some round trips between data centres.
RETRY_PAUSE_MS = 20
MAX_RETRY_PAUSE_MS = 160
# Time from the first campaign to a leader with a committed entry: about four round
# trips and two writes.
ELECTION_MS = 50


class RestartRound:
    """Asks all voters, once after the start of a member, whether they lead.

    A member that has started does not remember the leader whose lease it renewed
    before, so it withholds its vote for the longest time that a lease may last. It need
    not if that leader has said since this start that it does not lead: the leadership
    of a term ends for good, and what renews a later one is remembered here. Which
    member it was is not known, but each leader with a lease is a voter in the newest
    member set of any candidate that can win, as such a candidate has the first entry of
    the leader's term (docs/consensus.md). So the vote is free for a candidate all of
    whose voters have said so.

    Args:
        state: State of the member.
        campaign: Starts an election.
    """

    def __init__(
        self, state: MemberState, campaign: Callable[[], Coroutine[Any, Any, None]]
    ):
        self.state = state
        self.campaign = campaign
        # Term and index of the newest entry of each voter that does not lead, by
        # identity. Only replies to own questions count: a message of another member
        # may have been written before this one started.
        self.newest_by_identity: dict[str, tuple[int, int]] = {}
        self.asked: set[str] = set()

    def shows_no_leader(self, voters: Collection[str]) -> bool:
        """Return whether all these voters, this one aside, said that they do not lead.

        Args:
            voters: Identities of all voters of a candidate; empty if they are unknown.
        """
        if not voters or self.state.last_leader_contact_ms is not None:
            return False
        known = self.newest_by_identity.keys() | {self.state.identity}
        return set(voters) <= known

    async def run(self) -> None:
        """Ask the voters, then ask for votes if this member has the newest entries.

        Ends when a leader is known, or the usual elections have begun.
        """
        state = self.state
        pause_ms = RETRY_PAUSE_MS
        while not self._is_over():
            for info in self._other_voters():
                if info.identity not in self.asked:
                    self.asked.add(info.identity)
                    await state.spawn(self._ask_until_answered, info)
            if self._is_first() and not self._must_wait():
                await self.campaign()
                await state.clock.sleep_ms(pause_ms)
                pause_ms = min(2 * pause_ms, MAX_RETRY_PAUSE_MS)
            else:
                await state.clock.sleep_ms(RETRY_PAUSE_MS)

    def handle(self, query: LeadershipQuery) -> LeadershipReply:
        """Return whether this member leads, and its newest entry.

        One whose member runs in another cluster, or under another identity, gets an
        answer that counts for nothing.
        """
        state, journal = self.state, self.state.journal
        is_valid = state.note_recipient(query.recipient, query.cluster) and (
            journal.member_record.cluster == query.cluster
        )
        return LeadershipReply(
            state.identity if is_valid else "",
            state.role is Role.LEADER,
            journal.last_term,
            journal.last_index,
        )

    async def note_start(self, query: LeadershipQuery) -> None:
        """Ask the sender of a question at once, as it has just started.

        A question that was sent while its VM was down may be lost, which is noticed
        only after a time limit.
        """
        for info in self._other_voters():
            is_sender = info.identity == query.sender
            if is_sender and info.identity not in self.newest_by_identity:
                await self.state.spawn(self._ask_once, info)

    @property
    def leader_in_ms(self) -> int:
        """How soon a leader is expected after the start, 0 if that is not known.

        That is when votes are not withheld any more, unless all voters answer before.
        """
        if self._is_over():
            return 0
        state = self.state
        age_ms = state.clock.now_ms() - state.started_ms
        return max(state.timing.vote_withhold_ms - age_ms, 0) + ELECTION_MS

    def _other_voters(self) -> list[MemberInfo]:
        own = self.state.identity
        members = self.state.configuration.members
        return [info for info in members if info.voter and info.identity != own]

    def _is_over(self) -> bool:
        state = self.state
        if state.last_leader_contact_ms is not None or state.role is Role.LEADER:
            return True
        age_ms = state.clock.now_ms() - state.started_ms
        return age_ms >= state.timing.election_max_ms

    async def _ask_until_answered(self, info: MemberInfo) -> None:
        pause_ms = RETRY_PAUSE_MS
        while not self._is_over() and info.identity not in self.newest_by_identity:
            if not await self._ask(info):
                await self.state.clock.sleep_ms(pause_ms)
                pause_ms = min(2 * pause_ms, MAX_RETRY_PAUSE_MS)

    async def _ask_once(self, info: MemberInfo) -> None:
        await self._ask(info)

    async def _ask(self, info: MemberInfo) -> bool:
        """Ask one voter; return whether it said that it does not lead."""
        state = self.state
        query = LeadershipQuery(
            state.journal.member_record.cluster, info.identity, state.identity
        )
        try:
            reply = await state.link.call(
                info.peer_address, query, state.timing.call_timeout_ms
            )
        except PeerUnreachable:
            return False
        is_answer = isinstance(reply, LeadershipReply) and reply.sender == info.identity
        if not is_answer or reply.leads:
            return False
        self.newest_by_identity[info.identity] = (reply.last_term, reply.last_index)
        return True

    def _is_first(self) -> bool:
        """Return whether this member has the newest entries of those that answered.

        Of several, it is the first one by name, which also is the first to found.
        """
        state = self.state
        if not state.configuration.is_voter(state.identity):
            return False
        journal = state.journal
        own = (journal.last_term, journal.last_index)
        return all(
            newest < own or (newest == own and identity > state.identity)
            for identity, newest in self.newest_by_identity.items()
            if state.configuration.is_voter(identity)
        )

    def _must_wait(self) -> bool:
        """Return whether the own vote is still withheld.

        Without an answer of each voter, it is until ``vote_withhold_ms`` have passed.
        """
        state = self.state
        if self.shows_no_leader(state.configuration.voters()):
            return False
        age_ms = state.clock.now_ms() - state.started_ms
        return age_ms < state.timing.vote_withhold_ms
