"""Table of the known targets, and which of them may receive new work."""

from collections.abc import Iterable, Iterator

import attrs
import xxhash

from wagtailrun.ports.link import Address

__all__ = ["ChangeLog", "Membership", "TargetRow"]

# A target leaves the rotation if no newer announcement arrives within this time.
TARGET_TIMEOUT_MS = 2_500
# The row of a target that is gone is dropped this long after the last contact. The row
# of an unknown target is accepted from a peer only if it is younger than half of that,
# so that an entry that was partitioned cannot bring back a dropped row. The other half
# allows for network delays and differences in clock rates.
ROW_RETENTION_MS = 600_000
MAX_NEW_ROW_AGE_MS = ROW_RETENTION_MS // 2


@attrs.frozen
class TargetRow:
    """State of one target, as it last announced it.

    Attributes:
        name: Name of the target.
        address: Address that it serves requests at.
        service: Service that it belongs to.
        data_centre: Data centre that it is in.
        capacity: Number of requests that it can run concurrently.
        incarnation: Number that grows with each start of the target.
        sequence: Number that grows with each announcement of an incarnation.
        running: Number of running requests at the announcement.
        queued: Number of queued requests at the announcement.
        leaving: Whether it has announced its shutdown; final for the incarnation.
        role: Role of an engine, or empty.
        report_age_ms: Age of the load figures at the announcement, in milliseconds.
        cache_first: Number of the first reported cache event.
        cache_last: Number of the last reported cache event.
        cache_prefixes: Digests of the cached prefixes that the events name.
        checks_fencing: Whether it rejects stale fencing tokens.
        silent: Whether a watching entry found it unresponsive at this sequence.
        software_version: Version of its software; empty if it states none. Streams go
            on only at a target of the version that began them.
        draining: Whether a leaving target has announced that it still answers for a
            while. Streams may go on there; it gets no other requests.
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
    software_version: str = ""
    draining: bool = False

    @property
    def recency(self) -> tuple[int, int]:
        """Sort key for announcements of the same target."""
        return (self.incarnation, self.sequence)

    @property
    def precedence(self) -> tuple[int, bool, bool, int, bool]:
        """Sort key for rows of the same target; the greater row replaces the other.

        A shutdown row is greater than every announcement of its incarnation, so an
        announcement that was delayed in the network cannot undo it. One of a target
        that takes nothing more is greater than one of a target that drains.
        """
        is_closed = self.leaving and not self.draining
        return (
            self.incarnation,
            self.leaving,
            is_closed,
            self.sequence,
            self.silent,
        )


def short_id(name: str) -> int:
    """Return the 32-bit identifier of a name, unique only within a data centre."""
    return xxhash.xxh32_intdigest(name.encode())


def _essential_state(row: TargetRow) -> tuple[object, ...]:
    """Return the fields whose changes are sent to all entries immediately.

    The other fields are load figures and sequence numbers.
    """
    return (
        row.incarnation,
        row.leaving,
        row.draining,
        row.silent,
        row.address,
        row.service,
        row.data_centre,
        row.capacity,
        row.role,
        row.checks_fencing,
        row.software_version,
    )


class ChangeLog:
    """Numbers the changes of rows, so that a peer receives only those it lacks.

    Attributes:
        number: Number of the newest change.
        change_numbers_by_name: Number of the newest change of each row.
        digest: Digest of the contents of all rows.
        digests_by_name: Digest of the content of each row.
    """

    def __init__(self) -> None:
        self.number = 0
        # Sorted by number, newest last.
        self.change_numbers_by_name: dict[str, int] = {}
        # Two entries without a previous exchange need to send nothing if their digests
        # are equal.
        self.digest = 0
        self.digests_by_name: dict[str, int] = {}

    def record_change(self, name: str, content: object = None) -> None:
        """Give the row ``name`` the next change number.

        Args:
            name: Name of the row.
            content: New content for the digest, or None to leave the row out of it.
        """
        self.drop(name)
        self.number += 1
        self.change_numbers_by_name[name] = self.number
        if content is not None:
            digest = xxhash.xxh3_64_intdigest(f"{name} {content!r}".encode())
            self.digests_by_name[name] = digest
            self.digest ^= digest

    def drop(self, name: str) -> None:
        """Remove the row ``name``."""
        self.change_numbers_by_name.pop(name, None)
        self.digest ^= self.digests_by_name.pop(name, 0)

    def names(self) -> list[str]:
        """Return the names of all rows."""
        return list(self.change_numbers_by_name)

    def changed_since(self, number: int) -> Iterator[str]:
        """Yield the names of the rows changed after ``number``, newest first."""
        for name in reversed(self.change_numbers_by_name):
            if self.change_numbers_by_name[name] <= number:
                return
            yield name

    def first_changed_since(self, number: int, limit: int) -> tuple[list[str], int]:
        """Return the oldest ``limit`` names changed after ``number``, and a mark.

        The mark is the ``number`` for the next call.
        """
        names = list(self.changed_since(number))[::-1]
        if len(names) <= limit:
            return names, self.number
        return names[:limit], self.change_numbers_by_name[names[limit - 1]]


class Membership:
    """Newest row of every known target.

    Without a ``GossipNode``, ``usable`` itself leaves out targets without recent
    contact. With one, a target leaves the rotation when an entry that watches it marks
    it unresponsive.

    Args:
        data_centre: Data centre of this process; empty if all targets count as local.
    """

    def __init__(self, data_centre: str = "") -> None:
        self.data_centre = data_centre
        self.targets_by_name: dict[str, TargetRow] = {}
        self.last_contact_ms_by_name: dict[str, int] = {}
        # The newest contact with a target of each software version, by service. Rows
        # are kept for the newest incarnation of a name only, versions for all.
        self.contact_ms_by_version: dict[str, dict[str, int]] = {}
        self.rows_by_service: dict[str, dict[str, TargetRow]] = {}
        # When this entry began to watch each of its targets; None without a
        # ``GossipNode``.
        self.watched_since_ms_by_name: dict[str, int] | None = None
        # Set while the rows are only the last known ones; contact timeouts are ignored.
        self.unconfirmed = False
        # Earliest start of all contact timeouts; see ``restart_silence_timers``.
        self.contact_timeout_start_ms = 0
        # Changes of the essential state, and all changes.
        self.state_log = ChangeLog()
        self.update_log = ChangeLog()
        self.direct_contact_ms_by_name: dict[str, int] = {}
        self.last_direct_contact_ms = 0
        # Targets to report to the entries that watch them, and to all entries.
        self.names_to_forward: set[str] = set()
        self.names_to_push: set[str] = set()
        self.names_by_id: dict[int, str] = {}

    def put(self, row: TargetRow, now_ms: int, age_ms: int = 0) -> bool:
        """Store ``row`` if it is newer than the known row; return whether it was.

        Args:
            row: Row of a target.
            now_ms: Current time, in milliseconds.
            age_ms: Time since the sender of the row had contact with the target, in
                milliseconds.
        """
        known = self.targets_by_name.get(row.name)
        if known is None and age_ms > MAX_NEW_ROW_AGE_MS:
            return False
        self._record_version(row, now_ms - age_ms)
        if known is not None and row.precedence <= known.precedence:
            return False
        if known is not None and known.service != row.service:
            self.rows_by_service[known.service].pop(row.name, None)
        self.targets_by_name[row.name] = row
        self.rows_by_service.setdefault(row.service, {})[row.name] = row
        if known is None or row.recency > known.recency or row.leaving:
            self.last_contact_ms_by_name[row.name] = max(
                now_ms - age_ms, self.last_contact_ms_by_name.get(row.name, 0)
            )
        self.names_by_id[short_id(row.name)] = row.name
        self.update_log.record_change(row.name)
        if known is None or _essential_state(row) != _essential_state(known):
            self.state_log.record_change(row.name, _essential_state(row))
        return True

    def repeat_state(self, name: str) -> None:
        """Give the state of a row a new change number, so that it is sent once more."""
        row = self.targets_by_name[name]
        self.state_log.record_change(name, _essential_state(row))

    def _record_version(self, row: TargetRow, contact_ms: int) -> None:
        """Record when a software version was last known to serve.

        An older row counts, too; one that another process found unresponsive does not.
        """
        if row.silent:
            return
        contacts = self.contact_ms_by_version.setdefault(row.service, {})
        before_ms = contacts.get(row.software_version, contact_ms)
        contacts[row.software_version] = max(before_ms, contact_ms)

    def versions_since(self, service: str, since_ms: int) -> set[str]:
        """Return the software versions of targets of a service in contact since then.

        Args:
            service: Service.
            since_ms: Time, in milliseconds.
        """
        contacts = self.contact_ms_by_version.get(service, {})
        return {version for version, ms in contacts.items() if ms >= since_ms}

    def announce(self, row: TargetRow, now_ms: int) -> bool:
        """Store a row that the target itself sent; return whether it was newer."""
        number = self.state_log.number
        if not self.put(row, now_ms):
            return False
        self.direct_contact_ms_by_name[row.name] = self.last_direct_contact_ms = now_ms
        self.names_to_forward.add(row.name)
        if self.state_log.number > number:
            self.names_to_push.add(row.name)
        return True

    def is_announced_here(self, name: str) -> bool:
        """Return whether the target's newest announcement was received directly."""
        direct_ms = self.direct_contact_ms_by_name.get(name, -1)
        return direct_ms >= self.last_contact_ms_by_name[name]

    def usable(self, service: str, now_ms: int) -> list[TargetRow]:
        """Return the local targets of ``service`` that may receive new work."""
        return [row for row in self.candidates(service, now_ms) if self.is_local(row)]

    def fallback(self, service: str, now_ms: int) -> list[TargetRow]:
        """Return the usable targets of ``service`` in other data centres."""
        return [
            row for row in self.candidates(service, now_ms) if not self.is_local(row)
        ]

    def is_local(self, row: TargetRow) -> bool:
        """Return whether the target is in the data centre of this process."""
        return not self.data_centre or row.data_centre == self.data_centre

    def candidates(self, service: str, now_ms: int) -> list[TargetRow]:
        """Return the usable targets of ``service`` in all data centres."""
        rows = self.rows_by_service.get(service, {}).values()
        available = [row for row in rows if not (row.leaving or row.silent)]
        if self.watched_since_ms_by_name is not None or self.unconfirmed:
            return available
        # The rule of ``is_overdue`` inline: a call for each of 250 rows would take
        # longer than the routing decision that needs them.
        oldest_ms = now_ms - TARGET_TIMEOUT_MS
        if self.contact_timeout_start_ms > oldest_ms:
            return available
        contact_ms_by_name = self.last_contact_ms_by_name
        return [row for row in available if contact_ms_by_name[row.name] > oldest_ms]

    def last_known(self, service: str) -> list[TargetRow]:
        """Return the targets of a service whose announcements were the last to end.

        Those that have left or drain are none of them, nor are those that became silent
        well before the others, or whose address another target has announced since.
        """
        rows = self.rows_by_service.get(service, {}).values()
        contact_ms_by_name = self.last_contact_ms_by_name
        newest_ms = max((contact_ms_by_name[row.name] for row in rows), default=0)
        return [
            row
            for row in rows
            if not row.leaving
            and newest_ms - contact_ms_by_name[row.name] < TARGET_TIMEOUT_MS
            and not self._is_replaced(row)
        ]

    def _is_replaced(self, row: TargetRow) -> bool:
        """Return whether another target has announced the address of this one since."""
        contact_ms = self.last_contact_ms_by_name[row.name]
        return any(
            other.address == row.address
            and other.name != row.name
            and self.last_contact_ms_by_name[other.name] > contact_ms
            for other in self.targets_by_name.values()
        )

    def is_overdue(
        self, name: str, now_ms: int, limit_ms: int = TARGET_TIMEOUT_MS
    ) -> bool:
        """Return whether a target had no contact for ``limit_ms``.

        Always false while the rows are unconfirmed, and for a target that only other
        entries watch.
        """
        if self.unconfirmed:
            return False
        start_ms = max(
            self.last_contact_ms_by_name[name], self.contact_timeout_start_ms
        )
        if self.watched_since_ms_by_name is not None:
            since_ms = self.watched_since_ms_by_name.get(name)
            if since_ms is None:
                return False
            start_ms = max(start_ms, since_ms)
        return now_ms - start_ms >= limit_ms

    def restart_silence_timers(self, now_ms: int) -> None:
        """Restart all contact timeouts, for example after the process was suspended."""
        self.contact_timeout_start_ms = now_ms

    def set_watched(self, names: Iterable[str], now_ms: int) -> None:
        """Make this entry responsible for detecting failures of exactly ``names``."""
        known = self.watched_since_ms_by_name or {}
        self.watched_since_ms_by_name = {
            name: known.get(name, now_ms) for name in names
        }

    def serving_addresses(self) -> set[Address]:
        """Return the addresses of all targets that have not left.

        Those that drain and those that do not answer now are among them.
        """
        rows = self.targets_by_name.values()
        return {row.address for row in rows if row.draining or not row.leaving}

    def mark_unresponsive(self, name: str, now_ms: int) -> None:
        """Take a target out of rotation at all entries, until its next announcement."""
        row = self.targets_by_name[name]
        if self.put(attrs.evolve(row, silent=True), now_ms):
            self.names_to_push.add(name)

    def renew_contacts(self, now_ms: int) -> None:
        """Count the time until a row is dropped from when it was last of use.

        For an entry whose control members send a row only when it changes. The
        unresponsive targets of a service are of use as long as it has no others.
        """
        for rows in self.rows_by_service.values():
            present = [row for row in rows.values() if not row.leaving]
            active = [row for row in present if not row.silent]
            for row in active or present:
                self.last_contact_ms_by_name[row.name] = now_ms

    def drop_expired_rows(self, now_ms: int) -> None:
        """Drop rows of targets that are gone and had no recent contact.

        Their last contact is at least ``ROW_RETENTION_MS`` ago.
        """
        for name, row in list(self.targets_by_name.items()):
            gone = row.leaving or row.silent or self.is_overdue(name, now_ms)
            if gone and now_ms - self.last_contact_ms_by_name[name] >= ROW_RETENTION_MS:
                del self.targets_by_name[name], self.last_contact_ms_by_name[name]
                rows = self.rows_by_service[row.service]
                del rows[name]
                if not rows:
                    del self.rows_by_service[row.service]
                self.state_log.drop(name)
                self.update_log.drop(name)
                self.direct_contact_ms_by_name.pop(name, None)
                self.names_by_id.pop(short_id(name), None)
                self.names_to_forward.discard(name)
                self.names_to_push.discard(name)
        self._drop_expired_versions(now_ms - ROW_RETENTION_MS)

    def _drop_expired_versions(self, oldest_ms: int) -> None:
        for service, contacts in list(self.contact_ms_by_version.items()):
            kept = {name: ms for name, ms in contacts.items() if ms > oldest_ms}
            if kept:
                self.contact_ms_by_version[service] = kept
            else:
                del self.contact_ms_by_version[service]
