"""Relay entry daemon: takes requests by routes and passes them on."""

import secrets
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from wagtailrun import events
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import (
    HttpServer,
    Request,
    ServerLimits,
    json_response,
)
from wagtailrun.adapters.tcp_link import TcpPeerLink
from wagtailrun.clock import MS_PER_SECOND, SystemClock
from wagtailrun.discovery import ConfigurationFormat, FleetView
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import MessageError
from wagtailrun.gossip_messages import EntryRow
from wagtailrun.relay.choice import TargetChooser
from wagtailrun.relay.front import RelayFront
from wagtailrun.relay.metrics import RelayMetrics
from wagtailrun.relay.placement import Placement, PlacementHost
from wagtailrun.relay.placement_messages import PlaceRun, RunOver
from wagtailrun.relay.port import RelayWire
from wagtailrun.relay.process import LiveSettings, StopSignals, run_daemon
from wagtailrun.retries import RetryBudget
from wagtailrun.routes import RequestLimits, StageCapacity
from wagtailrun.settings import RelayEntrySettings
from wagtailrun.stages import (
    CancelPieces,
    CarryCall,
    DelegatingStageClient,
    FreeResults,
    RunPieces,
    StageBatcher,
    StageClient,
    StageRunner,
)

__all__ = ["EntryFormat", "RelayEntry", "run_relay_entry"]

# Connections that callers use again within the time that the text allows must not be
# closed here just before.
IDLE_MARGIN_MS = 1_000
DRAIN_POLL_MS = 50
# Ends a process by itself before it is killed.
GRACE_MARGIN_MS = 400
# The calls of one busy stage are 3 Mbit/s; over a faster link than this, one entry
# makes them all, which saves a hop.
SPREAD_BELOW_MBPS = 50.0
# The part of the shared budget that entries use, so that a count that differs a little
# from the operator's stays within it.
BUDGET_PART = 0.8


class EntryFormat(ABC):
    """The forms in which the outside speaks to an entry."""

    @property
    @abstractmethod
    def text_format(self) -> ConfigurationFormat:
        """Reads the fleet text."""

    @property
    @abstractmethod
    def wire(self) -> RelayWire:
        """Translates requests and answers."""

    @abstractmethod
    def stage_client(self, http: HttpClient) -> StageClient:
        """Return a client of the targets of stage services."""


class RelayEntry:
    """All parts of one relay entry process.

    Args:
        settings: Checked settings.
        form: Forms in which the outside speaks.
        reload: Reads the settings again.
    """

    def __init__(
        self,
        settings: RelayEntrySettings,
        form: EntryFormat,
        reload: Callable[[], RelayEntrySettings],
    ):
        self.settings = settings
        self.clock = SystemClock()
        self.link = TcpPeerLink(settings.peer_secret)
        self.live_settings = LiveSettings(self.clock, settings, reload)
        self.signals = StopSignals(self.clock, self.live_settings.reload)
        own = EntryRow(
            settings.name,
            settings.peer_address,
            settings.data_centre,
            self.clock.wall_ms() << 16 | secrets.randbits(16),
        )
        self.view = FleetView(
            self.clock,
            self.link,
            own,
            lambda: self.live_settings.current.seeds,
            form.text_format,
            settings.key_grace_ms,
        )
        self.http = HttpClient(self.clock)
        self.most_entries = 1
        self.budget = self._make_budget()
        self.metrics = RelayMetrics()
        self.owners = Owners(self.clock, self.view.live_entries)
        self.stages = DelegatingStageClient(
            form.stage_client(self.http),
            self.link,
            settings.name,
            self.owners,
            lambda: settings.link_mbps < SPREAD_BELOW_MBPS,
        )
        self.host = StageBatcher(
            self.clock,
            self.stages,
            self.view.targets,
            self._capacity,
            self.budget,
        )
        self.runner = StageRunner(
            self.clock,
            self.link,
            settings.name,
            self.host,
            self.owners,
            self._capacity,
        )
        self.chooser = TargetChooser(self.clock, settings.data_centre)
        # A chooser of its own: what this entry sends by itself is none of its prompts.
        self.placement_host = PlacementHost(
            self.clock, TargetChooser(self.clock, ""), self.view.targets
        )
        self.placement = Placement(
            self.link, settings.name, self.owners, self.placement_host
        )
        self.front = RelayFront(
            self.clock,
            self.view,
            form.wire,
            self.http,
            self.runner,
            self.chooser,
            self.placement,
            self.budget,
            self.metrics,
        )
        self.caller_server = HttpServer(
            settings.caller_address, self.front.handle, limits=self._limits
        )
        self.was_ready = False
        self._export_gauges()

    def _make_budget(self) -> RetryBudget:
        settings = self.settings

        def largest() -> float:
            # The most that were ever seen: entries behind a partition spend as well.
            self.most_entries = max(self.most_entries, len(self.view.live_entries()))
            share = settings.retry_slack * BUDGET_PART / self.most_entries
            return max(share, 1.0)

        return RetryBudget(settings.retry_ratio * BUDGET_PART, 1.0, largest)

    def _export_gauges(self) -> None:
        gauge = self.metrics.gauge
        server, view, host = self.caller_server, self.view, self.host
        gauge("ready", "Whether new requests are wanted.", lambda: self.is_ready)
        gauge("active_requests", "Requests under way.", lambda: server.active_requests)
        gauge("revision", "Revision of the text in force.", lambda: view.revision)
        gauge(
            "confirmation_age_ms",
            "Age of the last confirmation of the text.",
            lambda: view.confirmation_age_ms,
        )
        gauge("stage_calls", "Calls of stages made here.", lambda: host.calls)
        gauge("stage_pieces", "Pieces in these calls.", lambda: host.pieces)
        gauge("stage_call_ms", "Time of these calls.", lambda: host.call_ms)
        gauge(
            "crossed_answers",
            "Answers to other requests, which were skipped.",
            lambda: self.front.attempts.crossed_answers,
        )

    def _capacity(self, service: str) -> StageCapacity:
        table = self.view.table
        known = table.services_by_name.get(service) if table else None
        return known.pool if known is not None and known.pool else StageCapacity()

    def _limits(self) -> ServerLimits:
        table = self.view.table
        limits = table.limits if table is not None else RequestLimits()
        return ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_ms=limits.header_ms,
            idle_ms=limits.idle_ms + IDLE_MARGIN_MS,
        )

    @property
    def is_ready(self) -> bool:
        """Whether new requests are wanted."""
        view = self.view
        return view.table is not None and view.is_fresh and not self.signals.stops

    async def run(self) -> None:
        """Serve until a planned stop has ended.

        Raises:
            SettingsError: If an address cannot be listened on.
        """
        ready_server = HttpServer(self.settings.ready_address, self._handle_ready)
        tasks = (
            self._stop_on_signal,
            self.caller_server.serve,
            ready_server.serve,
            self.view.run,
            self.live_settings.watch,
        )
        await run_daemon(
            "relay entry",
            self.settings,
            self.signals,
            self.metrics.page,
            self.handle_peer,
            tasks,
        )

    async def handle_peer(self, message: Any) -> Any:
        """Answer one message of another entry."""
        if isinstance(message, RunPieces | CancelPieces | FreeResults):
            return await self.host.handle(message)
        if isinstance(message, CarryCall):
            return await self.stages.run_for_peer(message)
        if isinstance(message, PlaceRun | RunOver):
            return self.placement_host.handle(message)
        raise MessageError(f"{type(message).__name__} is not answered here")

    async def _handle_ready(self, request: Request) -> Any:
        ready = self.is_ready
        if ready != self.was_ready:
            self.was_ready = ready
            events.log(
                events.READINESS_CHANGED,
                ready=ready,
                revision=self.view.revision,
                confirmation_age_ms=self.view.confirmation_age_ms,
                stopping=bool(self.signals.stops),
            )
        return json_response(200 if ready else 503, {"ready": ready})

    async def _stop_on_signal(self) -> None:
        """Wait for a signal, then end the process without cutting a request."""
        await self.signals.wait()
        events.log(events.DRAIN_STARTED, name=self.settings.name)
        limit_ms = self.clock.now_ms() + self._drain_limit_ms()
        await self.view.announce_stop()
        # The balancer sends new connections until it has asked twice.
        await self.clock.sleep_ms(self.settings.drain_notice_ms)
        self.caller_server.draining = True
        await self.caller_server.close_idle()
        while not self._is_idle() and self.clock.now_ms() < limit_ms:
            await self.clock.sleep_ms(DRAIN_POLL_MS)

    def _drain_limit_ms(self) -> int:
        return int(self.settings.grace_s * MS_PER_SECOND) - GRACE_MARGIN_MS

    def _is_idle(self) -> bool:
        works = self.host.has_open_jobs or self.stages.running_for_peers
        return not self.caller_server.active_requests and not works


async def run_relay_entry(
    settings: RelayEntrySettings,
    form: EntryFormat,
    reload: Callable[[], RelayEntrySettings],
) -> None:
    """Run a relay entry until it is told to stop."""
    await RelayEntry(settings, form, reload).run()
