"""Plans stage calls: which target, and the pieces of which steps, come next."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from wagtailrun.clock import Clock
from wagtailrun.logs import events
from wagtailrun.routes import StageCapacity
from wagtailrun.stages.job import Job
from wagtailrun.stages.memory import ResultMemory
from wagtailrun.stages.step_times import Phase
from wagtailrun.stages.target_state import TargetState
from wagtailrun.targets.table import TargetRow

__all__ = [
    "SMALL_SHARE",
    "CallPlan",
    "CallPlanner",
    "result_bytes",
    "usable_bytes",
]

# Fixed cost of running a job outside its preferred data centre, expressed as queueing
# delay: it splits up a batch in the preferred data centre.
REMOTE_COST_MS = 30
# Delay after which a job counts as blocked by full memory in its preferred data centre.
MAX_BLOCKED_MS = 150
# A first step that holds the memory of others for this long without progress gives it
# up. Its request is then refused within a second, and results of a former owner of the
# service, which are not known here, are in use for less as a rule.
MAX_STUCK_MS = 300
# Result sizes are approximate, so part of the memory is kept free.
USABLE_MEMORY_SHARE = 0.96
# Steps whose results take up less than this share of a memory may always begin.
SMALL_SHARE = 0.01


@attrs.frozen
class CallPlan:
    """The next call.

    Attributes:
        row: Target of the call.
        chosen: Pieces of the call with their jobs.
    """

    row: TargetRow
    chosen: list[tuple[Job, int]]


class CallPlanner:
    """Plans the calls of one stage service.

    Args:
        clock: Clock.
        memory: Memory for results at the targets.
        target_states_by_name: States of the targets.
        processing_ms: Returns the expected duration of the calls for a number of
            pieces.
        most_pieces: Returns how many pieces a target may get in one call, beside its
            capacity.
    """

    def __init__(
        self,
        clock: Clock,
        memory: ResultMemory,
        target_states_by_name: dict[str, TargetState],
        processing_ms: Callable[[int], float],
        most_pieces: Callable[[TargetRow], float],
    ):
        self.clock = clock
        self.memory = memory
        self.target_states_by_name = target_states_by_name
        self.processing_ms = processing_ms
        self.most_pieces = most_pieces
        # Time until a target of the data centre is idle, updated before each call.
        self.busy_ms_by_data_centre: dict[str, int] = {}
        # Jobs for which a free target had no memory when a call was last planned.
        self.jobs_without_memory: dict[int, Job] = {}
        # Data centres with targets, and those with a target in a call, when no target
        # was free.
        self.data_centres: set[str] = set()
        self.calling_data_centres: set[str] = set()

    @property
    def pieces_without_memory(self) -> int:
        """Number of pieces that wait only for memory for their results."""
        jobs = self.jobs_without_memory.values()
        return sum(len(job.waiting) for job in jobs)

    def log_full_memory(self, service: str) -> None:
        """Log that pieces wait for memory, and when the known results expire."""
        pieces = self.pieces_without_memory
        if not pieces:
            return
        results = self.memory.results_by_handle.values()
        now_ms = self.clock.now_ms()
        events.log(
            events.STAGE_MEMORY_FULL,
            service=service,
            pieces=pieces,
            results=len(results),
            held_bytes=sum(held.size for held in results),
            next_expiry_ms=min((held.until_ms for held in results), default=now_ms)
            - now_ms,
        )

    def plan(
        self,
        jobs: Sequence[Job],
        rows: Sequence[TargetRow],
        free: list[TargetRow],
        capacity: StageCapacity,
    ) -> CallPlan | None:
        """Return the next call, or None if none can start.

        Args:
            jobs: Jobs with waiting pieces that may run, the first ones first.
            rows: Targets that accept calls.
            free: Those with a free slot, from ``free_targets``; at least one.
            capacity: Capacity of one target.
        """
        now_ms = self.clock.now_ms()
        self.busy_ms_by_data_centre = self._compute_busy_ms(rows, now_ms)
        jobs = self._startable_jobs(jobs, rows, capacity, now_ms)
        # The first job determines the target; the others fill the call.
        for job in jobs:
            phase = Phase.REMOTE
            for row in self._eligible_targets(job, free, now_ms):
                chosen = self._select_pieces(row, jobs, capacity, now_ms)
                if chosen:
                    return CallPlan(row, chosen)
                phase = Phase.MEMORY
            job.times.turn(phase, now_ms)
        return None

    def has_memory_for(
        self, job: Job, rows: Sequence[TargetRow], capacity: StageCapacity
    ) -> bool:
        """Return whether the targets have memory for all results of a job at once.

        The results stay until the last piece is done, so that a job without this can
        never end. Pieces in calls are not counted, as another target may have them.
        """
        usable, size = usable_bytes(capacity), job.message.result_bytes
        if not (usable and size):
            return True
        # A target without results takes a piece of any size.
        places = len(rows) * max(usable // size, 1)
        addresses = {str(row.address) for row in rows}
        held = sum(r.address in addresses for r in job.results_by_piece.values())
        return held + len(job.waiting) <= places

    def find_blocking(
        self, jobs: Sequence[Job], rows: Sequence[TargetRow], capacity: StageCapacity
    ) -> Job | None:
        """Return the last of the jobs that wait for each other's memory, if any.

        Jobs begin only if there is room for all their results, but results that are not
        known here may take it. Then none can end until these are gone, unless one of
        the jobs releases its results. A single first step counts as well if others
        could begin in its place. A later step does not: its request has waited for the
        earlier ones.

        Args:
            jobs: Unfinished jobs, the first ones first.
            rows: Targets that accept calls.
            capacity: Capacity of one target.
        """
        usable = usable_bytes(capacity)
        begun = [
            job
            for job in jobs
            if job.has_begun
            and job.waiting
            and job.message.result_bytes > SMALL_SHARE * usable
        ]
        if not (usable and begun) or any(job.running for job in begun):
            return None
        free = [self.memory.free_bytes(row.address, usable) for row in rows]
        used = sum(self.memory.used_bytes(row.address) for row in rows)
        held = sum(
            len(job.results_by_piece) * job.message.result_bytes for job in begun
        )
        if len(begun) == 1 and not self._is_stuck(begun[0], jobs, held + sum(free)):
            return None
        for job in begun:
            size = job.message.result_bytes
            # Other results are released without this.
            if used - held >= size or sum(r // size for r in free) >= len(job.waiting):
                return None
        return begun[-1]

    def _is_stuck(self, begun: Job, jobs: Sequence[Job], room: int) -> bool:
        """Return whether a job keeps others from ``room`` bytes without progress."""
        stuck_ms = self.clock.now_ms() - begun.progressed_ms
        if begun.message.has_inputs or stuck_ms < MAX_STUCK_MS:
            return False
        return any(
            job.ready and job.waiting and job is not begun and job.needed_bytes <= room
            for job in jobs
        )

    def _startable_jobs(
        self,
        jobs: Sequence[Job],
        rows: Sequence[TargetRow],
        capacity: StageCapacity,
        now_ms: int,
    ) -> list[Job]:
        """Return the jobs that may run: those that have begun, and those that fit.

        The results of a job occupy memory until its last piece is done. A job begins
        only if there is room for all its results beside those that the jobs which have
        begun still need. Otherwise many jobs would have a part of their results each,
        and none the memory for the rest. The first job that does not fit holds the
        later ones back, so that jobs with many pieces begin as well. Beside results
        that are not known here it lets them pass if they fit: it would get room for a
        part of its results and keep that until the unknown ones are gone.
        """
        usable = usable_bytes(capacity)
        if not usable:
            return list(jobs)
        free = [(row, self.memory.free_bytes(row.address, usable)) for row in rows]
        data_centres = {row.data_centre for row in rows}
        reserved = Counter()
        for job in jobs:
            if job.has_begun:
                reserved[job.message.data_centre] += job.needed_bytes
        startable, blocked, passed = [], set(), []
        for job in jobs:
            preferred, needed = job.message.data_centre, job.needed_bytes
            if job.has_begun or needed <= SMALL_SHARE * usable:
                startable.append(job)
                continue
            scope = {preferred}
            if self._may_run_remotely(job, now_ms):
                scope |= data_centres
            size = job.message.result_bytes
            room = sum(
                room // size * size for row, room in free if row.data_centre in scope
            )
            used = sum(reserved[name] for name in scope)
            if (
                not blocked & scope
                and used + needed > room
                and self._is_unknown(row for row in rows if row.data_centre in scope)
            ):
                self.jobs_without_memory[job.number] = job
                job.times.turn(Phase.MEMORY, now_ms)
                passed.append(job)
                continue
            # A job that fits into no memory must begin as well.
            if blocked & scope or used and used + needed > room:
                blocked |= scope
                self.jobs_without_memory[job.number] = job
                job.times.turn(Phase.MEMORY, now_ms)
            else:
                reserved[preferred] += needed
                startable.append(job)
        if passed and not any(reserved.values()):
            # A job that fits into no memory must begin as well.
            startable.append(passed[0])
        return startable

    def _is_unknown(self, rows: Iterable[TargetRow]) -> bool:
        """Return whether results that are not known here occupy memory of targets."""
        return any(row.address in self.memory.unknown_by_address for row in rows)

    def phase_without_target(self, job: Job) -> Phase:
        """Return what a job waits for when ``free_targets`` last found none."""
        preferred = job.message.data_centre
        if preferred in self.data_centres:
            is_calling = preferred in self.calling_data_centres
        else:
            is_calling = bool(self.calling_data_centres)
        return Phase.QUEUED if is_calling else Phase.PAUSED

    def free_targets(
        self, rows: Sequence[TargetRow], capacity: StageCapacity, now_ms: int
    ) -> list[TargetRow]:
        """Return the targets with a free slot; reliable and fast ones come first."""
        self.jobs_without_memory = {}
        slots = max(capacity.slots, 1)
        target_states = self.target_states_by_name
        free = []
        for row in rows:
            target_state = target_states[row.name]
            if target_state.calls < slots and target_state.pause_until_ms <= now_ms:
                free.append(row)
        if not free:
            self.data_centres = {row.data_centre for row in rows}
            self.calling_data_centres = {
                row.data_centre for row in rows if target_states[row.name].calls
            }
        free.sort(
            key=lambda r: (target_states[r.name].faults, target_states[r.name].slowness)
        )
        return free

    def _eligible_targets(
        self, job: Job, free: list[TargetRow], now_ms: int
    ) -> Iterator[TargetRow]:
        """Yield the free targets that may run a job, preferred data centre first."""
        preferred = job.message.data_centre
        yield from (row for row in free if row.data_centre == preferred)
        if self._may_run_remotely(job, now_ms):
            yield from (row for row in free if row.data_centre != preferred)

    def _may_run_remotely(self, job: Job, now_ms: int) -> bool:
        """Return whether a job may run outside its preferred data centre.

        It may do so once the queueing delay there exceeds the cost of transferring its
        results.
        """
        busy_ms = self.busy_ms_by_data_centre.get(job.message.data_centre)
        if busy_ms is None:
            return True
        cost_ms = REMOTE_COST_MS + job.transfer_cost_ms
        # Targets whose memory is full of results may be idle and still accept no call.
        blocked_ms = now_ms - job.requested_ms - MAX_BLOCKED_MS
        if max(busy_ms, blocked_ms) > cost_ms:
            return True
        if job.has_begun and blocked_ms > 0 and self.jobs_without_memory:
            # Its results occupy memory that others need until the last piece is done.
            return True
        # Missing the latency objective costs more than any transfer of results.
        left_ms = job.objective_at_ms - now_ms - self.processing_ms(len(job.waiting))
        return 0 <= left_ms < max(busy_ms, MAX_BLOCKED_MS if blocked_ms > 0 else 0)

    def _may_run_at(self, job: Job, row: TargetRow, now_ms: int) -> bool:
        """Return whether pieces of a job may fill a call to ``row``."""
        is_preferred = row.data_centre == job.message.data_centre
        return (
            is_preferred
            or self._may_join_remote_call(job)
            or self._may_run_remotely(job, now_ms)
        )

    def _may_join_remote_call(self, job: Job) -> bool:
        """Return whether a job may fill a remote call that starts anyway.

        The job splits no batch there, so waiting would only save the transfer of its
        results.
        """
        busy_ms = self.busy_ms_by_data_centre.get(job.message.data_centre)
        return busy_ms is None or busy_ms > job.transfer_cost_ms

    def _compute_busy_ms(
        self, rows: Sequence[TargetRow], now_ms: int
    ) -> dict[str, int]:
        """Return the time until a target is idle, by data centre.

        Returns:
            Milliseconds, negative if a target is idle now. Targets whose last call
            failed are ignored, and data centres without any other target are omitted.
        """
        busy_by_data_centre: dict[str, int] = {}
        for row in rows:
            target_state = self.target_states_by_name[row.name]
            if target_state.is_usable:
                busy_ms = (
                    max(target_state.busy_until_ms, target_state.pause_until_ms)
                    - now_ms
                )
                known_ms = busy_by_data_centre.get(row.data_centre, busy_ms)
                busy_by_data_centre[row.data_centre] = min(known_ms, busy_ms)
        return busy_by_data_centre

    def _select_pieces(
        self,
        row: TargetRow,
        jobs: Sequence[Job],
        capacity: StageCapacity,
        now_ms: int,
    ) -> list[tuple[Job, int]]:
        """Return the pieces of the next call to ``row``, in the order of ``jobs``."""
        room = self.memory.free_bytes(row.address, usable_bytes(capacity))
        is_occupied = self.memory.occupied_bytes(row.address)
        places = min(capacity.batch, self.most_pieces(row))
        chosen: list[tuple[Job, int]] = []
        for job in jobs:
            if not self._may_run_at(job, row, now_ms):
                continue
            for piece in list(job.waiting):
                needed = job.message.result_bytes
                if len(chosen) >= places:
                    return chosen
                if needed > room and (chosen or is_occupied):
                    self.jobs_without_memory[job.number] = job
                    break
                room -= needed
                chosen.append((job, piece))
        return chosen


def usable_bytes(capacity: StageCapacity) -> int:
    """Return how much memory of a target may be used; 0 is unlimited."""
    return int(capacity.memory_bytes * USABLE_MEMORY_SHARE)


def result_bytes(chosen: Sequence[tuple[Job, int]]) -> int:
    """Return the size of the results of a call."""
    return sum(job.message.result_bytes for job, _ in chosen)
