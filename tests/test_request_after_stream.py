"""Tests of requests that follow a stream on its connection while an entry stops."""

import curio
import pytest

from tests.stopping_entries import both_entries
from tests.test_http_server import GOOD
from tests.test_server_close import connect, read_all, streaming_handler
from wagtailrun.stopping.plan import StopPlan

pytestmark = pytest.mark.network


async def finish(planned_stop, plan):
    """Do what follows the drain of the callers' server."""
    await planned_stop.finish_requests(plan)
    await planned_stop.end_process()


def run_finishing(make, client, handler):
    """Run ``client`` beside an entry whose stop was signalled 6.8 s ago."""
    entry = make(8_000)
    entry.server.handler = handler

    async def main():
        now_ms = entry.clock.now_ms()
        entry.signals.handled_ms = entry.signals.polled_ms = now_ms - 6_800
        await curio.spawn(entry.server.serve, daemon=True)
        await curio.sleep(0.05)
        return await client(entry)

    return curio.run(main)


@pytest.mark.parametrize("pause_s", [0.08, 0.15])
@pytest.mark.parametrize("late", [False, True])
@both_entries
def test_request_that_follows_a_stream_in_a_stop_is_answered(make, late, pause_s):
    """Guards against a connection that closes as its next request is on its way.

    The head of its last answer was sent before the stop and announced no close.
    """

    async def client(entry):
        server = entry.server
        sock = await connect(server.address, GOOD.replace(b"/x", b"/stream"))
        received = await sock.recv(65_536)
        assert b"lose" not in received
        await server.drain()
        now_ms = entry.clock.now_ms()
        accepts_end_ms = now_ms if late else now_ms + 800
        stop = StopPlan(now_ms, now_ms + 1_200, accepts_end_ms)
        entry.set_plan(stop)
        stopping = await curio.spawn(finish, entry.stop, stop)
        while not received.endswith(b"0\r\n\r\n"):
            received += await sock.recv(65_536)
        await curio.sleep(pause_s)
        try:
            await sock.sendall(GOOD)
            answer = await read_all(sock)
        except OSError as error:
            answer = repr(error).encode()
        await stopping.join()
        return answer

    answer = run_finishing(make, client, streaming_handler(0.4))
    assert answer[:9] == b"HTTP/1.1 "
