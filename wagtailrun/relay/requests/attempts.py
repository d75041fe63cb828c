"""Attempts of relayed requests at targets: one at a time, retried where allowed."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from typing import cast

import attrs
import curio

from wagtailrun.adapters.http_client import Headers, HttpClient, HttpStream
from wagtailrun.adapters.http_connection import HttpConnection
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import Clock
from wagtailrun.discovery import FleetView
from wagtailrun.exceptions import (
    ConnectFailed,
    ConnectShortage,
    Refusal,
    RefusalReason,
    SendForbidden,
    TargetFailed,
    TargetPaused,
    Verdict,
    VersionMismatch,
)
from wagtailrun.logs import events
from wagtailrun.process.late_tasks import wait_for_end
from wagtailrun.process.shortages import SHORTAGE_PAUSE_MS
from wagtailrun.relay.core.job import RelayJob
from wagtailrun.relay.core.port import (
    AnswerHead,
    AnswerProgress,
    AttemptContext,
    RelayWire,
)
from wagtailrun.relay.core.request_identity import AnsweredRequests
from wagtailrun.relay.limits.notices import TargetNotices
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.service import PlacementClient
from wagtailrun.relay.placement.silence_news import SilenceNews
from wagtailrun.relay.requests.attempt_reports import AttemptReports
from wagtailrun.relay.requests.target_selection import RETRY_AFTER_MS, TargetSelection
from wagtailrun.targets.attempt_ends import MIN_STALL_MS, RunOutcome, end_of_answer
from wagtailrun.targets.decisions import DecisionPoint
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.targets.table import TargetRow

__all__ = ["Attempt", "RelayAttempts"]

# Time for a direct connection and, beside or after it, one through another entry. TCP
# resends a lost SYN only after a second, which is longer than trying another target.
CONNECT_TIMEOUT_MS = 600
# An attempt at a repeatable request times out after the smaller of these shares of the
# latency objective and of the remaining time. The tail of the calls in the users' data
# sheets is five times their mean, which is within one latency objective.
OBJECTIVE_SHARE = 1.0
REMAINING_SHARE = 0.5
MIN_ATTEMPT_TIMEOUT_MS = 60
# A request has no answer for too long after this multiple of the time that covers this
# share of the newest answers of its route.
SILENCE_FACTOR = 3
SILENCE_SHARE = 0.9
# An attempt fails after this many answers to other requests on its connection.
MAX_CROSSED_ANSWERS = 2


@attrs.define
class Attempt:
    """One attempt whose answer's head has arrived.

    Attributes:
        row: Target.
        stream: The answer.
        head: Parsed head of the answer.
        started_ms: When the request was sent.
        body: Body of the answer, once it was read; empty for streams.
    """

    row: TargetRow
    stream: HttpStream
    head: AnswerHead
    started_ms: int
    body: bytes = b""


class RelayAttempts:
    """Sends requests to targets.

    Args:
        clock: Clock.
        view: This entry's view of the fleet.
        wire: Translates requests and answers.
        http: Client with connections to targets.
        chooser: Chooses the targets of routes without prompt affinity.
        placement: Requests engines for routes with prompt affinity.
        budget: Limits retries.
        notices: What targets told this VM.
        was_held_since: Returns whether the event loop of this process was held after a
            time on the clock.
        stop_refusal: Returns the refusal of a request that would outlast the process,
            else None.
        answer_ms: Returns how long a share of the answers to such a request take; 0 if
            nothing is known.
        silence_news: Tells other entries of targets that leave requests unanswered.
    """

    def __init__(
        self,
        clock: Clock,
        view: FleetView,
        wire: RelayWire,
        http: HttpClient,
        chooser: TargetChooser,
        placement: PlacementClient,
        budget: RetryBudget,
        notices: TargetNotices,
        was_held_since: Callable[[int], bool] = lambda since_ms: False,
        stop_refusal: Callable[[RelayJob], Refusal | None] = lambda job: None,
        answer_ms: Callable[[RelayJob, float], int] = lambda job, share: 0,
        silence_news: SilenceNews | None = None,
    ):
        self.clock = clock
        self.view = view
        self.wire = wire
        self.http = http
        self.chooser = chooser
        self.budget = budget
        self.answer_ms = answer_ms
        self.silence_news = silence_news
        self.crossed_answers = 0
        self.answered = AnsweredRequests(clock)
        self.selection = TargetSelection(
            clock,
            view,
            chooser,
            placement,
            notices,
            self.answered,
            budget,
            stop_refusal,
        )
        self.reports = AttemptReports(
            clock, http, chooser, placement, self.answered, was_held_since
        )

    async def call(self, job: RelayJob) -> Response | Refusal:
        """Return the complete answer of a target, or why there is none."""
        fallback: Response | None = None
        while True:
            row = await self.selection.next_target(job)
            if isinstance(row, Refusal):
                return fallback or row
            attempt = await self._read_answer_in_time(job, row)
            if isinstance(attempt, TargetFailed):
                refusal = await self.handle_failure(job, row, attempt)
            else:
                answer = Response(
                    attempt.head.status, attempt.body, attempt.head.headers
                )
                if self.is_success(attempt.head):
                    job.first_ms = self.clock.now_ms()
                    await self.reports.record_success(
                        job, row, attempt.started_ms, attempt.head.load
                    )
                    return answer
                if attempt.head.genuine and not attempt.head.not_run:
                    fallback = answer
                refusal = await self.handle_error_answer(job, attempt)
            if refusal is not None:
                return fallback or refusal

    async def _read_answer_in_time(
        self, job: RelayJob, row: TargetRow
    ) -> Attempt | TargetFailed:
        """Return the answer of a target, or why there is none.

        The attempt ends early only if another target can take over; a target that is
        silent for a moment may still answer.
        """
        task = await curio.spawn(self._read_answer, job, row)
        try:
            await self._watch_silence(job, row, task)
            while True:
                await wait_for_end(task, self._attempt_timeout_ms(job))
                if task.terminated:
                    break
                if self.can_move(job) or self.clock.now_ms() >= job.deadline_at_ms:
                    # Until it has ended, the attempt may still send the request.
                    job.attempt_timed_out = True
                    await task.cancel()
                    if isinstance(task.exception, curio.CancelledError):
                        return _timeout_error(job, row)
                    break
            attempt: Attempt | TargetFailed = await task.join()
            return attempt
        except curio.TaskError as error:
            raise error.__cause__ from error
        except curio.CancelledError:
            if job.attempt_timed_out:
                # The caller left before the attempt had ended.
                await self.reports.record_end(job, row, RunOutcome.OVER)
            raise
        finally:
            await task.cancel()

    async def _watch_silence(
        self, job: RelayJob, row: TargetRow, task: curio.Task
    ) -> None:
        """Wait while an attempt may be silent; tell others if it is so for too long.

        Returns:
            Once it has ended, was silent for too long, or cannot be before its timeout.
        """
        usual_ms = self.answer_ms(job, SILENCE_SHARE)
        if self.silence_news is None or not usual_ms:
            return
        silent_ms = max(SILENCE_FACTOR * usual_ms, MIN_STALL_MS)
        began_ms = self.clock.now_ms()
        ends_ms = began_ms + self._attempt_timeout_ms(job)
        while not task.terminated:
            now_ms = self.clock.now_ms()
            sent_ms = job.sent_ms
            if sent_ms is None or sent_ms < began_ms:
                # Not sent yet; the time may be that of an earlier attempt.
                sent_ms = now_ms
            silent_at_ms = sent_ms + silent_ms
            if silent_at_ms >= ends_ms:
                return
            if silent_at_ms > now_ms:
                await wait_for_end(task, silent_at_ms - now_ms)
                continue
            if self._is_target_silent(job, row):
                await self.silence_news.tell(row, sent_ms)
            return

    def _is_target_silent(self, job: RelayJob, row: TargetRow) -> bool:
        """Return whether a target, and not this process or the path, is silent."""
        return (
            job.sent_ms is not None
            and job.carrier is None
            and job.progress is AnswerProgress.NOTHING
            and self.http.connector.may_reuse(row.address)
            and not self.reports.was_held_since(job.sent_ms)
        )

    async def _read_answer(
        self, job: RelayJob, row: TargetRow
    ) -> Attempt | TargetFailed:
        """Return one attempt with its whole answer, or why it failed."""
        try:
            async with self.open(job, row) as attempt:
                attempt.body = await attempt.stream.read_all(self.remaining_ms(job))
                self.check_excess(attempt)
                return attempt
        except TargetFailed as error:
            # Returned, as curio logs a task that raises as crashed.
            return error

    # Shared with streams

    def can_move(self, job: RelayJob) -> bool:
        """Return whether another target can take over a request that was sent."""
        return (
            job.may_run_again
            and (self.budget.has(job.service) or self.selection.may_leave(job))
            and any(
                row.name not in job.tried_targets
                for row in self.selection.usable_targets(job)
            )
        )

    def remaining_ms(self, job: RelayJob) -> int:
        """Return the time until the request's deadline; at least 1 ms."""
        return max(job.deadline_at_ms - self.clock.now_ms(), 1)

    def _attempt_timeout_ms(self, job: RelayJob) -> int:
        """Return after which time of an attempt another one may follow."""
        left_ms = self.remaining_ms(job)
        if not job.route.repeatable:
            return left_ms
        objective_ms = OBJECTIVE_SHARE * (job.objective_at_ms - job.arrived_ms)
        timeout_ms = max(
            min(objective_ms, REMAINING_SHARE * left_ms), MIN_ATTEMPT_TIMEOUT_MS
        )
        return min(int(timeout_ms), left_ms)

    @asynccontextmanager
    async def open(
        self,
        job: RelayJob,
        row: TargetRow,
        last_event_id: int | None = None,
        on_sent: Callable[[], Awaitable[None]] | None = None,
        head_waits_ms: Iterator[int] | None = None,
    ) -> AsyncIterator[Attempt]:
        """Send the request to ``row`` and yield the attempt when the head arrives.

        Args:
            job: Request.
            row: Target.
            last_event_id: Event after which a stream is resumed, if any.
            on_sent: Called once the request was sent.
            head_waits_ms: For how long to wait for the head, one time after the other;
                by default until the deadline.

        Raises:
            TargetFailed: If there is no answer to this request.
        """
        left_ms = self.remaining_ms(job)
        request = job.request

        def make_headers() -> Headers:
            """Return the headers; what is left of the deadline is that at sending."""
            context = AttemptContext(
                target=row.name,
                workspace=job.workspace,
                remaining_ms=self.remaining_ms(job),
                urgency=job.urgency,
                inputs=job.inputs,
                last_event_id=last_event_id,
            )
            return self.wire.attempt_headers(request, context)

        job.tried_targets.append(row.name)
        job.target_data_centre = row.data_centre
        job.progress = AnswerProgress.NOTHING
        job.sent_ms = job.carrier = None
        job.attempt_timed_out = job.was_silent = False
        connection: HttpConnection | None = None

        def record_connection(opened: HttpConnection) -> None:
            nonlocal connection
            connection = opened
            job.record_carrier(opened.carrier)

        self.chooser.record_start(row, (), 0)
        try:
            async with self.http.open(
                row.address,
                job.http_request.method,
                job.http_request.target,
                make_headers,
                job.http_request.body,
                timeout_ms=left_ms,
                deadline_ms=job.deadline_at_ms,
                # A target may close a reused connection after running the request, and
                # a late answer to an earlier request may arrive on it.
                new_connection=not job.route.repeatable,
                host=request.host,
                connect_timeout_ms=min(CONNECT_TIMEOUT_MS, left_ms),
                may_send=lambda: self._may_send(job, row),
                on_open=record_connection,
                on_sent=on_sent,
                urgency=job.urgency,
                identity=request.request_id,
                confirmed=False,
                head_waits_ms=head_waits_ms,
            ) as stream:
                stream, head = await self._skip_crossed_answers(job, stream)
                await stream.confirm()
                if head.load is not None:
                    self.chooser.health.record_load(row, head.load)
                job.progress = AnswerProgress.HEAD
                yield Attempt(row, stream, head, cast(int, job.sent_ms))
        except (curio.CancelledError, GeneratorExit):
            # The caller disconnected, which says nothing about the target. Of an
            # attempt that timed out ``call`` reports how it ended; only the first
            # report counts.
            if not job.attempt_timed_out:
                await self.reports.record_end(job, row, RunOutcome.OVER)
            raise
        finally:
            if connection is not None:
                job.was_silent = connection.is_suspect(MIN_STALL_MS)
            self.chooser.health.record_end(row)

    def _may_send(self, job: RelayJob, row: TargetRow) -> bool:
        """Return whether a request may be sent on a connection that is open by now."""
        if self.selection.send_refusal(job) is not None:
            return False
        if job.origin is not None:
            may_send = self.view.may_continue_at(row)
        else:
            may_send = not self.view.is_leaving(row)
        if may_send:
            job.sent_ms = self.clock.now_ms()
            # Counted before sending: after any later failure it may have run.
            job.runs += 1
        return may_send

    async def _skip_crossed_answers(
        self, job: RelayJob, stream: HttpStream
    ) -> tuple[HttpStream, AnswerHead]:
        """Return the answer to this request; skip late answers to earlier ones.

        Raises:
            TargetFailed: If no answer can be attributed to this request.
        """
        for skipped in range(MAX_CROSSED_ANSWERS):
            head = self.wire.parse_answer(stream)
            if head.request_id == job.request.request_id:
                return stream, head
            if not head.request_id:
                if not stream.is_reused and not skipped:
                    return stream, head
                # Whoever was answered, the target may have asked for a pause just now.
                await stream.confirm()
                raise TargetFailed(
                    f"an answer with status {head.status} names no request, and the "
                    "connection carried others"
                )
            self.crossed_answers += 1
            stream = await stream.next_answer(self.remaining_ms(job))
        raise TargetFailed(
            f"{MAX_CROSSED_ANSWERS} answers on the connection are to other requests"
        )

    def has_new_version(self, attempt: Attempt) -> bool:
        """Return whether a target with another software version may be answering."""
        return self.view.has_new_version(attempt.row)

    def check_excess(self, attempt: Attempt) -> None:
        """Believe no refusal that other bytes follow, once its body was read.

        The target answered more than once, so it may have run the request.
        """
        head = attempt.head
        if attempt.stream.has_excess and not self.is_success(head):
            attempt.head = attrs.evolve(
                head,
                genuine=False,
                not_run=False,
                inputs_gone=False,
                misdirected=False,
            )

    def is_success(self, head: AnswerHead) -> bool:
        """Return whether an answer is a success and comes from a target itself."""
        end = end_of_answer(head.status, genuine=head.genuine)
        return end.verdict is Verdict.COMPLETE

    async def handle_failure(
        self, job: RelayJob, row: TargetRow, error: TargetFailed
    ) -> Refusal | None:
        """Return the refusal after a failed attempt, or None to try again."""
        refusal = await self._after_failure(job, row, error)
        self._record_decision(job, refusal, type(error).__name__)
        return refusal

    def _record_decision(
        self, job: RelayJob, refusal: Refusal | None, reason: str
    ) -> None:
        """Tell the log of decisions whether another attempt follows a failed one."""
        log = self.chooser.decisions
        if not log.enabled:
            return
        point = DecisionPoint.MOVE if job.streaming else DecisionPoint.RETRY
        chosen = "again" if refusal is None else "end"
        log.record(job.request.request_id, job.service, point, chosen, reason)
        if refusal is not None:
            verdict, why = refusal.verdict.value, refusal.reason.value
            point = DecisionPoint.REFUSAL
            log.record(job.request.request_id, job.service, point, verdict, why)

    async def _after_failure(
        self, job: RelayJob, row: TargetRow, error: TargetFailed
    ) -> Refusal | None:
        job.detail = f"{row.name}: {error}"
        self._log_failure(job, row)
        not_sent = isinstance(error, SendForbidden | TargetPaused)
        if not_sent and job.sent_ms is not None:
            # The target paused just before the first byte.
            job.runs -= 1
        await self.reports.record_failure(job, row, error)
        is_own_time = job.sent_ms is not None and not self.reports.was_held_since(
            job.sent_ms
        )
        if error.timed_out and job.was_silent and is_own_time:
            # The other idle connections may be as silent as that of this attempt.
            await self.http.pool.drop(row.address)
        if isinstance(error, ConnectShortage) and not error.only_here:
            return await self._handle_shortage(job, row, error)
        if not_sent:
            # Nothing was sent, so the target may be tried when it takes requests again.
            job.tried_targets.remove(row.name)
            return self.selection.send_refusal(job)
        if isinstance(error, VersionMismatch) and error.final:
            return Refusal(RefusalReason.ORIGIN_UNKNOWN, error.verdict, job.detail)
        if isinstance(error, ConnectFailed):
            if error.undecided:
                job.unreached_targets.append(row.name)
            return None
        return self._refuse_or_retry(job)

    async def _handle_shortage(
        self, job: RelayJob, row: TargetRow, error: ConnectShortage
    ) -> Refusal | None:
        """Return the refusal of a request for which this process has no connection.

        A stream whose head was sent waits, as it cannot be refused any more.
        """
        job.tried_targets.remove(row.name)
        if job.streaming:
            await self.clock.sleep_ms(SHORTAGE_PAUSE_MS)
            return self.selection.send_refusal(job)
        return Refusal(
            RefusalReason.OVERLOADED, job.verdict, job.detail, error.retry_after_ms
        )

    def _refuse_or_retry(self, job: RelayJob) -> Refusal | None:
        """Return the refusal after an attempt that may have run, or None to retry."""
        if not job.may_run_again:
            reason = RefusalReason.TARGET_FAILED
            if self.clock.now_ms() >= job.deadline_at_ms:
                reason = RefusalReason.DEADLINE
            return Refusal(reason, Verdict.MAY_HAVE_RUN, job.detail)
        job.paid_for_stages = True
        if self.selection.may_leave(job):
            return None
        return self._spend_retry(job)

    async def handle_error_answer(
        self, job: RelayJob, attempt: Attempt
    ) -> Refusal | None:
        """Return the refusal after an unsuccessful answer, or None to try again."""
        refusal = await self._after_error_answer(job, attempt)
        self._record_decision(job, refusal, f"status-{attempt.head.status}")
        return refusal

    async def _after_error_answer(
        self, job: RelayJob, attempt: Attempt
    ) -> Refusal | None:
        head, row = attempt.head, attempt.row
        job.detail = f"{row.name} answered {head.status}"
        self._log_failure(job, row)
        end = end_of_answer(
            head.status,
            not_run=head.not_run,
            genuine=head.genuine,
            misdirected=head.misdirected,
            pauses=self.selection.paused_ms(job, row) > 0,
        )
        did_run = end.verdict is not Verdict.NOT_RUN
        if not did_run:
            job.runs -= 1
        await self.reports.record_end(job, row, end.outcome, load=head.load)
        if did_run and (not job.may_run_again or head.status < 500 and head.genuine):
            return Refusal(RefusalReason.TARGET_FAILED, end.verdict, job.detail)
        was_paid, job.paid_for_stages = job.paid_for_stages, not head.inputs_gone
        if head.inputs_gone and was_paid:
            # One move takes one token: the results may have gone with the target that
            # failed. Another such refusal takes a token of its own.
            return None
        return self._spend_retry(job)

    def _spend_retry(self, job: RelayJob) -> Refusal | None:
        """Spend one retry of the budget; return a refusal if there is none left."""
        if self.budget.spend(job.service):
            return None
        detail = f"the retry budget of {job.service} is exhausted; {job.detail}"
        return Refusal(RefusalReason.TARGET_FAILED, job.verdict, detail, RETRY_AFTER_MS)

    def _log_failure(self, job: RelayJob, row: TargetRow) -> None:
        events.log(
            events.ATTEMPT_FAILED,
            request_id=job.request.request_id,
            service=job.service,
            target=row.name,
            address=str(row.address),
            software_version=row.software_version,
            incarnation=row.incarnation,
            confirmation_age_ms=self.view.confirmation_age_ms,
            attempt=len(job.tried_targets),
            runs=job.runs,
            progress=str(job.progress),
            parts=[part.name for part in job.request.parts],
            detail=job.detail,
            remaining_ms=job.deadline_at_ms - self.clock.now_ms(),
        )


def _timeout_error(job: RelayJob, row: TargetRow) -> TargetFailed:
    """Return the error of an attempt without a complete answer in time."""
    if job.sent_ms is None:
        detail = f"no connection to {row.address} before the attempt's timeout"
        return ConnectFailed(detail, confirmed=False)
    detail = "no complete answer before the attempt's timeout"
    return TargetFailed(detail, timed_out=True)
