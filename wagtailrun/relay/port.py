"""Port to the form in which callers and targets of the relay speak."""

from abc import ABC, abstractmethod

import attrs

from wagtailrun.adapters.http_client import Headers, HttpStream
from wagtailrun.adapters.http_server import Request
from wagtailrun.exceptions import Refusal

__all__ = [
    "AnswerHead",
    "AttemptContext",
    "PromptPart",
    "RelayRequest",
    "RelayWire",
    "TargetLoad",
]


@attrs.frozen
class PromptPart:
    """One part of a prompt; requests with equal leading parts share them."""

    name: str
    tokens: int


@attrs.frozen
class RelayRequest:
    """A request that is to be passed on.

    Attributes:
        request_id: Identifier that the caller gave it; the target echoes it.
        host: Host that the caller asked for.
        headers: Headers to pass on.
        key: Key of the workspace; empty if there is none.
        remaining_ms: How long the caller waits, if it said so.
        last_event_id: Newest event that the caller has of a stream, if any.
        parts: Parts of the prompt, in order.
        prompt_tokens: Tokens of the prompt.
        pieces: Number of pieces of each stage.
        piece_key: Source of the first pieces.
    """

    request_id: str
    host: str
    headers: Headers
    key: str = ""
    remaining_ms: int | None = None
    last_event_id: int | None = None
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    pieces: tuple[int, ...] = ()
    piece_key: str = ""


@attrs.frozen
class AttemptContext:
    """What this system adds to a request for one attempt.

    Attributes:
        target: Name of the target that is meant; another one at its address must not
            run the request.
        workspace: Workspace of the caller; empty if the route needs no key.
        remaining_ms: Time left.
        urgency: Rank, 0 to 9; 0 goes first.
        inputs: Handles of the results of the last stages; None if the route has no
            stages.
        last_event_id: Newest event that was passed on, if the stream goes on.
    """

    target: str
    workspace: str
    remaining_ms: int
    urgency: int
    inputs: tuple[str, ...] | None = None
    last_event_id: int | None = None


@attrs.frozen
class TargetLoad:
    """Load of a target when it answered."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class AnswerHead:
    """Head of a target's answer.

    Attributes:
        status: HTTP status.
        request_id: Request that it belongs to, as the target says.
        genuine: Whether it carries the mark of a target that worked on a request.
        not_run: Whether the target says that it has not run the request.
        inputs_gone: Whether that is so because results of stages are gone.
        misdirected: Whether another target than the one meant has the address.
        headers: Headers to pass on to the caller.
        load: Load of the target, if it told it.
    """

    status: int
    request_id: str
    genuine: bool
    not_run: bool
    inputs_gone: bool
    misdirected: bool
    headers: Headers
    load: TargetLoad | None = None


class RelayWire(ABC):
    """Names on the wire, translated to and from the types above."""

    @abstractmethod
    def parse_request(self, http: Request) -> RelayRequest | Refusal:
        """Return the request that a caller sent, or why it is malformed."""

    @abstractmethod
    def attempt_headers(self, request: RelayRequest, order: AttemptContext) -> Headers:
        """Return the headers of one attempt."""

    @abstractmethod
    def parse_answer(self, stream: HttpStream) -> AnswerHead:
        """Return what the head of a target's answer says."""

    @abstractmethod
    def refusal_headers(self, request_id: str, refusal: Refusal) -> Headers:
        """Return the headers of an answer that tells a caller of a refusal."""
