"""Opens TCP connections to IP numbers, without a resolver and without a thread."""

import ipaddress
import socket

import curio
from curio.io import Socket

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import MalformedAddress
from wagtailrun.ports.link import MAX_SHOWN_CHARACTERS, Address

__all__ = ["address_family", "open_connection", "open_in_time"]

MAX_PORT = 65_535


def address_family(address: Address) -> socket.AddressFamily:
    """Return the socket family of an address.

    Raises:
        MalformedAddress: If the host is no IP number.
    """
    try:
        number = ipaddress.ip_address(address.host)
    except ValueError as error:
        shown = repr(address.host[:MAX_SHOWN_CHARACTERS])
        raise MalformedAddress(f"the host {shown} is not an IP address") from error
    if getattr(number, "scope_id", None) is not None:
        shown = repr(address.host[:MAX_SHOWN_CHARACTERS])
        raise MalformedAddress(f"the host {shown} has a zone")
    return socket.AF_INET if number.version == 4 else socket.AF_INET6


async def open_connection(address: Address) -> Socket:
    """Return a TCP connection to an address.

    ``curio.open_connection`` looks up each host in a thread, an IP number, too. The
    limit of a connection includes the time until that thread runs.

    Raises:
        MalformedAddress: If the host is no IP number, or the port is out of range.
        OSError: If the connection fails.
    """
    family = address_family(address)
    if not 0 < address.port <= MAX_PORT:
        raise MalformedAddress(f"port {address.port} is not in 1..{MAX_PORT}")
    sock = curio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await sock.connect((address.host, address.port))
    except BaseException:
        await sock.close()
        raise
    return sock


async def open_in_time(address: Address, timeout_ms: int) -> Socket:
    """Return a TCP connection to an address.

    Args:
        address: Address to connect to.
        timeout_ms: Time limit, in milliseconds.

    Raises:
        MalformedAddress: If the host is no IP number, or the port is out of range.
        TimeoutError: If there is no connection within the limit.
        OSError: If the connection fails.
    """
    try:
        async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
            return await open_connection(address)
    except curio.TaskTimeout as error:
        raise TimeoutError(f"no connection within {timeout_ms} ms") from error
