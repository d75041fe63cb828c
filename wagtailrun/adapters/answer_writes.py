"""Writes bytes of answers to callers, who may read slowly or not at all."""

from typing import Any

import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.process.memory_budget import Kind, MemoryBudget

__all__ = ["WRITE_TIMEOUT_MS", "write_answer"]

# A connection is closed if one write does not complete in this time.
WRITE_TIMEOUT_MS = 30_000


async def write_answer(sock: Any, data: bytes, memory: MemoryBudget) -> None:
    """Write bytes of an answer.

    Args:
        sock: Socket of curio, connected to the caller.
        data: Bytes; not empty.
        memory: Counts the bytes while the caller does not read them.

    Raises:
        OSError: If the connection failed.
        TaskTimeout: If the caller does not read in ``WRITE_TIMEOUT_MS``.
    """
    # The buffer of the socket takes most writes at once, without a turn of another
    # task. A timeout for each of them took a tenth of the processor time of an event.
    unsent = memoryview(data)[_send_now(sock, data) :]
    if not unsent:
        return
    with memory.hold(Kind.SENDING) as held:
        # These bytes exist; a caller that reads slowly leaves less room for others.
        held.record(len(data))
        async with curio.timeout_after(WRITE_TIMEOUT_MS / MS_PER_SECOND):
            await sock.sendall(unsent)


def _send_now(sock: Any, data: bytes) -> int:
    """Return how many bytes the buffer of the socket took."""
    try:
        # The method of curio's socket waits until there is room.
        sent: int = sock._socket.send(data)
        return sent
    except BlockingIOError:
        return 0
