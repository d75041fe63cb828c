"""Fake implementation of the TargetClient port, in virtual time."""

import json
import random
from collections import Counter

from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.ports.target import StageAnswer, TargetClient, Token


class FakeTargets(TargetClient):
    """Answers every attempt after a random delay and counts the runs of each body.

    Args:
        clock: Virtual clock.
        seed: Seed of delays and failures.
        failure: Probability that an attempt fails after it ran.
        refused: Probability that no connection can be opened.
        cut_after: Offset at which a stream breaks once; doubled at each break. None
            never breaks streams.
        broken_at: Offset at which every stream breaks, or None.
    """

    def __init__(
        self, clock, seed=0, failure=0.0, refused=0.0, cut_after=None, broken_at=None
    ):
        self.clock = clock
        self.random = random.Random(seed)
        self.failure = failure
        self.refused = refused
        self.cut_after = cut_after
        self.broken_at = broken_at
        self.runs: Counter[bytes] = Counter()
        self.attempts = []
        self.cancelled = []

    async def _start(self, address, attempt):
        if self.random.random() < self.refused:
            raise ConnectFailed(f"{address} refuses connections")
        self.attempts.append(attempt)
        self.runs[attempt.body] += 1
        await self.clock.sleep_ms(self.random.randint(1, 200))
        if self.random.random() < self.failure:
            raise TargetFailed("connection reset", verdict=Verdict.MAY_HAVE_RUN)

    async def call(self, address, attempt):
        await self._start(address, attempt)
        answer = {"stage": attempt.path, "of": json.loads(attempt.body)}
        return StageAnswer(200, json.dumps(answer).encode())

    async def stream(self, address, attempt):
        await self._start(address, attempt)
        subject = json.loads(attempt.body)["input"].get("prompt")
        count = 10
        for offset in range(attempt.resume_offset, count):
            await self.clock.sleep_ms(5)
            if offset == self.broken_at:
                raise TargetFailed("stream broke", verdict=Verdict.MAY_HAVE_RUN)
            if self.cut_after is not None and offset >= self.cut_after:
                self.cut_after += self.cut_after
                raise TargetFailed("stream broke", verdict=Verdict.MAY_HAVE_RUN)
            yield (Token(offset, f"{subject}:{offset} "),)
        yield (Token(count, "", last=True, answer=StageAnswer(200, b"")),)

    async def cancel(self, address, number):
        self.cancelled.append(number)
