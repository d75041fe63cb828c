"""Tests of the exit of the relay daemons."""

import fcntl
import signal
import time

import pytest

from tests.test_late_signal_processes import GRACE_S, connect, entry_process
from tests.test_start import START_S

pytestmark = pytest.mark.network

__all__ = ["entry_process"]

# The smallest pipe that Linux provides.
PIPE_BYTES = 4_096
REFUSED = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


def test_entry_whose_log_is_not_read_ends_in_its_grace_period(entry_process):
    """Guards against a planned stop that waits for the reader of the log, or aborts.

    The interpreter aborts at its end if another thread is writing to standard output.
    """
    process, address = entry_process
    fcntl.fcntl(process.stdout, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    sock = connect(address)
    for _ in range(60):
        sock.sendall(REFUSED)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 400")
    # The log is written in intervals.
    time.sleep(0.5)
    process.send_signal(signal.SIGTERM)
    sent_s = time.monotonic()
    assert process.wait(START_S) == 0
    assert time.monotonic() - sent_s < GRACE_S
