"""Tests of product attempts whose answer arrived while the entry stood still."""

import attrs
import curio
import pytest

from tests.test_dispatch import GENERATE, POOL, DispatcherHarness
from wagtailrun.attempts import MIN_STALL_MS
from wagtailrun.ports.target import StageAnswer
from wagtailrun.virtual_time import VirtualClock, run_virtual

CALL = attrs.evolve(GENERATE, path="/v1/calls/look-up", stage="")
# Turns of the event loop until the answer is read.
TURNS = 3


class HeldClient:
    """Targets whose answer arrives while the process stands still, once."""

    def __init__(self, clock, held_ms):
        self.clock, self.held_ms = clock, held_ms
        self.calls = 0
        self.probes = 0

    async def call(self, address, attempt):
        self.calls += 1
        await curio.sleep(0.01)
        self.clock.seconds += self.held_ms / 1_000
        self.held_ms = 0
        # The event loop handles the time limit before the socket.
        for _ in range(TURNS):
            await curio.sleep(0)
        return StageAnswer(200, b"answer")

    async def probe(self, address):
        self.probes += 1
        return True

    async def cancel(self, address, number):
        pass


@pytest.mark.parametrize("held_ms", [MIN_STALL_MS + 100, 2_000, 5_000])
def test_attempt_of_an_entry_that_stood_still_takes_its_answer(held_ms):
    """Guards against a second run, and retry budget, for an answer that had arrived."""
    clock = VirtualClock()

    async def main(clock):
        client = HeldClient(clock, held_ms)
        harness = DispatcherHarness(clock, client)
        dispatcher = await harness.start(POOL)
        # Hedges may run beside the first attempt.
        dispatcher.options = attrs.evolve(dispatcher.options, hedges=False)
        answer = await dispatcher.call(harness.work(CALL))
        return answer, client.calls, client.probes

    answer, calls, probes = run_virtual(main, clock=clock)
    assert (answer.body, calls, probes) == (b"answer", 1, 0)
