"""Reports where streams began to control members, and asks them at a take-up."""

from collections import defaultdict, deque
from collections.abc import Sequence
from typing import Any

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, Clock, drop_expired
from wagtailrun.consensus.state import Signal
from wagtailrun.discovery.messages import (
    FindOrigin,
    OriginFound,
    RecordOrigins,
    RowsTaken,
    StreamOrigin,
    StreamsBegun,
    TargetIncarnation,
)
from wagtailrun.discovery.stream_origins import ORIGIN_LIFETIME_MS
from wagtailrun.discovery.view import FleetView
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.process.late_tasks import LATE_WAIT_MS
from wagtailrun.process.shortages import SHORTAGE_PAUSE_MS

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
# How often an entry checks whether the streams that began without a record need one.
# Those of entries that fail sooner after a new version came are refused.
UNRECORDED_CHECK_MS = 250
# Bounds the streams of a version without a record; 18 a second are 1,600 in 90 s. The
# oldest beyond it are reported.
MAX_UNRECORDED = 4_096


@attrs.frozen
class FoundOrigin:
    """Result of a search for the origin of a stream.

    Attributes:
        origin: The origin; None if it is not certain.
        age_ms: Time since the stream began, if a record was found.
        detail: What the result is based on, or why there is none.
        may_be_found_later: Whether a later search may find it.
        replies: Number of control members that replied.
    """

    origin: StreamOrigin | None
    age_ms: int
    detail: str
    may_be_found_later: bool = False
    replies: int = 0


@attrs.frozen
class _Begun:
    """A stream that has begun and is to be reported."""

    key: int
    origin: StreamOrigin
    began_ms: int


class OriginClient:
    """An entry's side of the records of stream origins.

    While targets of one version serve, members need no records: they answer a take-up
    by the versions that they know. This entry then remembers the streams, and reports
    them once there may be another version.

    Args:
        clock: Clock.
        link: Link to the control members.
        view: This entry's view of the fleet.
    """

    def __init__(self, clock: Clock, link: PeerLink, view: FleetView):
        self.clock = clock
        self.link = link
        self.view = view
        self.pending: list[_Begun] = []
        # Streams that need no record so far, by service and version, oldest first.
        self.unrecorded_by_kind: dict[tuple[str, str], deque[_Begun]] = {}
        self.requested = Signal()
        self.avoid_until_ms: dict[Address, int] = {}

    # Records

    async def record(self, keys: Sequence[int], origin: StreamOrigin) -> None:
        """Report that streams have begun, soon or once members need it.

        Args:
            keys: Keys of the requests that began them, see ``stream_key``.
            origin: Where they began.
        """
        now_ms = self.clock.now_ms()
        begun = [_Begun(key, origin, now_ms) for key in keys]
        if self.view.versions.needs_record(origin):
            self._add_pending(begun)
        else:
            kind = (origin.service, origin.software_version)
            self.unrecorded_by_kind.setdefault(kind, deque()).extend(begun)
        await self.requested.notify()

    def _check_unrecorded(self) -> None:
        """Forget streams that have ended, and report those that now need a record."""
        oldest_ms = self.clock.now_ms() - ORIGIN_LIFETIME_MS
        for kind, streams in list(self.unrecorded_by_kind.items()):
            while streams and streams[0].began_ms <= oldest_ms:
                streams.popleft()
            service, software_version = kind
            is_due = self.view.versions.single_version(service) != software_version
            due = len(streams) if is_due else len(streams) - MAX_UNRECORDED
            self._add_pending([streams.popleft() for _ in range(due)])
            if not streams:
                del self.unrecorded_by_kind[kind]

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
                await self._await_streams()
                self._check_unrecorded()
                continue
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

    async def _await_streams(self) -> None:
        if self.unrecorded_by_kind:
            limit_s = UNRECORDED_CHECK_MS / MS_PER_SECOND
            await curio.ignore_after(limit_s, self.requested.wait)
        else:
            await self.requested.wait()

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
            if error.shortage:
                return False
            now_ms = self.clock.now_ms()
            drop_expired(self.avoid_until_ms, now_ms)
            self.avoid_until_ms[address] = now_ms + AVOIDANCE_MS
            events.log(events.PEER_LOST, peer=str(address), detail=str(error))
            return False
        return isinstance(reply, RowsTaken)

    def _reachable_members(self) -> list[Address]:
        """Return the members, those that did not reply lately last."""
        now_ms = self.clock.now_ms()
        return sorted(
            self.view.ranked_members(),
            key=lambda a: max(self.avoid_until_ms.get(a, 0) - now_ms, 0),
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
        members = self.view.ranked_members()
        question = FindOrigin(key or 0, services[0] if services else "")
        replies = await self._ask(members, question)
        found = self._conclude(key, services, len(members), replies)
        return attrs.evolve(found, replies=len(replies))

    def _conclude(
        self,
        key: int | None,
        services: Sequence[str],
        members: int,
        replies: Sequence[OriginFound],
    ) -> FoundOrigin:
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
        missing = members - len(replies)
        if missing >= COPIES or not replies:
            detail = f"{missing} of {members} control members did not reply"
            return FoundOrigin(None, 0, detail, may_be_found_later=True)
        versions = set().union(*(reply.versions for reply in replies))
        if len(services) == 1 and len(versions) == 1 and "" not in versions:
            detail = self._memory_gap(replies, members)
            if detail:
                return FoundOrigin(None, 0, detail)
            origin = StreamOrigin(services[0], versions.pop(), "", 0)
            return FoundOrigin(origin, 0, "all targets had this version")
        detail = f"no record, and several versions are possible: {sorted(versions)}"
        return FoundOrigin(None, 0, detail)

    async def find_incarnations(
        self, names: Sequence[str]
    ) -> dict[str, TargetIncarnation] | None:
        """Return the newest incarnations of targets that control members know.

        Returns:
            None if too few members replied to rule out a newer one that all of them
            know by now. Members of an earlier build reply, and name none.
        """
        members = self.view.ranked_members()
        if not members:
            # Nobody whom targets report to is known, so nobody knows newer ones.
            return {}
        question = FindOrigin(0, "", tuple(names))
        replies = await self._ask(members, question, len(members) - COPIES + 1)
        if len(members) - len(replies) >= COPIES or not replies:
            return None
        newest_by_name: dict[str, TargetIncarnation] = {}
        for each in (target for reply in replies for target in reply.targets):
            known = newest_by_name.get(each.name, each)
            if each.incarnation >= known.incarnation:
                newest_by_name[each.name] = each
        return newest_by_name

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
        self,
        members: Sequence[Address],
        question: FindOrigin,
        sufficient: int | None = None,
    ) -> list[OriginFound]:
        """Return the replies of the members that answer in time.

        Args:
            members: Members to ask.
            question: The question.
            sufficient: Number of replies after which others are awaited for a moment
                only; by default after the first one with a record.
        """
        replies: list[OriginFound] = []
        results = curio.Queue()

        async def ask(address: Address) -> None:
            await results.put(await self._ask_member(address, question))

        for address in members:
            await curio.spawn(ask, address, daemon=True)
        ends_ms = None
        for _ in members:
            reply = await self._next_reply(results, ends_ms)
            if reply is None:
                break
            if not isinstance(reply, OriginFound):
                continue
            replies.append(reply)
            is_enough = reply.origins or len(replies) == sufficient
            if is_enough and ends_ms is None:
                ends_ms = self.clock.now_ms() + OTHER_REPLIES_MS
        return replies

    async def _ask_member(self, address: Address, question: FindOrigin) -> Any:
        """Return the reply of a member, or the error if it did not reply in time.

        The time limit begins with the first turn of the task: a standstill of this
        process before that is no silence of the member.
        """
        ends_ms = self.clock.now_ms() + CALL_TIMEOUT_MS
        while True:
            left_ms = max(ends_ms - self.clock.now_ms(), 1)
            try:
                return await self.link.call(address, question, left_ms)
            except PeerUnreachable as error:
                if not error.shortage:
                    events.log(events.PEER_LOST, peer=str(address), detail=str(error))
                    return error
                if self.clock.now_ms() + SHORTAGE_PAUSE_MS >= ends_ms:
                    return error
                await self.clock.sleep_ms(SHORTAGE_PAUSE_MS)

    async def _next_reply(self, results: curio.Queue, ends_ms: int | None) -> Any:
        """Return the next result of ``_ask_member``.

        After a standstill the event loop handles the time limit before replies that
        have arrived, which get another moment.

        Args:
            results: Results of the members that were asked.
            ends_ms: Time limit, on the clock; None to wait until a member was asked.

        Returns:
            None at the time limit.
        """
        if ends_ms is None:
            return await results.get()
        left_ms = max(ends_ms - self.clock.now_ms(), LATE_WAIT_MS)
        for limit_ms in (left_ms, LATE_WAIT_MS):
            limit_s = limit_ms / MS_PER_SECOND
            result = await curio.ignore_after(limit_s, results.get)
            if result is not None:
                return result
        return None
