"""What a control member knows of entries and targets, asked of the entries."""

from typing import Any

import attrs

from wagtailrun.clock import Clock
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip_messages import (
    EntryRow,
    GossipReport,
    GossipRows,
    GossipStatus,
    Health,
    ListTargets,
)
from wagtailrun.membership import TargetRow
from wagtailrun.operator_views import FleetView, LocalView
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.registry import Registry

__all__ = ["FleetWatch"]

INTERVAL_MS = 2_000
CALL_TIMEOUT_MS = 1_000
# What no entry has reported for this long is not shown and gets no engine order.
STALE_MS = 10_000


@attrs.frozen
class _Heard:
    """A row and when an entry reported it."""

    row: Any
    heard_ms: int


class FleetWatch(FleetView):
    """Asks one entry of each data centre for its entries and targets.

    Args:
        clock: Clock.
        link: Link to the entries.
        registry: Local copy of the agreed state.
        name: Name of this control member.
        seeds: Peer addresses of entries of every data centre.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        registry: Registry,
        name: str,
        seeds: tuple[Address, ...],
    ):
        self.clock = clock
        self.link = link
        self.registry = registry
        self.local = LocalView(registry, name)
        self.seeds = seeds
        self.entries_by_name: dict[str, _Heard] = {}
        self.targets_by_name: dict[str, _Heard] = {}

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self.poll_entries()
            await self.clock.sleep_ms(INTERVAL_MS)

    async def poll_entries(self) -> None:
        """Ask one entry of each data centre, and seeds of unknown ones."""
        asked: set[str] = set()
        for row in self._entries():
            if row.data_centre not in asked and await self._ask(row.address):
                asked.add(row.data_centre)
        known = {row.address for row in self._entries()}
        for address in self.seeds:
            if address not in known:
                await self._ask(address)

    async def status(self) -> list[dict[str, Any]]:
        """Return this member's row and one for each entry."""
        rows = await self.local.status()
        current = self.registry.revision
        for row in self._entries():
            value = {
                "process": row.name,
                "role": "entry",
                "data_centre": row.data_centre,
                "health": Health(row.health).name.lower(),
                "revision": row.revision,
                "confirmed": row.revision >= current,
            }
            rows.append(value)
        return rows

    async def targets(self) -> list[dict[str, Any]] | None:
        """Return one row for each target."""
        return [
            {
                "target": row.name,
                "address": str(row.address),
                "service": row.service,
                "data_centre": row.data_centre,
                "incarnation": row.incarnation,
                "running": row.running,
                "queued": row.queued,
                "leaving": row.leaving,
            }
            for row in self.target_rows()
        ]

    def target_rows(self) -> list[TargetRow]:
        """Return the targets that an entry has reported lately."""
        return self._fresh(self.targets_by_name)

    def _entries(self) -> list[EntryRow]:
        return self._fresh(self.entries_by_name)

    def _fresh(self, heard_by_name: dict[str, _Heard]) -> list[Any]:
        oldest_ms = self.clock.now_ms() - STALE_MS
        for name in [n for n, h in heard_by_name.items() if h.heard_ms < oldest_ms]:
            del heard_by_name[name]
        return [heard_by_name[name].row for name in sorted(heard_by_name)]

    async def _ask(self, address: Address) -> bool:
        """Return whether the entry at ``address`` reported its data centre."""
        name = self.local.name
        try:
            report = await self.link.call(address, GossipStatus(name), CALL_TIMEOUT_MS)
            rows = await self.link.call(address, ListTargets(name), CALL_TIMEOUT_MS)
        except PeerUnreachable:
            return False
        if not isinstance(report, GossipReport) or not isinstance(rows, GossipRows):
            return False
        now_ms = self.clock.now_ms()
        centre = report.sender.data_centre
        for row in (report.sender, *report.entries):
            if row.data_centre == centre:
                self.entries_by_name[row.name] = _Heard(row, now_ms)
        for aged in rows.targets:
            self._take_target(aged.row, now_ms - aged.age_ms)
        return True

    def _take_target(self, row: TargetRow, heard_ms: int) -> None:
        known = self.targets_by_name.get(row.name)
        if known is None or row.version >= known.row.version:
            self.targets_by_name[row.name] = _Heard(row, heard_ms)
