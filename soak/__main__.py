"""Randomized soak of real processes, by seed.

python -m soak --seed 7 --minutes 10 [--size small] [--kind relay] [--faults none]

Exit codes: 0 all promises were kept; 1 one was broken; 2 bad input, or too little
memory or descriptors; 3 the machine stood still, so that the run shows nothing.
"""

import argparse
import signal
import sys

from soak.curio_log import ignore_late_ends
from soak.faults import FAULTS_BY_NAME
from soak.kinds import KINDS
from soak.preflight import check_machine
from soak.records import SoakNotStarted
from soak.run import Options, Run
from soak.schedule import SIZES

EXIT_NOT_STARTED = 2
MAX_MINUTES = 24 * 60


def parse_options(arguments: list[str]) -> Options:
    """Return the options of the command line.

    Raises:
        SoakNotStarted: If they are wrong.
    """
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", help="seed of the schedule; required")
    parser.add_argument("--minutes", default="10", help="length of the run")
    parser.add_argument("--size", default="small", help=", ".join(SIZES))
    parser.add_argument("--kind", default="", help=f"{', '.join(KINDS)}; by the seed")
    parser.add_argument(
        "--faults", default="", help="comma-separated, or none; all by default"
    )
    parser.add_argument("--folder", default="", help="for records and logs; kept")
    values = parser.parse_args(arguments)
    if not values.seed:
        raise SoakNotStarted("a seed is missing: --seed N, or make soak SEED=N")
    if values.size not in SIZES:
        sizes = ", ".join(SIZES)
        raise SoakNotStarted(f"size {values.size!r} does not exist; one of {sizes}")
    if values.kind and values.kind not in KINDS:
        raise SoakNotStarted(
            f"kind {values.kind!r} does not exist; one of {', '.join(KINDS)}"
        )
    return Options(
        seed=values.seed,
        lasts_ms=int(_parse_minutes(values.minutes) * 60_000),
        size=SIZES[values.size],
        kind=values.kind,
        faults=_parse_faults(values.faults),
        folder=values.folder,
    )


def _parse_minutes(text: str) -> float:
    try:
        minutes = float(text)
    except ValueError:
        minutes = 0.0
    if not 0 < minutes <= MAX_MINUTES:
        raise SoakNotStarted(f"minutes {text!r} are not above 0 up to {MAX_MINUTES}")
    return minutes


def _parse_faults(text: str) -> list[str]:
    if text == "none":
        return []
    names = text.split(",") if text else list(FAULTS_BY_NAME)
    for name in names:
        if name not in FAULTS_BY_NAME:
            known = ", ".join(FAULTS_BY_NAME)
            raise SoakNotStarted(f"fault {name!r} does not exist; one of {known}")
    return names


def main() -> int:
    """Run the soak; return its exit code."""
    try:
        options = parse_options(sys.argv[1:])
        run = Run(options)
        check_machine(run.requirements())
    except SoakNotStarted as error:
        print(f"not started: {error}", file=sys.stderr)
        return EXIT_NOT_STARTED

    ignore_late_ends()

    def interrupt(number: int, frame: object) -> None:
        run.is_interrupted = True

    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, interrupt)
    return run.play().value


if __name__ == "__main__":
    sys.exit(main())
