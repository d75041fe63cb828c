"""Control daemon: a member of the agreed state, and its interfaces."""

import errno
from typing import Any

import attrs
import curio

from wagtailrun import events
from wagtailrun.adapters.file_disk import FileDisk
from wagtailrun.adapters.http_server import (
    HttpServer,
    Request,
    Response,
    json_response,
)
from wagtailrun.adapters.tcp_link import TcpPeerLink, serve_peers
from wagtailrun.clock import Clock, SystemClock
from wagtailrun.codec import Channel, codec_of, encode
from wagtailrun.consensus import Member
from wagtailrun.control_client import ControlClient
from wagtailrun.exceptions import ConsensusUnavailable, DiskFault, MessageError
from wagtailrun.messages import Ping, Pong
from wagtailrun.operator_api import MAX_TEXT_BYTES, OperatorApi
from wagtailrun.ports.log import ReplicatedLog
from wagtailrun.registry import OrderKey, Registry
from wagtailrun.registry_messages import (
    ApplyText,
    CloseOrder,
    FindOrder,
    NotLeader,
    OpenOrder,
    SweepOrders,
    TextUpdate,
    Unavailable,
    WatchText,
)
from wagtailrun.settings import ControlSettings

__all__ = ["ControlService", "run_control"]

PROPOSE_TIMEOUT_MS = 2_000
SWEEP_INTERVAL_MS = 1_000
WATCH_POLL_MS = 50


class ControlService:
    """Answers entries and other control members.

    Args:
        clock: Clock.
        name: Name of this VM.
        registry: Local copy of the agreed state.
        log: Log that drives it.
    """

    def __init__(self, clock: Clock, name: str, registry: Registry, log: ReplicatedLog):
        self.clock = clock
        self.name = name
        self.registry = registry
        self.log = log

    async def handle(self, message: Any) -> Any:
        """Answer one message of a peer."""
        match message:
            case ApplyText() | OpenOrder() | CloseOrder():
                return await self._propose(message)
            case FindOrder():
                return await self._find(message)
            case WatchText():
                return await self._watch(message)
            case Ping():
                return Pong(self.name)
        raise MessageError(f"{type(message).__name__} is not answered here")

    async def sweep(self) -> None:
        """Close overdue orders for as long as this member leads."""
        while True:
            await self.clock.sleep_ms(SWEEP_INTERVAL_MS)
            if self.log.is_leader:
                await self._propose(SweepOrders(0))

    async def _propose(self, message: Any) -> Any:
        if not self.log.is_leader:
            return self._not_leader()
        stamped = attrs.evolve(message, now_ms=self.clock.wall_ms())
        try:
            return await self.log.propose(encode(stamped), PROPOSE_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            return _unavailable(error)

    async def _find(self, message: FindOrder) -> Any:
        if not self.log.is_leader:
            return self._not_leader()
        try:
            await self.log.barrier(PROPOSE_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            return _unavailable(error)
        return self.registry.find_order(OrderKey(message.workspace, message.key))

    async def _watch(self, message: WatchText) -> TextUpdate:
        """Return a newer text, or the known revision when the wait is over."""
        give_up_ms = self.clock.now_ms() + message.wait_ms
        while self.registry.revision <= message.revision:
            if self.clock.now_ms() >= give_up_ms:
                return TextUpdate(message.revision)
            await self.clock.sleep_ms(WATCH_POLL_MS)
        return TextUpdate(self.registry.revision, text=self.registry.text)

    def _not_leader(self) -> NotLeader:
        return NotLeader(str(self.log.leader_address or ""))


def _unavailable(error: ConsensusUnavailable) -> Unavailable:
    return Unavailable(str(error), error.may_have_committed, error.retry_after_ms)


async def run_control(settings: ControlSettings) -> None:
    """Run a control process until it is told to stop.

    Raises:
        DiskFault: If a write or sync failed. A full disk leaves the process running,
            not ready, so that the operator sees why.
        CorruptRecord: If the data folder holds a damaged record.
    """
    clock = SystemClock()
    registry = Registry()
    link = TcpPeerLink(settings.peer_secret)
    log = Member(
        clock,
        link,
        FileDisk(settings.data_folder),
        registry,
        settings.name,
        settings.peer_address,
        peers=settings.control_peers,
        bootstrap=settings.bootstrap,
    )
    service = ControlService(clock, settings.name, registry, log)
    members = [settings.peer_address, *settings.control_peers]
    operators = OperatorApi(
        registry, ControlClient(clock, link, members), settings.operator_credential
    )

    async def handle_peer(message: Any) -> Any:
        if codec_of(message).channel is Channel.CONSENSUS:
            return await log.handle(message)
        return await service.handle(message)

    async def handle_operator(request: Request) -> Response:
        if request.path == "/readyz" and log.fault is not None:
            value = {"status": "stopped", "detail": str(log.fault)}
            return json_response(503, value)
        return await operators.handle(request)

    async def take_part() -> None:
        try:
            await log.run()
        except DiskFault as error:
            cause = error.__cause__
            if not isinstance(cause, OSError) or cause.errno != errno.ENOSPC:
                raise
            await curio.Event().wait()

    server = HttpServer(settings.operator_address, handle_operator, MAX_TEXT_BYTES)
    events.log(events.PROCESS_STARTED, role="control", name=settings.name)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(
            serve_peers, settings.peer_address, settings.peer_secret, handle_peer
        )
        await group.spawn(server.serve)
        await group.spawn(service.sweep)
        await group.spawn(take_part)
    if group.exception is not None:
        raise group.exception
