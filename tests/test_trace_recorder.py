"""Tests of the trace recorder."""

import json
import os

import curio
import pytest

from tests.test_caller_api import FLEET
from wagtailrun.clock import SystemClock
from wagtailrun.logs import events
from wagtailrun.observation.trace_recorder import MAX_BUFFERED_RECORDS, TraceRecorder
from wagtailrun.ports.link import Address
from wagtailrun.replay.player import replay
from wagtailrun.replay.trace_lines import parse_lines
from wagtailrun.targets.table import TargetRow


def test_recorded_trace_can_be_replayed(tmp_path):
    """Guards against a trace that the replay cannot read, or that has contents."""
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


def make_recorder(path, targets=list):
    return TraceRecorder(
        str(path), SystemClock(), "entry", "east", lambda: FLEET, targets
    )


def record_once(recorder):
    fields = {"pipeline": "stockist-query", "prompt_chars": 1, "output": 1}
    recorder.record_arrival(recorder.started_ms, "stockists", **fields)
    curio.run(recorder.flush)


def all_targets():
    return [
        TargetRow(name, Address("127.0.0.1", 1), name, "east")
        for name in FLEET.services_by_name
    ]


@pytest.mark.parametrize("cut", [1, 10, 200_000])
def test_trace_of_a_process_that_ended_in_a_write_goes_on(tmp_path, cut):
    """Guards against a later header behind an unfinished line, which no replay reads.

    ``cut`` bytes of a line of 200 KB are missing, or all but the first ones. If only
    the line break is, the record is kept.
    """
    path = tmp_path / "trace.jsonl"
    record_once(make_recorder(path, all_targets))
    record = {"kind": "arrival", "at": 0, "workspace": "stockists"}
    record |= {"data_centre": "east", "key": "k" * 200_000}
    record |= {"pipeline": "stockist-query", "prompt": 1, "output": 1}
    line = json.dumps(record) + "\n"
    whole = path.read_text()
    path.write_text(whole + line[:-cut])
    for _ in range(2):
        record_once(make_recorder(path, all_targets))
    assert path.read_text().startswith(whole + line[:-cut] + "\n")
    lines = parse_lines(path.read_text().splitlines())
    kinds = [each.value["kind"] for each in lines]
    kept = ["arrival"] if cut == 1 else []
    assert kinds == ["header", "arrival", *kept, *(2 * ["header", "arrival"])]
    assert replay(path).complete == 3 + len(kept)


@pytest.mark.parametrize("cut", [1, 10, 200_000])
@pytest.mark.parametrize("records", [0, 1, 2])
def test_trace_of_two_processes_outlives_one_that_ends_in_a_write(
    tmp_path, cut, records
):
    """Guards against a part of a line that the other process writes on behind.

    That one has written its header, and ``records`` more since. The replay skipped only
    parts that a header follows.
    """
    path = tmp_path / "trace.jsonl"
    other = make_recorder(path, all_targets)
    for _ in range(1 + records):
        record_once(other)
    whole = path.read_text()
    record = {"kind": "arrival", "at": 0, "workspace": "stockists"}
    record |= {"data_centre": "east", "key": "k" * 200_000}
    record |= {"pipeline": "stockist-query", "prompt": 1, "output": 1}
    line = json.dumps(record) + "\n"
    path.write_text(whole + line[:-cut])
    for _ in range(3):
        record_once(other)
    assert path.read_text().startswith(whole + line[:-cut] + "\n")
    lines = parse_lines(path.read_text().splitlines())
    kinds = [each.value["kind"] for each in lines]
    kept = ["arrival"] if cut == 1 else []
    before = ["header", "arrival"] + ["arrival"] * records
    assert kinds == [*before, *kept, "header", *(3 * ["arrival"])]
    assert replay(path).complete == 4 + records + len(kept)


def test_unfinished_lines_are_counted(tmp_path, monkeypatch):
    """Guards against records that the replay leaves out without a word."""
    path = tmp_path / "trace.jsonl"
    record_once(make_recorder(path, all_targets))
    path.write_text(path.read_text() + '{"kind": "arr\n{"kin')
    record_once(make_recorder(path, all_targets))
    logged = []
    monkeypatch.setattr(events, "log", lambda *event, **fields: logged.append(fields))
    assert replay(path).complete == 2
    assert {"lines": 2} in logged


@pytest.mark.parametrize("end", ["", '{"kind": "arrival"}\n'])
def test_line_that_no_header_follows_is_a_fault(tmp_path, end):
    """Guards against a replay that skips the damaged lines of a trace."""
    path = tmp_path / "trace.jsonl"
    record_once(make_recorder(path, all_targets))
    path.write_text(path.read_text() + '{"kind": "arr\n' + end)
    with pytest.raises(json.JSONDecodeError):
        replay(path)


def test_processes_with_one_trace_keep_the_lines_of_each_other(tmp_path):
    """Guards against a process that removes what another one is writing.

    The line of the other process is unfinished at each write of this one.
    """
    path = tmp_path / "trace.jsonl"
    recorder = make_recorder(path)
    record_once(recorder)
    line = json.dumps({"kind": "arrival", "key": "k" * 400_000}) + "\n"
    for _ in range(2):
        with path.open("a") as file:
            file.write(line[:-10])
            file.flush()
            record_once(recorder)
            file.write(line[-10:])
    record_once(make_recorder(path))
    assert path.read_text().count(line[:-10]) == 2


def test_failed_write_keeps_the_lines_of_another_process(tmp_path, monkeypatch):
    """Guards against lines of another process behind a part that is taken back."""
    path = tmp_path / "trace.jsonl"
    recorder = make_recorder(path)
    record_once(recorder)
    real = os.write

    def write(descriptor, data):
        if os.readlink(f"/proc/self/fd/{descriptor}") != str(path):
            return real(descriptor, data)
        real(descriptor, b'{"kind": "other"}\n')
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", write)
        record_once(recorder)
    assert path.read_text().endswith('{"kind": "other"}\n')


@pytest.mark.parametrize("text", ["notes", "a\nb", '{"kind": "header"}'])
def test_file_without_a_line_break_at_its_end_loses_nothing(tmp_path, text):
    """Guards against a file that is emptied as it is no trace, or was edited."""
    path = tmp_path / "trace.jsonl"
    path.write_text(text)
    record_once(make_recorder(path))
    assert path.read_text().startswith(text + '\n{"kind": "header"')


def test_memory_is_bounded(tmp_path):
    """Guards against unbounded memory while there is no fleet configuration."""
    path = str(tmp_path / "trace.jsonl")
    recorder = TraceRecorder(path, SystemClock(), "e", "d", lambda: None, list)
    for _ in range(MAX_BUFFERED_RECORDS + 5):
        recorder.record_arrival(0, "stockists", pipeline="p", prompt_chars=1, output=1)
    assert (len(recorder.records), recorder.dropped) == (MAX_BUFFERED_RECORDS, 5)


@pytest.mark.parametrize("written", [0, 5])
def test_full_disk_neither_ends_the_recorder_nor_damages_the_trace(
    tmp_path, monkeypatch, written
):
    """Guards against an entry that ends because the disk of its trace is full.

    ``written`` bytes fit before the disk is full.
    """
    path = tmp_path / "trace.jsonl"
    room = [1_000_000]
    real = os.write

    def write(descriptor, data):
        if os.readlink(f"/proc/self/fd/{descriptor}") != str(path):
            return real(descriptor, data)
        if not room[0]:
            raise OSError(28, "No space left on device")
        count = real(descriptor, data[: room[0]])
        room[0] -= count
        return count

    monkeypatch.setattr(os, "write", write)
    recorder = TraceRecorder(
        str(path), SystemClock(), "entry", "east", lambda: FLEET, list
    )

    async def record():
        fields = {"pipeline": "p", "prompt_chars": 1, "output": 1}
        recorder.record_arrival(recorder.started_ms, "stockists", **fields)
        await recorder.flush()

    async def main():
        await record()
        size = path.stat().st_size
        room[0] = written
        await record()
        await record()
        assert path.stat().st_size == size
        room[0] = 1_000_000
        await record()

    curio.run(main)
    kinds = [json.loads(line)["kind"] for line in path.read_text().splitlines()]
    assert kinds == ["header"] + 4 * ["arrival"]
    assert recorder.dropped == 0


def test_memory_is_bounded_while_the_disk_is_full(tmp_path):
    """Guards against records that pile up for as long as a disk is full."""
    path = str(tmp_path / "missing" / "trace.jsonl")
    recorder = TraceRecorder(path, SystemClock(), "e", "d", lambda: FLEET, list)

    async def main():
        for _ in range(3):
            for _ in range(MAX_BUFFERED_RECORDS):
                recorder.record_arrival(0, "stockists", pipeline="p", output=1)
            await recorder.flush()

    curio.run(main)
    assert len(recorder.records) == MAX_BUFFERED_RECORDS
    assert recorder.dropped == 2 * MAX_BUFFERED_RECORDS
