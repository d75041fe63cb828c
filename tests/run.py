"""Runs the whole test suite."""

import sys

import pytest

if __name__ == "__main__":
    sys.exit(pytest.main([]))
