"""Gossip exchanges: selects the changes a partner lacks and merges what it sends."""

from collections.abc import Awaitable, Callable

import attrs

from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.fleet.model import FleetConfiguration
from wagtailrun.gossip.configuration import ConfigDissemination
from wagtailrun.gossip.growth import Source
from wagtailrun.gossip.messages import (
    EntryRow,
    GossipExchange,
    Health,
    Marks,
    pack_confirmations,
    unpack_confirmations,
)
from wagtailrun.gossip.peers import Partner, PeerTable
from wagtailrun.gossip.push import PeerClient
from wagtailrun.gossip.target_monitor import TargetMonitor
from wagtailrun.ports.link import Address
from wagtailrun.targets.path_hints import PathHint
from wagtailrun.targets.table import ChangeLog, Membership, TargetRow

__all__ = ["Exchanger", "HintReceiver"]

HintReceiver = Callable[[str, str, tuple[PathHint, ...]], Awaitable[None]]

EXCHANGE_TIMEOUT_MS = 250
# Limits of one message, derived from a budget of 4 KB/s for two exchanges and two
# replies a second. An entry that receives the announcements of many targets spends its
# share on forwards: each forward beyond USUAL_FORWARDS a round takes the place of one
# growth record, and so does each confirmation of a revision. One record remains, as the
# load of that entry's targets would otherwise reach only their watchers.
GROWTH_PER_MESSAGE = 10
MIN_GROWTH_PER_MESSAGE = 1
USUAL_FORWARDS = 5
ROWS_PER_MESSAGE = 40
CONFIRMATIONS_PER_MESSAGE = 8
MAX_HOOK_BYTES = 64 * 1024


class Exchanger:
    """Exchanges changed rows with partners, as initiator and as responder.

    Args:
        client: Calls other entries.
        peers: Known entries.
        membership: Known targets.
        targets: Merges rows of targets.
        config: Fetches newer fleet configurations.
    """

    def __init__(
        self,
        client: PeerClient,
        peers: PeerTable,
        membership: Membership,
        targets: TargetMonitor,
        config: ConfigDissemination,
    ):
        self.client = client
        self.clock = client.clock
        self.peers = peers
        self.membership = membership
        self.targets = targets
        self.config = config
        self.hook_out: Callable[[str], bytes] = lambda partner: b""
        self.hook_in: Callable[[str, bytes], None] = lambda partner, data: None
        # The configuration that selected the targets of the last message to another
        # data centre.
        self.shared_fleet: FleetConfiguration | None = None
        self.own_hints: Callable[[], tuple[PathHint, ...]] = tuple
        self.receive_hints: HintReceiver | None = None

    async def exchange_with_address(self, address: Address) -> EntryRow | None:
        """Exchange with the entry at ``address``; see ``exchange_with_entry``."""
        for row in list(self.peers.rows_by_name.values()):
            if row.address == address:
                return await self._exchange(row.address, row)
        return await self._exchange(address)

    async def exchange_with_entry(self, row: EntryRow) -> EntryRow | None:
        """Exchange with an entry; return its row, or None if it does not answer."""
        return await self._exchange(row.address, row)

    async def _exchange(
        self, address: Address, row: EntryRow | None = None
    ) -> EntryRow | None:
        """Exchange with the entry at ``address``; its row is None if it is unknown."""
        if row is None:
            partner, local = Partner(), True
        else:
            partner = self.peers.partner(row)
            local = row.data_centre == self.peers.data_centre
        message = self._build_message(partner, row, None, local)
        try:
            reply = await self.client.call(address, message, EXCHANGE_TIMEOUT_MS)
        except PeerUnreachable:
            reply = None
        if not isinstance(reply, GossipExchange):
            partner.growth.record_lost(message.sent.growth)
            return None
        partner.growth.record_received(message.sent.growth)
        if row is not None and reply.sender.incarnation == row.incarnation:
            self.peers.partner(row).sent = message.sent
        self.client.record_contact(reply.sender.data_centre)
        await self._apply_exchange(reply)
        self._mark_equal_digests(self.peers.partner(reply.sender), reply)
        return reply.sender

    def _mark_equal_digests(self, partner: Partner, answer: GossipExchange) -> None:
        """Mark all changes as sent to a partner whose digests equal the own ones."""
        states, entries = self.membership.state_log, self.peers.row_log
        if answer.targets_digest == states.digest:
            partner.sent = attrs.evolve(partner.sent, targets=states.number)
        if answer.entries_digest == entries.digest:
            partner.sent = attrs.evolve(partner.sent, entries=entries.number)

    async def handle_exchange(self, message: GossipExchange) -> GossipExchange:
        """Merge the rows that another entry sends and return those it lacks."""
        await self._apply_exchange(message)
        sender = message.sender
        partner = self.peers.partner(sender)
        own = message.seen.incarnation == self.peers.own.incarnation
        partner.sent = message.seen if own else Marks(self.peers.own.incarnation)
        partner.growth.record_seen(partner.sent.growth)
        local = sender.data_centre == self.peers.data_centre
        return self._build_message(partner, sender, message, local)

    async def _apply_exchange(self, message: GossipExchange) -> None:
        sender = message.sender
        local = sender.data_centre == self.peers.data_centre
        now_ms = self.clock.now_ms()
        self.peers.put(sender, now_ms)
        for aged in message.targets:
            if local or aged.row.data_centre == sender.data_centre:
                self.targets.merge_row(aged, now_ms)
        self.targets.merge_growth(message.growth)
        if not local:
            for row in self.membership.targets_by_name.values():
                if row.data_centre == sender.data_centre and self._is_confirmed(
                    sender, row
                ):
                    self.targets.record_confirmation(row, now_ms)
        for entry in message.entries:
            self.peers.put(entry, now_ms)
        names_by_id = self.peers.names_by_id()
        for confirmation in unpack_confirmations(message.confirmed):
            self.peers.confirm(confirmation, names_by_id)
        partner = self.peers.partner(sender)
        partner.seen = message.sent
        if message.hook and local:
            self.hook_in(sender.name, message.hook)
        if message.path_hints and self.receive_hints is not None:
            hints = message.path_hints
            await self.receive_hints(sender.name, sender.data_centre, hints)
        if local:
            await self.config.fetch_if_newer(sender.version, sender.address)

    def _is_confirmed(self, sender: EntryRow, row: TargetRow) -> bool:
        """Return whether an exchange confirms a target of the sender's data centre.

        Of targets that are not shared, a departure is not sent either. A sender with
        another configuration may share the target although this one does not.
        """
        store = self.config.store
        return sender.version != store.version or _is_shared(store.fleet, row)

    def _build_message(
        self,
        partner: Partner,
        row: EntryRow | None,
        request: GossipExchange | None,
        local: bool = True,
    ) -> GossipExchange:
        """Return the changes since the partner's marks, as a request or a reply.

        Args:
            partner: Exchange state of the partner.
            row: Row of the partner, None if it is not known yet.
            request: Message to reply to, None to build a request.
            local: Whether the partner is in the same data centre.
        """
        if not local:
            self._repeat_newly_shared()
        sent = partner.sent
        membership, peers = self.membership, self.peers
        states, entries_log = membership.state_log, peers.row_log
        targets, targets_mark = _select_changes(
            states, sent.targets, None if request is None else request.targets_digest
        )
        entries, entries_mark = _select_changes(
            entries_log,
            sent.entries,
            None if request is None else request.entries_digest,
        )
        if row is not None and self._is_suspected(row) and row.name not in entries:
            # The partner can refute a suspicion only once it knows of it.
            entries.append(row.name)
        confirmed, confirmed_mark = peers.confirmed_log.first_changed_since(
            sent.confirmed, CONFIRMATIONS_PER_MESSAGE
        )
        if not local:
            targets = [name for name in targets if self._is_fallback_target(name)]
            entries, confirmed = [], []
        extra = max(self.targets.forwards - USUAL_FORWARDS, 0) + len(confirmed)
        limit = max(GROWTH_PER_MESSAGE - extra, MIN_GROWTH_PER_MESSAGE)
        growth = self._select_growth(partner, local, limit)
        hook = self.hook_out(row.name) if row is not None and local else b""
        if len(hook) > MAX_HOOK_BYTES:
            raise ValueError(
                f"gossip hook returned {len(hook)} bytes, limit is {MAX_HOOK_BYTES}"
            )
        return GossipExchange(
            sender=peers.own,
            seen=partner.seen,
            sent=Marks(
                peers.own.incarnation,
                targets_mark,
                partner.growth.message,
                entries_mark,
                confirmed_mark,
            ),
            targets=tuple(self.targets.aged_rows(targets)),
            growth=self.targets.packed_growth(growth),
            entries=tuple(peers.rows_by_name[name] for name in entries),
            confirmed=pack_confirmations(
                peers.rows_by_name[name] for name in confirmed
            ),
            hook=hook,
            targets_digest=states.digest,
            entries_digest=entries_log.digest,
            # The data centre of a process without a row may be another one.
            path_hints=self.own_hints() if row is not None and local else (),
        )

    def _select_growth(self, partner: Partner, local: bool, limit: int) -> list[str]:
        log = self.membership.update_log
        if local:
            return partner.growth.select(log, limit, source=self._source)
        # Only the watchers exchange with other data centres, on behalf of all entries.
        return partner.growth.select(log, limit, is_shared=self._is_fallback_target)

    def _source(self, name: str) -> Source:
        if self.membership.is_announced_here(name):
            return Source.ANNOUNCED
        watched = name in (self.membership.watched_since_ms_by_name or ())
        return Source.WATCHED if watched else Source.GOSSIP

    def _is_suspected(self, row: EntryRow) -> bool:
        known = self.peers.rows_by_name.get(row.name)
        return known is not None and known.health != Health.ALIVE

    def _repeat_newly_shared(self) -> None:
        """Send targets once more that the configuration has begun to share.

        Messages of before left them out, yet their marks count them as sent.
        """
        fleet, before = self.config.store.fleet, self.shared_fleet
        if fleet is before:
            return
        self.shared_fleet = fleet
        for name, row in self.membership.targets_by_name.items():
            if self._is_fallback_target(name) and not _is_shared(before, row):
                self.membership.repeat_state(name)

    def _is_fallback_target(self, name: str) -> bool:
        """Return whether other data centres may use this data centre's target."""
        row = self.membership.targets_by_name[name]
        return self.membership.is_local(row) and _is_shared(
            self.config.store.fleet, row
        )


def _is_shared(fleet: FleetConfiguration | None, row: TargetRow) -> bool:
    """Return whether other data centres may use a target's service."""
    service = None if fleet is None else fleet.services_by_name.get(row.service)
    return service is not None and service.fallback


def _select_changes(
    log: ChangeLog, mark: int, digest: int | None
) -> tuple[list[str], int]:
    """Return the names of rows to send to a partner, and its mark afterwards.

    A partner to which nothing was sent yet gets all rows in a reply if the digest in
    its request differs. In a request, where its digest is not known, it gets none,
    because it most likely has the rows from others already. A request also carries
    none if ``ROWS_PER_MESSAGE`` or more rows changed.

    Args:
        log: Changes.
        mark: Newest change known to the partner, or 0.
        digest: Digest of the partner, None in a request.
    """
    if digest == log.digest:
        return [], log.number
    names, next_mark = log.first_changed_since(mark, ROWS_PER_MESSAGE)
    if digest is None and (not mark or len(names) == ROWS_PER_MESSAGE):
        return [], mark
    if mark:
        return names, next_mark
    return log.first_changed_since(0, len(log.change_numbers_by_name))
