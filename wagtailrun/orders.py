"""Entry side of orders with consequences: each runs at most once."""

import hashlib
import itertools
import random
import secrets
from collections.abc import Callable

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.control_client import ControlClient
from wagtailrun.dispatch import Dispatcher
from wagtailrun.exceptions import (
    ConsensusUnavailable,
    Refusal,
    RefusalReason,
    Verdict,
)
from wagtailrun.order_table import MAX_STORED_BODY_BYTES
from wagtailrun.ports.target import StageAnswer
from wagtailrun.registry_messages import (
    CloseOrder,
    FindOrder,
    OpenOrder,
    OrderState,
    OrderVerdict,
)
from wagtailrun.work import Work

__all__ = ["OrderRunner"]

POLL_MS = 100
MAX_POLL_MS = 400
CLOSE_TIMEOUT_MS = 5_000
# Time to record an outcome when the deadline has all but passed.
MIN_CLOSE_WAIT_MS = 300
FIND_TIMEOUT_MS = 2_000
PENDING_PAUSE_MS = 500
# Closes that wait for the control members. A dropped one is closed as "may have run" by
# the registry's sweep, so dropping is safe.
MAX_PENDING_CLOSES = 10_000


class OrderRunner:
    """Runs orders that carry a caller's key.

    The intent is committed before the first byte goes to a target, and the attempt
    that the registry hands out is sent at most once, by the task that asked for it.

    Args:
        clock: Clock.
        control: Client of the control members.
        dispatcher: Sends the order to a target.
        entry: Name of this entry.
        incarnation: Incarnation of this entry.
        rng: Source of jitter.
    """

    def __init__(
        self,
        clock: Clock,
        control: ControlClient,
        dispatcher: Dispatcher,
        entry: str,
        incarnation: int,
        rng: random.Random | None = None,
    ):
        self.clock = clock
        self.control = control
        self.dispatcher = dispatcher
        self.entry = entry
        self.incarnation = incarnation
        self.rng = rng or random.Random()
        # Two processes must not use the same sender numbers for one key.
        first = secrets.randbits(40) << 20
        self.next_sender: Callable[[], int] = itertools.count(first).__next__
        self.pending_by_sender: dict[int, CloseOrder] = {}
        self.closing = False
        self.active = 0

    @property
    def is_idle(self) -> bool:
        """Whether no order is under way and every outcome is recorded."""
        return not self.active and not self.pending_by_sender

    async def run(self, work: Work, key: str) -> StageAnswer | Refusal:
        """Run ``work`` at most once for ``key`` and return its first outcome.

        The order goes on when the caller leaves, so that its outcome is recorded.
        """
        task = await curio.spawn(self._run_counted, work, key, daemon=True)
        return await task.join()

    async def find(
        self, workspace: str, key: str, timeout_ms: int = FIND_TIMEOUT_MS
    ) -> OrderVerdict | Refusal:
        """Return the state of a caller's own order.

        Args:
            workspace: Workspace of the caller.
            key: Idempotency key of the caller.
            timeout_ms: When to give up, in milliseconds.

        Returns:
            What the registry knows; or, if it cannot be reached, a refusal that
            leaves open whether the order ran.
        """
        try:
            return await self.control.call_leader(FindOrder(workspace, key), timeout_ms)
        except ConsensusUnavailable as error:
            return _history_unknown(error)

    async def _run_counted(self, work: Work, key: str) -> StageAnswer | Refusal:
        self.active += 1
        try:
            return await self._run(work, key)
        finally:
            self.active -= 1

    async def _run(self, work: Work, key: str) -> StageAnswer | Refusal:
        order = _Order(self, work, key)
        while True:
            try:
                opened = await self.control.call_leader(
                    order.open_message(), max(order.remaining_ms(), 1)
                )
            except ConsensusUnavailable as error:
                if error.may_have_committed:
                    await self._close_later(order.withdrawal())
                return _history_unknown(error)
            if opened.state == OrderState.OPENED:
                return await self._send(order, opened.attempt)
            if opened.state != OrderState.OPEN_ELSEWHERE:
                return _outcome(opened)
            settled = await self._wait_until_closed(order)
            if settled is None:
                # A copy of the command that is still under way must not open an
                # attempt that nobody sends.
                await self._close_later(order.withdrawal())
                return _still_open(opened)
            if settled.verdict != Verdict.NOT_RUN:
                return _outcome(settled)

    async def _wait_until_closed(self, order: "_Order") -> OrderVerdict | None:
        """Return the outcome of another's attempt, or None if the time is over."""
        pause_ms = POLL_MS
        while order.remaining_ms() > pause_ms:
            await self.clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, MAX_POLL_MS)
            question = FindOrder(order.work.workspace, order.key)
            try:
                found = await self.control.call_leader(
                    question, max(order.remaining_ms(), 1)
                )
            except ConsensusUnavailable:
                continue
            if found.state == OrderState.CLOSED:
                return found
        return None

    async def _send(self, order: "_Order", attempt: int) -> StageAnswer | Refusal:
        if order.may_send():
            result = await self._dispatch(order.work)
        else:
            detail = "the deadline passed before the order was sent"
            result = Refusal(
                RefusalReason.DEADLINE, Verdict.NOT_RUN, detail, attempt_sent=False
            )
        message = order.close_message(attempt, result)
        remaining_ms = max(order.remaining_ms(), MIN_CLOSE_WAIT_MS)
        try:
            closed = await self.control.call_leader(
                message, min(remaining_ms, CLOSE_TIMEOUT_MS)
            )
        except ConsensusUnavailable:
            await self._close_later(message)
            return _unless_confirmed(result, None, attempt)
        return _unless_confirmed(result, closed, attempt)

    async def _dispatch(self, work: Work) -> StageAnswer | Refusal:
        try:
            return await self.dispatcher.call(work)
        except Exception as error:
            # Whatever failed, the attempt must be closed, and bytes may have been sent.
            detail = f"the attempt ended with an internal error: {error!r}"
            return Refusal(RefusalReason.INTERNAL, Verdict.MAY_HAVE_RUN, detail)

    async def _close_later(self, message: CloseOrder) -> None:
        """Record an outcome in the background, retried until it is confirmed."""
        if len(self.pending_by_sender) >= MAX_PENDING_CLOSES:
            del self.pending_by_sender[next(iter(self.pending_by_sender))]
        self.pending_by_sender[message.sender] = message
        if not self.closing:
            self.closing = True
            await curio.spawn(self._close_pending, daemon=True)

    async def _close_pending(self) -> None:
        try:
            while self.pending_by_sender:
                sender, message = next(iter(self.pending_by_sender.items()))
                try:
                    await self.control.call_leader(message, CLOSE_TIMEOUT_MS)
                except ConsensusUnavailable:
                    pause_ms = PENDING_PAUSE_MS + self.rng.randint(0, PENDING_PAUSE_MS)
                    await self.clock.sleep_ms(pause_ms)
                else:
                    self.pending_by_sender.pop(sender, None)
        finally:
            self.closing = False


class _Order:
    """One run of an order at this entry: its deadline and its messages."""

    def __init__(self, runner: OrderRunner, work: Work, key: str):
        self.runner = runner
        self.clock = runner.clock
        self.work = work
        self.key = key
        self.sender = runner.next_sender()
        self.deadline_wall_ms = self.clock.wall_ms() + max(self.remaining_ms(), 0)

    def remaining_ms(self) -> int:
        return self.work.deadline_at_ms - self.clock.now_ms()

    def may_send(self) -> bool:
        """Return whether the deadline lies ahead by both clocks.

        The monotonic clock of a suspended VM may stand still; its wall clock does not.
        """
        return self.remaining_ms() > 0 and self.clock.wall_ms() < self.deadline_wall_ms

    def open_message(self) -> OpenOrder:
        now_ms = self.clock.wall_ms()
        return OpenOrder(
            workspace=self.work.workspace,
            key=self.key,
            service=self.work.service,
            call=self.work.stage,
            body_digest=hashlib.sha256(self.work.body).hexdigest(),
            entry=self.runner.entry,
            entry_incarnation=self.runner.incarnation,
            now_ms=now_ms,
            deadline_ms=now_ms + max(self.remaining_ms(), 0),
            request_id=self.work.request_id,
            sender=self.sender,
        )

    def close_message(
        self, attempt: int, result: StageAnswer | Refusal | Verdict
    ) -> CloseOrder:
        status, body, answer_digest = 0, b"", ""
        if isinstance(result, StageAnswer):
            verdict, status, body = Verdict.COMPLETE, result.status, result.body
            if len(body) > MAX_STORED_BODY_BYTES:
                answer_digest = hashlib.sha256(body).hexdigest()
                body = b""
        else:
            verdict = result.verdict if isinstance(result, Refusal) else result
        return CloseOrder(
            workspace=self.work.workspace,
            key=self.key,
            attempt=attempt,
            verdict=verdict,
            status=status,
            body=body,
            now_ms=0,
            entry=self.runner.entry,
            entry_incarnation=self.runner.incarnation,
            sender=self.sender,
            answer_digest=answer_digest,
        )

    def withdrawal(self) -> CloseOrder:
        """Return the command that closes whatever this run may have opened."""
        return self.close_message(0, Verdict.NOT_RUN)


def _unless_confirmed(
    result: StageAnswer | Refusal, closed: OrderVerdict | None, attempt: int
) -> StageAnswer | Refusal:
    """Return ``result``, with "not run" only if the registry recorded it.

    A caller that resends is told what the registry holds; the sweep may have closed
    the attempt as "may have run" before.
    """
    if not isinstance(result, Refusal) or result.verdict != Verdict.NOT_RUN:
        return result
    if (
        closed is not None
        and closed.verdict == Verdict.NOT_RUN
        and closed.attempt == attempt
    ):
        return result
    return attrs.evolve(result, verdict=Verdict.MAY_HAVE_RUN)


def _outcome(order: OrderVerdict) -> StageAnswer | Refusal:
    if order.state == OrderState.KEY_REUSED:
        detail = "the key was used with another body or call; use a new key"
        return Refusal(RefusalReason.KEY_REUSED, Verdict.NOT_RUN, detail)
    if order.state == OrderState.TABLE_FULL:
        return Refusal(
            RefusalReason.KEY_TABLE_FULL,
            Verdict.NOT_RUN,
            "no more keys can be kept now",
            order.retry_after_ms,
        )
    if order.verdict == Verdict.COMPLETE and not order.answer_digest:
        return StageAnswer(order.status, order.body)
    if order.verdict == Verdict.COMPLETE:
        detail = (
            f"the order ran and was answered with status {order.status}; the answer "
            f"was too large to keep, its SHA-256 is {order.answer_digest}"
        )
        return Refusal(
            RefusalReason.TARGET_FAILED,
            Verdict.MAY_HAVE_RUN,
            detail,
            attempt_sent=False,
        )
    detail = "an earlier try of this key ended without a known outcome"
    return Refusal(
        RefusalReason.TARGET_FAILED,
        Verdict(order.verdict),
        detail,
        attempt_sent=False,
    )


def _still_open(order: OrderVerdict) -> Refusal:
    return Refusal(
        RefusalReason.ORDER_OPEN,
        Verdict.MAY_HAVE_RUN,
        "an earlier try of this key is under way",
        order.retry_after_ms,
        attempt_sent=False,
    )


def _history_unknown(error: ConsensusUnavailable) -> Refusal:
    return Refusal(
        RefusalReason.CONSENSUS_UNAVAILABLE,
        Verdict.MAY_HAVE_RUN,
        f"nothing was sent now, but an earlier try of this key may have run: {error}",
        error.retry_after_ms,
        attempt_sent=False,
    )
