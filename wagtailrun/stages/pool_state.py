"""Jobs and results of one stage service, and the states of its targets."""

import itertools
from collections import defaultdict, deque
from collections.abc import Callable, Collection, Sequence

from wagtailrun.clock import Clock
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.routes import StageCapacity
from wagtailrun.stages.job import Job, job_key
from wagtailrun.stages.lost_entries import LostEntries
from wagtailrun.stages.lost_results import LostResults, step_bytes
from wagtailrun.stages.memory import ResultMemory
from wagtailrun.stages.messages import JobState, PieceResult, RunPieces
from wagtailrun.stages.planner import usable_bytes
from wagtailrun.stages.port import PieceOutcome, StageReply
from wagtailrun.stages.step_log import StepLog
from wagtailrun.stages.target_state import TargetState
from wagtailrun.targets.table import TargetRow

__all__ = ["ARRIVAL_WINDOW_MS", "LOST_ENTRY_DETAIL", "PoolState"]

# An entry that still wants a job polls for it within this time after the last reply.
NEXT_POLL_MS = 300
# An entry that was not asked for pieces for this long may have become the owner anew.
# For as long, the one before it may still make calls.
CONTESTED_MS = 1_000
# Time by which the arrival of steps is measured. They come in clumps of about a second.
ARRIVAL_WINDOW_MS = 2_000

LOST_ENTRY_DETAIL = "the data centre of its entry is silent and away"


class PoolState:
    """What an entry that owns a stage service knows of it.

    Args:
        clock: Clock.
        service: Name of the service.
        targets: Returns the targets that accept calls.
        first_start_ms: Returns when the first of the running entries started, on the
            clock; None if that is unknown.
    """

    def __init__(
        self,
        clock: Clock,
        service: str,
        targets: Callable[[], list[TargetRow]],
        first_start_ms: Callable[[], int | None] = lambda: None,
    ):
        self.clock = clock
        self.service = service
        self._targets = targets
        self.jobs_by_key: dict[tuple[str, int, int], Job] = {}
        # The unfinished jobs. There are several times as many finished ones, so the
        # frequent scans use this table.
        self.open_by_key: dict[tuple[str, int, int], Job] = {}
        # Finished jobs that are still kept, oldest first.
        self.ended_jobs: deque[Job] = deque()
        self.target_states_by_name: dict[str, TargetState] = defaultdict(TargetState)
        self.memory = ResultMemory()
        self.lost_results = LostResults(first_start_ms)
        # Jobs that could run when they arrived, in the last seconds, oldest first.
        self.arrived_jobs: deque[Job] = deque()
        self.step_log = StepLog(service)
        self.pending_releases_by_address: dict[Address, list[str]] = defaultdict(list)
        # Results whose release is scheduled or sent.
        self.releasing: set[str] = set()
        self.job_numbers = itertools.count()
        # When an entry last requested pieces, and until when another entry that owned
        # the service, or owns it again, may call its targets.
        self.used_ms = -CONTESTED_MS
        self.contested_until_ms = 0

    def targets(self) -> list[TargetRow]:
        """Return the targets that accept calls."""
        rows = self._targets()
        for row in rows:
            self.target_states_by_name[row.name].note_incarnation(row.incarnation)
        return rows

    @property
    def is_unused(self) -> bool:
        """Whether no entry needs a result of the pool any more."""
        return not (self.jobs_by_key or self.pending_releases_by_address)

    def record_use(self) -> None:
        """Record a request for pieces that may run."""
        now_ms = self.clock.now_ms()
        if now_ms - self.used_ms > CONTESTED_MS:
            self.contested_until_ms = now_ms + CONTESTED_MS
        self.used_ms = now_ms

    def record_room(
        self,
        address: Address,
        chosen: Sequence[tuple[Job, int]],
        replies: Sequence[StageReply],
        capacity: StageCapacity,
    ) -> None:
        """Record whether a target had room for all results of a call."""
        outcomes = {reply.outcome for reply in replies}
        if outcomes & {PieceOutcome.DONE, PieceOutcome.NO_MEMORY}:
            size = max(job.message.result_bytes for job, _ in chosen)
            self.lost_results.record_call(
                address,
                self.memory.known_bytes(address),
                step_bytes(capacity, usable_bytes(capacity), size),
                PieceOutcome.NO_MEMORY in outcomes,
            )

    def confirm(self, message: RunPieces) -> None:
        """Record that the inputs of an announced step are still to come.

        A step that is not known gets no place: it could be refused before its inputs
        are there, and would stay so.
        """
        job = self.jobs_by_key.get(job_key(message))
        if job is not None and not job.ready:
            job.asked_ms = self.clock.now_ms()

    def recent_jobs(self) -> Collection[Job]:
        """Return the jobs that arrived in the last ``ARRIVAL_WINDOW_MS``."""
        since_ms = self.clock.now_ms() - ARRIVAL_WINDOW_MS
        while self.arrived_jobs and self.arrived_jobs[0].requested_ms < since_ms:
            self.arrived_jobs.popleft()
        return self.arrived_jobs

    def open_jobs(self) -> list[Job]:
        """Return the unfinished jobs."""
        return list(self.open_by_key.values())

    def has_unreported_job(self) -> bool:
        """Return whether the next poll of an entry asks for a job that has ended."""
        first_ms = self.clock.now_ms() - NEXT_POLL_MS
        recent = itertools.takewhile(
            lambda job: job.ended_ms > first_ms, reversed(self.ended_jobs)
        )
        return any(job.ready and not job.reported for job in recent)

    def release_unused(self, lost_entries: LostEntries) -> None:
        """Schedule the release of results whose entry is lost, and forget their jobs.

        The reply that named them may have been lost with the entry. It asks for a new
        job if it asks again.
        """
        for job in list(self.ended_jobs):
            if job.state is JobState.DONE and lost_entries.is_lost(job):
                self.ended_jobs.remove(job)
                if self.jobs_by_key.get(job.key) is job:
                    del self.jobs_by_key[job.key]
                now_ms = self.clock.now_ms()
                self.step_log.record_ended(job, "untaken", LOST_ENTRY_DETAIL, now_ms)
                self._release_left(job, lost_entries)

    def _release_left(self, job: Job, lost_entries: LostEntries) -> None:
        """Schedule the release of a job's results that are left within reach."""
        results = [
            result
            for result in job.results_by_piece.values()
            if result.handle in self.memory.results_by_handle
            and result.handle not in self.releasing
            and not lost_entries.is_away(result.data_centre)
        ]
        if results:
            self.release(results)
            events.log(
                events.UNUSED_RESULTS_RELEASED,
                request_id=job.message.request_id,
                step=job.message.step,
                service=self.service,
                data_centre=job.message.entry_data_centre,
                results=len(results),
                after_ms=self.clock.now_ms() - job.ended_ms,
            )

    def release(self, results: Sequence[PieceResult]) -> None:
        """Schedule the release of results.

        They count as memory in use until their targets confirm the release. The results
        may come from calls of another entry that owned the service before.
        """
        for result in results:
            address = Address.parse(result.address)
            self.pending_releases_by_address[address].append(result.handle)
            self.releasing.add(result.handle)
