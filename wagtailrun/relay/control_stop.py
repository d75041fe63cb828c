"""Planned stop of a relay control member."""

import curio

from wagtailrun.adapters.drain_times import MAX_REQUEST_WAIT_MS
from wagtailrun.adapters.tcp_link import PeerServer
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.consensus.host import MemberHost
from wagtailrun.discovery.hub import Hub
from wagtailrun.stopping.member_stop import OperatorTimes, StoppableMember

__all__ = ["RelayControlStop"]


class RelayControlStop(StoppableMember):
    """Steps of the planned stop of a relay control member.

    Args:
        member_host: Consensus member.
        peer_server: Server for other processes.
        hub: Rows of targets and entries, shared with other members.
        answer_ms: How long requests that have arrived are answered, in milliseconds.
    """

    def __init__(
        self,
        member_host: MemberHost,
        peer_server: PeerServer,
        hub: Hub,
        answer_ms: int,
    ):
        self.member_host = member_host
        self.peer_server = peer_server
        self.hub = hub
        self.answer_ms = answer_ms

    def operator_times(self) -> OperatorTimes:
        """Return how long operators are answered."""
        return OperatorTimes(MAX_REQUEST_WAIT_MS + self.answer_ms, self.answer_ms)

    def begin_stop(self) -> None:
        """Refuse to become the leader again."""
        self.member_host.refuse_leadership()

    async def end_service(self) -> None:
        """Let another member lead; changes find it while this one still answers."""
        await self.member_host.leave_leadership()

    async def answer_peers(self) -> None:
        """Answer other members, which forward the changes of operators."""
        await self.peer_server.drain(self.answer_ms)

    async def report_last(self) -> None:
        """Share the rows that were acknowledged to targets."""
        limit_s = self.answer_ms / MS_PER_SECOND
        await curio.ignore_after(limit_s, self.hub.share_before_end)
