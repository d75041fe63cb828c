"""Tests of calls to peers during which the calling process stood still."""

import curio
import pytest

from tests.test_tunnels import SECRET
from wagtailrun.adapters.tcp_link import TcpPeerLink
from wagtailrun.codec import encode
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.messages import Ping
from wagtailrun.ports.link import Address
from wagtailrun.process.loop_watch import MIN_LATE_MS
from wagtailrun.relay.core.placement_messages import Placed, PlaceRun
from wagtailrun.relay.placement.service import CALL_TIMEOUT_MS, PlacementClient
from wagtailrun.virtual_time import VirtualClock, run_virtual

PEER = EntryRow("peer", Address("10.0.0.9", 1), "a", 1)
OWN = EntryRow("own", Address("10.0.0.8", 1), "a", 1)
TIMEOUT_MS = 250


class SilentConnection:
    """Connection to a peer that sends nothing."""

    progress = "no part of the reply"
    frame_bytes = 0

    def __init__(self):
        self.is_closed = False

    async def write_frame(self, frame):
        pass

    async def read_frame(self):
        await curio.sleep(3_600)

    def is_reusable(self):
        return True

    async def close(self):
        self.is_closed = True

    @property
    def sock(self):
        return self


class SilentLink(TcpPeerLink):
    """Link whose peer sends nothing while the process stands still for some time."""

    def __init__(self, clock, held_ms):
        super().__init__(SECRET)
        self.clock = clock
        self.held_ms = held_ms

    async def _connect(self, address):
        async def stand_still():
            self.clock.seconds += self.held_ms / 1_000

        await curio.spawn(stand_still, daemon=True)
        return SilentConnection()


def run_late(held_ms, scenario):
    clock = VirtualClock()

    async def main(clock):
        return await scenario(clock, SilentLink(clock, held_ms))

    return run_virtual(main, clock=clock)


@pytest.mark.parametrize(
    ("held_ms", "is_alive"),
    [
        (0, False),
        (TIMEOUT_MS - 50, False),
        # As late as a process under load is at times.
        (TIMEOUT_MS + 50, False),
        (TIMEOUT_MS + MIN_LATE_MS, True),
        (5_000, True),
    ],
)
def test_process_that_stood_still_takes_no_peer_for_dead(held_ms, is_alive):
    """Guards against a second owner, or a lost connection, as this process was late."""

    async def scenario(clock, link):
        idle = SilentConnection()
        await link.pool.release(PEER.address, idle)
        with pytest.raises(PeerUnreachable) as failed:
            await link.call(PEER.address, Ping("x"), TIMEOUT_MS)
        return failed.value.alive, not idle.is_closed, failed.value.timed_out

    assert run_late(held_ms, scenario) == (is_alive, is_alive, True)


class Host:
    """Chooses an engine where the owner does not reply."""

    def handle(self, message):
        return Placed("engine", "a", 0)


@pytest.mark.parametrize("held_ms", [0, CALL_TIMEOUT_MS + 400])
def test_owner_stays_after_this_process_stood_still(held_ms):
    """Guards against two entries that place the prompts of one service."""

    async def scenario(clock, link):
        owners = Owners(clock, lambda: entries)
        entries = (PEER,)

        async def report():
            pass

        client = PlacementClient(link, OWN.name, owners, Host(), report)
        placed = await client.place(PlaceRun("r", "s", (), 10, (), (), False))
        return placed.target, owners.owner("s") is not None

    assert run_late(held_ms, scenario) == ("engine", bool(held_ms))


def test_dead_peer_is_found_by_a_process_that_is_always_late():
    """Guards against a dead owner that an entry short of processor time keeps."""

    async def scenario(clock, link):
        found = []
        for _ in range(4):
            with pytest.raises(PeerUnreachable) as failed:
                await link.call(PEER.address, Ping("x"), TIMEOUT_MS)
            found.append(failed.value.alive)
            await clock.sleep_ms(TIMEOUT_MS)
        return found

    assert run_late(TIMEOUT_MS + MIN_LATE_MS, scenario) == [True, False, False, False]


class HeldConnection(SilentConnection):
    """Connection whose reply arrives as the process stands still."""

    def __init__(self, arrived):
        super().__init__()
        self.arrived = arrived

    async def read_frame(self):
        if not self.arrived:
            await curio.sleep(3_600)
        return encode(Ping("reply"))


class HeldLink(SilentLink):
    """Link whose peer replies while the process stands still for some time."""

    async def _connect(self, address):
        arrived = []

        async def stand_still():
            self.clock.seconds += self.held_ms / 1_000
            arrived.append(True)

        await curio.spawn(stand_still, daemon=True)
        return HeldConnection(arrived)


@pytest.mark.parametrize("held_ms", [TIMEOUT_MS + 50, 5_000])
def test_reply_that_arrived_during_a_standstill_counts(held_ms):
    """Guards against a message that is sent twice although the first was answered."""
    clock = VirtualClock()

    async def main(clock):
        link = HeldLink(clock, held_ms)
        return await link.call(PEER.address, Ping("x"), TIMEOUT_MS)

    assert run_virtual(main, clock=clock) == Ping("reply")
