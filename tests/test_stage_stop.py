"""Tests of stages whose entries stop as planned, at every moment, in virtual time."""

import attrs
import curio
import pytest

from tests.fake_network import FakeNetwork
from tests.test_stage_pool import FakeStages, target
from tests.test_stage_runner import CAPACITY, ENTRIES, other_entry, work
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.stages import (
    DelegatingStageClient,
    StageBatcher,
    StageHost,
    StageResults,
    Succession,
)
from wagtailrun.stages.runner import StageRunner
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.virtual_time import run_virtual

# The stages of one request take about a second.
STOPS_MS = range(0, 1_200, 10)
# After this time other entries know of a stop. While the control members stop as well,
# they learn it from the entry only.
NEWS_MS = 300
NO_NEWS_MS = 60_000
DRAIN_POLL_MS = 20
# The longest step takes 330 ms.
GRACE_MS = 500
# How long an entry that has just started is known before it stops.
START_MS = 500


class Process:
    """One entry process before the targets of a fleet."""

    def __init__(self, fleet, row):
        self.fleet = fleet
        self.row = row
        self.clock = fleet.clock
        self.stopping = self.ended = False
        link = fleet.network.link(row.address)
        owners = Owners(self.clock, lambda: fleet.live)
        self.client = DelegatingStageClient(
            fleet.targets, link, row.name, owners, lambda: True
        )
        self.batcher = StageBatcher(
            self.clock,
            self.client,
            lambda service: [target(1)],
            lambda service: fleet.capacity,
            fleet.budget,
            lambda message: self.runner.notify_owner(message),
            is_owner=lambda service: self.runner.owns(service),
        )
        self.host = StageHost(self.batcher, self.client, lambda: self.stopping)
        self.runner = StageRunner(
            self.clock,
            link,
            row.name,
            self.batcher,
            owners,
            lambda service: fleet.capacity,
        )
        self.batcher.succession = Succession(
            self.clock, link, row.name, self.runner.calls, lambda: self.stopping
        )
        fleet.network.handlers_by_address[row.address] = self.handle

    async def handle(self, message):
        reply = await self.host.handle(message)
        if self.ended:
            raise PeerUnreachable("reset")
        return reply

    async def stop(self, is_needed=lambda: False, grace_ms=GRACE_MS):
        """Stop as planned: end when idle, or at the end of the grace period."""
        self.stopping = True
        await self.batcher.hand_over()
        await curio.spawn(self._leave, daemon=True)
        ends_ms = self.clock.now_ms() + grace_ms
        while self.clock.now_ms() < ends_ms:
            await self.clock.sleep_ms(DRAIN_POLL_MS)
            if self.host.is_idle and not is_needed():
                break
        self.ended = True
        del self.fleet.network.handlers_by_address[self.row.address]

    async def _leave(self):
        await self.clock.sleep_ms(self.fleet.news_ms)
        remaining = tuple(row for row in self.fleet.live if row != self.row)
        # Without any other entry the view stays as it was.
        self.fleet.live = remaining or self.fleet.live


class Fleet:
    """Entries on a fake network, of which those in ``rows`` are known at first."""

    def __init__(self, clock, rows=ENTRIES, news_ms=NEWS_MS, capacity=CAPACITY):
        self.clock = clock
        self.news_ms = news_ms
        self.network = FakeNetwork(clock)
        self.capacity = capacity
        self.targets = FakeStages(clock, capacity)
        self.budget = RetryBudget(0.0, 100.0)
        self.live = tuple(rows)
        self.processes = {row.name: Process(self, row) for row in ENTRIES}

    @property
    def pieces(self):
        """Step and piece of each item that was sent to a target."""
        return [
            (item.step, item.piece)
            for _, _, call in self.targets.calls
            for item in call
        ]


async def run_request(clock, stop_ms, stops, joins=(), news_ms=NEWS_MS):
    """Run a request while entries stop; return its refusal and the pieces sent.

    Args:
        clock: Virtual clock.
        stop_ms: When the first entry stops.
        stops: Names of entries that stop, each 50 ms after the one before.
        joins: Names of entries that start shortly before the first stop.
        news_ms: Time after which the others know of a stop.
    """
    fleet = Fleet(clock, [row for row in ENTRIES if row.name not in joins], news_ms)
    name, _ = other_entry()
    running = True

    async def stop(process, delay_ms):
        await clock.sleep_ms(delay_ms)
        await process.stop(lambda: running and process.row.name == name)

    async def join():
        await clock.sleep_ms(max(stop_ms - START_MS, 0))
        fleet.live = tuple(ENTRIES)

    await curio.spawn(join, daemon=True)
    tasks = [
        await curio.spawn(stop, fleet.processes[each], stop_ms + 50 * number)
        for number, each in enumerate(stops)
    ]
    staged = work(clock)
    runner = fleet.processes[name].runner
    refusal = "the announcement was refused"
    if await runner.announce(staged, "a") is not None:
        refusal = await runner.run(staged, "a", StageResults())
    running = False
    for task in tasks:
        await task.join()
    return refusal, fleet.pieces


def failures(**options):
    """Return the moments of a stop at which a request fails, or a piece runs twice."""
    found = {}
    for stop_ms in STOPS_MS:
        refusal, pieces = run_virtual(
            lambda clock, at_ms=stop_ms: run_request(clock, at_ms, **options)
        )
        if refusal is not None or len(pieces) != len(set(pieces)):
            found[stop_ms] = refusal, sorted(pieces)
    return found


NAME, OWNER = other_entry()
(THIRD,) = {row.name for row in ENTRIES} - {NAME, OWNER}


@pytest.mark.parametrize("news_ms", [NEWS_MS, NO_NEWS_MS])
@pytest.mark.parametrize(
    "stops",
    [
        (OWNER,),
        (THIRD,),
        (OWNER, THIRD),
        (OWNER, NAME),
        (NAME, OWNER),
        (OWNER, THIRD, NAME),
        (NAME, OWNER, THIRD),
    ],
)
def test_pieces_run_once_while_entries_stop(stops, news_ms):
    """Guards against pieces that a planned stop cuts off, repeats or refuses."""
    assert failures(stops=stops, news_ms=news_ms) == {}


@pytest.mark.parametrize("stops", [(OWNER,), (OWNER, THIRD), (OWNER, NAME)])
def test_pieces_run_once_while_an_entry_stops_that_has_just_started(stops):
    """Guards against pieces that move to a new owner and end with it."""
    assert failures(stops=stops, joins=(OWNER,)) == {}


def test_result_that_no_poll_has_fetched_yet_holds_the_stop():
    """Guards against pieces that run again since their owner ended between two polls.

    The polls of an entry last 600 ms each, and the next one takes a while to arrive.
    """
    long_grace_ms = 2_000

    async def main(clock, call_ms):
        fleet = Fleet(clock, capacity=attrs.evolve(CAPACITY, call_ms=call_ms))
        fleet.network.delay_ms = (30, 40)
        owner = fleet.processes[OWNER]
        runner = fleet.processes[NAME].runner
        staged = work(clock, (1, 0, 0, 0))
        running = await curio.spawn(runner.run, staged, "a", StageResults())
        await clock.sleep_ms(100)
        await owner.stop(grace_ms=long_grace_ms)
        return await running.join(), fleet.pieces

    for call_ms in range(540, 700, 5):
        refusal, pieces = run_virtual(
            lambda clock, call_ms=call_ms: main(clock, call_ms)
        )
        assert (refusal, pieces) == (None, [(0, 0)]), call_ms


def test_result_that_nobody_fetches_delays_a_stop_for_a_moment_only():
    """Guards against a stop that waits for an entry that has ended itself."""

    async def main(clock):
        fleet = Fleet(clock)
        owner = fleet.processes[OWNER]
        staged = work(clock, (1, 0, 0, 0))
        runner = fleet.processes[NAME].runner
        running = await curio.spawn(runner.run, staged, "a", StageResults())
        await clock.sleep_ms(50)
        await running.cancel()
        del fleet.network.handlers_by_address[fleet.processes[NAME].row.address]
        started_ms = clock.now_ms()
        await owner.stop(grace_ms=10_000)
        return clock.now_ms() - started_ms

    assert run_virtual(main) < 1_000
