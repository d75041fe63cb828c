"""Decides on retries after failed attempts, and on the final refusal."""

import enum

import attrs

from wagtailrun.exceptions import (
    ConnectFailed,
    ConnectShortage,
    Refusal,
    RefusalReason,
    SendForbidden,
    TargetFailed,
    Verdict,
)
from wagtailrun.process.shortages import SHORTAGE_PAUSE_MS
from wagtailrun.serving.dispatch_context import DispatchContext, TargetSource
from wagtailrun.targets.attempt_ends import ConnectionStalled, DeadlinePassed
from wagtailrun.targets.decisions import DecisionPoint
from wagtailrun.targets.retries import MAX_REDIRECTS, backoff_ms, may_retry
from wagtailrun.targets.table import TargetRow
from wagtailrun.targets.work import Work

__all__ = ["RetryState"]


class _End(enum.Enum):
    """Why no attempt follows a failed one."""

    DEADLINE_PASSED = "deadline-passed"
    MAY_HAVE_RUN = "may-have-run"
    MAX_RETRIES = "max-retries"
    MAX_REDIRECTS = "max-redirects"
    NO_BUDGET = "no-budget"
    NO_PATH = "no-path"
    NO_ROOM = "no-room"
    NO_TIME = "no-time"
    TARGET_LIMIT = "target-limit"


class RetryState:
    """Retry state of one piece of work.

    Args:
        context: Components, policies and counters of the dispatcher.
        work: Work that is attempted.
        targets: Finds the targets of further attempts.

    Attributes:
        count: Retries so far.
        redirects: Attempts so far that followed one without a connection.
        last_target: Target of the newest attempt; not set before the first one.
    """

    def __init__(self, context: DispatchContext, work: Work, targets: TargetSource):
        self.context = context
        self.work = work
        self.targets = targets
        self.count = 0
        self.redirects = 0
        self.offset = 0
        self.avoid: set[str] = set()
        self.stalled_names: set[str] = set()
        self.resume_target: TargetRow | None = None
        self.last_target: TargetRow
        self.refusal: Refusal | None = None

    def bind_version(self, target: TargetRow) -> None:
        """Let a stream that ``target`` began go on only at its software version."""
        if self.work.software_version is None:
            self.work = attrs.evolve(
                self.work, software_version=target.software_version
            )

    async def on_failure(self, error: TargetFailed) -> Refusal | None:
        """Record a failed attempt and wait for the retry.

        Returns:
            None if the work may be attempted again, otherwise its refusal.
        """
        self.refusal = self._combine(error)
        wait = self._decide(error)
        self._record(error, wait)
        if isinstance(wait, _End):
            if wait is _End.DEADLINE_PASSED:
                return attrs.evolve(self.refusal, reason=RefusalReason.DEADLINE)
            return self.refusal
        if wait is not None:
            await self.context.clock.sleep_ms(wait)
        return None

    def _record(self, error: TargetFailed, wait: "int | _End | None") -> None:
        """Tell the log whether another attempt follows a failed one."""
        log, work = self.context.decisions, self.work
        if not log.enabled:
            return
        point = DecisionPoint.MOVE if self.offset else DecisionPoint.RETRY
        chosen = "resume" if self.resume_target is not None else "again"
        reason = type(error).__name__
        if isinstance(wait, _End):
            chosen, reason = "end", wait.value
        log.record(work.request_id, work.stage, point, chosen, reason)

    def _decide(self, error: TargetFailed) -> "int | _End | None":
        """Return how long to wait before another attempt, or why there is none.

        Returns:
            Milliseconds, or None if it begins at once.
        """
        context, work = self.context, self.work
        # Here only a deadline that has passed forbids to send.
        if isinstance(error, DeadlinePassed | SendForbidden):
            return _End.DEADLINE_PASSED
        is_shortage = isinstance(error, ConnectShortage)
        if isinstance(error, ConnectShortage) and not error.only_here:
            return self._wait_for_room()
        if not may_retry(work.idempotent, error):
            return _End.MAY_HAVE_RUN
        if isinstance(error, ConnectFailed) and not is_shortage:
            return self._redirect(error)
        if self.count >= context.options.max_retries:
            return _End.MAX_RETRIES
        # An attempt that this process could not make is no retry of a failed one.
        takes_budget = context.options.budget and not is_shortage
        if takes_budget and not context.budget.spend(work.service):
            return _End.NO_BUDGET
        wait_ms = backoff_ms(self.count, context.random)
        if context.clock.now_ms() + wait_ms >= work.deadline_at_ms:
            return _End.NO_TIME
        self.count += 1
        context.counts["redirect" if is_shortage else "retry"] += 1
        self._choose_next_target(error)
        return wait_ms

    def _redirect(self, error: ConnectFailed) -> "int | _End | None":
        """Let work that was not sent go elsewhere, if it may and can.

        It has added no load, so it waits only where no other target has a path, for one
        that may accept connections again.
        """
        context, work = self.context, self.work
        if self.redirects >= MAX_REDIRECTS:
            return _End.MAX_REDIRECTS
        if not context.redirects.allows(self.last_target.name):
            return _End.TARGET_LIMIT
        wait_ms = 0
        if not self._has_path_elsewhere(self.avoid | {self.last_target.name}):
            if not error.refused:
                # A further timeout would only delay the refusal.
                return _End.NO_PATH
            wait_ms = backoff_ms(self.redirects, context.random)
        if context.clock.now_ms() + wait_ms >= work.deadline_at_ms:
            return _End.NO_TIME
        self.redirects += 1
        context.counts["redirect"] += 1
        self._choose_next_target(error)
        return wait_ms or None

    def _has_path_elsewhere(self, avoid: set[str]) -> bool:
        """Return whether another target has room, and a path as far as is known."""
        target = self.targets.choose(self.work, avoid)
        if target is None or target.name in avoid:
            return False
        paths = self.context.router.paths
        return paths is None or not paths.is_unreachable(target)

    def _wait_for_room(self) -> "int | _End":
        """End work for which this process has no connection.

        A stream that has begun waits instead, as long as its deadline allows.
        """
        left_ms = self.work.deadline_at_ms - self.context.clock.now_ms()
        if not self.offset or left_ms <= SHORTAGE_PAUSE_MS:
            return _End.NO_ROOM
        return SHORTAGE_PAUSE_MS

    def _choose_next_target(self, error: TargetFailed) -> None:
        target = self.last_target
        self.context.observer.retried(self.work, target, error)
        # A started stream resumes at the target that holds its KV cache. Other work is
        # sent to another target, because the stall may be caused by a long queue.
        again = target.name in self.stalled_names
        if isinstance(error, ConnectionStalled) and self.offset and not again:
            self.resume_target = error.target
            self.stalled_names.add(target.name)
        else:
            self.avoid.add(target.name)

    def final_refusal(self, later: Refusal) -> Refusal:
        """Return the refusal of the work if no further attempt could start.

        Args:
            later: Refusal of the attempt that could not start.
        """
        if self.refusal is None:
            return later
        return attrs.evolve(
            later, verdict=_worse_verdict(self.refusal.verdict, later.verdict)
        )

    def _combine(self, error: TargetFailed) -> Refusal:
        """Return the refusal after one more failed attempt.

        Once an attempt may have run, the verdict stays the same when a later attempt
        did not run.
        """
        verdict = error.verdict
        if self.refusal is not None:
            verdict = _worse_verdict(self.refusal.verdict, verdict)
        retry_after_ms = error.retry_after_ms
        if not retry_after_ms:
            retry_after_ms = self.context.admission.retry_after_ms(self.work)
        reason = RefusalReason.TARGET_FAILED
        if isinstance(error, ConnectShortage):
            reason = RefusalReason.OVERLOADED
        return Refusal(reason, verdict, str(error), retry_after_ms)


def _worse_verdict(one: Verdict, other: Verdict) -> Verdict:
    return Verdict.MAY_HAVE_RUN if Verdict.MAY_HAVE_RUN in (one, other) else other
