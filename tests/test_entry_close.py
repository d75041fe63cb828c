"""Tests of the order in which an entry ends its work in a planned stop."""

import curio
import pytest

from demo.processes import free_addresses
from tests.test_http_server import GOOD, echo
from wagtailrun.entry import Entry
from wagtailrun.settings import EntrySettings

pytestmark = pytest.mark.network


def test_entry_takes_no_request_after_it_handed_over_its_accounts():
    """Guards against requests that are cut, or not accounted, as an entry ends.

    The hand-over takes a while, in which the entry still took requests.
    """
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
            drain_limit_ms=500,
        )
    )
    seen = []

    async def hand_over(timeout_ms):
        try:
            sock = await curio.open_connection(caller.host, caller.port)
            await sock.sendall(GOOD)
            seen.append(await sock.recv(12))
        except ConnectionRefusedError:
            seen.append("refused")

    async def main():
        entry.caller_server.handler = echo
        entry.accounts.hand_over_all = hand_over
        await curio.spawn(entry.caller_server.serve, daemon=True)
        await curio.sleep(0.05)
        await entry._drain()

    curio.run(main)
    assert seen == ["refused"]
