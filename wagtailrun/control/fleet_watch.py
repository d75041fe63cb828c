"""Polls the entries for the state of entries and targets, at a control member."""

from collections.abc import Callable
from typing import Any

import attrs

from wagtailrun.clock import Clock
from wagtailrun.control.operator_views import FleetView, LocalView
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip.messages import (
    EntryRow,
    GossipReport,
    GossipRows,
    GossipStatus,
    Health,
    ListTargets,
)
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.registry.state import Registry
from wagtailrun.targets.table import TargetRow

__all__ = ["FleetWatch"]

POLL_INTERVAL_MS = 2_000
CALL_TIMEOUT_MS = 1_000
# Entries and targets that no entry has reported for this long are not listed, and get
# no engine orders.
STALE_MS = 10_000


@attrs.frozen
class _ReportedRow:
    """A row and the time when an entry reported it, in milliseconds."""

    row: Any
    reported_ms: int


class FleetWatch(FleetView):
    """Polls one entry of each data centre for its entries and targets.

    Args:
        clock: Clock.
        link: Link to the entries.
        registry: Local replica of the replicated state.
        name: Name of this control member.
        seeds: Peer addresses of entries of every data centre.
        cluster_detail: Returns why this member belongs to no cluster, empty if it does.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        registry: Registry,
        name: str,
        seeds: tuple[Address, ...],
        cluster_detail: Callable[[], str] = lambda: "",
    ):
        self.clock = clock
        self.link = link
        self.registry = registry
        self.local = LocalView(registry, name, cluster_detail)
        self.seeds = seeds
        self.entries_by_name: dict[str, _ReportedRow] = {}
        self.targets_by_name: dict[str, _ReportedRow] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_entries()
            await self.clock.sleep_ms(POLL_INTERVAL_MS)

    async def poll_entries(self) -> None:
        """Poll one entry of each known data centre, then unlisted seeds."""
        polled: set[str] = set()
        for row in self._entries():
            if row.data_centre not in polled and await self._poll(row.address):
                polled.add(row.data_centre)
        known = {row.address for row in self._entries()}
        for address in self.seeds:
            if address not in known:
                await self._poll(address)

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
        """Return the targets that an entry has reported within ``STALE_MS``."""
        return self._current_rows(self.targets_by_name)

    def _entries(self) -> list[EntryRow]:
        return self._current_rows(self.entries_by_name)

    def _current_rows(self, rows_by_name: dict[str, _ReportedRow]) -> list[Any]:
        """Drop stale rows; return the others, sorted by name."""
        oldest_ms = self.clock.now_ms() - STALE_MS
        for name in [n for n, r in rows_by_name.items() if r.reported_ms < oldest_ms]:
            del rows_by_name[name]
        return [rows_by_name[name].row for name in sorted(rows_by_name)]

    async def _poll(self, address: Address) -> bool:
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
        reporter_centre = report.sender.data_centre
        for row in (report.sender, *report.entries):
            if row.data_centre == reporter_centre:
                self.entries_by_name[row.name] = _ReportedRow(row, now_ms)
        for aged in rows.targets:
            self._record_target(aged.row, now_ms - aged.age_ms)
        return True

    def _record_target(self, row: TargetRow, reported_ms: int) -> None:
        known = self.targets_by_name.get(row.name)
        if known is None or row.recency >= known.row.recency:
            self.targets_by_name[row.name] = _ReportedRow(row, reported_ms)
