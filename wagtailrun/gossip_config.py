"""Spreads the fleet text: long poll by two watchers, push tree, repair by fetching."""

from typing import Any

import attrs
import curio

from wagtailrun.exceptions import FleetTextError, MessageError, PeerUnreachable
from wagtailrun.fleet_diff import DiffMismatch
from wagtailrun.gossip_messages import GossipFetch, GossipTaken, GossipText
from wagtailrun.gossip_peers import PeerTable, rendezvous
from wagtailrun.gossip_push import Contact
from wagtailrun.gossip_text import TextStore
from wagtailrun.messages import Ping
from wagtailrun.ports.link import Address
from wagtailrun.registry_messages import TextUpdate, WatchText

__all__ = ["ConfigDissemination"]

CONFIG_WATCHERS = 2
# A poll is short and the next one goes to the next control member, because a member
# that is cut off from the others answers polls but learns of no change. With one such
# member of three, a change is seen WATCH_TIMEOUT_MS later at most.
WATCH_WAIT_MS = 1_000
WATCH_TIMEOUT_MS = 1_500
IDLE_POLL_MS = 250
PING_TIMEOUT_MS = 500
# Three fetches fit in the 4 s in which a text must be in force, so two may get lost.
FETCH_TIMEOUT_MS = 1_000
# Errors of a text or message that this entry cannot use.
TEXT_ERRORS = (DiffMismatch, FleetTextError, MessageError, ValueError)


class ConfigDissemination:
    """Keeps the newest text in force and passes it on.

    Args:
        contact: Calls other processes.
        peers: Known entries.
        controls: Peer addresses of the control members.
    """

    def __init__(
        self, contact: Contact, peers: PeerTable, controls: tuple[Address, ...]
    ):
        self.contact = contact
        self.clock = contact.clock
        self.peers = peers
        self.controls = controls
        self.store = TextStore()
        self.joined = False
        self.fetching = False
        self.last_fault = ""

    def is_watcher(self) -> bool:
        """Return whether this entry polls the control members."""
        if self.contact.is_isolated():
            return True
        live = self.peers.live_names()
        return self.peers.name in rendezvous("watch", live, CONFIG_WATCHERS)

    async def reaches_control(self) -> bool:
        """Return whether a control member answers."""
        for control in self.controls:
            try:
                ping = Ping(self.peers.name)
                await self.contact.call(control, ping, PING_TIMEOUT_MS)
                return True
            except PeerUnreachable:
                continue
        return False

    async def poll(self) -> None:
        """Poll the control members in turn while this entry is a watcher."""
        live = self.peers.live_names()
        ranked = rendezvous("watch", live, len(live))
        # The two watchers poll different members.
        number = ranked.index(self.peers.name)
        whole = False
        while True:
            if not self.controls or not self.joined or not self.is_watcher():
                await self.clock.sleep_ms(IDLE_POLL_MS)
                continue
            control = self.controls[number % len(self.controls)]
            number += 1
            revision = 0 if whole else self.store.version[1]
            question = WatchText(revision, WATCH_WAIT_MS)
            whole = False
            try:
                update = await self.contact.call(control, question, WATCH_TIMEOUT_MS)
                if isinstance(update, TextUpdate) and self.store.take_update(update):
                    await self._push_news()
            except PeerUnreachable:
                await self.clock.sleep_ms(IDLE_POLL_MS)
            except DiffMismatch:
                whole = True
            except TEXT_ERRORS as error:
                self.last_fault = str(error)
                await self.clock.sleep_ms(WATCH_WAIT_MS)

    async def _push_news(self) -> None:
        """Push the text in force to all entries."""
        self.peers.confirm_own(self.store.version)
        base = self.store.previous()
        message = self.store.message(self.peers.own, base, whole=False)
        members = self.contact.push_members()
        await curio.spawn(self.contact.push, members, message, daemon=True)

    async def take_push(self, message: GossipText) -> GossipTaken:
        """Put a pushed text in force and pass it on."""
        if message.members:
            await curio.spawn(
                self.contact.push, list(message.members), message, daemon=True
            )
        try:
            self._take(message)
        except TEXT_ERRORS:
            await self.fetch(message.sender.address)
        return GossipTaken(*self.store.version)

    def _take(self, message: GossipText) -> None:
        if self.store.take(message):
            self.peers.confirm_own(self.store.version)

    async def repair(self, version: tuple[int, int], address: Address) -> None:
        """Fetch the text of a partner that has a newer one."""
        if version > self.store.version:
            await self.fetch(address)

    async def fetch(self, address: Address) -> None:
        """Start to fetch the newest text of a partner, unless a fetch is under way."""
        if not self.fetching:
            self.fetching = True
            await curio.spawn(self.fetch_now, address, daemon=True)

    async def fetch_now(self, address: Address) -> None:
        """Fetch the newest text of a partner; whole if the difference does not fit."""
        self.fetching = True
        try:
            for whole in (False, True):
                question = GossipFetch(*self.store.version, whole)
                answer = await self.contact.call(address, question, FETCH_TIMEOUT_MS)
                try:
                    self._take(answer)
                    return
                except TEXT_ERRORS as error:
                    self.last_fault = str(error)
        except PeerUnreachable:
            # Gossip with the next partner starts another fetch.
            return
        finally:
            self.fetching = False

    def answer(self, question: GossipFetch) -> Any:
        """Return the newest text, as a difference if the asker's base is kept."""
        base = (question.term, question.revision)
        message = self.store.message(self.peers.own, base, question.whole)
        return attrs.evolve(message, sender=self.peers.own)
