"""Runs the whole test suite: first, in parallel, the tests that need no network."""

import sys

import pytest

# Most tests run in virtual time and are independent of each other.
WORKERS = "4"

if __name__ == "__main__":
    independent = pytest.main(["-n", WORKERS, "-m", "not network"])
    # Sequential, so that no test takes a port that another test has just found free.
    network = pytest.main(["-m", "network"])
    sys.exit(independent or network)
