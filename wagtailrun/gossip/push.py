"""Calls between entries, and pushes along a tree of entries."""

import random
from typing import Any

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip.messages import GossipTaken, Health
from wagtailrun.gossip.peers import PeerTable
from wagtailrun.ports.link import Address, PeerLink

__all__ = ["PeerClient", "split_members"]

FAN_OUT = 3
PUSH_TIMEOUT_MS = 250
# Several gossip intervals, but shorter than TARGET_TIMEOUT_MS, so that an entry that is
# cut off detects its isolation before it declares targets silent.
ISOLATION_TIMEOUT_MS = 1_500


def split_members(members: list[str]) -> list[list[str]]:
    """Return ``members`` as at most ``FAN_OUT`` groups of nearly equal size."""
    return [members[n::FAN_OUT] for n in range(FAN_OUT) if members[n::FAN_OUT]]


class PeerClient:
    """Calls other entries and records when one last answered.

    Args:
        clock: Clock.
        link: Link to other processes.
        peers: Known entries.
        seeds: Addresses at which other entries may be reached.
        rng: Random number generator.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        peers: PeerTable,
        seeds: tuple[Address, ...],
        rng: random.Random,
    ):
        self.clock = clock
        self.link = link
        self.peers = peers
        self.seeds = [seed for seed in seeds if seed != peers.own.address]
        self.rng = rng
        self.last_contact_ms = clock.now_ms()
        # Until when this entry is taken to lack what connections need.
        self.short_until_ms = 0
        self.calls = 0

    async def call(self, address: Address, message: Any, timeout_ms: int) -> Any:
        """Send ``message`` to another process; see ``PeerLink.call``."""
        self.calls += 1
        try:
            return await self.link.call(address, message, timeout_ms)
        except PeerUnreachable as error:
            if error.shortage:
                self.short_until_ms = self.clock.now_ms() + ISOLATION_TIMEOUT_MS
            raise

    def record_contact(self, data_centre: str) -> None:
        """Record that an entry of ``data_centre`` answered.

        Incoming requests do not count: an entry whose messages are all lost still
        receives requests, and must not trust its own view.
        """
        local = data_centre == self.peers.data_centre
        if local or not self.peers.others(Health.DEAD):
            self.last_contact_ms = self.clock.now_ms()

    def is_isolated(self) -> bool:
        """Return whether other entries are known but none has answered recently.

        While the table has other entries of this data centre, even dead ones, only
        their answers count. An entry that cannot open connections is isolated, too.
        """
        others = self.seeds or self.peers.others(Health.DEAD)
        now_ms = self.clock.now_ms()
        is_short = now_ms < self.short_until_ms
        is_silent = now_ms - self.last_contact_ms >= ISOLATION_TIMEOUT_MS
        return bool(others) and (is_short or is_silent)

    async def push(self, members: list[str], message: Any) -> None:
        """Send ``message`` to ``members`` along a tree.

        Each child forwards it to its group of ``members``. A child that does not answer
        is replaced by the next member of its group.
        """
        async with curio.TaskGroup() as group:
            for part in split_members(members):
                await group.spawn(self._push_part, part, message)

    async def _push_part(self, part: list[str], message: Any) -> None:
        for position, name in enumerate(part):
            row = self.peers.rows_by_name.get(name)
            if row is None:
                continue
            handed = attrs.evolve(message, members=tuple(part[position + 1 :]))
            try:
                reply = await self.call(row.address, handed, PUSH_TIMEOUT_MS)
            except PeerUnreachable:
                continue
            self.record_contact(row.data_centre)
            if isinstance(reply, GossipTaken):
                self.peers.confirm_row(name, (reply.term, reply.revision))
            return

    def push_members(self) -> list[str]:
        """Return the names of the other local entries in random order."""
        names = [row.name for row in self.peers.others()]
        self.rng.shuffle(names)
        return names
