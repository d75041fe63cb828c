"""Tests of the order in which requests ask again for room at brittle targets."""

import curio

from wagtailrun.relay.limits.return_line import (
    MAX_SPREAD_MS,
    RUN_MARGIN,
    STEP_MS,
    ReturnLine,
)
from wagtailrun.virtual_time import run_virtual

WAIT_MS = 20


class Line:
    """Line whose requests record when they ask."""

    def __init__(self, clock):
        self.clock = clock
        self.line = ReturnLine()
        self.asked = []

    async def join(self, name, deadline_ms, urgency=5, wait_ms=WAIT_MS):
        async def wait():
            await self.line.wait("s", urgency, deadline_ms, wait_ms)
            self.asked.append((name, self.clock.now_ms()))

        task = await curio.spawn(wait, daemon=True)
        await curio.sleep(0)
        return task

    @property
    def names(self):
        return [name for name, _ in self.asked]


def play(scenario):
    async def main(clock):
        return await scenario(Line(clock))

    return run_virtual(main)


def test_requests_do_not_ask_at_the_same_instant():
    """Guards against hundreds of requests that ask together, of which few find room."""

    async def scenario(line):
        since_ms = line.clock.now_ms()
        for number in range(200):
            await line.join(number, 1_000 + number)
        await line.clock.sleep_ms(WAIT_MS + MAX_SPREAD_MS + 1)
        return [ms - since_ms for _, ms in line.asked]

    asked_ms = play(scenario)
    assert len(asked_ms) == 200
    together = MAX_SPREAD_MS // STEP_MS
    assert asked_ms[:together] == [WAIT_MS + n * STEP_MS for n in range(together)]
    assert max(asked_ms) <= WAIT_MS + MAX_SPREAD_MS


def test_request_with_the_earliest_deadline_asks_first():
    """Guards against requests that are passed by others until their time is over."""

    async def scenario(line):
        for name, deadline_ms, urgency in (
            ("late", 900, 5),
            ("early", 500, 5),
            ("urgent", 999, 0),
            ("later", 950, 5),
        ):
            await line.join(name, deadline_ms, urgency)
        for _ in range(4):
            await line.line.advance("s")
            await curio.sleep(0)
        return line.names

    assert play(scenario) == ["urgent", "early", "late", "later"]


def test_grant_lets_the_next_request_ask_at_once():
    """Guards against places that are idle while requests wait for their time."""

    async def scenario(line):
        since_ms = line.clock.now_ms()
        for number in range(3):
            await line.join(number, 1_000 + number, wait_ms=100)
        await line.line.advance("s")
        await line.line.advance("other")
        await line.clock.sleep_ms(1)
        return line.asked, since_ms

    asked, since_ms = play(scenario)
    assert asked == [(0, since_ms)]


def test_request_that_arrives_waits_behind_others():
    """Guards against requests that take the places of those that wait."""

    async def scenario(line):
        found = [line.line.is_behind("s", 5, 1_000)]
        await line.join("waits", 900)
        found += [
            line.line.is_behind("s", 5, 1_000),
            line.line.is_behind("s", 5, 800),
            line.line.is_behind("s", 0, 1_000),
            line.line.is_behind("other", 5, 1_000),
        ]
        await line.clock.sleep_ms(WAIT_MS + 1)
        return [*found, line.line.is_behind("s", 5, 1_000)]

    assert play(scenario) == [False, True, False, False, False, False]


def test_request_whose_caller_is_gone_is_passed_over():
    """Guards against a grant that lets nobody ask, and a line that grows."""

    async def scenario(line):
        gone = await line.join("gone", 500)
        await line.join("next", 600)
        await gone.cancel()
        await line.line.advance("s")
        await curio.sleep(0)
        return line.names, line.line.waiters_by_service

    assert play(scenario) == (["next"], {})


def test_time_that_requests_need_follows_those_that_ended():
    """Guards against requests that are sent just before their deadline."""
    line = ReturnLine()
    assert line.run_ms("s") == 0
    line.record_run("s", 30)
    assert line.run_ms("s") == RUN_MARGIN * 30
    for _ in range(100):
        line.record_run("s", 90)
    assert RUN_MARGIN * 85 < line.run_ms("s") <= RUN_MARGIN * 90
    assert line.run_ms("other") == 0
