"""Batches the pieces of many requests into calls to the targets of stage services."""

import math
from collections.abc import Awaitable, Callable, Collection

import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.ports.link import Address
from wagtailrun.process.late_tasks import LATE_WAIT_MS
from wagtailrun.process.supervisor import supervise
from wagtailrun.routes import StageCapacity
from wagtailrun.stages.job import Job, job_key
from wagtailrun.stages.lost_entries import LostEntries
from wagtailrun.stages.messages import (
    CancelPieces,
    FreeResults,
    JobState,
    PiecesDropped,
    PiecesState,
    RunPieces,
    TakenOver,
    TakeOver,
)
from wagtailrun.stages.pool import Pool
from wagtailrun.stages.pool_manager import PoolManager
from wagtailrun.stages.port import StageClient
from wagtailrun.stages.succession import Succession, take_over
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.targets.table import TargetRow

__all__ = ["StageBatcher"]


class StageBatcher(PoolManager):
    """Batches pieces into calls for the stage services that this entry owns.

    Args:
        clock: Clock.
        client: Sends calls to targets.
        targets: Returns the targets of a service.
        capacity: Returns the configured capacity of one target of a stage service.
        budget: Limits the retries of pieces.
        release_elsewhere: Sends a release of results to the owner of their service.
        was_held_since: Returns whether the event loop of this process was held after a
            time on the clock.
        confirms_silence: Called with the address of a target, the entry that carries a
            call to it and when it was sent; returns whether the target is silent, and
            not that entry.
        is_owner: Returns whether this entry owns a service.
        most_pieces: Returns how many pieces a target may get in one call, beside its
            capacity.
        is_away: Returns whether a data centre is cut off from this entry, or down.
        first_start_ms: Returns when the first of the running entries started, on the
            clock; None if that is unknown.
    """

    def __init__(
        self,
        clock: Clock,
        client: StageClient,
        targets: Callable[[str], list[TargetRow]],
        capacity: Callable[[str], StageCapacity],
        budget: RetryBudget,
        release_elsewhere: Callable[[FreeResults], Awaitable[None]],
        was_held_since: Callable[[int], bool] = lambda since_ms: False,
        confirms_silence: Callable[[Address, Address, int], Awaitable[bool]]
        | None = None,
        is_owner: Callable[[str], bool] = lambda service: True,
        most_pieces: Callable[[TargetRow], float] = lambda row: math.inf,
        is_away: Callable[[str], bool] = lambda data_centre: False,
        first_start_ms: Callable[[], int | None] = lambda: None,
    ):
        self.release_elsewhere = release_elsewhere
        self.was_held_since = was_held_since
        self.confirms_silence = confirms_silence
        self.clock = clock
        self.client = client
        self.targets = targets
        self.capacity = capacity
        self.budget = budget
        self.is_owner = is_owner
        self.most_pieces = most_pieces
        self.first_start_ms = first_start_ms
        self.lost_entries = LostEntries(clock, is_away, was_held_since)
        self.pools_by_service: dict[str, Pool] = {}
        # Hands services over; without it they stay until their pieces are done.
        self.succession: Succession | None = None
        # Ended jobs whose waiting polls are not yet notified.
        self.finished_jobs: list[Job] = []
        self.calls = 0
        self.pieces = 0
        self.call_ms = 0

    @property
    def has_open_jobs(self) -> bool:
        """Whether pieces that may run are waiting or in calls here."""
        pools = self.pools_by_service.values()
        return any(job.ready for pool in pools for job in pool.open_by_key.values())

    @property
    def held_bytes(self) -> int:
        """Bytes of results that targets hold for calls of this entry."""
        pools = self.pools_by_service.values()
        return sum(sum(pool.memory.bytes_by_address.values()) for pool in pools)

    @property
    def pieces_without_memory(self) -> int:
        """Number of pieces that wait for memory for their results."""
        pools = self.pools_by_service.values()
        return sum(pool.planner.pieces_without_memory for pool in pools)

    @property
    def has_unreported_jobs(self) -> bool:
        """Whether an entry has yet to fetch the results of pieces that ran here."""
        return any(pool.has_unreported_job() for pool in self.pools_by_service.values())

    def has_taken(self, message: RunPieces) -> bool:
        """Return whether the pieces of a message may run, or ran, for an earlier one.

        Announced pieces are not taken: they only hold a place in the queue.
        """
        pool = self.pools_by_service.get(message.service)
        job = pool.jobs_by_key.get(job_key(message)) if pool is not None else None
        return job is not None and job.ready

    async def hand_over(self) -> None:
        """Move what is in no call to other entries, as this entry stops."""
        for pool in self.pools_by_service.values():
            await pool.wake.set()

    async def take_over(self, message: TakeOver) -> TakenOver:
        """Run the pieces of an owner that stops."""
        pool = await self.pool(message.service)
        take_over(pool, message)
        await self.notify_finished()
        await pool.wake.set()
        return TakenOver(len(message.jobs))

    def record_finished(self, job: Job) -> None:
        """Keep an ended job until its waiting polls are notified."""
        self.finished_jobs.append(job)

    async def notify_finished(self) -> None:
        """Wake the polls of jobs that ended, and the senders of scheduled releases."""
        jobs, self.finished_jobs = self.finished_jobs, []
        for job in jobs:
            await job.progress.notify()
        for pool in self.pools_by_service.values():
            if pool.pending_releases_by_address:
                await pool.releases_pending.set()

    def record_call(self, pieces: int, took_ms: int) -> None:
        """Count a call in the metrics."""
        self.calls += 1
        self.pieces += pieces
        self.call_ms += took_ms

    async def pool(self, service: str) -> Pool:
        """Return the pool of a service; create and start it if needed."""
        pool = self.pools_by_service.get(service)
        if pool is None:
            pool = self.pools_by_service[service] = Pool(self, service)
            for task in (pool.run, pool.run_releases):
                name = f"{task.__qualname__} {service}"
                pool.tasks.append(await curio.spawn(supervise, name, task, daemon=True))
        return pool

    async def drop_gone(
        self, names: Collection[str], services: Collection[str] | None
    ) -> None:
        """Drop what is kept of targets and services that are gone.

        Args:
            names: Names of the known targets.
            services: Names of the known services; None if they are not known.
        """
        for service, pool in list(self.pools_by_service.items()):
            pool.drop_gone(names)
            if services is not None and service not in services and pool.is_unused:
                del self.pools_by_service[service]
                for task in pool.tasks:
                    await task.cancel()

    async def handle(
        self, message: RunPieces | CancelPieces | FreeResults
    ) -> PiecesState | PiecesDropped:
        """Handle one message from an entry and return the reply."""
        pool = await self.pool(message.service)
        if isinstance(message, RunPieces):
            return await self._run_pieces(pool, message)
        successor = self.succession and self.succession.told(message.service)
        if successor:
            # The sender does not wait for the next owner.
            await curio.spawn(self._forward, pool, message, daemon=True)
        if isinstance(message, CancelPieces):
            count = pool.cancel(message)
        else:
            count = len(message.results)
            if not successor:
                pool.release(message.results)
        await self.notify_finished()
        return PiecesDropped(count)

    async def _forward(self, pool: Pool, message: CancelPieces | FreeResults) -> None:
        """Send a message to the next owner of its service, which has its pieces."""
        forwarded = await self.succession.forward(message)
        if isinstance(message, CancelPieces):
            return
        if forwarded:
            # The next owner counts the results.
            for result in message.results:
                pool.memory.release(result.handle)
        else:
            pool.release(message.results)
            await self.notify_finished()

    async def _run_pieces(self, pool: Pool, message: RunPieces) -> PiecesState:
        self.lost_entries.record_heard(message.entry_data_centre)
        if message.announcement > 1:
            pool.confirm(message)
            return PiecesState(JobState.PENDING)
        if not message.reserve:
            pool.record_use()
        job, changed = pool.add(message)
        await pool.record_asked(job, message)
        # An announcement starts no call, but the first one starts the regular reviews.
        if changed and (job.ready or len(pool.open_by_key) == 1):
            await pool.wake.set()
        if message.reserve:
            return job.report(job.queue_ms)
        answer_by_ms = self.clock.now_ms() + message.wait_ms
        while job.state is JobState.PENDING and not pool.is_doubtful(job):
            if job.moved_to and not job.reported:
                break
            reports_fetch = not (message.seen_fetched or message.input_services)
            if job.fetched and reports_fetch:
                return PiecesState(JobState.FETCHED)
            wait_ms = answer_by_ms - self.clock.now_ms()
            if wait_ms <= 0:
                break
            await curio.ignore_after(wait_ms / MS_PER_SECOND, job.progress.wait)
        if pool.is_doubtful(job) and not job.moved_to:
            # Its entry asks again if it still waits. The pause lets the task run that
            # finds out about standstills.
            await self.clock.sleep_ms(LATE_WAIT_MS)
            return PiecesState(JobState.PENDING)
        job.reported = bool(job.moved_to) or job.state is not JobState.PENDING
        if job.state is JobState.DONE:
            pool.record_taken(job)
        if job.state in (JobState.PENDING, JobState.DONE):
            return job.report(0)
        return job.report(pool.queue_ms())
