"""Tests of the learned estimates of the time to the first event."""

import random

import pytest

from wagtailrun.relay.placement.estimate import (
    ERROR_LIFETIME_MS,
    IDLE_FIRST_EVENT_MS,
    MAX_ERRORS,
    MIN_ERRORS,
    FirstEventModel,
    MarginEstimator,
)
from wagtailrun.virtual_time import VirtualClock, run_virtual


def test_estimate_without_measurements_is_that_of_an_idle_engine():
    """Guards against refusing the first request because nothing was measured."""
    assert FirstEventModel().expected_ms(0) == IDLE_FIRST_EVENT_MS
    assert MarginEstimator(VirtualClock()).margin_ms == 0


@pytest.mark.parametrize(("fixed_ms", "ms_per_token"), [(90, 0.030), (250, 0.012)])
def test_times_of_slower_engines_are_learned(fixed_ms, ms_per_token):
    """Load: long prompts at engines that decode many other requests.

    Guards against admitting requests that will be late because prefill is assumed to be
    as fast as at an idle engine.
    """
    rng = random.Random(1)
    model = FirstEventModel()
    for _ in range(150):
        tokens = rng.choice([500, 4_000, 17_000])
        took_ms = fixed_ms + tokens * ms_per_token + rng.uniform(-40, 40)
        model.add_sample(tokens, took_ms)
    for tokens in (500, 4_000, 17_000):
        expected_ms = fixed_ms + tokens * ms_per_token
        assert abs(model.expected_ms(tokens) - expected_ms) < 0.15 * expected_ms


def test_prompts_of_equal_size_give_a_plausible_model():
    """Guards against an undefined slope when all prompts have the same size."""
    model = FirstEventModel()
    for _ in range(300):
        model.add_sample(1_100, 180)
    assert abs(model.expected_ms(1_100) - 180) < 20
    assert 0 < model.prefill_ms(8_000) < 600


def test_margin_covers_most_errors_and_forgets_old_ones():
    """Guards against admitting requests whose estimate leaves no safety margin."""
    estimator = MarginEstimator(VirtualClock())
    for n in range(MIN_ERRORS - 1):
        estimator.add_error(500 + n)
    assert estimator.margin_ms == 0
    for n in range(500):
        estimator.add_error(n % MAX_ERRORS)
    assert 49 <= estimator.margin_ms <= 52


def test_margin_expires_after_failures():
    """Load: a burst while engines fail, then a burst alone.

    With a margin of most of the latency objective all requests are refused, so that no
    new errors are measured. Guards against a route that then refuses everything for
    10 s.
    """

    async def main(clock):
        estimator = MarginEstimator(clock)
        for _ in range(100):
            estimator.add_error(1_800)
        during_ms = estimator.margin_ms
        await clock.sleep_ms(ERROR_LIFETIME_MS + 1)
        return during_ms, estimator.margin_ms

    assert run_virtual(main) == (1_800, 0)
