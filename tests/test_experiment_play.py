"""Tests of plays of experiments in virtual time."""

import attrs
import pytest

from tests.test_experiment_reading import HEAD, LOAD, TARGETS, write
from wagtailrun.exceptions import ExperimentFailed
from wagtailrun.experiments.arrivals import make_arrivals
from wagtailrun.experiments.model import Measure, Promise
from wagtailrun.experiments.play import play_scenario
from wagtailrun.experiments.promises import measure_promise
from wagtailrun.experiments.reading import load_experiment
from wagtailrun.replay.emulator import Emulator
from wagtailrun.replay.player import Replay

STEADY = """
[[load]]
workspace = "clerks"
pipeline = "query"
data_centre = "east"
arrivals = "poisson"
rate_per_s = 8
prompt_tokens = { distribution = "fixed", value = 100 }
answer_tokens = { distribution = "choice", values = [10, 30] }
"""
ORDERS = """
[[load]]
workspace = "millers"
service = "desk"
call = "book"
arrivals = "poisson"
rate_per_s = 8
"""


def scenario_of(directory, text, variant="base"):
    experiment = load_experiment(write(directory, HEAD + TARGETS + text))
    return experiment.scenarios_by_variant[variant]


def play(directory, text, variant="base", seed=1):
    return play_scenario(
        scenario_of(directory, text, variant), seed, lambda at_ms: None
    )


def fault(kind, on, at_s=5, more="for_s = 5"):
    return f'[[faults]]\nkind = "{kind}"\nat_s = {at_s}\non = ["{on}"]\n{more}\n'


def test_records_of_a_calm_play(tmp_path):
    """Guards against records whose times, steps or counts do not add up."""
    records = play(tmp_path, LOAD)
    numbers = [request.number for request in records.requests]
    starts = [request.intended_at_ms for request in records.requests]
    assert numbers == list(range(len(numbers))) and starts == sorted(starts)
    for request in records.requests:
        assert request.outcome == "served"
        assert request.sent_at_ms == request.intended_at_ms
        assert request.attempts == len(request.steps) + request.hedges
        spent = sum(step.queue_ms + step.run_ms for step in request.steps)
        assert spent <= request.ended_ms <= spent + 2
        first = request.steps[-1].queue_ms + request.steps[-1].first_ms
        first += sum(step.queue_ms + step.run_ms for step in request.steps[:-1])
        assert request.first_ms == first
        assert request.tokens == request.max_tokens
        assert request.hedges or not request.wasted_ms
    query = next(r for r in records.requests if r.kind == "pipeline")
    order = next(r for r in records.requests if r.kind == "order")
    assert [step.stage for step in query.steps] == ["encode", "generate"]
    assert (query.deadline_ms, order.deadline_ms) == (6_000, 4_000)
    assert (query.name, order.name) == ("query", "desk/book")
    assert len(records.samples) == 20 * 7
    assert any(sample.running for sample in records.samples)


def test_late_sender_does_not_shift_the_load(tmp_path, monkeypatch):
    """Guards against coordinated omission: a late sender that hides its own delay."""
    sent = Replay._dispatch_arrival

    async def send_late(self, *arguments):
        await self.clock.sleep_ms(400)
        await sent(self, *arguments)

    on_time = play(tmp_path, STEADY).requests
    monkeypatch.setattr(Replay, "_dispatch_arrival", send_late)
    late = play(tmp_path, STEADY).requests
    assert [r.intended_at_ms for r in late] == [r.intended_at_ms for r in on_time]
    assert late[0].sent_at_ms == late[0].intended_at_ms + 400
    # Eight a second arrive, and less than three a second are sent.
    assert late[-1].sent_at_ms > late[-1].intended_at_ms + 8_000
    assert late[0].first_ms >= 400
    assert late[-1].outcome in ("refused", "late")
    assert late[-1].ended_ms >= 8_000


@pytest.mark.parametrize(
    ("kind", "on", "more"),
    [
        ("kill-target", "engines/east", "for_s = 5"),
        ("lose-target", "engines/east", "for_s = 5"),
        ("pause-target", "engines/east", "for_s = 5"),
        ("slow-target", "engines-east-0", "for_s = 5\nfactor = 2"),
        ("silence-target", "engines/east", ""),
    ],
)
def test_faults_of_targets(tmp_path, kind, on, more):
    """Guards against a fault of targets that has no effect, or no end."""
    calm = play(tmp_path, STEADY)
    records = play(tmp_path, STEADY + fault(kind, on, more=more))
    (event,) = records.events
    until_ms = None if kind == "silence-target" else 10_000
    assert (event.at_ms, event.until_ms) == (5_000, until_ms)
    assert (event.kind, event.planned) == (kind, False)
    assert len(event.subject) == (1 if on == "engines-east-0" else 2)

    before = [r for r in records.requests if r.intended_at_ms < 3_000]
    assert before == calm.requests[: len(before)]
    # Run times of the answers that came from the targets concerned meanwhile.
    run_ms = [
        r.steps[-1].run_ms
        for r in records.requests
        if r.steps[-1].target in event.subject
        and 5_050 < r.intended_at_ms + r.ended_ms < 10_000
    ]
    if kind == "slow-target":
        assert max(run_ms) > 1.4 * max(r.steps[-1].run_ms for r in calm.requests)
    elif kind == "silence-target":
        assert run_ms
        assert any(r.attempts > len(r.steps) + r.hedges for r in records.requests)
    else:
        assert not run_ms
    assert [r.outcome for r in records.requests[-20:]] == ["served"] * 20
    present = {sample.present for sample in records.samples if sample.at_ms == 7_000}
    assert (False in present) == (kind in ("kill-target", "lose-target"))


def test_fault_that_cannot_be_played(tmp_path, monkeypatch):
    """Guards against a play without one of its faults that looks like any other."""

    async def fail(self, name):
        raise KeyError(name)

    monkeypatch.setattr(Emulator, "die", fail)
    with pytest.raises(ExperimentFailed, match="it failed: KeyError"):
        play(tmp_path, STEADY + fault("kill-target", "engines"))


def test_killed_entry_comes_back(tmp_path):
    """Guards against an entry that stays away, or whose requests are left out."""
    more = fault("kill-entry", "entry-east-0") + fault("kill-entry", "entry-east-1")
    requests = play(tmp_path, STEADY + more).requests
    during = [r for r in requests if 5_000 <= r.intended_at_ms < 10_000]
    assert {r.reason for r in during} == {"no-entry"}
    assert {(r.outcome, r.verdict, r.entry) for r in during} == {
        ("failed", "not-run", "")
    }
    killed = [r for r in requests if r.reason == "entry-killed"]
    assert killed
    for request in killed:
        assert request.intended_at_ms + request.ended_ms == 5_000
        assert request.outcome == ("broken" if request.tokens else "failed")
        assert request.verdict == "may-have-run"
    after = [r for r in requests if r.intended_at_ms >= 10_000]
    assert {r.outcome for r in after} == {"served"}
    assert {r.entry for r in after} == {"entry-east-0", "entry-east-1"}


@pytest.mark.parametrize("direction", ["", "inward", "outward"])
def test_cut_data_centre(tmp_path, direction):
    """Guards against a cut that lets requests through, or that never ends.

    Orders of callers in the east run in the west only. Reports still arrive if what
    the west sends passes; then the entry learns of the cut from its attempts.
    """
    kind = "cut-one-way" if direction else "cut"
    more = f'for_s = 5\ndirection = "{direction}"' if direction else "for_s = 5"
    orders = ORDERS + 'data_centre = "east"\n'
    requests = play(tmp_path, orders + fault(kind, "west", more=more)).requests
    # Attempts in progress when the link is cut wait until their deadline.
    during = [r for r in requests if 5_000 <= r.intended_at_ms < 9_000]
    assert not any(r.outcome == "served" for r in during)
    assert {r.outcome for r in requests if r.intended_at_ms > 15_000} == {"served"}


def test_lost_reports(tmp_path):
    """Guards against lost reports without effect: a target counts as gone after 3 s.

    Those of all targets of a service leave its last known ones in use, as they answer.
    """
    text = ORDERS + fault("lose-reports", "desk-west-0", more="for_s = 10")
    requests = play(tmp_path, text).requests
    assert {r.outcome for r in requests} == {"served"}

    def used(from_ms, until_ms):
        within = [r for r in requests if from_ms < r.intended_at_ms < until_ms]
        return {step.target for r in within for step in r.steps}

    assert used(0, 5_000) == used(17_000, 20_000) == {"desk-west-0", "desk-west-1"}
    assert used(9_000, 15_000) == {"desk-west-1"}
    text = ORDERS + fault("lose-reports", "desk", more="for_s = 10")
    requests = play(tmp_path, text).requests
    assert {r.outcome for r in requests} == {"served"}
    assert used(9_000, 15_000) == {"desk-west-0", "desk-west-1"}


def test_rolling_restart(tmp_path):
    """Guards against a restart of two entries at once, or one that breaks requests."""
    more = "for_s = 1\ngap_s = 2"
    text = STEADY + "[settings]\ndrain_notice_ms = 500\n"
    records = play(tmp_path, text + fault("rolling-restart", "east", 3, more))
    first, second = records.events
    assert [event.subject for event in records.events] == [
        ("entry-east-0",),
        ("entry-east-1",),
    ]
    assert first.planned and second.planned
    assert first.at_ms == 3_000 and first.until_ms >= 4_500
    assert second.at_ms == first.until_ms + 2_000
    assert {r.outcome for r in records.requests} == {"served"}
    away = [
        r
        for r in records.requests
        if first.at_ms + 500 <= r.intended_at_ms < first.until_ms
    ]
    assert {r.entry for r in away} == {"entry-east-1"}


def test_rolling_restart_is_played_to_its_end(tmp_path):
    """Guards against entries that a rolling restart leaves out without notice."""
    more = fault("rolling-restart", "east", 16, "for_s = 1\ngap_s = 2")
    events = play(tmp_path, STEADY + more).events
    assert [event.subject for event in events] == [("entry-east-0",), ("entry-east-1",)]
    assert events[1].until_ms > 20_000


def test_drain_limit_holds(tmp_path):
    """Guards against a setting of the entries that is accepted and not applied."""
    text = STEADY.replace("values = [10, 30]", "values = [100]")
    more = fault("rolling-restart", "entry-east-0", 5, "for_s = 1\ngap_s = 0")
    settings = "[settings]\ndrain_notice_ms = 0\ndrain_limit_ms = 300\n"
    (event,) = play(tmp_path, text + settings + more).events
    assert event.until_ms == 5_000 + 300 + 1_000


def test_settings_of_a_variant(tmp_path):
    """Guards against a variant that plays the same as the base."""
    variants = """
[[variants]]
name = "base"
[[variants]]
name = "bare"
changes = { "settings.hedges" = false, "settings.two_choices" = false }
"""
    text = STEADY + fault("slow-target", "engines-east-0", 2, "factor = 6") + variants
    assert sum(r.hedges for r in play(tmp_path, text).requests) > 0
    assert sum(r.hedges for r in play(tmp_path, text, "bare").requests) == 0


def test_changed_fleet_text(tmp_path):
    """Guards against a change of the fleet text that requests do not see."""
    change = '[[faults]]\nkind = "change-fleet"\nat_s = 10\nfleet.path = "new.toml"\n'
    write(tmp_path)
    new = (tmp_path / "fleet.toml").read_text().replace("= 8000", "= 9000")
    (tmp_path / "new.toml").write_text(new)
    records = play(tmp_path, STEADY + change)
    for request in records.requests:
        early = request.intended_at_ms < 10_000
        assert request.deadline_ms == (8_000 if early else 9_000)
    (event,) = records.events
    assert event.planned and event.until_ms is None


def test_change_moves_a_pipeline_to_another_service(tmp_path):
    """Guards against requests in progress that end with a fault of the play.

    They run at a service that the new fleet text has no more.
    """
    change = '[[faults]]\nkind = "change-fleet"\nat_s = 10\nfleet.path = "new.toml"\n'
    spare = '[[targets]]\nservice = "spare"\ndata_centre = "east"\ncount = 2\n'
    spare += "model = { decode_ms = 20.0 }\n"
    # Some are at the encoders when the text changes, and go on at the engines.
    targets = TARGETS.replace("service_ms = 10.0", "service_ms = 200.0")
    load = STEADY.replace("_s = 8", "_s = 20").replace("[10, 30]", "[2]")
    path = write(tmp_path, HEAD + targets + spare + load + change)
    text = (tmp_path / "fleet.toml").read_text()
    both = text.replace(
        "[services.desk]", '[services.spare]\nkind = "engine"\n[services.desk]'
    )
    (tmp_path / "fleet.toml").write_text(both)
    new = text.replace("services.engines", "services.spare")
    (tmp_path / "new.toml").write_text(new.replace('"engines"', '"spare"'))
    scenario = load_experiment(path).scenarios_by_variant["base"]
    requests = play_scenario(scenario, 1, lambda at_ms: None).requests
    assert {r.outcome for r in requests} == {"served"}
    places = {(r.intended_at_ms < 10_000, r.steps[-1].target[:5]) for r in requests}
    assert places == {(True, "engin"), (False, "spare")}
    assert any(9_900 < r.intended_at_ms < 10_000 for r in requests)


def test_patterns_of_arrivals(tmp_path):
    """Guards against bursts or ramps at the wrong time or rate."""
    lines = "rate_per_s = 10\nburst_rate_per_s = 200\nburst_every_s = 10\n"
    bursts = STEADY.replace("rate_per_s = 8", lines + "burst_for_s = 2")
    bursts = bursts.replace("poisson", "bursts")
    times = [a["at"] for a in make_arrivals(scenario_of(tmp_path, bursts), 1)]
    inside = sum(at_ms % 10_000 < 2_000 for at_ms in times)
    assert 700 < inside < 900 and 120 < len(times) - inside < 200
    ramp = STEADY.replace("rate_per_s = 8", "rate_per_s = 0\nend_rate_per_s = 100")
    ramp = ramp.replace("poisson", "ramp") + "start_s = 10\n"
    times = [a["at"] for a in make_arrivals(scenario_of(tmp_path, ramp), 1)]
    early = sum(at_ms < 15_000 for at_ms in times)
    assert min(times) >= 10_000
    assert 400 < len(times) < 600 and 0.15 < early / len(times) < 0.35


def test_one_changed_load_leaves_the_others(tmp_path):
    """Guards against a variant whose difference is that of other random draws."""
    base = make_arrivals(scenario_of(tmp_path, STEADY + ORDERS), 1)
    text = STEADY.replace("rate_per_s = 8", "rate_per_s = 16") + ORDERS
    changed = make_arrivals(scenario_of(tmp_path, text), 1)
    for load in ("clerks", "millers"):
        one, other = (
            [a for a in each if a["workspace"] == load] for each in (base, changed)
        )
        assert (one == other) == (load == "millers")
    assert make_arrivals(scenario_of(tmp_path, STEADY + ORDERS), 2) != base


def test_recorded_trace_is_played(tmp_path):
    """Guards against arrivals of a recorded trace that are changed or left out."""
    lines = ""
    for at_ms in (100, 200):
        lines += f'{{"kind": "arrival", "at": {at_ms}, "workspace": "millers", '
        lines += '"service": "desk", "call": "book"}\n'
    (tmp_path / "trace.jsonl").write_text('{"kind": "header"}\n' + lines)
    load = '[[load]]\narrivals = "trace"\ntrace = "trace.jsonl"\n'
    requests = play(tmp_path, load).requests
    assert [r.intended_at_ms for r in requests] == [100, 200]
    assert {(r.kind, r.outcome) for r in requests} == {("order", "served")}


@pytest.fixture(scope="module")
def requests(tmp_path_factory):
    return play(tmp_path_factory.mktemp("calm"), LOAD).requests


@pytest.mark.parametrize(
    ("measure", "bound", "change", "measured", "held"),
    [
        (Measure.SERVED_SHARE, 1.0, {}, 1.0, True),
        (Measure.SERVED_SHARE, 0.9, {"outcome": "late"}, 0.0, False),
        (Measure.REFUSED_SHARE, 0.0, {}, 0.0, True),
        (Measure.REFUSED_SHARE, 0.5, {"outcome": "refused"}, 1.0, False),
        (Measure.FIRST_P95, 70, {"first_ms": 70}, 70, True),
        (Measure.FIRST_P95, 69, {"first_ms": 70}, 70, False),
        (Measure.FIRST_P95, 69, {"first_ms": None}, None, False),
        (Measure.HELD_THEN_REFUSED, 0.0, {"outcome": "refused"}, 1.0, False),
        (
            Measure.HELD_THEN_REFUSED,
            0.0,
            {"outcome": "refused", "ended_ms": 5},
            0.0,
            True,
        ),
        (Measure.ORDER_RUNS, 1, {}, 2, False),
        (Measure.ORDER_RUNS, 2, {}, 2, True),
    ],
)
def test_promises(requests, measure, bound, change, measured, held):
    """Guards against a broken promise that counts as held, or without a culprit."""
    changed = [attrs.evolve(request, **change) for request in requests]
    order = next(r.number for r in changed if r.kind == "order")
    promise = Promise("p", measure, bound, over_ms=5)
    record = measure_promise(promise, changed, {order: 2})
    assert (record.measured, record.held) == (measured, held)
    number = order if measure is Measure.ORDER_RUNS else 0
    if not held and measured is not None:
        assert record.detail.startswith(f"request {number} at ")
    assert bool(record.detail) != held


def test_promise_of_a_workspace(requests):
    """Guards against a promise to one workspace that others break or keep."""
    changed = [
        attrs.evolve(r, outcome="failed") if r.workspace == "clerks" else r
        for r in requests
    ]
    for workspace, measured in (("clerks", 0.0), ("millers", 1.0), ("none", None)):
        promise = Promise("p", Measure.SERVED_SHARE, 0.99, workspace)
        record = measure_promise(promise, changed, {})
        assert (record.measured, record.held) == (measured, measured == 1.0)


def test_promise_of_a_time_and_a_data_centre(requests):
    """Guards against a promise for the time of a fault that other times keep."""
    at_ms = requests[len(requests) // 2].intended_at_ms
    changed = [
        attrs.evolve(r, outcome="failed")
        if r.intended_at_ms >= at_ms and r.data_centre == "west"
        else r
        for r in requests
    ]
    for place, from_ms, until_ms, measured in (
        ("west", 0, at_ms, 1.0),
        ("west", at_ms, None, 0.0),
        ("east", 0, None, 1.0),
        ("west", at_ms, at_ms, None),
    ):
        promise = Promise(
            "p",
            Measure.SERVED_SHARE,
            0.99,
            data_centre=place,
            from_ms=from_ms,
            until_ms=until_ms,
        )
        record = measure_promise(promise, changed, {})
        assert (record.measured, record.held) == (measured, measured == 1.0)
