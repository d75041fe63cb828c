"""Tests of the throttling of slow targets."""

from wagtailrun.targets.outliers import (
    MIN_SAMPLES,
    STEP_WITHOUT_SAMPLE_MS,
    OutlierThrottle,
)
from wagtailrun.virtual_time import VirtualClock

PEERS = [f"t-{number}" for number in range(6)]


def feed(throttle, slowness_by_name, rounds=MIN_SAMPLES):
    for _ in range(rounds):
        for name in PEERS:
            throttle.record(name, "engines", slowness_by_name.get(name, 1.0))


def test_slow_target_is_throttled_not_closed():
    """Guards against a straggler that keeps full traffic or is no longer measured."""
    throttle = OutlierThrottle(VirtualClock())
    feed(throttle, {"t-0": 8.0})
    assert throttle.share("t-0") == 0.05
    assert all(throttle.share(name) == 1.0 for name in PEERS[1:])


def test_few_samples_and_a_slow_stage_throttle_nobody():
    """Guards against throttling by chance or when all targets are slow."""
    throttle = OutlierThrottle(VirtualClock())
    feed(throttle, {"t-0": 8.0}, rounds=MIN_SAMPLES - 1)
    assert throttle.share("t-0") == 1.0
    feed(throttle, dict.fromkeys(PEERS, 8.0), rounds=3 * MIN_SAMPLES)
    assert all(throttle.share(name) == 1.0 for name in PEERS[1:])


def test_at_most_a_third_is_throttled():
    """Guards against an overload of the targets that are not throttled."""
    throttle = OutlierThrottle(VirtualClock())
    feed(throttle, {"t-0": 8.0, "t-1": 20.0})
    feed(throttle, {"t-0": 8.0, "t-1": 20.0, "t-2": 40.0})
    assert sum(throttle.share(name) < 1.0 for name in PEERS) == 2


def test_return_is_gradual_and_undone():
    """Guards against full traffic at once, and against permanent throttling."""
    clock = VirtualClock()
    throttle = OutlierThrottle(clock)
    feed(throttle, {"t-0": 8.0})
    clock.seconds += STEP_WITHOUT_SAMPLE_MS / 1_000 + 1
    assert throttle.share("t-0") == 0.25
    feed(throttle, {"t-0": 8.0}, rounds=3)
    assert throttle.share("t-0") == 0.05
    shares = []
    for _ in range(6):
        feed(throttle, {}, rounds=1)
        shares.append(throttle.share("t-0"))
    assert shares == [0.05, 0.05, 0.25, 0.25, 0.25, 1.0]
