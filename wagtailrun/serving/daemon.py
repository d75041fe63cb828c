"""Entry daemon: serves callers and receives the announcements of targets."""

from typing import Any

from wagtailrun.accounts.cells import Source
from wagtailrun.accounts.counters import Accounts
from wagtailrun.accounts.messages import AccountRows
from wagtailrun.adapters.connection_pool import ConnectionPool
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_connection import HttpConnection
from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.clock import SystemClock
from wagtailrun.exceptions import ConnectShortage, Refusal, TargetFailed
from wagtailrun.fleet.model import FleetConfiguration
from wagtailrun.gossip.incarnations import new_incarnation
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.gossip.node import GossipNode
from wagtailrun.logs import events
from wagtailrun.observation.metrics import Metrics
from wagtailrun.observation.recorder import Recorder
from wagtailrun.observation.trace_recorder import TraceRecorder
from wagtailrun.ports.link import Address
from wagtailrun.process.daemon_tasks import run_until_one_ends
from wagtailrun.process.descriptors import DescriptorShares
from wagtailrun.process.loop_watch import LoopWatch
from wagtailrun.process.memory_budget import PROCESS_MEMORY
from wagtailrun.registry.client import ControlClient
from wagtailrun.serving.caller_api import CHECK_PATHS, CallerApi
from wagtailrun.serving.dispatch import Dispatcher, make_dispatcher
from wagtailrun.serving.entry_stop import ServingEntryStop, forced_end_ms
from wagtailrun.serving.orders import OrderRunner
from wagtailrun.serving.path_probes import PROBE_TIMEOUT_MS
from wagtailrun.serving.pipeline import PipelineRunner
from wagtailrun.serving.target_api import TargetApi
from wagtailrun.settings import EntrySettings
from wagtailrun.stopping.entry_stop import EntryStop
from wagtailrun.stopping.signalled_drain import SignalledDrain
from wagtailrun.stopping.signals import StopSignals
from wagtailrun.targets.table import Membership

__all__ = ["Entry", "run_entry"]

GAUGE_INTERVAL_MS = 1_000
# Every live target announces itself within this time; an entry that has run for longer
# knows all of them.
SETTLE_MS = 2_500


class Entry:
    """Components of one entry process.

    Args:
        settings: Validated settings.
    """

    def __init__(self, settings: EntrySettings):
        self.settings = settings
        self.clock = SystemClock()
        self.incarnation = new_incarnation(self.clock.wall_ms())
        self.started_ms = self.clock.now_ms()
        self.signals = StopSignals(
            self.clock, forced_end_ms=forced_end_ms(settings.drain_limit_ms)
        )
        self.descriptors = DescriptorShares()
        self.link = TcpPeerLink(settings.peer_secret, self.descriptors)
        self.membership = Membership(settings.data_centre)
        self.gossip = self._make_gossip()
        self.metrics = Metrics()
        self.accounts = Accounts(
            self.clock,
            self.link,
            Source(settings.name, self.incarnation),
            self._local_entries,
            settings.control_peers,
            settings.accounts_interval_ms,
            seed=self.incarnation,
        )
        self.trace = self._make_trace() if settings.trace_file else None
        self.recorder = Recorder(
            self.clock, self.accounts, self.metrics, self._fleet, self.trace
        )
        pool: ConnectionPool[HttpConnection] = ConnectionPool(
            self.clock,
            self.descriptors.idle_to_targets,
            self.membership.serving_addresses,
        )
        self.http = HttpClient(self.clock, pool=pool)
        self.client = HttpTargetClient(self.http)
        self.loop_watch = LoopWatch(self.clock)
        self.dispatcher = self._make_dispatcher()
        self._share_path_hints()
        control = ControlClient(self.clock, self.link, settings.control_peers)
        self.orders = OrderRunner(
            self.clock, control, self.dispatcher, settings.name, self.incarnation
        )
        self.caller_api = self._make_caller_api()
        self.caller_server = HttpServer(
            settings.caller_address,
            self.caller_api.handle,
            on_refusal=self._record_refusal,
            overload=self._overload,
            checks=CHECK_PATHS.__contains__,
            notice_ms=settings.drain_notice_ms,
        )
        self.target_server = self._make_target_server()
        self.peer_server = PeerServer(
            settings.peer_listen_address or settings.peer_address,
            settings.peer_secret,
            self.handle_peer,
        )
        self.planned_stop = self._make_planned_stop()
        self.signalled_drain = SignalledDrain(
            self.clock, settings.name, self.signals, self.planned_stop.run
        )

    def _fleet(self) -> FleetConfiguration | None:
        """Return the active fleet configuration, None before one was received."""
        return self.gossip.fleet

    def _make_gossip(self) -> GossipNode:
        settings = self.settings
        own_row = EntryRow(
            settings.name,
            settings.peer_address,
            settings.data_centre,
            self.incarnation,
        )
        return GossipNode(
            self.clock,
            self.link,
            self.membership,
            own_row,
            settings.entry_peers,
            settings.control_peers,
            settings.gossip_interval_ms,
        )

    def _make_trace(self) -> TraceRecorder:
        return TraceRecorder(
            self.settings.trace_file,
            self.clock,
            self.settings.name,
            self.settings.data_centre,
            self._fleet,
            self.membership.targets_by_name.values,
        )

    def _make_dispatcher(self) -> Dispatcher:
        return make_dispatcher(
            self.clock,
            self.membership,
            self.client,
            name=self.settings.name,
            data_centre=self.settings.data_centre,
            probe=self._answers_new_connection,
            observer=self.recorder,
            seed=self.incarnation,
            entries=self.gossip.peers.live_names,
            may_use_remote=self._allows_fallback,
            was_held_since=self.loop_watch.was_held_since,
        )

    def _share_path_hints(self) -> None:
        prober = self.dispatcher.context.prober
        if prober is not None:
            self.gossip.share_path_hints(prober.paths.own_hints, prober.receive_hints)

    def _make_caller_api(self) -> CallerApi:
        return CallerApi(
            self.clock,
            self._fleet,
            PipelineRunner(self.clock, self.dispatcher),
            self.dispatcher,
            self.orders,
            self.unready_reason,
            self.recorder,
        )

    def _overload(self) -> str:
        server = self.caller_server
        return server.count_overload() or self.descriptors.overload(
            server.unanswered_requests
        )

    def _make_target_server(self) -> HttpServer:
        goodbye = self.gossip.push_goodbye
        target_api = TargetApi(self.clock, self.membership, self._fleet, goodbye)
        return HttpServer(self.settings.target_address, target_api.handle)

    def _make_planned_stop(self) -> EntryStop:
        steps = ServingEntryStop(
            self.clock,
            self.signals,
            self.settings,
            self.caller_api.running,
            self.dispatcher,
            self.orders,
            self.caller_server,
            self.target_server,
            self.peer_server,
            self.accounts,
            self.gossip,
            self.trace,
        )
        return EntryStop(self.clock, steps, self.caller_server)

    async def run(self) -> None:
        """Serve until the process has drained after a stop signal.

        Raises:
            SettingsError: If the process cannot listen on one of its addresses.
        """
        PROCESS_MEMORY.set_memory(self.settings.memory_mb)
        events.log(events.PROCESS_STARTED, role="entry", name=self.settings.name)
        tasks = [
            self.signalled_drain.run,
            self.caller_server.serve,
            self.target_server.serve,
            self.peer_server.serve,
            self.gossip.run,
            self.accounts.run,
            self._update_gauges,
            self.loop_watch.run,
        ]
        if self.trace is not None:
            tasks.append(self.trace.run)
        await run_until_one_ends(tasks)
        events.log(events.PROCESS_STOPPED, role="entry", name=self.settings.name)

    def is_ready(self) -> bool:
        """Return whether callers can be served.

        An entry is ready once it has a fleet configuration and has received the
        announcements of all live targets, until it gets a stop signal.
        """
        return not self._state_reason()

    def _state_reason(self) -> str:
        if self.signals.is_stopping:
            return "this process stops"
        if self.gossip.fleet is None:
            return "this process has not received the fleet configuration yet"
        if self.clock.now_ms() - self.started_ms < SETTLE_MS:
            return "this process awaits the announcements of the targets"
        return ""

    def unready_reason(self) -> str:
        """Return why callers are not served now; empty if they are.

        A process that has no room for requests refuses them, and is ready again when it
        has. That is part of the answers to checks, but not of ``is_ready``.
        """
        return self._state_reason() or self._overload() or PROCESS_MEMORY.overload()

    async def handle_peer(self, message: Any) -> Any:
        """Return the reply to a message from another process of the system."""
        if isinstance(message, AccountRows):
            return self.accounts.handle(message)
        return await self.gossip.handle(message)

    async def _record_refusal(self, refusal: Refusal) -> None:
        """Record the refusal of an invalid request, whose workspace is unknown."""
        await self.recorder.record_refusal(self.recorder.scope("", ""), refusal)

    def _local_entries(self) -> list[Address]:
        """Return the peer addresses of the other entries of the data centre."""
        return [row.address for row in self.gossip.peers.others()]

    def _allows_fallback(self, service: str) -> bool:
        """Return whether another data centre may serve ``service``."""
        fleet = self.gossip.fleet
        known = fleet.services_by_name.get(service) if fleet else None
        return known is not None and known.fallback

    async def _answers_new_connection(self, address: Address) -> bool:
        """Return whether a target answers on a new connection, with any status.

        Raises:
            ConnectShortage: If this process cannot open one.
        """
        try:
            await self.http.request(
                address,
                "GET",
                "/v1/state",
                timeout_ms=PROBE_TIMEOUT_MS,
                new_connection=True,
            )
        except ConnectShortage:
            raise
        except TargetFailed:
            return False
        return True

    async def _update_gauges(self) -> None:
        while True:
            self.metrics.ready.set(self.is_ready())
            self.metrics.revision.set(self.gossip.version[1])
            self.metrics.requests_in_progress.set(self.caller_server.active_requests)
            self.metrics.account_rows.set(len(self.accounts.table.rows_by_key))
            self.metrics.mismatched_answers.set(self.client.crossed_answers)
            if self.dispatcher.router.paths is not None:
                ignored = self.dispatcher.router.paths.hints.ignored_by_fault
                self.metrics.ignored_path_hints.set(ignored.total())
            self._update_target_gauges()
            await self.clock.sleep_ms(GAUGE_INTERVAL_MS)

    def _update_target_gauges(self) -> None:
        fleet = self.gossip.fleet
        now_ms = self.clock.now_ms()
        for service in fleet.services_by_name if fleet else ():
            if self._allows_fallback(service):
                rows = self.membership.candidates(service, now_ms)
            else:
                rows = self.membership.usable(service, now_ms)
            self.metrics.set_usable_targets(service, len(rows))


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry process until a signal stops it."""
    await Entry(settings).run()
