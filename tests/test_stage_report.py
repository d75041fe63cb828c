"""Tests of the report on stage services from log files."""

import json

import pytest

from tests.made_logs import START_S, SUMS, call, line, request, started
from wagtailrun.cli import commands as cli
from wagtailrun.exceptions import WagtailrunError
from wagtailrun.logs import events
from wagtailrun.observation.log_files import LogFile, read_files
from wagtailrun.observation.stage_report import StageReport


@pytest.fixture
def write(tmp_path):
    """Return a function that writes the lines of a file and returns its name."""

    def write_file(name, lines, end="\n"):
        path = tmp_path / name
        path.write_text("\n".join(lines) + end)
        return str(path)

    return write_file


@pytest.fixture
def run(capsys):
    def command(*names):
        with pytest.raises(SystemExit) as error:
            cli.main(["stages", *names])
        output = capsys.readouterr()
        assert "Traceback" not in output.err
        return error.value.code, output.out, output.err

    return command


def report_of(*names):
    return StageReport(read_files(names))


def gaps_of(*names):
    return "\n".join(report_of(*names).gaps())


def test_complete_log_has_exact_figures_and_no_gap(write):
    """Guards against wrong figures, and gaps that are always named."""
    lines = [call(1.2), call(1.8, took_ms=400, ended=SUMS)]
    lines.append(request(1.9, process="front-1", staged_ms=0))
    report = report_of(write("front-1.log", [*started(), *lines]))
    first, second = report.second_rows()
    # 200 of the 400 ms of the first call are in the second before.
    assert (first["busy"], second["busy"]) == (0.1, 0.3)
    (row,) = report.service_rows()
    # Two targets, one of which had no call, for two seconds.
    assert (row["targets"], row["busy"]) == (2, 0.2)
    assert (row["calls"], row["pieces"], row["fill"], row["waiting"]) == (2, 4, 0.5, 3)
    assert (row["steps"], row["wait_ms"], row["step_ms"]) == (4, 100, 300)
    assert (row["queued_share"], row["memory_share"]) == (0.75, 0.25)
    assert (row["queued_ms"], row["calls_ms"], row["held_mb"]) == (75, 200, 1.0)
    assert report.gaps() == []


def test_sums_of_steps_are_spread_over_the_time_in_which_they_ended(write):
    """Guards against rows of seconds that lack steps which their neighbours have.

    Sums were counted in the second of their line, which comes with the first call that
    ends a second after the last sums: some seconds had none, or one step of 30.
    """
    sums = {**SUMS, "steps": 20, "queued_ms": 2_000, "span_ms": 1_250}
    lines = [call(1.2), call(2.5, ended=sums), call(4.5, ended=SUMS)]
    report = report_of(write("front-1.log", [*started(), *lines]))
    steps = {row["second"] - START_S: row["steps"] for row in report.second_rows()}
    # 750 of the 1,250 ms are in the first second; sums without a span are in one.
    assert steps == {0: None, 1: 12, 2: 8, 4: 4}
    queued = {row["second"] - START_S: row["wait_ms"] for row in report.second_rows()}
    assert (queued[1], queued[2]) == (105, 105)
    (row,) = report.service_rows()
    assert (row["steps"], row["wait_ms"]) == (24, 104)


def test_requests_are_divided_by_how_they_ended(write):
    """Guards against late, failed or refused requests that count as in time."""
    lines = [
        request(1),
        request(2, first_ms=601),
        request(3, first_ms=0, took_ms=700),
        request(4, status=504),
        request(5, outcome="broken"),
        request(6, outcome="refused", took_ms=50),
        line(7, events.RELAY_REFUSED, route="a", took_ms=10),
        request(8, aim_ms=None),
    ]
    (row,) = report_of(write("front-1.log", [*started(), *lines])).route_rows()
    assert row == {
        "route": "a",
        "ended": 8,
        "in_time": 1,
        "late": 2,
        "late_ms_median": 50,
        "failed": 2,
        "unknown": 1,
        "refused": 2,
        "refused_ms_median": 30,
        "refused_ms_max": 50,
    }


def test_log_without_sums_of_steps_leaves_their_columns_empty(write):
    """Guards against a log of an earlier version that seems to have no waits."""
    name = write("front-1.log", [*started(), call(1)])
    (row,) = report_of(name).service_rows()
    for column in ("fill", "steps", "wait_ms", "queued_share", "queued_ms"):
        assert row[column] is None
    gaps = gaps_of(name)
    assert "front-1: no line accounts for the steps of s" in gaps
    assert "s: no sums of steps" in gaps


def test_steps_after_the_last_sums_are_a_gap(write):
    """Guards against sums that seem to include the last second."""
    lines = [call(1, ended=SUMS), call(1.7)]
    assert "no sums of s in the last 700 ms" in gaps_of(write("a", lines))


@pytest.mark.parametrize(
    "field", ["service", "target", "pieces", "took_ms", "held_bytes"]
)
@pytest.mark.parametrize("value", ["x", None, [], -1, float("nan"), 1e300, True])
def test_field_of_another_type_is_a_gap(write, field, value):
    """Guards against a log of another version that ends the command, or counts."""
    if field in ("service", "target") and value == "x":
        return
    if value == 1e300 and field in ("pieces", "held_bytes"):
        return
    name = write("a", [*started(), call(1), call(1, **{field: value})])
    report = report_of(name)
    assert report.total_by_service["s"].calls == 1
    assert f"no valid field {field}" in "\n".join(report.gaps())


@pytest.mark.parametrize("sums", ["x", [], {"steps": "x"}, {"steps": 1, "batch": None}])
def test_sums_of_another_type_are_not_counted(write, sums):
    """Guards against sums of another version that end the command."""
    name = write("a", [*started(), call(1, ended=sums)])
    (row,) = report_of(name).service_rows()
    assert row["fill"] is None
    assert "s: no sums of steps" in gaps_of(name)


def test_unknown_events_are_a_gap(write):
    """Guards against events of another version that are passed over in silence."""
    foreign = json.dumps({"time": START_S, "process": "front-1", "event": 9_001})
    gaps = gaps_of(write("a", [*started(), call(1), foreign, foreign]))
    assert "2 lines have unknown events (9001); another version wrote them" in gaps


def test_line_that_is_cut_is_a_gap(write):
    """Guards against a line that a crash cut and that is missing unnoticed."""
    name = write("a", [*started(), call(1), call(2)[:60]], end="")
    assert report_of(name).total_by_service["s"].calls == 1
    assert "1 lines are cut, or are no events" in gaps_of(name)


def test_suppressed_and_dropped_lines_are_gaps(write):
    """Guards against counts that are too low as lines were never written."""
    dropped = json.dumps({"dropped_lines": 12})
    lines = [*started(), call(1), call(2, suppressed=7), dropped]
    gaps = gaps_of(write("a", lines))
    assert "front-1: 7 lines of event 710 were suppressed" in gaps
    assert "the process dropped 12 lines" in gaps
    assert "cut" not in gaps


def test_missing_log_of_an_entry_is_a_gap(write):
    """Guards against figures of some of the processes that seem to be of all."""
    other = line(0, events.ENTRY_LIVENESS_CHANGED, entry="front-2", live=True)
    gaps = gaps_of(write("a", [*started(), other, call(1)]))
    assert "front-2: no log of this entry" in gaps
    assert "missing logs go unnoticed" in gaps_of(write("b", [call(1)]))


def test_log_of_a_part_of_the_time_is_a_gap(write):
    """Guards against a log that began late or ended early, as after a rotation."""
    first = write("a", [*started(), call(1)])
    second = write("b", [call(20, process="front-2")])
    gaps = gaps_of(first, second)
    assert "front-1: the log ends 19 s before the last line" in gaps
    assert "front-2: the log does not have the start of the process" in gaps


@pytest.mark.parametrize("ahead_s", [1.0, -1.0])
def test_clocks_that_differ_are_a_gap(write, ahead_s):
    """Guards against seconds of two processes that are not the same time."""
    step = {"request_id": "r", "step": 0, "service": "s", "state": "done"}
    # The request arrived at 9.1 s; its stages were complete 300 ms later.
    front = write("a", [*started(), request(10)])
    late = line(9.3 + ahead_s, events.STEP_ENDED, "front-2", **step)
    gaps = gaps_of(front, write("b", [late]))
    ahead, behind = ("front-2", "front-1")[:: 1 if ahead_s > 0 else -1]
    assert f"the clock of {ahead} is ahead of that of {behind}" in gaps
    same = line(9.3, events.STEP_ENDED, "front-2", **step)
    gaps = gaps_of(front, write("c", [same]))
    assert "ahead" not in gaps
    assert "clocks not compared" not in gaps


def test_copy_of_a_log_is_counted_once(write):
    """Guards against a file that is given twice and doubles all figures."""
    names = [write(name, [*started(), call(1)]) for name in "ab"]
    report = report_of(*names, names[0])
    assert report.total_by_service["s"].calls == 1
    assert "\n".join(report.gaps()).count("left out, as it is the same as") == 2


def test_empty_file_beside_others_is_a_gap(write):
    """Guards against a process whose log is empty and that seems idle."""
    gaps = gaps_of(write("a", [*started(), call(1)]), write("empty", [], end=""))
    assert "empty: the file is empty" in gaps


@pytest.mark.parametrize(
    "content", [b"", b"\n\n", b"{}\n", b"\x1f\x8b\x08\x00\xff\xfe", b"[" * 100_000]
)
def test_file_that_is_no_log_is_an_error(tmp_path, run, content):
    """Guards against a report with figures of a file that is no log."""
    path = tmp_path / "file"
    path.write_bytes(content)
    code, out, error = run(str(path))
    assert code == 1
    assert not out
    assert "no file has events" in error or "no line is an event" in error


def test_file_that_cannot_be_read_is_an_error(run, tmp_path):
    """Guards against a missing file that counts as an idle process."""
    code, out, error = run(str(tmp_path / "none"))
    assert (code, out) == (1, "")
    assert "cannot read" in error
    assert run()[0] == 2


def test_command_prints_tables_and_json(write, run):
    """Guards against an output without the tables or the gaps, or invalid JSON."""
    name = write("front-1.log", [*started(), call(1, ended=SUMS), request(2)])
    assert run(name, write("other.log", [call(1, "front-2")]))[0] == 1
    code, out, _ = run(name)
    for title in ("seconds:", "services:", "routes:", "gaps in the logs:"):
        assert title in out
    assert code == 0
    _, out, _ = run(name, "--json")
    tables = json.loads(out)
    assert set(tables) == {"seconds", "services", "routes", "gaps"}
    assert tables["services"][0]["fill"] == 0.5


def test_error_names_the_file(write):
    """Guards against an error of which the user cannot tell the file."""
    with pytest.raises(WagtailrunError, match="notes: no line is an event"):
        LogFile.read(write("notes", ["some text", '{"a": 1}']))
