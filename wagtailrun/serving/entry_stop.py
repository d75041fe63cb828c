"""Planned stop of the product's entry: its times, and what it does in each step."""

import curio

from wagtailrun.accounts.counters import Accounts
from wagtailrun.adapters.drain_times import request_wait_ms
from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.adapters.tcp_link import PeerServer
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.gossip.node import GossipNode
from wagtailrun.observation.trace_recorder import TraceRecorder
from wagtailrun.serving.admission import POLL_INTERVAL_MS
from wagtailrun.serving.dispatch import Dispatcher
from wagtailrun.serving.orders import OrderRunner
from wagtailrun.settings import EntrySettings
from wagtailrun.stopping.entry_stop import StoppableEntry
from wagtailrun.stopping.plan import StopPlan
from wagtailrun.stopping.running_requests import RunningRequests
from wagtailrun.stopping.signals import StopSignals

__all__ = ["ServingEntryStop", "forced_end_ms"]

HANDOVER_TIMEOUT_MS = 5_000
# A goodbye is answered once other entries have it; one that is silent delays it by
# 250 ms. Less than the handover, beside which targets are answered.
TARGET_ANSWER_MS = 1_000
TRACE_TIMEOUT_MS = 1_000
# Longer than a probe on behalf of another entry, the slowest message.
PEER_ANSWER_MS = 1_000
# Another entry that does not answer takes 250 ms.
SHARE_TIMEOUT_MS = 500
# The close of the callers' listener may exceed the drain's limit by a second. The write
# of the trace and the last replies to peers take another one at most, and the last
# goodbyes of targets half of one.
FORCED_END_MARGIN_MS = 3_000


def forced_end_ms(drain_limit_ms: int) -> int:
    """Return when an entry ends in any case, in milliseconds after the signal.

    Args:
        drain_limit_ms: When its last request ends, in milliseconds after the signal.
    """
    return drain_limit_ms + HANDOVER_TIMEOUT_MS + FORCED_END_MARGIN_MS


class ServingEntryStop(StoppableEntry):
    """Steps of the planned stop of the product's entry.

    Args:
        clock: Clock.
        signals: Signals to stop.
        settings: Limit of the stop, and its notice.
        running: Requests in progress.
        dispatcher: Sends work to targets.
        orders: Orders in progress, which may outlive their callers.
        caller_server: Server for callers.
        target_server: Server for the announcements of targets.
        peer_server: Server for other processes.
        accounts: Counters, which another process takes over.
        gossip: Rows shared with other entries.
        trace: Recorder of traces, if any.
    """

    # Of other entries it takes no work.
    idle_polls = 1

    def __init__(
        self,
        clock: Clock,
        signals: StopSignals,
        settings: EntrySettings,
        running: RunningRequests,
        dispatcher: Dispatcher,
        orders: OrderRunner,
        caller_server: HttpServer,
        target_server: HttpServer,
        peer_server: PeerServer,
        accounts: Accounts,
        gossip: GossipNode,
        trace: TraceRecorder | None,
    ):
        self.clock = clock
        self.signals = signals
        self.settings = settings
        self.running = running
        self.dispatcher = dispatcher
        self.orders = orders
        self.caller_server = caller_server
        self.target_server = target_server
        self.peer_server = peer_server
        self.accounts = accounts
        self.gossip = gossip
        self.trace = trace

    def plan_stop(self) -> StopPlan:
        """Return the times of the stop that was signalled."""
        limit_ms = self.settings.drain_limit_ms
        ends_ms = self.signals.end_ms(limit_ms)
        accepts_end_ms = ends_ms - request_wait_ms(limit_ms)
        # The load balancer was told only when the signal was handled.
        notice_ends_ms = self.signals.handled_ms + self.settings.drain_notice_ms
        return StopPlan(min(notice_ends_ms, accepts_end_ms), ends_ms, accepts_end_ms)

    async def begin_stop(self, plan: StopPlan) -> None:
        """Refuse work that cannot end in time, also while it waits for a target.

        Work that waits is refused as not run before requests in progress are.
        """
        self.dispatcher.admission.begin_stop(plan.answers_end_ms - POLL_INTERVAL_MS)

    async def announce_stop(self, plan: StopPlan) -> None:
        """Do nothing: other entries send this one no work."""

    def drains_at_ms(self, plan: StopPlan) -> int:
        """Return when the load balancer has noticed the stop, on the clock."""
        return plan.notice_ends_ms

    def awaits_another(self) -> bool:
        """Return False: other entries take the callers, whatever their number."""
        return False

    def end_notice(self, plan: StopPlan) -> None:
        """Admit only requests whose deadline comes before the last refusals."""
        self.running.ends_ms = plan.answers_end_ms

    def is_idle(self) -> bool:
        """Return whether no request or order runs; an order may outlive its caller."""
        return not self.caller_server.is_busy and self.orders.is_idle

    async def refuse_running(self) -> None:
        """Refuse all requests; orders go on without their callers until then."""
        await self.running.end_all()
        self.orders.end()
        await self.dispatcher.end()

    def refuse_arriving(self) -> None:
        """Do nothing: the dispatcher begins no more attempts."""

    def left_ms(self, plan: StopPlan) -> int:
        """Return how long this process may still answer callers."""
        return plan.ends_ms - self.clock.now_ms()

    async def end_service(self) -> None:
        """Answer targets, and hand over the rows of all requests."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.target_server.close, TARGET_ANSWER_MS)
            await group.spawn(self.accounts.hand_over_all, HANDOVER_TIMEOUT_MS)

    async def answer_peers(self) -> None:
        """Answer the messages of other processes, and write the rest of the trace."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.peer_server.drain, PEER_ANSWER_MS)
            if self.trace is not None:
                await group.spawn(self.trace.close, TRACE_TIMEOUT_MS)

    async def report_last(self) -> None:
        """Share the rows that were acknowledged to peers and targets."""
        limit_s = SHARE_TIMEOUT_MS / MS_PER_SECOND
        await curio.ignore_after(limit_s, self.gossip.share_before_end)
