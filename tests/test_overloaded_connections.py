"""Tests of connections without a request at a server that refuses new requests."""

import curio
import pytest

from tests.test_http_server import GOOD, echo, with_server
from tests.test_server_close import connect, read_all

pytestmark = pytest.mark.network


@pytest.mark.parametrize("delay_s", [0.25, 0.7, 1.5])
def test_request_that_follows_its_connection_late_is_refused_in_overload(delay_s):
    """Guards against new connections that an overload closes without an answer."""

    async def client(address, server):
        sock = await connect(address)
        await curio.sleep(delay_s)
        await sock.sendall(GOOD)
        return await read_all(sock)

    received = with_server(echo, client, overload=lambda: "too many")
    assert received.startswith(b"HTTP/1.1 503")
    assert b"overloaded" in received
