"""Runs one stage or call at a target: routing, attempts, retries."""

import itertools
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

import attrs

from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, RefusalReason, TargetFailed, Verdict
from wagtailrun.membership import Membership, TargetRow
from wagtailrun.ports.target import Attempt, StageAnswer, TargetClient, Token
from wagtailrun.routing import Router

__all__ = ["Dispatcher", "Work"]

MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 1_000


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


class Dispatcher:
    """Gives work to targets.

    Args:
        clock: Clock.
        membership: Known targets.
        client: Calls targets.
        router: Chooses targets.
    """

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        client: TargetClient,
        router: Router,
    ):
        self.clock = clock
        self.membership = membership
        self.client = client
        self.router = router
        # Numbers of different incarnations of an entry must not collide.
        first = secrets.randbits(40) << 20
        self.next_number: Callable[[], int] = itertools.count(first).__next__

    async def call(self, work: Work) -> StageAnswer | Refusal:
        """Run ``work`` and return its whole answer.

        Work that is not idempotent is sent at most once, on a new connection.
        """
        refusal = None
        for _ in range(MAX_ATTEMPTS if work.idempotent else 1):
            prepared = self._prepare(work)
            if isinstance(prepared, Refusal):
                return refusal or prepared
            target, attempt = prepared
            try:
                return await self._call_once(target, attempt)
            except TargetFailed as error:
                refusal = _combine(refusal, error)
        return refusal

    async def stream(self, work: Work) -> AsyncIterator[tuple[Token, ...] | Refusal]:
        """Run a generate stage and yield its tokens as they arrive.

        A broken stream goes on at another target from the next offset. The last item
        ends with the end marker, or is a refusal.
        """
        offset = 0
        refusal = None
        for _ in range(MAX_ATTEMPTS):
            prepared = self._prepare(work, offset)
            if isinstance(prepared, Refusal):
                yield refusal or prepared
                return
            target, attempt = prepared
            try:
                async with aclosing(self._stream_once(target, attempt)) as stream:
                    async for tokens in stream:
                        _check_order(tokens, offset)
                        offset += sum(not token.last for token in tokens)
                        yield tokens
                return
            except TargetFailed as error:
                refusal = _combine(refusal, error)
        yield refusal

    def _prepare(
        self, work: Work, resume_offset: int = 0
    ) -> tuple[TargetRow, Attempt] | Refusal:
        now_ms = self.clock.now_ms()
        remaining_ms = work.deadline_at_ms - now_ms
        if remaining_ms <= 0:
            detail = "the deadline passed"
            return Refusal(RefusalReason.DEADLINE, Verdict.NOT_RUN, detail)
        target = self.router.choose(self.membership.usable(work.service, now_ms))
        if target is None:
            detail = f"service {work.service} has no usable target"
            return Refusal(
                RefusalReason.NO_TARGET, Verdict.NOT_RUN, detail, RETRY_AFTER_MS
            )
        attempt = Attempt(
            number=self.next_number(),
            request_id=work.request_id,
            path=work.path,
            body=work.body,
            remaining_ms=remaining_ms,
            priority=work.priority,
            resume_offset=resume_offset,
            fresh=not work.idempotent,
        )
        return target, attempt

    async def _call_once(self, target: TargetRow, attempt: Attempt) -> StageAnswer:
        started_ms = self.clock.now_ms()
        self.router.started(target)
        succeeded = False
        try:
            answer = await self.client.call(target.address, attempt)
            succeeded = True
            return answer
        finally:
            self.router.ended(target, self.clock.now_ms() - started_ms, succeeded)

    async def _stream_once(
        self, target: TargetRow, attempt: Attempt
    ) -> AsyncIterator[tuple[Token, ...]]:
        started_ms = self.clock.now_ms()
        self.router.started(target)
        succeeded = False
        try:
            stream = self.client.stream(target.address, attempt)
            async with aclosing(stream):
                async for tokens in stream:
                    yield tokens
            succeeded = True
        finally:
            self.router.ended(target, self.clock.now_ms() - started_ms, succeeded)
            if not succeeded:
                await self.client.cancel(target.address, attempt.number)


def _check_order(tokens: tuple[Token, ...], offset: int) -> None:
    for position, token in enumerate(tokens, offset):
        if token.offset != position:
            detail = f"token {token.offset} arrived in place of {position}"
            raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)


def _combine(earlier: Refusal | None, error: TargetFailed) -> Refusal:
    """Return the refusal after one more failed attempt.

    Once an attempt may have run, a later one that did not run changes nothing.
    """
    verdict = error.verdict
    if earlier is not None and earlier.verdict is Verdict.MAY_HAVE_RUN:
        verdict = earlier.verdict
    retry_after_ms = error.retry_after_ms or RETRY_AFTER_MS
    return Refusal(RefusalReason.TARGET_FAILED, verdict, str(error), retry_after_ms)
