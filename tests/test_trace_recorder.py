"""Tests of the trace recorder."""

import json
import os

import curio
import pytest

from tests.test_caller_api import FLEET
from wagtailrun.clock import SystemClock
from wagtailrun.observation.trace_recorder import MAX_BUFFERED_RECORDS, TraceRecorder
from wagtailrun.ports.link import Address
from wagtailrun.replay.player import replay
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


@pytest.mark.parametrize("cut", [1, 10, 200_000])
def test_trace_of_a_process_that_ended_in_a_write_goes_on(tmp_path, cut):
    """Guards against a later header behind an unfinished line, which no replay reads.

    ``cut`` bytes of a line of 200 KB are missing, or all that were written.
    """
    path = tmp_path / "trace.jsonl"
    record = {"kind": "arrival", "at": 0, "workspace": "w", "call": "c" * 200_000}
    line = json.dumps(record) + "\n"
    path.write_text("{}\n" + line[:-cut])

    def recorder():
        return TraceRecorder(
            str(path), SystemClock(), "entry", "east", lambda: FLEET, list
        )

    for each in (recorder(), recorder()):
        each.record_arrival(0, "stockists", pipeline="p", prompt_chars=1, output=1)
        curio.run(each.flush)
    lines = [json.loads(text) for text in path.read_text().splitlines()]
    kinds = [each.get("kind") for each in lines]
    assert kinds == [None, "header", "arrival", "header", "arrival"]


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
