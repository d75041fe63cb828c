"""Tests of what each end of an attempt means, by one table for both entries.

Targets are scripts on virtual sockets, so that each end is one on the wire.
"""

import functools
import re

import attrs
import curio
import h11
import pytest

from demo.processes import free_addresses
from tests.test_relay_front import run_relay, send
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.connector import Reachability
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_connection import HttpConnection
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.clock import SystemClock
from wagtailrun.exceptions import Refusal, TargetFailed
from wagtailrun.ports.target import Attempt
from wagtailrun.relay.core.placement_messages import RunOver
from wagtailrun.routes import RouteKind
from wagtailrun.serving.dispatch import Dispatcher
from wagtailrun.targets.routing import LeastLoadedRouter
from wagtailrun.targets.table import Membership, TargetRow
from wagtailrun.targets.work import Work
from wagtailrun.virtual_time import run_virtual

pytestmark = pytest.mark.network

ENTRIES = ("product", "relay", "relay-engines")
NOT_RUN, MAY_HAVE_RUN, COMPLETE = "not-run", "may-have-run", "complete"
SUCCEEDED, FAILED, UNREACHABLE = "succeeded", "failed", "unreachable"
REJECTED, NOTHING = "rejected", "over"
# More than the socket buffers hold, so that a target can act before the last byte.
LARGE = b"x" * 900_000
# More than a target reads with the head, but the socket takes all of it at once.
SMALL = b"x" * 10_000
DEADLINE_MS = 2_000
SILENT = None
NOT_RUN_HEADERS = b"Wagtailrun-Verdict: not-run\r\nNot-Executed: 1\r\n"


def answer(status=200, headers=b"", body=b"{}", echo=b"ECHO"):
    """Return an answer; ``ECHO`` stands for the headers that name the request."""
    length = b"Content-Length: %d\r\n" % len(body)
    line = b"HTTP/1.1 %d Status\r\n" % status
    return line + echo + length + headers + b"\r\n" + body


OF_ANOTHER = b"Wagtailrun-Attempt: 1\r\nAttempt-Id: other\r\nServer-Seal: s\r\n"
# Events that both entries can read, and the answer that they make up.
EVENTS = [
    b'id: 1\ndata: {"offset": 0, "text": "a"}\n\n',
    b'id: 2\ndata: {"offset": 1, "text": "b"}\n\n',
    b'id: 3\nevent: done\ndata: {"tokens": 2}\n\n',
]
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
WHOLE = answer(headers=EVENT_STREAM, body=b"".join(EVENTS))
FIRST = WHOLE.removesuffix(EVENTS[1] + EVENTS[2])
REST = answer(headers=EVENT_STREAM, body=EVENTS[1] + EVENTS[2])
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


@attrs.frozen
class End:
    """One end of an attempt, and what it means.

    Attributes:
        name: Name of the end.
        steps: What the target sends; ``SILENT`` if it then sends nothing more, else it
            closes the connection. None if it accepts no connection.
        verdict: Verdict of a request with this attempt only.
        observed: What is recorded of the target.
        again: Whether repeatable and unrepeatable requests are tried again.
        body: Body of the request.
        reads_all: Whether the target reads the whole request before it acts.
        differs: What differs at an entry, for a reason that the table states.
        rest: What the other target answers if a stream moves there; None for a call.
        version: Software version of the other target.
    """

    name: str
    steps: tuple | None
    verdict: str = MAY_HAVE_RUN
    observed: str = FAILED
    again: tuple[bool, bool] = (True, False)
    body: bytes = b"{}"
    reads_all: bool = True
    differs: dict = attrs.field(factory=dict)
    rest: bytes | None = None
    version: str = "v1"

    def at(self, entry):
        """Return the end as it is at an entry."""
        return attrs.evolve(self, **self.differs.get(entry.partition("-")[0], {}))


# The product's entry sends an order at most once, whatever the target says of it. It
# knows no full targets: blame is what keeps work away from them, and from those that
# pause while no other can serve.
AT_MOST_ONCE = {"product": {"again": (True, False), "observed": FAILED}}
ENDS = [
    End("refused", None, NOT_RUN, UNREACHABLE, (True, True)),
    End("reset before the last byte", (), body=LARGE, reads_all=False),
    End("reset after the last byte", (), body=SMALL, reads_all=False),
    End("closed without an answer", ()),
    End("head cut", (answer()[:30],)),
    End("head reset", (answer()[:30],), body=SMALL, reads_all=False),
    End("body cut", (answer(body=b"whole")[:-1],)),
    End("body reset", (answer(body=b"whole")[:-1],), body=SMALL, reads_all=False),
    End(
        "early answer",
        (answer(), SILENT),
        COMPLETE,
        SUCCEEDED,
        (False, False),
        body=LARGE,
        reads_all=False,
    ),
    End("early failure", (answer(500), SILENT), body=LARGE, reads_all=False),
    End("interim", (INTERIM, answer()), COMPLETE, SUCCEEDED, (False, False)),
    End("interims without end", (INTERIM,) * 9 + (answer(), SILENT)),
    End("impossible status", (answer(600), SILENT)),
    End("no HTTP", (b"\x00\x01\x02\r\n\r\n", SILENT)),
    End("failure", (answer(500), SILENT)),
    End("answer to another request", (answer(echo=OF_ANOTHER),)),
    End("answers to other requests", (answer(echo=OF_ANOTHER),) * 2 + (SILENT,)),
    # The relay passes it on. The product's entry cannot, and tries another target.
    End(
        "error of the caller",
        (answer(404), SILENT),
        observed=NOTHING,
        again=(False, False),
        differs={"product": {"observed": FAILED, "again": (True, False)}},
    ),
    End(
        "pause",
        (answer(503, NOT_RUN_HEADERS + b"Retry-After: 1\r\n"), SILENT),
        NOT_RUN,
        REJECTED,
        (True, True),
        differs=AT_MOST_ONCE,
    ),
    End(
        "full",
        (answer(503, NOT_RUN_HEADERS), SILENT),
        NOT_RUN,
        REJECTED,
        (True, True),
        differs=AT_MOST_ONCE,
    ),
    # A target that accepts connections is not blamed by the product's entry, as only
    # this connection may have stalled. The relay has no probe: its silence watch counts
    # targets that are silent to several requests.
    End("timed out", (SILENT,), differs={"product": {"observed": NOTHING}}),
    End(
        "timed out in the body",
        (answer(body=b"whole")[:-1], SILENT),
        differs={"product": {"observed": NOTHING}},
    ),
]

end_of_stream = functools.partial(End, rest=REST)
STREAM_ENDS = [
    end_of_stream("whole", (WHOLE,), COMPLETE, SUCCEEDED, (False, False)),
    end_of_stream("cut", (FIRST,)),
    end_of_stream("cut in an event", (FIRST + EVENTS[1][:-5],)),
    end_of_stream("reset", (FIRST,), body=SMALL, reads_all=False),
    end_of_stream("no event", (FIRST, b"data: [\n\n", SILENT)),
    # The other target may have another text.
    end_of_stream("version mismatch", (FIRST,), again=(False, False), version="v2"),
    end_of_stream(
        "timed out", (FIRST, SILENT), differs={"product": {"observed": NOTHING}}
    ),
]


class ScriptedTarget:
    """Target that plays the same end for each request."""

    def __init__(self, end):
        self.end = end
        self.requests = 0

    async def serve(self, sock, peer):
        """Serve one connection."""
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                if not (piece := await sock.recv(4_096)):
                    return
                data += piece
            head, _, rest = data.partition(b"\r\n\r\n")
            if head.startswith((b"DELETE", b"GET")):
                await sock.sendall(answer(404, echo=b""))
                data = rest
                continue
            self.requests += 1
            length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
            # What is unread when the connection closes makes that a reset.
            while self.end.reads_all and len(rest) < length:
                rest += await sock.recv(65_536)
            for step in self.end.steps:
                if step is SILENT:
                    await curio.sleep(60)
                await sock.sendall(step.replace(b"ECHO", echo_of(head)))
                await curio.sleep(0.001)
            if self.end.steps[-1:] != (answer(),):
                return
            data = b""


def echo_of(head):
    """Return the headers by which an answer names its request."""
    names = (rb"wagtailrun-attempt", rb"attempt-id")
    found = [re.search(rb"(?i)" + name + rb": [^\r]*", head) for name in names]
    lines = [match[0] + b"\r\n" for match in found if match]
    return b"".join(lines) + b"Server-Seal: seal\r\n"


@attrs.frozen
class Found:
    """How a request ended.

    Attributes:
        verdict: Its verdict.
        tried_again: Whether another target than the first one was tried.
        observed: What was recorded of the first one.
    """

    verdict: str
    tried_again: bool
    observed: str


async def start_targets(end, count):
    """Start a target with an end, and others that answer; return them with rows."""
    targets = [ScriptedTarget(end)]
    good = End("good", (end.rest or answer(),))
    targets += [ScriptedTarget(good) for _ in range(count - 1)]
    addresses = free_addresses(count)
    for target, address in zip(targets, addresses, strict=True):
        if target.end.steps is not None:
            server = curio.tcp_server(address.host, address.port, target.serve)
            await curio.spawn(server, daemon=True)
    await curio.sleep(0.01)
    rows = [
        TargetRow(
            f"t{number}",
            address,
            "s",
            "a",
            4,
            software_version=end.version if number else "v1",
        )
        for number, address in enumerate(addresses)
    ]
    return targets, rows


def first_untried(rows, avoid):
    """Return the first target that was not tried."""
    return next((row for row in rows if row.name not in avoid), None)


class RecordingRouter(LeastLoadedRouter):
    """Router that records what attempts say about the first target."""

    def __init__(self):
        super().__init__()
        self.observed = []

    def choose(self, candidates, work, avoid=()):
        return first_untried(candidates, avoid) or candidates[0]

    def mark_unreachable(self, target, refused=False):
        if target.name == "t0":
            self.observed.append(UNREACHABLE)

    def ended(self, target, duration_ms, succeeded, work, answer=None, blamed=True):
        super().ended(target, duration_ms, succeeded, work, answer, blamed)
        if target.name == "t0" and not self.observed:
            failed = FAILED if blamed else NOTHING
            self.observed.append(SUCCEEDED if succeeded else failed)


def run_product(end, repeatable, count):
    """Return how a request ends at the product's entry."""

    async def main():
        targets, rows = await start_targets(end, count)
        clock = SystemClock()
        membership = Membership()
        for row in rows:
            membership.put(row, clock.now_ms())
        membership.unconfirmed = True  # Nobody announces the targets.
        http = HttpClient(clock)
        router = RecordingRouter()

        async def probe(address):
            return await http.connector.probe(address, 100) is Reachability.ACCEPTS

        client = HttpTargetClient(http)
        dispatcher = Dispatcher(clock, membership, client, router, probe=probe, seed=1)
        # A stream whose connection stalled goes on at the same target first.
        dispatcher.options = attrs.evolve(
            dispatcher.options,
            hedges=False,
            admission=False,
            max_retries=2 if end.rest else 1,
        )
        stage = "generate" if end.rest else ""
        for _ in range(30):
            dispatcher.estimates.record("s", stage, (7, 0), 20, 20)
        dispatcher.estimates.record_gap("s", 20)
        deadline_at_ms = clock.now_ms() + DEADLINE_MS
        work = Work(
            "s", "/v1/x", end.body, "r", "w", deadline_at_ms, repeatable, stage=stage
        )
        if end.rest:
            items = [item async for item in dispatcher.stream(work)]
            found = items.pop() if isinstance(items[-1], Refusal) else None
            offsets = [token.offset for tokens in items for token in tokens]
            assert offsets == ([0] if found else [0, 1, 2])
            # The end of the answer is read in the background.
            await curio.sleep(1)
        else:
            found = await dispatcher.call(work)
        verdict = found.verdict if isinstance(found, Refusal) else COMPLETE
        again = any(target.requests for target in targets[1:])
        return Found(verdict, again, router.observed[0])

    return run_with_virtual_sockets(main)


def run_relayed(end, repeatable, count, *, engines):
    """Return how a request ends at the relay, placed by an owner if ``engines``."""
    results, observed = [], []

    def observe(handler):
        call = handler.attempts.call

        async def record_result(job):
            results.append(await call(job))
            return results[-1]

        handler.attempts.call = record_result
        host = handler.attempts.selection.placement.host
        host.chooser.choose = lambda rows, avoid, **rest: first_untried(rows, avoid)
        handle = host.handle

        def record(message):
            if isinstance(message, RunOver) and message.target == "t0":
                observed.append(str(message.outcome))
            return handle(message)

        host.handle = record
        reports = handler.attempts.reports
        record_end = reports.record_end

        async def record_outcome(job, row, outcome, *rest, **more):
            if row.name == "t0" and not engines:
                observed.append(str(outcome))
            await record_end(job, row, outcome, *rest, **more)

        reports.record_end = record_outcome

    async def client(address, fleet):
        targets, fleet.rows[:] = await start_targets(end, count)
        verdict = COMPLETE
        try:
            reply = await send(address, body=end.body)
            assert not end.rest or reply.body == b"".join(EVENTS)
        except TargetFailed as error:
            # The relay breaks off a stream that has begun.
            verdict = error.verdict
        await curio.sleep(0.5)
        for result in results:
            if isinstance(result, Refusal):
                verdict = result.verdict
            elif result.status >= 400:
                # The caller gets the failure of the target as it is.
                verdict = MAY_HAVE_RUN
        again = any(target.requests for target in targets[1:])
        return Found(verdict, again, observed[-1])

    kind = RouteKind.IDEMPOTENT if repeatable else RouteKind.ORDER
    return run_relay(
        RouteKind.STREAM if end.rest else kind,
        [],
        client,
        on_handler=observe,
        run=run_with_virtual_sockets,
        prompt_affinity=engines,
        timeout_ms=DEADLINE_MS,
        resumable=repeatable and bool(end.rest),
    )


RUNS = {
    "product": run_product,
    "relay": functools.partial(run_relayed, engines=False),
    "relay-engines": functools.partial(run_relayed, engines=True),
}


@pytest.mark.parametrize("repeatable", [True, False], ids=["repeatable", "order"])
@pytest.mark.parametrize(
    "end",
    ENDS + STREAM_ENDS,
    ids=lambda end: ("stream-" if end.rest else "") + end.name.replace(" ", "-"),
)
@pytest.mark.parametrize("entry", ENTRIES)
def test_end_of_an_attempt(entry, end, repeatable):
    """Guards against an end that one entry takes for another one than it is.

    The request would run twice, be refused though another target may run it, be called
    not run though it may have, or a sound target would be avoided.
    """
    run, end = RUNS[entry], end.at(entry)
    found = run(end, repeatable, 2)
    verdict = run(end, repeatable, 1).verdict
    expected = Found(COMPLETE, end.again[not repeatable], end.observed)
    if not expected.tried_again:
        expected = attrs.evolve(expected, verdict=end.verdict)
    assert (found, verdict) == (expected, end.verdict)


class MixedUpTarget(ScriptedTarget):
    """Target that answers each request of a connection with the answer before."""

    def __init__(self):
        super().__init__(None)
        self.connections = 0

    async def serve(self, sock, peer):
        """Serve one connection."""
        self.connections += 1
        echo = OF_ANOTHER
        while head := await sock.recv(4_096):
            await sock.sendall(answer(echo=echo))
            echo = echo_of(head)


@pytest.mark.parametrize("stage", ["", "generate"])
def test_connection_with_the_answer_to_another_attempt_is_not_used_again(stage):
    """Guards against each later request that gets the answer to the one before."""

    async def main():
        target = MixedUpTarget()
        (address,) = free_addresses(1)
        server = curio.tcp_server(address.host, address.port, target.serve)
        await curio.spawn(server, daemon=True)
        await curio.sleep(0.01)
        client = HttpTargetClient(HttpClient(SystemClock()))
        for number in (7, 8):
            attempt = Attempt(number, "r", "/v1/x", b"{}", remaining_ms=DEADLINE_MS)
            with pytest.raises(TargetFailed, match="answer to attempt"):
                if stage:
                    await anext(client.stream(address, attempt))
                else:
                    await client.call(address, attempt)
        return target.connections

    assert run_with_virtual_sockets(main) == 2


class FullSocket:
    """Socket of a connection that takes and brings no bytes."""

    async def sendall(self, data):
        await curio.sleep(60)

    recv = sendall


@pytest.mark.parametrize("body", [SMALL, LARGE], ids=["one-write", "upload"])
def test_request_that_is_not_taken_has_timed_out(body):
    """Guards against a request without progress that counts as an error.

    Of a time-out, an entry that carries the connection is asked whether it stood still
    itself; the target would be blamed for it.
    """

    async def main(clock):
        connection = HttpConnection(FullSocket(), clock)
        headers = [("Host", "h"), ("Content-Length", str(len(body)))]
        request = h11.Request(method="POST", target="/x", headers=headers)
        with pytest.raises(TargetFailed) as caught:
            await connection.send(request, body, 500)
        return caught.value.timed_out, caught.value.verdict, clock.now_ms()

    assert run_virtual(main) == (True, MAY_HAVE_RUN, 500)


def test_block_without_a_number_in_the_read_of_the_first_event_is_no_event():
    """Guards against the error text of a target between the events of a stream.

    Blocks without a number were events until the read after the first numbered one.
    """
    steps = (FIRST + b"data: [\n\n", SILENT)
    end = end_of_stream("no event in the first read", steps)
    found = run_relayed(end, True, 2, engines=False)
    assert found == Found(COMPLETE, True, FAILED)
