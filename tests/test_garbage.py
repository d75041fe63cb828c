"""Tests that a collection of the test run's own objects delays no network test."""

import gc

import pytest

pytestmark = pytest.mark.network

HELD = [[] for _ in range(1_000)]


def test_collections_of_the_suite_delay_no_network_test():
    """Guards against time limits missed by a collection of what test modules hold."""
    made = [[] for _ in range(1_000)]
    looked_at = {id(item) for item in gc.get_objects()}
    assert not any(id(item) in looked_at for item in HELD)
    # Collections of what the test makes do count.
    assert all(id(item) in looked_at for item in made)
