"""Port to the wire format that callers and targets of the relay use."""

import enum
from abc import ABC, abstractmethod

import attrs

from wagtailrun.adapters.http_client import Headers, HttpReply, HttpStream
from wagtailrun.adapters.http_server import Request
from wagtailrun.adapters.target_observer import ObservedAnswer
from wagtailrun.exceptions import Refusal
from wagtailrun.ports.target import TargetLoad

__all__ = [
    "AnswerHead",
    "AnswerProgress",
    "AttemptContext",
    "MalformedBound",
    "PromptPart",
    "RelayRequest",
    "RelayWire",
    "TargetLoad",
    "TargetNotice",
]


@attrs.frozen
class PromptPart:
    """One part of a prompt; prompts with equal leading parts share prefix caches.

    Attributes:
        name: Identifier of the content.
        tokens: Number of tokens.
    """

    name: str
    tokens: int


@attrs.frozen
class RelayRequest:
    """A request to relay.

    Attributes:
        request_id: Identifier chosen by the caller; the target echoes it.
        host: Value of the caller's Host header.
        headers: Headers to forward.
        key: API key of the workspace; empty if there is none.
        remaining_ms: The caller's timeout, if stated.
        last_event_id: Newest event of a stream that the caller has received, if any.
        resumes: Identifier of the earlier request that brought the first event of the
            stream that the caller takes up; empty if there is none.
        parts: Parts of the prompt, in order.
        prompt_tokens: Tokens of the prompt.
        answer_tokens: Tokens of the answer that the caller expects; 0 if not stated.
        pieces: Number of pieces of each step.
        piece_key: Key of the input of the first steps' pieces.
    """

    request_id: str
    host: str
    headers: Headers
    key: str = ""
    remaining_ms: int | None = None
    last_event_id: int | None = None
    resumes: str = ""
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    pieces: tuple[int, ...] = ()
    piece_key: str = ""


@attrs.frozen
class AttemptContext:
    """What the relay adds to a request for one attempt.

    Attributes:
        target: Name of the intended target; another one at its address must not run the
            request.
        workspace: Workspace of the caller; empty if the route needs no key.
        remaining_ms: Time until the request's deadline.
        urgency: Rank, 0 to 9; 0 goes first.
        inputs: Handles of the results of the last stages; None if the route has no
            stages.
        last_event_id: Newest event that was relayed, if a stream is resumed.
    """

    target: str
    workspace: str
    remaining_ms: int
    urgency: int
    inputs: tuple[str, ...] | None = None
    last_event_id: int | None = None


@attrs.frozen
class MalformedBound:
    """A bound that a target names and that cannot be read.

    Attributes:
        text: The value, shortened.
    """

    text: str


@attrs.frozen
class TargetNotice:
    """What an answer says about the target that sent it.

    Attributes:
        leaving: Whether the target leaves and wants no new requests.
        pause_ms: How long it wants no requests from this VM; 0 if it asks for no pause.
        limit_per_s: Requests a second that it takes from all VMs together; None if it
            names no limit.
        max_rejections: Requests a second that it may turn away before it fails, those
            of all VMs together; None if it does not say that it is brittle.
        rejected: Whether it turned this request away without running it.
        cold_ms: How long it stays cold; 0 if it is warm, None if it does not say.
    """

    leaving: bool = False
    pause_ms: int = 0
    limit_per_s: float | MalformedBound | None = None
    max_rejections: float | MalformedBound | None = None
    rejected: bool = False
    cold_ms: int | MalformedBound | None = None


class AnswerProgress(enum.StrEnum):
    """How much of the answer to an attempt has arrived."""

    NOTHING = "nothing"
    # Engines send the head when they begin to generate.
    HEAD = "head"
    EVENTS = "events"


@attrs.frozen
class AnswerHead:
    """Head of a target's answer.

    Attributes:
        status: HTTP status.
        request_id: Identifier of the request that the target answers; empty if missing.
        genuine: Whether it has the header that a target sets when it worked on a
            request.
        not_run: Whether the target states that it has not run the request.
        inputs_gone: Whether it has not run because results of stages are gone.
        misdirected: Whether another target than the intended one has the address.
        headers: Headers to forward to the caller.
        content_type: Media type of the body, without parameters; empty if not stated.
        load: Load of the target, if reported.
    """

    status: int
    request_id: str
    genuine: bool
    not_run: bool
    inputs_gone: bool
    misdirected: bool
    headers: Headers
    content_type: str = ""
    load: TargetLoad | None = None


class RelayWire(ABC):
    """Translates requests and answers between the wire and the types above."""

    @abstractmethod
    def parse_request(self, http: Request) -> RelayRequest | Refusal:
        """Return a caller's request, or a refusal if it is malformed."""

    @abstractmethod
    def attempt_headers(
        self, request: RelayRequest, context: AttemptContext
    ) -> Headers:
        """Return the headers of one attempt."""

    @abstractmethod
    def parse_answer(self, stream: HttpStream) -> AnswerHead:
        """Return the head of a target's answer."""

    @abstractmethod
    def parse_notice(self, stream: ObservedAnswer) -> TargetNotice | None:
        """Return what an answer says about its target.

        Returns:
            None if another target than the intended one answered.
        """

    @abstractmethod
    def report_request(self, target: str) -> tuple[str, str, Headers]:
        """Return method, path and headers of a request for a target's own report.

        Args:
            target: Name of the target; another one at its address does not report.
        """

    @abstractmethod
    def parse_incarnation(self, reply: HttpReply) -> int | None:
        """Return the incarnation that a report names.

        Returns:
            0 if another target answered, None if the report names no incarnation.
        """

    @abstractmethod
    def refusal_headers(self, request_id: str, refusal: Refusal) -> Headers:
        """Return the headers of an answer with a refusal."""
