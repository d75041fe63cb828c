"""Messages about the choice of engines."""

import enum

import attrs

from wagtailrun.codec import Channel, Codec
from wagtailrun.relay.port import PromptPart

__all__ = ["PlaceRun", "PlaceSize", "Placed", "RunNoted", "RunOutcome", "RunOver"]


class RunOutcome(enum.StrEnum):
    """How an attempt at an engine ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    # The caller left, or the end says nothing about the engine.
    OVER = "over"


@attrs.frozen
class PlaceSize:
    """Bytes of results that the engine needs, in one data centre."""

    data_centre: str
    bytes: int


@attrs.frozen
class PlaceRun:
    """Asks for the engine of an attempt.

    Attributes:
        request_id: Identifier of the request.
        service: Service of the engines.
        parts: Parts of the prompt.
        prompt_tokens: Tokens of the prompt.
        avoid: Engines that were tried.
        results: Where results are that the engine needs.
        begin: Whether the attempt begins now; otherwise only a place is asked for.
        route: Route of the request.
    """

    request_id: str
    service: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    avoid: tuple[str, ...]
    results: tuple[PlaceSize, ...]
    begin: bool
    route: str = ""


@attrs.frozen
class Placed:
    """Answer to ``PlaceRun``.

    Attributes:
        target: Engine; empty if there is none.
        data_centre: Data centre of the engine.
        expected_ms: Expected time from the attempt to its first event.
        margin_ms: How much later than expected most requests of the route come to
            their first event, stages included.
    """

    target: str
    data_centre: str
    expected_ms: int
    margin_ms: int = 0


@attrs.frozen
class RunOver:
    """Tells how an attempt ended, or that its first event came.

    Attributes:
        request_id: Identifier of the request.
        service: Service of the engine.
        target: Engine.
        outcome: How it ended.
        first_event_ms: Time from its choice to its first event, if that came.
        route: Route of the request, if it was planned.
        error_ms: How much later than planned its first event came.
        running: Load that came with the answer.
        waiting: Load that came with the answer.
        slots: Places of the engine; 0 if it told no load.
    """

    request_id: str
    service: str
    target: str
    # pycapnp takes no enum members.
    outcome: str = attrs.field(converter=str)
    first_event_ms: int = 0
    route: str = ""
    error_ms: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0


@attrs.frozen
class RunNoted:
    """Answer to ``RunOver``."""

    known: bool


CODEC = Codec(
    Channel.PLACEMENT, "placement.capnp", [PlaceRun, Placed, RunNoted, RunOver]
)
