"""Tests of relayed requests from the caller's connection to the targets'."""

import re

import attrs
import curio
import pytest
from wagtail_platform.requests import PlatformWire

from demo.processes import free_addresses
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import HttpServer, Response
from wagtailrun.clock import SystemClock
from wagtailrun.exceptions import ResponseAborted, TargetFailed
from wagtailrun.gossip_messages import EntryRow
from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import Address
from wagtailrun.relay import RelayFront
from wagtailrun.relay.choice import TargetChooser
from wagtailrun.relay.events_split import EventSplitter
from wagtailrun.relay.metrics import RelayMetrics
from wagtailrun.retries import RetryBudget
from wagtailrun.routes import (
    RequestLimits,
    Route,
    RoutedService,
    RouteKind,
    WeightedService,
    WorkspaceKeys,
    build_route_table,
)

pytestmark = pytest.mark.network

SEAL = ("Server-Seal", "seal")
NOT_RUN = ("Not-Executed", "1")


def route(kind, **options):
    values = {"timeout_ms": 2_000, "aim_ms": 400, "max_attempts": 2, **options}
    return Route("r", "h", "/a/", kind, (WeightedService("s"),), **values)


@attrs.define
class FakeView:
    """What an entry knows, without control members."""

    table: object
    rows: list = attrs.field(factory=list)
    is_fresh: bool = True
    revision: int = 1
    confirmation_age_ms: int = 10
    own: EntryRow = EntryRow("e", Address("127.0.0.1", 1), "a", 1)

    def targets(self, service):
        return self.rows


class NoStages:
    """Stages of requests that have none."""

    async def release_all(self, work, results):
        pass


class Engines:
    """Targets on loopback; each answers with the next of its prepared answers."""

    def __init__(self):
        self.seen = []
        self.rows = []

    async def start(self, *answers):
        (address,) = free_addresses(1)
        number = len(self.rows)
        prepared = list(answers)

        async def handle(request):
            self.seen.append((number, request))
            answer = prepared.pop(0) if len(prepared) > 1 else prepared[0]
            return answer(request) if callable(answer) else answer

        server = HttpServer(address, handle)
        await curio.spawn(server.serve, daemon=True)
        self.rows.append(TargetRow(f"t{number}", address, "s", "a", 4))


def answer(status=200, body=b"ok", *headers):
    return lambda request: Response(
        status, body, (("Attempt-Id", request.headers["attempt-id"]), *headers)
    )


def stream(*pieces, fail=True):
    async def data():
        for piece in pieces:
            yield piece
        if fail:
            raise ResponseAborted("cut")

    return lambda request: Response(
        200, data(), (("Attempt-Id", request.headers["attempt-id"]), SEAL)
    )


def event(number):
    return b"id: %d\ndata: token\n\n" % number


def play(kind, engines, client, *, view=None, keys=None, **options):
    """Run ``client(address, engines)`` against a front before prepared engines."""
    workspaces = [WorkspaceKeys("guild", keys)] if keys else []

    async def main():
        fleet = Engines()
        for answers in engines:
            await fleet.start(*answers)
        table = build_route_table(
            1,
            [route(kind, **options)],
            [RoutedService("s")],
            workspaces,
            RequestLimits(),
            demands_keys=bool(keys),
        )
        known = FakeView(table, fleet.rows)
        for name, value in (view or {}).items():
            setattr(known, name, value)
        clock = SystemClock()
        chooser = TargetChooser(clock, "a", seed=1)
        # Every test begins at the first engine.
        chooser.choose = lambda rows, avoid, **rest: next(
            (row for row in rows if row.name not in avoid), None
        )
        front = RelayFront(
            clock,
            known,
            PlatformWire(),
            HttpClient(),
            NoStages(),
            chooser,
            None,
            RetryBudget(),
            RelayMetrics(),
            seed=1,
        )
        (address,) = free_addresses(1)
        server = HttpServer(address, front.handle)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0.05)
        async with curio.timeout_after(10):
            return await client(address, fleet)

    return curio.run(main)


async def ask(address, path="/a/x", key="", method="POST", body=b"{}"):
    headers = [("Attempt-Id", "abc"), ("Deadline-Remaining", "2000")]
    if key:
        headers.append(("Credential", key))
    return await HttpClient().request(
        address, method, path, tuple(headers), body, timeout_ms=5_000, host="h"
    )


async def status_and_runs(address, fleet):
    reply = await ask(address)
    return reply.status, [number for number, _ in fleet.seen]


def test_request_and_answer_are_passed_on_unchanged():
    """Guards against a changed path, body, status or mark of the target."""

    async def client(address, fleet):
        reply = await ask(address, "/a/x?q=%20", body=b"\x00body")
        (_, seen) = fleet.seen[0]
        return reply, seen

    reply, seen = play(RouteKind.ORDER, [[answer(201, b"made", SEAL)]], client)
    assert (reply.status, reply.body) == (201, b"made")
    assert reply.headers["server-seal"] == "seal"
    assert (seen.target, seen.body) == (b"/a/x?q=%20", b"\x00body")
    assert seen.headers["expected-instance"] == "t0"
    assert 0 < int(seen.headers["deadline-remaining"]) <= 2_000


FAILED = answer(500, b"bad", SEAL)
GOOD = answer(200, b"ok", SEAL)
FULL = answer(503, b"", NOT_RUN)
FOREIGN = answer(421, b"")
FORGED = answer(200, b"ok")
WHOLE = stream(event(1), fail=False)


@pytest.mark.parametrize(
    ("kind", "engines", "expected"),
    [
        (RouteKind.IDEMPOTENT, [[FAILED], [GOOD]], (200, [0, 1])),
        (RouteKind.IDEMPOTENT, [[FAILED], [FAILED], [GOOD]], (500, [0, 1])),
        (RouteKind.IDEMPOTENT, [[FORGED], [GOOD]], (200, [0, 1])),
        (RouteKind.ORDER, [[FAILED], [GOOD]], (500, [0])),
        (RouteKind.ORDER, [[FULL], [GOOD]], (200, [0, 1])),
        (RouteKind.ORDER, [[FOREIGN], [GOOD]], (200, [0, 1])),
        (RouteKind.ORDER, [[FULL], [FULL]], (503, [0, 1])),
        (RouteKind.ORDER, [[FORGED], [GOOD]], (502, [0])),
        (RouteKind.ORDER, [[stream(b"ha")], [GOOD]], (502, [0])),
        (RouteKind.ORDER, [], (503, [])),
        (RouteKind.STREAM, [[FULL], [WHOLE]], (200, [0, 1])),
        (RouteKind.STREAM, [[FAILED], [GOOD]], (500, [0])),
    ],
)
def test_what_is_repeated(kind, engines, expected):
    """Guards against a second run of what may run once, and a false "not run"."""
    assert play(kind, engines, status_and_runs) == expected


def test_refused_connection_is_no_attempt():
    """Guards against a request that fails although nothing was sent."""

    async def client(address, fleet):
        gone = TargetRow("gone", free_addresses(1)[0], "s", "a", 4)
        fleet.rows.insert(0, gone)
        return await status_and_runs(address, fleet)

    assert play(RouteKind.ORDER, [[GOOD]], client) == (200, [0])


@pytest.mark.parametrize(
    ("key", "view", "path", "expected"),
    [
        ("k1", {}, "/a/x", 200),
        ("k2", {}, "/a/x", 401),
        ("", {}, "/a/x", 401),
        ("k1", {"is_fresh": False}, "/a/x", 503),
        ("k2", {"is_fresh": False}, "/a/x", 503),
        ("k1", {}, "/b/x", 404),
        ("k1", {"is_fresh": False}, "/b/x", 503),
        ("k1", {"table": None}, "/a/x", 503),
    ],
)
def test_who_is_admitted(key, view, path, expected):
    """Guards against revoked keys that run, and against a 401 or 404 by an old text."""

    async def client(address, fleet):
        reply = await ask(address, path, key)
        return reply.status, [request for _, request in fleet.seen]

    status, seen = play(
        RouteKind.ORDER, [[GOOD]], client, view=view, keys=("k1",), keyless=False
    )
    assert status == expected
    assert len(seen) == (expected == 200)
    if seen:
        assert seen[0].headers["tenant"] == "guild"
        assert "credential" not in seen[0].headers


def test_broken_stream_goes_on_at_another_engine():
    """Guards against events that are lost or doubled when an engine dies in one."""
    first = stream(event(1) + event(2) + b"id: 3\ndata: to")
    second = stream(event(2) + event(3) + event(4), fail=False)

    async def client(address, fleet):
        reply = await ask(address)
        return reply.body, [r.headers.get("last-event-id") for _, r in fleet.seen]

    body, resumed = play(RouteKind.STREAM, [[first], [second]], client, resumable=True)
    assert body == event(1) + event(2) + event(3) + event(4)
    assert resumed == [None, "2"]


def test_stream_that_may_not_be_resumed_is_visibly_broken():
    """Guards against a cut answer that looks complete, and against a second run."""
    first = stream(event(1))

    async def client(address, fleet):
        with pytest.raises(TargetFailed):
            await ask(address)
        return len(fleet.seen)

    assert play(RouteKind.STREAM, [[first], [GOOD]], client) == 1


def test_caller_who_leaves_ends_the_work():
    """Guards against engines that work on for nobody."""
    left = []

    def endless(request):
        async def data():
            try:
                for number in range(1, 10_000):
                    yield event(number)
                    await curio.sleep(0.02)
            finally:
                left.append(number)

        return Response(200, data(), (("Attempt-Id", "abc"), SEAL))

    async def client(address, fleet):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(
            b"POST /a/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: abc\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        await sock.recv(1_000)
        await sock.close()
        await curio.sleep(0.4)
        return list(left)

    (number,) = play(RouteKind.STREAM, [[endless]], client)
    assert number < 50


def test_events_are_split_whatever_the_pieces():
    """Guards against an event that is cut, merged or renumbered on its way."""
    data = event(1) + b"weight-versions: 2\nid: 2\ndata: x\n\n" + b"data: y\r\n\r\n"
    for size in (1, 2, 3, 7, 100):
        splitter = EventSplitter()
        pieces = [data[n : n + size] for n in range(0, len(data), size)]
        events = [found for piece in pieces for found in splitter.feed(piece)]
        assert b"".join(found.data for found in events) == data
        assert [found.number for found in events] == [1, 2, None]
        assert splitter.buffer == b""
    assert not re.search(rb"id", splitter.buffer)
