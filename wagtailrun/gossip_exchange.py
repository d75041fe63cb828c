"""Gossip exchanges: what is sent to a partner, and what is taken from it."""

import itertools
from collections.abc import Callable

import attrs

from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip_config import ConfigDissemination
from wagtailrun.gossip_messages import (
    EntryRow,
    GossipExchange,
    Health,
    Marks,
    pack_confirmations,
    unpack_confirmations,
)
from wagtailrun.gossip_peers import Partner, PeerTable
from wagtailrun.gossip_push import Contact
from wagtailrun.gossip_targets import TargetWatch
from wagtailrun.membership import ChangeLog, Membership
from wagtailrun.ports.link import Address

__all__ = ["Exchanges"]

EXCHANGE_TIMEOUT_MS = 250
# Limits of one message, from 4 KB/s for two exchanges and two replies a second. An
# entry that hears many targets spends its share on forwards: beyond the usual number a
# round, each takes the place of one record of growth in gossip, and so does each
# confirmation of a revision.
GROWTH_PER_MESSAGE = 10
USUAL_FORWARDS = 5
ROWS_PER_MESSAGE = 40
CONFIRMATIONS_PER_MESSAGE = 8
MAX_HOOK_BYTES = 64 * 1024


class Exchanges:
    """Exchanges changed rows with one partner after the other.

    Args:
        contact: Calls other entries.
        peers: Known entries.
        membership: Known targets.
        targets: Takes rows of targets.
        config: Fetches newer texts.
    """

    def __init__(
        self,
        contact: Contact,
        peers: PeerTable,
        membership: Membership,
        targets: TargetWatch,
        config: ConfigDissemination,
    ):
        self.contact = contact
        self.clock = contact.clock
        self.peers = peers
        self.membership = membership
        self.targets = targets
        self.config = config
        self.hook_out: Callable[[str], bytes] = lambda partner: b""
        self.hook_in: Callable[[str, bytes], None] = lambda partner, data: None

    async def with_address(self, address: Address) -> EntryRow | None:
        """Exchange with whoever is at ``address``; see ``with_entry``."""
        for row in list(self.peers.rows_by_name.values()):
            if row.address == address:
                return await self._exchange(row)
        return await self._exchange(None, address)

    async def with_entry(self, row: EntryRow) -> EntryRow | None:
        """Exchange with an entry; return its row, or None without an answer."""
        return await self._exchange(row)

    async def _exchange(
        self, row: EntryRow | None, address: Address | None = None
    ) -> EntryRow | None:
        """Exchange rows with one entry; return its row, or None without an answer."""
        if row is None:
            message = self._message(Partner(), None, None)
        else:
            address = row.address
            partner = self.peers.partner(row)
            local = row.data_centre == self.peers.data_centre
            message = self._message(partner, row, None, local)
        try:
            answer = await self.contact.call(address, message, EXCHANGE_TIMEOUT_MS)
        except PeerUnreachable:
            return None
        if not isinstance(answer, GossipExchange):
            return None
        if row is not None and answer.sender.incarnation == row.incarnation:
            self.peers.partner(row).sent = message.sent
        self.contact.heard(answer.sender.data_centre)
        await self._take_exchange(answer)
        self._note_equal(self.peers.partner(answer.sender), answer)
        return answer.sender

    def _note_equal(self, partner: Partner, answer: GossipExchange) -> None:
        """Mark everything as known to a partner that has the same digests."""
        states, entries = self.membership.state_log, self.peers.row_log
        if answer.targets_digest == states.digest:
            partner.sent = attrs.evolve(partner.sent, targets=states.number)
        if answer.entries_digest == entries.digest:
            partner.sent = attrs.evolve(partner.sent, entries=entries.number)

    async def answer(self, message: GossipExchange) -> GossipExchange:
        """Take what another entry sends and return what it has not seen."""
        await self._take_exchange(message)
        sender = message.sender
        partner = self.peers.partner(sender)
        own = message.seen.incarnation == self.peers.own.incarnation
        partner.sent = message.seen if own else Marks(self.peers.own.incarnation)
        local = sender.data_centre == self.peers.data_centre
        return self._message(partner, sender, message, local)

    async def _take_exchange(self, message: GossipExchange) -> None:
        sender = message.sender
        local = sender.data_centre == self.peers.data_centre
        now_ms = self.clock.now_ms()
        self.peers.put(sender, now_ms)
        for aged in message.targets:
            if local or aged.row.data_centre == sender.data_centre:
                self.targets.take_row(aged, now_ms)
        self.targets.take_growth(message.growth)
        if not local:
            for row in self.membership.targets_by_name.values():
                if row.data_centre == sender.data_centre:
                    self.targets.refresh(row, now_ms)
        for entry in message.entries:
            self.peers.put(entry, now_ms)
        names_by_id = self.peers.names_by_id()
        for confirmation in unpack_confirmations(message.confirmed):
            self.peers.confirm(confirmation, names_by_id)
        partner = self.peers.partner(sender)
        partner.seen = message.sent
        if message.hook and local:
            self.hook_in(sender.name, message.hook)
        if local:
            await self.config.repair(sender.version, sender.address)

    def _message(
        self,
        partner: Partner,
        row: EntryRow | None,
        question: GossipExchange | None,
        local: bool = True,
    ) -> GossipExchange:
        """Return what changed since the partner's marks, as question or as answer."""
        sent = partner.sent
        membership, peers = self.membership, self.peers
        states, entries_log = membership.state_log, peers.row_log
        targets, targets_mark = _changes(
            states, sent.targets, question and question.targets_digest
        )
        entries, entries_mark = _changes(
            entries_log, sent.entries, question and question.entries_digest
        )
        if row is not None and self._is_suspected(row) and row.name not in entries:
            # The partner can only refute what it is told.
            entries.append(row.name)
        grown = membership.update_log.changed_since(sent.growth)
        confirmed, confirmed_mark = peers.confirmed_log.first_changed_since(
            sent.confirmed, CONFIRMATIONS_PER_MESSAGE
        )
        extra = max(self.targets.forwards - USUAL_FORWARDS, 0) + len(confirmed)
        growth = list(itertools.islice(grown, max(GROWTH_PER_MESSAGE - extra, 0)))
        if not local:
            targets = [name for name in targets if self._is_offered(name)]
            growth = [name for name in growth if self._is_offered(name)]
            entries, confirmed = [], []
        hook = self.hook_out(row.name) if row is not None and local else b""
        if len(hook) > MAX_HOOK_BYTES:
            raise ValueError(f"hook returned {len(hook)} bytes, over {MAX_HOOK_BYTES}")
        return GossipExchange(
            sender=peers.own,
            seen=partner.seen,
            sent=Marks(
                peers.own.incarnation,
                targets_mark,
                membership.update_log.number,
                entries_mark,
                confirmed_mark,
            ),
            targets=tuple(self.targets.aged(targets)),
            growth=self.targets.growth(growth),
            entries=tuple(peers.rows_by_name[name] for name in entries),
            confirmed=pack_confirmations(
                peers.rows_by_name[name] for name in confirmed
            ),
            hook=hook,
            targets_digest=states.digest,
            entries_digest=entries_log.digest,
        )

    def _is_suspected(self, row: EntryRow) -> bool:
        known = self.peers.rows_by_name.get(row.name)
        return known is not None and known.health != Health.ALIVE

    def _is_offered(self, name: str) -> bool:
        """Return whether other data centres may use a target of this one."""
        row = self.membership.targets_by_name[name]
        fleet = self.config.store.fleet
        if not self.membership.is_local(row) or fleet is None:
            return False
        service = fleet.services_by_name.get(row.service)
        return service is not None and service.fallback


def _changes(log: ChangeLog, mark: int, digest: int | None) -> tuple[list[str], int]:
    """Return the names to send to a partner, and its mark afterwards.

    A partner that was sent nothing yet gets everything in an answer if the digest in
    its question differs, and nothing in a question, where its digest is not known; it
    most likely has the rows from others already. So it is with many changes.

    Args:
        log: Changes.
        mark: Newest change known to the partner, or 0.
        digest: Digest of the partner, or None in a question.
    """
    if digest == log.digest:
        return [], log.number
    names, next_mark = log.first_changed_since(mark, ROWS_PER_MESSAGE)
    if digest is None and (not mark or len(names) == ROWS_PER_MESSAGE):
        return [], mark
    if mark:
        return names, next_mark
    return log.first_changed_since(0, len(log.change_numbers_by_name))
