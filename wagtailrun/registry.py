"""Replicated state machine: fleet text, orders, controller grants, audit trail."""

import base64
import hashlib
import heapq
import json
import sys
from collections import OrderedDict, deque
from operator import attrgetter
from typing import Any

import attrs

from wagtailrun.audit import AuditTrail
from wagtailrun.codec import decode
from wagtailrun.exceptions import Verdict, WagtailrunError
from wagtailrun.ports.log import StateMachine
from wagtailrun.registry_messages import (
    ApplyText,
    AuditRecord,
    CloseEngineOrder,
    CloseOrder,
    ClosePeriod,
    ControllerGranted,
    EngineOrder,
    EngineOrderKind,
    EngineOrderState,
    EngineOrderVerdict,
    GrantController,
    MembersRecorded,
    OpenOrder,
    OrderList,
    OrderRow,
    OrderState,
    OrderVerdict,
    PeriodVerdict,
    PutEngineOrder,
    RecordMembers,
    SweepOrders,
    Swept,
    TextVerdict,
)

__all__ = ["OrderKey", "OrderRecord", "Registry", "SnapshotVersionError"]

DAY_MS = 24 * 3_600_000
SNAPSHOT_VERSION = 1

KEY_RETENTION_MS = DAY_MS
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

CHANGES_KEPT = 10_000
CHANGE_RETENTION_MS = DAY_MS
# Bounds memory when changes come far faster than the 7,600 a day of the design.
MAX_CHANGES = 50_000
MAX_NAME_CHARS = 200
MAX_DETAIL_CHARS = 1_000

ENGINE_ORDERS_KEPT = 1_000
# Longer than the minute over which weight loads are counted.
ENGINE_ORDER_RETENTION_MS = 120_000
MAX_ENGINE_ORDERS = 20_000
WEIGHT_WINDOW_MS = 60_000
WEIGHT_KINDS = frozenset({EngineOrderKind.LOAD_MODEL, EngineOrderKind.LOAD_ADAPTER})

MAX_TOTALS_CHARS = 16 * 1024
PERIODS_WITH_TOTALS = 400


class SnapshotVersionError(WagtailrunError):
    """A snapshot was written in a format that this version does not read."""


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


_ORDER_FIELDS = [field.name for field in attrs.fields(OrderRecord)]
_ENGINE_ORDER_FIELDS = [field.name for field in attrs.fields(EngineOrder)]
_PERIOD_FIELDS = [field.name for field in attrs.fields(PeriodVerdict)]
_order_row = attrgetter(*_ORDER_FIELDS)
_engine_order_row = attrgetter(*_ENGINE_ORDER_FIELDS)
_period_row = attrgetter(*_PERIOD_FIELDS)
_BYTES_FIELDS = [_ORDER_FIELDS.index(name) for name in ("identity", "body")]


class Registry(StateMachine):
    """State that the control members agree on.

    Every command costs constant or logarithmic time in the size of the state.
    """

    def __init__(self) -> None:
        self.handlers_by_class = {
            ApplyText: self._apply_text,
            OpenOrder: self._open_order,
            CloseOrder: self._close_order,
            SweepOrders: self._sweep_orders,
            GrantController: self._grant_controller,
            PutEngineOrder: self._put_engine_order,
            CloseEngineOrder: self._close_engine_order,
            ClosePeriod: self._close_period,
            RecordMembers: self._record_members,
        }
        self._clear()

    def _clear(self) -> None:
        self.text = ""
        self.revision = 0
        self.now_ms = 0
        self.fence = 0
        self.controller = ""
        # In order of opened_ms, so that the oldest key is found at once.
        self.orders_by_key: OrderedDict[OrderKey, OrderRecord] = OrderedDict()
        self.changes_by_id: dict[str, TextVerdict] = {}
        self.engine_orders_by_id: dict[str, EngineOrder] = {}
        self.closed_periods_by_name: dict[str, PeriodVerdict] = {}
        self.audit = AuditTrail()
        self.stored_body_bytes = 0
        # Derived from the above; not in snapshots but for the order of changes.
        self.change_order: deque[tuple[int, str]] = deque()
        self.open_order_count = 0
        self.shared_numbers: dict[int, int] = {}
        self.overdue_heap: list[tuple[int, int, OrderKey]] = []
        self.unresolved_keys: dict[OrderKey, None] = {}
        self.open_engine_orders: dict[str, None] = {}
        self.closed_engine_orders: deque[str] = deque()
        self.loads_by_data_centre: dict[str, deque[tuple[int, str]]] = {}
        self.periods_with_totals: deque[str] = deque()

    @property
    def audit_records(self) -> list[AuditRecord]:
        """The audit records that are kept in memory, oldest first."""
        return list(self.audit.records)

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one command; the result is a message."""
        message = decode(command)
        handler = self.handlers_by_class.get(type(message))
        if handler is None:
            raise TypeError(f"{type(message).__name__} is no command")
        self.now_ms = max(self.now_ms, message.now_ms)
        return handler(message)

    # Questions, answered from the local copy.

    def find_order(self, key: OrderKey) -> OrderVerdict:
        """Return what is known of an order."""
        record = self.orders_by_key.get(key)
        if record is None:
            return OrderVerdict(OrderState.UNKNOWN)
        return _verdict_of(record)

    def list_orders(self, workspace: str, limit: int) -> OrderList:
        """Return the orders that are open or may have run."""
        keys = [
            key
            for key in self.unresolved_keys
            if not workspace or key.workspace == workspace
        ]
        rows = [_row_of(key, self.orders_by_key[key]) for key in keys[: max(limit, 0)]]
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
        oldest = next(iter(self.orders_by_key.values()), None)
        return oldest is not None and oldest.opened_ms + KEY_RETENTION_MS < wall_ms

    def recent_weight_loads(self, data_centre: str, now_ms: int) -> int:
        """Return the loads that drew on a weight store in the last minute.

        An order that proved not to have run drew nothing.
        """
        count = 0
        for put_ms, order_id in reversed(
            self.loads_by_data_centre.get(data_centre, ())
        ):
            if put_ms <= now_ms - WEIGHT_WINDOW_MS:
                break
            order = self.engine_orders_by_id.get(order_id)
            count += order is None or order.state != EngineOrderState.NOT_RUN
        return count

    # Fleet text.

    def _apply_text(self, command: ApplyText) -> TextVerdict:
        known = self.changes_by_id.get(command.change_id)
        if known is not None:
            return known
        self._forget_changes()
        refusal = self._cannot_remember(command)
        before = self.revision
        if refusal:
            # Nothing changed, so a resend may be judged anew.
            verdict = TextVerdict(False, self.revision, refusal)
        else:
            verdict = self._judge_text(command)
            self.changes_by_id[command.change_id] = verdict
            self.change_order.append((self.now_ms, command.change_id))
        if verdict.accepted:
            self.text = command.text
            self.revision = verdict.revision
        text_digest = hashlib.sha256(command.text.encode()).hexdigest()
        self._audit(
            command,
            who=command.operator,
            source=command.source,
            before_revision=before,
            verdict="accepted" if verdict.accepted else "refused",
            subject=f"change {command.change_id} text {text_digest}",
        )
        return verdict

    def _judge_text(self, command: ApplyText) -> TextVerdict:
        if command.base_revision != self.revision:
            detail = f"the current revision is {self.revision}"
            return TextVerdict(False, self.revision, detail)
        if command.fault:
            return TextVerdict(False, self.revision, command.fault[:MAX_DETAIL_CHARS])
        return TextVerdict(True, self.revision + 1)

    def _cannot_remember(self, command: ApplyText) -> str:
        if not 0 < len(command.change_id) <= MAX_NAME_CHARS:
            return f"the change id must have 1 to {MAX_NAME_CHARS} characters"
        if len(self.change_order) >= MAX_CHANGES:
            wait_ms = self.change_order[0][0] + CHANGE_RETENTION_MS - self.now_ms
            return f"{MAX_CHANGES} changes in 24 h; send again in {wait_ms} ms"
        return ""

    def _forget_changes(self) -> None:
        """Drop changes that are neither among the newest nor younger than 24 h."""
        limit_ms = self.now_ms - CHANGE_RETENTION_MS
        order = self.change_order
        while len(order) >= CHANGES_KEPT and order[0][0] < limit_ms:
            del self.changes_by_id[order.popleft()[1]]

    # Orders.

    def _open_order(self, command: OpenOrder) -> OrderVerdict:
        key = OrderKey(sys.intern(command.workspace), command.key)
        record = self.orders_by_key.get(key)
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
            oldest = next(iter(self.orders_by_key.values()))
            wait_ms = oldest.opened_ms + KEY_RETENTION_MS + 1 - self.now_ms
            wait_ms = max(wait_ms, ORDER_POLL_MS)
            return OrderVerdict(OrderState.TABLE_FULL, retry_after_ms=wait_ms)
        self._start_attempt(key, command, 1, ())
        return OrderVerdict(OrderState.OPENED, 1)

    def _is_full(self) -> bool:
        """Return whether no new key can be kept, dropping an expired one if it can."""
        if len(self.orders_by_key) < MAX_ORDER_KEYS:
            return False
        return not self._expire(limit=1)

    def _start_attempt(
        self, key: OrderKey, command: OpenOrder, attempt: int, withdrawn: tuple
    ) -> None:
        deadline_ms = min(command.deadline_ms, self.now_ms + MAX_DEADLINE_MS)
        self.orders_by_key[key] = OrderRecord(
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
        self.orders_by_key.move_to_end(key)
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
        record = self.orders_by_key.get(key)
        return record is not None and record.attempt == attempt and not record.verdict

    def _close_order(self, command: CloseOrder) -> OrderVerdict:
        key = OrderKey(command.workspace, command.key)
        record = self.orders_by_key.get(key)
        withdrawal = not command.attempt
        if command.verdict not in VERDICTS or (
            withdrawal and command.verdict != Verdict.NOT_RUN
        ):
            return self.find_order(key)
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
        self.orders_by_key[key] = OrderRecord(
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

    def _sweep_orders(self, command: SweepOrders) -> Swept:
        closed = 0
        heap = self.overdue_heap
        while heap and heap[0][0] < self.now_ms and closed < MAX_SWEPT_ORDERS:
            item = heapq.heappop(heap)
            if self._is_open(item):
                self.orders_by_key[item[2]].verdict = Verdict.MAY_HAVE_RUN
                self.open_order_count -= 1
                closed += 1
        return Swept(closed, self._expire(MAX_SWEPT_ORDERS))

    def _expire(self, limit: int) -> int:
        """Forget at most ``limit`` old keys, oldest first; return how many."""
        expired = 0
        while self.orders_by_key and expired < limit:
            key, record = next(iter(self.orders_by_key.items()))
            if not record.verdict or record.opened_ms + KEY_RETENTION_MS >= self.now_ms:
                break
            del self.orders_by_key[key]
            self.unresolved_keys.pop(key, None)
            self.stored_body_bytes -= len(record.body)
            expired += 1
        return expired

    # Controller and engine orders.

    def _grant_controller(self, command: GrantController) -> ControllerGranted:
        previous = self.controller
        self.fence += 1
        self.controller = command.member[:MAX_NAME_CHARS]
        self._audit(
            command,
            who=self.controller,
            source="",
            before_revision=self.revision,
            verdict="granted",
            subject=f"fencing token {self.fence}",
        )
        return ControllerGranted(self.fence, previous)

    def _put_engine_order(self, command: PutEngineOrder) -> EngineOrderVerdict:
        refusal = self._check_fence(command.fence)
        if refusal is not None:
            return refusal
        known = self.engine_orders_by_id.get(command.order.order_id)
        if known is not None:
            if known.fence == command.fence:
                return EngineOrderVerdict(True, self.fence)
            return EngineOrderVerdict(False, self.fence, "the order id is taken")
        self._forget_engine_orders()
        if len(self.engine_orders_by_id) >= MAX_ENGINE_ORDERS:
            return EngineOrderVerdict(False, self.fence, "too many engine orders")
        order = attrs.evolve(
            command.order,
            fence=command.fence,
            state=EngineOrderState.OPEN,
            put_ms=self.now_ms,
            closed_ms=0,
        )
        self._note_engine_order(order)
        return EngineOrderVerdict(True, self.fence)

    def _note_engine_order(self, order: EngineOrder) -> None:
        self.engine_orders_by_id[order.order_id] = order
        if order.state == EngineOrderState.OPEN:
            self.open_engine_orders[order.order_id] = None
        else:
            self.closed_engine_orders.append(order.order_id)
        if order.kind in WEIGHT_KINDS:
            loads = self.loads_by_data_centre.setdefault(order.data_centre, deque())
            loads.append((order.put_ms, order.order_id))
            while loads and loads[0][0] <= self.now_ms - WEIGHT_WINDOW_MS:
                loads.popleft()

    def _close_engine_order(self, command: CloseEngineOrder) -> EngineOrderVerdict:
        refusal = self._check_fence(command.fence)
        if refusal is not None:
            return refusal
        order = self.engine_orders_by_id.get(command.order_id)
        if order is None:
            return EngineOrderVerdict(False, self.fence, "the order is not known")
        if order.state == EngineOrderState.OPEN:
            self.engine_orders_by_id[order.order_id] = attrs.evolve(
                order, state=command.state, closed_ms=self.now_ms
            )
            del self.open_engine_orders[order.order_id]
            self.closed_engine_orders.append(order.order_id)
        return EngineOrderVerdict(True, self.fence)

    def _check_fence(self, fence: int) -> EngineOrderVerdict | None:
        if fence == self.fence and fence:
            return None
        detail = f"fencing token {fence} is not the newest, {self.fence}"
        return EngineOrderVerdict(False, self.fence, detail)

    def _forget_engine_orders(self) -> None:
        limit_ms = self.now_ms - ENGINE_ORDER_RETENTION_MS
        closed = self.closed_engine_orders
        while len(closed) > ENGINE_ORDERS_KEPT:
            if self.engine_orders_by_id[closed[0]].closed_ms >= limit_ms:
                break
            del self.engine_orders_by_id[closed.popleft()]

    # Accounting periods and audit.

    def _close_period(self, command: ClosePeriod) -> PeriodVerdict:
        known = self.closed_periods_by_name.get(command.period)
        if known is not None:
            return attrs.evolve(known, first=known.digest == command.digest)
        kept = len(command.totals) <= MAX_TOTALS_CHARS
        verdict = PeriodVerdict(
            period=command.period,
            digest=command.digest,
            totals=command.totals if kept else "",
            closed_ms=self.now_ms,
        )
        self.closed_periods_by_name[command.period] = verdict
        self._bound_totals(command.period)
        return verdict

    def _bound_totals(self, period: str) -> None:
        """Keep the totals of the newest periods; digests are kept for ever."""
        self.periods_with_totals.append(period)
        if len(self.periods_with_totals) > PERIODS_WITH_TOTALS:
            oldest = self.periods_with_totals.popleft()
            self.closed_periods_by_name[oldest] = attrs.evolve(
                self.closed_periods_by_name[oldest], totals=""
            )

    def _record_members(self, command: RecordMembers) -> MembersRecorded:
        record = self._audit(
            command,
            who=command.operator,
            source=command.source,
            before_revision=self.revision,
            verdict="recorded",
            subject=command.change,
        )
        return MembersRecorded(record.number)

    def _audit(
        self,
        command: Any,
        *,
        who: str,
        source: str,
        before_revision: int,
        verdict: str,
        subject: str,
    ) -> AuditRecord:
        return self.audit.append(
            at_ms=self.now_ms,
            kind=type(command).__name__,
            who=who[:MAX_NAME_CHARS],
            source=source[:MAX_NAME_CHARS],
            before_revision=before_revision,
            after_revision=self.revision,
            verdict=verdict,
            subject=subject[:MAX_DETAIL_CHARS],
        )

    # Snapshots.

    def snapshot(self) -> bytes:
        """Return the whole state as JSON; equal states give equal bytes.

        Rows hold the fields that the header of their table names, so that a later
        version can add fields.
        """
        state = {
            "format": "wagtailrun-registry",
            "version": SNAPSHOT_VERSION,
            "text": self.text,
            "revision": self.revision,
            "now_ms": self.now_ms,
            "fence": self.fence,
            "controller": self.controller,
            "order_fields": _ORDER_FIELDS,
            "orders": [
                (key.workspace, key.key, _encode_order(order))
                for key, order in self.orders_by_key.items()
            ],
            "changes": [
                (at_ms, name, *self._change_row(name))
                for at_ms, name in self.change_order
            ],
            "engine_order_fields": _ENGINE_ORDER_FIELDS,
            "engine_orders": [
                _engine_order_row(self.engine_orders_by_id[name])
                for name in (*self.closed_engine_orders, *self.open_engine_orders)
            ],
            "period_fields": _PERIOD_FIELDS,
            "periods": [
                _period_row(period) for period in self.closed_periods_by_name.values()
            ],
            "audit_newest": self.audit.newest,
            "audit_head": self.audit.head,
            "audit": self.audit.rows(),
        }
        return json.dumps(state, separators=(",", ":")).encode()

    def _change_row(self, name: str) -> tuple[bool, int, str]:
        verdict = self.changes_by_id[name]
        return verdict.accepted, verdict.revision, verdict.detail

    def restore(self, data: bytes) -> None:
        """Replace the state by the one in ``data``.

        Raises:
            SnapshotVersionError: If the format is not the one written here.
        """
        state = json.loads(data)
        if state.get("version") != SNAPSHOT_VERSION:
            raise SnapshotVersionError(
                f"snapshot format {state.get('version')} is not {SNAPSHOT_VERSION}; "
                "run the release that wrote it"
            )
        self._clear()
        self.text = state["text"]
        self.revision = state["revision"]
        self.now_ms = state["now_ms"]
        self.fence = state["fence"]
        self.controller = state["controller"]
        self._restore_orders(state["order_fields"], state["orders"])
        for at_ms, name, accepted, revision, detail in state["changes"]:
            self.change_order.append((at_ms, name))
            self.changes_by_id[name] = TextVerdict(accepted, revision, detail)
        for row in state["engine_orders"]:
            values = dict(zip(state["engine_order_fields"], row, strict=True))
            self._note_engine_order(EngineOrder(**values))
        for name, loads in self.loads_by_data_centre.items():
            self.loads_by_data_centre[name] = deque(sorted(loads))
        for row in state["periods"]:
            values = dict(zip(state["period_fields"], row, strict=True))
            self.closed_periods_by_name[values["period"]] = PeriodVerdict(**values)
            self._bound_totals(values["period"])
        self.audit.restore(state["audit"], state["audit_newest"], state["audit_head"])

    def _restore_orders(self, fields: list[str], rows: list[list]) -> None:
        for workspace, name, row in rows:
            key = OrderKey(sys.intern(workspace), name)
            record = _decode_order(fields, row)
            record.entry_incarnation = self._shared(record.entry_incarnation)
            self.orders_by_key[key] = record
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
