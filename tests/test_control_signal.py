"""Tests of the signals to stop that a product control process gets."""

import fcntl
import os
import signal
import socket
import subprocess
import threading
import time
from contextlib import contextmanager

import curio
import pytest

from demo.processes import Fleet, request
from tests.process_figures import figures_on_failure
from tests.test_process_exit import PIPE_BYTES
from wagtailrun.adapters.tcp_link import TcpPeerLink
from wagtailrun.control.member_stop import FORCED_END_MS
from wagtailrun.exceptions import TargetFailed
from wagtailrun.registry.messages import TextUpdate, WatchText

pytestmark = pytest.mark.network

START_S = 20.0
# Pause between the two parts of the request, and between signal and second part.
PAUSE_S = 0.3
# A message that is answered a second later, which is within the time for it.
WATCH_MS = 1_000
HEAD = b"GET /readyz HTTP/1.1\r\nHost: a\r\n"


@contextmanager
def running_member():
    """Provide the process of a lone control member, its operator address and fleet."""
    with Fleet("", ["east"], [], entries_per_centre=0, controls=1) as fleet:
        (name,) = fleet.operator_address_by_name
        address = fleet.operator_address_by_name[name]
        deadline_s = time.monotonic() + START_S
        while True:
            try:
                if request(address, "GET", "/readyz").status == 200:
                    break
            except TargetFailed:
                assert time.monotonic() < deadline_s
            time.sleep(0.05)
        yield fleet.processes_by_name[name], (address.host, address.port), fleet


@pytest.fixture
def member():
    """Return the process of a lone control member and its operator address."""
    with running_member() as (process, address, _):
        yield process, address


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_request_in_progress_is_answered_before_a_member_stops(member, number):
    """Guards against operators whose accepted requests a planned stop cuts off."""
    process, address = member
    with socket.create_connection(address) as sock:
        sock.settimeout(START_S)
        sock.sendall(HEAD)
        time.sleep(PAUSE_S)
        process.send_signal(number)
        time.sleep(PAUSE_S)
        sock.sendall(b"\r\n")
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200")
    assert process.wait(START_S) == 0


def test_second_signal_ends_a_member_at_once(member):
    """Guards against a member that only the longest request can end."""
    process, address = member
    with socket.create_connection(address) as sock:
        sock.sendall(HEAD)
        time.sleep(PAUSE_S)
        process.send_signal(signal.SIGTERM)
        time.sleep(PAUSE_S)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(1.0) == 0


def test_message_of_a_peer_is_answered_before_a_member_stops():
    """Guards against a forwarded change whose result the other member never learns."""

    async def watch(address, secret):
        link = TcpPeerLink(secret)
        return await link.call(address, WatchText(0, WATCH_MS), 2 * WATCH_MS)

    with running_member() as (process, _, fleet):
        (address,) = fleet.control_peer_by_name.values()
        secret = fleet.environment["WAGTAILRUN_PEER_SECRET"].encode()
        timer = threading.Timer(PAUSE_S, process.send_signal, [signal.SIGTERM])
        timer.start()
        update = curio.run(watch, address, secret)
        assert process.wait(START_S) == 0
        timer.join()
    assert update == TextUpdate(0)


@pytest.mark.parametrize("signals", [1, 2])
def test_member_whose_log_is_not_read_ends(monkeypatch, signals):
    """Guards against a planned stop that a blocked write to the log holds up for ever.

    Only SIGKILL, later the forced end with status 1, ended such a member.
    """
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    start = subprocess.Popen

    def start_with_pipe(*arguments, **options):
        return start(*arguments, **{**options, "stdout": writer, "stderr": writer})

    monkeypatch.setattr("demo.processes.subprocess.Popen", start_with_pipe)
    with running_member() as (process, _, _):
        os.set_blocking(writer, False)
        with pytest.raises(BlockingIOError):
            while True:
                os.write(writer, b"x")
        os.set_blocking(writer, True)
        with figures_on_failure(process.pid):
            for _ in range(signals):
                process.send_signal(signal.SIGTERM)
                time.sleep(PAUSE_S)
            limit_s = FORCED_END_MS / 1_000 if signals == 1 else 1.0
            assert process.wait(limit_s + 1.0) == 0
    os.close(reader)
    os.close(writer)
