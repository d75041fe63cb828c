"""Finds out which other data centres are away: cut off from this entry, or down.

Kept connections may live on when a data centre is cut off, and so may the polls of
control members that still list its targets. Results of stages cannot be fetched across,
as targets open connections of their own for that.
"""

import random
from collections.abc import Awaitable, Callable, Collection, Sequence

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.discovery import FleetView
from wagtailrun.exceptions import ConnectFailed
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.relay.paths.carriers import CarrierOutcome
from wagtailrun.targets.table import TargetRow

__all__ = ["DataCentreReach"]

# New connections that are tried before a data centre counts as away.
MAX_TARGETS_TRIED = 3
MAX_ENTRIES_TRIED = 2
# After a review without a verdict, the next one begins this much later at least, or by
# the second time if other entries carry connections there.
REVIEW_INTERVAL_MS = 1_000
CARRIED_REVIEW_INTERVAL_MS = 3_000
# A caller that runs stages again waits for reviews for this long. Cuts that refuse
# connections are found out sooner.
CHECK_LIMIT_MS = 300
# Interval at which the end of a review is awaited.
REVIEW_POLL_MS = 10
# While a data centre is away, one connection to it is tried at this interval on
# average. Entries that were cut off together return at different times.
PROBE_INTERVAL_MS = 500
PROBE_JITTER = 0.5
TICK_MS = 100


@attrs.define
class _Absence:
    """A data centre that is away.

    Attributes:
        since_ms: Since when, on the clock.
        next_probe_ms: When the next connection to it is tried.
        probes: Connections that were tried since.
    """

    since_ms: int
    next_probe_ms: int
    probes: int = 0


class DataCentreReach:
    """Tracks the data centres that neither this entry nor others beside it reach.

    Args:
        clock: Clock.
        view: This entry's view of the fleet, which then has no targets there.
        try_path: Returns whether a direct connection can be opened; raises
            ``ConnectFailed`` if this process cannot tell.
        ask_others: Returns what other entries say about a target, except those of some
            data centres.
        generator: Chooses what is tried, and when.
    """

    def __init__(
        self,
        clock: Clock,
        view: FleetView,
        try_path: Callable[[Address], Awaitable[bool]],
        ask_others: Callable[[TargetRow, Collection[str]], Awaitable[CarrierOutcome]],
        generator: random.Random,
    ):
        self.clock = clock
        self.view = view
        self.try_path = try_path
        self.ask_others = ask_others
        self.random = generator
        self.absences_by_data_centre: dict[str, _Absence] = {}
        self.next_review_ms_by_data_centre: dict[str, int] = {}
        self.is_reviewing = False
        # Probes of all absences so far.
        self.probes = 0

    def is_away(self, address: Address) -> bool:
        """Return whether the data centre of a target is away."""
        if not self.absences_by_data_centre:
            return False
        row = self.view.row_at(address)
        return row is not None and row.data_centre in self.absences_by_data_centre

    async def record_failure(self, address: Address) -> None:
        """Find out, beside the caller, if the data centre of a target is away.

        Args:
            address: Address to which no direct connection could be opened.
        """
        row = self.view.row_at(address)
        if row is not None and not self.is_reviewing:
            await self._begin_review(row.data_centre)

    async def check(self, data_centres: Collection[str]) -> None:
        """Find out which of some data centres are away, and return once that is known.

        Connections to them may have been kept although they were cut off. One that was
        reviewed a moment ago is not reviewed again. The reviews go on beside the caller
        after ``CHECK_LIMIT_MS``.
        """
        checking = await curio.spawn(self._check, sorted(data_centres), daemon=True)
        await curio.ignore_after(CHECK_LIMIT_MS / MS_PER_SECOND, checking.wait)

    async def _check(self, data_centres: Sequence[str]) -> None:
        for data_centre in data_centres:
            await self._await_review()
            await self._begin_review(data_centre)
        await self._await_review()

    async def _await_review(self) -> None:
        while self.is_reviewing:
            await self.clock.sleep_ms(REVIEW_POLL_MS)

    async def _begin_review(self, data_centre: str) -> None:
        now_ms = self.clock.now_ms()
        next_ms = self.next_review_ms_by_data_centre.get(data_centre, now_ms)
        if now_ms < next_ms or data_centre not in self._others():
            return
        self.next_review_ms_by_data_centre[data_centre] = now_ms + REVIEW_INTERVAL_MS
        self.is_reviewing = True
        await curio.spawn(self._review, data_centre, daemon=True)

    def _others(self) -> list[str]:
        """Return the other data centres that have targets and are not away."""
        known = dict.fromkeys(row.data_centre for row in self.view.present_targets())
        left_out = {"", self.view.own_row.data_centre, *self.absences_by_data_centre}
        return [each for each in known if each not in left_out]

    async def _review(self, suspect: str) -> None:
        """Find out whether a data centre is away, and if so, which others are.

        On the side that is cut off all others are away.
        """
        try:
            if await self._reaches(suspect):
                return
            reached: dict[str, bool] = {suspect: False}

            async def try_one(data_centre: str) -> None:
                reached[data_centre] = await self._reaches(data_centre)

            async with curio.TaskGroup() as group:
                for data_centre in self._others():
                    if data_centre != suspect:
                        await group.spawn(try_one, data_centre)
            unreached = [each for each, is_reached in reached.items() if not is_reached]
            async with curio.TaskGroup() as group:
                for data_centre in unreached:
                    await group.spawn(self._conclude, data_centre, unreached)
        finally:
            self.is_reviewing = False

    async def _conclude(self, data_centre: str, unreached: list[str]) -> None:
        """Count a data centre as away unless other entries may reach it."""
        if await self._may_be_carried(data_centre, unreached):
            next_ms = self.clock.now_ms() + CARRIED_REVIEW_INTERVAL_MS
            self.next_review_ms_by_data_centre[data_centre] = next_ms
        else:
            self._set_away(data_centre)

    async def _reaches(self, data_centre: str) -> bool:
        """Return whether a data centre is reached from here, or might be."""
        targets = [row.address for row in self._targets_in(data_centre)]
        tried = self._sample(targets, MAX_TARGETS_TRIED)
        tried += self._sample(self._entries_in(data_centre), MAX_ENTRIES_TRIED)
        try:
            return not targets or await self._reaches_one_of(tried)
        except ConnectFailed as error:
            # This process was late or lacks descriptors.
            events.log(
                events.PATHS_UNDECIDED, data_centre=data_centre, detail=str(error)
            )
            return True

    async def _may_be_carried(self, data_centre: str, unreached: list[str]) -> bool:
        """Return whether other entries reach a data centre, or might.

        Those of data centres that are not reached either are not asked: they might
        reply over connections that were kept.
        """
        rows = self._targets_in(data_centre)
        if not rows:
            return True
        left_out = {*unreached, *self.absences_by_data_centre}
        outcome = await self.ask_others(self.random.choice(rows), left_out)
        if outcome.opened is not None:
            await outcome.opened.sock.close()
            return True
        # Without any entry that tells, the targets may have failed by themselves.
        is_told = bool(self._entries_in(data_centre)) or outcome.answered
        return outcome.unreachable or outcome.undecided or not is_told

    def _sample(self, addresses: Sequence[Address], count: int) -> list[Address]:
        return self.random.sample(addresses, min(count, len(addresses)))

    async def _reaches_one_of(self, addresses: Sequence[Address]) -> bool:
        undecided: list[ConnectFailed] = []
        reached: list[Address] = []

        async def try_path(address: Address) -> None:
            try:
                if await self.try_path(address):
                    reached.append(address)
            except ConnectFailed as error:
                undecided.append(error)

        async with curio.TaskGroup() as group:
            for address in addresses:
                await group.spawn(try_path, address)
        if undecided and not reached:
            raise undecided[0]
        return bool(reached)

    def _targets_in(self, data_centre: str) -> list[TargetRow]:
        rows = self.view.present_targets()
        return [row for row in rows if row.data_centre == data_centre]

    def _entries_in(self, data_centre: str) -> list[Address]:
        rows = self.view.live_entries()
        return [row.address for row in rows if row.data_centre == data_centre]

    def _set_away(self, data_centre: str) -> None:
        now_ms = self.clock.now_ms()
        self.absences_by_data_centre[data_centre] = _Absence(
            now_ms, self._next_probe_ms()
        )
        self._update_view()
        events.log(events.DATA_CENTRE_AWAY, data_centre=data_centre, away=True)

    def _end_absence(self, data_centre: str) -> None:
        absence = self.absences_by_data_centre.pop(data_centre)
        self._update_view()
        events.log(
            events.DATA_CENTRE_AWAY,
            data_centre=data_centre,
            away=False,
            took_ms=self.clock.now_ms() - absence.since_ms,
            probes=absence.probes,
        )

    def _update_view(self) -> None:
        self.view.away_data_centres = frozenset(self.absences_by_data_centre)

    def _next_probe_ms(self) -> int:
        jitter = self.random.uniform(-PROBE_JITTER, PROBE_JITTER)
        return self.clock.now_ms() + int(PROBE_INTERVAL_MS * (1 + jitter))

    async def run(self) -> None:
        """Probe data centres that are away until cancelled."""
        while True:
            await self.clock.sleep_ms(TICK_MS)
            for data_centre in list(self.absences_by_data_centre):
                await self._probe(data_centre)

    async def _probe(self, data_centre: str) -> None:
        """End an absence if a connection can be opened, or nothing is left there."""
        absence = self.absences_by_data_centre[data_centre]
        if self.clock.now_ms() < absence.next_probe_ms:
            return
        absence.next_probe_ms = self._next_probe_ms()
        rows = self._targets_in(data_centre)
        candidates = [row.address for row in rows] + self._entries_in(data_centre)
        if not rows:
            self._end_absence(data_centre)
            return
        absence.probes += 1
        self.probes += 1
        try:
            is_reached = await self.try_path(self.random.choice(candidates))
        except ConnectFailed as error:
            events.log(
                events.PATHS_UNDECIDED, data_centre=data_centre, detail=str(error)
            )
            return
        if is_reached:
            self._end_absence(data_centre)
