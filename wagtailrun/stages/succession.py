"""Hands stage services over to their next owners.

Without it two owners would call the targets of a service beside each other for a while,
without the calls and results of the other: calls would wait at targets, and inputs that
are released shortly after a call was sent would be gone when its turn comes.
"""

from collections import defaultdict
from collections.abc import Callable

from wagtailrun.clock import Clock
from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.stages.job import Job, job_key
from wagtailrun.stages.messages import (
    CancelPieces,
    FreeResults,
    HeldResult,
    JobState,
    MovedJob,
    TakenOver,
    TakeOver,
    TargetUse,
)
from wagtailrun.stages.owner_calls import OwnerCalls
from wagtailrun.stages.pool_state import PoolState
from wagtailrun.targets.pauses import MAX_PAUSE_MS

__all__ = ["Succession", "take_over"]

CALL_TIMEOUT_MS = 250


class Succession:
    """Moves the jobs of an entry to the next owners of their services.

    Only an entry that stops does so. The next owner may be one that the entries of the
    requests do not reach, and they ask another one because of that.

    Args:
        clock: Clock.
        link: Link to other entries.
        name: Name of this entry.
        calls: Chooses the owners.
        is_stopping: Returns whether this entry stops.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        name: str,
        calls: OwnerCalls,
        is_stopping: Callable[[], bool],
    ):
        self.clock = clock
        self.link = link
        self.name = name
        self.calls = calls
        self.is_stopping = is_stopping
        self.successor_by_service: dict[str, EntryRow] = {}
        # Entries that did not take a service over.
        self.tried_by_service: dict[str, set[str]] = defaultdict(set)
        # Results that the successor of a service knows.
        self.told_by_service: dict[str, set[str]] = defaultdict(set)

    async def move(self, pool: PoolState) -> bool:
        """Move the jobs of a service that are in no call, and what is new of targets.

        Returns:
            False if no other entry takes the service over, so that it stays here.
        """
        while self.is_stopping():
            successor = self._successor(pool.service)
            if successor is None:
                break
            jobs = [job for job in pool.open_jobs() if not job.running]
            message = self._take_over_message(pool, jobs)
            if not (message.jobs or message.results or message.targets):
                return True
            for job in jobs:
                # Nothing starts or refuses them while they move.
                del pool.open_by_key[job.key]
            try:
                await self._send(successor, message)
            except (MessageError, PeerUnreachable) as error:
                for job in jobs:
                    pool.open_by_key[job.key] = job
                self._drop_successor(pool.service, successor, str(error))
                continue
            await self._record_moved(pool, jobs, successor, message)
            return True
        return False

    async def _send(self, successor: EntryRow, message: TakeOver) -> None:
        reply = await self.link.call(successor.address, message, CALL_TIMEOUT_MS)
        if not isinstance(reply, TakenOver):
            raise PeerUnreachable(f"unexpected {type(reply).__name__}")

    def _successor(self, service: str) -> EntryRow | None:
        successor = self.successor_by_service.get(service)
        if successor is None:
            tried = {self.name, *self.tried_by_service[service]}
            successor = self.calls.owner(service, tried)
            if successor is not None:
                self.successor_by_service[service] = successor
        return successor

    def _drop_successor(self, service: str, row: EntryRow, detail: str) -> None:
        self.successor_by_service.pop(service, None)
        self.told_by_service.pop(service, None)
        events.log(events.PEER_LOST, peer=row.name, detail=detail)
        self.tried_by_service[service].add(row.name)

    def _take_over_message(self, pool: PoolState, jobs: list[Job]) -> TakeOver:
        now_ms = self.clock.now_ms()
        told = self.told_by_service[pool.service]
        results = tuple(
            HeldResult(str(held.address), handle, held.size, held.until_ms - now_ms)
            for handle, held in pool.memory.results_by_handle.items()
            if handle not in told and handle not in pool.releasing
        )
        # Running calls are told with what is first moved, and their results later.
        targets = () if told and not (jobs or results) else _target_uses(pool, now_ms)
        return TakeOver(
            pool.service,
            tuple(_moved_job(job, now_ms) for job in jobs),
            results,
            targets,
        )

    async def _record_moved(
        self, pool: PoolState, jobs: list[Job], successor: EntryRow, message: TakeOver
    ) -> None:
        told = self.told_by_service[pool.service]
        if not told or jobs:
            events.log(
                events.SERVICE_HANDED_OVER,
                service=pool.service,
                peer=successor.name,
                jobs=len(jobs),
                results=len(message.results),
            )
        # An empty name shows that the service was handed over without results.
        told.update({"", *(result.handle for result in message.results)})
        for job in jobs:
            job.moved_to = successor.name
            job.ended_ms = now_ms = self.clock.now_ms()
            pool.step_log.record_ended(job, "moved", successor.name, now_ms)
            pool.ended_jobs.append(job)
            await job.progress.notify()

    def told(self, service: str) -> EntryRow | None:
        """Return the entry that took a service over, if there is one."""
        if not self.told_by_service.get(service):
            return None
        return self.successor_by_service.get(service)

    async def forward(self, message: CancelPieces | FreeResults) -> bool:
        """Send a message to the successor of its service; return whether it took it."""
        successor = self.told(message.service)
        if successor is None:
            return False
        try:
            await self.link.call(successor.address, message, CALL_TIMEOUT_MS)
        except PeerUnreachable as error:
            events.log(events.PEER_LOST, peer=successor.name, detail=str(error))
            return False
        return True


def _target_uses(pool: PoolState, now_ms: int) -> tuple[TargetUse, ...]:
    uses = []
    for row in pool.targets():
        state = pool.target_states_by_name[row.name]
        busy_ms = max(state.busy_until_ms - now_ms, 0) if state.calls else 0
        uses.append(
            TargetUse(
                name=row.name,
                address=str(row.address),
                busy_ms=busy_ms,
                pause_ms=max(state.pause_until_ms - now_ms, 0),
                slowness=state.slowness,
                running_bytes=pool.memory.running_bytes_by_address.get(row.address, 0),
            )
        )
    return tuple(uses)


def _moved_job(job: Job, now_ms: int) -> MovedJob:
    return MovedJob(
        request=job.message_at(now_ms),
        waiting=tuple(job.waiting),
        results=tuple(job.results_by_piece.values()),
        fetched_pieces=tuple(sorted(job.fetched_pieces)),
        fetched=job.fetched,
        failed_attempts=job.failed_attempts,
    )


def take_over(pool: PoolState, message: TakeOver) -> None:
    """Add the jobs of an entry that stops, and what it knows of the targets."""
    now_ms = pool.clock.now_ms()
    for use in message.targets:
        state = pool.target_states_by_name[use.name]
        state.busy_until_ms = max(state.busy_until_ms, now_ms + use.busy_ms)
        # The calls in progress occupy the slots of the target.
        pause_ms = max(use.busy_ms, min(use.pause_ms, MAX_PAUSE_MS))
        state.pause_until_ms = max(state.pause_until_ms, now_ms + pause_ms)
        if not state.answered_ms:
            state.slowness = use.slowness
        pool.memory.record_unknown(
            Address.parse(use.address), use.running_bytes, now_ms + use.busy_ms
        )
    for held in message.results:
        address = Address.parse(held.address)
        until_ms = now_ms + held.left_ms
        pool.memory.add(address, held.handle, held.size, until_ms)
    pool.memory.sort()
    pool.record_use()
    for moved in message.jobs:
        _take_job(pool, moved, now_ms)


def _take_job(pool: PoolState, moved: MovedJob, now_ms: int) -> None:
    message = moved.request
    key = job_key(message)
    known = pool.jobs_by_key.get(key)
    has_ended = known is not None and known.state is not JobState.PENDING
    if known is not None and not known.moved_to and (known.ready or has_ended):
        # Its entry has sent it here as well.
        pool.release(moved.results)
        return
    job = Job(
        message=message,
        requested_ms=now_ms,
        objective_at_ms=now_ms + message.aim_ms,
        expires_at_ms=now_ms + message.remaining_ms,
        waiting=list(moved.waiting),
        ready=not message.reserve,
        number=next(pool.job_numbers),
        fetched_pieces=set(moved.fetched_pieces),
        fetched=moved.fetched,
        results_by_piece={result.piece: result for result in moved.results},
        failed_attempts=moved.failed_attempts,
        asked_ms=now_ms,
    )
    pool.jobs_by_key[key] = pool.open_by_key[key] = job
