"""Chooses which live entry owns a key that many entries share."""

from collections.abc import Callable, Collection, Sequence

from wagtailrun.clock import Clock, drop_expired
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.gossip.peers import rendezvous
from wagtailrun.logs import events

__all__ = ["Owners", "ownership_key"]

# An entry that did not reply is skipped until the control members have dropped a dead
# one: that is 2.3 s after its end at the latest, and the first call without a reply
# ends 250 ms after it.
AVOIDANCE_MS = 2_100
MAX_RANKINGS = 2_000


class Owners:
    """Chooses the owner of a key by rendezvous hashing among the live entries.

    Entries that know the same live entries choose the same owner. Otherwise a key may
    temporarily have two owners, so correctness must not depend on a single one.

    Args:
        clock: Clock.
        entries: Returns the live entries; the same object until they change.
        busy_keys: Returns the keys whose owners have much work, the same at all
            entries. While there are enough entries, none owns two of them.
    """

    def __init__(
        self,
        clock: Clock,
        entries: Callable[[], Sequence[EntryRow]],
        busy_keys: Callable[[], Sequence[str]] = lambda: (),
    ):
        self.clock = clock
        self.entries = entries
        self.busy_keys = busy_keys
        # By name and incarnation: a process that was started again is not avoided.
        self.avoid_until_ms: dict[tuple[str, int], int] = {}
        # Live entries and busy keys that the cached rankings were computed from.
        self._ranked_entries: Sequence[EntryRow] = ()
        self._ranked_keys: Sequence[str] = ()
        # Ranking of the entries by key and data centre. Hashing 200 names takes 0.2 ms,
        # and a request asks for owners a dozen times.
        self._ranking_by_key: dict[tuple[str, str], list[EntryRow]] = {}

    def among(self, entries: Callable[[], Sequence[EntryRow]]) -> "Owners":
        """Return owners among some of the entries, with the same exclusions.

        Args:
            entries: Returns these entries; the same object until they change.
        """
        owners = Owners(self.clock, entries, self.busy_keys)
        owners.avoid_until_ms = self.avoid_until_ms
        return owners

    def owner(
        self, key: str, tried: Collection[str] = (), data_centre: str = ""
    ) -> EntryRow | None:
        """Return the owner of ``key``, or None if no entry is eligible.

        Args:
            key: Subject that is owned; all entries must form the same string.
            tried: Names of entries to skip because they did not reply.
            data_centre: Data centre of the owner; by default any.
        """
        for row in self._ranking(key, data_centre):
            if row.name not in tried and not self.is_excluded(row):
                return row
        return None

    def preferred(self, key: str) -> EntryRow | None:
        """Return the owner of ``key``, also if it did not reply a moment ago."""
        return next(iter(self._ranking(key, "")), None)

    @staticmethod
    def unless_own(owner: EntryRow | None, name: str) -> EntryRow | None:
        """Return the entry to ask for what an owner does, None if it is ``name``.

        Without an owner, ``name`` does it as well.
        """
        return None if owner is None or owner.name == name else owner

    def exclude(self, owner: EntryRow, detail: str) -> None:
        """Skip a process that did not reply for the next ``AVOIDANCE_MS``."""
        now_ms = self.clock.now_ms()
        drop_expired(self.avoid_until_ms, now_ms)
        self.avoid_until_ms[owner.process] = now_ms + AVOIDANCE_MS
        events.log(events.PEER_LOST, peer=owner.name, detail=detail)

    def is_excluded(self, owner: EntryRow) -> bool:
        """Return whether a process is skipped, as it did not reply a moment ago."""
        return self.avoid_until_ms.get(owner.process, 0) > self.clock.now_ms()

    def _ranking(self, key: str, data_centre: str) -> list[EntryRow]:
        """Return the entries of a data centre, the preferred owner of ``key`` first."""
        entries, busy_keys = self.entries(), self.busy_keys()
        if entries is not self._ranked_entries or busy_keys != self._ranked_keys:
            self._ranked_entries, self._ranked_keys = entries, busy_keys
            self._ranking_by_key = {}
            self._rank_busy_keys()
        ranking = self._ranking_by_key.get((key, data_centre))
        if ranking is None:
            if len(self._ranking_by_key) >= MAX_RANKINGS:
                # Keys of targets that are gone remain until the entries change.
                self._ranking_by_key = {}
                self._rank_busy_keys()
            ranking = self._rank(key, data_centre)
            self._ranking_by_key[key, data_centre] = ranking
        return ranking

    def _rank(self, key: str, data_centre: str = "") -> list[EntryRow]:
        rows_by_name = {
            row.name: row
            for row in self._ranked_entries
            if data_centre in ("", row.data_centre)
        }
        return [
            rows_by_name[name]
            for name in rendezvous(key, rows_by_name, len(rows_by_name))
        ]

    def _rank_busy_keys(self) -> None:
        """Rank the entries for the busy keys, with a preferred owner for each.

        Each entry belongs to one of the keys, by hashing. So an entry that leaves or
        joins moves only a key that it owns, and the next one in the ranking is the
        owner without it. Moving a key of another entry would divide its calls between
        two owners for a moment.
        """
        keys = sorted(self._ranked_keys)
        rankings = {key: self._rank(key) for key in keys}
        key_by_name = {
            row.name: rendezvous(row.name, keys, 1)[0]
            for row in self._ranked_entries
            if keys
        }
        members = {
            key: [row for row in rankings[key] if key_by_name[row.name] == key]
            for key in keys
        }
        owners = {key: rows[0].name for key, rows in members.items() if rows}
        # A key without members borrows the last member of another one, which owns that
        # only after all others have left.
        last = {rows[-1].name for rows in members.values() if len(rows) > 1}
        for key in keys:
            if key not in owners:
                free = [
                    row.name for row in rankings[key] if row.name not in owners.values()
                ]
                free.sort(key=lambda name: name not in last)
                if free:
                    owners[key] = free[0]
        taken = set(owners.values())
        for key in keys:

            def order(row: EntryRow, key: str = key) -> tuple[bool, bool, bool, bool]:
                is_other_member = key_by_name[row.name] != key
                return (
                    row.name != owners.get(key),
                    row.name in taken,
                    is_other_member,
                    is_other_member and row.name not in last,
                )

            self._ranking_by_key[key, ""] = sorted(rankings[key], key=order)


def ownership_key(service: str) -> str:
    """Return the key by which all entries find the owner of a service's targets."""
    return f"engines of {service}"
