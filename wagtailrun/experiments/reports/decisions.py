"""Compares the decisions of two plays of the same load."""

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterator, Sequence
from itertools import zip_longest
from typing import Any

import attrs

from wagtailrun.exceptions import ResultsError, SettingsError
from wagtailrun.experiments.records import DecisionRecord
from wagtailrun.experiments.reports.command import choose_sides, open_results
from wagtailrun.experiments.reports.reading import Play, ResultsDirectory

__all__ = ["DecisionComparison", "PlayComparison", "compare_decisions"]

# Decisions shown before the first one that differs.
SHOWN_BEFORE = 4

# Names decisions that stand for each other in two plays: request, step, point, and
# which of several it is.
_Key = tuple[str, str, str, int]
_Side = tuple[ResultsDirectory, Play]


@attrs.define
class PointCounts:
    """How the decisions at one point differ between two plays.

    Attributes:
        both: Decisions that both plays have.
        different: Those of them that differ in any field.
        chosen_differently: Those of them that differ in what was chosen or the reason.
        only_first: Decisions that only the first play has.
        only_second: Decisions that only the second play has.
    """

    both: int = 0
    different: int = 0
    chosen_differently: int = 0
    only_first: int = 0
    only_second: int = 0

    @property
    def all_different(self) -> int:
        """How many differ, or have no counterpart."""
        return self.different + self.only_first + self.only_second


@attrs.frozen
class FirstDifference:
    """The first decision that differs; one of the two is None where a play has ended.

    Attributes:
        number: Its number in both plays, from 1.
        before: The decisions before it, which are the same.
        first: Decision of the first play.
        second: Decision of the second play.
    """

    number: int
    before: tuple[DecisionRecord, ...]
    first: DecisionRecord | None
    second: DecisionRecord | None

    def fields(self) -> list[str]:
        """Return the names of the fields that differ."""
        if self.first is None or self.second is None:
            return []
        names = attrs.fields_dict(DecisionRecord)
        one, other = self.first, self.second
        return [name for name in names if getattr(one, name) != getattr(other, name)]

    def candidate_rows(self) -> list[dict[str, Any]]:
        """Return a row for each candidate of any of the two, with both values."""
        sides = [each.candidates if each else () for each in (self.first, self.second)]
        tables = [{each.name: each for each in side} for side in sides]
        rows = []
        for name in dict.fromkeys([*tables[0], *tables[1]]):
            row: dict[str, Any] = {"candidate": name}
            for side, table in zip(("first", "second"), tables, strict=True):
                found = table.get(name)
                row[side] = found.value if found else None
                row[f"{side} left out"] = found.left_out if found else "unknown"
            rows.append(row)
        return rows


@attrs.frozen
class PlayComparison:
    """Comparison of one play with its counterpart.

    Attributes:
        label: Variant, or both of them, and seed.
        counts: Decisions of the first and the second play.
        first_difference: None if all decisions are the same.
        by_point: Counts for each point of decision.
    """

    label: str
    counts: tuple[int, int]
    first_difference: FirstDifference | None
    by_point: dict[str, PointCounts]

    def as_json(self) -> dict[str, Any]:
        """Return it as a JSON value."""
        value = attrs.asdict(self)
        if self.first_difference is not None:
            value["first_difference"]["fields"] = self.first_difference.fields()
        value["different"] = sum(c.all_different for c in self.by_point.values())
        return value


@attrs.frozen
class DecisionComparison:
    """What was compared, and what could not be.

    Attributes:
        plays: Plays with decisions in both directories.
        gaps: What is missing, one sentence each.
        notes: What only one side has, one sentence each.
    """

    plays: list[PlayComparison]
    gaps: list[str]
    notes: list[str]

    @property
    def differs(self) -> bool:
        """Whether any decision differs."""
        return any(play.first_difference is not None for play in self.plays)

    def as_json(self) -> dict[str, Any]:
        """Return it as a JSON value."""
        plays = [play.as_json() for play in self.plays]
        return {"gaps": self.gaps, "notes": self.notes, "plays": plays}


def compare_decisions(
    directories: Sequence[str],
    variants: Sequence[str] = (),
    progress: Callable[[str], None] = lambda path: None,
) -> DecisionComparison:
    """Compare the decisions of two directories, or of two variants.

    Args:
        directories: Paths of one or two results directories.
        variants: Names of two variants to compare; by default those that two
            directories have in common, each with itself.
        progress: Called with the name of each play before it is read.

    Raises:
        ResultsError: If a directory cannot be read, or nothing can be compared.
        SettingsError: If directories and variants cannot be combined.
    """
    if len(directories) not in (1, 2) or len(variants) > 2:
        raise SettingsError("compare one or two directories, and at most two variants")
    if len(directories) == 1 and len(variants) != 2:
        raise SettingsError("name two directories, or two variants of one with -v")
    opened = [open_results(path) for path in directories]
    chosen, notes = choose_sides(opened, variants)
    gaps = [
        f"directory {number}: {gap}"
        for number, results in enumerate(opened, 1)
        for gap in results.gaps
    ]
    plays = []
    for first, second in zip(chosen[::2], chosen[1::2], strict=True):
        label = first[1] if first[1] == second[1] else f"{first[1]} and {second[1]}"
        seeds = _seeds(*first), _seeds(*second)
        for seed in sorted(seeds[0] ^ seeds[1]):
            notes.append(f"{label}, seed {seed}: only one of the two was played")
        for seed in sorted(seeds[0] & seeds[1]):
            name = f"{label}, seed {seed}"
            progress(name)
            sides = [
                (results, Play(variant, seed)) for results, variant in (first, second)
            ]
            try:
                plays.append(_compare_plays(name, *sides))
            except ResultsError as error:
                gaps.append(f"{name}: {error}")
    if not plays:
        raise ResultsError("\n".join(["no decisions to compare", *gaps, *notes]))
    return DecisionComparison(plays, gaps, notes)


def _seeds(results: ResultsDirectory, variant: str) -> set[int]:
    return {play.seed for play in results.plays if play.variant == variant}


def _decisions(number: int, side: _Side) -> Iterator[DecisionRecord]:
    results, play = side
    try:
        yield from results.decisions(play)
    except ResultsError as error:
        raise ResultsError(f"directory {number}: {error}") from error


def _compare_plays(label: str, first_side: _Side, second_side: _Side) -> PlayComparison:
    """Compare two plays.

    Raises:
        ResultsError: If a file is missing, cut or invalid, or has no decision.
    """
    by_point: defaultdict[str, PointCounts] = defaultdict(PointCounts)
    before: deque[DecisionRecord] = deque(maxlen=SHOWN_BEFORE)
    difference: FirstDifference | None = None
    unmatched = _Unmatched(by_point)
    counts = [0, 0]
    pairs = zip_longest(_decisions(1, first_side), _decisions(2, second_side))
    for number, (first, second) in enumerate(pairs, 1):
        counts[0] += first is not None
        counts[1] += second is not None
        if difference is None:
            if first == second and first is not None:
                by_point[first.point].both += 1
                before.append(first)
                continue
            difference = FirstDifference(number, tuple(before), first, second)
        unmatched.add(first, second)
    if not counts[0] and not counts[1]:
        raise ResultsError("neither play has a decision")
    unmatched.end()
    return PlayComparison(
        label, (counts[0], counts[1]), difference, dict(sorted(by_point.items()))
    )


class _Unmatched:
    """Matches the decisions from the first difference on.

    Args:
        by_point: Counts to update.
    """

    def __init__(self, by_point: defaultdict[str, PointCounts]):
        self.by_point = by_point
        self.numbers: list[Counter[tuple[str, str, str]]] = [Counter(), Counter()]
        # Hashes of the whole decision, and of what was chosen and why.
        self.waiting: list[dict[_Key, tuple[int, int]]] = [{}, {}]

    def add(self, *decisions: DecisionRecord | None) -> None:
        """Add a decision of the first play, and one of the second."""
        for side, decision in enumerate(decisions):
            if decision is not None:
                self._add(side, decision)

    def _add(self, side: int, decision: DecisionRecord) -> None:
        work = decision.request, decision.step, decision.point.value
        key = (*work, self.numbers[side][work])
        self.numbers[side][work] += 1
        found = hash(decision), hash((decision.chosen, decision.reason))
        other = self.waiting[1 - side].pop(key, None)
        if other is None:
            self.waiting[side][key] = found
            return
        counts = self.by_point[decision.point]
        counts.both += 1
        counts.different += found[0] != other[0]
        counts.chosen_differently += found[1] != other[1]

    def end(self) -> None:
        """Count the decisions that only one play has."""
        for key in self.waiting[0]:
            self.by_point[key[2]].only_first += 1
        for key in self.waiting[1]:
            self.by_point[key[2]].only_second += 1
