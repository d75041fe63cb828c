"""Tests of the measure of how long processes of a test stood still."""

import os
import signal
import subprocess
import time

import pytest

from tests import standstills
from tests.standstills import INTERVAL_S, StandstillWatch, is_stopped, run_delay_s

STOP_S = 10


class Processes:
    """Times of processes as the operating system would tell them."""

    def __init__(self, monkeypatch):
        self.now_s = 100.0
        self.delay_s = dict.fromkeys((1, 2), 5.0)
        self.stopped = set()
        monkeypatch.setattr(standstills.time, "monotonic", lambda: self.now_s)
        monkeypatch.setattr(standstills, "run_delay_s", self.delay_s.get)
        monkeypatch.setattr(standstills, "is_stopped", self.stopped.__contains__)
        self.watch = StandstillWatch([1, 2])

    def pass_time(self, duration_s=INTERVAL_S, **waited_s):
        """Let time pass, in which process ``pN`` waited for a processor."""
        self.now_s += duration_s
        for name, delay_s in waited_s.items():
            self.delay_s[int(name[1:])] += delay_s
        self.watch.look()


@pytest.fixture
def processes(monkeypatch):
    return Processes(monkeypatch)


def test_time_of_processes_that_run_or_wait_is_no_standstill(processes):
    """Guards against a slow program whose time is taken for that of the machine."""
    for _ in range(200):
        processes.pass_time()
    assert processes.watch.held_s(100.0, 104.0) == 0


def test_processes_that_stand_still_together_count_once(processes):
    """Guards against a bound that grows with the number of processes."""
    processes.pass_time(p1=0.015, p2=0.01)
    processes.pass_time(p2=0.005)
    assert processes.watch.held_s(100.0, 101.0) == pytest.approx(0.02)


def test_no_more_than_the_time_of_the_request_counts(processes):
    """Guards against a standstill before or after a request that excuses it."""
    processes.stopped.add(2)
    for _ in range(50):
        processes.pass_time()
    processes.stopped.clear()
    for _ in range(50):
        processes.pass_time(p1=0.1)
    processes.pass_time(1.0)
    watch = processes.watch
    assert watch.held_s(100.5, 100.8) == pytest.approx(0.3, abs=1e-6)
    assert watch.held_s(101.0, 102.0) == pytest.approx(1.0, abs=1e-6)
    # The process of the test stood still: one interval of the last second was due.
    assert watch.held_s(102.0, 103.0) == pytest.approx(1.0 - INTERVAL_S, abs=1e-6)
    processes.pass_time()
    assert watch.held_s(103.01, 104.0) == 0


def test_stopped_process_is_told_from_one_that_sleeps():
    """Guards against a sleeping process that counts as one that stands still."""
    process = subprocess.Popen(["sleep", "60"])
    try:
        assert not is_stopped(process.pid)
        process.send_signal(signal.SIGSTOP)
        end_s = time.monotonic() + STOP_S
        while not is_stopped(process.pid):
            assert time.monotonic() < end_s
            time.sleep(0.01)
        process.send_signal(signal.SIGCONT)
        while is_stopped(process.pid):
            assert time.monotonic() < end_s
            time.sleep(0.01)
    finally:
        process.kill()
        process.wait()
    assert not is_stopped(process.pid)
    assert run_delay_s(process.pid) == 0
    assert run_delay_s(os.getpid()) >= 0
