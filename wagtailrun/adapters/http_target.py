"""Calls targets over HTTP; generate answers arrive as server-sent events."""

import json
from collections.abc import AsyncIterator, Iterator

import sseclient

from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Attempt, StageAnswer, TargetClient, Token

__all__ = ["HttpTargetClient", "ServerSentEvents"]

CANCEL_TIMEOUT_MS = 1_000
MAX_EVENT_BYTES = 64 * 1024
END_OF_EVENT = b"\n\n"


class ServerSentEvents:
    """Reads the server-sent events of a body that arrives in pieces."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, piece: bytes) -> Iterator[sseclient.Event]:
        """Yield each event that ``piece`` completes."""
        self.buffer += piece
        complete, separator, self.buffer = self.buffer.rpartition(END_OF_EVENT)
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise TargetFailed("event too large", verdict=Verdict.MAY_HAVE_RUN)
        if separator:
            yield from sseclient.SSEClient([complete + separator]).events()


class HttpTargetClient(TargetClient):
    """Target client on ``HttpClient``.

    Args:
        client: HTTP client with its pool of connections.
        silence_ms: Longest silence of a connection while a call is under way.
    """

    def __init__(self, client: HttpClient, silence_ms: int = 30_000):
        self.client = client
        self.silence_ms = silence_ms
        # Answers to another attempt than the one sent, which were dropped.
        self.crossed_answers = 0

    async def call(self, address: Address, attempt: Attempt) -> StageAnswer:
        """Run a stage or call and return its whole answer."""
        timeout_ms = min(self.silence_ms, attempt.remaining_ms)
        reply = await self.client.request(
            address,
            "POST",
            attempt.path,
            _headers(attempt),
            attempt.body,
            timeout_ms=timeout_ms,
            new_connection=attempt.new_connection,
        )
        self._check_reply(attempt, reply.status, reply.headers)
        return _answer(reply.status, reply.headers, reply.body)

    async def stream(
        self, address: Address, attempt: Attempt
    ) -> AsyncIterator[tuple[Token, ...]]:
        """Run a generate stage; see ``TargetClient.stream``."""
        timeout_ms = min(self.silence_ms, attempt.remaining_ms)
        async with self.client.open(
            address,
            "POST",
            attempt.path,
            _headers(attempt),
            attempt.body,
            timeout_ms=timeout_ms,
            new_connection=attempt.new_connection,
        ) as stream:
            self._check_reply(attempt, stream.status, stream.headers)
            events = ServerSentEvents()
            done = False
            while piece := await stream.read(timeout_ms):
                tokens = tuple(_token(event) for event in events.feed(piece))
                if tokens:
                    done = done or tokens[-1].last
                    yield tokens
            if not done:
                detail = "stream ended without its end marker"
                raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)

    async def cancel(self, address: Address, number: int) -> None:
        """Tell the target that nobody needs the attempt."""
        try:
            await self.client.request(
                address,
                "DELETE",
                f"/v1/attempts/{number}",
                timeout_ms=CANCEL_TIMEOUT_MS,
            )
        except TargetFailed:
            return

    def _check_reply(
        self, attempt: Attempt, status: int, headers: dict[str, str]
    ) -> None:
        """Raise TargetFailed unless the reply is the answer to ``attempt``."""
        echoed = headers.get("wagtailrun-attempt")
        if echoed != str(attempt.number):
            self.crossed_answers += 1
            detail = f"answer to attempt {echoed} received for {attempt.number}"
            raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)
        if 200 <= status < 300:
            return
        not_run = headers.get("wagtailrun-verdict") == Verdict.NOT_RUN
        raise TargetFailed(
            f"target answered with status {status}",
            verdict=Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN,
            retry_after_ms=_count(headers, "retry-after") * MS_PER_SECOND,
        )


def _headers(attempt: Attempt) -> tuple[tuple[str, str], ...]:
    headers = [
        ("Content-Type", "application/json"),
        ("Wagtailrun-Attempt", str(attempt.number)),
        ("Wagtailrun-Request-Id", attempt.request_id),
        ("Wagtailrun-Deadline-Ms", str(attempt.remaining_ms)),
        ("Wagtailrun-Priority", str(attempt.priority)),
    ]
    if attempt.resume_offset:
        headers.append(("Wagtailrun-Resume-Offset", str(attempt.resume_offset)))
    return (*headers, *attempt.headers)


def _answer(status: int, headers: dict[str, str], body: bytes) -> StageAnswer:
    return StageAnswer(
        status=status,
        body=body,
        tokens_in=_count(headers, "wagtailrun-tokens-in"),
        tokens_cached=_count(headers, "wagtailrun-tokens-cached"),
        engine_ms=_count(headers, "wagtailrun-engine-ms"),
        running=_count(headers, "wagtailrun-running"),
        queued=_count(headers, "wagtailrun-queued"),
    )


def _count(headers: dict[str, str], name: str) -> int:
    value = headers.get(name, "0")
    return int(value) if value.isdecimal() else 0


def _token(event: sseclient.Event) -> Token:
    try:
        values = json.loads(event.data)
        if event.event == "done":
            answer = StageAnswer(
                status=200,
                body=b"",
                tokens_in=int(values.get("tokens_in", 0)),
                tokens_cached=int(values.get("tokens_cached", 0)),
                engine_ms=int(values.get("engine_ms", 0)),
                running=int(values.get("running", 0)),
                queued=int(values.get("queued", 0)),
            )
            return Token(int(values["tokens"]), "", last=True, answer=answer)
        return Token(int(values["offset"]), str(values["text"]))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        detail = "target sent a malformed event"
        raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN) from error
