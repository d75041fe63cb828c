"""Listens on TCP addresses; a failure names the address."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from wagtailrun import events
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import SettingsError
from wagtailrun.ports.link import Address

__all__ = ["listen"]

# A process without free file descriptors gets some when connections end.
ACCEPT_PAUSE_MS = 50


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
        sock = curio.tcp_server_socket(address.host, address.port)
    except OSError as error:
        raise SettingsError(f"cannot listen on {address}: {error}") from error
    async with sock, curio.TaskGroup() as group:
        acceptor = await group.spawn(_accept, address, sock, group, serve_connection)
        async for task in group:
            task.joined = True
            if task is acceptor:
                raise task.exception


async def _accept(
    address: Address,
    sock: Any,
    group: curio.TaskGroup,
    serve_connection: Callable[[Any, Any], Awaitable[None]],
) -> None:
    """Accept connections for ever; a failure to accept one ends nothing."""

    async def serve(client: Any, peer: Any) -> None:
        async with client:
            try:
                await serve_connection(client, peer)
            except Exception as error:
                events.log(events.HANDLER_FAILED, peer=str(peer), detail=repr(error))

    while True:
        try:
            client, peer = await sock.accept()
        except OSError as error:
            events.log(events.ACCEPT_FAILED, address=str(address), detail=str(error))
            await curio.sleep(ACCEPT_PAUSE_MS / MS_PER_SECOND)
            continue
        await group.spawn(serve, client, peer)
        # The task alone refers to the connection, and closes it at its end.
        del client
