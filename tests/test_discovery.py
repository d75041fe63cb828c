"""Tests of discovery: reports, their spread, the text, and how fresh it is."""

import attrs
import curio

from tests.fake_cluster import Cluster
from tests.fake_network import FakeNetwork
from wagtailrun.discovery import ConfigurationFormat, FleetView, Hub, News, NewsMarks
from wagtailrun.discovery.messages import AgedEntry, ShareRows
from wagtailrun.exceptions import FleetTextError
from wagtailrun.gossip_messages import AgedRow, EntryRow, Health
from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import Address
from wagtailrun.registry import Registry
from wagtailrun.routes import RequestLimits, build_route_table
from wagtailrun.virtual_time import run_virtual

HEARTBEAT_MS = 1_200
KEY_GRACE_MS = 5_000
ENTRY = EntryRow("e1", Address("10.0.1.1", 7_000), "a", 1)
ROW = TargetRow("t1", Address("10.0.2.1", 80), "s", "a", 4, incarnation=10, sequence=1)


class PlainFormat(ConfigurationFormat):
    """Any text but one that says that it is bad."""

    def routes(self, revision, text):
        if text == "bad":
            raise FleetTextError(["bad"])
        return build_route_table(
            revision, [], [], [], RequestLimits(), demands_keys=True
        )


class Controls:
    """Three control members with hubs on a fake network, and one entry."""

    def __init__(self, clock, seed=1):
        self.clock = clock
        self.cluster = Cluster(clock, seed)
        self.network = self.cluster.network
        self.hubs = []

    async def start(self):
        await self.cluster.start()
        await self.cluster.wait_leader()
        for node in self.cluster.nodes:
            registry = Registry()
            hub = Hub(
                self.clock,
                self.network.link(node.address),
                registry,
                lambda node=node: node.member,
                node.address,
                HEARTBEAT_MS,
            )
            consensus = self.network.handlers_by_address[node.address]
            self.network.handlers_by_address[node.address] = _both(consensus, hub)
            await curio.spawn(hub.run, daemon=True)
            self.hubs.append(hub)
        return self

    async def entry(self):
        view = FleetView(
            self.clock,
            self.network.link(ENTRY.address),
            ENTRY,
            lambda: [node.address for node in self.cluster.nodes],
            PlainFormat(),
            KEY_GRACE_MS,
        )
        await curio.spawn(view.run, daemon=True)
        return view

    async def put_text(self, revision, text="text"):
        for hub in self.hubs:
            hub.registry.revision = revision
            hub.registry.text = text
            await hub.changed.notify()


def _both(consensus, hub):
    async def handle(message):
        if type(message).__module__.endswith("discovery.messages"):
            return await hub.handle(message)
        return await consensus(message)

    return handle


def run(scenario):
    async def main(clock):
        controls = await Controls(clock).start()
        return await scenario(controls, clock)

    return run_virtual(main)


def test_report_reaches_every_entry_at_once():
    """Guards against a drained target that an entry goes on using."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(500)
        assert [row.name for row in view.targets("s")] == ["t1"]
        await controls.hubs[1].report(attrs.evolve(ROW, sequence=2, leaving=True))
        await clock.sleep_ms(200)
        return view.targets("s")

    assert run(scenario) == []


def test_late_report_does_not_revive_a_leaving_target():
    """Guards against a heartbeat that was delayed behind the one that drains."""

    async def scenario(controls, clock):
        hub = controls.hubs[0]
        await hub.report(attrs.evolve(ROW, sequence=5, leaving=True))
        await hub.report(attrs.evolve(ROW, sequence=4))
        await hub.report(attrs.evolve(ROW, sequence=9))
        leaving = hub.membership.targets_by_name["t1"].leaving
        await hub.report(attrs.evolve(ROW, incarnation=11, sequence=1))
        return leaving, hub.membership.targets_by_name["t1"].leaving

    assert run(scenario) == (True, False)


def test_address_belongs_to_the_target_that_started_last():
    """Guards against work for a target whose address another service has taken."""

    async def scenario(controls, clock):
        hub = controls.hubs[0]
        await hub.report(attrs.evolve(ROW, name="new", service="t", incarnation=20))
        await hub.report(ROW)
        return {
            row.name: row.leaving for row in hub.membership.targets_by_name.values()
        }

    assert run(scenario) == {"new": False, "t1": True}


def test_target_that_leaves_without_draining_is_dropped():
    """Guards against work for a target that said goodbye, or none for its next life."""

    async def scenario(controls, clock):
        hub = controls.hubs[0]
        await hub.report(ROW)
        await hub.leave("t1", 9)
        stays = not hub.membership.targets_by_name["t1"].leaving
        await hub.leave("t1", 10)
        await hub.leave("unknown", 0)
        return stays, hub.membership.targets_by_name["t1"].leaving

    assert run(scenario) == (True, True)


def test_silent_target_is_used_only_if_there_is_no_other():
    """Guards against a fleet without targets when control members hear none."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(6_000)
        alone = [row.name for row in view.targets("s")]
        other = attrs.evolve(ROW, name="t2", address=Address("10.0.2.2", 80))
        await controls.hubs[0].report(other)
        await clock.sleep_ms(500)
        return alone, [row.name for row in view.targets("s")]

    assert run(scenario) == (["t1"], ["t2"])


def test_restarted_member_learns_all_targets():
    """Guards against an entry that is told nothing by a member that started anew."""

    async def scenario(controls, clock):
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(1_000)
        fresh = controls.hubs[2]
        fresh.membership.__init__()
        fresh.epoch += 1
        await clock.sleep_ms(1_500)
        return list(fresh.membership.targets_by_name)

    assert run(scenario) == ["t1"]


def test_freshness_counts_from_the_sending_of_the_poll():
    """Guards against keys that are trusted for longer than they may be."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await clock.sleep_ms(2_000)
        assert view.is_fresh
        last_ms = clock.now_ms()
        for node in controls.cluster.nodes:
            controls.network.cut(ENTRY.address, node.address)
        while view.is_fresh:
            await clock.sleep_ms(10)
        return clock.now_ms() - last_ms

    assert run(scenario) <= KEY_GRACE_MS


def test_minority_confirms_nothing():
    """Guards against revoked keys that run on the smaller side of a partition."""

    async def scenario(controls, clock):
        leader = controls.cluster.leader()
        for node in controls.cluster.nodes:
            if node is not leader:
                controls.network.cut(leader.address, node.address)
                controls.network.cut(ENTRY.address, node.address)
        await clock.sleep_ms(2_000)
        view = await controls.entry()
        await clock.sleep_ms(3_000)
        return view.confirmed_ms

    assert run(scenario) is None


def test_newer_text_is_in_force_at_once_and_older_never_again():
    """Guards against a text that comes late, and against a step back."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.put_text(3)
        await clock.sleep_ms(200)
        before = view.revision
        for hub in controls.hubs:
            hub.registry.revision = 2
        await clock.sleep_ms(1_000)
        return before, view.revision, view.table.version

    assert run(scenario) == (3, 3, 3)


def test_unreadable_text_leaves_keys_unconfirmed():
    """Guards against keys that a text revokes which this entry cannot read."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.put_text(1)
        await clock.sleep_ms(500)
        await controls.put_text(2, "bad")
        await clock.sleep_ms(6_000)
        return view.revision, view.is_fresh

    assert run(scenario) == (1, False)


def test_stopping_entry_is_told_to_the_others():
    """Guards against stage calls left to an entry that is about to end."""

    async def scenario(controls, clock):
        view = await controls.entry()
        other = attrs.evolve(ENTRY, name="e2", address=Address("10.0.1.2", 7_000))
        await controls.hubs[0].handle(ShareRows("x", (), (AgedEntry(other, 0),)))
        await clock.sleep_ms(800)
        names = sorted(row.name for row in view.live_entries())
        gone = attrs.evolve(other, health=Health.DEAD)
        for hub in controls.hubs:
            await hub.handle(ShareRows("x", (), (AgedEntry(gone, 0),)))
        await clock.sleep_ms(400)
        return names, sorted(row.name for row in view.live_entries())

    names, after = run(scenario)
    assert "e1" in names
    assert after == ["e1"]


def test_news_are_only_what_the_entry_lacks():
    """Guards against polls whose size grows with the fleet while nothing changes."""

    async def scenario(controls, clock):
        hub = controls.hubs[0]
        await hub.report(ROW)
        await controls.put_text(1)
        first = hub._news(NewsMarks(), True)
        second = hub._news(first.marks, True)
        return first, second

    first, second = run(scenario)
    assert (len(first.targets), first.text) == (1, "text")
    assert second == News(first.marks, "", True, (), (), first.members)


def test_rows_of_another_member_are_not_echoed():
    """Guards against members that send each other the same rows for ever."""

    async def main(clock):
        network = FakeNetwork(clock)
        cluster = Cluster(clock, 3)
        await cluster.start()
        hub = Hub(
            clock,
            network.link(ENTRY.address),
            Registry(),
            lambda: cluster.nodes[0].member,
            ENTRY.address,
            HEARTBEAT_MS,
        )
        await hub.handle(ShareRows("x", (AgedRow(ROW, 0),)))
        return list(hub.heard_targets.changed_since(0))

    assert run_virtual(main) == []
