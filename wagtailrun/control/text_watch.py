"""Control side of the long poll for the fleet configuration."""

import json
import tomllib
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from wagtailrun.clock import Clock
from wagtailrun.fleet.diff import apply_diff, diff_documents
from wagtailrun.registry.messages import TextUpdate, WatchText

__all__ = ["ConfigurationLongPoll"]

# Entries that missed more changes than this receive the whole fleet text. At 7,600
# changes a day 32 revisions cover about six minutes.
MAX_REVISIONS = 32
POLL_MS = 100


class ConfigurationLongPoll:
    """Answers long polls with differences between the newest revisions.

    Args:
        clock: Clock.
        current: Returns the accepted revision and its fleet text.
        kept_revisions: Number of revisions that can serve as base of a difference.
    """

    def __init__(
        self,
        clock: Clock,
        current: Callable[[], tuple[int, str]],
        kept_revisions: int = MAX_REVISIONS,
    ):
        self.clock = clock
        self.current = current
        self.kept_revisions = kept_revisions
        self.documents_by_revision: OrderedDict[int, dict[str, Any]] = OrderedDict()
        self.differences_by_base: dict[int, str] = {}

    async def watch(self, message: WatchText) -> TextUpdate:
        """Return the newer configuration, or none once the poll has timed out.

        The update is a difference from the revision in ``message`` or the whole fleet
        text. After a time-out it holds the revision in ``message`` only.
        """
        deadline_ms = self.clock.now_ms() + message.wait_ms
        while True:
            revision, text = self.current()
            self._store_revision(revision, text)
            if revision > message.revision:
                return self._make_update(message.revision, revision, text)
            remaining_ms = deadline_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                return TextUpdate(message.revision)
            await self.clock.sleep_ms(min(POLL_MS, remaining_ms))

    def _store_revision(self, revision: int, text: str) -> None:
        if not revision or revision in self.documents_by_revision:
            return
        document = tomllib.loads(text)
        if self.documents_by_revision:
            # Sharing unchanged tables bounds the memory of the stored revisions.
            newest = next(reversed(self.documents_by_revision.values()))
            document = apply_diff(newest, diff_documents(newest, document))
        self.documents_by_revision[revision] = document
        self.differences_by_base.clear()
        while len(self.documents_by_revision) > self.kept_revisions:
            self.documents_by_revision.popitem(last=False)

    def _make_update(self, base_revision: int, revision: int, text: str) -> TextUpdate:
        base = self.documents_by_revision.get(base_revision)
        if base is None:
            return TextUpdate(revision, text=text)
        difference = self.differences_by_base.get(base_revision)
        if difference is None:
            document = self.documents_by_revision[revision]
            value = diff_documents(base, document)
            difference = json.dumps(value, separators=(",", ":"))
            self.differences_by_base[base_revision] = difference
        if len(difference) >= len(text):
            return TextUpdate(revision, text=text)
        return TextUpdate(revision, base_revision, difference)
