"""Finds the process at the other end of a loopback connection."""

import os
import socket
import struct
from collections.abc import Collection
from contextlib import suppress

from attrs import define

from wagtailrun.ports.link import Address

__all__ = ["Ends", "find_sources"]

SOCKET_LINK = "socket:["
# linux/netlink.h and linux/sock_diag.h
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
HEADER = struct.Struct("=IHHII")
# linux/inet_diag.h: the beginning of a request, and the identity of a socket, which is
# the same in a request and in a reply: ports, addresses, interface and cookie.
REQUEST = struct.Struct("=BBBBI")
IDENTITY = struct.Struct("!HH4s12s4s12s")
NO_COOKIE = struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
ALL_STATES = 0xFFFFFFFF
# Beginning of a reply, its identity, and four numbers before the inode.
INODE_OFFSET = HEADER.size + 4 + IDENTITY.size + len(NO_COOKIE) + 16
INODE = struct.Struct("=I")
REPLY_BYTES = 4_096


@define(frozen=True, kw_only=True)
class Ends:
    """Addresses of a connection; one of them alone may be in use several times.

    Attributes:
        client: IPv4 address of the end that opened it.
        server: IPv4 address that it was opened to.
    """

    client: Address
    server: Address


def _request(ends: Ends) -> bytes:
    identity = IDENTITY.pack(
        ends.client.port,
        ends.server.port,
        socket.inet_aton(ends.client.host),
        bytes(12),
        socket.inet_aton(ends.server.host),
        bytes(12),
    )
    body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES)
    body += identity + NO_COOKIE
    size = HEADER.size + len(body)
    return HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0) + body


def _inodes(connections: Collection[Ends]) -> dict[Ends, str]:
    """Return the inodes of the client's ends.

    The kernel is asked for each one: /proc/net/tcp has a line for each connection of
    the machine, also of those that ended a minute ago.
    """
    found = {}
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG
    ) as netlink:
        for ends in connections:
            netlink.send(_request(ends))
            reply = netlink.recv(REPLY_BYTES)
            _, kind, _, _, _ = HEADER.unpack_from(reply)
            if kind == SOCK_DIAG_BY_FAMILY:
                (inode,) = INODE.unpack_from(reply, INODE_OFFSET)
                found[ends] = str(inode)
    return found


def _sockets(pid: int) -> set[str]:
    """Return the inodes of the sockets of a process; none if it has ended."""
    inodes = set()
    with suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            # A descriptor may be closed meanwhile.
            with suppress(OSError):
                target = os.readlink(entry.path)
                if target.startswith(SOCKET_LINK):
                    inodes.add(target[len(SOCKET_LINK) : -1])
    return inodes


def find_sources(
    connections: Collection[Ends], name_by_pid: dict[int, str]
) -> dict[Ends, str]:
    """Return the names of the processes that opened connections.

    Args:
        connections: The connections.
        name_by_pid: Names of the processes that come into question.

    Returns:
        Names by connection; without those that no process holds any more.
    """
    inode_by_ends = _inodes(connections)
    name_by_inode = {
        inode: name for pid, name in name_by_pid.items() for inode in _sockets(pid)
    }
    return {
        ends: name_by_inode[inode]
        for ends, inode in inode_by_ends.items()
        if inode in name_by_inode
    }
