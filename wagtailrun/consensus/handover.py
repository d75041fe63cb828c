"""Handover of the leadership by a leader that a fault or a signal stops."""

from typing import TYPE_CHECKING

from wagtailrun.consensus.messages import Handover, MemberInfo, VoteReply
from wagtailrun.consensus.state import Role
from wagtailrun.exceptions import PeerUnreachable

if TYPE_CHECKING:
    from wagtailrun.consensus.member import Member

__all__ = ["LeaderHandover"]

POLL_MS = 5  # Far below the time of an election.


class LeaderHandover:
    """Asks another voter to start an election, without the wait for a timeout.

    The member has given up its leadership for good before it sends a message, so the
    lease that the voters protect by withholding their votes has ended.

    Args:
        member: Member that owns this component.
    """

    def __init__(self, member: "Member"):
        self.member = member
        self.given_up_term = 0
        self.successors: list[MemberInfo] = []
        # Set when a signal stops this process: it then neither takes over nor starts
        # elections, so that members that stop together hand over to another one.
        self.refuses_leadership = False
        # Set when a leader that stops takes no more proposals.
        self.refuses_proposals = False

    def prepare(self) -> None:
        """Note the possible successors of a leader that is about to stop.

        The voters with the newest entries come first, as only they can be elected; of
        those, the ones that answered last, as the others may be gone.
        """
        member = self.member
        if member.role is not Role.LEADER:
            return
        progress = member.replication.progress_by_identity
        self.given_up_term = member.term
        self.successors = sorted(
            (
                info
                for info in member.configuration.members
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
        member = self.member
        self.refuses_leadership = True
        self.prepare()
        if member.role is not Role.LEADER or not self.successors:
            return
        term = member.term
        self.refuses_proposals = True
        while member.proposals_by_index:
            await member.clock.sleep_ms(POLL_MS)
        if not member.replication.leads_term(term):
            return
        self.prepare()
        await member.election.step_down()
        await self.run()
        # The successor may need the vote of this member, which still answers.
        while member.term == term or member.leader is None:
            await member.clock.sleep_ms(POLL_MS)

    async def run(self) -> None:
        """Send the prepared handover to one successor after the other until one won."""
        member = self.member
        for info in self.successors:
            message = Handover(
                member.journal.member_record.cluster, info.identity, self.given_up_term
            )
            try:
                reply = await member.link.call(
                    info.peer_address, message, member.timing.call_timeout_ms
                )
            except PeerUnreachable:
                continue
            if isinstance(reply, VoteReply) and reply.granted:
                return

    async def handle(self, message: Handover) -> VoteReply:
        """Start an election; reply whether a quorum would vote for this member."""
        member = self.member
        async with member.lock:
            record = member.journal.member_record
            accepted = (
                message.recipient == member.identity
                and message.cluster == record.cluster
                and message.term == member.term
                and member.role is Role.FOLLOWER
                and not self.refuses_leadership
            )
        if accepted:
            accepted = await member.election.take_over(message.term)
        return VoteReply(member.identity, member.term, accepted)
