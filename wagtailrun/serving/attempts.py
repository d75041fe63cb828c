"""Runs attempts at targets, with hedges; detects stalls and slow streams."""

import itertools
import secrets
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing, suppress
from typing import Any, TypeAlias

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, drop_expired
from wagtailrun.exceptions import (
    ConnectFailed,
    ConnectShortage,
    SendForbidden,
    TargetFailed,
)
from wagtailrun.logs import events
from wagtailrun.ports.target import Attempt, StageAnswer, Token
from wagtailrun.process.late_tasks import LATE_WAIT_MS
from wagtailrun.serving.dispatch_context import DispatchContext, TargetSource
from wagtailrun.serving.dispatch_options import DispatchOptions
from wagtailrun.serving.path_probes import responds_to
from wagtailrun.targets.attempt_ends import (
    MIN_STALL_MS,
    ConnectionStalled,
    DeadlinePassed,
    RunOutcome,
    TargetTooSlow,
    end_of_failure,
)
from wagtailrun.targets.decisions import DecisionPoint
from wagtailrun.targets.paths import FRESH_CONNECTION_MS
from wagtailrun.targets.retries import HEDGE_RESERVE
from wagtailrun.targets.table import TargetRow
from wagtailrun.targets.work import Work

__all__ = ["AttemptRun", "Attempts", "Results"]

# A connection counts as stalled after this multiple of the expected time to the next
# item, but not before MIN_STALL_MS.
STALL_FACTOR = 3
# Where nothing is known of the duration, a target that does not answer a probe after
# this time is given up. Attempts that go on are checked again after twice the time.
UNKNOWN_STALL_MS = 1_000
MAX_CHECK_DOUBLINGS = 6
# The pace of a stream is evaluated after each group of this many items.
PACE_ITEMS = 3
# A stream moves away from a target that is this many times slower than typical, if it
# would miss its deadline there.
SLOW_PACE_FACTOR = 3.0
DRAIN_MS = 1_000
# A time limit that is noticed this much too late was not that of the target: the loop
# of this process stood still meanwhile.
LATE_MS = 20
# Standstills of this process excuse a stalled attempt for up to this long, as a loop
# that is always late has to find stalled attempts, too.
MAX_EXCUSED_MS = MIN_STALL_MS
# Waits end just before the request's own deadline, so that the refusal can state when
# to retry.
DEADLINE_MARGIN_MS = 1


@attrs.define(eq=False)
class AttemptRun:
    """One attempt in progress.

    Attributes:
        work: Work that is attempted.
        target: Target that was chosen.
        attempt: Attempt as it is sent.
        started_ms: When it started.
        results: Receives the first item or the failure.
        detect_stall: Whether the attempt is abandoned when it stalls; the last one that
            the retry limit allows is not, nor is its hedge.
        streaming: Whether the answer is a stream.
        task: Task that waits for the first item.
        stream: Items of a streaming attempt that has begun.
        first_ms: Time to the first item, in milliseconds.
        tokens: Number of received tokens.
        items: Number of items received after the first one.
        gap_ms: Moving average of the time between items, in milliseconds.
        checks: How often it was looked whether it is stalled.
        ended: Whether the attempt was recorded as ended.
        took_token: Whether it took a token of the retry budget as a hedge.
        may_hedge: Whether a hedge may follow; not after one without a connection,
            which would follow at once, again and again.
    """

    work: Work
    target: TargetRow
    attempt: Attempt
    started_ms: int
    results: curio.Queue
    detect_stall: bool = True
    streaming: bool = False
    task: curio.Task | None = None
    stream: AsyncGenerator[tuple[Token, ...], None] | None = None
    first_ms: int = 0
    tokens: int = 0
    items: int = 0
    gap_ms: float = 0.0
    checks: int = 0
    ended: bool = False
    took_token: bool = False
    may_hedge: bool = True

    @property
    def key(self) -> tuple[str, str]:
        """Identifier of the attempt, and name of its target."""
        return str(self.attempt.number), self.target.name


Results: TypeAlias = curio.Queue


class Attempts:
    """Runs attempts for a dispatcher.

    Args:
        context: Components, policies and counters of the dispatcher.
        targets: Finds the targets of hedges, and those that a stream may move to.
    """

    def __init__(self, context: DispatchContext, targets: TargetSource):
        self.context = context
        self.targets = targets
        self.clock = context.clock
        self.client = context.client
        self.router = context.router
        self.estimates = context.estimates
        self.admission = context.admission
        self.probe = context.probe
        self.observer = context.observer
        self.budget = context.budget
        self.counts = context.counts
        self.fresh_until_ms_by_name: dict[str, int] = {}
        # Attempt numbers of different incarnations of an entry must not collide.
        first = secrets.randbits(40) << 20
        self.next_number: Callable[[], int] = itertools.count(first).__next__

    @property
    def options(self) -> DispatchOptions:
        """Policies of the dispatcher that are enabled."""
        return self.context.options

    async def launch(
        self,
        work: Work,
        target: TargetRow,
        offset: int,
        results: Results,
        streaming: bool,
        detect_stall: bool = True,
    ) -> AttemptRun:
        """Start an attempt in a task that puts its first result into ``results``."""
        now_ms = self.clock.now_ms()
        attempt = Attempt(
            number=self.next_number(),
            request_id=work.request_id,
            path=work.path,
            body=work.body,
            remaining_ms=max(work.deadline_at_ms - now_ms, 1),
            priority=self._priority(work),
            resume_offset=offset,
            new_connection=not work.idempotent or self._needs_new_connection(target),
        )
        run = AttemptRun(
            work, target, attempt, now_ms, results, detect_stall, streaming
        )
        self._watch(run)
        run.task = await curio.spawn(self._receive_first, run, daemon=True)
        return run

    def _watch(self, run: AttemptRun) -> None:
        """Watch an attempt until its first item, if the time to that is known."""
        expected_ms = self._longest_first_ms(run.work)
        if self.router.silence is None or expected_ms is None:
            return
        # The expected time is not that of a stream that goes on. Orders do not probe:
        # nothing might raise a share again that they lowered.
        if run.attempt.resume_offset or not run.work.idempotent:
            return
        reporter = self.router.name
        self.router.silence.begin(run.key, run.target, reporter, expected_ms)

    def _record_watched(
        self, run: AttemptRun, outcome: RunOutcome, first_ms: int = 0
    ) -> None:
        if self.router.silence is not None:
            self.router.silence.record_end(run.key, outcome, first_ms)

    def _needs_new_connection(self, target: TargetRow) -> bool:
        """Return whether open connections to a target may be stalled."""
        if self.clock.now_ms() < self.fresh_until_ms_by_name.get(target.name, 0):
            return True
        paths = self.router.paths
        return paths is not None and paths.needs_new_connection(target)

    def _priority(self, work: Work) -> int:
        """Return the priority at the target, which follows the order of admission."""
        if not self.options.admission:
            return work.priority
        within_share = not self.admission.excess_share(work)
        return 20 * within_share + 10 * (not work.may_wait) + work.priority

    async def _receive_first(self, run: AttemptRun) -> None:
        address = run.target.address
        value: tuple[Token, ...] | StageAnswer | TargetFailed
        try:
            attempt = self._attempt_now(run)
            if run.streaming:
                run.stream = self.client.stream(address, attempt)
                value = await anext(run.stream)
            else:
                value = await self.client.call(address, attempt)
        except StopAsyncIteration:
            value = TargetFailed("the stream ended without its end marker")
        except TargetFailed as error:
            value = error
        except Exception as error:
            # Without a result, the request would wait until its deadline.
            events.log(events.HANDLER_FAILED, detail=repr(error))
            value = TargetFailed(f"the attempt ended with an internal error: {error!r}")
        await run.results.put((run, value))

    def _attempt_now(self, run: AttemptRun) -> Attempt:
        """Return the attempt with the time that is left as it begins.

        Raises:
            SendForbidden: If none is left, as this process stood still.
        """
        left_ms = run.work.deadline_at_ms - self.clock.now_ms()
        if left_ms <= 0:
            raise SendForbidden("the deadline passed before the attempt began")
        return attrs.evolve(run.attempt, remaining_ms=left_ms)

    async def first_item(self, run: AttemptRun) -> tuple[AttemptRun, Any]:
        """Return the first item or answer of the attempt or of its hedge."""
        runs = [run]
        try:
            while True:
                winner, value = await self._next_result(runs)
                if winner not in runs:
                    # A late result of an attempt that was abandoned as stalled.
                    continue
                if not isinstance(value, TargetFailed):
                    runs.remove(winner)
                    winner.first_ms = self.clock.now_ms() - winner.started_ms
                    if self.router.paths is not None:
                        self.router.paths.record_answer(
                            winner.target, winner.started_ms
                        )
                    self.router.record_first_item(
                        winner.target, winner.first_ms, winner.work
                    )
                    first_ms = max(winner.first_ms, 1)
                    self._record_watched(winner, RunOutcome.SUCCEEDED, first_ms)
                    return winner, value
                await self.fail(winner, value)
                runs.remove(winner)
                if not runs:
                    raise value
                if isinstance(value, ConnectFailed):
                    runs[0].may_hedge = False
        finally:
            for other in runs:
                await self.abandon(other)

    async def _next_result(self, runs: list[AttemptRun]) -> tuple[AttemptRun, Any]:
        """Wait for a result; meanwhile start a hedge or abandon a stalled attempt."""
        run = runs[0]
        work = run.work
        hedge_at_ms = self._hedge_at_ms(run) if len(runs) == 1 else None
        stalled_at_ms = self._stalled_at_ms(run)
        end_ms = work.deadline_at_ms - DEADLINE_MARGIN_MS - self._min_streaming_ms(run)
        excused_ms = MAX_EXCUSED_MS
        while True:
            now_ms = self.clock.now_ms()
            if now_ms >= end_ms:
                raise DeadlinePassed()
            if hedge_at_ms is not None and now_ms >= hedge_at_ms:
                hedge_at_ms = None
                await self._start_hedge(runs)
            if stalled_at_ms is not None and now_ms >= stalled_at_ms:
                error = await self._check_first_item(run)
                if error is not None:
                    return run, error
                stalled_at_ms = self._next_check_ms(run)
            times = [end_ms, hedge_at_ms, stalled_at_ms]
            until_ms = min(time_ms for time_ms in times if time_ms is not None)
            result = await self._wait_for_result(run.results, until_ms)
            if result is not None:
                return result
            now_ms = self.clock.now_ms()
            if stalled_at_ms is not None and now_ms - until_ms >= LATE_MS:
                late_ms = min(now_ms - until_ms, excused_ms)
                excused_ms -= late_ms
                stalled_at_ms = max(stalled_at_ms, now_ms) + late_ms

    async def _wait_for_result(
        self, results: Results, until_ms: int
    ) -> tuple[AttemptRun, Any] | None:
        """Return the next result; None if there is none until a time on the clock.

        After a standstill the event loop handles the time before a result that has
        arrived, which gets another moment.
        """
        wait_ms = until_ms - self.clock.now_ms()
        if wait_ms <= 0:
            return None
        result: tuple[AttemptRun, Any] | None
        result = await curio.ignore_after(wait_ms / MS_PER_SECOND, results.get)
        if result is None and self.clock.now_ms() - until_ms >= LATE_MS:
            result = await curio.ignore_after(LATE_WAIT_MS / MS_PER_SECOND, results.get)
        return result

    def _min_streaming_ms(self, run: AttemptRun) -> int:
        """Return the shortest time from the first item to the end of a stream.

        A stream cannot meet its deadline if less time than this remains when its first
        item arrives.
        """
        work = run.work
        if not run.streaming or run.attempt.resume_offset or not work.idempotent:
            return 0
        if not self.options.admission:
            return 0
        key = (work.service, work.stage, work.size_class)
        total_ms = self.estimates.baseline_ms(*key) or 0
        return max(total_ms - (self.estimates.first_baseline_ms(*key) or 0), 0)

    def _hedge_at_ms(self, run: AttemptRun) -> int | None:
        work = run.work
        if not self.options.hedges or not work.idempotent or run.attempt.resume_offset:
            return None
        if not run.may_hedge:
            return None
        key = (work.service, work.stage, work.size_class)
        p95_ms = self.estimates.first_ms(*key, percent=95)
        return None if p95_ms is None else run.started_ms + p95_ms

    async def _start_hedge(self, runs: list[AttemptRun]) -> None:
        run = runs[0]
        work = run.work
        if self.options.budget and not self.budget.has(work.service, HEDGE_RESERVE):
            self.context.decisions.begin_choice(())
            self._record_hedge(work, "none", "no-budget")
            return
        target = self.targets.choose(work, {run.target.name})
        if target is None or target.name == run.target.name:
            self._record_hedge(work, "none", "no-other")
            return
        # It was chosen for lack of another one, and the first attempt still runs.
        if self.router.is_paused(target):
            self._record_hedge(work, "none", "paused")
            return
        self._record_hedge(work, target.name)
        if self.options.budget:
            self.budget.spend(work.service)
        self.router.started(target)
        self.counts["hedge"] += 1
        self.observer.hedged(work, target)
        hedge = await self.launch(
            work, target, 0, run.results, run.streaming, run.detect_stall
        )
        hedge.took_token = self.options.budget
        runs.append(hedge)

    def _record_hedge(self, work: Work, chosen: str, reason: str = "") -> None:
        log, point = self.context.decisions, DecisionPoint.HEDGE
        if log.enabled:
            log.record_choice(work.request_id, work.stage, point, chosen, reason)

    def _stalled_at_ms(self, run: AttemptRun) -> int | None:
        """Return when the attempt will count as stalled, or None if it never does."""
        work = run.work
        if (
            not self.options.detect_stalls
            or not work.idempotent
            or not run.detect_stall
        ):
            return None
        expected_ms = self._longest_first_ms(work)
        if expected_ms is None:
            # Without a probe, nothing tells a lost target from one that needs long.
            return None if self.probe is None else run.started_ms + UNKNOWN_STALL_MS
        return run.started_ms + max(STALL_FACTOR * expected_ms, MIN_STALL_MS)

    def _longest_first_ms(self, work: Work) -> int | None:
        key = (work.service, work.stage, work.size_class)
        return self.estimates.longest_first_ms(*key)

    async def _check_first_item(self, run: AttemptRun) -> TargetFailed | None:
        """Return why an attempt without a first item is abandoned, or None."""
        run.checks += 1
        error = await self._check_stalled(run)
        is_known = self._longest_first_ms(run.work) is not None
        if isinstance(error, ConnectionStalled) and not is_known:
            # The target works, and may need long for this kind of work.
            return None
        return error

    def _next_check_ms(self, run: AttemptRun) -> int | None:
        """Return when an attempt that goes on is checked again, or None if never."""
        if not run.detect_stall:
            return None
        interval_ms = UNKNOWN_STALL_MS << min(run.checks, MAX_CHECK_DOUBLINGS)
        return self.clock.now_ms() + interval_ms

    async def _check_stalled(self, run: AttemptRun) -> TargetFailed | None:
        """Return why a stalled attempt is abandoned, or None to keep waiting.

        A probe on a new connection tells a stalled connection from a dead target.
        """
        detail = f"{run.target.name} does not respond on a new connection"
        paths = self.router.paths
        if paths is not None and paths.is_lost(run.target):
            return TargetFailed(detail, timed_out=True)
        if not self._has_retry_budget(run.work.service):
            return None
        try:
            responds = await self._probe(run.target)
        except ConnectShortage:
            # Nothing tells the connection from the target, and more probes would take
            # what this process lacks.
            run.detect_stall = False
            return None
        if responds:
            now_ms = self.clock.now_ms()
            drop_expired(self.fresh_until_ms_by_name, now_ms)
            until_ms = now_ms + FRESH_CONNECTION_MS
            self.fresh_until_ms_by_name[run.target.name] = until_ms
            return ConnectionStalled(run.target)
        await self._mark_unreachable(run.target)
        return TargetFailed(detail, timed_out=True)

    def _has_retry_budget(self, service: str) -> bool:
        return not self.options.budget or self.budget.has(service)

    async def _probe(self, target: TargetRow) -> bool:
        if self.probe is None:
            return False
        return await responds_to(self.probe, target.address)

    async def _mark_unreachable(self, target: TargetRow, refused: bool = False) -> None:
        """Avoid a target until a probe of this entry finds it again."""
        self.router.mark_unreachable(target, refused)
        if self.context.prober is not None:
            await self.context.prober.start()

    async def next_item(self, run: AttemptRun) -> tuple[Token, ...]:
        """Return the next tokens of a started stream."""
        if run.stream is None:
            raise TargetFailed("the attempt is no stream")
        work = run.work
        started_ms = self.clock.now_ms()
        end_ms = work.deadline_at_ms - DEADLINE_MARGIN_MS
        wait_ms: float = end_ms - started_ms
        gap_ms = self.estimates.gap_ms(work.service)
        detect_stall = self.options.detect_stalls and run.detect_stall
        if detect_stall and gap_ms and self._has_retry_budget(work.service):
            wait_ms = min(wait_ms, max(STALL_FACTOR * gap_ms, MIN_STALL_MS))
        try:
            tokens: tuple[Token, ...] = await curio.timeout_after(
                max(wait_ms, 0) / MS_PER_SECOND, anext(run.stream)
            )
        except curio.TaskTimeout:
            if self.clock.now_ms() >= end_ms:
                raise DeadlinePassed() from None
            error = await self._check_stalled(run)
            raise (error or ConnectionStalled(run.target)) from None
        except StopAsyncIteration:
            raise TargetFailed("the stream ended without its end marker") from None
        self._record_gap(run, self.clock.now_ms() - started_ms)
        return tokens

    def _record_gap(self, run: AttemptRun, gap_ms: int) -> None:
        """Record the time to an item and evaluate the pace of the stream.

        Raises:
            TargetTooSlow: If the stream should move to a faster target.
        """
        work = run.work
        self.estimates.record_gap(work.service, gap_ms)
        run.items += 1
        run.gap_ms += (gap_ms - run.gap_ms) / min(run.items, PACE_ITEMS)
        if run.items % PACE_ITEMS:
            return
        typical_ms = self.estimates.gap_ms(work.service)
        if typical_ms:
            self.router.record_pace(run.target, run.gap_ms / typical_ms)
            if self._is_too_slow(run, typical_ms):
                raise TargetTooSlow(run.target)

    def _is_too_slow(self, run: AttemptRun, typical_ms: float) -> bool:
        """Return whether a stream would miss its deadline here, but not elsewhere."""
        work = run.work
        if not self.options.move_slow_streams or not run.detect_stall:
            return False
        left = work.max_tokens - run.attempt.resume_offset - run.tokens
        remaining_ms = work.deadline_at_ms - self.clock.now_ms()
        if (
            run.gap_ms < SLOW_PACE_FACTOR * typical_ms
            or left * run.gap_ms < remaining_ms
        ):
            return False
        key = (work.service, work.stage, work.size_class)
        first_ms = self.estimates.first_ms(*key) or 0
        would_be_in_time = first_ms + left * typical_ms < remaining_ms
        return (
            would_be_in_time
            and self._has_retry_budget(work.service)
            and self._can_move(run)
        )

    def _can_move(self, run: AttemptRun) -> bool:
        """Return whether another target has the version that began the stream."""
        version = run.target.software_version
        bound = attrs.evolve(run.work, software_version=version)
        return len(self.targets.usable_targets(bound)) > 1

    async def finish(self, run: AttemptRun, answer: StageAnswer | None) -> None:
        """Record an attempt whose complete answer arrived."""
        work, target = run.work, run.target
        duration_ms = self.clock.now_ms() - run.started_ms
        run.ended = True
        if run.stream is not None:
            await curio.spawn(self._drain, run.stream, daemon=True)
        self.router.ended(target, duration_ms, True, work, answer)
        if not run.attempt.resume_offset:
            self.estimates.record(
                work.service, work.stage, work.size_class, run.first_ms, duration_ms
            )
        answer = answer or StageAnswer(200, b"")
        counted = attrs.evolve(answer, tokens_out=run.tokens)
        self.observer.finished(work, target, duration_ms, counted)
        await self.admission.start_waiting(work.service)

    async def fail(self, run: AttemptRun, error: TargetFailed) -> None:
        """Record a failed attempt and cancel it at the target."""
        outcome = end_of_failure(error).outcome
        if run.took_token and isinstance(error, ConnectFailed):
            self.budget.refund(run.work.service)
        if outcome is RunOutcome.UNREACHABLE:
            refused = isinstance(error, ConnectFailed) and error.refused
            await self._mark_unreachable(run.target, refused)
        if error.pauses:
            self.router.pause(run.target, error.retry_after_ms)
        sent = not isinstance(error, ConnectFailed | SendForbidden)
        await self._end_attempt(run, outcome, sent)

    async def abandon(self, run: AttemptRun) -> None:
        """Record an attempt that is no longer needed and cancel it at the target."""
        await self._end_attempt(run, RunOutcome.OVER, sent=True)

    async def _end_attempt(
        self, run: AttemptRun, outcome: RunOutcome, sent: bool
    ) -> None:
        if run.ended:
            return
        run.ended = True
        work, target = run.work, run.target
        duration_ms = self.clock.now_ms() - run.started_ms
        if not run.first_ms and sent:
            self.router.record_first_item(target, duration_ms, work)
        self._record_watched(run, outcome)
        # The router has no form for a rejection; blame keeps work away, too.
        blamed = outcome is not RunOutcome.OVER
        self.router.ended(target, duration_ms, False, work, None, blamed)
        if run.tokens:
            # The caller has received these tokens, and the next attempt resumes after
            # them.
            used = StageAnswer(200, b"", tokens_out=run.tokens)
            self.observer.finished(work, target, duration_ms, used)
        elif sent:
            self.observer.wasted(work, target, duration_ms)
        # The clean-up must not delay the answer to the caller.
        await curio.spawn(self._clean_up, run, sent, daemon=True)
        await self.admission.start_waiting(work.service)

    async def _drain(self, stream: AsyncGenerator[tuple[Token, ...], None]) -> None:
        """Read past the end marker, so that the connection can be reused."""
        # The answer is complete; what fails after it concerns only the connection.
        with suppress(TargetFailed):
            async with aclosing(stream), curio.ignore_after(DRAIN_MS / MS_PER_SECOND):
                async for _ in stream:
                    pass

    async def _clean_up(self, run: AttemptRun, sent: bool) -> None:
        if run.task is not None:
            await run.task.cancel()
        if run.stream is not None:
            await run.stream.aclose()
        # An order may already be running and is not cancelled.
        if sent and run.work.idempotent:
            await self.client.cancel(run.target.address, run.attempt.number)
