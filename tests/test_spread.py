"""Tests of the spreading of rows and of the fleet text between entries."""

import random

import attrs
import curio
import pytest

from tests.spread_cluster import TEXT, Cluster
from wagtailrun import spread_peers, spread_targets, spread_text
from wagtailrun.membership import Membership, TargetRow
from wagtailrun.ports.link import Address
from wagtailrun.spread_messages import Health, SpreadStatus, SpreadText
from wagtailrun.spread_push import split_members
from wagtailrun.virtual_time import run_virtual

SILENT_LIMIT_MS = 3_000
# A lost message costs up to one more round of questions and of gossip.
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
    """Random faults; what each may not break is checked all the time."""

    def __init__(self, cluster, seed, limit_ms):
        self.cluster = cluster
        self.clock = cluster.clock
        self.random = random.Random(seed)
        self.limit_ms = limit_ms
        # Targets whose announcements a fault may keep from the others.
        self.exempt = set()
        # Entries that cannot be reached, and are held to no time limit.
        self.cut = set()

    def connected(self):
        return [node for node in self.cluster.live if node.name not in self.cut]

    def healthy(self, node):
        return {t.name for t in self.cluster.targets if t.alive} - self.exempt

    def exempt_targets_of(self, node):
        self.exempt |= {t.name for t in self.cluster.targets if t.heard_by is node}

    async def run(self, steps):
        # One isolated entry must not lose a healthy target either.
        await curio.spawn(self.cluster.check_healthy, self.healthy, daemon=True)
        faults = [
            self.silence,
            self.goodbye,
            self.renew,
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
        self.cut.clear()
        await self.clock.sleep_ms(SETTLE_MS + self.limit_ms)
        await self.change()
        now_ms = self.clock.now_ms()
        names = {t.name for t in self.cluster.targets if t.alive}
        for node in self.cluster.live:
            if node.usable_names(now_ms) != names:
                self.cluster.faults.append(("targets differ at the end", node.name))

    async def gone(self, name, start_ms):
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
        row = target.heard_by.membership.heard_here_ms
        await self.gone(target.name, row.get(target.name, self.clock.now_ms()))

    async def goodbye(self):
        """A target leaves, and the entry that heard it dies at once."""
        target = self.target()
        start_ms = self.clock.now_ms()
        await target.leave()
        node = target.heard_by
        self.exempt_targets_of(node)
        await self.cluster.kill(node.name)
        await self.gone(target.name, start_ms)
        await self.cluster.start_node(node.name)

    async def renew(self):
        """A target starts again under its name and address."""
        target = self.target()
        target.incarnation += 1 + self.clock.now_ms()
        target.sequence = 0
        target.send()

    async def change(self):
        revision = self.cluster.change_text()

        def everywhere():
            return all(n.spreader.version[1] >= revision for n in self.connected())

        if await self.cluster.wait(everywhere, TEXT_LIMIT_MS) is None:
            late = [n.name for n in self.connected()]
            self.cluster.faults.append(("text late", revision, late))

    async def one_way(self):
        one, other = self.random.sample(self.cluster.live, 2)
        self.cluster.network.cut(one.address, other.address, both_ways=False)

    async def cut_off(self):
        node = self.random.choice(self.cluster.live)
        self.exempt_targets_of(node)
        self.cut.add(node.name)
        inward, outward = self.random.choice([(1, 1), (1, 0), (0, 1)])
        isolate(self.cluster, node, inward, outward)
        await self.clock.sleep_ms(self.random.randrange(500, 6_000))
        self.cluster.network.heal()
        await self.clock.sleep_ms(SETTLE_MS + self.limit_ms)
        self.cut.discard(node.name)

    async def freeze(self):
        node = self.random.choice(self.cluster.live)
        self.exempt_targets_of(node)
        self.cut.add(node.name)
        self.cluster.network.frozen.add(node.address)
        await self.clock.sleep_ms(self.random.randrange(500, 8_000))
        self.cluster.change_text()
        self.cluster.network.frozen.discard(node.address)
        await self.clock.sleep_ms(SETTLE_MS + self.limit_ms)
        self.cut.discard(node.name)

    async def restart(self):
        """An entry without a disk starts again and is not ready without a text."""
        node = self.random.choice(self.cluster.live)
        self.exempt_targets_of(node)
        await self.cluster.kill(node.name)
        await self.clock.sleep_ms(self.random.randrange(0, 5_000))
        node = await self.cluster.start_node(node.name)
        self.cut.add(node.name)
        await self.clock.sleep_ms(SETTLE_MS)
        self.cut.discard(node.name)

    async def stale_control(self):
        """A control member is cut off from the others and still answers."""
        self.random.choice(self.cluster.controls).stale = self.cluster.accepted


def run_schedule(seed, steps=4, targets=8):
    """Return what went wrong in the schedule of ``seed``."""
    chance = random.Random(seed)
    loss = chance.choice([0.0, 0.0, 0.02, 0.05])
    delay_ms = chance.choice([(1, 5), (1, 40)])
    duplication = chance.choice([0.0, 0.1])

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
