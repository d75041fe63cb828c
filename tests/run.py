"""Runs the whole test suite in parts, each closed by the summary line of pytest.

python -m tests.run [--workers N] [--shuffle SEED]
"""

import argparse
import os
import subprocess
import sys

import pytest

# Tests in virtual time use a processor all the time; those of the network mostly wait
# for real time, so that they run apart from the former.
PARALLEL_PARTS = ("not network", "network and not alone")
SEQUENTIAL_PART = "alone"
SLOWEST_SHOWN = 25


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--workers",
        type=int,
        default=len(os.sched_getaffinity(0)),
        help="test processes at once; default: one for each processor",
    )
    parser.add_argument(
        "--shuffle", metavar="SEED", help="random order of the test modules"
    )
    return parser.parse_args()


def main() -> int:
    """Run all parts; return 0 only if no part failed."""
    arguments = parse_arguments()
    command = [sys.executable, "-m", "pytest", f"--durations={SLOWEST_SHOWN}"]
    if arguments.shuffle is not None:
        command.append(f"--shuffle={arguments.shuffle}")
    parallel = ["-n", str(arguments.workers), "--dist", "loadgroup", "--omit-known-red"]
    # The part without workers is the first: it prints the entries of KNOWN-RED.txt, and
    # a worker's error about unknown tests there would be shown as an internal one.
    parts = [["-m", SEQUENTIAL_PART]]
    parts += [[*parallel, "-m", part] for part in PARALLEL_PARTS]
    codes = []
    for part in parts:
        codes.append(subprocess.run([*command, *part]).returncode)
        if codes[-1] == pytest.ExitCode.USAGE_ERROR:
            break
    return int(any(codes))


if __name__ == "__main__":
    sys.exit(main())
