"""Leader election: pre-votes, votes, and the rules for granting them."""

from typing import TYPE_CHECKING

import attrs
import curio

from wagtailrun.consensus.messages import MemberInfo, VoteReply, VoteRequest
from wagtailrun.consensus.state import Role
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.logs import events

if TYPE_CHECKING:
    from wagtailrun.consensus.member import Member

__all__ = ["Election"]


class Election:
    """Starts elections and answers the vote requests of other candidates.

    Args:
        member: Member that owns this component.
    """

    def __init__(self, member: "Member"):
        self.member = member
        # Local time at which this member last granted a vote or started an election.
        self.timer_reset_ms: int | None = None
        # Term whose leader gave up its leadership in favour of this member.
        self.handover_term: int | None = None

    async def run(self) -> None:
        """Start an election whenever the election timeout passes without a leader.

        A leader that is without a valid lease at two checks in a row steps down.
        """
        member = self.member
        timing = member.timing
        had_lease = True
        while True:
            timeout_ms = member.random.randint(
                timing.election_min_ms, timing.election_max_ms
            )
            while (
                wait_ms := self._election_timer_start_ms() + timeout_ms - self._now_ms()
            ) > 0:
                await member.clock.sleep_ms(wait_ms)
            self.timer_reset_ms = self._now_ms()
            if member.role is not Role.LEADER:
                had_lease = True
                await self.campaign()
                continue
            has_lease = member.replication.lease_is_valid()
            if not has_lease and not had_lease:
                # Its heartbeats may still arrive at the followers, whose election
                # timers then never expire.
                await self.step_down()
            had_lease = has_lease

    async def step_down(self) -> None:
        """Give up the leadership, if this member has it, for good in its term."""
        member = self.member
        async with member.lock:
            if member.role is Role.LEADER:
                member.become_follower(member.term, None)
                member.leader = None

    async def take_over(self, term: int) -> bool:
        """Start an election for the leader of ``term``, which gave up its leadership.

        Returns:
            Whether a quorum granted its pre-votes.
        """
        member = self.member
        self.handover_term = term
        self.timer_reset_ms = self._now_ms()
        if not member.configuration.is_voter(member.identity):
            return False
        if not await self._request_votes(term + 1, pre_vote=True):
            return False
        await member.spawn(self._request_leadership)
        return True

    async def campaign(self) -> None:
        """Request pre-votes, then votes, and become leader if a quorum grants them."""
        member = self.member
        if member.handover.refuses_leadership:
            return
        if not member.configuration.is_voter(member.identity) or self.must_not_vote():
            return
        if await self._request_votes(member.term + 1, pre_vote=True):
            await self._request_leadership()

    async def _request_leadership(self) -> None:
        """Request votes for a new term, after a quorum has granted its pre-votes."""
        member = self.member
        async with member.lock:
            lease_given_up = self.handover_term == member.term
            if member.role is Role.LEADER or self._must_withhold(lease_given_up):
                return
            member.become_follower(member.term + 1, None)
            member.role = Role.CANDIDATE
            term = member.term
            self.timer_reset_ms = self._now_ms()
            await self._save_vote(
                term, member.identity, member.journal.member_record.cluster
            )
        won = await self._request_votes(term, pre_vote=False)
        async with member.lock:
            if won and member.role is Role.CANDIDATE and member.term == term:
                events.log(events.BECAME_LEADER, member=member.name, term=term)
                await member.replication.start_leadership()

    async def handle_vote(self, request: VoteRequest) -> VoteReply:
        """Grant or deny a vote or a pre-vote."""
        member = self.member
        async with member.lock:
            # The lease of the leader of this member's term has ended, if that leader
            # itself asked for the election.
            lease_given_up = request.handover and request.term == member.term + 1
            granted = self._is_intended_recipient(request) and not self._must_withhold(
                lease_given_up
            )
            if granted:
                granted = await self._evaluate_vote(request)
            return VoteReply(member.identity, member.term, granted)

    def _must_withhold(self, lease_given_up: bool) -> bool:
        """Whether this member must not vote; see ``must_not_vote``.

        Args:
            lease_given_up: Whether the leader of the current term has given up.
        """
        member = self.member
        if lease_given_up and member.role is not Role.LEADER and member.fault is None:
            return False
        return self.must_not_vote()

    def must_not_vote(self) -> bool:
        """Whether this member must deny votes, because a leader may hold a lease.

        Also true after a fault, which ends this member's part in elections.
        """
        member = self.member
        if member.fault is not None:
            return True
        if member.role is Role.LEADER and member.replication.lease_is_valid():
            return True
        now_ms = self._now_ms()
        last_contact_ms = (
            member.started_ms
            if member.last_leader_contact_ms is None
            else member.last_leader_contact_ms
        )
        return now_ms < last_contact_ms + member.timing.vote_withhold_ms

    def _is_intended_recipient(self, request: VoteRequest) -> bool:
        """Whether the request is for this incarnation, in this cluster.

        The recipient is a voter in the candidate's newest member set. A new
        incarnation becomes a voter only after it has caught up with the log, so its
        vote is valid even if its own log does not show the promotion yet.
        """
        cluster = self.member.journal.member_record.cluster
        return request.recipient == self.member.identity and (
            not cluster or cluster == request.cluster
        )

    async def _evaluate_vote(self, request: VoteRequest) -> bool:
        member = self.member
        journal = member.journal
        newer = request.term > member.term
        if newer and not request.pre_vote:
            member.become_follower(request.term, None)
        log = (journal.last_term, journal.last_index)
        if (request.last_term, request.last_index) < log:
            return False
        if request.pre_vote:
            return newer
        if request.term != member.term:
            return False
        record = journal.member_record
        vote = record.vote if record.term == member.term else ""
        if vote not in ("", request.candidate):
            return False
        self.timer_reset_ms = self._now_ms()
        await self._save_vote(member.term, request.candidate, request.cluster)
        return True

    async def _save_vote(self, term: int, vote: str, cluster: str) -> None:
        record = self.member.journal.member_record
        record = attrs.evolve(record, term=term, vote=vote, cluster=cluster)
        await self.member.journal.save_record(record)

    async def _request_votes(self, term: int, pre_vote: bool) -> bool:
        """Return whether a quorum of voters, this member included, grants its vote."""
        member = self.member
        configuration = member.configuration
        voters = [info for info in configuration.members if info.voter]
        missing = configuration.quorum() - 1
        async with curio.TaskGroup() as group:
            for info in voters:
                if info.identity != member.identity:
                    await group.spawn(self._request_vote, info, term, pre_vote)
            async for task in group:
                missing -= bool(task.result)
                if missing <= 0:
                    break
            await group.cancel_remaining()
        return missing <= 0

    async def _request_vote(self, info: MemberInfo, term: int, pre_vote: bool) -> bool:
        member = self.member
        if not member.configuration.is_voter(info.identity):
            return False  # An entry that arrived since has removed it.
        request = VoteRequest(
            cluster=member.journal.member_record.cluster,
            recipient=info.identity,
            term=term,
            candidate=member.identity,
            last_index=member.journal.last_index,
            last_term=member.journal.last_term,
            pre_vote=pre_vote,
            handover=self.handover_term == term - 1,
        )
        try:
            reply = await member.link.call(
                info.peer_address, request, member.timing.call_timeout_ms
            )
        except PeerUnreachable:
            return False
        if not isinstance(reply, VoteReply) or reply.sender != info.identity:
            return False
        await member.observe_term(reply.term)
        return reply.granted

    def _election_timer_start_ms(self) -> int:
        member = self.member
        times = (member.started_ms, member.last_leader_contact_ms, self.timer_reset_ms)
        return max(time for time in times if time is not None)

    def _now_ms(self) -> int:
        return self.member.clock.now_ms()
