"""Tests of collecting a request's log lines."""

import json
import subprocess
import sys

from wagtailrun.cli.explain import lines_of_request, read_lines, steps_of_request
from wagtailrun.logs import events
from wagtailrun.logs.events import EventLog


def log_of(process, *calls):
    """Return the lines that a process writes for the given events."""
    lines = []
    log = EventLog()
    log.use_json_lines(lines.append, process)
    for event, fields in calls:
        log.log(event, **fields)
    return lines


# A request that one engine refused, and whose stream failed at the next engine.
FRONT = log_of(
    "front-1",
    (
        events.ATTEMPT_FAILED,
        {"request_id": "abc", "target": "i-1", "detail": "i-1 answered 503"},
    ),
    (events.RELAY_ENDED, {"request_id": "other", "outcome": "answered"}),
    (
        events.RELAY_ENDED,
        {
            "request_id": "abc",
            "outcome": "broken",
            "targets": ["i-1", "i-2"],
            "detail": "i-2: nothing received for 800 ms",
            "confirmation_age_ms": 210,
        },
    ),
)
POOL = log_of(
    "front-2",
    (
        events.PIECES_ABANDONED,
        {"request_id": "abc", "step": 2, "detail": "an input is gone"},
    ),
)
# The account of two of its steps.
STEPS = log_of(
    "front-2",
    (
        events.STEP_ENDED,
        {"request_id": "abc", "step": 1, "service": "s", "state": "done", "calls": 1}
        | {"fill": 0.25, "total_ms": 310, "memory_ms": 130, "calls_ms": 180},
    ),
    (
        events.PIECES_ABANDONED,
        {"request_id": "abc", "step": 0, "service": "s", "state": "gone"}
        | {"total_ms": 20, "inputs_ms": 20},
    ),
)


def test_cause_is_found_from_the_id():
    """Guards against a failed request whose lines do not include the cause."""
    found = lines_of_request("abc", [*FRONT, *POOL])
    assert sorted(line.event for line in found) == [701, 702, 711]
    text = "\n".join(line.text(found[0].time_s) for line in found)
    for cause in (
        "i-1 answered 503",
        "nothing received for 800 ms",
        "an input is gone",
    ):
        assert cause in text


def test_foreign_lines_are_passed_over():
    """Guards against a failure on lines that are not events."""
    lines = ["", "Traceback", '{"event": 1', "[1]", f"  12.5 front-1 {FRONT[0]}"]
    assert [line.event for line in read_lines(lines)] == [702]


def test_command_prints_the_way_of_a_request(tmp_path):
    """Guards against a command line that does not run the collection."""
    file = tmp_path / "front-1.log"
    file.write_text("\n".join(FRONT))
    command = [sys.executable, "-m", "wagtailrun", "explain"]
    done = subprocess.run(
        [*command, "abc", str(file)], capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr
    assert "E0701" in done.stdout
    assert json.loads(FRONT[0])["request_id"] == "abc"
    none = subprocess.run(
        [*command, "none", str(file)], capture_output=True, text=True, check=False
    )
    assert none.returncode == 1


def test_steps_are_shown_with_their_durations(tmp_path):
    """Guards against a late request of which no output says where its time went."""
    rows = steps_of_request(lines_of_request("abc", [*STEPS, *POOL]))
    assert [row["step"] for row in rows] == [0, 1, 2]
    assert (rows[1]["memory_ms"], rows[1]["calls_ms"], rows[1]["total_ms"]) == (
        130,
        180,
        310,
    )
    assert rows[1]["queued_ms"] == 0
    # An earlier version wrote no durations, which is not the same as none.
    assert rows[2]["queued_ms"] == rows[2]["total_ms"] == ""
    file = tmp_path / "front-2.log"
    file.write_text("\n".join(STEPS))
    command = [sys.executable, "-m", "wagtailrun", "explain", "abc", str(file)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    header, first, second = done.stdout.split("\n\n")[1].splitlines()[1:]
    assert "memory_ms" in header
    assert first.split()[:2] == ["0", "s"]
    assert "130" in second.split()


def test_log_of_more_than_four_megabytes_is_read_to_its_end(tmp_path):
    """Guards against an explanation from the first part of a long log only."""
    file = tmp_path / "front.log"
    foreign = FRONT[1] + "\n"
    repeats = 5 * 1024 * 1024 // len(foreign)
    file.write_text(foreign * repeats + FRONT[0] + "\n")
    command = [sys.executable, "-m", "wagtailrun", "explain", "abc", str(file)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert "i-1 answered 503" in done.stdout
