"""Tests of reports: what is read of a results directory, and the summary."""

import json
import random
import shutil
import tracemalloc

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.made_results import make_request, make_results, write_lines
from wagtailrun.cli import commands as cli
from wagtailrun.exceptions import ResultsError, SettingsError
from wagtailrun.experiments.records import RequestRecord
from wagtailrun.experiments.reports.command import read_report
from wagtailrun.experiments.reports.figures import promise_rows, summary
from wagtailrun.experiments.reports.reading import Play, ResultsDirectory
from wagtailrun.experiments.reports.tally import tally_play

REQUESTS = "base/2/requests.jsonl"


@pytest.fixture
def results(tmp_path):
    return make_results(tmp_path / "made")


def run_command(capsys, *arguments):
    """Return exit code, output and errors of a command."""
    with pytest.raises(SystemExit) as error:
        cli.main(["report", *map(str, arguments)])
    output = capsys.readouterr()
    assert "Traceback" not in output.err
    return error.value.code, output.out, output.err


def values_by_figure(path, *variants):
    report = read_report([str(path)], variants)
    rows = summary(report.sides)
    return {(row.figure, row.unit): row.values for row in rows}


def change_json(path, change):
    """Change a JSON file, or the last but one line of a file of JSON lines."""
    lines = path.read_text("utf-8").splitlines()
    index = len(lines) - 2 if path.suffix == ".jsonl" else 0
    value = json.loads(lines[index])
    change(value)
    lines[index] = json.dumps(value)
    path.write_text("\n".join(lines) + "\n", "utf-8")


def test_figures_are_those_of_the_records(tmp_path):
    """Guards against a figure that counts other requests than it says."""
    path = make_results(tmp_path / "made", seeds=[4])
    lines = (path / "base/4/requests.jsonl").read_text("utf-8").splitlines()
    requests = [json.loads(line) for line in lines]
    values = values_by_figure(path)
    for outcome in ("served", "late", "refused", "failed", "broken"):
        count = sum(r["outcome"] == outcome for r in requests)
        assert count and values[outcome, "requests"] == [count]
        share = values[f"share {outcome}", "% of requests"][0]
        assert share == pytest.approx(100 * count / len(requests))
    refused = [r for r in requests if r["outcome"] == "refused"]
    for reason in ("overloaded", "deadline"):
        count = sum(r["reason"] == reason for r in refused)
        assert count and values[f"refused: {reason}", "requests"] == [count]
    held = sum(r["ended_ms"] > 1_000 for r in refused)
    assert held and values["refusals held over 1 s", "requests"] == [held]
    first = sorted(r["first_ms"] for r in requests if r["first_ms"] is not None)
    complete = ("served", "late")
    end = sorted(r["ended_ms"] for r in requests if r["outcome"] in complete)
    for name, times in (("first token", first), ("complete answer", end)):
        for percent in (50, 95, 99):
            rank = max(0, round(percent / 100 * len(times) + 0.499) - 1)
            value = values[f"{name}, {percent}th percentile", "ms"][0]
            assert (
                times[max(0, rank - 1)] <= value <= times[min(rank + 1, len(times) - 1)]
            )
    late = max(r["sent_at_ms"] - r["intended_at_ms"] for r in requests)
    assert values["sender lateness, largest", "ms"] == [late]
    wasted = sum(r["wasted_ms"] for r in requests)
    used = sum(step["run_ms"] for r in requests for step in r["steps"])
    assert values["work thrown away", "s"] == [pytest.approx(wasted / 1_000)]
    share = values["work thrown away", "% of targets' time"][0]
    assert share == pytest.approx(100 * wasted / (wasted + used))


def test_seeds_add_up(results):
    """Guards against seeds that are counted twice, or overwrite each other."""
    whole = values_by_figure(results)
    parts = []
    for seed in (1, 2, 3):
        play = tally_play(ResultsDirectory(results), Play("base", seed))
        parts.append(play.tally)
    assert whole["requests", "requests"] == [sum(t.requests for t in parts)]
    assert whole["work thrown away", "s"] == [sum(t.wasted_ms for t in parts) / 1_000]
    (side,) = read_report([str(results)], []).sides
    for name in ("centres", "workspaces", "refusals", "running", "run_ms"):
        total = sum(getattr(side.tally, name).values())
        expected = sum(sum(getattr(t, name).values()) for t in parts)
        assert total == pytest.approx(expected), name
    assert side.tally.end.get_total_count() == sum(
        t.end.get_total_count() for t in parts
    )


def test_promises_name_bound_measured_and_first_breach(results):
    """Guards against a broken promise of one seed that others hide."""
    rows = promise_rows(read_report([str(results)], []).sides)
    assert [(row["held"], row["first breach"]) for row in rows] == [
        ("3 of 3 seeds", ""),
        ("2 of 3 seeds", "seed 2: request 17"),
    ]
    assert rows[1]["measured"] == "0 to 4" and rows[1]["bound"] == 0


def test_promise_that_is_stated_twice_has_two_rows(results):
    """Guards against more seeds that hold a promise than there are."""
    for seed, measured in ((1, 1_234_567), (2, 7), (3, None)):
        path = results / f"base/{seed}/promises.json"
        (one, other) = json.loads(path.read_text())
        twice = {**one, "measured": measured, "held": False, "detail": "request 5"}
        path.write_text(json.dumps([one, twice, other]))
    rows = promise_rows(read_report([str(results)], []).sides)
    assert [row["held"] for row in rows] == [f"{n} of 3 seeds" for n in (3, 0, 2)]
    assert rows[1]["measured"] == "1234567, 7, none"
    assert rows[1]["first breach"] == "seed 1: request 5"


def test_early_sending_is_no_lateness(results):
    """Guards against a timer that ended early, and makes a play invalid."""
    change_json(results / REQUESTS, lambda r: r.update(sent_at_ms=r["sent_at_ms"] - 9))
    report = read_report([str(results)], [])
    assert report.gaps == []
    assert report.sides[0].tally.lateness.get_total_count() == 600


def test_summary_as_table_and_as_json(results, capsys):
    """Guards against outputs that differ, or a whole run that exits with an error."""
    code, out, _ = run_command(capsys, results)
    assert code == 0 and "missing" not in out
    assert "2 of 3 seeds  seed 2: request 17" in out
    code, out, _ = run_command(capsys, results, "--json")
    value = json.loads(out)
    assert code == 0 and value["gaps"] == []
    assert value["summary"][1]["values"] == {"variant base": 600}
    assert [row["bound"] for row in value["promises"]] == [1_200, 0]


FAULTS = {
    "cut": (REQUESTS, lambda text: text[:-20], ":200: the line is cut"),
    "cut at a brace": (REQUESTS, lambda text: text[:-1], ":200: the line is cut"),
    "no JSON": (REQUESTS, lambda t: t.replace("{", "<", 1), ":1: no JSON"),
    "NaN": (REQUESTS, lambda t: t.replace("4000", "NaN", 1), ":1: no JSON: NaN"),
    "list": (REQUESTS, lambda t: "[]\n" + t, ":1: [] is no JSON object"),
    "deep": (REQUESTS, lambda t: "[" * 100_000 + "\n" + t, ":1: no JSON"),
    "no UTF-8": (REQUESTS, lambda t: t.replace("front", "\udcff", 1), ":1: no JSON"),
    "gone line": (REQUESTS, lambda t: t.split("\n", 1)[1], ":1: request 1, expected 0"),
    "empty": (REQUESTS, lambda t: "", ": no request"),
    "long": (REQUESTS, lambda t: " " * 2**20 + t, ":1: longer than"),
    "no file": (REQUESTS, None, ": No such file"),
    "no samples": ("base/2/samples.jsonl", None, ": No such file"),
    "no events": ("base/2/events.jsonl", None, ": No such file"),
    "no promises": ("base/2/promises.json", None, ": No such file"),
    "cut promises": ("base/2/promises.json", lambda t: t[:-3], ": no JSON"),
    "promises": ("base/2/promises.json", lambda t: "{}", ": not a list"),
    "bound": (
        "base/2/promises.json",
        lambda t: t.replace("1200", "[]"),
        ", promise 0: bound is no number",
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_play_with_a_fault_is_left_out_and_named(results, capsys, fault):
    """Guards against a damaged play that is counted in part, or left out silently."""
    name, damage, message = FAULTS[fault]
    expected = values_by_figure(results)["requests", "requests"][0] - 200
    path = results / name
    if damage is None:
        path.unlink()
    else:
        text = damage(path.read_text("utf-8"))
        path.write_bytes(text.encode("utf-8", "surrogateescape"))
    code, out, _ = run_command(capsys, results)
    assert code == 1
    gap = out.splitlines()[0]
    assert gap.startswith(f"missing: {name}{message}")
    assert gap.endswith("base/2 is left out")
    values = values_by_figure(results)
    assert values["requests", "requests"] == [expected]
    assert values["plays", "seeds"] == [2]


def fields_of(kind):
    return [field.name for field in kind.__attrs_attrs__]


@pytest.mark.parametrize("field", fields_of(RequestRecord))
def test_missing_or_mistyped_field_is_named(results, field):
    """Guards against a field that is taken for 0 or empty where it is missing."""
    path = results / REQUESTS
    before = path.read_text("utf-8")
    changes = [lambda r: r.pop(field), lambda r: r.update({field: {}})]
    if field not in ("first_ms", "ended_ms"):
        changes.append(lambda r: r.update({field: None}))
    changes.append(lambda r: r.update({field: True}))
    for change in changes:
        path.write_text(before, "utf-8")
        change_json(path, change)
        gaps = read_report([str(results)], []).gaps
        assert len(gaps) == 1 and gaps[0].startswith(f"{REQUESTS}:199: "), gaps
        assert f"record.{field}" in gaps[0]


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"sent_at_ms": 9e9}, "longer than a day"),
        ({"outcome": "refused", "reason": ""}, "refused without a reason"),
        ({"outcome": "served", "ended_ms": None}, "served without ended_ms"),
        ({"outcome": "gone"}, "'gone' is not a valid Outcome"),
        ({"kind": "batch"}, "batch not in literal"),
        ({"ended_ms": -1}, "-1 is no number from 0"),
        ({"ended_ms": 10**400}, "is no number from 0"),
        ({"ended_ms": 9e9}, "longer than a day"),
        ({"tokens": 1.5}, "1.5 is no whole number from 0"),
        ({"tokens": 10**400}, "is no whole number"),
        ({"workspace": "\ud800"}, "is no text"),
        ({"steps": [{"stage": "x"}]}, "missing field @ record.steps.target"),
    ],
)
def test_contradiction_in_a_record_is_named(results, changes, message):
    """Guards against figures of records that cannot be true."""
    change_json(results / REQUESTS, lambda r: r.update(changes))
    (gap,) = read_report([str(results)], []).gaps
    assert gap.startswith(f"{REQUESTS}:199: ") and message in gap


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**400), 10**400)
    | st.floats()
    | st.text(st.characters(codec=None)),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)


@settings(max_examples=300, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(data=st.data())
def test_any_value_is_counted_or_explained(tmp_path, data):
    """Guards against a value that ends the command with a traceback."""
    path = tmp_path / "made"
    if not path.exists():
        make_results(path, seeds=[2], requests=5)
    name = data.draw(st.sampled_from(["requests", "events", "samples"]))
    file = path / "base/2" / f"{name}.jsonl"
    if data.draw(st.booleans()):
        file = path / data.draw(st.sampled_from(["run.json", "base/2/promises.json"]))
    before = file.read_text("utf-8")
    first = json.loads(before.splitlines()[0])
    record = first[0] if isinstance(first, list) else first
    record[data.draw(st.sampled_from(sorted(record)))] = data.draw(JSON_VALUES)
    file.write_text("\n".join([json.dumps(first), *before.splitlines()[1:], ""]))
    try:
        found = read_report([str(path)], [])
        value = [found.as_json(), found.summary_rows()]
        json.dumps(value, allow_nan=False, ensure_ascii=False).encode()
    except ResultsError:
        pass
    finally:
        file.write_text(before, "utf-8")


def test_plays_that_are_missing_are_named(results, capsys):
    """Guards against fewer seeds than requested that look whole."""
    shutil.rmtree(results / "base/2")
    shutil.move(results / "base/3", results / "base/7")
    change = {"finished": [["base", 1], ["base", 2]], "complete": False}
    change_json(results / "run.json", lambda run: run.update(change))
    code, out, _ = run_command(capsys, results)
    assert code == 1
    assert [line for line in out.splitlines() if line.startswith("missing")] == [
        "missing: base/2: finished, but absent; left out",
        "missing: base/3: did not finish; left out",
        "missing: run.json: complete is false; the run was interrupted",
        "missing: base/7: not named in run.json; left out",
    ]


def test_plays_without_an_end_are_named(results):
    """Guards against samples and requests that do not cover the play."""
    samples = results / "base/1/samples.jsonl"
    samples.write_text("".join(samples.read_text().splitlines(True)[:60]))
    rows = [make_request(n, random.Random(1)) for n in range(203)]
    write_lines(results / "base/3/requests.jsonl", rows)
    report = read_report([str(results)], [])
    assert report.gaps == [
        "base/1/samples.jsonl: the samples end before the play does",
        "base/3/requests.jsonl: 3 requests start after the end of the play; "
        "plots leave them out",
    ]
    assert report.sides[0].tally.requests == 603


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"format": 2}, "run.json: format is 2, only 1 can be read"),
        ({"format": None}, "run.json: format is None"),
        ({"format": True}, "run.json: format is True"),
        ({"length_ms": "1"}, "run.json: '1' is no number from 0 @ record.length_ms"),
        ({"length_ms": 0}, "run.json: length_ms is 0"),
        ({"complete": 1}, "run.json: 1 is neither true nor false @ record.complete"),
        ({"finished": [["base"]]}, "run.json: Not enough values"),
        ({"variants": ["../made"]}, "run.json: '../made' is no name of a variant"),
        ({"finished": [["..", 1]]}, "run.json: '..' is no name of a variant"),
        ({"seeds": [1, 1]}, "run.json: a variant, seed or finished play is listed"),
        ({"finished": []}, "no play to report on: variant base\n"),
    ],
)
def test_unusable_run_is_refused(results, capsys, changes, message):
    """Guards against results of another form that are read as if they were known."""
    change_json(results / "run.json", lambda run: run.update(changes))
    code, out, error = run_command(capsys, results)
    assert code == 1 and out == "" and message in error


def test_directory_that_is_none_is_refused(results, tmp_path, capsys):
    """Guards against an unclear error where the path is wrong."""
    for path, message in (
        (tmp_path / "nowhere", "not a directory"),
        (results / "run.json", "not a directory"),
        (results / "base", "no results directory, run.json is missing"),
    ):
        code, out, error = run_command(capsys, path)
        assert (code, out) == (1, "")
        assert error == f"wagtailrun: {path}: {message}\n"
    assert run_command(capsys)[0] == 2
    assert run_command(capsys, results, results, results)[0] == 2


def test_variants_are_chosen_by_repeated_flags(tmp_path, capsys):
    """Guards against a repeated flag of which only the last one counts."""
    path = make_results(tmp_path / "made", variants=("base", "hedged", "third"))
    code, out, _ = run_command(capsys, "--variant", "base", path, "--variant=third")
    assert code == 0 and out.splitlines()[0].split("  ")[0] == "figure"
    assert "variant base" in out and "variant third" in out and "hedged" not in out
    code, _, error = run_command(capsys, path, "-v", "other")
    assert code == 1
    assert "no variant 'other', only base, hedged, third" in error
    assert run_command(capsys, path, "-v", "base", "-v", "base")[0] == 2
    with pytest.raises(SettingsError):
        read_report([str(path)], ["base", "hedged", "third"])


def test_two_directories_without_a_common_variant_are_refused(tmp_path):
    """Guards against a comparison of variants that were not meant to be compared."""
    one = make_results(tmp_path / "one", variants=("a",))
    other = make_results(tmp_path / "other", variants=("b",))
    with pytest.raises(ResultsError, match="share no variant"):
        read_report([str(one), str(other)], [])
    report = read_report([str(one), str(other)], ["a", "b"])
    assert [side.label for side in report.sides] == ["one: a", "other: b"]


def test_memory_does_not_grow_with_the_requests(tmp_path):
    """Guards against a reader that holds all requests of a play at once."""
    peaks = []
    for count in (500, 5_000):
        path = make_results(tmp_path / str(count), seeds=[1], requests=count)
        tracemalloc.start()
        read_report([str(path)], [])
        peaks.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()
    assert peaks[1] < 1.2 * peaks[0], peaks


def test_names_with_control_characters_do_not_reach_the_terminal(tmp_path, capsys):
    """Guards against results that move the cursor of the reader's terminal."""
    path = make_results(tmp_path / "made", variants=("a\x1b[2J",))
    _, out, _ = run_command(capsys, path)
    assert "\x1b" not in out
