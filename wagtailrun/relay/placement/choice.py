"""Target selection for the attempts of relayed requests."""

import math
import random
from collections import defaultdict
from collections.abc import Collection, Hashable, Iterable, Mapping, Sequence
from typing import Any

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.target_limits import TargetLimits
from wagtailrun.relay.core.port import PromptPart
from wagtailrun.relay.placement.estimate import FirstEventModel
from wagtailrun.relay.placement.part_cache import PartCache
from wagtailrun.targets.decisions import NO_DECISIONS, DecisionLog
from wagtailrun.targets.health import HealthRules, HealthState, TargetHealth
from wagtailrun.targets.subset import rendezvous_rank
from wagtailrun.targets.table import TargetRow

__all__ = ["PrefillEstimate", "TargetChoice", "TargetChooser"]

HEALTH_RULES = HealthRules(
    slowness_half_life_ms=4_000,
    slowness_weight=0.3,
    min_slowness=1.0,
    max_slowness=10.0,
    averages_decayed=True,
    load_lifetime_ms=1_500,
)
# Costs are expected delays and are used only to compare targets: for each unit of load,
# for each unit of load above full, for a failure rate of 1, for each multiple of the
# usual time, and for a target in another data centre.
LOAD_COST_MS = 120.0
OVERLOAD_COST_MS = 600.0
FAILURE_COST_MS = 1_500.0
SLOWNESS_COST_MS = 250.0
OTHER_DATA_CENTRE_COST_MS = 8.0
# A target that limits its requests is in need; others are preferred at a similar load.
LIMITED_COST_MS = 120.0
# It is preferred once no answer has named the limit for this long: only a request finds
# out whether the limit has ended.
LIMIT_CHECK_MS = 3_000
LIMIT_CHECK_GAIN_MS = 600.0
# Sending 1 MB of results to another data centre takes about 1 ms at 10 Gbit/s, but the
# traffic costs the operator far more than that delay.
TRANSFER_COST_MS_PER_MB = 30.0
# Reading parts again that another engine holds takes the time of the prompts that wait
# meanwhile, and energy: each millisecond counts as this many more. With 1, modelled
# engines read twice as much again as with 2 or 3 (``bench/prompt_parts.py``).
REREAD_WEIGHT = 3.0
# An engine that would read so many tokens again is probed by other prompts.
MUCH_REREAD_TOKENS = 1_000
# An engine that is expected to be late for the latency objective is used if the others
# cost so much more. Long prefills take a quarter longer than expected as often as not.
LATE_COST_MS = 1_500.0
LATE_FACTOR = 1.25
# Without a holder, a first part is read where all entries expect it, at a similar load.
HOME_GAIN_MS = 10.0
# Cost of an engine that got as many recent prompts as the mean, and their lifetime: new
# parts are read where few prompts came, since later prompts follow them there. Without
# it, one of nine engines got as little as 0.4 of its share, in place of 0.7.
BALANCE_COST_MS = 90.0
RECENT_LIFETIME_MS = 7_000
# Callers state the tokens of their prompts. The largest one that fits the memory of the
# users' engines (581,741 tokens) takes about this long.
MAX_PREFILL_MS = 10_000.0


@attrs.define
class _EngineState(HealthState):
    """State of a target, with what the prompts that it got say about an engine.

    Attributes:
        prefill_ends_ms: When the engine is expected to have processed its prompts.
        recent_prompts: Prompts that it was given, older ones counting for less, at
            ``recent_updated_ms``.
        parts: Prompt parts that it probably holds.
    """

    prefill_ends_ms: float = 0.0
    recent_prompts: float = 0.0
    recent_updated_ms: int = 0
    parts: PartCache = attrs.field(factory=PartCache)


@attrs.define
class PrefillEstimate:
    """What an engine has to do before the first event of a prompt.

    Attributes:
        queue_ms: Time until it begins to process the prompt.
        cached_tokens: Leading tokens that it need not process.
        held_tokens: These, and the tokens behind them that it processes for others.
        prefill_ms: Time to process all but the cached ones.
        part_wait_ms: Time until the prompt should be sent, as the engine reads a part
            of it for another one; 0 if now.
    """

    queue_ms: float
    cached_tokens: int
    held_tokens: int
    prefill_ms: float
    part_wait_ms: float = 0.0


@attrs.define
class TargetChoice:
    """The target of an attempt.

    Attributes:
        row: The target.
        estimate: What it has to do with the prompt; None without one.
        holder: Another target that has more of the prompt cached, if any.
        holder_estimate: What that one would have to do.
    """

    row: TargetRow
    estimate: PrefillEstimate | None = None
    holder: TargetRow | None = None
    holder_estimate: PrefillEstimate | None = None


class TargetChooser:
    """Chooses the target of a service with the lowest expected cost of an attempt.

    Args:
        clock: Clock.
        data_centre: Data centre of this entry; if empty, none is preferred.
        seed: Seed for the choice among targets of equal cost.
        limits: Limits of the requests that targets take.
        decisions: Is told the candidates of each choice, and by those who call this
            chooser what they decide about requests.
    """

    def __init__(
        self,
        clock: Clock,
        data_centre: str,
        seed: int | None = None,
        limits: TargetLimits | None = None,
        decisions: DecisionLog = NO_DECISIONS,
    ):
        self.clock = clock
        self.decisions = decisions
        self.limits = limits or TargetLimits(clock)
        self.data_centre = data_centre
        self.random = random.Random(seed)
        # Engines of one service run the same model at about the same speed.
        self.models_by_service: dict[str, FirstEventModel] = defaultdict(
            FirstEventModel
        )
        self.health = TargetHealth(clock, HEALTH_RULES, _EngineState)

    def choose(
        self,
        rows: Sequence[TargetRow],
        avoid: Collection[str] = (),
        **options: Any,
    ) -> TargetRow | None:
        """Return the target of the next attempt; see ``choose_target``."""
        choice = self.choose_target(rows, avoid, **options)
        return choice.row if choice is not None else None

    def choose_target(
        self,
        rows: Sequence[TargetRow],
        avoid: Collection[str] = (),
        *,
        admitted: Sequence[TargetRow] | None = None,
        parts: Sequence[PromptPart] = (),
        prompt_tokens: int = 0,
        result_bytes_by_data_centre: dict[str, int] | None = None,
        penalties_ms: Mapping[str, float] | None = None,
        left_ms: float | None = None,
        may_wait: bool = False,
        may_probe: bool = False,
    ) -> TargetChoice | None:
        """Return the target of the next attempt, or None if there is none.

        Args:
            rows: Targets of a service that accept work.
            avoid: Names of targets that were already tried; never returned.
            admitted: Those among which to choose; all by default.
            parts: Parts of the prompt.
            prompt_tokens: Tokens of the prompt.
            result_bytes_by_data_centre: Bytes of results that the target must fetch, by
                their data centre.
            penalties_ms: Additional costs of targets, by name.
            left_ms: What is left until the latency objective, if known.
            may_wait: Whether the attempt can wait until the target has read a part.
            may_probe: Whether it can find out if a target still fails; another target
                can then take over.
        """
        candidates = [row for row in rows if row.name not in avoid]
        if self.decisions.enabled:
            self.decisions.begin_choice(rows)
            self.decisions.leave_out(rows, candidates, "tried")
        if not candidates:
            return None
        now_ms = self.clock.now_ms()
        sizes = result_bytes_by_data_centre or {}
        total = sum(sizes.values())
        probed = [row for row in candidates if may_probe and self.health.may_probe(row)]
        costs_ms = {
            row.name: self._cost_ms(row, now_ms, is_probe=row in probed)
            for row in candidates
        }
        estimates: dict[str, PrefillEstimate] = {}
        if prompt_tokens:
            estimates = {
                row.name: self.estimate(row, parts, prompt_tokens, may_wait=may_wait)
                for row in candidates
            }
            home = self.home(rows, parts)
            for name, ms in self._prefill_costs_ms(
                candidates, estimates, home, left_ms, now_ms
            ).items():
                costs_ms[name] += ms
        for name, ms in (penalties_ms or {}).items():
            if name in costs_ms:
                costs_ms[name] += ms

        def cost(row: TargetRow) -> tuple[float, float]:
            moved = total - sizes.get(row.data_centre, 0)
            # Rounded to milliseconds, so that about equal targets share the load.
            ms = round(costs_ms[row.name] + moved / 1e6 * TRANSFER_COST_MS_PER_MB)
            return ms, self.random.random()

        chosen = [row for row in admitted or rows if row.name in costs_ms] or candidates
        costs = [cost(row) for row in chosen]
        if self.decisions.enabled:
            self.decisions.leave_out(candidates, chosen, "silent")
            self.decisions.rank(chosen, [ms for ms, _ in costs])
        row = chosen[min(range(len(costs)), key=costs.__getitem__)]
        if row in probed:
            self.health.begin_probe(row)
        if not estimates:
            return TargetChoice(row)
        holder = max(candidates, key=lambda each: estimates[each.name].cached_tokens)
        estimate, held = estimates[row.name], estimates[holder.name]
        if held.cached_tokens <= estimate.cached_tokens:
            return TargetChoice(row, estimate)
        return TargetChoice(row, estimate, holder, held)

    def _prefill_costs_ms(
        self,
        rows: Sequence[TargetRow],
        estimates: Mapping[str, PrefillEstimate],
        home: str,
        left_ms: float | None,
        now_ms: int,
    ) -> dict[str, float]:
        """Return the costs of a prompt at targets, by name."""
        model = self.models_by_service[rows[0].service]
        most_held = max(estimate.held_tokens for estimate in estimates.values())
        recent = {row.name: self._recent_prompts(row, now_ms) for row in rows}
        mean_recent = max(sum(recent.values()) / len(rows), 1.0)
        late_ms = math.inf if left_ms is None else left_ms - model.fixed_ms
        costs_ms: dict[str, float] = {}
        for name, estimate in estimates.items():
            ms = estimate.queue_ms + estimate.prefill_ms
            if LATE_FACTOR * ms > late_ms:
                ms += LATE_COST_MS
            again = most_held - estimate.held_tokens
            if again:
                ms += REREAD_WEIGHT * model.prefill_ms(again)
            elif name == home:
                ms -= HOME_GAIN_MS
            costs_ms[name] = ms + BALANCE_COST_MS * recent[name] / mean_recent
        return costs_ms

    def home(self, rows: Sequence[TargetRow], parts: Sequence[PromptPart]) -> str:
        """Return the name of the target where the first part of a prompt is read first.

        All entries compute the same target by rendezvous hashing. The data centre is
        ranked before the target, so that each data centre receives an equal share of
        the prompts regardless of its number of engines.

        Returns:
            An empty name if no part is shared.
        """
        if len(parts) < 2:
            return ""
        shared = parts[0].name
        data_centres = {row.data_centre for row in rows}
        chosen = max(data_centres, key=lambda name: rendezvous_rank(shared, name))
        local = [row.name for row in rows if row.data_centre == chosen]
        return max(local, key=lambda name: rendezvous_rank(shared, name))

    def _cost_ms(self, row: TargetRow, now_ms: int, *, is_probe: bool = False) -> float:
        """Return the cost of an attempt without prefill.

        It is comparable only with that of other targets.

        Args:
            row: Target.
            now_ms: Time on the clock.
            is_probe: Whether the attempt is to find out if it still fails, so that what
                was seen before does not count.
        """
        health = self.health
        state = health.state(row)
        load = health.load(state, now_ms) / (state.slots or max(row.capacity, 1))
        ms = LOAD_COST_MS * load + OVERLOAD_COST_MS * max(load - 1.0, 0.0)
        if not is_probe:
            ms += FAILURE_COST_MS * health.failure_rate(state, now_ms)
            ms += SLOWNESS_COST_MS * (health.slowness(state, now_ms) - 1.0)
        if row.data_centre != self.data_centre:
            ms += OTHER_DATA_CENTRE_COST_MS
        limit_age_ms = self.limits.age_ms(row)
        if limit_age_ms is not None:
            is_old = limit_age_ms >= LIMIT_CHECK_MS
            ms += -LIMIT_CHECK_GAIN_MS if is_old else LIMITED_COST_MS
        if health.is_unreachable(row):
            # Chosen only if there is no other target.
            ms += OVERLOAD_COST_MS * 10
        return ms

    def estimate(
        self,
        row: TargetRow,
        parts: Sequence[PromptPart],
        prompt_tokens: int,
        *,
        may_wait: bool = False,
    ) -> PrefillEstimate:
        """Return what ``row`` has to do before the first event of a prompt.

        A prompt that is sent while the engine reads one of its parts for another one
        is processed beside it, and the part is read twice.

        Args:
            row: Target.
            parts: Parts of the prompt.
            prompt_tokens: Tokens of the prompt.
            may_wait: Whether the prompt can wait until the target has read a part.
        """
        state = self.health.state(row)
        now_ms = self.clock.now_ms()
        ms_per_token = self.models_by_service[row.service].ms_per_token
        queue_ms = max(state.prefill_ends_ms - now_ms, 0.0)
        cached, reading, ready_in_ms = state.parts.look_up(parts, now_ms)
        held, part_wait_ms = cached + reading, 0.0
        if reading and may_wait:
            saved_ms = (1.0 + REREAD_WEIGHT) * reading * ms_per_token
            if ready_in_ms - queue_ms < saved_ms:
                cached = held
                part_wait_ms = ready_in_ms
                queue_ms = max(queue_ms, part_wait_ms)
        prefill_ms = max(prompt_tokens - cached, 0) * ms_per_token
        return PrefillEstimate(queue_ms, cached, held, prefill_ms, part_wait_ms)

    def reads_again(
        self,
        row: TargetRow,
        rows: Iterable[TargetRow],
        parts: Sequence[PromptPart],
        prompt_tokens: int,
    ) -> bool:
        """Return whether ``row`` would read much of a prompt that another one holds."""
        held = self.estimate(row, parts, prompt_tokens).held_tokens
        return any(
            self.estimate(other, parts, prompt_tokens).held_tokens
            >= held + MUCH_REREAD_TOKENS
            for other in rows
        )

    def expected_first_event_ms(
        self, row: TargetRow, estimate: PrefillEstimate
    ) -> float:
        """Return the expected time to the first event of a prompt at ``row``.

        It includes queued prefill, but not the load, failures and slowness of ``row``.
        """
        fixed_ms = self.models_by_service[row.service].fixed_ms
        return estimate.queue_ms + fixed_ms + estimate.prefill_ms

    def _recent_prompts(self, row: TargetRow, now_ms: int) -> float:
        """Return how many prompts ``row`` was sent, older ones counting for less."""
        state = self.health.state(row)
        if not state.recent_prompts:
            return 0.0
        age_ms = now_ms - state.recent_updated_ms
        return state.recent_prompts * math.exp(-age_ms / RECENT_LIFETIME_MS)

    def retain(self, names: Collection[str], services: Collection[str]) -> None:
        """Drop what is known of all other targets and services.

        Args:
            names: Names of the targets to keep; one with an attempt in progress is kept
                all the same.
            services: Names of the services to keep.
        """
        self.health.retain(names)
        for service in self.models_by_service.keys() - services:
            del self.models_by_service[service]

    def record_start(
        self,
        row: TargetRow,
        parts: Sequence[PromptPart],
        prompt_tokens: int,
        prompt: Hashable = None,
    ) -> None:
        """Record that an attempt was sent to ``row``.

        Args:
            row: Target.
            parts: Parts of the prompt.
            prompt_tokens: Tokens of the prompt.
            prompt: What identifies the attempt as it ends.
        """
        self.health.record_start(row)
        if not prompt_tokens:
            return
        state = self.health.state(row)
        now_ms = self.clock.now_ms()
        state.recent_prompts = self._recent_prompts(row, now_ms) + 1.0
        state.recent_updated_ms = now_ms
        estimate = self.estimate(row, parts, prompt_tokens)
        prefill_ms = min(estimate.prefill_ms, MAX_PREFILL_MS)
        state.prefill_ends_ms = max(state.prefill_ends_ms, now_ms) + prefill_ms
        fixed_ms = self.models_by_service[row.service].fixed_ms
        expected_ms = state.prefill_ends_ms - now_ms + fixed_ms
        state.parts.begin(prompt, parts, now_ms, expected_ms)

    def record_end(
        self, row: TargetRow, prompt: Hashable, parts: Iterable[str], *, has_begun: bool
    ) -> None:
        """Record the first event of an attempt, or its end without one.

        Args:
            row: Target.
            prompt: What identifies the attempt.
            parts: Names of the parts of its prompt, without the last.
            has_begun: Whether there was a first event.
        """
        self.health.record_end(row)
        self.health.state(row).parts.end(prompt, parts, has_begun=has_begun)

    def record_first_event(
        self, row: TargetRow, uncached_tokens: int, took_ms: float
    ) -> None:
        """Record the time to the first event of an attempt.

        Args:
            row: Target.
            uncached_tokens: Tokens that were probably not cached.
            took_ms: Time to the first event without queueing behind earlier prompts.
        """
        self.models_by_service[row.service].add_sample(uncached_tokens, took_ms)
