"""Tests of answers that last longer than the rest of a planned stop."""

import functools

import curio
import pytest

from tests import test_relay_front
from tests.test_relay_front import SIGNATURE, event
from tests.test_relay_stop import make_entry
from tests.test_server_close import connect, read_all
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun import events
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.relay.answer_times import MIN_ANSWERS
from wagtailrun.routes import RouteKind

pytestmark = pytest.mark.network

GRACE_S = 8.0
# The entry means to end this long after the signal.
ENDS_S = 7.6
run_relay = functools.partial(
    test_relay_front.run_relay, run=run_with_virtual_sockets, limit_s=200
)


def stream(duration_s, wait_s=0.0, count=4):
    """Stream some events in a time, which begins after a wait for the first one."""

    def reply(request):
        async def data():
            for number in range(1, count + 1):
                yield event(number)
                if number < count:
                    await curio.sleep(duration_s / (count - 1))

        echo = ("Attempt-Id", request.headers["attempt-id"])
        return Response(200, data(), (echo, SIGNATURE))

    async def late_reply(request):
        await curio.sleep(wait_s)
        return reply(request)

    return late_reply


class Caller:
    """Sends requests to an entry that stops, and measures their answers."""

    def __init__(self, entry, fleet, stop_signal, stopping):
        self.entry = entry
        self.fleet = fleet
        self.stop_signal = stop_signal
        self.stopping = stopping
        self.signalled_s = 0.0

    def begin_stop(self):
        self.signalled_s = self.entry.clock.now_ms() / MS_PER_SECOND
        self.stop_signal()

    def since_signal_s(self):
        return self.entry.clock.now_ms() / MS_PER_SECOND - self.signalled_s

    async def sleep_until(self, after_signal_s):
        await curio.sleep(max(after_signal_s - self.since_signal_s(), 0))

    async def send(self, headers=""):
        """Return the bytes of an answer up to the close of its connection."""
        sock = await connect(
            self.entry.settings.caller_address,
            f"POST /a/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: abc\r\n"
            f"Deadline-Remaining: 15000\r\nConnection: close\r\n{headers}"
            f"Content-Length: 0\r\n\r\n".encode(),
        )
        async with sock:
            return await read_all(sock)

    async def teach(self, count=MIN_ANSWERS):
        """Send requests whose answers show how long those of the route take."""
        for _ in range(count):
            assert (await self.send()).startswith(b"HTTP/1.1 200")


def run_entry(kind, engine, client, stop_signal, *, prepare=None, **options):
    """Run ``client(caller)`` against an entry of a relay with one engine."""
    handlers = []

    async def main(address, fleet):
        (handler,) = handlers
        entry = make_entry(grace_s=GRACE_S)
        entry.signals.install()
        entry.handler = handler
        entry.caller_server.handler = handler.handle
        await curio.spawn(entry.caller_server.serve, daemon=True)
        stopping = await curio.spawn(entry._stop_on_signal)
        await curio.sleep(0.2)
        caller = Caller(entry, fleet, stop_signal, stopping)
        result = await client(caller)
        await stopping.cancel()
        return result

    def on_handler(handler):
        handlers.append(handler)
        if prepare is not None:
            prepare(handler)

    values = {"timeout_ms": 15_000, "aim_ms": 1_900, **options}
    return run_relay(kind, [[engine]], main, on_handler=on_handler, **values)


def test_answer_that_a_stop_cuts_is_named_in_the_log(stop_signal, logged):
    """Guards against a cut answer of which the log says only that there was one.

    Nothing told which request it was, when it was sent and what was expected of it.
    """

    async def client(caller):
        caller.begin_stop()
        await caller.sleep_until(1.0)
        answer = await caller.send("Token-Count: 10,600\r\nLength-Hint: 700\r\n")
        await caller.stopping.join()
        return answer

    answer = run_entry(RouteKind.STREAM, stream(30), client, stop_signal)
    assert answer.startswith(b"HTTP/1.1 200")
    (cut,) = [fields for each, fields in logged if each is events.ANSWER_CUT]
    assert (cut["request_id"], cut["route"], cut["target"]) == ("abc", "r", "t0")
    assert (cut["answer_tokens"], cut["answer_ms"]) == (600, 0)
    assert cut["left_ms"] == pytest.approx((ENDS_S - 1.0) * MS_PER_SECOND, abs=100)
