"""Tests of adaptive concurrency limits."""

import random

import attrs
import curio
import pytest

from wagtailrun.exceptions import Refusal
from wagtailrun.replay.emulator import Emulator, TargetModel
from wagtailrun.serving.dispatch import Work, make_dispatcher
from wagtailrun.targets.limits import AdaptiveLimits
from wagtailrun.targets.table import Membership
from wagtailrun.virtual_time import run_virtual

# Attempts in progress at a target that announces a capacity of 64.
LOAD = 6
CAPACITY = 64
MAX_SILENT_MS = 1_500
ORDER_DEADLINE_MS = 4_000
ORDER = Work("desk", "/v1/calls/book", b"{}", "r", "ws", 0, False)


def settle(limits, slowness, rounds=60):
    """Record observations while the limit is always used up."""
    for _ in range(rounds):
        while limits.has_room("t", 8):
            limits.started("t")
        limits.observe("t", 8, slowness)
        limits.ended("t")
    return limits.limit("t", 8)


def test_limit_follows_latency_in_both_directions():
    """Guards against a limit that stays high with a queue or low after it."""
    limits = AdaptiveLimits()
    assert limits.limit("t", 8) == 8.0
    low = settle(limits, 10.0)
    assert 1.0 <= low < 2.0
    assert settle(limits, 1.0) > 4 * low


def test_a_few_straggling_answers_do_not_collapse_the_limit():
    """Guards against a single slow request that stops the traffic to a target."""
    limits = AdaptiveLimits()
    settle(limits, 1.0, rounds=20)
    before = limits.limit("t", 8)
    limits.observe("t", 8, 1_000.0)
    assert limits.limit("t", 8) > 0.85 * before


def test_the_limit_of_a_straggler_allows_one_attempt():
    """Guards against a limit below 1, with which a target is never measured again."""
    limits = AdaptiveLimits()
    settle(limits, 1_000.0, rounds=500)
    for _ in range(limits.in_flight_by_name["t"]):
        limits.ended("t")
    assert limits.has_room("t", 8)
    limits.started("t")
    assert not limits.has_room("t", 8)
    assert limits.has_room("t", 8, extra=1.0)


def test_an_unused_limit_does_not_grow():
    """Guards against a limit that grows without bound at low load."""
    limits = AdaptiveLimits()
    for _ in range(100):
        limits.started("t")
        limits.observe("t", 8, 1.0)
        limits.ended("t")
    assert limits.limit("t", 8) == 8.0


def test_limit_of_a_target_without_a_queue_is_not_below_its_load():
    """Guards against orders refused as overloaded at a target that has room.

    The target's times spread from 0 to 1,500 ms whatever its load. The least contended
    value is their tenth percentile, 150 ms, so that most count as slow.
    """
    generator = random.Random(1)
    limits = AdaptiveLimits()
    lowest = 64.0
    for _ in range(400):
        while limits.in_flight_by_name["t"] < LOAD and limits.has_room("t", 64):
            limits.started("t")
        limits.observe("t", 64, generator.uniform(0.0, 10.0))
        limits.ended("t")
        lowest = min(lowest, limits.limit("t", 64))
    assert lowest >= LOAD


def test_queue_before_spread_times_lowers_the_limit():
    """Guards against a queue that counts as spread, as it delays all attempts."""
    generator = random.Random(1)
    limits = AdaptiveLimits()
    for _ in range(60):
        while limits.has_room("t", 8):
            limits.started("t")
        limits.observe("t", 8, 10.0 + generator.uniform(0.0, 10.0))
        limits.ended("t")
    assert limits.limit("t", 8) < 2.0


class SpreadClient:
    """Client of a target whose calls take from 0 to 1,500 ms whatever its load."""

    def __init__(self, clock, client, generator):
        self.clock = clock
        self.client = client
        self.random = generator

    async def call(self, address, attempt):
        await self.clock.sleep_ms(self.random.randint(0, MAX_SILENT_MS))
        return await self.client.call(address, attempt)


@pytest.mark.parametrize("seed", range(4))
def test_target_without_a_queue_takes_a_doubled_load(seed):
    """Guards against orders refused as overloaded at a target that has room.

    Its times spread from 0 to 1,500 ms, so that ten slow ones in a row are common. The
    load on an entry doubles as others stop; the limit had fallen to it before.
    """

    async def main(clock):
        generator = random.Random(seed)
        emulator, membership = Emulator(clock), Membership()
        await emulator.add("t", "desk", "east", TargetModel(CAPACITY, service_ms=1.0))
        emulator.observe("east", membership)
        await curio.spawn(emulator.run_reports, daemon=True)
        client = SpreadClient(clock, emulator.client("entry", "east"), generator)
        dispatcher = make_dispatcher(clock, membership, client, name="entry", seed=seed)
        tasks = []
        for per_second, lasts_ms in ((5, 40_000), (12, 20_000)):
            until_ms = clock.now_ms() + lasts_ms
            while clock.now_ms() < until_ms:
                await clock.sleep_ms(int(generator.expovariate(per_second / 1_000)))
                deadline_ms = clock.now_ms() + ORDER_DEADLINE_MS
                order = attrs.evolve(ORDER, deadline_at_ms=deadline_ms)
                tasks.append(await curio.spawn(dispatcher.call, order))
        answers = [await task.join() for task in tasks]
        return [each for each in answers if isinstance(each, Refusal)]

    assert run_virtual(main) == []
