"""Replicated state of evacuations: data centres to whose targets nothing is sent."""

import re
from collections.abc import Iterable
from typing import Any

import attrs

from wagtailrun.registry.messages import AuditRecord, RecordMembers

__all__ = ["MAX_EVACUATIONS", "EvacuationOrder", "EvacuationTable"]

MAX_EVACUATIONS = 256
# Withdrawals are kept to recognise delayed copies of earlier orders.
MAX_WITHDRAWALS = 256

_ORDER_PATTERN = re.compile(r"evacuation (ordered|withdrawn) after (\d+): (.+)", re.S)


@attrs.frozen
class EvacuationOrder:
    """Order to evacuate a data centre, or its withdrawal.

    It is replicated as the text of a ``RecordMembers`` command, which every build can
    apply: one that knows no evacuations only adds it to the audit trail, and its
    snapshots pass the order on in that trail. A command of a new kind would stop the
    members of an earlier build.

    Attributes:
        data_centre: Name of the data centre.
        evacuates: Whether nothing more is sent to its targets; else they come back.
        base: Version of the state that the order was given at. It has no effect after
            a later order about the data centre, which a delayed copy could undo.
    """

    data_centre: str
    evacuates: bool
    base: int

    @property
    def text(self) -> str:
        """The order as text; part of snapshots, so the same in all releases."""
        action = "ordered" if self.evacuates else "withdrawn"
        return f"evacuation {action} after {self.base}: {self.data_centre}"

    @classmethod
    def parse(cls, text: str) -> "EvacuationOrder | None":
        """Return the order that a text describes; None if it describes none."""
        match = _ORDER_PATTERN.fullmatch(text)
        if match is None:
            return None
        return cls(match[3], match[1] == "ordered", int(match[2]))

    def command(self, source: str) -> RecordMembers:
        """Return the command that replicates the order.

        Args:
            source: Address of the operator.
        """
        return RecordMembers("operator", source, self.text, 0)


@attrs.frozen
class _NewestOrder:
    """Newest order about a data centre.

    Attributes:
        number: Number of its audit record.
        evacuates: Whether it ordered the evacuation; else it withdrew one.
    """

    number: int
    evacuates: bool


class EvacuationTable:
    """Data centres that are evacuated; the newest order in the log wins.

    Attributes:
        version: Number of the audit record of the newest order in effect; 0 before the
            first.
        data_centres: Names of the evacuated data centres, in the order of the orders.
        forgotten: Number of the newest withdrawal that is no longer kept.
    """

    def __init__(self) -> None:
        self._orders_by_data_centre: dict[str, _NewestOrder] = {}
        self._clear()

    def _clear(self) -> None:
        self.version = 0
        self.data_centres: tuple[str, ...] = ()
        self.forgotten = 0
        self._orders_by_data_centre.clear()

    def apply(self, text: str, number: int) -> None:
        """Apply the text of a ``RecordMembers`` command, if it is an order.

        Args:
            text: Text of the command.
            number: Number of its audit record.
        """
        order = EvacuationOrder.parse(text)
        if order is None:
            return
        name = order.data_centre
        newest = self._orders_by_data_centre.get(name)
        if order.base < (newest.number if newest is not None else self.forgotten):
            return
        is_full = len(self.data_centres) >= MAX_EVACUATIONS
        if order.evacuates and is_full and name not in self.data_centres:
            return
        self._orders_by_data_centre.pop(name, None)
        self._orders_by_data_centre[name] = _NewestOrder(number, order.evacuates)
        self.version = number
        self._forget_withdrawals()
        self._list_evacuated()

    def _forget_withdrawals(self) -> None:
        """Forget the oldest withdrawal if there are too many."""
        known = self._orders_by_data_centre
        withdrawn = [name for name, newest in known.items() if not newest.evacuates]
        if len(withdrawn) > MAX_WITHDRAWALS:
            self.forgotten = known.pop(withdrawn[0]).number

    def _list_evacuated(self) -> None:
        known = self._orders_by_data_centre.items()
        self.data_centres = tuple(name for name, newest in known if newest.evacuates)

    def rows(self) -> dict[str, Any]:
        """Return the state for a snapshot."""
        return {
            "version": self.version,
            "forgotten": self.forgotten,
            "orders": [
                (name, newest.number, newest.evacuates)
                for name, newest in self._orders_by_data_centre.items()
            ],
        }

    def restore(self, state: dict[str, Any]) -> None:
        """Replace the state by that of a snapshot; ``state`` is from ``rows``."""
        self.version = state["version"]
        self.forgotten = state["forgotten"]
        self._orders_by_data_centre = {
            name: _NewestOrder(number, evacuates)
            for name, number, evacuates in state["orders"]
        }
        self._list_evacuated()

    def restore_from_audit(self, records: Iterable[AuditRecord]) -> None:
        """Replace the state by that of the orders in an audit trail.

        A snapshot of a build that knows no evacuations has them only there. Orders
        whose records were dropped are lost; the trail has the newest 10,000 records.
        """
        self._clear()
        for record in records:
            if record.kind == RecordMembers.__name__:
                self.apply(record.subject, record.number)
