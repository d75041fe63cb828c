"""Report on the shared prompt parts that engines read, from logs of relay entries."""

import enum
from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events
from wagtailrun.observation.log_files import LogFile, LogLine
from wagtailrun.observation.log_gaps import log_gaps

__all__ = ["PartReport", "PartUse", "PlacedPrompt", "prompts_of"]

# Engines keep parts that were used this recently, unless their memory is short.
RECENT_MS = 10 * MS_PER_SECOND


class PartUse(enum.StrEnum):
    """What an engine did with a shared part of a prompt, and why it read it again."""

    KEPT = "kept"
    FIRST = "first read"
    # The engine was still reading it for another prompt.
    OVERLAPPING = "again: still being read"
    # Engines read it before, but all of them have ended or were started again.
    ENGINE_GONE = "again: engine gone"
    # The entry that placed the prompt was not the one that placed it there before.
    OWNER_CHANGED = "again: owner changed"
    # The entry that placed the prompt had placed it there before, and forgot it.
    FORGOTTEN = "again: forgotten"
    # The engine that had it was asked before, and did not answer.
    HOLDER_TRIED = "again: engine failed"
    HOLDER_LATE = "again: engine would be late"
    HOLDER_IN_TIME = "again: engine in time"

    @property
    def is_again(self) -> bool:
        """Whether an engine read a part that another one had read."""
        return self not in (PartUse.KEPT, PartUse.FIRST)


@attrs.frozen
class PlacedPrompt:
    """A prompt that an engine was given.

    Attributes:
        at_ms: When its newest attempt began.
        first_at_ms: When its first event arrived; None without one.
        route: Its route.
        target: The engine.
        incarnation: Incarnation of the engine; 0 if unknown.
        tried: Engines that had the request before.
        placed_by: Entry that placed the attempt.
        parts: Names of its shared parts, in order, with their tokens.
        own_tokens: Tokens of the part that no other prompt has.
        left_ms: What was left until its latency objective.
        holder: Engine that had more of them by the knowledge of that entry, if any.
        holder_ms: Expected time to the first event there.
    """

    at_ms: float
    first_at_ms: float | None
    route: str
    target: str
    incarnation: int
    tried: tuple[str, ...]
    placed_by: str
    parts: tuple[tuple[str, int], ...]
    own_tokens: int
    left_ms: float
    holder: str
    holder_ms: float


@attrs.define
class _Read:
    """When an engine got a chain of parts, and from which entries.

    Attributes:
        incarnation: Incarnation of the engine; 0 if unknown.
        ready_ms: When the engine surely had read it: at the first event.
        placed_ms_by_entry: When each entry last placed a prompt with the chain there.
    """

    incarnation: int
    ready_ms: float
    placed_ms_by_entry: dict[str, float] = attrs.field(factory=dict)


@attrs.define
class _Tally:
    """Parts and their tokens, by use.

    Attributes:
        parts: Number of parts.
        tokens: Their tokens.
        recent_tokens: Those of parts that any engine got within ``RECENT_MS`` before.
    """

    parts: Counter[PartUse] = attrs.field(factory=Counter)
    tokens: Counter[PartUse] = attrs.field(factory=Counter)
    recent_tokens: Counter[PartUse] = attrs.field(factory=Counter)

    def add(self, use: PartUse, tokens: int, is_recent: bool) -> None:
        """Count a part."""
        self.parts[use] += 1
        self.tokens[use] += tokens
        self.recent_tokens[use] += tokens if is_recent else 0

    def row(self) -> dict[str, int]:
        """Return the columns of a table."""
        again = [use for use in PartUse if use.is_again]
        return {
            "first_tokens": self.tokens[PartUse.FIRST],
            "kept_tokens": self.tokens[PartUse.KEPT],
            "again_tokens": sum(self.tokens[use] for use in again),
            "recent_tokens": sum(self.recent_tokens[use] for use in again),
        }


class PartReport:
    """Report on shared prompt parts.

    Engines tell nobody what they keep. A part counts as kept if an engine got it before
    with the same parts in front of it, so that parts which the engine dropped meanwhile
    count as kept, too. Prompts of which the log has no line are unknown.

    Args:
        files: Log files of the processes.
    """

    def __init__(self, files: Sequence[LogFile]):
        self.files = files
        self.total = _Tally()
        self.tally_by_route: dict[str, _Tally] = defaultdict(_Tally)
        self.tally_by_target: dict[str, _Tally] = defaultdict(_Tally)
        self.prompts_by_target: Counter[str] = Counter()
        self.prompts_by_route: Counter[str] = Counter()
        self.times_ms_by_owner: dict[str, list[float]] = defaultdict(list)
        self._reads: dict[tuple[str, ...], dict[str, _Read]] = defaultdict(dict)
        self._used_ms: dict[tuple[str, ...], float] = {}
        lines = [line for file in files for line in file.lines]
        ends = [line for line in lines if line.event == events.RELAY_ENDED.number]
        self.prompts = prompts_of(ends)
        placed = [line for line in ends if "parts" in line.fields]
        self.invalid = len(placed) - len(self.prompts)
        self._process_starts_ms: dict[str, list[float]] = defaultdict(list)
        for line in lines:
            if line.event == events.PROCESS_STARTED.number:
                start_ms = line.time_s * MS_PER_SECOND
                self._process_starts_ms[line.process].append(start_ms)
        # The newest incarnation of each engine, and since when it is known.
        self._starts = self._find_starts(lines)
        for prompt in self.prompts:
            self._add(prompt)

    def _find_starts(
        self, lines: Sequence[LogLine]
    ) -> dict[str, list[tuple[float, int]]]:
        """Return when each incarnation of a target was first known, in order."""
        starts: dict[str, dict[int, float]] = defaultdict(dict)
        for line in lines:
            name, number = line.word("target"), line.number("incarnation")
            is_state = line.event == events.TARGET_STATE_CHANGED.number
            if not is_state or name is None or number is None:
                continue
            ended = line.fields.get("leaving") or line.fields.get("silent")
            known = starts[name]
            at_ms = line.time_s * MS_PER_SECOND
            # An engine that left is gone like one that was started again.
            key = int(number) if not ended else int(number) + 1
            known[key] = min(known.get(key, at_ms), at_ms)
        return {
            name: sorted((at_ms, key) for key, at_ms in known.items())
            for name, known in starts.items()
        }

    def _is_present(self, target: str, read: _Read, at_ms: float) -> bool:
        """Return whether the incarnation that got a part still ran at a time."""
        newest = max(
            (
                number
                for since_ms, number in self._starts.get(target, ())
                if since_ms <= at_ms
            ),
            default=0,
        )
        return not read.incarnation or read.incarnation >= newest

    def _add(self, prompt: PlacedPrompt) -> None:
        self.prompts_by_target[prompt.target] += 1
        self.prompts_by_route[prompt.route] += 1
        self.times_ms_by_owner[prompt.placed_by].append(prompt.at_ms)
        chain: tuple[str, ...] = ()
        is_kept = True
        for name, tokens in prompt.parts:
            chain += (name,)
            use = self._use(prompt, chain) if is_kept else self._unkept(prompt, chain)
            is_kept = use is PartUse.KEPT
            age_ms = prompt.at_ms - self._used_ms.get(chain, float("-inf"))
            tallies = (
                self.total,
                self.tally_by_route[prompt.route],
                self.tally_by_target[prompt.target],
            )
            for tally in tallies:
                tally.add(use, tokens, age_ms <= RECENT_MS)
        if prompt.first_at_ms is None:
            return
        for length in range(1, len(prompt.parts) + 1):
            chain = tuple(name for name, _ in prompt.parts[:length])
            self._used_ms[chain] = prompt.at_ms
            reads = self._reads[chain]
            read = reads.get(prompt.target)
            if read is None or prompt.incarnation > read.incarnation:
                read = _Read(prompt.incarnation, prompt.first_at_ms)
                reads[prompt.target] = read
            read.ready_ms = min(read.ready_ms, prompt.first_at_ms)
            read.placed_ms_by_entry[prompt.placed_by] = prompt.at_ms

    def _use(self, prompt: PlacedPrompt, chain: tuple[str, ...]) -> PartUse:
        """Return what the engine did with the last part of a chain.

        All parts before it were kept.
        """
        read = self._reads[chain].get(prompt.target)
        if read is None or prompt.incarnation not in (0, read.incarnation):
            return self._unkept(prompt, chain)
        is_ready = read.ready_ms <= prompt.at_ms
        return PartUse.KEPT if is_ready else PartUse.OVERLAPPING

    def _unkept(self, prompt: PlacedPrompt, chain: tuple[str, ...]) -> PartUse:
        """Return why the engine read the last part of a chain."""
        reads = self._reads[chain]
        if not reads:
            return PartUse.FIRST
        present = {
            target: read
            for target, read in reads.items()
            if target != prompt.target and self._is_present(target, read, prompt.at_ms)
        }
        if not present:
            return PartUse.ENGINE_GONE
        if present.keys() <= set(prompt.tried):
            return PartUse.HOLDER_TRIED
        if not prompt.holder:
            own = any(self._placed_before(prompt, read) for read in present.values())
            return PartUse.FORGOTTEN if own else PartUse.OWNER_CHANGED
        is_late = prompt.holder_ms > prompt.left_ms
        return PartUse.HOLDER_LATE if is_late else PartUse.HOLDER_IN_TIME

    def _placed_before(self, prompt: PlacedPrompt, read: _Read) -> bool:
        """Return whether the process that placed a prompt placed an earlier one."""
        starts_ms = self._process_starts_ms[prompt.placed_by]
        start_ms = max((ms for ms in starts_ms if ms <= prompt.at_ms), default=0.0)
        return read.placed_ms_by_entry.get(prompt.placed_by, -1.0) >= start_ms

    def use_rows(self) -> list[dict[str, Any]]:
        """Return a row for each use of parts."""
        return [
            {
                "use": str(use),
                "parts": self.total.parts[use],
                "tokens": self.total.tokens[use],
                "recent_tokens": self.total.recent_tokens[use],
            }
            for use in PartUse
        ]

    def route_rows(self) -> list[dict[str, Any]]:
        """Return a row for each route."""
        return [
            {"route": route, "prompts": self.prompts_by_route[route], **tally.row()}
            for route, tally in sorted(self.tally_by_route.items())
        ]

    def target_rows(self) -> list[dict[str, Any]]:
        """Return a row for each engine."""
        return [
            {"target": target, "prompts": self.prompts_by_target[target], **tally.row()}
            for target, tally in sorted(self.tally_by_target.items())
        ]

    def owner_rows(self) -> list[dict[str, Any]]:
        """Return a row for each entry that placed prompts, by its first one."""
        rows = [
            {
                "placed_by": name,
                "prompts": len(times_ms),
                "from_second": int(min(times_ms) // MS_PER_SECOND),
                "to_second": int(max(times_ms) // MS_PER_SECOND),
            }
            for name, times_ms in self.times_ms_by_owner.items()
        ]
        return sorted(rows, key=lambda row: row["from_second"])

    def gaps(self) -> list[str]:
        """Return what the figures do not include, one sentence each."""
        gaps = log_gaps(self.files)
        if self.invalid:
            gaps.append(
                f"{self.invalid} lines of event {events.RELAY_ENDED.number} are not "
                "counted: a field of their prompt is not valid"
            )
        if not self.prompts:
            gaps.append(
                "no line names the parts of a prompt; an earlier version wrote the "
                "logs, or no route has prompt affinity"
            )
        return gaps


def prompts_of(ends: Sequence[LogLine]) -> list[PlacedPrompt]:
    """Return the prompts of requests that ended, by when they were placed.

    Args:
        ends: Lines of ``RELAY_ENDED``; those whose fields are not valid are left out.
    """
    prompts = filter(None, map(_parse_prompt, ends))
    return sorted(prompts, key=lambda prompt: prompt.at_ms)


def _parse_prompt(line: LogLine) -> PlacedPrompt | None:
    parts = _parse_parts(line.word("parts"))
    targets = line.fields.get("targets")
    took_ms, staged_ms = line.number("took_ms"), line.number("staged_ms")
    if parts is None or took_ms is None or staged_ms is None:
        return None
    if not isinstance(targets, list) or not targets:
        return None
    began_here = line.word("began_at") == targets[-1]
    *shared, (_, own_tokens) = parts
    arrived_ms = line.time_s * MS_PER_SECOND - took_ms
    placed_ms = staged_ms + (line.number("part_waited_ms") or 0)
    first_ms = line.number("first_ms")
    return PlacedPrompt(
        at_ms=arrived_ms + placed_ms,
        first_at_ms=arrived_ms + first_ms if first_ms else None,
        route=line.word("route") or "(none)",
        target=str(targets[-1]),
        incarnation=int(line.number("began_incarnation") or 0) if began_here else 0,
        tried=tuple(map(str, targets[:-1])),
        placed_by=line.word("placed_by") or "",
        parts=tuple(shared),
        own_tokens=own_tokens,
        left_ms=(line.number("aim_ms") or 0) - placed_ms,
        holder=line.word("holder") or "",
        holder_ms=line.number("holder_ms") or 0,
    )


def _parse_parts(text: str | None) -> list[tuple[str, int]] | None:
    """Return the parts of ``NAME:TOKENS,...``, None if the text has another form.

    The last one, which no other prompt has, has no name.
    """
    parts = []
    for item in (text or "").split(","):
        name, colon, tokens = item.partition(":")
        if not colon or not tokens.isdecimal():
            return None
        parts.append((name, int(tokens)))
    return parts
