"""Record of one step of one request in the queue of a stage service."""

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.consensus.state import Signal
from wagtailrun.routes import StageCapacity
from wagtailrun.stages.messages import (
    JobState,
    PieceResult,
    PiecesState,
    RunPieces,
)
from wagtailrun.stages.port import StageItem
from wagtailrun.stages.step_times import StepTimes

__all__ = ["ANNOUNCEMENT_INTERVAL_MS", "Job", "job_key"]

# Interval at which an entry confirms the steps that it has announced.
ANNOUNCEMENT_INTERVAL_MS = 500
# An announced step counts as ahead of others for this long after its entry was heard
# of: one confirmation may be lost, and the next one be late.
ANNOUNCEMENT_SILENCE_MS = 3 * ANNOUNCEMENT_INTERVAL_MS

# Each urgency level counts as this much additional time to the latency objective. This
# lets urgent jobs go first in a short queue and limits the delay of the least urgent.
URGENCY_STEP_MS = 400
# Cost of transferring results to another data centre, as queueing delay: the traffic
# prices of the users' installations, weighed against the value of a request.
REMOTE_COST_MS_PER_MB = 400.0
# Queueing delay that is reported for a service without an available target.
NO_TARGET_QUEUE_MS = 60_000
# Documents state the times of calls; multiples of odd ones exceed what messages hold.
MAX_ESTIMATE_MS = 24 * 3_600 * MS_PER_SECOND


@attrs.define(eq=False)
class Job:
    """The pieces of one step of one request.

    Attributes:
        message: The newest request for the pieces.
        requested_ms: When that request arrived.
        objective_at_ms: When the job should be done to meet the latency objective.
        expires_at_ms: When the job expires, because its results would be too late.
        waiting: Pieces that wait for a call.
        ready: Whether the pieces may run; an announced job only holds its queue place.
        number: Sequence number in order of arrival.
        fetched_pieces: Pieces whose calls have fetched their inputs.
        fetched: Whether the inputs of all pieces have been fetched.
        running: Number of pieces in calls.
        results_by_piece: Results so far.
        progressed_ms: When the newest of them arrived.
        failed_attempts: Number of times that a piece was sent and failed.
        state: State that is reported to the requesting entry.
        detail: Why the job was refused.
        ended_ms: When it left the pending state.
        reported: Whether a reply has told of its end, or nobody asks for it.
        queue_ms: Expected queueing delay when it was requested, in milliseconds, or
            None if no target was available.
        moved_to: Name of the entry that took the job over; empty if it is here.
        asked_ms: When its entry last asked for it, or confirmed its announcement.
        doubted_ms: When it was first noticed that this process stood still after
            that; 0 if it did not.
        will_be_late: Whether it is expected to miss its latency objective, behind the
            steps that can meet theirs.
        times: Where its time here goes.
        progress: Notified when the job ends or its inputs have been fetched.
    """

    message: RunPieces
    requested_ms: int
    objective_at_ms: int
    expires_at_ms: int
    waiting: list[int]
    ready: bool = True
    number: int = 0
    fetched_pieces: set[int] = attrs.field(factory=set)
    fetched: bool = False
    running: int = 0
    results_by_piece: dict[int, PieceResult] = attrs.field(factory=dict)
    progressed_ms: int = 0
    failed_attempts: int = 0
    state: JobState = JobState.PENDING
    detail: str = ""
    ended_ms: int = 0
    reported: bool = False
    queue_ms: int | None = None
    moved_to: str = ""
    asked_ms: int = 0
    doubted_ms: int = 0
    will_be_late: bool = False
    times: StepTimes = attrs.field(init=False)
    progress: Signal = attrs.field(factory=Signal)

    def __attrs_post_init__(self) -> None:
        self.times = StepTimes.start(self.requested_ms, self.ready)

    @property
    def key(self) -> tuple[str, int, int]:
        """Request identifier, step and round."""
        return job_key(self.message)

    @property
    def has_begun(self) -> bool:
        """Whether it has results, or pieces in calls, that occupy memory."""
        return bool(self.running or self.results_by_piece)

    @property
    def needed_bytes(self) -> int:
        """Memory that the results of its waiting pieces need."""
        return len(self.waiting) * self.message.result_bytes

    def rank(self, now_ms: int, capacity: StageCapacity) -> tuple[bool, int, int]:
        """Return the sort key of the job; smaller is served first.

        First steps that will not meet their latency objective are served last. In
        order of arrival they would make every request late once the queue is longer
        than the time to the objective. Later steps keep their place, because their
        inputs would expire unused, and so do steps that have begun: their results
        occupy the memory that others wait for.
        """
        late = now_ms + capacity.duration_ms(len(self.waiting)) > self.objective_at_ms
        holds_results = self.message.has_inputs or self.has_begun
        unattainable = (late or self.will_be_late) and not holds_results
        objective_at_ms = self.objective_at_ms + self.message.urgency * URGENCY_STEP_MS
        return (unattainable, objective_at_ms, self.number)

    @property
    def missing_inputs_detail(self) -> str:
        """Why an announced step is dropped: a lost entry, or inputs that are late."""
        heard_ms = self.asked_ms - self.requested_ms
        return (
            "the inputs of the step did not arrive; its entry was last heard of "
            f"{heard_ms} ms after its announcement"
        )

    def is_expected(self, now_ms: int) -> bool:
        """Whether its pieces may run, or its entry is likely to ask for them.

        The entry may be out of touch, or have ended the step at another owner. One of
        an earlier build confirms nothing, so that its silence says nothing.
        """
        confirms = not self.ready and self.message.announcement > 0
        return not confirms or now_ms - self.asked_ms <= ANNOUNCEMENT_SILENCE_MS

    @property
    def has_released_inputs(self) -> bool:
        """Whether the owner has released its inputs, which their targets then drop."""
        return self.fetched and bool(self.message.input_services)

    @property
    def transfer_cost_ms(self) -> float:
        """Delay that costs as much as what is moved if it runs in another place.

        Each piece fetches all inputs of the step.
        """
        more_pieces = max(len(self.waiting) - 1, 0)
        moved = self.message.moved_bytes + more_pieces * self.message.input_bytes
        return moved / 1e6 * REMOTE_COST_MS_PER_MB

    def stage_item(self, piece: int, now_ms: int) -> StageItem:
        """Return the item of a call that runs a piece."""
        message = self.message
        return StageItem(
            request_id=message.request_id,
            step=message.step,
            piece=piece,
            remaining_ms=max(self.expires_at_ms - now_ms, 1),
            key=message.key,
            inputs=message.inputs if message.has_inputs else None,
        )

    def report(self, queue_ms: int | None) -> PiecesState:
        """Return the reply that reports the state of the job.

        Args:
            queue_ms: Expected queueing delay; None if no target is available.
        """
        results = ()
        if self.state is JobState.DONE:
            pieces = sorted(self.message.pieces)
            results = tuple(self.results_by_piece[n] for n in pieces)
        return PiecesState(
            state=self.state,
            results=results,
            queue_ms=min(
                NO_TARGET_QUEUE_MS if queue_ms is None else queue_ms, MAX_ESTIMATE_MS
            ),
            detail=self.detail,
            owner=self.moved_to,
        )

    def message_at(self, now_ms: int) -> RunPieces:
        """Return the message with the times that are left."""
        return attrs.evolve(
            self.message,
            aim_ms=self.objective_at_ms - now_ms,
            remaining_ms=self.expires_at_ms - now_ms,
        )


def job_key(message: RunPieces) -> tuple[str, int, int]:
    """Return the request identifier, step and round of a message."""
    return (message.request_id, message.step, message.round)
