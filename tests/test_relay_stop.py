"""Tests of requests that an entry receives while it stops as planned."""

import curio
import pytest

from tests.test_relay_front import GOOD, SIGNATURE, event, run_relay, send
from wagtailrun.adapters.http_server import Response
from wagtailrun.relay.front import STOP_ANSWER_MS, StopPlan
from wagtailrun.routes import RouteKind

pytestmark = pytest.mark.network

MARGIN_MS = 150


def lasting(duration_s):
    """Answer after a time, or stream an event in that time."""

    def reply(request):
        async def data():
            await curio.sleep(duration_s)
            yield event(1)

        echo = ("Attempt-Id", request.headers["attempt-id"])
        return Response(200, data(), (echo, SIGNATURE))

    return reply


def run_stopping(kind, engine, notice_ms, ends_ms, **options):
    """Send a request to an entry that stops; return reply, time and its arrivals."""

    def stop(handler):
        now_ms = handler.clock.now_ms()
        handler.stop = StopPlan(now_ms + notice_ms, now_ms + ends_ms)
        clocks.append((handler.clock, now_ms))

    async def client(address, fleet):
        reply = await send(address)
        clock, started_ms = clocks[0]
        return reply, clock.now_ms() - started_ms, len(fleet.seen)

    clocks = []
    return run_relay(kind, [[engine]], client, on_handler=stop, **options)


def test_stream_that_the_stop_would_cut_off_is_refused_at_once():
    """Guards against streams that a planned stop cuts off without an answer (LOST).

    Found by a hunted day: the load balancer had sent new connections to an entry that
    was about to end, because too few others were ready.
    """
    reply, took_ms, arrived = run_stopping(RouteKind.STREAM, lasting(5), -1, 1_000)
    assert (reply.status, arrived) == (503, 0)
    assert 0 < float(reply.headers["retry-after"]) < 0.5
    assert took_ms < 500


def test_request_is_answered_before_the_process_ends():
    """Guards against a request that the end of the process leaves without an answer."""
    reply, took_ms, arrived = run_stopping(
        RouteKind.IDEMPOTENT, lasting(5), -1, 1_000, aim_ms=300, max_attempts=1
    )
    assert (reply.status, arrived) == (504, 1)
    assert 1_000 - STOP_ANSWER_MS <= took_ms < 1_000


@pytest.mark.parametrize(
    ("kind", "notice_ms", "ends_ms", "status"),
    [
        (RouteKind.STREAM, 500, 1_000, 200),
        (RouteKind.STREAM, -1, 5_000, 200),
        (RouteKind.ORDER, -1, 1_000, 200),
        (RouteKind.ORDER, -1, STOP_ANSWER_MS + MARGIN_MS, 503),
        (RouteKind.ORDER, 500, STOP_ANSWER_MS + MARGIN_MS, 200),
    ],
)
def test_requests_that_end_before_the_stop_are_served(kind, notice_ms, ends_ms, status):
    """Guards against needless refusals while an entry stops.

    Before the load balancer has noticed the stop, all requests are admitted.
    """
    engine = lasting(0.01) if kind is RouteKind.STREAM else GOOD
    assert run_stopping(kind, engine, notice_ms, ends_ms)[0].status == status
