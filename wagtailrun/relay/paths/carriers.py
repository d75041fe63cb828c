"""Connections through other entries: which ones are asked, and which are avoided."""

import random
from collections.abc import Collection
from typing import Any

import attrs

from wagtailrun.adapters.http_client import OpenConnection
from wagtailrun.clock import Clock
from wagtailrun.discovery import FleetView
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, TunnelLink
from wagtailrun.relay.paths.tunnel_messages import (
    OpenTunnel,
    ReportPause,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)
from wagtailrun.targets.table import TargetRow

__all__ = ["CarrierOutcome", "Carriers"]

# Entries that are asked for one connection, and the least time for each.
MAX_CARRIERS = 3
MIN_ASK_MS = 100
REPORT_TIMEOUT_MS = 300
# Time in which an entry that carries a connection says whether it stood still.
CONFIRM_TIMEOUT_MS = 300
# An entry that opened no tunnel is not asked for this long, or last if it was silent;
# the time doubles with each further failure.
CARRIER_AVOIDANCE_MS = 1_000
MAX_CARRIER_AVOIDANCE_MS = 8_000


@attrs.define
class _Avoidance:
    """Avoidance of an entry that opened no tunnel.

    Attributes:
        until_ms: Until when it is not asked, or last if it was silent.
        failures: Consecutive failures.
        silent: Whether it did not reply in time. It may be late for a moment only, or
            this process was.
    """

    until_ms: int = 0
    failures: int = 0
    silent: bool = False


_NOT_AVOIDED = _Avoidance()


@attrs.define
class CarrierOutcome:
    """What other entries said about a target.

    Attributes:
        opened: The connection, if one could be opened.
        carrier: Name of the entry that opened it, or that decided.
        answered: Whether an entry that reaches targets replied.
        unreachable: Whether one reaches others beside the target, but not the target.
        confirmed: Whether the target is at fault.
        refused: Whether it refused the connection of the entry that confirms it.
        undecided: Whether an entry that may have a path did not reply in time, stood
            still, or was not asked as no time was left.
        detail: Description for engineers.
    """

    opened: OpenConnection | None = None
    carrier: str = ""
    answered: bool = False
    unreachable: bool = False
    confirmed: bool = False
    refused: bool = False
    undecided: bool = False
    detail: str = "no other entry connects"


class Carriers:
    """Opens connections through other entries, and avoids those that open none.

    Args:
        clock: Clock.
        link: Opens tunnels at other entries.
        view: This entry's view of the fleet.
        generator: Orders entries that rank equally.
    """

    def __init__(
        self,
        clock: Clock,
        link: TunnelLink,
        view: FleetView,
        generator: random.Random,
    ):
        self.clock = clock
        self.link = link
        self.view = view
        self.random = generator
        self.avoidances_by_carrier: dict[str, _Avoidance] = {}

    def other_entries(self) -> list[EntryRow]:
        """Return the live entries beside this one."""
        own = self.view.own_row
        return [row for row in self.view.live_entries() if row.name != own.name]

    def drop_gone(self) -> None:
        """Drop what is known of entries that are no longer live."""
        live = {row.name for row in self.other_entries()}
        for name in self.avoidances_by_carrier.keys() - live:
            del self.avoidances_by_carrier[name]

    async def connect(
        self,
        address: Address,
        ends_ms: int,
        *,
        probe: bool = False,
        left_out: Collection[str] = (),
    ) -> CarrierOutcome:
        """Open a connection through another entry.

        Args:
            address: Address of the target.
            ends_ms: Until when, on the clock.
            probe: Whether only to find out if another entry reaches it.
            left_out: Data centres whose entries are not asked.
        """
        row = self.view.row_at(address)
        outcome = CarrierOutcome()
        asked: list[EntryRow] = []
        for number in range(MAX_CARRIERS):
            left_ms = ends_ms - self.clock.now_ms()
            ranked = self._rank(row, asked)
            carriers = [each for each in ranked if each.data_centre not in left_out]
            if not carriers or left_ms <= 0:
                outcome.undecided = outcome.undecided or bool(carriers)
                break
            carrier = carriers[0]
            asked.append(carrier)
            asks = min(MAX_CARRIERS - number, len(carriers))
            share_ms = max(left_ms // asks, MIN_ASK_MS)
            limit_ms = min(share_ms, left_ms)
            message = OpenTunnel(
                self.view.own_row.name,
                row.name if row is not None else "",
                row.incarnation if row is not None else 0,
                str(address),
                probe,
                # The rest is for finding out why it failed, and for the reply.
                limit_ms // 2,
            )
            reply = await self._ask(carrier, message, limit_ms, outcome)
            if isinstance(reply, TunnelRefused):
                if self._record_refusal(carrier, row, reply, outcome):
                    return outcome
            elif reply is not None:
                self.avoidances_by_carrier.pop(carrier.name, None)
                outcome.opened = OpenConnection(reply, carrier.address)
                outcome.carrier = carrier.name
                return outcome
        if row is not None and not self._has_entry_in(row.data_centre):
            # Nobody is closer to the target than those that were asked.
            outcome.confirmed = outcome.unreachable
        return outcome

    async def report_pause(
        self, carrier: Address, row: TargetRow, pause_ms: int
    ) -> None:
        """Tell the entry that carried a request that the target asked for a pause.

        The target counts requests by the VM that they come from.
        """
        message = ReportPause(row.name, row.incarnation, str(row.address), pause_ms)
        try:
            await self.link.call(carrier, message, REPORT_TIMEOUT_MS)
        except PeerUnreachable as error:
            events.log(events.PEER_LOST, peer=str(carrier), detail=str(error))

    async def confirms_silence(
        self, address: Address, carrier: Address, since_ms: int
    ) -> bool:
        """Return whether a connection that another entry carries is silent by itself.

        The other entry replies, has a path to the target and did not stand still. One
        that does not confirm it is avoided.

        Args:
            address: Address of the target.
            carrier: Address of the other entry.
            since_ms: When the silence began, on the clock.
        """
        entry = next(
            (row for row in self.other_entries() if row.address == carrier), None
        )
        if entry is None or self._avoidance(entry.name).until_ms > self.clock.now_ms():
            return False
        row = self.view.row_at(address)
        message = OpenTunnel(
            self.view.own_row.name,
            row.name if row is not None else "",
            row.incarnation if row is not None else 0,
            str(address),
            True,
            CONFIRM_TIMEOUT_MS // 2,
            max(self.clock.now_ms() - since_ms, 1),
        )
        reply = await self._ask(entry, message, CONFIRM_TIMEOUT_MS, CarrierOutcome())
        if not isinstance(reply, TunnelRefused):
            if reply is not None:
                await reply.close()
            return reply is not None
        if reply.reason == TunnelRefusal.LATE:
            detail = f"{entry.name}: {reply.reason}: {reply.detail}"
            self._avoid(entry, address, detail, silent=True)
        # An entry elsewhere may have lost its own path to the target.
        is_near = row is not None and row.data_centre == entry.data_centre
        return is_near and reply.reason == TunnelRefusal.UNREACHABLE

    async def _ask(
        self,
        carrier: EntryRow,
        message: OpenTunnel,
        timeout_ms: int,
        outcome: CarrierOutcome,
    ) -> Any:
        """Return a tunnel or a refusal; None if the entry did not reply."""
        try:
            reply = await self.link.open_tunnel(
                carrier.address, message, timeout_ms, TunnelOpened
            )
        except PeerUnreachable as error:
            outcome.undecided = outcome.undecided or error.timed_out
            if not error.shortage:
                detail, silent = str(error), error.timed_out
                self._avoid(carrier, message.address, detail, silent=silent)
            return None
        if isinstance(reply, TunnelRefused) or hasattr(reply, "recv"):
            return reply
        detail = f"unexpected reply {type(reply).__name__}"
        self._avoid(carrier, message.address, detail)
        return None

    def _record_refusal(
        self,
        carrier: EntryRow,
        row: TargetRow | None,
        reply: TunnelRefused,
        outcome: CarrierOutcome,
    ) -> bool:
        """Record why an entry opened no tunnel; return whether that is decisive."""
        detail = f"{carrier.name}: {reply.reason}: {reply.detail}"
        outcome.detail = detail
        match reply.reason:
            case TunnelRefusal.UNREACHABLE:
                outcome.answered = outcome.unreachable = True
                outcome.refused = reply.refused
                outcome.carrier = carrier.name
                # An entry elsewhere may have lost its own path to the target.
                is_near = row is not None and row.data_centre == carrier.data_centre
                outcome.confirmed = is_near
                return is_near
            case TunnelRefusal.LEFT:
                outcome.answered = True
                return True
            case TunnelRefusal.PAUSED | TunnelRefusal.NO_PATH:
                # It may carry connections to other targets.
                outcome.answered = True
                return False
            case TunnelRefusal.LATE:
                outcome.undecided = True
                return False
        self._avoid(carrier, row.address if row is not None else "", detail)
        return False

    def _avoid(
        self,
        carrier: EntryRow,
        address: Address | str,
        detail: str,
        *,
        silent: bool = False,
    ) -> None:
        avoidance = self.avoidances_by_carrier.setdefault(carrier.name, _Avoidance())
        avoid_ms = min(
            CARRIER_AVOIDANCE_MS << avoidance.failures, MAX_CARRIER_AVOIDANCE_MS
        )
        avoidance.failures = min(avoidance.failures + 1, 8)
        avoidance.silent = silent
        avoidance.until_ms = self.clock.now_ms() + avoid_ms
        events.log(
            events.CARRIER_FAILED,
            carrier=carrier.name,
            address=str(address),
            detail=detail,
        )

    def _rank(self, row: TargetRow | None, asked: list[EntryRow]) -> list[EntryRow]:
        """Return the entries to ask for a connection to a target, the next one first.

        One of the target's data centre knows best whether the target is at fault, and
        each byte crosses between data centres once whoever carries it. Then comes one
        of the own data centre, then others; a data centre that was asked comes last,
        as all its entries may be cut off. Among equals the order is random, which
        spreads the load. Entries that were silent a moment ago follow after all others.
        """
        now_ms = self.clock.now_ms()
        asked_names = {each.name for each in asked}
        asked_data_centres = {each.data_centre for each in asked}
        near = row.data_centre if row is not None else ""
        own = self.view.own_row.data_centre

        def is_avoided(entry: EntryRow) -> bool:
            return self._avoidance(entry.name).until_ms > now_ms

        def rank(entry: EntryRow) -> tuple[bool, bool, bool, bool, float]:
            place = entry.data_centre
            was_asked = place in asked_data_centres
            order = was_asked, place != near, place != own, self.random.random()
            return is_avoided(entry), *order

        candidates = [
            entry
            for entry in self.other_entries()
            if entry.name not in asked_names
            and (self._avoidance(entry.name).silent or not is_avoided(entry))
        ]
        return sorted(candidates, key=rank)

    def _avoidance(self, name: str) -> _Avoidance:
        return self.avoidances_by_carrier.get(name, _NOT_AVOIDED)

    def _has_entry_in(self, data_centre: str) -> bool:
        return any(row.data_centre == data_centre for row in self.other_entries())
