"""Tests of the event log."""

import json
from pathlib import Path

import pytest

from wagtailrun.logs import events

PAGE = Path(__file__).parent.parent / "docs" / "events.md"


class Lines:
    """Collects log lines; the test sets the time."""

    def __init__(self):
        self.now_s = 0.0
        self.lines = []
        self.log = events.EventLog(self.write, lambda: self.now_s)

    def write(self, level, text, *arguments):
        self.lines.append(text % arguments)

    def fields(self):
        return [json.loads(line[line.index("{") :]) for line in self.lines]


def test_repeated_events_are_limited_and_counted():
    """Guards against bursts that fill the log, and lines suppressed uncounted."""
    lines = Lines()
    for step in range(2_001):
        lines.now_s = step / 1_000
        lines.log.log(events.HANDLER_FAILED, request_id=f"r-{step}")
    lines.log.log(events.DRAIN_STARTED)
    lines.log.log(events.HANDLER_FAILED)
    lines.log.flush()
    suppressed = [fields.get("suppressed") for fields in lines.fields()]
    assert suppressed == [None, 999, 999, None, 1]
    assert lines.fields()[1]["request_id"] == "r-1000"
    assert lines.log.counts_by_number[events.HANDLER_FAILED.number] == 2_002


@pytest.mark.parametrize("text", ["x", '"', "\u00e9", "\ud800", "\U0001f600", "\0"])
@pytest.mark.parametrize("process", ["", "front-1"])
def test_line_with_long_texts_of_others_is_json(text, process):
    """Guards against a line that no reader of the log can parse."""
    lines = Lines()
    if process:
        lines.log.use_json_lines(lines.lines.append, process)
    long = text * 5_000
    lines.log.log(
        events.RELAY_ENDED,
        request_id=long,
        route=long,
        targets=[long] * 100,
        share=float("nan"),
        status=200,
    )

    def refuse(constant):
        raise ValueError(constant)

    (line,) = lines.lines
    fields = json.loads(line[line.index("{") :], parse_constant=refuse)
    assert len(line) < 4_200
    assert fields["status"] == 200
    assert len(fields["request_id"]) >= 5


def test_changes_of_state_are_never_suppressed():
    """Guards against a membership change that is missing in the log."""
    lines = Lines()
    for voters in ([], ["a"], ["a", "b"]):
        lines.log.log(events.CLUSTER_MEMBERSHIP_CHANGED, members=voters)
    assert [fields["members"] for fields in lines.fields()] == [[], ["a"], ["a", "b"]]


def test_secrets_and_bodies_are_never_written():
    """Guards against a secret in a log file."""
    lines = Lines()
    lines.log.log(
        events.HANDLER_FAILED,
        peer_secret="0123456789abcdef",
        request_body={"a": "0123456789abcdef"},
        data=b"0123456789abcdef",
        detail="x" * 5_000,
    )
    assert "0123456789abcdef" not in lines.lines[0]
    assert len(lines.lines[0]) < 1_000


def test_secrets_are_hidden_in_every_line():
    """Guards against a secret in a later line, as whether to hide it is remembered."""
    lines = Lines()
    for number in range(1_000):
        lines.now_s = number
        names = {f"name_{number}": "shown", f"Peer_SECRET_{number}": "hide"}
        fields = {**names, "detail": "shown", "api_credential": "hide", "rows": names}
        lines.log.log(events.HANDLER_FAILED, **fields)
    assert len(lines.lines) == 1_000
    assert all("hide" not in line for line in lines.lines)
    assert all(line.count("shown") == 3 for line in lines.lines)


def test_catalogue_lists_exactly_the_events():
    """Guards against a catalogue page that differs from the code."""
    rows = [
        line for line in PAGE.read_text("utf-8").splitlines() if line[2:3].isdigit()
    ]
    assert rows == events.catalogue_rows()
