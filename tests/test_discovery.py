"""Tests of discovery: reports, their distribution, and the fleet configuration."""

import attrs
import curio
import pytest

from tests.fake_cluster import Cluster
from tests.fake_network import FakeNetwork
from wagtailrun.adapters.tcp_link import MAX_FRAME_BYTES
from wagtailrun.codec import encode
from wagtailrun.discovery import ConfigurationFormat, FleetView, News, NewsMarks
from wagtailrun.discovery.hub import ENTRY_TIMEOUT_MS, Hub
from wagtailrun.discovery.messages import (
    AgedEntry,
    PollNews,
    ReportCrashes,
    ReportLeaving,
    ReportLimits,
    ShareRows,
    StreamOrigin,
)
from wagtailrun.discovery.stream_origins import ORIGIN_LIFETIME_MS
from wagtailrun.exceptions import FleetTextError, PeerUnreachable
from wagtailrun.gossip.messages import AgedRow, EntryRow, Health
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.registry.state import Registry
from wagtailrun.routes import RequestLimits, build_route_table
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

HEARTBEAT_MS = 1_200
KEY_GRACE_MS = 5_000
APPLY_LIMIT_MS = 2_500
ENTRY = EntryRow("e1", Address("10.0.1.1", 7_000), "a", 1)
ROW = TargetRow("t1", Address("10.0.2.1", 80), "s", "a", 4, incarnation=10, sequence=1)


class PlainFormat(ConfigurationFormat):
    """Accepts every configuration except the text "bad"."""

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
            self.network.handlers_by_address[node.address] = _channel_handler(
                consensus, hub
            )
            await curio.spawn(hub.run, daemon=True)
            self.hubs.append(hub)
        return self

    def view(self, row):
        """Return the view of an entry, which is not updated yet."""
        return FleetView(
            self.clock,
            self.network.link(row.address),
            row,
            lambda: [node.address for node in self.cluster.nodes],
            PlainFormat(),
            KEY_GRACE_MS,
            APPLY_LIMIT_MS,
        )

    async def entry(self):
        view = self.view(ENTRY)
        await curio.spawn(view.run, daemon=True)
        return view

    async def put_text(self, revision, text="text"):
        for hub in self.hubs:
            hub.registry.revision = revision
            hub.registry.text = text
            await hub.changed.notify()


def _channel_handler(consensus, hub):
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
    """Guards against an entry that keeps using a drained target."""

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
    """Guards against a delayed heartbeat that arrives after the one that drains."""

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
    """Guards against work for a target whose address now belongs to another service."""

    async def scenario(controls, clock):
        hub = controls.hubs[0]
        await hub.report(attrs.evolve(ROW, name="new", service="t", incarnation=20))
        await hub.report(ROW)
        return {
            row.name: row.leaving for row in hub.membership.targets_by_name.values()
        }

    assert run(scenario) == {"new": False, "t1": True}


def test_target_that_leaves_without_draining_is_dropped():
    """Guards against work for a target that has left.

    Also guards against an old incarnation whose goodbye removes the next one.
    """

    async def scenario(controls, clock):
        hub = controls.hubs[0]
        await hub.report(ROW)
        await hub.leave("t1", 9)
        stays = not hub.membership.targets_by_name["t1"].leaving
        await hub.leave("t1", 10)
        await hub.leave("unknown", 0)
        return stays, hub.membership.targets_by_name["t1"].leaving

    assert run(scenario) == (True, True)


def test_restarted_member_passes_on_that_a_target_left():
    """Guards against a target that left and is used again or still.

    The member that is told has just been restarted and does not know the target; the
    entry and the other members do, and a report of before arrives once more.
    """

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(1_000)
        before = [row.name for row in view.targets("s")]
        fresh = controls.hubs[2]
        fresh.membership.__init__()
        fresh.epoch += 1
        refused = await fresh.leave("t1", 0)
        accepted = await fresh.leave("t1", 10)
        await clock.sleep_ms(500)
        after = [row.name for row in view.targets("s")]
        await fresh.report(attrs.evolve(ROW, sequence=9))
        await clock.sleep_ms(1_500)
        rows = [hub.membership.targets_by_name["t1"] for hub in controls.hubs]
        late = [row.name for row in view.targets("s")]
        return before, refused, accepted, after, late, [row.leaving for row in rows]

    expected = (["t1"], False, True, [], [], [True, True, True])
    assert run(scenario) == expected


def test_silent_target_is_used_only_if_there_is_no_other():
    """Guards against an entry without targets when control members get no reports."""

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
    """Guards against a restarted member that has no targets to send to entries."""

    async def scenario(controls, clock):
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(1_000)
        fresh = controls.hubs[2]
        fresh.membership.__init__()
        fresh.epoch += 1
        await clock.sleep_ms(1_500)
        return list(fresh.membership.targets_by_name)

    assert run(scenario) == ["t1"]


@pytest.mark.parametrize("reports", [True, False])
def test_target_that_ended_as_all_members_restarted_is_not_used(reports):
    """Guards against a target that is used for ever, as no member knows that it ended.

    Without reports of any target the entry goes on with those that it knows.
    """
    other = attrs.evolve(ROW, name="t2", address=Address("10.0.2.2", 80))

    async def scenario(controls, clock):
        view = await controls.entry()
        for row in (ROW, other):
            await controls.hubs[0].report(row)
        await clock.sleep_ms(1_000)
        for hub in controls.hubs:
            hub.membership.__init__()
            hub.reported_targets.__init__()
            hub.peers_by_address.clear()
            hub.epoch += 1
        used = []
        for number in range(40):
            if reports:
                newer = attrs.evolve(other, sequence=2 + number)
                await controls.hubs[0].report(newer)
            await clock.sleep_ms(HEARTBEAT_MS)
            used.append([row.name for row in view.targets("s")])
        # It is used again once it reports.
        await controls.hubs[0].report(attrs.evolve(ROW, sequence=99))
        await clock.sleep_ms(1_000)
        return used[0], used[-1], "t1" in [row.name for row in view.targets("s")]

    last = ["t2"] if reports else ["t1", "t2"]
    assert run(scenario) == (["t1", "t2"], last, True)


def test_entry_whose_clock_was_set_back_between_two_starts_is_known_again():
    """Guards against an entry that nobody knows until its clock has caught up.

    An incarnation begins with the wall time of the start and is kept nowhere.
    """
    before = attrs.evolve(ENTRY, incarnation=100)

    async def scenario(controls, clock):
        first = await curio.spawn(controls.view(before).run, daemon=True)
        await clock.sleep_ms(3_000)
        known = [hub.entries_by_name["e1"].incarnation for hub in controls.hubs]
        await first.cancel()
        await curio.spawn(controls.view(ENTRY).run, daemon=True)
        await clock.sleep_ms(2 * ENTRY_TIMEOUT_MS)
        rows = [hub.entries_by_name.get("e1") for hub in controls.hubs]
        return known, [row and row.incarnation for row in rows]

    assert run(scenario) == ([100] * 3, [1] * 3)


def test_many_long_rows_reach_a_restarted_member():
    """Guards against rows that together fit no frame, so that none arrives."""
    rows = [
        attrs.evolve(
            ROW,
            name=f"t{number}-{'n' * 240}",
            address=Address(f"10.9.{number // 250}.{number % 250 + 1}", 80),
            service="\U0001f600" * 256,
            data_centre="\U0001f600" * 256,
            software_version="\U0001f600" * 128,
        )
        for number in range(4_500)
    ]

    async def scenario(controls, clock):
        first, second = controls.hubs[:2]
        for row in rows:
            first.membership.put(row, clock.now_ms())
            first.reported_targets.record_change(row.name)
        sizes = []
        call = first.link.call

        async def measure(address, message, timeout_ms):
            sizes.append(len(encode(message)))
            return await call(address, message, timeout_ms)

        first.link.call = measure
        await clock.sleep_ms(1_500)
        assert max(sizes) <= MAX_FRAME_BYTES
        assert len(second.membership.targets_by_name) == len(rows)

    run(scenario)


def test_freshness_counts_from_the_sending_of_the_poll():
    """Guards against keys that are accepted after their grace period."""

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


def test_member_address_that_cannot_be_read_stops_no_entry(monkeypatch):
    """Guards against an entry that never applies the news of a member again."""
    make_update = Hub._make_update

    def with_odd_members(hub, *arguments):
        news = make_update(hub, *arguments)
        odd = ("nowhere:80", "10.0.0.1:x")
        return attrs.evolve(news, members=odd + news.members)

    monkeypatch.setattr(Hub, "_make_update", with_odd_members)

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(1_500)
        assert view.is_fresh
        assert [row.name for row in view.targets("s")] == ["t1"]
        assert set(view.control_members.addresses) == {
            n.address for n in controls.cluster.nodes
        }

    run(scenario)


def test_minority_does_not_confirm():
    """Guards against revoked keys that the minority of a partition still accepts."""

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


def test_newer_configuration_is_applied_at_once_and_an_older_one_never():
    """Guards against a configuration that is applied late or undone by an older one."""

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
    """Guards against use of keys that an unreadable configuration may have revoked."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.put_text(1)
        await clock.sleep_ms(500)
        await controls.put_text(2, "bad")
        await clock.sleep_ms(6_000)
        return view.revision, view.is_fresh

    assert run(scenario) == (1, False)


def test_entry_goes_on_after_a_text_that_its_parser_fails_at(monkeypatch):
    """Guards against an entry that stops following, or fetches one text for ever."""
    fetched = []

    def parse(self, revision, text):
        fetched.append(revision)
        if text == "bad":
            raise RecursionError("too deep")
        return build_route_table(
            revision, [], [], [], RequestLimits(), demands_keys=True
        )

    monkeypatch.setattr(PlainFormat, "routes", parse)

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.put_text(1)
        await clock.sleep_ms(500)
        await controls.put_text(2, "bad")
        await clock.sleep_ms(1_000)
        assert (view.revision, view.unreadable_revision) == (1, 2)
        await controls.hubs[0].report(ROW)
        await controls.put_text(3)
        await clock.sleep_ms(1_000)
        assert (view.revision, [row.name for row in view.targets("s")]) == (3, ["t1"])
        assert fetched == [1, 2, 3]

    run(scenario)


def test_stopping_entry_is_reported_to_the_others():
    """Guards against stage calls that are left to a stopping entry."""

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


def test_stop_of_an_entry_is_known_at_all_members_at_once():
    """Guards against work for an entry that stops, from entries at other members.

    They learned of it when the entry had not polled for 2 s.
    """

    async def scenario(controls, clock):
        view = await controls.entry()
        await clock.sleep_ms(1_000)
        before = [sorted(hub.entries_by_name) for hub in controls.hubs]
        await view.announce_stop()
        await clock.sleep_ms(100)
        at_once = [sorted(hub.entries_by_name) for hub in controls.hubs]
        # It goes on with its polls until it ends.
        await clock.sleep_ms(3_000)
        later = [sorted(hub.entries_by_name) for hub in controls.hubs]
        return before, at_once, later

    before, at_once, later = run(scenario)
    assert before == [["e1"]] * 3
    assert at_once == later == [[]] * 3


@pytest.mark.parametrize("member", range(3))
def test_stop_of_an_entry_is_known_although_a_member_stops_with_it(member):
    """Guards against a stop that is told only to a member that has ended."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await clock.sleep_ms(1_000)
        node = controls.cluster.nodes[member]
        del controls.network.handlers_by_address[node.address]
        await view.announce_stop()
        await clock.sleep_ms(600)
        live = [hub for hub in controls.hubs if hub.address != node.address]
        return [sorted(hub.entries_by_name) for hub in live]

    assert run(scenario) == [[]] * 2


@pytest.mark.parametrize("member", range(3))
def test_entries_learn_at_once_that_another_one_was_started_again(member):
    """Guards against state that entries told a process which has lost it.

    The new process has the name and the address of the earlier one.
    """

    async def scenario(controls, clock):
        view = await controls.entry()
        await clock.sleep_ms(1_000)
        other = attrs.evolve(ENTRY, name="e2", address=Address("10.0.1.2", 7_000))
        incarnations = []
        for incarnation in (4, 5):
            row = attrs.evolve(other, incarnation=incarnation)
            await controls.hubs[member].handle(PollNews(row, NewsMarks(), 0))
            await clock.sleep_ms(100)
            live = {row.name: row for row in view.live_entries()}
            incarnations.append(live["e2"].incarnation if "e2" in live else None)
        return incarnations

    assert run(scenario) == [4, 5]


def test_updates_contain_only_what_the_entry_lacks():
    """Guards against replies that grow with the fleet while nothing changes."""

    async def scenario(controls, clock):
        hub = controls.hubs[0]
        await hub.report(ROW)
        await controls.put_text(1)
        first = hub._make_update(NewsMarks(), True, fetches_text=False)
        second = hub._make_update(first.marks, True, fetches_text=False)
        return first, second

    first, second = run(scenario)
    assert (len(first.targets), first.text) == (1, "text")
    assert second == News(
        first.marks, "", True, (), (), first.members, remembers_versions=True
    )


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
        return list(hub.reported_targets.changed_since(0))

    assert run_virtual(main) == []


def test_all_targets_arrive_over_a_slow_link():
    """Guards against a reply with all targets that never fits into its time limit.

    Pattern: an entry without state, 3,000 targets, and a link that needs 6 s for them.
    """

    async def scenario(controls, clock):
        controls.network.limit_rate(ENTRY.address, 100)
        for hub in controls.hubs:
            hub.target_timeout_ms = 60_000
        for number in range(3_000):
            address = Address(f"10.1.{number // 250}.{number % 250}", 80)
            row = attrs.evolve(ROW, name=f"i-{number:010}", address=address)
            await controls.hubs[0].report(row)
        view = await controls.entry()
        await clock.sleep_ms(8_000)
        return len(view.targets("s")), view.is_fresh

    assert run(scenario) == (3_000, True)


class PartlyDeadLink(PeerLink):
    """Link to five members, of which the two that are asked first do not answer."""

    def __init__(self, clock):
        self.clock = clock
        self.asked = []

    async def call(self, address, message, timeout_ms):
        if address not in self.asked:
            self.asked.append(address)
        if address in self.asked[:2]:
            await self.clock.sleep_ms(timeout_ms)
            raise PeerUnreachable(f"no reply from {address}")
        await self.clock.sleep_ms(message.wait_ms)
        return News(NewsMarks(epoch=1), confirmed=True)


def test_entry_finds_a_live_member_among_dead_ones():
    """Guards against an entry that asks two dead members in turn for ever.

    Found by a hunted day of sampul-route-grown: its two first members had lost power.
    """

    async def main(clock):
        link = PartlyDeadLink(clock)
        seeds = [Address(f"10.0.0.{number}", 7_000) for number in range(1, 6)]
        view = FleetView(
            clock,
            link,
            ENTRY,
            lambda: seeds,
            PlainFormat(),
            KEY_GRACE_MS,
            APPLY_LIMIT_MS,
        )
        await curio.spawn(view.run, daemon=True)
        await clock.sleep_ms(APPLY_LIMIT_MS)
        return view.confirmed_ms is not None

    assert run_virtual(main)


def test_target_that_tells_an_entry_that_it_leaves_is_dropped_everywhere():
    """Guards against other entries that use a target until its heartbeat says so."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(500)
        before = view.row_at(ROW.address)
        await view.mark_leaving(ROW)
        at_once = view.targets("s")
        await clock.sleep_ms(200)
        members = [
            hub.membership.targets_by_name["t1"].leaving for hub in controls.hubs
        ]
        await controls.hubs[0].report(attrs.evolve(ROW, sequence=9))
        await clock.sleep_ms(200)
        late = view.targets("s")
        await controls.hubs[0].report(attrs.evolve(ROW, incarnation=11))
        await clock.sleep_ms(500)
        return (
            before,
            at_once,
            members,
            late,
            [r.incarnation for r in view.targets("s")],
        )

    expected = (ROW, [], [True, True, True], [], [11])
    assert run(scenario) == expected


def test_entry_that_is_cut_off_keeps_to_what_a_target_told_it():
    """Guards against a target that comes back with rows of before."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(500)
        for node in controls.cluster.nodes:
            controls.network.cut(ENTRY.address, node.address)
        await view.mark_leaving(ROW)
        await clock.sleep_ms(5_000)
        controls.network.heal()
        await controls.hubs[0].report(attrs.evolve(ROW, sequence=9))
        await clock.sleep_ms(5_000)
        return view.targets("s"), view.is_leaving(ROW), view.has_left("t1")

    assert run(scenario) == ([], True, True)


def test_entry_without_observations_reports_nothing():
    """Guards against messages that members of an earlier version cannot read.

    They would be avoided for it, again and again.
    """

    async def scenario(controls, clock):
        reports = []
        for hub in controls.hubs:
            hub.handle = _recorder(hub.handle, reports)
        await controls.entry()
        await clock.sleep_ms(3_000)
        return reports

    assert run(scenario) == []


def _recorder(handle, reports):
    async def record(message):
        if isinstance(message, ReportCrashes | ReportLimits):
            reports.append(message)
        return await handle(message)

    return record


def test_stream_goes_on_only_where_its_version_is_certain():
    """Guards against a stream that goes on at another software version.

    A target may be started again under its name with another version between the
    choice and the first event; then it is not known which version sent the event.
    """

    async def scenario(controls, clock):
        view = await controls.entry()
        began = attrs.evolve(ROW, software_version="v1")
        others = [
            attrs.evolve(
                began,
                name=name,
                address=Address(f"10.0.3.{number}", 80),
                software_version=version,
                service=service,
            )
            for number, (name, version, service) in enumerate(
                [("same", "v1", "s"), ("newer", "v2", "s"), ("other", "v1", "t")]
            )
        ]
        for row in (began, *others):
            await controls.hubs[0].report(row)
        await clock.sleep_ms(500)
        origin = StreamOrigin("s", "v1", "t1", ROW.incarnation)

        def names():
            return {row.name for row in view.targets_to_continue(origin)}

        before = names()
        await controls.hubs[0].report(attrs.evolve(began, incarnation=11))
        await clock.sleep_ms(500)
        again = names()
        await controls.hubs[0].report(
            attrs.evolve(began, incarnation=12, software_version="v2")
        )
        await clock.sleep_ms(500)
        unknown = view.targets_to_continue(attrs.evolve(origin, software_version=""))
        return before, again, names(), unknown

    assert run(scenario) == ({"t1", "same"}, {"t1", "same"}, set(), [])


def test_row_that_cannot_be_sent_keeps_back_no_other():
    """Guards against one odd row after which no row of any target is delivered."""
    odd = attrs.evolve(ROW, name="odd", address=Address("10.0.2.9", 80))

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(500)
        for number, change in enumerate(
            ({"capacity": 2**32}, {"incarnation": 2**64}, {"data_centre": "\ud800"})
        ):
            name = f"odd-{number}"
            for hub in controls.hubs:
                await hub.report(attrs.evolve(odd, name=name, **change))
        for number, hub in enumerate(controls.hubs):
            address = Address("10.0.3.1", number + 1)
            await hub.report(attrs.evolve(ROW, name=f"t{number + 2}", address=address))
        await clock.sleep_ms(1_000)
        late = attrs.evolve(ENTRY, name="e2", address=Address("10.0.1.2", 7_000))
        other = controls.view(late)
        await curio.spawn(other.run, daemon=True)
        await clock.sleep_ms(1_000)
        names = {"t1", "t2", "t3", "t4"}
        for known in (view, other):
            assert {row.name for row in known.targets("s")} == names
            assert known.is_fresh
        for hub in controls.hubs:
            assert names <= hub.membership.targets_by_name.keys()

    run(scenario)


def test_observation_that_cannot_be_sent_keeps_back_no_other():
    """Guards against an entry whose reports end with one odd observation."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await clock.sleep_ms(500)
        odd = attrs.evolve(ROW, name="odd", incarnation=2**64)
        for row in (odd, ROW):
            view.limits.record_answer(row, 2.0, clock.now_ms())
            view.quarantine.record_crash("\ud800", [["p"]], ["r"])
            view.quarantine.record_crash(row.name, [["p"]], ["r"])
        await view.report_changes()
        await clock.sleep_ms(1_000)
        for hub in controls.hubs:
            assert hub.limits.newest("t1").per_second == 2.0
            assert {"odd", "t1"} == hub.quarantine.evidence_by_key.keys()

    run(scenario)


def age_versions(view):
    """Let a view have known the versions of targets for as long as a record lasts."""
    view.versions.known_since_ms -= ORIGIN_LIFETIME_MS


@pytest.mark.parametrize(
    "fault",
    ["none", "new member", "old member", "silent", "cut off", "restarted", "second"],
)
def test_stream_needs_a_record_unless_members_know_its_version(fault):
    """Guards against a stream without a record that members would guess about."""

    async def scenario(controls, clock):
        view = await controls.entry()
        row = attrs.evolve(ROW, software_version="v1")
        await controls.hubs[0].report(row)
        await clock.sleep_ms(500)
        age_versions(view)
        origin = StreamOrigin("s", "v1", "t1", ROW.incarnation)
        match fault:
            case "new member":
                for hub in controls.hubs:
                    hub.epoch += 1
            case "old member":
                for hub in controls.hubs:
                    hub._make_update = _without_versions(hub._make_update)
            case "silent":
                await clock.sleep_ms(HEARTBEAT_MS * 4)
            case "cut off":
                for node in controls.cluster.nodes:
                    controls.network.cut(ENTRY.address, node.address)
                await clock.sleep_ms(KEY_GRACE_MS)
            case "restarted":
                await controls.hubs[0].report(attrs.evolve(row, incarnation=11))
            case "second":
                other = attrs.evolve(
                    row, name="t2", address=Address("10.0.2.2", 80), leaving=True
                )
                other = attrs.evolve(other, software_version="v2")
                await controls.hubs[0].report(other)
        await clock.sleep_ms(500)
        return view.versions.needs_record(origin)

    assert run(scenario) == (fault != "none")


def _without_versions(make_update):
    return lambda *values: attrs.evolve(make_update(*values), remembers_versions=False)


DRAIN_MS = 3_000


@pytest.mark.parametrize(
    ("case", "expected"),
    [
        ("drains", [True, False]),
        ("another serves", [False, False]),
        ("another was tried", [True, False]),
        ("said so in an answer", [False, False]),
        ("signed off", [False, False]),
        ("said so elsewhere", [False, False]),
        ("learned late", [False, False]),
        ("known only as draining", [False, False]),
    ],
)
def test_stream_may_go_on_at_a_target_that_drains_for_a_while(case, expected):
    """Guards against streams that end while a target of their version still answers.

    Also guards against streams that are sent to it too late, or although it ends.
    """

    async def scenario(controls, clock):
        view = controls.view(ENTRY)
        view.target_drain_ms = DRAIN_MS
        await curio.spawn(view.run, daemon=True)
        row = attrs.evolve(ROW, software_version="v1")
        draining = attrs.evolve(row, sequence=2, leaving=True, draining=True)
        if case != "known only as draining":
            await controls.hubs[0].report(row)
        tried = ["t2"] if case == "another was tried" else []
        if case.startswith("another"):
            other = attrs.evolve(row, name="t2", address=Address("10.0.2.2", 80))
            await controls.hubs[0].report(other)
        await clock.sleep_ms(1_000)
        if case == "learned late":
            for node in controls.cluster.nodes:
                controls.network.cut(ENTRY.address, node.address)
        await controls.hubs[0].report(draining)
        if case == "learned late":
            await clock.sleep_ms(DRAIN_MS)
            controls.network.heal()
            while not view.has_left("t1"):
                await clock.sleep_ms(50)
        match case:
            case "said so in an answer":
                await view.mark_leaving(row)
            case "signed off":
                await controls.hubs[1].leave("t1", ROW.incarnation)
            case "said so elsewhere":
                await controls.hubs[2].handle(ReportLeaving("t1", ROW.incarnation))
        await clock.sleep_ms(200)
        assert view.has_left("t1")
        assert "t1" not in [each.name for each in view.targets("s")]
        found = []
        for wait_ms in (0, DRAIN_MS // 2):
            await clock.sleep_ms(wait_ms)
            rows = view.targets_to_continue(StreamOrigin("s", "v1", "", 0), tried)
            found.append("t1" in [each.name for each in rows])
        return found

    assert run(scenario) == expected
