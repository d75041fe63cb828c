"""Control daemon: a member of the replicated log with its peer and HTTP interfaces."""

from pathlib import Path
from typing import Any

from wagtailrun.accounts.store import AccountStore
from wagtailrun.adapters.file_disk import FileDisk
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_engine import HttpEngineClient
from wagtailrun.adapters.http_server import HttpServer, Request, Response, json_response
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.clock import SystemClock
from wagtailrun.codec import Channel, codec_of
from wagtailrun.consensus.host import MemberHost
from wagtailrun.consensus.member import Member
from wagtailrun.control.engine_control import EngineController
from wagtailrun.control.fleet_watch import FleetWatch
from wagtailrun.control.member_stop import FORCED_END_MS, ControlStop
from wagtailrun.control.operator_api import (
    MAX_TEXT_BYTES,
    OperatorApi,
)
from wagtailrun.control.period_closing import PeriodCloser
from wagtailrun.control.service import ControlService
from wagtailrun.logs import events
from wagtailrun.observation.metrics import Metrics
from wagtailrun.ports.disk import Disk
from wagtailrun.process.daemon_tasks import run_until_one_ends
from wagtailrun.process.memory_budget import PROCESS_MEMORY
from wagtailrun.registry.client import ControlClient
from wagtailrun.registry.state import Registry
from wagtailrun.settings import ControlSettings
from wagtailrun.stopping.member_stop import MemberStop
from wagtailrun.stopping.signalled_drain import SignalledDrain
from wagtailrun.stopping.signals import StopSignals

__all__ = ["Control", "run_control"]

GAUGE_INTERVAL_MS = 1_000


class Control:
    """Components of one control process.

    Args:
        settings: Validated settings.
    """

    def __init__(self, settings: ControlSettings):
        self.settings = settings
        self.clock = SystemClock()
        self.registry = Registry()
        self.metrics = Metrics()
        self.link = link = TcpPeerLink(settings.peer_secret)
        folder = Path(settings.data_folder)
        self.member_host = MemberHost(
            self.clock,
            FileDisk(folder / "consensus"),
            self._make_member,
            self.registry.reset,
            str(folder / "consensus"),
        )
        self.service = ControlService(
            self.clock, settings.name, self.registry, self.member_host
        )
        self.accounts = AccountStore(
            self.clock,
            FileDisk(folder / "accounts"),
            settings.name,
            settings.control_peers,
            link,
        )
        self.period_closer = PeriodCloser(self.service, self.accounts)
        self.fleet_watch = FleetWatch(
            self.clock,
            link,
            self.registry,
            settings.name,
            settings.entry_peers,
            lambda: self.member_host.cluster_detail,
        )
        self.engine_controller = EngineController(
            self.service, self.fleet_watch.target_rows, HttpEngineClient(HttpClient())
        )
        self.operator_server = HttpServer(
            settings.operator_address, self.handle_operator, MAX_TEXT_BYTES
        )
        self.peer_server = PeerServer(
            settings.peer_listen_address or settings.peer_address,
            settings.peer_secret,
            self.handle_peer,
        )
        self.signals = StopSignals(self.clock, forced_end_ms=FORCED_END_MS)
        steps = ControlStop(
            self.clock, self.signals, self.member_host, self.peer_server
        )
        self.planned_stop = MemberStop(steps, self.operator_server)
        self.signalled_drain = SignalledDrain(
            self.clock, settings.name, self.signals, self.planned_stop.run
        )
        members = [settings.peer_address, *settings.control_peers]
        self.operator_api = OperatorApi(
            self.registry,
            ControlClient(self.clock, link, members),
            settings.operator_credential,
            self.accounts,
            self.fleet_watch,
            self.metrics,
            self.member_host.catch_up,
        )

    def _make_member(self, disk: Disk) -> Member:
        settings = self.settings
        return Member(
            self.clock,
            self.link,
            disk,
            self.registry,
            settings.name,
            settings.peer_address,
            peers=settings.control_peers,
            bootstrap=settings.bootstrap,
        )

    async def run(self) -> None:
        """Run all components until a fault or a planned stop ends the process.

        A disk fault of the consensus member does not end the process; it is not ready
        until the member has started again.

        Raises:
            DiskFault: If the files of the accounts cannot be read.
            CorruptRecord: If the data folder holds a damaged record.
        """
        await self.accounts.open()
        PROCESS_MEMORY.set_memory(self.settings.memory_mb)
        events.log(events.PROCESS_STARTED, role="control", name=self.settings.name)
        tasks = (
            self.peer_server.serve,
            self.signalled_drain.run,
            self.operator_server.serve,
            self.service.run_order_sweeps,
            self.accounts.run,
            self.period_closer.run,
            self.fleet_watch.run,
            self.engine_controller.run,
            self._update_gauges,
            self.member_host.run,
        )
        await run_until_one_ends(tasks)
        events.log(events.PROCESS_STOPPED, role="control", name=self.settings.name)

    async def handle_peer(self, message: Any) -> Any:
        """Return the reply to one message of another process."""
        channel = codec_of(message).channel
        if channel is Channel.CONSENSUS:
            return await self.member_host.handle(message)
        if channel is Channel.ACCOUNTS:
            return await self.accounts.handle(message)
        return await self.service.handle(message)

    async def handle_operator(self, request: Request) -> Response:
        """Return the response to one HTTP request of an operator or the platform."""
        host = self.member_host
        if request.path == "/readyz" and not host.is_running:
            value = {"status": host.status, "detail": str(host.member.fault)}
            return json_response(503, value)
        if request.path == "/readyz" and host.cluster_detail:
            # A platform that starts the members one after the other, each once the one
            # before is ready, must get to the last: a cluster is founded by all seeds.
            value = {"status": "no cluster", "detail": host.cluster_detail}
            return json_response(200, value)
        return await self.operator_api.handle(request)

    async def _update_gauges(self) -> None:
        while True:
            self.metrics.ready.set(self.member_host.is_running)
            self.metrics.disk_full.set(self.member_host.is_disk_full)
            self.metrics.revision.set(self.registry.revision)
            self.metrics.account_rows.set(self.accounts.row_count)
            await self.clock.sleep_ms(GAUGE_INTERVAL_MS)


async def run_control(settings: ControlSettings) -> None:
    """Run a control process until it is stopped; see ``Control.run``."""
    await Control(settings).run()
