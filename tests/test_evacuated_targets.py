"""Tests of requests, stage calls and tunnels to targets of evacuated data centres."""

import functools
from unittest import mock

import attrs
import curio
import pytest
from wagtail_platform.stage_calls import PlatformStageClient

from tests.test_away_refusals import Stages
from tests.test_notices import Harness
from tests.test_relay_front import (
    SIGNATURE,
    Engines,
    FakeView,
    answer,
    event,
    lone_grants,
    run_relay,
    send,
    stream,
)
from tests.test_stream_takeup import BROKEN_FIRST, REST, begin, run_takeup, take_up
from tests.test_tunnels import Carrier, View, cut_entry
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.connector import Connector
from wagtailrun.adapters.http_client import (
    DirectConnector,
    HttpClient,
    SendPermit,
)
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import SystemClock
from wagtailrun.discovery import News, NewsMarks
from wagtailrun.exceptions import ConnectFailed, SendForbidden, Verdict
from wagtailrun.relay.limits.notices import TargetNotices
from wagtailrun.relay.requests.evacuated_services import EVACUATED_RETRY_MS
from wagtailrun.routes import (
    RouteKind,
    StageStep,
)
from wagtailrun.stages.port import StageItem
from wagtailrun.virtual_time import run_virtual

pytestmark = pytest.mark.network

ITEMS = [StageItem("r1", 0, 0, 500, key="k")]
run_virtual_relay = functools.partial(run_relay, run=run_with_virtual_sockets)


def evacuate(view, *names, version=1):
    view.evacuations.apply(News(NewsMarks(evacuations=version), evacuations=names))


def move(fleet, number, data_centre):
    """Say that a target is in another data centre than "a"."""
    fleet.rows[number] = attrs.evolve(fleet.rows[number], data_centre=data_centre)


class EvacuatedMeanwhile(Connector):
    """Direct connections; an order arrives while the first one is opened."""

    def __init__(self, *names):
        self.names = names
        self.direct = DirectConnector()
        self.view = None

    async def connect(self, address, timeout_ms):
        opened = await self.direct.connect(address, timeout_ms)
        evacuate(self.view, *self.names)
        return opened

    def may_reuse(self, address):
        return True


@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.ORDER])
@pytest.mark.parametrize("steps", [(), (StageStep("board", (), 800),)])
def test_request_whose_targets_are_all_evacuated_is_refused_at_once(kind, steps):
    """Guards against a caller who waits, or does not learn why nothing ran."""
    stages = Stages()

    def prepare(handler):
        stages.use(handler, kind, steps, prompt_affinity=bool(steps))
        evacuate(handler.view, "a", "b")

    async def client(address, fleet):
        clock = SystemClock()
        started_ms = clock.now_ms()
        more = [("pieces", "2")] if steps else []
        reply = await send(address, more=more)
        took_ms = clock.now_ms() - started_ms
        return reply, took_ms, fleet.seen

    reply, took_ms, seen = run_virtual_relay(
        kind, [[answer()]], client, on_handler=prepare
    )
    assert (reply.status, took_ms, seen, stages.run_count) == (503, 0, [], 0)
    assert b"not-run" in reply.body
    assert b"['a'], which are evacuated" in reply.body
    assert float(reply.headers["retry-after"]) * 1_000 >= EVACUATED_RETRY_MS


@pytest.mark.parametrize(("pieces", "status"), [("2", 503), ("0", 200)])
def test_request_whose_stage_targets_are_evacuated_is_refused_at_once(pieces, status):
    """Guards against an overload as the reason of a refusal because of an order.

    A request without pieces for the stage runs.
    """
    stages = Stages()

    def prepare(handler):
        steps = (StageStep("board", (), 800),)
        stages.use(handler, RouteKind.ORDER, steps, prompt_affinity=False)
        view = handler.view
        known = view.rows[0]
        board = attrs.evolve(known, name="b0", service="board", data_centre="b")
        view.rows.append(board)
        evacuate(view, "b")

    async def client(address, fleet):
        reply = await send(address, more=[("pieces", pieces)])
        return reply.status, reply.body, stages.run_count

    def targets(view, service):
        rows = [row for row in view.rows if row.service == service]
        return [row for row in rows if not view.evacuations.includes(row)]

    done = answer(200, b"ok", SIGNATURE)
    with mock.patch.object(FakeView, "targets", targets):
        code, body, runs = run_virtual_relay(
            RouteKind.ORDER, [[done]], client, on_handler=prepare
        )
    assert (code, runs) == (status, 0)
    assert (b"board outside ['b'], which are evacuated" in body) == (status == 503)


def test_service_without_targets_does_not_blame_an_evacuation():
    """Guards against a refusal that names a cause that is not the true one."""

    async def client(address, fleet):
        fleet.rows.clear()
        return (await send(address)).body

    def prepare(handler):
        evacuate(handler.view, "a")

    body = run_virtual_relay(RouteKind.ORDER, [[answer()]], client, on_handler=prepare)
    assert b"evacuated" not in body


@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.ORDER])
def test_request_is_not_sent_once_the_order_arrived(kind):
    """Guards against a send to a target that was chosen before the order arrived."""
    connector = EvacuatedMeanwhile("a")

    def prepare(handler):
        connector.view = handler.view

    async def client(address, fleet):
        move(fleet, 1, "b")
        reply = await send(address)
        return reply.status, [number for number, _ in fleet.seen]

    done = (
        answer(200, b"ok", SIGNATURE)
        if kind is RouteKind.ORDER
        else stream(event(1), fail=False)
    )
    result = run_virtual_relay(
        kind, [[done], [done]], client, connector=connector, on_handler=prepare
    )
    assert result == (200, [1])


def test_stream_that_runs_goes_on_and_is_continued_elsewhere():
    """Guards against a stream that ends early, or returns to an evacuated target."""

    async def client(address, fleet):
        fleet.rows[:] = [
            attrs.evolve(row, software_version="v1", data_centre=place)
            for row, place in zip(fleet.rows, "aab", strict=True)
        ]
        reply = await send(address)
        return reply.body, [number for number, _ in fleet.seen]

    views = []

    async def data(request):
        evacuate(views[0], "a")
        return stream(event(1), event(2))(request)

    body, seen = run_virtual_relay(
        RouteKind.STREAM,
        [[data], [REST], [stream(event(3), fail=False)]],
        client,
        on_handler=lambda handler: views.append(handler.view),
        resumable=True,
        max_attempts=3,
    )
    assert (body, seen) == (event(1) + event(2) + event(3), [0, 2])


@pytest.mark.parametrize(
    ("evacuated", "status", "seen"), [(["a"], 200, [0, 1]), (["a", "b"], 503, [0])]
)
def test_stream_whose_origin_is_evacuated_is_taken_up_elsewhere(
    evacuated, status, seen
):
    """Guards against a stream that returns to an evacuated target, or waits for one."""
    views = []

    async def client(address, fleet):
        move(fleet, 1, "b")
        await begin(address)
        evacuate(views[0], *evacuated)
        reply = await take_up(address)
        return reply.status, b"evacuated" in reply.body

    result = run_takeup(
        [[BROKEN_FIRST], [REST]],
        ["v1", "v1"],
        client,
        on_handler=lambda handler: views.append(handler.view),
    )
    assert result == ((status, status == 503), seen)


def test_stage_call_is_not_sent_once_the_order_arrived():
    """Guards against pieces for a target that was chosen before the order arrived.

    Results that such a target holds are still released.
    """

    async def main():
        fleet = Engines()
        await fleet.start(lambda request: Response(200, b"{}"))
        await curio.sleep(0.05)
        (row,) = fleet.rows
        clock, view = SystemClock(), FakeView(None, fleet.rows)
        connector = EvacuatedMeanwhile("a")
        connector.view = view
        wire = Harness(clock)
        notices = TargetNotices(clock, wire, view, lone_grants(clock, view), 1)
        client = PlatformStageClient(HttpClient(clock, notices, connector))
        with pytest.raises(SendForbidden) as error:
            await client.run(row, ITEMS, 1_000)
        sent = len(fleet.seen)
        await client.free(row.address, ["h"])
        return error.value.verdict, sent, [request.path for _, request in fleet.seen]

    assert run_with_virtual_sockets(main) == (Verdict.NOT_RUN, 0, ["/stage-free"])


def test_permit_for_work_ends_with_an_order():
    """Guards against work that a permit of before the order lets through."""

    async def main(clock):
        harness = Harness(clock)
        permits = [SendPermit(harness.row, 0, number) for number in (1, 0)]
        address = harness.row.address
        for permit in permits:
            harness.notices.check(address, permit)
        evacuate(harness, harness.row.data_centre)
        with pytest.raises(SendForbidden):
            harness.notices.check(address, permits[0])
        harness.notices.check(address, permits[1])
        evacuate(harness, version=2)
        harness.notices.check(address, permits[0])

    run_virtual(main)


@pytest.mark.parametrize(("probe", "opens"), [(False, False), (True, True)])
def test_entry_opens_no_tunnel_to_an_evacuated_target(probe, opens):
    """Guards against an entry out of touch whose work others carry to the target."""

    async def main():
        fleet = Engines()
        await fleet.start(answer())
        await curio.sleep(0.05)
        (row,) = fleet.rows
        carrier = Carrier(View(None, [row]))
        evacuate(carrier.view, "a")
        view = View(None, [row], entries=[await carrier.start()])
        connector = cut_entry(view)
        ends_ms = SystemClock().now_ms() + 1_000
        outcome = await connector.carriers.connect(row.address, ends_ms, probe=probe)
        if outcome.opened is not None:
            await outcome.opened.sock.close()
        else:
            with pytest.raises(ConnectFailed) as error:
                await connector.connect(row.address, 500)
            assert not error.value.confirmed
        return carrier.asked > 0, outcome.opened is not None

    assert run_with_virtual_sockets(main) == (True, opens)
