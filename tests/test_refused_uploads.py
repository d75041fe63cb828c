"""Tests of refusals that callers read after they have sent a long request."""

import socket
import threading
import time

import curio
import pytest

from tests.test_http_server import echo, with_server
from wagtailrun.process.memory_budget import MemoryBudget

pytestmark = pytest.mark.network

SIZE = 4 * 1024 * 1024
BODY = b"x" * SIZE
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % SIZE
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % SIZE
# The caller writes its request in this time, or at once.
SLOW_S = 0.6
PIECES = 64
ROOMY = {"max_body_bytes": 2 * SIZE}
SMALL_BUDGET = MemoryBudget()
SMALL_BUDGET.limit_bytes = 256 * 1024


def exchange(address, request, took_s):
    """Write a whole request, then return all that is received, and how it ends."""
    received = b""
    with socket.create_connection((address.host, address.port), timeout=5) as sock:
        size = len(request) // PIECES
        for start in range(0, len(request), size):
            sock.sendall(request[start : start + size])
            time.sleep(took_s / PIECES)
        while piece := sock.recv(65_536):
            received += piece
    return received


def refused(request, took_s, **options):
    """Return what a caller receives that reads only after it has written."""

    async def client(address, server):
        received = []

        def call():
            try:
                received.append(exchange(address, request, took_s))
            except OSError as error:
                received.append(error)

        thread = threading.Thread(target=call)
        thread.start()
        while thread.is_alive():
            await curio.sleep(0.01)
        return received[0]

    return with_server(echo, client, **options)


@pytest.mark.parametrize("took_s", [0, SLOW_S])
@pytest.mark.parametrize(
    ("framing", "status", "options"),
    [
        (LENGTH, 413, {}),
        (CHUNKED, 413, {}),
        (LENGTH, 503, {**ROOMY, "memory": SMALL_BUDGET}),
        (CHUNKED, 503, {**ROOMY, "memory": SMALL_BUDGET}),
        (b"Content-Length: x\r\n\r\n", 400, {}),
        (LENGTH, 503, {**ROOMY, "overload": lambda: "full"}),
        (LENGTH + b"y" * 100_000, 503, {**ROOMY, "overload": lambda: "full"}),
    ],
    ids=[
        "large",
        "large chunk",
        "memory",
        "memory, chunk",
        "malformed",
        "full",
        "full, more",
    ],
)
def test_refusal_is_read_after_the_whole_request_was_written(
    framing, status, options, took_s
):
    """Guards against a refusal that is lost as the caller goes on uploading."""
    received = refused(HEAD + framing + BODY, took_s, **options)
    assert isinstance(received, bytes)
    assert received.startswith(b"HTTP/1.1 %d" % status)
    head, _, body = received.partition(b"\r\n\r\n")
    assert b"lose" in head
    assert body.endswith(b"}")
