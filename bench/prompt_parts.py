"""Model of engines with prefix caches, for the placement of prompts with shared parts.

Load pattern: prompts whose parts form chains. A few first parts are shared by many
prompts (instructions of a route), many later parts by a few prompts each (documents),
and each prompt ends with a part of its own. It is played in virtual time against the
relay's ``PlacementHost``, without a network.

An engine processes one prompt after the other, and keeps each part that it has read
until its memory is needed for others; the least recently used part yields. A part that
is kept counts only behind parts that are kept, and only for prompts that come after it
was read. Decoding, stages and failures are left out.

    python -m bench.prompt_parts LOG...

plays the prompts of a day, as the lines of its requests name them.
"""

import functools
import heapq
import itertools
import math
import random
import sys
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Sequence

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.discovery.quarantine import Quarantine
from wagtailrun.logs import events
from wagtailrun.observation.log_files import read_files
from wagtailrun.observation.part_report import prompts_of
from wagtailrun.ports.link import Address
from wagtailrun.relay import PromptPart
from wagtailrun.relay.core.placement_messages import PlaceRun, RunOver
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.service import PlacementHost
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock

__all__ = ["Engine", "ModelPrompt", "PartPlay", "mixed_prompts", "owner_of"]

SERVICE = "s"
# Engines of the users: tokens a millisecond, time to the first event without prefill.
TOKENS_PER_MS = 61.4
FIRST_EVENT_MS = 90.0
MEMORY_TOKENS = 580_000
SLOTS = 32
# Entries ask again after this time whether an engine has read a part.
LOOK_MS = 40.0
MAX_PART_WAIT_MS = 2_000.0


@attrs.frozen
class ModelPrompt:
    """A prompt of the load.

    Attributes:
        at_ms: When it is placed.
        chain: Its shared parts.
        own_tokens: Tokens of its own part.
        aim_ms: Time to its first event that its caller counts as good.
    """

    at_ms: float
    chain: tuple[PromptPart, ...]
    own_tokens: int
    aim_ms: float = 1_200.0

    @property
    def tokens(self) -> int:
        """All tokens of the prompt."""
        return sum(part.tokens for part in self.chain) + self.own_tokens


@attrs.define
class Engine:
    """An engine with a prefix cache.

    Attributes:
        row: The target.
        free_ms: When it has processed its prompts.
        kept: When it has read each chain of parts that it keeps, the most recently used
            chain last.
    """

    row: TargetRow
    free_ms: float = 0.0
    kept: OrderedDict[tuple[str, ...], float] = attrs.field(factory=OrderedDict)
    tokens_by_chain: dict[tuple[str, ...], int] = attrs.field(factory=dict)

    def read(self, prompt: ModelPrompt, at_ms: float) -> tuple[int, float]:
        """Process a prompt; return the shared tokens that were kept, and when.

        What is still being read for another prompt is read again.
        """
        kept_tokens = 0
        is_kept = True
        for chain, tokens in _chains(prompt):
            is_kept = is_kept and self.kept.get(chain, math.inf) <= at_ms
            kept_tokens += tokens if is_kept else 0
        begin_ms = max(self.free_ms, at_ms)
        self.free_ms = begin_ms + (prompt.tokens - kept_tokens) / TOKENS_PER_MS
        for chain, tokens in _chains(prompt):
            self.kept[chain] = min(self.kept.get(chain, math.inf), self.free_ms)
            self.kept.move_to_end(chain)
            self.tokens_by_chain[chain] = tokens
        while sum(map(self.tokens_by_chain.__getitem__, self.kept)) > MEMORY_TOKENS:
            self.kept.popitem(last=False)
        return kept_tokens, self.free_ms + FIRST_EVENT_MS

    def lose_cache(self) -> None:
        """Lose all parts without a sign."""
        self.kept.clear()


def _chains(prompt: ModelPrompt) -> Iterable[tuple[tuple[str, ...], int]]:
    names = tuple(part.name for part in prompt.chain)
    for number, part in enumerate(prompt.chain):
        yield names[: number + 1], part.tokens


def owner_of(clock: VirtualClock, rows: Callable[[], list[TargetRow]]) -> PlacementHost:
    """Return an owner of placements that knows nothing yet."""
    chooser = TargetChooser(clock, "", 1)
    return PlacementHost(clock, chooser, lambda service: rows(), Quarantine(clock))


class PartPlay:
    """Plays prompts against engines.

    Args:
        engines: Number of engines.
        data_centres: Number of data centres, in which the engines are in turn.
    """

    def __init__(self, engines: int = 6, data_centres: int = 3):
        self.clock = VirtualClock()
        self.engines_by_name = {
            f"t{number}": Engine(
                TargetRow(
                    f"t{number}",
                    Address(f"10.0.0.{number}", 80),
                    SERVICE,
                    f"dc{number % data_centres}",
                    SLOTS,
                    incarnation=1,
                )
            )
            for number in range(engines)
        }
        self.owner = owner_of(self.clock, self.rows)
        # Chains that any engine has read.
        self.known: set[tuple[str, ...]] = set()
        self.first_tokens = 0
        self.kept_tokens = 0
        self.again_tokens = 0
        # Reads again of each chain.
        self.again_by_chain: Counter[tuple[str, ...]] = Counter()
        self.prompts_by_engine: Counter[str] = Counter()
        self.took_ms: list[float] = []
        self.late = 0
        self.waits = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def rows(self) -> list[TargetRow]:
        """Return the rows of the engines."""
        return [engine.row for engine in self.engines_by_name.values()]

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._queue, (at_ms, next(self._numbers), action))

    def play(self, prompts: Iterable[ModelPrompt]) -> "PartPlay":
        """Play prompts."""
        for number, prompt in enumerate(prompts):
            self.at(prompt.at_ms, functools.partial(self._place, prompt, f"r{number}"))
        while self._queue:
            at_ms, _, action = heapq.heappop(self._queue)
            self.clock.seconds = max(self.clock.seconds, at_ms / MS_PER_SECOND)
            action()
        return self

    def message(
        self, prompt: ModelPrompt, name: str, *, begin: bool, may_wait: bool = True
    ) -> PlaceRun:
        """Return the message of an entry that places a prompt."""
        own = PromptPart(f"own-{name}", prompt.own_tokens)
        return PlaceRun(
            name,
            SERVICE,
            (*prompt.chain, own),
            prompt.tokens,
            (),
            (),
            begin,
            left_ms=int(prompt.aim_ms),
            may_wait=may_wait,
        )

    def _place(self, prompt: ModelPrompt, name: str) -> None:
        now_ms = self.clock.seconds * MS_PER_SECOND
        placed = self.owner.handle(self.message(prompt, name, begin=True))
        wait_ms = placed.part_wait_ms
        if wait_ms:
            self.waits += 1
            again = functools.partial(self._place, prompt, name)
            self.at(now_ms + min(wait_ms, LOOK_MS), again)
            return
        engine = self.engines_by_name[placed.target]
        kept_tokens, first_ms = engine.read(prompt, now_ms)
        self._count(prompt, kept_tokens)
        self.prompts_by_engine[engine.row.name] += 1
        took_ms = first_ms - prompt.at_ms
        self.took_ms.append(took_ms)
        self.late += took_ms > prompt.aim_ms
        over = RunOver(
            name, SERVICE, placed.target, RunOutcome.SUCCEEDED, int(first_ms - now_ms)
        )
        self.at(first_ms, lambda: self.owner.handle(over))

    def _count(self, prompt: ModelPrompt, kept_tokens: int) -> None:
        for chain, tokens in _chains(prompt):
            if kept_tokens >= tokens:
                kept_tokens -= tokens
                self.kept_tokens += tokens
                continue
            kept_tokens = 0
            if chain in self.known:
                self.again_tokens += tokens
                self.again_by_chain[chain] += 1
            else:
                self.first_tokens += tokens
        self.known.update(chain for chain, _ in _chains(prompt))

    def row(self) -> dict[str, float]:
        """Return the figures of the play."""
        ranked = sorted(self.took_ms)
        busiest = max(self.prompts_by_engine.values())
        return {
            "prompts": len(ranked),
            "first_tokens": self.first_tokens,
            "kept_tokens": self.kept_tokens,
            "again_tokens": self.again_tokens,
            "late": self.late,
            "waits": self.waits,
            "mean_ms": round(sum(ranked) / len(ranked)),
            "p95_ms": round(ranked[int(0.95 * (len(ranked) - 1))]),
            "busiest": round(busiest * len(self.engines_by_name) / len(ranked), 2),
        }


def mixed_prompts(
    seed: int, length_ms: int = 26_000, per_second: float = 11.0
) -> list[ModelPrompt]:
    """Return a load like that of the users: three routes with chains of parts."""
    rng = random.Random(seed)

    def make(name: str, mean: float, sigma: float, largest: float) -> PromptPart:
        tokens = min(rng.lognormvariate(0.0, sigma) * mean / 1.3, largest)
        return PromptPart(name, int(tokens))

    documents = [make(f"d{n}", 13_300, 0.7, 40_000) for n in range(131)]
    headers = [make(f"h{n}", 2_520, 0.4, 6_300) for n in range(4)]
    subjects = [make(f"s{n}", 3_780, 0.7, 11_300) for n in range(106)]
    letters = [make(f"l{n}", 210, 0.4, 520) for n in range(20)]
    shops = [make(f"o{n}", 140, 0.7, 420) for n in range(98)]

    def pick(parts: Sequence[PromptPart]) -> PromptPart:
        weights = [1.0 / (number + 1) ** 0.3 for number in range(len(parts))]
        return rng.choices(parts, weights)[0]

    prompts = []
    at_ms = 0.0
    while (at_ms := at_ms + rng.expovariate(per_second / 1_000)) < length_ms:
        kind = rng.choices("dsl", (15.5, 12.5, 17.4))[0]
        if kind == "d":
            chain, own, aim_ms = (pick(documents),), 3_720, 1_100.0
        elif kind == "s":
            subject = pick(subjects)
            header = headers[int(subject.name[1:]) % len(headers)]
            chain, own, aim_ms = (header, subject), 2_890, 1_100.0
        else:
            shop = pick(shops)
            header = letters[int(shop.name[1:]) % len(letters)]
            chain, own, aim_ms = (header, shop), 1_110, 600.0
        own_tokens = int(min(rng.lognormvariate(0.0, 1.0) * own / 1.6, 40_000))
        prompts.append(ModelPrompt(at_ms, chain, own_tokens, aim_ms))
    return prompts


def recorded_prompts(logs: Sequence[str]) -> list[ModelPrompt]:
    """Return the prompts that the log files of a day name."""
    lines = [line for file in read_files(logs) for line in file.lines]
    ends = [line for line in lines if line.event == events.RELAY_ENDED.number]
    return [
        ModelPrompt(
            prompt.at_ms,
            tuple(PromptPart(name, tokens) for name, tokens in prompt.parts),
            prompt.own_tokens,
            prompt.left_ms,
        )
        for prompt in prompts_of(ends)
    ]


def main(logs: Sequence[str]) -> None:
    """Print the figures of recorded days, or of the made load with three seeds."""
    loads = [recorded_prompts(logs)] if logs else map(mixed_prompts, (1, 2, 3))
    for prompts in loads:
        start_ms = min(prompt.at_ms for prompt in prompts)
        moved = [attrs.evolve(p, at_ms=p.at_ms - start_ms) for p in prompts]
        print(PartPlay().play(moved).row())


if __name__ == "__main__":
    main(sys.argv[1:])
