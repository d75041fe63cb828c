"""Tests of the check of an experiment's file."""

import json
import re

import pytest

from wagtailrun.cli import commands as cli
from wagtailrun.exceptions import ExperimentFileError
from wagtailrun.experiments.model import FaultKind
from wagtailrun.experiments.reading import load_experiment

FLEET = """
[fleet]
name = "demo"
data_centres = ["east", "west"]
[services.encoders]
kind = "pool"
[services.engines]
kind = "engine"
[services.desk]
kind = "plain"
calls.book = { idempotent = false, deadline_ms = 4000 }
calls.stock = { idempotent = true, deadline_ms = 2000 }
[pipelines.query]
deadline_ms = 8000
stages = [
    { kind = "encode", service = "encoders" },
    { kind = "generate", service = "engines" },
]
[pipelines.embed]
stages = [{ kind = "encode", service = "encoders" }]
[workspaces.clerks]
[workspaces.millers]
"""
HEAD = """
name = "small"
length_s = 20
seeds = [7, 8]
fleet.path = "fleet.toml"
entries = { east = 2, west = 1 }
"""
TARGETS = """
[[targets]]
service = "encoders"
data_centre = "east"
count = 2
model = { service_ms = 10.0 }
[[targets]]
service = "engines"
data_centre = "east"
count = 2
model = { decode_ms = 20.0, prefill_us = 70.0, cache_blocks = 64 }
[[targets]]
service = "engines"
data_centre = "west"
model = { decode_ms = 20.0 }
[[targets]]
service = "desk"
data_centre = "west"
count = 2
model = { service_ms = 30.0 }
"""
LOAD = """
[[load]]
workspace = "clerks"
pipeline = "query"
arrivals = "poisson"
rate_per_s = 2.0
prompt_tokens = { distribution = "lognormal", median = 100, sigma = 0.5, max = 500 }
answer_tokens = { distribution = "uniform", low = 5, high = 20 }
deadline_ms = 6000
[[load]]
workspace = "millers"
service = "desk"
call = "book"
data_centre = "west"
arrivals = "bursts"
rate_per_s = 1
burst_rate_per_s = 5
burst_every_s = 10
burst_for_s = 2
"""
FAULTS = """
[[faults]]
kind = "kill-target"
at_s = 5
for_s = 2
on = ["engines/east"]
"""
PROMISES = """
[[promises]]
name = "served"
measure = "served-share"
bound = 0.5
[[promises]]
name = "orders"
measure = "order-runs"
bound = 1
"""
VARIANTS = """
[[variants]]
name = "base"
[[variants]]
name = "double"
changes = { "load.0.rate_per_s" = 4.0, "settings.hedges" = false }
"""
WHOLE = HEAD + TARGETS + LOAD + FAULTS + PROMISES + VARIANTS


def write(directory, text=WHOLE):
    (directory / "fleet.toml").write_text(FLEET)
    path = directory / "experiment.toml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return path


def faults_of(directory, text):
    with pytest.raises(ExperimentFileError) as error:
        load_experiment(write(directory, text))
    return "\n".join(error.value.faults)


def test_whole_file(tmp_path):
    """Guards against values that are read with another unit, name or variant."""
    experiment = load_experiment(write(tmp_path))
    assert (experiment.length_ms, experiment.seeds) == (20_000, (7, 8))
    base, double = experiment.scenarios_by_variant.values()
    assert base.faults[0].subjects == ("engines-east-0", "engines-east-1")
    assert (base.faults[0].at_ms, base.faults[0].until_ms) == (5_000, 7_000)
    assert base.loads[0].expected_requests == 40
    assert base.loads[1].expected_requests == pytest.approx(20 * 1.8)
    assert (base.loads[0].rate, double.loads[0].rate) == (2.0, 4.0)
    assert (base.settings, double.settings) == ({}, {"hedges": False})


def test_inline_fleet_and_one_variant(tmp_path):
    """Guards against a fleet text in the file, or a file without variants, refused."""
    text = HEAD.replace('fleet.path = "fleet.toml"', f"fleet.text = '''{FLEET}'''")
    experiment = load_experiment(write(tmp_path, text + TARGETS + LOAD))
    assert list(experiment.scenarios_by_variant) == ["base"]


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('name = "small"', 'name = "small"\ncolour = 1', r"colour: '1'.*remove it"),
        ("rate_per_s = 2.0", "rate_per_s = 2.0\nrat = 1", r"load\[0\]\.rat: .*known"),
        ("rate_per_s = 2.0", "rate_per_s = -1", r"load\[0\]\.rate_per_s: '-1'"),
        ("rate_per_s = 2.0", f"rate_per_s = {10**30}", r"rate_per_s: '1000.*10000"),
        ("rate_per_s = 2.0", "rate_per_s = nan", "rate_per_s: nan is not finite"),
        ("rate_per_s = 2.0", 'rate_per_s = "x"', "rate_per_s: 'x'.*give a number"),
        ("rate_per_s = 2.0\n", "", "rate_per_s: 'nothing'.*add a number"),
        (LOAD, LOAD.replace("= 2.0", "= 9000") * 6, "lower rates or length"),
        ("length_s = 20", "length_s = -20", "length_s: '-20'"),
        ("seeds = [7, 8]", "seeds = [7, 7]", "seeds:.*different whole numbers"),
        ('on = ["engines/east"]', 'on = ["engine"]', "on: 'engine'.*choose from"),
        ('on = ["engines/east"]', "on = []", "list at least one name"),
        ('"kill-target"', '"cut"', "on: 'engines/east'.*east, west"),
        ('"kill-target"', '"melt-target"', "kind: 'melt-target'.*choose one of"),
        ("at_s = 5", "at_s = -5", "at_s: '-5'"),
        ("at_s = 5", "at_s = 20", "at_s: '20'.*within the length of 20 s"),
        ("for_s = 2", "for_s = 16", "for_s: '16'.*also its end"),
        (FAULTS, FAULTS * 2, "engines-east-0 has another fault"),
        (FAULTS, FAULTS + FAULTS.replace("_s = 5", "_s = 7"), "has another fault"),
        ('"kill-target"', '"silence-target"', "for_s: '2'.*remove it"),
        ('name = "double"', 'name = "base"', r"variants\[1\].name: 'base'"),
        ("load.0.rate_per_s", "load.3.rate_per_s", "'load.3.rate_per_s'.*the file has"),
        ("load.0.rate_per_s", "length_s", "'length_s'.*hold for all variants"),
        ("settings.hedges", "settings.hedge", "variant double: settings.hedge:"),
        ('"load.0.rate_per_s" = 4.0', '"load.0.rate_per_s" = -4', "variant double: l"),
        ('workspace = "clerks"', 'workspace = "cooks"', "'cooks' must be a workspace"),
        ('pipeline = "query"', 'pipeline = "quer"', "name a pipeline of each fleet"),
        ('pipeline = "query"', 'pipeline = "embed"', "answer_tokens:.*remove it"),
        ('call = "book"', 'call = "cook"', "name a service and a call"),
        ('service = "encoders"', 'service = "desk"', "add targets of service encoders"),
        ('data_centre = "east"', 'data_centre = "north"', "choose one of east, west"),
        ("decode_ms = 20.0", "service_ms = 20.0", "model.service_ms:.*remove it"),
        ("deadline_ms = 6000", "deadline_ms = 9000", "number from 1 to 8000"),
        ("low = 5", "low = 5.5", "answer_tokens.low: '5.5'.*whole number"),
        ("low = 5", "low = 50", "answer_tokens.high: '20'"),
        ('"uniform"', '"normal"', "distribution: 'normal'.*lognormal"),
        ("entries = { east = 2, west = 1 }", "entries = {}", "give the number of"),
        ("entries = { east = 2, west = 1 }", "entries = { east = 2 }", "with entries"),
        ('measure = "served-share"', 'measure = "speed"', "measure: 'speed'"),
        ("bound = 0.5", "bound = 2", "bound: '2'.*from 0 to 1"),
        ("bound = 0.5", 'bound = 0.5\ndata_centre = "no"', "choose one of east, west"),
        ("bound = 0.5", "bound = 0.5\nfrom_s = 20", "from_s: '20'.*before until_s"),
        ("bound = 0.5", "bound = 0.5\nuntil_s = 21", "both within the length"),
        ('"fleet.toml"', '"fleets.toml"', "cannot read 'fleets.toml'"),
    ],
)
def test_faulty_file_names_key_value_and_remedy(tmp_path, old, new, expected):
    """Guards against a faulty file that is accepted, or refused without a remedy."""
    assert old in WHOLE
    found = faults_of(tmp_path, WHOLE.replace(old, new))
    assert re.search(expected, found), found


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"name = ", "not valid TOML"),
        (b"a = " + b"[" * 5_000, "not valid TOML"),
        (b"a = " + b"1" * 5_000, "not valid TOML"),
        (b'name = "\xff"', "not UTF-8 at byte 8"),
        (b"#" * (4 * 1024 * 1024 + 1), "shorten the file"),
    ],
)
def test_file_that_is_no_toml(tmp_path, data, expected):
    """Guards against a traceback for a file that is no TOML or not UTF-8."""
    assert expected in faults_of(tmp_path, data)


def test_missing_file(tmp_path):
    """Guards against a traceback for a file that is not there."""
    with pytest.raises(ExperimentFileError, match="No such file"):
        load_experiment(tmp_path / "none.toml")


ARRIVAL = {
    "kind": "arrival",
    "at": 100,
    "workspace": "clerks",
    "pipeline": "query",
    "prompt": 50,
    "output": 5,
}
ORDER = {
    "kind": "arrival",
    "at": 100,
    "workspace": "clerks",
    "service": "desk",
    "call": "book",
    "key": "k",
}


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        (None, "No such file"),
        ([json.dumps(ARRIVAL), json.dumps(ARRIVAL)[:40]], "line 2.*cut or no JSON"),
        ([], "a trace with arrivals"),
        (
            [json.dumps({**ARRIVAL, "at": 20_000})],
            r"trace line 1\.at: '20000'.*from 0 to 19999",
        ),
        ([json.dumps({**ARRIVAL, "at": -1})], r"line 1\.at: '-1'"),
        ([json.dumps({**ARRIVAL, "prompt": "x"})], r"line 1\.prompt: 'x'"),
        ([json.dumps({**ARRIVAL, "workspace": "x"})], "must be a workspace"),
        (
            [json.dumps({**ARRIVAL, "data_centre": "x"})],
            r"data_centre: 'x'.*add entries",
        ),
        (
            [json.dumps({"kind": "arrival", "at": 1})],
            "name a pipeline, or a service and its call",
        ),
        ([json.dumps({**ORDER, "key": [1]})], r"key: '\[1\]'"),
        ([json.dumps(ORDER)] * 2, "line 2.*no table of order keys"),
        (['{"kind": "fault"}'], "describe faults in the exp"),
        (["[1]"], "line 1: .*give a table"),
    ],
)
def test_faulty_trace(tmp_path, lines, expected):
    """Guards against a trace that is missing, cut or of another fleet."""
    if lines is not None:
        (tmp_path / "trace.jsonl").write_text("\n".join(lines))
    load = '[[load]]\narrivals = "trace"\ntrace = "trace.jsonl"\n'
    found = faults_of(tmp_path, HEAD + TARGETS + load)
    assert re.search(expected, found), found


@pytest.mark.parametrize("kind", FaultKind)
def test_each_kind_of_fault_is_accepted(tmp_path, kind):
    """Guards against a kind of fault that the page names and the check refuses."""
    extra = {
        FaultKind.SLOW_TARGET: "factor = 4",
        FaultKind.LOSE_REPORTS: "share = 0.5",
        FaultKind.CUT_ONE_WAY: 'direction = "inward"',
        FaultKind.ROLLING_RESTART: "gap_s = 1\nfor_s = 1",
        FaultKind.PAUSE_TARGET: "for_s = 1",
        FaultKind.CHANGE_FLEET: 'fleet.path = "fleet.toml"',
    }
    on = "" if kind is FaultKind.CHANGE_FLEET else 'on = ["east"]'
    fault = f'[[faults]]\nkind = "{kind}"\nat_s = 5\n{on}\n{extra.get(kind, "")}\n'
    experiment = load_experiment(write(tmp_path, HEAD + TARGETS + LOAD + fault))
    (read,) = experiment.scenarios_by_variant["base"].faults
    assert read.kind is kind
    assert bool(read.subjects) == bool(on)


def test_change_of_what_an_order_is(tmp_path):
    """Guards against orders without a key, whose runs would not be counted."""
    change = '[[faults]]\nkind = "change-fleet"\nat_s = 5\nfleet.path = "new.toml"\n'
    new = FLEET.replace("idempotent = false", "idempotent = true")
    (tmp_path / "new.toml").write_text(new)
    found = faults_of(tmp_path, HEAD + TARGETS + LOAD + change)
    assert "desk/book: let it be idempotent in all fleet texts or in none" in found


def test_command_checks(tmp_path, capsys):
    """Guards against a check whose exit code does not tell a bad file from a good one.

    A faulty file has the code of a faulty fleet text.
    """
    for text, code in ((WHOLE, 0), (WHOLE.replace("at_s = 5", "at_s = 50"), 2)):
        with pytest.raises(SystemExit) as error:
            cli.main(["experiment", "check", str(write(tmp_path, text))])
        assert error.value.code == code
    output = capsys.readouterr()
    assert "double" in output.out
    assert "faults[0].at_s: '50' is not accepted" in output.err


RELAY = HEAD.replace(
    "{ east = 2, west = 1 }",
    '{ east = { kind = "relay", count = 2 }, west = { kind = "relay", count = 1 } }',
)
BOOKINGS = "[[load]]" + LOAD.split("[[load]]")[2]


def test_entries_of_the_relay(tmp_path):
    """Guards against a kind of entry that is not read, or a number that changes it."""
    relay = load_experiment(write(tmp_path, RELAY + TARGETS + BOOKINGS))
    (scenario,) = relay.scenarios_by_variant.values()
    assert scenario.entry_kind == "relay"
    assert scenario.entries_by_data_centre == {"east": 2, "west": 1}
    product = load_experiment(write(tmp_path))
    assert product.scenarios_by_variant["base"].entry_kind == "product"


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        (
            'kind = "relay"',
            'kind = "proxy"',
            "entries.east.kind: 'proxy' is not accepted; choose one",
        ),
        (
            '{ kind = "relay", count = 1 }',
            "1",
            "'east: relay, west: product' is not accepted; use one kind of entry",
        ),
        (
            "count = 2 }",
            "count = 500 }",
            "entries: '501' is not accepted; play at most 100",
        ),
        ("rate_per_s = 1\n", "rate_per_s = 3000\n", "lower the rates of all loads"),
        (
            "name = ",
            "links = { cache_event_loss = 0.1 }\nname = ",
            "relay entries get no cache events; remove it",
        ),
        (
            "name = ",
            "settings = { hedges = false }\nname = ",
            "settings.hedges",
        ),
        ("count = 2\n", "count = 2\nlimits = { cold_ms = 5 }\n", "give both cold_ms"),
    ],
)
def test_bad_relay_entries(tmp_path, old, new, message):
    """Guards against a file that plays something else than it says."""
    text = RELAY + TARGETS + BOOKINGS
    assert old in text
    assert message in faults_of(tmp_path, text.replace(old, new, 1))


def test_limits_need_relay_entries(tmp_path):
    """Guards against limits that the product's entries never learn of."""
    text = WHOLE.replace("count = 2\n", "count = 2\nlimits = { limit_per_s = 5 }\n", 1)
    assert "the product's entries heed no limits" in faults_of(tmp_path, text)


def test_too_many_requests_to_the_relay(tmp_path):
    """Guards against a play that takes hours, begun without a word."""
    text = (RELAY + TARGETS + BOOKINGS).replace("length_s = 20", "length_s = 3600")
    faults = faults_of(tmp_path, text.replace("rate_per_s = 1\n", "rate_per_s = 90\n"))
    assert "lower rates or length to 100000 requests to the relay" in faults


def test_bad_relay_file_writes_nothing(tmp_path):
    """Guards against results of a file that was refused."""
    path = write(tmp_path, (RELAY + TARGETS + BOOKINGS).replace("relay", "proxy", 1))
    out = tmp_path / "out"
    with pytest.raises(SystemExit) as end:
        cli.main(["experiment", "run", str(path), "--out", str(out)])
    assert end.value.code == 2
    assert not out.exists()
