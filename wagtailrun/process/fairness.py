"""Gives other tasks a turn while one task reads bytes that never run out."""

import curio

__all__ = ["Turns"]

TURN_BYTES = 128 * 1024
TURN_STEPS = 32


class Turns:
    """Counts the work of one task and yields to the other tasks after some of it.

    Reading from a socket that always has data never suspends a curio task, so timeouts
    do not fire and no other task runs.
    """

    def __init__(self) -> None:
        self.bytes = 0
        self.steps = 0

    async def take(self, size: int) -> None:
        """Count one step that handled ``size`` bytes; yield if the turn is over."""
        self.bytes += size
        self.steps += 1
        if self.bytes >= TURN_BYTES or self.steps >= TURN_STEPS:
            self.bytes = self.steps = 0
            await curio.sleep(0)
