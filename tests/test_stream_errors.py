"""Tests of streams in which a target sends what is no event."""

import curio
import pytest

from demo.processes import free_addresses
from tests.test_relay_front import event, run_relay, send, stream
from tests.test_repeated_answers import LATE_S, ScriptedEngine
from wagtailrun.adapters.http_server import Response
from wagtailrun.exceptions import TargetFailed
from wagtailrun.relay.requests.events_split import EventSplitter
from wagtailrun.routes import RouteKind
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: abc\r\nServer-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
)
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nfail"


def run_broken_stream(*pieces, others=()):
    """Return the body of a stream, None if it broke."""

    async def client(address, fleet):
        await ScriptedEngine(pieces).start(fleet)
        try:
            return (await send(address)).body
        except TargetFailed:
            return None

    return run_relay(
        RouteKind.STREAM, list(others), client, resumable=True, max_attempts=2
    )


@pytest.mark.parametrize(
    "cut", [ERROR, ERROR[:-4], b"id: 2\ndata: to" + ERROR[:-4], b"data: x\n\n"]
)
def test_what_is_no_event_is_not_passed_on(cut):
    """Guards against an error's head and text in the middle of a caller's stream."""
    assert run_broken_stream(HEAD + event(1), cut) is None


def test_error_in_place_of_the_first_event_is_not_passed_on():
    """Guards against an error's head that a caller gets as its first event."""
    assert run_broken_stream(HEAD, ERROR + b"\r\n\r\n") is None


def test_comments_between_events_are_passed_on():
    """Guards against sound streams that are cut because of a keep-alive comment."""
    body = event(1) + b": still here\n\n\n\n" + event(2)

    async def client(address, fleet):
        (own,) = free_addresses(1)

        async def serve(sock, peer):
            await sock.recv(65_536)
            await sock.sendall(HEAD + body)
            await sock.close()

        await curio.spawn(curio.tcp_server, own.host, own.port, serve, daemon=True)
        fleet.rows.insert(0, TargetRow("raw", own, "s", "a", 4, software_version="v1"))
        await curio.sleep(LATE_S)
        return (await send(address)).body

    assert run_relay(RouteKind.STREAM, [], client) == body


@pytest.mark.parametrize(("kind", "body"), [("text/event-stream", True), ("", False)])
def test_rest_of_another_type_is_not_joined(kind, body):
    """Guards against the text of an error that is joined to a stream with status 200.

    The stream broke off, and the next target answered with something else.
    """

    def typed(content_type, *chunks, fail):
        def reply(request):
            first = stream(*chunks, fail=fail)(request)
            more = (("Content-Type", content_type),) if content_type else ()
            return Response(200, first.body, (*first.headers, *more))

        return reply

    async def client(address, fleet):
        try:
            return (await send(address)).body
        except TargetFailed:
            return None

    engines = [
        [typed("text/event-stream; charset=utf-8", event(1), fail=True)],
        [typed(kind, event(2), fail=False)],
    ]
    found = run_relay(RouteKind.STREAM, engines, client, resumable=True)
    assert found == (event(1) + event(2) if body else None)


def test_event_that_quotes_a_head_is_passed_on():
    """Guards against sound streams that are cut because of their text."""
    block = b"id: 4\ndata: HTTP/1.1 500 Internal\ndata: Content-Length: 4\n\n"
    (quoting,) = EventSplitter().feed(block)
    assert not quoting.has_http_head


def test_numbers_that_jump_are_passed_on():
    """Guards against sound streams that break because their numbers have gaps.

    The platform says that they increase, not by how much, so a gap shows no loss. A
    stream that breaks after one goes on behind its newest number.
    """

    async def client(address, fleet):
        body = (await send(address)).body
        resumed = [request.headers.get("last-event-id") for _, request in fleet.seen]
        return body, resumed

    engines = [[stream(event(1) + event(7))], [stream(event(9), fail=False)]]
    found = run_relay(RouteKind.STREAM, engines, client, resumable=True)
    assert found == (event(1) + event(7) + event(9), [None, "7"])
