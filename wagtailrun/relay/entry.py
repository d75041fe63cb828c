"""Relay entry daemon: receives requests and relays them to targets by route."""

import math
from collections.abc import Awaitable, Callable
from typing import Any

from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import ServerLimits
from wagtailrun.discovery import FleetView, OriginClient
from wagtailrun.discovery.owners import Owners, ownership_key
from wagtailrun.exceptions import MessageError
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.process.descriptors import used_descriptors
from wagtailrun.process.loop_watch import LoopWatch
from wagtailrun.process.start_steps import StartSteps
from wagtailrun.process.supervisor import supervise
from wagtailrun.relay.core.metrics import RelayMetrics
from wagtailrun.relay.core.placement_messages import (
    PlaceRun,
    RequestGrant,
    RunBroken,
    RunOver,
)
from wagtailrun.relay.entry_ports import EntryPorts, EntryProtocol, SystemPorts
from wagtailrun.relay.entry_stop import RelayEntryStop, StopTimes
from wagtailrun.relay.limits.cold_grants import MOST_PIECES, ColdRoles
from wagtailrun.relay.limits.notices import TargetNotices
from wagtailrun.relay.limits.send_grants import GrantClient, SendGranter, fallback_share
from wagtailrun.relay.paths.tunnel_messages import OpenTunnel, ReportPause
from wagtailrun.relay.paths.tunnels import PathConnector, TunnelHost
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.part_news import PartNews
from wagtailrun.relay.placement.service import PlacementClient, PlacementHost
from wagtailrun.relay.placement.silence_news import is_silence_news
from wagtailrun.relay.process import LiveSettings, run_daemon
from wagtailrun.relay.requests.front import RelayHandler
from wagtailrun.relay.stopping.readiness import Readiness, max_stay_ms
from wagtailrun.relay.stopping.rotation import Rotation
from wagtailrun.relay.upkeep import Upkeep
from wagtailrun.routes import RequestLimits, RouteTable, StageCapacity
from wagtailrun.settings import RelayEntrySettings
from wagtailrun.stages import (
    CancelPieces,
    CarryCall,
    DelegatingStageClient,
    EntryStarts,
    FreeResults,
    RunPieces,
    StageBatcher,
    StageHost,
    StageRunner,
    Succession,
    TakeOver,
)
from wagtailrun.stopping.entry_stop import EntryStop
from wagtailrun.stopping.planned_stop import wait_for_signal
from wagtailrun.stopping.signals import StopSignals
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.targets.table import TargetRow

__all__ = ["EntryProtocol", "RelayEntry", "run_relay_entry"]

# Idle connections are closed this much later than the fleet configuration allows, so
# that a caller that reuses one in time does not find it closed.
IDLE_MARGIN_MS = 1_000
# Stage calls are spread over entries on links slower than this. The calls of one busy
# stage take 3 Mbit/s; on faster links one entry makes them all, which saves a hop.
SPREAD_BELOW_LINK_MBPS = 50.0
# So long after a standstill the first news of the other entries is still awaited. A
# control member that replies sends it within 0.6 s.
RECENT_STANDSTILL_MS = 1_000
# Share of the operator's retry budget that entries use, so that small differences
# between their count and the operator's do not exceed it.
RETRY_BUDGET_SHARE = 0.8


class RelayEntry:
    """Composition root of a relay entry process.

    Args:
        settings: Checked settings.
        protocol: Formats of the fleet configuration, requests and stage calls.
        reload: Reads the settings again.
        ports: Time, connections and servers; by default those of the system.
    """

    def __init__(
        self,
        settings: RelayEntrySettings,
        protocol: EntryProtocol,
        reload: Callable[[], RelayEntrySettings],
        ports: EntryPorts | None = None,
    ):
        ports = ports or SystemPorts(settings)
        self.settings = settings
        self.clock = ports.clock
        self.steps = StartSteps(self.clock)
        self.loop_watch = LoopWatch(self.clock)
        self.descriptors = ports.descriptors
        self.link = ports.link
        self.live_settings = LiveSettings(self.clock, settings, reload)
        self.signals = StopSignals(self.clock, self.live_settings.reload)
        self.stop_times = StopTimes(self.clock, self.signals, settings)
        own_row = EntryRow(
            settings.name,
            settings.peer_address,
            settings.data_centre,
            ports.incarnation(),
        )
        self.view = FleetView(
            self.clock,
            self.link,
            own_row,
            lambda: self.live_settings.current.seeds,
            protocol.configuration_format,
            settings.key_grace_ms,
            settings.apply_limit_ms,
            settings.target_drain_ms,
            self.steps,
        )
        # Keys of the services that have owners, and the table that they are from.
        self.busy_keys: tuple[str, ...] = ()
        self.busy_keys_table: RouteTable | None = None
        # Results cannot be fetched from data centres that are away, so that each side
        # has its own owners. Grants count requests of all entries.
        self.owners = Owners(self.clock, self.view.near_entries, self._busy_keys)
        grant_owners = Owners(self.clock, self.view.live_entries, self._busy_keys)
        self.granter = SendGranter(
            self.clock,
            self.view.limits,
            self._grant_share,
            ports.seed_of("grants"),
            is_out_of_touch=lambda: self.view.is_out_of_touch,
            roles=self._cold_roles(grant_owners),
        )
        self.grants = GrantClient(
            self.link,
            settings.name,
            settings.data_centre,
            grant_owners,
            self.granter,
            self.view.limits,
            self._target_slots,
            ports.seed_of("identity"),
        )
        self.origins = OriginClient(self.clock, self.link, self.view)
        self.connector = PathConnector(
            self.clock,
            self.link,
            self.view,
            ports.seed_of("paths"),
            ports.connector,
        )
        self.notices = TargetNotices(
            self.clock,
            protocol.wire,
            self.view,
            self.grants,
            ports.seed_of("pauses"),
            report_pause=self.connector.carriers.report_pause,
        )
        self.tunnels = TunnelHost(
            self.clock,
            self.view,
            self.connector,
            self.notices.begin_carried_request,
            self._is_stopping,
            self.loop_watch.was_held_since,
        )
        self.pool = ports.connection_pool(self.view.membership.serving_addresses)
        self.http = HttpClient(self.clock, self.notices, self.connector, pool=self.pool)
        self.max_entries_seen = 1
        self.budget = self._make_budget()
        self.metrics = RelayMetrics()
        self.delegating_client = DelegatingStageClient(
            protocol.stage_client(self.http),
            self.link,
            settings.name,
            self.owners,
            lambda: settings.link_mbps < SPREAD_BELOW_LINK_MBPS,
            self.view.has_left,
        )
        self.batcher = StageBatcher(
            self.clock,
            self.delegating_client,
            self.view.targets,
            self._stage_capacity,
            self.budget,
            lambda message: self.runner.notify_owner(message),
            self.loop_watch.was_held_since,
            self.connector.confirms_silence,
            lambda service: self.runner.owns(service),
            self._most_pieces,
            lambda data_centre: data_centre in self.view.away_data_centres,
            EntryStarts(self.clock, self.view.live_entries).first_ms,
        )
        self.runner = StageRunner(
            self.clock,
            self.link,
            settings.name,
            self.batcher,
            self.owners,
            self._stage_capacity,
            self._awaits_news,
            settings.data_centre,
            self.connector.reach.check,
        )
        self.batcher.succession = Succession(
            self.clock,
            self.link,
            settings.name,
            self.runner.calls,
            self._is_stopping,
        )
        self.stages = StageHost(self.batcher, self.delegating_client, self._is_stopping)
        self.chooser = TargetChooser(
            self.clock,
            settings.data_centre,
            ports.seed_of("targets"),
            self.view.limits,
            ports.decisions,
        )
        # Placement needs its own chooser: it tracks the prompts of all entries, while
        # the other one tracks the attempts of this entry only.
        self.placement_host = PlacementHost(
            self.clock,
            TargetChooser(
                self.clock,
                "",
                ports.seed_of("engines"),
                self.view.limits,
                ports.decisions,
            ),
            self.view.targets,
            self.view.quarantine,
            self.granter.wait_ms,
            self.loop_watch.was_held_since,
        )
        self.part_news = PartNews(
            self.clock,
            self.link,
            settings.name,
            self.owners,
            self.placement_host.known,
            self._is_stopping,
        )
        self.placement = PlacementClient(
            self.link,
            settings.name,
            self.owners,
            self.placement_host,
            self.view.report_changes,
        )
        self.handler = RelayHandler(
            self.clock,
            self.view,
            protocol.wire,
            self.http,
            self.runner,
            self.chooser,
            self.placement,
            self.budget,
            self.metrics,
            self.notices,
            self.origins,
            ports.seed_of("front"),
            was_held_since=self.loop_watch.was_held_since,
            steps=self.steps,
        )
        self.caller_server = ports.caller_server(
            settings.caller_address,
            self.handler.handle,
            on_refusal=self.handler.record_unread,
            limits=self._server_limits,
            overload=self._overload,
            notice_ms=self.stop_times.notice_ms,
        )
        rotation = Rotation(
            self.clock, own_row, self.view.live_entries, self.stop_times.grace_ms
        )
        self.view.on_entries_changed = rotation.update
        self.readiness = Readiness(
            self.view,
            self.signals,
            self._overload,
            rotation,
            max_stay_ms(self.stop_times.grace_ms, self.stop_times.notice_ms),
        )
        self.ready_server = ports.caller_server(
            settings.ready_address, self.readiness.handle, checks=lambda path: True
        )
        self.peer_server = ports.peer_server(
            settings.peer_listen_address or settings.peer_address, self.handle_peer
        )
        self.upkeep = Upkeep(
            self.clock,
            self.view,
            self.chooser,
            self.placement_host,
            self.connector,
            self.batcher,
            self.budget,
        )
        self.planned_stop = self._make_planned_stop()
        self._export_gauges()

    def _make_planned_stop(self) -> EntryStop:
        steps = RelayEntryStop(
            self.settings.name,
            self.stop_times,
            self.view,
            self.handler,
            self.caller_server,
            self.peer_server,
            self.readiness,
            self.batcher,
            self.stages,
            self.tunnels,
        )
        return EntryStop(self.clock, steps, self.caller_server)

    def _make_budget(self) -> RetryBudget:
        settings = self.settings

        def max_reserve() -> float:
            # The largest number ever seen, as entries behind a partition retry, too.
            self.max_entries_seen = max(
                self.max_entries_seen, len(self.view.live_entries())
            )
            share = settings.retry_slack * RETRY_BUDGET_SHARE / self.max_entries_seen
            return max(share, 1.0)

        return RetryBudget(settings.retry_ratio * RETRY_BUDGET_SHARE, 1.0, max_reserve)

    def _export_gauges(self) -> None:
        # The help texts are part of the metrics interface. "Text" is the fleet
        # configuration; the stage figures are of the calls that this entry decides.
        gauge = self.metrics.add_gauge
        server, view, batcher = self.caller_server, self.view, self.batcher
        gauge("ready", "Whether new requests are wanted.", lambda: self.is_ready)
        gauge("active_requests", "Requests under way.", lambda: server.active_requests)
        gauge(
            "revision",
            "Revision of the text in force.",
            lambda: view.revision,
        )
        gauge(
            "newest_revision",
            "Newest revision of the text that this entry knows of.",
            lambda: view.marks.revision,
        )
        gauge(
            "unreadable_revision",
            "Newest revision of the text, if this entry cannot read it; else 0.",
            lambda: view.unread_revision,
        )
        gauge(
            "confirmation_age_ms",
            "Age of the last confirmation of the text.",
            lambda: view.confirmation_age_ms,
        )
        gauge("stage_calls", "Calls of stages made here.", lambda: batcher.calls)
        gauge("stage_pieces", "Pieces in these calls.", lambda: batcher.pieces)
        gauge(
            "stage_call_ms",
            "Time of these calls.",
            lambda: batcher.call_ms,
        )
        gauge(
            "stage_result_bytes",
            "Results of these calls that targets hold, in bytes.",
            lambda: batcher.held_bytes,
        )
        gauge(
            "stage_pieces_without_memory",
            "Pieces that wait for memory for their results.",
            lambda: batcher.pieces_without_memory,
        )
        shares = self.descriptors
        gauge("descriptors", "Descriptors in use, at least.", used_descriptors)
        gauge(
            "descriptors_for_requests",
            "Descriptors above which new requests are refused.",
            lambda: shares.for_requests,
        )
        gauge(
            "idle_connections",
            "Connections to targets without a request.",
            lambda: len(self.pool),
        )
        paths, tunnels = self.connector.paths, self.tunnels
        gauge(
            "lost_paths",
            "Targets that this entry reaches only through other entries.",
            lambda: len(paths.lost_since_ms_by_address),
        )
        reach = self.connector.reach
        gauge(
            "away_data_centres",
            "Data centres that neither this entry nor others beside it reach.",
            lambda: len(reach.absences_by_data_centre),
        )
        gauge(
            "evacuated_data_centres",
            "Data centres to whose targets this entry sends nothing, by order.",
            lambda: len(self.view.evacuations.data_centres),
        )
        gauge(
            "away_probes",
            "Connections that this entry tried to data centres that were away.",
            lambda: reach.probes,
        )
        gauge(
            "lowered_targets",
            "Targets whose share this entry has lowered for all, as they were silent.",
            lambda: self.placement_host.silence.shares.lowered,
        )
        gauge("cut_off", "Whether it reaches no target.", lambda: paths.is_cut_off)
        gauge(
            "tunnels",
            "Connections to targets that this entry carries for others.",
            lambda: tunnels.running,
        )
        gauge(
            "crossed_answers",
            "Answers to other requests, which were skipped.",
            lambda: self.handler.attempts.crossed_answers,
        )

    def _busy_keys(self) -> tuple[str, ...]:
        table = self.view.table
        if table is not None and table is not self.busy_keys_table:
            self.busy_keys_table = table
            self.busy_keys = tuple(
                ownership_key(row.name) if row.engine else row.name
                for row in table.services_by_name.values()
                if row.engine or row.pool
            )
        return self.busy_keys

    def _grant_share(self, service: str) -> float:
        """Return the share of the limits of a service's targets to grant here."""
        if self._prefers_own(self.owners, service):
            return 1.0
        return fallback_share(len({row.data_centre for row in self.view.entries}))

    def _prefers_own(self, owners: Owners, service: str) -> bool:
        """Return whether this entry is the owner of a service's targets by rank."""
        owner = owners.preferred(ownership_key(service))
        return owners.unless_own(owner, self.settings.name) is None

    def _cold_roles(self, owners: Owners) -> ColdRoles:
        def services() -> tuple[str, ...]:
            table = self.view.table
            rows = table.services_by_name.values() if table is not None else ()
            return tuple(row.name for row in rows if row.cold_per_s > 0)

        return ColdRoles(
            lambda service: self._prefers_own(owners, service),
            lambda: self.view.confirmation_age_ms,
            lambda: len(self.view.live_entries()),
            services,
        )

    def _most_pieces(self, row: TargetRow) -> float:
        """Return how many pieces a grant for one call to a target covers."""
        is_bound = self.view.limits.cold_limit_per_s(row) is not None
        return MOST_PIECES if is_bound else math.inf

    def _target_slots(self, row: TargetRow) -> int:
        """Return how many requests a target can run at once."""
        table = self.view.table
        service = table.services_by_name.get(row.service) if table else None
        pool = service.pool if service is not None else None
        return pool.slots if pool is not None else row.capacity

    def _stage_capacity(self, service: str) -> StageCapacity:
        table = self.view.table
        row = table.services_by_name.get(service) if table else None
        return row.pool if row is not None and row.pool else StageCapacity()

    def _overload(self) -> str:
        return self.descriptors.overload(self.caller_server.unanswered_requests)

    def _server_limits(self) -> ServerLimits:
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
        """Whether this entry accepts new requests."""
        return not self.readiness.state_reason()

    def tasks(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Return the tasks of the entry beside its server for peers.

        The first one ends with a planned stop, the others never do.
        """
        return (
            self._stop_on_signal,
            self.caller_server.serve,
            self.ready_server.serve,
            self.view.run,
            self._record_origins,
            self._watch_paths,
            self._tell_parts,
            self._watch_data_centres,
            self._state_requests,
            self._drop_gone,
            self.live_settings.watch,
        )

    async def run(self) -> None:
        """Serve until a planned stop is complete.

        Raises:
            SettingsError: If the process cannot listen on a configured address.
        """
        await run_daemon(
            "relay entry",
            self.settings,
            self.signals,
            self.metrics.render,
            self.peer_server,
            self.tasks(),
            self.stop_times.left_ms,
            self.loop_watch,
        )

    async def _state_requests(self) -> None:
        await supervise("state requests at brittle targets", self.grants.run)

    async def _record_origins(self) -> None:
        await supervise("record stream origins", self.origins.run)

    async def _tell_parts(self) -> None:
        await supervise("tell what engines hold", self.part_news.run)

    async def _watch_paths(self) -> None:
        await supervise("watch paths", self.connector.paths.run)

    async def _watch_data_centres(self) -> None:
        await supervise("watch data centres", self.connector.reach.run)

    async def _drop_gone(self) -> None:
        await supervise("drop what is gone", self.upkeep.run)

    async def handle_peer(self, message: Any) -> Any:
        """Return the reply to one message of another entry."""
        stage_messages = RunPieces | CancelPieces | FreeResults | CarryCall | TakeOver
        if isinstance(message, stage_messages):
            return await self.stages.handle(message)
        if isinstance(message, RunOver) and is_silence_news(message):
            return self.handler.silence_news.handle(message)
        if isinstance(message, PlaceRun | RunOver | RunBroken):
            return await self.placement.handle(message)
        if isinstance(message, RequestGrant):
            grant = self.granter.handle(message)
            await self.view.report_changes()
            return grant
        if isinstance(message, OpenTunnel):
            return await self.tunnels.open(message)
        if isinstance(message, ReportPause):
            return self.notices.handle(message)
        raise MessageError(f"{type(message).__name__} is not handled by a relay entry")

    async def _stop_on_signal(self) -> None:
        """Wait for a signal, then stop without interrupting a request.

        After an error this task is started again.
        """
        await wait_for_signal(self.signals, self.settings.name)
        await self.planned_stop.run()

    def _awaits_news(self) -> bool:
        """Whether others may have replaced this entry as it stood still a moment ago.

        Without news for longer, as in a cut, it goes on with what it knows.
        """
        since_ms = self.clock.now_ms() - RECENT_STANDSTILL_MS
        return self.view.is_out_of_touch and self.loop_watch.was_held_since(since_ms)

    def _is_stopping(self) -> bool:
        return bool(self.signals.stop_count)


async def run_relay_entry(
    settings: RelayEntrySettings,
    protocol: EntryProtocol,
    reload: Callable[[], RelayEntrySettings],
) -> None:
    """Run a relay entry until it is signalled to stop."""
    await RelayEntry(settings, protocol, reload).run()
