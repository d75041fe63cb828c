"""Tests of experiments with relay entries: the relay's own code decides, repeatably."""

import os
import subprocess
import sys

import pytest

from wagtailrun.exceptions import ExperimentFileError
from wagtailrun.experiments.play import play_scenario
from wagtailrun.experiments.reading import load_experiment
from wagtailrun.experiments.relay_play import play_relay_scenario
from wagtailrun.logs import events

FLEET = """
[fleet]
name = "small"
data_centres = ["east", "west"]
[services.engines]
kind = "engine"
[services.desk]
kind = "plain"
calls.book = { idempotent = false, deadline_ms = 4000 }
calls.stock = { idempotent = true, deadline_ms = 2000 }
[pipelines.chat]
deadline_ms = 8000
stages = [{ kind = "generate", service = "engines" }]
[workspaces.clerks]
"""
HEAD = """
name = "small"
length_s = 20
fleet.path = "fleet.toml"
entries = { east = { kind = "relay", count = 2 } }
[[targets]]
service = "desk"
data_centre = "east"
count = 3
model = { service_ms = 30.0 }
[[targets]]
service = "engines"
data_centre = "east"
count = 3
model = { decode_ms = 20.0 }
"""
# A second data centre with entries and targets of its own.
TWO_PLACES = (
    HEAD.replace("count = 2 } }", 'count = 2 }, west = { kind = "relay", count = 2 } }')
    + """
[[targets]]
service = "desk"
data_centre = "west"
count = 3
model = { service_ms = 30.0 }
"""
)
CALLS = """
[[load]]
workspace = "clerks"
service = "desk"
call = "stock"
arrivals = "poisson"
rate_per_s = 15
"""
ORDERS = CALLS.replace("stock", "book").replace("15", "3")
CHATS = """
[[load]]
workspace = "clerks"
pipeline = "chat"
arrivals = "poisson"
rate_per_s = 4
prompt_tokens = { distribution = "fixed", value = 100 }
answer_tokens = { distribution = "fixed", value = 50 }
"""
FAULT_START_MS, FAULT_END_MS = 5_000, 10_000


def write(directory, text, fleet=FLEET):
    (directory / "fleet.toml").write_text(fleet)
    path = directory / "experiment.toml"
    path.write_text(text)
    return path


def play(directory, text, seed=1):
    experiment = load_experiment(write(directory, text))
    scenario = experiment.scenarios_by_variant["base"]
    return play_scenario(scenario, seed, lambda at_ms: None)


def fault(kind, on, more="for_s = 5"):
    return f'[[faults]]\nkind = "{kind}"\nat_s = 5\non = ["{on}"]\n{more}\n'


def during(records, from_ms=FAULT_START_MS, until_ms=FAULT_END_MS):
    """Return the requests whose intended start is in a time."""
    return [r for r in records.requests if from_ms <= r.intended_at_ms < until_ms]


def outcomes(requests):
    return {request.outcome for request in requests}


def answered_by(requests):
    """Return how many steps each target answered."""
    found = {}
    for request in requests:
        for step in request.steps:
            found[step.target] = found.get(step.target, 0) + 1
    return found


def test_records_of_a_calm_play(tmp_path):
    """Guards against records whose times, steps or counts do not add up."""
    records = play(tmp_path, HEAD + CALLS + ORDERS + CHATS)
    assert outcomes(records.requests) == {"served"}
    assert {r.entry for r in records.requests} == {"entry-east-0", "entry-east-1"}
    assert {r.kind for r in records.requests} == {"call", "order", "pipeline"}
    assert len(answered_by(records.requests)) == 6
    for request in records.requests:
        assert request.sent_at_ms == request.intended_at_ms
        assert request.attempts == len(request.steps) == 1
        (step,) = request.steps
        assert step.queue_ms + step.run_ms <= request.ended_ms <= step.run_ms + 5
        assert request.tokens == request.max_tokens
        is_stream = request.kind == "pipeline"
        assert (request.first_ms < request.ended_ms) == is_stream
        assert not request.wasted_ms
    assert len(records.samples) == 20 * 6
    assert any(sample.running for sample in records.samples)


@pytest.mark.parametrize(
    ("kind", "on"),
    [("kill-target", "desk-east-0"), ("lose-target", "desk-east-0")],
)
def test_target_that_ends_is_left_and_used_again(tmp_path, kind, on):
    """Guards against a fault of targets without effect, or a relay that goes on."""
    records = play(tmp_path, HEAD + CALLS + fault(kind, on))
    assert outcomes(records.requests) == {"served"}
    before, meanwhile, after = (
        answered_by(during(records, start, end))
        for start, end in ((0, 5_000), (5_700, 10_000), (13_000, 20_000))
    )
    assert before[on] and after[on]
    assert on not in meanwhile
    absent = {s.at_ms for s in records.samples if s.target == on and not s.present}
    assert (
        set(range(6_000, 10_000, 1_000)) <= absent <= set(range(5_000, 11_000, 1_000))
    )


def test_target_that_pauses_is_spared(tmp_path):
    """Guards against requests that the relay goes on sending to a silent target."""
    paused = "desk-east-0"
    head = HEAD.replace("length_s = 20", "length_s = 40")
    records = play(tmp_path, head + CALLS + fault("pause-target", paused))
    assert outcomes(records.requests) == {"served"}
    waited = [r for r in records.requests if r.attempts > 1]
    assert waited and all(4_000 <= r.intended_at_ms < 10_000 for r in waited)
    # Each of the two entries finds out once more whether the pause has ended; such a
    # request may wait for the end.
    probes = [
        r
        for r in during(records, 7_000, 10_000)
        if r.attempts > 1 or paused in answered_by([r])
    ]
    assert len(probes) <= 2 and len({r.entry for r in probes}) == len(probes)
    assert paused in answered_by(during(records, 10_000, 16_000))
    # It has its share again, though the load of the others is light.
    shares = answered_by(during(records, 20_000, 40_000))
    assert shares[paused] > sum(shares.values()) / 5


def test_slow_target_gets_fewer_requests(tmp_path):
    """Guards against a slow target without effect on the relay's choice."""
    slow = "desk-east-0"
    records = play(tmp_path, HEAD + CALLS + fault("slow-target", slow, "factor = 20"))
    before = answered_by(during(records, 0, 5_000))
    after = answered_by(during(records, 6_000, 20_000))
    assert before[slow] > sum(before.values()) / 5
    assert after[slow] < sum(after.values()) / 8
    slowest = max(r.ended_ms for r in during(records, 5_000, 20_000))
    assert slowest >= 20 * 30 * 0.7


def test_silent_connections_are_replaced(tmp_path):
    """Guards against open connections that go on delivering, or stay in use."""
    head = HEAD.replace("length_s = 20", "length_s = 40")
    records = play(tmp_path, head + CALLS + fault("silence-target", "desk", ""))
    late = [r for r in records.requests if r.ended_ms >= 500]
    assert late and all(4_000 <= r.intended_at_ms < 8_000 for r in late)
    assert outcomes(records.requests) == {"served"}
    assert len(answered_by(during(records, 25_000, 40_000))) == 3


def test_targets_without_reports_count_as_unresponsive(tmp_path):
    """Guards against reports that arrive although they are lost."""
    on = "desk-east-0"
    records = play(tmp_path, HEAD + CALLS + fault("lose-reports", on, "for_s = 8"))
    assert outcomes(records.requests) == {"served"}
    # Three and a half heartbeats, the delay of the reports, and a poll.
    assert on not in answered_by(during(records, 10_000, 13_000))
    assert on in answered_by(during(records, 5_000, 8_000))
    assert on in answered_by(during(records, 15_000, 20_000))


def test_stream_goes_on_at_another_engine(tmp_path):
    """Guards against streams that break or begin anew as their engine ends."""
    on = "engines-east-0"
    calm = play(tmp_path, HEAD + CHATS)
    records = play(tmp_path, HEAD + CHATS + fault("kill-target", on))
    moved = [r for r in records.requests if r.attempts > 1]
    assert moved
    for request in moved:
        assert (request.outcome, request.tokens) == ("served", 50)
        assert request.steps[-1].target != on
    # A stream that went on used the first part of its tokens, too.
    begun = [r for r in moved if r.first_ms < FAULT_START_MS - r.intended_at_ms]
    assert begun and not any(r.wasted_ms for r in begun)
    assert on in answered_by(during(calm)) and on not in answered_by(during(records))


def test_killed_entry_returns_and_finds_the_fleet(tmp_path):
    """Guards against an entry that serves while it is down, or not after it."""
    on = "entry-east-0"
    records = play(tmp_path, HEAD + CALLS + CHATS + fault("kill-entry", on))
    lost = [r for r in records.requests if r.outcome != "served"]
    assert lost and {(r.entry, r.reason) for r in lost} == {(on, "entry-killed")}
    assert all(r.intended_at_ms < FAULT_START_MS for r in lost)
    assert {r.entry for r in during(records)} == {"entry-east-1"}
    assert {r.entry for r in during(records, 13_000, 20_000)} == {on, "entry-east-1"}


def test_rolling_restart_interrupts_nothing(tmp_path):
    """Guards against a planned stop that is not that of the relay."""
    more = "for_s = 1\ngap_s = 2"
    records = play(
        tmp_path, HEAD + CALLS + CHATS + fault("rolling-restart", "east", more)
    )
    assert outcomes(records.requests) == {"served"}
    first, second = records.events
    assert (first.subject, second.subject) == (("entry-east-0",), ("entry-east-1",))
    assert first.planned and first.at_ms == FAULT_START_MS
    # The load balancer learns of a stop, then the entry drains, and is down for 1 s.
    assert 2_000 <= first.until_ms - first.at_ms <= 6_000
    assert second.at_ms == first.until_ms + 2_000
    down = during(records, first.until_ms - 900, first.until_ms)
    assert {r.entry for r in down} == {"entry-east-1"}


@pytest.mark.parametrize(
    ("kind", "more"),
    [
        ("cut", "for_s = 5"),
        ("cut-one-way", 'for_s = 5\ndirection = "outward"'),
        ("cut-one-way", 'for_s = 5\ndirection = "inward"'),
    ],
)
def test_cut_keeps_each_side_to_its_own_targets(tmp_path, kind, more):
    """Guards against a cut that connections or requests cross, or that stays."""
    records = play(tmp_path, TWO_PLACES + CALLS + fault(kind, "west", more))
    # Connections that were in use are found to be dead after a while.
    for request in during(records, 7_000, 9_500):
        for step in request.steps:
            assert f"-{request.data_centre}-" in step.target
    assert outcomes(during(records, 12_000, 20_000)) == {"served"}
    near = outcomes(r for r in during(records) if r.data_centre == "east")
    assert near == {"served"}


def test_changed_fleet_reaches_all_entries(tmp_path):
    """Guards against a change of the fleet that entries do not apply."""
    shorter = FLEET.replace("deadline_ms = 2000", "deadline_ms = 20")
    change = '[[faults]]\nkind = "change-fleet"\nat_s = 5\n'
    records = play(tmp_path, HEAD + CALLS + f"{change}fleet.text = '''{shorter}'''\n")
    assert outcomes(during(records, 0, 5_000)) == {"served"}
    # No target answers within 20 ms.
    later = during(records, 6_000, 20_000)
    assert outcomes(later) == {"refused"}
    assert all(r.ended_ms <= 25 for r in later)
    assert {r.entry for r in later} == {"entry-east-0", "entry-east-1"}
    (event,) = records.events
    assert event.planned


TRACE = """
{"kind": "arrival", "at": 100, "workspace": "clerks", "service": "desk",
 "call": "stock"}
{"kind": "arrival", "at": 200, "workspace": "clerks", "pipeline": "chat",
 "prompt": 90, "shared": 64, "prefix": "p", "output": 7}
{"kind": "arrival", "at": 300, "workspace": "clerks", "service": "desk",
 "call": "book", "key": "k1"}
"""


def test_recorded_trace_is_played(tmp_path):
    """Guards against traces whose fields the relay's callers cannot do without."""
    lines = TRACE.replace(",\n", ",").strip()
    (tmp_path / "trace.jsonl").write_text(lines + "\n")
    load = '[[load]]\narrivals = "trace"\ntrace = "trace.jsonl"\n'
    records = play(tmp_path, HEAD + load)
    assert [(r.outcome, r.tokens) for r in records.requests] == [
        ("served", 0),
        ("served", 7),
        ("served", 0),
    ]


RELAY_TABLE = """
[[relay.services]]
name = "desk"
[[relay.routes]]
name = "stock"
host = "fleet"
prefix = "/services/desk/stock/"
kind = "idempotent"
services = [{ service = "desk" }]
timeout_ms = 25
[[relay.workspaces]]
name = "clerks"
keys = ["key-of-clerks"]
"""


def test_relay_table_replaces_the_derived_routes(tmp_path):
    """Guards against a relay table that is read and not played."""
    path = write(tmp_path, HEAD + CALLS, FLEET + RELAY_TABLE)
    scenario = load_experiment(path).scenarios_by_variant["base"]
    records = play_scenario(scenario, 1, lambda at_ms: None)
    # Some targets answer within the 25 ms of the table.
    assert {r.reason for r in records.requests} >= {"", "deadline"}


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("/stock/", "/other/", "add a route with host fleet and prefix /services/desk"),
        ('"key-of-clerks"', '"other"', "add a workspace with the key key-of-clerks"),
    ],
)
def test_relay_table_must_have_the_work_of_the_load(tmp_path, old, new, message):
    """Guards against a play in which all requests are refused by a typing error."""
    fleet = FLEET + RELAY_TABLE.replace(old, new)
    with pytest.raises(ExperimentFileError, match=message):
        load_experiment(write(tmp_path, HEAD + CALLS, fleet))


def test_other_hashes_of_texts_give_the_same_bytes(tmp_path):
    """Guards against an order of sets that differs from process to process."""
    text = TWO_PLACES.replace("length_s = 20", "length_s = 12") + CALLS + CHATS
    text += fault("kill-target", "engines-east-0", "for_s = 3")
    path = write(tmp_path, text + fault("cut", "west", "for_s = 3"))
    found = []
    for seed in ("1", "2"):
        out = tmp_path / seed
        command = [sys.executable, "-m", "wagtailrun", "experiment", "run", path]
        subprocess.run(
            [*command, "--out", out],
            env={**os.environ, "PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
        )
        directory = out / "base" / "1"
        found.append({p.name: p.read_bytes() for p in sorted(directory.iterdir())})
    assert found[0] == found[1]
    assert found[0]["requests.jsonl"].count(b"\n") > 100


def test_unexpected_error_of_an_entry_ends_the_play(tmp_path, monkeypatch):
    """Guards against errors that a daemon goes on after, hidden in a play."""
    experiment = load_experiment(write(tmp_path, HEAD + CALLS))
    scenario = experiment.scenarios_by_variant["base"]

    async def fail(play):
        events.log(events.TASK_RESTARTED, task="watch paths", detail="planted")

    monkeypatch.setattr("wagtailrun.experiments.relay_play._RelayPlay.play", fail)
    with pytest.raises(Exception, match="planted"):
        play_relay_scenario(scenario, 1, lambda at_ms: None)
