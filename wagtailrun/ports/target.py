"""Port to the targets that run stages and calls."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

import attrs

from wagtailrun.ports.link import Address

__all__ = ["Attempt", "StageAnswer", "TargetClient", "Token"]


@attrs.frozen
class Attempt:
    """One try of one stage or call at one target.

    Attributes:
        number: Unique number of this try; the target echoes it.
        request_id: Identifier of the caller's request in all processes.
        path: HTTP path at the target.
        body: JSON body.
        remaining_ms: What is left of the request's deadline.
        priority: Larger is more urgent.
        resume_offset: First token wanted from a generate stage.
        new_connection: Whether to bypass the pool of idle connections.
        headers: Further headers, as pairs.
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
    """Whole answer of a stage or call.

    Attributes:
        status: HTTP status, 200 to 299.
        body: JSON body.
        tokens_in: Prompt tokens that the target counted.
        tokens_cached: Prompt tokens served from its prefix cache.
        tokens_out: Tokens that the attempt generated.
        engine_ms: Processing time that the target counted.
        running: Requests running at the target when it answered.
        queued: Requests queued at the target when it answered.
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
class Token:
    """One generated token, or the end of the stream.

    Attributes:
        offset: Position in the answer, from 0.
        text: Text of the token.
        last: True for the end marker, which carries no text.
        answer: Counters of the target, on the end marker only.
    """

    offset: int
    text: str
    last: bool = False
    answer: StageAnswer | None = None


class TargetClient(ABC):
    """Calls targets; raises ``TargetFailed`` with a verdict when one fails."""

    @abstractmethod
    async def call(self, address: Address, attempt: Attempt) -> StageAnswer:
        """Run a stage or call and return its whole answer."""

    @abstractmethod
    def stream(
        self, address: Address, attempt: Attempt
    ) -> AsyncIterator[tuple[Token, ...]]:
        """Run a generate stage and yield its tokens in order of offset.

        Each item holds the tokens that arrived together, so that they can be relayed
        in one write; the last token of the last item is the end marker.
        """

    @abstractmethod
    async def cancel(self, address: Address, number: int) -> None:
        """Tell the target that nobody needs the attempt; errors are ignored."""
