"""Tests of the product's streams that are slow, and of those that stand still."""

from contextlib import aclosing

import curio
import pytest

from tests.test_dispatch import ENGINE, GENERATE, DispatcherHarness
from wagtailrun.exceptions import Refusal, RefusalReason, TargetFailed
from wagtailrun.ports.target import StageAnswer, TargetClient, Token
from wagtailrun.serving.dispatch_options import DispatchOptions
from wagtailrun.virtual_time import run_virtual

# Tokens of a stream, and the usual gap that ``DispatcherHarness`` has measured.
TOKENS = 30
DEADLINE_MS = 60_000
MAX_RETRIES = DispatchOptions().max_retries


class PacedClient(TargetClient):
    """Targets whose streams have given gaps; they go on where an earlier one ended."""

    def __init__(self, gap_ms, last_offset=TOKENS):
        self.gap_ms, self.last_offset = gap_ms, last_offset
        self.offsets = []

    async def call(self, address, attempt):
        raise AssertionError

    async def stream(self, address, attempt):
        self.offsets.append(attempt.resume_offset)
        for offset in range(attempt.resume_offset, self.last_offset):
            await curio.sleep(self.gap_ms / 1_000)
            yield (Token(offset, "a"),)
        if self.last_offset < TOKENS:
            await curio.sleep(3_600)
        yield (Token(TOKENS, "", last=True, answer=StageAnswer(200, b"")),)

    async def probe(self, address):
        return True

    async def cancel(self, address, number):
        pass


def read_stream(client, budget):
    """Return the offsets that a caller gets, the refusal if any, and the time."""

    async def main(clock):
        harness = DispatcherHarness(clock, client)
        dispatcher = await harness.start(ENGINE)
        # Nobody announces the targets in this test.
        dispatcher.membership.unconfirmed = True
        dispatcher.budget.tokens_by_service["t"] = budget
        started_ms = clock.now_ms()
        seen, refusal = [], None
        work = harness.work(GENERATE, DEADLINE_MS)
        async with aclosing(dispatcher.stream(work)) as items:
            async for item in items:
                if isinstance(item, Refusal):
                    refusal = item
                else:
                    seen += [token.offset for token in item if not token.last]
        return seen, refusal, clock.now_ms() - started_ms

    return run_virtual(main)


@pytest.mark.parametrize("budget", [0.0, 1.0, 20.0])
@pytest.mark.parametrize("gap_ms", [100, 450, 700, 1_700])
def test_slow_but_sound_stream_is_whole(gap_ms, budget):
    """Guards against a cut of a stream whose target is slow, but goes on.

    Each gap may be longer than that of a stalled connection.
    """
    client = PacedClient(gap_ms)
    seen, refusal, _ = read_stream(client, budget)
    assert (seen, refusal) == (list(range(TOKENS)), None)


class BreakingClient(PacedClient):
    """Targets whose first attempts break, and whose next one stands still."""

    async def stream(self, address, attempt):
        if len(self.offsets) < MAX_RETRIES:
            self.offsets.append(attempt.resume_offset)
            raise TargetFailed("reset")
        if len(self.offsets) == MAX_RETRIES:
            self.offsets.append(attempt.resume_offset)
            await curio.sleep(3_600)
        async with aclosing(super().stream(address, attempt)) as items:
            async for tokens in items:
                yield tokens


@pytest.mark.parametrize("gap_ms", [100, 700])
def test_slow_but_sound_hedge_of_the_last_attempt_is_whole(gap_ms):
    """Guards against a cut of a slow stream for which no further attempt is left.

    The hedge of the last attempt is its last one, too.
    """
    client = BreakingClient(gap_ms)
    seen, refusal, _ = read_stream(client, 20.0)
    assert len(client.offsets) == MAX_RETRIES + 2
    assert (seen, refusal) == (list(range(TOKENS)), None)


@pytest.mark.parametrize("budget", [0.0, 20.0])
def test_stream_that_stands_still_ends_at_its_deadline(budget):
    """Guards against a stream that is never refused, as its target goes on to live."""
    seen, refusal, took_ms = read_stream(PacedClient(20, 10), budget)
    assert seen == list(range(10))
    assert refusal.reason is RefusalReason.DEADLINE
    assert took_ms <= DEADLINE_MS
