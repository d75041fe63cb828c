"""Messages between the entry of a request and the entry that forms stage calls."""

import enum

import attrs

from wagtailrun.codec import Channel, Codec

__all__ = [
    "CallMade",
    "CancelPieces",
    "CarryCall",
    "FreeResults",
    "JobState",
    "PieceMade",
    "PieceResult",
    "PiecesDropped",
    "PiecesState",
    "RequestPieces",
    "RunPieces",
]


class JobState(enum.StrEnum):
    """What has become of the pieces of one step."""

    DONE = "done"
    PENDING = "pending"
    FETCHED = "fetched"
    REFUSED = "refused"
    GONE = "gone"


@attrs.frozen
class RunPieces:
    """Asks for the pieces of one step of a request.

    Sent again with the same request and step, it asks what has become of them.

    Attributes:
        request_id: Identifier of the request.
        step: Number of the step in its route.
        service: Stage service.
        data_centre: Data centre in which the results are wanted.
        pieces: Numbers of the pieces.
        key: What the caller named as the source of the first pieces.
        inputs: Handles of all results that the step needs.
        has_inputs: Whether the step takes inputs in place of the key.
        urgency: Rank of the request; 0 goes first.
        aim_ms: Time left until the step should be done for the request to be in time.
        remaining_ms: Time left until the step is of no use.
        result_bytes: Approximate size of one result.
        wait_ms: How long the answer may wait for the work to be done.
        reserve: Whether the pieces are only announced: their inputs are to be made
            by earlier steps, and the answer tells how long they would wait.
        seen_fetched: Whether the asker knows that the inputs were fetched.
        round: How often the stages of the request were begun before; the results of
            an earlier round are gone.
        moved_bytes: Bytes that cross data centres if the step runs in another one.
    """

    request_id: str
    step: int
    service: str
    data_centre: str
    pieces: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    has_inputs: bool
    urgency: int
    aim_ms: int
    remaining_ms: int
    result_bytes: int
    wait_ms: int
    reserve: bool = False
    seen_fetched: bool = False
    round: int = 0
    moved_bytes: int = 0


@attrs.frozen
class PieceResult:
    """Where the result of a piece is.

    Attributes:
        piece: Number of the piece.
        handle: Name of its result.
        address: Target that holds it.
        data_centre: Data centre of the target that holds it.
    """

    piece: int
    handle: str = ""
    address: str = ""
    data_centre: str = ""


@attrs.frozen
class PiecesState:
    """Answer to ``RunPieces``.

    Attributes:
        state: What has become of the pieces.
        results: Their results, if they are done.
        queue_ms: How long new pieces wait here now.
        detail: Why they were refused.
    """

    # pycapnp takes no enum members.
    state: str = attrs.field(converter=str)
    results: tuple[PieceResult, ...] = ()
    queue_ms: int = 0
    detail: str = ""


@attrs.frozen
class CancelPieces:
    """The request is over; its pieces need not be run."""

    request_id: str
    service: str


@attrs.frozen
class FreeResults:
    """Results that nobody needs any more."""

    service: str
    results: tuple[PieceResult, ...]


@attrs.frozen
class PiecesDropped:
    """Answer to ``CancelPieces`` and ``FreeResults``."""

    count: int


@attrs.frozen
class RequestPieces:
    """The pieces of one request in a call.

    Attributes:
        request_id: Identifier of the request.
        step: Number of the step in its route.
        pieces: Numbers of the pieces.
        remaining_ms: Time left until the results are of no use.
        key: Source of the pieces of a first step.
        inputs: Handles of the results that each piece needs.
        has_inputs: Whether the step takes inputs in place of the key.
    """

    request_id: str
    step: int
    pieces: tuple[int, ...]
    remaining_ms: int
    key: str
    inputs: tuple[str, ...]
    has_inputs: bool


@attrs.frozen
class CarryCall:
    """Asks another entry to make a call of a stage.

    Attributes:
        target: Name of the target.
        address: Where the target serves.
        service: Its service.
        data_centre: Its data centre.
        requests: Pieces of the call, in order.
        timeout_ms: How long the call may take.
    """

    target: str
    address: str
    service: str
    data_centre: str
    requests: tuple[RequestPieces, ...]
    timeout_ms: int


@attrs.frozen
class PieceMade:
    """What became of one piece of a call."""

    # pycapnp takes no enum members.
    outcome: str = attrs.field(converter=str)
    handle: str = ""


@attrs.frozen
class CallMade:
    """Answer to ``CarryCall``.

    Attributes:
        failure: Why there is no answer of the target; empty if there is one.
        verdict: Whether the pieces of a failed call may have been run.
        connected: Whether a connection to the target was open.
        pieces: What became of each piece, in order.
    """

    failure: str = ""
    verdict: str = attrs.field(default="", converter=str)
    connected: bool = True
    pieces: tuple[PieceMade, ...] = ()


CODEC = Codec(
    Channel.STAGES,
    "stages.capnp",
    [
        CallMade,
        CancelPieces,
        CarryCall,
        FreeResults,
        PiecesDropped,
        PiecesState,
        RunPieces,
    ],
)
