"""Orders with side effects: attempts, outcomes and their retention."""

import base64
import hashlib
import heapq
import json
import sys
from collections import OrderedDict
from operator import attrgetter

import attrs

from wagtailrun.exceptions import Verdict
from wagtailrun.registry_messages import (
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
# 50,000 bodies of 16 KiB would be 800 MB; a control process has 26 MB for all state.
MAX_STORED_BODIES_BYTES = 16 * 1024 * 1024
OVERDUE_GRACE_MS = 10_000
# Longest deadline that a fleet text can set. An entry with a wrong clock must not keep
# its orders open beyond it.
MAX_DEADLINE_MS = 600_000
ORDER_POLL_MS = 1_000
# Each sweep is one command; this bounds its share of the apply time.
MAX_SWEPT_ORDERS = 1_000
# Senders that withdrew from a key; one appears for each lost reply to OpenOrder.
MAX_WITHDRAWN_SENDERS = 16
HEAP_SLACK = 1_000
IDENTITY_BYTES = 16
MAX_SHARED_NUMBERS = 10_000
VERDICTS = frozenset(Verdict)


@attrs.frozen(order=True, weakref_slot=False)
class OrderKey:
    """Identifies an order: keys of different workspaces are independent."""

    workspace: str
    key: str


@attrs.define(weakref_slot=False)
class OrderRecord:
    """What is known of one order.

    Attributes:
        service: Service that runs it.
        call: Call of the service.
        identity: Digest of service, call and body; the same key with another one is
            refused. Half a SHA-256, because 50,000 of them are kept.
        entry: Entry that owns the newest attempt.
        entry_incarnation: Incarnation of that entry.
        opened_ms: When the newest attempt was opened; retention counts from here, so
            that a resend within 24 h of the last run finds its outcome.
        deadline_ms: When the newest attempt may no longer be sent.
        request_id: Request of the newest attempt.
        sender: Sender number of the newest attempt.
        attempt: Number of the newest attempt, from 1; 0 if a sender withdrew before
            any attempt was opened.
        verdict: Verdict of the newest attempt, or empty while it is open.
        status: HTTP status of the target's answer.
        body: Body of the target's answer, if it is stored.
        answer_digest: Digest of an answer whose body is not stored.
        withdrawn: Senders that must not be given an attempt any more.
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
_order_row = attrgetter(*ORDER_FIELDS)
_BYTES_FIELDS = [ORDER_FIELDS.index(name) for name in ("identity", "body")]


class OrderTable:
    """Orders by key; part of the replicated state, so every change is deterministic.

    Every operation costs constant or logarithmic time in the number of keys.
    """

    def __init__(self) -> None:
        self.now_ms = 0
        # In order of opened_ms, so that the oldest key is found at once.
        self.by_key: OrderedDict[OrderKey, OrderRecord] = OrderedDict()
        # Derived from the orders; not in snapshots.
        self.stored_body_bytes = 0
        self.open_order_count = 0
        self.shared_numbers: dict[int, int] = {}
        self.overdue_heap: list[tuple[int, int, OrderKey]] = []
        self.unresolved_keys: dict[OrderKey, None] = {}

    def find(self, key: OrderKey) -> OrderVerdict:
        """Return what is known of an order."""
        record = self.by_key.get(key)
        if record is None:
            return OrderVerdict(OrderState.UNKNOWN)
        return _verdict_of(record)

    def unresolved(self, workspace: str, limit: int) -> OrderList:
        """Return the orders that are open or may have run."""
        keys = [
            key
            for key in self.unresolved_keys
            if not workspace or key.workspace == workspace
        ]
        rows = [_row_of(key, self.by_key[key]) for key in keys[: max(limit, 0)]]
        return OrderList(rows, len(keys))

    def sweep_is_due(self, wall_ms: int) -> bool:
        """Return whether a ``SweepOrders`` at ``wall_ms`` would change anything."""
        heap = self.overdue_heap
        while heap and not self._is_open(heap[0]):
            # Closed attempts alone must not cause a command. Dropping them here is
            # safe, because they change no result of a sweep.
            heapq.heappop(heap)
        if heap and heap[0][0] < wall_ms:
            return True
        oldest = next(iter(self.by_key.values()), None)
        return oldest is not None and oldest.opened_ms + KEY_RETENTION_MS < wall_ms

    def open(self, command: OpenOrder, now_ms: int) -> OrderVerdict:
        """Apply one command; ``now_ms`` is the time of the state machine."""
        self.now_ms = now_ms
        key = OrderKey(sys.intern(command.workspace), command.key)
        record = self.by_key.get(key)
        if record is None:
            return self._open_first(key, command)
        if record.attempt and record.identity != _identity(command):
            return OrderVerdict(OrderState.KEY_REUSED, record.attempt)
        if not record.verdict and _is_resend(record, command):
            return OrderVerdict(OrderState.OPENED, record.attempt)
        if record.verdict != Verdict.NOT_RUN or self._withdrew(record, command):
            return _verdict_of(record)
        withdrawn = _with_sender(record.withdrawn, record.sender)
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
        """Return whether no new key can be kept, dropping an expired one if it can."""
        if len(self.by_key) < MAX_ORDER_KEYS:
            return False
        return not self._expire(limit=1)

    def _start_attempt(
        self, key: OrderKey, command: OpenOrder, attempt: int, withdrawn: tuple
    ) -> None:
        deadline_ms = min(command.deadline_ms, self.now_ms + MAX_DEADLINE_MS)
        self.by_key[key] = OrderRecord(
            service=sys.intern(command.service),
            call=sys.intern(command.call),
            identity=_identity(command),
            entry=sys.intern(command.entry),
            entry_incarnation=self._shared(command.entry_incarnation),
            opened_ms=self.now_ms,
            deadline_ms=deadline_ms,
            request_id=command.request_id,
            sender=command.sender,
            attempt=attempt,
            withdrawn=withdrawn,
        )
        self.by_key.move_to_end(key)
        self._note_open(key, deadline_ms, attempt)

    def _shared(self, number: int) -> int:
        """Return one object for equal numbers, which saves 36 bytes a key."""
        if len(self.shared_numbers) > MAX_SHARED_NUMBERS:
            self.shared_numbers.clear()
        return self.shared_numbers.setdefault(number, number)

    def _note_open(self, key: OrderKey, deadline_ms: int, attempt: int) -> None:
        self.open_order_count += 1
        self.unresolved_keys[key] = None
        due_ms = deadline_ms + OVERDUE_GRACE_MS
        heapq.heappush(self.overdue_heap, (due_ms, attempt, key))
        if len(self.overdue_heap) > 2 * self.open_order_count + HEAP_SLACK:
            self._rebuild_heap()

    def _rebuild_heap(self) -> None:
        """Drop entries of closed attempts; amortised over the commands before."""
        self.overdue_heap = [item for item in self.overdue_heap if self._is_open(item)]
        heapq.heapify(self.overdue_heap)

    def _is_open(self, item: tuple[int, int, OrderKey]) -> bool:
        _, attempt, key = item
        record = self.by_key.get(key)
        return record is not None and record.attempt == attempt and not record.verdict

    def close(self, command: CloseOrder, now_ms: int) -> OrderVerdict:
        """Apply one command; ``now_ms`` is the time of the state machine."""
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
                self._keep_withdrawal(command)
            return OrderVerdict(OrderState.UNKNOWN)
        if _owns(record, command):
            if not record.verdict and command.attempt in (0, record.attempt):
                self._close_attempt(key, record, command)
        elif withdrawal:
            record.withdrawn = _with_sender(record.withdrawn, command.sender)
        return _verdict_of(record)

    def _keep_withdrawal(self, command: CloseOrder) -> None:
        """Remember that an ``OpenOrder`` still under way must not open an attempt."""
        key = OrderKey(sys.intern(command.workspace), command.key)
        self.by_key[key] = OrderRecord(
            service="",
            call="",
            identity=b"",
            entry=sys.intern(command.entry),
            entry_incarnation=self._shared(command.entry_incarnation),
            opened_ms=self.now_ms,
            deadline_ms=self.now_ms,
            request_id="",
            sender=command.sender,
            attempt=0,
            verdict=Verdict.NOT_RUN,
            withdrawn=(command.sender,),
        )

    def _withdrew(self, record: OrderRecord, command: OpenOrder) -> bool:
        """Return whether the sender of a delayed command no longer waits for it."""
        return _is_resend(record, command) or command.sender in record.withdrawn

    def _close_attempt(
        self, key: OrderKey, record: OrderRecord, command: CloseOrder
    ) -> None:
        record.verdict = sys.intern(command.verdict)
        record.status = command.status
        record.answer_digest = command.answer_digest
        if record.verdict != Verdict.COMPLETE:
            # Only a complete answer is given to a resend.
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
            and self.stored_body_bytes + len(body) <= MAX_STORED_BODIES_BYTES
        )

    def sweep(self, now_ms: int) -> Swept:
        """Close overdue attempts and forget old keys."""
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
        """Forget at most ``limit`` old keys, oldest first; return how many."""
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

    def rows(self) -> list[tuple[str, str, list]]:
        """Return workspace, key and fields of every order, oldest first."""
        return [
            (key.workspace, key.key, _encode_order(order))
            for key, order in self.by_key.items()
        ]

    def restore(self, fields: list[str], rows: list[list]) -> None:
        """Add the rows of a snapshot to an empty table."""
        for workspace, name, row in rows:
            key = OrderKey(sys.intern(workspace), name)
            record = _decode_order(fields, row)
            record.entry_incarnation = self._shared(record.entry_incarnation)
            self.by_key[key] = record
            self.stored_body_bytes += len(record.body)
            if not record.verdict:
                self._note_open(key, record.deadline_ms, record.attempt)
            elif record.verdict == Verdict.MAY_HAVE_RUN:
                self.unresolved_keys[key] = None


def _encode_order(record: OrderRecord) -> list:
    row = list(_order_row(record))
    for position in _BYTES_FIELDS:
        row[position] = base64.b64encode(row[position]).decode()
    return row


def _decode_order(fields: list[str], row: list) -> OrderRecord:
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


def _identity(command: OpenOrder) -> bytes:
    text = json.dumps([command.service, command.call, command.body_digest])
    return hashlib.sha256(text.encode()).digest()[:IDENTITY_BYTES]


def _owns(record: OrderRecord, command: OpenOrder | CloseOrder) -> bool:
    """Return whether the sender of ``command`` owns the newest attempt."""
    return (
        record.sender == command.sender
        and record.entry_incarnation == command.entry_incarnation
        and record.entry == command.entry
    )


def _is_resend(record: OrderRecord, command: OpenOrder) -> bool:
    return _owns(record, command) and record.request_id == command.request_id


def _with_sender(withdrawn: tuple[int, ...], sender: int) -> tuple[int, ...]:
    if sender in withdrawn:
        return withdrawn
    return (*withdrawn, sender)[-MAX_WITHDRAWN_SENDERS:]


def _verdict_of(record: OrderRecord) -> OrderVerdict:
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


def _row_of(key: OrderKey, record: OrderRecord) -> OrderRow:
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
