"""Runs the whole test suite: what needs no network on several processors first."""

import sys

import pytest

# Tests in virtual time are independent of each other; most of the suite are those.
WORKERS = "4"

if __name__ == "__main__":
    independent = pytest.main(["-n", WORKERS, "-m", "not network"])
    # One after the other: a port that one test found free must not be taken by another.
    network = pytest.main(["-m", "network"])
    sys.exit(independent or network)
