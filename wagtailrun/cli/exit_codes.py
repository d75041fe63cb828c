"""Exit codes of the commands, and what a user is told of an error."""

from wagtailrun.cli.client import NoAnswer
from wagtailrun.cli.output import printable_lines
from wagtailrun.exceptions import (
    ExperimentFileError,
    FleetTextError,
    SettingsError,
    WagtailrunError,
)

__all__ = [
    "EXIT_BROKEN_PROMISE",
    "EXIT_DIFFERENT",
    "EXIT_INTERRUPTED",
    "EXIT_REFUSED",
    "EXIT_SUCCESS",
    "EXIT_USAGE",
    "describe_error",
]

EXIT_SUCCESS = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
# An experiment was played to its end, and a promise of its file did not hold.
EXIT_BROKEN_PROMISE = 3
# Two plays were compared, and a decision differs.
EXIT_DIFFERENT = 4
# Exit code that shells report for a process ended by SIGINT.
EXIT_INTERRUPTED = 130


def describe_error(error: WagtailrunError | OSError) -> tuple[str, int]:
    """Return what the user is told of an error, and the exit status."""
    text, code = str(error), EXIT_REFUSED
    if isinstance(error, NoAnswer):
        advice = "; it may have run: run the same command again" * error.may_have_run
        text = f"no control member answered: {error}{advice}"
    elif isinstance(error, ExperimentFileError | FleetTextError | SettingsError):
        code = EXIT_USAGE
    return f"wagtailrun: {printable_lines(text)}", code
