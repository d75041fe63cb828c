"""Rows that the operator API shows: processes, targets, orders, audit records."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import attrs

from wagtailrun.registry.state import Registry

__all__ = ["FleetView", "LocalView", "audit_rows", "order_rows"]


class FleetView(ABC):
    """State of the fleet's processes, as rows for operators."""

    @abstractmethod
    async def status(self) -> list[dict[str, Any]]:
        """Return one row for each process that this member knows of."""

    @abstractmethod
    async def targets(self) -> list[dict[str, Any]] | None:
        """Return one row for each target, None if this member has no list of them."""


class LocalView(FleetView):
    """View that covers only the control member itself.

    Args:
        registry: Local replica of the replicated state.
        name: Name of the member.
        cluster_detail: Returns why the member belongs to no cluster, empty if it does.
    """

    def __init__(
        self,
        registry: Registry,
        name: str = "",
        cluster_detail: Callable[[], str] = lambda: "",
    ):
        self.registry = registry
        self.name = name
        self.cluster_detail = cluster_detail

    async def status(self) -> list[dict[str, Any]]:
        """Return the row of this member."""
        orders = self.registry.orders_by_key.values()
        row = {
            "process": self.name,
            "role": "control",
            "revision": self.registry.revision,
            "open_orders": sum(not order.verdict for order in orders),
            "waits_for": self.cluster_detail(),
        }
        return [row]

    async def targets(self) -> list[dict[str, Any]] | None:
        """Return None: only entries have the list of targets."""
        return None


def order_rows(registry: Registry) -> list[dict[str, Any]]:
    """Return one row for each order in the registry."""
    return [
        {
            "workspace": key.workspace,
            "key": key.key,
            "service": order.service,
            "call": order.call,
            "attempt": order.attempt,
            "verdict": str(order.verdict or "open"),
            "entry": order.entry,
            "request_id": order.request_id,
            "opened_ms": order.opened_ms,
        }
        for key, order in registry.orders_by_key.items()
    ]


def audit_rows(registry: Registry) -> list[dict[str, Any]]:
    """Return the retained audit records, oldest first."""
    return [attrs.asdict(record) for record in registry.audit_records]
