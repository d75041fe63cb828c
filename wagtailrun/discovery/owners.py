"""Chooses which live entry owns a key that many entries share."""

from collections.abc import Callable, Collection, Sequence

from wagtailrun import events
from wagtailrun.clock import Clock
from wagtailrun.gossip_messages import EntryRow
from wagtailrun.gossip_peers import rendezvous

__all__ = ["Owners"]

# An entry that did not answer is passed over for this long; the control members drop
# one that is dead in 2 s.
AVOID_MS = 1_500


class Owners:
    """Chooses the owner of a key by rendezvous among the live entries.

    All entries agree on it while they know the same live entries; while they do not,
    a key may have two owners for a moment, so nothing may depend on there being one.

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
        """Return the owner of ``key``, passing over the entries ``tried``.

        Args:
            key: What is owned, as a text that all entries form in the same way.
            tried: Names of entries that did not answer.
            data_centre: Where the owner is to be; by default anywhere.
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
        """Pass over an entry that did not answer, for a while."""
        self.avoid_until_ms[owner.name] = self.clock.now_ms() + AVOID_MS
        events.log(events.PEER_LOST, peer=owner.name, detail=detail)
