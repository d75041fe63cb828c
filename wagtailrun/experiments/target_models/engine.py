"""Model of an engine: chunked prefill, continuous batching, memory, prefix cache."""

import heapq
import itertools
from collections.abc import Sequence

import attrs

from wagtailrun.experiments.target_models.base import Load, ModelTarget, RefusalCause
from wagtailrun.experiments.target_models.parameters import EngineParameters
from wagtailrun.experiments.target_models.prefix_cache import PrefixCache

__all__ = ["EngineModel", "EngineRequest", "PromptPart", "StreamEvent"]


@attrs.frozen
class PromptPart:
    """Part of a prompt; equal names stand for equal texts."""

    name: str
    tokens: int


@attrs.frozen
class EngineRequest:
    """Request for a stream.

    Attributes:
        request: Identifier; no other request at the engine has it.
        parts: Parts of the prompt, in order.
        output_tokens: Tokens, and so events, of the whole answer; at least one.
        first_event: Number of the first event to send, from 0. The tokens before it
            are read like those of the prompt.
        priority: Larger ones start first.
    """

    request: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    first_event: int = 0
    priority: int = 0

    def __attrs_post_init__(self) -> None:
        """Check the numbers.

        Raises:
            ValueError: If there is no event to send.
        """
        if not 0 <= self.first_event < self.output_tokens:
            detail = f"first event {self.first_event} of {self.output_tokens}"
            raise ValueError(f"{self.request}: {detail}; ask for an event that follows")

    @property
    def tokens(self) -> int:
        """Tokens of prompt and answer, which its memory is reserved for."""
        return sum(part.tokens for part in self.parts) + self.output_tokens


@attrs.frozen
class StreamEvent:
    """One event of a stream, which has one token.

    Attributes:
        request: Identifier of the request.
        number: Number of the event, from 0.
        at_ms: When it was sent.
        is_last: Whether the stream ends with it.
        cached_tokens: Tokens of the prompt that were in the prefix cache.
    """

    request: str
    number: int
    at_ms: float
    is_last: bool
    cached_tokens: int


@attrs.define(eq=False)
class _Job:
    """A request in the batch.

    Attributes:
        request: The request.
        names: Names of its parts.
        kept: Leading parts in the cache that it uses.
        cached_tokens: Tokens of those that were there when it started.
        own_tokens: Tokens in memory that belong to no part in the cache.
        unread: Tokens to read of each part that was not cached, and of the events
            before the first one that is sent, in order.
        reading: Tokens that the present step reads.
        next_event: Number of the next event.
    """

    request: EngineRequest
    names: list[str]
    kept: int
    cached_tokens: int
    own_tokens: int
    unread: list[int]
    reading: int
    next_event: int


class EngineModel(ModelTarget[StreamEvent]):
    """An engine with continuous batching.

    A step reads up to ``chunk_tokens`` of the prompts in the batch, in their order, and
    decodes one token of each stream whose prompt was read before. The first token of a
    stream is decoded by the step that ends its prompt. Memory for prompt and answer is
    reserved when a request enters the batch; parts of prompts stay in memory after
    their last use until others need it.

    Args:
        parameters: Speed and size.
    """

    def __init__(self, parameters: EngineParameters):
        super().__init__(parameters.report_lag_ms)
        self.parameters = parameters
        self.cache = PrefixCache()
        self.batch: dict[str, _Job] = {}
        self.waiting: list[tuple[int, int, EngineRequest]] = []
        self.own_tokens = 0
        # Prompt tokens read, and found in the cache, since it was made.
        self.read_tokens = 0
        self.cached_tokens = 0
        # Work since the start of the process, in milliseconds at the usual speed.
        self.warm_ms = 0.0
        self._steps = False
        self._arrivals = itertools.count()

    @property
    def cold_factor(self) -> float:
        """How many times slower it is now than once it is warm."""
        parameters = self.parameters
        if self.warm_ms >= parameters.warm_up_ms:
            return 1.0
        left = 1.0 - self.warm_ms / parameters.warm_up_ms
        return 1.0 + (parameters.cold_factor - 1.0) * left

    @property
    def used_tokens(self) -> int:
        """Tokens in its memory, those of parts that no request uses included."""
        return self.own_tokens + self.cache.tokens

    def submit(self, request: EngineRequest, now_ms: float) -> RefusalCause | None:
        """Begin a request with the next step, or let it wait; return why it may not."""
        self._run_until(now_ms)
        parameters = self.parameters
        if not self.is_alive:
            return RefusalCause.DOWN
        if request.tokens > parameters.memory_tokens:
            return RefusalCause.TOO_LARGE
        present = len(self.batch) + len(self.waiting)
        if present >= parameters.slots + parameters.max_waiting:
            return RefusalCause.FULL
        self._check_new(request.request)
        entry = -request.priority, next(self._arrivals), request
        heapq.heappush(self.waiting, entry)
        self._start()
        self._note_load()
        return None

    def cancel(self, request: str, now_ms: float) -> None:
        """End a request; does nothing if it is not there."""
        self._run_until(now_ms)
        self.waiting = [each for each in self.waiting if each[2].request != request]
        heapq.heapify(self.waiting)
        if request in self.batch:
            self._leave(self.batch[request])
        self._note_load()

    def _requests(self) -> list[str]:
        return [*self.batch, *(each[2].request for each in sorted(self.waiting))]

    def _start(self) -> None:
        """Begin a step, unless one runs or there is nothing to do."""
        if self._steps or self.is_paused:
            return
        self._fill_batch()
        if not self.batch:
            return
        parameters = self.parameters
        left, decoding = parameters.chunk_tokens, 0
        for job in self.batch.values():
            job.reading = min(left, sum(job.unread))
            left -= job.reading
            decoding += not job.unread
        step_ms = (parameters.chunk_tokens - left) / parameters.prefill_tokens_per_ms
        if decoding:
            step_ms += parameters.step_ms + parameters.stream_step_ms * decoding
        duration_ms = step_ms * self.cold_factor * self.pace
        self.warm_ms += step_ms
        self.busy_ms += duration_ms
        self._steps = True
        self._schedule(duration_ms, list(self.batch.values()))

    def _fill_batch(self) -> None:
        """Move requests into the batch while there are slots and memory."""
        while self.waiting and len(self.batch) < self.parameters.slots:
            request = self.waiting[0][2]
            job = self._reserve(request)
            if job is None:
                return
            heapq.heappop(self.waiting)
            self.batch[request.request] = job

    def _reserve(self, request: EngineRequest) -> _Job | None:
        """Return a request with memory for it, or None if there is too little."""
        names = [part.name for part in request.parts]
        hits = self.cache.hits(names)
        cached = sum(part.tokens for part in request.parts[:hits])
        needed = request.tokens - cached
        # Its own parts are in use before others are evicted.
        self.cache.use(names[:hits])
        missing = needed - (self.parameters.memory_tokens - self.used_tokens)
        if missing > self.cache.idle_tokens:
            self.cache.end_use(names[:hits])
            return None
        self.cache.evict(missing)
        self.own_tokens += needed
        self.cached_tokens += cached
        unread = [part.tokens for part in request.parts[hits:]]
        if request.first_event:
            unread.append(request.first_event)
        first = request.first_event
        return _Job(request, names, hits, cached, needed, unread, 0, first)

    def _end(self, jobs: Sequence[_Job]) -> None:
        """End a step."""
        self._steps = False
        for job in jobs:
            if self.batch.get(job.request.request) is not job:
                # It was cancelled within the step.
                continue
            was_read = not job.unread
            if not was_read and self._read(job):
                self._crash()
                return
            if was_read or not job.unread:
                self._send(job)
        self._start()

    def _read(self, job: _Job) -> bool:
        """Read what the step was planned to; return whether that ends the process."""
        left = job.reading
        self.read_tokens += left
        while job.unread and (left or not job.unread[0]):
            is_part = job.kept < len(job.names)
            if is_part and job.names[job.kept] in self.parameters.crash_parts:
                return True
            taken = min(left, job.unread[0])
            left -= taken
            job.unread[0] -= taken
            if job.unread[0]:
                break
            job.unread.pop(0)
            if is_part:
                self._keep_part(job)
        return False

    def _keep_part(self, job: _Job) -> None:
        """Put the part that was just read into the cache."""
        tokens = job.request.parts[job.kept].tokens
        job.kept += 1
        # If another request has read it meanwhile, they share it from now on.
        self.cache.add(job.names[: job.kept], tokens)
        job.own_tokens -= tokens
        self.own_tokens -= tokens

    def _send(self, job: _Job) -> None:
        request, number = job.request, job.next_event
        job.next_event += 1
        is_last = job.next_event == request.output_tokens
        self._emit(
            StreamEvent(
                request.request, number, self._now_ms, is_last, job.cached_tokens
            )
        )
        if is_last:
            self._leave(job)

    def _leave(self, job: _Job) -> None:
        """Take a request out of the batch; its parts stay in the cache."""
        del self.batch[job.request.request]
        self.own_tokens -= job.own_tokens
        self.cache.end_use(job.names[: job.kept])

    def _drop_all(self) -> None:
        self.batch.clear()
        self.waiting.clear()
        self.cache.clear()
        self.own_tokens = 0
        self.warm_ms = 0.0
        self._steps = False

    def _present_load(self) -> Load:
        running, waiting = len(self.batch), len(self.waiting)
        return Load(running, waiting, self.parameters.slots, self.used_tokens)
