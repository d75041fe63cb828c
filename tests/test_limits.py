"""Tests of adaptive concurrency limits."""

import random

from wagtailrun.limits import AdaptiveLimits

# Attempts in progress at a target that announces a capacity of 64.
LOAD = 6


def settle(limits, slowness, rounds=60):
    """Record observations while the limit is always used up."""
    for _ in range(rounds):
        while limits.has_room("t", 8):
            limits.started("t")
        limits.observe("t", 8, slowness)
        limits.ended("t")
    return limits.limit("t", 8)


def test_limit_follows_latency_in_both_directions():
    """Guards against a limit that stays high with a queue or low after it."""
    limits = AdaptiveLimits()
    assert limits.limit("t", 8) == 8.0
    low = settle(limits, 10.0)
    assert 1.0 <= low < 2.0
    assert settle(limits, 1.0) > 4 * low


def test_a_few_straggling_answers_do_not_collapse_the_limit():
    """Guards against a single slow request that stops the traffic to a target."""
    limits = AdaptiveLimits()
    settle(limits, 1.0, rounds=20)
    before = limits.limit("t", 8)
    limits.observe("t", 8, 1_000.0)
    assert limits.limit("t", 8) > 0.85 * before


def test_the_limit_of_a_straggler_allows_one_attempt():
    """Guards against a limit below 1, with which a target is never measured again."""
    limits = AdaptiveLimits()
    settle(limits, 1_000.0, rounds=500)
    for _ in range(limits.in_flight_by_name["t"]):
        limits.ended("t")
    assert limits.has_room("t", 8)
    limits.started("t")
    assert not limits.has_room("t", 8)
    assert limits.has_room("t", 8, extra=1.0)


def test_an_unused_limit_does_not_grow():
    """Guards against a limit that grows without bound at low load."""
    limits = AdaptiveLimits()
    for _ in range(100):
        limits.started("t")
        limits.observe("t", 8, 1.0)
        limits.ended("t")
    assert limits.limit("t", 8) == 8.0


def test_limit_of_a_target_without_a_queue_is_not_below_its_load():
    """Guards against orders refused as overloaded at a target that has room.

    The target's times spread from 0 to 1,500 ms whatever its load. The least contended
    value is their tenth percentile, 150 ms, so that most count as slow.
    """
    generator = random.Random(1)
    limits = AdaptiveLimits()
    lowest = 64.0
    for _ in range(400):
        while limits.in_flight_by_name["t"] < LOAD and limits.has_room("t", 64):
            limits.started("t")
        limits.observe("t", 64, generator.uniform(0.0, 10.0))
        limits.ended("t")
        lowest = min(lowest, limits.limit("t", 64))
    assert lowest >= LOAD


def test_queue_before_spread_times_lowers_the_limit():
    """Guards against a queue that counts as spread, as it delays all attempts."""
    generator = random.Random(1)
    limits = AdaptiveLimits()
    for _ in range(60):
        while limits.has_room("t", 8):
            limits.started("t")
        limits.observe("t", 8, 10.0 + generator.uniform(0.0, 10.0))
        limits.ended("t")
    assert limits.limit("t", 8) < 2.0
