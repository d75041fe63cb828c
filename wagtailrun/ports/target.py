"""Port to the targets that run stages and calls."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator

import attrs

from wagtailrun.ports.link import Address

__all__ = ["Attempt", "StageAnswer", "TargetClient", "TargetLoad", "Token"]


@attrs.frozen
class Attempt:
    """One attempt at a stage or call at one target.

    Attributes:
        number: Unique number of the attempt, which the target echoes.
        request_id: Identifier of the caller's request, the same in all processes.
        path: HTTP path at the target.
        body: JSON body.
        remaining_ms: Time left until the request's deadline, in milliseconds.
        priority: Priority; a larger value is more urgent.
        resume_offset: Offset of the first token that a generate stage has to send.
        new_connection: Whether to bypass the pool of idle connections.
        headers: Additional headers, as pairs of name and value.
    """

    number: int
    request_id: str
    path: str
    body: bytes
    remaining_ms: int
    priority: int = 0
    resume_offset: int = 0
    new_connection: bool = False
    headers: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class StageAnswer:
    """Complete answer of a stage or call.

    Attributes:
        status: HTTP status, 200 to 299.
        body: JSON body.
        tokens_in: Number of prompt tokens, as the target reports it.
        tokens_cached: Number of prompt tokens served from the target's prefix cache.
        tokens_out: Number of tokens that the attempt generated.
        engine_ms: Processing time that the target reports, in milliseconds.
        running: Number of requests running at the target when it answered.
        queued: Number of requests queued at the target when it answered.
    """

    status: int
    body: bytes
    tokens_in: int = 0
    tokens_cached: int = 0
    tokens_out: int = 0
    engine_ms: int = 0
    running: int = 0
    queued: int = 0


@attrs.frozen
class TargetLoad:
    """Load of a target when it answered.

    Attributes:
        running: Requests running.
        waiting: Requests queued.
        slots: Requests that can run at once.
    """

    running: int
    waiting: int
    slots: int


@attrs.frozen
class Token:
    """One generated token, or the end of the stream.

    Attributes:
        offset: Position in the answer, from 0.
        text: Text of the token.
        last: True for the end marker, which carries no text.
        answer: Counters that the target reports, at the end marker only.
    """

    offset: int
    text: str
    last: bool = False
    answer: StageAnswer | None = None


class TargetClient(ABC):
    """Calls targets; a failure raises ``TargetFailed`` with a verdict."""

    @abstractmethod
    async def call(self, address: Address, attempt: Attempt) -> StageAnswer:
        """Run a stage or call and return its complete answer."""

    @abstractmethod
    def stream(
        self, address: Address, attempt: Attempt
    ) -> AsyncGenerator[tuple[Token, ...], None]:
        """Run a generate stage and yield its tokens in order of offset.

        Each item holds the tokens that were received together, so that they can be
        sent on in one write. The last token of the last item is the end marker.
        """

    @abstractmethod
    async def cancel(self, address: Address, number: int) -> None:
        """Ask the target to abandon the attempt; errors are ignored."""
