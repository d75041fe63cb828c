"""Streams of relayed requests: complete events, resumed within one answer."""

import functools
from collections.abc import AsyncGenerator, Callable, Iterator
from contextlib import aclosing
from typing import cast

import attrs
import curio

from wagtailrun.adapters.http_client import MAX_SKIPPED_BYTES
from wagtailrun.adapters.http_messages import BodyStream
from wagtailrun.adapters.http_server import Response
from wagtailrun.discovery import OriginClient, StreamOrigin
from wagtailrun.discovery.stream_origins import stream_key
from wagtailrun.exceptions import (
    Refusal,
    RefusalReason,
    ResponseAborted,
    TargetFailed,
    Verdict,
    VersionMismatch,
)
from wagtailrun.logs import events
from wagtailrun.process.fairness import Turns
from wagtailrun.process.memory_budget import Kind
from wagtailrun.relay.core.job import RelayJob
from wagtailrun.relay.core.port import AnswerHead, AnswerProgress
from wagtailrun.relay.placement.continuation import Continuation, ContinuationChecker
from wagtailrun.relay.requests.attempts import Attempt, RelayAttempts
from wagtailrun.relay.requests.events_split import (
    MAX_EVENT_BYTES,
    EventSplitter,
    StreamEvent,
)
from wagtailrun.stages import StageResults, StageRunner

__all__ = ["RelayStreams"]

# A resumable stream without an event for this multiple of the largest gap that callers
# of the route accept is resumed at another target; callers give up after eight gaps.
STALL_TIMEOUT_GAPS = 4
MIN_STALL_TIMEOUT_MS = 800
# The first event may have to wait for the prefill of other prompts, so its timeout is a
# multiple of the latency objective instead.
FIRST_EVENT_TIMEOUT_PER_OBJECTIVE = 1.5
MIN_FIRST_EVENT_TIMEOUT_MS = 3_000
# Time in which a target fetches results: 10 MB take 8 ms over the users' links of
# 10 Gbit/s, and opening a connection takes a few milliseconds.
RESULT_FETCH_MS = 120
# Time limit for the body of an answer that is not passed on.
UNUSED_BODY_TIMEOUT_MS = 250
# Bytes that a stream may have between two new events: a large event, and as much of
# comments that keep the connection alive, or of events that the caller already has.
MAX_BYTES_WITHOUT_EVENT = 2 * MAX_EVENT_BYTES

RefuseCallback = Callable[[RelayJob, Refusal], Response]
EndedCallback = Callable[[RelayJob, str, int], None]


class RelayStreams:
    """Relays streams from targets to callers.

    Args:
        attempts: Sends requests to targets.
        runner: Releases the results of stages, or runs stages again.
        origins: Records where streams began.
        checker: Checks the targets that continue streams.
    """

    def __init__(
        self,
        attempts: RelayAttempts,
        runner: StageRunner,
        origins: OriginClient,
        checker: ContinuationChecker,
    ):
        self.attempts = attempts
        self.origins = origins
        self.checker = checker
        self.clock = attempts.clock
        self.runner = runner

    async def serve(
        self, job: RelayJob, refuse: RefuseCallback, ended: EndedCallback
    ) -> Response:
        """Return the answer to a request whose stages are complete.

        Args:
            job: Request.
            refuse: Returns the answer for a refusal.
            ended: Called with the outcome and the status at the end of the request.
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
        head = cast(AnswerHead, first)
        job.streaming = True
        body = _StreamBody(job, items, ended, head.status, self.runner)
        return Response(head.status, body, head.headers)

    async def _items(
        self, job: RelayJob
    ) -> AsyncGenerator[AnswerHead | Response | Refusal | bytes, None]:
        """Yield the head of the answer, then its events.

        Instead, the only item may be a complete answer or a refusal.

        Raises:
            ResponseAborted: If a stream whose head was sent cannot be completed.
        """
        state = _StreamState(job.request.last_event_id)
        while True:
            lost = await self._restore_results(job)
            row = lost or await self.attempts.selection.next_target(job)
            if isinstance(row, Refusal):
                yield self._end_without_stream(job, state, row)
                return
            refusal = None
            sent = _SentAttempt()
            try:
                resume_id = state.last_sent_id if state.head_sent else None
                left_ms = self.attempts.remaining_ms(job)
                may_wait = functools.partial(self._may_wait, job)
                continuation = self.checker.prepare(job.origin, row, left_ms, may_wait)
                on_sent = functools.partial(self._handle_sent, job, continuation, sent)
                waits_ms = self._head_waits_ms(job, state)
                async with self.attempts.open(
                    job, row, resume_id, on_sent, waits_ms
                ) as attempt:
                    if not self.attempts.is_success(attempt.head):
                        sent.has_failed = True
                        refusal = await self._handle_error_answer(job, attempt)
                        if isinstance(refusal, Response):
                            yield self._end_without_stream(job, state, refusal)
                            return
                    else:
                        if not state.head_sent:
                            state.head_sent = True
                            state.content_type = attempt.head.content_type
                            yield attempt.head
                        elif attempt.head.content_type != state.content_type:
                            raise TargetFailed(
                                f"the rest has the type {attempt.head.content_type!r} "
                                f"instead of {state.content_type!r}"
                            )
                        items = self._events(job, attempt, state, continuation)
                        async with aclosing(items) as data:
                            async for chunk in data:
                                yield chunk
                        self.attempts.answered.record(job.digest)
                        return
            except TargetFailed as error:
                sent.has_failed = True
                refusal = await self.attempts.handle_failure(job, row, error)
            if refusal is not None:
                yield self._end_without_stream(job, state, refusal)
                return

    async def _handle_sent(
        self, job: RelayJob, continuation: Continuation | None, sent: "_SentAttempt"
    ) -> None:
        """Check the target, and release the results of the stages once it has them.

        Results occupy memory that the stages of other requests wait for. A target
        fetches them before prefill, long before its first event.
        """
        if continuation is not None:
            await continuation.start()
        if job.results.unreleased_steps:
            await curio.spawn(
                self._release_after_fetch, job, job.results, sent, daemon=True
            )

    async def _release_after_fetch(
        self, job: RelayJob, results: StageResults, sent: "_SentAttempt"
    ) -> None:
        """Release results that the target of an attempt has fetched.

        If the attempt has failed by then, the next target needs them.
        """
        await self.clock.sleep_ms(RESULT_FETCH_MS)
        if not sent.has_failed:
            await self.runner.release_all(job.work, results)

    def _end_without_stream(
        self, job: RelayJob, state: "_StreamState", last: Refusal | Response
    ) -> Refusal | Response:
        """Return the answer to a caller that has received nothing of the stream.

        Raises:
            ResponseAborted: If the head was already sent.
        """
        if state.head_sent:
            if isinstance(last, Refusal):
                job.detail = last.detail
            raise ResponseAborted("the stream cannot be completed at another target")
        return last

    async def _handle_error_answer(
        self, job: RelayJob, attempt: Attempt
    ) -> Refusal | Response | None:
        """Handle an answer that is not a stream.

        Returns:
            The caller's answer, or None to try again.
        """
        body = await self._read_error_body(job, attempt)
        self.attempts.check_excess(attempt)
        head = attempt.head
        refusal = await self.attempts.handle_error_answer(job, attempt)
        if refusal is None and head.inputs_gone:
            return await self._rerun_stages(job)
        if refusal is not None and head.genuine and not head.not_run:
            return Response(head.status, body, head.headers)
        return refusal

    async def _read_error_body(self, job: RelayJob, attempt: Attempt) -> bytes:
        """Return the body of an unsuccessful answer.

        Raises:
            TargetFailed: If the caller needs the body and it is not complete.
        """
        head = attempt.head
        if head.genuine and not head.not_run:
            return await attempt.stream.read_all(self.attempts.remaining_ms(job))
        try:
            return await attempt.stream.read_all(
                min(UNUSED_BODY_TIMEOUT_MS, self.attempts.remaining_ms(job)),
                MAX_SKIPPED_BYTES,
                Kind.SKIPPED,
            )
        except TargetFailed as error:
            # The head alone decides; the connection is closed.
            attempt.stream.forbid_reuse()
            events.log(
                events.ANSWER_BODY_SKIPPED,
                request_id=job.request.request_id,
                target=attempt.row.name,
                status=head.status,
                detail=str(error),
            )
            return b""

    async def _restore_results(self, job: RelayJob) -> Refusal | None:
        """Run the stages again if their results were released after an attempt.

        The next target would refuse a request without them, and each target is tried
        once only.
        """
        if not job.has_released_results or not self.attempts.selection.may_find_target(
            job
        ):
            return None
        return await self._rerun_stages(job)

    async def _rerun_stages(self, job: RelayJob) -> Refusal | None:
        """Run the stages again, as their results are gone."""
        if job.work is None:
            return Refusal(RefusalReason.TARGET_FAILED, Verdict.NOT_RUN, job.detail)
        await job.discard_results(self.runner)
        expires_at_ms = job.work.expires_at_ms
        if job.first_ms:
            # Once the caller has events, it waits until the deadline for the others.
            expires_at_ms = max(expires_at_ms, job.deadline_at_ms - job.planned_ms)
        job.work = attrs.evolve(
            job.work, round=job.work.round + 1, expires_at_ms=expires_at_ms
        )
        refusal = await self.runner.run(job.work, job.data_centre, job.results)
        job.staged_ms = self.clock.now_ms()
        if refusal is not None and job.verdict is not Verdict.NOT_RUN:
            # The stages have not run, but an earlier attempt may have.
            refusal = attrs.evolve(refusal, verdict=job.verdict)
        return refusal

    async def _events(
        self,
        job: RelayJob,
        attempt: Attempt,
        state: "_StreamState",
        continuation: Continuation | None = None,
    ) -> AsyncGenerator[bytes, None]:
        """Yield the events of one attempt that the caller has not received yet.

        Args:
            job: Request.
            attempt: The attempt.
            state: What the caller has received.
            continuation: Check of the target, if the attempt continues a stream.

        Raises:
            TargetFailed: If the stream ended early or stalled.
        """
        splitter = EventSplitter()
        turns = Turns()
        deadline_ms = self.clock.now_ms() + self.attempts.remaining_ms(job)
        event_due_ms = self._event_due_ms(job, state, deadline_ms)
        idle_bytes = 0
        while True:
            try:
                chunk = await attempt.stream.read(event_due_ms - self.clock.now_ms())
            except TargetFailed as error:
                if not error.timed_out:
                    raise
                if not self._may_wait(job):
                    raise _overdue_error(error) from error
                # The target may only be silent for a moment.
                event_due_ms = self._event_due_ms(job, state, deadline_ms)
                continue
            idle_bytes += len(chunk)
            if not chunk:
                if splitter.buffer:
                    raise TargetFailed("the stream ended in the middle of an event")
                return
            sound, is_intact = await self._take_events(splitter, chunk, state, turns)
            attempt.stream.hold_incomplete(len(splitter.buffer))
            try:
                attempt.stream.count_events(len(sound))
            except TargetFailed as error:
                raise _overdue_error(error) from error
            if sound and continuation is not None:
                await self._check_continuation(continuation, attempt)
                continuation = None
            found = [event for event in sound if state.accept(event)]
            # Comments show that the target lives, not that it gets on.
            has_news = not all(event.is_comment for event in found)
            if has_news:
                idle_bytes = 0
                if not job.first_ms:
                    await self._record_origin(job, attempt)
                    await self._record_first_event(job, attempt)
                state.events_sent = True
                job.progress = AnswerProgress.EVENTS
            if found:
                passed_ms = self.clock.now_ms()
                yield b"".join(event.data for event in found)
                # A caller that reads slowly is no fault of the target.
                event_due_ms += self.clock.now_ms() - passed_ms
            if not is_intact:
                raise TargetFailed("the stream has bytes that are no event")
            if idle_bytes > MAX_BYTES_WITHOUT_EVENT:
                raise TargetFailed(f"no new event in {idle_bytes} bytes")
            if has_news:
                event_due_ms = self._event_due_ms(job, state, deadline_ms)
            event_due_ms = min(event_due_ms, deadline_ms)

    async def _take_events(
        self, splitter: EventSplitter, chunk: bytes, state: "_StreamState", turns: Turns
    ) -> tuple[list[StreamEvent], bool]:
        """Return the events that a chunk completes, and whether that is all it has.

        One chunk may complete thousands of events, so other tasks get turns meanwhile.
        """
        events_found: list[StreamEvent] = []
        is_numbered = state.last_sent_id is not None
        for event in splitter.feed(chunk):
            # A target that fails in mid-stream may write an error into a body without a
            # length. Where events have numbers, a block without one is none of them.
            is_numbered = is_numbered or event.event_id is not None
            is_unknown = is_numbered and event.event_id is None and not event.is_comment
            if event.has_http_head or is_unknown:
                return events_found, False
            events_found.append(event)
            await turns.take(len(event.data))
        return events_found, True

    async def _check_continuation(
        self, continuation: Continuation, attempt: Attempt
    ) -> None:
        """Check the target whose first event is to continue a stream.

        Raises:
            VersionMismatch: If it may have another version than the one that began it.
        """
        detail = await continuation.mismatch()
        if not detail and self.attempts.has_new_version(attempt):
            # Learned from the control members meanwhile.
            detail = "the target was started again with another software version"
        if detail:
            raise VersionMismatch(detail, final=continuation.is_final)

    async def _record_origin(self, job: RelayJob, attempt: Attempt) -> None:
        """Bind a stream with its first event to the version that sent it."""
        if job.origin is None:
            row = attempt.row
            job.origin = StreamOrigin(
                row.service, row.software_version, row.name, row.incarnation
            )
        if job.route.resumable:
            ids = [job.request.request_id]
            if job.request.resumes:
                # The caller names the first request again if this stream breaks, too.
                ids.append(job.request.resumes)
            keys = [stream_key(job.workspace, request_id) for request_id in ids]
            await self.origins.record(keys, job.origin)

    async def _record_first_event(self, job: RelayJob, attempt: Attempt) -> None:
        job.first_ms = self.clock.now_ms()
        await self.attempts.reports.record_success(
            job, attempt.row, attempt.started_ms, attempt.head.load
        )
        # The target has fetched the results before its first event.
        await self.runner.release_all(job.work, job.results)

    def _head_waits_ms(self, job: RelayJob, state: "_StreamState") -> Iterator[int]:
        """Yield for how long to wait for the head of an attempt that was sent.

        It ends when another target can take over. The head of a target that queues
        prompts may come with its first event, so it has as much time.
        """
        deadline_ms = self.clock.now_ms() + self.attempts.remaining_ms(job)
        yield self._event_due_ms(job, state, deadline_ms) - self.clock.now_ms()
        while self._may_wait(job):
            yield self._event_due_ms(job, state, deadline_ms) - self.clock.now_ms()

    def _may_wait(self, job: RelayJob) -> bool:
        """Return whether to go on waiting for an overdue event.

        No other target can go on with the stream, and the deadline is not over.
        """
        return not self.attempts.can_move(job) and self.attempts.remaining_ms(job) > 1

    def _event_due_ms(
        self, job: RelayJob, state: "_StreamState", deadline_ms: int
    ) -> int:
        """Return when the next event is overdue, on the clock.

        A stream that cannot be resumed has until the deadline of the request.
        """
        if not job.may_run_again:
            return deadline_ms
        objective_ms = job.objective_at_ms - job.arrived_ms
        timeout_ms = max(
            int(objective_ms * FIRST_EVENT_TIMEOUT_PER_OBJECTIVE),
            MIN_FIRST_EVENT_TIMEOUT_MS,
        )
        if state.events_sent:
            timeout_ms = max(
                job.route.gap_ms * STALL_TIMEOUT_GAPS, MIN_STALL_TIMEOUT_MS
            )
        return min(self.clock.now_ms() + timeout_ms, deadline_ms)


@attrs.define
class _SentAttempt:
    """State of one attempt.

    Attributes:
        has_failed: Whether it was rejected or failed, so that another may follow.
    """

    has_failed: bool = False


class _StreamBody(BodyStream):
    """Events of an answer whose head was sent.

    This is a class because closing an async generator that was never started skips its
    clean-up, and a caller may disconnect before it reads the first event.
    """

    def __init__(
        self,
        job: RelayJob,
        items: AsyncGenerator[AnswerHead | Response | Refusal | bytes, None],
        ended: EndedCallback,
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
            return cast(bytes, await anext(self.items))
        except StopAsyncIteration:
            self.outcome = "answered"
            raise
        except ResponseAborted:
            self.outcome = "broken"
            raise

    async def aclose(self) -> None:
        """Record the end, stop the attempt and release the results."""
        if self.closed:
            return
        self.closed = True
        self.ended(self.job, self.outcome, self.status)
        await self.items.aclose()
        await self.runner.release_all(self.job.work, self.job.results)


class _StreamState:
    """What the caller has received of a stream.

    Attributes:
        last_sent_id: Number of the newest event that was sent.
        head_sent: Whether the head was sent.
        events_sent: Whether an event was sent.
        content_type: Media type of the answer whose head was sent.
    """

    def __init__(self, last_event_id: int | None):
        self.last_sent_id = last_event_id
        self.head_sent = False
        self.events_sent = False
        self.content_type = ""

    def accept(self, event: StreamEvent) -> bool:
        """Record an event to send; return False if the caller already has it."""
        if event.event_id is None:
            return True
        if self.last_sent_id is not None and event.event_id <= self.last_sent_id:
            return False
        self.last_sent_id = event.event_id
        return True


def _overdue_error(cause: TargetFailed) -> TargetFailed:
    """Return the error of a stream whose next event is overdue."""
    return TargetFailed(f"no complete event in time: {cause}", timed_out=True)
