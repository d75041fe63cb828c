"""Gossip node of an entry: spreads target membership and fleet configuration."""

import random
from collections.abc import Callable
from typing import Any

import curio

from wagtailrun.clock import Clock
from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.fleet.model import FleetConfiguration
from wagtailrun.gossip.configuration import ConfigDissemination
from wagtailrun.gossip.exchange import Exchanger, HintReceiver
from wagtailrun.gossip.messages import (
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
from wagtailrun.gossip.peers import PeerTable
from wagtailrun.gossip.push import PeerClient
from wagtailrun.gossip.target_monitor import TargetMonitor
from wagtailrun.messages import Ping, Pong
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.targets.path_hints import PathHint
from wagtailrun.targets.table import Membership, TargetRow

__all__ = ["GossipNode"]

PROBE_TIMEOUT_MS = 200
INDIRECT_PROBES = 2
JOIN_SEEDS = 3
# An entry that has reached no other entry for this long may start on its own.
JOIN_ALONE_AFTER_MS = 1_500
REMOTE_INTERVAL_MS = 1_000
# Every fourth round contacts a seed or an entry marked as dead, so that the two sides
# of a partition find each other again once it has healed.
ROUNDS_PER_REJOIN = 4


class GossipNode:
    """Gossip participant of one entry: exchanges rows and the fleet configuration.

    Args:
        clock: Clock.
        link: Link to other processes.
        membership: Known targets.
        own: Row of this entry.
        seeds: Addresses at which other entries may be reached when this one joins.
        controls: Peer addresses of the control members.
        gossip_interval_ms: Time between gossip exchanges.
        seed: Seed of the random number generator.
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
        self.rng = random.Random(seed)
        self.peers = PeerTable(own)
        self.client = PeerClient(clock, link, self.peers, seeds, self.rng)
        self.targets = TargetMonitor(self.client, self.peers, membership)
        self.config = ConfigDissemination(self.client, self.peers, controls)
        self.exchanger = Exchanger(
            self.client, self.peers, membership, self.targets, self.config
        )

    @property
    def fleet(self) -> FleetConfiguration | None:
        """Active fleet configuration, None before this entry has joined.

        It is immutable, so a request keeps the configuration that it started with.
        """
        return self.config.store.fleet if self.config.joined else None

    @property
    def version(self) -> tuple[int, int]:
        """Term and revision of the active fleet configuration."""
        return self.config.store.version

    def register_hook(
        self, outgoing: Callable[[str], bytes], incoming: Callable[[str, bytes], None]
    ) -> None:
        """Attach another module's bytes to exchanges within the data centre.

        Args:
            outgoing: Returns the bytes to send to the named partner.
            incoming: Called with the partner's name and the bytes that it sent.
        """
        self.exchanger.hook_out, self.exchanger.hook_in = outgoing, incoming

    def share_path_hints(
        self, own: Callable[[], tuple[PathHint, ...]], receive: HintReceiver
    ) -> None:
        """Exchange hints of unreachable targets within the data centre.

        Args:
            own: Returns what this entry has observed.
            receive: Called with the name and the data centre of another entry, and its
                hints.
        """
        self.exchanger.own_hints, self.exchanger.receive_hints = own, receive

    async def run(self) -> None:
        """Join the other entries, then gossip until cancelled."""
        await self._join()
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._gossip_loop)
            await group.spawn(self._exchange_with_data_centres)
            await group.spawn(self.targets.monitor)
            await group.spawn(self.targets.forward)
            await group.spawn(self.targets.push_changes)
            await group.spawn(self.config.poll)

    async def push_goodbye(self, row: TargetRow) -> None:
        """Push a target's goodbye; return when others have it or none is reachable."""
        await self.targets.push_pending()

    async def share_before_end(self) -> None:
        """Tell others of targets that left, as far as they may not know it."""
        await self.targets.push_departures()

    def status(self) -> GossipReport:
        """Return the known entries, and which live local ones are out of date."""
        rows = tuple(sorted(self.peers.rows_by_name.values(), key=lambda r: r.name))
        waiting = tuple(
            row.name
            for row in rows
            if row.data_centre == self.peers.data_centre
            and row.health != Health.DEAD
            and row.version < self.version
        )
        isolated = self.client.is_isolated()
        unconfirmed = self.membership.unconfirmed
        return GossipReport(self.peers.own, rows, waiting, isolated, unconfirmed)

    async def handle(self, message: Any) -> Any:
        """Answer one message of another process."""
        match message:
            case GossipExchange():
                return await self.exchanger.handle_exchange(message)
            case GossipRows():
                self.targets.merge_rows(message)
                if message.members:
                    members = list(message.members)
                    await curio.spawn(self.client.push, members, message, daemon=True)
                return GossipTaken(*self.version)
            case GossipGrowth():
                self.targets.merge_growth(message.growth)
                return GossipHeard()
            case GossipAsk():
                return self.targets.answer_query(message)
            case GossipProbe():
                return await self._probe_on_behalf(message)
            case GossipText():
                return await self.config.handle_push(message)
            case GossipFetch():
                return self.config.answer_fetch(message)
            case GossipStatus():
                return self.status()
            case ListTargets():
                return GossipRows(targets=tuple(self._local_targets()))
            case Ping():
                return Pong(self.peers.name)
        raise MessageError(f"an entry does not handle {type(message).__name__}")

    def _local_targets(self) -> list[AgedRow]:
        membership = self.membership
        rows = membership.targets_by_name.values()
        return self.targets.aged_rows([r.name for r in rows if membership.is_local(r)])

    async def _join(self) -> None:
        """Find the other entries and fetch the newest configuration that they know.

        Several entries are contacted, because the first one may itself be out of date.
        An entry that reaches none starts on its own only if a control member answers.
        """
        alone_ms = self.clock.now_ms() + JOIN_ALONE_AFTER_MS
        reached: dict[str, EntryRow] = {}
        while self.client.seeds:
            if self.peers.others() and self.version > (0, 0):
                # Other entries have found this one and sent it a configuration.
                break
            may_start_alone = (
                self.clock.now_ms() >= alone_ms
                and await self.config.is_control_reachable()
            )
            reached = await self._contact_seeds()
            if reached or may_start_alone:
                break
            await self.clock.sleep_ms(PROBE_TIMEOUT_MS)
        newest = max(reached.values(), key=lambda row: row.version, default=None)
        if newest is not None and newest.version > self.version:
            await self.config.fetch_latest(newest.address)
        self.config.joined = True

    async def _contact_seeds(self) -> dict[str, EntryRow]:
        """Exchange with seeds until enough entries of this data centre answered."""
        reached: dict[str, EntryRow] = {}
        seeds = self.client.seeds
        for address in self.rng.sample(seeds, len(seeds)):
            row = await self.exchanger.exchange_with_address(address)
            if row is not None and row.data_centre == self.peers.data_centre:
                reached[row.name] = row
            if len(reached) >= JOIN_SEEDS:
                break
        return reached

    async def _gossip_loop(self) -> None:
        """Exchange with the other entries of this data centre in turn."""
        turn = 0
        # A random offset keeps entries that start together from gossiping in step.
        await self.clock.sleep_ms(self.rng.randrange(self.gossip_interval_ms))
        while True:
            turn += 1
            await self.clock.sleep_ms(self.gossip_interval_ms)
            if turn % ROUNDS_PER_REJOIN == 0:
                address = self._rejoin_address()
                if address is not None:
                    await self.exchanger.exchange_with_address(address)
                    continue
            row = self.peers.next_partner(self.rng)
            if row is None or await self.exchanger.exchange_with_entry(row) is not None:
                continue
            if not await self._reaches_indirectly(row):
                self._suspect(row)

    def _suspect(self, row: EntryRow) -> None:
        if not self.client.is_isolated():
            self.peers.suspect(row.name, self.clock.now_ms())

    def _rejoin_address(self) -> Address | None:
        """Return the address of a seed or dead entry that may be alive again."""
        rows = self.peers.rows_by_name.values()
        known = {row.address for row in rows if row.health != Health.DEAD}
        lost = {row.address for row in rows if row.health == Health.DEAD}
        addresses = sorted((lost | set(self.client.seeds)) - known)
        return self.rng.choice(addresses) if addresses else None

    async def _reaches_indirectly(self, row: EntryRow) -> bool:
        """Return whether another entry reaches ``row``, which did not answer."""
        others = [other for other in self.peers.others() if other.name != row.name]
        chosen = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        probe = GossipProbe(row.address)
        async with curio.TaskGroup() as group:
            for other in chosen:
                await group.spawn(self._request_probe, other, probe)
        return any(group.results)

    async def _request_probe(self, other: EntryRow, probe: GossipProbe) -> bool:
        try:
            timeout_ms = 2 * PROBE_TIMEOUT_MS
            answer = await self.client.call(other.address, probe, timeout_ms)
        except PeerUnreachable:
            return False
        self.client.record_contact(other.data_centre)
        alive: bool = answer.alive
        return alive

    async def _probe_on_behalf(self, probe: GossipProbe) -> GossipTaken:
        try:
            ping = Ping(self.peers.name)
            await self.client.call(probe.address, ping, PROBE_TIMEOUT_MS)
        except PeerUnreachable:
            return GossipTaken(alive=False)
        return GossipTaken(*self.version)

    async def _exchange_with_data_centres(self) -> None:
        """Exchange with one entry per remote data centre while being a watcher."""
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
                    await group.spawn(self._exchange_with_data_centre, rows)

    async def _exchange_with_data_centre(self, rows: list[EntryRow]) -> None:
        live = [row for row in rows if row.health != Health.DEAD] or rows
        row = self.rng.choice(live)
        if (
            await self.exchanger.exchange_with_entry(row) is None
            and row.health == Health.ALIVE
        ):
            self.peers.suspect(row.name, self.clock.now_ms())
