"""Tests of the signals to a product daemon that stands still, or stood still."""

import json
import re
import signal
import subprocess
import sys
import time

import pytest

from tests.test_control_signal import START_S
from tests.test_late_signal_processes import HALF, connect, stop_while_still
from tests.test_stalled_log import NOISE, Pipes, command_of, pipes, running
from wagtailrun.control.member_stop import STOP_LIMIT_MS

pytestmark = pytest.mark.network

__all__ = ["Pipes", "pipes"]

FORCED_END_S = 1.0
SCHEDULING_S = 0.5
# Shorter than FORCED_END_S, so that each signal comes before the end.
SIGNAL_PAUSE_S = 0.3
LIMIT_S = 6.0
# A drain that holds the event loop, as a disk does that does not answer.
STANDS_STILL = f"""
import time
import curio
from wagtailrun.clock import SystemClock
from wagtailrun.stopping.signalled_drain import SignalledDrain
from wagtailrun.stopping.signals import StopSignals

async def stand_still():
    print("draining", flush=True)
    while True:
        time.sleep(60)

async def main():
    clock = SystemClock()
    signals = StopSignals(clock, forced_end_ms={int(LIMIT_S * 1_000)})
    drain = SignalledDrain(clock, "a", signals, stand_still)
    task = await curio.spawn(drain.run)
    await curio.sleep(0.1)
    print("ready", flush=True)
    await task.join()

curio.run(main)
"""


@pytest.fixture
def still_process():
    """Return a process that stands still in its drain, and when that was signalled."""
    process = subprocess.Popen(
        [sys.executable, "-c", STANDS_STILL], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout.readline() == "ready\n"
    process.send_signal(signal.SIGTERM)
    sent_s = time.monotonic()
    assert process.stdout.readline() == "draining\n"
    yield process, sent_s
    process.kill()
    process.communicate()


def signal_until_end(process, limit_s):
    """Send signals in series; return after how many seconds the process ended."""
    started_s = time.monotonic()
    while process.poll() is None and time.monotonic() - started_s < limit_s:
        process.send_signal(signal.SIGTERM)
        time.sleep(SIGNAL_PAUSE_S)
    assert process.poll() == 1
    return time.monotonic() - started_s


def test_signals_in_series_do_not_put_off_the_end(still_process):
    """Guards against a third signal that renews the second that the second one set."""
    process, _ = still_process
    limit_s = FORCED_END_S + SIGNAL_PAUSE_S + SCHEDULING_S
    assert signal_until_end(process, 2 * limit_s) < limit_s


def test_second_signal_does_not_put_off_the_end(still_process):
    """Guards against a second signal, shortly before the end, that grants a second."""
    process, sent_s = still_process
    time.sleep(LIMIT_S - 0.4 - (time.monotonic() - sent_s))
    process.send_signal(signal.SIGTERM)
    assert process.wait(START_S) == 1
    assert time.monotonic() - sent_s < LIMIT_S + 0.4


@pytest.mark.parametrize("daemon", ["entry", "control"])
def test_stop_of_a_process_that_stood_still_counts_from_its_signal(
    daemon, tmp_path, pipes
):
    """Guards against a stop that lasts its whole limit after a late signal.

    The platform counts from when it sent the signal, and would kill the process.
    """
    still_s = 2.5
    command, environment, address = command_of(daemon, tmp_path)
    command = [part.replace(NOISE, "import sys") for part in command]
    limit_s = 4.0 if daemon == "entry" else STOP_LIMIT_MS / 1_000
    if daemon == "entry":
        command.append(f"--drain-limit-ms={int(limit_s * 1_000)}")
    with running(command, environment, pipes) as process, connect(address) as sock:
        sock.sendall(HALF)
        time.sleep(1.0)
        sent_s = stop_while_still(process, still_s)
        assert process.wait(START_S) == 0
        took_s = time.monotonic() - sent_s
        _, errors = pipes.read()
    assert took_s < limit_s + 2 * SCHEDULING_S
    (started,) = re.findall(r" E0102 .*?(\{.*\})", errors)
    late_ms = json.loads(started)["late_ms"]
    assert still_s * 1_000 - 100 <= late_ms <= (still_s + 0.2 + SCHEDULING_S) * 1_000
