"""Reads a results directory, one record at a time."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, BinaryIO, NoReturn, TypeVar

import attrs

from wagtailrun.exceptions import ResultsError
from wagtailrun.experiments.records import (
    DECISIONS_FILE,
    DecisionRecord,
    EventRecord,
    PromiseRecord,
    RequestRecord,
    Run,
    SampleRecord,
    structure,
)

__all__ = ["Play", "ResultsDirectory"]

FORMAT = 1
# A record takes a few hundred bytes, and 100 for each of its steps.
MAX_LINE_BYTES = 1024 * 1024
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024

T = TypeVar("T")


@attrs.frozen
class Play:
    """One variant played with one seed."""

    variant: str
    seed: int

    @property
    def path(self) -> str:
        """Path below the results directory."""
        return f"{self.variant}/{self.seed}"


@attrs.frozen
class _DecisionCount:
    """Last line of a file of decisions."""

    decisions: int


class ResultsDirectory:
    """Results directory of an experiment.

    Args:
        path: Path of the directory.

    Attributes:
        path: Path of the directory.
        run: What ``run.json`` says.
        plays: Finished plays, without those that are absent.
        gaps: What is missing, one sentence each.

    Raises:
        ResultsError: If it is no results directory, or of another format.
    """

    def __init__(self, path: Path):
        self.path = path
        if not path.is_dir():
            raise ResultsError("not a directory")
        if not (path / "run.json").is_file():
            raise ResultsError("no results directory, run.json is missing")
        value = self._read_document("run.json")
        number = value.get("format") if isinstance(value, dict) else None
        if type(number) is not int or number != FORMAT:
            _fail("run.json", f"format is {number!r:.40}, only {FORMAT} can be read")
        self.run = _structured("run.json", value, Run)
        _check_names(self.run)
        self.gaps: list[str] = []
        self.plays = self._find_plays()

    def requests(self, play: Play) -> Iterator[RequestRecord]:
        """Yield the requests of a play in order.

        Raises:
            ResultsError: If a record is invalid or missing.
        """
        name, count = f"{play.path}/requests.jsonl", 0
        for line, request in self._read_lines(name, RequestRecord):
            if request.number != count:
                _fail(f"{name}:{line}", f"request {request.number}, expected {count}")
            count += 1
            yield request
        if not count:
            _fail(name, "no request")

    def events(self, play: Play) -> Iterator[EventRecord]:
        """Yield the events of a play; raises ResultsError if one is invalid."""
        return (
            e for _, e in self._read_lines(f"{play.path}/events.jsonl", EventRecord)
        )

    def samples(self, play: Play) -> Iterator[SampleRecord]:
        """Yield the samples of a play; raises ResultsError if one is invalid."""
        return (
            s for _, s in self._read_lines(f"{play.path}/samples.jsonl", SampleRecord)
        )

    def decisions(self, play: Play) -> Iterator[DecisionRecord]:
        """Yield the decisions of a play in order.

        Raises:
            ResultsError: If a record is invalid, or the file is missing or not whole.
        """
        name, count = f"{play.path}/{DECISIONS_FILE}", 0
        stated: int | None = None
        for place, value in self._read_values(name):
            if stated is not None:
                _fail(place, "a line after the number of decisions")
            if isinstance(value, dict) and value.keys() == {"decisions"}:
                stated = _structured(place, value, _DecisionCount).decisions
                continue
            yield _structured(place, value, DecisionRecord)
            count += 1
        if stated is None:
            _fail(name, f"cut after {count} decisions, their number is missing")
        if stated != count:
            _fail(name, f"has {count} of {stated} decisions")

    def promises(self, play: Play) -> list[PromiseRecord]:
        """Return the promises of a play; raises ResultsError if one is invalid."""
        name = f"{play.path}/promises.json"
        value = self._read_document(name)
        if not isinstance(value, list):
            _fail(name, "not a list")
        return [
            _structured(f"{name}, promise {number}", each, PromiseRecord)
            for number, each in enumerate(value)
        ]

    def _find_plays(self) -> list[Play]:
        """Return the finished plays that are there, and note what is missing."""
        run, found = self.run, []
        finished = [Play(variant, seed) for variant, seed in run.finished]
        for play in finished:
            if (self.path / play.path).is_dir():
                found.append(play)
            else:
                self.gaps.append(f"{play.path}: finished, but absent; left out")
        requested = [Play(v, s) for v in run.variants for s in run.seeds]
        for play in requested:
            if play not in finished:
                self.gaps.append(f"{play.path}: did not finish; left out")
        if not run.complete:
            self.gaps.append("run.json: complete is false; the run was interrupted")
        known = {play.path for play in finished + requested}
        for path in sorted(self.path.glob("*/*/requests.jsonl")):
            name = path.parent.relative_to(self.path).as_posix()
            if name not in known:
                self.gaps.append(f"{name}: not named in run.json; left out")
        return found

    def _read_document(self, name: str) -> Any:
        """Return the JSON value of a file that is read as a whole."""
        with self._opened(name) as stream:
            text = stream.read(MAX_DOCUMENT_BYTES + 1)
        if len(text) > MAX_DOCUMENT_BYTES:
            _fail(name, f"longer than {MAX_DOCUMENT_BYTES} bytes")
        return _parse(name, text)

    def _read_lines(self, name: str, kind: type[T]) -> Iterator[tuple[int, T]]:
        """Yield line numbers, from 1, and records."""
        for number, (place, value) in enumerate(self._read_values(name), 1):
            yield number, _structured(place, value, kind)

    def _read_values(self, name: str) -> Iterator[tuple[str, Any]]:
        """Yield places of lines, for messages, and their JSON values."""
        with self._opened(name) as stream:
            number = 0
            while line := stream.readline(MAX_LINE_BYTES + 1):
                number += 1
                place = f"{name}:{number}"
                if len(line) > MAX_LINE_BYTES:
                    _fail(place, f"longer than {MAX_LINE_BYTES} bytes")
                if not line.endswith(b"\n"):
                    _fail(place, "the line is cut")
                yield place, _parse(place, line)

    @contextmanager
    def _opened(self, name: str) -> Iterator[BinaryIO]:
        try:
            with (self.path / name).open("rb") as stream:
                yield stream
        except OSError as error:
            raise ResultsError(f"{name}: {error.strerror or error}") from error


def _fail(place: str, detail: str) -> NoReturn:
    raise ResultsError(f"{place}: {detail}")


def _check_names(run: Run) -> None:
    """Check that names lead to no other directory, and none is repeated."""
    variants = [*run.variants, *(variant for variant, _ in run.finished)]
    for name in variants:
        if not name or "/" in name or "\0" in name or name in (".", ".."):
            _fail("run.json", f"{name!r:.40} is no name of a variant")
    for names in (run.variants, run.seeds, run.finished):
        if len(set(names)) < len(names):
            _fail("run.json", "a variant, seed or finished play is listed twice")
    if not run.length_ms:
        _fail("run.json", "length_ms is 0")


def _refuse_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is no JSON")


def _parse(place: str, text: bytes) -> Any:
    try:
        return json.loads(text, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise ResultsError(f"{place}: no JSON: {error}") from error


def _structured(place: str, value: Any, kind: type[T]) -> T:
    try:
        return structure(value, kind)
    except ValueError as error:
        raise ResultsError(f"{place}: {error}") from error
