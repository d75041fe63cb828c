"""Tests of answers that last longer than the rest of a planned stop."""

import functools

import curio
import pytest

from tests import test_relay_front
from tests.stopping_entries import make_relay_entry as make_entry
from tests.test_relay_front import SIGNATURE, event
from tests.test_server_close import connect, read_all
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_client import DirectConnector
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events
from wagtailrun.relay.placement.answer_times import MIN_ANSWERS
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

    def __init__(self, entry, fleet, stop_signal, stopping, serving):
        self.entry = entry
        self.fleet = fleet
        self.stop_signal = stop_signal
        self.stopping = stopping
        self.serving = serving
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
        entry.handler = entry.planned_stop.entry.handler = handler
        entry.caller_server.handler = handler.handle
        serving = await curio.spawn(entry.caller_server.serve, daemon=True)
        stopping = await curio.spawn(entry._stop_on_signal)
        await curio.sleep(0.2)
        caller = Caller(entry, fleet, stop_signal, stopping, serving)
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


@pytest.mark.parametrize(
    "kind", [RouteKind.STREAM, RouteKind.ORDER, RouteKind.IDEMPOTENT]
)
def test_request_that_would_outlast_the_stop_is_refused_as_not_run(kind, stop_signal):
    """Guards against a request that a stopping entry takes, sends and gives up.

    The load balancer had not noticed the stop, so the entry asked only for the time
    since the signal; the answers of the route last longer than what is left.
    """
    engine = stream(6) if kind is RouteKind.STREAM else stream(0.01, wait_s=5.5)

    async def client(caller):
        await caller.teach()
        arrived = len(caller.fleet.seen)
        caller.begin_stop()
        await caller.sleep_until(2.0)
        answer = await caller.send()
        return answer, caller.since_signal_s(), len(caller.fleet.seen) - arrived

    answer, ended_s, arrived = run_entry(
        kind, engine, client, stop_signal, max_attempts=1, aim_ms=6_000
    )
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 0.05" in answer.lower()
    assert (arrived, ended_s < 2.2) == (0, True)


@pytest.mark.parametrize("known", [True, False])
def test_request_that_ends_before_the_stop_is_served(known, stop_signal):
    """Guards against refusals of all that the load balancer still sends.

    Answers of 5 s end in time; of a route without answers nothing is known.
    """

    async def client(caller):
        await caller.teach(MIN_ANSWERS if known else 1)
        caller.begin_stop()
        await caller.sleep_until(2.0)
        return await caller.send()

    engine = stream(5)
    answer = run_entry(RouteKind.STREAM, engine, client, stop_signal)
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"\r\n0\r\n\r\n")


def test_short_request_of_a_route_with_long_ones_is_served_in_a_stop(stop_signal):
    """Guards against refusals of short answers because others of the route are long."""

    def reply(request):
        tokens = int(request.headers["length-hint"])
        return stream(tokens / 100)(request)

    async def client(caller):
        for tokens in [10, 650] * MIN_ANSWERS:
            await caller.send(f"Length-Hint: {tokens}\r\n")
        caller.begin_stop()
        await caller.sleep_until(2.0)
        answers = []
        for tokens in (10, 650):
            answers.append(await caller.send(f"Length-Hint: {tokens}\r\n"))
        return [answer[:12] for answer in answers]

    answers = run_entry(RouteKind.STREAM, reply, client, stop_signal)
    assert answers == [b"HTTP/1.1 200", b"HTTP/1.1 503"]


@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.ORDER])
def test_request_that_waits_too_long_for_a_target_is_not_sent_in_a_stop(
    kind, stop_signal
):
    """Guards against a request that is sent after a wait, however little is left.

    It was admitted before the stop, and its target asked for a pause.
    """
    pauses = []

    def prepare(handler):
        def paused_ms(address, urgency):
            return max(pauses[0] - handler.clock.now_ms(), 0) if pauses else 0

        handler.attempts.selection.notices.paused_ms = paused_ms

    async def client(caller):
        await caller.teach()
        arrived = len(caller.fleet.seen)
        pauses.append(caller.entry.clock.now_ms() + 6_000)
        task = await curio.spawn(caller.send)
        await curio.sleep(0.1)
        caller.begin_stop()
        answer = await task.join()
        return answer, caller.since_signal_s(), len(caller.fleet.seen) - arrived

    engine = stream(3) if kind is RouteKind.STREAM else stream(0.01, wait_s=2.5)
    answer, ended_s, arrived = run_entry(
        kind, engine, client, stop_signal, prepare=prepare, aim_ms=14_000
    )
    assert (answer[:12], arrived) == (b"HTTP/1.1 503", 0)
    # As soon as it is known: 3 s before the end.
    assert ended_s < ENDS_S - 2.8


@pytest.mark.parametrize("resumable", [True, False])
def test_stream_that_waits_at_its_target_is_given_back_in_time(resumable, stop_signal):
    """Guards against a stream that begins at an engine only to be cut by the stop.

    Its caller has nothing yet and may send it again, so it needs time for that. One
    that must not run twice is waited for until the last refusals.
    """
    waits_s = [0.0] * MIN_ANSWERS + [60.0]

    async def reply(request):
        return await stream(3, waits_s.pop(0))(request)

    async def client(caller):
        await caller.teach()
        caller.begin_stop()
        await caller.sleep_until(0.5)
        answer = await caller.send()
        return answer, caller.since_signal_s()

    answer, ended_s = run_entry(
        RouteKind.STREAM, reply, client, stop_signal, resumable=resumable
    )
    assert answer.startswith(b"HTTP/1.1 502")
    if resumable:
        assert ended_s == pytest.approx(ENDS_S - 3, abs=0.2)
    else:
        assert ended_s > GRACE_S * 7 / 8 - 0.1


def test_stream_in_progress_is_cut_between_events_as_the_process_ends(stop_signal):
    """Guards against a cut stream that looks complete, or ends early or mid-event."""

    async def client(caller):
        caller.begin_stop()
        await caller.sleep_until(1.0)
        task = await curio.spawn(caller.send)
        await caller.stopping.join()
        # The process ends here.
        await caller.serving.cancel()
        answer = await task.join()
        return answer, caller.since_signal_s()

    answer, ended_s = run_entry(
        RouteKind.STREAM, stream(30, count=301), client, stop_signal
    )
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    chunks = body.split(b"\r\n")
    assert b"".join(chunks[1::2]) == b"".join(
        event(number) for number in range(1, len(chunks) // 2 + 1)
    )
    assert not body.endswith(b"0\r\n\r\n")
    assert ENDS_S - 0.1 <= ended_s < GRACE_S


class SlowConnector(DirectConnector):
    """Opens connections that are ready only after a time."""

    def __init__(self):
        super().__init__()
        self.delay_s = 0.0

    async def connect(self, address, timeout_ms):
        await curio.sleep(self.delay_s)
        return await super().connect(address, timeout_ms)


def test_request_whose_connection_opens_too_late_is_not_sent_in_a_stop(stop_signal):
    """Guards against a request that fits when its target is chosen, but not when sent.

    The look for hopeless requests, ten times a second, may come too late for it.
    """
    connector = SlowConnector()

    def prepare(handler):
        async def look_never():
            pass

        handler.end_hopeless = look_never

    async def client(caller):
        await caller.teach()
        arrived = len(caller.fleet.seen)
        connector.delay_s = 0.4
        caller.begin_stop()
        await caller.sleep_until(ENDS_S - 5 - 0.2)
        answer = await caller.send()
        return answer[:12], len(caller.fleet.seen) - arrived

    answer = run_entry(
        RouteKind.STREAM,
        stream(5),
        client,
        stop_signal,
        prepare=prepare,
        connector=connector,
    )
    assert answer == (b"HTTP/1.1 503", 0)


def test_request_that_comes_back_to_a_stopping_entry_is_served(stop_signal):
    """Guards against a caller whose every try the stopping entry refuses.

    Most answers take longer than what is left, but not half of them.
    """
    durations_s = [2] * (MIN_ANSWERS // 2) + [5] * (MIN_ANSWERS // 2) + [2]

    def reply(request):
        return stream(durations_s.pop(0))(request)

    async def client(caller):
        await caller.teach()
        caller.begin_stop()
        await caller.sleep_until(ENDS_S - 4.95)
        return [(await caller.send())[:12] for _ in range(2)]

    answers = run_entry(RouteKind.STREAM, reply, client, stop_signal)
    assert answers == [b"HTTP/1.1 503", b"HTTP/1.1 200"]


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("leaves_after_s", [0.0, 0.5, 1.5, 9.0])
def test_request_whose_caller_leaves_is_not_kept(
    leaves_after_s, resumable, stop_signal
):
    """Guards against records of requests that have ended, one for each of them."""
    handlers = []

    async def client(caller):
        async with curio.ignore_after(leaves_after_s):
            await caller.send()
        await curio.sleep(0.1)
        return dict(handlers[0].running.tasks_by_job)

    kept = run_entry(
        RouteKind.STREAM,
        stream(3, wait_s=1),
        client,
        stop_signal,
        prepare=handlers.append,
        resumable=resumable,
    )
    assert kept == {}
