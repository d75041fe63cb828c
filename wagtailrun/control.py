"""Control daemon: a member of the agreed state, and its interfaces."""

import errno
from pathlib import Path
from typing import Any

import curio

from wagtailrun import events
from wagtailrun.account_store import AccountStore
from wagtailrun.adapters.file_disk import FileDisk
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_engine import HttpEngineClient
from wagtailrun.adapters.http_server import (
    HttpServer,
    Request,
    Response,
    json_response,
)
from wagtailrun.adapters.tcp_link import TcpPeerLink, serve_peers
from wagtailrun.clock import SystemClock
from wagtailrun.codec import Channel, codec_of
from wagtailrun.consensus import Member
from wagtailrun.control_client import ControlClient
from wagtailrun.control_service import ControlService
from wagtailrun.engine_control import EngineController
from wagtailrun.exceptions import DiskFault
from wagtailrun.fleet_watch import FleetWatch
from wagtailrun.metrics import Metrics
from wagtailrun.operator_api import MAX_TEXT_BYTES, OperatorApi
from wagtailrun.period_closing import PeriodCloser
from wagtailrun.registry import Registry
from wagtailrun.settings import ControlSettings

__all__ = ["Control", "run_control"]

GAUGE_INTERVAL_MS = 1_000


class Control:
    """All parts of one control process.

    Args:
        settings: Checked settings.
    """

    def __init__(self, settings: ControlSettings):
        self.settings = settings
        self.clock = SystemClock()
        self.registry = Registry()
        self.metrics = Metrics()
        link = TcpPeerLink(settings.peer_secret)
        folder = Path(settings.data_folder)
        self.member = Member(
            self.clock,
            link,
            FileDisk(folder / "consensus"),
            self.registry,
            settings.name,
            settings.peer_address,
            peers=settings.control_peers,
            bootstrap=settings.bootstrap,
        )
        self.service = ControlService(
            self.clock, settings.name, self.registry, self.member
        )
        self.accounts = AccountStore(
            self.clock,
            FileDisk(folder / "accounts"),
            settings.name,
            settings.control_peers,
            link,
        )
        self.closer = PeriodCloser(self.service, self.accounts)
        self.watch = FleetWatch(
            self.clock, link, self.registry, settings.name, settings.entry_peers
        )
        self.engines = EngineController(
            self.service, self.watch.target_rows, HttpEngineClient(HttpClient())
        )
        members = [settings.peer_address, *settings.control_peers]
        self.operators = OperatorApi(
            self.registry,
            ControlClient(self.clock, link, members),
            settings.operator_credential,
            self.accounts,
            self.watch,
            self.metrics,
        )

    async def run(self) -> None:
        """Take part until a fault or a signal ends the process.

        Raises:
            DiskFault: If a write or sync failed. A full disk leaves the process
                running, not ready, so that the operator sees why.
            CorruptRecord: If the data folder holds a damaged record.
        """
        await self.accounts.open()
        server = HttpServer(
            self.settings.operator_address, self.handle_operator, MAX_TEXT_BYTES
        )
        events.log(events.PROCESS_STARTED, role="control", name=self.settings.name)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(
                serve_peers,
                self.settings.peer_address,
                self.settings.peer_secret,
                self.handle_peer,
            )
            await group.spawn(server.serve)
            await group.spawn(self.service.run_order_sweeps)
            await group.spawn(self.accounts.run)
            await group.spawn(self.closer.run)
            await group.spawn(self.watch.run)
            await group.spawn(self.engines.run)
            await group.spawn(self._update_gauges)
            await group.spawn(self._take_part)
        if group.exception is not None:
            raise group.exception

    async def handle_peer(self, message: Any) -> Any:
        """Answer one message of another process of the system."""
        channel = codec_of(message).channel
        if channel is Channel.CONSENSUS:
            return await self.member.handle(message)
        if channel is Channel.ACCOUNTS:
            return await self.accounts.handle(message)
        return await self.service.handle(message)

    async def handle_operator(self, request: Request) -> Response:
        """Answer one request of an operator or of the platform."""
        if request.path == "/readyz" and self.member.fault is not None:
            value = {"status": "stopped", "detail": str(self.member.fault)}
            return json_response(503, value)
        return await self.operators.handle(request)

    async def _take_part(self) -> None:
        try:
            await self.member.run()
        except DiskFault as error:
            cause = error.__cause__
            if not isinstance(cause, OSError) or cause.errno != errno.ENOSPC:
                raise
            await curio.Event().wait()

    async def _update_gauges(self) -> None:
        while True:
            self.metrics.ready.set(self.member.fault is None)
            self.metrics.revision.set(self.registry.revision)
            self.metrics.account_rows.set(self.accounts.row_count)
            await self.clock.sleep_ms(GAUGE_INTERVAL_MS)


async def run_control(settings: ControlSettings) -> None:
    """Run a control process until it is told to stop; see ``Control.run``."""
    await Control(settings).run()
