"""Shares of requests that targets get, lowered while they are silent or slow."""

import math
from collections.abc import Callable, Collection, Sequence

import attrs

from wagtailrun.clock import Clock
from wagtailrun.logs import events
from wagtailrun.targets.filters import TargetFilter
from wagtailrun.targets.table import TargetRow

__all__ = [
    "ALL_ENTRIES",
    "HALF_SHARE",
    "SILENT",
    "SLOW",
    "LoweredShares",
    "WatchedAttempt",
]

# Stands for all entries in place of the name of one.
ALL_ENTRIES = ""
# A target at the lowest share gets one request at a time. The next one follows at once
# after a good first event, and after this time if it was overdue or slow. It is one of
# the shorter prompts, as most of what it asks for may be lost; any after this time.
PROBE_PAUSE_MS = 2_000
PROBE_TOKENS_SHARE = 0.5
ANY_PROBE_AFTER_MS = 1_000
# Weight of a new prompt in the average of their tokens.
TOKENS_WEIGHT = 0.05
# Number of consecutive good first events for the step to half of the share, and to all
# of it; more are needed if the share was lowered again within this time. An entry alone
# makes few requests; each raises the share for it.
GOOD_TO_RAISE = 4
GOOD_AT_HALF = 3
MORE_GOOD_AFTER_RELAPSE = 2
RELAPSE_MS = 10_000
# Share of a target in the requests that it would get otherwise, after the lowest step.
HALF_SHARE = 0.5
MAX_CREDIT = 2.0
# Additional cost of a target with a lowered share.
LOWERED_COST_MS = 800.0
# Overdue attempts that are kept; with so many, their answers restore no share.
MAX_OVERDUE = 64
# Causes in log lines.
SILENT = "silent"
SLOW = "slow"
# At most this share of the targets of a service is lowered. Where more look silent, the
# cause is probably another one, for example a burst.
MAX_LOWERED_SHARE = 0.5
FULL_SHARE = 1.0


@attrs.define(eq=False)
class WatchedAttempt:
    """An attempt without a first event.

    Attributes:
        row: Target.
        reporter: Entry that made it.
        started_ms: When it started.
        expected_ms: Expected time to its first event.
        overdue_at_ms: When it is overdue, as far as is known.
        counted: Whether it has counted as overdue.
        is_open: Whether its first event may still arrive.
    """

    row: TargetRow
    reporter: str
    started_ms: int
    expected_ms: float
    overdue_at_ms: int = 0
    counted: bool = False
    is_open: bool = True


@attrs.define
class _TargetStatus:
    """Share of one target for one entry, or for all.

    Attributes:
        row: Target.
        share: 0 at the lowest step, ``HALF_SHARE`` or ``FULL_SHARE``.
        changed_ms: When the share was changed; only attempts since then count.
        good: Consecutive good first events since then.
        probe: Attempt that the target gets at the lowest step, if any.
        next_probe_ms: When it may get the next one.
        credit: Requests that it may get at half of its share.
        relapses: Number of times that it was lowered again shortly after a rise.
        cause: Why it was lowered.
        overdue: Overdue attempts because of which it was lowered.
    """

    row: TargetRow
    share: float = FULL_SHARE
    changed_ms: int = 0
    good: int = 0
    probe: WatchedAttempt | None = None
    next_probe_ms: int = 0
    credit: float = 0.0
    relapses: int = 0
    cause: str = ""
    overdue: list[WatchedAttempt] = attrs.field(factory=list)

    @property
    def is_lowered(self) -> bool:
        """Whether the target gets less than its share."""
        return self.share < FULL_SHARE


class LoweredShares(TargetFilter):
    """Shares of targets, for all entries or for one of them.

    A share falls to probes by single requests, and comes back by steps.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.statuses_by_key: dict[tuple[str, str], _TargetStatus] = {}
        # Number of targets of each service, and the average tokens of its prompts.
        self.targets_by_service: dict[str, int] = {}
        self.tokens_by_service: dict[str, float] = {}

    def status(self, entry: str, row: TargetRow) -> _TargetStatus | None:
        """Return the share of a target for an entry, if it is known."""
        return self.statuses_by_key.get((entry, row.name))

    def max_lowered(self, service: str) -> int:
        """Return how many targets of a service may be lowered."""
        return math.floor(MAX_LOWERED_SHARE * self.targets_by_service.get(service, 0))

    @property
    def lowered(self) -> int:
        """Number of targets with a lowered share for all entries."""
        return sum(
            entry == ALL_ENTRIES and status.is_lowered
            for (entry, _), status in self.statuses_by_key.items()
        )

    def is_lowered(self, row: TargetRow) -> bool:
        """Return whether the share of a target is lowered for all entries."""
        status = self.status(ALL_ENTRIES, row)
        return status is not None and status.is_lowered

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
        is_short = True
        if rows:
            service = rows[0].service
            self.targets_by_service[service] = len(rows)
            mean = self.tokens_by_service.get(service, float(prompt_tokens))
            mean += TOKENS_WEIGHT * (prompt_tokens - mean)
            self.tokens_by_service[service] = mean
            is_short = prompt_tokens <= PROBE_TOKENS_SHARE * mean
        lowered = self._lowered_statuses(rows, entry)
        if not lowered:
            return list(rows)
        now_ms = self.clock.now_ms()
        # A request that has tried a silent target is no probe.
        may_probe = begin and lowered.keys().isdisjoint(avoid)
        for name, statuses in lowered.items():
            if begin:
                for status in statuses:
                    credit = status.credit + status.share / len(rows)
                    status.credit = min(credit, MAX_CREDIT)
            is_costly = costs_more(statuses[0].row)
            if name in avoid or not all(
                self._takes(status, now_ms, is_short, is_costly) for status in statuses
            ):
                continue
            if may_probe:
                # Its cost may be higher than that of others, but only requests find
                # out whether it has recovered.
                return [row for row in rows if row.name == name]
        return list(rows)

    def penalties_ms(self, rows: Sequence[TargetRow], entry: str) -> dict[str, float]:
        """Return the additional costs of the targets that look silent or slow.

        They are used all the same once the others are loaded so much more: with a third
        of its targets left out, a busy service loses more than by their silence.
        """
        return dict.fromkeys(self._lowered_statuses(rows, entry), LOWERED_COST_MS)

    def _takes(
        self, status: _TargetStatus, now_ms: int, is_short: bool, is_costly: bool
    ) -> bool:
        """Return whether a target with a lowered share may get a request now.

        Args:
            status: Status of the target.
            now_ms: Time on the clock.
            is_short: Whether the prompt is short.
            is_costly: Whether the target has much more work with it than another one.
        """
        if status.share:
            return status.credit >= (MAX_CREDIT if is_costly else 1.0)
        is_good = is_short and not is_costly
        due_ms = status.next_probe_ms + (0 if is_good else ANY_PROBE_AFTER_MS)
        return status.probe is None and now_ms >= due_ms

    def _lowered_statuses(
        self, rows: Sequence[TargetRow], entry: str
    ) -> dict[str, list[_TargetStatus]]:
        """Return what lowers the shares of targets, by the names of these.

        If all look silent, the cause is another one, and none is lowered.
        """
        lowered: dict[str, list[_TargetStatus]] = {}
        found = [
            (key, status)
            for key, status in self.statuses_by_key.items()
            if status.is_lowered and key[0] in (ALL_ENTRIES, entry)
        ]
        if not found:
            return lowered
        rows_by_name = {row.name: row for row in rows}
        for key, status in found:
            row = rows_by_name.get(key[1])
            if row is None:
                continue
            if status.row.incarnation == row.incarnation:
                lowered.setdefault(row.name, []).append(status)
            else:
                del self.statuses_by_key[key]
        if len(lowered) == len(rows):
            return {}
        limit = math.floor(MAX_LOWERED_SHARE * len(rows))
        if len(lowered) > limit:
            oldest = sorted(
                lowered, key=lambda name: min(each.changed_ms for each in lowered[name])
            )
            lowered = {name: lowered[name] for name in oldest[:limit]}
        return lowered

    def begin(self, attempt: WatchedAttempt) -> None:
        """Record that a target gets a request."""
        for entry in (ALL_ENTRIES, attempt.reporter):
            status = self.status(entry, attempt.row)
            if status is None or not status.is_lowered:
                continue
            status.credit = max(status.credit - 1.0, 0.0)
            if not status.share and status.probe is None:
                status.probe = attempt

    def retain(self, names: Collection[str], services: Collection[str]) -> None:
        """Drop what is known of all other targets and services."""
        now_ms = self.clock.now_ms()
        for key, status in list(self.statuses_by_key.items()):
            is_old = now_ms - status.changed_ms > RELAPSE_MS
            if key[1] not in names or is_old and not status.is_lowered:
                del self.statuses_by_key[key]
        for service in self.targets_by_service.keys() - set(services):
            del self.targets_by_service[service]
            del self.tokens_by_service[service]

    def lower(
        self,
        entry: str,
        attempt: WatchedAttempt,
        cause: str,
        attempts: int,
        reporters: int,
    ) -> None:
        """Lower the share of a target to the lowest step, or leave it there."""
        now_ms = self.clock.now_ms()
        row = attempt.row
        if entry != ALL_ENTRIES and self.is_lowered(row):
            return
        status = self.statuses_by_key.setdefault((entry, row.name), _TargetStatus(row))
        if status.row.incarnation > row.incarnation:
            return
        if status.row.incarnation < row.incarnation:
            status = self.statuses_by_key[entry, row.name] = _TargetStatus(row)
        status.good = 0
        if status.probe is attempt:
            status.probe = None
        status.next_probe_ms = now_ms + PROBE_PAUSE_MS
        if not status.share:
            return
        if status.changed_ms and now_ms - status.changed_ms <= RELAPSE_MS:
            status.relapses += 1
        else:
            status.relapses = 0
        status.share = 0.0
        status.cause = cause
        status.overdue.clear()
        status.credit = 0.0
        status.changed_ms = now_ms
        if entry == ALL_ENTRIES:
            # The shares for single entries are included.
            for key in list(self.statuses_by_key):
                if key[0] != ALL_ENTRIES and key[1] == row.name:
                    del self.statuses_by_key[key]
        self._log(events.SHARE_LOWERED, entry, status, cause, attempts, reporters)

    def add_overdue(self, entry: str, attempts: list[WatchedAttempt]) -> None:
        """Keep the overdue attempts because of which a share is lowered."""
        status = self.status(entry, attempts[0].row)
        if status is None or status.cause != SILENT:
            return
        for attempt in attempts:
            if attempt not in status.overdue and len(status.overdue) < MAX_OVERDUE:
                status.overdue.append(attempt)

    def withdraw(self, attempt: WatchedAttempt) -> None:
        """Restore the share of a target whose overdue attempts all got an answer."""
        for entry in (ALL_ENTRIES, attempt.reporter):
            key = entry, attempt.row.name
            status = self.statuses_by_key.get(key)
            if status is None or attempt not in status.overdue:
                continue
            status.overdue.remove(attempt)
            if not status.overdue and status.cause == SILENT and not status.share:
                status.share = FULL_SHARE
                self._log(events.SHARE_RAISED, entry, status, "late answers", 0, 0)
                del self.statuses_by_key[key]

    def count_good(self, entry: str, attempt: WatchedAttempt, is_quick: bool) -> None:
        """Count a good first event, and raise the share after several.

        Args:
            entry: Entry whose share of the target changes, or ``ALL_ENTRIES``.
            attempt: The attempt.
            is_quick: Whether the first event shows that the target is not slow.
        """
        now_ms = self.clock.now_ms()
        status = self.status(entry, attempt.row)
        if status is None or not status.is_lowered:
            return
        counts = is_quick or status.cause != SLOW
        if status.probe is attempt:
            status.probe = None
            status.next_probe_ms = now_ms + (0 if counts else PROBE_PAUSE_MS)
        if not counts or attempt.started_ms < status.changed_ms:
            return
        status.good += 1
        needed = GOOD_AT_HALF if status.share else GOOD_TO_RAISE
        needed += MORE_GOOD_AFTER_RELAPSE if status.relapses else 0
        if entry == ALL_ENTRIES and status.good < needed:
            return
        good, status.good = status.good, 0
        status.share = FULL_SHARE if status.share else HALF_SHARE
        status.changed_ms = now_ms
        status.probe = None
        self._log(events.SHARE_RAISED, entry, status, "good first events", good, 0)

    def pause_probes(self, attempt: WatchedAttempt, now_ms: int) -> None:
        """Pause the probes of a target whose probe is overdue or slow."""
        for status in self._take_probe(attempt):
            status.good = 0
            status.next_probe_ms = now_ms + PROBE_PAUSE_MS

    def drop_probe(self, attempt: WatchedAttempt) -> None:
        """Let another probe follow one that shows nothing."""
        self._take_probe(attempt)

    def _take_probe(self, attempt: WatchedAttempt) -> list[_TargetStatus]:
        """Return the statuses whose probe was an attempt; they have none any more."""
        found = []
        for entry in (ALL_ENTRIES, attempt.reporter):
            status = self.status(entry, attempt.row)
            if status is not None and status.probe is attempt:
                status.probe = None
                found.append(status)
        return found

    def _log(
        self,
        event: events.Event,
        entry: str,
        status: _TargetStatus,
        cause: str,
        attempts: int,
        reporters: int,
    ) -> None:
        events.log(
            event,
            service=status.row.service,
            target=status.row.name,
            entry=entry or "all",
            share=status.share,
            cause=cause,
            attempts=attempts,
            reporters=reporters,
            relapses=status.relapses,
        )
