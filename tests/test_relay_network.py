"""Tests of the emulated network of relay entries: connections, messages, tunnels."""

import json

import curio
import pytest

from wagtailrun.adapters.http_messages import Request
from wagtailrun.exceptions import ConnectFailed, PeerUnreachable
from wagtailrun.experiments.relay import wire
from wagtailrun.experiments.relay.fleet import FleetPlan, RelayFleet
from wagtailrun.experiments.relay.link import EmulatedLink
from wagtailrun.experiments.relay.network import Network, Process
from wagtailrun.experiments.relay.routes import (
    HOST,
    call_path,
    configuration_text,
    key_of,
)
from wagtailrun.experiments.relay.server import AnswerEnd
from wagtailrun.experiments.relay.work import SimpleWork
from wagtailrun.fleet.model import parse_fleet_text
from wagtailrun.ports.link import Address
from wagtailrun.replay.emulated_target import TargetModel
from wagtailrun.virtual_time import run_virtual

FLEET = """
[fleet]
name = "small"
data_centres = ["east", "west"]
[services.desk]
kind = "plain"
calls.stock = { idempotent = true, deadline_ms = 2000 }
[workspaces.clerks]
"""
HERE, THERE = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
DELAY_MS = 2
TIMEOUT_MS = 300


class Pair:
    """A client and a server that echoes, in two data centres."""

    def __init__(self, clock):
        self.clock = clock
        self.network = Network(clock, DELAY_MS)
        self.client = Process("client", HERE, "east")
        self.server = Process("server", THERE, "west", self.echo, self.handle)
        for process in (self.client, self.server):
            self.network.add(process)

    async def echo(self, sock):
        while data := await sock.recv(100):
            await sock.sendall(data)
        await sock.close()

    async def handle(self, message):
        if message == "wait":
            await self.clock.sleep_ms(100)
        return f"re: {message}"

    async def connect(self):
        return await self.network.connect(self.client, THERE, TIMEOUT_MS)

    async def call(self, message):
        link = EmulatedLink(self.network, self.client)
        return await link.call(THERE, message, TIMEOUT_MS)


def run(scenario):
    async def main(clock):
        return await scenario(Pair(clock), clock)

    return run_virtual(main)


def test_bytes_take_the_delay_of_the_path_both_ways():
    """Guards against bytes that arrive at once, out of order or without an end."""

    async def scenario(pair, clock):
        sock = await pair.connect()
        assert clock.now_ms() == 2 * DELAY_MS
        await sock.sendall(b"ab")
        await sock.sendall(b"cd")
        assert not sock.is_ready()
        found = b""
        while len(found) < 4:
            found += await sock.recv(3)
        assert (found, clock.now_ms()) == (b"abcd", 4 * DELAY_MS)
        await sock.close()
        await clock.sleep_ms(2 * DELAY_MS)
        return pair.network.ends_by_connection

    assert run(scenario) == {}


@pytest.mark.parametrize(("cut_ms", "outcome"), [(1_000, b"x"), (8_000, TimeoutError)])
def test_lost_bytes_are_sent_again_until_the_connection_ends(cut_ms, outcome):
    """Guards against a cut that bytes cross, or that kept connections outlive."""

    async def scenario(pair, clock):
        sock = await pair.connect()
        await pair.network.cut("west", outward=False, inward=True)
        began_ms = clock.now_ms()
        await sock.sendall(b"x")
        heal = await curio.spawn(heal_later, pair, clock, cut_ms)
        try:
            return await sock.recv(10), clock.now_ms() - began_ms
        except OSError as error:
            return type(error), clock.now_ms() - began_ms
        finally:
            await heal.join()

    async def heal_later(pair, clock, delay_ms):
        await clock.sleep_ms(delay_ms)
        await pair.network.heal("west")

    found, took_ms = run(scenario)
    assert found == outcome
    # Sent again after 200, 600 and 1,400 ms; given up 4.5 s after it was sent.
    assert took_ms == (1_400 + 2 * DELAY_MS if outcome == b"x" else 4_500)


def test_end_of_a_process_resets_its_connections_and_tasks():
    """Guards against a killed process that goes on, or whose peers wait for it."""

    async def scenario(pair, clock):
        sock = await pair.connect()
        waiting = await curio.spawn(pair.call, "wait")
        await clock.sleep_ms(10)
        await pair.network.end(pair.server)
        with pytest.raises(ConnectionResetError):
            await sock.recv(1)
        await waiting.wait()
        assert isinstance(waiting.exception, PeerUnreachable)
        assert waiting.exception.sent and clock.now_ms() < 20
        with pytest.raises(ConnectFailed) as error:
            await pair.connect()
        assert error.value.refused
        with pytest.raises(PeerUnreachable) as unsent:
            await pair.call("hello")
        assert not unsent.value.sent
        await pair.network.revive(pair.server)
        return await pair.call("hello")

    assert run(scenario) == "re: hello"


def test_silent_connections_deliver_nothing_though_new_ones_do():
    """Guards against a silence that ends connections, or that new ones share."""

    async def scenario(pair, clock):
        sock = await pair.connect()
        await pair.network.stall(pair.server)
        await sock.sendall(b"x")
        assert await curio.ignore_after(10, sock.recv, 1) is None
        assert sock.getsockopt(6, 11, 8) == bytes(8)
        other = await pair.connect()
        await other.sendall(b"y")
        return await other.recv(1)

    assert run(scenario) == b"y"


def test_lost_messages_time_out():
    """Guards against calls that cross a cut, or that fail before their time."""

    async def scenario(pair, clock):
        assert await pair.call("hello") == "re: hello"
        await pair.network.cut("east", outward=True, inward=False)
        with pytest.raises(PeerUnreachable) as error:
            await pair.call("hello")
        assert error.value.timed_out
        assert clock.now_ms() == 2 * DELAY_MS + TIMEOUT_MS
        with pytest.raises(ConnectFailed):
            await pair.connect()
        await pair.network.heal("east")
        return await pair.call("hello")

    assert run(scenario) == "re: hello"


class Fleet(RelayFleet):
    """Three entries and one target in the first of two data centres."""

    def __init__(self, clock):
        text = configuration_text(parse_fleet_text(FLEET), {})
        names = ("e0", "e1", "e2")
        entries = dict.fromkeys(names, "east")
        plan = FleetPlan(("east", "west"), entries, text, 0.5, 500, {})
        super().__init__(clock, plan, 1)
        row = self.next_row("t", "desk", "east", 8)
        self.add_target(row, SimpleWork(clock, row, TargetModel(service_ms=20.0), 1))

    async def call(self, entry, number):
        """Return status and body of the answer of an entry."""
        headers = {
            "host": HOST,
            wire.REQUEST_ID: f"r{number}",
            wire.KEY: key_of("clerks"),
        }
        path = call_path("desk", "stock")
        request = Request(
            "POST",
            path,
            headers=headers,
            body=json.dumps({}).encode(),
            target=path.encode(),
            header_pairs=tuple((k.encode(), v.encode()) for k, v in headers.items()),
        )
        exchange = await self.entries_by_name[entry].submit(request)
        part = await exchange.parts.get()
        assert await exchange.parts.get() == AnswerEnd()
        return part.status, part.data


def test_entry_without_a_path_reaches_the_target_through_another():
    """Guards against tunnels that the emulated entries do not open."""

    async def main(clock):
        fleet = Fleet(clock)
        await fleet.start()
        await clock.sleep_ms(2_000)
        entry, target = fleet.entries_by_name["e0"], fleet.targets_by_name["t"]
        await fleet.network.lose_path(entry.process, target.process)
        answers = [await fleet.call("e0", number) for number in range(3)]
        # The direct path is tried again beside the requests.
        await clock.sleep_ms(500)
        answers.append(await fleet.call("e0", 3))
        relay = entry.entry
        lost = list(relay.connector.paths.lost_since_ms_by_address)
        ends = fleet.network.ends_by_connection.values()
        carried = {client.name for client, server in ends if server is target.process}
        return answers, lost, carried

    answers, lost, carried = run_virtual(main)
    assert answers == [(200, f"r{number}".encode()) for number in range(4)]
    assert [str(address) for address in lost] == ["10.2.0.1:8000"]
    assert carried <= {"e1", "e2"}


def test_entries_find_each_other_and_agree_on_owners():
    """Guards against entries that know no others, or own everything themselves."""

    async def main(clock):
        fleet = Fleet(clock)
        await fleet.start()
        await clock.sleep_ms(1_000)
        entries = [each.entry for each in fleet.entries_by_name.values()]
        names = [[row.name for row in each.view.live_entries()] for each in entries]
        owners = {each.owners.owner("service").name for each in entries}
        await fleet.entries_by_name[owners.copy().pop()].kill()
        await clock.sleep_ms(4_000)
        left = [each.entry for each in fleet.entries_by_name.values()]
        left = [each for each in left if each.settings.name not in owners]
        return names, owners, {each.owners.owner("service").name for each in left}

    names, owners, next_owners = run_virtual(main)
    assert [sorted(each) for each in names] == [["e0", "e1", "e2"]] * 3
    assert len(owners) == len(next_owners) == 1
    assert owners != next_owners
