"""Requests in progress at brittle targets: no more than find room there.

A brittle target ends when it turns away more than a number of requests in a second, of
all entries together. The owner of the service counts the requests that all entries have
in progress there, so that none has to wait at the target, whatever room is left in its
queue.
"""

import random
from collections.abc import Iterable

import attrs

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.discovery.target_limits import HARMLESS_REJECTIONS_PER_S, TargetLimits
from wagtailrun.logs import events
from wagtailrun.relay.core.placement_messages import RequestGrant, SendGrant
from wagtailrun.relay.limits.return_queue import ReturnQueue

__all__ = ["BrittleSlots"]

# A target turns a request away at once. One that was sent this long ago was accepted.
SETTLED_MS = 60
# All entries state their requests in progress to a new owner within this time.
GATHER_MS = 400
# An entry that is not the owner knows the requests of a part of the entries only. An
# owner that is gone has a successor within this time.
STAND_IN_MS = 3_000
# A stand-in that is not asked for this long begins anew when it is asked again.
STAND_IN_IDLE_MS = 1_500
# An entry that is lost may be cut off only, and send requests that the owner does not
# know, for this long or until the owner counts them again.
CAREFUL_MS = 20_000
# Entries state their requests in progress each second. Those of an entry that does not
# are forgotten after this time.
STATEMENT_LIFETIME_MS = 5_000
# Rejections are counted over a second; one that is still on its way counts, too.
REJECTION_PAUSE_MS = 1_200
# How often the room of a target that turned a request away is raised again, and by
# which share.
RAISE_INTERVAL_MS = 1_000
RAISE_SHARE = 0.25
# The most requests that were in progress at once, all accepted, is known for this long.
PROVEN_MS = 5_000
# Weight of the newest request in the average time that requests take, and its start.
HOLD_WEIGHT = 0.2
FIRST_HOLD_MS = 100.0
# Entries whose requests were denied return, one after the other, this much more often
# than requests end, so that no slot is idle.
RETURN_RATE = 1.5
MIN_RETURN_MS = 5
MAX_TARGETS = 4_096


@attrs.define
class _Statement:
    """Requests of one entry in progress at one target.

    Attributes:
        number: Number of the newest message about them.
        at_ms: When it arrived.
        since_ms_by_number: When each request was granted or first stated.
    """

    number: int = 0
    at_ms: int = 0
    since_ms_by_number: dict[int, int] = attrs.field(factory=dict)


@attrs.define
class _Target:
    """State of one brittle target.

    Attributes:
        service: Its service.
        incarnation: Its incarnation.
        asked_ms: When the newest message about it arrived.
        began_ms: Since when this process has counted its requests.
        room: Requests that may be in progress at once.
        changed_ms: When ``room`` was changed.
        pause_until_ms: End of the pause after a rejection.
        proven: Most requests that were in progress at once and accepted.
        proven_ms: When that was.
        hold_ms: Average time that requests take.
        returns: When entries return whose requests were denied.
        statements_by_entry: Requests in progress, by their entries.
    """

    service: str
    incarnation: int
    began_ms: int
    room: int
    returns: ReturnQueue
    asked_ms: int = 0
    changed_ms: int = 0
    pause_until_ms: int = 0
    proven: int = 0
    proven_ms: int = 0
    hold_ms: float = FIRST_HOLD_MS
    statements_by_entry: dict[str, _Statement] = attrs.field(factory=dict)

    def apply(self, message: RequestGrant, now_ms: int) -> None:
        """Apply what an entry states about its requests in progress."""
        known = self.statements_by_entry.setdefault(message.entry, _Statement())
        # The request that is asked for was perhaps named by a later message.
        known.since_ms_by_number.pop(message.number, None)
        if message.number <= known.number:
            return
        known.number, known.at_ms = message.number, now_ms
        # The entry may not have got the reply to a request that was granted.
        kept = {*message.held, *message.asked}
        for number, since_ms in list(known.since_ms_by_number.items()):
            if number < message.number and number not in kept:
                del known.since_ms_by_number[number]
                self.hold_ms += HOLD_WEIGHT * (now_ms - since_ms - self.hold_ms)
        for number in message.held:
            known.since_ms_by_number.setdefault(number, now_ms)

    def grant(self, message: RequestGrant, now_ms: int) -> None:
        """Count a request that is granted."""
        statement = self.statements_by_entry[message.entry]
        statement.since_ms_by_number[message.number] = now_ms

    def review(self, slots: int, now_ms: int) -> None:
        """Forget entries that are gone, and raise the room after a rejection."""
        for entry, statement in list(self.statements_by_entry.items()):
            if now_ms - statement.at_ms > STATEMENT_LIFETIME_MS:
                del self.statements_by_entry[entry]
        settled = self.count(now_ms - SETTLED_MS)
        if settled >= self.proven or now_ms - self.proven_ms > PROVEN_MS:
            self.proven, self.proven_ms = settled, now_ms
        if self.room < slots and now_ms - self.changed_ms >= RAISE_INTERVAL_MS:
            self.room += max(int(self.room * RAISE_SHARE), 1)
            self.changed_ms = now_ms
        self.room = min(self.room, slots)

    def record_rejection(self, now_ms: int) -> None:
        """Pause, and lower the room to what the target has accepted."""
        settled = self.count(now_ms - SETTLED_MS)
        self.room = max(min(self.room, settled), 1)
        self.proven = min(self.proven, settled)
        self.changed_ms = self.pause_until_ms = now_ms + REJECTION_PAUSE_MS
        # Those in the pause are void.
        self.returns.forget_askers()

    def count(self, until_ms: int) -> int:
        """Return the requests in progress that began until ``until_ms``."""
        return sum(
            since_ms <= until_ms
            for statement in self.statements_by_entry.values()
            for since_ms in statement.since_ms_by_number.values()
        )


class BrittleSlots:
    """Grants requests to brittle targets; the owner's side.

    Args:
        clock: Clock.
        limits: What the targets say about themselves.
        generator: Draws the returns of denied requests.
    """

    def __init__(self, clock: Clock, limits: TargetLimits, generator: random.Random):
        self.clock = clock
        self.limits = limits
        self.random = generator
        self.targets_by_name: dict[str, _Target] = {}
        # Share of the bounds of a service that this process granted last.
        self.shares_by_service: dict[str, float] = {}
        # Names of the live entries, and until when one that was lost may send requests.
        self.live_entries: frozenset[str] = frozenset()
        self.careful_until_ms = 0

    def handle(self, message: RequestGrant, share: float) -> SendGrant | None:
        """Return whether a request may be sent to a brittle target.

        Args:
            message: The request, or what an entry states.
            share: Share of the target's bounds that this process may grant.

        Returns:
            None if the target is not brittle.
        """
        row = self.limits.newest(message.limit.limit.target)
        bound = row.brittle_bound if row is not None else None
        if row is None or bound is None or not message.entry:
            return None
        if bound >= HARMLESS_REJECTIONS_PER_S:
            return None
        self.note_share(message.service, share)
        now_ms = self.clock.now_ms()
        target = self._target(message)
        if share < 1.0 and now_ms - target.asked_ms > STAND_IN_IDLE_MS:
            target.began_ms = now_ms
        target.asked_ms = now_ms
        target.apply(message, now_ms)
        target.review(message.slots, now_ms)
        if message.rejected:
            target.record_rejection(now_ms)
            events.log(
                events.BRITTLE_TARGET_REJECTED,
                service=message.service,
                target=row.target,
                max_rejections=bound,
                in_progress=target.count(now_ms),
                room=target.room,
            )
        if message.is_report:
            return SendGrant(False, 0)
        wait_ms = self._wait_ms(target, message, bound, share)
        if not wait_ms:
            target.grant(message, now_ms)
            return SendGrant(True, 0)
        events.log(
            events.SLOT_DENIED,
            service=message.service,
            target=row.target,
            urgency=message.urgency,
            max_rejections=bound,
            in_progress=target.count(now_ms),
            room=target.room,
            paused_ms=max(target.pause_until_ms - now_ms, 0),
            wait_ms=wait_ms,
        )
        return SendGrant(False, wait_ms)

    def withdraw(self, message: RequestGrant) -> None:
        """Count a request no more that was granted here and is denied elsewhere."""
        target = self.targets_by_name.get(message.limit.limit.target)
        if target is not None and message.entry in target.statements_by_entry:
            statement = target.statements_by_entry[message.entry]
            statement.since_ms_by_number.pop(message.number, None)

    def wait_ms(self, name: str, incarnation: int) -> int:
        """Return when a further request to a target may be granted; 0 if now."""
        target = self.targets_by_name.get(name)
        row = self.limits.newest(name)
        if target is None or row is None or row.brittle_bound is None:
            return 0
        if target.incarnation != incarnation:
            return 0
        now_ms = self.clock.now_ms()
        paused_ms = target.pause_until_ms - now_ms
        if paused_ms <= 0 and target.count(now_ms) < target.room:
            return 0
        return max(paused_ms, self._interval_ms(target))

    def note_share(self, service: str, share: float) -> None:
        """Count anew if this process has become the owner of a service, or is not."""
        before = self.shares_by_service.get(service, share)
        self.shares_by_service[service] = share
        if (before < 1.0) != (share < 1.0):
            for target in self.targets_by_name.values():
                if target.service == service:
                    target.began_ms = self.clock.now_ms()

    def note_entries(self, names: Iterable[str]) -> None:
        """Be careful for a while if an entry is no longer live."""
        live = frozenset(names)
        if self.live_entries - live:
            self.careful_until_ms = self.clock.now_ms() + CAREFUL_MS
        self.live_entries = live

    def _target(self, message: RequestGrant) -> _Target:
        name = message.limit.limit.target
        target = self.targets_by_name.get(name)
        if target is None or target.incarnation < message.incarnation:
            while len(self.targets_by_name) >= MAX_TARGETS:
                del self.targets_by_name[next(iter(self.targets_by_name))]
            now_ms = self.clock.now_ms()
            returns = ReturnQueue(self.random)
            target = _Target(
                message.service,
                message.incarnation,
                now_ms,
                message.slots,
                returns,
            )
            self.targets_by_name[name] = target
        return target

    def _wait_ms(
        self, target: _Target, message: RequestGrant, bound: float, share: float
    ) -> int:
        """Return when a request may be granted, in milliseconds; 0 if now."""
        now_ms = self.clock.now_ms()
        paused_ms = max(target.pause_until_ms - now_ms, 0)
        room = target.room if share >= 1.0 else max(int(target.room * share), 1)
        in_progress = target.count(now_ms)
        # More urgent requests that were denied come first.
        reserved = target.returns.last_return_ms(message.urgency - 1) > now_ms
        if paused_ms or in_progress + reserved >= room:
            interval_ms = self._interval_ms(target)
            first_ms = max(paused_ms, interval_ms)
            return self._return_ms(target, message, first_ms, interval_ms)
        is_complete = self._is_complete(target, share)
        is_careful = (
            bound < 1.0 or now_ms < self.careful_until_ms or target.room < message.slots
        )
        if is_complete and not is_careful:
            return 0
        undecided = in_progress - target.count(now_ms - SETTLED_MS)
        at_once = max(int(bound * share), int(is_complete))
        # Other processes may have granted the room that this one saw in use.
        accepted = target.proven if is_complete else 0
        if in_progress < accepted or undecided < at_once:
            return 0
        interval_ms = SETTLED_MS // max(at_once, 1)
        return self._return_ms(target, message, interval_ms, interval_ms)

    def _return_ms(
        self, target: _Target, message: RequestGrant, first_ms: int, interval_ms: int
    ) -> int:
        """Return when the entry of a denied request may ask again."""
        now_ms = self.clock.now_ms()
        return target.returns.add_asker(
            message.entry, message.urgency, now_ms, first_ms, interval_ms
        )

    def _is_complete(self, target: _Target, share: float) -> bool:
        """Return whether all entries have stated their requests in progress."""
        gather_ms = GATHER_MS if share >= 1.0 else STAND_IN_MS
        return self.clock.now_ms() - target.began_ms >= gather_ms

    @staticmethod
    def _interval_ms(target: _Target) -> int:
        """Return the time between two requests that find room."""
        interval_ms = target.hold_ms / max(target.room, 1) / RETURN_RATE
        return int(min(max(interval_ms, MIN_RETURN_MS), MS_PER_SECOND))
