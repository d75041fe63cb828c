"""Finds the process at the other end of a loopback connection."""

import os
import socket
import struct
from collections.abc import Collection
from contextlib import suppress
from pathlib import Path

from wagtailrun.ports.link import Address

__all__ = ["find_sources"]

TABLE = Path("/proc/net/tcp")
# Columns of the table: local address, state and inode.
LOCAL, STATE, INODE = 1, 3, 9
LISTENING = "0A"
NO_INODE = "0"
SOCKET_LINK = "socket:["


def _hex_address(address: Address) -> str:
    """Return an IPv4 address as the table has it: bytes in host order."""
    (value,) = struct.unpack("=I", socket.inet_aton(address.host))
    return f"{value:08X}:{address.port:04X}"


def _inodes(addresses: Collection[Address]) -> dict[Address, str]:
    address_by_text = {_hex_address(address): address for address in addresses}
    found = {}
    for line in TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        address = address_by_text.get(columns[LOCAL])
        # The same address may also end a connection that nobody holds any more.
        is_held = columns[STATE] != LISTENING and columns[INODE] != NO_INODE
        if address is not None and is_held:
            found[address] = columns[INODE]
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
    clients: Collection[Address], name_by_pid: dict[int, str]
) -> dict[Address, str]:
    """Return the names of the processes that hold the client ends of connections.

    Args:
        clients: IPv4 addresses of the client ends.
        name_by_pid: Names of the processes that come into question.

    Returns:
        Names by client address; without those that no process holds any more.
    """
    inode_by_client = _inodes(clients)
    name_by_inode = {
        inode: name for pid, name in name_by_pid.items() for inode in _sockets(pid)
    }
    return {
        client: name_by_inode[inode]
        for client, inode in inode_by_client.items()
        if inode in name_by_inode
    }
