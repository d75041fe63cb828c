"""Entries, targets and control members on a fake network in virtual time."""

import itertools
import random

import curio

from tests.fake_network import FakeNetwork
from wagtailrun.control.text_watch import ConfigurationLongPoll
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.gossip.node import GossipNode
from wagtailrun.messages import Ping, Pong
from wagtailrun.ports.link import Address
from wagtailrun.targets.table import Membership, TargetRow

FLEET_TEXT = """
[fleet]
name = "test"
data_centres = ["east", "west"]
[services.engines]
kind = "engine"
[services.local]
kind = "pool"
fallback = false
[pipelines.ask]
stages = [{ kind = "generate", service = "engines" }]
"""


class GossipNetwork(FakeNetwork):
    """Fake network that counts the messages and bytes that each address sends."""

    def __init__(self, clock, **options):
        super().__init__(clock, **options)
        self.messages_by_source = {}
        self.bytes_by_source = {}

    async def transmit(self, source, destination, frame):
        """Count a frame and transmit it."""
        self.messages_by_source[source] = self.messages_by_source.get(source, 0) + 1
        size = self.bytes_by_source.get(source, 0) + len(frame)
        self.bytes_by_source[source] = size
        return await super().transmit(source, destination, frame)

    def cut_off(self, inside, outside, both_ways=True):
        """Cut all links between two groups of addresses."""
        for one, other in itertools.product(inside, outside):
            self.cut(one, other, both_ways)


class Node:
    """One entry process; a restart creates a new one without state."""

    def __init__(self, cluster, name, number, address):
        self.name = name
        self.address = address
        self.data_centre = name.split("-")[0]
        self.membership = Membership(self.data_centre)
        incarnation = cluster.clock.wall_ms() << 16 | next(cluster.starts)
        own = EntryRow(name, address, self.data_centre, incarnation)
        self.gossip = GossipNode(
            cluster.clock,
            cluster.network.link(address),
            self.membership,
            own,
            cluster.seeds,
            tuple(cluster.control_addresses),
            seed=cluster.seed * 1_000 + number,
        )
        self.versions = []
        self.known_names = set()
        self.task = None

    async def start(self, network):
        """Start the tasks of the entry."""
        network.handlers_by_address[self.address] = self.gossip.handle
        self.task = await curio.spawn(self.gossip.run, daemon=True)

    def usable_names(self, now_ms):
        """Return the names of usable local targets."""
        names = set()
        for service in ("engines", "local"):
            names |= {row.name for row in self.membership.usable(service, now_ms)}
        return names


class Target:
    """Announces itself every second to one entry, or to another if that one fails."""

    def __init__(self, cluster, name, centre, service, number):
        self.cluster = cluster
        self.name = name
        self.centre = centre
        self.service = service
        self.number = number
        self.incarnation = cluster.clock.wall_ms()
        self.sequence = 0
        self.announced_to = None
        self.alive = True
        self.healthy_from_ms = cluster.clock.now_ms()

    def row(self, leaving=False):
        """Return the row to announce."""
        address = Address("10.9.0.1", 1_000 + self.number)
        return TargetRow(
            self.name,
            address,
            self.service,
            self.centre,
            incarnation=self.incarnation,
            sequence=self.sequence,
            leaving=leaving,
        )

    def send(self, leaving=False):
        """Send one announcement; return the entry that received it, or None."""
        nodes = [n for n in self.cluster.live if n.data_centre == self.centre]
        nodes = [n for n in nodes if n.address not in self.cluster.network.frozen]
        if self.announced_to not in nodes:
            self.announced_to = self.cluster.random.choice(nodes) if nodes else None
        self.sequence += 1
        if self.announced_to is not None:
            now_ms = self.cluster.clock.now_ms()
            self.announced_to.membership.announce(self.row(leaving), now_ms)
        return self.announced_to

    async def run(self):
        """Announce the target until it is stopped."""
        await self.cluster.clock.sleep_ms(self.cluster.random.randrange(1_000))
        while self.alive:
            self.send()
            await self.cluster.clock.sleep_ms(1_000)

    async def leave(self):
        """Send a goodbye and stop."""
        self.alive = False
        node = self.send(leaving=True)
        await node.gossip.push_goodbye(self.row(leaving=True))


class Control:
    """Control member that answers long polls from the cluster's accepted text.

    ``stale`` replaces that text at a member that is cut off from the others.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.stale = None
        self.watch = ConfigurationLongPoll(
            cluster.clock, lambda: self.stale or cluster.accepted
        )

    async def handle(self, message):
        """Answer a message of an entry."""
        if isinstance(message, Ping):
            return Pong("control")
        return await self.watch.watch(message)


class Cluster:
    """Entries of data centres with their targets and control members.

    Args:
        clock: Virtual clock.
        entries_by_centre: Number of entries by data centre.
        targets: Number of targets, spread evenly over the data centres.
        seed: Seed of all random choices.
        **options: Options of the network.
    """

    def __init__(self, clock, entries_by_centre, targets=0, seed=0, **options):
        self.clock = clock
        self.seed = seed
        self.random = random.Random(seed)
        self.starts = itertools.count(1)
        self.network = GossipNetwork(clock, seed=seed, **options)
        self.accepted = (1, FLEET_TEXT)
        self.control_addresses = [Address("10.0.0.1", n + 1) for n in range(3)]
        self.controls = [Control(self) for _ in self.control_addresses]
        for address, control in zip(self.control_addresses, self.controls, strict=True):
            self.network.handlers_by_address[address] = control.handle
        names = [
            f"{centre}-{n}"
            for centre, count in entries_by_centre.items()
            for n in range(count)
        ]
        self.addresses_by_name = {
            name: Address("10.1.0.1", n + 1) for n, name in enumerate(names)
        }
        self.seeds = tuple(
            self.addresses_by_name[f"{centre}-{n}"]
            for centre, count in entries_by_centre.items()
            for n in range(min(count, 3))
        )
        self.nodes_by_name = {}
        centres = list(entries_by_centre)
        self.targets = [
            Target(self, f"t{n}", centres[n % len(centres)], "engines", n)
            for n in range(targets)
        ]
        self.faults = []

    @property
    def live(self):
        """Entries that are running."""
        return list(self.nodes_by_name.values())

    async def start(self):
        """Start all entries and targets."""
        for name in self.addresses_by_name:
            await self.start_node(name)
        for target in self.targets:
            await curio.spawn(target.run, daemon=True)

    async def start_node(self, name):
        """Start an entry without state."""
        number = next(self.starts)
        node = Node(self, name, number, self.addresses_by_name[name])
        self.nodes_by_name[name] = node
        await node.start(self.network)
        return node

    async def kill(self, name):
        """Stop an entry abruptly."""
        node = self.nodes_by_name.pop(name)
        del self.network.handlers_by_address[node.address]
        await node.task.cancel()

    def change_configuration(self, addition=""):
        """Accept a new revision of the fleet configuration; return its number."""
        revision, text = self.accepted
        text += f"\n[workspaces.w{revision}]\nshare = {revision}\n{addition}"
        self.accepted = (revision + 1, text)
        return revision + 1

    def revisions(self):
        """Return the active revision of each entry."""
        return {node.name: node.gossip.version[1] for node in self.live}

    async def wait(self, condition, limit_ms):
        """Return the virtual ms until ``condition()`` holds; None after the limit."""
        start_ms = self.clock.now_ms()
        while not condition():
            if self.clock.now_ms() - start_ms >= limit_ms:
                return None
            await self.clock.sleep_ms(10)
        return self.clock.now_ms() - start_ms

    def entries_using(self, name):
        """Return the names of the entries that may use a target."""
        now_ms = self.clock.now_ms()
        return {n.name for n in self.live if name in n.usable_names(now_ms)}

    async def check_revisions(self):
        """Record a fault for each node whose revision decreases, until cancelled."""
        while True:
            await self.clock.sleep_ms(50)
            for node in self.live:
                node.versions.append(node.gossip.version)
                if node.versions[-1] < max(node.versions):
                    self.faults.append(("revision went back", node.name))
                del node.versions[:-1]

    async def check_healthy(self, names_by_node):
        """Record a fault for each healthy target that a node loses, until cancelled."""
        while True:
            await self.clock.sleep_ms(50)
            now_ms = self.clock.now_ms()
            # An entry without a configuration gets no requests, and an entry that
            # started while it was cut off cannot lose a target that it never knew.
            for node in [n for n in self.live if n.gossip.fleet]:
                usable = node.usable_names(now_ms)
                node.known_names |= usable
                missing = names_by_node(node) & node.known_names - usable
                for name in missing:
                    self.faults.append((now_ms, "healthy target lost", node.name, name))
