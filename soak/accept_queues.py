"""Finds the connections that a process has not accepted yet."""

import socket
import struct

from soak.link_sources import (
    HEADER,
    IDENTITY,
    INODE,
    INODE_OFFSET,
    NETLINK_SOCK_DIAG,
    NLM_F_REQUEST,
    NO_COOKIE,
    REQUEST,
    SOCK_DIAG_BY_FAMILY,
)
from wagtailrun.ports.link import Address

__all__ = ["waiting_ports"]

# linux/netlink.h, linux/inet_diag.h and net/tcp_states.h
NLM_F_DUMP = 0x300
NLMSG_ERROR = 2
NLMSG_DONE = 3
ESTABLISHED_STATES = 1 << 1
# Beginning of a reply: family, state, timer and retransmissions.
IDENTITY_OFFSET = HEADER.size + 4
ALIGNMENT = 4
REPLY_BYTES = 65_536


def waiting_ports(server: Address) -> list[int]:
    """Return the clients' ports of the connections that wait to be accepted.

    Only a connection that was accepted has an inode.

    Args:
        server: IPv4 address that the process listens at.

    Raises:
        OSError: If the kernel does not tell.
    """
    host = socket.inet_aton(server.host)
    ports = []
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG
    ) as netlink:
        netlink.send(_request(server.port))
        while True:
            reply = netlink.recv(REPLY_BYTES)
            start = 0
            while start < len(reply):
                size, kind, _, _, _ = HEADER.unpack_from(reply, start)
                if kind == NLMSG_ERROR:
                    (number,) = struct.unpack_from("=i", reply, start + HEADER.size)
                    raise OSError(-number, "sock_diag")
                if kind == NLMSG_DONE:
                    return sorted(ports)
                identity = IDENTITY.unpack_from(reply, start + IDENTITY_OFFSET)
                _, client_port, server_host, _, _, _ = identity
                (inode,) = INODE.unpack_from(reply, start + INODE_OFFSET)
                if server_host == host and not inode:
                    ports.append(client_port)
                start += -(-size // ALIGNMENT) * ALIGNMENT


def _request(port: int) -> bytes:
    """Return the request for all established connections to a port."""
    identity = IDENTITY.pack(port, 0, bytes(4), bytes(12), bytes(4), bytes(12))
    body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ESTABLISHED_STATES)
    body += identity + NO_COOKIE
    size = HEADER.size + len(body)
    flags = NLM_F_REQUEST | NLM_F_DUMP
    return HEADER.pack(size, SOCK_DIAG_BY_FAMILY, flags, 0, 0) + body
