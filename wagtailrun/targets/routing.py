"""Chooses the target of an attempt by its expected time."""

import math
import random
from collections.abc import Callable, Collection, Sequence
from typing import TYPE_CHECKING

import attrs

from wagtailrun.clock import Clock
from wagtailrun.ports.target import StageAnswer, TargetLoad
from wagtailrun.targets.affinity import CacheEvents, PrefixIndex
from wagtailrun.targets.estimates import Estimates
from wagtailrun.targets.health import HealthRules, HealthState, TargetHealth
from wagtailrun.targets.limits import AdaptiveLimits
from wagtailrun.targets.outliers import FAILURE_SLOWNESS, OutlierThrottle
from wagtailrun.targets.paths import PathObservations
from wagtailrun.targets.pauses import PauseRules, TargetPauses
from wagtailrun.targets.router import LeastLoadedRouter, Router
from wagtailrun.targets.router_options import RouterOptions
from wagtailrun.targets.silence import SilenceWatch
from wagtailrun.targets.subset import choose_subset
from wagtailrun.targets.table import TargetRow

if TYPE_CHECKING:
    from wagtailrun.targets.work import Work

__all__ = ["ExpectedTimeRouter", "LeastLoadedRouter", "Router"]

# Number of targets of a service that an entry uses; their load is then known well
# (section 2 of the design page).
SUBSET_SIZE = 20
HEALTH_RULES = HealthRules(
    slowness_half_life_ms=5_000,
    slowness_weight=0.2,
    min_slowness=0.0,
    max_slowness=math.inf,
    averages_decayed=False,
    load_lifetime_ms=None,
)
PAUSE_RULES = PauseRules(key=lambda row: (row.name, row.incarnation))
# A local target is preferred unless a remote one is faster by this factor, because
# links between data centres may fail. Using remote targets only when the deadline was
# at risk cost 4 points of attainment at 90% load (docs/decisions.md).
LOCAL_ADVANTAGE = 1.25
# A prompt that misses its cached prefix also evicts blocks that other prompts would
# have used; weight 1 gave a lower share of cached tokens and a lower attainment.
PREFIX_WEIGHT = 2.0
# Weight of the newest answer in the mean engine times.
SAVING_WEIGHT = 0.1
# Share of cached input tokens from which an answer counts as served from the cache.
MIN_CACHED_SHARE = 0.5


@attrs.define
class _Subset:
    candidates: Sequence[TargetRow]
    local: list[TargetRow]
    remote: list[TargetRow]
    names: frozenset[str]


class ExpectedTimeRouter(Router):
    """Chooses the one of two random targets that is expected to finish first.

    Args:
        clock: Clock.
        estimates: Recent distributions of stages.
        name: Name of this entry.
        data_centre: Data centre of this entry; if empty, all targets count as local.
        seed: Seed for the random choices.
        entries: Returns the names of live entries; by default none are known.
        may_use_remote: Returns whether other data centres may serve a service.
        options: Policies that are enabled; by default all.
        was_held_since: Returns whether this process stood still after a time.
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
        options: RouterOptions | None = None,
        was_held_since: Callable[[int], bool] = lambda since_ms: False,
    ):
        self.clock = clock
        self.estimates = estimates
        self.name = name
        self.data_centre = data_centre
        self.random = random.Random(seed)
        self.entries = entries
        self.may_use_remote = may_use_remote
        self.options = options or RouterOptions()
        self.limits = AdaptiveLimits()
        self.throttle = OutlierThrottle(clock)
        self.prefixes = PrefixIndex()
        self.health = TargetHealth(clock, HEALTH_RULES, HealthState)
        self.pauses = TargetPauses(clock, PAUSE_RULES)
        self.paths: PathObservations = PathObservations(clock, data_centre, seed)
        self.silence: SilenceWatch = SilenceWatch(clock, was_held_since)
        # Targets with a measured pace of a stream.
        self.paced_names: set[str] = set()
        self.subsets_by_service: dict[str, _Subset] = {}
        # By service and locality: names and entries at the last selection, and the
        # positions of the selected names.
        self.subset_positions_by_key: dict[
            tuple[str, bool], tuple[list[str], list[str], list[int]]
        ] = {}
        # Mean engine time of answers with and without cached prefix.
        self.mean_engine_ms_by_service: dict[str, list[float | None]] = {}

    def choose(
        self,
        candidates: Sequence[TargetRow],
        work: "Work | None" = None,
        avoid: Collection[str] = (),
    ) -> TargetRow | None:
        """Return the target with the earliest expected completion; see ``Router``."""
        if not candidates:
            return None
        now_ms = self.clock.now_ms()
        local_rows, remote_rows = self._allowed_rows(candidates, work)
        log = self.decisions
        if log.enabled:
            log.begin_choice([*local_rows, *remote_rows])
        if self.paths.has_observations:
            rows = [*local_rows, *remote_rows]
            left_out = self.paths.names_left_out(rows)
            local_rows = [row for row in local_rows if row.name not in left_out]
            remote_rows = [row for row in remote_rows if row.name not in left_out]
            if log.enabled:
                log.leave_out(rows, [*local_rows, *remote_rows], "no-path")
        if now_ms < self.pauses.last_end_ms:
            rows = [*local_rows, *remote_rows]
            last = [row.name for row in rows if self._is_last_resort(row, avoid)]
            names = {row.name for row in self.pauses.admitted(rows, self.name, last)}
            local_rows = [row for row in local_rows if row.name in names]
            remote_rows = [row for row in remote_rows if row.name in names]
            if log.enabled:
                log.leave_out(rows, [*local_rows, *remote_rows], "paused")
        if self.paths.hints.has_hints:
            without = self.paths.without_hints
            unhinted = without(local_rows), without(remote_rows)
            if log.enabled:
                log.leave_out(
                    [*local_rows, *remote_rows], [*unhinted[0], *unhinted[1]], "hinted"
                )
            found = self._faster_of(*unhinted, work, avoid)
            if found is not None and not self._is_last_resort(found, avoid):
                return found
        return self._faster_of(local_rows, remote_rows, work, avoid)

    def _faster_of(
        self,
        local_rows: list[TargetRow],
        remote_rows: list[TargetRow],
        work: "Work | None",
        avoid: Collection[str],
    ) -> TargetRow | None:
        """Return the best local or remote target, with a preference for the local."""
        now_ms = self.clock.now_ms()
        local, local_ms = self._best_target(local_rows, work, avoid, now_ms)
        if not remote_rows:
            return local
        remote, remote_ms = self._best_target(remote_rows, work, avoid, now_ms)
        if local is None or remote is None:
            return local or remote
        if self._is_last_resort(local, avoid):
            return local if self._is_last_resort(remote, avoid) else remote
        if local_ms <= remote_ms * LOCAL_ADVANTAGE:
            return local
        return remote

    def has_path(
        self, candidates: Sequence[TargetRow], work: "Work | None" = None
    ) -> bool:
        """Return whether a request can reach any target; see ``Router.has_path``."""
        if not candidates or not self.paths.has_observations:
            return bool(candidates)
        local_rows, remote_rows = self._allowed_rows(candidates, work)
        rows = (*local_rows, *remote_rows)
        return not rows or not all(map(self.paths.is_lost, rows))

    def _allowed_rows(
        self, candidates: Sequence[TargetRow], work: "Work | None"
    ) -> tuple[list[TargetRow], list[TargetRow]]:
        """Return the targets in use that may get the work, local and remote ones."""
        subset = self._subset(candidates, work)
        if subset.remote and not self.may_use_remote(candidates[0].service):
            return subset.local, []
        return subset.local, subset.remote

    def _is_last_resort(self, row: TargetRow, avoid: Collection[str]) -> bool:
        """Return whether ``row`` was chosen only for lack of a better target."""
        return row.name in avoid or self.paths.is_unreachable(row)

    def _subset(self, candidates: Sequence[TargetRow], work: "Work | None") -> _Subset:
        service = candidates[0].service
        subset = self.subsets_by_service.get(service)
        if subset is not None and subset.candidates is candidates:
            return subset
        local, remote = list(candidates), []
        if self.options.local_first and self.data_centre:
            own = self.data_centre
            local = [row for row in candidates if row.data_centre == own]
            remote = [row for row in candidates if row.data_centre != own]
        local = self._select_subset((service, True), local)
        remote = self._select_subset((service, False), remote)
        names = frozenset([row.name for row in (*local, *remote)])
        if (
            subset is not None
            and work is not None
            and work.software_version is not None
        ):
            # The candidates are those of one version; the others are in use, too.
            names |= subset.names
        self._drop_unused(subset, names)
        subset = _Subset(candidates, local, remote, names)
        self.subsets_by_service[service] = subset
        now_ms = self.clock.now_ms()
        for row in (*local, *remote):
            known = self.health.states_by_name.get(row.name)
            if known is not None and known.announcement is row:
                continue
            self.health.state(row, now_ms)
            if row.cache_prefixes:
                # The index ignores events that it knows.
                changes = row.cache_prefixes
                events = CacheEvents(row.cache_first, row.cache_last, changes)
                self.observe_cache(row, events)
        return subset

    def _drop_unused(self, before: _Subset | None, names: frozenset[str]) -> None:
        """Drop the state of targets that left the subset."""
        if before is None or before.names is names or before.names <= names:
            return
        gone = before.names - names
        used = frozenset[str]().union(
            *(s.names for s in self.subsets_by_service.values())
        )
        self.silence.retain(used - gone, self.subsets_by_service)
        for name in gone:
            if self.health.forget(name):
                self.paced_names.discard(name)
                self.limits.forget(name)
                self.throttle.forget(name)
                self.prefixes.forget(name)

    def _select_subset(
        self, key: tuple[str, bool], rows: list[TargetRow]
    ) -> list[TargetRow]:
        if len(rows) <= SUBSET_SIZE:
            return rows
        names = [row.name for row in rows]
        entries = list(self.entries())
        cached = self.subset_positions_by_key.get(key)
        # Hashing all pairs takes milliseconds, so the result is cached until a change.
        if cached is None or cached[0] != names or cached[1] != entries:
            chosen = choose_subset(names, self.name, entries, SUBSET_SIZE)
            positions = [n for n, name in enumerate(names) if name in chosen]
            cached = self.subset_positions_by_key[key] = (names, entries, positions)
        return [rows[position] for position in cached[2]]

    def _best_target(
        self,
        rows: list[TargetRow],
        work: "Work | None",
        avoid: Collection[str],
        now_ms: int,
    ) -> tuple[TargetRow | None, float]:
        """Return the best drawn target with room and its expected time, or None."""
        available = with_room = [row for row in rows if self._has_room(row, work)]
        if available and work is not None and self.options.spare_silent:
            available = self._admitted(available, work, avoid)
        untried = [row for row in available if row.name not in avoid] or available
        if self.decisions.enabled:
            self.decisions.leave_out(rows, with_room, "no-room")
            self.decisions.leave_out(with_room, available, "silent")
            self.decisions.leave_out(available, untried, "tried")
        if not untried:
            return None, 0.0
        drawn_rows = self._draw_candidates(untried, work)
        times = [self.expected_ms(row, work, now_ms) for row in drawn_rows]
        if self.decisions.enabled:
            self.decisions.rank(drawn_rows, times)
        best = min(range(len(drawn_rows)), key=times.__getitem__)
        return drawn_rows[best], times[best]

    def _admitted(
        self, rows: list[TargetRow], work: "Work", avoid: Collection[str]
    ) -> list[TargetRow]:
        """Return the targets that are not silent, or a silent one that is probed."""
        # A probe may be lost: no order, stream that goes on, retry or hedge is one.
        may_probe = work.idempotent and work.software_version is None and not avoid
        rows = self.silence.admitted(
            rows, self.name, avoid, prompt_tokens=work.length, begin=may_probe
        )
        spared = self.silence.penalties_ms(rows, self.name)
        return [row for row in rows if row.name not in spared] if spared else rows

    def _draw_candidates(
        self, available: list[TargetRow], work: "Work | None"
    ) -> list[TargetRow]:
        if self.options.throttle_outliers and len(available) > 1:
            drawn = self.random.random()
            all_rows, available = (
                available,
                [row for row in available if drawn < self.throttle.share(row.name)]
                or available,
            )
            if self.decisions.enabled:
                self.decisions.leave_out(all_rows, available, "throttled")
        if not self.options.two_choices or len(available) <= 2:
            return available
        drawn_rows = self.random.sample(available, 2)
        if self.options.affinity and work is not None and work.prefixes:
            holder = max(available, key=lambda row: self._cached_share(row, work))
            if self._cached_share(holder, work) > 0 and holder not in drawn_rows:
                drawn_rows.append(holder)
        if self.decisions.enabled:
            self.decisions.leave_out(available, drawn_rows, "not-drawn")
        return drawn_rows

    def _cached_share(self, row: TargetRow, work: "Work") -> float:
        return self.prefixes.cached_share(row.name, row.incarnation, work.prefixes)

    def _has_room(self, row: TargetRow, work: "Work | None") -> bool:
        if not self.options.limits:
            return True
        if self.limits.has_room(row.name, row.capacity):
            return True
        if work is None or not work.prefixes or not self.options.affinity:
            return False
        # Work with a cached prefix takes less of a target than the limit assumes.
        extra = self._cached_share(row, work)
        return self.limits.has_room(row.name, row.capacity, extra)

    def expected_ms(self, row: TargetRow, work: "Work | None", now_ms: int) -> float:
        """Return the expected time to completion at ``row``, in milliseconds.

        Without samples of the service, the result is only useful to compare targets.
        """
        state = self.health.state(row)
        base_ms = self._baseline_ms(work)
        load = self._load(state, row, now_ms)
        slowness = self.health.slowness(state, now_ms)
        expected = (base_ms or 1.0) * slowness * (1.0 + load / row.capacity)
        if self.options.affinity and work is not None and work.prefixes and base_ms:
            saving_ms = self._cache_saving_ms(work.service)
            if saving_ms:
                # Prefill delays the whole batch, so its saving counts once for each
                # request that runs concurrently.
                weight = PREFIX_WEIGHT * (1 + min(load, row.capacity))
                expected -= saving_ms * self._cached_share(row, work) * weight
        return expected

    def _baseline_ms(self, work: "Work | None") -> int | None:
        if work is None:
            return None
        return self.estimates.baseline_ms(work.service, work.stage, work.size_class)

    def _load(self, state: HealthState, row: TargetRow, now_ms: int) -> float:
        if not self.options.correct_reports:
            return row.running + row.queued
        return self.health.load(state, now_ms)

    def _cache_saving_ms(self, service: str) -> float:
        cached_ms, uncached_ms = self.mean_engine_ms_by_service.get(
            service, (None, None)
        )
        if cached_ms is None or uncached_ms is None:
            # Until answers with and without cached prefix were measured, the whole time
            # without it counts as saving, so that prompts are sent to caches and
            # answers with a cached prefix get measured.
            return uncached_ms or 0.0
        return max(uncached_ms - cached_ms, 0.0)

    def started(self, target: TargetRow) -> None:
        """Count the attempt as in flight."""
        self.health.record_start(target)
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
        """Update load, slowness and limits from the attempt; see ``Router.ended``."""
        state = self.health.state(target)
        self.health.record_end(target)
        if succeeded:
            self._record_success(state, target, duration_ms, work)
        elif blamed:
            self.health.record_failure(target)
            self.throttle.record(target.name, target.service, FAILURE_SLOWNESS)
        self.limits.ended(target.name)
        if answer is not None:
            load = TargetLoad(answer.running, answer.queued, target.capacity)
            self.health.record_load(target, load)
            if work is not None and work.prefixes:
                self._update_cache_saving(work, answer)

    def _record_success(
        self,
        state: HealthState,
        target: TargetRow,
        duration_ms: int,
        work: "Work | None",
    ) -> None:
        base_ms = self._baseline_ms(work)
        if not base_ms:
            self.health.record_success(target, None)
            return
        slowness = duration_ms / base_ms
        load = self._load(state, target, self.clock.now_ms())
        # A queue is no slowness of the target.
        self.health.record_success(target, slowness / (1.0 + load / target.capacity))
        # The duration of a stream includes queueing, so its pace is the better measure.
        if target.name not in self.paced_names:
            self.throttle.record(target.name, target.service, slowness)

    def record_first_item(self, target: TargetRow, wait_ms: int, work: "Work") -> None:
        """Adapt the concurrency limit; the first item shows a queue earliest."""
        base_ms = self.estimates.first_baseline_ms(
            work.service, work.stage, work.size_class
        )
        if base_ms:
            self.limits.observe(target.name, target.capacity, wait_ms / base_ms)

    def record_pace(self, target: TargetRow, slowness: float) -> None:
        """Compare the pace of a stream with its peers."""
        self.paced_names.add(target.name)
        self.throttle.record(target.name, target.service, slowness)

    def _update_cache_saving(self, work: "Work", answer: StageAnswer) -> None:
        if not answer.tokens_in:
            return
        times = self.mean_engine_ms_by_service.setdefault(work.service, [None, None])
        cached = answer.tokens_cached / answer.tokens_in >= MIN_CACHED_SHARE
        index = 0 if cached else 1
        before = times[index]
        spent = float(answer.engine_ms)
        times[index] = (
            spent if before is None else before + SAVING_WEIGHT * (spent - before)
        )

    def mark_unreachable(self, target: TargetRow, refused: bool = False) -> None:
        """Avoid the target until a connection to it was proven; see ``Router``."""
        self.paths.record_failure(target, refused)

    def pause(self, target: TargetRow, duration_ms: int) -> None:
        """Send no new work to the target until then, while another can serve."""
        self.pauses.record_pause(target, duration_ms)

    def is_paused(self, target: TargetRow) -> bool:
        """Return whether the target's pause is not over."""
        return self.pauses.left_ms(target) > 0

    def observe_cache(self, target: TargetRow, events: CacheEvents) -> None:
        """Apply cache events of a target that this entry uses.

        Events of other targets are ignored; if such a target is used later, the index
        sees them as a gap.
        """
        subset = self.subsets_by_service.get(target.service)
        if subset is None or target.name not in subset.names:
            return
        self.prefixes.observe(target.name, target.incarnation, events)
