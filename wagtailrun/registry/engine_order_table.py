"""Table of engine orders, protected by fencing tokens, and their weight loads."""

from collections import deque
from operator import attrgetter
from typing import Any

import attrs

from wagtailrun.ports.engine import EngineOrder, EngineOrderKind, EngineOrderState
from wagtailrun.registry.messages import (
    CloseEngineOrder,
    EngineOrderVerdict,
    PutEngineOrder,
)

__all__ = ["ENGINE_ORDER_FIELDS", "EngineOrderTable"]

MIN_CLOSED_ORDERS_KEPT = 1_000
# Longer than WEIGHT_LOAD_WINDOW_MS, so that all loads of the window are kept.
ENGINE_ORDER_RETENTION_MS = 120_000
MAX_ENGINE_ORDERS = 20_000
WEIGHT_LOAD_WINDOW_MS = 60_000
WEIGHT_LOAD_KINDS = frozenset(
    {EngineOrderKind.LOAD_MODEL, EngineOrderKind.LOAD_ADAPTER}
)

ENGINE_ORDER_FIELDS = [field.name for field in attrs.fields(EngineOrder)]
_engine_order_row = attrgetter(*ENGINE_ORDER_FIELDS)


class EngineOrderTable:
    """Engine orders by identifier, as a part of the replicated state."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.by_id: dict[str, EngineOrder] = {}
        # Derived from the orders, not part of snapshots.
        self.open_ids: dict[str, None] = {}
        self.closed_ids: deque[str] = deque()
        self.loads_by_data_centre: dict[str, deque[tuple[int, str]]] = {}

    def recent_loads(self, data_centre: str, now_ms: int) -> int:
        """Return the number of weight loads in a data centre in the last minute.

        An order that did not run does not count.
        """
        count = 0
        for put_ms, order_id in reversed(
            self.loads_by_data_centre.get(data_centre, ())
        ):
            if put_ms <= now_ms - WEIGHT_LOAD_WINDOW_MS:
                break
            order = self.by_id.get(order_id)
            count += order is None or order.state != EngineOrderState.NOT_RUN
        return count

    def put(
        self, command: PutEngineOrder, fence: int, now_ms: int
    ) -> EngineOrderVerdict:
        """Record an order as open.

        Args:
            command: Command to apply.
            fence: Newest fencing token.
            now_ms: Time of the state machine, in milliseconds.
        """
        self.now_ms = now_ms
        refusal = _check_fence(command.fence, fence)
        if refusal is not None:
            return refusal
        known = self.by_id.get(command.order.order_id)
        if known is not None:
            if known.fence == command.fence:
                return EngineOrderVerdict(True, fence)
            return EngineOrderVerdict(
                False,
                fence,
                f"order id {known.order_id} was recorded under fencing token "
                f"{known.fence}; use a new id",
            )
        self._drop_old_orders()
        if len(self.by_id) >= MAX_ENGINE_ORDERS:
            return EngineOrderVerdict(
                False,
                fence,
                f"the table is full with {MAX_ENGINE_ORDERS} engine orders; send again "
                "when some have ended",
            )
        order = attrs.evolve(
            command.order,
            fence=command.fence,
            state=EngineOrderState.OPEN,
            put_ms=self.now_ms,
            closed_ms=0,
        )
        self._store_order(order)
        return EngineOrderVerdict(True, fence)

    def _store_order(self, order: EngineOrder) -> None:
        self.by_id[order.order_id] = order
        if order.state == EngineOrderState.OPEN:
            self.open_ids[order.order_id] = None
        else:
            self.closed_ids.append(order.order_id)
        if order.kind in WEIGHT_LOAD_KINDS:
            loads = self.loads_by_data_centre.setdefault(order.data_centre, deque())
            loads.append((order.put_ms, order.order_id))
            while loads and loads[0][0] <= self.now_ms - WEIGHT_LOAD_WINDOW_MS:
                loads.popleft()

    def close(
        self, command: CloseEngineOrder, fence: int, now_ms: int
    ) -> EngineOrderVerdict:
        """Record the end of an order; the first recorded end stays.

        Args:
            command: Command to apply.
            fence: Newest fencing token.
            now_ms: Time of the state machine, in milliseconds.
        """
        self.now_ms = now_ms
        refusal = _check_fence(command.fence, fence)
        if refusal is not None:
            return refusal
        order = self.by_id.get(command.order_id)
        if order is None:
            return EngineOrderVerdict(
                False, fence, f"engine order {command.order_id} is not in the table"
            )
        if order.state == EngineOrderState.OPEN:
            self.by_id[order.order_id] = attrs.evolve(
                order, state=command.state, closed_ms=self.now_ms
            )
            del self.open_ids[order.order_id]
            self.closed_ids.append(order.order_id)
        return EngineOrderVerdict(True, fence)

    def _drop_old_orders(self) -> None:
        limit_ms = self.now_ms - ENGINE_ORDER_RETENTION_MS
        closed = self.closed_ids
        while len(closed) > MIN_CLOSED_ORDERS_KEPT:
            if self.by_id[closed[0]].closed_ms >= limit_ms:
                break
            del self.by_id[closed.popleft()]

    def rows(self) -> list[tuple[Any, ...]]:
        """Return the field values of every order, closed ones first."""
        names = (*self.closed_ids, *self.open_ids)
        return [_engine_order_row(self.by_id[name]) for name in names]

    def restore(self, fields: list[str], rows: list[list[Any]], now_ms: int) -> None:
        """Fill an empty table with the rows of a snapshot.

        Args:
            fields: Names of the fields in each row.
            rows: Field values of each order, closed ones first.
            now_ms: Time of the state machine, in milliseconds.
        """
        self.now_ms = now_ms
        for row in rows:
            self._store_order(EngineOrder(**dict(zip(fields, row, strict=True))))
        for name, loads in self.loads_by_data_centre.items():
            self.loads_by_data_centre[name] = deque(sorted(loads))


def _check_fence(fence: int, newest: int) -> EngineOrderVerdict | None:
    if fence == newest and fence:
        return None
    detail = f"fencing token {fence} is not the newest one, which is {newest}"
    return EngineOrderVerdict(False, newest, detail)
