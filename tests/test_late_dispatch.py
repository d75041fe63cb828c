"""Tests of product attempts whose answer arrived while the entry stood still."""

import attrs
import curio
import pytest

from tests.test_dispatch import GENERATE, POOL, DispatcherHarness
from wagtailrun.ports.target import StageAnswer
from wagtailrun.serving.attempts import LATE_MS, MAX_EXCUSED_MS
from wagtailrun.targets.attempt_ends import MIN_STALL_MS
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


class LateClient(HeldClient):
    """Targets that answer soon after a request that a standstill delayed."""

    async def call(self, address, attempt):
        self.calls += 1
        self.clock.seconds += self.held_ms / 1_000
        self.held_ms = 0
        await curio.sleep(0.005)
        return StageAnswer(200, b"answer")


@pytest.mark.parametrize("held_ms", [MIN_STALL_MS + 50, 1_000, 5_000])
def test_attempt_is_not_stalled_as_a_standstill_outlasted_the_wait_for_a_hedge(held_ms):
    """Guards against a second run of a request that the target has just got."""
    clock = VirtualClock()

    async def main(clock):
        client = LateClient(clock, held_ms)
        harness = DispatcherHarness(clock, client)
        dispatcher = await harness.start(POOL)
        # Enough for a retry, but for no hedge.
        dispatcher.budget.tokens_by_service["t"] = 1.0
        answer = await dispatcher.call(harness.work(CALL))
        return answer.body, client.calls, client.probes

    assert run_virtual(main, clock=clock) == (b"answer", 1, 0)


class StallingClient(HeldClient):
    """Targets whose first answer never arrives, in a process that is always late."""

    async def call(self, address, attempt):
        self.calls += 1
        if self.calls > 1:
            return StageAnswer(200, b"answer")
        while True:
            await curio.sleep(LATE_MS / 1_000)
            self.clock.seconds += 2 * LATE_MS / 1_000


def test_process_that_is_always_late_finds_a_stalled_attempt():
    """Guards against a request that waits for a lost answer until its deadline."""
    clock = VirtualClock()

    async def main(clock):
        client = StallingClient(clock, 0)
        harness = DispatcherHarness(clock, client)
        dispatcher = await harness.start(POOL)
        dispatcher.options = attrs.evolve(dispatcher.options, hedges=False)
        answer = await dispatcher.call(harness.work(CALL))
        return answer.body, client.calls, clock.now_ms()

    body, calls, took_ms = run_virtual(main, clock=clock)
    assert (body, calls) == (b"answer", 2)
    assert took_ms <= MIN_STALL_MS + MAX_EXCUSED_MS + 10 * LATE_MS
