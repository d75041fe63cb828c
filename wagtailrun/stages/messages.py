"""Messages between the entry of a request and the entry that forms stage calls.

The class and field names are wire names. An entry that owns a stage service batches
the pieces of all requests into calls; the entry of a request polls it for results.
"""

import enum

import attrs

from wagtailrun.codec import Channel, Codec

__all__ = [
    "CallMade",
    "CancelPieces",
    "CarryCall",
    "FreeResults",
    "HeldResult",
    "JobState",
    "MovedJob",
    "PieceMade",
    "PieceResult",
    "PiecesDropped",
    "PiecesState",
    "RequestPieces",
    "RunPieces",
    "TakeOver",
    "TakenOver",
    "TargetUse",
]


class JobState(enum.StrEnum):
    """State of the pieces of one step."""

    DONE = "done"
    PENDING = "pending"
    FETCHED = "fetched"
    REFUSED = "refused"
    GONE = "gone"


@attrs.frozen
class RunPieces:
    """Requests the pieces of one step of a request.

    Sent again with the same request, step and round, it polls for their state.

    Attributes:
        request_id: Identifier of the request.
        step: Number of the step in its route.
        service: Stage service.
        data_centre: Preferred data centre of the results.
        pieces: Numbers of the pieces.
        key: Source of the pieces of a first step, as named by the caller.
        inputs: Handles of all results that the step needs.
        has_inputs: Whether the step takes inputs instead of the key.
        urgency: Urgency level of the request; 0 is the most urgent.
        aim_ms: Time until the step should be done for the request to meet its latency
            objective, in milliseconds.
        remaining_ms: Time until the results would be too late, in milliseconds.
        result_bytes: Approximate size of one result.
        wait_ms: How long the reply may be held until the pieces are done.
        reserve: Whether the pieces are only announced: earlier steps have yet to
            produce their inputs, and the reply states the expected queueing delay.
        seen_fetched: Whether the sender knows that the inputs were fetched.
        round: How often the stages of the request were started before; the results of
            an earlier round are lost.
        moved_bytes: Bytes that cross data centres if the step runs in another one.
        input_services: Service of each input, if the receiver is to release the inputs
            once they are fetched; empty if the sender does.
        input_addresses: Target that holds each of these inputs. The owner of their
            service may be another entry by now, which did not make them.
        input_owners: Entry that formed the calls that made each of these inputs; empty
            from an earlier build.
        announcement: Number of this announcement of the pieces, from 1. Later ones
            confirm the first. It is 0 from an earlier build, which confirms none, and
            where the pieces are to run.
        entry_data_centre: Data centre of the entry of the request; empty from an
            earlier build.
        input_bytes: Bytes of all inputs of the step, each of whose pieces fetches them;
            0 from an earlier build.
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
    input_services: tuple[str, ...] = ()
    input_addresses: tuple[str, ...] = ()
    input_owners: tuple[str, ...] = ()
    announcement: int = 0
    entry_data_centre: str = ""
    input_bytes: int = 0


@attrs.frozen
class PieceResult:
    """Location of the result of a piece.

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
    """Reply to ``RunPieces``.

    Attributes:
        state: State of the pieces, a value of ``JobState``.
        results: Their results, if they are done.
        queue_ms: Expected queueing delay of new pieces, in milliseconds.
        detail: Why they were refused.
        owner: Name of the entry that took the pieces over from this one and is to be
            polled from now on; empty if there is none.
    """

    # A plain string, because pycapnp accepts no enum members.
    state: str = attrs.field(converter=str)
    results: tuple[PieceResult, ...] = ()
    queue_ms: int = 0
    detail: str = ""
    owner: str = ""


@attrs.frozen
class CancelPieces:
    """Cancels the pieces of a request, or of a round of it, that has ended.

    Attributes:
        request_id: Identifier of the request.
        service: Service of the pieces.
        rounds: Number of rounds that have ended; 0 for all. The message may arrive
            after the first ones of the next round.
    """

    request_id: str
    service: str
    rounds: int = 0


@attrs.frozen
class FreeResults:
    """Releases results that are no longer needed.

    Attributes:
        service: Stage service.
        results: Its results.
        owner: Name of the entry that formed their calls, which counts them as memory in
            use; empty if it is not known.
    """

    service: str
    results: tuple[PieceResult, ...]
    owner: str = ""


@attrs.frozen
class PiecesDropped:
    """Reply to ``CancelPieces`` and ``FreeResults``: number of pieces or results."""

    count: int


@attrs.frozen
class RequestPieces:
    """The pieces of one request in a call.

    Attributes:
        request_id: Identifier of the request.
        step: Number of the step in its route.
        pieces: Numbers of the pieces.
        remaining_ms: Time until the results would be too late, in milliseconds.
        key: Source of the pieces of a first step.
        inputs: Handles of the results that each piece needs.
        has_inputs: Whether the step takes inputs instead of the key.
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
    """Asks another entry to send a stage call to a target.

    Attributes:
        target: Name of the target.
        address: Address of the target.
        service: Its service.
        data_centre: Its data centre.
        requests: Pieces of the call, in order.
        timeout_ms: Time limit of the call, in milliseconds.
    """

    target: str
    address: str
    service: str
    data_centre: str
    requests: tuple[RequestPieces, ...]
    timeout_ms: int


@attrs.frozen
class PieceMade:
    """Outcome of one piece of a call; ``handle`` names the result if it is done."""

    # A plain string, because pycapnp accepts no enum members.
    outcome: str = attrs.field(converter=str)
    handle: str = ""


@attrs.frozen
class CallMade:
    """Reply to ``CarryCall``.

    Attributes:
        failure: Why the target did not reply; empty if it did.
        verdict: Whether the pieces of a failed call may have been run.
        connected: Whether a connection to the target was open.
        retry_after_ms: Pause that the target asked for; 0 if it asked for none.
        pieces: Outcome of each piece, in order.
        confirmed: Whether a failed connection is the fault of the target and not of
            the path to it.
    """

    failure: str = ""
    verdict: str = attrs.field(default="", converter=str)
    connected: bool = True
    retry_after_ms: int = 0
    pieces: tuple[PieceMade, ...] = ()
    confirmed: bool = True


@attrs.frozen
class MovedJob:
    """A step of a request that moves to another owner.

    Attributes:
        request: The newest request for the pieces; its times count from now.
        waiting: Pieces that wait for a call.
        results: Results so far.
        fetched_pieces: Pieces whose calls have fetched their inputs.
        fetched: Whether the inputs of all pieces have been fetched.
        failed_attempts: Number of times that a piece was sent and failed.
    """

    request: RunPieces
    waiting: tuple[int, ...]
    results: tuple[PieceResult, ...] = ()
    fetched_pieces: tuple[int, ...] = ()
    fetched: bool = False
    failed_attempts: int = 0


@attrs.frozen
class HeldResult:
    """A result that occupies memory at a target.

    Attributes:
        address: Target that holds it.
        handle: Its name.
        size: Its approximate size in bytes.
        left_ms: Time until the target drops it, in milliseconds.
    """

    address: str
    handle: str
    size: int
    left_ms: int


@attrs.frozen
class TargetUse:
    """What an owner knows of a target.

    Attributes:
        name: Name of the target.
        address: Its address.
        busy_ms: Expected time until its calls in progress end, in milliseconds.
        pause_ms: Time for which it gets no call, in milliseconds.
        slowness: Duration of its calls as a multiple of the configured duration.
        running_bytes: Size of the results of its calls in progress.
    """

    name: str
    address: str
    busy_ms: int
    pause_ms: int
    slowness: float
    running_bytes: int


@attrs.frozen
class TakeOver:
    """Moves pieces of a service from an owner that stops to the next one.

    Attributes:
        service: Stage service.
        jobs: Steps whose pieces the receiver runs from now on.
        results: Results that are held by targets and that it is not known to know.
        targets: State of the targets.
    """

    service: str
    jobs: tuple[MovedJob, ...]
    results: tuple[HeldResult, ...]
    targets: tuple[TargetUse, ...]


@attrs.frozen
class TakenOver:
    """Reply to ``TakeOver``: number of steps."""

    count: int


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
        TakeOver,
        TakenOver,
    ],
)
