"""Planned stop of the product's control member."""

from wagtailrun.adapters.drain_times import MAX_REQUEST_WAIT_MS, request_wait_ms
from wagtailrun.adapters.tcp_link import PeerServer
from wagtailrun.clock import Clock
from wagtailrun.consensus.host import MemberHost
from wagtailrun.control.operator_api import APPLY_TIMEOUT_MS
from wagtailrun.registry.client import CALL_TIMEOUT_MS
from wagtailrun.stopping.member_stop import OperatorTimes, StoppableMember
from wagtailrun.stopping.running_requests import STOP_ANSWER_MS
from wagtailrun.stopping.signals import StopSignals

__all__ = ["FORCED_END_MS", "STOP_LIMIT_MS", "ControlStop"]

# A change of the text takes longest of the requests that have arrived completely.
CHANGE_ANSWER_MS = APPLY_TIMEOUT_MS + STOP_ANSWER_MS
STOP_LIMIT_MS = MAX_REQUEST_WAIT_MS + CHANGE_ANSWER_MS
# After this time another member does not wait for the reply any more.
PEER_ANSWER_MS = CALL_TIMEOUT_MS + 200
# A planned stop without faults takes under 8 s.
FORCED_END_MS = 10_000


class ControlStop(StoppableMember):
    """Steps of the planned stop of a control member.

    Args:
        clock: Clock.
        signals: Signals to stop.
        member_host: Consensus member.
        peer_server: Server for other processes.
    """

    def __init__(
        self,
        clock: Clock,
        signals: StopSignals,
        member_host: MemberHost,
        peer_server: PeerServer,
    ):
        self.clock = clock
        self.signals = signals
        self.member_host = member_host
        self.peer_server = peer_server

    def operator_times(self) -> OperatorTimes:
        """Return how long operators are answered; less after a late signal."""
        left_ms = self.signals.end_ms(STOP_LIMIT_MS) - self.clock.now_ms()
        answer_ms = min(CHANGE_ANSWER_MS, left_ms - request_wait_ms(left_ms))
        return OperatorTimes(left_ms, answer_ms)

    def begin_stop(self) -> None:
        """Refuse to become the leader again."""
        self.member_host.refuse_leadership()

    async def end_service(self) -> None:
        """Let another member lead; changes find it while this one still answers."""
        await self.member_host.leave_leadership()

    async def answer_peers(self) -> None:
        """Answer the messages of other processes that have arrived."""
        await self.peer_server.drain(PEER_ANSWER_MS)

    async def report_last(self) -> None:
        """Do nothing: what was acknowledged to peers is on disk."""
