"""Whether work is attempted again after a failure, and what it is refused with."""

from typing import TYPE_CHECKING

import attrs

from wagtailrun.exceptions import (
    ConnectFailed,
    Refusal,
    RefusalReason,
    TargetFailed,
    Verdict,
)
from wagtailrun.membership import TargetRow
from wagtailrun.retries import backoff_ms, may_retry
from wagtailrun.work import Work

if TYPE_CHECKING:
    from wagtailrun.dispatch import Dispatcher

__all__ = ["ConnectionSilent", "DeadlinePassed", "RetryState", "TargetTooSlow"]


class ConnectionSilent(TargetFailed):
    """A connection went silent while the target answers on new ones."""

    def __init__(self, detail: str, target: TargetRow):
        super().__init__(detail, verdict=Verdict.MAY_HAVE_RUN, timed_out=True)
        self.target = target


class TargetTooSlow(TargetFailed):
    """A stream would miss its deadline at a target much slower than others."""

    def __init__(self, target: TargetRow):
        detail = f"{target.name} is too slow for the deadline"
        super().__init__(detail, verdict=Verdict.MAY_HAVE_RUN)


class DeadlinePassed(TargetFailed):
    """The deadline came before the answer."""

    def __init__(self) -> None:
        detail = "the deadline passed while the request ran"
        super().__init__(detail, verdict=Verdict.MAY_HAVE_RUN)


class RetryState:
    """What the failed attempts of one piece of work add up to.

    Args:
        dispatcher: Whose budget, options and observer are used.
        work: Work that is attempted.
    """

    def __init__(self, dispatcher: "Dispatcher", work: Work):
        self.dispatcher = dispatcher
        self.work = work
        self.count = 0
        self.offset = 0
        self.avoid: set[str] = set()
        self.silent: set[str] = set()
        self.same_target: TargetRow | None = None
        self.last_target: TargetRow | None = None
        self.refusal: Refusal | None = None

    async def on_failure(self, error: TargetFailed) -> Refusal | None:
        """Note a failed attempt; return the refusal unless another may follow."""
        dispatcher, work = self.dispatcher, self.work
        self.refusal = self._combine(error)
        if isinstance(error, DeadlinePassed):
            return attrs.evolve(self.refusal, reason=RefusalReason.DEADLINE)
        if self.count >= dispatcher.options.repeats:
            return self.refusal
        if not may_retry(work.idempotent, error):
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
        if isinstance(error, ConnectionSilent) and self.offset and not again:
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
