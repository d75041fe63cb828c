"""Attempts of relayed requests at targets: one at a time, retried where allowed."""

from collections.abc import AsyncIterator, Awaitable, Callable, Collection, Iterator
from contextlib import asynccontextmanager

import attrs
import curio

from wagtailrun.adapters.http_client import (
    Headers,
    HttpClient,
    HttpStream,
)
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import Clock
from wagtailrun.discovery import FleetView
from wagtailrun.discovery.quarantine import (
    CRASHES_TO_HOLD,
    FIRST_HOLD_MS,
    digest_part,
)
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
from wagtailrun.relay.job import RelayJob
from wagtailrun.relay.limits.notices import TargetNotices
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.service import PlacementClient
from wagtailrun.relay.placement_messages import (
    Placed,
    PlaceRun,
    PlaceSize,
    RunOutcome,
    RunOver,
)
from wagtailrun.relay.port import (
    AnswerHead,
    AnswerProgress,
    AttemptContext,
    RelayWire,
)
from wagtailrun.relay.requests.attempt_reports import AttemptReports
from wagtailrun.relay.requests.evacuated_services import evacuated_refusal
from wagtailrun.relay.requests.request_identity import AnsweredRequests
from wagtailrun.serving.retries import RetryBudget
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
# Retry delay of refusals because no target is usable, the retry budget is exhausted or
# keys are unconfirmed.
RETRY_AFTER_MS = 300
# Retry delay while all targets are in data centres that are away. A cut lasts seconds,
# and the entry notices its end within a second.
AWAY_RETRY_MS = 1_500
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
    ):
        self.clock = clock
        self.notices = notices
        self.view = view
        self.wire = wire
        self.http = http
        self.chooser = chooser
        self.placement = placement
        self.stop_refusal = stop_refusal
        self.budget = budget
        self.crossed_answers = 0
        self.answered = AnsweredRequests(clock)
        self.reports = AttemptReports(
            clock, http, chooser, placement, self.answered, was_held_since
        )

    async def call(self, job: RelayJob) -> Response | Refusal:
        """Return the complete answer of a target, or why there is none."""
        fallback: Response | None = None
        while True:
            row = await self.next_target(job)
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
            while True:
                await wait_for_end(task, self._attempt_timeout_ms(job))
                if task.terminated:
                    return await task.join()
                if self.can_move(job) or self.clock.now_ms() >= job.deadline_at_ms:
                    # Until it has ended, the attempt may still send the request.
                    job.attempt_timed_out = True
                    await task.cancel()
                    if isinstance(task.exception, curio.CancelledError):
                        return _timeout_error(job, row)
                    return await task.join()
        except curio.TaskError as error:
            raise error.__cause__ from error
        except curio.CancelledError:
            if job.attempt_timed_out:
                # The caller left before the attempt had ended.
                await self.reports.record_end(job, row, RunOutcome.OVER)
            raise
        finally:
            await task.cancel()

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
            and self.budget.has(job.service)
            and any(
                row.name not in job.tried_targets for row in self._usable_targets(job)
            )
        )

    def remaining_ms(self, job: RelayJob) -> int:
        """Return the time until the request's deadline; at least 1 ms."""
        return max(job.deadline_at_ms - self.clock.now_ms(), 1)

    async def next_target(self, job: RelayJob) -> TargetRow | Refusal:
        """Return the target of the next attempt, or why there is none.

        A request whose targets all take no requests now waits for the first of them if
        it can still meet its latency objective.
        """
        while True:
            refusal = self._send_refusal(job, job.runs) or self.quarantine_refusal(job)
            if refusal is not None:
                return refusal
            row = await self._choose_target(job)
            if row is not None:
                return row
            if job.retry_unreached(self.clock.now_ms()):
                continue
            refusal = self.pause_refusal(job)
            if refusal is not None:
                return refusal
            paused_ms = self._soonest_return_ms(job)
            if paused_ms is None:
                return self.no_target_refusal(job)
            # 0 if a pause has ended since the choice.
            await self.clock.sleep_ms(paused_ms)

    def no_target_refusal(self, job: RelayJob) -> Refusal:
        """Return the refusal of a request that no target can run, or continue."""
        refusal = self.away_refusal(job)
        if refusal is not None:
            return refusal
        verdict = Verdict.MAY_HAVE_RUN if job.runs else Verdict.NOT_RUN
        detail = job.detail or f"no target of {job.service} is known"
        if job.origin is not None:
            detail = (
                f"no target of {job.origin.service} can continue a stream that began "
                f"at {job.origin.target} with software version "
                f"{job.origin.software_version!r}"
            )
        return Refusal(RefusalReason.NO_TARGET, verdict, detail, RETRY_AFTER_MS)

    def away_refusal(self, job: RelayJob) -> Refusal | None:
        """Return the refusal of a request whose targets nobody may use, else None.

        They are in data centres that nobody reaches, or that are evacuated.
        """
        if self._targets(job):
            return None
        verdict = Verdict.MAY_HAVE_RUN if job.runs else Verdict.NOT_RUN
        service = job.origin.service if job.origin is not None else job.service
        refusal = evacuated_refusal(self.view, service, verdict)
        away = self.view.away_data_centres
        if refusal is not None or not away:
            return refusal
        detail = f"no target of {job.service} outside {sorted(away)}, which are away"
        return Refusal(RefusalReason.NO_TARGET, verdict, detail, AWAY_RETRY_MS)

    def pause_refusal(self, job: RelayJob) -> Refusal | None:
        """Return the refusal of a request whose targets take no requests now.

        They asked for a pause, or name a limit that is used up.

        Returns:
            None if one of them may be used, or will be soon enough for the request to
            meet its latency objective.
        """
        paused_ms = self._soonest_return_ms(job)
        left_ms = job.objective_at_ms - self.clock.now_ms()
        if paused_ms is not None:
            if not paused_ms or paused_ms + (job.planned_ms or left_ms // 2) <= left_ms:
                return None
        else:
            # Each target was tried; some may have asked for a pause then.
            paused = [self._paused_ms(job, row) for row in self._targets(job)]
            paused_ms = min(filter(None, paused), default=0)
            if not paused_ms:
                return None
        verdict = Verdict.MAY_HAVE_RUN if job.runs else Verdict.NOT_RUN
        detail = f"no target of {job.service} takes requests for {paused_ms} ms"
        return Refusal(RefusalReason.OVERLOADED, verdict, detail, paused_ms)

    def _soonest_return_ms(self, job: RelayJob) -> int | None:
        """Return when the first target that was not tried may be used.

        Returns:
            Milliseconds, 0 if there is one now, None if all were tried.
        """
        rows = self._targets(job)
        untried = [row for row in rows if row.name not in job.tried_targets]
        return min((self._paused_ms(job, row) for row in untried), default=None)

    def _paused_ms(self, job: RelayJob, row: TargetRow) -> int:
        return self.notices.paused_ms(row.address, job.urgency)

    def _usable_targets(self, job: RelayJob) -> list[TargetRow]:
        """Return the targets that take requests now."""
        return [row for row in self._targets(job) if not self._paused_ms(job, row)]

    def continue_refusal(self, job: RelayJob) -> Refusal | None:
        """Return why a stream that a caller takes up cannot go on now, else None."""
        refusal = self._send_refusal(job, job.runs)
        if refusal is None and not self._targets(job):
            return self.no_target_refusal(job)
        return refusal

    def _targets(self, job: RelayJob) -> list[TargetRow]:
        """Return the targets that may run a request, or continue its stream."""
        if job.origin is not None:
            return self.view.targets_to_continue(job.origin, job.tried_targets)
        return self.view.targets(job.service)

    def _send_refusal(self, job: RelayJob, runs: int) -> Refusal | None:
        """Return why a request that was sent ``runs`` times may not be sent now."""
        verdict = Verdict.MAY_HAVE_RUN if runs else Verdict.NOT_RUN
        if self.clock.now_ms() >= job.deadline_at_ms:
            return Refusal(RefusalReason.DEADLINE, verdict, job.detail)
        if job.origin is not None and self.view.is_out_of_step:
            detail = (
                f"this entry last heard of targets {self.view.update_age_ms} ms ago, "
                "and a stream has to go on at the version that began it"
            )
            return Refusal(
                RefusalReason.ORIGIN_UNKNOWN, verdict, detail, RETRY_AFTER_MS
            )
        if job.workspace and not self.view.is_fresh and verdict is Verdict.NOT_RUN:
            detail = f"keys last confirmed {self.view.confirmation_age_ms} ms ago"
            return Refusal(
                RefusalReason.KEYS_UNCONFIRMED, verdict, detail, RETRY_AFTER_MS
            )
        return self.stop_refusal(job)

    def quarantine_refusal(self, job: RelayJob) -> Refusal | None:
        """Return the refusal of a request that is held back, else None."""
        quarantine = self.view.quarantine
        if not quarantine.evidence_by_key:
            return None
        refusal = self._crashing_request_refusal(job)
        if refusal is not None or not job.route.prompt_affinity:
            return refusal
        status = quarantine.status(digest_part(p.name) for p in job.request.parts[:-1])
        if not status.held_ms:
            return None
        return self.hold_refusal(job, status.held_ms, status.suspects)

    def _crashing_request_refusal(self, job: RelayJob) -> Refusal | None:
        """Return the refusal of a request under which targets crashed, else None."""
        held_ms = self.view.quarantine.request_held_ms(job.digest)
        if job.crashes >= CRASHES_TO_HOLD:
            held_ms = max(held_ms, FIRST_HOLD_MS)
        elif held_ms and self.answered.includes(job.digest):
            # It ran beside the cause of the crashes; others learn of it.
            self.view.quarantine.clear(job.digest, self.clock.now_ms())
            return None
        if not held_ms:
            return None
        verdict = Verdict.MAY_HAVE_RUN if job.runs else Verdict.NOT_RUN
        detail = f"targets crashed under this request (digest {job.digest})"
        return Refusal(RefusalReason.QUARANTINED_REQUEST, verdict, detail, held_ms)

    def hold_refusal(
        self, job: RelayJob, held_ms: int, held_parts: Collection[str]
    ) -> Refusal:
        """Return the refusal of a prompt that the quarantine holds back.

        Args:
            job: Request.
            held_ms: How long it is held back.
            held_parts: Digests of the parts that explain crashes; empty if another
                prompt with one of its parts is tried first.
        """
        detail = "a prompt with a part that may crash engines is tried first"
        if held_parts:
            names = [part.name for part in job.request.parts]
            names = [name for name in names if digest_part(name) in held_parts]
            detail = f"engines crashed under prompts with the parts {names}"
        verdict = Verdict.MAY_HAVE_RUN if job.runs else Verdict.NOT_RUN
        return Refusal(RefusalReason.QUARANTINED, verdict, detail, held_ms)

    async def _choose_target(self, job: RelayJob) -> TargetRow | Refusal | None:
        if not job.route.prompt_affinity:
            return self.chooser.choose(self._usable_targets(job), job.tried_targets)
        placed = await self.place(job, begin=True)
        # Targets may have left while the owner chose.
        rows = self._usable_targets(job)
        job.placed_ms = placed.expected_ms
        if placed.held_ms:
            return self.hold_refusal(job, placed.held_ms, placed.held_parts)
        for row in rows:
            if row.name == placed.target:
                return row
        if placed.target:
            # The owner chose a target that this entry does not know, because one of the
            # two has not received an update yet.
            await self.placement.report_end(
                RunOver(
                    job.request.request_id, job.service, placed.target, RunOutcome.OVER
                )
            )
        return self.chooser.choose(rows, job.tried_targets)

    async def place(self, job: RelayJob, *, begin: bool) -> Placed:
        """Return the engine of the next attempt.

        Args:
            job: Request.
            begin: Whether the attempt starts now; otherwise nothing is recorded.
        """
        sizes = job.result_bytes()
        rows = self._targets(job)
        paused = [row.name for row in rows if self._paused_ms(job, row)]
        return await self.placement.place(
            PlaceRun(
                request_id=job.request.request_id,
                service=job.service,
                parts=job.request.parts,
                prompt_tokens=job.request.prompt_tokens,
                avoid=(*job.tried_targets, *paused),
                results=tuple(PlaceSize(*item) for item in sorted(sizes.items())),
                begin=begin,
                route=job.route.name,
                software_version=job.origin.software_version if job.origin else "",
            )
        )

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
        job.progress = AnswerProgress.NOTHING
        job.sent_ms = job.carrier = None
        job.attempt_timed_out = False
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
                on_open=job.record_carrier,
                on_sent=on_sent,
                urgency=job.urgency,
                identity=request.request_id,
                confirmed=False,
                head_waits_ms=head_waits_ms,
            ) as stream:
                stream, head = await self._skip_crossed_answers(job, stream)
                await stream.confirm()
                if head.load is not None:
                    self.chooser.record_load(row, head.load)
                job.progress = AnswerProgress.HEAD
                yield Attempt(row, stream, head, job.sent_ms)
        except (curio.CancelledError, GeneratorExit):
            # The caller disconnected, which says nothing about the target. Of an
            # attempt that timed out ``call`` reports how it ended; only the first
            # report counts.
            if not job.attempt_timed_out:
                await self.reports.record_end(job, row, RunOutcome.OVER)
            raise
        finally:
            self.chooser.record_end(row)

    def _may_send(self, job: RelayJob, row: TargetRow) -> bool:
        """Return whether a request may be sent on a connection that is open by now."""
        if self._send_refusal(job, job.runs) is not None:
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
                    "connection carried others",
                    verdict=Verdict.MAY_HAVE_RUN,
                )
            self.crossed_answers += 1
            stream = await stream.next_answer(self.remaining_ms(job))
        raise TargetFailed(
            f"{MAX_CROSSED_ANSWERS} answers on the connection are to other requests",
            verdict=Verdict.MAY_HAVE_RUN,
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
        return 200 <= head.status < 300 and head.genuine

    async def handle_failure(
        self, job: RelayJob, row: TargetRow, error: TargetFailed
    ) -> Refusal | None:
        """Return the refusal after a failed attempt, or None to try again."""
        job.detail = f"{row.name}: {error}"
        self._log_failure(job, row)
        if isinstance(error, ConnectShortage) and not error.only_here:
            return await self._handle_shortage(job, row, error)
        if isinstance(error, SendForbidden | TargetPaused):
            if job.sent_ms is not None:
                # The target paused just before the first byte.
                job.runs -= 1
            # Nothing was sent, so the target may be tried when it takes requests again.
            job.tried_targets.remove(row.name)
            await self.reports.record_end(job, row, RunOutcome.OVER)
            return self._send_refusal(job, job.runs)
        if isinstance(error, VersionMismatch):
            # The target is sound; its answer does not fit this stream.
            await self.reports.record_end(job, row, RunOutcome.OVER)
            if error.final:
                return Refusal(
                    RefusalReason.ORIGIN_UNKNOWN, Verdict.MAY_HAVE_RUN, job.detail
                )
            return self._refuse_or_retry(job)
        if isinstance(error, ConnectFailed):
            # A path that failed says nothing about the target.
            outcome = RunOutcome.UNREACHABLE if error.confirmed else RunOutcome.OVER
            if error.undecided:
                job.unreached_targets.append(row.name)
            await self.reports.record_end(job, row, outcome)
            return None
        await self.reports.record_failure(job, row, error)
        return self._refuse_or_retry(job)

    async def _handle_shortage(
        self, job: RelayJob, row: TargetRow, error: ConnectShortage
    ) -> Refusal | None:
        """Return the refusal of a request for which this process has no connection.

        A stream whose head was sent waits, as it cannot be refused any more.
        """
        job.tried_targets.remove(row.name)
        await self.reports.record_end(job, row, RunOutcome.OVER)
        if job.streaming:
            await self.clock.sleep_ms(SHORTAGE_PAUSE_MS)
            return self._send_refusal(job, job.runs)
        verdict = Verdict.MAY_HAVE_RUN if job.runs else Verdict.NOT_RUN
        return Refusal(
            RefusalReason.OVERLOADED, verdict, job.detail, error.retry_after_ms
        )

    def _refuse_or_retry(self, job: RelayJob) -> Refusal | None:
        """Return the refusal after an attempt that may have run, or None to retry."""
        if not job.may_run_again:
            reason = RefusalReason.TARGET_FAILED
            if self.clock.now_ms() >= job.deadline_at_ms:
                reason = RefusalReason.DEADLINE
            return Refusal(reason, Verdict.MAY_HAVE_RUN, job.detail)
        return self._spend_retry(job)

    async def handle_error_answer(
        self, job: RelayJob, attempt: Attempt
    ) -> Refusal | None:
        """Return the refusal after an unsuccessful answer, or None to try again."""
        head, row = attempt.head, attempt.row
        job.detail = f"{row.name} answered {head.status}"
        self._log_failure(job, row)
        if head.not_run or head.misdirected:
            job.runs -= 1
            rejection = RunOutcome.REJECTED
            if head.misdirected:
                rejection = RunOutcome.MISDIRECTED
            await self.reports.record_end(job, row, rejection, load=head.load)
            return self._spend_retry(job)
        paused = self._paused_ms(job, row) > 0
        failed = head.status >= 500 and not paused or not head.genuine
        outcome = RunOutcome.FAILED if failed else RunOutcome.OVER
        await self.reports.record_end(job, row, outcome, load=head.load)
        if not job.may_run_again or head.status < 500 and head.genuine:
            return Refusal(
                RefusalReason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, job.detail
            )
        return self._spend_retry(job)

    def _spend_retry(self, job: RelayJob) -> Refusal | None:
        """Spend one retry of the budget; return a refusal if there is none left."""
        if self.budget.spend(job.service):
            return None
        verdict = Verdict.MAY_HAVE_RUN if job.runs else Verdict.NOT_RUN
        detail = f"the retry budget of {job.service} is exhausted; {job.detail}"
        return Refusal(RefusalReason.TARGET_FAILED, verdict, detail, RETRY_AFTER_MS)

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
    return TargetFailed(
        "no complete answer before the attempt's timeout",
        verdict=Verdict.MAY_HAVE_RUN,
        timed_out=True,
    )
