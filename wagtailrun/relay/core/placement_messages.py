"""Messages of engine placement."""

import attrs

from wagtailrun.codec import Channel, Codec
from wagtailrun.discovery.messages import AgedLimit
from wagtailrun.relay.core.port import PromptPart

__all__ = [
    "EngineParts",
    "PlaceRun",
    "PlaceSize",
    "Placed",
    "RequestGrant",
    "RunBroken",
    "RunNoted",
    "RunOver",
    "SendGrant",
]


@attrs.frozen
class PlaceSize:
    """Size of the results in one data centre that the engine must fetch."""

    data_centre: str
    bytes: int


@attrs.frozen
class PlaceRun:
    """Requests the engine of an attempt.

    Attributes:
        request_id: Identifier of the request.
        service: Service of the engines.
        parts: Parts of the prompt.
        prompt_tokens: Tokens of the prompt.
        avoid: Engines that were already tried.
        results: Sizes of the results that the engine must fetch, by data centre.
        begin: Whether the attempt starts now; otherwise nothing is recorded.
        route: Route of the request.
        software_version: Version that the engine must have; empty if any will do.
        entry: Name of the entry that has the request; empty from an earlier build.
        left_ms: What is left until its latency objective as the attempt starts; 0 if
            unknown, 1 if nothing.
        may_wait: Whether the attempt can wait until the engine has read a part of the
            prompt; entries of an earlier build cannot.
    """

    request_id: str
    service: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    avoid: tuple[str, ...]
    results: tuple[PlaceSize, ...]
    begin: bool
    route: str = ""
    software_version: str = ""
    entry: str = ""
    left_ms: int = 0
    may_wait: bool = False


@attrs.frozen
class Placed:
    """Reply to ``PlaceRun``.

    Attributes:
        target: Name of the engine; empty if there is none.
        data_centre: Data centre of the engine.
        expected_ms: Expected time from the attempt to its first event.
        margin_ms: Safety margin of the route: how much later than expected most of its
            requests get their first event, stages included.
        held_ms: How long the prompt is held back, because engines crashed under one of
            its parts; 0 if it is not.
        held_parts: Digests of the parts that explain the crashes; empty if another
            prompt with a part that may have crashed an engine is tried first.
        cached_tokens: Leading tokens of the prompt that the engine probably has cached.
        holder: Another engine that has more of them; empty if none is known.
        holder_ms: Expected time from the attempt to its first event there.
        part_wait_ms: After which time the engine has probably read a part of the prompt
            that it reads for another one. The attempt was not recorded, and its engine
            is to be requested again then. 0 if the attempt starts now.
    """

    target: str
    data_centre: str
    expected_ms: int
    margin_ms: int = 0
    held_ms: int = 0
    held_parts: tuple[str, ...] = ()
    cached_tokens: int = 0
    holder: str = ""
    holder_ms: int = 0
    part_wait_ms: int = 0


@attrs.frozen
class RunBroken:
    """Reports that a target closed the connection of an attempt before its end.

    Attributes:
        request_id: Identifier of the request.
        service: Service of the engine.
        target: Name of the engine.
        incarnation: Its incarnation.
        address: Its address.
        parts: Names of the prompt's parts, without the last, which no other has.
        progress: An ``AnswerProgress``.
        since_first_event_ms: Time since the first event, if there was one.
        request: Digest of the request; empty if the target may not have crashed, or if
            a target answered the same request a moment ago.
        refused: Whether the target refused a connection after the break.
    """

    request_id: str
    service: str
    target: str
    incarnation: int
    address: str
    parts: tuple[str, ...]
    # pycapnp does not accept enum members.
    progress: str = attrs.field(converter=str)
    since_first_event_ms: int = 0
    request: str = ""
    refused: bool = False


@attrs.frozen
class EngineParts:
    """Prompt parts that an engine holds.

    Attributes:
        target: Name of the engine.
        incarnation: Its incarnation.
        parts: Digests of the parts, the least recently used first.
    """

    target: str
    incarnation: int
    parts: tuple[int, ...]


@attrs.frozen
class RunOver:
    """Reports how an attempt ended, or that its first event arrived.

    Without a request it states what engines hold or, with a target, that a request has
    had no answer from it for ``first_event_ms``, to entries that choose targets
    themselves.

    Attributes:
        request_id: Identifier of the request.
        service: Service of the engine.
        target: Name of the engine; empty if the entry does not know it, because no
            reply came in time.
        outcome: A ``RunOutcome``.
        first_event_ms: Time from the start of the attempt to its first event; 0 without
            one, or if it says nothing about the engine.
        route: Route of the request; empty if it was not planned, or was repeated.
        error_ms: Measured minus expected time to the first event.
        running: Requests running at the engine, as reported with the answer.
        waiting: Requests queued at the engine, as reported with the answer.
        slots: Slots of the engine; 0 if it reported no load.
        held: Prompt parts that engines of the service hold, by the sender's knowledge.
        part_format: How the parts of ``held`` are named.
    """

    request_id: str
    service: str
    target: str
    # pycapnp does not accept enum members.
    outcome: str = attrs.field(converter=str)
    first_event_ms: int = 0
    route: str = ""
    error_ms: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0
    held: tuple[EngineParts, ...] = ()
    part_format: int = 0


@attrs.frozen
class RunNoted:
    """Reply to ``RunOver`` and ``RunBroken``.

    Attributes:
        known: Whether the receiver had placed this attempt.
        again: Whether the receiver could not use what engines hold yet, and is to be
            told again later.
    """

    known: bool
    again: bool = False


@attrs.frozen
class RequestGrant:
    """Asks whether a request may be sent to a target that names a bound.

    Attributes:
        limit: The bounds as the sender knows them.
        service: Service of the target.
        urgency: Rank of the request, 0 to 9; 0 goes first.
        entry: Identity of the sending process; empty if the request takes no slot of
            the target, or if an earlier build sent it.
        number: Number of the request, or of the report; greater than all earlier ones
            of the process.
        held: Numbers of its other requests in progress at the target.
        asked: Numbers of its other requests that it waits for a grant for.
        slots: Requests that the target can run at once.
        is_report: Whether it only states ``held``, and asks for nothing.
        rejected: Whether the target has turned a request away.
        incarnation: Incarnation of the target that the request is for. ``limit`` may be
            of an earlier one.
        requests: Requests that it counts as: the pieces of a stage call.
    """

    limit: AgedLimit
    service: str
    urgency: int
    entry: str = ""
    number: int = 0
    held: tuple[int, ...] = ()
    asked: tuple[int, ...] = ()
    slots: int = 1
    is_report: bool = False
    rejected: bool = False
    incarnation: int = 0
    requests: int = 1


@attrs.frozen
class SendGrant:
    """Reply to ``RequestGrant``.

    Attributes:
        granted: Whether one request may be sent now.
        wait_ms: When to ask again if not.
    """

    granted: bool
    wait_ms: int


CODEC = Codec(
    Channel.PLACEMENT,
    "placement.capnp",
    [PlaceRun, Placed, RequestGrant, RunBroken, RunNoted, RunOver, SendGrant],
)
