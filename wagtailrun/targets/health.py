"""What a process has observed of the health of targets."""

import math
from collections.abc import Collection
from typing import Generic, TypeVar

import attrs

from wagtailrun.clock import Clock
from wagtailrun.ports.target import TargetLoad
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.table import TargetRow

__all__ = ["HealthRules", "TargetHealth", "HealthState"]

# A load that an answer reported takes precedence over announced loads for this long,
# because announcements are sent once a second and arrive late.
ANSWER_LOAD_VALIDITY_MS = 1_000
# Weight of a new observation in the failure rate.
FAILURE_WEIGHT = 0.35
FAILURE_HALF_LIFE_MS = 3_000
# A target that failed may get a probe after this time; the time doubles with each probe
# that fails, up to the maximum. Each of them may cost a request its objective, and a
# token of the retry budget.
MIN_PROBE_INTERVAL_MS = 2_000
MAX_PROBE_INTERVAL_MS = 16_000
# A target that refuses connections is ejected for this long at first; the time doubles
# with each further refusal up to the maximum.
MIN_EJECTION_MS = 300
MAX_EJECTION_MS = 2_500


@attrs.frozen
class HealthRules:
    """Rules in which the two entries differ.

    Attributes:
        slowness_half_life_ms: Half-life of a measured slowness. Without one, one slow
            answer could exclude a target for ever.
        slowness_weight: Weight of a new measurement in the average.
        min_slowness: Lower bound of measurements.
        max_slowness: Upper bound of measurements.
        averages_decayed: Whether a measurement is averaged with the decayed slowness,
            not with the slowness after the previous measurement.
        load_lifetime_ms: The load reported with an answer counts less with age, and not
            at all after this time. None if announcements report loads, too: then each
            counts until the next, less own attempts that have ended since.
    """

    slowness_half_life_ms: int
    slowness_weight: float
    min_slowness: float
    max_slowness: float
    averages_decayed: bool
    load_lifetime_ms: int | None


@attrs.define
class HealthState:
    """Observations of one incarnation of a target.

    Attributes:
        incarnation: Incarnation of the target; a new one resets the state.
        in_flight: Own attempts in progress.
        reported: Requests at the target by its last load report.
        waiting: Those of them that were queued.
        slots: Requests that can run at once by that report; 0 without a report.
        load_updated_ms: When it arrived.
        load_answered_ms: When an answer last reported a load.
        answered_ms: When an answer last arrived, of whatever kind.
        announcement: Row whose announced load was read last.
        started_since_load: Own attempts since the report.
        failure_rate: Average of failures, 0 to 1, at ``failure_updated_ms``.
        unproven: Failures since which no probe has succeeded; those that came together
            count as one.
        failed_ms: When the newest attempt failed.
        probed_ms: When the newest probe was sent.
        is_probed: Whether that was after the newest failure.
        connect_failures: Number of consecutive attempts without a connection.
        ejected_until_ms: End of the ejection.
        slowness: Average time of attempts as a multiple of the usual time, at
            ``slowness_updated_ms``.
    """

    incarnation: int
    in_flight: int = 0
    reported: int = 0
    waiting: int = 0
    slots: int = 0
    load_updated_ms: int = 0
    load_answered_ms: float = -math.inf
    answered_ms: float = -math.inf
    announcement: TargetRow | None = None
    started_since_load: int = 0
    failure_rate: float = 0.0
    failure_updated_ms: int = 0
    unproven: int = 0
    failed_ms: int = 0
    probed_ms: int = 0
    is_probed: bool = False
    connect_failures: int = 0
    ejected_until_ms: int = 0
    slowness: float = 1.0
    slowness_updated_ms: int = 0

    def set_load(self, running: int, waiting: int, slots: int, now_ms: int) -> None:
        """Replace the load report."""
        self.reported = running + waiting
        self.waiting = waiting
        self.slots = slots if slots > 0 else 1
        self.load_updated_ms = now_ms
        self.started_since_load = 0


State = TypeVar("State", bound=HealthState)


class TargetHealth(Generic[State]):
    """Observations of targets, and what they say now.

    Args:
        clock: Clock.
        rules: Rules of the entry.
        make_state: Makes the state of an incarnation of a target.
    """

    def __init__(self, clock: Clock, rules: HealthRules, make_state: type[State]):
        self.clock = clock
        self.rules = rules
        self.make_state = make_state
        self.reads_announcements = rules.load_lifetime_ms is None
        self.states_by_name: dict[str, State] = {}

    def state(self, row: TargetRow, now_ms: int | None = None) -> State:
        """Return the state of a target, with the load that it announced.

        Args:
            row: Target; the state of an earlier incarnation is empty and not kept.
            now_ms: Time on the clock, if known.
        """
        state = self.states_by_name.get(row.name)
        if state is None or state.incarnation != row.incarnation:
            new = self.make_state(row.incarnation)
            if state is not None:
                if row.incarnation < state.incarnation:
                    return new
                new.in_flight = state.in_flight
            state = self.states_by_name[row.name] = new
        if self.reads_announcements and state.announcement is not row:
            now_ms = self.clock.now_ms() if now_ms is None else now_ms
            self._read_announcement(state, row, now_ms)
        return state

    def _read_announcement(self, state: State, row: TargetRow, now_ms: int) -> None:
        before = state.announcement
        # Attempts end with the row that they began with.
        if before is not None and before.sequence >= row.sequence:
            return
        state.announcement = row
        age_ms = now_ms - state.load_answered_ms
        if not state.slots or age_ms >= ANSWER_LOAD_VALIDITY_MS:
            state.set_load(row.running, row.queued, row.capacity, now_ms)

    def forget(self, name: str) -> bool:
        """Drop a target, and return whether no attempt at it is in progress."""
        state = self.states_by_name.get(name)
        if state is not None and not state.in_flight:
            del self.states_by_name[name]
        return state is None or not state.in_flight

    def retain(self, names: Collection[str]) -> None:
        """Drop all other targets without an attempt in progress."""
        for name in self.states_by_name.keys() - names:
            self.forget(name)

    def load(self, state: HealthState, now_ms: int) -> float:
        """Return the number of requests at a target."""
        if not state.slots:
            return state.in_flight
        lifetime_ms = self.rules.load_lifetime_ms
        if lifetime_ms is None:
            return max(state.reported + state.started_since_load, state.in_flight)
        age_ms = now_ms - state.load_updated_ms
        weight = max(1.0 - age_ms / lifetime_ms, 0.0)
        running = min(state.started_since_load, state.in_flight)
        # Attempts that ended without a report: failed ones, which may still run.
        ended = state.started_since_load - running
        return max((state.reported + ended) * weight + running, state.in_flight)

    def slowness(self, state: HealthState, now_ms: int) -> float:
        """Return the time of attempts as a multiple of the usual time."""
        if state.slowness == 1.0:
            return 1.0
        age_ms = now_ms - state.slowness_updated_ms
        half_life_ms = self.rules.slowness_half_life_ms
        return 1.0 + (state.slowness - 1.0) * _decay(age_ms, half_life_ms)

    def failure_rate(self, state: HealthState, now_ms: int) -> float:
        """Return the rate of failures, 0 to 1."""
        if not state.failure_rate:
            return 0.0
        age_ms = now_ms - state.failure_updated_ms
        return state.failure_rate * _decay(age_ms, FAILURE_HALF_LIFE_MS)

    def may_probe(self, row: TargetRow) -> bool:
        """Return whether a request may find out if a target still fails."""
        state = self.states_by_name.get(row.name)
        if (
            state is None
            or state.incarnation != row.incarnation
            or not state.unproven
            or state.in_flight
        ):
            return False
        doublings = min(state.unproven - 1, 8)
        interval_ms = min(MIN_PROBE_INTERVAL_MS << doublings, MAX_PROBE_INTERVAL_MS)
        since_ms = max(state.failed_ms, state.probed_ms)
        return self.clock.now_ms() - since_ms >= interval_ms

    def begin_probe(self, row: TargetRow) -> None:
        """Record that a request is sent that finds out if a target still fails."""
        state = self.state(row)
        state.probed_ms = self.clock.now_ms()
        state.is_probed = True

    def is_unreachable(self, row: TargetRow) -> bool:
        """Return whether a target is avoided as no connection could be opened."""
        state = self.states_by_name.get(row.name)
        return state is not None and state.ejected_until_ms > self.clock.now_ms()

    def record_start(self, row: TargetRow) -> None:
        """Record that an attempt was sent."""
        self.state(row)
        state = self.states_by_name[row.name]
        state.in_flight += 1
        state.started_since_load += 1

    def record_end(self, row: TargetRow) -> None:
        """Record that an attempt has ended."""
        state = self.states_by_name.get(row.name)
        if state is None:
            return
        state.in_flight = max(state.in_flight - 1, 0)
        if self.reads_announcements and row.incarnation == state.incarnation:
            state.started_since_load -= 1

    def record_load(self, row: TargetRow, load: TargetLoad) -> None:
        """Record the load reported with an answer."""
        state = self.state(row)
        now_ms = self.clock.now_ms()
        state.load_answered_ms = state.answered_ms = now_ms
        state.set_load(load.running, load.waiting, load.slots, now_ms)

    def record_outcome(self, row: TargetRow, outcome: str) -> None:
        """Record a ``RunOutcome``; for a success, see ``record_success``."""
        match outcome:
            case RunOutcome.FAILED:
                self.record_failure(row)
            case RunOutcome.UNREACHABLE:
                self.record_unreachable(row)
                self.record_failure(row)
            case RunOutcome.REJECTED:
                state = self.state(row)
                if not state.waiting:
                    # Without a report of a queue, exactly all slots are in use.
                    now_ms = self.clock.now_ms()
                    state.set_load(row.capacity, 0, row.capacity, now_ms)
            case RunOutcome.MISDIRECTED:
                # Another target has its address.
                self._eject(row, MAX_EJECTION_MS)

    def record_success(self, row: TargetRow, slowness: float | None) -> None:
        """Record a successful attempt.

        Args:
            row: Target.
            slowness: Time of the attempt as a multiple of the usual time; None if its
                time says nothing about the target.
        """
        state = self.state(row)
        state.answered_ms = self.clock.now_ms()
        state.connect_failures = 0
        state.ejected_until_ms = 0
        if state.is_probed:
            # No other attempt was in progress, so this one started after the failures.
            # What is left of these would exclude an idle target for half a minute.
            state.is_probed = False
            state.slowness = 1.0
            state.unproven = 0
            state.failure_rate = 0.0
        self._add_to_failure_rate(state, 0.0)
        if slowness is None:
            return
        rules, now_ms = self.rules, self.clock.now_ms()
        decayed = rules.averages_decayed
        before = self.slowness(state, now_ms) if decayed else state.slowness
        measured = min(max(slowness, rules.min_slowness), rules.max_slowness)
        state.slowness = before + rules.slowness_weight * (measured - before)
        state.slowness_updated_ms = now_ms

    def record_failure(self, row: TargetRow) -> None:
        """Record an answer that was an error, incomplete or missing."""
        state = self.state(row)
        self._add_to_failure_rate(state, 1.0)
        if state.is_probed or not state.unproven:
            state.unproven += 1
        state.is_probed = False
        state.failed_ms = self.clock.now_ms()

    def record_silence(self, row: TargetRow, since_ms: int) -> bool:
        """Record that a request has no answer for too long; return whether it is news.

        It is none if the target has answered others since, or is known to fail.

        Args:
            row: Target.
            since_ms: When the request was sent.
        """
        state = self.state(row)
        if state.unproven or state.answered_ms >= since_ms:
            return False
        self.record_failure(row)
        return True

    def _add_to_failure_rate(self, state: HealthState, failed: float) -> None:
        now_ms = self.clock.now_ms()
        before = self.failure_rate(state, now_ms)
        state.failure_rate = before + FAILURE_WEIGHT * (failed - before)
        state.failure_updated_ms = now_ms

    def record_unreachable(self, row: TargetRow) -> None:
        """Record that no connection could be opened, and eject the target."""
        state = self.state(row)
        state.connect_failures += 1
        backoff_ms = MIN_EJECTION_MS << min(state.connect_failures - 1, 5)
        self._eject(row, min(backoff_ms, MAX_EJECTION_MS))

    def _eject(self, row: TargetRow, duration_ms: int) -> None:
        state = self.state(row)
        state.ejected_until_ms = self.clock.now_ms() + duration_ms


def _decay(age_ms: int, half_life_ms: int) -> float:
    """Return the weight of what was observed ``age_ms`` ago."""
    return math.pow(0.5, age_ms / half_life_ms)
