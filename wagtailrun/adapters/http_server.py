"""HTTP/1.1 server built on h11, with one task for each connection."""

from typing import Any

import curio
import h11

from wagtailrun.adapters.closed_connections import ClosedConnections
from wagtailrun.adapters.drain_times import MAX_REQUEST_WAIT_MS
from wagtailrun.adapters.http_messages import (
    Request,
    Response,
    json_response,
    refusal_response,
)
from wagtailrun.adapters.idle_connections import end_idle
from wagtailrun.adapters.listener import Listener
from wagtailrun.adapters.server_connection import ServerConnection
from wagtailrun.adapters.server_limits import ServerLimits
from wagtailrun.adapters.server_state import CallerServer, HttpHandler
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import ResponseAborted
from wagtailrun.logs import events
from wagtailrun.ports.link import Address

__all__ = [
    "HttpHandler",
    "HttpServer",
    "Request",
    "Response",
    "ServerLimits",
    "json_response",
    "refusal_response",
]

# Pause of a process that ends between two attempts to accept a connection. Each refusal
# frees a descriptor as soon as its client has read it.
WAITING_ACCEPT_PAUSE_MS = 5
# Time in which clients read the last refusals; the end of a process resets connections
# with bytes that were not read.
LAST_REFUSALS_MS = 100
# Time in which the tasks of connections whose bytes have just arrived take them.
END_PAUSE_MS = 10


class HttpServer(CallerServer):
    """Serves HTTP at one address.

    Args:
        address: Address to listen on.
        handler: Returns the response to each request.
        *arguments: Further arguments of ``ServerState``.
        **options: As above.
    """

    def __init__(
        self, address: Address, handler: HttpHandler, *arguments: Any, **options: Any
    ):
        super().__init__(address, handler, *arguments, **options)
        self.listener = Listener(address, self._serve_connection)
        self.closed_connections = ClosedConnections(
            str(address), lambda: not (self.refuses_at_once or self.overload())
        )

    async def serve(self) -> None:
        """Accept connections until cancelled.

        Raises:
            SettingsError: If the process cannot listen on the address.
        """
        try:
            await self.listener.run()
        finally:
            self.closed_connections.log_rest()

    async def drain(self) -> None:
        """Close the idle connections, now and later.

        The request of a new connection is on its way and still answered. A connection
        whose last answer announced an idle time is kept for that time, if there is room
        for requests.
        """
        self.closing = self.draining = True
        await self._end_idle()

    async def end_kept(self) -> None:
        """Close the connections that are kept for an announced time, now and later."""
        self.keeps_announced = False
        await self._end_idle()

    async def _end_idle(self) -> None:
        """End the idle connections; without room, also those with an announced time."""
        keeps_announced = self.keeps_announced and not self.overload()
        await end_idle(self.idle_connections, keeps_announced)

    async def refuse_incomplete(self) -> None:
        """Refuse the requests that have not arrived completely."""
        for connection in list(self.reading_connections):
            await connection.stop_reading()

    async def stop_accepting(self, limit_ms: int = MAX_REQUEST_WAIT_MS) -> None:
        """Drain, accept what clients have opened, and refuse further connections.

        Args:
            limit_ms: How long to wait for free descriptors, in milliseconds. Without
                any, the connections are left for ``close``.
        """
        # First, as it frees descriptors, without which no connection can be accepted.
        await self.drain()
        await self.listener.close(min(limit_ms, MAX_REQUEST_WAIT_MS), keeps_queue=True)

    async def accept_waiting(self, limit_ms: float) -> None:
        """Accept the connections that wait for a descriptor, and refuse further ones.

        The descriptors are those of connections without a whole request, which are
        refused at once: the end of the process would reset those that wait.

        Args:
            limit_ms: How long to accept connections, in milliseconds.
        """
        if not self.listener.is_listening:
            return
        self.refuses_at_once = True
        for connection in [*self.idle_connections, *self.reading_connections]:
            await connection.stop_reading()
        before = self.listener.accepted
        await self.listener.close(
            limit_ms, keeps_queue=True, pause_ms=WAITING_ACCEPT_PAUSE_MS
        )
        self.waiting_connections += self.listener.accepted - before

    async def close(self, limit_ms: int, answer_ms: int = 0) -> None:
        """Accept no more connections, and answer the requests of the accepted ones.

        What has not arrived in time is refused. A request on a connection that was used
        before, and idle, crosses the close of its connection.

        Args:
            limit_ms: How long to wait for requests and their answers, in milliseconds.
            answer_ms: How much of it is kept for the answers to complete requests.
        """
        started_s = await curio.clock()
        last_ms = max(answer_ms, LAST_REFUSALS_MS)
        await self.stop_accepting(0)
        await self.accept_waiting(limit_ms - last_ms)
        await self.listener.close(0)
        accepted_ms = (await curio.clock() - started_s) * MS_PER_SECOND
        if await self._is_answered_within(limit_ms - last_ms - accepted_ms):
            return
        for connection in [*self.idle_connections, *self.reading_connections]:
            await connection.stop_reading()
        await self._is_answered_within(last_ms - LAST_REFUSALS_MS)
        await curio.sleep(LAST_REFUSALS_MS / MS_PER_SECOND)

    async def _is_answered_within(self, limit_ms: float) -> bool:
        """Return whether all requests have their answers before the time is over."""
        async with curio.ignore_after(max(limit_ms, 0) / MS_PER_SECOND):
            while True:
                await curio.sleep(END_PAUSE_MS / MS_PER_SECOND)
                if not self.unanswered_requests and not self.idle_connections:
                    return True
        return False

    async def _serve_connection(self, sock: Any, peer: Any) -> None:
        connection = ServerConnection(self, sock, str(peer[0]))
        self.open_connections += 1
        try:
            await connection.run()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            # The client has disconnected or does not read, so no response can be sent.
            return
        except ResponseAborted:
            # The handler has logged the cause; the client detects the incomplete body.
            return
        except Exception as error:
            # Closing without the final chunk marks the response as incomplete.
            events.log(events.HANDLER_FAILED, detail=repr(error))
        finally:
            connection.mark_incomplete()
            self.open_connections -= 1
        if connection.ended_idle:
            await self.closed_connections.close(connection, connection.peer)
