"""Tests of gossip between entries: target rows and fleet configuration."""

import random

import attrs
import curio
import pytest

from bench.gossip_cluster import FLEET_TEXT, Cluster
from wagtailrun.exceptions import MessageError
from wagtailrun.gossip import peers as gossip_peers
from wagtailrun.gossip.messages import (
    GossipGrowth,
    GossipStatus,
    Growth,
    Health,
    pack_growth,
)
from wagtailrun.gossip.push import PeerClient, split_members
from wagtailrun.gossip.text import FleetConfigStore
from wagtailrun.ports.link import Address
from wagtailrun.targets.table import ROW_RETENTION_MS, TargetRow
from wagtailrun.virtual_time import run_virtual

SILENT_LIMIT_MS = 3_000
# A lost message costs up to one more round of queries and of gossip.
LOSS_ALLOWANCE_MS = 1_500
TEXT_LIMIT_MS = 4_000
SETTLE_MS = 4_000
SCHEDULES = 104


async def started(clock, entries=5, targets=8, **options):
    cluster = Cluster(clock, {"east": entries}, targets, **options)
    await cluster.start()
    await clock.sleep_ms(SETTLE_MS)
    names = {target.name for target in cluster.targets}
    now_ms = clock.now_ms()
    assert all(node.usable_names(now_ms) == names for node in cluster.live)
    assert set(cluster.revisions().values()) == {cluster.accepted[0]}
    await curio.spawn(cluster.check_revisions, daemon=True)
    return cluster


def pick(cluster, number=0):
    return cluster.nodes_by_name[f"east-{number}"]


def isolate(cluster, node, inward=True, outward=True):
    """Cut an entry off from the other entries."""
    others = [n.address for n in cluster.live if n is not node]
    if inward:
        cluster.network.cut_off(others, [node.address], both_ways=False)
    if outward:
        cluster.network.cut_off([node.address], others, both_ways=False)


class Schedule:
    """Random faults; background tasks check the invariants all the time."""

    def __init__(self, cluster, seed, limit_ms):
        self.cluster = cluster
        self.clock = cluster.clock
        self.random = random.Random(seed)
        self.limit_ms = limit_ms
        # Targets whose announcements a fault may keep from other entries.
        self.exempt = set()
        # Unreachable entries, for which no time limit is checked.
        self.unreachable = set()

    def connected(self):
        return [node for node in self.cluster.live if node.name not in self.unreachable]

    def healthy(self, node):
        return {t.name for t in self.cluster.targets if t.alive} - self.exempt

    def exempt_targets_of(self, node):
        self.exempt |= {t.name for t in self.cluster.targets if t.announced_to is node}

    async def run(self, steps):
        # An isolated entry must not lose a healthy target either.
        await curio.spawn(self.cluster.check_healthy, self.healthy, daemon=True)
        faults = [
            self.silence,
            self.goodbye,
            self.restart_target,
            self.change,
            self.one_way,
            self.cut_off,
            self.freeze,
            self.restart,
            self.stale_control,
        ]
        for fault in self.random.sample(faults, steps):
            await fault()
        self.cluster.network.heal()
        self.unreachable.clear()
        await self.clock.sleep_ms(SETTLE_MS + self.limit_ms)
        await self.change()
        now_ms = self.clock.now_ms()
        names = {t.name for t in self.cluster.targets if t.alive}
        for node in self.cluster.live:
            if node.usable_names(now_ms) != names:
                self.cluster.faults.append(("targets differ at the end", node.name))

    async def expect_unused(self, name, start_ms):
        def known():
            now_ms = self.clock.now_ms()
            return all(name not in n.usable_names(now_ms) for n in self.connected())

        left_ms = start_ms + self.limit_ms - self.clock.now_ms()
        if await self.cluster.wait(known, left_ms) is None:
            self.cluster.faults.append(("gone target still used", name))

    def target(self):
        alive = [t for t in self.cluster.targets if t.alive]
        return self.random.choice(alive)

    async def silence(self):
        target = self.target()
        target.alive = False
        row = target.announced_to.membership.direct_contact_ms_by_name
        await self.expect_unused(target.name, row.get(target.name, self.clock.now_ms()))

    async def goodbye(self):
        """A target leaves, and the entry that received its goodbye dies at once."""
        target = self.target()
        start_ms = self.clock.now_ms()
        await target.leave()
        node = target.announced_to
        self.exempt_targets_of(node)
        await self.cluster.kill(node.name)
        await self.expect_unused(target.name, start_ms)
        await self.cluster.start_node(node.name)

    async def restart_target(self):
        """A target restarts under the same name and address."""
        target = self.target()
        target.incarnation += 1 + self.clock.now_ms()
        target.sequence = 0
        target.send()

    async def change(self):
        revision = self.cluster.change_configuration()

        def everywhere():
            return all(n.gossip.version[1] >= revision for n in self.connected())

        if await self.cluster.wait(everywhere, TEXT_LIMIT_MS) is None:
            late = [n.name for n in self.connected()]
            self.cluster.faults.append(("text late", revision, late))

    async def one_way(self):
        one, other = self.random.sample(self.cluster.live, 2)
        self.cluster.network.cut(one.address, other.address, both_ways=False)

    async def cut_off(self):
        node = self.random.choice(self.cluster.live)
        self.exempt_targets_of(node)
        self.unreachable.add(node.name)
        inward, outward = self.random.choice([(1, 1), (1, 0), (0, 1)])
        isolate(self.cluster, node, inward, outward)
        await self.clock.sleep_ms(self.random.randrange(500, 6_000))
        self.cluster.network.heal()
        await self.clock.sleep_ms(SETTLE_MS + self.limit_ms)
        self.unreachable.discard(node.name)

    async def freeze(self):
        node = self.random.choice(self.cluster.live)
        self.exempt_targets_of(node)
        self.unreachable.add(node.name)
        self.cluster.network.frozen.add(node.address)
        await self.clock.sleep_ms(self.random.randrange(500, 8_000))
        self.cluster.change_configuration()
        self.cluster.network.frozen.discard(node.address)
        await self.clock.sleep_ms(SETTLE_MS + self.limit_ms)
        self.unreachable.discard(node.name)

    async def restart(self):
        """An entry restarts without stored state and fetches the configuration."""
        node = self.random.choice(self.cluster.live)
        self.exempt_targets_of(node)
        await self.cluster.kill(node.name)
        await self.clock.sleep_ms(self.random.randrange(0, 5_000))
        node = await self.cluster.start_node(node.name)
        self.unreachable.add(node.name)
        await self.clock.sleep_ms(SETTLE_MS)
        self.unreachable.discard(node.name)

    async def stale_control(self):
        """A control member is cut off from the others and still answers."""
        self.random.choice(self.cluster.controls).stale = self.cluster.accepted


def run_schedule(seed, steps=4, targets=8):
    """Run the schedule of ``seed`` and return the faults found."""
    rng = random.Random(seed)
    loss = rng.choice([0.0, 0.0, 0.02, 0.05])
    delay_ms = rng.choice([(1, 5), (1, 40)])
    duplication = rng.choice([0.0, 0.1])

    async def main(clock):
        cluster = Cluster(
            clock,
            {"east": 6},
            targets,
            seed=seed,
            loss=loss,
            delay_ms=delay_ms,
            duplication=duplication,
        )
        await cluster.start()
        await clock.sleep_ms(2 * SETTLE_MS)
        await curio.spawn(cluster.check_revisions, daemon=True)
        allowance = LOSS_ALLOWANCE_MS if loss else 0
        schedule = Schedule(cluster, seed, SILENT_LIMIT_MS + allowance)
        await schedule.run(steps)
        return cluster.faults

    return run_virtual(main)


@pytest.mark.parametrize("first", range(0, SCHEDULES, 13))
def test_schedules_keep_bounds(first):
    """Guards against missed time limits, lost healthy targets and old revisions.

    The limits cover silent targets, goodbyes and changes of the configuration.
    """
    faults = {seed: run_schedule(seed) for seed in range(first, first + 13)}
    assert not any(faults.values()), faults


def test_hour_without_contact_brings_nothing_back():
    """Guards against a stale target or configuration revived by a healed partition."""

    async def main(clock):
        cluster = await started(clock, 3, 4)
        lone = pick(cluster, 2)
        for target in cluster.targets:
            target.announced_to = pick(cluster)
        isolate(cluster, lone)
        inside = [lone.address]
        cluster.network.cut_off(inside, cluster.control_addresses)
        await clock.sleep_ms(5_000)
        gone = cluster.targets[0]
        await gone.leave()
        for _ in range(300):
            cluster.change_configuration()
        await clock.sleep_ms(5_000)
        assert lone.gossip.version[1] == 1
        assert lone.membership.unconfirmed
        assert len(lone.usable_names(clock.now_ms())) == 4
        await clock.sleep_ms(3_600_000)
        assert gone.name not in pick(cluster).membership.targets_by_name
        cluster.network.heal()
        await clock.sleep_ms(8_000)
        assert set(cluster.revisions().values()) == {301}
        left = {target.name for target in cluster.targets[1:]}
        assert all(n.usable_names(clock.now_ms()) == left for n in cluster.live)
        assert not lone.membership.unconfirmed
        return cluster.faults

    assert run_virtual(main) == []


def test_data_centre_cut_off_for_an_hour():
    """Guards against a cut-off data centre that stops, or brings back old state."""

    async def main(clock):
        cluster = Cluster(clock, {"east": 1, "west": 2}, 4)
        await cluster.start()
        await clock.sleep_ms(9_000)
        await curio.spawn(cluster.check_revisions, daemon=True)
        west = [n.address for n in cluster.live if n.data_centre == "west"]
        east = [pick(cluster).address, *cluster.control_addresses]
        cluster.network.cut_off(west, east)
        await clock.sleep_ms(3_000)
        cluster.change_configuration()
        await cluster.targets[1].leave()
        await cluster.kill("west-1")
        await clock.sleep_ms(2_000)
        node = await cluster.start_node("west-1")
        assert await cluster.wait(lambda: node.gossip.fleet, 4_000) is not None
        await clock.sleep_ms(3_000)
        assert cluster.revisions() == {"east-0": 2, "west-0": 1, "west-1": 1}
        await clock.sleep_ms(3_600_000)
        for name in ("west-0", "west-1"):
            usable = cluster.nodes_by_name[name].usable_names(clock.now_ms())
            assert usable == {"t3"}
        revision = cluster.change_configuration()
        cluster.network.heal()
        elapsed_ms = await cluster.wait(
            lambda: set(cluster.revisions().values()) == {revision}, TEXT_LIMIT_MS
        )
        assert elapsed_ms is not None
        return cluster.faults

    assert run_virtual(main) == []


@pytest.mark.parametrize("entries", [1, 4])
def test_pause_of_the_process_is_not_silence(entries):
    """Guards against targets declared silent because the entries were paused."""

    async def main(clock):
        cluster = await started(clock, entries, 8)
        names = {target.name for target in cluster.targets}
        await curio.spawn(cluster.check_healthy, lambda node: names, daemon=True)
        for target in cluster.targets:
            target.alive = False
        clock.seconds += 60
        await clock.sleep_ms(900)
        # The first announcements that the entries receive after the pause.
        for target in cluster.targets:
            target.alive = True
            target.send()
            await curio.spawn(target.run, daemon=True)
        await clock.sleep_ms(5_000)
        rows = [r for n in cluster.live for r in n.gossip.peers.rows_by_name.values()]
        assert all(row.health == Health.ALIVE for row in rows)
        return cluster.faults

    assert run_virtual(main) == []


@pytest.mark.parametrize("late", [{"incarnation": 4}, {"sequence": 7}, {"name": "x"}])
def test_growth_of_another_start_changes_nothing(late):
    """Guards against outdated load, or load of another incarnation or target."""

    async def main(clock):
        cluster = Cluster(clock, {"east": 1})
        node = await cluster.start_node("east-0")
        address = Address("10.0.0.1", 1)
        row = TargetRow("t", address, "engines", "east", incarnation=5, sequence=7)
        node.membership.put(row, 0)
        record = Growth.of(attrs.evolve(row, **{"sequence": 9, "queued": 3} | late), 0)
        await node.gossip.handle(GossipGrowth(pack_growth([record])))
        assert node.membership.targets_by_name == {"t": row}
        with pytest.raises(MessageError):
            await node.gossip.handle(GossipGrowth(b"short"))

    run_virtual(main)


def test_entry_restarts_while_control_is_out_of_reach():
    """Guards against a restarted entry with an older configuration than others."""

    async def main(clock):
        cluster = await started(clock, 4)
        for _ in range(5):
            cluster.change_configuration()
        await clock.sleep_ms(4_000)
        for address in cluster.control_addresses:
            del cluster.network.handlers_by_address[address]
        await cluster.kill("east-2")
        await clock.sleep_ms(1_000)
        node = await cluster.start_node("east-2")
        assert node.gossip.fleet is None
        assert await cluster.wait(lambda: node.gossip.fleet, 4_000) is not None
        assert node.gossip.version == (0, 6)
        for name in list(cluster.nodes_by_name):
            await cluster.kill(name)
        alone = await cluster.start_node("east-0")
        await clock.sleep_ms(10_000)
        assert alone.gossip.fleet is None

    run_virtual(main)


def test_request_keeps_the_text_it_started_with():
    """Guards against a running request that sees a removed service or workspace."""

    async def main(clock):
        cluster = await started(clock, 3)
        cluster.change_configuration()
        await clock.sleep_ms(1_000)
        node = pick(cluster)
        before = node.gossip.fleet
        removed = FLEET_TEXT.replace("[pipelines.ask]", "[pipelines.tell]")
        removed = removed.replace("[services.local]", "[services.other]")
        cluster.accepted = (3, removed)
        await clock.sleep_ms(1_000)
        after = node.gossip.fleet
        assert set(before.pipelines_by_name) == {"ask"}
        assert set(after.pipelines_by_name) == {"tell"}
        assert "local" in before.services_by_name and "w1" in before.workspaces_by_name
        assert "local" not in after.services_by_name
        assert not after.workspaces_by_name
        with pytest.raises(attrs.exceptions.FrozenInstanceError):
            before.name = "other"

    run_virtual(main)


def test_status_names_who_has_not_confirmed():
    """Guards against reporting too early that a configuration is active everywhere."""

    async def main(clock):
        cluster = await started(clock, 4)
        isolate(cluster, pick(cluster, 2))
        cluster.network.cut_off([pick(cluster, 2).address], cluster.control_addresses)
        cluster.change_configuration()
        await clock.sleep_ms(1_500)
        report = await pick(cluster).gossip.handle(GossipStatus())
        assert report.waiting == ("east-2",)
        assert {row.revision for row in report.entries} == {1, 2}
        cluster.network.heal()
        await clock.sleep_ms(6_000)
        assert pick(cluster).gossip.status().waiting == ()

    run_virtual(main)


def test_hook_carries_bytes_both_ways():
    """Guards against bytes of a hook, such as account rows, that are not delivered."""

    async def main(clock):
        cluster = await started(clock, 3)
        received = []
        for node in cluster.live:
            node.gossip.register_hook(
                lambda partner, name=node.name: f"{name}>{partner}".encode(),
                lambda partner, data: received.append((partner, data)),
            )
        await clock.sleep_ms(3_000)
        assert {data for _, data in received} == {
            f"east-{a}>east-{b}".encode() for a in range(3) for b in range(3) if a != b
        }
        assert all(data.startswith(partner.encode()) for partner, data in received)

    run_virtual(main)


def test_target_that_left_while_no_other_data_centre_might_use_it_is_not_used():
    """Guards against a target that another data centre uses long after it left.

    It left, and its own data centre forgot it, while the configuration did not allow
    others to use it, so that none of them heard of it.
    """
    private = FLEET_TEXT.replace('kind = "engine"', 'kind = "engine"\nfallback = false')

    async def main(clock):
        cluster = Cluster(clock, {"east": 3, "west": 3}, 4)
        await cluster.start()
        await clock.sleep_ms(9_000)
        cluster.accepted = (2, private)
        await clock.sleep_ms(TEXT_LIMIT_MS)
        await cluster.targets[0].leave()
        await clock.sleep_ms(ROW_RETENTION_MS + 60_000)
        cluster.accepted = (3, FLEET_TEXT)
        await clock.sleep_ms(TEXT_LIMIT_MS + 2_000)
        for node in cluster.live:
            rows = node.membership.candidates("engines", clock.now_ms())
            assert {row.name for row in rows} == {"t1", "t2", "t3"}, node.name

    run_virtual(main)


def test_fallback_targets_cross_data_centres():
    """Guards against fallback targets that are unknown elsewhere, or used when gone."""

    async def main(clock):
        cluster = Cluster(clock, {"east": 3, "west": 3}, 4)
        cluster.targets[0].service = "local"
        await cluster.start()
        await clock.sleep_ms(9_000)

        def offered():
            found = set()
            for node in cluster.live:
                if node.data_centre == "west":
                    rows = node.membership.fallback("engines", clock.now_ms())
                    rows += node.membership.fallback("local", clock.now_ms())
                    found.add(frozenset(row.name for row in rows))
            return found

        assert offered() == {frozenset({"t2"})}
        east, west = (
            [n.address for n in cluster.live if n.data_centre == centre]
            for centre in ("east", "west")
        )
        cluster.network.cut_off(east, west)
        await clock.sleep_ms(8_000)
        assert offered() == {frozenset()}
        cluster.network.heal()
        await clock.sleep_ms(12_000)
        assert offered() == {frozenset({"t2"})}

    run_virtual(main)


@pytest.mark.parametrize(
    "earlier",
    [
        '[fleet]\nname = "test"\ndata_centres = ["east", "west"]\n',
        FLEET_TEXT.replace('kind = "engine"', 'kind = "engine"\nfallback = false'),
    ],
    ids=["service added", "fallback allowed"],
)
def test_targets_of_before_a_change_of_fallback_cross_data_centres(earlier):
    """Guards against targets that the other data centre never hears of.

    They were known before the configuration allowed other data centres to use them, as
    at the first start of a system, and have not changed since.
    """

    async def main(clock):
        cluster = Cluster(clock, {"east": 3, "west": 3}, 4)
        cluster.accepted = (1, earlier)
        await cluster.start()
        await clock.sleep_ms(9_000)

        def fallback_names(node):
            rows = node.membership.fallback("engines", clock.now_ms())
            return {row.name for row in rows}

        assert not any(fallback_names(node) for node in cluster.live)
        cluster.accepted = (2, FLEET_TEXT)
        await clock.sleep_ms(TEXT_LIMIT_MS + 2_000)
        names_by_centre = {"east": {"t1", "t3"}, "west": {"t0", "t2"}}
        for node in cluster.live:
            assert fallback_names(node) == names_by_centre[node.data_centre], node.name

    run_virtual(main)


def test_data_centre_that_allows_fallback_late_uses_all_targets_soon():
    """Guards against targets that stay out of use after the configuration shares them.

    The other data centre sent them before this one had the configuration. It did not
    confirm them, and declared them silent.
    """
    private = FLEET_TEXT.replace('kind = "engine"', 'kind = "engine"\nfallback = false')

    async def main(clock):
        cluster = Cluster(clock, {"east": 3, "west": 3}, 250, 4)
        cluster.accepted = (1, private)
        await cluster.start()
        await clock.sleep_ms(9_000)
        late = [node for node in cluster.live if node.data_centre == "west"]
        cluster.network.cut_off([n.address for n in late], cluster.control_addresses)
        cluster.accepted = (2, FLEET_TEXT)
        await clock.sleep_ms(10_000)
        assert {node.gossip.version[1] for node in late} == {1}
        cluster.network.heal()
        await clock.sleep_ms(TEXT_LIMIT_MS + 8_000)
        for node in late:
            rows = node.membership.fallback("engines", clock.now_ms())
            assert len(rows) == 125, node.name

    run_virtual(main)


@pytest.mark.parametrize("entries", [9, 27])
def test_messages_of_an_entry_do_not_grow_with_the_data_centre(entries):
    """Guards against all-to-all heartbeats, and watchers that receive too little."""

    async def main(clock):
        targets = 3 * entries
        cluster = await started(clock, entries, targets, seed=1)
        names = {target.name for target in cluster.targets}
        await curio.spawn(cluster.check_healthy, lambda node: names, daemon=True)
        before = dict(cluster.network.messages_by_source)
        await clock.sleep_ms(10_000)
        assert cluster.faults == []
        for node in cluster.live:
            sent = cluster.network.messages_by_source[node.address]
            announced = len([t for t in cluster.targets if t.announced_to is node])
            watched = len(node.membership.watched_since_ms_by_name)
            # Two requests a second, replies to about two (eight allows for random
            # peaks), long polls, and two forwards and their replies an announcement.
            bound = 10 * (2 + 8 + 1.5 + 2 * announced + 2 * watched)
            assert sent - before[node.address] <= bound

    run_virtual(main)


def test_own_row_is_defended():
    """Guards against a live entry that others keep as dead or as an old incarnation."""
    row = attrs.evolve(_entry("a"), incarnation=5)
    table = gossip_peers.PeerTable(row)
    assert table.put(attrs.evolve(row, health=Health.SUSPECT), 0)
    assert table.own.precedence == (5, 1, Health.ALIVE)
    assert table.put(attrs.evolve(row, incarnation=9), 0)
    assert table.own.incarnation == 10
    assert not table.put(attrs.evolve(row, incarnation=4, health=Health.DEAD), 0)


def _entry(name):
    return gossip_peers.EntryRow(name, Address("10.0.0.1", 1), "east", 1)


@pytest.mark.parametrize("count", [0, 1, 2, 3, 4, 53])
def test_tree_reaches_each_member_once(count):
    """Guards against members that the push tree reaches twice or not at all."""
    members = [str(number) for number in range(count)]
    seen = []
    parts = [members]
    while parts:
        for group in split_members(parts.pop()):
            seen.append(group[0])
            parts.append(group[1:])
    assert sorted(seen) == sorted(members)


async def renewed_target(cluster):
    """A target restarts; then a message of its old incarnation arrives late."""
    target = cluster.targets[0]
    late = attrs.evolve(target.row(), sequence=target.sequence + 1_000, leaving=True)
    target.incarnation += 1
    target.sequence = 0
    await cluster.clock.sleep_ms(1_500)
    pick(cluster).membership.announce(late, cluster.clock.now_ms())
    await cluster.clock.sleep_ms(4_000)
    now_ms = cluster.clock.now_ms()
    return [n.name for n in cluster.live if target.name not in n.usable_names(now_ms)]


async def late_push(cluster):
    """A push of an older configuration arrives after a newer one."""
    old = pick(cluster).gossip.config.store.build_message(
        pick(cluster).gossip.peers.own, (0, 0), whole=True
    )
    cluster.change_configuration()
    await cluster.clock.sleep_ms(2_000)
    await pick(cluster, 1).gossip.handle(attrs.evolve(old, members=("east-2",)))
    await cluster.clock.sleep_ms(1_000)
    return cluster.faults


async def lone_entry(cluster):
    """An entry reaches no other entry for a while."""
    lone = pick(cluster)
    for target in cluster.targets:
        target.announced_to = pick(cluster, 1)
    await cluster.clock.sleep_ms(2_000)
    isolate(cluster, lone)
    await cluster.clock.sleep_ms(15_000)
    dead = [row for row in lone.gossip.peers.rows_by_name.values() if row.health == 2]
    lost = len(cluster.targets) - len(lone.usable_names(cluster.clock.now_ms()))
    return dead + ["a target is lost"] * lost


async def suspected_entry(cluster):
    """An entry is unreachable for long enough to be suspected, then reachable."""
    isolate(cluster, pick(cluster))
    await cluster.clock.sleep_ms(2_000)
    cluster.network.heal()
    await cluster.clock.sleep_ms(12_000)
    rows = [n.gossip.peers.rows_by_name["east-0"] for n in cluster.live]
    return [row for row in rows if row.health != Health.ALIVE]


def without_incarnation(row):
    return (row.leaving, row.sequence, row.silent)


GUARDS = {
    "incarnation": (
        renewed_target,
        [(TargetRow, "precedence", property(without_incarnation))],
    ),
    "revision": (
        late_push,
        [
            (
                FleetConfigStore,
                "_is_newer",
                lambda self, version: version != self.version,
            )
        ],
    ),
    "isolation": (lone_entry, [(PeerClient, "is_isolated", lambda self: False)]),
    "refutation": (
        suspected_entry,
        [(gossip_peers.PeerTable, "_refute", lambda self, row, now_ms: False)],
    ),
}


@pytest.mark.parametrize("switched_off", [False, True])
@pytest.mark.parametrize("guard", GUARDS)
def test_each_guard_is_needed(guard, switched_off, monkeypatch):
    """Guards against a safeguard that no scenario exercises."""
    scenario, patches = GUARDS[guard]
    for owner, name, value in patches if switched_off else []:
        monkeypatch.setattr(owner, name, value)

    async def main(clock):
        return await scenario(await started(clock, 4, 5))

    assert bool(run_virtual(main)) == switched_off
