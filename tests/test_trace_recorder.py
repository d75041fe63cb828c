"""Tests of recorded traces."""

import json

import curio

from tests.test_caller_api import FLEET
from wagtailrun.clock import SystemClock
from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import Address
from wagtailrun.replay import replay
from wagtailrun.trace_recorder import MAX_BUFFERED, TraceRecorder


def test_recorded_trace_can_be_replayed(tmp_path):
    """Guards against a recording that the replay cannot read, or that holds texts."""
    path = tmp_path / "trace.jsonl"
    targets = [
        TargetRow(name, Address("127.0.0.1", 1), name, "east")
        for name in FLEET.services_by_name
    ]
    recorder = TraceRecorder(
        str(path), SystemClock(), "entry", "east", lambda: FLEET, lambda: targets
    )
    start_ms = recorder.started_ms
    for number in range(20):
        fields = {"pipeline": "stockist-query", "prompt_chars": 400, "output": 10}
        recorder.record_arrival(start_ms + 50 * number, "stockists", **fields)
    call = {"service": "dispatch-desk", "call": "book-dispatch", "key": "k"}
    recorder.record_arrival(start_ms + 2_000, "mill-clerks", **call)
    curio.run(recorder.flush)
    lines = path.read_text().splitlines()
    assert json.loads(lines[0])["kind"] == "header"
    assert len(lines) == 22
    report = replay(path)
    assert (report.requests, report.complete) == (21, 21)


def test_memory_is_bounded(tmp_path):
    """Guards against a recorder that fills the memory while no text is known."""
    path = str(tmp_path / "trace.jsonl")
    recorder = TraceRecorder(path, SystemClock(), "e", "d", lambda: None, list)
    for _ in range(MAX_BUFFERED + 5):
        recorder.record_arrival(0, "stockists", pipeline="p", prompt_chars=1, output=1)
    assert (len(recorder.lines), recorder.dropped) == (MAX_BUFFERED, 5)
