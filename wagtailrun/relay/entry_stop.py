"""Planned stop of a relay entry: its times, and what it does in each step."""

import curio

from wagtailrun.adapters.drain_times import request_wait_ms
from wagtailrun.adapters.server_state import CallerServer
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.discovery import FleetView
from wagtailrun.logs import events
from wagtailrun.ports.link import PeerListener
from wagtailrun.relay.paths.tunnels import TunnelHost
from wagtailrun.relay.placement.answer_times import COVERED_SHARE
from wagtailrun.relay.requests.front import RelayHandler
from wagtailrun.relay.stopping.readiness import Readiness
from wagtailrun.settings import RelayEntrySettings
from wagtailrun.stages import StageBatcher, StageHost
from wagtailrun.stopping.entry_stop import StoppableEntry
from wagtailrun.stopping.plan import StopPlan
from wagtailrun.stopping.running_requests import STOP_ANSWER_MS
from wagtailrun.stopping.signals import StopSignals

__all__ = ["RelayEntryStop", "StopTimes"]

# Requests that are sent over 3 s after the stop signal must have an answer or a refusal
# before the process ends. So no longer than this are all requests admitted; after that,
# only those that end before the process does.
MAX_FULL_SERVICE_MS = 2_800
# A draining process exits this long before the platform would kill it.
EXIT_MARGIN_MS = 400
# While a request has no answer the exit waits, until this long before the kill. The
# moment at which a signal was sent is known only up to one poll of the signals.
KILL_MARGIN_MS = 200
# The last refusals begin this part of the grace period before the kill, if that is
# sooner. They then come in time by a clock that runs slow by a tenth, and with 8 s of
# grace after a standstill of up to 0.9 s.
LAST_REFUSALS_PARTS = 8
# The last connections are accepted this long before the last refusals begin. Linux
# sends a lost segment of a request again after 200 ms.
LAST_ARRIVAL_MS = 400
# Time for the last reports to control members: two tries of 500 ms.
LAST_REPORTS_MS = 1_000


class StopTimes:
    """Times of a planned stop, all of which count from when the signal was sent.

    The platform's grace period does, too: a signal that is handled late leaves less.

    Args:
        clock: Clock.
        signals: Signals to stop.
        settings: Grace period and drain notice.
    """

    def __init__(
        self, clock: Clock, signals: StopSignals, settings: RelayEntrySettings
    ):
        self.clock = clock
        self.signals = signals
        self.grace_ms = int(settings.grace_s * MS_PER_SECOND)
        self.notice_ms = int(settings.effective_drain_notice_ms)

    def plan(self) -> StopPlan:
        """Return the times of the stop that was signalled."""
        signalled_ms = self.signals.stopped_ms
        grace_ms = self.grace_ms
        ends_ms = max(
            signalled_ms + grace_ms - EXIT_MARGIN_MS,
            # A process that stood still for its whole grace period still refuses what
            # it has.
            self.signals.handled_ms + STOP_ANSWER_MS,
        )
        answers_end_ms = min(
            ends_ms - STOP_ANSWER_MS,
            signalled_ms + grace_ms - grace_ms // LAST_REFUSALS_PARTS,
        )
        # With a short grace period, the last refusals come before the notice ends.
        notice_ends_ms = min(
            signalled_ms + min(self.notice_ms, MAX_FULL_SERVICE_MS), answers_end_ms
        )
        wait_ms = max(request_wait_ms(grace_ms), STOP_ANSWER_MS)
        arrival_ms = min(LAST_ARRIVAL_MS, wait_ms - STOP_ANSWER_MS)
        accepts_end_ms = min(ends_ms - wait_ms, answers_end_ms - arrival_ms)
        return StopPlan(
            notice_ends_ms,
            ends_ms,
            max(accepts_end_ms, notice_ends_ms),
            answers_end_ms,
        )

    def left_ms(self) -> int:
        """Return how long this process may still answer, in milliseconds."""
        killed_ms = self.signals.stopped_ms + self.grace_ms
        return max(killed_ms - KILL_MARGIN_MS - self.clock.now_ms(), 0)


class RelayEntryStop(StoppableEntry):
    """Steps of the planned stop of a relay entry.

    Args:
        name: Name of the entry in the log.
        times: Times of the stop.
        view: This entry's view of the fleet.
        handler: Handles the requests of callers.
        caller_server: Server for callers.
        peer_server: Server for other processes.
        readiness: Answers the readiness checks of the load balancer.
        batcher: Calls of stages.
        stages: Work for other entries.
        tunnels: Connections for other entries.
    """

    def __init__(
        self,
        name: str,
        times: StopTimes,
        view: FleetView,
        handler: RelayHandler,
        caller_server: CallerServer,
        peer_server: PeerListener,
        readiness: Readiness,
        batcher: StageBatcher,
        stages: StageHost,
        tunnels: TunnelHost,
    ):
        self.name = name
        self.clock = times.clock
        self.times = times
        self.view = view
        self.handler = handler
        self.caller_server = caller_server
        self.peer_server = peer_server
        self.readiness = readiness
        self.batcher = batcher
        self.stages = stages
        self.tunnels = tunnels

    def plan_stop(self) -> StopPlan:
        """Return the times of the stop that was signalled."""
        return self.times.plan()

    async def begin_stop(self, plan: StopPlan) -> None:
        """Refuse from now on what cannot end in time, and hand over the stages."""
        self.handler.stop = plan
        await curio.spawn(self.handler.end_hopeless, daemon=True)
        await self.batcher.hand_over()

    async def announce_stop(self, plan: StopPlan) -> None:
        """Tell the control members, whose silence does not delay the refusals."""
        left_ms = max(plan.answers_end_ms - self.clock.now_ms(), 0)
        await curio.ignore_after(left_ms / MS_PER_SECOND, self.view.announce_stop)

    def drains_at_ms(self, plan: StopPlan) -> int:
        """Return when the load balancer has noticed the stop, on the clock.

        It sends new connections until two readiness checks have failed. If this entry
        stayed ready for others, its notice began later; if all who check have been
        told, it is over, unless there is no room: the drain then ends idle connections
        at once, also before the time that their answers announced.
        """
        notice_ends_ms = self.times.signals.stopped_ms + self.times.notice_ms
        stay_ends_ms = self.readiness.last_ready_ms + self.times.notice_ms
        drains_at_ms = max(
            min(notice_ends_ms, plan.answers_end_ms),
            min(stay_ends_ms, plan.accepts_end_ms),
        )
        unused_since_ms = self.readiness.probers.unused_since_ms
        if unused_since_ms is not None and not self.caller_server.overload():
            return min(drains_at_ms, unused_since_ms)
        return drains_at_ms

    def awaits_another(self) -> bool:
        """Return whether callers may come here until another entry is back."""
        return self.readiness.rotation.awaits_another(self.times.signals.stopped_ms)

    def end_notice(self, plan: StopPlan) -> None:
        """Do nothing: the handler admits requests by the times of the plan."""

    def is_idle(self) -> bool:
        """Return whether no request, stage or tunnel runs."""
        busy = self.caller_server.is_busy or self.tunnels.running
        return self.stages.is_idle and not busy

    async def refuse_running(self) -> None:
        """Refuse the requests without a part of an answer, and incomplete ones.

        Idle connections are not kept any more: the rest of the time is for the answers
        to peers and the last reports.
        """
        await self.handler.refuse_unanswered()
        await self.caller_server.refuse_incomplete()
        await self.caller_server.end_kept()

    def refuse_arriving(self) -> None:
        """Admit no further request."""
        now_ms = self.clock.now_ms()
        self.handler.stop = StopPlan(now_ms, now_ms)

    def left_ms(self, plan: StopPlan) -> int:
        """Return how long this process may still answer, up to the kill."""
        return self.times.left_ms()

    async def end_service(self) -> None:
        """Log how many requests the end of the process leaves without an answer.

        The client of a connection that was ended unused may have sent one already.
        """
        server = self.caller_server
        unread = server.unused_connections_ended or server.waiting_connections
        if server.active_requests or unread:
            events.log(
                events.REQUESTS_CUT,
                name=self.name,
                unanswered=server.unanswered_requests,
                answering=server.active_requests - server.unanswered_requests,
                unused_connections=server.unused_connections_ended,
                waiting_connections=server.waiting_connections,
            )
        if self.handler.stop is not None:
            self.handler.running.log_cut(self.handler.stop.ends_ms, COVERED_SHARE)

    async def answer_peers(self) -> None:
        """Answer the messages of other entries that have arrived."""
        await self.peer_server.drain(self.times.left_ms())

    async def report_last(self) -> None:
        """Report what only this process knows; others may have told it."""
        limit_s = min(self.times.left_ms(), LAST_REPORTS_MS) / MS_PER_SECOND
        if await curio.ignore_after(
            limit_s, self.view.finish_reports, timeout_result=True
        ):
            detail = "the last observations of this entry were not taken"
            events.log(events.PEER_LOST, peer="control", detail=detail)
