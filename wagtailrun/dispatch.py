"""Runs one stage or call at a target: admission, routing, attempts, repeats."""

import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import aclosing

import attrs

from wagtailrun.admission import Admission
from wagtailrun.attempts import DEADLINE_MARGIN_MS, AttemptRun, Attempts, Results
from wagtailrun.clock import Clock
from wagtailrun.estimates import Estimates
from wagtailrun.exceptions import (
    Refusal,
    RefusalReason,
    TargetFailed,
    Verdict,
)
from wagtailrun.membership import Membership, TargetRow
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import StageAnswer, TargetClient, Token
from wagtailrun.repeats import RetryState
from wagtailrun.retries import (
    AttemptObserver,
    NoObserver,
    RetryBudget,
)
from wagtailrun.routing import ExpectedTimeRouter, Router
from wagtailrun.work import Work

__all__ = ["DispatchOptions", "Dispatcher", "Work", "make_dispatcher"]

# Repeats are bounded by the budget; this bounds them for a single request too.
MAX_ATTEMPTS = 4
# Membership changes are seen at the latest after this time; scanning all targets for
# every decision takes longer than the decision.
USABLE_CACHE_MS = 100
MAX_OUTAGE_RETRY_MS = 30_000
MIN_OUTAGE_RETRY_MS = 500


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
        self.usable_by_service: dict[str, tuple[int, list[TargetRow]]] = {}
        self.outage_since_ms_by_service: dict[str, int] = {}
        self.attempts = Attempts(self)

    async def call(self, work: Work) -> StageAnswer | Refusal:
        """Run ``work`` and return its whole answer.

        Work that is not idempotent is sent at most once, on a new connection.
        """
        repeats = RetryState(self, work)
        while True:
            run = await self._start(repeats)
            if isinstance(run, Refusal):
                return repeats.refuse(run)
            try:
                run, answer = await self.attempts.first_item(run)
                await self.attempts.finish(run, answer)
                return answer
            except TargetFailed as error:
                refusal = await repeats.on_failure(error)
                if refusal is not None:
                    return refusal

    async def stream(self, work: Work) -> AsyncIterator[tuple[Token, ...] | Refusal]:
        """Run a generate stage and yield its tokens as they arrive.

        A broken stream goes on from the next offset, at the same target if only its
        connection went silent. The last item ends with the end marker, or is a
        refusal.
        """
        repeats = RetryState(self, work)
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
                refusal = await repeats.on_failure(error)
                if refusal is not None:
                    yield refusal
                    return

    async def _items(
        self, run: AttemptRun, repeats: "RetryState"
    ) -> AsyncIterator[tuple[Token, ...]]:
        """Yield the tokens of one attempt, or of its hedge if that is first."""
        run, tokens = await self.attempts.first_item(run)
        try:
            while True:
                if self.options.check_tokens:
                    _check_order(tokens, repeats.offset)
                count = sum(not token.last for token in tokens)
                repeats.offset += count
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

    async def _start(
        self, repeats: "RetryState", streaming: bool = False
    ) -> AttemptRun | Refusal:
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
        return await self.attempts.launch(
            work, target, repeats.offset, Results(), streaming, impatient
        )

    async def _admit(self, work: Work, avoid: set[str]) -> TargetRow | Refusal:
        def choose() -> TargetRow | None:
            target = self.choose(work, avoid)
            if target is not None:
                self.router.started(target)
            return target

        def give_back(target: TargetRow) -> None:
            self.router.ended(target, 0, False, work, None, blamed=False)

        if self.options.admission:
            return await self.admission.enter(work, choose, give_back)
        return choose() or self._no_target(work)

    def choose(self, work: Work, avoid: set[str]) -> TargetRow | None:
        """Return the target of an attempt, or None if none has room."""
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
        rows = self.membership.candidates(service, now_ms)
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
    may_use_remote: Callable[[str], bool] = lambda service: True,
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
        may_use_remote: Whether another data centre may serve a service.
    """
    estimates = Estimates(clock)
    router = ExpectedTimeRouter(
        clock, estimates, name, data_centre, seed, entries, may_use_remote
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
