"""Settings, limits and counters that the connections of an HTTP server share."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from wagtailrun.adapters.drain_times import MAX_REQUEST_WAIT_MS
from wagtailrun.adapters.http_messages import Request, Response
from wagtailrun.adapters.idle_connections import IdleConnection
from wagtailrun.adapters.server_limits import ServerLimits
from wagtailrun.exceptions import Refusal
from wagtailrun.ports.link import Address
from wagtailrun.process.memory_budget import PROCESS_MEMORY, MemoryBudget

__all__ = [
    "MAX_BODY_BYTES",
    "REQUEST_TIMEOUT_MS",
    "CallerServer",
    "HttpHandler",
    "ServerState",
]

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024
# Time limit for the body of a request; by default also for its head and for idleness.
REQUEST_TIMEOUT_MS = 30_000
# Each connection uses a task and a file descriptor, of which a process may have 20,000.
MAX_CONNECTIONS = 4_000

HttpHandler = Callable[[Request], Awaitable[Response]]


class ServerState:
    """State of a server at one address.

    Args:
        address: Address to listen on.
        handler: Returns the response to each request.
        max_body_bytes: Largest accepted body, in bytes.
        on_refusal: Called with each refusal of a request that never reaches the
            handler.
        limits: Returns the current limits; by default those of this module.
        memory: Budget for the bytes of requests and of answers being written.
        overload: Returns why further requests are refused; empty if they are not. By
            default it is the number of connections. Asked once for each request, at its
            first byte: what is admitted counts in ``unanswered_requests`` from then on.
        checks: Returns whether a path is that of a check of the platform, which is
            answered also without room for requests; by default none is.
        notice_ms: How long before its drain this server is closing at least, in
            milliseconds. Answers announce no longer idle time, so that no request
            crosses the close of its connection; by default they announce none.
    """

    def __init__(
        self,
        address: Address,
        handler: HttpHandler,
        max_body_bytes: int = MAX_BODY_BYTES,
        on_refusal: Callable[[Refusal], Awaitable[None]] | None = None,
        limits: Callable[[], ServerLimits] | None = None,
        memory: MemoryBudget = PROCESS_MEMORY,
        overload: Callable[[], str] | None = None,
        checks: Callable[[str], bool] = lambda path: False,
        notice_ms: int = 0,
    ):
        self.memory = memory
        self.notice_ms = notice_ms
        self.checks = checks
        self.overload = overload or self.count_overload
        self.limits = limits or self._default_limits
        self.address = address
        self.handler = handler
        self.max_body_bytes = max_body_bytes
        self.on_refusal = on_refusal
        self.open_connections = 0
        # Whether each response is the last one on its connection.
        self.closing = False
        # Whether idle connections are closed.
        self.draining = False
        # Whether idle connections are kept then for the time that answers announced.
        self.keeps_announced = True
        # Whether a connection whose request has not arrived is refused at once.
        self.refuses_at_once = False
        self.active_requests = 0
        # Active requests of which no part of an answer was sent.
        self.unanswered_requests = 0
        # Connections that a planned stop ended before their first request arrived.
        self.unused_connections_ended = 0
        # Connections that waited for a descriptor until a planned stop refused others.
        self.waiting_connections = 0
        self.idle_connections: set[IdleConnection] = set()
        # Those whose request has not arrived completely.
        self.reading_connections: set[IdleConnection] = set()

    def count_overload(self) -> str:
        """Return why new requests are refused for the number of connections."""
        if self.open_connections <= MAX_CONNECTIONS:
            return ""
        return f"more than {MAX_CONNECTIONS} connections are open"

    def _default_limits(self) -> ServerLimits:
        return ServerLimits(
            header_bytes=MAX_HEADER_BYTES,
            body_bytes=self.max_body_bytes,
            header_ms=REQUEST_TIMEOUT_MS,
            idle_ms=REQUEST_TIMEOUT_MS,
        )

    @property
    def is_busy(self) -> bool:
        """Whether a request is active, or may arrive on a new connection."""
        return bool(self.active_requests) or any(
            connection.is_awaited for connection in self.idle_connections
        )


class CallerServer(ServerState, ABC):
    """A server that accepts requests, and the steps in which a planned stop ends it."""

    @abstractmethod
    async def serve(self) -> None:
        """Accept connections until cancelled.

        Raises:
            SettingsError: If the process cannot listen on the address.
        """

    @abstractmethod
    async def drain(self) -> None:
        """Close the idle connections, now and later."""

    @abstractmethod
    async def end_kept(self) -> None:
        """Close the connections that are kept for an announced time, now and later."""

    @abstractmethod
    async def refuse_incomplete(self) -> None:
        """Refuse the requests that have not arrived completely."""

    @abstractmethod
    async def stop_accepting(self, limit_ms: int = MAX_REQUEST_WAIT_MS) -> None:
        """Drain, accept what clients have opened, and refuse further connections.

        Args:
            limit_ms: How long to wait for free descriptors, in milliseconds.
        """

    @abstractmethod
    async def accept_waiting(self, limit_ms: float) -> None:
        """Accept the connections that wait for a descriptor, and refuse further ones.

        Args:
            limit_ms: How long to accept connections, in milliseconds.
        """

    @abstractmethod
    async def close(self, limit_ms: int, answer_ms: int = 0) -> None:
        """Accept no more connections, and answer the requests of the accepted ones.

        Args:
            limit_ms: How long to wait for requests and their answers, in milliseconds.
            answer_ms: How much of it is kept for the answers to complete requests.
        """
