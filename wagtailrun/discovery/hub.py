"""Discovery at a control member: collects reports, shares them and serves entries."""

import secrets
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.consensus.member import Member
from wagtailrun.consensus.state import Signal
from wagtailrun.discovery.cold_beliefs import ColdSource
from wagtailrun.discovery.evacuations import FleetPlaces, log_evacuations
from wagtailrun.discovery.messages import (
    AgedEntry,
    ConfigurationPart,
    FetchConfiguration,
    FindOrigin,
    News,
    NewsMarks,
    PollNews,
    RecordOrigins,
    ReportCrashes,
    ReportLeaving,
    ReportLimits,
    RowsTaken,
    ShareRows,
)
from wagtailrun.discovery.poll_confirmations import PollConfirmations
from wagtailrun.discovery.quarantine import Quarantine
from wagtailrun.discovery.shared_versions import SharedVersions
from wagtailrun.discovery.stream_origins import StreamOrigins
from wagtailrun.discovery.target_limits import TargetLimits
from wagtailrun.discovery.transfer import ConfigurationHistory
from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.gossip.messages import AgedRow, EntryRow, Health
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.process.start_steps import StartSteps
from wagtailrun.process.supervisor import supervise
from wagtailrun.registry.state import Registry
from wagtailrun.targets.table import ChangeLog, Membership, TargetRow

__all__ = ["Hub"]

# A change must take effect everywhere within 2 s and is sent at once; heartbeats that
# change nothing are collected for this interval.
SHARE_INTERVAL_MS = 400
SHARE_TIMEOUT_MS = 500
# Number of heartbeat intervals without contact after which a target is unresponsive.
# Heartbeats may arrive seconds late.
UNRESPONSIVE_AFTER_HEARTBEATS = 3.5
LIVENESS_INTERVAL_MS = 300
# If the liveness check was delayed for longer than this, the process was suspended and
# could not receive anything, so missed heartbeats do not count.
SUSPENDED_AFTER_MS = 1_000
# An entry that did not poll for this long is dropped. Entries poll about three times a
# second.
ENTRY_TIMEOUT_MS = 2_000
CLEANUP_INTERVAL_MS = 60_000
# Address of a target that left and whose other fields are unknown here.
UNKNOWN_ADDRESS = Address("0.0.0.0", 1)
# Limit of the time that a poll may be held.
MAX_POLL_WAIT_MS = 2_000
# Rows of targets in the reply to a poll, about 50 KB; the next poll gets further ones
# at once. A reply that is too long for a slow link would be repeated for ever.
MAX_ROWS_PER_REPLY = 250
# Rows of targets in a message to another member. With the longest names that reports
# may have, they take 6 MB of the 8 MB that a frame may have.
MAX_ROWS_PER_SHARE = 2_000


@attrs.define
class _PeerState:
    """State of the exchange with another control member.

    Attributes:
        epoch: Random identifier of its incarnation; 0 until it has received all rows.
        mark: Change number up to which it has the rows that were reported here.
        crashes_mark: The same for evidence of crashes.
        limits_mark: The same for limits of targets.
        reachable: Whether it replied to the last message.
    """

    epoch: int = 0
    mark: int = 0
    crashes_mark: int = 0
    limits_mark: int = 0
    reachable: bool = True


class Hub:
    """Tracks the targets and entries that report to this or another control member.

    Args:
        clock: Clock.
        link: Link to the other control members.
        registry: Local copy of the replicated state.
        member: Returns the member of the replicated log that drives the registry.
        address: Peer address of this process.
        heartbeat_ms: Time between two heartbeats of a target.
        data_centre: Data centre of this process.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        registry: Registry,
        member: Callable[[], Member],
        address: Address,
        heartbeat_ms: float,
        data_centre: str = "",
    ):
        self.clock = clock
        self.link = link
        self.registry = registry
        self.member = member
        self.address = address
        self.target_timeout_ms = int(heartbeat_ms * UNRESPONSIVE_AFTER_HEARTBEATS)
        self.epoch = secrets.randbits(63) | 1
        self.membership = Membership()
        self.entries_by_name: dict[str, EntryRow] = {}
        self.entry_last_contact_ms: dict[str, int] = {}
        self.entries_mark = 1
        # Names of targets and entries that reported to this member; their rows are
        # shared with the other members.
        self.reported_targets = ChangeLog()
        self.reported_entries: set[str] = set()
        # Rows of entries that said that they stop, until they have been shared.
        self.stopped_entries_by_name: dict[str, EntryRow] = {}
        self.peers_by_address: dict[Address, _PeerState] = {}
        self.history = ConfigurationHistory()
        self.quarantine = Quarantine(clock)
        self.limits = TargetLimits(clock)
        self.origins = StreamOrigins(clock, self.membership)
        self.shared_versions = SharedVersions(clock, self.membership)
        self.data_centre = data_centre
        # All targets have sent a heartbeat to some member by then.
        self.places = FleetPlaces(clock, self.target_timeout_ms)
        self.places.record(data_centre)
        self.changed = Signal()
        self.share_requested = Signal()
        self.confirmations = PollConfirmations(member, StartSteps(clock))

    async def run(self) -> None:
        """Share reports, check liveness and confirm polls until cancelled."""
        async with curio.TaskGroup() as group:
            for task in (
                self._share_reports,
                self._check_liveness,
                self.confirmations.run,
                self._watch_configuration,
            ):
                await group.spawn(supervise, task.__qualname__, task)

    async def handle(self, message: Any) -> Any:
        """Handle one discovery message and return the reply.

        Raises:
            MessageError: If the message is not a request of this channel.
        """
        match message:
            case PollNews():
                return await self._handle_poll(message)
            case ShareRows():
                return await self._merge_rows(message)
            case ReportLeaving():
                await self.leave(message.target, message.incarnation)
                return RowsTaken(self.epoch)
            case ReportCrashes():
                changed = self.quarantine.merge(message.rows, local=True)
                return await self._confirm_report(changed)
            case ReportLimits():
                changed = self.limits.merge(message.rows, local=True)
                return await self._confirm_report(changed)
            case RecordOrigins():
                self.origins.record(message.groups)
                return RowsTaken(self.epoch)
            case FindOrigin():
                return self.origins.find(message)
            case FetchConfiguration():
                return self._get_configuration_part(message)
        raise MessageError(f"{type(message).__name__} is not a discovery request")

    # Reports of targets

    async def report(self, row: TargetRow, cold_ms: int | None = None) -> None:
        """Apply a report that a target sent to this member.

        If the report changes the state of the target, waiting polls are woken and the
        other members are sent the row at once.

        Args:
            row: Row of the target.
            cold_ms: How long it says that it stays cold; 0 if it is warm, None if it
                does not say.
        """
        now_ms = self.clock.now_ms()
        before = self.membership.state_log.number
        self.places.record(row.data_centre)
        if not self.membership.put(row, now_ms):
            return
        self.reported_targets.record_change(row.name)
        self._retire_address(row, now_ms)
        cold_changed = cold_ms is not None and self.limits.record_cold(
            row, cold_ms, ColdSource.REPORT, now_ms
        )
        state_changed = self.membership.state_log.number > before
        if state_changed:
            self._log_target(row)
        if state_changed or cold_changed:
            await self.share_requested.notify()
            await self.changed.notify()

    async def leave(self, name: str, incarnation: int) -> bool:
        """Mark a target that signed off without having drained as leaving.

        A member that was restarted or cut off may not know the target, while entries
        still use it; they are then sent a row that only says that it has left.

        Args:
            name: Name of the target.
            incarnation: Its incarnation, 0 if it did not state one.

        Returns:
            Whether it is now known to have left.
        """
        row = self.membership.targets_by_name.get(name)
        if row is None:
            if not incarnation:
                return False
            row = TargetRow(name, UNKNOWN_ADDRESS, "", "", 0, incarnation)
        if not incarnation or incarnation >= row.incarnation:
            await self.report(attrs.evolve(row, leaving=True, draining=False))
        return True

    def _retire_address(self, row: TargetRow, now_ms: int) -> None:
        """Mark the older of two targets with the same address as leaving.

        A heartbeat that a partition delayed may arrive after its sender has crashed and
        another target has started at the address.
        """
        for other in list(self.membership.targets_by_name.values()):
            conflicts = other.address == row.address and other.name != row.name
            if not conflicts or (other.leaving and not other.draining):
                continue
            older = min(other, row, key=lambda each: each.incarnation)
            retired = attrs.evolve(older, leaving=True, draining=False)
            if self.membership.put(retired, now_ms):
                self.reported_targets.record_change(retired.name)
                self._log_target(retired)

    def _log_target(self, row: TargetRow) -> None:
        events.log(
            events.TARGET_STATE_CHANGED,
            target=row.name,
            service=row.service,
            address=str(row.address),
            incarnation=row.incarnation,
            sequence=row.sequence,
            software_version=row.software_version,
            leaving=row.leaving,
            draining=row.draining,
            silent=row.silent,
        )

    # Polls of entries

    async def _handle_poll(self, poll: PollNews) -> News:
        entry = poll.entry
        self.reported_entries.add(entry.name)
        stops = entry.health == Health.DEAD and entry.name in self.entries_by_name
        if entry.health == Health.DEAD:
            self.stopped_entries_by_name[entry.name] = entry
        if await self._update_entry(entry, 0) or stops:
            await self.share_requested.notify()
        reply_by_ms = self.clock.now_ms() + min(poll.wait_ms, MAX_POLL_WAIT_MS)
        while not self._has_updates(poll.known):
            wait_ms = reply_by_ms - self.clock.now_ms()
            if wait_ms <= 0:
                break
            await curio.ignore_after(wait_ms / MS_PER_SECOND, self.changed.wait)
        confirmed = await self.confirmations.request()
        # A member that starts again has no configuration until its log is applied.
        confirmed = (
            confirmed
            and self.registry.revision >= poll.known.revision
            and self.registry.evacuations.version >= poll.known.evacuations
        )
        return self._make_update(poll.known, confirmed, poll.fetches_text)

    def _has_updates(self, known: NewsMarks) -> bool:
        return (
            known.epoch != self.epoch
            or known.targets < self.membership.state_log.number
            or known.entries != self.entries_mark
            or known.revision < self.registry.revision
            or known.crashes < self.quarantine.log.number
            or known.limits < self.limits.log.number
            or known.evacuations < self.registry.evacuations.version
        )

    def _make_update(
        self, known: NewsMarks, confirmed: bool, fetches_text: bool
    ) -> News:
        same_epoch = known.epoch == self.epoch
        targets, targets_mark = self.membership.state_log.first_changed_since(
            known.targets if same_epoch else 0, MAX_ROWS_PER_REPLY
        )
        crashes, crashes_mark = self.quarantine.log.first_changed_since(
            known.crashes if same_epoch else 0, MAX_ROWS_PER_REPLY
        )
        limits, limits_mark = self.limits.log.first_changed_since(
            known.limits if same_epoch else 0, MAX_ROWS_PER_REPLY
        )
        entries_changed = not same_epoch or known.entries != self.entries_mark
        newer = self.registry.revision > known.revision
        evacuations = self.registry.evacuations
        evacuations_changed = evacuations.version > known.evacuations
        return News(
            marks=NewsMarks(
                epoch=self.epoch,
                targets=targets_mark,
                entries=self.entries_mark,
                revision=self.registry.revision if newer else known.revision,
                crashes=crashes_mark,
                limits=limits_mark,
                evacuations=max(evacuations.version, known.evacuations),
            ),
            text=self.registry.text if newer and not fetches_text else "",
            confirmed=confirmed,
            targets=tuple(self._aged_for_entries(name) for name in targets),
            entries=tuple(self.entries_by_name.values()) if entries_changed else (),
            members=self._member_addresses(),
            crashes=self.quarantine.rows(crashes),
            limits=self.limits.rows(limits),
            remembers_versions=True,
            leader_in_ms=0 if confirmed else self.member().leader_in_ms,
            evacuations=evacuations.data_centres if evacuations_changed else (),
        )

    def _get_configuration_part(self, request: FetchConfiguration) -> ConfigurationPart:
        self.history.add(self.registry.revision, self.registry.text)
        return self.history.get_part(request)

    def _member_addresses(self) -> tuple[str, ...]:
        members = self.member().configuration.members
        return tuple(info.address for info in members) or (str(self.address),)

    def _aged(self, name: str) -> AgedRow:
        last_contact_ms = self.membership.last_contact_ms_by_name[name]
        age_ms = max(self.clock.now_ms() - last_contact_ms, 0)
        return AgedRow(self.membership.targets_by_name[name], age_ms)

    def _aged_for_entries(self, name: str) -> AgedRow:
        aged = self._aged(name)
        if len(self._member_addresses()) == 1:
            return aged
        return attrs.evolve(aged, row=self.shared_versions.for_entries(aged.row))

    async def _release_targets(self, rows: Sequence[AgedRow]) -> None:
        """Tell the entries of targets whose version another member knows by now."""
        names = self.shared_versions.record(rows)
        for name in names:
            self.membership.repeat_state(name)
        if names:
            await self.changed.notify()

    async def _watch_configuration(self) -> None:
        revision = evacuations_version = 0
        while True:
            member = self.member()
            await curio.ignore_after(1.0, member.applied.wait)
            evacuations = self.registry.evacuations
            if evacuations.version > evacuations_version:
                before, evacuations_version = evacuations_version, evacuations.version
                names = evacuations.data_centres
                log_evacuations(evacuations_version, before, names)
                await self.changed.notify()
            if self.registry.revision > revision:
                revision = self.registry.revision
                events.log(events.FLEET_CONFIG_APPLIED, revision=revision)
                self.history.add(revision, self.registry.text)
                await self.changed.notify()

    # Entries

    async def _update_entry(self, row: EntryRow, age_ms: int) -> bool:
        """Record that an entry is live; return whether its process was not known."""
        last_contact_ms = self.clock.now_ms() - age_ms
        known = self.entries_by_name.get(row.name)
        if known is not None and row.precedence < known.precedence:
            return False
        if row.health == Health.DEAD:
            await self._drop_entry(row.name)
            return False
        if age_ms >= ENTRY_TIMEOUT_MS:
            return False
        self.places.record(row.data_centre)
        before_ms = self.entry_last_contact_ms.get(row.name, last_contact_ms)
        self.entry_last_contact_ms[row.name] = max(before_ms, last_contact_ms)
        # Entries must learn that another one was started again: it has forgotten what
        # they told it.
        is_new = known is None or known.process != row.process
        has_moved = known is not None and known.address != row.address
        if is_new or has_moved:
            events.log(events.ENTRY_LIVENESS_CHANGED, entry=row.name, live=True)
            self.entries_by_name[row.name] = row
            self.entries_mark += 1
            await self.changed.notify()
        return is_new

    async def _drop_entry(self, name: str) -> None:
        self.entry_last_contact_ms.pop(name, None)
        if self.entries_by_name.pop(name, None) is not None:
            events.log(events.ENTRY_LIVENESS_CHANGED, entry=name, live=False)
            self.entries_mark += 1
            await self.changed.notify()

    # Other control members

    async def _share_reports(self) -> None:
        """Share the rows reported here; changed target states are shared at once."""
        while True:
            await curio.ignore_after(
                SHARE_INTERVAL_MS / MS_PER_SECOND, self.share_requested.wait
            )
            names, self.reported_entries = self.reported_entries, set()
            stopped = dict(self.stopped_entries_by_name)
            await self._share(self._aged_entries(names) + self._aged_stops())
            for name, row in stopped.items():
                if self.stopped_entries_by_name.get(name) == row:
                    del self.stopped_entries_by_name[name]

    async def share_before_end(self) -> None:
        """Send the other members what was reported here, before the process ends.

        The regular messages may wait for a member that does not answer.
        """
        await self._share(self._aged_stops())

    def _aged_stops(self) -> list[AgedEntry]:
        return [AgedEntry(row, 0) for row in self.stopped_entries_by_name.values()]

    async def _share(self, entries: list[AgedEntry]) -> None:
        """Send entries, and the reports that each member lacks, to the others."""
        members = {Address.parse(text) for text in self._member_addresses()}
        for address in self.peers_by_address.keys() - members:
            del self.peers_by_address[address]
        async with curio.TaskGroup() as group:
            for address in sorted(members - {self.address}):
                await group.spawn(self._share_with, address, entries)

    async def _share_with(self, address: Address, entries: list[AgedEntry]) -> None:
        peer_state = self.peers_by_address.setdefault(address, _PeerState())
        names = self.reported_targets.changed_since(peer_state.mark)
        crashes = self.quarantine.local_log.changed_since(peer_state.crashes_mark)
        limits = self.limits.local_log.changed_since(peer_state.limits_mark)
        if not peer_state.epoch:
            # The member was never reached or has just started, so send it all rows.
            names = iter(list(self.membership.targets_by_name))
            crashes = self.quarantine.log.changed_since(0)
            limits = self.limits.log.changed_since(0)
        mark = self.reported_targets.number
        crashes_mark = self.quarantine.local_log.number
        limits_mark = self.limits.local_log.number
        message = ShareRows(
            sender=str(self.address),
            entries=tuple(entries),
            crashes=self.quarantine.rows(crashes),
            limits=self.limits.rows(limits),
            data_centre=self.data_centre,
        )
        rows = [self._aged(name) for name in names]
        try:
            epochs = await self._send_rows(address, message, rows)
        except PeerUnreachable as error:
            if not error.shortage:
                self._record_reachability(peer_state, address, False, str(error))
            return
        self._record_reachability(peer_state, address, True, "")
        if not epochs:
            return
        await self._release_targets(rows)
        peer_state.mark, peer_state.crashes_mark = mark, crashes_mark
        peer_state.limits_mark = limits_mark
        if epochs != {peer_state.epoch}:
            # The member has restarted and may have lost what was sent before. If these
            # messages did not have all rows, the next ones will.
            full = not peer_state.epoch and len(epochs) == 1
            peer_state.epoch = epochs.pop() if full else 0

    async def _send_rows(
        self, address: Address, message: ShareRows, rows: list[AgedRow]
    ) -> set[int]:
        """Send rows of targets in parts; the first one is part of ``message``.

        Returns:
            The epochs that the replies named; empty if one is no reply to rows.

        Raises:
            PeerUnreachable: If a part was not answered.
        """
        epochs = set()
        for start in range(0, max(len(rows), 1), MAX_ROWS_PER_SHARE):
            part = tuple(rows[start : start + MAX_ROWS_PER_SHARE])
            message = attrs.evolve(message, targets=part)
            reply = await self.link.call(address, message, SHARE_TIMEOUT_MS)
            if not isinstance(reply, RowsTaken):
                return set()
            epochs.add(reply.epoch)
            message = ShareRows(message.sender)
        return epochs

    def _record_reachability(
        self, peer_state: _PeerState, address: Address, reachable: bool, detail: str
    ) -> None:
        if peer_state.reachable != reachable:
            peer_state.reachable = reachable
            event = events.PEER_RECOVERED if reachable else events.PEER_LOST
            events.log(event, peer=str(address), detail=detail)

    def _aged_entries(self, names: set[str]) -> list[AgedEntry]:
        now_ms = self.clock.now_ms()
        return [
            AgedEntry(
                self.entries_by_name[name], now_ms - self.entry_last_contact_ms[name]
            )
            for name in sorted(names)
            if name in self.entries_by_name
        ]

    async def _merge_rows(self, message: ShareRows) -> RowsTaken:
        now_ms = self.clock.now_ms()
        before = self.membership.state_log.number
        if message.data_centre:
            self.places.record(message.data_centre)
        for aged in message.targets:
            self.places.record(aged.row.data_centre)
            if self.membership.put(aged.row, now_ms, aged.age_ms):
                self._retire_address(aged.row, now_ms)
        await self._release_targets(message.targets)
        for entry in message.entries:
            await self._update_entry(entry.row, entry.age_ms)
        crashes_changed = self.quarantine.merge(message.crashes)
        limits_changed = self.limits.merge(message.limits)
        targets_changed = self.membership.state_log.number > before
        if targets_changed or crashes_changed or limits_changed:
            await self.changed.notify()
        return RowsTaken(self.epoch)

    async def _confirm_report(self, changed: bool) -> RowsTaken:
        """Confirm what an entry reported; pass changes on at once."""
        if changed:
            await self.share_requested.notify()
            await self.changed.notify()
        return RowsTaken(self.epoch)

    # Liveness

    async def _check_liveness(self) -> None:
        """Mark unresponsive targets, drop unresponsive entries and remove old rows."""
        last_ms = self.clock.now_ms()
        cleaned_up_ms = last_ms
        while True:
            await self.clock.sleep_ms(LIVENESS_INTERVAL_MS)
            now_ms = self.clock.now_ms()
            self.limits.log_warm()
            if now_ms - last_ms > SUSPENDED_AFTER_MS:
                self.membership.restart_silence_timers(now_ms)
                for name in self.entry_last_contact_ms:
                    self.entry_last_contact_ms[name] = now_ms
            last_ms = now_ms
            await self._check_targets(now_ms)
            for name, last_contact_ms in list(self.entry_last_contact_ms.items()):
                if now_ms - last_contact_ms > ENTRY_TIMEOUT_MS:
                    await self._drop_entry(name)
            if now_ms - cleaned_up_ms > CLEANUP_INTERVAL_MS:
                cleaned_up_ms = now_ms
                self.membership.drop_expired_rows(now_ms)
                for name in self.reported_targets.names():
                    if name not in self.membership.targets_by_name:
                        self.reported_targets.drop(name)

    async def _check_targets(self, now_ms: int) -> None:
        before = self.membership.state_log.number
        for name, row in list(self.membership.targets_by_name.items()):
            is_excluded = row.leaving or row.silent
            if not is_excluded and self.membership.is_overdue(
                name, now_ms, self.target_timeout_ms
            ):
                self.membership.mark_unresponsive(name, now_ms)
                self._log_target(self.membership.targets_by_name[name])
        if self.membership.state_log.number > before:
            await self.changed.notify()
