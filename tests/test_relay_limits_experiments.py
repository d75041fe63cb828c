"""Tests of experiments in which targets limit the requests of relay entries."""

import pytest

from tests.test_relay_experiments import FLEET, answered_by, during, fault, outcomes
from wagtailrun.experiments.play import play_scenario
from wagtailrun.experiments.reading import load_experiment
from wagtailrun.experiments.relay.limiting import Admission, StatedLimits
from wagtailrun.experiments.relay.targets import RelayTarget
from wagtailrun.virtual_time import VirtualClock


@pytest.fixture
def play(tmp_path, monkeypatch):
    """Return a function that plays calls, and returns records and targets."""
    targets = []
    make = RelayTarget.__init__

    def record(target, *arguments):
        make(target, *arguments)
        targets.append(target)

    monkeypatch.setattr(RelayTarget, "__init__", record)

    def run(limits, rate, more="", capacity=8):
        (tmp_path / "fleet.toml").write_text(FLEET)
        path = tmp_path / "experiment.toml"
        path.write_text(f"""
name = "limits"
length_s = 20
fleet.path = "fleet.toml"
entries = {{ east = {{ kind = "relay", count = 3 }} }}
[[targets]]
service = "desk"
data_centre = "east"
count = 2
model = {{ service_ms = 30.0, capacity = {capacity} }}
limits = {limits}
[[load]]
workspace = "clerks"
service = "desk"
call = "stock"
arrivals = "poisson"
rate_per_s = {rate}
{more}
""")
        scenario = load_experiment(path).scenarios_by_variant["base"]
        return play_scenario(scenario, 1, lambda at_ms: None), targets

    return run


def test_named_limit_is_shared_among_the_entries(play):
    """Guards against targets whose limit the emulated entries don't learn of."""
    records, targets = play("{ limit_per_s = 6 }", 9)
    served = [r for r in records.requests if r.outcome == "served"]
    assert len(served) > 0.9 * len(records.requests)
    # Each entry alone would break the limit in most seconds.
    assert all(target.admission.rejections <= 20 for target in targets)
    assert all(target.admission.taken.count(0) <= 6 for target in targets)


def test_brittle_targets_survive_an_overload(play):
    """Guards against requests that no owner grants."""
    records, targets = play("{ max_rejections = 2 }", 150, capacity=2)
    # More than two targets of two places take.
    assert outcomes(records.requests) == {"served", "refused"}
    assert [target.failures for target in targets] == [0, 0]


def test_brittle_targets_are_not_idle_while_requests_wait(play):
    """Guards against waiting requests that each put off the return of all others.

    0.38 of the places: 645 of 3,046 were served with three entries, none was rejected.
    """
    records, targets = play("{ max_rejections = 2 }", 200)
    assert outcomes(records.requests) == {"served"}
    assert [target.admission.rejections for target in targets] == [0, 0]


def test_brittle_targets_are_used_beyond_their_capacity(play):
    """Guards against requests that get a place so late that they are given up there.

    Load: 150 a second for places of 133. 122 of 3,046 were served as long as each
    denied request put off the return of all others of its entry.
    """
    records, targets = play("{ max_rejections = 2 }", 150, capacity=2)
    served = [r for r in records.requests if r.outcome == "served"]
    assert len(served) > 0.65 * len(records.requests)
    assert [target.failures for target in targets] == [0, 0]


def test_cold_target_gets_its_bound_only(play):
    """Guards against a target that is started again and fails from its requests."""
    on = "desk-east-0"
    limits = "{ cold_ms = 4000, cold_per_s = 2 }"
    records, targets = play(limits, 40, fault("kill-target", on, "for_s = 2"))
    assert outcomes(records.requests) == {"served"}
    assert [target.failures for target in targets] == [0, 0]
    cold = answered_by(during(records, 7_000, 11_000)).get(on, 0)
    assert cold <= 4 * 2 + 1
    assert answered_by(during(records, 13_000, 20_000))[on] > 50


@pytest.mark.parametrize(
    ("limits", "taken"),
    [
        (StatedLimits(limit_per_s=3), [True] * 3 + [False]),
        (StatedLimits(max_rejections=1), [True] * 2 + [False]),
    ],
)
def test_target_rejects_what_is_beyond_its_limits(limits, taken):
    """Guards against targets that take whatever they are sent."""
    clock = VirtualClock()
    admission = Admission(clock, limits, capacity=2)
    assert [admission.admit(1, number) for number in range(len(taken))] == taken
    assert not admission.is_broken
    admission.admit(1, 4)
    assert admission.is_broken == (limits.max_rejections is not None)
    clock.seconds += 1
    assert admission.admit(1, 0)


def test_cold_target_fails_from_too_many_requests():
    """Guards against cold targets that nothing ends."""
    clock = VirtualClock()
    limits = StatedLimits(cold_ms=1_000, cold_per_s=2)
    admission = Admission(clock, limits, capacity=8)
    assert admission.admit(5, 0) and not admission.is_broken
    admission.restart()
    assert admission.headers() == (("x-cold-ms", "1000"),)
    admission.admit(2, 0)
    assert not admission.is_broken
    admission.admit(1, 0)
    assert admission.is_broken
