"""Table of keyed orders: their attempts, outcomes and retention."""

import base64
import hashlib
import heapq
import json
import sys
from collections import OrderedDict
from operator import attrgetter
from typing import Any

import attrs

from wagtailrun.exceptions import Verdict
from wagtailrun.registry.messages import (
    CloseOrder,
    OpenOrder,
    OrderList,
    OrderRow,
    OrderState,
    OrderVerdict,
    Swept,
)

__all__ = ["ORDER_FIELDS", "OrderKey", "OrderRecord", "OrderTable"]

KEY_RETENTION_MS = 24 * 3_600_000
MAX_ORDER_KEYS = 50_000
MAX_STORED_BODY_BYTES = 16 * 1024
# Total over all orders: 50,000 bodies of 16 KiB would take 800 MB, but a control
# process has 26 MB for its whole state.
MAX_TOTAL_BODY_BYTES = 16 * 1024 * 1024
OVERDUE_GRACE_MS = 10_000
# Longest deadline that the fleet configuration can set. An entry with a wrong clock
# cannot keep its orders open beyond it.
MAX_DEADLINE_MS = 600_000
ORDER_POLL_MS = 1_000
# Orders that one sweep closes, and keys that it removes; bounds the time to apply it.
MAX_SWEPT_ORDERS = 1_000
# Withdrawn senders that are kept for a key. Each lost reply to OpenOrder adds one.
MAX_WITHDRAWN_SENDERS = 16
MAX_STALE_HEAP_ITEMS = 1_000
IDENTITY_BYTES = 16
MAX_INTERNED_NUMBERS = 10_000
VERDICTS = frozenset(Verdict)


@attrs.frozen(order=True, weakref_slot=False)
class OrderKey:
    """Identifies an order; the keys of different workspaces are independent."""

    workspace: str
    key: str


@attrs.define(weakref_slot=False)
class OrderRecord:
    """State of one order. Times are those of the state machine, in milliseconds.

    Attributes:
        service: Service that runs the order.
        call: Call of the service.
        identity: Digest of service, call and body. A request with the same key and
            another digest is refused. Half a SHA-256, because up to 50,000 are kept.
        entry: Entry that owns the newest attempt.
        entry_incarnation: Incarnation of that entry.
        opened_ms: When the newest attempt was opened. Retention counts from here, so
            that a resend within 24 h of the last run finds its outcome.
        deadline_ms: Time after which the entry does not send the newest attempt.
        request_id: Request identifier of the newest attempt.
        sender: Sender number of the newest attempt.
        attempt: Number of the newest attempt, from 1; 0 if a sender withdrew before
            any attempt was opened.
        verdict: Verdict of the newest attempt, empty while it is open.
        status: HTTP status of the target's response.
        body: Body of the target's response, if it is stored.
        answer_digest: SHA-256 of a response whose body is not stored, or empty.
        withdrawn: Sender numbers that must not open an attempt any more.
    """

    service: str
    call: str
    identity: bytes
    entry: str
    entry_incarnation: int
    opened_ms: int
    deadline_ms: int
    request_id: str
    sender: int = 0
    attempt: int = 1
    verdict: str = ""
    status: int = 0
    body: bytes = b""
    answer_digest: str = ""
    withdrawn: tuple[int, ...] = ()


ORDER_FIELDS = [field.name for field in attrs.fields(OrderRecord)]
_order_values = attrgetter(*ORDER_FIELDS)
_BYTES_FIELDS = [ORDER_FIELDS.index(name) for name in ("identity", "body")]


class OrderTable:
    """Orders by key, as a part of the replicated state.

    All changes are deterministic. Opening, closing and expiry take constant or
    logarithmic time in the number of keys.
    """

    def __init__(self) -> None:
        self.now_ms = 0
        # Sorted by opened_ms, so that the oldest order is the first one.
        self.by_key: OrderedDict[OrderKey, OrderRecord] = OrderedDict()
        # Derived from the orders, not part of snapshots.
        self.stored_body_bytes = 0
        self.open_order_count = 0
        self.interned_numbers: dict[int, int] = {}
        self.overdue_heap: list[tuple[int, int, OrderKey]] = []
        self.unresolved_keys: dict[OrderKey, None] = {}

    def find(self, key: OrderKey) -> OrderVerdict:
        """Return the state of an order."""
        record = self.by_key.get(key)
        if record is None:
            return OrderVerdict(OrderState.UNKNOWN)
        return _current_verdict(record)

    def list_unresolved(self, workspace: str, limit: int) -> OrderList:
        """Return the orders that are open or may have run.

        Args:
            workspace: Workspace of the orders, or empty for all workspaces.
            limit: Largest number of rows; the total counts the others too.
        """
        keys = [
            key
            for key in self.unresolved_keys
            if not workspace or key.workspace == workspace
        ]
        rows = [_order_list_row(key, self.by_key[key]) for key in keys[: max(limit, 0)]]
        return OrderList(rows, len(keys))

    def sweep_is_due(self, wall_ms: int) -> bool:
        """Return whether a ``SweepOrders`` at ``wall_ms`` would change anything."""
        heap = self.overdue_heap
        while heap and not self._is_open(heap[0]):
            # Items of closed attempts must not cause a command. Each member may drop
            # them at any time, because they do not change the result of a sweep.
            heapq.heappop(heap)
        if heap and heap[0][0] < wall_ms:
            return True
        oldest = next(iter(self.by_key.values()), None)
        return oldest is not None and oldest.opened_ms + KEY_RETENTION_MS < wall_ms

    def open(self, command: OpenOrder, now_ms: int) -> OrderVerdict:
        """Open an attempt, or return why the sender must not send the order.

        Args:
            command: Command to apply.
            now_ms: Time of the state machine, in milliseconds.
        """
        self.now_ms = now_ms
        key = OrderKey(sys.intern(command.workspace), command.key)
        record = self.by_key.get(key)
        if record is None:
            return self._open_first(key, command)
        if record.attempt and record.identity != _order_identity(command):
            return OrderVerdict(OrderState.KEY_REUSED, record.attempt)
        if not record.verdict and _is_resend(record, command):
            return OrderVerdict(OrderState.OPENED, record.attempt)
        if record.verdict != Verdict.NOT_RUN or self._is_withdrawn(record, command):
            return _current_verdict(record)
        withdrawn = _add_withdrawn_sender(record.withdrawn, record.sender)
        self._start_attempt(key, command, record.attempt + 1, withdrawn)
        return OrderVerdict(OrderState.OPENED, record.attempt + 1)

    def _open_first(self, key: OrderKey, command: OpenOrder) -> OrderVerdict:
        if self._is_full():
            oldest = next(iter(self.by_key.values()))
            wait_ms = oldest.opened_ms + KEY_RETENTION_MS + 1 - self.now_ms
            wait_ms = max(wait_ms, ORDER_POLL_MS)
            return OrderVerdict(OrderState.TABLE_FULL, retry_after_ms=wait_ms)
        self._start_attempt(key, command, 1, ())
        return OrderVerdict(OrderState.OPENED, 1)

    def _is_full(self) -> bool:
        """Return whether there is no room for a new key.

        A full table first drops its oldest key if that has expired.
        """
        if len(self.by_key) < MAX_ORDER_KEYS:
            return False
        return not self._expire(limit=1)

    def _start_attempt(
        self,
        key: OrderKey,
        command: OpenOrder,
        attempt: int,
        withdrawn: tuple[int, ...],
    ) -> None:
        deadline_ms = min(command.deadline_ms, self.now_ms + MAX_DEADLINE_MS)
        self.by_key[key] = OrderRecord(
            service=sys.intern(command.service),
            call=sys.intern(command.call),
            identity=_order_identity(command),
            entry=sys.intern(command.entry),
            entry_incarnation=self._intern_number(command.entry_incarnation),
            opened_ms=self.now_ms,
            deadline_ms=deadline_ms,
            request_id=command.request_id,
            sender=command.sender,
            attempt=attempt,
            withdrawn=withdrawn,
        )
        self.by_key.move_to_end(key)
        self._track_open_attempt(key, deadline_ms, attempt)

    def _intern_number(self, number: int) -> int:
        """Return the same object for equal numbers, which saves 36 bytes per key."""
        if len(self.interned_numbers) > MAX_INTERNED_NUMBERS:
            self.interned_numbers.clear()
        return self.interned_numbers.setdefault(number, number)

    def _track_open_attempt(
        self, key: OrderKey, deadline_ms: int, attempt: int
    ) -> None:
        self.open_order_count += 1
        self.unresolved_keys[key] = None
        due_ms = deadline_ms + OVERDUE_GRACE_MS
        heapq.heappush(self.overdue_heap, (due_ms, attempt, key))
        if len(self.overdue_heap) > 2 * self.open_order_count + MAX_STALE_HEAP_ITEMS:
            self._rebuild_heap()

    def _rebuild_heap(self) -> None:
        """Remove items of closed attempts; amortised over the preceding commands."""
        self.overdue_heap = [item for item in self.overdue_heap if self._is_open(item)]
        heapq.heapify(self.overdue_heap)

    def _is_open(self, item: tuple[int, int, OrderKey]) -> bool:
        _, attempt, key = item
        record = self.by_key.get(key)
        return record is not None and record.attempt == attempt and not record.verdict

    def close(self, command: CloseOrder, now_ms: int) -> OrderVerdict:
        """Record the outcome of an attempt, or withdraw a sender.

        Args:
            command: Command to apply.
            now_ms: Time of the state machine, in milliseconds.

        Returns:
            State of the order, which an earlier command may have closed.
        """
        self.now_ms = now_ms
        key = OrderKey(command.workspace, command.key)
        record = self.by_key.get(key)
        withdrawal = not command.attempt
        if command.verdict not in VERDICTS or (
            withdrawal and command.verdict != Verdict.NOT_RUN
        ):
            return self.find(key)
        if record is None:
            if withdrawal and not self._is_full():
                self._record_withdrawal(command)
            return OrderVerdict(OrderState.UNKNOWN)
        if _is_owner(record, command):
            if not record.verdict and command.attempt in (0, record.attempt):
                self._close_attempt(key, record, command)
        elif withdrawal:
            record.withdrawn = _add_withdrawn_sender(record.withdrawn, command.sender)
        return _current_verdict(record)

    def _record_withdrawal(self, command: CloseOrder) -> None:
        """Record a withdrawal that arrives before the ``OpenOrder`` of its sender.

        The ``OpenOrder`` must then not open an attempt.
        """
        key = OrderKey(sys.intern(command.workspace), command.key)
        self.by_key[key] = OrderRecord(
            service="",
            call="",
            identity=b"",
            entry=sys.intern(command.entry),
            entry_incarnation=self._intern_number(command.entry_incarnation),
            opened_ms=self.now_ms,
            deadline_ms=self.now_ms,
            request_id="",
            sender=command.sender,
            attempt=0,
            verdict=Verdict.NOT_RUN,
            withdrawn=(command.sender,),
        )

    def _is_withdrawn(self, record: OrderRecord, command: OpenOrder) -> bool:
        """Return whether the sender of a delayed command has withdrawn it."""
        return _is_resend(record, command) or command.sender in record.withdrawn

    def _close_attempt(
        self, key: OrderKey, record: OrderRecord, command: CloseOrder
    ) -> None:
        record.verdict = sys.intern(command.verdict)
        record.status = command.status
        record.answer_digest = command.answer_digest
        if record.verdict != Verdict.COMPLETE:
            # Resends receive the stored body of a complete response only.
            record.body = b""
        elif self._has_room_for(command.body):
            record.body = command.body
            self.stored_body_bytes += len(command.body)
        else:
            record.answer_digest = hashlib.sha256(command.body).hexdigest()
        self.open_order_count -= 1
        if record.verdict != Verdict.MAY_HAVE_RUN:
            self.unresolved_keys.pop(key, None)

    def _has_room_for(self, body: bytes) -> bool:
        return (
            len(body) <= MAX_STORED_BODY_BYTES
            and self.stored_body_bytes + len(body) <= MAX_TOTAL_BODY_BYTES
        )

    def sweep(self, now_ms: int) -> Swept:
        """Close overdue attempts as "may have run" and remove expired keys."""
        self.now_ms = now_ms
        closed = 0
        heap = self.overdue_heap
        while heap and heap[0][0] < self.now_ms and closed < MAX_SWEPT_ORDERS:
            item = heapq.heappop(heap)
            if self._is_open(item):
                self.by_key[item[2]].verdict = Verdict.MAY_HAVE_RUN
                self.open_order_count -= 1
                closed += 1
        return Swept(closed, self._expire(MAX_SWEPT_ORDERS))

    def _expire(self, limit: int) -> int:
        """Remove at most ``limit`` expired keys, oldest first; return their number."""
        expired = 0
        while self.by_key and expired < limit:
            key, record = next(iter(self.by_key.items()))
            if not record.verdict or record.opened_ms + KEY_RETENTION_MS >= self.now_ms:
                break
            del self.by_key[key]
            self.unresolved_keys.pop(key, None)
            self.stored_body_bytes -= len(record.body)
            expired += 1
        return expired

    def rows(self) -> list[tuple[str, str, list[Any]]]:
        """Return workspace, key and field values of every order, oldest first."""
        return [
            (key.workspace, key.key, _encode_order(order))
            for key, order in self.by_key.items()
        ]

    def restore(self, fields: list[str], rows: list[list[Any]]) -> None:
        """Fill an empty table with the rows of a snapshot.

        Args:
            fields: Names of the fields in each row.
            rows: Workspace, key and field values of each order, oldest first.
        """
        for workspace, name, row in rows:
            key = OrderKey(sys.intern(workspace), name)
            record = _decode_order(fields, row)
            record.entry_incarnation = self._intern_number(record.entry_incarnation)
            self.by_key[key] = record
            self.stored_body_bytes += len(record.body)
            if not record.verdict:
                self._track_open_attempt(key, record.deadline_ms, record.attempt)
            elif record.verdict == Verdict.MAY_HAVE_RUN:
                self.unresolved_keys[key] = None


def _encode_order(record: OrderRecord) -> list[Any]:
    row = list(_order_values(record))
    for position in _BYTES_FIELDS:
        row[position] = base64.b64encode(row[position]).decode()
    return row


def _decode_order(fields: list[str], row: list[Any]) -> OrderRecord:
    values = dict(zip(fields, row, strict=True))
    record = OrderRecord(**values)
    record.identity = base64.b64decode(record.identity)
    record.body = base64.b64decode(record.body)
    record.withdrawn = tuple(record.withdrawn)
    record.service = sys.intern(record.service)
    record.call = sys.intern(record.call)
    record.entry = sys.intern(record.entry)
    record.verdict = sys.intern(record.verdict)
    return record


def _order_identity(command: OpenOrder) -> bytes:
    text = json.dumps([command.service, command.call, command.body_digest])
    return hashlib.sha256(text.encode()).digest()[:IDENTITY_BYTES]


def _is_owner(record: OrderRecord, command: OpenOrder | CloseOrder) -> bool:
    """Return whether the sender of ``command`` owns the newest attempt."""
    return (
        record.sender == command.sender
        and record.entry_incarnation == command.entry_incarnation
        and record.entry == command.entry
    )


def _is_resend(record: OrderRecord, command: OpenOrder) -> bool:
    return _is_owner(record, command) and record.request_id == command.request_id


def _add_withdrawn_sender(withdrawn: tuple[int, ...], sender: int) -> tuple[int, ...]:
    if sender in withdrawn:
        return withdrawn
    return (*withdrawn, sender)[-MAX_WITHDRAWN_SENDERS:]


def _current_verdict(record: OrderRecord) -> OrderVerdict:
    if not record.verdict:
        return OrderVerdict(
            OrderState.OPEN_ELSEWHERE, record.attempt, retry_after_ms=ORDER_POLL_MS
        )
    return OrderVerdict(
        OrderState.CLOSED,
        record.attempt,
        record.verdict,
        record.status,
        record.body,
        answer_digest=record.answer_digest,
    )


def _order_list_row(key: OrderKey, record: OrderRecord) -> OrderRow:
    return OrderRow(
        workspace=key.workspace,
        key=key.key,
        service=record.service,
        call=record.call,
        attempt=record.attempt,
        verdict=record.verdict,
        entry=record.entry,
        request_id=record.request_id,
        opened_ms=record.opened_ms,
        deadline_ms=record.deadline_ms,
    )
