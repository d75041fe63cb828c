"""Tests of answers that arrived while the process that reads them stood still."""

import curio
import pytest

from wagtailrun.adapters.http_client import (
    Connector,
    HttpClient,
    OpenConnection,
)
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address
from wagtailrun.process.late_tasks import LATE_WAIT_MS
from wagtailrun.virtual_time import VirtualClock, run_virtual

ADDRESS = Address("10.0.0.1", 80)
TIMEOUT_MS = 500
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class HeldSocket:
    """Socket whose waiting task is not woken by what arrives as the process is held.

    The time limit of the task has passed by then, and the event loop may handle it
    first.
    """

    def __init__(self, pieces):
        self.pieces = pieces
        self.arrived = False

    async def recv(self, size):
        if not self.arrived:
            await curio.sleep(3_600)
        if not self.pieces:
            await curio.sleep(3_600)
        return self.pieces.pop(0)

    async def sendall(self, data):
        pass

    async def close(self):
        pass


class HeldConnector(Connector):
    """Connects to one held socket."""

    def __init__(self, sock):
        self.sock = sock

    async def connect(self, address, timeout_ms):
        return OpenConnection(self.sock)

    def may_reuse(self, address):
        return True


def request_held(pieces, held_ms):
    """Return the answer to a request, or its error, and how long it took."""
    clock = VirtualClock()

    async def main(clock):
        sock = HeldSocket(pieces)
        client = HttpClient(clock, connector=HeldConnector(sock))

        async def stand_still():
            await curio.sleep(0.01)
            clock.seconds += held_ms / 1_000
            sock.arrived = True

        await curio.spawn(stand_still, daemon=True)
        try:
            reply = await client.request(ADDRESS, "GET", "/", timeout_ms=TIMEOUT_MS)
            return reply.body, clock.now_ms()
        except TargetFailed as error:
            return error, clock.now_ms()

    return run_virtual(main, clock=clock)


@pytest.mark.parametrize("held_ms", [TIMEOUT_MS, TIMEOUT_MS + 200, 5_000])
@pytest.mark.parametrize("size", [len(ANSWER), 20, 4])
def test_answer_that_arrived_meanwhile_counts(held_ms, size):
    """Guards against a sound target that counts as failed as its caller stood still.

    A stage call that failed in this way used up the retry budget, and its requests were
    refused.
    """
    pieces = [ANSWER[at : at + size] for at in range(0, len(ANSWER), size)]
    found, _ = request_held(pieces, held_ms)
    assert found == b"ok"


def test_answer_that_did_not_arrive_fails():
    """Guards against a further wait for a target that is silent."""
    found, took_ms = request_held([], 100)
    assert (found.timed_out, str(found)) == (True, "nothing received for 500 ms")
    assert TIMEOUT_MS <= took_ms <= TIMEOUT_MS + LATE_WAIT_MS + 1


def test_part_of_an_answer_does_not_pass_for_it():
    """Guards against an answer that is taken for whole as its reader was late."""
    found, _ = request_held([ANSWER[:-1]], TIMEOUT_MS + 200)
    assert found.timed_out
