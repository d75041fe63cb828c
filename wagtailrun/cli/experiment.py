"""Commands that check and play experiments."""

import importlib
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from wagtailrun.cli.decisions import print_comparison
from wagtailrun.cli.exit_codes import (
    EXIT_BROKEN_PROMISE,
    EXIT_DIFFERENT,
    EXIT_INTERRUPTED,
    EXIT_REFUSED,
    EXIT_SUCCESS,
)
from wagtailrun.cli.output import print_json, print_rows
from wagtailrun.exceptions import ExperimentFileError

__all__ = ["EXPERIMENT_COMMANDS"]


def check(file: str, *, json: bool = False) -> int:
    """Check the file of an experiment; play nothing.

    Example: wagtailrun experiment check calm-hour.toml

    Args:
        file: Path of the experiment's file.
        json: Print JSON.
    """
    experiment = _load(file)
    rows = [
        {
            "experiment": experiment.name,
            "variant": variant,
            "length_s": experiment.length_ms / 1_000,
            "seeds": len(experiment.seeds),
            "entries": sum(scenario.entries_by_data_centre.values()),
            "targets": sum(group.count for group in scenario.targets),
            "expected_requests": round(
                sum(load.expected_requests for load in scenario.loads)
            ),
            "faults": len(scenario.faults),
            "promises": len(scenario.promises),
        }
        for variant, scenario in experiment.scenarios_by_variant.items()
    ]
    print_rows(rows, as_json=json)
    return EXIT_SUCCESS


def run(
    file: str,
    *,
    out: str,
    variant: Sequence[str] = (),
    seeds: int | None = None,
    jobs: int | None = None,
    decisions: bool = False,
    json: bool = False,
) -> int:
    """Play an experiment in virtual time; exit with 3 if a promise is broken.

    Example: wagtailrun experiment run calm-hour.toml --out results

    Args:
        file: Path of the experiment's file.
        out: Directory for the results, which must be empty or not exist.
        variant: Names of the variants to play; by default all.
        seeds: How many of the file's seeds to play; by default all.
        jobs: How many plays run at once; by default half of the processors, at most 4.
        decisions: Keep each decision about a request, for `compare`.
        json: Print JSON.
    """
    experiment = _load(file)
    running = importlib.import_module("wagtailrun.experiments.running")
    variants = _chosen_variants(experiment, variant)
    chosen = experiment.seeds[:seeds]
    jobs = running.default_jobs() if jobs is None else jobs
    if seeds is not None and not 1 <= seeds <= len(experiment.seeds):
        remedy = f"give 1 to {len(experiment.seeds)}, the number of the file's seeds"
        raise ExperimentFileError([f"--seeds: {seeds} is not accepted; {remedy}"])
    if jobs < 1:
        raise ExperimentFileError([f"--jobs: {jobs} is not accepted; give 1 or more"])
    try:
        results = running.run_experiment(
            experiment, Path(out), variants, chosen, jobs, decisions=decisions
        )
    except KeyboardInterrupt:
        print(f"wagtailrun: interrupted; {out} has what ended before", file=sys.stderr)
        return EXIT_INTERRUPTED
    rows = [
        {
            "variant": play.variant,
            "seed": play.seed,
            "promise": promise.name,
            "bound": promise.bound,
            "measured": promise.measured,
            "unit": promise.unit,
            "held": promise.held,
            "detail": promise.detail,
        }
        for play, promises in results.items()
        for promise in promises
    ]
    print_rows(rows, as_json=json, empty="no promises")
    return EXIT_SUCCESS if all(row["held"] for row in rows) else EXIT_BROKEN_PROMISE


def compare(*directories: str, variant: Sequence[str] = (), json: bool = False) -> int:
    """Find the first decision that differs; exit with 4 if one does, 1 for gaps.

    Example: wagtailrun experiment compare before after

    Args:
        directories: Two results directories of runs with decisions, or one.
        variant: Names of two variants to compare, after the directories; by default
            each variant that two directories have in common, with itself.
        json: Print JSON.
    """
    module = importlib.import_module("wagtailrun.experiments.reports.decisions")
    found = module.compare_decisions(directories, variant)
    if json:
        print_json(found.as_json())
    else:
        print_comparison(found)
    if found.gaps:
        return EXIT_REFUSED
    return EXIT_DIFFERENT if found.differs else EXIT_SUCCESS


def _load(file: str) -> Any:
    # Imported here, as it imports the entry, which imports this package.
    reading = importlib.import_module("wagtailrun.experiments.reading")
    return reading.load_experiment(file)


def _chosen_variants(experiment: Any, names: Sequence[str]) -> list[str]:
    known = list(experiment.scenarios_by_variant)
    unknown = [name for name in names if name not in known]
    if unknown:
        remedy = f"choose from {', '.join(known)}"
        raise ExperimentFileError(
            [f"--variant: {unknown[0]!r} is no variant; {remedy}"]
        )
    return list(dict.fromkeys(names)) or known


EXPERIMENT_COMMANDS = [check, run, compare]
