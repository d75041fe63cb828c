"""Tests of connections without a request in a planned stop."""

import curio
import pytest

from tests.stopping_entries import both_entries
from tests.test_http_server import echo, with_server
from tests.test_server_close import connect

pytestmark = pytest.mark.network

DRAIN_LIMIT_MS = 4_000


@both_entries
def test_connection_without_a_request_does_not_delay_the_hand_over(make, stop_signal):
    """Guards against accounts that are handed over only after the drain limit."""
    entry = make(DRAIN_LIMIT_MS, 0)
    caller = entry.caller
    handed_over_ms = []

    async def hand_over():
        handed_over_ms.append(entry.clock.now_ms())

    async def main():
        entry.server.handler = echo
        entry.before_exit(hand_over)
        await curio.spawn(entry.server.serve, daemon=True)
        await curio.sleep(0.05)
        sock = await connect(caller)
        await curio.sleep(0.05)
        started_ms = entry.clock.now_ms()
        entry.signals.install()
        stop_signal()
        await entry.stop.run()
        await sock.close()
        return handed_over_ms[0] - started_ms

    # A second is what the relay entry gives to requests on their way.
    assert curio.run(main) < 1_500


@pytest.mark.parametrize("leaves", [False, True])
def test_connection_that_never_sends_a_request_counts_as_no_refusal(leaves):
    """Guards against refusals that are counted though nobody asked for anything."""
    refusals = []

    async def count(refusal):
        refusals.append(refusal)

    async def client(address, server):
        sock = await connect(address)
        await curio.sleep(0.02)
        closing = await curio.spawn(server.close, 150)
        await curio.sleep(0.02)
        if leaves:
            await sock.close()
        await closing.join()

    with_server(echo, client, on_refusal=count)
    assert not refusals
