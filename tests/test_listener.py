"""Tests of listeners."""

import errno
import os
import socket

import curio
import pytest

from demo.processes import free_addresses
from wagtailrun.adapters.listener import Listener, listen
from wagtailrun.exceptions import SettingsError
from wagtailrun.ports.link import Address

pytestmark = pytest.mark.network

LIMIT_S = 2.0


def test_connection_accepted_as_the_listener_ends_is_cancelled():
    """Guards against a listener that waits for a connection that it took at its end.

    The kernel reports the connection in the turn in which the listener is cancelled.
    """

    async def wait_for_bytes(sock, peer):
        await sock.recv(1)

    async def main():
        (address,) = free_addresses(1)
        task = await curio.spawn(listen, address, wait_for_bytes)
        await curio.sleep(0.05)
        with socket.create_connection((address.host, address.port)):
            await curio.timeout_after(LIMIT_S, task.cancel)

    curio.run(main)


def test_writes_await_no_acknowledgement():
    """Guards against events of a stream that wait for an acknowledgement of the client.

    On a connection that had carried a request before, all that followed the first write
    of an answer came 40 ms late.
    """
    options = []

    async def read_option(sock, peer):
        options.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

    async def main():
        (address,) = free_addresses(1)
        task = await curio.spawn(listen, address, read_option)
        await curio.sleep(0.05)
        with socket.create_connection((address.host, address.port)) as client:
            await curio.run_in_thread(client.recv, 1)
        await task.cancel()

    curio.run(main)
    assert [bool(option) for option in options] == [True]


@pytest.mark.parametrize(
    ("host", "family"), [("10.0.0.1", socket.AF_INET), ("fd00::1", socket.AF_INET6)]
)
def test_listener_uses_the_family_of_its_address(monkeypatch, host, family):
    """Guards against an IPv6 address that is a valid setting and fails at the start.

    The sockets are fakes, since a machine may have no IPv6 address.
    """
    made = []

    class FakeSocket:
        def __init__(self, *arguments):
            made.append(arguments)
            self._socket = self

        def setsockopt(self, *option):
            pass

        def bind(self, address):
            assert address == (host, 80)
            raise OSError(errno.EADDRNOTAVAIL, os.strerror(errno.EADDRNOTAVAIL))

        def close(self):
            pass

    monkeypatch.setattr(curio.socket, "socket", FakeSocket)
    with pytest.raises(SettingsError, match=os.strerror(errno.EADDRNOTAVAIL)):
        curio.run(Listener(Address(host, 80), None).run)
    assert made == [(family, socket.SOCK_STREAM)]


def test_listener_refuses_a_name(monkeypatch):
    """Guards against a name that is looked up while the event loop waits."""
    monkeypatch.setattr(curio.socket, "socket", None)
    with pytest.raises(SettingsError, match="'localhost' is not an IP address"):
        curio.run(Listener(Address("localhost", 80), None).run)
