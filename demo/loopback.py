"""Hands out loopback addresses that no other process of this machine uses.

All of 127.0.0.0/8 is local on Linux. A process takes a network of its own, so that
tests of several workers, or of several runs, can listen at the same time.
"""

import errno
import itertools
import os
import socket

from wagtailrun.ports.link import Address

# Networks 127.128.0.0/24 to 127.253.255.0/24.
FIRST_SECOND_OCTET = 128
NETWORK_COUNT = 126 * 256
# Host and port that a process binds as long as it uses a network.
RESERVING_HOST_NUMBER = 255
RESERVING_PORT = 1_025
MAX_HOST_NUMBER = 254
# Below the local ports of clients (32768 upwards), which servers at port 0 get, too.
FIRST_PORT = 2_000
LAST_PORT = 19_999


class NoFreeAddress(Exception):
    """All networks, or all ports of a network, are in use."""


class LoopbackNetwork:
    """Network of 254 loopback hosts that is reserved until this object is deleted.

    A bound socket reserves it: the kernel refuses a second one, and closes it whenever
    the process ends.

    Args:
        preferred: Number of the network to try first; the next free one is taken.

    Raises:
        NoFreeAddress: If all networks are in use.
    """

    def __init__(self, preferred: int):
        self._ports = itertools.count(FIRST_PORT)
        for number in range(preferred, preferred + NETWORK_COUNT):
            second, third = divmod(number % NETWORK_COUNT, 256)
            self._prefix = f"127.{FIRST_SECOND_OCTET + second}.{third}"
            self._reservation = socket.socket()
            try:
                # Without SO_REUSEADDR, so that only one process can bind it.
                self._reservation.bind(
                    (f"{self._prefix}.{RESERVING_HOST_NUMBER}", RESERVING_PORT)
                )
                return
            except OSError as error:
                self._reservation.close()
                if error.errno != errno.EADDRINUSE:
                    raise
        raise NoFreeAddress(f"all {NETWORK_COUNT} loopback networks are in use")

    def host(self, number: int = 1) -> str:
        """Return a host of the network.

        Args:
            number: Last part of the address, 1 to 254.
        """
        if not 1 <= number <= MAX_HOST_NUMBER:
            raise ValueError(f"host number {number} is not in 1 to {MAX_HOST_NUMBER}")
        return f"{self._prefix}.{number}"

    def free_address(self) -> Address:
        """Return an address at host 1 whose port was not returned before.

        Raises:
            NoFreeAddress: If all ports were returned before.
        """
        host = self.host()
        for port in self._ports:
            if port > LAST_PORT:
                break
            try:
                # Processes that outlived the last user of the network may listen.
                socket.create_server((host, port)).close()
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                continue
            return Address(host, port)
        raise NoFreeAddress(f"all ports of {host} were handed out")


# The network of this process by process id: a forked child takes another one.
_network_by_pid: dict[int, LoopbackNetwork] = {}


def _own_network() -> LoopbackNetwork:
    pid = os.getpid()
    if pid not in _network_by_pid:
        _network_by_pid[pid] = LoopbackNetwork(pid)
    return _network_by_pid[pid]


def loopback_host(number: int = 1) -> str:
    """Return a loopback host that no other process of this machine uses.

    At 127.0.0.1, which clients connect from, the local port of a connection or a
    server of another run may take a port before its own server listens there.

    Args:
        number: Last part of the address, 1 to 254.
    """
    return _own_network().host(number)


def free_addresses(count: int) -> list[Address]:
    """Return addresses of this process at which nothing listened before."""
    network = _own_network()
    return [network.free_address() for _ in range(count)]
