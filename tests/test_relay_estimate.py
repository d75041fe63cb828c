"""Tests of the learned time to the first event."""

import random

import pytest

from wagtailrun.relay.estimate import (
    ERROR_LIFETIME_MS,
    IDLE_FIRST_EVENT_MS,
    MAX_ERRORS,
    MIN_ERRORS,
    FirstEventModel,
    MarginEstimator,
)
from wagtailrun.virtual_time import VirtualClock, run_virtual


def test_nothing_measured_gives_the_time_of_an_idle_engine():
    """Guards against a first request that is refused for want of measurements."""
    assert FirstEventModel().expected_ms(0) == IDLE_FIRST_EVENT_MS
    assert MarginEstimator(VirtualClock()).margin_ms == 0


@pytest.mark.parametrize(("fixed_ms", "ms_per_token"), [(90, 0.030), (250, 0.012)])
def test_times_of_slower_engines_are_learned(fixed_ms, ms_per_token):
    """Load: long prompts at engines that generate for many others meanwhile.

    Guards against requests that are admitted although they will be late, because an
    engine is believed to read as fast as an idle one.
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


def test_prompts_of_one_size_leave_the_line_usable():
    """Guards against a slope without meaning when all prompts are alike."""
    model = FirstEventModel()
    for _ in range(300):
        model.add_sample(1_100, 180)
    assert abs(model.expected_ms(1_100) - 180) < 20
    assert 0 < model.prefill_ms(8_000) < 600


def test_margin_covers_most_errors_and_forgets_old_ones():
    """Guards against requests that are planned to the last millisecond."""
    errors = MarginEstimator(VirtualClock())
    for n in range(MIN_ERRORS - 1):
        errors.add_error(500 + n)
    assert errors.margin_ms == 0
    for n in range(500):
        errors.add_error(n % MAX_ERRORS)
    assert 49 <= errors.margin_ms <= 52


def test_margin_does_not_outlive_a_spell_of_failures():
    """Load: a burst beside failed engines, then a burst alone.

    Requests with a margin of most of their aim are refused, so that nothing new is
    learned: a route stayed shut for 10 s. Guards against that.
    """

    async def main(clock):
        errors = MarginEstimator(clock)
        for _ in range(100):
            errors.add_error(1_800)
        during_ms = errors.margin_ms
        await clock.sleep_ms(ERROR_LIFETIME_MS + 1)
        return during_ms, errors.margin_ms

    assert run_virtual(main) == (1_800, 0)
