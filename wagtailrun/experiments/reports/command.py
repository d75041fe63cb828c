"""Reads one or two results directories and reports on them."""

import importlib.util
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs

from wagtailrun.exceptions import ResultsError, SettingsError, WagtailrunError
from wagtailrun.experiments.reports.figures import (
    Side,
    outage_rows,
    promise_rows,
    read_side,
    summary,
)
from wagtailrun.experiments.reports.reading import ResultsDirectory

if TYPE_CHECKING:
    from wagtailrun.experiments.reports.comparison import Comparison

__all__ = [
    "Report",
    "choose_sides",
    "open_results",
    "read_report",
    "require_packages",
]

PAGE_PACKAGES = {"numpy": "numpy", "matplotlib": "matplotlib", "jinja2": "Jinja2"}


@attrs.frozen
class Report:
    """What is reported.

    Attributes:
        sides: Variants, in order.
        pairs: Pairs of sides to compare.
        gaps: What is missing in the directories, one sentence each.
        notes: What a reader of a comparison must know, one sentence each.
    """

    sides: list[Side]
    pairs: list[tuple[Side, Side]]
    gaps: list[str]
    notes: list[str]

    def as_json(self) -> dict[str, Any]:
        """Return gaps, notes, figures, faults and promises as a JSON value."""
        return {
            "gaps": self.gaps,
            "notes": self.notes,
            "summary": [row.as_json(self.sides) for row in summary(self.sides)],
            "faults": self.outage_rows(),
            "promises": self.promise_rows(),
            "comparisons": [each.as_json() for each in self.comparisons()],
        }

    def comparisons(self) -> "list[Comparison]":
        """Return the differences between the sides of each pair."""
        if not self.pairs:
            return []
        # numpy is needed for comparisons only.
        from wagtailrun.experiments.reports.comparison import compare

        return [compare(first, second) for first, second in self.pairs]

    def outage_rows(self) -> list[dict[str, Any]]:
        """Return the faults and planned work, a row for each and each side."""
        return outage_rows(self.sides)

    def promise_rows(self) -> list[dict[str, Any]]:
        """Return the promises, a row for each and each side."""
        return promise_rows(self.sides)

    def summary_rows(self) -> list[dict[str, Any]]:
        """Return the figures as texts, a column for each side."""
        return [row.as_text(self.sides) for row in summary(self.sides)]


def require_packages(modules: Sequence[str]) -> None:
    """Raise WagtailrunError if a module of the extra ``report`` is not installed."""
    missing = [PAGE_PACKAGES[m] for m in modules if not importlib.util.find_spec(m)]
    if missing:
        raise WagtailrunError(
            f"this report needs {', '.join(missing)}; in the checkout of wagtailrun, "
            f"run: {sys.executable} -m pip install '.[report]'"
        )


def read_report(
    directories: Sequence[str],
    variants: Sequence[str],
    progress: Callable[[str], None] = lambda path: None,
) -> Report:
    """Read one directory, or two to compare.

    Args:
        directories: Paths of one or two results directories.
        variants: Names of the variants to report on; two are compared. By default all
            of one directory, or those that are in both.
        progress: Called with the path of each play before it is read.

    Raises:
        ResultsError: If a directory cannot be read, or has no play to report on.
        SettingsError: If directories and variants cannot be combined.
    """
    if len(directories) not in (1, 2) or len(variants) > 2:
        raise SettingsError("a report is on one or two directories and variants")
    is_comparison = len(directories) == 2 or len(variants) == 2
    if is_comparison:
        require_packages(["numpy"])
    opened = [open_results(path) for path in directories]
    chosen, notes = choose_sides(opened, variants)
    labels = _label_directories(opened)
    sides = [
        read_side(results, name, f"{labels[opened.index(results)]}{name}", progress)
        for results, name in chosen
    ]
    gaps = [
        f"{label if len(opened) == 2 else ''}{gap}"
        for label, results in zip(labels, opened, strict=True)
        for gap in results.gaps
    ]
    empty = [side.label for side in sides if not side.tally.plays]
    if len(empty) == len(sides) or (empty and is_comparison):
        detail = f"no play to report on: {', '.join(empty)}"
        raise ResultsError("\n".join([detail, *gaps]))
    pairs = []
    if is_comparison:
        pairs = list(zip(sides[::2], sides[1::2], strict=True))
        notes += [note for pair in pairs for note in _differences(*pair)]
    return Report([side for side in sides if side.tally.plays], pairs, gaps, notes)


def open_results(path: str) -> ResultsDirectory:
    """Return a results directory; errors name its path."""
    try:
        return ResultsDirectory(Path(path))
    except ResultsError as error:
        raise ResultsError(f"{path}: {error}") from error


def choose_sides(
    opened: list[ResultsDirectory], variants: Sequence[str]
) -> tuple[list[tuple[ResultsDirectory, str]], list[str]]:
    """Return directories and variants, in pairs if there are two, and notes."""
    first, second = opened[0], opened[-1]
    if variants:
        chosen = [(first, variants[0])]
        if len(variants) == 2 or first is not second:
            chosen.append((second, variants[-1]))
        for results, name in chosen:
            if name not in results.run.variants:
                known = ", ".join(results.run.variants)
                raise ResultsError(f"{results.path}: no variant {name!r}, only {known}")
        if len(set(chosen)) < len(chosen):
            raise SettingsError("name two different variants")
        return chosen, []
    if first is second:
        return [(first, name) for name in first.run.variants], []
    in_both = [name for name in first.run.variants if name in second.run.variants]
    if not in_both:
        raise ResultsError("the directories share no variant; name one of each")
    others = sorted({*first.run.variants, *second.run.variants} - {*in_both})
    notes = [f"variant {name} is in one directory only: left out" for name in others]
    return [(each, name) for name in in_both for each in opened], notes


def _label_directories(opened: list[ResultsDirectory]) -> list[str]:
    """Return what distinguishes the directories, without their place on the disk."""
    if len(opened) == 1:
        return ["variant "]
    names = [results.path.resolve().name for results in opened]
    if names[0] == names[1]:
        names = ["first", "second"]
    return [f"{name}: " for name in names]


def _differences(first: Side, second: Side) -> list[str]:
    """Return what else differs between two sides, one sentence each."""
    notes = []
    for name in ("name", "world", "length_ms", "version"):
        one, other = getattr(first.run, name), getattr(second.run, name)
        if one != other:
            detail = f"{name} differs: {one} and {other}"
            notes.append(f"{first.label} and {second.label}: {detail}")
    seeds = first.figures_by_seed.keys() ^ second.figures_by_seed.keys()
    if seeds:
        text = ", ".join(map(str, sorted(seeds)))
        detail = f"seeds of only one of the two are left out: {text}"
        notes.append(f"{first.label} and {second.label}: {detail}")
    return notes
