"""Emulated server for callers: takes requests that were read, and sends answers."""

import attrs
import curio

from wagtailrun.adapters.drain_times import MAX_REQUEST_WAIT_MS
from wagtailrun.adapters.http_messages import Request, Response
from wagtailrun.adapters.server_state import CallerServer
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import ResponseAborted
from wagtailrun.experiments.relay.network import Process
from wagtailrun.logs import events

__all__ = ["AnswerEnd", "AnswerPart", "CallerExchange", "EmulatedServer"]

CLOSE_POLL_MS = 10


@attrs.frozen
class AnswerPart:
    """Status and some bytes of an answer."""

    status: int
    headers: tuple[tuple[str | bytes, str | bytes], ...]
    data: bytes


@attrs.frozen
class AnswerEnd:
    """End of an answer; ``failure`` is empty if it is whole."""

    failure: str = ""


class CallerExchange:
    """A request of a caller, and the answer to it as it arrives."""

    def __init__(self, request: Request):
        self.request = request
        self.parts: curio.Queue = curio.Queue()
        self.task: curio.Task | None = None

    async def leave(self) -> None:
        """Close the connection, as a caller that waits no more."""
        if self.task is not None:
            await self.task.cancel(blocking=False)


class EmulatedServer(CallerServer):
    """Serves callers of an emulated entry; each has a connection of its own.

    Args:
        process: Process of the entry.
        *arguments: Arguments of ``ServerState``.
        **options: Further arguments of ``ServerState``.
    """

    def __init__(self, process: Process, *arguments: object, **options: object):
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.process = process
        self.is_listening = False
        self.exchanges: dict[CallerExchange, None] = {}

    async def serve(self) -> None:
        """Accept requests until cancelled."""
        self.is_listening = True
        await curio.Event().wait()

    async def submit(self, request: Request) -> CallerExchange | None:
        """Take a request; None if the connection is refused."""
        if not (self.is_listening and self.process.is_alive):
            return None
        exchange = CallerExchange(request)
        self.exchanges[exchange] = None
        exchange.task = await self.process.tasks.spawn(self._serve, exchange)
        return exchange

    async def reset_all(self) -> None:
        """Reset the connections of the callers, as the process has ended."""
        self.is_listening = False
        exchanges, self.exchanges = list(self.exchanges), {}
        for exchange in exchanges:
            await exchange.parts.put(AnswerEnd("entry-killed"))

    async def _serve(self, exchange: CallerExchange) -> None:
        self.active_requests += 1
        self.unanswered_requests += 1
        is_answered = False
        failure = ""
        try:
            response = await self.handler(exchange.request)
            if isinstance(response.body, bytes):
                await self._send(exchange, response, response.body)
            else:
                try:
                    self.unanswered_requests -= 1
                    is_answered = True
                    async for piece in response.body:
                        await self._send(exchange, response, piece)
                finally:
                    await response.body.aclose()
        except ResponseAborted:
            failure = "broken-off"
        except Exception as error:
            failure = "internal"
            events.log(events.HANDLER_FAILED, detail=repr(error))
        finally:
            self.active_requests -= 1
            if not is_answered:
                self.unanswered_requests -= 1
        if self.exchanges.pop(exchange, self) is None:
            await exchange.parts.put(AnswerEnd(failure))

    async def _send(
        self, exchange: CallerExchange, response: Response, data: bytes
    ) -> None:
        await exchange.parts.put(AnswerPart(response.status, response.headers, data))

    async def drain(self) -> None:
        """Close the idle connections: there are none."""
        self.closing = self.draining = True

    async def end_kept(self) -> None:
        """Close the connections that are kept: there are none."""
        self.keeps_announced = False

    async def refuse_incomplete(self) -> None:
        """Refuse incomplete requests: all requests are complete."""

    async def stop_accepting(self, limit_ms: int = MAX_REQUEST_WAIT_MS) -> None:
        """Refuse further connections."""
        await self.drain()
        self.is_listening = False

    async def accept_waiting(self, limit_ms: float) -> None:
        """Accept connections that wait for a descriptor: there are none."""

    async def close(self, limit_ms: int, answer_ms: int = 0) -> None:
        """Accept no more connections, and answer the requests that were accepted."""
        await self.stop_accepting()
        left_ms = limit_ms
        while self.active_requests and left_ms > 0:
            await curio.sleep(CLOSE_POLL_MS / MS_PER_SECOND)
            left_ms -= CLOSE_POLL_MS
