"""Membership and configuration between the entries of the data centres."""

import random
from collections.abc import Callable
from typing import Any

import curio

from wagtailrun.clock import Clock
from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.fleet import FleetConfiguration
from wagtailrun.gossip_config import ConfigDissemination
from wagtailrun.gossip_exchange import Exchanges
from wagtailrun.gossip_messages import (
    AgedRow,
    EntryRow,
    GossipAsk,
    GossipExchange,
    GossipFetch,
    GossipGrowth,
    GossipHeard,
    GossipProbe,
    GossipReport,
    GossipRows,
    GossipStatus,
    GossipTaken,
    GossipText,
    Health,
    ListTargets,
)
from wagtailrun.gossip_peers import PeerTable
from wagtailrun.gossip_push import Contact
from wagtailrun.gossip_targets import TargetWatch
from wagtailrun.membership import Membership, TargetRow
from wagtailrun.messages import Ping, Pong
from wagtailrun.ports.link import Address, PeerLink

__all__ = ["GossipNode"]

PROBE_TIMEOUT_MS = 200
INDIRECT_PROBES = 2
JOIN_SEEDS = 3
# An entry that reaches no other one in this time may start alone.
JOIN_LIMIT_MS = 1_500
REMOTE_INTERVAL_MS = 1_000
# Every fourth round goes to a seed or an entry held to be dead, which joins the two
# sides again after a partition.
REJOIN_ROUNDS = 4


class GossipNode:
    """One entry's part in the spreading of rows and of the fleet text.

    Args:
        clock: Clock.
        link: Link to other processes.
        membership: Known targets.
        own: Own row as an entry.
        seeds: Addresses at which other entries may be found.
        controls: Peer addresses of the control members.
        gossip_interval_ms: Time between gossip exchanges.
        seed: Seed of random choices.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        membership: Membership,
        own: EntryRow,
        seeds: tuple[Address, ...] = (),
        controls: tuple[Address, ...] = (),
        gossip_interval_ms: int = 500,
        seed: int | None = None,
    ):
        self.clock = clock
        self.membership = membership
        self.gossip_interval_ms = gossip_interval_ms
        self.chance = random.Random(seed)
        self.peers = PeerTable(own)
        self.contact = Contact(clock, link, self.peers, seeds, self.chance)
        self.targets = TargetWatch(self.contact, self.peers, membership)
        self.config = ConfigDissemination(self.contact, self.peers, controls)
        self.exchanges = Exchanges(
            self.contact, self.peers, membership, self.targets, self.config
        )

    @property
    def fleet(self) -> FleetConfiguration | None:
        """The text in force; immutable, so a request keeps the one it started with."""
        return self.config.store.fleet if self.config.joined else None

    @property
    def version(self) -> tuple[int, int]:
        """Term and revision in force."""
        return self.config.store.version

    def register_hook(
        self, out: Callable[[str], bytes], into: Callable[[str, bytes], None]
    ) -> None:
        """Carry the bytes of another module in local gossip exchanges.

        Args:
            out: Returns the bytes for the partner of that name.
            into: Takes the partner's name and its bytes.
        """
        self.exchanges.hook_out, self.exchanges.hook_in = out, into

    async def run(self) -> None:
        """Take part until cancelled."""
        await self._join()
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._gossip)
            await group.spawn(self._exchange_remote)
            await group.spawn(self.targets.judge)
            await group.spawn(self.targets.forward)
            await group.spawn(self.targets.push)
            await group.spawn(self.config.poll)

    async def push_goodbye(self, row: TargetRow) -> None:
        """Return when a goodbye is on other entries or none can be reached."""
        await self.targets.push_now()

    def status(self) -> GossipReport:
        """Return which revision is in force where, and who has not confirmed."""
        rows = tuple(sorted(self.peers.rows_by_name.values(), key=lambda r: r.name))
        waiting = tuple(
            row.name
            for row in rows
            if row.data_centre == self.peers.data_centre
            and row.health != Health.DEAD
            and row.version < self.version
        )
        isolated = self.contact.is_isolated()
        unconfirmed = self.membership.unconfirmed
        return GossipReport(self.peers.own, rows, waiting, isolated, unconfirmed)

    async def handle(self, message: Any) -> Any:
        """Answer one message of another process."""
        match message:
            case GossipExchange():
                return await self.exchanges.answer(message)
            case GossipRows():
                self.targets.take(message)
                if message.members:
                    members = list(message.members)
                    await curio.spawn(self.contact.push, members, message, daemon=True)
                return GossipTaken(*self.version)
            case GossipGrowth():
                self.targets.take_growth(message.growth)
                return GossipHeard()
            case GossipAsk():
                return self.targets.answer(message)
            case GossipProbe():
                return await self._probe_for(message)
            case GossipText():
                return await self.config.take_push(message)
            case GossipFetch():
                return self.config.answer(message)
            case GossipStatus():
                return self.status()
            case ListTargets():
                return GossipRows(targets=tuple(self._local_targets()))
            case Ping():
                return Pong(self.peers.name)
        raise MessageError(f"{type(message).__name__} is not answered here")

    def _local_targets(self) -> list[AgedRow]:
        membership = self.membership
        rows = membership.targets_by_name.values()
        return self.targets.aged([r.name for r in rows if membership.is_local(r)])

    async def _join(self) -> None:
        """Find the other entries and take the newest text that they know.

        Several are asked, because the first may itself be behind. An entry that reaches
        none goes on alone only if a control member answers.
        """
        alone_ms = self.clock.now_ms() + JOIN_LIMIT_MS
        reached: dict[str, EntryRow] = {}
        while self.contact.seeds:
            if self.peers.others() and self.version > (0, 0):
                # Others found this entry and gave it a text.
                break
            may_go_alone = (
                self.clock.now_ms() >= alone_ms and await self.config.reaches_control()
            )
            reached = await self._try_seeds()
            if reached or may_go_alone:
                break
            await self.clock.sleep_ms(PROBE_TIMEOUT_MS)
        newest = max(reached.values(), key=lambda row: row.version, default=None)
        if newest is not None and newest.version > self.version:
            await self.config.fetch_now(newest.address)
        self.config.joined = True

    async def _try_seeds(self) -> dict[str, EntryRow]:
        """Exchange with the seeds until enough local entries have answered."""
        reached: dict[str, EntryRow] = {}
        seeds = self.contact.seeds
        for address in self.chance.sample(seeds, len(seeds)):
            row = await self.exchanges.with_address(address)
            if row is not None and row.data_centre == self.peers.data_centre:
                reached[row.name] = row
            if len(reached) >= JOIN_SEEDS:
                break
        return reached

    async def _gossip(self) -> None:
        """Exchange with one other entry after the other."""
        turn = 0
        # Entries that start together must not gossip in step.
        await self.clock.sleep_ms(self.chance.randrange(self.gossip_interval_ms))
        while True:
            turn += 1
            await self.clock.sleep_ms(self.gossip_interval_ms)
            if turn % REJOIN_ROUNDS == 0:
                address = self._rejoin_address()
                if address is not None:
                    await self.exchanges.with_address(address)
                    continue
            row = self.peers.next_partner(self.chance)
            if row is None or await self.exchanges.with_entry(row) is not None:
                continue
            if not await self._reaches_indirectly(row):
                self._suspect(row)

    def _suspect(self, row: EntryRow) -> None:
        if not self.contact.is_isolated():
            self.peers.suspect(row.name, self.clock.now_ms())

    def _rejoin_address(self) -> Address | None:
        """Return a seed or a dead entry that may be alive again."""
        rows = self.peers.rows_by_name.values()
        known = {row.address for row in rows if row.health != Health.DEAD}
        lost = {row.address for row in rows if row.health == Health.DEAD}
        addresses = sorted((lost | set(self.contact.seeds)) - known)
        return self.chance.choice(addresses) if addresses else None

    async def _reaches_indirectly(self, row: EntryRow) -> bool:
        """Return whether others reach an entry that did not answer."""
        others = [other for other in self.peers.others() if other.name != row.name]
        chosen = self.chance.sample(others, min(INDIRECT_PROBES, len(others)))
        probe = GossipProbe(row.address)
        async with curio.TaskGroup() as group:
            for other in chosen:
                await group.spawn(self._ask_to_probe, other, probe)
        return any(group.results)

    async def _ask_to_probe(self, other: EntryRow, probe: GossipProbe) -> bool:
        try:
            timeout_ms = 2 * PROBE_TIMEOUT_MS
            answer = await self.contact.call(other.address, probe, timeout_ms)
        except PeerUnreachable:
            return False
        self.contact.heard(other.data_centre)
        return answer.alive

    async def _probe_for(self, probe: GossipProbe) -> GossipTaken:
        try:
            ping = Ping(self.peers.name)
            await self.contact.call(probe.address, ping, PROBE_TIMEOUT_MS)
        except PeerUnreachable:
            return GossipTaken(alive=False)
        return GossipTaken(*self.version)

    async def _exchange_remote(self) -> None:
        """As a watcher, exchange with one entry of each other data centre."""
        while True:
            await self.clock.sleep_ms(REMOTE_INTERVAL_MS)
            if not self.config.is_watcher():
                continue
            rows_by_centre: dict[str, list[EntryRow]] = {}
            for row in self.peers.rows_by_name.values():
                if row.data_centre != self.peers.data_centre:
                    rows_by_centre.setdefault(row.data_centre, []).append(row)
            async with curio.TaskGroup() as group:
                for rows in rows_by_centre.values():
                    await group.spawn(self._exchange_with_centre, rows)

    async def _exchange_with_centre(self, rows: list[EntryRow]) -> None:
        live = [row for row in rows if row.health != Health.DEAD] or rows
        row = self.chance.choice(live)
        if await self.exchanges.with_entry(row) is None and row.health == Health.ALIVE:
            self.peers.suspect(row.name, self.clock.now_ms())
