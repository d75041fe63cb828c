"""Keeps targets in use that answer but have ceased to announce themselves."""

import math
import random

import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import ConnectShortage
from wagtailrun.logs import events
from wagtailrun.serving.path_probes import Probe, responds_to
from wagtailrun.targets.paths import PathObservations
from wagtailrun.targets.table import Membership, TargetRow

__all__ = ["UnannouncedServices"]

# How long an answer shows that the targets of a service work. It bounds the requests to
# targets that were all lost, and covers a few probes.
ANSWER_VALIDITY_MS = 5_000
# A target of a service without a request for this time is probed. The time doubles with
# each probe that fails.
PROBE_INTERVAL_MS = MS_PER_SECOND
MAX_DOUBLINGS = 4


class UnannouncedServices:
    """Finds the last known targets of services that nobody announces any more.

    If the announcements of all targets of a service end at once, the way of the
    announcements is more likely to be lost than all targets. While any of them answers
    this entry, requests or probes, the last known ones stay in use.

    Args:
        clock: Clock.
        paths: What was observed of the paths to targets.
        membership: Known targets.
        probe: Returns whether a target responds on a new connection; without it, only
            requests show that.
        seed: Seed of the choice of targets to probe.
    """

    def __init__(
        self,
        clock: Clock,
        paths: PathObservations,
        membership: Membership,
        probe: Probe | None,
        seed: int | None = None,
    ):
        self.clock = clock
        self.paths = paths
        self.membership = membership
        self.probe = probe
        self.random = random.Random(seed)
        # Services whose targets are probed, and those of them that are in use.
        self.watched: set[str] = set()
        self.in_use: set[str] = set()

    async def watch(self, service: str) -> None:
        """Probe targets of a service without announcements, until there are some."""
        if service in self.watched or not self.membership.last_known(service):
            return
        self.watched.add(service)
        await curio.spawn(self._watch, service, daemon=True)

    def targets(self, service: str) -> list[TargetRow]:
        """Return the last known targets of a service, if they answer."""
        rows = self.membership.last_known(service)
        if not rows or self._idle_ms(service) > ANSWER_VALIDITY_MS:
            return []
        if service not in self.in_use:
            self.in_use.add(service)
            names = [row.name for row in rows]
            events.log(events.TARGETS_UNANNOUNCED, service=service, targets=names)
        return rows

    async def _watch(self, service: str) -> None:
        failures = 0
        try:
            while self._is_unannounced(service):
                if self._idle_ms(service) >= PROBE_INTERVAL_MS:
                    await self._probe(service)
                is_answered = self._idle_ms(service) < PROBE_INTERVAL_MS
                failures = 0 if is_answered else min(failures + 1, MAX_DOUBLINGS)
                wait_ms = PROBE_INTERVAL_MS << failures
                await self.clock.sleep_ms(self.random.randint(wait_ms // 2, wait_ms))
        finally:
            self.watched.discard(service)
            if service in self.in_use:
                self.in_use.discard(service)
                events.log(events.TARGETS_ANNOUNCED, service=service)

    def _idle_ms(self, service: str) -> float:
        """Return the time since a target of a service last answered."""
        answered_ms = self.paths.answered_ms_by_service.get(service, -math.inf)
        return self.clock.now_ms() - answered_ms

    def _is_unannounced(self, service: str) -> bool:
        membership = self.membership
        if membership.candidates(service, self.clock.now_ms()):
            return False
        return bool(membership.last_known(service))

    async def _probe(self, service: str) -> None:
        if self.probe is None:
            return
        row = self.random.choice(self.membership.last_known(service))
        started_ms = self.clock.now_ms()
        try:
            responds = await responds_to(self.probe, row.address)
        except ConnectShortage:
            # It says nothing about the target; the next probe may.
            return
        if responds:
            self.paths.record_answer(row, started_ms)
