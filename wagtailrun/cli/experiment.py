"""Commands that check and play experiments."""

import importlib

from wagtailrun.cli.exit_codes import EXIT_SUCCESS
from wagtailrun.cli.output import print_rows

__all__ = ["EXPERIMENT_COMMANDS"]


def check(file: str, *, json: bool = False) -> int:
    """Check the file of an experiment; play nothing.

    Example: wagtailrun experiment check calm-hour.toml

    Args:
        file: Path of the experiment's file.
        json: Print JSON.
    """
    reading = importlib.import_module("wagtailrun.experiments.reading")
    experiment = reading.load_experiment(file)
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


EXPERIMENT_COMMANDS = [check]
