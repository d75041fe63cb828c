"""Tests of outlier easing."""

from wagtailrun.outliers import MIN_SAMPLES, STEP_WITHOUT_SAMPLE_MS, OutlierEasing
from wagtailrun.virtual_time import VirtualClock

PEERS = [f"t-{number}" for number in range(6)]


def feed(easing, slowness_by_name, rounds=MIN_SAMPLES):
    for _ in range(rounds):
        for name in PEERS:
            easing.record(name, "engines", slowness_by_name.get(name, 1.0))


def test_slow_target_is_eased_not_closed():
    """Guards against a straggler that keeps its full share or is never measured."""
    easing = OutlierEasing(VirtualClock())
    feed(easing, {"t-0": 8.0})
    assert easing.share("t-0") == 0.05
    assert all(easing.share(name) == 1.0 for name in PEERS[1:])


def test_few_samples_and_a_slow_stage_ease_nobody():
    """Guards against easing by chance or when all targets are slow."""
    easing = OutlierEasing(VirtualClock())
    feed(easing, {"t-0": 8.0}, rounds=MIN_SAMPLES - 1)
    assert easing.share("t-0") == 1.0
    feed(easing, dict.fromkeys(PEERS, 8.0), rounds=3 * MIN_SAMPLES)
    assert all(easing.share(name) == 1.0 for name in PEERS[1:])


def test_at_most_a_third_is_eased():
    """Guards against the rest of the pool being overloaded."""
    easing = OutlierEasing(VirtualClock())
    feed(easing, {"t-0": 8.0, "t-1": 20.0})
    feed(easing, {"t-0": 8.0, "t-1": 20.0, "t-2": 40.0})
    assert sum(easing.share(name) < 1.0 for name in PEERS) == 2


def test_return_is_gradual_and_undone():
    """Guards against full traffic at once, and against easing for ever."""
    clock = VirtualClock()
    easing = OutlierEasing(clock)
    feed(easing, {"t-0": 8.0})
    clock.seconds += STEP_WITHOUT_SAMPLE_MS / 1_000 + 1
    assert easing.share("t-0") == 0.25
    feed(easing, {"t-0": 8.0}, rounds=3)
    assert easing.share("t-0") == 0.05
    shares = []
    for _ in range(6):
        feed(easing, {}, rounds=1)
        shares.append(easing.share("t-0"))
    assert shares == [0.05, 0.05, 0.25, 0.25, 0.25, 1.0]
