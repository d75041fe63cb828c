"""Leader election: pre-votes, votes, and the rules for granting them."""

from collections import Counter
from collections.abc import Collection

import attrs
import curio

from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.membership_change import MembershipChange
from wagtailrun.consensus.messages import MemberInfo, VoteReply, VoteRequest
from wagtailrun.consensus.replication import Replication
from wagtailrun.consensus.restart_round import RestartRound
from wagtailrun.consensus.state import Role
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.logs import events

__all__ = ["Election"]


class Election:
    """Starts elections and answers the vote requests of other candidates.

    Args:
        state: State of the member.
        replication: Replication, which tells whether the leader's lease is valid.
        membership: Changes the member set while this member is the leader.
    """

    def __init__(
        self,
        state: MemberState,
        replication: Replication,
        membership: MembershipChange,
    ):
        self.state = state
        self.replication = replication
        self.membership = membership
        self.restart_round = RestartRound(state, self.campaign)
        # Local time at which this member last granted a vote or started an election.
        self.timer_reset_ms: int | None = None
        # Term whose leader gave up its leadership in favour of this member.
        self.handover_term: int | None = None
        # Set when a signal stops this process: it then neither takes over nor starts
        # elections, so that members that stop together hand over to another one.
        self.refuses_leadership = False

    async def run(self) -> None:
        """Start an election whenever the election timeout passes without a leader.

        A leader that is without a valid lease at two checks in a row steps down.
        """
        state = self.state
        timing = state.timing
        had_lease = True
        while True:
            timeout_ms = state.random.randint(
                timing.election_min_ms, timing.election_max_ms
            )
            while (
                wait_ms := self._election_timer_start_ms() + timeout_ms - self._now_ms()
            ) > 0:
                await state.clock.sleep_ms(wait_ms)
            self.timer_reset_ms = self._now_ms()
            if state.role is not Role.LEADER:
                had_lease = True
                await self.campaign()
                continue
            has_lease = self.replication.lease_is_valid()
            if not has_lease and not had_lease:
                # Its heartbeats may still arrive at the followers, whose election
                # timers then never expire.
                await self.step_down()
            had_lease = has_lease

    async def step_down(self) -> None:
        """Give up the leadership, if this member has it, for good in its term."""
        state = self.state
        async with state.lock:
            if state.role is Role.LEADER:
                state.become_follower(state.term, None)
                state.leader = None

    async def take_over(self, term: int) -> bool:
        """Start an election for the leader of ``term``, which gave up its leadership.

        Returns:
            Whether a quorum granted its pre-votes.
        """
        state = self.state
        self.handover_term = term
        self.timer_reset_ms = self._now_ms()
        if not state.configuration.is_voter(state.identity):
            return False
        if not await self._request_votes(term + 1, pre_vote=True):
            return False
        await state.spawn(self._request_leadership)
        return True

    async def campaign(self) -> None:
        """Request pre-votes, then votes, and become leader if a quorum grants them."""
        state = self.state
        if self.refuses_leadership:
            return
        if not state.configuration.is_voter(state.identity):
            return
        if self._must_withhold(False, state.configuration.voters()):
            return
        if await self._request_votes(state.term + 1, pre_vote=True):
            await self._request_leadership()

    async def _request_leadership(self) -> None:
        """Request votes for a new term, after a quorum has granted its pre-votes."""
        state = self.state
        async with state.lock:
            lease_given_up = self.handover_term == state.term
            voters = state.configuration.voters()
            if state.role is Role.LEADER or self._must_withhold(lease_given_up, voters):
                return
            state.become_follower(state.term + 1, None)
            state.role = Role.CANDIDATE
            term = state.term
            self.timer_reset_ms = self._now_ms()
            await self._save_vote(
                term, state.identity, state.journal.member_record.cluster
            )
        won = await self._request_votes(term, pre_vote=False)
        async with state.lock:
            if won and state.role is Role.CANDIDATE and state.term == term:
                events.log(events.BECAME_LEADER, member=state.name, term=term)
                await self.replication.start_leadership()
                await state.spawn(self.membership.run_as_leader, state.term)

    async def handle_vote(self, request: VoteRequest) -> VoteReply:
        """Grant or deny a vote or a pre-vote."""
        state = self.state
        async with state.lock:
            # The lease of the leader of this member's term has ended, if that leader
            # itself asked for the election.
            lease_given_up = request.handover and request.term == state.term + 1
            granted = self._is_intended_recipient(request) and not self._must_withhold(
                lease_given_up, request.voters
            )
            if granted:
                granted = await self._evaluate_vote(request)
            return VoteReply(state.identity, state.term, granted)

    def _must_withhold(self, lease_given_up: bool, voters: Collection[str]) -> bool:
        """Whether this member must not vote; see ``must_not_vote``.

        Args:
            lease_given_up: Whether the leader of the current term has given up.
            voters: Identities of all voters of the candidate; empty if unknown.
        """
        state = self.state
        no_lease = lease_given_up or self.restart_round.shows_no_leader(voters)
        if no_lease and state.role is not Role.LEADER and state.fault is None:
            return False
        return self.must_not_vote()

    def must_not_vote(self) -> bool:
        """Whether this member must deny votes, because a leader may hold a lease.

        Also true after a fault, which ends this member's part in elections.
        """
        state = self.state
        if state.fault is not None:
            return True
        if state.role is Role.LEADER and self.replication.lease_is_valid():
            return True
        now_ms = self._now_ms()
        last_contact_ms = (
            state.started_ms
            if state.last_leader_contact_ms is None
            else state.last_leader_contact_ms
        )
        return now_ms < last_contact_ms + state.timing.vote_withhold_ms

    def _is_intended_recipient(self, request: VoteRequest) -> bool:
        """Whether the request is for this incarnation, in this cluster.

        The recipient is a voter in the candidate's newest member set. A new
        incarnation becomes a voter only after it has caught up with the log, so its
        vote is valid even if its own log does not show the promotion yet.
        """
        state = self.state
        is_recipient = state.note_recipient(request.recipient, request.cluster)
        cluster = state.journal.member_record.cluster
        return is_recipient and cluster in ("", request.cluster)

    async def _evaluate_vote(self, request: VoteRequest) -> bool:
        state = self.state
        journal = state.journal
        newer = request.term > state.term
        if newer and not request.pre_vote:
            state.become_follower(request.term, None)
        log = (journal.last_term, journal.last_index)
        if (request.last_term, request.last_index) < log:
            return False
        if request.pre_vote:
            return newer
        if request.term != state.term:
            return False
        record = journal.member_record
        vote = record.vote if record.term == state.term else ""
        if vote not in ("", request.candidate):
            return False
        self.timer_reset_ms = self._now_ms()
        await self._save_vote(state.term, request.candidate, request.cluster)
        return True

    async def _save_vote(self, term: int, vote: str, cluster: str) -> None:
        record = self.state.journal.member_record
        record = attrs.evolve(record, term=term, vote=vote, cluster=cluster)
        await self.state.journal.save_record(record)

    async def _request_votes(self, term: int, pre_vote: bool) -> bool:
        """Return whether a quorum of voters, this member included, grants its vote."""
        state = self.state
        configuration = state.configuration
        voters = [info for info in configuration.members if info.voter]
        missing = configuration.quorum() - 1
        replies: Counter[bool | None] = Counter()
        async with curio.TaskGroup() as group:
            for info in voters:
                if info.identity != state.identity:
                    await group.spawn(self._request_vote, info, term, pre_vote)
            async for task in group:
                replies[task.result] += 1
                missing -= bool(task.result)
                if missing <= 0:
                    break
            await group.cancel_remaining()
        if missing > 0:
            events.log(
                events.ELECTION_LOST,
                member=state.name,
                term=term,
                pre_vote=pre_vote,
                granted=replies[True],
                denied=replies[False],
                unanswered=replies[None],
            )
        return missing <= 0

    async def _request_vote(
        self, info: MemberInfo, term: int, pre_vote: bool
    ) -> bool | None:
        """Return whether a voter grants its vote; None without an answer of it."""
        state = self.state
        if not state.configuration.is_voter(info.identity):
            return False  # An entry that arrived since has removed it.
        request = VoteRequest(
            cluster=state.journal.member_record.cluster,
            recipient=info.identity,
            term=term,
            candidate=state.identity,
            last_index=state.journal.last_index,
            last_term=state.journal.last_term,
            pre_vote=pre_vote,
            handover=self.handover_term == term - 1,
            voters=tuple(state.configuration.voters()),
        )
        timing = state.timing
        # The voter writes its vote before it replies. After an election timeout another
        # member starts the next election.
        timeout_ms = timing.call_timeout_ms if pre_vote else timing.election_min_ms
        try:
            reply = await state.link.call(info.peer_address, request, timeout_ms)
        except PeerUnreachable:
            return None
        if not isinstance(reply, VoteReply) or reply.sender != info.identity:
            return None
        await state.observe_term(reply.term)
        return reply.granted

    def _election_timer_start_ms(self) -> int:
        state = self.state
        times = (state.started_ms, state.last_leader_contact_ms, self.timer_reset_ms)
        return max(time for time in times if time is not None)

    def _now_ms(self) -> int:
        return self.state.clock.now_ms()
