"""Attempts at targets: first items, hedges, silent connections, slow streams."""

import itertools
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.membership import TargetRow
from wagtailrun.ports.target import Attempt, StageAnswer, Token
from wagtailrun.repeats import ConnectionSilent, DeadlinePassed, TargetTooSlow
from wagtailrun.retries import HEDGE_RESERVE
from wagtailrun.work import Work

if TYPE_CHECKING:
    from wagtailrun.dispatch import Dispatcher, DispatchOptions

__all__ = ["AttemptRun", "Attempts", "Results"]

# A connection is silent after this multiple of the expected gap, at least MIN_SILENCE.
SILENCE_MULTIPLE = 3
MIN_SILENCE_MS = 500
# The pace of a stream is judged each time so many pieces have come; a target this many
# times slower than typical is left if the deadline would be missed there.
PACE_ITEMS = 3
SLOW_PACE = 3.0
PROBE_TIMEOUT_MS = 500
DRAIN_MS = 1_000
# Idle connections are kept 15 s; those to a target with a silent connection may be
# silent too, so new ones are used that long.
FRESH_MS = 15_000
# Ends a wait just before the request's own deadline, so that the refusal names when to
# come back.
DEADLINE_MARGIN_MS = 1


@attrs.define(eq=False)
class AttemptRun:
    """One attempt under way."""

    work: Work
    target: TargetRow
    attempt: Attempt
    started_ms: int
    results: curio.Queue
    # Whether it is given up when nothing comes; the last attempt is not.
    impatient: bool = True
    task: curio.Task | None = None
    stream: AsyncIterator[tuple[Token, ...]] | None = None
    first_ms: int = 0
    tokens: int = 0
    items: int = 0
    gap_ms: float = 0.0
    ended: bool = False


Results = curio.Queue


class Attempts:
    """Runs attempts for a dispatcher.

    Args:
        dispatcher: Whose client, router, budget and observer are used.
    """

    def __init__(self, dispatcher: "Dispatcher"):
        self.dispatcher = dispatcher
        self.clock = dispatcher.clock
        self.client = dispatcher.client
        self.router = dispatcher.router
        self.estimates = dispatcher.estimates
        self.admission = dispatcher.admission
        self.probe = dispatcher.probe
        self.observer = dispatcher.observer
        self.budget = dispatcher.budget
        self.counts = dispatcher.counts
        self.choose = dispatcher.choose
        self.fresh_until_ms_by_name: dict[str, int] = {}
        # Numbers of different incarnations of an entry must not collide.
        first = secrets.randbits(40) << 20
        self.next_number: Callable[[], int] = itertools.count(first).__next__

    @property
    def options(self) -> "DispatchOptions":
        """Parts of the dispatcher that are in use."""
        return self.dispatcher.options

    async def launch(
        self,
        work: Work,
        target: TargetRow,
        offset: int,
        results: Results,
        streaming: bool,
        impatient: bool = True,
    ) -> AttemptRun:
        """Start an attempt in a task that puts its first result into ``results``."""
        now_ms = self.clock.now_ms()
        fresh_until_ms = self.fresh_until_ms_by_name.get(target.name, 0)
        attempt = Attempt(
            number=self.next_number(),
            request_id=work.request_id,
            path=work.path,
            body=work.body,
            remaining_ms=max(work.deadline_at_ms - now_ms, 1),
            priority=self._priority(work),
            resume_offset=offset,
            new_connection=not work.idempotent or now_ms < fresh_until_ms,
        )
        run = AttemptRun(work, target, attempt, now_ms, results, impatient)
        if streaming:
            run.stream = self.client.stream(target.address, attempt)
        run.task = await curio.spawn(self._run_first, run, daemon=True)
        return run

    def _priority(self, work: Work) -> int:
        """Return the priority at the target, in the order of admission."""
        if not self.options.admission:
            return work.priority
        within_share = not self.admission.over_share(work)
        return 20 * within_share + 10 * (not work.may_wait) + work.priority

    async def _run_first(self, run: AttemptRun) -> None:
        try:
            if run.stream is not None:
                value = await anext(run.stream)
            else:
                value = await self.client.call(run.target.address, run.attempt)
        except StopAsyncIteration:
            detail = "stream ended without its end marker"
            value = TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)
        except TargetFailed as error:
            value = error
        await run.results.put((run, value))

    async def first_item(self, run: AttemptRun) -> tuple[AttemptRun, Any]:
        """Return the first item or answer, of the attempt or of its hedge."""
        runs = [run]
        try:
            while True:
                winner, value = await self._next_result(runs)
                if winner not in runs:
                    # It was given up as silent and answered all the same.
                    continue
                if not isinstance(value, TargetFailed):
                    runs.remove(winner)
                    winner.first_ms = self.clock.now_ms() - winner.started_ms
                    self.router.waited(winner.target, winner.first_ms, winner.work)
                    return winner, value
                await self.fail(winner, value)
                runs.remove(winner)
                if not runs:
                    raise value
        finally:
            for other in runs:
                await self.abandon(other)

    async def _next_result(self, runs: list[AttemptRun]) -> tuple[AttemptRun, Any]:
        """Wait for a result; start a hedge or give up a silent attempt meanwhile."""
        run = runs[0]
        work = run.work
        hedge_at_ms = self._hedge_at_ms(run) if len(runs) == 1 else None
        silent_at_ms = self._silent_at_ms(run)
        end_ms = work.deadline_at_ms - DEADLINE_MARGIN_MS - self._rest_ms(run)
        while True:
            now_ms = self.clock.now_ms()
            if now_ms >= end_ms:
                raise DeadlinePassed()
            if hedge_at_ms is not None and now_ms >= hedge_at_ms:
                hedge_at_ms = None
                await self._hedge(runs)
            if silent_at_ms is not None and now_ms >= silent_at_ms:
                error = await self._check_silent(run)
                if error is not None:
                    return run, error
                silent_at_ms = None
            times = [end_ms, hedge_at_ms, silent_at_ms]
            until_ms = min(time_ms for time_ms in times if time_ms is not None)
            wait_ms = until_ms - self.clock.now_ms()
            if wait_ms > 0:
                result = await curio.ignore_after(
                    wait_ms / MS_PER_SECOND, run.results.get
                )
                if result is not None:
                    return result

    def _rest_ms(self, run: AttemptRun) -> int:
        """Return the least time from the first item to the end of a stream.

        A stream that has not begun so long before its deadline cannot meet it.
        """
        work = run.work
        if run.stream is None or run.attempt.resume_offset or not work.idempotent:
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
        key = (work.service, work.stage, work.size_class)
        p95_ms = self.estimates.first_ms(*key, percent=95)
        return None if p95_ms is None else run.started_ms + p95_ms

    async def _hedge(self, runs: list[AttemptRun]) -> None:
        run = runs[0]
        work = run.work
        if self.options.budget and not self.budget.has(work.service, HEDGE_RESERVE):
            return
        target = self.choose(work, {run.target.name})
        if target is None or target.name == run.target.name:
            return
        if self.options.budget:
            self.budget.spend(work.service)
        self.router.started(target)
        self.counts["hedge"] += 1
        self.observer.hedged(work, target)
        streaming = run.stream is not None
        hedge = await self.launch(work, target, 0, run.results, streaming)
        runs.append(hedge)

    def _silent_at_ms(self, run: AttemptRun) -> int | None:
        """Return when nothing will have come for too long, or None if unknown."""
        work = run.work
        if not self.options.silence or not work.idempotent or not run.impatient:
            return None
        key = (work.service, work.stage, work.size_class)
        expected_ms = self.estimates.first_ms(*key, percent=95)
        if expected_ms is None:
            return None
        return run.started_ms + max(SILENCE_MULTIPLE * expected_ms, MIN_SILENCE_MS)

    async def _check_silent(self, run: AttemptRun) -> TargetFailed | None:
        """Return why a silent attempt is given up, or None to wait on."""
        if not self._can_pay(run.work.service):
            return None
        answers = await self._probe(run.target)
        if answers:
            until_ms = self.clock.now_ms() + FRESH_MS
            self.fresh_until_ms_by_name[run.target.name] = until_ms
            detail = f"connection to {run.target.name} went silent"
            return ConnectionSilent(detail, run.target)
        self.router.unreachable(run.target)
        detail = f"{run.target.name} does not answer on a new connection"
        return TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN, timed_out=True)

    def _can_pay(self, service: str) -> bool:
        return not self.options.budget or self.budget.has(service)

    async def _probe(self, target: TargetRow) -> bool:
        if self.probe is None:
            return False
        answers = await curio.ignore_after(
            PROBE_TIMEOUT_MS / MS_PER_SECOND, self.probe, target.address
        )
        return bool(answers)

    async def next_item(self, run: AttemptRun) -> tuple[Token, ...]:
        """Return the next tokens of a stream that has begun."""
        work = run.work
        started_ms = self.clock.now_ms()
        end_ms = work.deadline_at_ms - DEADLINE_MARGIN_MS
        wait_ms = end_ms - started_ms
        gap_ms = self.estimates.gap_ms(work.service)
        impatient = self.options.silence and run.impatient
        if impatient and gap_ms and self._can_pay(work.service):
            wait_ms = min(wait_ms, max(SILENCE_MULTIPLE * gap_ms, MIN_SILENCE_MS))
        try:
            tokens = await curio.timeout_after(
                max(wait_ms, 0) / MS_PER_SECOND, anext(run.stream)
            )
        except curio.TaskTimeout:
            if self.clock.now_ms() >= end_ms:
                raise DeadlinePassed() from None
            error = await self._check_silent(run)
            detail = f"connection to {run.target.name} went silent"
            raise (error or ConnectionSilent(detail, run.target)) from None
        except StopAsyncIteration:
            detail = "stream ended without its end marker"
            raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN) from None
        self._note_gap(run, self.clock.now_ms() - started_ms)
        return tokens

    def _note_gap(self, run: AttemptRun, gap_ms: int) -> None:
        """Note the pace of a stream; leave a target that is too slow for it."""
        work = run.work
        self.estimates.record_gap(work.service, gap_ms)
        run.items += 1
        run.gap_ms += (gap_ms - run.gap_ms) / min(run.items, PACE_ITEMS)
        if run.items % PACE_ITEMS:
            return
        typical_ms = self.estimates.gap_ms(work.service)
        if typical_ms:
            self.router.paced(run.target, run.gap_ms / typical_ms)
            if self._is_too_slow(run, typical_ms):
                raise TargetTooSlow(run.target)

    def _is_too_slow(self, run: AttemptRun, typical_ms: float) -> bool:
        """Return whether a stream misses its deadline here but not elsewhere."""
        work = run.work
        if not self.options.moves or not run.impatient:
            return False
        left = work.max_tokens - run.attempt.resume_offset - run.tokens
        remaining_ms = work.deadline_at_ms - self.clock.now_ms()
        if run.gap_ms < SLOW_PACE * typical_ms or left * run.gap_ms < remaining_ms:
            return False
        key = (work.service, work.stage, work.size_class)
        first_ms = self.estimates.first_ms(*key) or 0
        return first_ms + left * typical_ms < remaining_ms and self._can_pay(
            work.service
        )

    async def finish(self, run: AttemptRun, answer: StageAnswer | None) -> None:
        """Book an attempt whose whole answer came."""
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
        await self.admission.released(work.service)

    async def fail(self, run: AttemptRun, error: TargetFailed) -> None:
        """Book an attempt that failed and cancel it at the target."""
        blamed = not isinstance(error, (ConnectionSilent, DeadlinePassed))
        if isinstance(error, ConnectFailed):
            self.router.unreachable(run.target)
        await self._end(run, blamed, sent=not isinstance(error, ConnectFailed))

    async def abandon(self, run: AttemptRun) -> None:
        """Book an attempt that nobody needs any more and cancel it at the target."""
        await self._end(run, blamed=False, sent=True)

    async def _end(self, run: AttemptRun, blamed: bool, sent: bool) -> None:
        if run.ended:
            return
        run.ended = True
        work, target = run.work, run.target
        duration_ms = self.clock.now_ms() - run.started_ms
        if not run.first_ms and sent:
            self.router.waited(target, duration_ms, work)
        self.router.ended(target, duration_ms, False, work, None, blamed)
        if run.tokens:
            # The caller has these tokens, and the next attempt goes on behind them.
            used = StageAnswer(200, b"", tokens_out=run.tokens)
            self.observer.finished(work, target, duration_ms, used)
        elif sent:
            self.observer.wasted(work, target, duration_ms)
        # The caller's answer does not wait for the clean-up.
        await curio.spawn(self._clean_up, run, sent, daemon=True)
        await self.admission.released(work.service)

    async def _drain(self, stream: AsyncIterator[tuple[Token, ...]]) -> None:
        """Read past the end marker, so that the connection can be used again."""
        async with aclosing(stream), curio.ignore_after(DRAIN_MS / MS_PER_SECOND):
            async for _ in stream:
                pass

    async def _clean_up(self, run: AttemptRun, sent: bool) -> None:
        await run.task.cancel()
        if run.stream is not None:
            await run.stream.aclose()
        # An order that may be under way is left to end.
        if sent and run.work.idempotent:
            await self.client.cancel(run.target.address, run.attempt.number)
