"""Tests of targets of the product that send bytes of other answers on a connection."""

from contextlib import aclosing, suppress

import curio
import pytest

from demo.processes import free_addresses
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.clock import SystemClock
from wagtailrun.exceptions import Refusal, Verdict
from wagtailrun.serving.dispatch import make_dispatcher
from wagtailrun.targets.table import Membership, TargetRow
from wagtailrun.targets.work import Work

DEADLINE_MS = 4_000
TOKEN = b'data: {"offset": 0, "text": "%s"}\n\nevent: done\ndata: {"tokens": 1}\n\n'
REFUSAL = (b"Wagtailrun-Verdict: not-run\r\n", b"Retry-After: 30\r\n")


def message(number, status, body, *fields):
    head = b"HTTP/1.1 %d x\r\nWagtailrun-Attempt: %s\r\n" % (status, number)
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return head + b"".join(fields) + length + body


class CopyingTarget:
    """Target that sends its first answer once more, before the one to a later request.

    Attributes:
        bodies: Bodies of the requests that arrived.
        connections: Number of connections.
    """

    def __init__(self, late, refused=b""):
        self.late, self.refused = late, refused
        self.bodies = []
        self.connections = 0
        self.has_copied = False

    async def serve(self, sock, peer):
        """Serve one connection."""
        self.connections += 1
        first, served = b"", 0
        while data := await sock.recv(65_536):
            if data.startswith(b"DELETE"):
                await sock.sendall(message(b"", 200, b"{}"))
                continue
            head, _, body = data.partition(b"\r\n\r\n")
            number = head.split(b"Wagtailrun-Attempt: ")[1].split(b"\r\n")[0]
            self.bodies.append(body)
            answer = message(number, 200, body)
            if b"/generate" in head:
                answer = message(number, 200, TOKEN % body)
            if body == self.refused:
                answer = message(number, 503, b"{}", *REFUSAL)
            if served == self.late and not self.has_copied:
                self.has_copied = True
                await sock.sendall(first)
                await curio.sleep(0.01)
            first = first or answer
            served += 1
            # The client may have closed the connection after the copy.
            with suppress(OSError):
                await sock.sendall(answer)


async def ask(dispatcher, clock, body, is_stream):
    """Return the body that a caller gets, or its refusal's verdict."""
    path = "/v1/stages/generate" if is_stream else "/v1/calls/look-up"
    deadline_at_ms = clock.now_ms() + DEADLINE_MS
    work = Work("s", path, body, "r", "w", deadline_at_ms)
    if not is_stream:
        answer = await dispatcher.call(work)
        return answer.verdict if isinstance(answer, Refusal) else answer.body
    text = ""
    async with aclosing(dispatcher.stream(work)) as items:
        async for item in items:
            if isinstance(item, Refusal):
                return item.verdict
            text += "".join(token.text for token in item)
    return text.encode()


def run_copies(target, count, is_stream):
    """Send requests in turn; return what each caller gets."""

    async def main():
        (address,) = free_addresses(1)
        server = curio.tcp_server(address.host, address.port, target.serve)
        await curio.spawn(server, daemon=True)
        await curio.sleep(0.01)
        clock = SystemClock()
        membership = Membership()
        membership.put(TargetRow("t", address, "s", "east", 4), clock.now_ms())
        # Nobody announces the target in this test.
        membership.unconfirmed = True
        client = HttpTargetClient(HttpClient(clock))
        dispatcher = make_dispatcher(clock, membership, client, name="entry", seed=1)
        results = []
        for number in range(count):
            body = b"b%d" % number
            results.append(await ask(dispatcher, clock, body, is_stream))
            await clock.sleep_ms(100)
        return results, client.crossed_answers

    return run_with_virtual_sockets(main)


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("late", [1, 2])
def test_copy_of_an_answer_reaches_no_other_caller(late, is_stream):
    """Guards against a caller that gets the late second copy of another's answer.

    The target sends the copy while its connection is in use again.
    """
    target = CopyingTarget(late)
    results, crossed = run_copies(target, 4, is_stream)
    assert results == [b"b0", b"b1", b"b2", b"b3"]
    # The connection that owes an answer is closed, and the request is sent once more.
    assert (crossed, len(target.bodies), target.connections) == (1, 5, 2)


def test_copy_of_a_refusal_is_not_believed():
    """Guards against "not run" for a request that the target runs.

    The refused request is sent again; a copy of the refusal precedes its next answer.
    """
    target = CopyingTarget(1, refused=b"b0")
    results, crossed = run_copies(target, 3, False)
    assert results == [Verdict.MAY_HAVE_RUN, b"b1", b"b2"]
    assert crossed == 1
