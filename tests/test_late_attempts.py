"""Tests of attempts whose answer arrived while the process of the entry stood still."""

import attrs
import curio
import pytest

from wagtailrun.ports.link import Address
from wagtailrun.relay.requests.attempts import RelayAttempts
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import VirtualClock, run_virtual

ROW = TargetRow("t", Address("10.0.0.1", 80), "s", "a", 4)
TIMEOUT_MS = 500
# Turns of the event loop until the answer is read.
TURNS = 3


@attrs.define
class Job:
    """The part of a request that the time of an attempt depends on."""

    deadline_at_ms: int = 10_000
    sent_ms: int = 1
    attempt_timed_out: bool = False


class HeldAttempts(RelayAttempts):
    """Attempts whose answer arrives in the moment in which the process goes on."""

    def __init__(self, clock):
        super().__init__(clock, *[None] * 7)
        self.arrived = curio.Event()

    def can_move(self, job):
        return True

    def _attempt_timeout_ms(self, job):
        return TIMEOUT_MS

    async def _read_answer(self, job, row):
        await self.arrived.wait()
        return "answer"


@pytest.mark.parametrize("held_ms", [TIMEOUT_MS, TIMEOUT_MS + 200, 5_000])
def test_answer_that_arrived_meanwhile_ends_the_attempt(held_ms):
    """Guards against a second run, and a target that counts as failed."""
    clock = VirtualClock()

    async def main(clock):
        attempts = HeldAttempts(clock)

        async def stand_still():
            await curio.sleep(0.01)
            clock.seconds += held_ms / 1_000
            # The event loop handles the time limit before the socket.
            for _ in range(TURNS):
                await curio.sleep(0)
            await attempts.arrived.set()

        await curio.spawn(stand_still, daemon=True)
        return await attempts._read_answer_in_time(Job(), ROW)

    assert run_virtual(main, clock=clock) == "answer"


def test_attempt_without_an_answer_ends_at_its_time():
    """Guards against a request that waits for a silent target."""

    async def main(clock):
        attempts = HeldAttempts(clock)
        failed = await attempts._read_answer_in_time(Job(), ROW)
        return clock.now_ms(), failed.verdict

    took_ms, verdict = run_virtual(main)
    assert TIMEOUT_MS <= took_ms <= TIMEOUT_MS + 2
    assert verdict == "may-have-run"
