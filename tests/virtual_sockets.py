"""Runs code that opens and accepts TCP connections under virtual time.

Unix sockets stand in for TCP: what one end has sent can be read at the other end at
once, so that the turns of the event loop, and with them the time of each event, are
those of every run. Load on the machine, or a pause of the process, uses up no limit.
"""

import itertools
import os
import signal
import socket
from unittest import mock

import curio
from curio.io import Socket

from wagtailrun.adapters import numeric_connection
from wagtailrun.clock import SystemClock
from wagtailrun.ports.link import Address
from wagtailrun.virtual_time import run_virtual

PEER = ("127.0.0.1", 1)
BACKLOG = 100
RUNS = itertools.count()


class StandIn(socket.socket):
    """Unix socket that is used like a TCP socket."""

    def __init__(self, descriptor=None):
        super().__init__(socket.AF_UNIX, socket.SOCK_STREAM, fileno=descriptor)

    def accept(self):
        descriptor, _ = self._accept()
        return StandIn(descriptor), PEER

    def setsockopt(self, level, *option):
        if level != socket.IPPROTO_TCP:
            super().setsockopt(level, *option)


def run_with_virtual_sockets(corofunc, clock=None):
    """Run ``corofunc()`` under virtual time and return its result.

    Connections and listeners of curio are virtual; so is every ``SystemClock``. A test
    that passes its own ``VirtualClock`` can let time pass in which no task has a turn.
    """
    # Names without a file; they end with their listener.
    prefix = f"\0wagtailrun-{os.getpid()}-{next(RUNS)}"

    def name(host, port):
        return f"{prefix}-{host}-{port}"

    def listen(host, port, *options):
        sock = StandIn()
        sock.bind(name(host, port))
        sock.listen(BACKLOG)
        return Socket(sock)

    async def connect(address):
        sock = Socket(StandIn())
        try:
            await sock.connect(name(address.host, address.port))
        except BaseException:
            await sock.close()
            raise
        return sock

    async def connect_to(host, port):
        return await connect(Address(host, port))

    async def run(clock):
        with (
            mock.patch.object(curio, "tcp_server_socket", listen),
            mock.patch.object(curio.network, "tcp_server_socket", listen),
            mock.patch.object(curio, "open_connection", connect_to),
            mock.patch.object(numeric_connection, "open_connection", connect),
            mock.patch.object(SystemClock, "now_ms", lambda _: clock.now_ms()),
            mock.patch.object(SystemClock, "wall_ms", lambda _: clock.wall_ms()),
            # Timers of the operating system would go by real time.
            mock.patch.object(signal, "setitimer"),
        ):
            return await corofunc()

    return run_virtual(run, clock=clock)
