"""Tests that writing log lines never blocks on their reader."""

import io
import json
import subprocess
import sys
import threading
import time

from wagtailrun.logs import events
from wagtailrun.logs.events import EventLog
from wagtailrun.logs.line_writer import MAX_QUEUED_LINES, WRITE_INTERVAL_S, LineWriter


class StalledReader:
    """A stream whose writes block until the reader is released."""

    def __init__(self):
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.released.wait(10)
        self.text += text

    def flush(self):
        pass


def test_reader_that_stands_still_holds_up_nobody():
    """Guards against requests that block on a full pipe."""
    stream = StalledReader()
    writer = LineWriter(stream)
    writer.start()
    writer.put("first")
    time.sleep(0.3)
    started_s = time.monotonic()
    for _ in range(MAX_QUEUED_LINES + 50):
        writer.put("line")
    assert time.monotonic() - started_s < 1.0
    assert writer.dropped == 50
    stream.released.set()
    writer.stop()
    assert "dropped_lines" in stream.text
    assert stream.text.count("line\n") == MAX_QUEUED_LINES


class FullDisk:
    """A stream on a disk that is full for the first writes, with a part written."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.text = ""

    def write(self, text):
        if self.refusals:
            self.refusals -= 1
            self.text += text[:3]
            raise OSError(28, "No space left on device")
        self.text += text

    def flush(self):
        pass


def test_log_goes_on_after_its_disk_was_full():
    """Guards against a process without a log until its restart."""
    stream = FullDisk(refusals=2)
    writer = LineWriter(stream)
    writer.start()
    for number in range(4):
        writer.put(f"line {number}")
        time.sleep(2 * WRITE_INTERVAL_S)
    writer.stop()
    lines = stream.text.split("\n")
    assert "line 2" in lines
    assert "line 3" in lines
    assert '{"dropped_lines": 2}' in lines


def test_event_becomes_one_json_object():
    """Guards against lines that operators' tools cannot parse."""
    stream = io.StringIO()
    writer = LineWriter(stream)
    writer.start()
    log = EventLog()
    log.use_json_lines(writer.put, "front-1")
    log.log(events.RELAY_ENDED, request_id="abc", outcome="answered", secret="x")
    writer.stop()
    line = json.loads(stream.getvalue())
    assert (line["event"], line["process"]) == (701, "front-1")
    assert (line["request_id"], line["secret"]) == ("abc", "(hidden)")


def test_volume_is_bounded_and_what_is_left_out_is_counted():
    """Guards against a log volume that grows with the rate of requests."""
    lines, now_s = [], [0.0]
    log = EventLog(now_s=lambda: now_s[0])
    log.use_json_lines(lines.append, "front-1")
    for _ in range(200):
        log.log(events.RELAY_ENDED, request_id="abc")
    assert len(lines) == events.REQUEST_LINES_PER_SECOND
    now_s[0] = 1.5
    log.log(events.RELAY_ENDED, request_id="abc")
    assert json.loads(lines[-1])["suppressed"] == 200 - events.REQUEST_LINES_PER_SECOND


def test_line_may_be_put_while_another_one_is_put():
    """Guards against a finalizer that logs, and holds the thread that it interrupts.

    A signal handler interrupts it in the same places, and more often.
    """
    code = (
        "import signal, time\n"
        "from wagtailrun.logs import line_writer\n"
        "line_writer.WRITE_INTERVAL_S = 0.0\n"
        "writer = line_writer.LineWriter()\n"
        "writer.start()\n"
        "signal.signal(signal.SIGALRM, lambda *_: writer.put('handler'))\n"
        "signal.setitimer(signal.ITIMER_REAL, 1e-4, 1e-4)\n"
        "end_s = time.monotonic() + 2.0\n"
        "while time.monotonic() < end_s:\n"
        "    writer.put('line')\n"
        "signal.setitimer(signal.ITIMER_REAL, 0)\n"
        "writer.stop()\n"
    )
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, capture_output=True, text=True, timeout=20)
    assert done.returncode == 0, done.stderr[-1_000:]
    assert {"handler", "line"} <= set(done.stdout.split("\n"))
