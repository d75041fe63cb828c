"""Tests of refusals in a planned stop that cross the bytes of their request."""

import curio
import pytest

from tests.test_http_server import GOOD, echo, with_server
from tests.test_server_close import connect, read_all

pytestmark = pytest.mark.network

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\n"


async def send_pieces(sock, pieces):
    """Send pieces some time apart, then return the answer or the error."""
    try:
        for piece in pieces:
            await sock.sendall(piece)
            await curio.sleep(0.01)
        return await read_all(sock)
    except OSError as error:
        return repr(error).encode()


def test_request_in_pieces_that_crosses_the_refusal_of_its_connection_reads_it():
    """Guards against a reset of a client that sends as its connection is refused.

    The server discards input for a second after a refusal, so that this cannot be.
    """

    async def client(address, server):
        sock = await connect(address)
        await curio.sleep(0.02)
        await server.drain()
        (connection,) = server.idle_connections
        await connection.stop_reading()
        await curio.sleep(0.02)
        return await send_pieces(sock, [GOOD[:20], GOOD[20:40], GOOD[40:]])

    assert with_server(echo, client).startswith(b"HTTP/1.1 503")


def test_body_in_pieces_that_crosses_its_refusal_is_discarded():
    """Guards against a reset of a client that still sends its body when refused."""

    async def client(address, server):
        sock = await connect(address, HEAD)
        await curio.sleep(0.02)
        await server.drain()
        await server.refuse_incomplete()
        await curio.sleep(0.02)
        return await send_pieces(sock, [b"x" * 30] * 3)

    assert with_server(echo, client).startswith(b"HTTP/1.1 503")
