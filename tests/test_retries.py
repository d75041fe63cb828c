"""Tests of the rules and the budget for retries."""

import random

import pytest

from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.targets.retries import (
    INITIAL_TOKENS,
    MAX_TOKENS,
    RetryBudget,
    backoff_ms,
    may_retry,
)


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
