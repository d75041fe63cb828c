"""Runs the whole test suite, on several processors."""

import sys

import pytest

# Tests in virtual time are independent of each other; most of the suite are those.
WORKERS = "4"

if __name__ == "__main__":
    sys.exit(pytest.main(["-n", WORKERS, "--dist", "loadgroup"]))
