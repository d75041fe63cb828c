"""Runs one stage or call at a target: admission, routing, attempts, repeats."""

import itertools
import random
import secrets
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import aclosing
from typing import Any

import attrs
import curio

from wagtailrun.admission import Admission
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.estimates import Estimates, size_class
from wagtailrun.exceptions import (
    ConnectFailed,
    Refusal,
    RefusalReason,
    TargetFailed,
    Verdict,
)
from wagtailrun.membership import Membership, TargetRow
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Attempt, StageAnswer, TargetClient, Token
from wagtailrun.retries import (
    HEDGE_RESERVE,
    AttemptObserver,
    NoObserver,
    RetryBudget,
    backoff_ms,
    may_repeat,
)
from wagtailrun.routing import ExpectedTimeRouter, Router

__all__ = ["DispatchOptions", "Dispatcher", "Work", "make_dispatcher"]

# Repeats are bounded by the budget; this bounds them for a single request too.
MAX_ATTEMPTS = 4
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
# Membership changes are seen at the latest after this time; scanning all targets for
# every decision takes longer than the decision.
USABLE_CACHE_MS = 100
# Ends a wait just before the request's own deadline, so that the refusal names when to
# come back.
DEADLINE_MARGIN_MS = 1
MAX_OUTAGE_RETRY_MS = 30_000
MIN_OUTAGE_RETRY_MS = 500


@attrs.frozen
class Work:
    """One stage or call that a request needs.

    Attributes:
        service: Service that runs it.
        path: HTTP path at a target.
        body: JSON body.
        request_id: Identifier of the caller's request.
        workspace: Workspace of the caller.
        deadline_at_ms: When the caller's deadline ends, on the clock.
        idempotent: Whether it may be repeated.
        may_wait: Whether it may be delayed in favour of other work.
        priority: Larger is more urgent.
        pipeline: Pipeline that it belongs to, or empty.
        stage: Kind of the stage, or name of the call.
        share: Weight of the workspace's part of the capacity.
        size: Size of the request in bytes; 0 takes that of the body.
        max_tokens: Most tokens to generate, if the caller gave it.
        later: Service and stage of the stages that follow.
        prefixes: Hashes of the prompt's leading blocks.
    """

    service: str
    path: str
    body: bytes
    request_id: str
    workspace: str
    deadline_at_ms: int
    idempotent: bool = True
    may_wait: bool = False
    priority: int = 0
    pipeline: str = ""
    stage: str = ""
    share: int = 1
    size: int = 0
    max_tokens: int = 0
    later: tuple[tuple[str, str], ...] = ()
    prefixes: tuple[int, ...] = ()

    @property
    def size_class(self) -> tuple[int, int]:
        """Class by which times are estimated."""
        return size_class(self.size or len(self.body), self.max_tokens)


@attrs.frozen
class DispatchOptions:
    """Parts of the dispatcher, each of which can be switched off to measure it."""

    admission: bool = True
    hedges: bool = True
    budget: bool = True
    silence: bool = True
    moves: bool = True
    repeats: int = MAX_ATTEMPTS - 1
    check_tokens: bool = True


@attrs.define(eq=False)
class _Run:
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
Probe = Callable[[Address], Awaitable[bool]]


class Dispatcher:
    """Gives work to targets.

    Args:
        clock: Clock.
        membership: Known targets.
        client: Calls targets.
        router: Chooses targets.
        estimates: Recent distributions of stages; shared with the router.
        probe: Tells whether a target answers on a new connection; without it a silent
            target is left for another one.
        observer: Is told of attempts.
        seed: Seed of waits before repeats.
        options: Parts that are in use.
    """

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        client: TargetClient,
        router: Router,
        *,
        estimates: Estimates | None = None,
        probe: Probe | None = None,
        observer: AttemptObserver | None = None,
        seed: int | None = None,
        options: DispatchOptions = DispatchOptions(),
    ):
        self.clock = clock
        self.membership = membership
        self.client = client
        self.router = router
        self.estimates = estimates or Estimates(clock)
        self.admission = Admission(clock, self.estimates)
        self.probe = probe
        self.observer = observer or NoObserver()
        self.random = random.Random(seed)
        self.options = options
        self.budget = RetryBudget()
        # First attempts, repeats of sent and of unsent ones, hedges.
        self.counts: Counter[str] = Counter()
        self.fresh_until_ms_by_name: dict[str, int] = {}
        self.usable_by_service: dict[str, tuple[int, list[TargetRow]]] = {}
        self.outage_since_ms_by_service: dict[str, int] = {}
        # Numbers of different incarnations of an entry must not collide.
        first = secrets.randbits(40) << 20
        self.next_number: Callable[[], int] = itertools.count(first).__next__

    async def call(self, work: Work) -> StageAnswer | Refusal:
        """Run ``work`` and return its whole answer.

        Work that is not idempotent is sent at most once, on a new connection.
        """
        repeats = _Repeats(self, work)
        while True:
            run = await self._start(repeats)
            if isinstance(run, Refusal):
                return repeats.refuse(run)
            try:
                run, answer = await self._first_item(run)
                await self._finish(run, answer)
                return answer
            except TargetFailed as error:
                refusal = await repeats.after(error)
                if refusal is not None:
                    return refusal

    async def stream(self, work: Work) -> AsyncIterator[tuple[Token, ...] | Refusal]:
        """Run a generate stage and yield its tokens as they arrive.

        A broken stream goes on from the next offset, at the same target if only its
        connection went silent. The last item ends with the end marker, or is a
        refusal.
        """
        repeats = _Repeats(self, work)
        while True:
            run = await self._start(repeats, streaming=True)
            if isinstance(run, Refusal):
                yield repeats.refuse(run)
                return
            try:
                async with aclosing(self._items(run, repeats)) as items:
                    async for tokens in items:
                        yield tokens
                return
            except TargetFailed as error:
                refusal = await repeats.after(error)
                if refusal is not None:
                    yield refusal
                    return

    async def _items(
        self, run: _Run, repeats: "_Repeats"
    ) -> AsyncIterator[tuple[Token, ...]]:
        """Yield the tokens of one attempt, or of its hedge if that is first."""
        run, tokens = await self._first_item(run)
        try:
            while True:
                if self.options.check_tokens:
                    _check_order(tokens, repeats.offset)
                count = sum(not token.last for token in tokens)
                repeats.offset += count
                run.tokens += count
                last = tokens[-1]
                if last.last:
                    await self._finish(run, last.answer)
                yield tokens
                if last.last:
                    return
                tokens = await self._next_item(run)
        except TargetFailed as error:
            await self._fail(run, error)
            raise
        finally:
            await self._abandon(run)

    async def _start(
        self, repeats: "_Repeats", streaming: bool = False
    ) -> _Run | Refusal:
        """Wait for a target and start an attempt there."""
        work = repeats.work
        now_ms = self.clock.now_ms()
        if work.deadline_at_ms - now_ms <= DEADLINE_MARGIN_MS:
            detail = "the deadline passed"
            after_ms = self.admission.retry_after_ms(work)
            return Refusal(RefusalReason.DEADLINE, Verdict.NOT_RUN, detail, after_ms)
        target = repeats.same_target
        repeats.same_target = None
        if target is not None:
            self.router.started(target)
        elif not self._usable(work.service):
            return self._no_target(work)
        else:
            target = await self._admit(work, repeats.avoid)
            if isinstance(target, Refusal):
                return target
        repeats.last_target = target
        if not repeats.count:
            self.counts["first"] += 1
            self.budget.earn(work.service)
        impatient = repeats.count < self.options.repeats
        return await self._launch(
            work, target, repeats.offset, Results(), streaming, impatient
        )

    async def _admit(self, work: Work, avoid: set[str]) -> TargetRow | Refusal:
        def choose() -> TargetRow | None:
            target = self._choose(work, avoid)
            if target is not None:
                self.router.started(target)
            return target

        def give_back(target: TargetRow) -> None:
            self.router.ended(target, 0, False, work, None, blamed=False)

        if self.options.admission:
            return await self.admission.enter(work, choose, give_back)
        return choose() or self._no_target(work)

    def _choose(self, work: Work, avoid: set[str]) -> TargetRow | None:
        target = self.router.choose(self._usable(work.service), work, avoid)
        if target is None:
            return None
        # The list may be older than a goodbye.
        newest = self.membership.targets_by_name.get(target.name, target)
        if newest.leaving:
            self.usable_by_service.pop(work.service, None)
            usable = self._usable(work.service)
            return self.router.choose(usable, work, avoid)
        return target

    def _usable(self, service: str) -> list[TargetRow]:
        now_ms = self.clock.now_ms()
        cached = self.usable_by_service.get(service)
        if cached is not None and cached[1] and now_ms - cached[0] < USABLE_CACHE_MS:
            return cached[1]
        # The router prefers local targets and asks whether the service may leave.
        rows = self.membership.usable(service, now_ms)
        rows += self.membership.fallback(service, now_ms)
        self.usable_by_service[service] = (now_ms, rows)
        if rows:
            self.outage_since_ms_by_service.pop(service, None)
        return rows

    def _no_target(self, work: Work) -> Refusal:
        """Refuse; the longer the service has been away, the later to come back."""
        now_ms = self.clock.now_ms()
        since_ms = self.outage_since_ms_by_service.setdefault(work.service, now_ms)
        after_ms = min(now_ms - since_ms + MIN_OUTAGE_RETRY_MS, MAX_OUTAGE_RETRY_MS)
        detail = f"service {work.service} has no usable target"
        return Refusal(RefusalReason.NO_TARGET, Verdict.NOT_RUN, detail, after_ms)

    async def _launch(
        self,
        work: Work,
        target: TargetRow,
        offset: int,
        results: Results,
        streaming: bool,
        impatient: bool = True,
    ) -> _Run:
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
            fresh=not work.idempotent or now_ms < fresh_until_ms,
        )
        run = _Run(work, target, attempt, now_ms, results, impatient)
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

    async def _run_first(self, run: _Run) -> None:
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

    async def _first_item(self, run: _Run) -> tuple[_Run, Any]:
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
                await self._fail(winner, value)
                runs.remove(winner)
                if not runs:
                    raise value
        finally:
            for other in runs:
                await self._abandon(other)

    async def _next_result(self, runs: list[_Run]) -> tuple[_Run, Any]:
        """Wait for a result; start a hedge or give up a silent attempt meanwhile."""
        run = runs[0]
        work = run.work
        hedge_at_ms = self._hedge_at_ms(run) if len(runs) == 1 else None
        silent_at_ms = self._silent_at_ms(run)
        end_ms = work.deadline_at_ms - DEADLINE_MARGIN_MS - self._rest_ms(run)
        while True:
            now_ms = self.clock.now_ms()
            if now_ms >= end_ms:
                raise _DeadlinePassed()
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

    def _rest_ms(self, run: _Run) -> int:
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

    def _hedge_at_ms(self, run: _Run) -> int | None:
        work = run.work
        if not self.options.hedges or not work.idempotent or run.attempt.resume_offset:
            return None
        key = (work.service, work.stage, work.size_class)
        p95_ms = self.estimates.first_ms(*key, percent=95)
        return None if p95_ms is None else run.started_ms + p95_ms

    async def _hedge(self, runs: list[_Run]) -> None:
        run = runs[0]
        work = run.work
        if self.options.budget and not self.budget.has(work.service, HEDGE_RESERVE):
            return
        target = self._choose(work, {run.target.name})
        if target is None or target.name == run.target.name:
            return
        if self.options.budget:
            self.budget.spend(work.service)
        self.router.started(target)
        self.counts["hedge"] += 1
        self.observer.hedged(work, target)
        streaming = run.stream is not None
        hedge = await self._launch(work, target, 0, run.results, streaming)
        runs.append(hedge)

    def _silent_at_ms(self, run: _Run) -> int | None:
        """Return when nothing will have come for too long, or None if unknown."""
        work = run.work
        if not self.options.silence or not work.idempotent or not run.impatient:
            return None
        key = (work.service, work.stage, work.size_class)
        expected_ms = self.estimates.first_ms(*key, percent=95)
        if expected_ms is None:
            return None
        return run.started_ms + max(SILENCE_MULTIPLE * expected_ms, MIN_SILENCE_MS)

    async def _check_silent(self, run: _Run) -> TargetFailed | None:
        """Return why a silent attempt is given up, or None to wait on."""
        if not self._can_pay(run.work.service):
            return None
        answers = await self._probe(run.target)
        if answers:
            until_ms = self.clock.now_ms() + FRESH_MS
            self.fresh_until_ms_by_name[run.target.name] = until_ms
            detail = f"connection to {run.target.name} went silent"
            return _Silent(detail, run.target)
        self.router.unreachable(run.target)
        detail = f"{run.target.name} does not answer on a new connection"
        return TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN, silent=True)

    def _can_pay(self, service: str) -> bool:
        return not self.options.budget or self.budget.has(service)

    async def _probe(self, target: TargetRow) -> bool:
        if self.probe is None:
            return False
        answers = await curio.ignore_after(
            PROBE_TIMEOUT_MS / MS_PER_SECOND, self.probe, target.address
        )
        return bool(answers)

    async def _next_item(self, run: _Run) -> tuple[Token, ...]:
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
                raise _DeadlinePassed() from None
            error = await self._check_silent(run)
            detail = f"connection to {run.target.name} went silent"
            raise (error or _Silent(detail, run.target)) from None
        except StopAsyncIteration:
            detail = "stream ended without its end marker"
            raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN) from None
        self._note_gap(run, self.clock.now_ms() - started_ms)
        return tokens

    def _note_gap(self, run: _Run, gap_ms: int) -> None:
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
                raise _TooSlow(run.target)

    def _is_too_slow(self, run: _Run, typical_ms: float) -> bool:
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

    async def _finish(self, run: _Run, answer: StageAnswer | None) -> None:
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

    async def _fail(self, run: _Run, error: TargetFailed) -> None:
        """Book an attempt that failed and cancel it at the target."""
        blamed = not isinstance(error, (_Silent, _DeadlinePassed))
        if isinstance(error, ConnectFailed):
            self.router.unreachable(run.target)
        await self._end(run, blamed, sent=not isinstance(error, ConnectFailed))

    async def _abandon(self, run: _Run) -> None:
        """Book an attempt that nobody needs any more and cancel it at the target."""
        await self._end(run, blamed=False, sent=True)

    async def _end(self, run: _Run, blamed: bool, sent: bool) -> None:
        if run.ended:
            return
        run.ended = True
        work, target = run.work, run.target
        duration_ms = self.clock.now_ms() - run.started_ms
        if not run.first_ms and sent:
            self.router.waited(target, duration_ms, work)
        self.router.ended(target, duration_ms, False, work, None, blamed)
        self.observer.wasted(work, target, duration_ms, run.tokens)
        # The caller's answer does not wait for the clean-up.
        await curio.spawn(self._clean_up, run, sent, daemon=True)
        await self.admission.released(work.service)

    async def _drain(self, stream: AsyncIterator[tuple[Token, ...]]) -> None:
        """Read past the end marker, so that the connection can be used again."""
        async with aclosing(stream), curio.ignore_after(DRAIN_MS / MS_PER_SECOND):
            async for _ in stream:
                pass

    async def _clean_up(self, run: _Run, sent: bool) -> None:
        await run.task.cancel()
        if run.stream is not None:
            await run.stream.aclose()
        # An order that may be under way is left to end.
        if sent and run.work.idempotent:
            await self.client.cancel(run.target.address, run.attempt.number)


class _Silent(TargetFailed):
    """A connection went silent while the target answers on new ones."""

    def __init__(self, detail: str, target: TargetRow):
        super().__init__(detail, verdict=Verdict.MAY_HAVE_RUN, silent=True)
        self.target = target


class _TooSlow(TargetFailed):
    """A stream would miss its deadline at a target much slower than others."""

    def __init__(self, target: TargetRow):
        detail = f"{target.name} is too slow for the deadline"
        super().__init__(detail, verdict=Verdict.MAY_HAVE_RUN)


class _DeadlinePassed(TargetFailed):
    """The deadline came before the answer."""

    def __init__(self) -> None:
        detail = "the deadline passed while the request ran"
        super().__init__(detail, verdict=Verdict.MAY_HAVE_RUN)


class _Repeats:
    """What the failed attempts of one piece of work add up to."""

    def __init__(self, dispatcher: Dispatcher, work: Work):
        self.dispatcher = dispatcher
        self.work = work
        self.count = 0
        self.offset = 0
        self.avoid: set[str] = set()
        self.silent: set[str] = set()
        self.same_target: TargetRow | None = None
        self.last_target: TargetRow | None = None
        self.refusal: Refusal | None = None

    async def after(self, error: TargetFailed) -> Refusal | None:
        """Note a failed attempt; return the refusal unless another may follow."""
        dispatcher, work = self.dispatcher, self.work
        self.refusal = self._combine(error)
        if isinstance(error, _DeadlinePassed):
            return attrs.evolve(self.refusal, reason=RefusalReason.DEADLINE)
        if self.count >= dispatcher.options.repeats:
            return self.refusal
        if not may_repeat(work.idempotent, error):
            return self.refusal
        if dispatcher.options.budget and not dispatcher.budget.spend(work.service):
            return self.refusal
        wait_ms = backoff_ms(self.count, dispatcher.random)
        if dispatcher.clock.now_ms() + wait_ms >= work.deadline_at_ms:
            return self.refusal
        self.count += 1
        # What was never sent adds no load to a target.
        kind = "redirect" if isinstance(error, ConnectFailed) else "retry"
        dispatcher.counts[kind] += 1
        self._note_target(error)
        await dispatcher.clock.sleep_ms(wait_ms)
        return None

    def _note_target(self, error: TargetFailed) -> None:
        target = self.last_target
        self.dispatcher.observer.retried(self.work, target, error)
        # What has begun goes on where its KV cache is; what has not goes elsewhere, as
        # the silence may as well be a long queue.
        again = target.name in self.silent
        if isinstance(error, _Silent) and self.offset and not again:
            self.same_target = error.target
            self.silent.add(target.name)
        else:
            self.avoid.add(target.name)

    def refuse(self, later: Refusal) -> Refusal:
        """Return the refusal of the whole work when no further attempt started."""
        if self.refusal is None:
            return later
        return attrs.evolve(later, verdict=_worse(self.refusal.verdict, later.verdict))

    def _combine(self, error: TargetFailed) -> Refusal:
        """Return the refusal after one more failed attempt.

        Once an attempt may have run, a later one that did not run changes nothing.
        """
        verdict = error.verdict
        if self.refusal is not None:
            verdict = _worse(self.refusal.verdict, verdict)
        retry_after_ms = error.retry_after_ms
        if not retry_after_ms:
            retry_after_ms = self.dispatcher.admission.retry_after_ms(self.work)
        reason = RefusalReason.TARGET_FAILED
        return Refusal(reason, verdict, str(error), retry_after_ms)


def _worse(one: Verdict, other: Verdict) -> Verdict:
    return Verdict.MAY_HAVE_RUN if Verdict.MAY_HAVE_RUN in (one, other) else other


def _check_order(tokens: tuple[Token, ...], offset: int) -> None:
    for position, token in enumerate(tokens, offset):
        if token.offset != position:
            detail = f"token {token.offset} arrived in place of {position}"
            raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)


def make_dispatcher(
    clock: Clock,
    membership: Membership,
    client: TargetClient,
    *,
    name: str,
    data_centre: str = "",
    probe: Probe | None = None,
    observer: AttemptObserver | None = None,
    seed: int | None = None,
    entries: Callable[[], Sequence[str]] = tuple,
    may_leave: Callable[[str], bool] = lambda service: True,
) -> Dispatcher:
    """Return the dispatcher of one entry with all policies.

    Args:
        clock: Clock.
        membership: Known targets.
        client: Calls targets.
        name: Name of the entry.
        data_centre: Data centre of the entry.
        probe: See ``Dispatcher``.
        observer: Is told of attempts.
        seed: Seed of random choices.
        entries: Returns the names of live entries, to share targets out evenly.
        may_leave: Whether another data centre may serve a service.
    """
    estimates = Estimates(clock)
    router = ExpectedTimeRouter(
        clock, estimates, name, data_centre, seed, entries, may_leave
    )
    return Dispatcher(
        clock,
        membership,
        client,
        router,
        estimates=estimates,
        probe=probe,
        observer=observer,
        seed=seed,
    )
