"""Tests of faulty targets that send bytes of other answers on a connection."""

import curio
import pytest

from demo.processes import free_addresses
from tests.test_notices import LEAVING
from tests.test_relay_front import GOOD, event, run_relay, send, stream
from wagtailrun.routes import RouteKind
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

LATE_S = 0.05


def message(status, body=b"", *, echo="", headers=()):
    """Return the bytes of an answer."""
    fields = [*headers, ("Content-Length", str(len(body)))]
    if echo:
        fields.append(("Attempt-Id", echo))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return f"HTTP/1.1 {status} x\r\n{head}\r\n".encode() + body


def refusal(echo="", *more):
    return message(503, echo=echo, headers=(("Not-Executed", "1"), *more))


def done(echo, *more):
    return message(200, b"ok", echo=echo, headers=(("Server-Seal", "s"), *more))


class ScriptedEngine:
    """Target that answers each request with prepared pieces of bytes, late but first.

    Attributes:
        runs: Identifiers of the requests that arrived.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.runs = []
        self.connections = 0

    async def start(self, fleet):
        (self.address,) = free_addresses(1)
        host, port = self.address.host, self.address.port
        await curio.spawn(curio.tcp_server, host, port, self.serve, daemon=True)
        row = TargetRow("raw", self.address, "s", "a", 4, software_version="v1")
        fleet.rows.insert(0, row)
        await curio.sleep(LATE_S)
        return self

    async def serve(self, sock, peer):
        self.connections += 1
        buffer = b""
        while data := await sock.recv(65_536):
            buffer += data
            if b"\r\n\r\n" not in buffer:
                continue
            head = buffer.lower()
            self.runs.append(head.split(b"attempt-id: ")[1].split(b"\r\n")[0].decode())
            buffer = b""
            for piece in self.answers.pop(0):
                await sock.sendall(piece)
                await curio.sleep(LATE_S)
            if not self.answers:
                break
        await sock.close()


def run_scripted(kind, answers, requests, others=(), **options):
    """Send requests in turn; return the replies' statuses and the engine."""
    options = {"timeout_ms": 2_000, "aim_ms": 2_000, **options}

    async def client(address, fleet):
        engine = await ScriptedEngine(*answers).start(fleet)
        statuses = [(await send(address, request_id=r)).status for r in requests]
        return statuses, engine, [number for number, _ in fleet.seen]

    return run_relay(kind, list(others), client, **options)


def test_refusal_without_an_identifier_on_a_kept_connection_is_not_believed():
    """Guards against 'not run' for a request that the target runs.

    The target writes an earlier refusal once more before it answers the next request.
    """
    answers = [[done("a")], [refusal(), done("b")]]
    statuses, engine, _ = run_scripted(
        RouteKind.IDEMPOTENT, answers, ["a", "b"], max_attempts=1
    )
    assert engine.runs == ["a", "b"]
    assert engine.connections == 1
    assert statuses == [200, 502]


def test_pause_in_an_answer_without_an_identifier_is_kept():
    """Guards against requests to a target that has just asked for a pause."""
    answers = [[done("a")], [refusal("", ("Retry-After", "30"))], [done("c")]]
    statuses, engine, others = run_scripted(
        RouteKind.IDEMPOTENT, answers, ["a", "b", "c"], [[GOOD]]
    )
    assert (statuses, engine.runs, others) == ([200] * 3, ["a", "b"], [0, 0])


def test_refusal_of_the_first_request_with_the_same_identifier_is_not_believed():
    """Guards against a late copy of a refusal that names the request which runs now.

    The caller sends the request again with its identifier, to the same target.
    """
    answers = [[refusal("a")], [refusal("a"), done("a")]]

    async def client(address, fleet):
        engine = await ScriptedEngine(*answers).start(fleet)
        statuses = [(await send(address, request_id="a")).status for _ in range(2)]
        return statuses, engine

    statuses, engine = run_relay(RouteKind.IDEMPOTENT, [], client, max_attempts=1)
    # The copy cannot be told from an answer once it is on another connection, so the
    # request gets a connection on which no copy can be.
    assert engine.connections == 2
    assert engine.runs == ["a", "a"]
    assert statuses[0] == 503


@pytest.mark.parametrize("kind", [RouteKind.ORDER, RouteKind.STREAM])
def test_refusal_that_another_answer_follows_is_not_believed(kind):
    """Guards against a second run of a request that the target has run.

    The bytes after the refusal show that the target answered more than once.
    """
    answers = [[refusal("a") + done("a")]]
    statuses, engine, others = run_scripted(kind, answers, ["a"], [[GOOD]])
    assert (statuses, engine.runs, others) == ([502], ["a"], [])


def test_refusal_with_a_large_body_is_believed():
    """Guards against the rest of a body that is taken for another answer."""
    large = message(503, b"x" * 3_000_000, echo="a", headers=(("Not-Executed", "1"),))
    statuses, engine, others = run_scripted(
        RouteKind.STREAM, [[large]], ["a"], [[stream(event(1), fail=False)]]
    )
    assert (statuses, engine.runs, others) == ([200], ["a"], [0])


def test_late_copy_says_nothing_about_its_target():
    """Guards against a pause that an earlier answer asked for, read once more."""
    copy = refusal("a", ("Retry-After", "30"))
    answers = [[done("a")], [copy, done("b")], [done("c")]]
    statuses, engine, others = run_scripted(
        RouteKind.IDEMPOTENT, answers, ["a", "b", "c"], [[GOOD]]
    )
    assert (statuses, engine.runs, others) == ([200] * 3, ["a", "b", "c"], [])


def test_notice_behind_a_late_copy_is_read():
    """Guards against requests to a target that says that it leaves behind a copy."""
    answers = [[done("a")], [done("a"), done("b", LEAVING)], [done("c")]]
    statuses, engine, others = run_scripted(
        RouteKind.IDEMPOTENT, answers, ["a", "b", "c"], [[GOOD]]
    )
    assert (statuses, engine.runs, others) == ([200] * 3, ["a", "b"], [0])
