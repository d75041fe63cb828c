"""Tests of the figures that a failed test keeps of its processes."""

import os
import subprocess
import sys
import threading
import time

import pytest

from tests import process_figures
from tests.process_figures import figures_on_failure, read_threads

BUSY_S = 0.3
START_S = 20


@pytest.fixture
def child():
    """Return a process that runs for a while once it is told to, then sleeps."""
    code = (
        "import time\nprint(flush=True)\ninput()\nend_s = time.process_time() + "
        f"{BUSY_S}\nwhile time.process_time() < end_s: pass\n"
        "print(flush=True)\ntime.sleep(60)"
    )
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
    with subprocess.Popen([sys.executable, "-c", code], **pipes) as process:
        process.stdout.readline()
        yield process
        process.kill()


@pytest.mark.skipif(not read_threads(os.getpid()), reason="no figures of threads")
def test_figures_tell_what_a_process_did_meanwhile(child):
    """Guards against a failure that nobody can trace: did it wait, or was it busy?"""
    with pytest.raises(TimeoutError) as caught, figures_on_failure(child.pid):
        child.stdin.write(b"\n")
        child.stdin.flush()
        child.stdout.readline()
        deadline_s = time.monotonic() + START_S
        while read_threads(child.pid)[child.pid].state != "S":
            assert time.monotonic() < deadline_s
            time.sleep(0.01)
        raise TimeoutError("no answer")
    (note,) = caught.value.__notes__
    _, _, child_line, *_ = lines = note.splitlines()
    assert lines[0].startswith("after ")
    assert child_line.startswith("  main thread: ran 0.")
    ran_s = float(child_line.split("ran ")[1].split()[0])
    assert BUSY_S <= ran_s < BUSY_S + 0.1
    assert "state S, in " in child_line
    assert any(line.startswith("the test's own process: ") for line in lines)


@pytest.mark.skipif(not read_threads(os.getpid()), reason="no figures of threads")
def test_thread_that_came_meanwhile_is_told_apart():
    """Guards against the time of a new thread that looks like that of an old one."""
    released = threading.Event()
    with pytest.raises(TimeoutError) as caught, figures_on_failure():
        thread = threading.Thread(target=released.wait)
        thread.start()
        raise TimeoutError("no answer")
    released.set()
    thread.join()
    (note,) = caught.value.__notes__
    assert f"  thread {thread.native_id} (new): ran 0." in note


def test_failure_is_told_where_no_figures_are_kept(monkeypatch, tmp_path):
    """Guards against an error of the measure that replaces that of the test."""
    monkeypatch.setattr(process_figures, "Path", lambda path: tmp_path / path[1:])
    with pytest.raises(TimeoutError) as caught, figures_on_failure(123):
        raise TimeoutError("no answer")
    (note,) = caught.value.__notes__
    assert "process 123: 0 threads, 0 others ended" in note.splitlines()


def test_process_that_ended_has_no_figures(child):
    """Guards against a failure hidden by a process that ended meanwhile."""
    with pytest.raises(TimeoutError) as caught, figures_on_failure(child.pid):
        child.kill()
        child.wait()
        raise TimeoutError("no answer")
    (note,) = caught.value.__notes__
    assert f"process {child.pid}: 0 threads, " in note
