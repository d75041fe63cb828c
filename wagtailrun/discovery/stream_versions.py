"""Versions of targets that control members remember, at an entry that polls them."""

from collections.abc import Callable

from wagtailrun.clock import Clock
from wagtailrun.discovery.messages import StreamOrigin
from wagtailrun.discovery.stream_origins import ORIGIN_LIFETIME_MS
from wagtailrun.targets.table import Membership

__all__ = ["StreamVersions"]


class StreamVersions:
    """Decides which streams need a record of the version that began them.

    Args:
        clock: Clock.
        membership: Targets as this entry knows them.
        is_fresh: Returns whether a control member confirmed the state a moment ago.
    """

    def __init__(
        self, clock: Clock, membership: Membership, is_fresh: Callable[[], bool]
    ):
        self.clock = clock
        self.membership = membership
        self.is_fresh = is_fresh
        # Since when the updates are of one incarnation of a control member that
        # remembers the versions of targets; None if it does not.
        self.known_since_ms: int | None = None

    def record_reply(self, remembers_versions: bool, is_new_member: bool) -> None:
        """Record the reply of a control member to a poll.

        Args:
            remembers_versions: Whether it remembers the versions of targets.
            is_new_member: Whether the reply before was of another member, or of an
                earlier incarnation of this one.
        """
        if not remembers_versions:
            self.known_since_ms = None
        elif is_new_member or self.known_since_ms is None:
            self.known_since_ms = self.clock.now_ms()

    def single_version(self, service: str) -> str:
        """Return the only version that may have begun a stream within the last 90 s.

        Control members then know the version of each stream without a record, as long
        as they are not restarted.

        Returns:
            Empty if there are several, or they are not known for long enough.
        """
        now_ms = self.clock.now_ms()
        since_ms = self.known_since_ms
        if since_ms is None or now_ms - since_ms < ORIGIN_LIFETIME_MS:
            return ""
        versions = self.membership.versions_since(service, now_ms - ORIGIN_LIFETIME_MS)
        # A target without changes has sent no newer row.
        rows = self.membership.rows_by_service.get(service, {}).values()
        versions.update(row.software_version for row in rows if not row.leaving)
        return versions.pop() if len(versions) == 1 else ""

    def needs_record(self, origin: StreamOrigin) -> bool:
        """Return whether members need a record of a stream that has just begun.

        They need none if its version is the only one and they have had contact with its
        target within the last seconds, so that they remember it for as long as a
        record.
        """
        row = self.membership.targets_by_name.get(origin.target)
        is_in_contact = (
            self.is_fresh()
            and row is not None
            and not row.silent
            and row.incarnation == origin.incarnation
        )
        version = self.single_version(origin.service)
        return not (is_in_contact and version and version == origin.software_version)
