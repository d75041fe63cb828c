"""Attempts of relayed requests at targets: one at a time, repeated where allowed."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import curio

from wagtailrun import events
from wagtailrun.adapters.http_client import HttpClient, HttpStream
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.discovery import FleetView
from wagtailrun.exceptions import (
    ConnectFailed,
    Refusal,
    RefusalReason,
    TargetFailed,
    Verdict,
)
from wagtailrun.membership import TargetRow
from wagtailrun.relay.choice import TargetChooser
from wagtailrun.relay.job import RelayJob
from wagtailrun.relay.placement import Placement
from wagtailrun.relay.placement_messages import (
    Placed,
    PlaceRun,
    PlaceSize,
    RunOutcome,
    RunOver,
)
from wagtailrun.relay.port import AnswerHead, AttemptOrder, RelayWire, TargetLoad
from wagtailrun.retries import RetryBudget

__all__ = ["Attempt", "RelayAttempts"]

# Links within and between the data centres of a region take under 5 ms; a lost opening
# packet is sent again after a second, which is longer than trying another target.
CONNECT_MS = 300
# A repeatable request is tried elsewhere when this part of its time is over; the tail
# of the calls on the users' sheets is five times their mean, inside one aim.
PATIENCE_OF_AIM = 1.0
PATIENCE_OF_REST = 0.5
MIN_PATIENCE_MS = 60
# Refusals by targets that told that they are full.
RETRY_AFTER_MS = 300
# Answers to earlier requests that are skipped on one connection.
MAX_CROSSED = 2


@attrs.define
class Attempt:
    """One attempt whose answer has begun.

    Attributes:
        row: Target.
        stream: The answer.
        head: What its head says.
        started_ms: When the request was sent.
    """

    row: TargetRow
    stream: HttpStream
    head: AnswerHead
    started_ms: int


class RelayAttempts:
    """Sends requests to targets.

    Args:
        clock: Clock.
        view: What this entry knows of the fleet.
        wire: Translates requests and answers.
        http: Connections to targets.
        chooser: Chooses the targets of plain services.
        placement: Chooses engines.
        budget: Pays for repeated attempts.
    """

    def __init__(
        self,
        clock: Clock,
        view: FleetView,
        wire: RelayWire,
        http: HttpClient,
        chooser: TargetChooser,
        placement: Placement,
        budget: RetryBudget,
    ):
        self.clock = clock
        self.view = view
        self.wire = wire
        self.http = http
        self.chooser = chooser
        self.placement = placement
        self.budget = budget
        self.crossed_answers = 0

    async def call(self, job: RelayJob) -> Response | Refusal:
        """Return the whole answer of a target, or why there is none."""
        fallback: Response | None = None
        while True:
            row = await self.next_target(job)
            if isinstance(row, Refusal):
                return fallback or row
            try:
                async with (
                    curio.timeout_after(self._patience_ms(job) / MS_PER_SECOND),
                    self.open(job, row) as attempt,
                ):
                    body = await attempt.stream.read_all(self.remaining_ms(job))
            except curio.TaskTimeout:
                error = TargetFailed("no answer in time", verdict=Verdict.MAY_HAVE_RUN)
                refusal = await self.after_failure(job, row, error)
            except TargetFailed as error:
                refusal = await self.after_failure(job, row, error)
            else:
                answer = Response(attempt.head.status, body, attempt.head.headers)
                if self.is_good(attempt.head):
                    job.first_ms = self.clock.now_ms()
                    await self._note_success(job, attempt)
                    return answer
                if attempt.head.genuine and not attempt.head.not_run:
                    fallback = answer
                refusal = await self.after_bad_answer(job, attempt)
            if refusal is not None:
                return fallback or refusal

    # Parts that streams share

    def remaining_ms(self, job: RelayJob) -> int:
        """Return the time left for a request; at least 1 ms."""
        return max(job.end_at_ms - self.clock.now_ms(), 1)

    async def next_target(self, job: RelayJob) -> TargetRow | Refusal:
        """Return the target of the next attempt, or why there is none."""
        if self.clock.now_ms() >= job.end_at_ms:
            verdict = Verdict.MAY_HAVE_RUN if job.runs else Verdict.NOT_RUN
            return Refusal(RefusalReason.DEADLINE, verdict, job.detail)
        if job.workspace and not self.view.is_fresh and not job.runs:
            detail = f"keys confirmed {self.view.confirmation_age_ms} ms ago"
            return Refusal(
                RefusalReason.KEYS_UNCONFIRMED, Verdict.NOT_RUN, detail, RETRY_AFTER_MS
            )
        row = await self._choose(job)
        if row is None:
            verdict = Verdict.MAY_HAVE_RUN if job.runs else Verdict.NOT_RUN
            detail = job.detail or f"no target of {job.service} is known"
            return Refusal(RefusalReason.NO_TARGET, verdict, detail, RETRY_AFTER_MS)
        return row

    async def _choose(self, job: RelayJob) -> TargetRow | None:
        rows = self.view.targets(job.service)
        if not job.route.prompt_affinity:
            return self.chooser.choose(rows, job.tried)
        placed = await self.place(job, begin=True)
        job.placed_ms = placed.expected_ms
        for row in rows:
            if row.name == placed.target:
                return row
        if placed.target:
            # The owner knows a target that is not known here yet, or not any more.
            await self.placement.over(
                RunOver(
                    job.request.request_id, job.service, placed.target, RunOutcome.OVER
                )
            )
        return self.chooser.choose(rows, job.tried)

    async def place(self, job: RelayJob, *, begin: bool) -> Placed:
        """Return the engine of the next attempt.

        Args:
            job: Request.
            begin: Whether the attempt begins now.
        """
        sizes = job.result_bytes()
        return await self.placement.place(
            PlaceRun(
                request_id=job.request.request_id,
                service=job.service,
                parts=job.request.parts,
                prompt_tokens=job.request.prompt_tokens,
                avoid=tuple(job.tried),
                results=tuple(PlaceSize(*item) for item in sorted(sizes.items())),
                begin=begin,
                route=job.route.name,
            )
        )

    async def over(
        self,
        job: RelayJob,
        row: TargetRow,
        outcome: RunOutcome,
        first_event_ms: int = 0,
        load: TargetLoad | None = None,
    ) -> None:
        """Note how an attempt at ``row`` ended, where its target was chosen.

        Args:
            job: Request.
            row: Target.
            outcome: How the attempt ended.
            first_event_ms: Time to its first event or its answer, if that came.
            load: What the target told of its load.
        """
        if job.route.prompt_affinity:
            load = load or TargetLoad(0, 0, 0)
            now_ms = self.clock.now_ms()
            message = RunOver(
                job.request.request_id,
                job.service,
                row.name,
                outcome,
                first_event_ms,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
                route=job.route.name if job.went_as_planned else "",
                error_ms=now_ms - job.arrived_ms - job.expected_ms,
            )
            await self.placement.over(message)
            return
        match outcome:
            case RunOutcome.SUCCEEDED:
                aim_ms = max(job.aim_at_ms - job.arrived_ms, 1)
                # Half the aim is what a target that keeps up takes.
                self.chooser.succeeded(row, first_event_ms / (aim_ms / 2))
            case RunOutcome.FAILED:
                self.chooser.failed(row)
            case RunOutcome.UNREACHABLE:
                self.chooser.unreachable(row)
            case RunOutcome.REJECTED | RunOutcome.MISDIRECTED:
                self.chooser.rejected(row, outcome is RunOutcome.MISDIRECTED)

    def _patience_ms(self, job: RelayJob) -> int:
        """Return how long an attempt may take before another one is made."""
        rest_ms = self.remaining_ms(job)
        if not job.route.repeatable or job.runs + 1 >= job.route.max_attempts:
            return rest_ms
        aim_ms = PATIENCE_OF_AIM * (job.aim_at_ms - job.arrived_ms)
        patience_ms = max(min(aim_ms, PATIENCE_OF_REST * rest_ms), MIN_PATIENCE_MS)
        return min(int(patience_ms), rest_ms)

    @asynccontextmanager
    async def open(
        self, job: RelayJob, row: TargetRow, last_event_id: int | None = None
    ) -> AsyncIterator[Attempt]:
        """Send the request to ``row`` and yield the answer once its head is there.

        Raises:
            TargetFailed: If there is no answer to this request.
        """
        rest_ms = self.remaining_ms(job)
        order = AttemptOrder(
            target=row.name,
            workspace=job.workspace,
            remaining_ms=rest_ms,
            urgency=job.urgency,
            inputs=job.inputs,
            last_event_id=last_event_id,
        )
        request = job.request
        started_ms = self.clock.now_ms()
        job.tried.append(row.name)
        # Counted before the send: whatever happens from here on, it may have run.
        job.runs += 1
        self.chooser.started(row, (), 0)
        try:
            async with self.http.open(
                row.address,
                job.http.method,
                job.http.target,
                self.wire.attempt_headers(request, order),
                job.http.body,
                timeout_ms=rest_ms,
                # A request on a connection that the target has just closed may have
                # run, and an answer to an earlier one may still be on its way.
                new_connection=not job.route.repeatable,
                host=request.host,
                connect_timeout_ms=min(CONNECT_MS, rest_ms),
            ) as stream:
                stream, head = await self._own_answer(job, stream)
                if head.load is not None:
                    self.chooser.told_load(row, head.load)
                yield Attempt(row, stream, head, started_ms)
        except (curio.CancelledError, GeneratorExit):
            # The caller left, which says nothing about the target.
            await self.over(job, row, RunOutcome.OVER)
            raise
        finally:
            self.chooser.ended(row)

    async def _own_answer(
        self, job: RelayJob, stream: HttpStream
    ) -> tuple[HttpStream, AnswerHead]:
        """Return the answer to this request, past late answers to earlier ones."""
        for _ in range(MAX_CROSSED):
            head = self.wire.answer(stream)
            if head.request_id == job.request.request_id or not head.request_id:
                return stream, head
            self.crossed_answers += 1
            stream = await stream.next_answer(self.remaining_ms(job))
        raise TargetFailed("answers to other requests", verdict=Verdict.MAY_HAVE_RUN)

    def is_good(self, head: AnswerHead) -> bool:
        """Whether an answer is a success of the target itself."""
        return 200 <= head.status < 300 and head.genuine

    async def after_failure(
        self, job: RelayJob, row: TargetRow, error: TargetFailed
    ) -> Refusal | None:
        """Return why a request ends with a failed attempt, or None to try again."""
        job.detail = f"{row.name}: {error}"
        self._log_failure(job, row)
        if isinstance(error, ConnectFailed):
            job.runs -= 1
            await self.over(job, row, RunOutcome.UNREACHABLE)
            return None
        await self.over(job, row, RunOutcome.FAILED)
        if not job.may_run_again:
            reason = RefusalReason.TARGET_FAILED
            if self.clock.now_ms() >= job.end_at_ms:
                reason = RefusalReason.DEADLINE
            return Refusal(reason, Verdict.MAY_HAVE_RUN, job.detail)
        return self._pay(job)

    async def after_bad_answer(self, job: RelayJob, attempt: Attempt) -> Refusal | None:
        """Return why a request ends with an answer, or None to try again."""
        head, row = attempt.head, attempt.row
        job.detail = f"{row.name} answered {head.status}"
        self._log_failure(job, row)
        if head.not_run or head.misdirected:
            job.runs -= 1
            rejected = RunOutcome.REJECTED
            if head.misdirected:
                rejected = RunOutcome.MISDIRECTED
            await self.over(job, row, rejected, load=head.load)
            return self._pay(job)
        bad = head.status >= 500 or not head.genuine
        outcome = RunOutcome.FAILED if bad else RunOutcome.OVER
        await self.over(job, row, outcome, load=head.load)
        if not job.may_run_again or head.status < 500 and head.genuine:
            return Refusal(
                RefusalReason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, job.detail
            )
        return self._pay(job)

    def _pay(self, job: RelayJob) -> Refusal | None:
        """Take one more arrival from the shared budget."""
        if self.budget.spend(job.service):
            return None
        verdict = Verdict.MAY_HAVE_RUN if job.runs else Verdict.NOT_RUN
        detail = f"no repeat is left for {job.service}; {job.detail}"
        return Refusal(RefusalReason.TARGET_FAILED, verdict, detail, RETRY_AFTER_MS)

    def _log_failure(self, job: RelayJob, row: TargetRow) -> None:
        events.log(
            events.ATTEMPT_FAILED,
            request_id=job.request.request_id,
            service=job.service,
            target=row.name,
            address=str(row.address),
            attempt=len(job.tried),
            runs=job.runs,
            detail=job.detail,
            remaining_ms=job.end_at_ms - self.clock.now_ms(),
        )

    async def _note_success(self, job: RelayJob, attempt: Attempt) -> None:
        took_ms = self.clock.now_ms() - attempt.started_ms
        await self.over(
            job, attempt.row, RunOutcome.SUCCEEDED, took_ms, attempt.head.load
        )
