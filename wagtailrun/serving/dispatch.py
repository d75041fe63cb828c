"""Runs one stage or call at a target: admission, routing, attempts and retries."""

import random
from collections.abc import AsyncGenerator, Awaitable, Callable, Sequence
from contextlib import aclosing
from typing import Any, TypeVar, overload

from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, RefusalReason, TargetFailed, Verdict
from wagtailrun.ports.target import StageAnswer, TargetClient, Token
from wagtailrun.serving.admission import Admission
from wagtailrun.serving.attempts import (
    DEADLINE_MARGIN_MS,
    AttemptRun,
    Attempts,
    Results,
)
from wagtailrun.serving.dispatch_context import DispatchContext, TargetSource
from wagtailrun.serving.dispatch_options import DispatchOptions
from wagtailrun.serving.path_probes import PathProber, Probe
from wagtailrun.serving.repeats import RetryState
from wagtailrun.serving.retry_times import RetryTimes
from wagtailrun.serving.unannounced import UnannouncedServices
from wagtailrun.stopping.running_requests import STOPPING_RETRY_MS
from wagtailrun.targets.attempt_observer import AttemptObserver, NullObserver
from wagtailrun.targets.decisions import NO_DECISIONS, DecisionLog, DecisionPoint
from wagtailrun.targets.estimates import Estimates
from wagtailrun.targets.retries import RedirectLimit, RetryBudget
from wagtailrun.targets.routing import ExpectedTimeRouter, Router
from wagtailrun.targets.table import Membership, TargetRow
from wagtailrun.targets.work import Work

__all__ = ["DispatchOptions", "Dispatcher", "Work", "make_dispatcher"]

# The list of usable targets is cached for this time, because scanning all targets takes
# longer than a routing decision. Membership changes take effect after it at the latest.
USABLE_CACHE_MS = 100
MAX_OUTAGE_RETRY_MS = 30_000
MIN_OUTAGE_RETRY_MS = 500
ENDED_REFUSAL = Refusal(
    RefusalReason.DRAINING,
    Verdict.NOT_RUN,
    "this entry stops, and the attempt had not begun",
    STOPPING_RETRY_MS,
    attempt_sent=False,
)


T = TypeVar("T")


async def _whole(answer: StageAnswer) -> StageAnswer:
    return answer


class Dispatcher(TargetSource):
    """Runs work at targets.

    Args:
        clock: Clock.
        membership: Known targets.
        client: Sends attempts to targets.
        router: Chooses targets.
        estimates: Recent distributions of stages; shared with the router.
        probe: Returns whether a target responds on a new connection; without it, a
            stalled target counts as unreachable.
        observer: Notified of attempts.
        seed: Seed for the delays before retries.
        options: Policies that are enabled; all by default.
        decisions: Is told the decisions about requests.
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
        options: DispatchOptions | None = None,
        decisions: DecisionLog = NO_DECISIONS,
    ):
        router.decisions = decisions
        estimates = estimates or Estimates(clock)
        prober = self.unannounced = None
        if router.paths is not None:
            prober = PathProber(clock, router.paths, membership, probe)
            self.unannounced = UnannouncedServices(
                clock, router.paths, membership, probe, seed
            )
        self.context = context = DispatchContext(
            clock=clock,
            client=client,
            router=router,
            estimates=estimates,
            admission=Admission(clock, estimates, decisions),
            probe=probe,
            prober=prober,
            observer=observer or NullObserver(),
            random=random.Random(seed),
            options=options or DispatchOptions(),
            budget=RetryBudget(),
            redirects=RedirectLimit(clock),
            decisions=decisions,
        )
        self.clock = clock
        self.membership = membership
        self.router = router
        self.estimates = estimates
        self.admission = context.admission
        self.budget = context.budget
        self.counts = context.counts
        # For those who pass the refusals of this dispatcher to callers.
        self.retry_times = RetryTimes(random.Random(seed))
        self.usable_by_service: dict[str, tuple[int, list[TargetRow]]] = {}
        # Services without an announced target when one was last looked for.
        self.unannounced_services: set[str] = set()
        self.outage_since_ms_by_service: dict[str, int] = {}
        # Whether the process ends, which would cut off an attempt that begins now.
        self.ended = False
        self.attempts = Attempts(context, self)

    @property
    def options(self) -> DispatchOptions:
        """Policies that are enabled."""
        return self.context.options

    @options.setter
    def options(self, options: DispatchOptions) -> None:
        self.context.options = options

    async def end(self) -> None:
        """Begin no more attempts; refuse the work that waits for a target."""
        self.ended = True
        await self.admission.refuse_waiting(ENDED_REFUSAL)

    @overload
    async def call(self, work: Work) -> StageAnswer | Refusal: ...

    @overload
    async def call(
        self, work: Work, read: Callable[[StageAnswer], Awaitable[T]]
    ) -> T | Refusal: ...

    async def call(
        self, work: Work, read: Callable[[StageAnswer], Awaitable[Any]] = _whole
    ) -> Any:
        """Run ``work`` and return its complete answer.

        Work that is not idempotent is sent at most once, on a new connection.

        Args:
            work: Work to run.
            read: Returns what is needed of an answer; raises ``TargetFailed`` if it is
                none, by which the attempt has failed.
        """
        retry_state = RetryState(self.context, work, self)
        while True:
            run = await self._start_attempt(retry_state)
            if isinstance(run, Refusal):
                return self._refused(work, retry_state.final_refusal(run))
            try:
                run, answer = await self.attempts.first_item(run)
                return await self._finish_call(run, answer, read)
            except TargetFailed as error:
                refusal = await retry_state.on_failure(error)
                if refusal is not None:
                    return self._refused(work, refusal)

    async def _finish_call(
        self,
        run: AttemptRun,
        answer: StageAnswer,
        read: Callable[[StageAnswer], Awaitable[T]],
    ) -> T:
        """Return what is needed of an answer, and record the attempt's end."""
        try:
            found = await read(answer)
            await self.attempts.finish(run, answer)
        except TargetFailed as error:
            await self.attempts.fail(run, error)
            raise
        finally:
            await self.attempts.abandon(run)
        return found

    async def stream(
        self, work: Work
    ) -> AsyncGenerator[tuple[Token, ...] | Refusal, None]:
        """Run a generate stage and yield its tokens as they arrive.

        A broken stream resumes from the next offset, at the same target if only its
        connection stalled. The last item ends with the end marker, or is a refusal.
        """
        retry_state = RetryState(self.context, work, self)
        while True:
            run = await self._start_attempt(retry_state, streaming=True)
            if isinstance(run, Refusal):
                yield self._refused(work, retry_state.final_refusal(run))
                return
            try:
                async with aclosing(self._attempt_tokens(run, retry_state)) as items:
                    async for tokens in items:
                        yield tokens
                return
            except TargetFailed as error:
                refusal = await retry_state.on_failure(error)
                if refusal is not None:
                    yield self._refused(work, refusal)
                    return

    async def _attempt_tokens(
        self, run: AttemptRun, retry_state: RetryState
    ) -> AsyncGenerator[tuple[Token, ...], None]:
        """Yield the tokens of one attempt, or of its hedge if that responds first."""
        run, tokens = await self.attempts.first_item(run)
        retry_state.bind_version(run.target)
        try:
            while True:
                if self.options.check_tokens:
                    _check_offsets(tokens, retry_state.offset)
                count = sum(not token.last for token in tokens)
                retry_state.offset += count
                run.tokens += count
                last = tokens[-1]
                if last.last:
                    await self.attempts.finish(run, last.answer)
                yield tokens
                if last.last:
                    return
                tokens = await self.attempts.next_item(run)
        except TargetFailed as error:
            await self.attempts.fail(run, error)
            raise
        finally:
            await self.attempts.abandon(run)

    async def _start_attempt(
        self, retry_state: RetryState, streaming: bool = False
    ) -> AttemptRun | Refusal:
        """Wait for a target and start an attempt there."""
        if self.ended:
            return ENDED_REFUSAL
        work = retry_state.work
        now_ms = self.clock.now_ms()
        if work.deadline_at_ms - now_ms <= DEADLINE_MARGIN_MS:
            detail = "the deadline passed before an attempt could start"
            after_ms = self.admission.retry_after_ms(work)
            return Refusal(RefusalReason.DEADLINE, Verdict.NOT_RUN, detail, after_ms)
        target = retry_state.resume_target
        retry_state.resume_target = None
        if target is not None:
            self.router.started(target)
            self._record_target(work, target, "resumes")
        elif not await self._has_target(work):
            return self._no_target_refusal(work)
        else:
            admitted = await self._admit(work, retry_state.avoid)
            if isinstance(admitted, Refusal):
                return admitted
            target = admitted
        retry_state.last_target = target
        if not retry_state.count and not retry_state.redirects:
            self.counts["first"] += 1
            self.budget.earn(work.service)
        detect_stall = retry_state.count < self.options.max_retries
        return await self.attempts.launch(
            work, target, retry_state.offset, Results(), streaming, detect_stall
        )

    async def _has_target(self, work: Work) -> bool:
        """Return whether any target can be reached that may receive ``work``."""
        rows = self.usable_targets(work)
        if self.unannounced is not None and work.service in self.unannounced_services:
            await self.unannounced.watch(work.service)
        return self.router.has_path(rows, work)

    async def _admit(self, work: Work, avoid: set[str]) -> TargetRow | Refusal:
        def choose() -> TargetRow | None:
            target = self.choose(work, avoid)
            if target is not None:
                self._record_target(work, target)
                self.router.started(target)
            return target

        def release(target: TargetRow) -> None:
            self.router.ended(target, 0, False, work, None, blamed=False)

        if self.options.admission:
            return await self.admission.admit(work, choose, release)
        return choose() or self._no_target_refusal(work)

    def choose(self, work: Work, avoid: set[str]) -> TargetRow | None:
        """Return the target for an attempt, or None if none has room."""
        target = self.router.choose(self.usable_targets(work), work, avoid)
        if target is None:
            return None
        # The cached list may still contain a target that has left since.
        newest = self.membership.targets_by_name.get(target.name, target)
        if newest.leaving:
            self.usable_by_service.pop(work.service, None)
            return self.router.choose(self.usable_targets(work), work, avoid)
        return target

    def _refused(self, work: Work, refusal: Refusal) -> Refusal:
        """Tell the log of decisions of a refusal, and return it."""
        log, point = self.context.decisions, DecisionPoint.REFUSAL
        if log.enabled:
            verdict, reason = refusal.verdict.value, refusal.reason.value
            log.record(work.request_id, work.stage, point, verdict, reason)
        return refusal

    def _record_target(self, work: Work, target: TargetRow, reason: str = "") -> None:
        log, point = self.context.decisions, DecisionPoint.TARGET
        if not log.enabled:
            return
        if reason:
            log.record(work.request_id, work.stage, point, target.name, reason)
        else:
            log.record_choice(work.request_id, work.stage, point, target.name)

    def usable_targets(self, work: Work) -> list[TargetRow]:
        """Return the targets that may receive an attempt of ``work``."""
        rows = self._usable_targets(work.service)
        version = work.software_version
        if version is None:
            return rows
        return [row for row in rows if row.software_version == version]

    def _usable_targets(self, service: str) -> list[TargetRow]:
        now_ms = self.clock.now_ms()
        cached = self.usable_by_service.get(service)
        if cached is not None and cached[1] and now_ms - cached[0] < USABLE_CACHE_MS:
            return cached[1]
        # All data centres are included: the router prefers local targets and checks
        # whether the service may use remote ones.
        rows = self.membership.candidates(service, now_ms)
        if self.unannounced is not None:
            if rows:
                self.unannounced_services.discard(service)
            else:
                self.unannounced_services.add(service)
                rows = self.unannounced.targets(service)
        self.usable_by_service[service] = (now_ms, rows)
        if rows:
            self.outage_since_ms_by_service.pop(service, None)
        return rows

    def _no_target_refusal(self, work: Work) -> Refusal:
        """Return a refusal whose retry time grows with the length of the outage."""
        now_ms = self.clock.now_ms()
        since_ms = self.outage_since_ms_by_service.setdefault(work.service, now_ms)
        after_ms = min(now_ms - since_ms + MIN_OUTAGE_RETRY_MS, MAX_OUTAGE_RETRY_MS)
        detail = f"service {work.service} has no usable target"
        if self.usable_targets(work):
            detail = f"no target of service {work.service} replies to this entry"
        if work.software_version is not None:
            detail += f" of version {work.software_version!r}, which began the stream"
        return Refusal(RefusalReason.NO_TARGET, Verdict.NOT_RUN, detail, after_ms)


def _check_offsets(tokens: tuple[Token, ...], offset: int) -> None:
    for position, token in enumerate(tokens, offset):
        if token.offset != position:
            detail = f"expected token {position} of the stream, got {token.offset}"
            raise TargetFailed(detail)


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
    may_use_remote: Callable[[str], bool] = lambda service: True,
    was_held_since: Callable[[int], bool] = lambda since_ms: False,
    decisions: DecisionLog = NO_DECISIONS,
) -> Dispatcher:
    """Return the dispatcher of one entry with all policies enabled.

    Args:
        clock: Clock.
        membership: Known targets.
        client: Sends attempts to targets.
        name: Name of the entry.
        data_centre: Data centre of the entry.
        probe: See ``Dispatcher``.
        observer: Notified of attempts.
        seed: Seed for the random choices.
        entries: Returns the names of live entries, to distribute targets evenly.
        may_use_remote: Returns whether other data centres may serve a service.
        was_held_since: Returns whether this process stood still after a time.
        decisions: Is told the decisions about requests.
    """
    estimates = Estimates(clock)
    router = ExpectedTimeRouter(
        clock,
        estimates,
        name,
        data_centre,
        seed,
        entries,
        may_use_remote,
        was_held_since=was_held_since,
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
        decisions=decisions,
    )
