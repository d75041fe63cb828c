"""Listens on TCP addresses; a failure names the address."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio.io import Socket
from curio.network import run_server

from wagtailrun import events
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import SettingsError
from wagtailrun.ports.link import Address

__all__ = ["listen"]

# Connections that wait until they are accepted.
BACKLOG = 100
# A process at its limit of open files can accept again when a connection ends.
ACCEPT_PAUSE_MS = 50


class _ListeningSocket(Socket):
    """Listening socket that accepts on after an error.

    The process may be at its limit of open files, or a client may be gone again. An
    error that is raised would end the server, and with it the process.
    """

    async def accept(self) -> tuple[Any, Any]:
        """Return the next connection and the address of its client."""
        while True:
            try:
                return await super().accept()
            except OSError as error:
                events.log(
                    events.TASK_RESTARTED,
                    task="accept connections",
                    detail=repr(error),
                    pause_ms=ACCEPT_PAUSE_MS,
                )
            await curio.sleep(ACCEPT_PAUSE_MS / MS_PER_SECOND)


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
        listening = socket.create_server((address.host, address.port), backlog=BACKLOG)
    except OSError as error:
        raise SettingsError(f"cannot listen on {address}: {error}") from error
    await run_server(_ListeningSocket(listening), serve_connection)
