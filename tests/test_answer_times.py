"""Tests of the learned estimate of how long the answers of a route take."""

import pytest

from wagtailrun.relay.placement.answer_times import (
    MAX_ANSWERS,
    MAX_KEYS,
    MIN_ANSWERS,
    TYPICAL_SHARE,
    AnswerTimes,
)


def taught(*answers, route="r", service="s"):
    """Return the estimates after answers, given as (tokens, milliseconds)."""
    times = AnswerTimes()
    for tokens, took_ms in answers:
        times.add(route, service, tokens, took_ms)
    return times


def test_nothing_is_expected_of_a_route_without_answers():
    """Guards against refusals by an entry that has just started."""
    assert AnswerTimes().expected_ms("r", "s", 100) == 0
    few = taught(*[(100, 5_000)] * (MIN_ANSWERS - 1))
    assert few.expected_ms("r", "s", 100) == 0
    few.add("r", "s", 100, 5_000)
    assert few.expected_ms("r", "s", 100) == 5_000


def test_estimate_covers_most_answers():
    """Guards against an estimate by the mean, which half of the answers exceed."""
    times = taught(*[(0, number) for number in range(1, 11)])
    assert times.expected_ms("r", "s", 0) == 7
    assert times.expected_ms("r", "s", 0, TYPICAL_SHARE) == 5


@pytest.mark.parametrize(("tokens", "expected_ms"), [(50, 500), (400, 4_000)])
def test_estimate_follows_the_length_that_the_caller_expects(tokens, expected_ms):
    """Guards against refusals of short answers since others of the route are long.

    A long one is not taken for short because an entry has seen no other of its length.
    """
    times = taught(*[(100, 1_000), (200, 2_000)] * MIN_ANSWERS)
    assert times.expected_ms("r", "s", tokens) == expected_ms


def test_long_answers_are_estimated_by_long_ones():
    """Guards against refusals of long answers as short ones take more for a token."""
    times = taught(*[(500, 5_000)] * MIN_ANSWERS, *[(1, 100)] * 4 * MIN_ANSWERS)
    assert times.expected_ms("r", "s", 500) == 5_000


def test_one_false_expectation_does_not_decide_the_estimate():
    """Guards against a caller whose expectation makes all answers seem short."""
    times = taught(*[(500, 5_000)] * 40, (50_000, 300))
    assert times.expected_ms("r", "s", 500) == 5_000
    assert times.expected_ms("r", "s", 500, TYPICAL_SHARE) == 5_000


def test_time_per_token_is_that_of_all_routes_of_the_service():
    """Guards against estimates of twice the longest answer, by a few of one route."""
    times = taught(*[(100, 700)] * MAX_ANSWERS)
    for _ in range(MIN_ANSWERS):
        times.add("other", "s", 20, 400)
    assert times.expected_ms("other", "s", 600) == 4_200


def test_route_without_answers_is_estimated_by_its_service():
    """Guards against an entry that relearns engines for each route."""
    times = taught(*[(100, 1_000)] * MIN_ANSWERS)
    assert times.expected_ms("other", "s", 50) == 500
    assert times.expected_ms("other", "other", 50) == 0


def test_old_answers_and_routes_are_dropped():
    """Guards against estimates that grow with the number of requests or routes."""
    times = taught(*[(0, 9_000)] * MAX_ANSWERS, *[(0, 10)] * MAX_ANSWERS)
    assert times.expected_ms("r", "s", 0) == 10
    for number in range(MAX_KEYS):
        times.add(f"r{number}", f"s{number}", 0, 10)
    assert times.expected_ms("r", "s", 0) == 0
