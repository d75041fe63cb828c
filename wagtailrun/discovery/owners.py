"""Chooses which live entry owns a key that many entries share."""

from collections.abc import Callable, Collection, Sequence

from wagtailrun import events
from wagtailrun.clock import Clock
from wagtailrun.gossip_messages import EntryRow
from wagtailrun.gossip_peers import rendezvous

__all__ = ["Owners"]

# An entry that did not reply is skipped for this long; the control members drop a dead
# one within 2 s.
AVOIDANCE_MS = 1_500


class Owners:
    """Chooses the owner of a key by rendezvous hashing among the live entries.

    Entries that know the same live entries choose the same owner. Otherwise a key may
    temporarily have two owners, so correctness must not depend on a single one.

    Args:
        clock: Clock.
        entries: Returns the live entries.
    """

    def __init__(self, clock: Clock, entries: Callable[[], Sequence[EntryRow]]):
        self.clock = clock
        self.entries = entries
        self.avoid_until_ms: dict[str, int] = {}

    def owner(
        self, key: str, tried: Collection[str] = (), data_centre: str = ""
    ) -> EntryRow | None:
        """Return the owner of ``key``, or None if no entry is eligible.

        Args:
            key: Subject that is owned; all entries must form the same string.
            tried: Names of entries to skip because they did not reply.
            data_centre: Data centre of the owner; by default any.
        """
        now_ms = self.clock.now_ms()
        rows_by_name = {
            row.name: row
            for row in self.entries()
            if row.name not in tried
            and self.avoid_until_ms.get(row.name, 0) <= now_ms
            and data_centre in ("", row.data_centre)
        }
        names = rendezvous(key, rows_by_name, 1)
        return rows_by_name[names[0]] if names else None

    def exclude(self, owner: EntryRow, detail: str) -> None:
        """Skip an entry that did not reply for the next ``AVOIDANCE_MS``."""
        self.avoid_until_ms[owner.name] = self.clock.now_ms() + AVOIDANCE_MS
        events.log(events.PEER_LOST, peer=owner.name, detail=detail)
