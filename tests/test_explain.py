"""Tests of collecting a request's log lines."""

import json
import subprocess
import sys

from wagtailrun.cli.explain import lines_of_request, read_lines
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
