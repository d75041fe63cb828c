"""Chooses the target of an attempt."""

import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from typing import TYPE_CHECKING

import attrs

from wagtailrun.affinity import CacheEvents, PrefixIndex
from wagtailrun.clock import Clock
from wagtailrun.estimates import Estimates
from wagtailrun.limits import AdaptiveLimits
from wagtailrun.membership import TargetRow
from wagtailrun.outliers import FAILURE_SLOWNESS, OutlierEasing
from wagtailrun.ports.target import StageAnswer
from wagtailrun.subset import choose_subset

if TYPE_CHECKING:
    from wagtailrun.work import Work

__all__ = ["ExpectedTimeRouter", "LeastLoadedRouter", "Router"]

# About 20 targets a stage, whose load is known well (section 2 of the design page).
SUBSET_SIZE = 20
# A load that came with an answer is trusted over announcements this long: they are
# made once a second and arrive late.
ANSWER_LOAD_MS = 1_000
# A local target is taken unless one elsewhere is this much faster: links between data
# centres may be cut, but waiting for the deadline to be at risk cost 4 points of
# attainment at 90% load (docs/decisions.md).
LOCAL_ADVANTAGE = 1.25
# A prompt sent past its cached prefix also evicts blocks that others would have found;
# weight 1 gave a lower share of cached tokens and a lower attainment.
PREFIX_WEIGHT = 2.0
# One slow answer must not keep a target out of use for ever.
UNIT_HALF_LIFE_MS = 5_000
UNIT_WEIGHT = 0.2
SAVING_WEIGHT = 0.1
CACHED_SHARE = 0.5


class Router(ABC):
    """Chooses among usable targets and learns how attempts end."""

    @abstractmethod
    def choose(
        self,
        candidates: Sequence[TargetRow],
        work: "Work | None" = None,
        avoid: Collection[str] = (),
    ) -> TargetRow | None:
        """Return the target of the next attempt, or None if none has room.

        Args:
            candidates: Usable targets of the service.
            work: What is to run.
            avoid: Names of targets to be chosen only if there is no other.
        """

    @abstractmethod
    def started(self, target: TargetRow) -> None:
        """Note that an attempt was given to ``target``."""

    @abstractmethod
    def ended(
        self,
        target: TargetRow,
        duration_ms: int,
        succeeded: bool,
        work: "Work | None" = None,
        answer: StageAnswer | None = None,
        blamed: bool = True,
    ) -> None:
        """Note that an attempt at ``target`` ended.

        Args:
            target: Row that was chosen.
            duration_ms: Time since its start.
            succeeded: Whether the whole answer came.
            work: What ran.
            answer: Counters of the target, if it succeeded.
            blamed: Whether a failure says something about the target.
        """

    def waited(  # noqa: B027
        self, target: TargetRow, wait_ms: int, work: "Work"
    ) -> None:
        """Note how long an attempt waited for its first item, or in vain."""

    def paced(self, target: TargetRow, slowness: float) -> None:  # noqa: B027
        """Note the pace of a stream, as a multiple of the service's typical gap."""

    def unreachable(self, target: TargetRow) -> None:  # noqa: B027
        """Note that no new connection to ``target`` can be opened."""

    def observe_cache(  # noqa: B027
        self, target: TargetRow, events: CacheEvents
    ) -> None:
        """Note what ``target`` reported of its prefix cache."""


class LeastLoadedRouter(Router):
    """Chooses the least load by late reports and this entry's own attempts."""

    def __init__(self) -> None:
        self.in_flight_by_name: Counter[str] = Counter()

    def choose(
        self,
        candidates: Sequence[TargetRow],
        work: "Work | None" = None,
        avoid: Collection[str] = (),
    ) -> TargetRow | None:
        """Return the target with the least load a unit of capacity."""
        preferred = [row for row in candidates if row.name not in avoid]
        return min(preferred or candidates, key=self._load, default=None)

    def started(self, target: TargetRow) -> None:
        """Count the attempt as in flight."""
        self.in_flight_by_name[target.name] += 1

    def ended(
        self,
        target: TargetRow,
        duration_ms: int,
        succeeded: bool,
        work: "Work | None" = None,
        answer: StageAnswer | None = None,
        blamed: bool = True,
    ) -> None:
        """Count the attempt as no longer in flight."""
        self.in_flight_by_name[target.name] -= 1
        if not self.in_flight_by_name[target.name]:
            del self.in_flight_by_name[target.name]

    def _load(self, target: TargetRow) -> float:
        reported = target.running + target.queued
        return (reported + self.in_flight_by_name[target.name]) / target.capacity


@attrs.define
class _Known:
    """What this entry knows of one target beside its row."""

    version: tuple[int, int] = (0, -1)
    # Load as last learned, and own starts less own ends since.
    load: int = 0
    own_since: int = 0
    in_flight: int = 0
    learned_ms: int | None = None
    # Time of one attempt alone, as a multiple of the service's least contended time.
    unit: float = 1.0
    unit_ms: int = 0
    paced: bool = False
    unreachable_version: tuple[int, int] | None = None


@attrs.define
class _Subset:
    candidates: Sequence[TargetRow]
    local: list[TargetRow]
    remote: list[TargetRow]
    names: frozenset[str]


@attrs.frozen
class RouterOptions:
    """Parts of the router, each of which can be switched off to measure it."""

    correct_reports: bool = True
    two_choices: bool = True
    affinity: bool = True
    easing: bool = True
    limits: bool = True
    local_first: bool = True


class ExpectedTimeRouter(Router):
    """Chooses the earliest expected completion among two random targets.

    Args:
        clock: Clock.
        estimates: Recent distributions of stages.
        name: Name of this entry.
        data_centre: Data centre of this entry; empty takes all targets as local.
        seed: Seed of the random choices.
        entries: Returns the names of live entries; by default only this one is known.
        may_use_remote: Whether another data centre may serve a service.
        options: Parts that are in use.
    """

    def __init__(
        self,
        clock: Clock,
        estimates: Estimates,
        name: str,
        data_centre: str = "",
        seed: int | None = None,
        entries: Callable[[], Sequence[str]] = tuple,
        may_use_remote: Callable[[str], bool] = lambda service: True,
        options: RouterOptions = RouterOptions(),
    ):
        self.clock = clock
        self.estimates = estimates
        self.name = name
        self.data_centre = data_centre
        self.random = random.Random(seed)
        self.entries = entries
        self.may_use_remote = may_use_remote
        self.options = options
        self.limits = AdaptiveLimits()
        self.easing = OutlierEasing(clock)
        self.prefixes = PrefixIndex()
        self.known_by_name: dict[str, _Known] = {}
        self.subsets_by_service: dict[str, _Subset] = {}
        # Names, entries, and the positions of the chosen names.
        self.chosen_by_key: dict[
            tuple[str, bool], tuple[list[str], list[str], list[int]]
        ] = {}
        self.saving_ms_by_service: dict[str, list[float | None]] = {}

    def choose(
        self,
        candidates: Sequence[TargetRow],
        work: "Work | None" = None,
        avoid: Collection[str] = (),
    ) -> TargetRow | None:
        """Return the earliest expected completion; see ``Router.choose``."""
        if not candidates:
            return None
        subset = self._subset(candidates)
        now_ms = self.clock.now_ms()
        local, local_ms = self._best(subset.local, work, avoid, now_ms)
        if not subset.remote or not self.may_use_remote(candidates[0].service):
            return local
        remote, remote_ms = self._best(subset.remote, work, avoid, now_ms)
        if local is None or remote is None:
            return local or remote
        if self._is_ruled_out(local, avoid):
            return local if self._is_ruled_out(remote, avoid) else remote
        if local_ms <= remote_ms * LOCAL_ADVANTAGE:
            return local
        return remote

    def _is_ruled_out(self, row: TargetRow, avoid: Collection[str]) -> bool:
        """Return whether ``row`` was chosen only because there was nothing better."""
        return row.name in avoid or self._is_unreachable(row)

    def _subset(self, candidates: Sequence[TargetRow]) -> _Subset:
        service = candidates[0].service
        subset = self.subsets_by_service.get(service)
        if subset is not None and subset.candidates is candidates:
            return subset
        local, remote = list(candidates), []
        if self.options.local_first and self.data_centre:
            own = self.data_centre
            local = [row for row in candidates if row.data_centre == own]
            remote = [row for row in candidates if row.data_centre != own]
        local = self._limited((service, True), local)
        remote = self._limited((service, False), remote)
        names = frozenset([row.name for row in (*local, *remote)])
        self._forget(subset, names)
        subset = _Subset(candidates, local, remote, names)
        self.subsets_by_service[service] = subset
        now_ms = self.clock.now_ms()
        for row in (*local, *remote):
            self._known(row, now_ms)
        return subset

    def _forget(self, before: _Subset | None, names: frozenset[str]) -> None:
        """Drop what is known of targets that are not used any more."""
        if before is None or before.names is names or before.names <= names:
            return
        for name in before.names - names:
            if not self.limits.in_flight_by_name[name]:
                self.known_by_name.pop(name, None)
                self.limits.forget(name)
                self.easing.forget(name)
                self.prefixes.forget(name)

    def _limited(self, key: tuple[str, bool], rows: list[TargetRow]) -> list[TargetRow]:
        if len(rows) <= SUBSET_SIZE:
            return rows
        names = [row.name for row in rows]
        entries = list(self.entries())
        known = self.chosen_by_key.get(key)
        # Hashing all pairs takes milliseconds, so it is done on a change only.
        if known is None or known[0] != names or known[1] != entries:
            chosen = choose_subset(names, self.name, entries, SUBSET_SIZE)
            positions = [n for n, name in enumerate(names) if name in chosen]
            known = self.chosen_by_key[key] = (names, entries, positions)
        return [rows[position] for position in known[2]]

    def _best(
        self,
        rows: list[TargetRow],
        work: "Work | None",
        avoid: Collection[str],
        now_ms: int,
    ) -> tuple[TargetRow | None, float]:
        """Return a target with room and its expected time, or None."""
        able = [row for row in rows if self._has_room(row, work)]
        able = [row for row in able if row.name not in avoid] or able
        reachable = [row for row in able if not self._is_unreachable(row)]
        able = reachable or able
        if not able:
            return None, 0.0
        picks = self._picks(able, work)
        if len(picks) == 1:
            return picks[0], self.expected_ms(picks[0], work, now_ms)
        times = [self.expected_ms(row, work, now_ms) for row in picks]
        best = min(range(len(picks)), key=times.__getitem__)
        return picks[best], times[best]

    def _picks(self, able: list[TargetRow], work: "Work | None") -> list[TargetRow]:
        if self.options.easing and len(able) > 1:
            drawn = self.random.random()
            able = [row for row in able if drawn < self.easing.share(row.name)] or able
        if not self.options.two_choices or len(able) <= 2:
            return able
        picks = self.random.sample(able, 2)
        if self.options.affinity and work is not None and work.prefixes:
            holder = max(able, key=lambda row: self._cached_share(row, work))
            if self._cached_share(holder, work) > 0 and holder not in picks:
                picks.append(holder)
        return picks

    def _cached_share(self, row: TargetRow, work: "Work") -> float:
        return self.prefixes.cached_share(row.name, row.incarnation, work.prefixes)

    def _has_room(self, row: TargetRow, work: "Work | None") -> bool:
        if not self.options.limits:
            return True
        if self.limits.has_room(row.name, row.capacity):
            return True
        if work is None or not work.prefixes or not self.options.affinity:
            return False
        # Work that finds its prefix cached is lighter than what the limit is made for.
        extra = self._cached_share(row, work)
        return self.limits.has_room(row.name, row.capacity, extra)

    def _is_unreachable(self, row: TargetRow) -> bool:
        known = self.known_by_name.get(row.name)
        return known is not None and known.unreachable_version == row.version

    def expected_ms(self, row: TargetRow, work: "Work | None", now_ms: int) -> float:
        """Return the expected time to completion at ``row``, in milliseconds.

        Without samples the result only compares loads.
        """
        known = self._known(row, now_ms)
        base_ms = None
        if work is not None:
            base_ms = self.estimates.baseline_ms(
                work.service, work.stage, work.size_class
            )
        load = self._load(known, row)
        age_ms = now_ms - known.unit_ms
        unit = 1.0 + (known.unit - 1.0) * 0.5 ** (age_ms / UNIT_HALF_LIFE_MS)
        expected = (base_ms or 1.0) * unit * (1.0 + load / row.capacity)
        if self.options.affinity and work is not None and work.prefixes and base_ms:
            saving_ms = self._saving_ms(work.service)
            if saving_ms:
                # Prefill holds up the whole batch, so its saving counts for each
                # request that runs beside this one.
                beside = PREFIX_WEIGHT * (1 + min(load, row.capacity))
                expected -= saving_ms * self._cached_share(row, work) * beside
        return expected

    def _load(self, known: _Known, row: TargetRow) -> int:
        if not self.options.correct_reports:
            return row.running + row.queued
        return max(known.load + known.own_since, known.in_flight)

    def _known(self, row: TargetRow, now_ms: int) -> _Known:
        known = self.known_by_name.get(row.name)
        if known is None:
            known = self.known_by_name[row.name] = _Known()
        if row.version != known.version:
            restarted = row.incarnation != known.version[0]
            known.version = row.version
            learned_ms = known.learned_ms
            old = learned_ms is None or now_ms - learned_ms >= ANSWER_LOAD_MS
            if restarted or old:
                known.load = row.running + row.queued
                known.own_since = 0
            if restarted:
                known.unit = 1.0
            if row.cache_prefixes:
                changes = row.cache_prefixes
                events = CacheEvents(row.cache_first, row.cache_last, changes)
                self.observe_cache(row, events)
        return known

    def _saving_ms(self, service: str) -> float:
        cached_ms, uncached_ms = self.saving_ms_by_service.get(service, (None, None))
        if cached_ms is None or uncached_ms is None:
            # Unknown until both kinds were seen; any saving is worth finding out.
            return uncached_ms or 0.0
        return max(uncached_ms - cached_ms, 0.0)

    def started(self, target: TargetRow) -> None:
        """Count the attempt as in flight."""
        known = self._known(target, self.clock.now_ms())
        known.own_since += 1
        known.in_flight += 1
        self.limits.started(target.name)

    def ended(
        self,
        target: TargetRow,
        duration_ms: int,
        succeeded: bool,
        work: "Work | None" = None,
        answer: StageAnswer | None = None,
        blamed: bool = True,
    ) -> None:
        """Learn from the attempt; see ``Router.ended``."""
        known = self._known(target, self.clock.now_ms())
        known.own_since -= 1
        known.in_flight -= 1
        slowness = None
        if succeeded and work is not None:
            slowness = self._slowness(duration_ms, work)
            if slowness is not None:
                self._learn(known, target, slowness)
        elif not succeeded and blamed:
            self.easing.record(target.name, target.service, FAILURE_SLOWNESS)
        self.limits.ended(target.name)
        if answer is not None:
            self._learn_load(known, answer)
            if work is not None and work.prefixes:
                self._learn_saving(work, answer)

    def _slowness(self, duration_ms: int, work: "Work") -> float | None:
        base_ms = self.estimates.baseline_ms(work.service, work.stage, work.size_class)
        return duration_ms / base_ms if base_ms else None

    def waited(self, target: TargetRow, wait_ms: int, work: "Work") -> None:
        """Adapt the target's limit; the first item shows a queue soonest."""
        base_ms = self.estimates.first_baseline_ms(
            work.service, work.stage, work.size_class
        )
        if base_ms:
            self.limits.observe(target.name, target.capacity, wait_ms / base_ms)

    def _learn(self, known: _Known, target: TargetRow, slowness: float) -> None:
        load = self._load(known, target)
        unit = slowness / (1.0 + load / target.capacity)
        known.unit += UNIT_WEIGHT * (unit - known.unit)
        known.unit_ms = self.clock.now_ms()
        # Durations of streams differ by their queues; their pace says more.
        if not known.paced:
            self.easing.record(target.name, target.service, slowness)

    def paced(self, target: TargetRow, slowness: float) -> None:
        """Compare the pace of a stream with its peers."""
        self._known(target, self.clock.now_ms()).paced = True
        self.easing.record(target.name, target.service, slowness)

    def _learn_load(self, known: _Known, answer: StageAnswer) -> None:
        known.load = answer.running + answer.queued
        known.own_since = 0
        known.learned_ms = self.clock.now_ms()

    def _learn_saving(self, work: "Work", answer: StageAnswer) -> None:
        if not answer.tokens_in:
            return
        times = self.saving_ms_by_service.setdefault(work.service, [None, None])
        cached = answer.tokens_cached / answer.tokens_in >= CACHED_SHARE
        index = 0 if cached else 1
        before = times[index]
        spent = float(answer.engine_ms)
        times[index] = (
            spent if before is None else before + SAVING_WEIGHT * (spent - before)
        )

    def unreachable(self, target: TargetRow) -> None:
        """Pass the target over until it announces itself again."""
        known = self._known(target, self.clock.now_ms())
        known.unreachable_version = target.version

    def observe_cache(self, target: TargetRow, events: CacheEvents) -> None:
        """Apply cache events of a target that this entry uses.

        Events passed over are a gap like any other if the target is used later.
        """
        subset = self.subsets_by_service.get(target.service)
        if subset is None or target.name not in subset.names:
            return
        self.prefixes.observe(target.name, target.incarnation, events)
