"""Listens on TCP addresses; a failure names the address."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from wagtailrun.exceptions import SettingsError
from wagtailrun.ports.link import Address

__all__ = ["listen"]


async def listen(
    address: Address, serve_connection: Callable[[Any, Any], Awaitable[None]]
) -> None:
    """Accept connections until cancelled, with one task for each.

    Args:
        address: Address to listen on.
        serve_connection: Called with the socket and the client address of each
            connection.

    Raises:
        SettingsError: If the address cannot be listened on.
    """
    try:
        await curio.tcp_server(address.host, address.port, serve_connection)
    except OSError as error:
        raise SettingsError(f"cannot listen on {address}: {error}") from error
