"""Tests of writes to callers that read at once, slowly or not at all."""

import curio
import pytest

from wagtailrun.adapters.answer_writes import WRITE_TIMEOUT_MS, write_answer
from wagtailrun.process.memory_budget import Kind, MemoryBudget
from wagtailrun.virtual_time import run_virtual

DATA = b"id: 1\ndata: token\n\n"


class Caller:
    """Connection to a caller.

    Args:
        room: Bytes that the buffer of the socket has room for.
        reads_after_ms: When the caller reads the rest; None if it never does.
    """

    def __init__(self, clock, room, reads_after_ms=0):
        self.clock = clock
        self.room = room
        self.reads_after_ms = reads_after_ms
        self.received = b""

    @property
    def _socket(self):
        """The socket that one of curio wraps."""
        return self

    def send(self, data):
        if not self.room:
            raise BlockingIOError
        taken = bytes(data[: self.room])
        self.room -= len(taken)
        self.received += taken
        return len(taken)

    async def sendall(self, data):
        if self.reads_after_ms is None:
            await curio.Event().wait()
        await self.clock.sleep_ms(self.reads_after_ms)
        self.received += bytes(data)


@pytest.mark.parametrize("room", [0, 1, len(DATA) - 1, len(DATA), 1_000])
def test_bytes_arrive_once_and_in_order(room):
    """Guards against bytes that a caller gets twice or not at all.

    The buffer of the socket may take a part of a write.
    """

    async def main(clock):
        caller = Caller(clock, room)
        for _ in range(3):
            await write_answer(caller, DATA, MemoryBudget())
        return caller.received

    assert run_virtual(main) == 3 * DATA


def test_caller_that_never_reads_ends_the_write():
    """Guards against a connection that is kept for a caller that does not read."""

    async def main(clock):
        memory, caller = MemoryBudget(), Caller(clock, 5, None)
        started_ms = clock.now_ms()
        with pytest.raises(curio.TaskTimeout):
            await write_answer(caller, DATA, memory)
        return clock.now_ms() - started_ms, memory.held_bytes

    assert run_virtual(main) == (WRITE_TIMEOUT_MS, 0)


def test_bytes_that_wait_for_a_caller_are_counted():
    """Guards against slow callers whose answers fill the memory uncounted."""

    async def main(clock):
        memory, caller = MemoryBudget(), Caller(clock, 5, 1_000)
        task = await curio.spawn(write_answer, caller, DATA, memory)
        await clock.sleep_ms(500)
        waiting = memory.held_by_kind[Kind.SENDING]
        await task.join()
        return waiting, memory.held_bytes

    assert run_virtual(main) == (len(DATA), 0)
