"""Expected queueing delays of the pieces of one stage service."""

from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from wagtailrun.routes import StageCapacity
from wagtailrun.stages.job import Job
from wagtailrun.stages.planner import SMALL_SHARE, usable_bytes
from wagtailrun.stages.pool_state import PoolState

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
        room_bytes: Free memory for results at the targets.
        byte_ms: Time in which one more byte becomes free there; 0 if memory has no
            limit.
        small_bytes: Steps whose results need no more than this never wait for memory.
    """

    now_ms: int
    free_ms: int
    piece_ms: float
    batch: int
    room_bytes: int = 0
    byte_ms: float = 0.0
    small_bytes: float = 0.0

    @classmethod
    def compute(
        cls, pool: PoolState, capacity: StageCapacity
    ) -> "QueueForecast | None":
        """Return the forecast, or None if no target is available.

        Args:
            pool: The queue.
            capacity: Capacity of one target.
        """
        now_ms = pool.clock.now_ms()
        # A target that failed repeatedly counts again once its pause is over; otherwise
        # a service whose targets all failed would never be retried.
        states = [(r, pool.target_states_by_name[r.name]) for r in pool.targets()]
        available = [
            (row, state)
            for row, state in states
            if state.failures < MAX_ATTEMPTS or state.pause_until_ms <= now_ms
        ]
        reached = [(row, state) for row, state in available if not state.lost_paths]
        available = reached or available
        if not available:
            return None
        free_ms = min(
            max(state.busy_until_ms, state.pause_until_ms) - now_ms
            for _, state in available
        )
        speed = sum(1.0 / state.slowness for _, state in available) * max(
            capacity.slots, 1
        )
        full_ms = capacity.duration_ms(capacity.batch)
        piece_ms = full_ms / (capacity.batch * TYPICAL_BATCH_FILL) / speed
        forecast = cls(now_ms, max(free_ms, 0), piece_ms, capacity.batch)
        usable = usable_bytes(capacity)
        if not usable:
            return forecast
        # Memory is occupied from the start of a call until the result is released.
        occupied_ms = full_ms + pool.memory.hold_ms(capacity.result_ms)
        return attrs.evolve(
            forecast,
            room_bytes=sum(
                pool.memory.free_bytes(row.address, usable) for row, _ in available
            ),
            byte_ms=occupied_ms / (len(available) * usable),
            small_bytes=SMALL_SHARE * usable,
        )

    def queue_ms(self, ahead: Iterable[Job], job: Job | None) -> int:
        """Return the expected queueing delay of a job, in milliseconds.

        Args:
            ahead: Jobs that are served before it.
            job: The job; None for pieces of which nothing is known.
        """
        jobs = list(ahead)
        pieces = sum(len(each.waiting) for each in jobs)
        own_bytes = 0 if job is None else job.needed_bytes
        needed_bytes = own_bytes + sum(each.needed_bytes for each in jobs)
        waits_for_memory = job is None or own_bytes > self.small_bytes
        return self.wait_ms(pieces, needed_bytes if waits_for_memory else 0)

    def wait_ms(self, ahead: int, needed_bytes: int) -> int:
        """Return the expected delay behind ``ahead`` pieces, in milliseconds.

        Args:
            ahead: Number of pieces.
            needed_bytes: Memory for the results of these and of the own pieces.
        """
        # Up to a batch, the pieces ahead fit into the next call.
        queued_ms = ahead * self.piece_ms if ahead >= self.batch else 0.0
        memory_ms = max(needed_bytes - self.room_bytes, 0) * self.byte_ms
        return int(max(self.free_ms + queued_ms, memory_ms))

    def late_jobs(
        self, jobs: Sequence[Job], processing_ms: Callable[[int], float]
    ) -> Iterator[Job]:
        """Yield the jobs that have not begun and cannot finish before they expire.

        Args:
            jobs: Unfinished jobs, the first ones first.
            processing_ms: Returns the duration of the calls for a number of pieces.
        """
        ahead = ahead_bytes = 0
        for job in jobs:
            pieces, own_bytes = len(job.waiting), job.needed_bytes
            needed_bytes = ahead_bytes + own_bytes
            if own_bytes <= self.small_bytes:
                needed_bytes = 0
            wait_ms = self.wait_ms(ahead, needed_bytes)
            end_ms = self.now_ms + wait_ms + processing_ms(pieces)
            if (
                job.ready
                and not job.has_begun
                and pieces
                and end_ms > job.expires_at_ms
            ):
                yield job
            else:
                ahead += pieces
                ahead_bytes += own_bytes
