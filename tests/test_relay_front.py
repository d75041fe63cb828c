"""Tests of relayed requests, from the caller's connection to those of targets."""

import inspect
import re
import time
import types

import attrs
import curio
import pytest
from wagtail_platform.requests import REPORT_PATH, PlatformWire

from demo.processes import free_addresses
from wagtailrun.adapters.http_client import DirectConnector, HttpClient
from wagtailrun.adapters.http_server import HttpServer, Response
from wagtailrun.adapters.server_state import MAX_BODY_BYTES
from wagtailrun.clock import SystemClock
from wagtailrun.discovery import OriginClient
from wagtailrun.discovery.evacuations import EvacuationView
from wagtailrun.discovery.owners import Owners
from wagtailrun.discovery.quarantine import Quarantine
from wagtailrun.discovery.target_limits import TargetLimits
from wagtailrun.exceptions import ConnectFailed, ResponseAborted, TargetFailed
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.relay.core.metrics import RelayMetrics
from wagtailrun.relay.limits.notices import TargetNotices
from wagtailrun.relay.limits.send_grants import GrantClient, SendGranter
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.service import PlacementClient, PlacementHost
from wagtailrun.relay.requests.events_split import EventSplitter
from wagtailrun.relay.requests.front import RelayHandler
from wagtailrun.routes import (
    RequestLimits,
    Route,
    RoutedService,
    RouteKind,
    WeightedService,
    WorkspaceKeys,
    build_route_table,
)
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

SIGNATURE = ("Server-Seal", "seal")
NOT_RUN = ("Not-Executed", "1")
OWN_ENTRY = EntryRow("e", Address("127.0.0.1", 1), "a", 1)


def route(kind, **options):
    values = {"timeout_ms": 2_000, "aim_ms": 400, "max_attempts": 2, **options}
    return Route("r", "h", "/a/", kind, (WeightedService("s"),), **values)


@attrs.define
class FakeView:
    """Fleet view of an entry without control members."""

    table: object
    rows: list = attrs.field(factory=list)
    is_fresh: bool = True
    is_outdated: bool = False
    unread_revision: int = 0
    revision: int = 1
    confirmation_age_ms: int = 10
    update_age_ms: int = 10
    is_out_of_step: bool = False
    own_row: EntryRow = OWN_ENTRY
    quarantine: Quarantine = Quarantine(None)
    limits: TargetLimits = attrs.field(factory=lambda: TargetLimits(SystemClock()))
    members: list = attrs.field(factory=list)
    away_data_centres: frozenset = frozenset()
    evacuations: EvacuationView = attrs.field(factory=EvacuationView)
    versions: types.SimpleNamespace = types.SimpleNamespace(
        needs_record=lambda origin: True
    )
    control_members: types.SimpleNamespace = types.SimpleNamespace(
        leader_expected_ms=None
    )

    def ranked_members(self):
        return self.members

    def targets(self, service):
        away = self.away_data_centres | self.evacuations.data_centres
        rows = [row for row in self.rows if not row.leaving]
        return [row for row in rows if row.data_centre not in away]

    def present_targets(self):
        return [row for row in self.rows if not row.leaving]

    def targets_to_continue(self, origin, tried=()):
        version = origin.software_version
        rows = self.targets(origin.service)
        rows = [row for row in rows if version and row.software_version == version]
        if any(row.name not in tried for row in rows):
            return rows
        draining = [row for row in self.rows if row.draining]
        return rows + [row for row in draining if row.software_version == version]

    def has_new_version(self, row):
        known = next((each for each in self.rows if each.name == row.name), row)
        is_newer = known.incarnation > row.incarnation
        return is_newer and known.software_version != row.software_version

    def row_at(self, address):
        return next((row for row in self.rows if row.address == address), None)

    async def report_changes(self):
        pass

    def is_leaving(self, row):
        return self.evacuations.includes(row) or any(
            each.leaving for each in self.rows if each.name == row.name
        )

    def may_continue_at(self, row):
        return not self.evacuations.includes(row) and all(
            not each.leaving or each.draining
            for each in self.rows
            if each.name == row.name
        )

    async def mark_leaving(self, row):
        self.rows = [
            attrs.evolve(each, leaving=True, draining=False)
            if each.name == row.name
            else each
            for each in self.rows
        ]


class NoStages:
    """Stage runner for requests without stages."""

    async def release_all(self, work, results):
        pass


class Engines:
    """Targets on loopback; each returns its prepared answers in turn.

    The last prepared answer is repeated.
    """

    def __init__(self):
        self.seen = []
        self.rows = []
        # Reports of the targets by number; the others have none.
        self.reports = {}

    def report(self, number):
        body = self.reports.get(number)
        return Response(404 if body is None else 200, body or b"")

    async def start(self, *answers):
        (address,) = free_addresses(1)
        number = len(self.rows)
        prepared = list(answers)

        async def handle(request):
            if request.method == "GET" and request.path == REPORT_PATH:
                return self.report(number)
            self.seen.append((number, request))
            answer = prepared.pop(0) if len(prepared) > 1 else prepared[0]
            answer = answer(request) if callable(answer) else answer
            return await answer if inspect.isawaitable(answer) else answer

        server = HttpServer(address, handle)
        await curio.spawn(server.serve, daemon=True)
        row = TargetRow(f"t{number}", address, "s", "a", 4, software_version="v1")
        self.rows.append(row)


def answer(status=200, body=b"ok", *headers):
    return lambda request: Response(
        status, body, (("Attempt-Id", request.headers["attempt-id"]), *headers)
    )


def stream(*chunks, fail=True):
    async def data():
        for chunk in chunks:
            yield chunk
        if fail:
            raise ResponseAborted("interrupted")

    return lambda request: Response(
        200, data(), (("Attempt-Id", request.headers["attempt-id"]), SIGNATURE)
    )


def event(number):
    return b"id: %d\ndata: token\n\n" % number


def run_relay(
    kind,
    engines,
    client,
    *,
    view=None,
    keys=None,
    members=None,
    on_handler=lambda handler: None,
    connector=None,
    run=curio.run,
    limit_s=10,
    body_bytes=MAX_BODY_BYTES,
    **options,
):
    """Run ``client(address, engines)`` against a relay with prepared engines."""
    workspaces = keys if isinstance(keys, list) else []
    if keys and not workspaces:
        workspaces = [WorkspaceKeys("guild", keys)]

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
        # Targets are tried in the order of their numbers.
        chooser.choose = lambda rows, avoid, **rest: next(
            (row for row in rows if row.name not in avoid), None
        )
        wire = PlatformWire()
        notices = TargetNotices(clock, wire, known, lone_grants(clock, known), 1)
        known.quarantine = Quarantine(clock)
        link = members and members.start(clock, known)
        known.members = members.addresses if link else []
        origins = OriginClient(clock, link, known)
        await curio.spawn(origins.run, daemon=True)
        placement = PlacementClient(
            None,
            known.own_row.name,
            Owners(clock, lambda: ()),
            PlacementHost(
                clock, TargetChooser(clock, "", 1), known.targets, known.quarantine
            ),
            known.report_changes,
        )
        front = RelayHandler(
            clock,
            known,
            wire,
            HttpClient(clock, notices, connector),
            NoStages(),
            chooser,
            placement,
            RetryBudget(),
            RelayMetrics(),
            notices,
            origins,
            seed=1,
        )
        on_handler(front)
        (address,) = free_addresses(1)
        server = HttpServer(address, front.handle, body_bytes)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0.05)
        async with curio.timeout_after(limit_s):
            return await client(address, fleet)

    return run(main)


def lone_grants(clock, view):
    """Return the grants of an entry without others."""
    own = view.own_row
    granter = SendGranter(clock, view.limits, seed=1)
    owners = Owners(clock, lambda: (own,))
    return GrantClient(None, own.name, own.data_centre, owners, granter, view.limits)


async def send(
    address, path="/a/x", key="", method="POST", body=b"{}", request_id="abc", more=()
):
    headers = [("Attempt-Id", request_id), ("Deadline-Remaining", "2000"), *more]
    if key:
        headers.append(("Credential", key))
    return await HttpClient().request(
        address, method, path, tuple(headers), body, timeout_ms=5_000, host="h"
    )


async def status_and_runs(address, fleet):
    reply = await send(address)
    return reply.status, [number for number, _ in fleet.seen]


def test_request_and_answer_are_passed_on_unchanged():
    """Guards against a changed path, body, status or signature header."""

    async def client(address, fleet):
        reply = await send(address, "/a/x?q=%20", body=b"\x00body")
        (_, seen) = fleet.seen[0]
        return reply, seen

    reply, seen = run_relay(
        RouteKind.ORDER, [[answer(201, b"made", SIGNATURE)]], client
    )
    assert (reply.status, reply.body) == (201, b"made")
    assert reply.headers["server-seal"] == "seal"
    assert (seen.target, seen.body) == (b"/a/x?q=%20", b"\x00body")
    assert seen.headers["expected-instance"] == "t0"
    assert 0 < int(seen.headers["deadline-remaining"]) <= 2_000


@pytest.mark.parametrize("seal", [True, False])
@pytest.mark.parametrize(
    ("request_id", "host"), [("abc\xe9", "h"), ("abc", "h:\xe9"), ("\xff", "h:\xff")]
)
def test_header_values_beyond_ascii_are_passed_on(request_id, host, seal):
    """Guards against a request without an answer because of bytes that HTTP allows."""

    async def client(address, fleet):
        reply = await HttpClient().request(
            address,
            "POST",
            "/a/x",
            ((b"Attempt-Id", request_id.encode("latin-1")), (b"Credential", b"k")),
            b"{}",
            timeout_ms=5_000,
            host=host.encode("latin-1"),
        )
        return reply.status, reply.headers["attempt-id"], fleet.seen[0][1].headers

    engines = [[answer(200, b"ok", SIGNATURE) if seal else answer(200, b"ok")]]
    keys = [WorkspaceKeys("Z\xfcrich \u6771", ("k",))]
    status, echoed, headers = run_relay(RouteKind.ORDER, engines, client, keys=keys)
    assert (status, echoed) == (200 if seal else 502, request_id)
    assert (headers["attempt-id"], headers["host"]) == (request_id, host)
    assert headers["tenant"].encode("latin-1").decode() == "Z\xfcrich \u6771"


def test_rejection_with_a_body_that_does_not_end():
    """Guards against a request that waits for a body that nobody needs."""

    async def drip():
        while True:
            yield b"x"
            await curio.sleep(0.02)

    def rejection(request):
        echo = ("Attempt-Id", request.headers["attempt-id"])
        return Response(503, drip(), (echo, NOT_RUN))

    async def client(address, fleet):
        clock = SystemClock()
        started_ms = clock.now_ms()
        reply = await send(address)
        return reply.status, reply.body, clock.now_ms() - started_ms

    engines = [[rejection], [stream(event(1), fail=False)]]
    status, body, took_ms = run_relay(RouteKind.STREAM, engines, client)
    assert (status, body) == (200, event(1))
    assert took_ms < 2_000


class FreshFor:
    """Freshness of the keys that ends after some checks, as after a pause."""

    def __init__(self, checks):
        self.checks = checks

    def __bool__(self):
        self.checks -= 1
        return self.checks >= 0


@pytest.mark.parametrize("checks", [0, 1, 2])
def test_pause_before_sending_ends_the_permission(checks):
    """Guards against a key that is used after a pause in which it was withdrawn.

    The process is paused before admission, before the choice of a target, or while it
    opens the connection.
    """

    async def client(address, fleet):
        reply = await send(address, key="k")
        return reply.status, fleet.seen

    status, seen = run_relay(
        RouteKind.ORDER,
        [[answer(200, b"ok", SIGNATURE)]],
        client,
        keys=("k",),
        view={"is_fresh": FreshFor(checks)},
    )
    assert (status, seen) == (503, [])


FAILED = answer(500, b"bad", SIGNATURE)
GOOD = answer(200, b"ok", SIGNATURE)
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
    """Guards against a second run of a request that may run once, and false verdicts.

    A status of 503 must mean that the request has not run.
    """
    assert run_relay(kind, engines, status_and_runs) == expected


@pytest.mark.parametrize(
    "host", ["127.0.0.1\0", "1" * 100_000, "a" * 64 + ".example", "\u0661", "::1"]
)
def test_address_that_is_none_costs_no_request(host):
    """Guards against requests that fail at a target that an older build accepted."""

    async def client(address, fleet):
        fleet.rows.insert(0, TargetRow("odd", Address(host, 9), "s", "a", 4))
        reply = await send(address)
        return reply.status, reply.body

    engines = [[answer(200, b"ok", SIGNATURE)]]
    assert run_relay(RouteKind.ORDER, engines, client) == (200, b"ok")


def test_refused_connection_does_not_count_as_attempt():
    """Guards against a request that fails although it was sent to no target."""

    async def client(address, fleet):
        gone = TargetRow("gone", free_addresses(1)[0], "s", "a", 4)
        fleet.rows.insert(0, gone)
        return await status_and_runs(address, fleet)

    assert run_relay(RouteKind.ORDER, [[GOOD]], client) == (200, [0])


@pytest.mark.parametrize(
    ("key", "view", "path", "expected"),
    [
        ("k1", {}, "/a/x", 200),
        ("k2", {}, "/a/x", 401),
        ("", {}, "/a/x", 401),
        ("k1", {"is_fresh": False}, "/a/x", 503),
        ("k1", {"is_outdated": True}, "/a/x", 503),
        ("k1", {"is_outdated": True}, "/b/x", 503),
        ("k2", {"is_fresh": False}, "/a/x", 503),
        ("k1", {}, "/b/x", 404),
        ("k1", {"is_fresh": False}, "/b/x", 503),
        ("k1", {"table": None}, "/a/x", 503),
    ],
)
def test_admission_by_key_and_route(key, view, path, expected):
    """Guards against requests with revoked keys that run.

    Also guards against a 401 or 404 because of an outdated fleet configuration.
    """

    async def client(address, fleet):
        reply = await send(address, path, key)
        return reply.status, [request for _, request in fleet.seen]

    status, seen = run_relay(
        RouteKind.ORDER, [[GOOD]], client, view=view, keys=("k1",), keyless=False
    )
    assert status == expected
    assert len(seen) == (expected == 200)
    if seen:
        assert seen[0].headers["tenant"] == "guild"
        assert "credential" not in seen[0].headers


def test_broken_stream_is_resumed_at_another_engine():
    """Guards against lost or repeated events when an engine fails within an event."""
    first = stream(event(1) + event(2) + b"id: 3\ndata: to")
    second = stream(event(2) + event(3) + event(4), fail=False)

    async def client(address, fleet):
        reply = await send(address)
        return reply.body, [r.headers.get("last-event-id") for _, r in fleet.seen]

    body, resumed = run_relay(
        RouteKind.STREAM, [[first], [second]], client, resumable=True
    )
    assert body == event(1) + event(2) + event(3) + event(4)
    assert resumed == [None, "2"]


def test_stream_that_may_not_be_resumed_is_visibly_broken():
    """Guards against a truncated answer that looks complete, and a second run."""
    first = stream(event(1))

    async def client(address, fleet):
        with pytest.raises(TargetFailed):
            await send(address)
        return len(fleet.seen)

    assert run_relay(RouteKind.STREAM, [[first], [GOOD]], client) == 1


def test_disconnect_of_the_caller_ends_the_attempt():
    """Guards against engines that continue after the caller has disconnected."""
    last_events = []

    def endless(request):
        async def data():
            try:
                for number in range(1, 10_000):
                    yield event(number)
                    await curio.sleep(0.02)
            finally:
                last_events.append(number)

        return Response(200, data(), (("Attempt-Id", "abc"), SIGNATURE))

    async def client(address, fleet):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(
            b"POST /a/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: abc\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        await sock.recv(1_000)
        await sock.close()
        await curio.sleep(0.4)
        return list(last_events)

    (number,) = run_relay(RouteKind.STREAM, [[endless]], client)
    assert number < 50


def test_events_are_split_independently_of_the_chunks():
    """Guards against events that are truncated, merged or renumbered."""
    data = event(1) + b"weight-versions: 2\nid: 2\ndata: x\n\n" + b"data: y\r\n\r\n"
    for size in (1, 2, 3, 7, 100):
        splitter = EventSplitter()
        chunks = [data[n : n + size] for n in range(0, len(data), size)]
        events = [found for chunk in chunks for found in splitter.feed(chunk)]
        assert b"".join(found.data for found in events) == data
        assert [found.event_id for found in events] == [1, 2, None]
        assert splitter.buffer == b""
    assert not re.search(rb"id", splitter.buffer)


class LateConnector(DirectConnector):
    """Opens a connection just as the attempt's time ends, after a process pause."""

    def __init__(self):
        self.opened = 0

    async def connect(self, address, timeout_ms):
        self.opened += 1
        if self.opened > 1:
            raise ConnectFailed("refused", refused=True)
        task = await curio.spawn(self.connect_late, address, timeout_ms)
        return await task.join()

    async def connect_late(self, address, timeout_ms):
        opened = await super().connect(address, timeout_ms)
        time.sleep(0.2)
        return opened


def test_request_that_was_sent_as_its_attempt_timed_out_may_have_run():
    """Guards against "not run" for a request that is sent after that was decided."""

    async def client(address, fleet):
        reply = await send(address)
        await curio.sleep(0.2)
        return reply.status, len(fleet.seen)

    status, arrived = run_relay(
        RouteKind.IDEMPOTENT,
        [[GOOD], [GOOD]],
        client,
        connector=LateConnector(),
        aim_ms=100,
    )
    assert arrived == 0 or status != 503
