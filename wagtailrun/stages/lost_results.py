"""Memory of targets that results from before a restart of all entries occupy."""

from collections.abc import Callable, Sequence

from wagtailrun.clock import Clock
from wagtailrun.gossip.incarnations import INCARNATION_TIME_SHIFT
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address

__all__ = ["EntryStarts", "LostResults"]


class EntryStarts:
    """Tells when the first of the running entries started.

    Args:
        clock: Clock.
        entries: Returns the running entries.
    """

    def __init__(self, clock: Clock, entries: Callable[[], Sequence[EntryRow]]):
        self.clock = clock
        self.entries = entries
        self.own_start_ms = clock.now_ms()

    def first_ms(self) -> int:
        """Return when the first one started, on the clock of this entry.

        The time of others is that of their wall clocks. One that is wrong makes the
        owner of a service too careful, until this entry runs for as long as targets
        keep results, or not careful enough.
        """
        wall_ms = self.clock.wall_ms()
        ages_ms = (
            wall_ms - (row.incarnation >> INCARNATION_TIME_SHIFT)
            for row in self.entries()
        )
        # An entry that stood still counts as one that has just started.
        return min(self.own_start_ms, self.clock.now_ms() - max(ages_ms, default=0))


class LostResults:
    """What calls have shown of the memory that lost results leave.

    Only the entries of a request know the handles of its results. After all of them
    have ended nobody can release these, so that they occupy the memory of the targets
    until they expire. How much that is only calls show: until then a target counts as
    having room for one call, and each call that got all the room it needed shows room
    for another one.

    Args:
        first_start_ms: Returns when the first of the running entries started, on the
            clock; None if that is unknown.
    """

    def __init__(self, first_start_ms: Callable[[], int | None]):
        self.first_start_ms = first_start_ms
        # Bytes that the results known here and those of the next call may occupy.
        self.shown_by_address: dict[Address, int] = {}

    def left_ms(self, now_ms: int, result_ms: int) -> int:
        """Return for how long lost results may still occupy memory.

        Args:
            now_ms: Reading of the clock.
            result_ms: How long targets keep a result that nobody releases.
        """
        first_ms = self.first_start_ms()
        left_ms = 0 if first_ms is None else max(first_ms + result_ms - now_ms, 0)
        if not left_ms:
            self.shown_by_address.clear()
        return left_ms

    def shown_bytes(self, address: Address, call_bytes: int) -> int:
        """Return what the results known here may occupy at a target.

        Args:
            address: Target.
            call_bytes: Size of the results of a full call.
        """
        return self.shown_by_address.get(address, call_bytes)

    def record_call(
        self, address: Address, known_bytes: int, call_bytes: int, is_full: bool
    ) -> None:
        """Record a call that ended.

        Args:
            address: Target.
            known_bytes: What the results known here occupy there now.
            call_bytes: Size of the results of a full call.
            is_full: Whether the target had no memory for a piece of the call.
        """
        if is_full:
            self.shown_by_address[address] = known_bytes
        else:
            shown_bytes = self.shown_bytes(address, call_bytes)
            self.shown_by_address[address] = max(shown_bytes, known_bytes + call_bytes)
