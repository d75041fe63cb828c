"""Reports where streams began to control members, and asks them at a take-up."""

from collections import defaultdict
from collections.abc import Callable, Sequence

import attrs
import curio

from wagtailrun import events
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.consensus_state import Signal
from wagtailrun.discovery.messages import (
    FindOrigin,
    OriginFound,
    RecordOrigins,
    RowsTaken,
    StreamOrigin,
    StreamsBegun,
)
from wagtailrun.discovery.stream_origins import ORIGIN_LIFETIME_MS
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.ports.link import Address, PeerLink

__all__ = ["FoundOrigin", "OriginClient"]

# Members that get each record: one of them may fail together with the entry.
COPIES = 2
# Records of this time share a message. A stream whose entry fails earlier can be taken
# up only while a single version is possible.
RECORD_INTERVAL_MS = 50
CALL_TIMEOUT_MS = 250
# A member that has not replied is replaced by another one for this time.
AVOIDANCE_MS = 2_000
# After the first record the replies of the other members are awaited for this time:
# they may name another origin.
OTHER_REPLIES_MS = 20
# Bounds the records that wait while no member replies; the oldest are dropped.
MAX_PENDING = 4_096


@attrs.frozen
class FoundOrigin:
    """Result of a search for the origin of a stream.

    Attributes:
        origin: The origin; None if it is not certain.
        age_ms: Time since the stream began, if a record was found.
        detail: What the result is based on, or why there is none.
        may_be_found_later: Whether a later search may find it.
    """

    origin: StreamOrigin | None
    age_ms: int
    detail: str
    may_be_found_later: bool = False


@attrs.frozen
class _Begun:
    """A stream that has begun and is to be reported."""

    key: int
    origin: StreamOrigin
    began_ms: int


class OriginClient:
    """An entry's side of the records of stream origins.

    Args:
        clock: Clock.
        link: Link to the control members.
        members: Returns the control members, in this entry's order of preference.
    """

    def __init__(
        self, clock: Clock, link: PeerLink, members: Callable[[], Sequence[Address]]
    ):
        self.clock = clock
        self.link = link
        self.members = members
        self.pending: list[_Begun] = []
        self.requested = Signal()
        self.avoid_until_ms: dict[Address, int] = {}

    # Records

    async def record(self, keys: Sequence[int], origin: StreamOrigin) -> None:
        """Report soon that streams have begun; see ``stream_key``."""
        now_ms = self.clock.now_ms()
        self._add_pending([_Begun(key, origin, now_ms) for key in keys])
        await self.requested.notify()

    def _add_pending(self, begun: list[_Begun]) -> None:
        self.pending.extend(begun)
        dropped = len(self.pending) - MAX_PENDING
        if dropped > 0:
            del self.pending[:dropped]
            events.log(events.STREAM_RECORDS_DROPPED, dropped=dropped)

    async def run(self) -> None:
        """Send the records until cancelled."""
        while True:
            if not self.pending:
                await self.requested.wait()
            begun, self.pending = self.pending, []
            message = self._make_message(begun)
            members = self._reachable_members()[:COPIES]
            async with curio.TaskGroup() as group:
                for address in members:
                    await group.spawn(self._send, address, message)
            if not any(group.results):
                # No member has them.
                newer, self.pending = self.pending, begun
                self._add_pending(newer)
            await self.clock.sleep_ms(RECORD_INTERVAL_MS)

    def _make_message(self, begun: list[_Begun]) -> RecordOrigins:
        """Return the records, grouped so that each origin is named once."""
        now_ms = self.clock.now_ms()
        began_ms: dict[StreamOrigin, int] = {}
        keys_by_origin: dict[StreamOrigin, list[int]] = defaultdict(list)
        for each in begun:
            keys_by_origin[each.origin].append(each.key)
            began_ms[each.origin] = each.began_ms
        return RecordOrigins(
            tuple(
                StreamsBegun(origin, max(now_ms - began_ms[origin], 0), tuple(keys))
                for origin, keys in keys_by_origin.items()
            )
        )

    async def _send(self, address: Address, message: RecordOrigins) -> bool:
        """Send records to a member; return whether it has them."""
        try:
            reply = await self.link.call(address, message, CALL_TIMEOUT_MS)
        except PeerUnreachable as error:
            self.avoid_until_ms[address] = self.clock.now_ms() + AVOIDANCE_MS
            events.log(events.PEER_LOST, peer=str(address), detail=str(error))
            return False
        return isinstance(reply, RowsTaken)

    def _reachable_members(self) -> list[Address]:
        """Return the members, those that did not reply lately last."""
        now_ms = self.clock.now_ms()
        return sorted(
            self.members(), key=lambda a: max(self.avoid_until_ms.get(a, 0) - now_ms, 0)
        )

    # Searches

    async def find(self, key: int | None, services: Sequence[str]) -> FoundOrigin:
        """Return where a stream began.

        Without a record the origin is certain only if all targets that may have begun
        it have the same version.

        Args:
            key: Key of the request that began it; None if the caller does not name it.
            services: Services that the route of the take-up names.
        """
        members = list(self.members())
        question = FindOrigin(key or 0, services[0] if services else "")
        replies = await self._ask(members, question)
        origins = {
            found.origin: found.age_ms
            for reply in replies
            for found in reply.origins
            if key is not None
        }
        kinds = {(each.service, each.software_version) for each in origins}
        if len(kinds) > 1:
            return FoundOrigin(None, 0, f"it began at several versions: {kinds}")
        if origins:
            origin, age_ms = next(iter(origins.items()))
            return FoundOrigin(origin, age_ms, "record")
        missing = len(members) - len(replies)
        if missing >= COPIES or not replies:
            detail = f"{missing} of {len(members)} control members did not reply"
            return FoundOrigin(None, 0, detail, may_be_found_later=True)
        versions = set().union(*(reply.versions for reply in replies))
        if len(services) == 1 and len(versions) == 1 and "" not in versions:
            detail = self._memory_gap(replies, len(members))
            if detail:
                return FoundOrigin(None, 0, detail)
            origin = StreamOrigin(services[0], versions.pop(), "", 0)
            return FoundOrigin(origin, 0, "all targets had this version")
        detail = f"no record, and several versions are possible: {sorted(versions)}"
        return FoundOrigin(None, 0, detail)

    def _memory_gap(self, replies: Sequence[OriginFound], members: int) -> str:
        """Return why the replies may lack a version; empty if they name them all.

        As many members must have known the targets for long as have each record: one
        that was just started, or did not reply, may be the one that knew a version.
        """
        memories_ms = sorted(reply.memory_ms for reply in replies)
        informed = sum(ms >= ORIGIN_LIFETIME_MS for ms in memories_ms)
        if informed and members - informed < COPIES:
            return ""
        return (
            f"no record, and only {informed} of {members} members know more than the "
            f"last {memories_ms[0]} ms"
        )

    async def _ask(
        self, members: Sequence[Address], question: FindOrigin
    ) -> list[OriginFound]:
        """Return the replies of the members that answer in time."""
        replies: list[OriginFound] = []
        results = curio.Queue()
        ends_ms = self.clock.now_ms() + CALL_TIMEOUT_MS

        async def ask(address: Address) -> None:
            try:
                reply = await self.link.call(address, question, CALL_TIMEOUT_MS)
            except PeerUnreachable as error:
                events.log(events.PEER_LOST, peer=str(address), detail=str(error))
                reply = None
            await results.put(reply)

        tasks = [await curio.spawn(ask, address, daemon=True) for address in members]
        for _ in tasks:
            left_ms = ends_ms - self.clock.now_ms()
            if left_ms <= 0:
                break
            reply = await curio.ignore_after(left_ms / MS_PER_SECOND, results.get)
            if not isinstance(reply, OriginFound):
                continue
            replies.append(reply)
            if reply.origins:
                ends_ms = min(ends_ms, self.clock.now_ms() + OTHER_REPLIES_MS)
        return replies
