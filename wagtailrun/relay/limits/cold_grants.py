"""Requests to cold targets that this process may grant.

A cold target that gets too many requests fails, so that no two processes may grant its
bound at the same time, also while they are cut off from each other.
"""

import random
from collections.abc import Callable, Iterable

import attrs

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.discovery.target_limits import TargetLimits
from wagtailrun.relay.limits.request_buckets import RequestBucket
from wagtailrun.relay.limits.return_queue import TYPICAL_RETURN_MS, ReturnQueue

__all__ = ["LEASE_MS", "MOST_PIECES", "SOLE_OWNER", "ColdGrants", "ColdRoles"]

# An owner grants the whole bound while its last confirmed poll is younger than this.
# Control members name another owner 2 s after its last poll at the earliest.
LEASE_MS = 1_500
# Share of the bound that all processes grant together that are not the owner, each in
# proportion to the entries that ask it.
STAND_IN_SHARE = 0.2
# An entry counts among those that ask for this long.
ASKED_MS = 2_000
# Less than for limits: the bound holds for each second.
BURST_S = 0.05
# Time in which a request of a stand-in is used, or lost.
LAPSE_S = 0.25
# A stage call of more pieces could break the bound alone: as many, and at an owner
# those of this time.
MOST_PIECES = 4
MORE_PIECES_S = 0.25
MAX_BUCKETS = 4_096
MIN_RETURN_MS = 250


@attrs.frozen
class ColdRoles:
    """What tells whether this process is the owner of a service.

    Attributes:
        is_owner: Returns whether the entries of the last news name this process as the
            owner of a service.
        confirmation_age_ms: Returns the age of the last confirmed poll; negative before
            the first.
        entries: Returns the number of live entries.
        services: Returns the services with a bound for cold targets.
    """

    is_owner: Callable[[str], bool] = lambda service: True
    confirmation_age_ms: Callable[[], int] = lambda: 0
    entries: Callable[[], int] = lambda: 1
    services: Callable[[], Iterable[str]] = lambda: ()


SOLE_OWNER = ColdRoles()


@attrs.define
class _Bucket:
    """Bucket of one target.

    Attributes:
        incarnation: Incarnation of the target.
        owned: Whether this process was the owner as it began.
        requests: The bucket.
    """

    incarnation: int
    owned: bool
    requests: RequestBucket


class ColdGrants:
    """Shares of the bounds of cold targets that this process may grant.

    Args:
        clock: Clock.
        limits: What is known of the targets.
        generator: Draws when a stand-in grants its first request.
        roles: Tells whether this process is the owner of a service.
    """

    def __init__(
        self,
        clock: Clock,
        limits: TargetLimits,
        generator: random.Random,
        roles: ColdRoles,
    ):
        self.clock = clock
        self.limits = limits
        self.random = generator
        self.roles = roles
        self.buckets_by_target: dict[str, _Bucket] = {}
        # When this process became the owner of a service with a lease.
        self.owner_since_ms_by_service: dict[str, int] = {}
        self.asked_ms_by_entry: dict[str, int] = {}
        self.most_entries = 1

    def record_asked(self, entry: str) -> None:
        """Record that another entry asked for a request."""
        now_ms = self.clock.now_ms()
        self.asked_ms_by_entry[entry] = now_ms
        for name, asked_ms in list(self.asked_ms_by_entry.items()):
            if now_ms - asked_ms >= ASKED_MS:
                del self.asked_ms_by_entry[name]

    def review(self) -> None:
        """Notice services that this process owns now, and others that it does not."""
        services = set(self.roles.services())
        for service in self.owner_since_ms_by_service.keys() - services:
            del self.owner_since_ms_by_service[service]
        for service in services:
            self.owns(service)
        self.most_entries = max(self.most_entries, self.roles.entries())
        self.limits.log_warm()

    def owns(self, service: str) -> bool:
        """Return whether this process grants the whole bounds of a service.

        It does so a while after it became the owner, when the one before has noticed
        that it is not, or its lease has ended.
        """
        now_ms = self.clock.now_ms()
        has_lease = 0 <= self.roles.confirmation_age_ms() < LEASE_MS
        if not (has_lease and self.roles.is_owner(service)):
            self.owner_since_ms_by_service.pop(service, None)
            return False
        since_ms = self.owner_since_ms_by_service.setdefault(service, now_ms)
        return self.roles.entries() == 1 or now_ms - since_ms >= LEASE_MS

    def bucket(
        self, service: str, target: str, incarnation: int
    ) -> tuple[RequestBucket, float] | None:
        """Return the bucket of a target that is or was cold, and its requests a second.

        Returns:
            None if the target has no such bound now.
        """
        bound = self.limits.cold_bound_per_s(service, target, incarnation)
        if bound is None:
            self.buckets_by_target.pop(target, None)
            return None
        owned = self.owns(service)
        rate_per_s = bound if owned else bound * self._stand_in_share()
        known = self.buckets_by_target.get(target)
        if known is None or (known.incarnation, known.owned) != (incarnation, owned):
            known = self._add_bucket(target, incarnation, owned, bound)
        # The bound grows after the end of the cold time, and falls when another begins.
        pieces = MOST_PIECES + MORE_PIECES_S * bound if owned else MOST_PIECES
        known.requests.most_at_once = pieces
        known.requests.refill(rate_per_s, self.clock.now_ms())
        return known.requests, rate_per_s

    def _stand_in_share(self) -> float:
        """Return the share of a bound that is granted here without a lease."""
        now_ms = self.clock.now_ms()
        asked = sum(
            now_ms - asked_ms < ASKED_MS for asked_ms in self.asked_ms_by_entry.values()
        )
        self.most_entries = max(self.most_entries, self.roles.entries())
        return STAND_IN_SHARE * min((1 + asked) / self.most_entries, 1.0)

    def _return_ms(self, bound: float) -> float:
        """Return the time within which denied requests return.

        Each entry asks for its requests one at a time, and all of them together twice
        as often as the bound allows, so that it is used.
        """
        interval_ms = self.most_entries * MS_PER_SECOND / bound / 2
        return min(max(interval_ms, MIN_RETURN_MS), TYPICAL_RETURN_MS)

    def _add_bucket(
        self, target: str, incarnation: int, owned: bool, bound: float
    ) -> _Bucket:
        while len(self.buckets_by_target) >= MAX_BUCKETS:
            del self.buckets_by_target[next(iter(self.buckets_by_target))]
        bucket = RequestBucket(
            self.clock.now_ms(),
            ReturnQueue(self.random, self._return_ms(bound)),
            # Processes that begin together grant their first requests one by one.
            tokens=0.0 if owned else self.random.random(),
            burst_s=BURST_S if owned else LAPSE_S,
            lapses=not owned,
        )
        known = self.buckets_by_target[target] = _Bucket(incarnation, owned, bucket)
        return known
