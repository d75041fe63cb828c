"""Tests of the decisions that a play keeps, and of their comparison."""

import json
import os
from collections import Counter

import pytest

from tests.test_experiment_play import ORDERS, STEADY, fault, scenario_of
from tests.test_experiment_reading import write
from tests.test_experiment_running import SHORT, files_of, run
from tests.test_placement import Fleet
from tests.test_placement import prompt as placed_prompt
from tests.test_relay_choice import ROWS, chooser, prompt
from tests.test_relay_experiments import CALLS as RELAY_CALLS
from tests.test_relay_experiments import CHATS as RELAY_CHATS
from tests.test_relay_experiments import HEAD as RELAY_HEAD
from tests.test_relay_experiments import fault as relay_fault
from tests.test_relay_experiments import write as relay_write
from tests.test_relay_front import SIGNATURE, answer, run_relay, send
from wagtailrun.cli import commands as cli
from wagtailrun.exceptions import ExperimentFailed
from wagtailrun.experiments.decisions import DecisionFile
from wagtailrun.experiments.play import play_scenario
from wagtailrun.experiments.reading import load_experiment
from wagtailrun.routes import RouteKind
from wagtailrun.targets.decisions import DecisionPoint
from wagtailrun.virtual_time import run_virtual

BUSY = STEADY.replace("= 8\n", "= 90\nend_s = 3\ndeadline_ms = 1200\n")
DEAD = fault("kill-target", "engines-east-0") + fault("kill-target", "desk")


def play(directory, text):
    """Play with and without decisions; return both records, and the lines."""
    return play_both_ways(directory, scenario_of(directory, text))


def play_both_ways(directory, scenario):
    path = directory / "decisions.jsonl"
    decisions = DecisionFile(path)
    with_decisions = play_scenario(scenario, 1, lambda at_ms: None, decisions)
    decisions.close()
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert lines.pop() == {"decisions": len(lines)}
    return with_decisions, play_scenario(scenario, 1, lambda at_ms: None), lines


@pytest.mark.parametrize("text", [BUSY + ORDERS, STEADY + ORDERS + DEAD])
def test_decisions_are_those_of_the_requests(tmp_path, text):
    """Guards against a log that changes the play, or leaves decisions out."""
    records, without, lines = play(tmp_path, text)
    assert records == without
    assert [line["at_ms"] for line in lines] == sorted(line["at_ms"] for line in lines)
    by_point = Counter((line["request"], line["point"]) for line in lines)
    for request in records.requests:
        key = f"r{request.number}"
        refused = request.outcome in ("refused", "broken")
        assert by_point[key, "refusal"] == refused, (request, by_point)
        hedges = [
            line
            for line in lines
            if (line["request"], line["point"]) == (key, "hedge")
            and line["chosen"] != "none"
        ]
        assert len(hedges) == request.hedges
        assert by_point[key, "target"] + len(hedges) == request.attempts
    for line in lines:
        values = {each["name"]: each["value"] for each in line["candidates"]}
        if line["point"] == "target" and line["reason"] != "resumes":
            assert values[line["chosen"]] is not None
        if line["reason"] in ("lowest", "only"):
            known = [value for value in values.values() if value is not None]
            assert values[line["chosen"]] == min(known)
        for each in line["candidates"]:
            assert (each["value"] is None) == bool(each["left_out"])
    points = {line["point"] for line in lines}
    expected = {"admission", "target", "refusal"}
    assert points >= expected | ({"retry"} if text.endswith(DEAD) else set())


RELAY_DEAD = relay_fault("kill-target", "desk-east-0")


def test_relay_entries_keep_their_decisions(tmp_path):
    """Guards against plays of relay entries whose decisions nothing tells."""
    text = RELAY_HEAD + RELAY_CALLS + RELAY_CHATS + RELAY_DEAD
    experiment = load_experiment(relay_write(tmp_path, text))
    scenario = experiment.scenarios_by_variant["base"]
    records, without, lines = play_both_ways(tmp_path, scenario)
    assert records == without
    # A target that refuses the connection gets no attempt.
    unsent = [line for line in lines if line["reason"] == "ConnectFailed"]
    assert {line["point"] for line in unsent} == {"retry"}
    chosen = Counter(line["request"] for line in lines if line["point"] == "target")
    chosen.subtract(line["request"] for line in unsent)
    assert {f"r{each.number}": each.attempts for each in records.requests} == chosen
    assert {line["entry"] for line in lines} == {"entry-east-0", "entry-east-1"}
    for line in lines:
        if line["point"] == "target":
            values = {each["name"]: each["value"] for each in line["candidates"]}
            known = [value for value in values.values() if value is not None]
            assert values[line["chosen"]] == min(known)


def test_queued_requests_are_ranked(tmp_path):
    """Guards against an order of the queue that nothing explains."""
    _, _, lines = play(tmp_path, BUSY)
    admitted = [line for line in lines if line["point"] == "admission"]
    reasons = {(line["chosen"], line["reason"]) for line in admitted}
    assert {("start", "room"), ("start", "first"), ("wait", "no-room")} <= reasons
    for line in admitted:
        if line["reason"] == "first":
            ranks = [each["value"] for each in line["candidates"]]
            assert line["candidates"][0]["name"] == line["request"]
            assert ranks == sorted(ranks)


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Results of two runs with decisions, and of one without."""
    folder = tmp_path_factory.mktemp("runs")
    path = write(folder, SHORT)
    for number, name in enumerate(("first", "second", "without")):
        environment = {**os.environ, "PYTHONHASHSEED": str(number)}
        flags = () if name == "without" else ("--decisions",)
        out = folder / name
        code, _, err = run(path, "--out", out, "--jobs", 2, *flags, env=environment)
        assert code == 0, err
    return folder


def compare(capsys, *arguments):
    with pytest.raises(SystemExit) as error:
        cli.main(["experiment", "compare", *map(str, arguments)])
    captured = capsys.readouterr()
    return error.value.code, captured.out + captured.err


def test_same_bytes_with_and_without_decisions(results, capsys):
    """Guards against decisions that depend on hashes, and against a changed play."""
    first, second, without = (
        files_of(results / name) for name in ("first", "second", "without")
    )
    assert first == second
    kept = {name for name in first if name.endswith("/decisions.jsonl")}
    assert len(kept) == 4
    assert {name: data for name, data in first.items() if name not in kept} == without
    code, text = compare(capsys, results / "first", results / "second")
    assert code == 0
    assert text.count("no difference in") == 4


def test_first_difference_is_named(results, tmp_path, capsys):
    """Guards against a difference that is not found, or found too late."""
    path = results / "first/base/7/decisions.jsonl"
    before = path.read_text()
    lines = before.splitlines()
    number, line = next(
        (number, json.loads(line))
        for number, line in enumerate(lines)
        if '"lowest"' in line and number > 4
    )
    other = next(c for c in line["candidates"] if c["name"] != line["chosen"])
    line["chosen"], other["value"] = other["name"], -1.5
    lines[number] = json.dumps(line)
    path.write_text("\n".join(lines) + "\n")
    try:
        code, text = compare(capsys, results / "first", results / "second")
        _, shown = compare(capsys, results / "first", results / "second", "--json")
    finally:
        path.write_text(before)
    assert code == 4
    assert f"base, seed 7: 1 decisions differ, of {len(lines) - 1}" in text
    assert f"The first is decision {number + 1}, after these:" in text
    assert "It differs in chosen, candidates" in text
    assert text.count("no difference in") == 3
    found = json.loads(shown)["plays"][0]
    assert found["different"] == found["by_point"]["target"]["chosen_differently"] == 1
    assert found["first_difference"]["first"]["chosen"] == other["name"]
    assert len(found["first_difference"]["before"]) == 4


def test_variants_of_one_directory(results, capsys):
    """Guards against a comparison of variants that finds none of their differences."""
    code, text = compare(capsys, results / "first", "-v", "base", "double")
    assert code == 4
    assert "base and double, seed 7: " in text
    assert "no difference" not in text


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (lambda text: None, "base/7/decisions.jsonl: No such file"),
        (lambda text: text[:-30], "the line is cut"),
        (lambda text: "".join(text.splitlines(True)[:-1]), "their number is missing"),
        (lambda text: "".join(text.splitlines(True)[1:]), "decisions"),
        (lambda text: text + '{"decisions": 1}\n', "a line after the number"),
        (lambda text: '{"decisions": 0}\n', "neither play has a decision"),
    ],
)
def test_incomplete_decisions_are_a_gap(results, capsys, change, message):
    """Guards against a missing or cut file that looks like no difference."""
    paths = [results / f"{name}/base/7/decisions.jsonl" for name in ("first", "second")]
    before = paths[0].read_text()
    changed = change(before)
    for path in paths if changed == '{"decisions": 0}\n' else paths[:1]:
        path.unlink()
        if changed is not None:
            path.write_text(changed)
    try:
        code, text = compare(capsys, results / "first", results / "second")
    finally:
        for path in paths:
            path.write_text(before)
    assert code == 1
    assert "missing: base, seed 7: " in text and message in text
    assert text.count("no difference in") == 3


def test_runs_without_decisions_are_not_compared(results, capsys):
    """Guards against success where nothing was compared."""
    code, text = compare(capsys, results / "first", results / "without")
    assert code == 1
    assert "no decisions to compare" in text and "directory 2: base/7" in text
    for arguments in ((), (results / "first",), (results / "first", "-v", "base")):
        code, text = compare(capsys, *arguments)
        assert code == 2, text


def test_failed_write_is_told_at_the_end(tmp_path):
    """Guards against a file that lacks decisions, and nobody says so."""
    decisions = DecisionFile(tmp_path / "decisions.jsonl")
    decisions.file.close()
    decisions.file = open("/dev/full", "w", buffering=1, encoding="utf-8")  # noqa: SIM115
    decisions.add({"at_ms": 1})
    with pytest.raises(ExperimentFailed, match="No space left"):
        decisions.close()
    with pytest.raises(ExperimentFailed, match="File exists"):
        DecisionFile(tmp_path / "decisions.jsonl")


def test_chooser_of_the_relay_states_its_costs(tmp_path):
    """Guards against a choice of the relay that its log does not explain."""
    decisions, picker = DecisionFile(tmp_path / "decisions.jsonl"), chooser()
    log = picker.decisions = decisions.of_entry("entry", picker.clock)
    plain = chooser()
    for number in range(20):
        arguments = {"parts": prompt(f"p{number}"), "prompt_tokens": 17_000}
        chosen = picker.choose(ROWS, ("t2",), **arguments)
        assert chosen is plain.choose(ROWS, ("t2",), **arguments)
        log.record_choice(f"r{number}", "llm", DecisionPoint.TARGET, chosen.name)
    decisions.close()
    lines = (tmp_path / "decisions.jsonl").read_text().splitlines()
    for line in map(json.loads, lines[:-1]):
        tried = [c for c in line["candidates"] if c["left_out"] == "tried"]
        assert [each["name"] for each in tried] == ["t2"]
        assert line["reason"] == "lowest" and len(line["candidates"]) == 4


def steps_of(path):
    """Return request, point, choice and reason of each kept decision, in order."""
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert lines.pop() == {"decisions": len(lines)}
    names = ("request", "point", "chosen", "reason")
    return [tuple(line[name] for name in names) for line in lines]


@pytest.mark.parametrize("statuses", [(503, 200), (503, 503)])
def test_life_of_a_relayed_request(tmp_path, statuses):
    """Guards against a retry or a refusal of a relay entry that is not kept."""
    decisions = DecisionFile(tmp_path / "decisions.jsonl")

    def keep(handler):
        log = decisions.of_entry("entry", handler.clock)
        handler.attempts.chooser.decisions = log

    async def client(address, fleet):
        return (await send(address, request_id="r1")).status

    # Without a signature, a success is not the target's own.
    seals = {200: (SIGNATURE,), 503: ()}
    engines = [(answer(status, b"ok", *seals[status]),) for status in statuses]
    run_relay(RouteKind.IDEMPOTENT, engines, client, on_handler=keep)
    decisions.close()
    found = steps_of(tmp_path / "decisions.jsonl")
    # The fixture chooses by itself and ranks nothing.
    expected = [
        ("r1", "target", "t0", "none-left"),
        ("r1", "retry", "again", "status-503"),
        ("r1", "target", "t1", "none-left"),
    ]
    assert found[:3] == expected
    if statuses[1] == 200:
        assert len(found) == 3
    else:
        assert found[3][:2] == ("r1", "retry")
        assert [each[1] for each in found].count("refusal") == 1


def test_owner_states_whom_it_placed(tmp_path):
    """Guards against a placement by another entry that its request does not show."""
    decisions = DecisionFile(tmp_path / "decisions.jsonl")

    async def main(clock):
        fleet = Fleet(clock)
        for name, host in fleet.hosts.items():
            host.chooser.decisions = decisions.of_entry(name, clock)
        placement = fleet.placements[fleet.owner().name]
        await placement.place(placed_prompt("asked", begin=False))
        return await placement.place(placed_prompt("begun"))

    placed = run_virtual(main)
    decisions.close()
    found = steps_of(tmp_path / "decisions.jsonl")
    assert found == [("begun", "target", placed.target, "lowest")]
