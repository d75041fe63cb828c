"""Tests of connections without a request in a planned stop."""

import curio
import pytest

from demo.processes import free_addresses
from tests.test_http_server import echo, with_server
from tests.test_server_close import connect
from wagtailrun.entry import Entry
from wagtailrun.settings import EntrySettings

pytestmark = pytest.mark.network

DRAIN_LIMIT_MS = 4_000


def test_connection_without_a_request_does_not_delay_the_hand_over():
    """Guards against accounts that are handed over only after the drain limit."""
    caller, target, peer, control = free_addresses(4)
    entry = Entry(
        EntrySettings(
            name="e",
            data_centre="a",
            caller_address=caller,
            target_address=target,
            peer_address=peer,
            peer_secret=b"secret-of-this-test",
            entry_peers=(),
            control_peers=(control,),
            drain_notice_ms=0,
            drain_limit_ms=DRAIN_LIMIT_MS,
        )
    )
    handed_over_ms = []

    async def hand_over(timeout_ms):
        handed_over_ms.append(entry.clock.now_ms())

    async def main():
        entry.caller_server.handler = echo
        entry.accounts.hand_over_all = hand_over
        await curio.spawn(entry.caller_server.serve, daemon=True)
        await curio.sleep(0.05)
        sock = await connect(caller)
        await curio.sleep(0.05)
        started_ms = entry.clock.now_ms()
        await entry._drain()
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
