"""Table of known entries, their health, and the choice of watchers."""

import random
from collections.abc import Iterable

import attrs
import xxhash

from wagtailrun.gossip.growth import GrowthProgress
from wagtailrun.gossip.messages import Confirmation, EntryRow, Health, Marks
from wagtailrun.targets.table import ChangeLog, short_id

__all__ = ["Partner", "PeerTable", "rendezvous"]

SUSPICION_TIMEOUT_MS = 2_500
FORGET_DEAD_MS = 600_000


def rendezvous(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` names with the lowest rendezvous hash for ``key``."""

    def rank(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()), name

    return sorted(names, key=rank)[:count]


@attrs.define
class Partner:
    """State of the exchanges with one other entry.

    Attributes:
        seen: Changes of the partner that are known here.
        sent: Changes of this entry that are known to the partner.
        growth: Growth records that were sent to the partner.
    """

    seen: Marks = Marks()
    sent: Marks = Marks()
    growth: GrowthProgress = attrs.field(factory=GrowthProgress)


class PeerTable:
    """Newest row of every known entry, this entry included.

    Args:
        own: Row of this entry.
    """

    def __init__(self, own: EntryRow):
        self.name = own.name
        self.data_centre = own.data_centre
        self.rows_by_name: dict[str, EntryRow] = {own.name: own}
        self.changed_ms_by_name: dict[str, int] = {}
        self.partners_by_name: dict[str, Partner] = {}
        self.row_log = ChangeLog()
        self.confirmed_log = ChangeLog()
        self.names_to_push: set[str] = set()
        self.generation = 0
        self._gossip_order: list[str] = []
        self.row_log.record_change(own.name, own.precedence)
        self.confirmed_log.record_change(own.name)

    @property
    def own(self) -> EntryRow:
        """Row of this entry."""
        return self.rows_by_name[self.name]

    def put(self, row: EntryRow, now_ms: int) -> bool:
        """Store ``row`` if it is newer than the known one; return whether it was."""
        if row.name == self.name:
            return self._refute(row, now_ms)
        known = self.rows_by_name.get(row.name)
        if known is None and row.health == Health.DEAD:
            return False
        if known is not None and known.incarnation == row.incarnation:
            self._confirm(known, row.version)
            known = self.rows_by_name[row.name]
        if known is not None and row.precedence <= known.precedence:
            return False
        if known is not None and known.incarnation == row.incarnation:
            version = max(known.version, row.version)
            row = attrs.evolve(row, term=version[0], revision=version[1])
        self._replace(row, now_ms)
        return True

    def _replace(self, row: EntryRow, now_ms: int) -> None:
        self.rows_by_name[row.name] = row
        self.changed_ms_by_name[row.name] = now_ms
        self.row_log.record_change(row.name, row.precedence)
        self.confirmed_log.record_change(row.name)
        self.generation += 1

    def _refute(self, row: EntryRow, now_ms: int) -> bool:
        """Replace the own row by a newer one if others hold a greater row of it."""
        own = self.own
        if row.precedence <= own.precedence:
            return False
        if row.incarnation > own.incarnation:
            # An earlier incarnation of this entry had a clock that was ahead.
            own = attrs.evolve(own, incarnation=row.incarnation + 1, sequence=0)
        else:
            own = attrs.evolve(own, sequence=row.sequence + 1)
        self._replace(own, now_ms)
        self.names_to_push.add(self.name)
        return True

    def confirm(self, confirmation: Confirmation, names_by_id: dict[int, str]) -> None:
        """Record the active revision of another entry."""
        known = self.rows_by_name.get(names_by_id.get(confirmation.entry_id, ""))
        if known is not None and known.name != self.name:
            self._confirm(known, (confirmation.term, confirmation.revision))

    def confirm_row(self, name: str, version: tuple[int, int]) -> None:
        """Record the active revision of the entry ``name``."""
        known = self.rows_by_name.get(name)
        if known is not None:
            self._confirm(known, version)

    def confirm_own(self, version: tuple[int, int]) -> None:
        """Record the active revision of this entry."""
        self._confirm(self.own, version)

    def _confirm(self, known: EntryRow, version: tuple[int, int]) -> None:
        if version > known.version:
            row = attrs.evolve(known, term=version[0], revision=version[1])
            self.rows_by_name[known.name] = row
            self.confirmed_log.record_change(known.name)

    def names_by_id(self) -> dict[int, str]:
        """Return the names of entries by their 32-bit identifiers."""
        return {short_id(name): name for name in self.rows_by_name}

    def others(self, health: Health = Health.SUSPECT) -> list[EntryRow]:
        """Return the other local entries whose health is ``health`` or better."""
        return [
            row
            for row in self.rows_by_name.values()
            if row.name != self.name
            and row.data_centre == self.data_centre
            and row.health <= health
        ]

    def live_names(self) -> list[str]:
        """Return the local entries that are not dead, this one included."""
        return [self.name, *(row.name for row in self.others())]

    def suspect(self, name: str, now_ms: int) -> None:
        """Mark an entry that does not answer as suspect."""
        row = self.rows_by_name[name]
        if row.health == Health.ALIVE:
            self._replace(attrs.evolve(row, health=Health.SUSPECT), now_ms)
            self.names_to_push.add(name)

    def expire(self, now_ms: int) -> None:
        """Mark entries as dead after the suspicion timeout; drop long-dead ones."""
        for row in list(self.rows_by_name.values()):
            age_ms = now_ms - self.changed_ms_by_name.get(row.name, now_ms)
            if row.health == Health.SUSPECT and age_ms >= SUSPICION_TIMEOUT_MS:
                self._replace(attrs.evolve(row, health=Health.DEAD), now_ms)
            elif row.health == Health.DEAD and age_ms >= FORGET_DEAD_MS:
                del self.rows_by_name[row.name]
                self.changed_ms_by_name.pop(row.name, None)
                self.partners_by_name.pop(row.name, None)
                self.row_log.drop(row.name)
                self.confirmed_log.drop(row.name)

    def restart_suspicion_timers(self, now_ms: int) -> None:
        """Restart the suspicion timeout of all suspects after a loss of contact."""
        for row in self.rows_by_name.values():
            if row.health == Health.SUSPECT:
                self.changed_ms_by_name[row.name] = now_ms

    def next_partner(self, rng: random.Random) -> EntryRow | None:
        """Return the next entry to gossip with, in a shuffled round-robin order."""
        rows = {row.name: row for row in self.others()}
        while rows:
            while self._gossip_order:
                row = rows.get(self._gossip_order.pop())
                if row is not None:
                    return row
            self._gossip_order = sorted(rows)
            rng.shuffle(self._gossip_order)
        return None

    def partner(self, row: EntryRow) -> Partner:
        """Return the exchange state for the incarnation in ``row``."""
        partner = self.partners_by_name.get(row.name)
        if partner is None or partner.seen.incarnation != row.incarnation:
            fresh = Marks(row.incarnation)
            partner = self.partners_by_name[row.name] = Partner(fresh, Marks())
        return partner
