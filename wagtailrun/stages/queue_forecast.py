"""Expected queueing delays of the pieces of one stage service."""

import math
from collections.abc import Callable, Collection, Iterable, Sequence

import attrs

from wagtailrun.routes import StageCapacity
from wagtailrun.stages.job import Job
from wagtailrun.stages.lost_results import step_bytes
from wagtailrun.stages.planner import SMALL_SHARE, usable_bytes
from wagtailrun.stages.pool_state import ARRIVAL_WINDOW_MS, PoolState

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
        lost_ms: Time until lost results have expired; 0 if there are none.
        shown_bytes: Free memory that calls have shown beside them.
        shown_byte_ms: Time in which one more byte of it becomes free.
    """

    now_ms: int
    free_ms: int
    piece_ms: float
    batch: int
    room_bytes: int = 0
    byte_ms: float = 0.0
    small_bytes: float = 0.0
    lost_ms: int = 0
    shown_bytes: int = 0
    shown_byte_ms: float = math.inf

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
        forecast = attrs.evolve(
            forecast,
            room_bytes=sum(
                pool.memory.free_bytes(row.address, usable) for row, _ in available
            ),
            byte_ms=occupied_ms / (len(available) * usable),
            small_bytes=SMALL_SHARE * usable,
        )
        lost_ms = pool.lost_results.left_ms(now_ms, capacity.result_ms)
        if not lost_ms:
            return forecast
        sizes = (job.message.result_bytes for job in pool.open_by_key.values())
        step = step_bytes(capacity, usable, max(sizes, default=0))
        shown, left = 0, 0
        for row, _ in available:
            most = min(pool.lost_results.shown_bytes(row.address, step), usable)
            shown += most
            left += max(most - pool.memory.known_bytes(row.address), 0)
        # Before the first release nothing tells for how long results are held.
        is_known = bool(shown and pool.memory.released_bytes)
        return attrs.evolve(
            forecast,
            lost_ms=lost_ms,
            shown_bytes=left,
            shown_byte_ms=occupied_ms / shown if is_known else math.inf,
        )

    def queue_ms(self, ahead: Iterable[Job], job: Job | None) -> int:
        """Return the expected queueing delay of a job, in milliseconds.

        Args:
            ahead: Jobs that are served before it.
            job: The job; None for pieces of which nothing is known.
        """
        queued = _Queued()
        for each in ahead:
            queued.add(each)
        return int(self._wait_ms(queued, job))

    def _wait_ms(self, queued: "_Queued", job: Job | None) -> float:
        # Up to a batch, the pieces ahead fit into the next call.
        ahead = queued.pieces
        turn_ms = ahead * self.piece_ms if ahead >= self.batch else 0.0
        wait_ms = self.free_ms + turn_ms
        own_bytes = 0 if job is None else job.needed_bytes
        if job is None or own_bytes > self.small_bytes:
            needed_bytes = queued.needed_bytes + own_bytes
            lacking_bytes = max(needed_bytes - self.room_bytes, 0)
            wait_ms = max(wait_ms, lacking_bytes * self.byte_ms)
            lacking_bytes = needed_bytes - self.shown_bytes
            if self.lost_ms and lacking_bytes > 0:
                beside_ms = max(wait_ms, lacking_bytes * self.shown_byte_ms)
                return min(beside_ms, self.lost_ms + wait_ms)
        return wait_ms

    def sort_out(
        self,
        jobs: Sequence[Job],
        arrived: Collection[Job],
        processing_ms: Callable[[int], float],
        capacity: StageCapacity,
    ) -> list[Job]:
        """Tell which jobs will be late, and return those that will expire.

        Only jobs that have not begun are returned. First steps that will miss their
        latency objective go behind the others, also those that arrive meanwhile: they
        get the share of the targets' time that these leave. In a queue that is never
        empty they would otherwise be held until they expire.

        Args:
            jobs: Unfinished jobs.
            arrived: Jobs that arrived in the last ``ARRIVAL_WINDOW_MS``.
            processing_ms: Returns the duration of the calls for a number of pieces.
            capacity: Capacity of one target.
        """
        queued, late, expiring = _Queued(), [], []
        for job in sorted(jobs, key=lambda job: job.rank(self.now_ms, capacity)):
            own_ms = processing_ms(len(job.waiting))
            end_ms = self.now_ms + self._wait_ms(queued, job) + own_ms
            may_move = job.ready and job.waiting and not job.has_begun
            is_first = not job.message.has_inputs
            job.will_be_late = bool(
                may_move and is_first and end_ms > job.objective_at_ms
            )
            if job.will_be_late:
                late.append(job)
            elif may_move and end_ms > job.expires_at_ms:
                expiring.append(job)
            else:
                queued.add(job)
        spare_share = 1.0 - self._busy_share(arrived)
        for job in late:
            own_ms = processing_ms(len(job.waiting))
            left_ms = job.expires_at_ms - self.now_ms - own_ms
            if self._wait_ms(queued, job) > left_ms * spare_share:
                expiring.append(job)
            else:
                queued.add(job)
        return expiring

    def _busy_share(self, arrived: Collection[Job]) -> float:
        """Return the share of the targets' time that the steps which arrive need."""
        # Late ones that still wait count as queued.
        others = [
            job.message for job in arrived if not (job.will_be_late and job.waiting)
        ]
        pieces = sum(len(message.pieces) for message in others)
        size = sum(len(message.pieces) * message.result_bytes for message in others)
        busy_ms = max(pieces * self.piece_ms, size * self.byte_ms)
        return min(busy_ms / ARRIVAL_WINDOW_MS, 1.0)


@attrs.define
class _Queued:
    """Pieces that are served before others, and memory for their results."""

    pieces: int = 0
    needed_bytes: int = 0

    def add(self, job: Job) -> None:
        """Add the waiting pieces of a job."""
        self.pieces += len(job.waiting)
        self.needed_bytes += job.needed_bytes
