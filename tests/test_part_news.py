"""Tests of what owners of placements tell each other of prompt parts, in virtual time.

Load: 10 prompts a second at five entries, with 30 shared parts of 4,000 tokens, at six
engines whose caches outlive the entries.
"""

import random
from collections import Counter

import attrs
import curio
import pytest

from bench.prompt_parts import Engine, ModelPrompt
from tests.fake_network import FakeNetwork
from wagtailrun.codec import decode, encode
from wagtailrun.discovery.owners import Owners, ownership_key
from wagtailrun.discovery.quarantine import Quarantine, digest_part
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.logs.events import PARTS_TAKEN
from wagtailrun.ports.link import Address
from wagtailrun.relay import PromptPart
from wagtailrun.relay.core.placement_messages import (
    EngineParts,
    PlaceRun,
    RunNoted,
    RunOver,
)
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.part_cache import MAX_PARTS
from wagtailrun.relay.placement.part_news import (
    INTERVAL_MS,
    MAX_ENGINES,
    MAX_KNOWN,
    PART_FORMAT,
    RETRY_MS,
    KnownParts,
    PartNews,
)
from wagtailrun.relay.placement.placed_attempts import RUN_LIFETIME_MS
from wagtailrun.relay.placement.service import PlacementClient, PlacementHost
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

SERVICE = "s"
PARTS = [PromptPart(f"d{n}", 4_000) for n in range(30)]
OWN_TOKENS = 300
INTERVAL_OF_PROMPTS_MS = 100
# An entry that stops still places prompts of those that do not know it yet.
NOTICE_MS = 400
DOWN_MS = 1_500


async def no_report():
    """Stand in for the report of crashes to a control member."""


class Process:
    """One run of an entry, which knows nothing as it starts."""

    def __init__(self, fleet, row):
        self.fleet = fleet
        self.row = row
        self.stops = False
        clock = fleet.clock
        self.owners = Owners(clock, lambda: fleet.live)
        self.host = PlacementHost(
            clock,
            TargetChooser(clock, "", 1),
            lambda service: fleet.rows,
            Quarantine(clock),
        )
        link = fleet.network.link(row.address)
        self.client = PlacementClient(link, row.name, self.owners, self.host, no_report)
        self.news = PartNews(
            clock,
            link,
            row.name,
            self.owners,
            self.host.known,
            lambda: self.stops,
        )

    async def start(self):
        self.fleet.network.handlers_by_address[self.row.address] = self.handle
        self.task = await curio.spawn(self.news.run, daemon=True)

    async def handle(self, message):
        return self.host.handle(message)


class Fleet:
    """Entries that place prompts on engines, on a fake network.

    Attributes:
        live: Rows of the entries that all others know.
        reads: Number of reads of each part.
    """

    def __init__(self, clock, entries=5, engines=6):
        self.clock = clock
        self.network = FakeNetwork(clock, delay_ms=(0, 1))
        self.random = random.Random(3)
        self.rows = [
            TargetRow(f"t{n}", Address(f"10.0.0.{n}", 80), SERVICE, "a", 32, 1)
            for n in range(engines)
        ]
        self.engines = {row.name: Engine(row) for row in self.rows}
        self.live = [
            EntryRow(f"e{n}", Address("10.1.0.1", 7_000 + n), "a", 1)
            for n in range(entries)
        ]
        self.processes = {row.name: Process(self, row) for row in self.live}
        self.reads = Counter()
        self.numbers = 0

    async def start(self):
        for process in self.processes.values():
            await process.start()

    def owner(self):
        process = next(iter(self.processes.values()))
        return process.owners.owner(ownership_key(SERVICE)).name

    async def send(self, length_ms):
        """Send prompts at even intervals."""
        until_ms = self.clock.now_ms() + length_ms
        while self.clock.now_ms() < until_ms:
            names = [row.name for row in self.live]
            process = self.processes[self.random.choice(names)]
            part = self.random.choice(PARTS)
            self.numbers += 1
            await curio.spawn(
                self._request, process, part, f"r{self.numbers}", daemon=True
            )
            await self.clock.sleep_ms(INTERVAL_OF_PROMPTS_MS)

    async def _request(self, process, part, name):
        parts = (part, PromptPart(f"{name}-own", OWN_TOKENS))
        tokens = part.tokens + OWN_TOKENS
        message = PlaceRun(name, SERVICE, parts, tokens, (), (), True, may_wait=True)
        placed = await process.client.place(message)
        while placed.part_wait_ms:
            await self.clock.sleep_ms(placed.part_wait_ms)
            placed = await process.client.place(message)
        now_ms = self.clock.now_ms()
        prompt = ModelPrompt(now_ms, (part,), OWN_TOKENS)
        kept, first_ms = self.engines[placed.target].read(prompt, now_ms)
        self.reads[part.name] += not kept
        took_ms = int(first_ms - now_ms)
        await self.clock.sleep_ms(took_ms)
        await process.client.report_end(
            RunOver(name, SERVICE, placed.target, RunOutcome.SUCCEEDED, took_ms)
        )

    async def restart(self, name, notice_ms=NOTICE_MS):
        """Restart an entry; without a notice it is killed."""
        process = self.processes[name]
        process.stops = bool(notice_ms)
        await self.clock.sleep_ms(notice_ms)
        self.live = [row for row in self.live if row.name != name]
        # Its last messages go out.
        await self.clock.sleep_ms(notice_ms)
        await process.task.cancel()
        del self.network.handlers_by_address[process.row.address]
        await self.clock.sleep_ms(DOWN_MS)
        row = attrs.evolve(process.row, incarnation=process.row.incarnation + 1)
        self.processes[name] = Process(self, row)
        await self.processes[name].start()
        self.live = [*self.live, row]


def play(change):
    """Return a fleet after 20 s of prompts, a change beside prompts, and its reads.

    Returns:
        The reads of parts since the change began, and how many were placed.
    """

    async def main(clock):
        fleet = Fleet(clock)
        await fleet.start()
        await fleet.send(20_000)
        fleet.reads.clear()
        sending = await curio.spawn(fleet.send, 25_000)
        await change(fleet)
        await sending.join()
        return fleet

    return run_virtual(main)


async def roll(fleet):
    for name in sorted(fleet.processes):
        await fleet.restart(name)
        await fleet.clock.sleep_ms(300)


async def kill_owner(fleet):
    await fleet.restart(fleet.owner(), notice_ms=0)


async def freeze_owner(fleet):
    """Let the owner stand still, so that others turn to the next one for a while."""
    row = next(row for row in fleet.live if row.name == fleet.owner())
    fleet.network.frozen.add(row.address)
    await fleet.clock.sleep_ms(3_000)
    fleet.network.frozen.discard(row.address)


def test_rolling_restart_has_few_parts_read_again():
    """Guards against an owner that knows nothing of caches that engines kept.

    Without the news, 26 parts were read again.
    """
    fleet = play(roll)
    assert sum(fleet.reads.values()) <= len(PARTS) // 6


@pytest.mark.parametrize("change", [kill_owner, freeze_owner])
def test_new_owner_learns_from_the_entries_what_engines_hold(change):
    """Guards against a hand-over that needs the former owner.

    Without the news, 27 and 16 parts were read again.
    """
    fleet = play(change)
    assert sum(fleet.reads.values()) <= len(PARTS) // 3


def test_without_a_change_nothing_is_told_again():
    """Guards against messages at each look."""

    async def main(clock):
        fleet = Fleet(clock)
        await fleet.start()
        await fleet.send(5_000)
        await clock.sleep_ms(2_000)
        before = fleet.network.messages
        await clock.sleep_ms(20 * INTERVAL_MS)
        return fleet.network.messages - before

    assert run_virtual(main) == 0


def held(*engines, **fields):
    return RunOver("", SERVICE, "", RunOutcome.OVER, held=engines, **fields)


def digest(name):
    return int(digest_part(name), 16)


def take(message):
    """Return the tokens that an owner takes to be held at t0, after a message."""

    async def main(clock):
        fleet = Fleet(clock)
        host = next(iter(fleet.processes.values())).host
        reply = host.handle(message)
        chooser = host.chooser
        parts = (PromptPart(digest_part("d0"), 4_000), PromptPart("own", 1))
        found = chooser.estimate(fleet.rows[0], parts, 4_001).cached_tokens
        return reply, found, host.known.untold(SERVICE, ("e9", 1))

    return run_virtual(main)


def test_parts_that_engines_hold_are_taken_over():
    reply, found, known = take(
        held(EngineParts("t0", 1, (digest("d0"),)), part_format=PART_FORMAT)
    )
    assert (reply, found) == (RunNoted(True), 4_000)
    assert known == [("t0", 1, digest_part("d0"))]


@pytest.mark.parametrize(
    "message",
    [
        held(EngineParts("t0", 1, (digest("d0"),)), part_format=PART_FORMAT + 1),
        held(EngineParts("t0", 1, (digest("d0"),))),
        held(EngineParts("gone", 1, (digest("d0"),)), part_format=PART_FORMAT),
        held(EngineParts("t0", 2, (digest("d0"),)), part_format=PART_FORMAT),
        held(EngineParts("t0", 0, (digest("d0"),)), part_format=PART_FORMAT),
        held(
            EngineParts("t0", 1, (digest("d0"),) * (MAX_PARTS + 1)),
            part_format=PART_FORMAT,
        ),
        held(
            *[EngineParts("gone", 1, ())] * MAX_ENGINES,
            EngineParts("t0", 1, (digest("d0"),)),
            part_format=PART_FORMAT,
        ),
    ],
    ids=["later", "earlier", "gone", "restarted", "older", "long", "many"],
)
def test_parts_that_cannot_be_used_are_ignored_and_counted(message, logged):
    """Guards against prompts that go to an engine for parts that it does not have."""
    _, found, known = take(message)
    assert found == 0
    assert known == []
    count = sum(len(engine.parts) for engine in message.held)
    (fields,) = [fields for event, fields in logged if event is PARTS_TAKEN]
    assert (fields["parts"], fields["ignored"]) == (0, count)


def test_message_of_an_earlier_build_states_nothing():
    """Guards against fields that an earlier build would have to know."""
    old = decode(encode(RunOver("r", SERVICE, "t0", RunOutcome.OVER)))
    assert (old.held, old.part_format) == ((), 0)
    new = held(EngineParts("t0", 1, (2**64 - 1,)), part_format=PART_FORMAT)
    assert decode(encode(new)) == new


def test_known_parts_take_limited_memory():
    known = KnownParts()
    row = TargetRow("t0", Address("10.0.0.1", 80), SERVICE, "a", 32)
    for number in range(MAX_KNOWN + 100):
        known.record(row, [f"{number:016x}"])
        known.record(row, [f"{number:016x}"], (f"e{number % 9}", 1))
    keys = known.untold(SERVICE, ("other", 1))
    assert len(keys) == MAX_KNOWN
    assert keys[-1][2] == f"{MAX_KNOWN + 99:016x}"
    known.retain({"t0"}, {"another"})
    assert not known.parts_by_service


def test_owner_that_does_not_reply_is_not_asked_at_each_look():
    """Guards against a call that times out five times a second."""

    async def main(clock):
        fleet = Fleet(clock)
        process = next(
            process
            for name, process in fleet.processes.items()
            if name != fleet.owner()
        )
        process.host.known.record(fleet.rows[0], [digest_part("d0")])
        before = fleet.network.messages
        for _ in range(10):
            await process.news.tell()
            await clock.sleep_ms(INTERVAL_MS)
        return fleet.network.messages - before

    assert run_virtual(main) <= 3


def test_owner_that_knows_no_targets_yet_is_told_again():
    """Guards against news that an owner gets before its first list of targets.

    It is live for the others as soon as a control member has its first poll, and has
    the reply to that poll up to 400 ms later. What it could not use counted as told.
    """

    async def main(clock):
        fleet = Fleet(clock)
        owner = fleet.processes[fleet.owner()]
        teller = next(p for p in fleet.processes.values() if p is not owner)
        teller.host.known.record(fleet.rows[0], [digest_part("d0")])
        rows, fleet.rows = fleet.rows, []
        await fleet.start()
        await clock.sleep_ms(2 * INTERVAL_MS)
        fleet.rows = rows
        await clock.sleep_ms(2 * RETRY_MS)
        parts = (PromptPart(digest_part("d0"), 4_000), PromptPart("own", 1))
        return owner.host.chooser.estimate(rows[0], parts, 4_001).cached_tokens

    assert run_virtual(main) == 4_000


@pytest.mark.parametrize("is_restarted", [False, True])
def test_answer_of_an_engine_that_has_restarted_since_tells_nothing(is_restarted):
    """Load: an engine that starts again between its first event and the report of it.

    Guards against parts that the new process is taken to hold, as it has the name of
    the former one.
    """

    async def main(clock):
        fleet = Fleet(clock, engines=1)
        await fleet.start()
        process = next(
            process
            for name, process in fleet.processes.items()
            if name != fleet.owner()
        )
        parts = (PARTS[0], PromptPart("own", OWN_TOKENS))
        message = PlaceRun("r", SERVICE, parts, 4_300, (), (), True)
        placed = await process.client.place(message)
        if is_restarted:
            fleet.rows = [attrs.evolve(row, incarnation=2) for row in fleet.rows]
        await process.client.report_end(
            RunOver("r", SERVICE, placed.target, RunOutcome.SUCCEEDED, 100)
        )
        return process.host.known.untold(SERVICE, ("other", 1))

    known = run_virtual(main)
    assert known == ([] if is_restarted else [("t0", 1, digest_part("d0"))])


def test_attempts_whose_ends_are_not_reported_take_limited_memory():
    """Load: callers that leave while a closed connection is probed, so no end is known.

    Guards against what an entry keeps of them for ever, as the owner does not.
    """

    async def main(clock):
        fleet = Fleet(clock)
        await fleet.start()
        process = next(iter(fleet.processes.values()))
        for number in range(300):
            parts = (PARTS[0], PromptPart(f"r{number}-own", OWN_TOKENS))
            message = PlaceRun(f"r{number}", SERVICE, parts, 4_300, (), (), True)
            await process.client.place(message)
            await clock.sleep_ms(1_000)
        return len(process.client.attempts)

    assert run_virtual(main) <= RUN_LIFETIME_MS // 1_000


def test_pauses_of_services_that_are_gone_are_dropped():
    """Load: a service whose owner does not reply is removed from the configuration.

    Guards against a time for each service that was ever configured.
    """

    async def main(clock):
        fleet = Fleet(clock)
        process = next(
            process
            for name, process in fleet.processes.items()
            if name != fleet.owner()
        )
        process.host.known.record(fleet.rows[0], [digest_part("d0")])
        await process.news.tell()
        paused = len(process.news.retry_at_ms_by_service)
        process.host.known.retain((), ())
        await process.news.tell()
        return paused, len(process.news.retry_at_ms_by_service)

    assert run_virtual(main) == (1, 0)
