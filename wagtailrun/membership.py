"""Targets that an entry knows of, and which of them may be given new work."""

from collections.abc import Iterable, Iterator

import attrs
import xxhash

from wagtailrun.ports.link import Address

__all__ = ["ChangeLog", "Membership", "TargetRow"]

# A target is out of rotation this long after its announcements last progressed.
TARGET_TIMEOUT_MS = 2_500
# Rows of gone targets are dropped this long after the target was last heard. A row of
# an unknown target is taken from a peer only if it is younger than half of that, so a
# row that was dropped here cannot come back from an entry that was cut off; the other
# half covers delays and clock rates.
ROW_RETENTION_MS = 600_000
MAX_UNKNOWN_AGE_MS = ROW_RETENTION_MS // 2


@attrs.frozen
class TargetRow:
    """What is known of one target.

    Attributes:
        name: Name of the target.
        address: Where it serves.
        service: Service it belongs to.
        data_centre: Data centre it is in.
        capacity: Requests that it can run at once.
        incarnation: Grows each time the target starts.
        sequence: Grows with each announcement of an incarnation.
        running: Requests running when it announced itself.
        queued: Requests queued when it announced itself.
        leaving: Whether it said goodbye; final for the incarnation.
        role: Role of an engine, or empty.
        report_age_ms: Age of the load when it was announced, in milliseconds.
        cache_first: Number of the first cache event reported.
        cache_last: Number of the last cache event reported.
        cache_prefixes: Digests of cached prefixes that the events name.
        checks_fencing: Whether it rejects a stale fencing token.
        silent: Whether an entry that watches it declared it silent at this sequence.
    """

    name: str
    address: Address
    service: str
    data_centre: str
    capacity: int = 1
    incarnation: int = 0
    sequence: int = 0
    running: int = 0
    queued: int = 0
    leaving: bool = False
    role: str = ""
    report_age_ms: int = 0
    cache_first: int = 0
    cache_last: int = 0
    cache_prefixes: tuple[str, ...] = ()
    checks_fencing: bool = False
    silent: bool = False

    @property
    def version(self) -> tuple[int, int]:
        """Order of announcements of the same target."""
        return (self.incarnation, self.sequence)

    @property
    def precedence(self) -> tuple[int, bool, int, bool]:
        """Order of rows of the same target; the greater row replaces the other.

        A goodbye stands above every announcement of its incarnation, so one that was
        delayed in the network cannot undo it.
        """
        return (self.incarnation, self.leaving, self.sequence, self.silent)


def short_id(name: str) -> int:
    """Return a 32-bit identifier of a name within a data centre."""
    return xxhash.xxh32_intdigest(name.encode())


def _state(row: TargetRow) -> tuple:
    """Return what all entries must learn at once; the rest is load and freshness."""
    return (
        row.incarnation,
        row.leaving,
        row.silent,
        row.address,
        row.service,
        row.data_centre,
        row.capacity,
        row.role,
        row.checks_fencing,
    )


class ChangeLog:
    """Numbers the changes of rows, so that a partner gets what it has not seen."""

    def __init__(self) -> None:
        self.number = 0
        # Sorted by number, the newest last.
        self.change_numbers_by_name: dict[str, int] = {}
        # Equal digests tell two entries that have not met that nothing is to be sent.
        self.digest = 0
        self.digests_by_name: dict[str, int] = {}

    def record_change(self, name: str, content: object = None) -> None:
        """Note a change of the row ``name`` to ``content``."""
        self.drop(name)
        self.number += 1
        self.change_numbers_by_name[name] = self.number
        if content is not None:
            digest = xxhash.xxh3_64_intdigest(f"{name} {content!r}".encode())
            self.digests_by_name[name] = digest
            self.digest ^= digest

    def drop(self, name: str) -> None:
        """Forget a row."""
        self.change_numbers_by_name.pop(name, None)
        self.digest ^= self.digests_by_name.pop(name, 0)

    def changed_since(self, number: int) -> Iterator[str]:
        """Yield the names of rows changed after ``number``, the newest first."""
        for name in reversed(self.change_numbers_by_name):
            if self.change_numbers_by_name[name] <= number:
                return
            yield name

    def first_changed_since(self, number: int, limit: int) -> tuple[list[str], int]:
        """Return the first ``limit`` names changed after it, and the next mark."""
        names = list(self.changed_since(number))[::-1]
        if len(names) <= limit:
            return names, self.number
        return names[:limit], self.change_numbers_by_name[names[limit - 1]]


class Membership:
    """Newest row of every target.

    Without a ``GossipNode`` the silence of every target is judged in ``usable``. With
    one, a target is out of rotation when an entry that watches it declares it silent.

    Args:
        data_centre: Own data centre; empty if all targets count as local.
    """

    def __init__(self, data_centre: str = "") -> None:
        self.data_centre = data_centre
        self.targets_by_name: dict[str, TargetRow] = {}
        self.last_contact_ms_by_name: dict[str, int] = {}
        self.rows_by_service: dict[str, dict[str, TargetRow]] = {}
        self.watched_since_ms_by_name: dict[str, int] | None = None
        self.unconfirmed = False
        # Silence is counted from here at the earliest; see ``restart_silence_timers``.
        self.silence_counted_from_ms = 0
        self.state_log = ChangeLog()
        self.update_log = ChangeLog()
        self.direct_contact_ms_by_name: dict[str, int] = {}
        self.last_direct_contact_ms = 0
        # Names to be told to the entries that watch them, and to all entries.
        self.names_to_forward: set[str] = set()
        self.names_to_push: set[str] = set()
        self.names_by_id: dict[int, str] = {}

    def put(self, row: TargetRow, now_ms: int, age_ms: int = 0) -> bool:
        """Keep ``row`` if it is newer than what is known; return whether it was.

        Args:
            row: Row of a target.
            now_ms: Time.
            age_ms: How long ago the target was heard by whom the row comes from.
        """
        known = self.targets_by_name.get(row.name)
        if known is None and age_ms > MAX_UNKNOWN_AGE_MS:
            return False
        if known is not None and row.precedence <= known.precedence:
            return False
        if known is not None and known.service != row.service:
            self.rows_by_service[known.service].pop(row.name, None)
        self.targets_by_name[row.name] = row
        self.rows_by_service.setdefault(row.service, {})[row.name] = row
        if known is None or row.version > known.version or row.leaving:
            self.last_contact_ms_by_name[row.name] = max(
                now_ms - age_ms, self.last_contact_ms_by_name.get(row.name, 0)
            )
        self.names_by_id[short_id(row.name)] = row.name
        self.update_log.record_change(row.name)
        if known is None or _state(row) != _state(known):
            self.state_log.record_change(row.name, _state(row))
        return True

    def announce(self, row: TargetRow, now_ms: int) -> bool:
        """Keep a row that the target itself sent to this entry."""
        number = self.state_log.number
        if not self.put(row, now_ms):
            return False
        self.direct_contact_ms_by_name[row.name] = self.last_direct_contact_ms = now_ms
        self.names_to_forward.add(row.name)
        if self.state_log.number > number:
            self.names_to_push.add(row.name)
        return True

    def usable(self, service: str, now_ms: int) -> list[TargetRow]:
        """Return the local targets of ``service`` that may be given new work."""
        return [row for row in self.candidates(service, now_ms) if self.is_local(row)]

    def fallback(self, service: str, now_ms: int) -> list[TargetRow]:
        """Return the usable targets of ``service`` in other data centres."""
        return [
            row for row in self.candidates(service, now_ms) if not self.is_local(row)
        ]

    def is_local(self, row: TargetRow) -> bool:
        """Return whether the target is in the own data centre."""
        return not self.data_centre or row.data_centre == self.data_centre

    def candidates(self, service: str, now_ms: int) -> list[TargetRow]:
        """Return the usable targets of ``service`` in all data centres."""
        rows = self.rows_by_service.get(service, {}).values()
        able = [row for row in rows if not (row.leaving or row.silent)]
        if self.watched_since_ms_by_name is not None or self.unconfirmed:
            return able
        # As ``is_overdue`` says; a call for each of 250 rows would take longer than
        # the decision that needs them.
        oldest_ms = now_ms - TARGET_TIMEOUT_MS
        if self.silence_counted_from_ms > oldest_ms:
            return able
        heard_ms = self.last_contact_ms_by_name
        return [row for row in able if heard_ms[row.name] > oldest_ms]

    def is_overdue(
        self, name: str, now_ms: int, limit_ms: int = TARGET_TIMEOUT_MS
    ) -> bool:
        """Return whether a target watched here was not heard for ``limit_ms``."""
        if self.unconfirmed:
            return False
        start_ms = max(self.last_contact_ms_by_name[name], self.silence_counted_from_ms)
        if self.watched_since_ms_by_name is not None:
            since_ms = self.watched_since_ms_by_name.get(name)
            if since_ms is None:
                return False
            start_ms = max(start_ms, since_ms)
        return now_ms - start_ms >= limit_ms

    def restart_silence_timers(self, now_ms: int) -> None:
        """Count silence from now on, after a time in which nothing could be heard."""
        self.silence_counted_from_ms = now_ms

    def set_watched(self, names: Iterable[str], now_ms: int) -> None:
        """Judge the silence of exactly the targets ``names`` here."""
        known = self.watched_since_ms_by_name or {}
        self.watched_since_ms_by_name = {
            name: known.get(name, now_ms) for name in names
        }

    def mark_unresponsive(self, name: str, now_ms: int) -> None:
        """Put a target out of rotation at its known sequence, for all entries."""
        row = self.targets_by_name[name]
        if self.put(attrs.evolve(row, silent=True), now_ms):
            self.names_to_push.add(name)

    def drop_expired_rows(self, now_ms: int) -> None:
        """Drop the rows of targets that are gone for ``ROW_RETENTION_MS``."""
        for name, row in list(self.targets_by_name.items()):
            gone = row.leaving or row.silent or self.is_overdue(name, now_ms)
            if gone and now_ms - self.last_contact_ms_by_name[name] >= ROW_RETENTION_MS:
                del self.targets_by_name[name], self.last_contact_ms_by_name[name]
                del self.rows_by_service[row.service][name]
                self.state_log.drop(name)
                self.update_log.drop(name)
                self.direct_contact_ms_by_name.pop(name, None)
                self.names_by_id.pop(short_id(name), None)
                self.names_to_forward.discard(name)
                self.names_to_push.discard(name)
