"""Replicated state machine: fleet text and orders with consequences."""

import json
from typing import Any

import attrs
import cattrs

from wagtailrun.codec import decode
from wagtailrun.exceptions import FleetTextError, Verdict
from wagtailrun.fleet import parse_fleet_text
from wagtailrun.ports.log import StateMachine
from wagtailrun.registry_messages import (
    ApplyText,
    CloseOrder,
    OpenOrder,
    OrderState,
    OrderVerdict,
    SweepOrders,
    Swept,
    TextVerdict,
)

__all__ = ["OrderKey", "OrderRecord", "Registry"]

KEY_RETENTION_MS = 24 * 3_600_000
MAX_ORDER_KEYS = 50_000
OVERDUE_GRACE_MS = 10_000
ORDER_POLL_MS = 1_000


@attrs.frozen
class OrderKey:
    """Identifies an order: keys of different workspaces are independent."""

    workspace: str
    key: str


@attrs.define
class OrderRecord:
    """What is known of one order.

    Attributes:
        service: Service that runs it.
        call: Call of the service.
        body_digest: Digest of the first body.
        entry: Entry that owns the newest attempt.
        entry_incarnation: Incarnation of that entry.
        opened_ms: When the first attempt was opened.
        deadline_ms: When the newest attempt may no longer be sent.
        request_id: Request of the newest attempt.
        attempt: Number of the newest attempt, from 1.
        verdict: Verdict of the newest attempt, or empty while it is open.
        status: HTTP status of the target's answer.
        body: Body of the target's answer.
    """

    service: str
    call: str
    body_digest: str
    entry: str
    entry_incarnation: int
    opened_ms: int
    deadline_ms: int
    request_id: str
    attempt: int = 1
    verdict: str = ""
    status: int = 0
    body: bytes = b""


class Registry(StateMachine):
    """State that the control members agree on."""

    def __init__(self) -> None:
        self.text = ""
        self.revision = 0
        self.now_ms = 0
        self.orders_by_key: dict[OrderKey, OrderRecord] = {}
        self.changes_by_id: dict[str, TextVerdict] = {}

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one command; the result is a message."""
        message = decode(command)
        self.now_ms = max(self.now_ms, message.now_ms)
        match message:
            case ApplyText():
                return self._apply_text(message)
            case OpenOrder():
                return self._open_order(message)
            case CloseOrder():
                return self._close_order(message)
            case SweepOrders():
                return self._sweep_orders()
        raise TypeError(f"{type(message).__name__} is no command")

    def snapshot(self) -> bytes:
        """Return the whole state as JSON."""
        converter = cattrs.preconf.json.make_converter()
        orders = [
            [converter.unstructure(key), converter.unstructure(order)]
            for key, order in self.orders_by_key.items()
        ]
        state = {
            "text": self.text,
            "revision": self.revision,
            "now_ms": self.now_ms,
            "orders": orders,
            "changes": converter.unstructure(self.changes_by_id),
        }
        return json.dumps(state).encode()

    def restore(self, data: bytes) -> None:
        """Replace the state by the one in ``data``."""
        converter = cattrs.preconf.json.make_converter()
        state = json.loads(data)
        self.text = state["text"]
        self.revision = state["revision"]
        self.now_ms = state["now_ms"]
        self.orders_by_key = {
            converter.structure(key, OrderKey): converter.structure(order, OrderRecord)
            for key, order in state["orders"]
        }
        self.changes_by_id = converter.structure(
            state["changes"], dict[str, TextVerdict]
        )

    def find_order(self, key: OrderKey) -> OrderVerdict:
        """Return what is known of an order."""
        record = self.orders_by_key.get(key)
        if record is None:
            return OrderVerdict(OrderState.UNKNOWN)
        return _verdict_of(record)

    def _apply_text(self, command: ApplyText) -> TextVerdict:
        known = self.changes_by_id.get(command.change_id)
        if known is not None:
            return known
        verdict = self._judge_text(command)
        if verdict.accepted:
            self.text = command.text
            self.revision = verdict.revision
        self.changes_by_id[command.change_id] = verdict
        return verdict

    def _judge_text(self, command: ApplyText) -> TextVerdict:
        if command.base_revision != self.revision:
            detail = f"the current revision is {self.revision}"
            return TextVerdict(False, self.revision, detail)
        try:
            parse_fleet_text(command.text)
        except FleetTextError as error:
            return TextVerdict(False, self.revision, str(error))
        return TextVerdict(True, self.revision + 1)

    def _open_order(self, command: OpenOrder) -> OrderVerdict:
        key = OrderKey(command.workspace, command.key)
        record = self.orders_by_key.get(key)
        if record is None:
            return self._open_first(key, command)
        if record.body_digest != command.body_digest:
            return OrderVerdict(OrderState.KEY_REUSED, record.attempt)
        if record.verdict != Verdict.NOT_RUN:
            return _verdict_of(record)
        record.attempt += 1
        record.entry = command.entry
        record.entry_incarnation = command.entry_incarnation
        record.deadline_ms = command.deadline_ms
        record.request_id = command.request_id
        record.verdict = ""
        return OrderVerdict(OrderState.OPENED, record.attempt)

    def _open_first(self, key: OrderKey, command: OpenOrder) -> OrderVerdict:
        if len(self.orders_by_key) >= MAX_ORDER_KEYS:
            oldest = min(order.opened_ms for order in self.orders_by_key.values())
            wait_ms = max(oldest + KEY_RETENTION_MS - self.now_ms, ORDER_POLL_MS)
            return OrderVerdict(OrderState.TABLE_FULL, retry_after_ms=wait_ms)
        self.orders_by_key[key] = OrderRecord(
            service=command.service,
            call=command.call,
            body_digest=command.body_digest,
            entry=command.entry,
            entry_incarnation=command.entry_incarnation,
            opened_ms=self.now_ms,
            deadline_ms=command.deadline_ms,
            request_id=command.request_id,
        )
        return OrderVerdict(OrderState.OPENED, 1)

    def _close_order(self, command: CloseOrder) -> OrderVerdict:
        record = self.orders_by_key.get(OrderKey(command.workspace, command.key))
        if record is None:
            return OrderVerdict(OrderState.UNKNOWN)
        if record.attempt == command.attempt and not record.verdict:
            record.verdict = command.verdict
            record.status = command.status
            record.body = command.body
        return _verdict_of(record)

    def _sweep_orders(self) -> Swept:
        closed = 0
        for record in self.orders_by_key.values():
            overdue = record.deadline_ms + OVERDUE_GRACE_MS < self.now_ms
            if not record.verdict and overdue:
                record.verdict = Verdict.MAY_HAVE_RUN
                closed += 1
        expired = [
            key
            for key, record in self.orders_by_key.items()
            if record.verdict and record.opened_ms + KEY_RETENTION_MS < self.now_ms
        ]
        for key in expired:
            del self.orders_by_key[key]
        return Swept(closed, len(expired))


def _verdict_of(record: OrderRecord) -> OrderVerdict:
    if not record.verdict:
        return OrderVerdict(
            OrderState.OPEN_ELSEWHERE, record.attempt, retry_after_ms=ORDER_POLL_MS
        )
    return OrderVerdict(
        OrderState.CLOSED, record.attempt, record.verdict, record.status, record.body
    )
