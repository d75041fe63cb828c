"""Tests of the stop of control members while their disk does not answer."""

import signal
import time

import pytest

from tests.process_figures import figures_on_failure
from tests.test_control_signal import START_S
from tests.test_forced_end import FORCED_END_S
from tests.test_late_signal_processes import connect
from tests.test_stalled_log import NOISE, Pipes, command_of, pipes, running

pytestmark = pytest.mark.network

__all__ = ["Pipes", "pipes"]

# Shorter than FORCED_END_S, so that each signal comes before the end.
SIGNAL_PAUSE_S = 0.3
# Every sync creates the file that the variable names, and does not return.
STALLED_DISK = """
import os, sys, time
from pathlib import Path

def stall(descriptor):
    Path({marker!r}).touch()
    time.sleep(60)

os.fdatasync = stall
"""


def wait_for_file(path):
    deadline_s = time.monotonic() + START_S
    while not path.exists():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


@pytest.mark.parametrize("signals", [1, 2])
@pytest.mark.parametrize("daemon", ["control", "relay control"])
def test_member_whose_disk_and_log_stand_still_ends(daemon, signals, tmp_path, pipes):
    """Guards against a stop that waits for a disk, and then for the reader of the log.

    Together they took longer than the 1 s after which a second signal ends a member
    with status 1; beside a busy disk the stop of a sound one failed.
    """
    marker = tmp_path / "syncing"
    command, environment, address = command_of(daemon, tmp_path)
    code = STALLED_DISK.format(marker=str(marker))
    command = [part.replace(NOISE, code) for part in command]
    with running(command, environment, pipes) as process:
        wait_for_file(marker)
        connect(address).close()
        pipes.fill()
        with figures_on_failure(process.pid):
            for _ in range(signals):
                process.send_signal(signal.SIGTERM)
                time.sleep(SIGNAL_PAUSE_S)
            assert process.wait(2 * FORCED_END_S) == 0
