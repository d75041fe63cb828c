"""Tests of the time that a stop leaves between its last refusals and the kill."""

import curio
import pytest

from tests.stopping_entries import (
    StoppingProductEntry,
    StoppingRelayEntry,
    both_entries,
)
from tests.test_http_server import GOOD
from tests.test_server_close import connect
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.virtual_time import VirtualClock

# What a clock that runs slow by a tenth shows of a second.
SLOW_CLOCK_RATE = 0.9
REQUESTS = {"whole": GOOD, "half": GOOD[:-1]}
# The product's entry refuses half a request as its limit is over, and a server in any
# case after 30 s.
LIMITS_S = [
    *((StoppingRelayEntry, limit_s) for limit_s in (0.8, 2, 4, 8, 30)),
    *((StoppingProductEntry, limit_s) for limit_s in (0.8, 2, 4, 8, 25)),
]


def run_stop(make, limit_s, stop_signal, data, held_at_s=None, held_s=0):
    """Return when a refusal arrives, and when the kill comes, in ms after the signal.

    Args:
        make: Makes the entry.
        limit_s: Grace period, or drain limit, in seconds.
        stop_signal: Sends the signal.
        data: Bytes that the caller sends; a whole request is at a silent target.
        held_at_s: When the loop is held, in seconds after the signal.
        held_s: For how long, in seconds.
    """
    clock = VirtualClock()
    entry = make(limit_s * MS_PER_SECOND)
    entry.signals.install()

    async def handle(request):
        return await entry.run_request(lambda: curio.sleep(600))

    async def main():
        entry.server.handler = handle
        await curio.spawn(entry.server.serve, daemon=True)
        stopping = await curio.spawn(entry.run)
        await curio.sleep(0.2)
        sock = await connect(entry.caller, data)
        await curio.sleep(0.05)
        started_ms = clock.now_ms()

        async def answered_ms():
            answer = await sock.recv(65_536)
            assert answer.startswith(b"HTTP/1.1 503")
            return clock.now_ms() - started_ms

        reader = await curio.spawn(answered_ms)
        stop_signal()
        if held_at_s is not None:
            await curio.sleep(held_at_s)
            clock.seconds += held_s
        took_ms = await reader.join()
        await stopping.cancel()
        return took_ms, entry.kill_ms

    return run_with_virtual_sockets(main, clock)


@pytest.mark.parametrize("data", REQUESTS.values(), ids=REQUESTS)
@pytest.mark.parametrize(("make", "limit_s"), LIMITS_S)
def test_refusals_come_in_time_by_a_slow_clock(make, limit_s, data, stop_signal):
    """Guards against requests that the kill leaves without an answer (LOST).

    The platform counts the grace period by its own clock.
    """
    answered_ms, kill_ms = run_stop(make, limit_s, stop_signal, data)
    assert answered_ms < kill_ms * SLOW_CLOCK_RATE


@pytest.mark.parametrize("data", REQUESTS.values(), ids=REQUESTS)
@pytest.mark.parametrize("held_s", [0.3, 0.6, 0.9])
@pytest.mark.parametrize("held_at_s", [6.95, 7.35])
@both_entries
def test_refusals_come_in_time_after_the_loop_was_held(
    make, held_at_s, held_s, data, stop_signal
):
    """Guards against requests that the kill leaves without an answer (LOST).

    The loop is held, or the process stands still, as the refusals are due.
    """
    answered_ms, kill_ms = run_stop(make, 8, stop_signal, data, held_at_s, held_s)
    assert answered_ms < kill_ms


@both_entries
def test_stream_that_has_begun_keeps_its_time(make, stop_signal):
    """Guards against streams that end sooner since the refusals come sooner."""
    entry = make(8 * MS_PER_SECOND)
    entry.signals.install()

    async def pieces():
        yield b"x"
        await curio.sleep(7.5)
        yield b"y"

    async def handle(request):
        return Response(200, pieces())

    async def main():
        entry.server.handler = handle
        await curio.spawn(entry.server.serve, daemon=True)
        stopping = await curio.spawn(entry.run)
        await curio.sleep(0.2)
        sock = await connect(entry.caller, GOOD)
        await curio.sleep(0.05)
        stop_signal()
        received = b""
        while not received.endswith(b"0\r\n\r\n"):
            piece = await sock.recv(65_536)
            assert piece
            received += piece
        await stopping.join()
        return received

    assert b"y" in run_with_virtual_sockets(main)
