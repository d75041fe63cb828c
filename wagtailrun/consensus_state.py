"""Role of a member, and the signal that its tasks wait for."""

import enum

import curio

__all__ = ["Role", "Signal"]


class Role(enum.Enum):
    """Part that a member plays in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Signal:
    """Wakes every task that waits at the moment of ``notify``, in order of arrival.

    ``curio.Event`` keeps its waiting tasks in a set; the order of that differs from run
    to run, and so would a schedule under virtual time.
    """

    def __init__(self) -> None:
        # A dict keeps the order and removes in constant time.
        self.waiting: dict[curio.Event, None] = {}

    async def notify(self) -> None:
        """Wake all waiting tasks."""
        waiting, self.waiting = self.waiting, {}
        for event in waiting:
            await event.set()

    async def wait(self) -> None:
        """Wait for the next ``notify``."""
        event = curio.Event()
        self.waiting[event] = None
        try:
            await event.wait()
        finally:
            self.waiting.pop(event, None)
