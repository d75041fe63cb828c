"""Dissemination of the fleet configuration: long polling, push tree and fetches."""

from typing import Any

import attrs
import curio

from wagtailrun.exceptions import FleetTextError, MessageError, PeerUnreachable
from wagtailrun.fleet.diff import DiffMismatch
from wagtailrun.gossip.messages import GossipFetch, GossipTaken, GossipText
from wagtailrun.gossip.peers import PeerTable, rendezvous
from wagtailrun.gossip.push import PeerClient
from wagtailrun.gossip.text import FleetConfigStore
from wagtailrun.messages import Ping
from wagtailrun.ports.link import Address
from wagtailrun.registry.messages import TextUpdate, WatchText

__all__ = ["ConfigDissemination"]

CONFIG_WATCHERS = 2
# Polls are short and rotate over the control members, because a member that is cut off
# from the others still answers polls but learns of no change. With one such member of
# three, a change is seen at most WATCH_TIMEOUT_MS later.
LONG_POLL_MS = 1_000
WATCH_TIMEOUT_MS = 1_500
IDLE_POLL_MS = 250
PING_TIMEOUT_MS = 500
# A configuration must be active on every entry within 4 s. Three fetches fit into that
# time, so two of them may be lost.
FETCH_TIMEOUT_MS = 1_000
# Raised for a configuration or message that this entry cannot use.
CONFIG_ERRORS = (DiffMismatch, FleetTextError, MessageError, ValueError)


class ConfigDissemination:
    """Activates the newest fleet configuration and pushes it to other entries.

    Args:
        client: Calls other processes.
        peers: Known entries.
        controls: Peer addresses of the control members.
    """

    def __init__(
        self, client: PeerClient, peers: PeerTable, controls: tuple[Address, ...]
    ):
        self.client = client
        self.clock = client.clock
        self.peers = peers
        self.controls = controls
        self.store = FleetConfigStore()
        self.joined = False
        self.fetching = False
        self.last_error = ""

    def is_watcher(self) -> bool:
        """Return whether this entry is one of those that poll the control members."""
        if self.client.is_isolated():
            return True
        live = self.peers.live_names()
        return self.peers.name in rendezvous("watch", live, CONFIG_WATCHERS)

    async def is_control_reachable(self) -> bool:
        """Return whether a control member answers."""
        for control in self.controls:
            try:
                ping = Ping(self.peers.name)
                await self.client.call(control, ping, PING_TIMEOUT_MS)
                return True
            except PeerUnreachable:
                continue
        return False

    async def poll(self) -> None:
        """Poll the control members in turn while this entry is a watcher."""
        live = self.peers.live_names()
        ranked = rendezvous("watch", live, len(live))
        # Starting at the own rank makes the two watchers poll different members.
        number = ranked.index(self.peers.name)
        whole = False
        while True:
            if not self.controls or not self.joined or not self.is_watcher():
                await self.clock.sleep_ms(IDLE_POLL_MS)
                continue
            control = self.controls[number % len(self.controls)]
            number += 1
            revision = 0 if whole else self.store.version[1]
            request = WatchText(revision, LONG_POLL_MS)
            whole = False
            try:
                update = await self.client.call(control, request, WATCH_TIMEOUT_MS)
                if isinstance(update, TextUpdate) and self.store.apply_update(update):
                    await self._push_update()
            except PeerUnreachable:
                await self.clock.sleep_ms(IDLE_POLL_MS)
            except DiffMismatch:
                whole = True
            except CONFIG_ERRORS as error:
                self.last_error = str(error)
                await self.clock.sleep_ms(LONG_POLL_MS)

    async def _push_update(self) -> None:
        """Push the active configuration to all entries of the data centre."""
        self.peers.confirm_own(self.store.version)
        base = self.store.previous_version()
        message = self.store.build_message(self.peers.own, base, whole=False)
        members = self.client.push_members()
        await curio.spawn(self.client.push, members, message, daemon=True)

    async def handle_push(self, message: GossipText) -> GossipTaken:
        """Apply a pushed configuration and forward it to the message's members."""
        if message.members:
            await curio.spawn(
                self.client.push, list(message.members), message, daemon=True
            )
        try:
            self._apply_message(message)
        except CONFIG_ERRORS:
            await self.start_fetch(message.sender.address)
        return GossipTaken(*self.store.version)

    def _apply_message(self, message: GossipText) -> None:
        if self.store.apply_message(message):
            self.peers.confirm_own(self.store.version)

    async def fetch_if_newer(self, version: tuple[int, int], address: Address) -> None:
        """Start to fetch from a partner if its ``version`` is newer."""
        if version > self.store.version:
            await self.start_fetch(address)

    async def start_fetch(self, address: Address) -> None:
        """Start to fetch a partner's configuration unless a fetch is in progress."""
        if not self.fetching:
            self.fetching = True
            await curio.spawn(self.fetch_latest, address, daemon=True)

    async def fetch_latest(self, address: Address) -> None:
        """Fetch the newest configuration of a partner.

        The whole document is requested if the difference cannot be applied.
        """
        self.fetching = True
        try:
            for whole in (False, True):
                request = GossipFetch(*self.store.version, whole)
                reply = await self.client.call(address, request, FETCH_TIMEOUT_MS)
                try:
                    self._apply_message(reply)
                    return
                except CONFIG_ERRORS as error:
                    self.last_error = str(error)
        except PeerUnreachable:
            # The gossip exchange with the next partner starts another fetch.
            return
        finally:
            self.fetching = False

    def answer_fetch(self, request: GossipFetch) -> Any:
        """Return the newest configuration, as a difference if the base is kept."""
        base = (request.term, request.revision)
        message = self.store.build_message(self.peers.own, base, request.whole)
        return attrs.evolve(message, sender=self.peers.own)
