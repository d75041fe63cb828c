"""Estimates which entries of a data centre are in the rotation of the load balancer."""

from collections.abc import Callable, Iterable

import attrs

from wagtailrun.clock import Clock
from wagtailrun.gossip.messages import EntryRow

__all__ = ["REENTRY_MS", "Rotation"]

# A started entry is in rotation after its next readiness check, one a second, and is
# known to others up to that much later.
REENTRY_MS = 1_000
# An entry that has not come back in this time is not expected any more.
RETURN_MS = 10_000


@attrs.frozen
class Presence:
    """A running entry.

    Attributes:
        incarnation: Grows each time its process starts.
        since_ms: When it was first seen, on the clock.
    """

    incarnation: int
    since_ms: int


class Rotation:
    """Follows the other entries of a data centre as they stop and start.

    While fewer than half of the entries of a data centre are in rotation, the load
    balancer sends connections to all of them, also to those that are down. If none is,
    it uses other data centres.

    Args:
        clock: Clock.
        own_row: Row of this entry.
        live_entries: Returns the running entries of all data centres.
    """

    def __init__(
        self,
        clock: Clock,
        own_row: EntryRow,
        live_entries: Callable[[], Iterable[EntryRow]],
    ):
        self.clock = clock
        self.own_row = own_row
        self.live_entries = live_entries
        self.present_by_name: dict[str, Presence] = {}
        self.gone_ms_by_name: dict[str, int] = {}

    def update(self) -> None:
        """Record which entries have come and gone."""
        now_ms = self.clock.now_ms()
        before, self.present_by_name = self.present_by_name, {}
        for row in self.live_entries():
            if row.data_centre != self.own_row.data_centre:
                continue
            if row.name == self.own_row.name:
                continue
            known = before.pop(row.name, None)
            if known is None or known.incarnation != row.incarnation:
                known = Presence(row.incarnation, now_ms)
            self.present_by_name[row.name] = known
            self.gone_ms_by_name.pop(row.name, None)
        self.gone_ms_by_name.update(dict.fromkeys(before, now_ms))
        self.gone_ms_by_name = {
            name: gone_ms
            for name, gone_ms in self.gone_ms_by_name.items()
            if now_ms - gone_ms < RETURN_MS
        }

    def needs_this_entry(self) -> bool:
        """Return whether too few would be in rotation until others are back."""
        self.update()
        now_ms = self.clock.now_ms()
        others = len(self.present_by_name) + len(self.gone_ms_by_name)
        in_rotation = sum(
            now_ms - each.since_ms >= REENTRY_MS
            for each in self.present_by_name.values()
        )
        # Of two entries, never some but fewer than half are in rotation.
        return others > 1 and 2 * in_rotation < others + 1
