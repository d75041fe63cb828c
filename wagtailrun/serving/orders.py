"""Entry side of keyed orders with side effects, which run at most once."""

import hashlib
import itertools
import random
import secrets
from collections.abc import Callable

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.exceptions import (
    ConsensusUnavailable,
    Refusal,
    RefusalReason,
    Verdict,
)
from wagtailrun.ports.target import StageAnswer
from wagtailrun.registry.client import ControlClient
from wagtailrun.registry.messages import (
    CloseOrder,
    FindOrder,
    OpenOrder,
    OrderState,
    OrderVerdict,
)
from wagtailrun.registry.order_table import MAX_STORED_BODY_BYTES
from wagtailrun.serving.dispatch import Dispatcher
from wagtailrun.stopping.running_requests import STOPPING_RETRY_MS
from wagtailrun.targets.work import Work

__all__ = ["OrderRunner"]

MIN_POLL_MS = 100
MAX_POLL_MS = 400
CLOSE_TIMEOUT_MS = 5_000
# Shortest timeout for recording an outcome, even if the deadline is nearer or past.
MIN_CLOSE_WAIT_MS = 300
FIND_TIMEOUT_MS = 2_000
CLOSE_RETRY_DELAY_MS = 500
# Outcomes that wait for the control members. Dropping one is safe, because the sweep of
# the registry closes its attempt as "may have run".
MAX_PENDING_CLOSES = 10_000


class OrderRunner:
    """Runs orders that have an idempotency key.

    An attempt is committed before the first byte is sent to a target. It is sent at
    most once, by the task that opened it.

    Args:
        clock: Clock.
        control: Client of the control members.
        dispatcher: Sends orders to targets.
        entry: Name of this entry.
        incarnation: Incarnation of this entry.
        rng: Random generator for the jitter of retry delays.
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
        # Starts at a random number, because two processes must not use the same sender
        # numbers for one key.
        first = secrets.randbits(40) << 20
        self.next_sender: Callable[[], int] = itertools.count(first).__next__
        self.pending_closes_by_sender: dict[int, CloseOrder] = {}
        self.closes_in_background = False
        self.active_runs = 0
        # Whether the process ends, which would cut off an attempt that begins now.
        self.ended = False

    @property
    def is_idle(self) -> bool:
        """Whether no order is running and every outcome is recorded."""
        return not self.active_runs and not self.pending_closes_by_sender

    def end(self) -> None:
        """Send no more orders; an attempt that is opened is closed as not run."""
        self.ended = True

    async def run(self, work: Work, key: str) -> StageAnswer | Refusal:
        """Run ``work`` at most once for ``key`` and return its first outcome.

        The order continues if the caller disconnects, so that its outcome is recorded.
        """
        task = await curio.spawn(self._run_counted, work, key, daemon=True)
        result: StageAnswer | Refusal = await task.join()
        return result

    async def find(
        self, workspace: str, key: str, timeout_ms: int = FIND_TIMEOUT_MS
    ) -> OrderVerdict | Refusal:
        """Return the state of an order.

        Args:
            workspace: Workspace of the caller.
            key: Idempotency key of the caller.
            timeout_ms: Timeout of the query, in milliseconds.

        Returns:
            State in the registry; if the registry cannot be reached, a refusal with
            the verdict "may have run".
        """
        try:
            query = FindOrder(workspace, key)
            verdict: OrderVerdict = await self.control.call_leader(query, timeout_ms)
            return verdict
        except ConsensusUnavailable as error:
            return _unknown_history_refusal(error)

    async def _run_counted(self, work: Work, key: str) -> StageAnswer | Refusal:
        self.active_runs += 1
        try:
            return await self._run(work, key)
        finally:
            self.active_runs -= 1

    async def _run(self, work: Work, key: str) -> StageAnswer | Refusal:
        order = _OrderRun(self, work, key)
        while True:
            try:
                opened = await self.control.call_leader(
                    order.open_message(), max(order.remaining_ms(), 1)
                )
            except ConsensusUnavailable as error:
                if error.may_have_committed:
                    await self._close_later(order.withdrawal())
                return _unknown_history_refusal(error)
            if opened.state == OrderState.OPENED:
                return await self._send(order, opened.attempt)
            if opened.state != OrderState.OPEN_ELSEWHERE:
                return _recorded_outcome(opened)
            settled = await self._wait_until_closed(order)
            if settled is None:
                # A delayed copy of the command must not open an attempt later, which
                # no task would send.
                await self._close_later(order.withdrawal())
                return _still_open_refusal(opened)
            if settled.verdict != Verdict.NOT_RUN or self.ended:
                return _recorded_outcome(settled)

    async def _wait_until_closed(self, order: "_OrderRun") -> OrderVerdict | None:
        """Return the outcome of another sender's attempt, or None at the deadline."""
        delay_ms = MIN_POLL_MS
        while order.remaining_ms() > delay_ms:
            await self.clock.sleep_ms(delay_ms)
            delay_ms = min(2 * delay_ms, MAX_POLL_MS)
            query = FindOrder(order.work.workspace, order.key)
            try:
                found: OrderVerdict = await self.control.call_leader(
                    query, max(order.remaining_ms(), 1)
                )
            except ConsensusUnavailable:
                continue
            if found.state == OrderState.CLOSED:
                return found
        return None

    async def _send(self, order: "_OrderRun", attempt: int) -> StageAnswer | Refusal:
        if self.ended:
            result: StageAnswer | Refusal = Refusal(
                RefusalReason.DRAINING,
                Verdict.NOT_RUN,
                "this entry ended before the order was sent",
                STOPPING_RETRY_MS,
                attempt_sent=False,
            )
        elif order.may_send():
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
            return _confirmed_result(result, None, attempt)
        return _confirmed_result(result, closed, attempt)

    async def _dispatch(self, work: Work) -> StageAnswer | Refusal:
        try:
            return await self.dispatcher.call(work)
        except Exception as error:
            # Any error: the attempt must be closed, and bytes may have been sent.
            detail = f"the attempt ended with an internal error: {error!r}"
            return Refusal(RefusalReason.INTERNAL, Verdict.MAY_HAVE_RUN, detail)

    async def _close_later(self, message: CloseOrder) -> None:
        """Record an outcome in the background, with retries until it is confirmed."""
        if len(self.pending_closes_by_sender) >= MAX_PENDING_CLOSES:
            del self.pending_closes_by_sender[next(iter(self.pending_closes_by_sender))]
        self.pending_closes_by_sender[message.sender] = message
        if not self.closes_in_background:
            self.closes_in_background = True
            await curio.spawn(self._close_pending, daemon=True)

    async def _close_pending(self) -> None:
        try:
            while self.pending_closes_by_sender:
                sender, message = next(iter(self.pending_closes_by_sender.items()))
                try:
                    await self.control.call_leader(message, CLOSE_TIMEOUT_MS)
                except ConsensusUnavailable:
                    delay_ms = CLOSE_RETRY_DELAY_MS + self.rng.randint(
                        0, CLOSE_RETRY_DELAY_MS
                    )
                    await self.clock.sleep_ms(delay_ms)
                else:
                    self.pending_closes_by_sender.pop(sender, None)
        finally:
            self.closes_in_background = False


class _OrderRun:
    """One run of an order at this entry, with its deadline and registry messages."""

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
        """Return whether the deadline is in the future by both clocks.

        The monotonic clock may stop while the VM is suspended; the wall clock does not.
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
        """Return the command that withdraws every attempt this run may have opened."""
        return self.close_message(0, Verdict.NOT_RUN)


def _confirmed_result(
    result: StageAnswer | Refusal, closed: OrderVerdict | None, attempt: int
) -> StageAnswer | Refusal:
    """Return ``result``, but "not run" only if the registry recorded that verdict.

    Otherwise the verdict becomes "may have run". A resend receives the verdict in the
    registry, where the sweep may already have closed the attempt as "may have run".
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


def _recorded_outcome(order: OrderVerdict) -> StageAnswer | Refusal:
    if order.state == OrderState.KEY_REUSED:
        detail = "the key was used for another body or call; use a new key"
        return Refusal(RefusalReason.KEY_REUSED, Verdict.NOT_RUN, detail)
    if order.state == OrderState.TABLE_FULL:
        return Refusal(
            RefusalReason.KEY_TABLE_FULL,
            Verdict.NOT_RUN,
            "the table of order keys is full; send again after the retry delay",
            order.retry_after_ms,
        )
    if order.verdict == Verdict.COMPLETE and not order.answer_digest:
        return StageAnswer(order.status, order.body)
    if order.verdict == Verdict.COMPLETE:
        detail = (
            f"the order ran and returned status {order.status}; the response was too "
            f"large to store, its SHA-256 is {order.answer_digest}"
        )
        return Refusal(
            RefusalReason.TARGET_FAILED,
            Verdict.MAY_HAVE_RUN,
            detail,
            attempt_sent=False,
        )
    detail = "an earlier attempt with this key ended without a known outcome"
    return Refusal(
        RefusalReason.TARGET_FAILED,
        Verdict(order.verdict),
        detail,
        attempt_sent=False,
    )


def _still_open_refusal(order: OrderVerdict) -> Refusal:
    return Refusal(
        RefusalReason.ORDER_OPEN,
        Verdict.MAY_HAVE_RUN,
        "an earlier attempt with this key is still running",
        order.retry_after_ms,
        attempt_sent=False,
    )


def _unknown_history_refusal(error: ConsensusUnavailable) -> Refusal:
    return Refusal(
        RefusalReason.CONSENSUS_UNAVAILABLE,
        Verdict.MAY_HAVE_RUN,
        "this request sent nothing, but an earlier attempt with this key may have run: "
        f"{error}",
        error.retry_after_ms,
        attempt_sent=False,
    )
