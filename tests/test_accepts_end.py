"""Tests of requests that arrive in pieces as an entry accepts its last connections."""

import curio
import pytest

from tests.stopping_entries import both_entries
from tests.test_http_server import GOOD, echo
from tests.test_server_close import connect, read_all
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.clock import MS_PER_SECOND

BEFORE_END_MS = 50
# Linux sends a lost segment again after 200 ms.
REST_S = 0.3


@pytest.mark.parametrize("limit_s", [8, 10, 12, 30])
@both_entries
def test_request_whose_connection_was_accepted_last_can_arrive(
    make, limit_s, stop_signal
):
    """Guards against last refusals that begin as the last connections are accepted.

    Half a request that was read by then is refused, although the stop has time left.
    """
    entry = make(limit_s * MS_PER_SECOND)
    entry.signals.install()

    async def main():
        entry.server.handler = echo
        await curio.spawn(entry.server.serve, daemon=True)
        stopping = await curio.spawn(entry.run)
        await curio.sleep(0.2)
        stop_signal()
        accepts_end_ms = entry.steps.plan_stop().accepts_end_ms
        # Keeps the entry busy, as it ends sooner without a request.
        entry.keep_busy()
        left_ms = accepts_end_ms - BEFORE_END_MS - entry.clock.now_ms()
        await curio.sleep(left_ms / MS_PER_SECOND)
        sock = await connect(entry.caller, GOOD[:20])
        await curio.sleep(REST_S)
        try:
            await sock.sendall(GOOD[20:])
            answer = await read_all(sock)
        except OSError as error:
            answer = repr(error).encode()
        await stopping.cancel()
        return answer

    assert run_with_virtual_sockets(main).startswith(b"HTTP/1.1 200")
