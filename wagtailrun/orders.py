"""Entry side of orders with consequences: each runs at most once."""

import hashlib

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.control_client import ControlClient
from wagtailrun.dispatch import Dispatcher, Work
from wagtailrun.exceptions import (
    ConsensusUnavailable,
    Refusal,
    RefusalReason,
    Verdict,
)
from wagtailrun.ports.target import StageAnswer
from wagtailrun.registry_messages import (
    CloseOrder,
    FindOrder,
    OpenOrder,
    OrderState,
    OrderVerdict,
)

__all__ = ["OrderRunner"]

POLL_MS = 100
CLOSE_TIMEOUT_MS = 5_000
OPEN_TIMEOUT_MS = 2_000


class OrderRunner:
    """Runs orders that carry a caller's key.

    Args:
        clock: Clock.
        control: Client of the control members.
        dispatcher: Sends the order to a target.
        entry: Name of this entry.
        incarnation: Incarnation of this entry.
    """

    def __init__(
        self,
        clock: Clock,
        control: ControlClient,
        dispatcher: Dispatcher,
        entry: str,
        incarnation: int,
    ):
        self.clock = clock
        self.control = control
        self.dispatcher = dispatcher
        self.entry = entry
        self.incarnation = incarnation

    async def run(self, work: Work, key: str) -> StageAnswer | Refusal:
        """Run ``work`` at most once for ``key`` and return its first outcome.

        The order goes on when the caller leaves, so that its outcome is recorded.
        """
        task = await curio.spawn(self._run, work, key, daemon=True)
        return await task.join()

    async def _run(self, work: Work, key: str) -> StageAnswer | Refusal:
        try:
            opened = await self._open(work, key)
        except ConsensusUnavailable as error:
            return _history_unknown(error)
        while opened.state == OrderState.OPEN_ELSEWHERE:
            if self.clock.now_ms() + POLL_MS >= work.deadline_at_ms:
                return _still_open(opened)
            await self.clock.sleep_ms(POLL_MS)
            opened = await self._find(work, key, opened)
        if opened.state == OrderState.OPENED:
            return await self._send(work, key, opened.attempt)
        return _outcome(opened)

    async def _open(self, work: Work, key: str) -> OrderVerdict:
        remaining_ms = work.deadline_at_ms - self.clock.now_ms()
        message = OpenOrder(
            workspace=work.workspace,
            key=key,
            service=work.service,
            call=work.stage,
            body_digest=hashlib.sha256(work.body).hexdigest(),
            entry=self.entry,
            entry_incarnation=self.incarnation,
            now_ms=0,
            deadline_ms=self.clock.wall_ms() + max(remaining_ms, 0),
            request_id=work.request_id,
        )
        timeout_ms = max(min(remaining_ms, OPEN_TIMEOUT_MS), 1)
        return await self.control.ask(message, timeout_ms)

    async def _find(self, work: Work, key: str, last: OrderVerdict) -> OrderVerdict:
        remaining_ms = work.deadline_at_ms - self.clock.now_ms()
        try:
            question = FindOrder(work.workspace, key)
            return await self.control.ask(question, max(remaining_ms, 1))
        except ConsensusUnavailable:
            return last

    async def _send(self, work: Work, key: str, attempt: int) -> StageAnswer | Refusal:
        result = await self.dispatcher.call(work)
        if isinstance(result, Refusal):
            verdict, status, body = result.verdict, 0, b""
        else:
            verdict, status, body = Verdict.COMPLETE, result.status, result.body
        message = CloseOrder(
            workspace=work.workspace,
            key=key,
            attempt=attempt,
            verdict=verdict,
            status=status,
            body=body,
            now_ms=0,
            entry=self.entry,
            entry_incarnation=self.incarnation,
        )
        try:
            await self.control.ask(message, CLOSE_TIMEOUT_MS)
        except ConsensusUnavailable:
            # The sweep closes the order as "may have run". A caller that resends is
            # told so; "not run" can no longer be promised.
            if isinstance(result, Refusal):
                return attrs.evolve(result, verdict=Verdict.MAY_HAVE_RUN)
        return result


def _outcome(order: OrderVerdict) -> StageAnswer | Refusal:
    if order.state == OrderState.KEY_REUSED:
        detail = "the key was used with another body; use a new key"
        return Refusal(RefusalReason.KEY_REUSED, Verdict.NOT_RUN, detail)
    if order.state == OrderState.TABLE_FULL:
        return Refusal(
            RefusalReason.KEY_TABLE_FULL,
            Verdict.NOT_RUN,
            "no more keys can be kept now",
            order.retry_after_ms,
        )
    if order.verdict == Verdict.COMPLETE:
        return StageAnswer(order.status, order.body)
    detail = "an earlier try of this key ended without a known outcome"
    return Refusal(RefusalReason.TARGET_FAILED, Verdict(order.verdict), detail)


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
