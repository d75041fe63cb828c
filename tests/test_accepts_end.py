"""Tests of requests that arrive in pieces as an entry accepts its last connections."""

import curio
import pytest

from tests.test_http_server import GOOD, echo
from tests.test_relay_stop import make_entry
from tests.test_server_close import connect, read_all
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.clock import MS_PER_SECOND

BEFORE_END_MS = 50
# Linux sends a lost segment again after 200 ms.
REST_S = 0.3


@pytest.mark.parametrize("grace_s", [8, 10, 12, 30])
def test_request_whose_connection_was_accepted_last_can_arrive(grace_s, stop_signal):
    """Guards against last refusals that begin as the last connections are accepted.

    Half a request that was read by then is refused, although the stop has time left.
    """
    entry = make_entry(grace_s=grace_s)
    entry.signals.install()

    async def main():
        entry.caller_server.handler = echo
        await curio.spawn(entry.caller_server.serve, daemon=True)
        stopping = await curio.spawn(entry._stop_on_signal)
        await curio.sleep(0.2)
        stop_signal()
        accepts_end_ms = entry.stop_times.plan().accepts_end_ms
        # Keeps the entry busy, as it ends sooner without a request.
        entry.tunnels.running = 1
        left_ms = accepts_end_ms - BEFORE_END_MS - entry.clock.now_ms()
        await curio.sleep(left_ms / MS_PER_SECOND)
        sock = await connect(entry.settings.caller_address, GOOD[:20])
        await curio.sleep(REST_S)
        try:
            await sock.sendall(GOOD[20:])
            answer = await read_all(sock)
        except OSError as error:
            answer = repr(error).encode()
        await stopping.cancel()
        return answer

    assert run_with_virtual_sockets(main).startswith(b"HTTP/1.1 200")
