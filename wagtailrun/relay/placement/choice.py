"""Target selection for the attempts of relayed requests."""

import random
from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.target_limits import TargetLimits
from wagtailrun.relay.core.port import PromptPart
from wagtailrun.relay.placement.estimate import FirstEventModel
from wagtailrun.targets.health import HealthRules, HealthState, TargetHealth
from wagtailrun.targets.subset import rendezvous_rank
from wagtailrun.targets.table import TargetRow

__all__ = ["TargetChooser"]

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
# Prompt parts per target that are assumed to be cached there; the least recently used
# one is dropped first.
MAX_CACHED_PARTS = 256
# Callers state the tokens of their prompts. The largest one that fits the memory of the
# users' engines (581,741 tokens) takes about this long.
MAX_PREFILL_MS = 10_000.0


@attrs.define
class _EngineState(HealthState):
    """State of a target, with what the prompts that it got say about an engine.

    Attributes:
        prefill_ends_ms: When the engine is expected to have processed its prompts.
        cached_parts: Names of prompt parts that its prefix cache probably holds, the
            most recently used last.
    """

    prefill_ends_ms: float = 0.0
    cached_parts: OrderedDict[str, None] = attrs.field(factory=OrderedDict)


class TargetChooser:
    """Chooses the target of a service with the lowest expected cost of an attempt.

    Args:
        clock: Clock.
        data_centre: Data centre of this entry; if empty, none is preferred.
        seed: Seed for the choice among targets of equal cost.
        limits: Limits of the requests that targets take.
    """

    def __init__(
        self,
        clock: Clock,
        data_centre: str,
        seed: int | None = None,
        limits: TargetLimits | None = None,
    ):
        self.clock = clock
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
        *,
        parts: Sequence[PromptPart] = (),
        prompt_tokens: int = 0,
        result_bytes_by_data_centre: dict[str, int] | None = None,
        penalties_ms: Mapping[str, float] | None = None,
    ) -> TargetRow | None:
        """Return the target of the next attempt, or None if there is none.

        Args:
            rows: Targets that accept work.
            avoid: Names of targets that were already tried; never returned.
            parts: Parts of the prompt.
            prompt_tokens: Tokens of the prompt.
            result_bytes_by_data_centre: Bytes of results that the target must fetch, by
                their data centre.
            penalties_ms: Additional costs of targets, by name.
        """
        candidates = [row for row in rows if row.name not in avoid]
        if not candidates:
            return None
        sizes = result_bytes_by_data_centre or {}
        penalties_by_name = penalties_ms or {}
        total = sum(sizes.values())
        preferred = self.preferred_targets(rows, parts)

        def cost(row: TargetRow) -> tuple[float, float]:
            moved = total - sizes.get(row.data_centre, 0)
            ms = self.cost_ms(row, parts, prompt_tokens, preferred)
            ms += penalties_by_name.get(row.name, 0.0)
            # Rounded to milliseconds, so that about equal targets share the load.
            ms = round(ms + moved / 1e6 * TRANSFER_COST_MS_PER_MB)
            return ms, self.random.random()

        return min(candidates, key=cost)

    def preferred_targets(
        self, rows: Iterable[TargetRow], parts: Sequence[PromptPart]
    ) -> frozenset[str]:
        """Return the names of the targets preferred for the shared parts of a prompt.

        All entries compute the same target by rendezvous hashing. The data centre is
        ranked before the target, so that each data centre receives an equal share of
        the prompts regardless of its number of engines.

        Returns:
            One name, or none if no part is shared.
        """
        shared = parts[-2].name if len(parts) > 1 else ""
        rows = list(rows)
        if not shared or not rows:
            return frozenset()
        data_centres = {row.data_centre for row in rows}
        chosen = max(data_centres, key=lambda name: rendezvous_rank(shared, name))
        local = [row for row in rows if row.data_centre == chosen]
        target = max(local, key=lambda row: rendezvous_rank(shared, row.name))
        return frozenset([target.name])

    def cost_ms(
        self,
        row: TargetRow,
        parts: Sequence[PromptPart],
        prompt_tokens: int,
        preferred: Collection[str] = (),
    ) -> float:
        """Return the cost of an attempt, comparable only with that of other targets."""
        now_ms = self.clock.now_ms()
        health = self.health
        state = health.state(row)
        load = health.load(state, now_ms) / (state.slots or max(row.capacity, 1))
        ms = LOAD_COST_MS * load + OVERLOAD_COST_MS * max(load - 1.0, 0.0)
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
        if prompt_tokens:
            ms += max(state.prefill_ends_ms - now_ms, 0.0)
            uncached = self.uncached_tokens(row, parts, prompt_tokens, preferred)
            ms += self.models_by_service[row.service].prefill_ms(uncached)
        return ms

    def expected_first_event_ms(
        self, row: TargetRow, parts: Sequence[PromptPart], prompt_tokens: int
    ) -> float:
        """Return the expected time to the first event at ``row``.

        It includes queued prefill, but not the load, failures and slowness of ``row``.
        """
        uncached = self.uncached_tokens(row, parts, prompt_tokens)
        model = self.models_by_service[row.service]
        return self.prefill_queue_ms(row) + model.expected_ms(uncached)

    def prefill_queue_ms(self, row: TargetRow) -> float:
        """Return the expected remaining prefill time of prompts already sent."""
        return max(self.health.state(row).prefill_ends_ms - self.clock.now_ms(), 0.0)

    def best_holder(
        self, rows: Iterable[TargetRow], parts: Sequence[PromptPart], least_tokens: int
    ) -> TargetRow | None:
        """Return the target that probably has most leading tokens of a prompt cached.

        Args:
            rows: Targets.
            parts: Parts of the prompt.
            least_tokens: Targets that have this many or fewer do not count.
        """
        best = None
        for row in rows:
            tokens = self.cached_tokens(row, parts)
            if tokens > least_tokens:
                best, least_tokens = row, tokens
        return best

    def cached_tokens(self, row: TargetRow, parts: Sequence[PromptPart]) -> int:
        """Return how many leading tokens of a prompt are probably cached at ``row``."""
        cached_parts = self.health.state(row).cached_parts
        tokens = 0
        # The last part is specific to the request.
        for part in parts[:-1]:
            if part.name not in cached_parts:
                break
            tokens += part.tokens
        return tokens

    def uncached_tokens(
        self,
        row: TargetRow,
        parts: Sequence[PromptPart],
        prompt_tokens: int,
        preferred: Collection[str] = (),
    ) -> int:
        """Return how many tokens of a prompt are probably not cached at ``row``."""
        cached_parts = self.health.state(row).cached_parts
        cached = 0
        # The last part is specific to the request.
        for part in parts[:-1]:
            if part.name not in cached_parts and row.name not in preferred:
                break
            cached += part.tokens
        return max(prompt_tokens - cached, 0)

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
        self, row: TargetRow, parts: Sequence[PromptPart], prompt_tokens: int
    ) -> None:
        """Record that an attempt was sent to ``row``."""
        self.health.record_start(row)
        state = self.health.state(row)
        if prompt_tokens:
            now_ms = self.clock.now_ms()
            uncached = self.uncached_tokens(row, parts, prompt_tokens)
            start_ms = max(state.prefill_ends_ms, now_ms)
            model = self.models_by_service[row.service]
            prefill_ms = min(model.prefill_ms(uncached), MAX_PREFILL_MS)
            state.prefill_ends_ms = start_ms + prefill_ms
        for part in parts[:-1]:
            state.cached_parts[part.name] = None
            state.cached_parts.move_to_end(part.name)
        while len(state.cached_parts) > MAX_CACHED_PARTS:
            state.cached_parts.popitem(last=False)

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
