"""Emulated targets in virtual time: queues, batches, prefix caches."""

import heapq
import itertools
import json
import random
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable
from typing import Any

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.target import Attempt, StageAnswer, Token
from wagtailrun.targets.affinity import CacheEvents, prefix_hashes
from wagtailrun.targets.table import TargetRow

__all__ = ["CHARACTERS_PER_TOKEN", "EmulatedTarget", "Job", "TargetModel"]

# Prompt tokens that an engine prefills in one step in addition to decoding.
PREFILL_TOKENS_PER_STEP = 256
CHARACTERS_PER_TOKEN = 4


@attrs.frozen
class TargetModel:
    """Speed and size of one emulated target.

    Attributes:
        capacity: Requests that run at once.
        decode_ms: Duration of one step without prefill; 0 for a target that does not
            generate.
        prefill_us: Prefill time of one prompt token that is not cached, in
            microseconds.
        service_ms: Mean duration of a call to a target that does not generate.
        cache_blocks: Capacity of its prefix cache in blocks.
    """

    capacity: int = 8
    decode_ms: float = 0.0
    prefill_us: float = 0.0
    service_ms: float = 0.0
    cache_blocks: int = 0


@attrs.define(eq=False)
class Job:
    """An attempt at a target.

    Attributes:
        attempt: The attempt.
        entry: Name of the entry that sent it.
        items: Tokens, the answer or an error for the client.
        body: Parsed body of the request.
        prefill_tokens_left: Prompt tokens to prefill before decoding.
        offset: Number of the next token.
        total: Number of tokens of the complete answer.
        tokens_in: Tokens of the prompt.
        cached: Tokens of the prompt that were in the prefix cache.
        engine_ms: Processing time so far.
        cancelled: Whether the job was removed.
    """

    attempt: Attempt
    entry: str
    items: curio.Queue
    body: dict[str, Any]
    prefill_tokens_left: int = 0
    offset: int = 0
    total: int = 0
    tokens_in: int = 0
    cached: int = 0
    engine_ms: float = 0.0
    cancelled: bool = False


class Pause:
    """Whether a process stands still, and how long it did so far."""

    def __init__(self) -> None:
        self.since_ms: int | None = None
        self.total_ms = 0
        self.ended = curio.Event()

    def begin(self, now_ms: int) -> None:
        """Stand still from now on."""
        self.since_ms = now_ms
        self.ended.clear()

    async def end(self, now_ms: int) -> None:
        """Go on; does nothing without a pause."""
        if self.since_ms is not None:
            self.total_ms += now_ms - self.since_ms
            self.since_ms = None
            await self.ended.set()

    def until(self, now_ms: float) -> float:
        """Return how long the process stood still until now, in milliseconds."""
        since_ms = now_ms if self.since_ms is None else self.since_ms
        return self.total_ms + max(now_ms - since_ms, 0)

    async def wait_for_end(self) -> None:
        """Wait until the process goes on."""
        while self.since_ms is not None:
            await self.ended.wait()


class EmulatedTarget:
    """One target with a priority queue, served by a continuous batch or by slots.

    Args:
        row: Membership row; ``announce`` returns its successors.
        model: Speed and size.
        seed: Seed of service times.
    """

    def __init__(self, row: TargetRow, model: TargetModel, seed: int):
        self.row = row
        self.model = model
        self.random = random.Random(seed)
        self.slowdown_factor = 1.0
        self.alive = True
        self.vanished = False
        self.pause = Pause()
        # Tokens that the target wrongly repeats when it resumes a stream.
        self.repeated_tokens_on_resume = 0
        self.wake = curio.Event()
        self.arrival_numbers = itertools.count()
        self.waiting: list[tuple[int, int, Job]] = []
        self.running: list[Job] = []
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.cache_log: list[str] = []
        self.cache_events = 0
        self.runs_by_key: Counter[str] = Counter()
        self.engine_ms_by_attempt: defaultdict[tuple[str, str, int], float]
        self.engine_ms_by_attempt = defaultdict(float)
        self.tokens_by_request: Counter[str] = Counter()
        self.mismatched_results = 0
        self.tokens_in = 0
        self.tokens_cached = 0

    @property
    def announces(self) -> bool:
        """Whether the target is in a state to report its load."""
        return self.alive and not self.vanished and self.pause.since_ms is None

    def submit(self, attempt: Attempt, entry: str) -> Job:
        """Queue an attempt and return its job."""
        body = json.loads(attempt.body) if attempt.body else {}
        job = Job(attempt, entry, curio.Queue(), body)
        if self.model.decode_ms:
            self._prepare_generate(job)
        heapq.heappush(
            self.waiting, (-attempt.priority, next(self.arrival_numbers), job)
        )
        return job

    def _prepare_generate(self, job: Job) -> None:
        values = job.body.get("input", job.body)
        prompt = str(values.get("prompt", ""))
        for stage in ("encode", "retrieve", "rerank"):
            earlier = job.body.get(stage)
            if earlier and earlier["request"] != job.attempt.request_id:
                self.mismatched_results += 1
        job.tokens_in = len(prompt) // CHARACTERS_PER_TOKEN
        job.total = int(values.get("max_tokens", 16))
        job.offset = max(job.attempt.resume_offset - self.repeated_tokens_on_resume, 0)
        job.prefill_tokens_left = job.tokens_in

    def _use_cache(self, job: Job) -> None:
        """Skip the prefill of cached prefix blocks and cache the other blocks."""
        if not self.model.cache_blocks:
            return
        values = job.body.get("input", job.body)
        hashes = prefix_hashes(str(values.get("prompt", "")))
        hits = 0
        for value in hashes:
            if value not in self.cache:
                break
            hits += 1
        tokens_per_block = job.tokens_in // max(len(hashes), 1)
        job.cached = hits * tokens_per_block
        job.prefill_tokens_left -= job.cached
        self.tokens_in += job.tokens_in
        self.tokens_cached += job.cached
        for value in hashes:
            if value not in self.cache:
                self.cache_log.append(f"{value:x}")
            self.cache[value] = None
            self.cache.move_to_end(value)
        while len(self.cache) > self.model.cache_blocks:
            evicted, _ = self.cache.popitem(last=False)
            self.cache_log.append(f"-{evicted:x}")

    async def run(self) -> None:
        """Run jobs until cancelled."""
        while True:
            self._start_jobs()
            if not self.running or not self.model.decode_ms:
                self.wake.clear()
                await self.wake.wait()
            else:
                await self._step()

    def _start_jobs(self) -> None:
        while self.waiting and len(self.running) < self.model.capacity:
            job = heapq.heappop(self.waiting)[2]
            if not job.cancelled:
                self.running.append(job)
                if self.model.decode_ms:
                    self._use_cache(job)

    async def start_calls(self) -> None:
        """Start queued calls; for a target that generates, ``run`` starts jobs."""
        if self.model.decode_ms:
            return
        before = set(map(id, self.running))
        self._start_jobs()
        for job in self.running:
            if id(job) not in before:
                await curio.spawn(self._serve_call, job, daemon=True)

    async def _serve_call(self, job: Job) -> None:
        spread = 0.7 + 0.6 * self.random.random()
        duration_ms = self.model.service_ms * spread * self.slowdown_factor
        key = job.body.get("order_key")
        await self.pause.wait_for_end()
        if key and not job.cancelled:
            self.runs_by_key[key] += 1
        await self._work(duration_ms)
        self._add_engine_time(job, duration_ms)
        if job in self.running:
            self.running.remove(job)
            if not job.cancelled:
                await job.items.put(self._make_answer(job, duration_ms))
        await self.start_calls()

    async def _step(self) -> None:
        """Run one step of the continuous batch."""
        budget = PREFILL_TOKENS_PER_STEP
        decoding = []
        for job in self.running:
            if job.prefill_tokens_left > 0:
                taken = min(budget, job.prefill_tokens_left)
                budget -= taken
                job.prefill_tokens_left -= taken
                self._add_engine_time(
                    job, taken * self.model.prefill_us / 1_000 * self.slowdown_factor
                )
            if job.prefill_tokens_left <= 0:
                decoding.append(job)
        prefill_ms = (PREFILL_TOKENS_PER_STEP - budget) * self.model.prefill_us / 1_000
        step_ms = (self.model.decode_ms + prefill_ms) * self.slowdown_factor
        await self._work(step_ms)
        part_ms = (
            self.model.decode_ms * self.slowdown_factor / max(len(self.running), 1)
        )
        for job in list(self.running):
            self._add_engine_time(job, part_ms)
        for job in decoding:
            if job.cancelled or job not in self.running:
                continue
            await self._emit_token(job)

    async def _work(self, duration_ms: float) -> None:
        """Wait until ``duration_ms`` of processing are over; a pause adds to them."""
        await self.pause.wait_for_end()
        left_ms = duration_ms
        while left_ms > 0:
            paused_ms = self.pause.total_ms
            await curio.sleep(left_ms / MS_PER_SECOND)
            now_ms = await curio.clock() * MS_PER_SECOND
            left_ms = self.pause.until(now_ms) - paused_ms
            await self.pause.wait_for_end()

    async def _emit_token(self, job: Job) -> None:
        request = job.attempt.request_id
        if job.offset < job.total:
            self.tokens_by_request[request] += 1
            await job.items.put(Token(job.offset, f"{request}:{job.offset} "))
            job.offset += 1
        if job.offset >= job.total:
            self.running.remove(job)
            answer = self._make_answer(job, job.engine_ms)
            await job.items.put(Token(job.total, "", last=True, answer=answer))

    def _add_engine_time(self, job: Job, duration_ms: float) -> None:
        job.engine_ms += duration_ms
        stage = job.attempt.path.rpartition("/")[2]
        key = (job.attempt.request_id, stage, job.attempt.number)
        self.engine_ms_by_attempt[key] += duration_ms

    def _make_answer(self, job: Job, engine_ms: float) -> StageAnswer:
        body = {"request": job.attempt.request_id}
        return StageAnswer(
            status=200,
            body=json.dumps(body).encode(),
            tokens_in=job.tokens_in,
            tokens_cached=job.cached,
            engine_ms=int(engine_ms),
            running=len(self.running),
            queued=len(self.waiting),
        )

    def remove_jobs(self, matches: Callable[[Job], bool]) -> list[Job]:
        """Cancel the matching jobs, queued or running, and return them."""
        removed = [job for job in self.running if matches(job)]
        removed += [item[2] for item in self.waiting if matches(item[2])]
        for job in removed:
            job.cancelled = True
        self.running = [job for job in self.running if not job.cancelled]
        self.waiting = [item for item in self.waiting if not item[2].cancelled]
        heapq.heapify(self.waiting)
        return removed

    async def die(self) -> None:
        """Crash: lose all state in memory and reset all connections."""
        self.alive = False
        self.cache.clear()
        self.cache_log.clear()
        self.cache_events = 0
        for job in self.remove_jobs(lambda job: True):
            await job.items.put(TargetFailed("connection reset"))

    def restart(self) -> None:
        """Start again as a new incarnation."""
        self.alive, self.vanished = True, False
        self.row = attrs.evolve(
            self.row, incarnation=self.row.incarnation + 1, sequence=0
        )

    def announce(self) -> tuple[TargetRow, CacheEvents | None]:
        """Return the next membership row and the cache events since the last one."""
        self.row = attrs.evolve(
            self.row,
            sequence=self.row.sequence + 1,
            running=len(self.running),
            queued=len(self.waiting),
        )
        events = None
        if self.cache_log:
            first = self.cache_events + 1
            self.cache_events += len(self.cache_log)
            changes = tuple(self.cache_log)
            self.cache_log.clear()
            events = CacheEvents(first, self.cache_events, changes)
        return self.row, events
