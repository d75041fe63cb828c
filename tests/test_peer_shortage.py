"""Tests of processes that lack what a connection to a peer needs: no peer is at fault.

Connections that are open may go on meanwhile.
"""

import errno

import curio
import pytest

from bench.gossip_cluster import Cluster
from demo.processes import free_addresses
from tests.test_connect_shortage import Shortage
from tests.test_control_client import ENTRY as CLIENT
from tests.test_control_client import QUERY
from tests.test_control_client import Cluster as Members
from tests.test_discovery import ENTRY, Controls
from tests.test_placement import ENTRIES as PLACING
from tests.test_placement import Fleet as PlacingFleet
from tests.test_placement import prompt
from tests.test_stage_runner import Fleet as StagesFleet
from tests.test_stage_runner import other_entry, work
from tests.test_tunnels import View
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.discovery import OriginClient
from wagtailrun.discovery.messages import OriginFound, RecordOrigins
from wagtailrun.exceptions import ConnectFailed, ConsensusUnavailable, PeerUnreachable
from wagtailrun.gossip.messages import EntryRow, Health
from wagtailrun.logs.events import EVENT_LOG, PEER_LOST
from wagtailrun.messages import Ping, Pong
from wagtailrun.ports.link import Address
from wagtailrun.relay.paths.tunnels import PathConnector
from wagtailrun.stages import StageResults
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

SECRET = b"a shared secret of the tests"
SHORT_MS = 3_000


@pytest.mark.network
@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOMEM])
def test_peer_that_this_process_cannot_call_is_not_lost(number):
    """Guards against a peer that counts as dead for a lack of descriptors here.

    The call that has a connection goes on.
    """
    shortage = Shortage(number)

    async def handle(message):
        await curio.sleep(0.2)
        return Pong(message.sender)

    async def main():
        (address,) = free_addresses(1)
        server = await curio.spawn(PeerServer(address, SECRET, handle).serve)
        await curio.sleep(0.02)
        link = TcpPeerLink(SECRET)
        running = await curio.spawn(link.call, address, Ping("first"), 1_000)
        await curio.sleep(0.05)
        peer = TargetRow("p", address, "", "", 1)
        with shortage.applied([peer]), pytest.raises(PeerUnreachable) as failed:
            await link.call(address, Ping("second"), 1_000)
        replies = [await running.join()]
        replies.append(await link.call(address, Ping("third"), 1_000))
        await server.cancel()
        return failed.value, replies

    error, replies = curio.run(main)
    assert (error.shortage, error.alive, error.sent) == (True, True, False)
    assert replies == [Pong("first"), Pong("third")]


def test_entry_without_descriptors_avoids_no_control_member():
    """Guards against control members that are avoided after a lack of descriptors.

    The entry polled another member after each, up to the longest avoidance.
    """

    async def main(clock):
        controls = await Controls(clock).start()
        view = await controls.entry()
        await controls.put_text(1)
        await clock.sleep_ms(2_000)
        lost = EVENT_LOG.counts_by_number.get(PEER_LOST.number, 0)
        controls.network.short.add(ENTRY.address)
        await clock.sleep_ms(SHORT_MS)
        controls.network.short.clear()
        await clock.sleep_ms(500)
        lost = EVENT_LOG.counts_by_number.get(PEER_LOST.number, 0) - lost
        return (
            controls.network.refused,
            dict(view.control_members.avoid_until_ms),
            view.is_fresh,
            lost,
        )

    refused, avoided, is_fresh, lost = run_virtual(main)
    assert refused
    assert not avoided
    assert is_fresh
    assert not lost


def test_client_without_descriptors_remembers_the_leader():
    """Guards against a leader that is searched anew after a lack of descriptors."""

    async def main(clock):
        members = Members(clock)
        await members.start()
        await members.client.call_leader(QUERY, 2_000)
        before = members.client.leader
        members.network.short.add(CLIENT)
        with pytest.raises(ConsensusUnavailable):
            await members.client.call_leader(QUERY, 500)
        return before, members.client.leader

    before, after = run_virtual(main)
    assert before is not None
    assert after == before


def test_entry_without_descriptors_suspects_no_other_and_no_target():
    """Guards against an entry that declares others dead for its own limit."""

    async def main(clock):
        cluster = Cluster(clock, {"east": 5}, 8)
        await cluster.start()
        await clock.sleep_ms(4_000)
        names = {target.name for target in cluster.targets}
        node = cluster.nodes_by_name["east-0"]
        cluster.network.short.add(node.address)
        found = []
        for _ in range(80):
            await clock.sleep_ms(100)
            for each in cluster.live:
                rows = each.gossip.peers.rows_by_name.values()
                found += [row.name for row in rows if row.health != Health.ALIVE]
                found += sorted(names - each.usable_names(clock.now_ms()))
        return cluster.network.refused, found

    refused, found = run_virtual(main)
    assert refused
    assert found == []


def test_entry_without_descriptors_excludes_no_owner():
    """Guards against two owners of the engines of one service."""

    async def main(clock):
        fleet = PlacingFleet(clock)
        owner = fleet.owner()
        row = next(row for row in PLACING if row.name != owner.name)
        fleet.network.short.add(row.address)
        placement = fleet.placements[row.name]
        placed = await placement.place(prompt("r"))
        return placed.target, dict(placement.owners.avoid_until_ms)

    target, avoided = run_virtual(main)
    assert target
    assert avoided == {}


def test_stages_of_an_entry_without_descriptors_go_on_when_there_is_room():
    """Guards against a hot loop of calls, and against a second owner of the pieces."""

    async def main(clock):
        fleet = StagesFleet(clock)
        name, _ = other_entry()
        runner = fleet.runners[name]
        network = fleet.network
        source = runner.link.source
        network.short.add(source)
        staged = work(clock)
        task = await curio.spawn(runner.run, staged, "a", StageResults())
        await clock.sleep_ms(500)
        refused = network.refused
        network.short.clear()
        return await task.join(), refused, dict(runner.owners.avoid_until_ms)

    refusal, refused, avoided = run_virtual(main)
    assert refusal is None
    assert 0 < refused < 100
    assert avoided == {}


class ShortLink:
    """Link of a process that cannot open connections."""

    async def open_tunnel(self, address, message, timeout_ms, opened):
        raise PeerUnreachable("no descriptor", sent=False, shortage=True)

    async def call(self, address, message, timeout_ms):
        raise PeerUnreachable("no descriptor", sent=False, shortage=True)


def test_member_that_takes_no_record_for_lack_of_descriptors_is_not_avoided():
    """Guards against records of streams that go to another member for a while."""

    async def main(clock):
        origins = OriginClient(clock, ShortLink(), View(None))
        taken = await origins._send(Address("10.0.0.1", 80), RecordOrigins(()))
        return taken, origins.avoid_until_ms

    assert run_virtual(main) == (False, {})


def test_members_are_asked_again_when_there_are_descriptors():
    """Guards against a stream that is refused as too few members could be asked."""

    class LateLink:
        async def call(self, address, message, timeout_ms):
            if clocks[0].now_ms() < 120:
                raise PeerUnreachable("no descriptor", sent=False, shortage=True)
            return OriginFound((), (), 0)

    async def main(clock):
        clocks.append(clock)
        view = View(None, members=[Address(f"10.0.0.{n}", 80) for n in (1, 2, 3)])
        origins = OriginClient(clock, LateLink(), view)
        lost = EVENT_LOG.counts_by_number.get(PEER_LOST.number, 0)
        found = await origins.find_incarnations(["t"])
        lost = EVENT_LOG.counts_by_number.get(PEER_LOST.number, 0) - lost
        return found, lost, clock.now_ms()

    clocks = []
    found, lost, took_ms = run_virtual(main)
    assert found == {}
    assert lost == 0
    assert took_ms <= 250


def test_carrier_that_an_entry_cannot_ask_is_not_avoided():
    """Guards against other entries that are avoided after a lack of descriptors."""

    async def main(clock):
        address = Address("10.0.0.1", 80)
        view = View(None, [TargetRow("t", address, "s", "a", 4)])
        view.entries = [EntryRow("c", Address("10.0.0.2", 80), "a", 1)]
        connector = PathConnector(clock, ShortLink(), view, 1)
        connector.paths.lost_since_ms_by_address[address] = 0
        with pytest.raises(ConnectFailed) as failed:
            await connector.connect(address, 600)
        return failed.value.confirmed, connector.carriers.avoidances_by_carrier

    assert run_virtual(main) == (False, {})
