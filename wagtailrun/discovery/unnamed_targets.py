"""Finds targets that no control member knows any more."""

from collections.abc import Callable

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.messages import News
from wagtailrun.targets.table import Membership, TargetRow

__all__ = ["UnnamedTargets"]

# A control member that was started again knows all targets after a few heartbeats, as
# it receives them or the other members share them.
NAMING_MS = 30_000


class UnnamedTargets:
    """Targets that the present control member has not named to this entry yet.

    A member that was started again has forgotten the targets. If all are, none can
    tell that a target which ended meanwhile is gone.

    Args:
        clock: Clock.
        membership: Targets that this entry knows.
        put: Stores a row of a target and its age in milliseconds.
    """

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        put: Callable[[TargetRow, int], None],
    ):
        self.clock = clock
        self.membership = membership
        self.put = put
        # Identifier of the member's process, and when it first replied.
        self.epoch = 0
        self.since_ms = 0
        # Of the targets that were known then, those that it has not named.
        self.names: set[str] = set()

    def apply(self, news: News) -> bool:
        """Count targets as unresponsive that a member has not named for long.

        Each stays so until a member names it with a newer row.

        Returns:
            Whether there are such targets now that were none before.
        """
        now_ms = self.clock.now_ms()
        if news.marks.epoch != self.epoch:
            self.epoch, self.since_ms = news.marks.epoch, now_ms
            self.names = set(self.membership.targets_by_name)
        self.names.difference_update(aged.row.name for aged in news.targets)
        # A reply with rows may not be the last one of a long list.
        is_complete = news.confirmed and not news.targets
        if not is_complete or now_ms - self.since_ms < NAMING_MS:
            return False
        names, self.names = self.names, set()
        rows = [self.membership.targets_by_name.get(name) for name in names]
        unnamed = [row for row in rows if row and not (row.leaving or row.silent)]
        for row in unnamed:
            self.put(attrs.evolve(row, silent=True), 0)
        return bool(unnamed)
