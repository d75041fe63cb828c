"""Estimates which entries of a data centre are in the rotation of the load balancer."""

from collections.abc import Callable, Iterable

import attrs

from wagtailrun.clock import Clock
from wagtailrun.gossip.messages import EntryRow

__all__ = ["REENTRY_MS", "Rotation"]

# A started entry is in rotation after its next readiness check, one a second, and is
# known to others up to that much later.
REENTRY_MS = 1_000
# Until an entry that stops without long requests is known to run again: it stays ready
# for up to 1.5 s, fails two checks in 2 s, and starts in about 1 s.
QUICK_RETURN_MS = 4_500
# An entry that has not come back this long after the end of its grace period is not
# expected any more.
RETURN_MARGIN_MS = 2_000


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
        grace_ms: Grace period of the entries, in milliseconds.
    """

    def __init__(
        self,
        clock: Clock,
        own_row: EntryRow,
        live_entries: Callable[[], Iterable[EntryRow]],
        grace_ms: int,
    ):
        self.clock = clock
        self.own_row = own_row
        self.live_entries = live_entries
        self.return_ms = grace_ms + RETURN_MARGIN_MS
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
            if now_ms - gone_ms < self.return_ms
        }

    def needs_this_entry(self) -> bool:
        """Return whether too few would be in rotation until others are back."""
        self.update()
        # Of two entries, never some but fewer than half are in rotation.
        return self._others > 1 and self._is_too_few(self._in_rotation)

    def awaits_another(self, stopped_ms: int) -> bool:
        """Return whether callers may come to this entry until another one is back.

        Of entries that stop one after another, each awaits the one before it, unless
        that one has long requests: this entry would be away as late. It does not
        where several have to stop and come back: one of them may await the others, and
        all would be away for longer.

        Args:
            stopped_ms: When this entry was told to stop, on the clock.
        """
        if not self.needs_this_entry():
            return False
        running = len(self.present_by_name)
        if self._in_rotation < running and not self._is_too_few(running):
            return True
        if self._is_too_few(self._in_rotation + 1):
            return False
        expected_since_ms = self.clock.now_ms() - QUICK_RETURN_MS
        return any(
            expected_since_ms < gone_ms < stopped_ms
            for gone_ms in self.gone_ms_by_name.values()
        )

    @property
    def _others(self) -> int:
        """How many others run, or are expected back."""
        return len(self.present_by_name) + len(self.gone_ms_by_name)

    @property
    def _in_rotation(self) -> int:
        """How many others are in rotation."""
        latest_ms = self.clock.now_ms() - REENTRY_MS
        return sum(each.since_ms <= latest_ms for each in self.present_by_name.values())

    def _is_too_few(self, in_rotation: int) -> bool:
        """Return whether fewer than half of the data centre would be in rotation."""
        return 2 * in_rotation < self._others + 1
