"""Streams of relayed requests: whole events, resumed inside one answer."""

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

import attrs
import curio

from wagtailrun.adapters.http_server import Response
from wagtailrun.exceptions import (
    Refusal,
    RefusalReason,
    ResponseAborted,
    TargetFailed,
    Verdict,
)
from wagtailrun.relay.attempts import Attempt, RelayAttempts
from wagtailrun.relay.events_split import EventSplitter, StreamEvent
from wagtailrun.relay.job import RelayJob
from wagtailrun.relay.placement_messages import RunOutcome
from wagtailrun.relay.port import AnswerHead
from wagtailrun.stages import StageResults, StageRunner

__all__ = ["RelayStreams"]

# A resumable stream that is silent for this many of its longest good pauses goes on
# elsewhere; callers wait for eight of them.
SILENT_GAPS = 4
MIN_SILENCE_MS = 800
# The first event waits for prefill behind others, which is no silence.
FIRST_SILENCE_OF_AIM = 1.5
DEFAULT_FIRST_SILENCE_MS = 3_000
# Fetching 10 MB over the users' links of 10 Gbit/s takes 8 ms, and a connection a few.
FETCH_MS = 120

Refuse = Callable[[RelayJob, Refusal], Response]
Ended = Callable[[RelayJob, str, int], None]


class RelayStreams:
    """Passes streams on.

    Args:
        attempts: Sends requests to targets.
        runner: Gives up the results of stages, or makes them anew.
    """

    def __init__(self, attempts: RelayAttempts, runner: StageRunner):
        self.attempts = attempts
        self.clock = attempts.clock
        self.runner = runner

    async def serve(self, job: RelayJob, refuse: Refuse, ended: Ended) -> Response:
        """Return the answer to a request whose stages are done.

        Args:
            job: Request.
            refuse: Makes the answer that tells of a refusal.
            ended: Is told how a stream ended.
        """
        items = self._items(job)
        first = await anext(items)
        if isinstance(first, Refusal):
            await items.aclose()
            return refuse(job, first)
        if isinstance(first, Response):
            await items.aclose()
            ended(job, "answered", first.status)
            return first
        job.streaming = True
        body = _StreamBody(job, items, ended, first.status, self.runner)
        return Response(first.status, body, first.headers)

    async def _items(
        self, job: RelayJob
    ) -> AsyncIterator[AnswerHead | Response | Refusal | bytes]:
        """Yield the head of the answer, then its events.

        The first item may be a whole answer or a refusal instead; nothing follows it.

        Raises:
            ResponseAborted: If a stream that has begun cannot be completed.
        """
        state = _StreamState(job.request.last_event_id)
        while True:
            row = await self.attempts.next_target(job)
            if isinstance(row, Refusal):
                yield self._give_up(state, row)
                return
            refusal = None
            try:
                resume_id = state.last_id if state.begun else None
                await self._free_fetched(job)
                async with self.attempts.open(job, row, resume_id) as attempt:
                    if not self.attempts.is_good(attempt.head):
                        refusal = await self._bad_answer(job, attempt)
                        if isinstance(refusal, Response):
                            yield self._give_up(state, refusal)
                            return
                    else:
                        if not state.begun:
                            state.begun = True
                            yield attempt.head
                        async with aclosing(self._events(job, attempt, state)) as data:
                            async for piece in data:
                                yield piece
                        return
            except TargetFailed as error:
                refusal = await self.attempts.after_failure(job, row, error)
            if refusal is not None:
                yield self._give_up(state, refusal)
                return

    async def _free_fetched(self, job: RelayJob) -> None:
        """Give up the results of the stages once the target must have fetched them.

        They take up memory that the stages of other requests wait for. A target
        fetches them before it reads the prompt, long before its first event.
        """
        if job.results.unreleased_steps:
            await curio.spawn(self._free_later, job, job.results, daemon=True)

    async def _free_later(self, job: RelayJob, results: StageResults) -> None:
        await self.clock.sleep_ms(FETCH_MS)
        await self.runner.release_all(job.work, results)

    def _give_up(
        self, state: "_StreamState", last: Refusal | Response
    ) -> Refusal | Response:
        """Return what is told to a caller that has nothing of the stream yet."""
        if state.begun:
            raise ResponseAborted("the stream cannot be completed")
        return last

    async def _bad_answer(
        self, job: RelayJob, attempt: Attempt
    ) -> Refusal | Response | None:
        """Return how a request ends with an answer that is no stream, or None."""
        head = attempt.head
        body = await attempt.stream.read_all(self.attempts.remaining_ms(job))
        refusal = await self.attempts.after_bad_answer(job, attempt)
        if refusal is None and head.inputs_gone:
            return await self._stage_again(job)
        if refusal is not None and head.genuine and not head.not_run:
            return Response(head.status, body, head.headers)
        return refusal

    async def _stage_again(self, job: RelayJob) -> Refusal | None:
        """Make the results of the stages anew, after the target found them gone."""
        if job.work is None:
            return Refusal(RefusalReason.TARGET_FAILED, Verdict.NOT_RUN, job.detail)
        await job.restart_stages(self.runner)
        job.work = attrs.evolve(job.work, round=job.work.round + 1)
        return await self.runner.run(job.work, job.data_centre, job.results)

    async def _events(
        self, job: RelayJob, attempt: Attempt, state: "_StreamState"
    ) -> AsyncIterator[bytes]:
        """Yield the events of one attempt that the caller does not have yet.

        Raises:
            TargetFailed: If the stream broke off or went silent.
        """
        splitter = EventSplitter()
        while True:
            piece = await self._read(job, attempt, state)
            if not piece:
                if splitter.buffer:
                    detail = "the stream ended within an event"
                    raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)
                return
            found = [event for event in splitter.feed(piece) if state.is_new(event)]
            if not found:
                continue
            if not job.first_ms:
                await self._first_event(job, attempt)
            state.has_events = True
            yield b"".join(event.data for event in found)

    async def _first_event(self, job: RelayJob, attempt: Attempt) -> None:
        job.first_ms = self.clock.now_ms()
        took_ms = job.first_ms - attempt.started_ms
        await self.attempts.over(
            job, attempt.row, RunOutcome.SUCCEEDED, took_ms, attempt.head.load
        )
        # The target has fetched the results once it generates.
        await self.runner.release_all(job.work, job.results)

    async def _read(
        self, job: RelayJob, attempt: Attempt, state: "_StreamState"
    ) -> bytes:
        rest_ms = self.attempts.remaining_ms(job)
        if not job.may_run_again:
            return await attempt.stream.read(rest_ms)
        aim_ms = job.aim_at_ms - job.arrived_ms
        silence_ms = max(int(aim_ms * FIRST_SILENCE_OF_AIM), DEFAULT_FIRST_SILENCE_MS)
        if state.has_events:
            silence_ms = max(job.route.gap_ms * SILENT_GAPS, MIN_SILENCE_MS)
        return await attempt.stream.read(min(silence_ms, rest_ms))


class _StreamBody(AsyncIterator[bytes]):
    """Events of an answer whose head was passed on.

    A class, because closing an async generator that was never started runs none of
    its clean-up, and a caller may leave before it takes the first event.
    """

    def __init__(
        self,
        job: RelayJob,
        items: AsyncIterator[AnswerHead | Response | Refusal | bytes],
        ended: Ended,
        status: int,
        runner: StageRunner,
    ):
        self.job = job
        self.items = items
        self.ended = ended
        self.status = status
        self.runner = runner
        self.outcome = "abandoned"
        self.closed = False

    async def __anext__(self) -> bytes:
        """Return the next events."""
        try:
            return await anext(self.items)
        except StopAsyncIteration:
            self.outcome = "answered"
            raise
        except ResponseAborted:
            self.outcome = "broken"
            raise

    async def aclose(self) -> None:
        """Break off what is under way, and note the end."""
        if self.closed:
            return
        self.closed = True
        self.ended(self.job, self.outcome, self.status)
        await self.items.aclose()
        await self.runner.release_all(self.job.work, self.job.results)


class _StreamState:
    """What the caller has of a stream.

    Attributes:
        last_id: Number of the newest event that was passed on.
        begun: Whether the head was passed on.
        has_events: Whether an event was passed on.
    """

    def __init__(self, last_id: int | None):
        self.last_id = last_id
        self.begun = False
        self.has_events = False

    def is_new(self, event: StreamEvent) -> bool:
        """Note an event; return False for one that the caller has already."""
        if event.number is None:
            return True
        if self.last_id is not None and event.number <= self.last_id:
            return False
        self.last_id = event.number
        return True
