"""Replicated state machine: fleet text, orders, engine orders, evacuations, audit."""

import hashlib
import json
from collections import deque
from collections.abc import Callable
from operator import attrgetter
from typing import Any

import attrs

from wagtailrun.codec import decode
from wagtailrun.exceptions import WagtailrunError
from wagtailrun.ports.engine import EngineOrder
from wagtailrun.ports.log import StateMachine
from wagtailrun.registry.audit import AuditTrail
from wagtailrun.registry.engine_order_table import ENGINE_ORDER_FIELDS, EngineOrderTable
from wagtailrun.registry.evacuations import EvacuationTable
from wagtailrun.registry.messages import (
    ApplyText,
    AuditRecord,
    CloseEngineOrder,
    CloseOrder,
    ClosePeriod,
    ControllerGranted,
    EngineOrderVerdict,
    GrantController,
    MembersRecorded,
    OpenOrder,
    OrderList,
    OrderVerdict,
    PeriodVerdict,
    PutEngineOrder,
    PutText,
    RecordMembers,
    SweepOrders,
    Swept,
    TextVerdict,
)
from wagtailrun.registry.order_table import (
    ORDER_FIELDS,
    OrderKey,
    OrderRecord,
    OrderTable,
)

__all__ = ["OrderKey", "OrderRecord", "Registry", "SnapshotVersionError"]

DAY_MS = 24 * 3_600_000
SNAPSHOT_VERSION = 1

MIN_CHANGES_KEPT = 10_000
CHANGE_RETENTION_MS = DAY_MS
# Bounds memory if changes arrive far faster than the 7,600 a day that are expected.
MAX_CHANGES = 50_000
MAX_NAME_CHARS = 200
MAX_DETAIL_CHARS = 1_000

MAX_TOTALS_CHARS = 16 * 1024
PERIODS_WITH_TOTALS = 400


class SnapshotVersionError(WagtailrunError):
    """A snapshot has a format that this version cannot read."""


_PERIOD_FIELDS = [field.name for field in attrs.fields(PeriodVerdict)]
_period_row = attrgetter(*_PERIOD_FIELDS)


class Registry(StateMachine):
    """State machine of the control members.

    Applying a command takes at most logarithmic time in the size of the state.
    """

    def __init__(self) -> None:
        self.handlers_by_class: dict[type, Callable[[Any], Any]] = {
            ApplyText: self._apply_text,
            PutText: self._put_text,
            OpenOrder: self._open_order,
            CloseOrder: self._close_order,
            SweepOrders: self._sweep_orders,
            GrantController: self._grant_controller,
            PutEngineOrder: self._put_engine_order,
            CloseEngineOrder: self._close_engine_order,
            ClosePeriod: self._close_period,
            RecordMembers: self._record_members,
        }
        self._initialise_state()

    def reset(self) -> None:
        """Return to the empty state, before the log is applied from its beginning."""
        self._initialise_state()

    def _initialise_state(self) -> None:
        self.text = ""
        self.revision = 0
        self.now_ms = 0
        self.fence = 0
        self.controller = ""
        self.orders = OrderTable()
        self.engine_orders = EngineOrderTable()
        self.changes_by_id: dict[str, TextVerdict] = {}
        self.closed_periods_by_name: dict[str, PeriodVerdict] = {}
        self.audit = AuditTrail()
        self.evacuations = EvacuationTable()
        self.change_order: deque[tuple[int, str]] = deque()
        self.periods_with_totals: deque[str] = deque()

    @property
    def orders_by_key(self) -> dict[OrderKey, OrderRecord]:
        """All orders in the table, oldest first."""
        return self.orders.by_key

    @property
    def engine_orders_by_id(self) -> dict[str, EngineOrder]:
        """All engine orders in the table."""
        return self.engine_orders.by_id

    @property
    def open_engine_orders(self) -> dict[str, None]:
        """Identifiers of the engine orders that are open, as the keys of a dict."""
        return self.engine_orders.open_ids

    @property
    def audit_records(self) -> list[AuditRecord]:
        """Audit records that are kept in memory, oldest first."""
        return list(self.audit.records)

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one encoded command and return its result message.

        Raises:
            TypeError: If the message is not a command of the registry.
        """
        message = decode(command)
        handler = self.handlers_by_class.get(type(message))
        if handler is None:
            raise TypeError(f"{type(message).__name__} is not a registry command")
        self.now_ms = max(self.now_ms, message.now_ms)
        return handler(message)

    # Queries of the local state.

    def find_order(self, key: OrderKey) -> OrderVerdict:
        """Return the state of an order."""
        return self.orders.find(key)

    def list_orders(self, workspace: str, limit: int) -> OrderList:
        """Return at most ``limit`` orders that are open or may have run."""
        return self.orders.list_unresolved(workspace, limit)

    def sweep_is_due(self, wall_ms: int) -> bool:
        """Return whether a ``SweepOrders`` at ``wall_ms`` would change anything."""
        return self.orders.sweep_is_due(wall_ms)

    def recent_weight_loads(self, data_centre: str, now_ms: int) -> int:
        """Return the number of weight loads in a data centre in the last minute."""
        return self.engine_orders.recent_loads(data_centre, now_ms)

    # Fleet text.

    def _apply_text(self, command: ApplyText) -> TextVerdict:
        known = self.changes_by_id.get(command.change_id)
        if known is not None:
            return known
        self._drop_old_changes()
        refusal = self._recording_refusal(command)
        before = self.revision
        if refusal:
            # The verdict is not recorded, so a resend may be accepted later.
            verdict = TextVerdict(False, self.revision, refusal)
        else:
            verdict = self._validate_change(command)
            self.changes_by_id[command.change_id] = verdict
            self.change_order.append((self.now_ms, command.change_id))
        if verdict.accepted:
            self.text = command.text
            self.revision = verdict.revision
        text_digest = hashlib.sha256(command.text.encode()).hexdigest()
        self._append_audit_record(
            command,
            who=command.operator,
            source=command.source,
            before_revision=before,
            verdict="accepted" if verdict.accepted else "refused",
            subject=f"change {command.change_id} text {text_digest}",
        )
        return verdict

    def _put_text(self, command: PutText) -> TextVerdict:
        if command.version <= self.revision:
            detail = f"revision {self.revision} is already applied"
            return TextVerdict(False, self.revision, detail)
        before = self.revision
        self.text = command.text
        self.revision = command.version
        text_digest = hashlib.sha256(command.text.encode()).hexdigest()
        self._append_audit_record(
            command,
            who=command.operator,
            source=command.source,
            before_revision=before,
            verdict="accepted",
            subject=f"version {command.version} text {text_digest}",
        )
        return TextVerdict(True, self.revision)

    def _validate_change(self, command: ApplyText) -> TextVerdict:
        if command.base_revision != self.revision:
            # Part of the snapshot, so it must be the same in all releases.
            detail = f"the current revision is {self.revision}"
            return TextVerdict(False, self.revision, detail)
        if command.fault:
            return TextVerdict(False, self.revision, command.fault[:MAX_DETAIL_CHARS])
        return TextVerdict(True, self.revision + 1)

    def _recording_refusal(self, command: ApplyText) -> str:
        """Return why the change cannot be recorded, or an empty string."""
        if not 0 < len(command.change_id) <= MAX_NAME_CHARS:
            return (
                f"the change id has {len(command.change_id)} characters; it must have "
                f"1 to {MAX_NAME_CHARS}"
            )
        if len(self.change_order) >= MAX_CHANGES:
            wait_ms = self.change_order[0][0] + CHANGE_RETENTION_MS - self.now_ms
            return (
                f"{MAX_CHANGES} changes were recorded in 24 h, which is the limit; "
                f"send again in {wait_ms} ms"
            )
        return ""

    def _drop_old_changes(self) -> None:
        """Drop changes older than 24 h, except for the ``MIN_CHANGES_KEPT`` newest."""
        limit_ms = self.now_ms - CHANGE_RETENTION_MS
        order = self.change_order
        while len(order) >= MIN_CHANGES_KEPT and order[0][0] < limit_ms:
            del self.changes_by_id[order.popleft()[1]]

    # Orders.

    def _open_order(self, command: OpenOrder) -> OrderVerdict:
        return self.orders.open(command, self.now_ms)

    def _close_order(self, command: CloseOrder) -> OrderVerdict:
        return self.orders.close(command, self.now_ms)

    def _sweep_orders(self, command: SweepOrders) -> Swept:
        return self.orders.sweep(self.now_ms)

    # Controller and engine orders.

    def _grant_controller(self, command: GrantController) -> ControllerGranted:
        previous = self.controller
        self.fence += 1
        self.controller = command.member[:MAX_NAME_CHARS]
        self._append_audit_record(
            command,
            who=self.controller,
            source="",
            before_revision=self.revision,
            verdict="granted",
            subject=f"fencing token {self.fence}",
        )
        return ControllerGranted(self.fence, previous)

    def _put_engine_order(self, command: PutEngineOrder) -> EngineOrderVerdict:
        return self.engine_orders.put(command, self.fence, self.now_ms)

    def _close_engine_order(self, command: CloseEngineOrder) -> EngineOrderVerdict:
        return self.engine_orders.close(command, self.fence, self.now_ms)

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
        self._retain_totals(command.period)
        return verdict

    def _retain_totals(self, period: str) -> None:
        """Keep the totals of the newest periods only; digests are kept for good."""
        self.periods_with_totals.append(period)
        if len(self.periods_with_totals) > PERIODS_WITH_TOTALS:
            oldest = self.periods_with_totals.popleft()
            self.closed_periods_by_name[oldest] = attrs.evolve(
                self.closed_periods_by_name[oldest], totals=""
            )

    def _record_members(self, command: RecordMembers) -> MembersRecorded:
        record = self._append_audit_record(
            command,
            who=command.operator,
            source=command.source,
            before_revision=self.revision,
            verdict="recorded",
            subject=command.change,
        )
        self.evacuations.apply(command.change, record.number)
        return MembersRecorded(record.number)

    # The texts of audit records are part of the snapshot and of the audit digests, so
    # they must be the same in all releases.

    def _append_audit_record(
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
        """Return the whole state as JSON; equal states have equal snapshots.

        Each table lists the names of its fields, so that a later version can add some.
        """
        state = {
            "format": "wagtailrun-registry",
            "version": SNAPSHOT_VERSION,
            "text": self.text,
            "revision": self.revision,
            "now_ms": self.now_ms,
            "fence": self.fence,
            "controller": self.controller,
            "order_fields": ORDER_FIELDS,
            "orders": self.orders.rows(),
            "changes": [
                (at_ms, name, *self._change_row(name))
                for at_ms, name in self.change_order
            ],
            "engine_order_fields": ENGINE_ORDER_FIELDS,
            "engine_orders": self.engine_orders.rows(),
            "period_fields": _PERIOD_FIELDS,
            "periods": [
                _period_row(period) for period in self.closed_periods_by_name.values()
            ],
            "audit_newest": self.audit.newest,
            "audit_head": self.audit.head,
            "audit": self.audit.rows(),
            "evacuations": self.evacuations.rows(),
        }
        return json.dumps(state, separators=(",", ":")).encode()

    def _change_row(self, name: str) -> tuple[bool, int, str]:
        verdict = self.changes_by_id[name]
        return verdict.accepted, verdict.revision, verdict.detail

    def restore(self, data: bytes) -> None:
        """Replace the state by the snapshot ``data``.

        Raises:
            SnapshotVersionError: If this release cannot read it; the state is then
                unchanged.
        """
        state = json.loads(data)
        if state.get("version") != SNAPSHOT_VERSION:
            raise SnapshotVersionError(
                f"the snapshot has format version {state.get('version')}, but this "
                f"release reads version {SNAPSHOT_VERSION}; run the release that wrote "
                "it"
            )
        before = dict(vars(self))
        try:
            self._fill(state)
        except (LookupError, TypeError, ValueError) as error:
            vars(self).update(before)
            raise SnapshotVersionError(
                f"this release cannot read the snapshot: {error!r}; run the release "
                "that wrote it"
            ) from error

    def _fill(self, state: dict[str, Any]) -> None:
        """Replace the state by that of a snapshot, in new tables."""
        self._initialise_state()
        self.text = state["text"]
        self.revision = state["revision"]
        self.now_ms = state["now_ms"]
        self.fence = state["fence"]
        self.controller = state["controller"]
        self.orders.restore(state["order_fields"], state["orders"])
        self.engine_orders.restore(
            state["engine_order_fields"], state["engine_orders"], self.now_ms
        )
        for at_ms, name, accepted, revision, detail in state["changes"]:
            self.change_order.append((at_ms, name))
            self.changes_by_id[name] = TextVerdict(accepted, revision, detail)
        for row in state["periods"]:
            values = dict(zip(state["period_fields"], row, strict=True))
            self.closed_periods_by_name[values["period"]] = PeriodVerdict(**values)
            self._retain_totals(values["period"])
        self.audit.restore(state["audit"], state["audit_newest"], state["audit_head"])
        if "evacuations" in state:
            self.evacuations.restore(state["evacuations"])
        else:
            self.evacuations.restore_from_audit(self.audit.records)
