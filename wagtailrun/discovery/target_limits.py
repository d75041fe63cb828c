"""What targets say of themselves: bounds of requests and rejections, and coldness."""

import math
from collections.abc import Callable, Collection, Iterable

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.cold_beliefs import (
    AGE_TOLERANCE_MS,
    MAX_COLD_MS,
    START_COLD_MS,
    ColdBelief,
    ColdSource,
)
from wagtailrun.discovery.messages import UNKNOWN_AGE_MS, AgedLimit, TargetLimit
from wagtailrun.logs import events
from wagtailrun.targets.table import ChangeLog, TargetRow

__all__ = ["TargetLimits"]

# Bounds the table; more targets than the largest fleet has.
MAX_LIMITS = 4_096
# Smaller relative changes are not passed on: a target may name another value in each
# answer.
MIN_SHARED_CHANGE = 0.1
# A target that stands this many rejections a second needs no care: at the design size
# all targets together get 6,700 requests a second.
HARMLESS_REJECTIONS_PER_S = 10_000.0


@attrs.frozen
class _Claim:
    """What a target says about one of its bounds.

    Attributes:
        value: The bound; None if the target names none.
        at_ms: When an answer named it, or when the request was sent whose answer named
            none.
    """

    value: float | None
    at_ms: int

    def replaces(self, known: "_Claim") -> bool:
        """Return whether this claim of another process replaces a known one."""
        if abs(self.at_ms - known.at_ms) > AGE_TOLERANCE_MS:
            return self.at_ms > known.at_ms
        return self._strictness < known._strictness

    @property
    def _strictness(self) -> float:
        return math.inf if self.value is None else self.value


UNKNOWN = _Claim(None, -UNKNOWN_AGE_MS)


@attrs.frozen
class _Observation:
    """What is known of one target.

    Attributes:
        target: Name of the target.
        incarnation: Its incarnation.
        limit: Requests a second that it takes.
        brittleness: Rejections a second that it stands.
        cold: Until when it is cold, if it said so.
        shared: What was last passed on, if anything.
        shared_cold: The same of ``cold``.
    """

    target: str
    incarnation: int
    limit: _Claim = UNKNOWN
    brittleness: _Claim = UNKNOWN
    cold: ColdBelief | None = None
    shared: TargetLimit | None = None
    shared_cold: ColdBelief | None = None

    @property
    def row(self) -> TargetLimit:
        """The row that is passed on to other processes."""
        return TargetLimit(
            self.target,
            self.incarnation,
            self.limit.value is not None,
            self.limit.value or 0.0,
            self.brittleness.value is not None,
            self.brittleness.value or 0.0,
        )

    @property
    def newest_ms(self) -> int:
        """Time of the newest claim."""
        cold_ms = UNKNOWN.at_ms if self.cold is None else self.cold.at_ms
        return max(self.limit.at_ms, self.brittleness.at_ms, cold_ms)

    def of(self, incarnation: int) -> "_Observation":
        """Return what holds for a newer incarnation: brittleness does not end."""
        return attrs.evolve(self, incarnation=incarnation, limit=UNKNOWN, cold=None)


@attrs.frozen
class _Start:
    """Start of a target that this process observed.

    Attributes:
        incarnation: The incarnation that began.
        belief: Until when it counts as cold unless it says something else.
    """

    incarnation: int
    belief: ColdBelief


class TargetLimits:
    """Bounds of the targets, merged among all processes.

    The newest observation of each bound of a target counts. An answer that does not
    name a bound ends an earlier one only if its request was sent after the bound had
    been named: answers may overtake each other.

    Args:
        clock: Clock.
        cold_per_s: Returns the requests a second that a cold target of a service
            tolerates; 0 if they have no bound.
    """

    def __init__(
        self, clock: Clock, cold_per_s: Callable[[str], float] = lambda service: 0.0
    ):
        self.clock = clock
        self.cold_per_s = cold_per_s
        # Newest start of each target. Not shared: each entry sees it in its news.
        self.starts_by_name: dict[str, _Start] = {}
        # Targets whose reports do not arrive: each may have started again.
        self.unheard: set[str] = set()
        # Targets whose coldness was logged, with the end that is to be logged.
        self.logged_cold_by_name: dict[str, _Start] = {}
        self.observations_by_name: dict[str, _Observation] = {}
        # All changes, and those that were observed here or reported to this process.
        self.log = ChangeLog()
        self.local_log = ChangeLog()

    def limit_per_s(self, row: TargetRow) -> float | None:
        """Return the requests a second that a target takes; None without a limit.

        It is what the target names, or what it tolerates while it is cold if that is
        less.
        """
        bounds = (self._named_limit(row), self.cold_limit_per_s(row))
        return min((each for each in bounds if each is not None), default=None)

    def _named_limit(self, row: TargetRow) -> float | None:
        known = self.observations_by_name.get(row.name)
        if known is None or known.incarnation != row.incarnation:
            return None
        return known.limit.value

    def cold_limit_per_s(self, row: TargetRow) -> float | None:
        """Return the requests a second that a target tolerates as it is, or was, cold.

        Returns:
            None if it is warm, or its service has no such bound.
        """
        return self.cold_bound_per_s(row.service, row.name, row.incarnation)

    def is_cold(self, row: TargetRow) -> bool:
        """Return whether a target of a service with such a bound is cold now."""
        per_s = self.cold_limit_per_s(row)
        return per_s is not None and per_s <= self.cold_per_s(row.service)

    def cold_bound_per_s(
        self, service: str, target: str, incarnation: int
    ) -> float | None:
        """Return the same as ``cold_limit_per_s`` by the names."""
        per_s = self.cold_per_s(service)
        if not per_s > 0:
            return None
        if target in self.unheard:
            return per_s
        belief = self._belief(target, incarnation)
        return belief.bound_per_s(per_s, self.clock.now_ms())

    def _belief(self, target: str, incarnation: int) -> ColdBelief:
        known = self.observations_by_name.get(target)
        if known is not None and known.incarnation == incarnation and known.cold:
            return known.cold
        start = self.starts_by_name.get(target)
        if start is None or start.incarnation < incarnation:
            start = self._note_start(target, incarnation)
            self._log_cold(target, incarnation, start.belief)
        return start.belief

    def note_row(self, row: TargetRow) -> None:
        """Note the row of a target; a new incarnation of it has just started.

        It is cold until it says something else if its service has such a bound. It is
        noted without one, too: a bound that an operator sets later finds it warm.
        """
        if row.silent and not row.leaving:
            self.unheard.add(row.name)
        else:
            self.unheard.discard(row.name)
        if row.leaving:
            return
        if self.cold_per_s(row.service) > 0:
            self._belief(row.name, row.incarnation)
            return
        start = self.starts_by_name.get(row.name)
        if start is None or start.incarnation < row.incarnation:
            self._note_start(row.name, row.incarnation)

    def _note_start(self, target: str, incarnation: int) -> _Start:
        now_ms = self.clock.now_ms()
        belief = ColdBelief(now_ms + START_COLD_MS, now_ms, ColdSource.START)
        while len(self.starts_by_name) >= MAX_LIMITS:
            del self.starts_by_name[next(iter(self.starts_by_name))]
        start = self.starts_by_name[target] = _Start(incarnation, belief)
        return start

    def retain_starts(self, names: Collection[str]) -> None:
        """Forget the starts of all other targets."""
        for name in self.starts_by_name.keys() - names:
            del self.starts_by_name[name]
        self.unheard.intersection_update(names)

    def log_warm(self) -> None:
        """Log the targets that became warm as their time ran out."""
        now_ms = self.clock.now_ms()
        for name, logged in list(self.logged_cold_by_name.items()):
            if logged.belief.until_ms <= now_ms:
                self._log_cold(name, logged.incarnation, logged.belief)

    def max_rejections(self, row: TargetRow) -> float | None:
        """Return the rejections a second that a brittle target stands, else None.

        A target that was started again counts as brittle until an answer shows that it
        is not: one that ended because of rejections would get a rush of requests before
        its first answer, and end again.
        """
        known = self.observations_by_name.get(row.name)
        value = known.brittleness.value if known is not None else None
        return None if value is None or value >= HARMLESS_REJECTIONS_PER_S else value

    def age_ms(self, row: TargetRow) -> int | None:
        """Return the time since an answer named a bound of a target.

        Returns:
            Milliseconds; of two bounds, of the one that was not named for longer. None
            without a bound, 0 while it is cold.
        """
        known = self.observations_by_name.get(row.name)
        if self.is_cold(row):
            return 0
        if known is None:
            return None
        claims = [known.brittleness]
        if known.incarnation == row.incarnation:
            claims.append(known.limit)
        named = [claim.at_ms for claim in claims if claim.value is not None]
        return self.clock.now_ms() - min(named) if named else None

    def newest(self, name: str) -> TargetLimit | None:
        """Return what is known of a target by its name, of any incarnation."""
        known = self.observations_by_name.get(name)
        return known.row if known is not None else None

    def record_answer(
        self, row: TargetRow, per_second: float | None, sent_ms: int
    ) -> None:
        """Record what an answer says about the limit of its target.

        Args:
            row: Target.
            per_second: Its limit, in requests a second; None if it names none.
            sent_ms: When the request was sent.
        """
        known = self._base(row)
        claim = self._claim(per_second, sent_ms)
        if known is not None and claim.at_ms > known.limit.at_ms:
            self._record(attrs.evolve(known, limit=claim))

    def record_brittleness(
        self, row: TargetRow, max_rejections: float | None, sent_ms: int
    ) -> None:
        """Record what an answer says about the brittleness of its target.

        Args:
            row: Target.
            max_rejections: Rejections a second that it stands; None if it does not say
                that it is brittle.
            sent_ms: When the request was sent.
        """
        known = self._base(row)
        claim = self._claim(max_rejections, sent_ms)
        if known is not None and claim.at_ms > known.brittleness.at_ms:
            self._record(attrs.evolve(known, brittleness=claim))

    def record_cold(
        self, row: TargetRow, left_ms: int, source: ColdSource, sent_ms: int
    ) -> bool:
        """Record what a target says about its coldness.

        Args:
            row: Target.
            left_ms: How long it stays cold; 0 if it is warm.
            source: Where it says so.
            sent_ms: When the request was sent whose answer says so, or the time of the
                report.

        Returns:
            Whether that was not known.
        """
        known = self._base(row)
        now_ms = self.clock.now_ms()
        at_ms = now_ms if left_ms else sent_ms
        if known is None or (known.cold is not None and at_ms < known.cold.at_ms):
            return False
        said = ColdBelief(now_ms + min(left_ms, MAX_COLD_MS), at_ms, source)
        if not left_ms:
            said = attrs.evolve(said, until_ms=at_ms)
        cold = said if known.cold is None else known.cold.after(said)
        return self._put(attrs.evolve(known, cold=cold), local=True)

    def merge(self, rows: Iterable[AgedLimit], *, local: bool = False) -> bool:
        """Merge observations of another process; return whether any changed a bound.

        Args:
            rows: Bounds with ages.
            local: Whether to pass them on to other processes of this kind.
        """
        changed = False
        for aged in rows:
            if aged.says_nothing:
                continue
            new = self._observation(aged)
            known = self.observations_by_name.get(new.target)
            if known is None:
                changed |= self._put(new, local=local)
            else:
                changed |= self._merge_claims(known, new, local)
        return changed

    def rows(self, names: Iterable[str]) -> tuple[AgedLimit, ...]:
        """Return bounds with their age."""
        now_ms = self.clock.now_ms()
        found = (self.observations_by_name[name] for name in names)
        return tuple(
            AgedLimit(
                each.row,
                max(now_ms - each.limit.at_ms, 0),
                max(now_ms - each.brittleness.at_ms, 0),
                *_cold_fields(each.cold, now_ms),
            )
            for each in found
        )

    def _base(self, row: TargetRow) -> _Observation | None:
        """Return what an answer of a target adds to; None if the answer is outdated."""
        known = self.observations_by_name.get(row.name)
        if known is None:
            return _Observation(row.name, row.incarnation)
        if known.incarnation < row.incarnation:
            return known.of(row.incarnation)
        return known if known.incarnation == row.incarnation else None

    def _claim(self, value: float | None, sent_ms: int) -> _Claim:
        return _Claim(value, sent_ms if value is None else self.clock.now_ms())

    def _record(self, new: _Observation) -> None:
        is_named = new.row.is_limited or new.row.is_brittle
        if is_named or new.target in self.observations_by_name:
            self._put(new, local=True)

    def _observation(self, aged: AgedLimit) -> _Observation:
        now_ms, row = self.clock.now_ms(), aged.limit
        return _Observation(
            row.target,
            row.incarnation,
            _Claim(row.per_second if row.is_limited else None, now_ms - aged.age_ms),
            _Claim(
                row.max_rejections if row.is_brittle else None,
                now_ms - aged.brittle_age_ms,
            ),
            _read_cold(aged, now_ms),
        )

    def _merge_claims(
        self, known: _Observation, new: _Observation, local: bool
    ) -> bool:
        """Merge an observation of a known target; see ``merge``."""
        # A limit and coldness end with their incarnation, brittleness does not.
        merged, other = known, new
        if new.incarnation > known.incarnation:
            merged = known.of(new.incarnation)
        elif new.incarnation < known.incarnation:
            other = new.of(known.incarnation)
        is_older = new.incarnation < known.incarnation
        for name in ("limit", "brittleness"):
            ours, theirs = getattr(merged, name), getattr(other, name)
            if theirs.replaces(ours):
                merged = attrs.evolve(merged, **{name: theirs})
            elif ours.replaces(theirs) and ours.value != theirs.value:
                is_older = True
        if other.cold is not None and other.cold.replaces(merged.cold):
            merged = attrs.evolve(merged, cold=other.cold)
        elif merged.cold is not None and new.incarnation == merged.incarnation:
            now_ms = self.clock.now_ms()
            is_older = is_older or not merged.cold.is_similar(other.cold, now_ms)
        changed = self._put(merged, local=local) if merged is not known else False
        if is_older:
            # The other process lacks the newer observation of this one.
            self._share(merged, local=True)
            changed = True
        return changed

    def _put(self, new: _Observation, *, local: bool) -> bool:
        """Keep an observation; return whether a bound changed."""
        known = self.observations_by_name.get(new.target)
        shared = known.shared if known is not None else None
        shared_cold = known.shared_cold if known is not None else None
        new = attrs.evolve(new, shared=shared, shared_cold=shared_cold)
        self.observations_by_name[new.target] = new
        has_same_bounds = shared is not None and _is_similar(shared, new.row)
        if has_same_bounds and _is_known_cold(new, self.clock.now_ms()):
            return False
        self._log_change(new, known)
        if new.cold is not None:
            self._log_cold(new.target, new.incarnation, new.cold)
        self._share(new, local=local)
        self._drop_oldest()
        return True

    def _log_change(self, new: _Observation, known: _Observation | None) -> None:
        before = known.shared if known is not None else None
        before = before or TargetLimit(new.target, new.incarnation, False, 0.0)
        if before.incarnation != new.incarnation:
            before = attrs.evolve(before, is_limited=False)
        row, now_ms = new.row, self.clock.now_ms()
        if not _is_similar_bound(before.limit_per_s, row.limit_per_s):
            events.log(
                events.TARGET_LIMIT_CHANGED,
                target=row.target,
                incarnation=row.incarnation,
                limited=row.is_limited,
                per_second=row.per_second,
                age_ms=now_ms - new.limit.at_ms,
            )
        if not _is_similar_bound(before.brittle_bound, row.brittle_bound):
            events.log(
                events.TARGET_BRITTLENESS_CHANGED,
                target=row.target,
                incarnation=row.incarnation,
                brittle=row.is_brittle,
                max_rejections=row.max_rejections,
                age_ms=now_ms - new.brittleness.at_ms,
            )

    def _log_cold(self, target: str, incarnation: int, belief: ColdBelief) -> None:
        """Log that a target is cold, or warm, unless that was the last line of it."""
        now_ms = self.clock.now_ms()
        logged = self.logged_cold_by_name.get(target)
        is_cold = belief.until_ms > now_ms
        was_cold = logged is not None and logged.incarnation == incarnation
        if is_cold:
            self.logged_cold_by_name[target] = _Start(incarnation, belief)
        elif logged is not None:
            del self.logged_cold_by_name[target]
        if is_cold == was_cold:
            return
        events.log(
            events.TARGET_COLD_CHANGED,
            target=target,
            incarnation=incarnation,
            cold=is_cold,
            left_ms=max(belief.until_ms - now_ms, 0),
            source=str(belief.source),
            age_ms=now_ms - belief.at_ms,
        )

    def _share(self, observation: _Observation, *, local: bool) -> None:
        name = observation.target
        shared = attrs.evolve(
            observation, shared=observation.row, shared_cold=observation.cold
        )
        self.observations_by_name[name] = shared
        self.log.record_change(name)
        if local:
            self.local_log.record_change(name)

    def _drop_oldest(self) -> None:
        while len(self.observations_by_name) > MAX_LIMITS:
            name = min(
                self.observations_by_name,
                key=lambda each: self.observations_by_name[each].newest_ms,
            )
            del self.observations_by_name[name]
            self.log.drop(name)
            self.local_log.drop(name)


def _cold_fields(cold: ColdBelief | None, now_ms: int) -> tuple[str, int, int]:
    """Return the fields of a belief in ``AgedLimit``."""
    if cold is None:
        return "", 0, 0
    left_ms = max(cold.until_ms - now_ms, -MAX_COLD_MS)
    return cold.source, left_ms, max(now_ms - cold.at_ms, 0)


def _read_cold(aged: AgedLimit, now_ms: int) -> ColdBelief | None:
    """Return the belief of another process; None if it has none that is known here."""
    if aged.cold_source not in set(ColdSource):
        return None
    left_ms = min(max(aged.cold_left_ms, -MAX_COLD_MS), MAX_COLD_MS)
    source = ColdSource(aged.cold_source)
    return ColdBelief(now_ms + left_ms, now_ms - aged.cold_age_ms, source)


def _is_known_cold(new: _Observation, now_ms: int) -> bool:
    """Return whether the coldness in an observation need not be passed on."""
    if new.cold is None:
        return new.shared_cold is None
    return new.cold.is_similar(new.shared_cold, now_ms)


def _is_similar(shared: TargetLimit, row: TargetLimit) -> bool:
    """Return whether a row need not be passed on after another one was."""
    return (
        shared.incarnation == row.incarnation
        and _is_similar_bound(shared.limit_per_s, row.limit_per_s)
        and _is_similar_bound(shared.brittle_bound, row.brittle_bound)
    )


def _is_similar_bound(shared: float | None, bound: float | None) -> bool:
    if shared is None or bound is None:
        return shared is bound
    return abs(shared - bound) <= MIN_SHARED_CHANGE * shared
