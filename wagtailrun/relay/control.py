"""Relay control daemon: consensus on the fleet configuration, target reports, polls."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from wagtailrun.adapters.file_disk import FileDisk
from wagtailrun.adapters.http_server import (
    HttpHandler,
    HttpServer,
    Request,
    Response,
)
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.clock import SystemClock
from wagtailrun.codec import Channel, codec_of
from wagtailrun.consensus.host import MemberHost
from wagtailrun.consensus.member import Member
from wagtailrun.consensus.timing import Timing
from wagtailrun.control.founding_calls import FOUNDING_PATH, FoundingCalls
from wagtailrun.control.service import ControlService
from wagtailrun.discovery import Configuration
from wagtailrun.discovery.hub import Hub
from wagtailrun.exceptions import (
    ConsensusUnavailable,
    Refusal,
    RefusalReason,
    Verdict,
)
from wagtailrun.logs import events
from wagtailrun.ports.disk import Disk
from wagtailrun.ports.link import Address
from wagtailrun.registry.client import ControlClient
from wagtailrun.registry.messages import NotLeader, PutText, TextVerdict, Unavailable
from wagtailrun.registry.state import Registry
from wagtailrun.relay.control_stop import RelayControlStop
from wagtailrun.relay.core.metrics import RelayMetrics
from wagtailrun.relay.evacuation_orders import EvacuationOrders
from wagtailrun.relay.process import LiveSettings, run_daemon
from wagtailrun.settings import RelayControlSettings
from wagtailrun.stopping.member_stop import MemberStop
from wagtailrun.stopping.planned_stop import wait_for_signal
from wagtailrun.stopping.running_requests import STOP_ANSWER_MS
from wagtailrun.stopping.signals import StopSignals

__all__ = ["FleetConfigurationStore", "RelayControl", "run_relay_control"]

# Operators wait 1 s for an answer before they try another member.
PUT_TIMEOUT_MS = 900
READ_TIMEOUT_MS = 800
RETRY_AFTER_MS = 500
# A member that stops answers the requests that it has for this long: a change takes
# PUT_TIMEOUT_MS at most.
CHANGE_ANSWER_MS = PUT_TIMEOUT_MS + STOP_ANSWER_MS
# Largest request body: a fleet configuration of 4 MB and room for growth.
MAX_TEXT_BYTES = 6 * 1024 * 1024
MIN_VOTERS = 3
# On links of a few milliseconds a new leader is elected in well under 2 s. The lease of
# a clock that is 10% slow ends before the vote_withhold_ms of a clock that is 10% fast.
CONSENSUS_TIMING = Timing(
    heartbeat_ms=120,
    lease_ms=700,
    vote_withhold_ms=950,
    election_min_ms=1_000,
    election_max_ms=1_700,
    call_timeout_ms=350,
)


class FleetConfigurationStore:
    """Reads and writes the replicated fleet configuration at any control member.

    Args:
        control: Control process of the member.

    Attributes:
        evacuations: Takes the orders to evacuate data centres, which go the same way.
    """

    def __init__(self, control: "RelayControl"):
        self.control = control
        self.client = ControlClient(control.clock, control.link, [])
        self.evacuations = EvacuationOrders(
            control.clock,
            control.registry,
            control.hub.places,
            lambda timeout_ms: control.member.read_barrier(timeout_ms),
            self.ask_leader,
        )

    async def ask_leader(self, message: Any, timeout_ms: int) -> Any:
        """Return the leader's reply to a command.

        Raises:
            ConsensusUnavailable: If there is none, so that it is unknown whether the
                command takes effect.
        """
        control = self.control
        self.client.addresses = control.member_addresses()
        if not control.member.is_leader:
            return await self.client.call_leader(message, timeout_ms)
        reply = await control.service.handle(message)
        if isinstance(reply, NotLeader):
            detail = f"{control.settings.name} is not the leader any more"
            raise ConsensusUnavailable(detail, may_have_committed=False)
        if isinstance(reply, Unavailable):
            raise ConsensusUnavailable(
                reply.detail, may_have_committed=reply.may_have_committed
            )
        return reply

    async def put(
        self, configuration: Configuration, source: str
    ) -> TextVerdict | Refusal:
        """Apply a fleet configuration if its version is the highest so far.

        Args:
            configuration: The configuration, which entries can read.
            source: Address of the operator, for the log.

        Returns:
            The verdict: applied, or superseded by a higher version. A refusal if it is
            unknown whether the configuration was applied.
        """
        control = self.control
        version = configuration.table.version
        message = PutText(version, "operator", source, configuration.text, 0)
        try:
            reply = await self.ask_leader(message, PUT_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            reply = error
        verdict = reply if isinstance(reply, TextVerdict) else None
        events.log(
            events.FLEET_CONFIG_DECIDED,
            version=version,
            source=source,
            acknowledged=verdict is not None,
            in_force=verdict is not None and verdict.accepted,
            revision=(verdict or control.registry).revision,
            detail=str(getattr(reply, "detail", reply)),
        )
        if verdict is not None:
            return verdict
        return Refusal(
            RefusalReason.CONSENSUS_UNAVAILABLE,
            Verdict.MAY_HAVE_RUN,
            str(getattr(reply, "detail", reply)),
            RETRY_AFTER_MS,
        )

    async def read(self) -> str | Refusal:
        """Return the applied configuration, or a refusal if it cannot be confirmed."""
        control = self.control
        try:
            await control.member.read_barrier(READ_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            return Refusal(
                RefusalReason.CONSENSUS_UNAVAILABLE,
                Verdict.NOT_RUN,
                str(error),
                RETRY_AFTER_MS,
            )
        if not control.registry.revision:
            return Refusal(
                RefusalReason.NO_CONFIGURATION,
                Verdict.NOT_RUN,
                "no fleet configuration has been accepted yet",
                RETRY_AFTER_MS,
            )
        return control.registry.text


class RelayControl:
    """Composition root of a relay control process.

    Args:
        settings: Checked settings.
        make_handler: Returns the HTTP handler for operators and targets.
        reload: Reads the settings again.
    """

    def __init__(
        self,
        settings: RelayControlSettings,
        make_handler: Callable[[FleetConfigurationStore, Hub], HttpHandler],
        reload: Callable[[], RelayControlSettings],
    ):
        self.settings = settings
        self.clock = SystemClock()
        self.live_settings = LiveSettings(
            self.clock, settings, reload, self._update_seeds
        )
        self.signals = StopSignals(self.clock, self.live_settings.reload)
        self.link = TcpPeerLink(settings.peer_secret)
        self.registry = Registry()
        folder = Path(settings.data_folder) / "consensus"
        self.member_host = MemberHost(
            self.clock,
            FileDisk(folder),
            self._make_member,
            self.registry.reset,
            str(folder),
            discard_damaged_files=True,
        )
        self.hub = Hub(
            self.clock,
            self.link,
            self.registry,
            lambda: self.member,
            settings.peer_address,
            settings.heartbeat_ms,
            settings.data_centre,
        )
        self.fleet_configuration = FleetConfigurationStore(self)
        self.operator_handler = make_handler(self.fleet_configuration, self.hub)
        self.founding_calls = FoundingCalls(
            self.member_host,
            self.registry,
            self.fleet_configuration.ask_leader,
            settings.name,
        )
        self.operators = HttpServer(
            settings.operator_address, self.handle_operator, MAX_TEXT_BYTES
        )
        self.peer_server = PeerServer(
            settings.peer_listen_address or settings.peer_address,
            settings.peer_secret,
            self.handle_peer,
        )
        steps = RelayControlStop(
            self.member_host, self.peer_server, self.hub, CHANGE_ANSWER_MS
        )
        self.planned_stop = MemberStop(steps, self.operators)
        self.metrics = RelayMetrics()
        self._export_gauges()

    def _make_member(self, disk: Disk) -> Member:
        settings = self.live_settings.current
        seeds = [(str(address), address) for address in settings.seeds]
        return Member(
            self.clock,
            self.link,
            disk,
            self.registry,
            # The address identifies the VM. A VM that returns with an empty disk
            # replaces its lost identity; a VM with a new address is a new member.
            str(settings.peer_address),
            settings.peer_address,
            peers=settings.seeds,
            bootstrap=seeds if settings.founding else (),
            founds_by_majority=settings.founding,
            may_found_alone=not settings.losses,
            timing=CONSENSUS_TIMING,
            open_joining=True,
            min_voters=max(MIN_VOTERS, 2 * settings.losses + 1),
        )

    def _export_gauges(self) -> None:
        # The help texts are part of the metrics interface.
        gauge = self.metrics.add_gauge
        gauge("leader", "Whether this member leads.", lambda: self.member.is_leader)
        gauge(
            "disk_full",
            "Whether this member waits for space on its disk.",
            lambda: self.member_host.is_disk_full,
        )
        gauge(
            "in_cluster",
            "Whether this member belongs to a cluster.",
            lambda: not self.member_host.cluster_detail,
        )
        gauge("term", "Term of the replicated log.", lambda: self.member.term)
        gauge("commit_index", "Committed entries.", lambda: self.member.commit_index)
        gauge("revision", "Revision in force.", lambda: self.registry.revision)
        gauge(
            "evacuated_data_centres",
            "Data centres to whose targets entries send nothing, by order.",
            lambda: len(self.registry.evacuations.data_centres),
        )
        gauge(
            "voters",
            "Members that vote.",
            lambda: len(self.member.configuration.voters()),
        )
        gauge(
            "targets",
            "Targets known.",
            lambda: len(self.hub.membership.targets_by_name),
        )
        gauge("entries", "Entries known.", lambda: len(self.hub.entries_by_name))

    @property
    def member(self) -> Member:
        """The consensus member, a new one after each fault."""
        return self.member_host.member

    @property
    def service(self) -> ControlService:
        """Service for messages about the replicated state."""
        return ControlService(
            self.clock, self.settings.name, self.registry, self.member_host
        )

    def member_addresses(self) -> list[Address]:
        """Return the peer addresses of the other control members."""
        known = [info.peer_address for info in self.member.configuration.members]
        seeds = self.live_settings.current.seeds
        own = self.settings.peer_address
        return [address for address in known or seeds if address != own]

    async def run(self) -> None:
        """Serve until a signal stops the process.

        Raises:
            SettingsError: If the process cannot listen on a configured address.
        """
        tasks = (
            self._stop_on_signal,
            self.operators.serve,
            self.hub.run,
            self.member_host.run,
            self.live_settings.watch,
        )
        await run_daemon(
            "relay control",
            self.settings,
            self.signals,
            self.metrics.render,
            self.peer_server,
            tasks,
        )

    async def _stop_on_signal(self) -> None:
        """Wait for a signal, then answer the requests that have been accepted."""
        await wait_for_signal(self.signals, self.settings.name)
        await self.planned_stop.run()

    async def handle_operator(self, request: Request) -> Response:
        """Return the response to one HTTP request of an operator or a target."""
        if request.path == FOUNDING_PATH:
            return await self.founding_calls.handle(request)
        return await self.operator_handler(request)

    async def handle_peer(self, message: Any) -> Any:
        """Return the reply to one message from another process of the system."""
        channel = codec_of(message).channel
        if channel is Channel.CONSENSUS:
            return await self.member_host.handle(message)
        if channel is Channel.DISCOVERY:
            return await self.hub.handle(message)
        return await self.service.handle(message)

    def _update_seeds(self, settings: RelayControlSettings) -> None:
        self.member.peers = settings.seeds


async def run_relay_control(
    settings: RelayControlSettings,
    make_handler: Callable[[FleetConfigurationStore, Hub], HttpHandler],
    reload: Callable[[], RelayControlSettings],
) -> None:
    """Run a relay control process until it is signalled to stop."""
    await RelayControl(settings, make_handler, reload).run()
