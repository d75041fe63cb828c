"""Forms the calls of one stage service from the pieces of many requests."""

import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence

import attrs
import curio

from wagtailrun import events
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.consensus_state import Signal
from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import Address
from wagtailrun.retries import RetryBudget
from wagtailrun.routes import StageCapacity
from wagtailrun.stages.memory import ResultMemory
from wagtailrun.stages.messages import (
    CancelPieces,
    FreeResults,
    JobState,
    PieceResult,
    PiecesDropped,
    PiecesState,
    RunPieces,
)
from wagtailrun.stages.port import PieceOutcome, StageClient, StageItem, StageReply

__all__ = ["StageBatcher"]

# A call that takes this many times the expected time is given up: slow targets take up
# to five times as long, and the slowness measured so far is counted in.
CALL_PATIENCE = 3.0
MIN_CALL_PATIENCE_MS = 500
# A target that refused connections is tried again after this long, doubling.
FIRST_BACKOFF_MS = 250
MAX_BACKOFF_MS = 2_000
FULL_PAUSE_MS = 40
MAX_TRIES = 3
# Weight of the newest call in the slowness of a target.
SLOWNESS_WEIGHT = 0.4
MAX_SLOWNESS = 8.0
# Frees of many requests travel together.
FREE_INTERVAL_MS = 10
FREE_TIMEOUT_MS = 500
# Finished jobs answer a repeated question for this long.
KEEP_FINISHED_MS = 3_000
# An announced step whose inputs do not come in this time is forgotten; its entry is
# gone, or gave the request up.
KEEP_ANNOUNCED_MS = 6_000
# The waits of jobs are judged again at this interval.
REVIEW_MS = 50
# An urgency level counts as this much of the time to the aim: enough to go first in a
# short queue, not enough to keep the least urgent out for longer than that.
URGENCY_MS = 400
# Moving a result to another data centre costs the operator about as much as this much
# of a caller's time (prices of the users' installations, weighed against the worth of
# a request), and a call elsewhere breaks up a batch at home.
LEAVE_MS = 30
BLOCKED_MS = 150
LEAVE_MS_PER_MB = 400.0
# A target fetches the inputs of a call at its turn; 10 MB take 8 ms on these links.
FETCH_MS = 60
# Sizes are approximate, so a part of the memory is left free.
MEMORY_PART = 0.96
# Calls are a little less than full while pieces of one step are kept together.
FILL = 0.9
# Told to entries as the wait of a pool that has no target.
NO_TARGET_QUEUE_MS = 60_000


@attrs.define(eq=False)
class _Job:
    """The pieces of one step of one request.

    Attributes:
        message: What was asked.
        asked_ms: When it was asked.
        aim_at_ms: When it should be done.
        end_at_ms: When it is of no use any more.
        waiting: Pieces that are in no call.
        running: Number of pieces in calls.
        results_by_piece: Results so far.
        tries: Calls that failed.
        state: What has become of it.
        ready: Whether the pieces may run; announced ones only hold their place.
        number: Order of arrival.
        fetched_pieces: Pieces whose calls have fetched their inputs.
        fetched: Whether those are all of them.
        queue_ms: How long it was expected to wait when it was asked; None if no
            target could be given calls.
        finished: Signals the end, or that the inputs were fetched.
    """

    message: RunPieces
    asked_ms: int
    aim_at_ms: int
    end_at_ms: int
    waiting: list[int]
    ready: bool = True
    number: int = 0
    fetched_pieces: set[int] = attrs.field(factory=set)
    fetched: bool = False
    running: int = 0
    results_by_piece: dict[int, PieceResult] = attrs.field(factory=dict)
    tries: int = 0
    state: JobState = JobState.PENDING
    detail: str = ""
    ended_ms: int = 0
    queue_ms: int | None = None
    finished: Signal = attrs.field(factory=Signal)

    @property
    def key(self) -> tuple[str, int, int]:
        """Request, step and round."""
        return _key(self.message)


def _key(message: RunPieces) -> tuple[str, int, int]:
    return (message.request_id, message.step, message.round)


@attrs.define(eq=False)
class _Bench:
    """State of one target: calls under way, slowness, failures.

    Attributes:
        calls: Number of calls under way.
        busy_until_ms: When the last of them should end.
        pause_until_ms: Before this it gets no call.
        failures: Failures in a row.
        refusals: Pieces in a row for which it had no memory.
        slowness: Time of its calls as a multiple of what the text says.
    """

    calls: int = 0
    busy_until_ms: int = 0
    pause_until_ms: int = 0
    failures: int = 0
    refusals: int = 0
    slowness: float = 1.0


class _Pool:
    """Queue and targets of one service."""

    def __init__(self, host: "StageBatcher", service: str):
        self.host = host
        self.clock = host.clock
        self.service = service
        self.jobs_by_key: dict[tuple[str, int, int], _Job] = {}
        # Those of them that are not finished; finished ones are several times as many.
        self.open_by_key: dict[tuple[str, int, int], _Job] = {}
        self.benches_by_name: dict[str, _Bench] = defaultdict(_Bench)
        self.memory = ResultMemory()
        self.free_by_address: dict[Address, list[str]] = defaultdict(list)
        self.numbers = itertools.count()
        # How long the targets of each data centre are busy, as of the newest call.
        self.home_busy_by_place: dict[str, int] = {}
        self.wake = curio.Event()
        self.frees_wanted = curio.Event()

    # Questions

    @property
    def capacity(self) -> StageCapacity:
        """What the text says of one target."""
        return self.host.capacity(self.service)

    def targets(self) -> list[TargetRow]:
        """Return the targets that may be given calls."""
        return self.host.targets(self.service)

    def open_jobs(self) -> list[_Job]:
        """Return the jobs that are not finished."""
        return list(self.open_by_key.values())

    def queue_ms(self, before: _Job | None = None) -> int | None:
        """Return how long pieces wait before their call starts.

        Args:
            before: Only what goes before this job counts; by default all that waits.

        Returns:
            Milliseconds, or None if no target can be given calls.
        """
        now_ms = self.clock.now_ms()
        benches = [self.benches_by_name[row.name] for row in self.targets()]
        # One that failed again and again counts once its pause is over; otherwise a
        # service whose targets all failed would never be tried again.
        able = [
            bench
            for bench in benches
            if bench.failures < MAX_TRIES or bench.pause_until_ms <= now_ms
        ]
        if not able:
            return None
        ahead = sum(len(job.waiting) for job in self._ahead(before, now_ms))
        capacity = self.capacity
        free_ms = min(
            max(bench.busy_until_ms, bench.pause_until_ms) - now_ms for bench in able
        )
        speed = sum(1.0 / bench.slowness for bench in able) * max(capacity.slots, 1)
        full_ms = capacity.duration_ms(capacity.batch)
        queued_ms = ahead / (capacity.batch * FILL) * full_ms / speed
        if ahead < capacity.batch:
            # They share the next call.
            queued_ms = 0.0
        return int(max(free_ms, 0) + queued_ms)

    def _ahead(self, before: _Job | None, now_ms: int) -> Iterator[_Job]:
        """Yield the open jobs that go before a job, announced ones included."""
        rank = self._rank(before, now_ms) if before is not None else None
        for job in self.open_jobs():
            if job is not before and (rank is None or self._rank(job, now_ms) < rank):
                yield job

    def work_ms(self, pieces: int) -> float:
        """Return the expected time of the calls for so many pieces."""
        capacity = self.capacity
        slowness = [self.benches_by_name[row.name].slowness for row in self.targets()]
        calls = math.ceil(pieces / capacity.batch)
        each_ms = capacity.duration_ms(min(pieces, capacity.batch))
        return calls * each_ms * min(slowness, default=1.0)

    # Jobs

    def add(self, message: RunPieces) -> tuple[_Job, bool]:
        """Return the job of ``message``, and whether it is new or has become ready."""
        now_ms = self.clock.now_ms()
        job = self.jobs_by_key.get(_key(message))
        if job is None:
            job = _Job(
                message=message,
                asked_ms=now_ms,
                aim_at_ms=now_ms + message.aim_ms,
                end_at_ms=now_ms + message.remaining_ms,
                waiting=list(message.pieces),
                ready=not message.reserve,
                number=next(self.numbers),
            )
            self.jobs_by_key[job.key] = self.open_by_key[job.key] = job
            self.host.budget.earn(self.service)
        elif not job.ready and not message.reserve:
            job.message = message
            job.asked_ms = now_ms
            job.aim_at_ms = now_ms + message.aim_ms
            job.end_at_ms = now_ms + message.remaining_ms
            job.ready = True
        else:
            return job, False
        job.queue_ms = queue_ms = self.queue_ms(job)
        if queue_ms is None:
            self._end(job, JobState.REFUSED, "no target can be given calls")
        elif queue_ms + self.work_ms(len(job.waiting)) > message.remaining_ms:
            detail = f"queue {queue_ms} ms of {message.remaining_ms} ms left"
            self._end(job, JobState.REFUSED, detail)
        return job, True

    def _rank(self, job: _Job, now_ms: int) -> tuple[bool, int, int]:
        """Order in which jobs are served.

        First steps that cannot be in time any more go last: served in the order of
        their arrival, they would make every request late once the queue is longer than
        the time to the aim. Later steps keep their place, since what was made for them
        expires and would be thrown away.
        """
        late = now_ms + self.capacity.duration_ms(len(job.waiting)) > job.aim_at_ms
        hopeless = late and not job.message.has_inputs
        aim_at_ms = job.aim_at_ms + job.message.urgency * URGENCY_MS
        return (hopeless, aim_at_ms, job.number)

    def cancel(self, request_id: str) -> int:
        """Drop the pieces of a request that are in no call; return how many."""
        dropped = 0
        for job in self.open_jobs():
            if job.message.request_id == request_id:
                dropped += len(job.waiting)
                self._end(job, JobState.REFUSED, "cancelled")
        return dropped

    def _end(self, job: _Job, state: JobState, detail: str = "") -> None:
        job.state = state
        job.detail = detail
        self.open_by_key.pop(job.key, None)
        job.waiting.clear()
        job.ended_ms = self.clock.now_ms()
        if state is not JobState.DONE:
            self._free_results(job)
            events.log(
                events.PIECES_ABANDONED,
                request_id=job.message.request_id,
                step=job.message.step,
                service=self.service,
                data_centre=job.message.data_centre,
                state=str(state),
                detail=detail,
                waited_ms=job.ended_ms - job.end_at_ms + job.message.remaining_ms,
                queue_ms=self.queue_ms(),
            )
        self.host.ended_jobs.append(job)

    def _free_results(self, job: _Job) -> None:
        self.free(list(job.results_by_piece.values()))

    def free(self, results: Sequence[PieceResult]) -> None:
        """Give up results; they count as held until the targets were told.

        They may have been made for an entry that formed the calls before this one.
        """
        for result in results:
            address = Address.parse(result.address)
            self.free_by_address[address].append(result.handle)

    # Calls

    async def run(self) -> None:
        """Start calls whenever a target is free and pieces wait."""
        while True:
            if self.open_by_key:
                await curio.ignore_after(REVIEW_MS / MS_PER_SECOND, self.wake.wait)
            else:
                await self.wake.wait()
            self.wake.clear()
            self._review()
            await self.host.notify_ended()
            while await self._start_call():
                pass

    def _review(self) -> None:
        """End the jobs that cannot be done in time, and forget finished ones."""
        now_ms = self.clock.now_ms()
        for job in list(self.jobs_by_key.values()):
            if job.state is not JobState.PENDING:
                if now_ms - job.ended_ms > KEEP_FINISHED_MS:
                    del self.jobs_by_key[job.key]
            elif not job.ready and now_ms - job.asked_ms > KEEP_ANNOUNCED_MS:
                self._end(job, JobState.REFUSED, "its inputs did not come")
            elif job.waiting and now_ms + self.capacity.duration_ms(1) > job.end_at_ms:
                self._end(job, JobState.REFUSED, "it could not be done in time")
        self.memory.expire(now_ms)

    async def _start_call(self) -> bool:
        """Start one call; return False if there is no free target or no piece."""
        now_ms = self.clock.now_ms()
        free = self._free_targets(now_ms)
        jobs = [job for job in self.open_jobs() if job.waiting and job.ready]
        if not jobs or not free:
            return False
        jobs.sort(key=lambda job: self._rank(job, now_ms))
        self.home_busy_by_place = self._home_busy(now_ms)
        # The first job chooses its target; the others fill the call.
        for job in jobs:
            for row in self._fit(job, free, now_ms):
                chosen = self._choose(row, jobs, free, now_ms)
                if chosen:
                    await self._begin(row, chosen)
                    return True
        return False

    async def _begin(self, row: TargetRow, chosen: list[tuple[_Job, int]]) -> None:
        bench = self.benches_by_name[row.name]
        expected_ms = self.capacity.duration_ms(len(chosen)) * bench.slowness
        bench.calls += 1
        bench.busy_until_ms = self.clock.now_ms() + int(expected_ms)
        for job, piece in chosen:
            job.waiting.remove(piece)
            job.running += 1
        await curio.spawn(self._call, row, chosen, expected_ms, daemon=True)

    def _free_targets(self, now_ms: int) -> list[TargetRow]:
        """Return the targets that may be given a call now, the best first."""
        slots = max(self.capacity.slots, 1)
        free = []
        for row in self.targets():
            bench = self.benches_by_name[row.name]
            if bench.calls < slots and bench.pause_until_ms <= now_ms:
                free.append(row)
        benches = self.benches_by_name
        free.sort(key=lambda r: (benches[r.name].failures, benches[r.name].slowness))
        return free

    def _fit(
        self, job: _Job, free: list[TargetRow], now_ms: int
    ) -> Iterator[TargetRow]:
        """Yield the free targets where a job may run, those near its engine first."""
        wanted = job.message.data_centre
        yield from (row for row in free if row.data_centre == wanted)
        if self._may_leave(job, now_ms):
            yield from (row for row in free if row.data_centre != wanted)

    def _may_leave(self, job: _Job, now_ms: int) -> bool:
        """Whether a job may run in another data centre than the wanted one.

        It may once waiting at home takes longer than moving its results is worth.
        """
        busy_ms = self.home_busy_by_place.get(job.message.data_centre)
        if busy_ms is None:
            return True
        patience_ms = LEAVE_MS + _move_ms(job)
        # While results take up its memory, home may be idle and yet take nothing.
        blocked_ms = now_ms - job.asked_ms - BLOCKED_MS
        if max(busy_ms, blocked_ms) > patience_ms:
            return True
        # Being late costs a caller more than any move of results.
        left_ms = job.aim_at_ms - now_ms - self.work_ms(len(job.waiting))
        return 0 <= left_ms < max(busy_ms, BLOCKED_MS if blocked_ms > 0 else 0)

    def _may_run_at(self, job: _Job, row: TargetRow, now_ms: int) -> bool:
        """Whether pieces of a job may fill a call at ``row``."""
        at_home = row.data_centre == job.message.data_centre
        return at_home or self._may_join(job) or self._may_leave(job, now_ms)

    def _may_join(self, job: _Job) -> bool:
        """Whether a job may fill a call in another data centre that starts anyway.

        It breaks up no batch there, so waiting at home only saves the move of results.
        """
        busy_ms = self.home_busy_by_place.get(job.message.data_centre)
        return busy_ms is None or busy_ms > _move_ms(job)

    def _home_busy(self, now_ms: int) -> dict[str, int]:
        """Return how long all good targets of each data centre are still busy.

        Returns:
            Milliseconds by data centre, negative where one is idle; those without a
            good target are left out.
        """
        busy_by_place: dict[str, int] = {}
        for row in self.targets():
            bench = self.benches_by_name[row.name]
            if not bench.failures:
                busy_ms = max(bench.busy_until_ms, bench.pause_until_ms) - now_ms
                known_ms = busy_by_place.get(row.data_centre, busy_ms)
                busy_by_place[row.data_centre] = min(known_ms, busy_ms)
        return busy_by_place

    def _choose(
        self, row: TargetRow, jobs: list[_Job], free: list[TargetRow], now_ms: int
    ) -> list[tuple[_Job, int]]:
        """Return the pieces of the next call at ``row``, in the order of ``jobs``."""
        capacity = self.capacity
        usable = int(capacity.memory_bytes * MEMORY_PART)
        room = self.memory.free_bytes(row.address, usable)
        chosen: list[tuple[_Job, int]] = []
        for job in jobs:
            if not self._may_run_at(job, row, now_ms):
                continue
            for piece in list(job.waiting):
                needed = job.message.result_bytes
                if len(chosen) >= capacity.batch:
                    return chosen
                if needed > room and (chosen or self.memory.held(row.address)):
                    break
                room -= needed
                chosen.append((job, piece))
        return chosen

    async def _call(
        self, row: TargetRow, chosen: list[tuple[_Job, int]], expected_ms: float
    ) -> None:
        started_ms = self.clock.now_ms()
        left_waiting = sum(len(job.waiting) for job in self.open_jobs() if job.ready)
        held_bytes = self.memory.held(row.address)
        bench = self.benches_by_name[row.name]
        items = [self._item(job, piece, started_ms) for job, piece in chosen]
        patience_ms = int(max(CALL_PATIENCE * expected_ms, MIN_CALL_PATIENCE_MS))
        fetcher = await curio.spawn(self._note_fetched, chosen, daemon=True)
        failure: TargetFailed | None = None
        replies: list[StageReply] = []
        try:
            replies = await self.host.client.run(row, items, patience_ms)
        except TargetFailed as error:
            failure = error
        except Exception as error:
            # A fault of the program must not leave the target's place taken.
            events.log(events.HANDLER_FAILED, detail=repr(error))
            failure = TargetFailed(repr(error), verdict=Verdict.MAY_HAVE_RUN)
        ended_ms = self.clock.now_ms()
        bench.calls -= 1
        bench.busy_until_ms = ended_ms
        for job, _ in chosen:
            job.running -= 1
        await fetcher.cancel()
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
        )
        self.host.note_call(len(items), ended_ms - started_ms)
        if failure is not None:
            self._note_failure(row, bench, failure, ended_ms)
            for job, piece in chosen:
                self._again(job, piece, failure.verdict is not Verdict.NOT_RUN)
        else:
            self._note_success(bench, len(items), ended_ms - started_ms)
            for (job, piece), reply in zip(chosen, replies, strict=True):
                self._take_reply(row, bench, job, piece, reply)
        await self.host.notify_ended()
        await self.wake.set()

    async def _note_fetched(self, chosen: list[tuple[_Job, int]]) -> None:
        """Tell, some time into a call, that its inputs need not be kept any more."""
        await self.clock.sleep_ms(FETCH_MS)
        for job, piece in chosen:
            job.fetched_pieces.add(piece)
            if not job.fetched and len(job.fetched_pieces) == len(job.message.pieces):
                job.fetched = True
                await job.finished.notify()

    def _item(self, job: _Job, piece: int, now_ms: int) -> StageItem:
        message = job.message
        return StageItem(
            request_id=message.request_id,
            step=message.step,
            piece=piece,
            remaining_ms=max(job.end_at_ms - now_ms, 1),
            key=message.key,
            inputs=message.inputs if message.has_inputs else None,
        )

    def _note_failure(
        self, row: TargetRow, bench: _Bench, failure: TargetFailed, now_ms: int
    ) -> None:
        if failure.verdict is Verdict.NOT_RUN and not isinstance(
            failure, ConnectFailed
        ):
            # It is full, or another target has its address; its row will tell.
            bench.pause_until_ms = now_ms + FULL_PAUSE_MS
            return
        bench.failures += 1
        backoff_ms = FIRST_BACKOFF_MS << min(bench.failures - 1, 6)
        bench.pause_until_ms = now_ms + min(backoff_ms, MAX_BACKOFF_MS)
        self.memory.forget(row.address)

    def _note_success(self, bench: _Bench, pieces: int, took_ms: int) -> None:
        bench.failures = 0
        expected_ms = self.capacity.duration_ms(pieces)
        if expected_ms > 0:
            measured = min(max(took_ms / expected_ms, 1.0), MAX_SLOWNESS)
            bench.slowness += SLOWNESS_WEIGHT * (measured - bench.slowness)

    def _take_reply(
        self, row: TargetRow, bench: _Bench, job: _Job, piece: int, reply: StageReply
    ) -> None:
        now_ms = self.clock.now_ms()
        if reply.handle:
            kept_ms = self.capacity.result_ms
            size = job.message.result_bytes
            self.memory.hold(row.address, reply.handle, size, now_ms + kept_ms)
        if job.state is not JobState.PENDING:
            # The request is over; its result only takes up memory.
            if reply.handle:
                self.free([PieceResult(piece, reply.handle, str(row.address))])
            return
        match reply.outcome:
            case PieceOutcome.DONE:
                bench.refusals = 0
                job.results_by_piece[piece] = PieceResult(
                    piece, reply.handle, str(row.address), row.data_centre
                )
                if len(job.results_by_piece) == len(job.message.pieces):
                    self._end(job, JobState.DONE)
            case PieceOutcome.GONE:
                self._end(job, JobState.GONE, "an input is gone")
            case PieceOutcome.LATE:
                self._end(job, JobState.REFUSED, "the target found it late")
            case PieceOutcome.NO_MEMORY:
                # Refused at its turn, so nothing was run; frees are on their way, or
                # the results of an entry that formed calls before will expire.
                bench.refusals += 1
                pause_ms = FULL_PAUSE_MS << min(bench.refusals - 1, 3)
                bench.pause_until_ms = now_ms + pause_ms
                self._again(job, piece, False)
            case PieceOutcome.ERROR:
                self._again(job, piece, True)

    def _again(self, job: _Job, piece: int, arrived: bool) -> None:
        """Put a piece back, if the budget pays for it to arrive a second time."""
        if job.state is not JobState.PENDING:
            return
        if arrived:
            job.tries += 1
            limit = MAX_TRIES * len(job.message.pieces)
            if job.tries > limit or not self.host.budget.spend(self.service):
                self._end(job, JobState.REFUSED, "no repeat is left for it")
                return
        job.waiting.append(piece)

    # Frees

    async def run_frees(self) -> None:
        """Tell the targets which results are given up."""
        while True:
            await self.frees_wanted.wait()
            await self.clock.sleep_ms(FREE_INTERVAL_MS)
            self.frees_wanted.clear()
            frees, self.free_by_address = self.free_by_address, defaultdict(list)
            for address, handles in frees.items():
                await curio.spawn(self._tell_free, address, handles, daemon=True)

    async def _tell_free(self, address: Address, handles: list[str]) -> None:
        try:
            async with curio.timeout_after(FREE_TIMEOUT_MS / MS_PER_SECOND):
                await self.host.client.free(address, handles)
        except (TargetFailed, curio.TaskTimeout) as error:
            # The target drops them by itself after a while, and they count till then.
            events.log(
                events.RESULT_RELEASE_FAILED, address=str(address), detail=str(error)
            )
            return
        for handle in handles:
            self.memory.release(handle)
        await self.wake.set()


def _move_ms(job: _Job) -> float:
    """Return the wait that is worth as much as running a job in another place."""
    return job.message.moved_bytes / 1e6 * LEAVE_MS_PER_MB


class StageBatcher:
    """The pools whose calls this entry forms.

    Args:
        clock: Clock.
        client: Calls targets.
        targets: Returns the targets of a service.
        capacity: Returns what the text says of a target of a stage service.
        budget: Pays for repeated pieces.
    """

    def __init__(
        self,
        clock: Clock,
        client: StageClient,
        targets: Callable[[str], list[TargetRow]],
        capacity: Callable[[str], StageCapacity],
        budget: RetryBudget,
    ):
        self.clock = clock
        self.client = client
        self.targets = targets
        self.capacity = capacity
        self.budget = budget
        self.pools_by_service: dict[str, _Pool] = {}
        # Jobs whose waiting questions are to be answered.
        self.ended_jobs: list[_Job] = []
        self.calls = 0
        self.pieces = 0
        self.call_ms = 0

    @property
    def has_open_jobs(self) -> bool:
        """Whether pieces wait or are in calls here."""
        return any(pool.open_by_key for pool in self.pools_by_service.values())

    async def notify_ended(self) -> None:
        """Answer those who wait for jobs that have ended; send the frees that wait."""
        jobs, self.ended_jobs = self.ended_jobs, []
        for job in jobs:
            await job.finished.notify()
        for pool in self.pools_by_service.values():
            if pool.free_by_address:
                await pool.frees_wanted.set()

    def note_call(self, pieces: int, took_ms: int) -> None:
        """Count a call."""
        self.calls += 1
        self.pieces += pieces
        self.call_ms += took_ms

    async def pool(self, service: str) -> _Pool:
        """Return the pool of a service, started if it is new."""
        pool = self.pools_by_service.get(service)
        if pool is None:
            pool = self.pools_by_service[service] = _Pool(self, service)
            await curio.spawn(pool.run, daemon=True)
            await curio.spawn(pool.run_frees, daemon=True)
        return pool

    async def handle(
        self, message: RunPieces | CancelPieces | FreeResults
    ) -> PiecesState | PiecesDropped:
        """Answer one message of an entry."""
        pool = await self.pool(message.service)
        match message:
            case CancelPieces():
                count = pool.cancel(message.request_id)
            case FreeResults():
                pool.free(message.results)
                count = len(message.results)
            case RunPieces():
                return await self._run_pieces(pool, message)
        await self.notify_ended()
        return PiecesDropped(count)

    async def _run_pieces(self, pool: _Pool, message: RunPieces) -> PiecesState:
        job, changed = pool.add(message)
        # An announcement starts no call, but the first one starts the reviews.
        if changed and (job.ready or len(pool.open_by_key) == 1):
            await pool.wake.set()
        if message.reserve:
            return self._state(pool, job, job.queue_ms)
        give_up_ms = self.clock.now_ms() + message.wait_ms
        while job.state is JobState.PENDING:
            if job.fetched and not message.seen_fetched:
                return PiecesState(JobState.FETCHED)
            wait_ms = give_up_ms - self.clock.now_ms()
            if wait_ms <= 0:
                break
            await curio.ignore_after(wait_ms / MS_PER_SECOND, job.finished.wait)
        if job.state in (JobState.PENDING, JobState.DONE):
            return self._state(pool, job, 0)
        return self._state(pool, job, pool.queue_ms())

    @staticmethod
    def _state(pool: _Pool, job: _Job, queue_ms: int | None) -> PiecesState:
        """Return the answer that tells what has become of a job."""
        results = ()
        if job.state is JobState.DONE:
            pieces = sorted(job.message.pieces)
            results = tuple(job.results_by_piece[n] for n in pieces)
        return PiecesState(
            state=job.state,
            results=results,
            queue_ms=NO_TARGET_QUEUE_MS if queue_ms is None else queue_ms,
            detail=job.detail,
        )
