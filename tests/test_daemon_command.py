"""Tests of the commands that run the product's daemons."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
END_S = 30
# A daemon that a fault ends. The reader of its log pauses as the first of its two lines
# is written, and goes on as the process has waited for it long enough. Writes come
# through in the order in which they began, as on a pipe.
PAUSED_READER = """
import itertools, json, os, sys, threading, types
from absl import flags, logging
import attrs
from wagtailrun.cli.daemon_command import make_daemon_command
from wagtailrun.exceptions import SettingsError
from wagtailrun.logs import events
from wagtailrun.logs.line_writer import LineWriter

class Pipe:
    def __init__(self):
        self.texts, self.begun, self.is_read = [], itertools.count(), False
        self.changed = threading.Condition()
        self.has_begun = threading.Event()

    def write(self, text):
        with self.changed:
            number = next(self.begun)
            self.has_begun.set()
            self.changed.wait_for(lambda: self.is_read and len(self.texts) == number)
            self.texts.append(text)
            self.changed.notify_all()

    def flush(self):
        pass

    def read(self):
        with self.changed:
            self.is_read = True
            self.changed.notify_all()

pipe = sys.stderr = sys.__stderr__ = Pipe()
exit, start_writer, threads = os._exit, LineWriter.start, []

def start(self):
    threads.append(self.thread)
    start_writer(self)

def end(status):
    pipe.read()
    for thread in threads:
        thread.join()
    os.write(1, json.dumps([status, "".join(pipe.texts)]).encode())
    exit(0)

async def run_test(settings):
    events.log(events.PROCESS_STARTED, name="first")
    pipe.has_begun.wait()
    events.log(events.PROCESS_STOPPED, name="second")
    raise ERROR

os._exit, LineWriter.start = end, start
sys.modules["module"] = types.SimpleNamespace(run_test=run_test)
flags.FLAGS(["test"])
logging.set_verbosity(logging.INFO)
make_daemon_command("test", attrs.make_class("Settings", []), "module", "Test.")()
"""


@pytest.mark.parametrize(
    ("error", "status", "last_line"),
    [
        ("SettingsError('cannot listen')", 2, "wagtailrun: cannot listen"),
        ("ValueError('a fault')", 1, "ValueError: a fault"),
    ],
)
def test_reason_of_the_end_comes_behind_lines_that_wait(error, status, last_line):
    """Guards against a log that ends with older lines, not with why the daemon ended.

    The reason had a writer of its own, which did not wait for that of the log when the
    reader had paused for half a second.
    """
    code = PAUSED_READER.replace("ERROR", error)
    command = [sys.executable, "-c", code]
    output = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=END_S)
    ended_with, text = json.loads(output.stdout)
    lines = text.splitlines()
    assert (ended_with, lines[-1]) == (status, last_line)
    assert [name for name in ("first", "second") if f'"{name}"' in text] == [
        "first",
        "second",
    ]
