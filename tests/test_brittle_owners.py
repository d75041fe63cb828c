"""Tests of brittle targets while the owner of their grants restarts or is cut off."""

import attrs
import curio

from tests.fake_network import FakeNetwork
from wagtailrun.discovery.owners import Owners, ownership_key
from wagtailrun.discovery.target_limits import TargetLimits
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.relay.limits.brittle_slots import GATHER_MS, SETTLED_MS
from wagtailrun.relay.limits.send_grants import (
    FALLBACK_SHARE,
    HEARD_MS,
    GrantClient,
    SendGranter,
)
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

ROW = TargetRow("t1", Address("10.0.0.1", 80), "s", "a", 4, incarnation=3)
LEAST_URGENT = 9


class Fleet:
    """Entries that know each other and one brittle target, in virtual time."""

    def __init__(self, clock, entries=3, max_rejections=0.5):
        self.clock = clock
        self.network = FakeNetwork(clock)
        self.max_rejections = max_rejections
        self.rows = tuple(
            EntryRow(f"e{n}", Address(f"10.8.0.{n}", 7_000), "a", incarnation=1)
            for n in range(entries)
        )
        ranked = Owners(clock, lambda: self.rows)
        self.owner = ranked.preferred(ownership_key("s")).name
        self.others = [row.name for row in self.rows if row.name != self.owner]
        self.clients_by_name = {}
        self.out_of_touch = set()
        self.tasks = []

    async def start(self):
        for row in self.rows:
            await self.start_entry(row)
        return self

    async def start_entry(self, row):
        limits = TargetLimits(self.clock)
        limits.record_brittleness(ROW, self.max_rejections, self.clock.now_ms())
        owners = Owners(self.clock, lambda: self.rows)
        granter = SendGranter(
            self.clock,
            limits,
            lambda service: 1.0 if row.name == self.owner else FALLBACK_SHARE,
            seed=1,
            is_out_of_touch=lambda: row.name in self.out_of_touch,
        )
        link = self.network.link(row.address)
        client = GrantClient(link, row.name, "a", owners, granter, limits)

        async def handle(message):
            return granter.handle(message)

        self.network.handlers_by_address[row.address] = handle
        self.clients_by_name[row.name] = client
        self.tasks.append(await curio.spawn(client.run, daemon=True))

    async def restart(self, name):
        """Replace a process by one that all entries learn of at once."""
        row = next(row for row in self.rows if row.name == name)
        new = attrs.evolve(row, incarnation=row.incarnation + 1)
        self.rows = tuple(new if each is row else each for each in self.rows)
        await self.start_entry(new)

    async def ask(self, name):
        """Return whether an entry is granted a request, which stays in progress."""
        client = self.clients_by_name[name]
        number = client.begin(ROW)
        grant = await client.request(ROW, LEAST_URGENT, number)
        if not grant.granted:
            client.withdraw(ROW, number)
        return grant.granted

    async def send(self, name):
        """Ask for a grant until there is one."""
        while not await self.ask(name):
            await self.clock.sleep_ms(SETTLED_MS)

    def cut_off(self, name):
        """Cut an entry off from the other ones and from the control members."""
        address = next(row.address for row in self.rows if row.name == name)
        for row in self.rows:
            if row.name != name:
                self.network.cut(address, row.address)
        self.out_of_touch.add(name)

    def heal(self):
        self.network.heal()
        self.out_of_touch.clear()

    def counted(self, name):
        """Return the requests in progress that an entry counts at the target."""
        targets = self.clients_by_name[name].granter.slots.targets_by_name
        return targets[ROW.name].count(self.clock.now_ms()) if targets else 0


def play(scenario, **settings):
    async def main(clock):
        fleet = await Fleet(clock, **settings).start()
        result = await scenario(fleet)
        for task in fleet.tasks:
            await task.cancel()
        return result

    return run_virtual(main)


def test_restarted_owner_is_told_what_is_in_progress_before_it_grants():
    """Guards against slots granted twice by an owner that kept its name, not its state.

    Entries stated their requests to the new process up to a second later.
    """

    async def scenario(fleet):
        for name in fleet.others:
            await fleet.send(name)
        await fleet.restart(fleet.owner)
        await fleet.clock.sleep_ms(GATHER_MS)
        return fleet.counted(fleet.owner), len(fleet.others)

    counted, in_progress = play(scenario)
    assert counted == in_progress


def test_owner_that_was_cut_off_leaves_a_target_to_its_successor():
    """Guards against a target that two owners fill, one of them cut off.

    The one that is cut off still reaches the target.
    """

    async def scenario(fleet):
        await fleet.send(fleet.owner)
        await fleet.send(fleet.others[0])
        await fleet.clock.sleep_ms(SETTLED_MS + 1)
        before = await fleet.ask(fleet.owner)
        fleet.cut_off(fleet.owner)
        await fleet.clock.sleep_ms(HEARD_MS + SETTLED_MS)
        return before, await fleet.ask(fleet.owner)

    assert play(scenario) == (True, False)


def test_owner_without_control_members_serves_the_others():
    """Guards against targets that are left idle because no control member replies."""

    async def scenario(fleet):
        for name in fleet.others:
            await fleet.send(name)
        fleet.out_of_touch = {row.name for row in fleet.rows}
        await fleet.clock.sleep_ms(2 * HEARD_MS)
        return await fleet.ask(fleet.owner)

    assert play(scenario)


def test_owner_that_returns_counts_before_it_grants():
    """Guards against grants of an owner that returns beside those of its successor.

    It takes the room that it knew as accepted for free.
    """

    async def scenario(fleet):
        await fleet.send(fleet.owner)
        await fleet.send(fleet.owner)
        client = fleet.clients_by_name[fleet.owner]
        fleet.cut_off(fleet.owner)
        await fleet.clock.sleep_ms(2 * HEARD_MS)
        for number in list(client.held_by_target[ROW.name].numbers):
            await client.end(ROW, number, completed=True)
        await fleet.clock.sleep_ms(SETTLED_MS)
        fleet.heal()
        early = await fleet.ask(fleet.others[0])
        await fleet.clock.sleep_ms(GATHER_MS)
        return early, await fleet.ask(fleet.others[0])

    assert play(scenario) == (False, True)
