"""Memory of targets that results from before a restart of all entries occupy."""

from collections.abc import Callable, Sequence

from wagtailrun.clock import Clock
from wagtailrun.gossip.incarnations import INCARNATION_TIME_SHIFT
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.routes import StageCapacity

__all__ = ["EntryStarts", "LostResults", "step_bytes"]

# In a play of a power loss, lost results left room for 1 to 6 of about 20 pieces at the
# targets of the stage that limits the pipelines. Where a call needs only a small part
# of a memory, room for one call would refuse requests beside memory that is empty.
STEP_SHARE = 1 / 3


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
    having room for one step, the larger one of a third of its memory and the calls that
    it runs at once, and each call that got all the room it needed shows room for
    another step.

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

    def shown_bytes(self, address: Address, step_bytes: int) -> int:
        """Return what the results known here may occupy at a target.

        Args:
            address: Target.
            step_bytes: Size of a step; see ``step_bytes``.
        """
        return self.shown_by_address.get(address, step_bytes)

    def record_call(
        self, address: Address, known_bytes: int, step_bytes: int, is_full: bool
    ) -> None:
        """Record a call that ended.

        Args:
            address: Target.
            known_bytes: What the results known here occupy there now.
            step_bytes: Size of a step; see ``step_bytes``.
            is_full: Whether the target had no memory for a piece of the call.
        """
        if is_full:
            self.shown_by_address[address] = known_bytes
        else:
            shown_bytes = self.shown_bytes(address, step_bytes)
            self.shown_by_address[address] = max(shown_bytes, known_bytes + step_bytes)


def step_bytes(capacity: StageCapacity, usable: int, result_bytes: int) -> int:
    """Return by how much the room grows that calls have shown at a target.

    Args:
        capacity: Capacity of one target.
        usable: How much memory of a target may be used.
        result_bytes: Size of the result of a piece.
    """
    calls_bytes = max(capacity.slots, 1) * capacity.batch * result_bytes
    return max(calls_bytes, int(usable * STEP_SHARE))
