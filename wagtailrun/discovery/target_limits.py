"""Bounds that targets name in their answers: of requests, and of rejections."""

import math
from collections.abc import Iterable

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.messages import UNKNOWN_AGE_MS, AgedLimit, TargetLimit
from wagtailrun.logs import events
from wagtailrun.targets.table import ChangeLog, TargetRow

__all__ = ["TargetLimits"]

# Bounds the table; more targets than the largest fleet has.
MAX_LIMITS = 4_096
# Ages that different processes measure differ by less than this. Of two observations
# that are closer the stricter one counts, so that all processes agree.
AGE_TOLERANCE_MS = 500
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
        shared: What was last passed on, if anything.
    """

    target: str
    incarnation: int
    limit: _Claim = UNKNOWN
    brittleness: _Claim = UNKNOWN
    shared: TargetLimit | None = None

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
        return max(self.limit.at_ms, self.brittleness.at_ms)


class TargetLimits:
    """Bounds of the targets, merged among all processes.

    The newest observation of each bound of a target counts. An answer that does not
    name a bound ends an earlier one only if its request was sent after the bound had
    been named: answers may overtake each other.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.observations_by_name: dict[str, _Observation] = {}
        # All changes, and those that were observed here or reported to this process.
        self.log = ChangeLog()
        self.local_log = ChangeLog()

    def limit_per_s(self, row: TargetRow) -> float | None:
        """Return the requests a second that a target takes; None without a limit."""
        known = self.observations_by_name.get(row.name)
        if known is None or known.incarnation != row.incarnation:
            return None
        return known.limit.value

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
            without a bound.
        """
        known = self.observations_by_name.get(row.name)
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

    def merge(self, rows: Iterable[AgedLimit], *, local: bool = False) -> bool:
        """Merge observations of another process; return whether any changed a bound.

        Args:
            rows: Bounds with ages.
            local: Whether to pass them on to other processes of this kind.
        """
        changed = False
        for aged in rows:
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
            )
            for each in found
        )

    def _base(self, row: TargetRow) -> _Observation | None:
        """Return what an answer of a target adds to; None if the answer is outdated."""
        known = self.observations_by_name.get(row.name)
        if known is None:
            return _Observation(row.name, row.incarnation)
        if known.incarnation < row.incarnation:
            return attrs.evolve(known, incarnation=row.incarnation, limit=UNKNOWN)
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
        )

    def _merge_claims(
        self, known: _Observation, new: _Observation, local: bool
    ) -> bool:
        """Merge an observation of a known target; see ``merge``."""
        # A limit ends with its incarnation, brittleness does not.
        merged, other = known, new
        if new.incarnation > known.incarnation:
            merged = attrs.evolve(known, incarnation=new.incarnation, limit=UNKNOWN)
        elif new.incarnation < known.incarnation:
            other = attrs.evolve(new, incarnation=known.incarnation, limit=UNKNOWN)
        is_older = new.incarnation < known.incarnation
        for name in ("limit", "brittleness"):
            ours, theirs = getattr(merged, name), getattr(other, name)
            if theirs.replaces(ours):
                merged = attrs.evolve(merged, **{name: theirs})
            elif ours.replaces(theirs) and ours.value != theirs.value:
                is_older = True
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
        new = attrs.evolve(new, shared=shared)
        self.observations_by_name[new.target] = new
        if shared is not None and _is_similar(shared, new.row):
            return False
        self._log_change(new, known)
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

    def _share(self, observation: _Observation, *, local: bool) -> None:
        name = observation.target
        shared = attrs.evolve(observation, shared=observation.row)
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
