"""Writes the decisions of a play to a file; see docs/experiments.md."""

import json
import os
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import attrs

from wagtailrun.clock import Clock
from wagtailrun.exceptions import ExperimentFailed
from wagtailrun.targets.decisions import Candidate, DecisionLog, DecisionPoint
from wagtailrun.targets.table import TargetRow

__all__ = ["DecisionFile"]

# Of the values of candidates, so that the order in which a sum is formed does not show.
DECIMALS = 6


class DecisionFile:
    """File with the decisions of all entries of a play, a line for each.

    Args:
        path: File, which must not exist.

    Raises:
        ExperimentFailed: If it cannot be opened.
    """

    def __init__(self, path: Path):
        self.path = path
        self.count = 0
        # Entries must not fail for want of room on the disk; ``close`` does.
        self.error: OSError | None = None
        try:
            self.file = path.open("x", encoding="utf-8")
        except OSError as error:
            raise self._failure(error) from error

    def of_entry(self, name: str, clock: Clock) -> DecisionLog:
        """Return the log for the decisions of one entry."""
        return _EntryDecisions(self, name, clock)

    def add(self, line: dict[str, Any]) -> None:
        """Append a decision."""
        self.count += 1
        self._write(line)

    def _write(self, line: dict[str, Any]) -> None:
        try:
            if self.error is None:
                self.file.write(json.dumps(line) + "\n")
        except OSError as error:
            self.error = error

    def close(self) -> None:
        """Append the number of decisions, which shows that the file is whole.

        Raises:
            ExperimentFailed: If the decisions could not be written.
        """
        self._write({"decisions": self.count})
        try:
            if self.error is not None:
                raise self.error
            self.file.flush()
            # A disk without room may say so only here.
            os.fsync(self.file.fileno())
            self.file.close()
        except OSError as error:
            raise self._failure(error) from error

    def _failure(self, error: OSError) -> ExperimentFailed:
        reason = error.strerror or error
        return ExperimentFailed(
            f"cannot write {self.path}: {reason}; free or name another place"
        )


class _EntryDecisions(DecisionLog):
    """The decisions of one entry.

    Args:
        file: Where they are kept.
        entry: Name of the entry.
        clock: Clock.
    """

    def __init__(self, file: DecisionFile, entry: str, clock: Clock):
        self.file = file
        self.entry = entry
        self.clock = clock
        self.candidates_by_name: dict[str, Candidate] = {}

    def begin_choice(self, rows: Iterable[TargetRow]) -> None:
        """Begin a choice; see ``DecisionLog``."""
        self.candidates_by_name = {
            row.name: Candidate(row.name, left_out="not-used") for row in rows
        }

    def leave_out(
        self, before: Iterable[TargetRow], after: Iterable[TargetRow], why: str
    ) -> None:
        """State that a rule took targets away; see ``DecisionLog``."""
        left = {row.name for row in after}
        for row in before:
            if row.name not in left:
                candidate = Candidate(row.name, left_out=why)
                self.candidates_by_name[row.name] = candidate

    def rank(self, rows: Sequence[TargetRow], values: Sequence[float]) -> None:
        """State what targets were ranked by; see ``DecisionLog``."""
        for row, value in zip(rows, values, strict=True):
            self.candidates_by_name[row.name] = Candidate(row.name, value)

    def record_choice(
        self,
        request: str,
        step: str,
        point: DecisionPoint,
        chosen: str,
        reason: str = "",
    ) -> None:
        """Record a decision among targets; see ``DecisionLog``."""
        candidates = list(self.candidates_by_name.values())
        self.candidates_by_name = {}
        reason = reason or _reason_of(chosen, candidates)
        self.record(request, step, point, chosen, reason, candidates)

    def record(
        self,
        request: str,
        step: str,
        point: DecisionPoint,
        chosen: str,
        reason: str,
        candidates: Sequence[Candidate] = (),
    ) -> None:
        """Record any other decision; see ``DecisionLog``."""
        self.file.add(
            {
                "at_ms": self.clock.now_ms(),
                "entry": self.entry,
                "request": request,
                "step": step,
                "point": point.value,
                "chosen": chosen,
                "reason": reason,
                "candidates": [_rounded(candidate) for candidate in candidates],
            }
        )


def _reason_of(chosen: str, candidates: Sequence[Candidate]) -> str:
    """Return what the values say of the choice of a target."""
    ranked = [each for each in candidates if each.value is not None]
    values_by_name: dict[str, Any] = {each.name: each.value for each in ranked}
    if chosen not in values_by_name:
        return "none-left"
    if len(ranked) == 1:
        return "only"
    is_lowest = values_by_name[chosen] <= min(values_by_name.values())
    return "lowest" if is_lowest else "preferred"


def _rounded(candidate: Candidate) -> dict[str, Any]:
    value: Any = candidate.value
    if isinstance(value, tuple):
        value = [round(each, DECIMALS) for each in value]
    elif value is not None:
        value = round(value, DECIMALS)
    return {**attrs.asdict(candidate), "value": value}
