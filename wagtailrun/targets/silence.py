"""Lowers the share of targets that leave requests without a first event.

An attempt is evidence from the moment at which it is overdue, before its caller leaves.
The share comes back by steps, on good first events of ordinary requests.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Collection, Sequence

import attrs

from wagtailrun.clock import Clock
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.filters import AttemptFilter
from wagtailrun.targets.lowered_shares import (
    ALL_ENTRIES,
    SILENT,
    SLOW,
    LoweredShares,
    WatchedAttempt,
)
from wagtailrun.targets.table import TargetRow

__all__ = ["SilenceWatch"]

# An attempt is overdue after this multiple of its expected time and a grace period. On
# a day without trouble, one first event in 600 is so late.
OVERDUE_FACTOR = 1.5
GRACE_MS = 400
# A first event is slow after this multiple of its expected time and this time.
SLOW_FACTOR = 2.0
SLOW_GRACE_MS = 150
# Slow first events of attempts that started one after the other follow each other, too:
# by at least this share of the time between the starts. After a standstill they arrive
# together.
SLOW_INTERVAL_SHARE = 0.5
MIN_SLOW_INTERVAL_MS = 100
# The first events of short prompts are late by little at a slow target: only these show
# that it is slow no longer. On a day without trouble, they are seven of eight.
QUICK_FACTOR = 1.25
QUICK_GRACE_MS = 40
# Both times are longer if the attempts at all targets take longer than expected: by
# this multiple of the lateness that this share of the newest first events has. A third
# of the targets may be slow.
LATENESS_FACTOR = 3.0
LATENESS_SHARE = 0.6
MAX_LATENESS_SAMPLES = 32
LATENESS_LIFETIME_MS = 4_000
MIN_LATENESS_SAMPLES = 8
# Evidence of one reporter counts for all entries from this number of attempts on.
ATTEMPTS_OF_ONE_REPORTER = 3
# Overdue attempts, or slow first events, count together within this time.
EVIDENCE_LIFETIME_MS = 4_000
# Evidence of an entry that was not heard of for this long may be due to its standstill;
# it has this long to report the first events that it finds then.
REPORTER_GAP_MS = 1_000
SETTLE_MS = 200
REPORTER_LIFETIME_MS = 10_000
# An attempt that may take longer than this is not watched.
MAX_WATCHED_MS = 20_000


@attrs.define
class _Reporter:
    """When an entry was heard of.

    Attributes:
        last_ms: Last time.
        since_ms: Since when without a gap.
    """

    last_ms: int
    since_ms: int


@attrs.define
class _Evidence:
    """Overdue and slow attempts at a target.

    Attributes:
        incarnation: Incarnation of the target.
        overdue: Overdue attempts, by when they counted; left ones stay.
        slow: Consecutive attempts with slow first events, by when these arrived. Of
            those that one standstill may have held up only one counts.
        answered_ms_by_reporter: Start of the newest attempt of each reporter with a
            good first event.
    """

    incarnation: int
    overdue: list[tuple[int, WatchedAttempt]] = attrs.field(factory=list)
    slow: list[tuple[int, WatchedAttempt]] = attrs.field(factory=list)
    answered_ms_by_reporter: dict[str, int] = attrs.field(factory=dict)


class _Lateness:
    """How much later than expected the first events of a service are."""

    def __init__(self) -> None:
        self.samples: deque[tuple[int, float]] = deque(maxlen=MAX_LATENESS_SAMPLES)
        # None until it is computed from the present samples.
        self._extra_ms: float | None = None

    def add(self, now_ms: int, late_ms: float) -> None:
        """Record a first event."""
        self.samples.append((now_ms, late_ms))
        self._extra_ms = None

    def extra_ms(self, now_ms: int) -> float:
        """Return by how much the limits of the service are longer."""
        while self.samples and self.samples[0][0] < now_ms - LATENESS_LIFETIME_MS:
            self.samples.popleft()
            self._extra_ms = None
        if self._extra_ms is None:
            self._extra_ms = self._compute_extra_ms()
        return self._extra_ms

    def _compute_extra_ms(self) -> float:
        if len(self.samples) < MIN_LATENESS_SAMPLES:
            return 0.0
        ranked = sorted(late_ms for _, late_ms in self.samples)
        late_ms = ranked[int(LATENESS_SHARE * (len(ranked) - 1))]
        return LATENESS_FACTOR * max(late_ms, 0.0)


class SilenceWatch(AttemptFilter):
    """Watches attempts until their first events, and lowers the share of targets.

    What one reporter saw counts for itself at once. For all others it counts with what
    a second reporter saw, or if it saw several attempts at this target only.

    Args:
        clock: Clock.
        was_held_since: Returns whether this process stood still after a time; its
            attempts then look overdue.
    """

    def __init__(
        self,
        clock: Clock,
        was_held_since: Callable[[int], bool] = lambda since_ms: False,
    ):
        self.clock = clock
        self.was_held_since = was_held_since
        self.attempts_by_key: dict[tuple[str, str], WatchedAttempt] = {}
        self.shares = LoweredShares(clock)
        self.evidence_by_target: dict[str, _Evidence] = {}
        self.reporters_by_name: dict[str, _Reporter] = {}
        self.lateness_by_service: dict[str, _Lateness] = {}
        self._due: list[tuple[int, int, tuple[str, str], WatchedAttempt]] = []
        self._unconfirmed: list[tuple[tuple[str, str], WatchedAttempt]] = []
        self._numbers = itertools.count()

    def admitted(
        self,
        rows: Sequence[TargetRow],
        entry: str,
        avoid: Collection[str] = (),
        *,
        prompt_tokens: int = 0,
        begin: bool = True,
        costs_more: Callable[[TargetRow], bool] = lambda row: False,
    ) -> list[TargetRow]:
        """Return all targets, or one that is probed; see ``TargetFilter``."""
        if entry:
            self.note_heard(entry)
        self._advance()
        return self.shares.admitted(
            rows,
            entry,
            avoid,
            prompt_tokens=prompt_tokens,
            begin=begin,
            costs_more=costs_more,
        )

    def penalties_ms(self, rows: Sequence[TargetRow], entry: str) -> dict[str, float]:
        """Return the additional costs of targets with a lowered share."""
        return self.shares.penalties_ms(rows, entry)

    # Attempts

    def begin(
        self, key: tuple[str, str], row: TargetRow, reporter: str, expected_ms: float
    ) -> None:
        """Watch an attempt that starts now; see ``AttemptFilter``."""
        self.forget(key)
        if not reporter:
            return
        now_ms = self.clock.now_ms()
        self.note_heard(reporter)
        attempt = WatchedAttempt(row, reporter, now_ms, expected_ms)
        self._set_overdue_at(attempt)
        if attempt.overdue_at_ms - now_ms > MAX_WATCHED_MS:
            return
        self.attempts_by_key[key] = attempt
        self._schedule(key, attempt)
        self.shares.begin(attempt)

    def record_end(
        self, key: tuple[str, str], outcome: str, first_event_ms: float = 0
    ) -> None:
        """Record the end of an attempt, or its first event; see ``AttemptFilter``."""
        match outcome:
            case RunOutcome.SUCCEEDED:
                self._record_first_event(key, first_event_ms)
            case RunOutcome.OVER | RunOutcome.FAILED:
                self._record_left(key)
            case _:
                self.forget(key)

    def _record_first_event(self, key: tuple[str, str], took_ms: float) -> None:
        self._advance()
        attempt = self._end(key)
        if attempt is None:
            return
        self.note_heard(attempt.reporter)
        now_ms = self.clock.now_ms()
        service = attempt.row.service
        evidence = self._evidence(attempt.row)
        evidence.overdue = [pair for pair in evidence.overdue if pair[1] is not attempt]
        if not took_ms:
            # Its time is that of an entry that stood still.
            if attempt.counted:
                self.shares.withdraw(attempt)
            self.shares.drop_probe(attempt)
            return
        slow_ms = SLOW_FACTOR * attempt.expected_ms
        slow_ms += max(SLOW_GRACE_MS, self._extra_ms(service))
        if not self.shares.is_lowered(attempt.row):
            lateness = self.lateness_by_service.setdefault(service, _Lateness())
            lateness.add(now_ms, took_ms - attempt.expected_ms)
        if took_ms > slow_ms:
            self._count_slow(attempt, evidence, now_ms)
        if attempt.counted:
            self.shares.withdraw(attempt)
        if took_ms > slow_ms:
            return
        started_ms = attempt.started_ms
        evidence.answered_ms_by_reporter[attempt.reporter] = started_ms
        quick_ms = QUICK_FACTOR * attempt.expected_ms
        is_quick = took_ms <= quick_ms + max(QUICK_GRACE_MS, self._extra_ms(service))
        if is_quick:
            evidence.slow.clear()
        for entry in (ALL_ENTRIES, attempt.reporter):
            self.shares.count_good(entry, attempt, is_quick)

    def _record_left(self, key: tuple[str, str]) -> None:
        """Count an attempt that was overdue; one that was left early says nothing."""
        self._advance()
        attempt = self._end(key)
        if attempt is None:
            return
        self.note_heard(attempt.reporter)
        if self.clock.now_ms() < attempt.overdue_at_ms:
            self.shares.drop_probe(attempt)
        elif not attempt.counted and self._is_confirmed(attempt):
            self._count_overdue(attempt)

    def forget(self, key: tuple[str, str]) -> None:
        """Drop an attempt that says nothing, or whose end was lost."""
        attempt = self._end(key)
        if attempt is not None:
            self.shares.drop_probe(attempt)

    def _end(self, key: tuple[str, str]) -> WatchedAttempt | None:
        attempt = self.attempts_by_key.pop(key, None)
        if attempt is not None:
            attempt.is_open = False
        return attempt

    def note_heard(self, reporter: str) -> None:
        """Record that an entry was heard of."""
        now_ms = self.clock.now_ms()
        state = self.reporters_by_name.get(reporter)
        if state is None or now_ms - state.last_ms > REPORTER_GAP_MS:
            self.reporters_by_name[reporter] = _Reporter(now_ms, now_ms)
        else:
            state.last_ms = now_ms

    def retain(self, names: Collection[str], services: Collection[str]) -> None:
        """Drop what is known of all other targets and services."""
        now_ms = self.clock.now_ms()
        self.shares.retain(names, services)
        for name in self.evidence_by_target.keys() - set(names):
            del self.evidence_by_target[name]
        for service in self.lateness_by_service.keys() - set(services):
            del self.lateness_by_service[service]
        reporters = {each.reporter for each in self.attempts_by_key.values()}
        for reporter, state in list(self.reporters_by_name.items()):
            if (
                now_ms - state.last_ms > REPORTER_LIFETIME_MS
                and reporter not in reporters
            ):
                del self.reporters_by_name[reporter]

    # Evidence

    def _extra_ms(self, service: str) -> float:
        lateness = self.lateness_by_service.get(service)
        return lateness.extra_ms(self.clock.now_ms()) if lateness is not None else 0.0

    def _set_overdue_at(self, attempt: WatchedAttempt) -> None:
        limit_ms = OVERDUE_FACTOR * attempt.expected_ms
        limit_ms += max(GRACE_MS, self._extra_ms(attempt.row.service))
        attempt.overdue_at_ms = attempt.started_ms + int(limit_ms)

    def _schedule(self, key: tuple[str, str], attempt: WatchedAttempt) -> None:
        due = (attempt.overdue_at_ms, next(self._numbers), key, attempt)
        heapq.heappush(self._due, due)

    def _advance(self) -> None:
        """Count the attempts that have become overdue."""
        now_ms = self.clock.now_ms()
        while self._due and self._due[0][0] <= now_ms:
            _, _, key, attempt = heapq.heappop(self._due)
            if self.attempts_by_key.get(key) is not attempt:
                continue
            # The attempts at all targets may have become late meanwhile.
            self._set_overdue_at(attempt)
            if attempt.overdue_at_ms > now_ms:
                self._schedule(key, attempt)
            else:
                self._unconfirmed.append((key, attempt))
                self.shares.pause_probes(attempt, now_ms)
        if not self._unconfirmed:
            return
        waiting, self._unconfirmed = self._unconfirmed, []
        for key, attempt in waiting:
            if self.attempts_by_key.get(key) is not attempt:
                continue
            if self._is_confirmed(attempt):
                self._count_overdue(attempt)
            else:
                self._unconfirmed.append((key, attempt))

    def _is_confirmed(self, attempt: WatchedAttempt) -> bool:
        """Return whether neither the reporter nor this process may have stood still."""
        now_ms = self.clock.now_ms()
        reporter = self.reporters_by_name.get(attempt.reporter)
        return (
            reporter is not None
            and reporter.last_ms >= attempt.overdue_at_ms
            and now_ms - reporter.since_ms >= SETTLE_MS
            and not self.was_held_since(now_ms - SETTLE_MS)
        )

    def _evidence(self, row: TargetRow) -> _Evidence:
        """Return what is kept of an incarnation of a target; of a gone one, nothing."""
        evidence = self.evidence_by_target.get(row.name)
        if evidence is None or evidence.incarnation < row.incarnation:
            evidence = self.evidence_by_target[row.name] = _Evidence(row.incarnation)
        elif evidence.incarnation > row.incarnation:
            return _Evidence(row.incarnation)
        return evidence

    def _count_overdue(self, attempt: WatchedAttempt) -> None:
        attempt.counted = True
        now_ms = self.clock.now_ms()
        name = attempt.row.name
        evidence = self._evidence(attempt.row)
        evidence.overdue.append((now_ms, attempt))
        oldest_ms = now_ms - EVIDENCE_LIFETIME_MS
        evidence.overdue = [
            each for each in evidence.overdue if each[0] >= oldest_ms or each[1].is_open
        ]
        for entry in (ALL_ENTRIES, attempt.reporter):
            status = self.shares.status(entry, attempt.row)
            if status is not None and attempt.started_ms < status.changed_ms:
                continue
            counts = entry != ALL_ENTRIES or (
                self._counts_for_all(name, evidence)
                and not self._is_common(attempt.row.service, oldest_ms)
            )
            if counts or status is not None and status.is_lowered:
                found = [each for _, each in evidence.overdue]
                reporters = {each.reporter for each in found}
                self.shares.lower(entry, attempt, SILENT, len(found), len(reporters))
                self.shares.add_overdue(entry, found)

    def _is_common(self, service: str, since_ms: int) -> bool:
        """Return whether too many targets of a service look silent or slow."""
        silent = sum(
            any(
                (at_ms >= since_ms or attempt.is_open)
                and attempt.row.service == service
                for at_ms, attempt in (*evidence.overdue, *evidence.slow)
            )
            for evidence in self.evidence_by_target.values()
        )
        return silent > self.shares.max_lowered(service)

    def _counts_for_all(self, name: str, evidence: _Evidence) -> bool:
        """Return whether the overdue attempts at a target count for all entries."""
        found = [attempt for _, attempt in evidence.overdue]
        reporters = {attempt.reporter for attempt in found}
        if len(reporters) > 1:
            return True
        if len(found) < ATTEMPTS_OF_ONE_REPORTER:
            return False
        (reporter,) = reporters
        since_ms = min(attempt.started_ms for attempt in found)
        others = evidence.answered_ms_by_reporter.items()
        if any(who != reporter and ms >= since_ms for who, ms in others):
            return False
        # The path of one entry may be lost to several targets.
        return not any(
            attempt.reporter == reporter
            for other, each in self.evidence_by_target.items()
            for _, attempt in each.overdue
            if other != name
        )

    def _count_slow(
        self, attempt: WatchedAttempt, evidence: _Evidence, now_ms: int
    ) -> None:
        oldest_ms = now_ms - EVIDENCE_LIFETIME_MS
        evidence.slow = [each for each in evidence.slow if each[0] >= oldest_ms]
        self.shares.pause_probes(attempt, now_ms)
        if evidence.slow:
            arrived_ms, other = evidence.slow[-1]
            interval_ms = attempt.started_ms - other.started_ms
            if (
                interval_ms < MIN_SLOW_INTERVAL_MS
                or now_ms - arrived_ms < SLOW_INTERVAL_SHARE * interval_ms
            ):
                # The same standstill may have held up both.
                return
        evidence.slow.append((now_ms, attempt))
        reporters = {each.reporter for _, each in evidence.slow}
        is_slow = len(evidence.slow) > 1
        for entry in (ALL_ENTRIES, attempt.reporter):
            status = self.shares.status(entry, attempt.row)
            # The path of one entry may be slow.
            counts = is_slow and (entry != ALL_ENTRIES or len(reporters) > 1)
            if entry == ALL_ENTRIES:
                counts &= not self._is_common(attempt.row.service, oldest_ms)
            if counts and status is not None and not status.share:
                # Late answers show no mere standstill then.
                status.cause = SLOW
            if status is not None and attempt.started_ms < status.changed_ms:
                continue
            if counts or status is not None and status.is_lowered:
                self.shares.lower(
                    entry, attempt, SLOW, len(evidence.slow), len(reporters)
                )
