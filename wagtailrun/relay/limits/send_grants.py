"""Grants of requests to targets that limit what all VMs together send to them.

One entry, the owner of the service, grants the requests to a limited or brittle target:
shares of the bound that each entry used alone would be below one request for most of
the time.
"""

import itertools
import random
import secrets
from collections.abc import Callable, Iterable

import attrs
import curio

from wagtailrun.adapters.http_client import LEAST_URGENT
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.discovery.messages import UNKNOWN_AGE_MS, AgedLimit, TargetLimit
from wagtailrun.discovery.owners import Owners, ownership_key
from wagtailrun.discovery.target_limits import TargetLimits
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.logs import events
from wagtailrun.ports.link import PeerLink
from wagtailrun.relay.core.placement_messages import RequestGrant, SendGrant
from wagtailrun.relay.limits.brittle_slots import BrittleSlots
from wagtailrun.relay.limits.cold_grants import SOLE_OWNER, ColdGrants, ColdRoles
from wagtailrun.relay.limits.request_buckets import RequestBucket
from wagtailrun.relay.limits.return_queue import (
    MAX_RETURN_MS,
    TYPICAL_RETURN_MS,
    ReturnQueue,
)
from wagtailrun.targets.table import TargetRow

__all__ = [
    "MAX_RETURN_MS",
    "TYPICAL_RETURN_MS",
    "GrantClient",
    "SendGranter",
    "fallback_share",
]

# A target that takes fewer requests gets one at this interval, which finds out whether
# its limit has ended.
MIN_RATE_PER_S = 0.25
# Share of a limit that entries other than the owner grant, all data centres together.
# Some entries may still reach the owner.
FALLBACK_SHARE = 0.5
# Share of the slots of brittle targets that an owner grants which was cut off: its
# successor grants all of them.
CUT_OFF_SHARE = 0.1
# The owner replies within a few milliseconds.
CALL_TIMEOUT_MS = 150
# An owner that is out of touch with the control members is still the owner if another
# entry has asked it within this time, in which the others agree on a successor.
HEARD_MS = 2_000
# Entries that reach no other one ask again after this time.
UNREACHABLE_RETRY_MS = 300
MAX_BUCKETS = 4_096
# How often an entry looks whether the owner of a brittle target is another one, and how
# often it states its requests in progress there again.
REVIEW_INTERVAL_MS = 100
STATEMENT_INTERVAL_MS = 1_000
# A target notices within this time that the connection of a request was closed.
LINGER_MS = 300


@attrs.define(eq=False)
class _Held:
    """Requests of this entry at one target.

    Attributes:
        row: Target.
        numbers: Numbers of the requests in progress.
        asked: Numbers of the requests that wait for a grant.
        ended_ms_by_number: When requests in progress end at the target.
        owner: Name and incarnation of the entry that was told last; None if none was.
        told_ms: When that was.
        rejected: Whether the target turned a request away that was not reported.
        is_reporting: Whether a report to the owner is on its way.
    """

    row: TargetRow
    numbers: set[int] = attrs.field(factory=set)
    asked: set[int] = attrs.field(factory=set)
    ended_ms_by_number: dict[int, int] = attrs.field(factory=dict)
    owner: tuple[str, int] | None = None
    told_ms: int = 0
    rejected: bool = False
    is_reporting: bool = False


class SendGranter:
    """Grants requests to limited and brittle targets; the owner's side.

    Args:
        clock: Clock.
        limits: Limits of the targets.
        share: Returns the share of the limits of a service that this process grants.
        seed: Seed of the times at which requests return that were denied.
        is_out_of_touch: Returns whether other entries may have another owner, as no
            control member replies here.
        roles: Tells whether this process may grant all requests to cold targets.
    """

    def __init__(
        self,
        clock: Clock,
        limits: TargetLimits,
        share: Callable[[str], float] = lambda service: 1.0,
        seed: int | None = None,
        is_out_of_touch: Callable[[], bool] = lambda: False,
        roles: ColdRoles = SOLE_OWNER,
    ):
        self.clock = clock
        self.limits = limits
        self.share = share
        self.is_out_of_touch = is_out_of_touch
        # When another entry last asked.
        self.heard_ms = clock.now_ms()
        self.random = random.Random(seed)
        self.buckets_by_target: dict[str, RequestBucket] = {}
        self.cold = ColdGrants(clock, limits, self.random, roles)
        self.slots = BrittleSlots(clock, limits, self.random)

    def slot_share(self, service: str) -> float:
        """Return the share of the slots of a service's brittle targets to grant now.

        An owner that was cut off does not know the requests that its successor grants.
        """
        share = self.share(service)
        is_heard = self.clock.now_ms() - self.heard_ms < HEARD_MS
        if is_heard or not self.is_out_of_touch():
            return share
        return min(share, CUT_OFF_SHARE)

    def handle(self, message: RequestGrant, *, local: bool = False) -> SendGrant:
        """Return whether a request may be sent; a grant is used up at once.

        Args:
            message: The request, or what an entry states.
            local: Whether it is of this entry.
        """
        if not local:
            self.heard_ms = self.clock.now_ms()
            if message.entry and not message.is_report:
                self.cold.record_asked(message.entry)
        self.limits.merge([message.limit], local=True)
        grant = self.slots.handle(message, self.slot_share(message.service))
        if grant is not None and not grant.granted:
            return grant
        if message.is_report:
            return SendGrant(False, 0)
        grant = self._grant_rate(message)
        if not grant.granted:
            self.slots.withdraw(message)
        return grant

    def review(self, entries: Iterable[str]) -> None:
        """Notice services that this process now owns, and entries that are lost.

        Args:
            entries: Names of the live entries.
        """
        for service in list(self.slots.shares_by_service):
            self.slots.note_share(service, self.slot_share(service))
        self.cold.review()
        self.slots.note_entries(entries)

    def _grant_rate(self, message: RequestGrant) -> SendGrant:
        target = message.limit.limit.target
        bounds = self._bounds(message.service, target, message.incarnation)
        waits_ms = [
            bucket.denied_ms(rate_per_s, message.urgency, message.requests)
            for bucket, rate_per_s in bounds
        ]
        wait_ms = max(waits_ms, default=0)
        if not wait_ms:
            for bucket, _ in bounds:
                # The next requests wait longer after those of a stage call.
                bucket.tokens -= message.requests
            return SendGrant(True, 0)
        bucket, rate_per_s = bounds[waits_ms.index(wait_ms)]
        events.log(
            events.SEND_DENIED,
            service=message.service,
            target=target,
            urgency=message.urgency,
            per_second=rate_per_s,
            tokens=round(bucket.tokens, 2),
            reserved=bucket.tokens >= 1.0,
            wait_ms=wait_ms,
        )
        return SendGrant(False, wait_ms)

    def _bounds(
        self, service: str, target: str, incarnation: int
    ) -> list[tuple[RequestBucket, float]]:
        """Return the buckets of a target with the requests a second to grant here."""
        bounds = []
        rate_per_s = self._rate_per_s(service, target)
        if rate_per_s is not None:
            bounds.append((self._bucket(target, rate_per_s), rate_per_s))
        cold = self.cold.bucket(service, target, incarnation)
        if cold is not None:
            bounds.append(cold)
        return bounds

    def wait_ms(self, row: TargetRow) -> int:
        """Return when a further request to a target may be granted; 0 if now."""
        slot_ms = self.slots.wait_ms(row.name, row.incarnation)
        if self.limits.limit_per_s(row) is None:
            return slot_ms
        bounds = self._bounds(row.service, row.name, row.incarnation)
        waits_ms = [bucket.wait_ms(rate_per_s) for bucket, rate_per_s in bounds]
        return max(slot_ms, *waits_ms)

    def _rate_per_s(self, service: str, target: str) -> float | None:
        """Return the requests a second to grant here; None without a limit."""
        limit = self.limits.newest(target)
        if limit is None or not limit.is_limited:
            return None
        share = self.share(service)
        if share < 1.0:
            return limit.per_second * share
        return max(limit.per_second, MIN_RATE_PER_S)

    def _bucket(self, target: str, rate_per_s: float) -> RequestBucket:
        now_ms = self.clock.now_ms()
        bucket = self.buckets_by_target.get(target)
        if bucket is None:
            while len(self.buckets_by_target) >= MAX_BUCKETS:
                del self.buckets_by_target[next(iter(self.buckets_by_target))]
            bucket = self.buckets_by_target[target] = RequestBucket(
                now_ms, ReturnQueue(self.random)
            )
        bucket.refill(rate_per_s, now_ms)
        return bucket


class GrantClient:
    """Requests grants from the owner of a service.

    It also tells the owner the requests in progress here at brittle targets.

    Args:
        link: Link to other entries.
        name: Name of this entry.
        data_centre: Data centre of this entry.
        owners: Chooses the owner of a service.
        granter: Grants requests if this entry is the owner.
        limits: Bounds of the targets.
        slots: Returns the requests that a target can run at once.
        seed: Seed of the identity of this process; by default it is random.
    """

    def __init__(
        self,
        link: PeerLink,
        name: str,
        data_centre: str,
        owners: Owners,
        granter: SendGranter,
        limits: TargetLimits,
        slots: Callable[[TargetRow], int] = lambda row: row.capacity,
        seed: int | None = None,
    ):
        self.link = link
        self.name = name
        self.data_centre = data_centre
        self.owners = owners
        self.granter = granter
        self.limits = limits
        self.slots = slots
        self.clock = granter.clock
        # Another process of the same name may have requests in progress.
        mark = secrets.token_hex(4) if seed is None else f"{seed:x}"
        self.identity = f"{name} {mark}"
        self.numbers = itertools.count(1)
        self.held_by_target: dict[str, _Held] = {}
        # Set when requests at brittle targets have ended.
        self.ended = curio.Event()

    def begin(self, row: TargetRow) -> int:
        """Count a request to a target; return its number."""
        held = self.held_by_target.get(row.name)
        if held is None or held.row.incarnation != row.incarnation:
            # Requests at an earlier incarnation ended with it.
            held = self.held_by_target[row.name] = _Held(row)
        number = next(self.numbers)
        held.numbers.add(number)
        return number

    def withdraw(self, row: TargetRow, number: int) -> None:
        """Count a request no more that was not granted."""
        held = self.held_by_target.get(row.name)
        if held is not None:
            held.numbers.discard(number)
            self._drop_unused(held)

    async def end(self, row: TargetRow, number: int, *, completed: bool) -> None:
        """Count a request no more that has ended.

        Args:
            row: Target.
            number: Number of the request.
            completed: Whether its answer was read to the end. If not, the target may go
                on with it until it notices that the connection was closed.
        """
        held = self.held_by_target.get(row.name)
        if held is None or held.row.incarnation != row.incarnation:
            return
        if self.limits.max_rejections(row) is None:
            self.withdraw(row, number)
            return
        linger_ms = 0 if completed else LINGER_MS
        held.ended_ms_by_number[number] = self.clock.now_ms() + linger_ms
        await self.ended.set()

    async def record_rejection(self, row: TargetRow) -> None:
        """Tell the owner of a brittle target that it turned a request away."""
        held = self.held_by_target.setdefault(row.name, _Held(row))
        held.rejected = True
        await self.ended.set()

    async def run(self) -> None:
        """Keep the owners informed of the requests in progress at brittle targets."""
        while True:
            await curio.ignore_after(
                REVIEW_INTERVAL_MS / MS_PER_SECOND, self.ended.wait
            )
            self.ended.clear()
            live = self.owners.entries()
            self.granter.review([row.name for row in live])
            for held in list(self.held_by_target.values()):
                if self.limits.max_rejections(held.row) is None:
                    # No longer brittle; nobody counts its requests.
                    held.owner, held.rejected = None, False
                    self._drop_ended(held)
                    self._drop_unused(held)
                elif self._is_report_due(held):
                    held.is_reporting = True
                    await curio.spawn(self._report, held, daemon=True)

    def _drop_ended(self, held: "_Held") -> bool:
        """Drop the requests that have ended; return whether there were any."""
        now_ms = self.clock.now_ms()
        ended = [n for n, ms in held.ended_ms_by_number.items() if ms <= now_ms]
        for number in ended:
            del held.ended_ms_by_number[number]
            held.numbers.discard(number)
        return bool(ended)

    def _is_report_due(self, held: "_Held") -> bool:
        if held.is_reporting:
            return False
        if self._drop_ended(held):
            return True
        owner = self.owners.owner(ownership_key(held.row.service))
        is_known = owner is not None and owner.process == held.owner
        age_ms = self.clock.now_ms() - held.told_ms
        return held.rejected or not is_known or age_ms >= STATEMENT_INTERVAL_MS

    async def _report(self, held: "_Held") -> None:
        """State the requests in progress at a target to the owner of its service."""
        try:
            message = self._message(held.row, LEAST_URGENT, next(self.numbers))
            if message is not None:
                message = attrs.evolve(message, is_report=True)
                await self._ask(held.row, message)
        finally:
            held.is_reporting = False
            self._drop_unused(held)

    def _drop_unused(self, held: "_Held") -> None:
        known = self.held_by_target.get(held.row.name)
        is_used = held.numbers or held.asked or held.rejected or held.is_reporting
        if known is held and not is_used:
            del self.held_by_target[held.row.name]

    async def request(
        self, row: TargetRow, urgency: int, number: int = 0, requests: int = 1
    ) -> SendGrant:
        """Return whether a request may be sent now to a target that names a bound.

        If the owner of the service does not reply, an entry of this data centre decides
        about a small share of the bound.

        Args:
            row: Target.
            urgency: Rank of the request, 0 to 9; 0 goes first.
            number: Number of the request; 0 if it takes no slot of the target.
            requests: Requests that it counts as: the pieces of a stage call.
        """
        message = self._message(row, urgency, number, requests)
        if message is None:
            return SendGrant(True, 0)
        held = self.held_by_target.get(row.name)
        if not number or held is None:
            return await self._ask(row, message)
        held.numbers.discard(number)
        held.asked.add(number)
        try:
            grant = await self._ask(row, message)
            if grant.granted:
                held.numbers.add(number)
        finally:
            held.asked.discard(number)
        return grant

    def _message(
        self, row: TargetRow, urgency: int, number: int, requests: int = 1
    ) -> RequestGrant | None:
        """Return a message about a target; None if nothing is known of its bounds."""
        if self.limits.newest(row.name) is not None:
            (limit,) = self.limits.rows([row.name])
        elif self.limits.limit_per_s(row) is not None:
            # It is cold, as it has just started, and has said nothing.
            nothing = TargetLimit(row.name, row.incarnation, False, 0.0)
            limit = AgedLimit(nothing, UNKNOWN_AGE_MS)
        else:
            return None
        held = self.held_by_target.get(row.name)
        held = held or _Held(row)
        return RequestGrant(
            limit,
            row.service,
            urgency,
            self.identity if number else "",
            number,
            tuple(held.numbers - {number}),
            tuple(held.asked - {number}),
            max(self.slots(row), 1),
            rejected=held.rejected,
            incarnation=row.incarnation,
            requests=requests,
        )

    async def _ask(self, row: TargetRow, message: RequestGrant) -> SendGrant:
        key = ownership_key(row.service)
        owner = self.owners.owner(key)
        for _ in range(2):
            peer = self.owners.unless_own(owner, self.name)
            if peer is None:
                self._record_told(row, owner, message)
                return self.granter.handle(message, local=True)
            try:
                grant = await self.link.call(peer.address, message, CALL_TIMEOUT_MS)
            except PeerUnreachable as error:
                if not error.alive:
                    self.owners.exclude(peer, str(error))
            else:
                if isinstance(grant, SendGrant):
                    self._record_told(row, peer, message)
                    return grant
            owner = self.owners.owner(key, (peer.name,), self.data_centre)
        return SendGrant(False, UNREACHABLE_RETRY_MS)

    def _record_told(
        self, row: TargetRow, owner: EntryRow | None, message: RequestGrant
    ) -> None:
        held = self.held_by_target.get(row.name)
        if held is not None and message.entry:
            held.owner = None if owner is None else owner.process
            held.told_ms = self.clock.now_ms()
            held.rejected = held.rejected and not message.rejected


def fallback_share(data_centres: int) -> float:
    """Return the share of a limit that an entry grants that is not the owner."""
    return FALLBACK_SHARE / max(data_centres, 1)
