"""Calls targets over HTTP; generate stages answer with server-sent events."""

import json
from collections.abc import AsyncGenerator, Iterator
from contextlib import AbstractAsyncContextManager
from typing import Any

import curio
import sseclient

from wagtailrun.adapters.http_client import HttpClient, HttpStream
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Attempt, StageAnswer, TargetClient, Token
from wagtailrun.targets.attempt_ends import end_of_answer

__all__ = ["HttpTargetClient", "ServerSentEvents"]

CANCEL_TIMEOUT_MS = 1_000
SERVICE_UNAVAILABLE = 503
MAX_EVENT_BYTES = 64 * 1024
END_OF_EVENT = b"\n\n"
# Bytes that are parsed in one turn; even if each three of them are an event, that takes
# a few milliseconds.
PARSED_BYTES = 4 * 1024
# Tokens and milliseconds of an answer have fewer digits. Accounts add them up, and
# estimates multiply them as floating-point numbers.
MAX_COUNT_DIGITS = 12
# What reading an event raises, which may be any JSON: numbers may be infinite, and
# lists nested deeply.
MALFORMED_EVENT = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class ServerSentEvents:
    """Parses server-sent events from a body that is received in pieces."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, piece: bytes) -> Iterator[sseclient.Event]:
        """Yield each event that ``piece`` completes."""
        scanned = max(len(self.buffer) - len(END_OF_EVENT) + 1, 0)
        self.buffer += piece
        complete = b""
        end = self.buffer.rfind(END_OF_EVENT, scanned)
        if end >= 0:
            end += len(END_OF_EVENT)
            complete = bytes(self.buffer[:end])
            del self.buffer[:end]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise TargetFailed(f"server-sent event exceeds {MAX_EVENT_BYTES} bytes")
        if complete:
            yield from sseclient.SSEClient(iter((complete,))).events()


class HttpTargetClient(TargetClient):
    """Target client that uses ``HttpClient``.

    Args:
        client: HTTP client.
        idle_timeout_ms: Longest time without progress of an attempt's connection, in
            milliseconds.
    """

    def __init__(self, client: HttpClient, idle_timeout_ms: int = 30_000):
        self.client = client
        self.idle_timeout_ms = idle_timeout_ms
        # Number of answers that were dropped as they belong to another attempt.
        self.crossed_answers = 0

    async def call(self, address: Address, attempt: Attempt) -> StageAnswer:
        """Run a stage or call and return its complete answer."""
        async with self._open(address, attempt) as stream:
            body = await stream.read_all(attempt.remaining_ms)
            # Within the block, by which the connection is closed: the answers that
            # follow on it may belong to other attempts, too.
            self._check_echo(attempt, stream.headers)
        _check_status(stream.status, stream.headers)
        return _make_answer(stream.status, stream.headers, body)

    async def stream(
        self, address: Address, attempt: Attempt
    ) -> AsyncGenerator[tuple[Token, ...], None]:
        """Run a generate stage; see ``TargetClient.stream``."""
        timeout_ms = min(self.idle_timeout_ms, attempt.remaining_ms)
        clock = self.client.clock
        async with self._open(address, attempt) as stream:
            self._check_echo(attempt, stream.headers)
            _check_status(stream.status, stream.headers)
            events = ServerSentEvents()
            done = False
            newest = attempt.resume_offset - 1
            token_due_ms = clock.now_ms() + timeout_ms
            while piece := await stream.read(token_due_ms - clock.now_ms()):
                tokens = await _parse_tokens(events, piece)
                if tokens:
                    done = done or tokens[-1].last
                    yield tokens
                # Tokens that the target sent before are no progress.
                if tokens and (done or tokens[-1].offset > newest):
                    newest = tokens[-1].offset
                    # The time that the caller took to read does not count.
                    token_due_ms = clock.now_ms() + timeout_ms
                elif clock.now_ms() >= token_due_ms:
                    raise TargetFailed(
                        f"no complete event for {timeout_ms} ms", timed_out=True
                    )
            if not done:
                raise TargetFailed("stream ended without its end marker")

    def _open(
        self, address: Address, attempt: Attempt
    ) -> AbstractAsyncContextManager[HttpStream]:
        """Send an attempt, unless its deadline passes before a connection is open."""
        clock = self.client.clock
        deadline_ms = clock.now_ms() + attempt.remaining_ms
        return self.client.open(
            address,
            "POST",
            attempt.path,
            lambda: _request_headers(attempt, deadline_ms - clock.now_ms()),
            attempt.body,
            timeout_ms=min(self.idle_timeout_ms, attempt.remaining_ms),
            new_connection=attempt.new_connection,
            may_send=lambda: clock.now_ms() < deadline_ms,
            deadline_ms=deadline_ms,
        )

    async def cancel(self, address: Address, number: int) -> None:
        """Ask the target to abandon the attempt; errors are ignored."""
        try:
            await self.client.request(
                address,
                "DELETE",
                f"/v1/attempts/{number}",
                timeout_ms=CANCEL_TIMEOUT_MS,
            )
        except TargetFailed:
            return

    def _check_echo(self, attempt: Attempt, headers: dict[str, str]) -> None:
        """Raise TargetFailed unless the reply is an answer to ``attempt``."""
        echoed = headers.get("wagtailrun-attempt")
        if echoed != str(attempt.number):
            self.crossed_answers += 1
            raise TargetFailed(
                f"received the answer to attempt {echoed} for attempt {attempt.number}"
            )


def _check_status(status: int, headers: dict[str, str]) -> None:
    """Raise TargetFailed unless the reply is a success."""
    not_run = headers.get("wagtailrun-verdict") == Verdict.NOT_RUN
    end = end_of_answer(status, not_run=not_run)
    if end.verdict is not Verdict.COMPLETE:
        retry_after_ms = _header_count(headers, "retry-after") * MS_PER_SECOND
        raise TargetFailed(
            f"target answered with status {status}",
            verdict=end.verdict,
            retry_after_ms=retry_after_ms,
            pauses=status == SERVICE_UNAVAILABLE and retry_after_ms > 0,
        )


def _request_headers(attempt: Attempt, left_ms: int) -> tuple[tuple[str, str], ...]:
    headers = [
        ("Content-Type", "application/json"),
        ("Wagtailrun-Attempt", str(attempt.number)),
        ("Wagtailrun-Request-Id", attempt.request_id),
        ("Wagtailrun-Deadline-Ms", str(max(left_ms, 1))),
        ("Wagtailrun-Priority", str(attempt.priority)),
    ]
    if attempt.resume_offset:
        headers.append(("Wagtailrun-Resume-Offset", str(attempt.resume_offset)))
    return (*headers, *attempt.headers)


def _make_answer(status: int, headers: dict[str, str], body: bytes) -> StageAnswer:
    return StageAnswer(
        status=status,
        body=body,
        tokens_in=_header_count(headers, "wagtailrun-tokens-in"),
        tokens_cached=_header_count(headers, "wagtailrun-tokens-cached"),
        engine_ms=_header_count(headers, "wagtailrun-engine-ms"),
        running=_header_count(headers, "wagtailrun-running"),
        queued=_header_count(headers, "wagtailrun-queued"),
    )


def _header_count(headers: dict[str, str], name: str) -> int:
    """Return the number in a header, 0 if it is missing or no count."""
    value = headers.get(name, "0")
    if not value.isdecimal() or len(value) > MAX_COUNT_DIGITS:
        return 0
    return int(value)


def _event_count(values: dict[str, Any], name: str) -> int:
    """Return the number in an event, 0 if it is missing or no count."""
    try:
        count = int(values.get(name, 0))
    except (ValueError, TypeError, OverflowError):
        return 0
    return count if 0 <= count < 10**MAX_COUNT_DIGITS else 0


async def _parse_tokens(events: ServerSentEvents, piece: bytes) -> tuple[Token, ...]:
    """Return the tokens that a piece completes; other tasks get turns meanwhile."""
    tokens: list[Token] = []
    for start in range(0, len(piece), PARSED_BYTES):
        part = piece[start : start + PARSED_BYTES]
        tokens.extend(_parse_token(event) for event in events.feed(part))
        if len(piece) > PARSED_BYTES:
            await curio.sleep(0)
    return tuple(tokens)


def _parse_token(event: sseclient.Event) -> Token:
    try:
        values = json.loads(event.data)
        if event.event == "done":
            answer = StageAnswer(
                status=200,
                body=b"",
                tokens_in=_event_count(values, "tokens_in"),
                tokens_cached=_event_count(values, "tokens_cached"),
                engine_ms=_event_count(values, "engine_ms"),
                running=_event_count(values, "running"),
                queued=_event_count(values, "queued"),
            )
            return Token(int(values["tokens"]), "", last=True, answer=answer)
        return Token(int(values["offset"]), str(values["text"]))
    except MALFORMED_EVENT as error:
        raise TargetFailed("target sent a malformed event") from error
