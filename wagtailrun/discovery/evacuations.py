"""Evacuated data centres at an entry, and the data centres that a member knows of."""

from collections.abc import Iterable

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.messages import News, NewsMarks
from wagtailrun.logs import events
from wagtailrun.targets.table import TargetRow

__all__ = ["EvacuationView", "FleetPlaces", "log_evacuations"]

# Names of targets and entries are reported by them, so the memory needs a bound.
MAX_PLACES = 1_024


def log_evacuations(version: int, before: int, data_centres: Iterable[str]) -> None:
    """Log the evacuations that are in force in this process from now on."""
    names = list(data_centres)
    events.log(
        events.EVACUATIONS_APPLIED,
        version=version,
        before=before,
        count=len(names),
        data_centres=names,
    )


class EvacuationView:
    """Evacuated data centres as one entry knows them; never an older state.

    Attributes:
        version: Version of the state.
        data_centres: Names of the evacuated data centres.
    """

    def __init__(self) -> None:
        self.version = 0
        self.data_centres: frozenset[str] = frozenset()

    def apply(self, news: News) -> NewsMarks:
        """Apply the reply to a poll.

        Returns:
            Its marks with the version that is in force here: a member that is behind,
            or of an earlier build, names an older one.
        """
        version = news.marks.evacuations
        if version > self.version:
            log_evacuations(version, self.version, news.evacuations)
            self.version = version
            self.data_centres = frozenset(news.evacuations)
        return attrs.evolve(news.marks, evacuations=self.version)

    def includes(self, row: TargetRow) -> bool:
        """Return whether a target is in an evacuated data centre."""
        return row.data_centre in self.data_centres


class FleetPlaces:
    """Data centres in which a control member knows of a part of the fleet.

    Args:
        clock: Clock.
        warmup_ms: How long after its start a member may not know all of them yet.
    """

    def __init__(self, clock: Clock, warmup_ms: int):
        self.clock = clock
        self.complete_at_ms = clock.now_ms() + warmup_ms
        # The keys are an ordered set, the newest last.
        self._names: dict[str, None] = {}

    @property
    def left_ms(self) -> int:
        """Time until all data centres are known; 0 if they are."""
        return max(self.complete_at_ms - self.clock.now_ms(), 0)

    def record(self, data_centre: str) -> None:
        """Record that a part of the fleet is in a data centre."""
        self._names.pop(data_centre, None)
        if len(self._names) >= MAX_PLACES:
            del self._names[next(iter(self._names))]
        self._names[data_centre] = None

    def includes(self, data_centre: str) -> bool:
        """Return whether a part of the fleet is, or was, in a data centre."""
        return data_centre in self._names
