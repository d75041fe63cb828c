"""Expected queueing delays of the pieces of one stage service."""

from collections.abc import Callable, Iterator, Sequence

import attrs

from wagtailrun.routes import StageCapacity
from wagtailrun.stages.job import Job
from wagtailrun.stages.target_state import TargetState

__all__ = ["MAX_ATTEMPTS", "QueueForecast"]

# Limit of failed attempts for each piece, and of consecutive failures of a target.
MAX_ATTEMPTS = 3
# Calls are not quite full on average, because pieces of one step are kept together.
TYPICAL_BATCH_FILL = 0.9


@attrs.frozen
class QueueForecast:
    """Speed at which the targets of a service process its queue.

    Attributes:
        now_ms: Time of the forecast.
        free_ms: Time until the first target is free.
        piece_ms: Time in which the targets process one more piece.
        batch: Pieces of a full call.
    """

    now_ms: int
    free_ms: int
    piece_ms: float
    batch: int

    @classmethod
    def compute(
        cls, target_states: Sequence[TargetState], capacity: StageCapacity, now_ms: int
    ) -> "QueueForecast | None":
        """Return the forecast, or None if no target is available."""
        # A target that failed repeatedly counts again once its pause is over; otherwise
        # a service whose targets all failed would never be retried.
        available = [
            target_state
            for target_state in target_states
            if target_state.failures < MAX_ATTEMPTS
            or target_state.pause_until_ms <= now_ms
        ]
        reached = [
            target_state for target_state in available if not target_state.lost_paths
        ]
        available = reached or available
        if not available:
            return None
        free_ms = min(
            max(target_state.busy_until_ms, target_state.pause_until_ms) - now_ms
            for target_state in available
        )
        speed = sum(1.0 / target_state.slowness for target_state in available) * max(
            capacity.slots, 1
        )
        full_ms = capacity.duration_ms(capacity.batch)
        piece_ms = full_ms / (capacity.batch * TYPICAL_BATCH_FILL) / speed
        return cls(now_ms, max(free_ms, 0), piece_ms, capacity.batch)

    def wait_ms(self, ahead: int) -> int:
        """Return the expected delay behind ``ahead`` pieces, in milliseconds."""
        # Up to a batch, the pieces ahead fit into the next call.
        queued_ms = ahead * self.piece_ms if ahead >= self.batch else 0.0
        return int(self.free_ms + queued_ms)

    def late_jobs(
        self, jobs: Sequence[Job], processing_ms: Callable[[int], float]
    ) -> Iterator[Job]:
        """Yield the jobs that have not begun and cannot finish before they expire.

        Args:
            jobs: Unfinished jobs, the first ones first.
            processing_ms: Returns the duration of the calls for a number of pieces.
        """
        ahead = 0
        for job in jobs:
            pieces = len(job.waiting)
            end_ms = self.now_ms + self.wait_ms(ahead) + processing_ms(pieces)
            if (
                job.ready
                and not job.has_begun
                and pieces
                and end_ms > job.expires_at_ms
            ):
                yield job
            else:
                ahead += pieces
