"""Tests of the account of a restart of everything from log files."""

import json

import pytest

from tests.made_logs import START_S, call, line, request
from wagtailrun.cli import commands as cli
from wagtailrun.logs import events
from wagtailrun.observation.log_files import read_files
from wagtailrun.observation.restart_report import RestartReport

ENTRIES = ("front-1", "front-2")
MEMBERS = {"core-1": "10.0.0.1:7", "core-2": "10.0.0.2:7"}


@pytest.fixture
def write(tmp_path):
    """Return a function that writes the lines of processes, and returns the names."""

    def write_files(lines_by_process):
        names = []
        for process, lines in lines_by_process.items():
            path = tmp_path / f"{process}.log"
            path.write_text("\n".join(lines) + "\n")
            names.append(str(path))
        return names

    return write_files


def started(at_s, process):
    role = "relay entry" if process in ENTRIES else "relay control"
    return line(
        at_s,
        events.PROCESS_STARTED,
        process,
        role=role,
        name=process,
        data_centre="east" if process.endswith("1") else "west",
        used_ms=700,
    )


def reached(at_s, process, step, after_s, subject=""):
    fields = {"step": step, "subject": subject, "after_ms": round(after_s * 1_000)}
    return line(at_s, events.START_STEP_REACHED, process, **fields)


def entry_life(at_s, process, served_s=1.5):
    """Return the lines of an entry that starts and serves."""
    lines = [started(at_s, process)]
    for step, after_s in (
        ("member-replied", 0.2),
        ("targets-known", 0.3),
        ("entries-known", 0.3),
    ):
        lines.append(reached(at_s + after_s, process, step, after_s, "s"))
    lines.append(line(at_s + 1.1, events.FLEET_CONFIG_APPLIED, process, revision=3))
    lines.append(reached(at_s + 1.12, process, "confirmed", 1.12))
    lines.append(reached(at_s + 1.13, process, "owner-replied", 1.13, "s"))
    lines.append(call(at_s + 1.4, process, took_ms=200))
    for number in range(4):
        lines.append(
            request(at_s + served_s + number, process, first_ms=100, took_ms=200)
        )
    return lines


def member_life(at_s, process, leads):
    """Return the lines of a member that starts."""
    lines = [
        started(at_s, process),
        line(
            at_s + 0.02,
            events.MEMBER_RECOVERED,
            process,
            member=MEMBERS[process],
            read_ms=15,
        ),
    ]
    for entry in ENTRIES:
        fields = {"entry": entry, "live": True}
        lines.append(line(at_s + 0.1, events.ENTRY_LIVENESS_CHANGED, process, **fields))
    lines.append(
        line(at_s + 0.2, events.TARGET_STATE_CHANGED, process, service="s", target="t")
    )
    if leads:
        lines.append(line(at_s + 0.9, events.BECAME_LEADER, process))
    lines.append(line(at_s + 0.95, events.FLEET_CONFIG_APPLIED, process, revision=3))
    lines.append(reached(at_s + 0.96, process, "reads-confirmed", 0.96))
    return lines


def whole_logs(restart_s=20.0, lost_s=19.0):
    """Return the logs of a system that lost power, and serves again."""
    logs = {}
    for number, process in enumerate(ENTRIES):
        lines = entry_life(0 + number * 0.01, process)
        lines += [
            request(5 + n, process, first_ms=100, took_ms=200)
            for n in range(int(lost_s - 5))
        ]
        logs[process] = [*lines, *entry_life(restart_s + number * 0.1, process)]
    for number, process in enumerate(MEMBERS):
        lines = member_life(0.1 + number * 0.01, process, leads=not number)
        logs[process] = [
            *lines,
            *member_life(restart_s + 0.3 + number * 0.1, process, leads=not number),
        ]
    return logs


def report_of(names, number=0):
    return RestartReport(read_files(names), number)


def without(lines, event):
    return [text for text in lines if json.loads(text)["event"] != event.number]


def moved(lines, from_s, by_s):
    """Return lines whose times from ``from_s`` on are later by ``by_s``."""
    result = []
    for text in lines:
        fields = json.loads(text)
        if fields["time"] - START_S >= from_s:
            fields["time"] += by_s
        result.append(json.dumps(fields))
    return result


def test_whole_logs_have_the_times_of_the_last_restart_and_no_gap(write):
    """Guards against wrong times, and gaps that are always named."""
    report = report_of(write(whole_logs()))
    assert report.gaps() == []
    (row,) = report.restart_rows()
    assert (row["first_start_s"], row["last_start_ms"]) == (START_S + 20, 400)
    assert (row["processes"], row["missing"]) == (4, 0)
    # The last line before is that of a request at 18 s.
    assert row["without_lines_ms"] == 2_000
    rows = {row["step"]: row for row in report.step_rows()}
    assert rows["files-read"]["last_ms"] == 420
    assert (rows["leader"]["first_ms"], rows["leader"]["awaited"]) == (
        1_200,
        "files-read",
    )
    # Of the process itself, not of the first one that had read its files.
    assert rows["leader"]["waited_ms"] == 880
    assert rows["configured"]["last_ms"] == 1_200
    assert rows["first-call"]["first_ms"] == 1_200
    processes = {row["process"]: row for row in report.process_rows()}
    assert processes["front-2"]["confirmed"] == 1_220
    assert processes["core-2"]["start_used_ms"] == 700


def test_the_step_that_was_awaited_is_the_last_one_before(write):
    """Guards against a wait that is counted from a step which had long ended."""
    report = report_of(write(whole_logs()))
    rows = {row["step"]: row for row in report.step_rows()}
    # The entry had a reply at 300 ms, and a member its configuration at 1,250 ms: later
    # than the entry has it, so that the reply is the last step before.
    assert rows["configured"]["awaited"] == "member-replied"
    assert rows["confirmed"]["awaited"] == "configured"
    assert rows["confirmed"]["waited_ms"] == 20
    assert rows["first-answer"]["awaited"] == "owner-replied"


def test_routes_have_the_first_answer_and_the_share_of_before(write):
    """Guards against shares of too few requests, and of the wrong window."""
    logs = whole_logs()
    logs["front-1"].insert(-4, request(21.3, outcome="refused", took_ms=0))
    logs["front-1"].insert(
        -4, line(21.2, events.RELAY_REFUSED, route="", status=503, took_ms=0)
    )
    logs["front-1"].insert(
        -4, line(21.2, events.RELAY_REFUSED, route="", status=404, took_ms=0)
    )
    report = report_of(write(logs))
    rows = {(row["route"], row["data_centre"]): row for row in report.route_rows()}
    row = rows["a", "east"]
    assert (row["before"], row["share_before"]) == (18, 1.0)
    assert (row["after"], row["first_in_time_ms"]) == (5, 1_500)
    # Two requests in each window after the refusal are too few for a share.
    assert row["recovered_ms"] is None
    # An unknown route is answered as it should be; the other refusal counts.
    assert rows["(all)", ""]["after"] == 10
    assert rows["(all)", ""]["recovered_ms"] == 1_400
    assert report.second_rows()[0]["refused"] == 2


def test_logs_without_a_restart_have_no_figures(write):
    """Guards against a roll of restarts that passes for a loss of everything."""
    logs = whole_logs()
    logs["core-1"] = without(
        [text for text in logs["core-1"] if json.loads(text)["time"] < START_S + 19],
        events.BECAME_LEADER,
    )
    # This member went on while the others started again.
    logs["core-1"].append(line(25, events.FLEET_CONFIG_APPLIED, "core-1", revision=4))
    first = [
        line(-3, events.FLEET_CONFIG_APPLIED, "core-1", revision=1),
        *logs["core-1"][1:],
    ]
    report = report_of(write({**logs, "core-1": first}))
    assert report.restart is None
    assert report.restart_rows() == report.process_rows() == report.route_rows() == []
    assert "no restart of everything" in "\n".join(report.gaps())


def test_two_restarts_are_named_and_one_can_be_chosen(write):
    """Guards against the steps of one restart beside the requests of another one."""
    logs = whole_logs()
    for process in ENTRIES:
        logs[process] += entry_life(60, process)
    for process in MEMBERS:
        logs[process] += member_life(60.2, process, leads=process == "core-2")
    names = write(logs)
    report = report_of(names)
    assert "2 restarts of everything" in "\n".join(report.gaps())
    (row,) = report.restart_rows()
    assert row["first_start_s"] == START_S + 60
    first = report_of(names, 1)
    assert first.gaps() == []
    assert first.restart_rows()[0]["first_start_s"] == START_S + 20
    assert first.route_rows()[0]["after"] == 8
    assert "2 restarts of everything, no further" in report_of(names, 3).gaps()[-1]


@pytest.mark.parametrize("by_s", [2.4, -2.4])
def test_clock_that_jumps_after_the_start_is_named(write, by_s):
    """Guards against a step that seems to take as long as a clock jumped."""
    logs = whole_logs()
    logs["front-2"] = moved(logs["front-2"], 20.35, by_s)
    report = report_of(write(logs))
    assert "front-2: its clock jumped by 2400 ms" in "\n".join(report.gaps())
    rows = {row["process"]: row for row in report.process_rows()}
    assert rows["front-2"]["confirmed"] is rows["front-2"]["started_ms"] is None
    assert rows["front-1"]["confirmed"] == 1_120
    assert report.restart_rows()[0]["without_lines_ms"] is None


@pytest.mark.parametrize("by_s", [2.4, -2.4])
def test_clock_that_jumped_at_power_on_is_named(write, by_s):
    """Guards against starts in the wrong order after a clock was set wrongly."""
    logs = whole_logs()
    logs["front-2"] = moved(logs["front-2"], 19.5, by_s)
    report = report_of(write(logs))
    text = "\n".join(report.gaps())
    assert "clock" in text
    assert "in the figures" in text
    assert report.restart_rows()[0]["first_start_s"] == START_S + 20
    for row in report.process_rows():
        if row["process"] == "front-2":
            assert row["started_ms"] is row["confirmed"] is None


def test_member_that_stays_dark_or_comes_late_is_told(write):
    """Guards against an account that looks whole without a member."""
    logs = whole_logs()
    before = [text for text in logs["core-2"] if json.loads(text)["time"] < START_S + 9]
    report = report_of(write({**logs, "core-2": before}))
    assert "core-2: no start after the loss" in "\n".join(report.gaps())
    assert report.restart_rows()[0]["missing"] == 1
    late = [*before, *member_life(30.0, "core-2", leads=False)]
    report = report_of(write({**logs, "core-2": late}))
    assert report.gaps() == []
    assert report.restart_rows()[0]["last_start_ms"] == 10_000


def test_lacking_lines_are_gaps(write):
    """Guards against a table that looks whole although steps are unknown."""
    logs = whole_logs()
    logs["core-1"] = without(logs["core-1"], events.BECAME_LEADER)
    logs["front-1"] = without(logs["front-1"], events.START_STEP_REACHED)
    logs["front-2"] = [
        text for text in logs["front-2"] if json.loads(text)["time"] >= START_S + 20
    ]
    logs["front-2"].append(
        request(26, "front-2", first_ms=100, took_ms=100, suppressed=7)
    )
    text = "\n".join(report_of(write(logs)).gaps())
    assert "no member became the leader" in text
    assert "1 of 2 processes did not reach confirmed" in text
    assert "front-2: 7 lines of event 701 were suppressed" in text


def test_logs_that_begin_with_the_restart_lack_the_share_of_before(write):
    """Guards against a share of before that was found after the restart."""
    logs = {
        name: [text for text in lines if json.loads(text)["time"] >= START_S + 20]
        for name, lines in whole_logs().items()
    }
    report = report_of(write(logs))
    text = "\n".join(report.gaps())
    assert "the logs begin with the restart" in text
    assert "the share of before is unknown" in text
    row = report.route_rows()[0]
    assert row["share_before"] is row["recovered_ms"] is None


def test_command_prints_tables_and_exits_with_1_for_gaps(write, capsys):
    """Guards against a command that hides gaps, or fails on what it can read."""
    logs = whole_logs()
    names = write(logs)
    with pytest.raises(SystemExit) as error:
        cli.main(["recovery", *names])
    output = capsys.readouterr().out
    assert error.value.code == 0
    assert "gaps in the logs: none" in output
    with pytest.raises(SystemExit) as error:
        cli.main(["recovery", "--json", names[0]])
    tables = json.loads(capsys.readouterr().out)
    assert error.value.code == 1
    assert any("relay control" in gap for gap in tables["gaps"])
    with pytest.raises(SystemExit) as error:
        cli.main(["recovery"])
    assert error.value.code not in (0, 1)
