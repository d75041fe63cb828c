"""Targets and entries that an entry knows of."""

import attrs

from wagtailrun.ports.link import Address

__all__ = ["Membership", "TargetRow"]

# A target is out of rotation this long after its announcements last progressed.
TARGET_SILENCE_MS = 2_500


@attrs.frozen
class TargetRow:
    """What is known of one target.

    Attributes:
        name: Name of the target.
        address: Where it serves.
        service: Service it belongs to.
        data_centre: Data centre it is in.
        capacity: Requests that it can run at once.
        incarnation: Grows each time the target starts.
        sequence: Grows with each announcement of an incarnation.
        running: Requests running when it announced itself.
        queued: Requests queued when it announced itself.
        leaving: Whether it said goodbye.
    """

    name: str
    address: Address
    service: str
    data_centre: str
    capacity: int = 1
    incarnation: int = 0
    sequence: int = 0
    running: int = 0
    queued: int = 0
    leaving: bool = False

    @property
    def version(self) -> tuple[int, int]:
        """Order of rows of the same target."""
        return (self.incarnation, self.sequence)


class Membership:
    """Newest row of every target."""

    def __init__(self) -> None:
        self.targets_by_name: dict[str, TargetRow] = {}
        self.heard_ms_by_name: dict[str, int] = {}

    def put(self, row: TargetRow, now_ms: int) -> bool:
        """Keep ``row`` if it is newer than what is known; return whether it was."""
        known = self.targets_by_name.get(row.name)
        if known is not None and row.version <= known.version:
            return False
        self.targets_by_name[row.name] = row
        self.heard_ms_by_name[row.name] = now_ms
        return True

    def usable(self, service: str, now_ms: int) -> list[TargetRow]:
        """Return the targets of ``service`` that may be given new work."""
        return [
            row
            for name, row in self.targets_by_name.items()
            if row.service == service
            and not row.leaving
            and now_ms - self.heard_ms_by_name[name] < TARGET_SILENCE_MS
        ]
