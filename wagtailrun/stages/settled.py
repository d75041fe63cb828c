"""Keeps services at their owner while an entry that has just started settles."""

from collections.abc import Callable, Sequence

from wagtailrun.clock import Clock
from wagtailrun.gossip.incarnations import INCARNATION_TIME_SHIFT
from wagtailrun.gossip.messages import EntryRow

__all__ = ["SettledEntries"]

# An entry that was started again takes services over after this time. The calls and
# results of the owner meanwhile are not known to it; targets keep results for 4 s.
SETTLE_MS = 5_000
# The wall clock may step, so that what was found by it is reviewed after this time.
REVIEW_MS = 200


class SettledEntries:
    """Tells which of the live entries have started a moment ago.

    The entries agree on it as far as their clocks do, so that a service has the same
    owner everywhere.

    Args:
        clock: Clock.
        entries: Returns the live entries; the same object until they change.
    """

    def __init__(self, clock: Clock, entries: Callable[[], Sequence[EntryRow]]):
        self.clock = clock
        self.entries = entries
        self._known: Sequence[EntryRow] | None = None
        self._new: frozenset[str] = frozenset()
        self._review_ms = 0
        # The settled entries, and what they were chosen from.
        self._settled: Sequence[EntryRow] = ()
        self._settled_from: tuple[Sequence[EntryRow], frozenset[str]] | None = None

    def new_names(self) -> frozenset[str]:
        """Return the names of the entries that are too new to own a service.

        There are none if all are new, as after the start of the system.
        """
        rows, now_ms = self.entries(), self.clock.now_ms()
        if rows is not self._known or now_ms >= self._review_ms:
            wall_ms = self.clock.wall_ms()
            age_ms_by_name = {
                row.name: wall_ms - (row.incarnation >> INCARNATION_TIME_SHIFT)
                for row in rows
            }
            # A start far in the future is that of an entry whose clock differs.
            new = {
                name: age_ms
                for name, age_ms in age_ms_by_name.items()
                if abs(age_ms) < SETTLE_MS
            }
            left_ms = SETTLE_MS - max(new.values(), default=0)
            self._known = rows
            self._new = frozenset(new if len(new) < len(rows) else ())
            self._review_ms = now_ms + min(left_ms, REVIEW_MS)
        return self._new

    def rows(self) -> Sequence[EntryRow]:
        """Return the entries that may own a service; the same until they change."""
        new, rows = self.new_names(), self.entries()
        known = self._settled_from
        if known is None or known[0] is not rows or known[1] != new:
            self._settled_from = rows, new
            settled = tuple(row for row in rows if row.name not in new)
            if settled != self._settled:
                self._settled = settled
        return self._settled
