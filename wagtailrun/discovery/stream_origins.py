"""Where streams began, kept by control members for callers that take them up."""

import hashlib
from array import array
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.messages import (
    AgedOrigin,
    FindOrigin,
    OriginFound,
    StreamOrigin,
    StreamsBegun,
    TargetIncarnation,
)
from wagtailrun.targets.table import Membership

__all__ = ["ORIGIN_LIFETIME_MS", "StreamOrigins", "stream_key"]

# Streams last up to a minute, and callers take up a broken one within seconds.
ORIGIN_LIFETIME_MS = 90_000
# Bounds the memory of a member to about 7 MB.
MAX_STREAMS = 200_000
# Of a stream with more origins than one it is only known that they differ. Counted
# among the records that are packed together.
MAX_ORIGINS_PER_STREAM = 2
KEY_BYTES = 8
# More targets than the largest fleet starts within the lifetime of a record.
MAX_SHARED_ORIGINS = 4_096
# Records of this time, or this many, are packed together. More would delay other tasks:
# sorting these takes 7 ms.
PACK_INTERVAL_MS = 5_000
MAX_UNPACKED = 4_096


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
    """An origin that an entry reported for a stream, and when the stream began there.

    Attributes:
        key: Key of the stream.
        origin: The origin.
        began_ms: When it began, on the clock of this member.
    """

    key: int
    origin: StreamOrigin
    began_ms: int


class _PackedRecords:
    """Records in arrays sorted by key: 20 bytes each, a tenth of their objects.

    Args:
        records: The records, at least one.
    """

    def __init__(self, records: Iterable[_Record]):
        ordered = sorted(records, key=lambda record: record.key)
        self.origins = list(dict.fromkeys(record.origin for record in ordered))
        positions = {origin: number for number, origin in enumerate(self.origins)}
        self.keys = array("Q", (record.key for record in ordered))
        self.began_ms = array("q", (record.began_ms for record in ordered))
        self.positions = array("I", (positions[record.origin] for record in ordered))
        self.newest_ms = max(self.began_ms)

    def __len__(self) -> int:
        return len(self.keys)

    def find(self, key: int) -> Iterator[_Record]:
        """Yield the records of a stream."""
        for number in range(bisect_left(self.keys, key), len(self.keys)):
            if self.keys[number] != key:
                return
            origin = self.origins[self.positions[number]]
            yield _Record(key, origin, self.began_ms[number])


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
        self.shared_origins: dict[StreamOrigin, StreamOrigin] = {}
        # Newest records, and the older ones, oldest first.
        self.unpacked: dict[int, tuple[_Record, ...]] = {}
        self.unpacked_since_ms = self.started_ms
        self.packed: deque[_PackedRecords] = deque()

    @property
    def count(self) -> int:
        """Number of records."""
        return len(self.unpacked) + sum(map(len, self.packed))

    def record(self, groups: Iterable[StreamsBegun]) -> None:
        """Keep the origins of streams that have begun."""
        now_ms = self.clock.now_ms()
        for group in groups:
            began_ms = max(now_ms - group.age_ms, 0)
            for key in group.streams:
                origin = self.shared_origins.setdefault(group.origin, group.origin)
                self._record_one(_Record(key, origin, began_ms))
        self._drop_expired(now_ms)
        if len(self.shared_origins) > MAX_SHARED_ORIGINS:
            self.shared_origins = {}

    def _record_one(self, record: _Record) -> None:
        now_ms = self.clock.now_ms()
        is_due = now_ms - self.unpacked_since_ms >= PACK_INTERVAL_MS
        if self.unpacked and (is_due or len(self.unpacked) >= MAX_UNPACKED):
            self._pack()
        if not self.unpacked:
            self.unpacked_since_ms = now_ms
        known = self.unpacked.get(record.key, ())
        others = tuple(each for each in known if each.origin != record.origin)
        if len(others) < MAX_ORIGINS_PER_STREAM:
            self.unpacked[record.key] = (*others, record)

    def _pack(self) -> None:
        records = [each for known in self.unpacked.values() for each in known]
        self.packed.append(_PackedRecords(records))
        self.unpacked = {}
        while self.count > MAX_STREAMS:
            self.packed.popleft()

    def _drop_expired(self, now_ms: int) -> None:
        while self.packed and now_ms - self.packed[0].newest_ms >= ORIGIN_LIFETIME_MS:
            self.packed.popleft()

    def _origins_of(self, key: int) -> Iterator[AgedOrigin]:
        """Yield the origins that are known of a stream."""
        now_ms = self.clock.now_ms()
        found = list(self.unpacked.get(key, ()))
        for packed in self.packed:
            found.extend(packed.find(key))
        newest_by_origin: dict[StreamOrigin, int] = {}
        for each in sorted(found, key=lambda record: record.began_ms):
            if now_ms - each.began_ms < ORIGIN_LIFETIME_MS:
                newest_by_origin[each.origin] = each.began_ms
        # Two requests with one identifier may have begun at two versions.
        for origin, began_ms in newest_by_origin.items():
            yield AgedOrigin(origin, max(now_ms - began_ms, 0))

    def find(self, question: FindOrigin) -> OriginFound:
        """Return what is known of a stream and of the versions of its service."""
        return OriginFound(
            origins=tuple(self._origins_of(question.stream)),
            versions=tuple(sorted(self._recent_versions(question.service))),
            memory_ms=self.clock.now_ms() - self.started_ms,
            targets=tuple(self._known_incarnations(question.targets)),
        )

    def _known_incarnations(self, names: Iterable[str]) -> Iterator[TargetIncarnation]:
        for name in names:
            row = self.membership.targets_by_name.get(name)
            if row is not None:
                yield TargetIncarnation(name, row.incarnation, row.software_version)

    def _recent_versions(self, service: str) -> set[str]:
        """Return the versions of targets that served when a stream may have begun."""
        oldest_ms = self.clock.now_ms() - ORIGIN_LIFETIME_MS
        return self.membership.versions_since(service, oldest_ms)
