"""Tests of entry processes that handle the signal to stop late."""

import json
import signal
import socket
import time

import curio
import pytest

from demo.processes import free_addresses
from tests.stopping_entries import make_relay_entry as make_entry
from tests.test_start import PLAIN, START_S, render, start
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.relay.entry_stop import EXIT_MARGIN_MS
from wagtailrun.stopping.signals import SIGNAL_POLL_MS
from wagtailrun.virtual_time import VirtualClock

pytestmark = pytest.mark.network

GRACE_S = 4.0
# For how long a call holds the event loop, in all and before the signal is sent.
HELD_S = 1.0
BEFORE_SIGNAL_S = 0.2
HALF = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"


@pytest.fixture
def entry_process(tmp_path):
    """Return a running entry without control members, and its caller address."""
    addresses = free_addresses(4)
    host = addresses[0].host
    caller, ready, peer, metrics = (each.port for each in addresses)
    values = {
        **PLAIN,
        "ip": host,
        "listen.front": f"{host}:{caller}",
        "listen.ready": f"{host}:{ready}",
        "listen.control": f"{host}:{metrics}",
        "internal_ports.0": str(peer),
        "seeds": "127.0.0.1:1",
        "bounds.grace_s": str(GRACE_S),
    }
    file = tmp_path / "entry.env"
    file.write_text(render("entry", values))
    process = start("entry", file)
    process.stdout.readline()
    yield process, (host, caller)
    if process.poll() is None:
        process.kill()
        process.communicate()


def connect(address):
    """Return a connection to a process that may still be starting."""
    deadline_s = time.monotonic() + START_S
    while True:
        try:
            sock = socket.create_connection(address)
            break
        except ConnectionRefusedError:
            assert time.monotonic() < deadline_s
            time.sleep(0.02)
    sock.settimeout(START_S)
    return sock


def stop_while_still(process, still_s):
    """Send SIGTERM to a process that stands still for a while; return when."""
    process.send_signal(signal.SIGSTOP)
    time.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    sent_s = time.monotonic()
    time.sleep(still_s)
    process.send_signal(signal.SIGCONT)
    return sent_s


@pytest.mark.parametrize("still_s", [2.8, 3.8])
def test_process_that_stood_still_keeps_the_end_of_its_grace_period(
    entry_process, still_s
):
    """Guards against a stop that counts from when a late signal is handled.

    The platform counts from when it sent the signal, and would kill the process with
    the requests that it has taken.
    """
    process, address = entry_process
    sock = connect(address)
    sock.sendall(HALF)
    time.sleep(0.3)
    sent_s = stop_while_still(process, still_s)
    answer = sock.recv(65_536)
    answered_s = time.monotonic() - sent_s
    output, _ = process.communicate(timeout=START_S)
    ended_s = time.monotonic() - sent_s
    assert answer.startswith(b"HTTP/1.1 503")
    assert answered_s < GRACE_S
    assert ended_s < GRACE_S + 0.5
    lines = [json.loads(line) for line in output.splitlines()]
    (started,) = [line for line in lines if line["event"] == 102]
    assert still_s * 1_000 <= started["late_ms"]


def test_held_event_loop_does_not_delay_the_end_of_the_grace_period(stop_signal):
    """Guards against a stop that counts from the end of a long call in C.

    Python handles signals between its own instructions only; here the signal is blocked
    in the meantime, which takes virtual time.
    """
    clock = VirtualClock()
    entry = make_entry(grace_s=3, drain_notice_ms=0)

    def hold_event_loop():
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])
        clock.seconds += BEFORE_SIGNAL_S
        sent_ms = clock.now_ms()
        stop_signal()
        clock.seconds += HELD_S - BEFORE_SIGNAL_S
        assert not entry.signals.is_stopping
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGTERM])
        return sent_ms

    async def main():
        entry.signals.install()
        task = await curio.spawn(entry._stop_on_signal)
        await curio.sleep(0.5)
        sent_ms = hold_event_loop()
        held_ms = entry.signals.handled_ms - sent_ms
        while entry.handler.stop is None:
            await curio.sleep(0.001)
        # The end of the process replaces it.
        plan = entry.handler.stop
        await task.join()
        return plan.ends_ms - sent_ms, held_ms

    ends_ms, held_ms = run_with_virtual_sockets(main, clock)
    assert held_ms == 800
    assert ends_ms <= 3_000 - EXIT_MARGIN_MS + SIGNAL_POLL_MS
