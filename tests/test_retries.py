"""Tests of the rules and the budget for retries."""

import random

import pytest

from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.targets.retries import (
    INITIAL_TOKENS,
    MAX_REDIRECTS_PER_TARGET_S,
    MAX_TOKENS,
    RedirectLimit,
    RetryBudget,
    backoff_ms,
    may_retry,
)
from wagtailrun.virtual_time import VirtualClock


def test_retries_stay_within_a_tenth_of_first_attempts():
    """Guards against retries that multiply the load of a failing service."""
    budget = RetryBudget()
    spent = 0
    for _ in range(1_000):
        budget.earn("engines")
        spent += budget.spend("engines")
    assert spent <= 100 + INITIAL_TOKENS
    for _ in range(1_000):
        budget.earn("engines")
    assert sum(budget.spend("engines") for _ in range(1_000)) <= MAX_TOKENS
    assert budget.has("encoders")


def test_attempts_after_one_without_a_connection_are_limited_for_each_target():
    """Guards against requests without end to a target that accepts no connection."""
    clock = VirtualClock()
    limit = RedirectLimit(clock)
    for _ in range(2):
        allowed = sum(limit.allows("t0") for _ in range(1_000))
        assert allowed == MAX_REDIRECTS_PER_TARGET_S
        assert limit.allows("t1")
        clock.seconds += 1
    assert limit.allows("t0")
    assert set(limit.counts_by_name) == {"t0"}


@pytest.mark.parametrize(
    ("idempotent", "error", "allowed"),
    [
        (True, TargetFailed("reset", verdict=Verdict.MAY_HAVE_RUN), True),
        (False, TargetFailed("reset", verdict=Verdict.MAY_HAVE_RUN), False),
        (False, TargetFailed("busy", verdict=Verdict.NOT_RUN), False),
        (False, ConnectFailed("refused"), True),
    ],
)
def test_work_that_is_not_idempotent_is_sent_once(idempotent, error, allowed):
    """Guards against an order that is sent twice."""
    assert may_retry(idempotent, error) is allowed


def test_backoff_has_full_jitter_and_a_bound():
    """Guards against simultaneous retries of many requests."""
    waits = [backoff_ms(20, random.Random(seed)) for seed in range(200)]
    assert 0 <= min(waits) < 100
    assert 900 < max(waits) <= 1_000
