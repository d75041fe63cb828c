"""Queue of one stage service, and the calls to its targets."""

import math
from collections import defaultdict
from collections.abc import Collection, Iterator

import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.routes import StageCapacity
from wagtailrun.stages.call_slot import CallLimits, CallSlot
from wagtailrun.stages.fetched_inputs import FetchedInputs
from wagtailrun.stages.job import Job, job_key
from wagtailrun.stages.messages import (
    CancelPieces,
    JobState,
    PieceResult,
    RunPieces,
)
from wagtailrun.stages.planner import CallPlanner, result_bytes, usable_bytes
from wagtailrun.stages.pool_manager import PoolManager
from wagtailrun.stages.pool_state import LOST_ENTRY_DETAIL, NEXT_POLL_MS, PoolState
from wagtailrun.stages.port import PieceOutcome, StageReply
from wagtailrun.stages.queue_forecast import MAX_ATTEMPTS, QueueForecast
from wagtailrun.stages.step_times import Phase
from wagtailrun.stages.target_state import REFUSAL_PAUSE_MS, TargetState
from wagtailrun.targets.table import TargetRow

__all__ = ["Pool"]

# How long a target that has no memory for a result is sent none of that size, unless
# results are released there.
FULL_MEMORY_MS = 400
# Releases of results are collected for this long and sent in one message per target.
RELEASE_INTERVAL_MS = 10
RELEASE_TIMEOUT_MS = 500
# Finished jobs are kept this long to answer repeated polls.
FINISHED_JOB_RETENTION_MS = 3_000
# An announced step is dropped if its entry is not heard of in this time: it has stopped
# or has abandoned the request.
ANNOUNCED_JOB_TIMEOUT_MS = 6_000
# A job that was asked for before this process stood still is dropped unless its entry
# asks again in this time.
CONFIRM_MS = NEXT_POLL_MS
# Interval at which pending jobs are checked against their deadlines.
REVIEW_INTERVAL_MS = 50
# Interval at which they are checked against the expected delay of their places.
FORECAST_INTERVAL_MS = 200
BLOCKING_DETAIL = "steps that have begun wait for the memory of its results"
NO_MEMORY_DETAIL = "all targets together have no memory for the results of the step"


class Pool(PoolState):
    """Queue of one stage service, which starts the calls to its targets.

    Args:
        manager: Holds the shared components; notified of ended jobs and calls.
        service: Name of the service.
    """

    def __init__(self, manager: PoolManager, service: str):
        super().__init__(
            manager.clock,
            service,
            lambda: manager.targets(service),
            manager.first_start_ms,
        )
        self.manager = manager
        self.inputs = FetchedInputs(
            self.clock, manager.release_elsewhere, self.is_doubtful, manager.capacity
        )
        self.planner = CallPlanner(
            self.clock,
            self.memory,
            self.target_states_by_name,
            self.processing_ms,
            manager.most_pieces,
        )
        self.next_forecast_ms = 0
        self.wake = curio.Event()
        self.releases_pending = curio.Event()
        self.tasks: list[curio.Task] = []

    def drop_gone(self, names: Collection[str]) -> None:
        """Drop the states of targets that are not among ``names``, and ended jobs.

        A pause is kept until it ends, as a target that is cut off for long comes back.
        """
        now_ms = self.clock.now_ms()
        for name, target_state in list(self.target_states_by_name.items()):
            if name in names or target_state.calls:
                continue
            if target_state.pause_until_ms > now_ms:
                self.target_states_by_name[name] = target_state.pause_only()
            else:
                del self.target_states_by_name[name]
        if not self.open_by_key:
            # Otherwise the reviews of the open jobs do this.
            self._review()

    # Queue state

    @property
    def is_contested(self) -> bool:
        """Whether another owner may call the targets as well.

        A call may then wait for its turn at a target, which fetches its inputs later.
        """
        if self.clock.now_ms() < self.contested_until_ms:
            return True
        return not self.manager.is_owner(self.service)

    @property
    def capacity(self) -> StageCapacity:
        """Configured capacity of one target."""
        return self.manager.capacity(self.service)

    def queue_ms(self, before: Job | None = None) -> int | None:
        """Return the expected queueing delay of pieces.

        Args:
            before: Job whose delay is computed; only jobs ahead of it count. By
                default, all unfinished jobs count.

        Returns:
            Milliseconds, or None if no target is available.
        """
        now_ms = self.clock.now_ms()
        forecast = self._forecast()
        if forecast is None:
            return None
        return forecast.queue_ms(self._jobs_ahead(before, now_ms), before)

    def _forecast(self) -> QueueForecast | None:
        return QueueForecast.compute(self, self.capacity)

    def _jobs_ahead(self, before: Job | None, now_ms: int) -> Iterator[Job]:
        """Yield the jobs ahead of ``before``, with announced ones that are expected."""
        expected = (j for j in self.open_by_key.values() if j.is_expected(now_ms))
        if before is None:
            yield from expected
            return
        capacity = self.capacity
        rank = before.rank(now_ms, capacity)
        for job in expected:
            if job is not before and job.rank(now_ms, capacity) < rank:
                yield job

    def processing_ms(self, pieces: int) -> float:
        """Return the expected duration of the calls for a number of pieces."""
        capacity = self.capacity
        slowness = [
            self.target_states_by_name[row.name].slowness for row in self.targets()
        ]
        calls = math.ceil(pieces / capacity.batch)
        each_ms = capacity.duration_ms(min(pieces, capacity.batch))
        return calls * each_ms * min(slowness, default=1.0)

    # Jobs

    def add(self, message: RunPieces) -> tuple[Job, bool]:
        """Return the job for ``message``, and whether it is new or became ready.

        A new or ready job is refused if it cannot finish before it expires, or never.
        """
        now_ms = self.clock.now_ms()
        job = self.jobs_by_key.get(job_key(message))
        if job is None:
            job = Job(
                message=message,
                requested_ms=now_ms,
                objective_at_ms=now_ms + message.aim_ms,
                expires_at_ms=now_ms + message.remaining_ms,
                waiting=list(message.pieces),
                ready=not message.reserve,
                number=next(self.job_numbers),
                asked_ms=now_ms,
            )
            self.jobs_by_key[job.key] = self.open_by_key[job.key] = job
            self.manager.budget.earn(self.service)
        elif job.moved_to:
            return job, False
        elif not job.ready and not message.reserve:
            job.message = message
            job.requested_ms = now_ms
            job.objective_at_ms = now_ms + message.aim_ms
            job.expires_at_ms = now_ms + message.remaining_ms
            job.ready = True
            job.times.turn(Phase.QUEUED, now_ms)
        else:
            return job, False
        job.queue_ms = queue_ms = self.queue_ms(job)
        if queue_ms is None:
            self._finish(job, JobState.REFUSED, "no target of the service is available")
        elif not self.planner.has_memory_for(job, self.targets(), self.capacity):
            self._finish(job, JobState.REFUSED, NO_MEMORY_DETAIL)
        elif queue_ms + self.processing_ms(len(job.waiting)) > message.remaining_ms:
            detail = (
                f"the queueing delay of {queue_ms} ms leaves too little of the "
                f"remaining {message.remaining_ms} ms"
            )
            self._finish(job, JobState.REFUSED, detail)
        elif job.ready:
            self.arrived_jobs.append(job)
        return job, True

    def is_doubtful(self, job: Job) -> bool:
        """Whether this process stood still since the entry of a job asked for it.

        That entry may have turned to another owner meanwhile, which calls the targets
        for the same pieces.
        """
        return self.manager.was_held_since(job.asked_ms)

    async def record_asked(self, job: Job, message: RunPieces) -> None:
        """Record that the entry of a job asks for it, and go on with one in doubt."""
        was_doubtful = self.is_doubtful(job)
        job.asked_ms = self.clock.now_ms()
        if was_doubtful and job.ready and not self.is_doubtful(job):
            job.doubted_ms = 0
            job.objective_at_ms = job.asked_ms + message.aim_ms
            job.expires_at_ms = job.asked_ms + message.remaining_ms
            await self.inputs.confirm(job)
            await self.wake.set()

    async def _review_doubtful(self) -> None:
        """Let entries ask again for their jobs; drop those that none asks for."""
        now_ms = self.clock.now_ms()
        for job in self.open_jobs():
            if not job.ready or not self.is_doubtful(job):
                continue
            if not job.doubted_ms:
                job.doubted_ms = now_ms
                await job.progress.notify()
            elif now_ms - job.doubted_ms > CONFIRM_MS:
                job.reported = True
                # It is a new one if its entry asks for it after all.
                del self.jobs_by_key[job.key]
                detail = "nobody asked for it after this process stood still"
                self._finish(job, JobState.REFUSED, detail)

    def cancel(self, message: CancelPieces) -> int:
        """Drop the waiting pieces of a request and return their number."""
        dropped = 0
        for job in self.open_jobs():
            has_ended = not message.rounds or job.message.round < message.rounds
            if job.message.request_id == message.request_id and has_ended:
                dropped += len(job.waiting)
                job.reported = True
                self._finish(job, JobState.REFUSED, "the request was cancelled")
        return dropped

    def _finish(self, job: Job, state: JobState, detail: str = "") -> None:
        job.state = state
        job.detail = detail
        self.open_by_key.pop(job.key, None)
        job.waiting.clear()
        job.ended_ms = self.clock.now_ms()
        self.ended_jobs.append(job)
        if state is JobState.DONE:
            job.times.turn(Phase.TRANSFER, job.ended_ms)
        else:
            self._release_results(job)
            self.step_log.record_abandoned(job, self.queue_ms())
        self.manager.record_finished(job)

    def record_taken(self, job: Job) -> None:
        """Record that the requesting entry takes the results of a job."""
        self.step_log.record_ended(job, "done", "", self.clock.now_ms())

    def _release_results(self, job: Job) -> None:
        self.release(list(job.results_by_piece.values()))

    # Calls

    async def run(self) -> None:
        """Start calls whenever a target is free and pieces are waiting."""
        while True:
            if self.open_by_key:
                await curio.ignore_after(
                    REVIEW_INTERVAL_MS / MS_PER_SECOND, self.wake.wait
                )
            else:
                await self.wake.wait()
            self.wake.clear()
            await self._review_doubtful()
            self._review()
            await self.manager.notify_finished()
            succession = self.manager.succession
            if succession is None or not await succession.move(self):
                while await self._start_call():
                    pass

    def _review(self) -> None:
        """Refuse jobs that cannot finish in time; drop old finished jobs."""
        now_ms = self.clock.now_ms()
        shortest_ms = self.capacity.duration_ms(1)
        ended = self.ended_jobs
        while ended and now_ms - ended[0].ended_ms > FINISHED_JOB_RETENTION_MS:
            job = ended.popleft()
            if job.state is JobState.DONE:
                self.step_log.record_ended(job, "untaken", "", now_ms)
            # A job that moved may have come back as another one.
            if self.jobs_by_key.get(job.key) is job:
                del self.jobs_by_key[job.key]
        self.release_unused(self.manager.lost_entries)
        for job in self.open_jobs():
            if job.doubted_ms:
                continue
            overdue = now_ms + shortest_ms > job.expires_at_ms
            unheard_ms = now_ms - job.asked_ms
            if self.manager.lost_entries.is_lost(job):
                # It is a new one if its entry asks for it after all.
                del self.jobs_by_key[job.key]
                job.reported = True
                self._finish(job, JobState.REFUSED, LOST_ENTRY_DETAIL)
            elif not job.ready and (overdue or unheard_ms > ANNOUNCED_JOB_TIMEOUT_MS):
                # It is a new one if its entry asks for it after all.
                del self.jobs_by_key[job.key]
                self._finish(job, JobState.REFUSED, job.missing_inputs_detail)
            elif job.waiting and overdue:
                self._finish(job, JobState.REFUSED, "the step cannot finish in time")
        if now_ms >= self.next_forecast_ms:
            self.next_forecast_ms = now_ms + FORECAST_INTERVAL_MS
            self._refuse_hopeless_jobs(now_ms)
        self.memory.expire(now_ms)

    def _refuse_hopeless_jobs(self, now_ms: int) -> None:
        """Refuse what cannot end in time since the targets became fewer or slower."""
        forecast = self._forecast()
        if forecast is None:
            return
        capacity, rows = self.capacity, self.targets()
        jobs = []
        for job in self.open_jobs():
            if job.doubted_ms or not job.is_expected(now_ms):
                continue
            if job.ready and not self.planner.has_memory_for(job, rows, capacity):
                self._finish(job, JobState.REFUSED, NO_MEMORY_DETAIL)
            else:
                jobs.append(job)
        jobs.sort(key=lambda job: job.rank(now_ms, capacity))
        blocking = self.planner.find_blocking(jobs, rows, capacity)
        if blocking is not None:
            jobs.remove(blocking)
            self._finish(blocking, JobState.REFUSED, BLOCKING_DETAIL)
        arrived = self.recent_jobs()
        for job in forecast.sort_out(jobs, arrived, self.processing_ms, capacity):
            detail = "the queue leaves the step too little time"
            self._finish(job, JobState.REFUSED, detail)

    async def _start_call(self) -> bool:
        """Start one call; return False if no target is free or no piece is ready."""
        now_ms = self.clock.now_ms()
        capacity = self.capacity
        rows = self.targets()
        free = self.planner.free_targets(rows, capacity, now_ms)
        jobs = []
        for job in self.open_by_key.values():
            if job.waiting and job.ready and not self.is_doubtful(job):
                jobs.append(job)
                if not free:
                    job.times.turn(self.planner.phase_without_target(job), now_ms)
        if not (jobs and free):
            return False
        jobs.sort(key=lambda job: job.rank(now_ms, capacity))
        plan = self.planner.plan(jobs, rows, free, capacity)
        if plan is None:
            self.planner.log_full_memory(self.service)
            return False
        await self._begin_call(plan.row, plan.chosen)
        return True

    async def _begin_call(self, row: TargetRow, chosen: list[tuple[Job, int]]) -> None:
        target_state = self.target_states_by_name[row.name]
        expected_ms = self.capacity.duration_ms(len(chosen)) * target_state.slowness
        target_state.calls += 1
        now_ms = self.clock.now_ms()
        target_state.busy_until_ms = now_ms + int(expected_ms)
        for job, piece in chosen:
            job.waiting.remove(piece)
            job.running += 1
        for job in {job.number: job for job, _ in chosen}.values():
            job.times.turn(Phase.QUEUED if job.waiting else Phase.CALLS, now_ms)
            job.times.record_call(len(chosen), self.capacity.batch)
        self.memory.record_start(row.address, result_bytes(chosen))
        await curio.spawn(self._run_call, row, chosen, expected_ms, daemon=True)

    async def _run_call(
        self, row: TargetRow, chosen: list[tuple[Job, int]], expected_ms: float
    ) -> None:
        started_ms = self.clock.now_ms()
        left_waiting = sum(len(job.waiting) for job in self.open_jobs() if job.ready)
        held_bytes = self.memory.used_bytes(row.address)
        target_state = self.target_states_by_name[row.name]
        items = [job.stage_item(piece, started_ms) for job, piece in chosen]
        may_retry = self.manager.budget.claim(self.service, len(chosen))
        limits = CallLimits.compute(
            expected_ms, [job for job, _ in chosen], may_retry, started_ms
        )
        slot = CallSlot(
            self.clock,
            target_state,
            self.wake,
            row.address,
            self.manager.confirms_silence,
        )
        timers = [await curio.spawn(slot.watch, limits, daemon=True)]
        is_full = started_ms < target_state.full_until_ms
        if not (is_full or self.is_contested):
            fetch = self.inputs.await_fetch
            timers.append(await curio.spawn(fetch, chosen, slot, daemon=True))
        failure: TargetFailed | None = None
        replies: list[StageReply] = []
        try:
            replies = await self.manager.client.run(row, items, limits.timeout_ms, slot)
        except TargetFailed as error:
            failure = error
        except Exception as error:
            # An unexpected exception must not leave the target's slot occupied.
            events.log(events.HANDLER_FAILED, detail=repr(error))
            failure = TargetFailed(repr(error))
        ended_ms = self.clock.now_ms()
        slot.end()
        for job, _ in chosen:
            job.running -= 1
        for timer in timers:
            await timer.cancel()
        events.log(
            events.STAGE_CALL_ENDED,
            service=self.service,
            target=row.name,
            pieces=len(items),
            requests=len({job.key for job, _ in chosen}),
            left_waiting=left_waiting,
            held_bytes=held_bytes,
            took_ms=ended_ms - started_ms,
            expected_ms=int(expected_ms),
            failure=str(failure or ""),
            **self.step_log.take_sums(self.capacity, ended_ms),
        )
        self.manager.record_call(len(items), ended_ms - started_ms)
        if failure is None:
            # A call may end before its inputs were marked.
            done = [
                pair
                for pair, reply in zip(chosen, replies, strict=True)
                if reply.outcome is PieceOutcome.DONE
            ]
            await self.inputs.mark(done)
        self.memory.record_end(row.address, result_bytes(chosen))
        if (
            failure is not None
            and await slot.shows_failure(failure)
            and target_state.record_failure(
                failure, ended_ms, self._has_usable_target()
            )
        ):
            self.memory.drop_target(row.address)
        if may_retry:
            self.manager.budget.unclaim(self.service, len(chosen))
        if failure is not None:
            for job, piece in chosen:
                self._requeue(job, piece, failure.verdict is not Verdict.NOT_RUN)
        else:
            target_state.record_answer(ended_ms)
            if not self.manager.was_held_since(started_ms):
                # Else the time is that of this process.
                expected_ms = self.capacity.duration_ms(len(items))
                await slot.record_duration(ended_ms, expected_ms)
            for (job, piece), reply in zip(chosen, replies, strict=True):
                self._apply_reply(row, target_state, job, piece, reply)
            self.record_room(row.address, chosen, replies, self.capacity)
        await self.manager.notify_finished()
        await self.wake.set()

    def _has_usable_target(self) -> bool:
        names = [row.name for row in self.targets()]
        return any(self.target_states_by_name[name].is_usable for name in names)

    def _apply_reply(
        self,
        row: TargetRow,
        target_state: TargetState,
        job: Job,
        piece: int,
        reply: StageReply,
    ) -> None:
        now_ms = self.clock.now_ms()
        if reply.handle:
            kept_ms = self.capacity.result_ms
            size = job.message.result_bytes
            self.memory.add(row.address, reply.handle, size, now_ms + kept_ms)
        if job.state is not JobState.PENDING:
            # The job has ended, so the result only takes up memory.
            if reply.handle:
                self.release([PieceResult(piece, reply.handle, str(row.address))])
            return
        match reply.outcome:
            case PieceOutcome.DONE:
                job.results_by_piece[piece] = PieceResult(
                    piece, reply.handle, str(row.address), row.data_centre
                )
                job.progressed_ms = now_ms
                if len(job.results_by_piece) == len(job.message.pieces):
                    self._finish(job, JobState.DONE)
            case PieceOutcome.GONE:
                self._finish(job, JobState.GONE, "an input is gone")
            case PieceOutcome.LATE:
                self._finish(
                    job, JobState.REFUSED, "the target refused the piece as too late"
                )
            case PieceOutcome.NO_MEMORY:
                # The piece was refused when its turn came, so it has not run. Memory
                # becomes free when pending releases arrive, or when the results of a
                # previous owner of the service expire.
                self._record_full(row, target_state, job, now_ms)
                self._requeue(job, piece, False)
            case PieceOutcome.ERROR:
                self._requeue(job, piece, True)

    def _record_full(
        self, row: TargetRow, target_state: TargetState, job: Job, now_ms: int
    ) -> None:
        """Record that a target had no memory for a piece of a job."""
        target_state.full_until_ms = now_ms + self.capacity.result_ms
        usable = usable_bytes(self.capacity)
        if usable:
            size, until_ms = job.message.result_bytes, now_ms + FULL_MEMORY_MS
            self.memory.record_refusal(row.address, size, usable, until_ms)
        else:
            # No memory is configured, so that no size tells what it has room for.
            target_state.pause(now_ms + REFUSAL_PAUSE_MS)

    def _requeue(self, job: Job, piece: int, may_have_run: bool) -> None:
        """Queue a piece again.

        Args:
            job: Job of the piece.
            piece: Number of the piece.
            may_have_run: Whether the target may have run the piece. The retry then
                counts against the limit of the job and the budget of the service.
        """
        if job.state is not JobState.PENDING:
            return
        if may_have_run:
            job.failed_attempts += 1
            limit = MAX_ATTEMPTS * len(job.message.pieces)
            if job.failed_attempts > limit or not self.manager.budget.spend(
                self.service
            ):
                self._finish(
                    job,
                    JobState.REFUSED,
                    "the retry limit or the retry budget is exhausted",
                )
                return
        if job.has_released_inputs:
            # Another call could only find that.
            self._finish(job, JobState.GONE, "its inputs were released before a retry")
            return
        job.fetched_pieces.discard(piece)
        job.waiting.append(piece)
        job.times.turn(Phase.QUEUED, self.clock.now_ms())

    # Releases

    async def run_releases(self) -> None:
        """Send the scheduled releases to the targets until cancelled."""
        while True:
            await self.releases_pending.wait()
            await self.clock.sleep_ms(RELEASE_INTERVAL_MS)
            self.releases_pending.clear()
            handles_by_address, self.pending_releases_by_address = (
                self.pending_releases_by_address,
                defaultdict(list),
            )
            for address, handles in handles_by_address.items():
                await curio.spawn(self._send_releases, address, handles, daemon=True)

    async def _send_releases(self, address: Address, handles: list[str]) -> None:
        try:
            async with curio.timeout_after(RELEASE_TIMEOUT_MS / MS_PER_SECOND):
                await self.manager.client.free(address, handles)
        except (TargetFailed, curio.TaskTimeout) as error:
            # The target drops the results when they expire. Until then they count as
            # memory in use.
            events.log(
                events.RESULT_RELEASE_FAILED, address=str(address), detail=str(error)
            )
            return
        finally:
            self.releasing.difference_update(handles)
        now_ms = self.clock.now_ms()
        for handle in handles:
            self.memory.record_release(handle, now_ms)
        await self.wake.set()
