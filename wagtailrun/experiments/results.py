"""Writes the results directory of an experiment; see docs/experiments.md."""

import importlib.metadata
import json
import os
import shutil
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import attrs

from wagtailrun.exceptions import ExperimentFailed
from wagtailrun.experiments.model import Experiment
from wagtailrun.experiments.records import PlayRecords

__all__ = ["Play", "ResultsDirectory", "make_play_directory", "write_play"]

FORMAT = 1
WORLD = "emulator"


@attrs.frozen(order=True)
class Play:
    """One variant and seed."""

    variant: str
    seed: int


class ResultsDirectory:
    """The results of one run.

    Args:
        path: Directory; created, and refused if it is not empty.
        experiment: What is played.
        variants: Variants that are played.
        seeds: Seeds that are played.

    Raises:
        ExperimentFailed: If it is not empty or cannot be written.
    """

    def __init__(
        self,
        path: Path,
        experiment: Experiment,
        variants: Sequence[str],
        seeds: Sequence[int],
    ):
        self.path = path
        self.experiment = experiment
        self.variants = variants
        self.seeds = seeds
        self.finished: list[Play] = []
        try:
            path.mkdir(parents=True, exist_ok=True)
            if any(path.iterdir()):
                detail = f"{path} is not empty; name another directory for the results"
                raise ExperimentFailed(detail)
            (path / "experiment.toml").write_bytes(experiment.text.encode())
        except OSError as error:
            raise write_failure(path, error) from error
        self.write_run()

    def add(self, play: Play) -> None:
        """Move the records of a play that has ended to their place."""
        place = self.path / play.variant / str(play.seed)
        try:
            place.parent.mkdir(exist_ok=True)
            self.unfinished(play).rename(place)
        except OSError as error:
            raise write_failure(place, error) from error
        self.finished.append(play)
        self.write_run()

    def unfinished(self, play: Play) -> Path:
        """Return the directory of a play that has not ended."""
        return self.path / f".{play.variant}-{play.seed}.unfinished"

    def drop(self, play: Play) -> None:
        """Remove what a play that did not end has written."""
        shutil.rmtree(self.unfinished(play), ignore_errors=True)

    def write_run(self) -> None:
        """Write ``run.json`` as a whole or not at all."""
        finished = sorted(self.finished)
        run = {
            "format": FORMAT,
            "version": importlib.metadata.version("wagtailrun"),
            "name": self.experiment.name,
            "world": WORLD,
            "length_ms": self.experiment.length_ms,
            "variants": list(self.variants),
            "seeds": list(self.seeds),
            "finished": [[play.variant, play.seed] for play in finished],
            "complete": len(finished) == len(self.variants) * len(self.seeds),
        }
        newer = self.path / ".run.json"
        try:
            newer.write_text(json.dumps(run, indent=1) + "\n", encoding="utf-8")
            newer.rename(self.path / "run.json")
        except OSError as error:
            newer.unlink(missing_ok=True)
            raise write_failure(self.path, error) from error


def write_failure(path: Path, error: OSError) -> ExperimentFailed:
    """Return the error for results that cannot be written."""
    reason = error.strerror or error
    detail = f"cannot write results to {path}: {reason}; free or name another place"
    return ExperimentFailed(detail)


def make_play_directory(directory: Path) -> None:
    """Make the directory for the records of one play, if there is none yet.

    Raises:
        ExperimentFailed: If it cannot be made.
    """
    try:
        directory.mkdir(exist_ok=True)
    except OSError as error:
        raise write_failure(directory.parent, error) from error


def write_play(directory: Path, records: PlayRecords) -> None:
    """Write the records of one play.

    Raises:
        ExperimentFailed: If they cannot be written.
    """
    make_play_directory(directory)
    try:
        _write_lines(directory / "requests.jsonl", records.requests)
        _write_lines(directory / "events.jsonl", records.events)
        _write_lines(directory / "samples.jsonl", records.samples)
        promises = [attrs.asdict(promise) for promise in records.promises]
        text = json.dumps(promises, indent=1) + "\n"
        (directory / "promises.json").write_text(text, encoding="utf-8")
    except OSError as error:
        raise write_failure(directory.parent, error) from error


def _write_lines(path: Path, records: Iterable[Any]) -> None:
    with path.open("w", encoding="utf-8") as file:
        for record in records:
            file.write(json.dumps(attrs.asdict(record)) + "\n")
        file.flush()
        # A disk without room may say so only here.
        os.fsync(file.fileno())
