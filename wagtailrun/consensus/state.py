"""Role of a member, and the signal that wakes its waiting tasks."""

import enum

import curio

__all__ = ["Role", "Signal"]


class Role(enum.Enum):
    """Raft role of a member in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Signal:
    """Wakes all tasks that wait when ``notify`` is called, first come, first woken.

    ``curio.Event`` keeps its waiting tasks in a set, whose order differs from run to
    run. Tests under virtual time need the same order in every run.
    """

    def __init__(self) -> None:
        # A dict keeps the insertion order and removes in constant time.
        self.waiters: dict[curio.Event, None] = {}

    async def notify(self) -> None:
        """Wake all waiting tasks."""
        waiters, self.waiters = self.waiters, {}
        for event in waiters:
            await event.set()

    async def wait(self) -> None:
        """Wait for the next ``notify``."""
        event = curio.Event()
        self.waiters[event] = None
        try:
            await event.wait()
        finally:
            self.waiters.pop(event, None)
