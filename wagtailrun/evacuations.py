"""Replicated state of evacuations: data centres to whose targets nothing is sent."""

import re
from collections.abc import Iterable

import attrs

from wagtailrun.registry_messages import AuditRecord, RecordMembers

__all__ = ["MAX_EVACUATIONS", "EvacuationOrder", "EvacuationTable"]

MAX_EVACUATIONS = 256

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
        base: Version of the state that the order was given at. It has no effect on
            another version, so that a delayed copy cannot undo a later order.
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


class EvacuationTable:
    """Data centres that are evacuated; the newest order in the log wins.

    Attributes:
        version: Number of the audit record of the newest order in effect; 0 before the
            first.
        data_centres: Names of the evacuated data centres, in the order of the orders.
    """

    def __init__(self) -> None:
        self.version = 0
        self.data_centres: tuple[str, ...] = ()

    def apply(self, text: str, number: int) -> None:
        """Apply the text of a ``RecordMembers`` command, if it is an order.

        Args:
            text: Text of the command.
            number: Number of its audit record.
        """
        order = EvacuationOrder.parse(text)
        if order is None or order.base != self.version:
            return
        # Also without a change: part of an audit trail then shows which orders count.
        self.version = number
        others = tuple(each for each in self.data_centres if each != order.data_centre)
        if not order.evacuates:
            self.data_centres = others
        elif len(others) < MAX_EVACUATIONS:
            self.data_centres = (*others, order.data_centre)

    def restore(self, version: int, data_centres: Iterable[str]) -> None:
        """Replace the state by that of a snapshot."""
        self.version = version
        self.data_centres = tuple(data_centres)

    def restore_from_audit(self, records: Iterable[AuditRecord]) -> None:
        """Replace the state by that of the orders in an audit trail.

        A snapshot of a build that knows no evacuations has them only there. The oldest
        records may have been dropped, so the first order found counts.
        """
        self.version, self.data_centres = 0, ()
        is_first = True
        for record in records:
            if record.kind != RecordMembers.__name__:
                continue
            order = EvacuationOrder.parse(record.subject)
            if order is not None and is_first:
                self.version, is_first = order.base, False
            self.apply(record.subject, record.number)
