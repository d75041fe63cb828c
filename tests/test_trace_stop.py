"""Tests of the trace file in a planned stop."""

import json
import threading

import curio
import pytest

from tests.stopping_entries import make_product_entry as make_entry
from tests.test_caller_api import FLEET
from wagtailrun.clock import SystemClock
from wagtailrun.logs import events
from wagtailrun.observation.trace_recorder import TraceRecorder
from wagtailrun.serving.entry_stop import TRACE_TIMEOUT_MS

pytestmark = pytest.mark.network


@pytest.fixture
def recorder(tmp_path):
    """Return a recorder with a file in a folder of this test."""
    path = str(tmp_path / "trace.jsonl")
    return TraceRecorder(path, SystemClock(), "e", "a", lambda: FLEET, list)


def record(recorder):
    """Record a request that ends now."""
    fields = {"pipeline": "p", "prompt_chars": 1, "output": 1}
    recorder.record_arrival(recorder.clock.now_ms(), "stockists", **fields)


def kinds(recorder):
    """Return the kinds of the records in the file."""
    return [json.loads(line)["kind"] for line in recorder.path.read_text().splitlines()]


def stop_entry(recorder, stop_signal, disk_answers=None):
    """Run the drain of an entry with this recorder; return how long it took.

    A write that waits for ``disk_answers`` goes on after the drain.
    """
    entry = make_entry(500)
    entry.trace = entry.planned_stop.entry.trace = recorder

    async def hand_over(timeout_ms):
        # A request may end while the entry stops.
        record(recorder)

    async def main():
        entry.accounts.hand_over_all = hand_over
        await curio.spawn(entry.caller_server.serve, daemon=True)
        await curio.sleep(0.05)
        entry.signals.install()
        stop_signal()
        started_ms = entry.clock.now_ms()
        await entry.planned_stop.run()
        took_ms = entry.clock.now_ms() - started_ms
        if disk_answers is not None:
            disk_answers.set()
            await curio.sleep(0.1)
        return took_ms

    return curio.run(main)


def test_planned_stop_writes_the_last_records(recorder, stop_signal):
    """Guards against a trace without the last second before a stop."""
    record(recorder)
    stop_entry(recorder, stop_signal)
    assert kinds(recorder) == ["header", "arrival", "arrival"]


def test_disk_that_does_not_answer_does_not_hold_a_stop(recorder, stop_signal, logged):
    """Guards against a stop that waits for the disk, and against silent losses."""
    answers = threading.Event()
    recorder._append = lambda *data: answers.wait(10)
    record(recorder)
    took_ms = stop_entry(recorder, stop_signal, answers)
    assert took_ms < TRACE_TIMEOUT_MS + 1_000
    (fields,) = [
        fields for event, fields in logged if event is events.TRACE_NOT_WRITTEN
    ]
    assert fields["lost"] == 2


def test_records_of_two_writes_at_a_time_follow_one_header(recorder):
    """Guards against a stop during the first write, which repeats the header."""
    may_write = threading.Event()
    append = recorder._append

    def append_later(*data):
        may_write.wait(10)
        return append(*data)

    recorder._append = append_later

    async def main():
        record(recorder)
        first = await curio.spawn(recorder.flush)
        await curio.sleep(0.05)
        record(recorder)
        second = await curio.spawn(recorder.flush)
        await curio.sleep(0.05)
        may_write.set()
        await first.join()
        await second.join()

    curio.run(main)
    assert kinds(recorder) == ["header", "arrival", "arrival"]
