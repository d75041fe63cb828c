"""Tests of engine placement by the owner of a service, in virtual time."""

import attrs
import curio
import pytest

from tests.fake_network import FakeNetwork
from wagtailrun.codec import decode, encode
from wagtailrun.discovery.owners import Owners
from wagtailrun.discovery.quarantine import Quarantine
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.relay import PromptPart
from wagtailrun.relay.core.placement_messages import PlaceRun, RunOver
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.service import (
    RUN_LIFETIME_MS,
    PlacementClient,
    PlacementHost,
)
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

ENTRIES = [EntryRow(f"e{n}", Address("10.1.0.1", 7_000 + n), "a", n) for n in range(3)]
ROWS = [TargetRow(f"t{n}", Address(f"10.0.0.{n}", 80), "s", "a", 64) for n in range(3)]


async def no_report():
    """Stand in for the report of crashes to a control member."""


class Fleet:
    """Three entries on a fake network with three engines."""

    def __init__(self, clock):
        self.network = FakeNetwork(clock)
        self.hosts = {}
        self.placements = {}
        for row in ENTRIES:
            quarantine = Quarantine(clock)
            chooser = TargetChooser(clock, "", 1)
            host = PlacementHost(clock, chooser, lambda s: ROWS, quarantine)
            self.network.handlers_by_address[row.address] = self.serve(host)
            self.hosts[row.name] = host
            link = self.network.link(row.address)
            owners = Owners(clock, lambda: ENTRIES)
            self.placements[row.name] = PlacementClient(
                link, row.name, owners, host, no_report
            )

    @staticmethod
    def serve(host):
        async def handle(message):
            return host.handle(message)

        return handle

    def owner(self):
        return next(iter(self.placements.values())).owners.owner("engines of s")


def prompt(name, tokens=18_000, begin=True):
    parts = (PromptPart(f"{name}-own", tokens),)
    return PlaceRun(name, "s", parts, tokens, (), (), begin)


@pytest.mark.parametrize("begin", [True, False])
def test_prompts_of_different_entries_go_to_different_engines(begin):
    """Load: long prompts at many entries at once.

    Guards against prompts that queue at one engine because no entry knows what the
    others sent.
    """

    async def main(clock):
        fleet = Fleet(clock)
        placed = []
        for name, placement in fleet.placements.items():
            placed.append((await placement.place(prompt(name, begin=begin))).target)
        return placed

    placed = run_virtual(main)
    assert (len(set(placed)) == 3) == begin or not begin


def test_entry_chooses_an_engine_when_the_owner_is_unresponsive():
    """Guards against requests that wait for an entry that has failed."""

    async def main(clock):
        fleet = Fleet(clock)
        owner = fleet.owner()
        name = next(row.name for row in ENTRIES if row.name != owner.name)
        own_row = next(row for row in ENTRIES if row.name == name)
        fleet.network.cut(own_row.address, owner.address)
        started_ms = clock.now_ms()
        placed = await fleet.placements[name].place(prompt("r"))
        first_ms = clock.now_ms() - started_ms
        again = await fleet.placements[name].place(prompt("q"))
        return placed.target, first_ms, again.target

    target, first_ms, again = run_virtual(main)
    assert target
    assert again
    assert first_ms <= 200


def test_attempt_that_follows_at_the_same_engine_before_an_end_is_known():
    """Load: engines that are paused or limited for a moment.

    The end of an attempt that was not sent is reported in the background, so that the
    next attempt of the request, at the same engine, may be placed before. Guards
    against an engine that counts one request more forever, and against an end that is
    taken for that of the next attempt.
    """

    async def main(clock):
        chooser = TargetChooser(clock, "", 1)
        host = PlacementHost(clock, chooser, lambda s: ROWS[:1], Quarantine(clock))
        in_flight = []
        for _ in range(3):
            host.handle(prompt("r"))
        over = RunOver("r", "s", "t0", RunOutcome.OVER)
        for _ in range(3):
            assert host.handle(over).known
            in_flight.append(chooser.health.states_by_name["t0"].in_flight)
        assert not host.handle(over).known
        return in_flight

    assert run_virtual(main) == [1, 1, 0]


@pytest.mark.parametrize("outcome", [o for o in RunOutcome if o is not RunOutcome.OVER])
def test_outcome_of_an_attempt_counts_if_the_end_of_an_earlier_one_is_lost(outcome):
    """Load: an owner whose reply to a placement was late, so that no end is reported.

    Guards against an engine that counts one request more than it has, and against an
    outcome that is lost: a prompt that an engine answered would stay suspected.
    """

    async def main(clock):
        chooser = TargetChooser(clock, "", 1)
        host = PlacementHost(clock, chooser, lambda s: ROWS[:1], Quarantine(clock))
        for _ in range(2):
            host.handle(prompt("r"))
        host.handle(RunOver("r", "s", "t0", outcome, 100))
        in_flight = chooser.health.states_by_name["t0"].in_flight
        late = host.handle(RunOver("r", "s", "t0", RunOutcome.OVER))
        return in_flight, chooser.health.states_by_name["t0"].in_flight, late.known

    assert run_virtual(main) == (0, 0, False)


def test_ends_are_reported_to_the_owner():
    """Guards against engines that seem full forever, and lost failure reports."""

    async def main(clock):
        fleet = Fleet(clock)
        owner = fleet.owner().name
        name = next(row.name for row in ENTRIES if row.name != owner)
        targets = []
        for number in range(6):
            placed = await fleet.placements[name].place(prompt(f"r{number}", 100))
            targets.append(placed.target)
            over = RunOver(f"r{number}", "s", placed.target, RunOutcome.FAILED)
            await fleet.placements[name].report_end(over)
            await clock.sleep_ms(50)
        return fleet.hosts[owner].runs_by_key, len(set(targets))

    runs, engines = run_virtual(main)
    assert runs == {}
    assert engines == 3


def test_runs_without_a_reported_end_expire():
    """Guards against engines that stay unused after an entry failed with its runs."""

    async def main(clock):
        host = Fleet(clock).hosts["e0"]
        host.handle(prompt("lost"))
        await clock.sleep_ms(RUN_LIFETIME_MS + 1)
        host.handle(prompt("new"))
        await curio.sleep(0)
        return [key[0] for key in host.runs_by_key]

    assert run_virtual(main) == ["new"]


def test_margin_of_a_route_covers_its_late_first_events():
    """Load: a burst that fills all queues of the stages.

    Each request queues for as long as its estimate allows, so without a margin for the
    usual error it is late. Guards against that, and against a margin from the errors of
    another route.
    """

    async def main(clock):
        host = Fleet(clock).hosts["e0"]
        for number in range(40):
            name = f"r{number}"
            placed = host.handle(prompt(name))
            over = RunOver(name, "s", placed.target, RunOutcome.SUCCEEDED, 400)
            over = attrs.evolve(over, route="long", error_ms=250)
            assert host.handle(over).known
            await clock.sleep_ms(100)
        plan = prompt("last", begin=False)
        return [
            host.handle(attrs.evolve(plan, route=name)).margin_ms
            for name in ("long", "other")
        ]

    assert run_virtual(main) == [250, 0]


def test_owner_places_a_resumed_stream_at_its_version():
    """Guards against an owner that continues a stream at another software version."""

    async def main(clock):
        rows = [
            attrs.evolve(row, software_version=version)
            for row, version in zip(ROWS, ["v1", "v2", "v1"], strict=True)
        ]
        chooser = TargetChooser(clock, "", 1)
        host = PlacementHost(clock, chooser, lambda s: rows, Quarantine(clock))
        resumed = attrs.evolve(prompt("a"), software_version="v2")
        placed = {
            host.handle(attrs.evolve(resumed, request_id=f"r{n}")).target
            for n in range(6)
        }
        gone = host.handle(attrs.evolve(resumed, software_version="v3")).target
        return placed, gone

    assert run_virtual(main) == ({"t1"}, "")


def test_huge_prompts_do_not_stop_placement():
    """Load: prompts whose callers state a billion tokens each, and a sound one.

    Guards against an owner whose replies to all entries cannot be sent.
    """

    async def main(clock):
        fleet = Fleet(clock)
        host = fleet.hosts[fleet.owner().name]
        # Engines under load; the learned time depends on what callers state, too.
        host.chooser.models_by_service["s"].ms_per_token = 10.0
        replies = [host.handle(prompt(f"huge-{n}", 10**9 - 1)) for n in range(6)]
        replies.append(host.handle(prompt("sound")))
        sent = [decode(encode(reply)) for reply in replies]
        return replies, sent

    replies, sent = run_virtual(main)
    assert sent == replies
    assert sent[-1].target


def test_huge_prompt_does_not_occupy_an_engine_for_hours():
    """Load: one prompt at each engine whose caller states a billion tokens.

    Guards against a caller after whose requests no prompt is admitted for hours.
    """

    async def main(clock):
        fleet = Fleet(clock)
        host = fleet.hosts[fleet.owner().name]
        for number in range(3):
            host.handle(prompt(f"huge-{number}", 10**9 - 1))
        await clock.sleep_ms(RUN_LIFETIME_MS)
        return host.handle(prompt("sound"))

    placed = run_virtual(main)
    assert placed.target
    assert placed.expected_ms < 1_000
