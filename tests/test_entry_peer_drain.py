"""Tests of messages of peers that a product's entry has in progress as it stops."""

import curio
import pytest

from demo.processes import free_addresses
from tests.stopping_entries import make_product_entry as make_entry
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip.messages import AgedRow, EntryRow, GossipRows, GossipTaken
from wagtailrun.messages import Ping, Pong
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

TIMEOUT_MS = 2_000
# Longer than the rest of a stop without anything in progress.
ANSWER_S = 0.3
DRAIN_LIMIT_MS = 100


def run_stop(stop_signal, client, handle):
    """Run an entry that gets a signal to stop; return what the other process got.

    Args:
        stop_signal: Sends the signal.
        client: Called with the link of the other process, the address of the entry, and
            an event that is set as the last step of the stop begins, which is the
            hand-over of the accounts.
        handle: Called with each message instead of the handler of the entry.
    """
    entry = make_entry(DRAIN_LIMIT_MS)
    entry.gossip.handle = handle
    handing_over = curio.Event()

    async def hand_over(timeout_ms):
        await handing_over.set()
        await curio.sleep(0.05)
        return True

    async def main():
        entry.accounts.hand_over_all = hand_over
        running = await curio.spawn(entry.run)
        await curio.sleep(0.1)
        link = TcpPeerLink(entry.settings.peer_secret)
        address = entry.settings.peer_address
        calling = await curio.spawn(client, link, address, handing_over)
        await curio.sleep(0.05)
        stop_signal()
        async with curio.timeout_after(10):
            await running.join()
            return await calling.join()

    return curio.run(main)


def test_message_in_progress_is_answered_before_an_entry_ends(stop_signal):
    """Guards against a message that has run and whose sender gets no reply."""

    async def handle(message):
        await curio.sleep(ANSWER_S)
        return Pong("e")

    async def client(link, address, handing_over):
        await handing_over.wait()
        return await link.call(address, Ping("other"), TIMEOUT_MS)

    assert run_stop(stop_signal, client, handle) == Pong("e")


def test_no_message_of_a_peer_is_left_open_as_an_entry_ends(stop_signal):
    """Guards against messages that are neither answered nor known as not run.

    The other process sends one message after the other until it is refused.
    """
    answered = []

    async def handle(message):
        await curio.sleep(0.02)
        return Pong("e")

    async def client(link, address, handing_over):
        while True:
            try:
                await link.call(address, Ping("other"), TIMEOUT_MS)
            except PeerUnreachable as error:
                return error.sent
            answered.append(handing_over.is_set())

    assert run_stop(stop_signal, client, handle) is False
    assert any(answered)


@pytest.mark.parametrize("stands_still", [False, True])
def test_entry_tells_of_a_departure_before_it_ends(stop_signal, stands_still):
    """Guards against the goodbye of a target that ends with the entry that has it.

    It arrives in a last message, which is answered while the entry stops. A second
    entry may not answer any more.
    """
    entry = make_entry(DRAIN_LIMIT_MS)
    told, still = free_addresses(2)
    secret = entry.settings.peer_secret
    leaving = TargetRow("t", told, "s", "a", incarnation=1, leaving=True)
    received = []

    async def hand_over(timeout_ms):
        link = TcpPeerLink(secret)
        message = GossipRows((AgedRow(leaving, 0),))
        await link.call(entry.settings.peer_address, message, TIMEOUT_MS)
        return True

    async def take(message):
        if isinstance(message, GossipRows):
            received.extend(aged.row for aged in message.targets)
        return GossipTaken()

    async def stand_still(message):
        await curio.sleep(60)

    async def main():
        entry.accounts.hand_over_all = hand_over
        now_ms = entry.clock.now_ms()
        entry.gossip.peers.put(EntryRow("told", told, "a", 1), now_ms)
        await curio.spawn(PeerServer(told, secret, take).serve, daemon=True)
        if stands_still:
            entry.gossip.peers.put(EntryRow("still", still, "a", 1), now_ms)
            silent = PeerServer(still, secret, stand_still)
            await curio.spawn(silent.serve, daemon=True)
        running = await curio.spawn(entry.run)
        await curio.sleep(0.1)
        stop_signal()
        async with curio.timeout_after(5):
            await running.join()

    curio.run(main)
    assert received == [leaving]
