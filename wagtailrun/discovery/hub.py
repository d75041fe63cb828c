"""Control side of discovery: collects reports, passes them on, answers entries."""

import secrets
from collections.abc import Callable
from typing import Any

import attrs
import curio

from wagtailrun import events
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.consensus import Member
from wagtailrun.consensus_state import Signal
from wagtailrun.discovery.messages import (
    AgedEntry,
    News,
    NewsMarks,
    PollNews,
    RowsTaken,
    ShareRows,
)
from wagtailrun.exceptions import ConsensusUnavailable, MessageError, PeerUnreachable
from wagtailrun.gossip_messages import AgedRow, EntryRow, Health
from wagtailrun.membership import ChangeLog, Membership, TargetRow
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.registry import Registry

__all__ = ["Hub"]

# A change must be in force everywhere within 2 s; heartbeats that change nothing may
# travel together.
SHARE_INTERVAL_MS = 400
SHARE_TIMEOUT_MS = 500
# Heartbeats may come seconds late; three and a half are as many as may be missed.
SILENT_AFTER_HEARTBEATS = 3.5
JUDGE_INTERVAL_MS = 300
# A judge that slept for longer was frozen, so nobody could be heard.
FROZEN_AFTER_MS = 1_000
# Entries poll about three times a second.
ENTRY_SILENCE_MS = 2_000
CONFIRM_TIMEOUT_MS = 400
FORGET_INTERVAL_MS = 60_000
# The longest hold that a poll may ask for.
MAX_WAIT_MS = 2_000


@attrs.define
class _Partner:
    """What another control member has of the rows heard here."""

    epoch: int = 0
    mark: int = 0
    reachable: bool = True


class Hub:
    """Knows the targets and entries that report here or at another control member.

    Args:
        clock: Clock.
        link: Link to the other control members.
        registry: Local copy of the agreed state.
        member: Returns the member of the replicated log that drives the registry.
        address: Peer address of this process.
        heartbeat_ms: Time between two heartbeats of a target.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        registry: Registry,
        member: Callable[[], Member],
        address: Address,
        heartbeat_ms: int,
    ):
        self.clock = clock
        self.link = link
        self.registry = registry
        self.member = member
        self.address = address
        self.silence_ms = int(heartbeat_ms * SILENT_AFTER_HEARTBEATS)
        self.epoch = secrets.randbits(63) | 1
        self.membership = Membership()
        self.entries_by_name: dict[str, EntryRow] = {}
        self.entry_heard_ms: dict[str, int] = {}
        self.entries_mark = 1
        # Names of targets and entries that reported here, for the other members.
        self.heard_targets = ChangeLog()
        self.heard_entries: set[str] = set()
        self.partners_by_address: dict[Address, _Partner] = {}
        self.changed = Signal()
        self.share_now = Signal()
        self.confirmations: list[tuple[curio.Event, list[bool]]] = []
        self.confirm_wanted = curio.Event()

    async def run(self) -> None:
        """Pass on, judge and confirm until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._share)
            await group.spawn(self._judge)
            await group.spawn(self._confirm)
            await group.spawn(self._watch_texts)

    async def handle(self, message: Any) -> Any:
        """Answer one message of discovery.

        Raises:
            MessageError: If it is no question of this channel.
        """
        match message:
            case PollNews():
                return await self._answer(message)
            case ShareRows():
                return await self._take(message)
        raise MessageError(f"{type(message).__name__} is not answered here")

    # Reports of targets

    async def report(self, row: TargetRow) -> None:
        """Take a report that a target sent here; returns once others may know it."""
        now_ms = self.clock.now_ms()
        before = self.membership.state_log.number
        if not self.membership.put(row, now_ms):
            return
        self.heard_targets.record_change(row.name)
        self._retire_address(row, now_ms)
        if self.membership.state_log.number > before:
            self._log_target(row)
            await self.share_now.notify()
            await self.changed.notify()

    async def leave(self, name: str, incarnation: int) -> None:
        """Take a target's word that it leaves without having drained."""
        row = self.membership.targets_by_name.get(name)
        if row is None or incarnation and incarnation < row.incarnation:
            return
        await self.report(attrs.evolve(row, leaving=True))

    def _retire_address(self, row: TargetRow, now_ms: int) -> None:
        """Drop the older of two targets that claim the same address.

        A heartbeat that a partition delayed may come after its sender has crashed and
        another target has taken the address.
        """
        for other in list(self.membership.targets_by_name.values()):
            same = other.address == row.address and other.name != row.name
            if not same or other.leaving:
                continue
            older = min(other, row, key=lambda each: each.incarnation)
            gone = attrs.evolve(older, leaving=True)
            if self.membership.put(gone, now_ms):
                self.heard_targets.record_change(gone.name)
                self._log_target(gone)

    def _log_target(self, row: TargetRow) -> None:
        events.log(
            events.TARGET_STATE_CHANGED,
            target=row.name,
            service=row.service,
            address=str(row.address),
            incarnation=row.incarnation,
            sequence=row.sequence,
            leaving=row.leaving,
            silent=row.silent,
        )

    # Answers to entries

    async def _answer(self, poll: PollNews) -> News:
        await self._hear_entry(poll.entry, 0)
        self.heard_entries.add(poll.entry.name)
        give_up_ms = self.clock.now_ms() + min(poll.wait_ms, MAX_WAIT_MS)
        while not self._has_news(poll.known):
            wait_ms = give_up_ms - self.clock.now_ms()
            if wait_ms <= 0:
                break
            await curio.ignore_after(wait_ms / MS_PER_SECOND, self.changed.wait)
        confirmed = await self._confirmed()
        return self._news(poll.known, confirmed)

    def _has_news(self, known: NewsMarks) -> bool:
        return (
            known.epoch != self.epoch
            or known.targets < self.membership.state_log.number
            or known.entries != self.entries_mark
            or known.revision < self.registry.revision
        )

    def _news(self, known: NewsMarks, confirmed: bool) -> News:
        same = known.epoch == self.epoch
        targets = self.membership.state_log.changed_since(known.targets if same else 0)
        entries_changed = not same or known.entries != self.entries_mark
        newer = self.registry.revision > known.revision
        return News(
            marks=NewsMarks(
                epoch=self.epoch,
                targets=self.membership.state_log.number,
                entries=self.entries_mark,
                revision=self.registry.revision if newer else known.revision,
            ),
            text=self.registry.text if newer else "",
            confirmed=confirmed,
            targets=tuple(self._aged(name) for name in targets),
            entries=tuple(self.entries_by_name.values()) if entries_changed else (),
            members=self._member_addresses(),
        )

    def _member_addresses(self) -> tuple[str, ...]:
        members = self.member().configuration.members
        return tuple(info.address for info in members) or (str(self.address),)

    def _aged(self, name: str) -> AgedRow:
        heard_ms = self.membership.last_contact_ms_by_name[name]
        age_ms = max(self.clock.now_ms() - heard_ms, 0)
        return AgedRow(self.membership.targets_by_name[name], age_ms)

    async def _confirmed(self) -> bool:
        """Return whether the local state was the newest after this call began."""
        done, result = curio.Event(), [False]
        self.confirmations.append((done, result))
        await self.confirm_wanted.set()
        await done.wait()
        return result[0]

    async def _confirm(self) -> None:
        """Confirm for all polls that wait, with one question to the leader."""
        while True:
            await self.confirm_wanted.wait()
            self.confirm_wanted.clear()
            # Polls that arrive from here on wait for the next question: one that was
            # asked before they came proves nothing about them.
            waiting, self.confirmations = self.confirmations, []
            try:
                await self.member().read_barrier(CONFIRM_TIMEOUT_MS)
                confirmed = True
            except ConsensusUnavailable as error:
                confirmed = False
                events.log(events.CONFIG_NOT_CONFIRMED, detail=str(error))
            for done, result in waiting:
                result[0] = confirmed
                await done.set()

    async def _watch_texts(self) -> None:
        revision = 0
        while True:
            member = self.member()
            await curio.ignore_after(1.0, member.applied.wait)
            if self.registry.revision > revision:
                revision = self.registry.revision
                events.log(events.FLEET_CONFIG_APPLIED, revision=revision)
                await self.changed.notify()

    # Entries

    async def _hear_entry(self, row: EntryRow, age_ms: int) -> None:
        heard_ms = self.clock.now_ms() - age_ms
        known = self.entries_by_name.get(row.name)
        if known is not None and row.precedence < known.precedence:
            return
        if row.health == Health.DEAD:
            await self._drop_entry(row.name)
            return
        if age_ms >= ENTRY_SILENCE_MS:
            return
        before_ms = self.entry_heard_ms.get(row.name, heard_ms)
        self.entry_heard_ms[row.name] = max(before_ms, heard_ms)
        if known is None or known.address != row.address:
            events.log(events.ENTRY_LIVENESS_CHANGED, entry=row.name, live=True)
            self.entries_by_name[row.name] = row
            self.entries_mark += 1
            await self.changed.notify()

    async def _drop_entry(self, name: str) -> None:
        self.entry_heard_ms.pop(name, None)
        if self.entries_by_name.pop(name, None) is not None:
            events.log(events.ENTRY_LIVENESS_CHANGED, entry=name, live=False)
            self.entries_mark += 1
            await self.changed.notify()

    # Other control members

    async def _share(self) -> None:
        """Pass on what was heard here, at once if it changes what others believe."""
        while True:
            await curio.ignore_after(
                SHARE_INTERVAL_MS / MS_PER_SECOND, self.share_now.wait
            )
            entries, self.heard_entries = self.heard_entries, set()
            async with curio.TaskGroup() as group:
                for text in self._member_addresses():
                    address = Address.parse(text)
                    if address != self.address:
                        await group.spawn(self._share_with, address, entries)

    async def _share_with(self, address: Address, entries: set[str]) -> None:
        partner = self.partners_by_address.setdefault(address, _Partner())
        names = self.heard_targets.changed_since(partner.mark)
        if not partner.epoch:
            # It has just started, or was never met: it needs all that is known here.
            names = iter(list(self.membership.targets_by_name))
        mark = self.heard_targets.number
        message = ShareRows(
            sender=str(self.address),
            targets=tuple(self._aged(name) for name in names),
            entries=tuple(self._aged_entries(entries)),
        )
        try:
            reply = await self.link.call(address, message, SHARE_TIMEOUT_MS)
        except PeerUnreachable as error:
            self._note_reach(partner, address, False, str(error))
            return
        self._note_reach(partner, address, True, "")
        if not isinstance(reply, RowsTaken):
            return
        partner.mark = mark
        if reply.epoch != partner.epoch:
            # A first answer of a new start: what was sent before it is lost.
            full = not partner.epoch
            partner.epoch = reply.epoch if full else 0

    def _note_reach(
        self, partner: _Partner, address: Address, reachable: bool, detail: str
    ) -> None:
        if partner.reachable != reachable:
            partner.reachable = reachable
            event = events.PEER_RECOVERED if reachable else events.PEER_LOST
            events.log(event, peer=str(address), detail=detail)

    def _aged_entries(self, names: set[str]) -> list[AgedEntry]:
        now_ms = self.clock.now_ms()
        return [
            AgedEntry(self.entries_by_name[name], now_ms - self.entry_heard_ms[name])
            for name in sorted(names)
            if name in self.entries_by_name
        ]

    async def _take(self, message: ShareRows) -> RowsTaken:
        now_ms = self.clock.now_ms()
        before = self.membership.state_log.number
        for aged in message.targets:
            if self.membership.put(aged.row, now_ms, aged.age_ms):
                self._retire_address(aged.row, now_ms)
        for aged in message.entries:
            await self._hear_entry(aged.row, aged.age_ms)
        if self.membership.state_log.number > before:
            await self.changed.notify()
        return RowsTaken(self.epoch)

    # Silence

    async def _judge(self) -> None:
        """Declare targets and entries silent; forget those that are long gone."""
        last_ms = self.clock.now_ms()
        forgot_ms = last_ms
        while True:
            await self.clock.sleep_ms(JUDGE_INTERVAL_MS)
            now_ms = self.clock.now_ms()
            if now_ms - last_ms > FROZEN_AFTER_MS:
                self.membership.restart_silence_timers(now_ms)
                for name in self.entry_heard_ms:
                    self.entry_heard_ms[name] = now_ms
            last_ms = now_ms
            await self._judge_targets(now_ms)
            for name, heard_ms in list(self.entry_heard_ms.items()):
                if now_ms - heard_ms > ENTRY_SILENCE_MS:
                    await self._drop_entry(name)
            if now_ms - forgot_ms > FORGET_INTERVAL_MS:
                forgot_ms = now_ms
                self.membership.drop_expired_rows(now_ms)

    async def _judge_targets(self, now_ms: int) -> None:
        before = self.membership.state_log.number
        for name, row in list(self.membership.targets_by_name.items()):
            judged = row.leaving or row.silent
            if not judged and self.membership.is_overdue(name, now_ms, self.silence_ms):
                self.membership.mark_unresponsive(name, now_ms)
                self._log_target(self.membership.targets_by_name[name])
        if self.membership.state_log.number > before:
            await self.changed.notify()
