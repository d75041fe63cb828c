"""Handover of the leadership by a leader that a fault or a signal stops."""

from wagtailrun.consensus.election import Election
from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import Handover, MemberInfo, VoteReply
from wagtailrun.consensus.replication import Replication
from wagtailrun.consensus.state import Role
from wagtailrun.exceptions import PeerUnreachable

__all__ = ["LeaderHandover"]

POLL_MS = 5  # Far below the time of an election.


class LeaderHandover:
    """Asks another voter to start an election, without the wait for a timeout.

    The member has given up its leadership for good before it sends a message, so the
    lease that the voters protect by withholding their votes has ended.

    Args:
        state: State of the member.
        replication: Replication, which knows the progress of the successors.
        election: Elections, for the end of the own leadership and for a take-over.
    """

    def __init__(
        self, state: MemberState, replication: Replication, election: Election
    ):
        self.state = state
        self.replication = replication
        self.election = election
        self.given_up_term = 0
        self.successors: list[MemberInfo] = []
        # Set when a leader that stops takes no more proposals.
        self.refuses_proposals = False

    def prepare(self) -> None:
        """Note the possible successors of a leader that is about to stop.

        The voters with the newest entries come first, as only they can be elected; of
        those, the ones that answered last, as the others may be gone.
        """
        state = self.state
        if state.role is not Role.LEADER:
            return
        progress = self.replication.progress_by_identity
        self.given_up_term = state.term
        self.successors = sorted(
            (
                info
                for info in state.configuration.members
                if info.voter and info.identity in progress
            ),
            key=lambda info: (
                progress[info.identity].match_index,
                progress[info.identity].acknowledged_ms or 0,
            ),
            reverse=True,
        )

    async def leave_leadership(self) -> None:
        """Hand over the leadership of a member that a signal stops.

        Proposals that it has taken are committed first. Without another voter it
        remains the leader. The caller sets the time limit; a leader whose proposals are
        not committed by then remains the leader as well, and may still commit them.
        """
        state = self.state
        self.election.refuses_leadership = True
        self.prepare()
        if state.role is not Role.LEADER or not self.successors:
            return
        term = state.term
        self.refuses_proposals = True
        while state.proposals_by_index:
            await state.clock.sleep_ms(POLL_MS)
        if not self.replication.leads_term(term):
            return
        self.prepare()
        await self.election.step_down()
        await self.run()
        # The successor may need the vote of this member, which still answers.
        while state.term == term or state.leader is None:
            await state.clock.sleep_ms(POLL_MS)

    async def run(self) -> None:
        """Send the prepared handover to one successor after the other until one won."""
        state = self.state
        for info in self.successors:
            message = Handover(
                state.journal.member_record.cluster, info.identity, self.given_up_term
            )
            try:
                reply = await state.link.call(
                    info.peer_address, message, state.timing.call_timeout_ms
                )
            except PeerUnreachable:
                continue
            if isinstance(reply, VoteReply) and reply.granted:
                return

    async def handle(self, message: Handover) -> VoteReply:
        """Start an election; reply whether a quorum would vote for this member."""
        state = self.state
        async with state.lock:
            record = state.journal.member_record
            accepted = (
                message.recipient == state.identity
                and message.cluster == record.cluster
                and message.term == state.term
                and state.role is Role.FOLLOWER
                and not self.election.refuses_leadership
            )
        if accepted:
            accepted = await self.election.take_over(message.term)
        return VoteReply(state.identity, state.term, accepted)
