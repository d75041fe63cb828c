"""Controller of the engines; its orders are fenced and recorded, with one issuer."""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs
import curio

from wagtailrun.control.service import ControlService
from wagtailrun.exceptions import FleetTextError, TargetFailed, Verdict
from wagtailrun.fleet.model import (
    FleetConfiguration,
    Service,
    ServiceKind,
    parse_fleet_text,
)
from wagtailrun.logs import events
from wagtailrun.ports.engine import (
    EngineClient,
    EngineOrder,
    EngineOrderKind,
    EngineOrderState,
    EngineReply,
    EngineState,
)
from wagtailrun.registry.engine_order_table import WEIGHT_LOAD_KINDS
from wagtailrun.registry.messages import (
    CloseEngineOrder,
    ControllerGranted,
    EngineOrderVerdict,
    GrantController,
    PutEngineOrder,
)
from wagtailrun.targets.table import TargetRow

__all__ = ["HANDOVER_WAIT_MS", "ORDER_LIFETIME_MS", "EngineController"]

STEP_INTERVAL_MS = 1_000
# Time limit for sending an order, after which it can no longer arrive.
ORDER_LIFETIME_MS = 2_000
LEADER_LEASE_MS = 1_000
# Time after which no order of a previous controller can still arrive. The clock of the
# previous controller may run 10% slow, which extends its order and lease, and the clock
# of this process 10% fast, which shortens this wait.
HANDOVER_WAIT_MS = -(-(ORDER_LIFETIME_MS + LEADER_LEASE_MS) * 11 // 9)
READ_TIMEOUT_MS = 1_000
# With 1,700 engines each is read within 107 s; engines with open orders are read first.
MAX_READS_PER_STEP = 16
MAX_ORDERS_PER_STEP = 16
# Time by which an accepted order is visible in the engine's state, which lags behind.
SETTLE_TIMEOUT_MS = 10_000
# Timeout of a load that the engine reports as in progress.
LOAD_TIMEOUT_MS = 600_000
# Time before a failed order is issued again.
RETRY_PAUSE_MS = 30_000
# Larger configurations are parsed in a thread.
MAX_INLINE_TEXT_CHARS = 32 * 1024


@attrs.frozen
class _KnownState:
    """State of an engine, and the time at which it was read."""

    read_ms: int
    incarnation: int
    state: EngineState


@attrs.frozen
class _NeededOrder:
    """One order that brings an engine closer to the fleet configuration."""

    row: TargetRow
    kind: EngineOrderKind
    subject: str


class EngineController:
    """Brings engines to the configured state while this member is the leader.

    Each order is recorded by consensus under the controller's fencing number, then the
    lease is checked, then the order is sent once. ``docs/orders.md`` describes the
    remaining race and how it is repaired.

    Args:
        service: Control service of this member.
        targets: Returns the rows of the present targets.
        client: Reads the state of engines and sends them orders.
    """

    def __init__(
        self,
        service: ControlService,
        targets: Callable[[], Iterable[TargetRow]],
        client: EngineClient,
    ):
        self.service = service
        self.clock = service.clock
        self.registry = service.registry
        self.targets = targets
        self.client = client
        self.fence = 0
        self.granted_ms = 0
        self.handover_until_ms = 0
        self.known_states_by_name: dict[str, _KnownState] = {}
        self.next_number = itertools.count(1).__next__
        self.fleet: FleetConfiguration | None = None
        self.fleet_revision = 0

    async def run(self) -> None:
        """Control the engines whenever this member is the leader, until cancelled."""
        while True:
            await self.clock.sleep_ms(STEP_INTERVAL_MS)
            try:
                await self.step()
            except Exception as error:  # A failed step must not stop the controller.
                events.log(events.HANDLER_FAILED, detail=repr(error))

    async def step(self) -> None:
        """Read the engines, close settled orders and issue the most urgent new ones."""
        if not self._is_leader():
            self.fence = 0
            return
        if self.fence != self.registry.fence or not self.fence:
            await self._acquire_control()
        fleet = await self._current_fleet()
        if not self.fence or fleet is None:
            return
        rows = self._engine_rows(fleet)
        await self._read_back(fleet, rows)
        await self._settle_orders(fleet, rows)
        await self._issue_orders(fleet, rows)

    def _is_leader(self) -> bool:
        return self.service.log.is_leader

    async def _acquire_control(self) -> None:
        self.fence = 0
        self.known_states_by_name.clear()
        granted = await self.service.propose(GrantController(self.service.name, 0))
        if not isinstance(granted, ControllerGranted):
            return
        self.fence = granted.fence
        self.granted_ms = self.handover_until_ms = self.clock.now_ms()
        if granted.previous:
            # This also applies if the previous controller was this member, because an
            # earlier run of the process may have orders in transit.
            self.handover_until_ms += HANDOVER_WAIT_MS

    async def _current_fleet(self) -> FleetConfiguration | None:
        revision = self.registry.revision
        if revision != self.fleet_revision:
            text = self.registry.text
            try:
                if len(text) > MAX_INLINE_TEXT_CHARS:
                    fleet = await curio.run_in_thread(parse_fleet_text, text)
                else:
                    fleet = parse_fleet_text(text)
            except FleetTextError as error:
                # This release cannot parse the accepted configuration, so it keeps the
                # last one that it could parse.
                events.log(events.HANDLER_FAILED, detail=str(error)[:300])
                return self.fleet
            self.fleet, self.fleet_revision = fleet, revision
        return self.fleet

    def _engine_rows(self, fleet: FleetConfiguration) -> dict[str, TargetRow]:
        services = fleet.services_by_name
        return {
            row.name: row
            for row in self.targets()
            if not row.leaving
            and row.service in services
            and services[row.service].kind is ServiceKind.ENGINE
        }

    def _trusted_since_ms(self, service: Service) -> int:
        """Return the time from which no order of a predecessor can follow a read."""
        if service.checks_fencing:
            return self.granted_ms
        return self.handover_until_ms

    async def _read_back(
        self, fleet: FleetConfiguration, rows: dict[str, TargetRow]
    ) -> None:
        now_ms = self.clock.now_ms()
        open_targets = {order.target for order in self._open_orders()}
        for name in self.known_states_by_name.keys() - rows.keys():
            del self.known_states_by_name[name]

        def urgency(row: TargetRow) -> tuple[bool, int, str]:
            known = self.known_states_by_name.get(row.name)
            read_ms = -1
            if known is not None and known.incarnation == row.incarnation:
                read_ms = known.read_ms
            return row.name not in open_targets, read_ms, row.name

        readable = [
            row
            for row in rows.values()
            if now_ms >= self._trusted_since_ms(fleet.services_by_name[row.service])
        ]
        async with curio.TaskGroup() as group:
            for row in sorted(readable, key=urgency)[:MAX_READS_PER_STEP]:
                await group.spawn(self._read_engine, row)

    async def _read_engine(self, row: TargetRow) -> None:
        started_ms = self.clock.now_ms()
        try:
            state = await self.client.read_state(row.address, READ_TIMEOUT_MS)
        except TargetFailed:
            self.known_states_by_name.pop(row.name, None)
            return
        self.known_states_by_name[row.name] = _KnownState(
            started_ms, row.incarnation, state
        )

    def _open_orders(self) -> list[EngineOrder]:
        orders = self.registry.engine_orders_by_id
        return [orders[name] for name in self.registry.open_engine_orders]

    async def _settle_orders(
        self, fleet: FleetConfiguration, rows: dict[str, TargetRow]
    ) -> None:
        """Close the recorded orders whose outcome is visible in the engine state."""
        for order in self._open_orders():
            state = self._order_outcome(order, fleet, rows)
            if state is not None:
                await self._close_order(order.order_id, state)

    def _order_outcome(
        self, order: EngineOrder, fleet: FleetConfiguration, rows: dict[str, TargetRow]
    ) -> EngineOrderState | None:
        age_ms = self._cluster_now_ms() - order.put_ms
        row = rows.get(order.target)
        known = self.known_states_by_name.get(order.target)
        if row is None or known is None or known.incarnation != row.incarnation:
            return EngineOrderState.FAILED if age_ms > LOAD_TIMEOUT_MS else None
        if _is_done(order, known.state):
            return EngineOrderState.DONE
        if order.subject in known.state.loading:
            return EngineOrderState.FAILED if age_ms > LOAD_TIMEOUT_MS else None
        if order.fence != self.fence:
            # The state was read after the hand-over wait, so the predecessor's order
            # can no longer be in transit. It is issued again if it is still needed.
            return EngineOrderState.SUPERSEDED
        return EngineOrderState.FAILED if age_ms > SETTLE_TIMEOUT_MS else None

    def _cluster_now_ms(self) -> int:
        return max(self.registry.now_ms, self.clock.wall_ms())

    async def _issue_orders(
        self, fleet: FleetConfiguration, rows: dict[str, TargetRow]
    ) -> None:
        chosen = self._select_orders(fleet, rows)
        async with curio.TaskGroup() as group:
            for need in chosen:
                await group.spawn(self._issue_order, need)

    def _select_orders(
        self, fleet: FleetConfiguration, rows: dict[str, TargetRow]
    ) -> list[_NeededOrder]:
        """Return the most urgent orders that the weight load limits allow."""
        needs, groups = self._needed_orders(fleet, rows)
        budget_by_data_centre: dict[str, int] = {}
        chosen: list[_NeededOrder] = []
        while needs and len(chosen) < MAX_ORDERS_PER_STEP:
            need = min(needs, key=lambda need: groups[_group_key(need.row)].rank(need))
            needs.remove(need)
            data_centre = need.row.data_centre
            if need.kind in WEIGHT_LOAD_KINDS:
                left = budget_by_data_centre.get(data_centre)
                if left is None:
                    used = self.registry.recent_weight_loads(
                        data_centre, self._cluster_now_ms()
                    )
                    left = fleet.weight_loads_per_minute - used
                if left <= 0:
                    budget_by_data_centre[data_centre] = 0
                    continue
                budget_by_data_centre[data_centre] = left - 1
            groups[_group_key(need.row)].ready += (
                need.kind == EngineOrderKind.LOAD_MODEL
            )
            chosen.append(need)
        return chosen

    def _needed_orders(
        self, fleet: FleetConfiguration, rows: dict[str, TargetRow]
    ) -> tuple[list[_NeededOrder], dict[tuple[str, str], "_Group"]]:
        busy = {order.target for order in self._open_orders()}
        failed = self._recently_failed()
        needs: list[_NeededOrder] = []
        groups: dict[tuple[str, str], _Group] = defaultdict(_Group)
        for row in rows.values():
            service = fleet.services_by_name[row.service]
            group = groups[_group_key(row)]
            group.total += 1
            group.queued += row.queued
            known = self.known_states_by_name.get(row.name)
            if known is None or known.incarnation != row.incarnation:
                continue
            group.ready += known.state.model == service.model
            if row.name in busy:
                continue
            for kind, subject in _missing_orders(service, known.state):
                if (row.name, kind, subject) not in failed:
                    needs.append(_NeededOrder(row, kind, subject))
                    break
        return needs, groups

    def _recently_failed(self) -> set[tuple[str, str, str]]:
        since_ms = self._cluster_now_ms() - RETRY_PAUSE_MS
        orders = self.registry.engine_orders_by_id
        failed = set()
        for name in reversed(self.registry.engine_orders.closed_ids):
            order = orders[name]
            if order.closed_ms < since_ms:
                break
            if order.state in (EngineOrderState.FAILED, EngineOrderState.NOT_RUN):
                failed.add((order.target, order.kind, order.subject))
        return failed

    async def _issue_order(self, need: _NeededOrder) -> None:
        """Record an order, check the lease and send the order once."""
        order = EngineOrder(
            order_id=f"{self.fence}-{self.next_number()}",
            target=need.row.name,
            service=need.row.service,
            data_centre=need.row.data_centre,
            kind=need.kind,
            subject=need.subject,
            fence=self.fence,
        )
        recorded = await self.service.propose(PutEngineOrder(order, order.fence, 0))
        if not isinstance(recorded, EngineOrderVerdict) or not recorded.recorded:
            # If it was recorded nevertheless, a later step closes it as failed.
            return
        if not self._may_send(order):
            return
        try:
            reply = await self.client.send(need.row.address, order, ORDER_LIFETIME_MS)
        except TargetFailed as error:
            if error.verdict is Verdict.NOT_RUN:
                await self._close_order(order.order_id, EngineOrderState.NOT_RUN)
            return
        if reply is EngineReply.STALE_FENCE:
            self.fence = 0

    def _may_send(self, order: EngineOrder) -> bool:
        """Return whether this member is still the only issuer of orders."""
        return self._is_leader() and self.fence == order.fence == self.registry.fence

    async def _close_order(self, order_id: str, state: EngineOrderState) -> None:
        await self.service.propose(CloseEngineOrder(order_id, self.fence, state, 0))


@attrs.define
class _Group:
    """Readiness of the engines of one service in one data centre."""

    total: int = 0
    ready: int = 0
    queued: int = 0

    def rank(self, need: _NeededOrder) -> tuple[float, bool, int, str, str]:
        """Return the sort key of an order; smaller is issued first.

        Groups with the smallest share of ready engines come first, then model loads,
        then longer queues.
        """
        not_model = need.kind != EngineOrderKind.LOAD_MODEL
        share = min(self.ready / self.total, 1.0)
        return share, not_model, -self.queued, need.row.name, need.subject


def _group_key(row: TargetRow) -> tuple[str, str]:
    return row.service, row.data_centre


def _missing_orders(
    service: Service, state: EngineState
) -> Iterable[tuple[EngineOrderKind, str]]:
    """Yield the orders that an engine in ``state`` needs, in sequence."""
    # The fleet configuration has no roles yet; without one, roles are not changed.
    role = getattr(service, "role", "")
    if role and role != state.role:
        yield EngineOrderKind.SET_ROLE, role
    if service.model and service.model != state.model:
        yield EngineOrderKind.LOAD_MODEL, service.model
    for adapter in service.adapters:
        if adapter not in state.adapters:
            yield EngineOrderKind.LOAD_ADAPTER, adapter
    # If a service lists no adapters, the adapters of its engines are not changed.
    extra = state.adapters - set(service.adapters) if service.adapters else ()
    for adapter in sorted(extra):
        yield EngineOrderKind.UNLOAD_ADAPTER, adapter


def _is_done(order: EngineOrder, state: EngineState) -> bool:
    match order.kind:
        case EngineOrderKind.LOAD_MODEL:
            return state.model == order.subject
        case EngineOrderKind.LOAD_ADAPTER:
            return order.subject in state.adapters
        case EngineOrderKind.UNLOAD_ADAPTER:
            return order.subject not in state.adapters
    return state.role == order.subject
