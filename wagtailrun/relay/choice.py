"""Chooses the target of an attempt of a relayed request."""

import random
from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable, Sequence

import attrs

from wagtailrun.clock import Clock
from wagtailrun.membership import TargetRow
from wagtailrun.relay.estimate import FirstEventModel
from wagtailrun.relay.port import PromptPart, TargetLoad
from wagtailrun.subset import rendezvous_rank

__all__ = ["TargetChooser"]

# A target that refuses connections is left alone for this long, doubling.
MIN_EJECTION_MS = 300
MAX_EJECTION_MS = 2_500
# Failures count half after this time, so that a target is tried again.
FAILURE_HALF_LIFE_MS = 3_000
FAILURE_WEIGHT = 0.35
SLOWNESS_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_MS = 4_000
MAX_SLOWNESS = 10.0
# A load that came with an answer is believed for this long, ever less.
LOAD_REPORT_LIFETIME_MS = 1_500
# Expected milliseconds that each quantity below adds; they only order targets.
LOAD_COST_MS = 120.0
OVERLOAD_COST_MS = 600.0
FAILURE_COST_MS = 1_500.0
SLOWNESS_COST_MS = 250.0
OTHER_DATA_CENTRE_COST_MS = 8.0
# Passing 1 MB of results between data centres takes about 1 ms on these links but
# costs the operator far more than that.
TRANSFER_COST_MS_PER_MB = 30.0
# Parts that this entry sent to a target stay there for about this many others.
MAX_CACHED_PARTS = 256


@attrs.define
class _TargetState:
    """What this entry knows of one target beside its row."""

    incarnation: int = 0
    in_flight: int = 0
    load: TargetLoad | None = None
    load_updated_ms: int = 0
    started_since_load: int = 0
    failure_rate: float = 0.0
    failure_updated_ms: int = 0
    connect_failures: int = 0
    ejected_until_ms: int = 0
    slowness: float = 1.0
    slowness_updated_ms: int = 0
    prefill_ends_ms: float = 0.0
    cached_parts: OrderedDict[str, None] = attrs.field(factory=OrderedDict)


class TargetChooser:
    """Orders the targets of a service by the time that an attempt is expected to take.

    Args:
        clock: Clock.
        data_centre: Data centre of this entry.
        seed: Seed of the choices among equal targets.
    """

    def __init__(self, clock: Clock, data_centre: str, seed: int | None = None):
        self.clock = clock
        self.data_centre = data_centre
        self.random = random.Random(seed)
        # Engines of one service run one model, at much the same speed.
        self.models_by_service: dict[str, FirstEventModel] = defaultdict(
            FirstEventModel
        )
        self.states_by_name: dict[str, _TargetState] = defaultdict(_TargetState)

    def choose(
        self,
        rows: Sequence[TargetRow],
        avoid: Collection[str] = (),
        *,
        parts: Sequence[PromptPart] = (),
        prompt_tokens: int = 0,
        result_bytes_by_data_centre: dict[str, int] | None = None,
    ) -> TargetRow | None:
        """Return the target of the next attempt, or None if there is none.

        Args:
            rows: Targets that may be given work.
            avoid: Names of targets that were tried already; never returned.
            parts: Parts of the prompt.
            prompt_tokens: Tokens of the prompt.
            result_bytes_by_data_centre: Where results are that the target needs.
        """
        left = [row for row in rows if row.name not in avoid]
        if not left:
            return None
        sizes = result_bytes_by_data_centre or {}
        total = sum(sizes.values())
        homes = self.preferred_targets(rows, parts)

        def cost(row: TargetRow) -> tuple[float, float]:
            moved = total - sizes.get(row.data_centre, 0)
            ms = self.cost_ms(row, parts, prompt_tokens, homes)
            # Whole milliseconds, so that targets that are as good share the load.
            ms = round(ms + moved / 1e6 * TRANSFER_COST_MS_PER_MB)
            return ms, self.random.random()

        return min(left, key=cost)

    def preferred_targets(
        self, rows: Iterable[TargetRow], parts: Sequence[PromptPart]
    ) -> frozenset[str]:
        """Return the target at which all entries look for a shared part first.

        The data centre is ranked before the target, so that each data centre gets an
        equal part of the prompts whatever number of engines it has.
        """
        shared = parts[-2].name if len(parts) > 1 else ""
        rows = list(rows)
        if not shared or not rows:
            return frozenset()
        places = {row.data_centre for row in rows}
        place = max(places, key=lambda name: rendezvous_rank(shared, name))
        local = [row for row in rows if row.data_centre == place]
        home = max(local, key=lambda row: rendezvous_rank(shared, row.name))
        return frozenset([home.name])

    def cost_ms(
        self,
        row: TargetRow,
        parts: Sequence[PromptPart],
        prompt_tokens: int,
        homes: Collection[str] = (),
    ) -> float:
        """Return the expected time to the first result, for comparison only."""
        now_ms = self.clock.now_ms()
        known = self._state(row)
        load = self._load(known, row, now_ms)
        ms = LOAD_COST_MS * load + OVERLOAD_COST_MS * max(load - 1.0, 0.0)
        ms += FAILURE_COST_MS * self._current_failure_rate(known, now_ms)
        ms += SLOWNESS_COST_MS * (self._current_slowness(known, now_ms) - 1.0)
        if row.data_centre != self.data_centre:
            ms += OTHER_DATA_CENTRE_COST_MS
        if known.ejected_until_ms > now_ms:
            ms += OVERLOAD_COST_MS * 10
        if prompt_tokens:
            ms += self.prefill_queue_ms(row)
            unread = self.uncached_tokens(row, parts, prompt_tokens, homes)
            ms += self.models_by_service[row.service].prefill_ms(unread)
        return ms

    def expected_first_event_ms(
        self, row: TargetRow, parts: Sequence[PromptPart], prompt_tokens: int
    ) -> float:
        """Return the time to the first event at ``row`` if it is not slow."""
        unread = self.uncached_tokens(row, parts, prompt_tokens)
        model = self.models_by_service[row.service]
        return self.prefill_queue_ms(row) + model.expected_ms(unread)

    def prefill_queue_ms(self, row: TargetRow) -> float:
        """Return how long ``row`` still reads the prompts that it was given."""
        return max(self._state(row).prefill_ends_ms - self.clock.now_ms(), 0.0)

    def uncached_tokens(
        self,
        row: TargetRow,
        parts: Sequence[PromptPart],
        prompt_tokens: int,
        homes: Collection[str] = (),
    ) -> int:
        """Return how many tokens of a prompt the target must probably read."""
        known = self._state(row)
        cached = 0
        # The last part belongs to the request itself.
        for part in parts[:-1]:
            if part.name not in known.cached_parts and row.name not in homes:
                break
            cached += part.tokens
        return max(prompt_tokens - cached, 0)

    def _state(self, row: TargetRow) -> _TargetState:
        known = self.states_by_name[row.name]
        if known.incarnation != row.incarnation:
            known = _TargetState(incarnation=row.incarnation, in_flight=known.in_flight)
            self.states_by_name[row.name] = known
        return known

    def _load(self, known: _TargetState, row: TargetRow, now_ms: int) -> float:
        own = known.in_flight
        slots = max(row.capacity, 1)
        if known.load is None:
            return own / slots
        slots = max(known.load.slots, 1)
        belief = max(
            1.0 - (now_ms - known.load_updated_ms) / LOAD_REPORT_LIFETIME_MS, 0.0
        )
        told = (known.load.running + known.load.waiting) * belief
        return max(told + known.started_since_load, own) / slots

    def _current_failure_rate(self, known: _TargetState, now_ms: int) -> float:
        age_ms = now_ms - known.failure_updated_ms
        return known.failure_rate * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def _current_slowness(self, known: _TargetState, now_ms: int) -> float:
        age_ms = now_ms - known.slowness_updated_ms
        decay = 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (known.slowness - 1.0) * decay

    # What attempts show

    def record_start(
        self, row: TargetRow, parts: Sequence[PromptPart], prompt_tokens: int
    ) -> None:
        """Note that an attempt was given to ``row``."""
        known = self._state(row)
        known.in_flight += 1
        known.started_since_load += 1
        if prompt_tokens:
            now_ms = self.clock.now_ms()
            unread = self.uncached_tokens(row, parts, prompt_tokens)
            start_ms = max(known.prefill_ends_ms, now_ms)
            model = self.models_by_service[row.service]
            known.prefill_ends_ms = start_ms + model.prefill_ms(unread)
        for part in parts[:-1]:
            known.cached_parts[part.name] = None
            known.cached_parts.move_to_end(part.name)
        while len(known.cached_parts) > MAX_CACHED_PARTS:
            known.cached_parts.popitem(last=False)

    def record_end(self, row: TargetRow) -> None:
        """Note that an attempt is over."""
        known = self.states_by_name[row.name]
        known.in_flight = max(known.in_flight - 1, 0)

    def record_load(self, row: TargetRow, load: TargetLoad) -> None:
        """Note the load that came with an answer."""
        known = self._state(row)
        known.load = load
        known.load_updated_ms = self.clock.now_ms()
        known.started_since_load = 0

    def record_first_event(
        self, row: TargetRow, unread_tokens: int, took_ms: float
    ) -> None:
        """Note when a first event came.

        Args:
            row: Target.
            unread_tokens: Tokens that it had probably to read.
            took_ms: Time without the wait for prompts that it had before.
        """
        self.models_by_service[row.service].add_sample(unread_tokens, took_ms)

    def record_success(self, row: TargetRow, slowness: float) -> None:
        """Note a good answer, and its time as a multiple of what is usual."""
        known = self._state(row)
        now_ms = self.clock.now_ms()
        known.connect_failures = 0
        known.ejected_until_ms = 0
        known.failure_rate = self._current_failure_rate(known, now_ms) * (
            1.0 - FAILURE_WEIGHT
        )
        known.failure_updated_ms = now_ms
        before = self._current_slowness(known, now_ms)
        measured = min(max(slowness, 1.0), MAX_SLOWNESS)
        known.slowness = before + SLOWNESS_WEIGHT * (measured - before)
        known.slowness_updated_ms = now_ms

    def record_failure(self, row: TargetRow) -> None:
        """Note an answer that was an error, cut off, or did not come."""
        known = self._state(row)
        now_ms = self.clock.now_ms()
        before = self._current_failure_rate(known, now_ms)
        known.failure_rate = before + FAILURE_WEIGHT * (1.0 - before)
        known.failure_updated_ms = now_ms

    def record_unreachable(self, row: TargetRow) -> None:
        """Note that no connection to ``row`` could be opened."""
        known = self._state(row)
        known.connect_failures += 1
        backoff_ms = MIN_EJECTION_MS << min(known.connect_failures - 1, 5)
        now_ms = self.clock.now_ms()
        known.ejected_until_ms = now_ms + min(backoff_ms, MAX_EJECTION_MS)
        self.record_failure(row)

    def record_rejection(self, row: TargetRow, misdirected: bool) -> None:
        """Note that ``row`` did not take an attempt: it is full, or not there."""
        known = self._state(row)
        if misdirected:
            known.ejected_until_ms = self.clock.now_ms() + MAX_EJECTION_MS
        elif known.load is None or known.load.waiting == 0:
            # It says that it is full but told no load: count it as just full.
            known.load = TargetLoad(row.capacity, 0, max(row.capacity, 1))
            known.load_updated_ms = self.clock.now_ms()
            known.started_since_load = 0
