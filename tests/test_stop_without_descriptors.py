"""Tests of a planned stop of a process that has no descriptor left."""

import os
import resource
import socket

import pytest

from tests.test_http_server import GOOD, echo, with_server

pytestmark = pytest.mark.network


def test_queued_requests_of_a_process_without_descriptors_are_answered():
    """Guards against queued connections that are reset as the listener closes.

    Descriptors get free in the time that the stop has left.
    """

    async def client(address, server):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        socks = [
            socket.create_connection((address.host, address.port)) for _ in range(6)
        ]
        for sock in socks:
            sock.sendall(GOOD)
            sock.settimeout(0)
        # Also those of other parts of the test process lie below the limit.
        fillers = [os.dup(socks[0].fileno()) for _ in range(3)]
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max(fillers) + 1, hard))
            while True:
                try:
                    fillers.append(os.dup(socks[0].fileno()))
                except OSError:
                    break
            for _ in range(2):
                os.close(fillers.pop())
            await server.close(1_000)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for filler in fillers:
                os.close(filler)
        answers = []
        for sock in socks:
            try:
                answers.append(sock.recv(65_536)[:12])
            except OSError as error:
                answers.append(type(error).__name__)
        return answers

    assert set(with_server(echo, client)) == {b"HTTP/1.1 200"}
