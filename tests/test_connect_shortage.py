"""Tests of entries that lack what a new connection needs: no target is at fault."""

import errno
import os
from contextlib import contextmanager

import attrs
import curio
import pytest

from tests.test_relay_front import (
    SIGNATURE,
    Engines,
    answer,
    event,
    run_relay,
    send,
    stream,
)
from tests.test_tunnels import Carrier, CutConnector, View, cut_entry
from wagtailrun.adapters import numeric_connection
from wagtailrun.adapters.http_client import DirectConnector, Reachability
from wagtailrun.exceptions import (
    ConnectFailed,
    ConnectShortage,
    PeerUnreachable,
    Verdict,
)
from wagtailrun.logs.events import CONNECT_SHORT, EVENT_LOG
from wagtailrun.relay.paths.tunnel_messages import (
    OpenTunnel,
    TunnelRefusal,
    TunnelRefused,
)
from wagtailrun.routes import RouteKind

pytestmark = pytest.mark.network

FOR_ALL = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
# An early refusal comes within this time, on a busy machine, too.
REFUSED_MS = 500


class Shortage:
    """Socket layer without room for connections to some addresses.

    Attributes:
        number: Error number of a connection; 0 if there is room.
        ports: Ports of the addresses.
        refused: Connections that failed.
    """

    def __init__(self, number):
        self.number = number
        self.ports = set()
        self.refused = 0

    @contextmanager
    def applied(self, targets=()):
        """Let connections to targets, or to any address, fail."""
        connect = numeric_connection.open_connection
        self.ports = {row.address.port for row in targets}

        async def open_connection(address):
            if self.number and address.port in self.ports:
                self.refused += 1
                raise OSError(self.number, os.strerror(self.number))
            return await connect(address)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(numeric_connection, "open_connection", open_connection)
            yield


def marks(handler):
    """Return what a relay holds against its targets."""
    chooser = handler.attempts.chooser
    detector = handler.attempts.view.quarantine
    states = chooser.health.states_by_name.values()
    return (
        [
            (state.failure_rate, state.connect_failures, state.ejected_until_ms)
            for state in states
            if state.failure_rate or state.connect_failures or state.ejected_until_ms
        ],
        dict(detector.evidence_by_key),
    )


@pytest.mark.parametrize("number", FOR_ALL)
@pytest.mark.parametrize("kind", list(RouteKind))
def test_request_without_a_connection_is_refused_and_no_target_is_marked(number, kind):
    """Guards against sound targets that are ejected while this entry is at its limit.

    Requests are refused early; once there is room again, they are served at once.
    """
    shortage = Shortage(number)
    handlers = []

    async def client(address, fleet):
        handler = handlers[0]
        tokens = dict(handler.budget.tokens_by_service)
        before = EVENT_LOG.counts_by_number.get(CONNECT_SHORT.number, 0)
        with shortage.applied(fleet.rows):
            began_ms = handler.clock.now_ms()
            short = [
                await send(address, request_id=f"short-{each}") for each in range(5)
            ]
            took_ms = handler.clock.now_ms() - began_ms
            tries = shortage.refused
            spent = handler.budget.tokens_by_service["s"] < tokens.get("s", 0)
            found = marks(handler)
            shortage.number = 0
            after = await send(address)
        logged = EVENT_LOG.counts_by_number.get(CONNECT_SHORT.number, 0) - before
        return short, took_ms, tries, spent, found, after, fleet.seen, logged

    short, took_ms, tries, spent, found, after, seen, logged = run_relay(
        kind,
        [[sound(kind)]] * 2,
        client,
        on_handler=handlers.append,
        connector=DirectConnector(),
    )
    for reply in short:
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) >= 1
        assert reply.headers["wagtailrun-verdict"] == Verdict.NOT_RUN
    # No second target is tried: there is no connection to it either.
    assert tries == logged == 5
    assert took_ms < REFUSED_MS
    assert not spent
    assert found == ([], {})
    assert (after.status, [each for each, _ in seen]) == (200, [0])


def sound(kind):
    return (
        stream(event(1), fail=False)
        if kind is RouteKind.STREAM
        else answer(200, b"ok", SIGNATURE)
    )


def test_lack_of_ports_for_one_target_leaves_the_others():
    """Guards against requests that are refused while another target is reachable.

    Local ports are counted for each remote address.
    """
    shortage = Shortage(errno.EADDRNOTAVAIL)
    handlers = []

    async def client(address, fleet):
        with shortage.applied(fleet.rows[:1]):
            one = await send(address)
            shortage.ports = {row.address.port for row in fleet.rows}
            both = await send(address, request_id="b")
            shortage.number = 0
            after = await send(address, request_id="c")
        tokens = handlers[0].budget.tokens_by_service["s"]
        return one, both, after, [n for n, _ in fleet.seen], tokens, marks(handlers[0])

    one, both, after, seen, tokens, found = run_relay(
        # Each request needs a connection of its own.
        RouteKind.ORDER,
        [[sound(RouteKind.ORDER)]] * 2,
        client,
        on_handler=handlers.append,
        connector=DirectConnector(),
        max_attempts=4,
    )
    assert [reply.status for reply in (one, both, after)] == [200, 503, 200]
    assert float(both.headers["retry-after"]) > 0
    assert seen == [1, 0]
    assert tokens >= 3.0
    assert found == ([], {})


def test_stream_goes_on_once_there_is_room():
    """Guards against a stream that is broken off for a short lack of descriptors."""
    shortage = Shortage(0)

    def first(request):
        shortage.number = errno.EMFILE
        return stream(event(1), event(2))(request)

    async def client(address, fleet):
        async def make_room():
            while not shortage.refused:
                await curio.sleep(0.01)
            await curio.sleep(0.2)
            shortage.number = 0

        with shortage.applied(fleet.rows):
            task = await curio.spawn(make_room)
            reply = await send(address)
            await task.join()
        return reply, [number for number, _ in fleet.seen]

    reply, seen = run_relay(
        RouteKind.STREAM,
        [[first], [stream(event(3), fail=False)]],
        client,
        connector=DirectConnector(),
        resumable=True,
    )
    assert reply.status == 200
    assert reply.body == b"".join(event(number) for number in (1, 2, 3))
    assert seen == [0, 1]


def test_stream_goes_on_although_its_target_reports_late():
    """Guards against a stream that is broken as its target could not be checked.

    The attempt has taken the last descriptor; the check needs another one.
    """
    shortage = Shortage(0)

    async def second(request):
        shortage.number = errno.EMFILE
        return await answer_stream(request)

    async def answer_stream(request):
        return stream(event(3), fail=False)(request)

    async def client(address, fleet):
        fleet.rows[:] = [attrs.evolve(row, incarnation=7) for row in fleet.rows]
        fleet.reports[1] = b'{"born": 7}'

        async def make_room():
            while not shortage.refused:
                await curio.sleep(0.01)
            await curio.sleep(0.2)
            shortage.number = 0

        tokens = handlers[0].budget.tokens_by_service["s"]
        with shortage.applied(fleet.rows):
            task = await curio.spawn(make_room)
            reply = await send(address)
            await task.join()
        spent = tokens - handlers[0].budget.tokens_by_service["s"]
        return reply, [number for number, _ in fleet.seen], spent

    handlers = []
    reply, seen, spent = run_relay(
        RouteKind.STREAM,
        [[stream(event(1), event(2))], [second], [sound(RouteKind.STREAM)]],
        client,
        on_handler=handlers.append,
        connector=DirectConnector(),
        resumable=True,
        max_attempts=4,
    )
    assert reply.body == b"".join(event(number) for number in (1, 2, 3))
    assert seen == [0, 1]
    # That of the first target, which broke the stream off.
    assert 0.8 < spent <= 1.0


# Paths and tunnels


async def started_fleet(count=2):
    engines = Engines()
    for _ in range(count):
        await engines.start(answer())
    await curio.sleep(0.02)
    return engines


def test_lack_of_descriptors_loses_no_path():
    """Guards against an entry that takes its own limit for a cut network.

    It would send all requests through other entries, and stay so for a while.
    """
    shortage = Shortage(errno.EMFILE)

    async def main():
        engines = await started_fleet(3)
        view = View(None, engines.rows)
        carrier = Carrier(view)
        view.entries = [await carrier.start()]
        connector = cut_entry(view)
        connector.direct = DirectConnector()
        address = engines.rows[0].address
        with shortage.applied(engines.rows):
            for row in engines.rows:
                with pytest.raises(ConnectShortage):
                    await connector.connect(row.address, 600)
            found = await connector.probe(address, 300)
            reached = [await connector.reaches(address), await connector.check(address)]
            asked = carrier.asked
            shortage.number = 0
            is_served = await connector.reaches(address)
        paths = connector.paths
        lost = paths.is_cut_off, dict(paths.lost_since_ms_by_address)
        avoided = connector.carriers.avoidances_by_carrier
        return found, reached, lost, is_served, asked, avoided

    found, reached, lost, is_served, asked, avoided = curio.run(main)
    assert found is Reachability.UNKNOWN
    assert reached == [False, False]
    assert lost == (False, {})
    assert is_served
    # No other entry is asked: a tunnel needs a descriptor, too, as a rule.
    assert (asked, avoided) == (0, {})


def test_slow_path_that_cannot_be_tried_again_is_not_lost():
    """Guards against a path that counts as lost as this entry cannot try it again."""
    shortage = Shortage(errno.EMFILE)

    class SlowConnector(DirectConnector):
        async def connect(self, address, timeout_ms):
            await curio.sleep(0.2)
            return await super().connect(address, timeout_ms)

    async def main():
        engines = await started_fleet(1)
        view = View(None, engines.rows)
        carrier = Carrier(view)
        view.entries = [await carrier.start()]
        connector = cut_entry(view)
        connector.direct = SlowConnector()
        (row,) = engines.rows
        opened = await connector.connect(row.address, 600)
        with shortage.applied(engines.rows):
            await curio.sleep(0.5)
        await opened.sock.close()
        return opened.carrier, shortage.refused, connector.paths.is_lost(row.address)

    carrier, refused, is_lost = curio.run(main)
    assert carrier is not None
    assert refused == 1
    assert not is_lost


@pytest.mark.parametrize("is_dead", [False, True])
def test_carrier_without_descriptors_blames_neither_target_nor_network(is_dead):
    """Guards against a carrier that reports its own limit as a dead target.

    A target that it cannot connect to for another reason may be at fault, but the
    carrier cannot find out.
    """
    shortage = Shortage(errno.EMFILE)

    class DeadFirst(DirectConnector):
        async def connect(self, address, timeout_ms):
            if is_dead and address == self.dead:
                return await CutConnector().connect(address, timeout_ms)
            return await super().connect(address, timeout_ms)

    async def main():
        engines = await started_fleet(2)
        view = View(None, engines.rows)
        carrier = Carrier(view)
        carrier.connector.direct = DeadFirst()
        row = engines.rows[0]
        carrier.connector.direct.dead = row.address
        message = OpenTunnel(
            "e", row.name, row.incarnation, str(row.address), False, 200
        )
        with shortage.applied(engines.rows):
            refusal = await carrier.host.open(message)
        return refusal, carrier.connector.paths.is_cut_off, carrier.host.running

    refusal, is_cut_off, running = curio.run(main)
    assert isinstance(refusal, TunnelRefused)
    assert refusal.reason == TunnelRefusal.FULL
    assert not is_cut_off
    assert running == 0


def test_dead_target_is_not_confirmed_without_descriptors():
    """Guards against a target that is ejected as none beside it could be tried."""
    shortage = Shortage(errno.EMFILE)

    async def main():
        engines = await started_fleet(2)
        view = View(None, engines.rows)
        connector = cut_entry(view)
        view.entries = [await Carrier(view).start()]
        connector.carriers.link = SilentLink()
        dead = engines.rows[0].address
        tried = CutConnector()

        class OnlyFirst(DirectConnector):
            async def connect(self, address, timeout_ms):
                used = tried if address == dead else super()
                return await used.connect(address, timeout_ms)

        connector.direct = OnlyFirst()
        with shortage.applied(engines.rows), pytest.raises(ConnectFailed) as failed:
            await connector.connect(dead, 300)
        return failed.value

    assert not curio.run(main).confirmed


class SilentLink:
    """Link of an entry that reaches no other."""

    async def open_tunnel(self, address, message, timeout_ms, opened):
        raise PeerUnreachable("silent", sent=False)
