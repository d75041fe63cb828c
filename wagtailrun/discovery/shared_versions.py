"""Software versions that more than one control member knows."""

from collections.abc import Iterable

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.stream_origins import ORIGIN_LIFETIME_MS
from wagtailrun.gossip.messages import AgedRow
from wagtailrun.targets.table import Membership, TargetRow

__all__ = ["SharedVersions"]


class SharedVersions:
    """Decides from when on entries may use the targets of a new software version.

    A stream that is taken up without a record goes on at the only version that the
    replying members know, and one of the members may be missing. So a stream must not
    begin at a version that a single member knows: it could be cut off from the others.

    Args:
        clock: Clock.
        membership: Targets that this member knows.
    """

    def __init__(self, clock: Clock, membership: Membership):
        self.clock = clock
        self.membership = membership
        # Newest contact with a target of each service and version that another member
        # knows of.
        self.contact_ms_by_version: dict[tuple[str, str], int] = {}

    def record(self, rows: Iterable[AgedRow]) -> list[str]:
        """Record that another member knows these rows.

        Returns:
            Names of the targets that entries may use from now on.
        """
        now_ms = self.clock.now_ms()
        for version in list(self.contact_ms_by_version):
            if not self._is_shared(version, now_ms):
                del self.contact_ms_by_version[version]
        # A dictionary keeps their order, so that tests repeat.
        released: dict[tuple[str, str], None] = {}
        for aged in rows:
            if aged.row.silent:
                continue
            version = (aged.row.service, aged.row.software_version)
            if not self._is_shared(version, now_ms):
                released[version] = None
            contact_ms = now_ms - aged.age_ms
            before_ms = self.contact_ms_by_version.get(version, contact_ms)
            self.contact_ms_by_version[version] = max(before_ms, contact_ms)
        return [
            row.name
            for service, version in released
            for row in self.membership.rows_by_service.get(service, {}).values()
            if row.software_version == version
        ]

    def _is_shared(self, version: tuple[str, str], now_ms: int) -> bool:
        contact_ms = self.contact_ms_by_version.get(version)
        return contact_ms is not None and now_ms - contact_ms < ORIGIN_LIFETIME_MS

    def is_withheld(self, row: TargetRow) -> bool:
        """Return whether entries may not use a target yet.

        The only version of a service is never withheld: no stream can be joined.
        """
        now_ms = self.clock.now_ms()
        if self._is_shared((row.service, row.software_version), now_ms):
            return False
        oldest_ms = now_ms - ORIGIN_LIFETIME_MS
        known = self.membership.versions_since(row.service, oldest_ms)
        return bool(known - {row.software_version})

    def for_entries(self, row: TargetRow) -> TargetRow:
        """Return what entries are told of a target.

        One that is withheld counts as unresponsive: it is not used, but an entry knows
        that it was started again under its name. Its sequence is one less, so that the
        same row replaces it once it is released.
        """
        if row.leaving or row.silent or not self.is_withheld(row):
            return row
        return attrs.evolve(row, silent=True, sequence=max(row.sequence - 1, 0))
