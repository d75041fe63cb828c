"""Discovery at an entry: fleet configuration, targets and the other entries."""

from collections.abc import Callable, Collection, Sequence

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.consensus.state import Signal
from wagtailrun.discovery.configuration import ConfigurationFormat
from wagtailrun.discovery.control_members import RETRY_PAUSE_MS, ControlMembers
from wagtailrun.discovery.entry_reports import EntryReports, Report
from wagtailrun.discovery.evacuations import EvacuationView
from wagtailrun.discovery.messages import (
    ConfigurationPart,
    FetchConfiguration,
    News,
    NewsMarks,
    PollNews,
    RowsTaken,
    StreamOrigin,
)
from wagtailrun.discovery.quarantine import Quarantine
from wagtailrun.discovery.stream_versions import StreamVersions
from wagtailrun.discovery.target_limits import TargetLimits
from wagtailrun.discovery.transfer import MAX_PART_BYTES, ConfigurationTransfer
from wagtailrun.discovery.unnamed_targets import UnnamedTargets
from wagtailrun.exceptions import FleetTextError, MessageError, PeerUnreachable
from wagtailrun.gossip.incarnations import new_incarnation
from wagtailrun.gossip.messages import EntryRow, Health
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.process.start_steps import StartStep, StartSteps
from wagtailrun.process.supervisor import supervise
from wagtailrun.routes import RouteTable, cold_per_s
from wagtailrun.targets.table import Membership, TargetRow

__all__ = ["FleetView"]

# The reply to a poll confirms the configuration, so it must arrive well within the time
# that a revoked key may still be used. Three polls a second cost under 1% of a core.
POLL_WAIT_MS = 300
# Additional time after which a poll without a reply has failed.
POLL_SLACK_MS = 600
# Time limit for one part of the configuration. After a time-out a smaller part is
# requested, so that a transfer goes on over any link.
PART_TIMEOUT_MS = 1_000
MIN_PART_BYTES = 512
REPORT_TIMEOUT_MS = 500
NO_MEMBER_PAUSE_MS = 500
# Revisions whose polls are remembered until the entry has applied them.
MAX_PENDING_CONFIRMATIONS = 64
MAX_FAULT_CHARACTERS = 200
# With updates that are older, this entry may not know which versions its targets have.
# Finding another member takes less when one does not reply, at times more with two.
OUT_OF_STEP_MS = 2_000
# Share of the time in which draining targets take streams that is used here: the entry
# may learn late that a target drains, and what it sends must arrive in time.
SAFE_DRAIN_SHARE = 0.5


class FleetView:
    """View of the fleet that one entry keeps up to date.

    Args:
        clock: Clock.
        link: Link to the control members.
        own: Row of this entry.
        seeds: Returns configured addresses of control members, which may be outdated.
        configuration_format: Reads the fleet configuration.
        key_grace_ms: How long keys may be used after their last confirmation.
        apply_limit_ms: Time within which a change must be in force here.
        target_drain_ms: How long a target that drains may be sent streams to continue.
        steps: Steps of the start of this process.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        own: EntryRow,
        seeds: Callable[[], Sequence[Address]],
        configuration_format: ConfigurationFormat,
        key_grace_ms: float,
        apply_limit_ms: float,
        target_drain_ms: float = 0,
        steps: StartSteps | None = None,
    ):
        self.clock = clock
        self.steps = steps or StartSteps(clock)
        self.link = link
        self.own_row = own
        self.configuration_format = configuration_format
        self.key_grace_ms = key_grace_ms
        self.apply_limit_ms = apply_limit_ms
        self.target_drain_ms = target_drain_ms
        # Until when streams may go on at draining targets.
        self.drain_ends_ms_by_name: dict[str, float] = {}
        self.membership = Membership(own.data_centre)
        self.membership.unconfirmed = True
        # The newest target at each address.
        self.rows_by_address: dict[Address, TargetRow] = {}
        self.entries: tuple[EntryRow, ...] = (own,)
        # Set by this entry from its own connections.
        self.away_data_centres: frozenset[str] = frozenset()
        self.evacuations = EvacuationView()
        self._near_entries: tuple[EntryRow, ...] = self.entries
        self._near_entries_of: object = (self.entries, self.away_data_centres)
        self.table: RouteTable | None = None
        # Revision that ``table`` was made from.
        self.revision = 0
        # Text that the next configuration may be a difference from, and its revision.
        self.text = b""
        self.text_revision = 0
        # Newest revision that could not be read here, and the place and reason.
        self.unreadable_revision = 0
        self.unreadable_detail = ""
        self.marks = NewsMarks()
        self.unnamed = UnnamedTargets(clock, self.membership, self._put_target)
        self.versions = StreamVersions(clock, self.membership, lambda: self.is_fresh)
        self.newer_revision_known = Signal()
        self.quarantine = Quarantine(clock)
        self.limits = TargetLimits(clock, lambda name: cold_per_s(self.table, name))
        self.reports = EntryReports(
            clock,
            self._send_report,
            lambda: self.marks.epoch,
            self.quarantine,
            self.limits,
        )
        self.control_members = ControlMembers(clock, link, own.name, seeds)
        # When the newest confirmed poll was sent, on the clock of this entry.
        self.confirmed_ms: int | None = None
        # The same for polls that told of a revision that is not applied yet.
        self.polled_ms_by_revision: dict[int, int] = {}
        # When the newest poll with a reply was sent, confirmed or not.
        self.updated_ms: int | None = None
        self.on_targets_changed: Callable[[], None] = lambda: None
        self.on_entries_changed: Callable[[], None] = lambda: None

    @property
    def is_fresh(self) -> bool:
        """Whether no accepted key can have been revoked for over ``key_grace_ms``.

        The time counts from the sending of the last confirmed poll: a change that this
        entry does not know was acknowledged after that.
        """
        if self.confirmed_ms is None:
            return False
        return self.clock.now_ms() - self.confirmed_ms < self.key_grace_ms

    @property
    def update_age_ms(self) -> int:
        """Time since the newest poll with a reply was sent; -1 before the first.

        A reply that arrives after this process stood still counts from its poll.
        """
        if self.updated_ms is None:
            return -1
        return self.clock.now_ms() - self.updated_ms

    @property
    def is_out_of_step(self) -> bool:
        """Whether targets may have changed their versions unnoticed."""
        return not 0 <= self.update_age_ms < OUT_OF_STEP_MS

    @property
    def is_out_of_touch(self) -> bool:
        """Whether the other entries may have dropped this one unnoticed."""
        return self.is_out_of_step and len(self.entries) > 1

    @property
    def is_outdated(self) -> bool:
        """Whether a newer configuration should have been in force here by now.

        Only a revision that this entry knows of counts, so an entry that is cut off
        goes on with the configuration that it has. One that cannot be read here counts
        as well: it was acknowledged, and may revoke keys or change routes.
        """
        if self.table is None or self.marks.revision <= self.revision:
            return False
        return self.confirmation_age_ms >= self.apply_limit_ms

    @property
    def unread_revision(self) -> int:
        """Newest revision that this entry cannot read; 0 once a newer one is applied.

        Only a build other than that of the control members cannot read it.
        """
        is_newer = self.unreadable_revision > self.revision
        return self.unreadable_revision if is_newer else 0

    @property
    def confirmation_age_ms(self) -> int:
        """Age of the newest confirmation in milliseconds; -1 before the first."""
        if self.confirmed_ms is None:
            return -1
        return self.clock.now_ms() - self.confirmed_ms

    def targets(self, service: str) -> list[TargetRow]:
        """Return the targets of a service that may be given work.

        Unresponsive targets are returned only if there are no others: they may be
        unreachable for the control members and still reachable from here. Targets in
        data centres that are away or evacuated are left out.
        """
        rows = self.membership.rows_by_service.get(service, {}).values()
        active = [row for row in rows if not row.leaving]
        closed = self.away_data_centres | self.evacuations.data_centres
        if closed:
            active = [row for row in active if row.data_centre not in closed]
        return [row for row in active if not row.silent] or active

    def present_targets(self) -> list[TargetRow]:
        """Return all targets that have not left, unresponsive ones among them."""
        rows = self.membership.targets_by_name.values()
        return [row for row in rows if not row.leaving]

    def target_addresses(self) -> list[Address]:
        """Return the addresses of all targets that may be given work."""
        rows = self.membership.targets_by_name.values()
        return [row.address for row in rows if not (row.leaving or row.silent)]

    def targets_to_continue(
        self, origin: StreamOrigin, tried: Collection[str] = ()
    ) -> list[TargetRow]:
        """Return the targets at which a stream may go on.

        They have the software version of the target that began it. If that target was
        started again under its name with another version, it is not known which of the
        two versions sent the first event, and there are none. Targets that drain are
        returned only if the others were tried.

        Args:
            origin: Where the stream began.
            tried: Names of targets that were already tried.
        """
        known = self.membership.targets_by_name.get(origin.target)
        is_ambiguous = (
            known is not None
            and known.incarnation != origin.incarnation
            and known.software_version != origin.software_version
        )
        if is_ambiguous or not origin.software_version:
            return []
        version = origin.software_version
        rows = self.targets(origin.service)
        rows = [row for row in rows if row.software_version == version]
        if any(row.name not in tried for row in rows):
            return rows
        rows_by_name = self.membership.rows_by_service.get(origin.service, {})
        draining = [row for row in rows_by_name.values() if row.draining]
        return rows + [
            row
            for row in draining
            if row.software_version == version and self.may_continue_at(row)
        ]

    def may_continue_at(self, row: TargetRow) -> bool:
        """Return whether a stream that has begun may be sent to a target now.

        A target that drains may get it for a while. One that said in an answer that it
        leaves may not, nor one in an evacuated data centre.
        """
        known = self.membership.targets_by_name.get(row.name, row)
        if known.incarnation > row.incarnation or self.evacuations.includes(known):
            return False
        if not known.leaving:
            return True
        ends_ms = self.drain_ends_ms_by_name.get(row.name, 0)
        return known.draining and self.clock.now_ms() < ends_ms

    def _record_draining(self, row: TargetRow) -> None:
        """Record until when a target that begins to drain may be sent streams.

        The time counts from the last confirmed poll before that: then it had not told
        any member. It is not known of a target that drained when it became known.
        """
        known = self.membership.targets_by_name.get(row.name)
        if known is None or known.incarnation < row.incarnation:
            self.drain_ends_ms_by_name.pop(row.name, None)
        elif row.draining and not known.leaving and self.confirmed_ms is not None:
            limit_ms = self.target_drain_ms * SAFE_DRAIN_SHARE
            self.drain_ends_ms_by_name[row.name] = self.confirmed_ms + limit_ms

    def has_new_version(self, row: TargetRow) -> bool:
        """Return whether a target was started again with another software version."""
        known = self.membership.targets_by_name.get(row.name, row)
        is_newer = known.incarnation > row.incarnation
        return is_newer and known.software_version != row.software_version

    def row_at(self, address: Address) -> TargetRow | None:
        """Return the newest target at an address, None if there is none."""
        return self.rows_by_address.get(address)

    def known_target(self, name: str) -> TargetRow | None:
        """Return the newest row of a target, None if it is not known."""
        return self.membership.targets_by_name.get(name)

    def is_leaving(self, row: TargetRow) -> bool:
        """Return whether a target left, or was replaced, since ``row`` was read.

        A target whose data centre is evacuated counts as one that leaves.
        """
        known = self.membership.targets_by_name.get(row.name, row)
        is_closed = known.leaving or self.evacuations.includes(known)
        return is_closed or known.incarnation > row.incarnation

    def has_left(self, name: str) -> bool:
        """Return whether the target of this name is known to leave; see above."""
        known = self.membership.targets_by_name.get(name)
        return known is not None and self.is_leaving(known)

    async def mark_leaving(self, row: TargetRow) -> None:
        """Use a target no more, as it said that it leaves; tell the other entries."""
        self._put_target(attrs.evolve(row, leaving=True, draining=False), 0)
        self.on_targets_changed()
        await self.reports.report_departure(row)

    def _put_target(self, row: TargetRow, age_ms: int) -> None:
        self.membership.put(row, self.clock.now_ms(), age_ms)
        row = self.membership.targets_by_name.get(row.name, row)
        self.limits.note_row(row)
        known = self.rows_by_address.get(row.address)
        if known is None or row.incarnation >= known.incarnation:
            self.rows_by_address[row.address] = row

    def drop_gone(self) -> None:
        """Drop what is kept of targets and control members that are gone."""
        now_ms = self.clock.now_ms()
        self.membership.renew_contacts(now_ms)
        self.membership.drop_expired_rows(now_ms)
        known = self.membership.targets_by_name
        for address, row in list(self.rows_by_address.items()):
            newest = known.get(row.name)
            if newest is None or newest.address != address:
                del self.rows_by_address[address]
        for name in self.drain_ends_ms_by_name.keys() - known:
            del self.drain_ends_ms_by_name[name]
        self.control_members.drop_gone()

    def near_entries(self) -> tuple[EntryRow, ...]:
        """Return the running entries outside data centres that are away.

        The tuple is the same object until they change.
        """
        known = self.entries, self.away_data_centres
        if known != self._near_entries_of:
            self._near_entries_of = known
            self._near_entries = tuple(
                row
                for row in self.entries
                if row.data_centre not in self.away_data_centres
            )
        return self._near_entries

    def live_entries(self) -> tuple[EntryRow, ...]:
        """Return the running entries, including this one while it accepts requests.

        The tuple is the same object until they change.
        """
        return self.entries

    async def run(self) -> None:
        """Poll the control members and fetch configurations until cancelled."""
        async with curio.TaskGroup() as group:
            for task in (
                self._poll_members,
                self._fetch_configurations,
                self.reports.run,
            ):
                await group.spawn(supervise, task.__qualname__, task)

    def ranked_members(self) -> list[Address]:
        """Return the control members in this entry's own order, preferred ones first.

        Until a member has named them all, they are the configured seeds.
        """
        return self.control_members.ranked()

    async def _poll_members(self) -> None:
        polled_ms = self.clock.now_ms()
        while True:
            # No poll takes as long, so that this process stood still.
            if self.clock.now_ms() - polled_ms > OUT_OF_STEP_MS:
                self._renew_row()
            polled_ms = self.clock.now_ms()
            address = self.control_members.pick()
            if address is None:
                # The settings name no control member yet; they are read again.
                await self.clock.sleep_ms(NO_MEMBER_PAUSE_MS)
                continue
            sent_ms = self.clock.now_ms()
            poll = PollNews(self.own_row, self.marks, POLL_WAIT_MS)
            news = await self.control_members.call(
                address, poll, POLL_WAIT_MS + POLL_SLACK_MS, News
            )
            if news is None:
                continue
            self.control_members.record_reply(address, news)
            await self._apply_update(news)
            self.updated_ms = sent_ms
            self.steps.reach(StartStep.MEMBER_REPLIED)
            if news.confirmed:
                self._record_confirmation(news.marks.revision, sent_ms)

    def _renew_row(self) -> None:
        """Count as an entry that has just started, after this process stood still.

        Others own its services by now and have the newer state of them.
        """
        incarnation = new_incarnation(self.clock.wall_ms())
        if incarnation > self.own_row.incarnation:
            self.own_row = attrs.evolve(self.own_row, incarnation=incarnation)

    async def announce_stop(self) -> None:
        """Tell a control member that this entry accepts no more work."""
        self.own_row = attrs.evolve(self.own_row, health=Health.DEAD)
        poll = PollNews(self.own_row, self.marks, 0)
        address = self.control_members.pick()
        if address is None:
            return
        try:
            await self.link.call(address, poll, POLL_SLACK_MS)
        except PeerUnreachable as error:
            # Not retried: the control members drop an entry that stops polling.
            events.log(events.PEER_LOST, peer="control", detail=str(error))

    async def _apply_update(self, news: News) -> None:
        # Before the targets that it is about count as just started.
        self.limits.merge(news.limits)
        for aged in news.targets:
            self._record_draining(aged.row)
            self._put_target(aged.row, aged.age_ms)
            if not (aged.row.leaving or aged.row.silent):
                self.steps.reach(StartStep.TARGETS_KNOWN, aged.row.service)
        if self.unnamed.apply(news) or news.targets:
            self.on_targets_changed()
        if news.entries:
            self.entries = tuple({row.name: row for row in news.entries}.values())
            self.on_entries_changed()
            if len(self.entries) > 1:
                self.steps.reach(StartStep.ENTRIES_KNOWN)
        if news.members:
            self.control_members.set_addresses(news.members)
        if news.text and news.marks.revision > self.revision:
            # Sent by a member of an earlier version, which knows no transfers.
            await self._apply_configuration(
                news.marks.revision, news.text.encode(), ConfigurationTransfer(), 0
            )
        self.quarantine.merge(news.crashes)
        is_new_member = news.marks.epoch != self.marks.epoch
        self.versions.record_reply(news.remembers_versions, is_new_member)
        self.marks = self.evacuations.apply(news)
        # Another member, or one that was restarted and may know nothing.
        await self.reports.request(to_new_member=is_new_member)
        if self._lacks_newest:
            await self.newer_revision_known.notify()

    def _record_confirmation(self, revision: int, sent_ms: int) -> None:
        """Record that ``revision`` was the newest one after ``sent_ms``.

        A newer configuration may revoke keys, so the poll confirms the keys only once
        this entry has applied the revision that it told of.
        """
        self.polled_ms_by_revision[revision] = sent_ms
        while len(self.polled_ms_by_revision) > MAX_PENDING_CONFIRMATIONS:
            del self.polled_ms_by_revision[min(self.polled_ms_by_revision)]
        self._confirm_applied()

    def _confirm_applied(self) -> None:
        applied = [r for r in self.polled_ms_by_revision if r <= self.revision]
        for each in applied:
            polled_ms = self.polled_ms_by_revision.pop(each)
            self.confirmed_ms = max(self.confirmed_ms or polled_ms, polled_ms)
            if self.table is not None:
                self.steps.reach(StartStep.CONFIRMED)

    # Reports

    async def report_changes(self) -> None:
        """Start reports of what was observed here, if there is anything new."""
        await self.reports.request()

    async def finish_reports(self) -> None:
        """Return when control members have all that was observed here."""
        await self.reports.finish()

    async def _send_report(self, report: Report) -> bool:
        address = self.control_members.pick()
        if address is None:
            await self.clock.sleep_ms(NO_MEMBER_PAUSE_MS)
            return False
        reply = await self.control_members.call(
            address, report, REPORT_TIMEOUT_MS, RowsTaken
        )
        return reply is not None

    # Configuration

    @property
    def _lacks_newest(self) -> bool:
        known = self.marks.revision
        return known > self.revision and known > self.unreadable_revision

    async def _fetch_configurations(self) -> None:
        while True:
            if self._lacks_newest:
                await self._fetch_newest()
            else:
                await self.newer_revision_known.wait()

    async def _fetch_newest(self) -> None:
        """Fetch and apply the newest configuration.

        The parts that have arrived are kept when a member fails: the next one continues
        the same transfer.
        """
        transfer = ConfigurationTransfer()
        limit = MAX_PART_BYTES
        started_ms = self.clock.now_ms()
        while not transfer.is_complete:
            address = self.control_members.pick()
            if address is None:
                await self.clock.sleep_ms(NO_MEMBER_PAUSE_MS)
                continue
            request = FetchConfiguration(
                self.text_revision, transfer.identity, len(transfer.data), limit
            )
            part = await self.control_members.call(
                address, request, PART_TIMEOUT_MS, ConfigurationPart
            )
            if part is None:
                limit = max(limit // 2, MIN_PART_BYTES)
                self._log_late(transfer, f"no part from {address}")
            elif not part.size or part.revision <= self.unread_revision:
                self.control_members.avoid(
                    address, f"it has no revision after {part.revision}"
                )
                await self.clock.sleep_ms(RETRY_PAUSE_MS)
            else:
                try:
                    transfer.add(part)
                except MessageError as error:
                    self._log_late(transfer, str(error))
                    transfer = ConfigurationTransfer()
                    await self.clock.sleep_ms(RETRY_PAUSE_MS)
        try:
            text = transfer.decompress(self.text)
        except MessageError as error:
            self._log_late(transfer, str(error))
            # The next transfer then has the whole text.
            self.text, self.text_revision = b"", 0
            return
        await self._apply_configuration(
            transfer.revision, text, transfer, self.clock.now_ms() - started_ms
        )

    def _log_late(self, transfer: ConfigurationTransfer, detail: str) -> None:
        events.log(
            events.FLEET_CONFIG_INCOMPLETE,
            revision=transfer.revision or self.marks.revision,
            before=self.revision,
            received=len(transfer.data),
            size=transfer.size,
            detail=detail,
        )

    async def _apply_configuration(
        self, revision: int, text: bytes, transfer: ConfigurationTransfer, took_ms: int
    ) -> None:
        """Apply a newer configuration, or remember that it cannot be read here."""
        started_ms = self.clock.now_ms()
        try:
            read = await self.configuration_format.read_concurrently(text, revision)
        except Exception as error:  # Else it would be fetched again and again.
            self.unreadable_revision = revision
            detail = str(error) if isinstance(error, FleetTextError) else repr(error)
            self.unreadable_detail = detail[:MAX_FAULT_CHARACTERS]
            events.log(
                events.FLEET_CONFIG_UNREADABLE,
                revision=revision,
                before=self.revision,
                detail=self.unreadable_detail,
            )
            return
        events.log(
            events.FLEET_CONFIG_APPLIED,
            revision=revision,
            before=self.revision,
            base=transfer.base_revision,
            bytes=len(text),
            transferred_bytes=transfer.size,
            transfer_ms=took_ms,
            parse_ms=self.clock.now_ms() - started_ms,
        )
        self.table, self.revision = read.table, revision
        self.text, self.text_revision = text, revision
        self._confirm_applied()
