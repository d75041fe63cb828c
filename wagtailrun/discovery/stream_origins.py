"""Where streams began, kept by control members for callers that take them up."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.messages import (
    AgedOrigin,
    FindOrigin,
    OriginFound,
    StreamOrigin,
    StreamsBegun,
)
from wagtailrun.membership import Membership

__all__ = ["ORIGIN_LIFETIME_MS", "StreamOrigins", "stream_key"]

# Streams last up to a minute, and callers take up a broken one within seconds.
ORIGIN_LIFETIME_MS = 90_000
# Bounds the memory of a member to about 46 MB.
MAX_STREAMS = 200_000
# Of a stream with more origins than one it is only known that they differ.
MAX_ORIGINS_PER_STREAM = 2
KEY_BYTES = 8
# More targets than the largest fleet starts within the lifetime of a record.
MAX_SHARED_ORIGINS = 4_096


def stream_key(workspace: str, request_id: str) -> int:
    """Return the key of the stream that a request began.

    The hash is cryptographic, so that no caller can choose an identifier that collides
    with that of another workspace.

    Args:
        workspace: Workspace of the caller; empty if the route needs no key.
        request_id: Identifier that the caller chose for the request.
    """
    hasher = hashlib.blake2b(digest_size=KEY_BYTES)
    for text in (workspace, request_id):
        data = text.encode()
        hasher.update(len(data).to_bytes(4, "big"))
        hasher.update(data)
    return int.from_bytes(hasher.digest(), "big")


@attrs.frozen
class _Record:
    """Origins that entries reported for one stream, and when the newest one began."""

    origins: tuple[StreamOrigin, ...]
    began_ms: int


class StreamOrigins:
    """Records of the streams that began at targets, at one control member.

    They are kept in memory: after a restart the member knows only newer ones, and says
    so in its replies.

    Args:
        clock: Clock.
        membership: Targets that this member knows.
    """

    def __init__(self, clock: Clock, membership: Membership):
        self.clock = clock
        self.membership = membership
        self.started_ms = clock.now_ms()
        # One object for all records of a target, which are many.
        self.shared_by_origin: dict[StreamOrigin, tuple[StreamOrigin]] = {}
        # Sorted by time of arrival, newest last.
        self.records_by_key: OrderedDict[int, _Record] = OrderedDict()

    def record(self, groups: Iterable[StreamsBegun]) -> None:
        """Keep the origins of streams that have begun."""
        now_ms = self.clock.now_ms()
        for group in groups:
            for key in group.streams:
                self._record_one(key, group.origin, now_ms - group.age_ms)
        self._drop_expired(now_ms)
        if len(self.shared_by_origin) > MAX_SHARED_ORIGINS:
            self.shared_by_origin = {}

    def _record_one(self, key: int, origin: StreamOrigin, began_ms: int) -> None:
        known = self.records_by_key.get(key)
        origins = self.shared_by_origin.setdefault(origin, (origin,))
        is_other = known is not None and known.origins != origins
        if is_other and not self._is_expired(known):
            # Two requests with one identifier may have begun at two versions.
            origins = tuple(dict.fromkeys((*known.origins, origin)))
            began_ms = max(began_ms, known.began_ms)
        record = _Record(origins[:MAX_ORIGINS_PER_STREAM], began_ms)
        self.records_by_key[key] = record
        self.records_by_key.move_to_end(key)

    def _is_expired(self, record: _Record) -> bool:
        return self.clock.now_ms() - record.began_ms >= ORIGIN_LIFETIME_MS

    def _drop_expired(self, now_ms: int) -> None:
        while self.records_by_key:
            oldest = next(iter(self.records_by_key.values()))
            is_full = len(self.records_by_key) > MAX_STREAMS
            if not is_full and now_ms - oldest.began_ms < ORIGIN_LIFETIME_MS:
                return
            self.records_by_key.popitem(last=False)

    def find(self, question: FindOrigin) -> OriginFound:
        """Return what is known of a stream and of the versions of its service."""
        now_ms = self.clock.now_ms()
        known = self.records_by_key.get(question.stream)
        origins = ()
        if known is not None and not self._is_expired(known):
            age_ms = max(now_ms - known.began_ms, 0)
            origins = tuple(AgedOrigin(origin, age_ms) for origin in known.origins)
        return OriginFound(
            origins=origins,
            versions=tuple(sorted(self._recent_versions(question.service))),
            memory_ms=now_ms - self.started_ms,
        )

    def _recent_versions(self, service: str) -> set[str]:
        """Return the versions of targets that served when a stream may have begun."""
        oldest_ms = self.clock.now_ms() - ORIGIN_LIFETIME_MS
        return self.membership.versions_since(service, oldest_ms)
