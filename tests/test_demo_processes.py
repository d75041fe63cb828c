"""Tests of the processes that the demo and the process tests start."""

import socket

import pytest

from demo.processes import free_addresses

pytestmark = pytest.mark.network


def test_port_of_a_free_address_is_not_taken_by_a_client():
    """Guards against a server that cannot listen as a client has its port."""
    (address,) = free_addresses(1)
    with socket.create_server(("127.0.0.1", 0)) as other:
        source = ("127.0.0.1", address.port)
        with (
            socket.create_connection(other.getsockname(), source_address=source),
            socket.create_server((address.host, address.port)),
        ):
            pass
