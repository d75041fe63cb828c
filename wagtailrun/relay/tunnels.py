"""Connections to targets through other entries, for entries that do not reach them.

A tunnel carries the bytes of one connection: the entry of the request decides about the
request, its deadline, retries and keys, and reads the answer itself. The entry that
carries it connects directly or not at all, so there is no second hop.
"""

import random
from collections.abc import Callable
from typing import Any

import curio

from wagtailrun import events
from wagtailrun.adapters.http_client import (
    Connector,
    DirectConnector,
    OpenConnection,
)
from wagtailrun.clock import Clock
from wagtailrun.discovery import FleetView
from wagtailrun.exceptions import ConnectFailed, PeerUnreachable, TargetPaused
from wagtailrun.gossip_messages import EntryRow
from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import Address, TunnelLink, Upgrade
from wagtailrun.relay.paths import TargetPaths
from wagtailrun.relay.tunnel_messages import (
    OpenTunnel,
    ReportPause,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)

__all__ = ["PathConnector", "TunnelHost"]

# A target on links of a region accepts a connection within 5 ms. After this time
# another entry is asked to connect.
DIRECT_TIMEOUT_MS = 150
# Another entry connects, and on failure shows that it reaches another target.
CARRIER_TIMEOUT_MS = 2 * DIRECT_TIMEOUT_MS + 100
# Entries that are asked for one connection.
MAX_CARRIERS = 3
# An entry that opened no tunnel is not asked for this long.
CARRIER_AVOIDANCE_MS = 1_000
# Connections that one entry carries for others; further ones go to other entries.
MAX_TUNNELS = 512
READ_BYTES = 64 * 1024
# The other entry closes a tunnel once it has read the end; closing it first could
# discard what it has not read yet.
END_LINGER_MS = 1_000


class PathConnector(Connector):
    """Connects to targets directly, or through another entry where that fails.

    Args:
        clock: Clock.
        link: Opens tunnels at other entries.
        view: This entry's view of the fleet.
        record_pause: Called with the address of a target and how long it takes no
            requests from the entry that would carry them.
        seed: Seed for the choice of the other entry.
    """

    def __init__(
        self,
        clock: Clock,
        link: TunnelLink,
        view: FleetView,
        record_pause: Callable[[Address, int], None],
        seed: int | None = None,
    ):
        self.clock = clock
        self.link = link
        self.view = view
        self.record_pause = record_pause
        self.random = random.Random(seed)
        self.direct = DirectConnector()
        self.paths = TargetPaths(
            clock, view.target_addresses, self.probe, self.check, seed
        )
        self.avoid_until_ms_by_carrier: dict[str, int] = {}

    async def connect(self, address: Address, timeout_ms: int) -> OpenConnection:
        """Open a connection; see ``Connector``."""
        if not self._other_entries():
            return await self.connect_directly(address, timeout_ms)
        failure = None
        if not self.paths.is_lost(address):
            limit_ms = min(timeout_ms, DIRECT_TIMEOUT_MS)
            try:
                return await self.connect_directly(address, limit_ms)
            except ConnectFailed as error:
                failure = error
        return await self._connect_through(address, failure, probe=False)

    async def accepts_connections(
        self, address: Address, timeout_ms: int
    ) -> bool | None:
        """Return whether a server accepts connections; see ``Connector``.

        It refuses them only if another entry that reaches targets was refused, too.
        """
        try:
            opened = await self.connect(address, timeout_ms)
        except ConnectFailed as error:
            return False if error.refused and error.confirmed else None
        except TargetPaused:
            return None
        await opened.sock.close()
        return True

    def may_reuse(self, address: Address) -> bool:
        """Return whether the path to a server is believed to work."""
        return not self.paths.is_lost(address)

    async def connect_directly(
        self, address: Address, timeout_ms: int
    ) -> OpenConnection:
        """Open a connection without another entry; raises ConnectFailed."""
        opened = await self.direct.connect(address, timeout_ms)
        self.paths.record_connected(address)
        return OpenConnection(self.paths.watch(opened.sock, address))

    async def _connect_through(
        self, address: Address, failure: ConnectFailed | None, *, probe: bool
    ) -> OpenConnection | None:
        """Open a connection through another entry.

        Args:
            address: Address of the target.
            failure: How the direct connection failed; None if the path was lost before.
            probe: Whether only to find out if another entry reaches it.

        Raises:
            ConnectFailed: If none could be opened; confirmed if another entry that
                reaches targets does not reach this one.
            TargetPaused: If the target asked the other entry for a pause.
        """
        detail = str(failure or f"the path to {address} is lost")
        row = self.view.row_at(address)
        message = OpenTunnel(
            self.view.own_row.name,
            row.name if row is not None else "",
            row.incarnation if row is not None else 0,
            str(address),
            probe,
        )
        for carrier in self._carriers()[:MAX_CARRIERS]:
            reply = await self._ask(carrier, message)
            if isinstance(reply, TunnelRefused):
                self._handle_refusal(carrier, address, reply, detail)
            elif reply is not None:
                if failure is not None:
                    self.paths.record_lost(address, carrier.name, detail)
                return OpenConnection(reply, carrier.address)
        raise ConnectFailed(f"{detail}; no other entry connects", confirmed=False)

    async def _ask(self, carrier: EntryRow, message: OpenTunnel) -> Any:
        """Return a tunnel or a refusal; None if the entry did not reply."""
        try:
            reply = await self.link.open_tunnel(
                carrier.address, message, CARRIER_TIMEOUT_MS, TunnelOpened
            )
        except PeerUnreachable as error:
            self._avoid(carrier, message, str(error))
            return None
        if isinstance(reply, TunnelRefused) or hasattr(reply, "recv"):
            return reply
        self._avoid(carrier, message, f"unexpected reply {type(reply).__name__}")
        return None

    def _handle_refusal(
        self, carrier: EntryRow, address: Address, reply: TunnelRefused, detail: str
    ) -> None:
        """Avoid an entry that cannot carry; raise if the target is at fault."""
        match reply.reason:
            case TunnelRefusal.UNREACHABLE:
                detail = f"{detail}; {carrier.name}: {reply.detail}"
                raise ConnectFailed(detail, refused=reply.refused)
            case TunnelRefusal.PAUSED:
                self.record_pause(address, reply.wait_ms)
                raise TargetPaused(f"{carrier.name}: {reply.detail}", reply.wait_ms)
            case TunnelRefusal.LEFT:
                raise ConnectFailed(f"{carrier.name}: {reply.detail}", confirmed=False)
        self._avoid(carrier, None, f"{reply.reason}: {reply.detail}")

    def _avoid(
        self, carrier: EntryRow, message: OpenTunnel | None, detail: str
    ) -> None:
        until_ms = self.clock.now_ms() + CARRIER_AVOIDANCE_MS
        self.avoid_until_ms_by_carrier[carrier.name] = until_ms
        events.log(
            events.CARRIER_FAILED,
            carrier=carrier.name,
            address=message.address if message is not None else "",
            detail=detail,
        )

    def _carriers(self) -> list[EntryRow]:
        """Return the entries that may carry connections, those nearby first.

        Bytes between data centres cost, so the entries of this one come first; among
        them the order is random, which spreads the load.
        """
        now_ms = self.clock.now_ms()
        for name, until_ms in list(self.avoid_until_ms_by_carrier.items()):
            if until_ms <= now_ms:
                del self.avoid_until_ms_by_carrier[name]
        avoided = self.avoid_until_ms_by_carrier
        rows = [row for row in self._other_entries() if row.name not in avoided]
        self.random.shuffle(rows)
        own = self.view.own_row
        return sorted(rows, key=lambda row: row.data_centre != own.data_centre)

    def _other_entries(self) -> list[EntryRow]:
        own = self.view.own_row
        return [row for row in self.view.live_entries() if row.name != own.name]

    async def report_pause(
        self, carrier: Address, row: TargetRow, pause_ms: int
    ) -> None:
        """Tell the entry that carried a request that the target asked for a pause.

        The target counts requests by the VM that they come from.
        """
        message = ReportPause(row.name, row.incarnation, str(row.address), pause_ms)
        try:
            await self.link.call(carrier, message, CARRIER_TIMEOUT_MS)
        except PeerUnreachable as error:
            events.log(events.PEER_LOST, peer=str(carrier), detail=str(error))

    # Checks of paths

    async def probe(self, address: Address) -> bool:
        """Return whether a direct connection to a target can be opened."""
        try:
            opened = await self.connect_directly(address, DIRECT_TIMEOUT_MS)
        except ConnectFailed:
            return False
        await opened.sock.close()
        return True

    async def check(self, address: Address) -> bool:
        """Return whether a target is reached directly; if not, ask another entry."""
        try:
            opened = await self.connect_directly(address, DIRECT_TIMEOUT_MS)
        except ConnectFailed as error:
            failure = error
        else:
            await opened.sock.close()
            return True
        try:
            opened = await self._connect_through(address, failure, probe=True)
        except (ConnectFailed, TargetPaused):
            # The target is at fault, or nothing is known.
            return False
        await opened.sock.close()
        return False


class TunnelHost:
    """Opens connections to targets for other entries.

    Args:
        clock: Clock.
        view: This entry's view of the fleet.
        connector: Connects directly.
        pause_ms: Returns how long a target wants no requests from this VM.
        is_stopping: Returns whether this entry stops.
    """

    def __init__(
        self,
        clock: Clock,
        view: FleetView,
        connector: PathConnector,
        pause_ms: Callable[[Address], int],
        is_stopping: Callable[[], bool],
    ):
        self.clock = clock
        self.view = view
        self.connector = connector
        self.pause_ms = pause_ms
        self.is_stopping = is_stopping
        self.random = random.Random()
        # Number of connections that this entry carries.
        self.running = 0

    async def open(self, message: OpenTunnel) -> Upgrade | TunnelRefused:
        """Return a tunnel to a target, or why there is none."""
        address = Address.parse(message.address)
        refusal = self._refusal(message, address)
        started_ms = self.clock.now_ms()
        if refusal is None:
            try:
                opened = await self.connector.connect_directly(
                    address, DIRECT_TIMEOUT_MS
                )
            except ConnectFailed as error:
                refusal = await self._explain_failure(address, error)
        if refusal is not None:
            self._log(message, started_ms, f"{refusal.reason}: {refusal.detail}")
            return refusal
        took_ms = self.clock.now_ms() - started_ms

        async def run(peer: Any) -> None:
            await self._carry(message, opened.sock, peer)

        return Upgrade(TunnelOpened(took_ms), run)

    def _refusal(self, message: OpenTunnel, address: Address) -> TunnelRefused | None:
        """Return why nothing may be sent to a target, or not from here, else None."""
        if self.is_stopping():
            return TunnelRefused(TunnelRefusal.STOPPING, "this entry stops")
        if self.running >= MAX_TUNNELS:
            return TunnelRefused(TunnelRefusal.FULL, f"{self.running} tunnels are open")
        if message.target and self._has_left(message, address):
            return TunnelRefused(TunnelRefusal.LEFT, f"{message.target} leaves")
        wait_ms = 0 if message.probe else self.pause_ms(address)
        if wait_ms:
            detail = f"{address} takes no requests for {wait_ms} ms"
            return TunnelRefused(TunnelRefusal.PAUSED, detail, wait_ms)
        if self.connector.paths.is_cut_off:
            return TunnelRefused(TunnelRefusal.CUT_OFF, "this entry reaches no target")
        return None

    def _has_left(self, message: OpenTunnel, address: Address) -> bool:
        row = TargetRow(
            message.target, address, "", "", incarnation=message.incarnation
        )
        return self.view.is_leaving(row)

    async def _explain_failure(
        self, address: Address, error: ConnectFailed
    ) -> TunnelRefused:
        """Return whether a target is at fault, or the links of this entry."""
        others = [each for each in self.view.target_addresses() if each != address]
        if not others or await self.connector.probe(self.random.choice(others)):
            return TunnelRefused(
                TunnelRefusal.UNREACHABLE, str(error), refused=error.refused
            )
        await curio.spawn(self.connector.check, address, daemon=True)
        return TunnelRefused(TunnelRefusal.CUT_OFF, str(error))

    async def _carry(self, message: OpenTunnel, sock: Any, peer: Any) -> None:
        """Pass bytes on between a target and another entry until either ends."""
        started_ms = self.clock.now_ms()
        self.running += 1
        detail = "probe"
        try:
            if not message.probe:
                detail = await self._pass_bytes(sock, peer)
        finally:
            self.running -= 1
            await sock.close()
            self._log(message, started_ms, detail)

    async def _pass_bytes(self, sock: Any, peer: Any) -> str:
        """Return how a tunnel ended."""

        async def pass_requests() -> str:
            while data := await peer.recv():
                await sock.sendall(data)
            return "the entry closed"

        async def pass_answers() -> str:
            while data := await sock.recv(READ_BYTES):
                await peer.send(data)
            await peer.send_end()
            await self.clock.sleep_ms(END_LINGER_MS)
            return "the target closed"

        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(pass_requests)
            await group.spawn(pass_answers)
        if group.exception is None:
            return group.result
        if isinstance(group.exception, OSError):
            return f"interrupted: {group.exception}"
        raise group.exception

    def _log(self, message: OpenTunnel, started_ms: int, detail: str) -> None:
        events.log(
            events.TUNNEL_ENDED,
            entry=message.sender,
            target=message.target,
            address=message.address,
            took_ms=self.clock.now_ms() - started_ms,
            running=self.running,
            detail=detail,
        )
