"""Tests of the delays that refused callers are told."""

import random

import pytest

from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.serving.retry_times import MIN_RETRY_AFTER_MS, RetryTimes


def complete(retry_after_ms, count=200):
    times = RetryTimes(random.Random(1))
    refusal = Refusal(RefusalReason.OVERLOADED, Verdict.NOT_RUN, "full", retry_after_ms)
    return [times.complete(refusal).retry_after_ms for _ in range(count)]


@pytest.mark.parametrize("stated_ms", [1, 50, 100, 1_000, 30_000])
def test_delay_has_a_bound_and_is_spread(stated_ms):
    """Guards against callers that come back at once, too early, or together."""
    least_ms = max(stated_ms, MIN_RETRY_AFTER_MS)
    delays = complete(stated_ms)
    assert min(delays) >= least_ms
    assert max(delays) <= 1.5 * least_ms
    assert max(delays) - min(delays) > least_ms / 3


def test_request_that_must_not_be_retried_gets_no_delay():
    """Guards against retries of requests that would be refused again."""
    assert set(complete(0)) == {0}
