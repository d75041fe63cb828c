"""Discovery at an entry: fleet configuration, targets and the other entries."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import attrs
from curio import run_in_thread

from wagtailrun import events
from wagtailrun.clock import Clock
from wagtailrun.discovery.messages import News, NewsMarks, PollNews
from wagtailrun.exceptions import FleetTextError, PeerUnreachable
from wagtailrun.gossip_messages import EntryRow, Health
from wagtailrun.gossip_peers import rendezvous
from wagtailrun.membership import Membership, TargetRow
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.routes import RouteTable

__all__ = ["FleetView", "ConfigurationFormat"]

# The reply to a poll confirms the configuration, so it must arrive well within the time
# that a revoked key may still be used. Three polls a second cost under 1% of a core.
POLL_WAIT_MS = 300
# Additional time after which a poll without a reply has failed.
POLL_SLACK_MS = 600
# A member that does not reply, or cannot reach the leader, is avoided for this long.
AVOIDANCE_MS = 1_000
RETRY_PAUSE_MS = 50
NO_MEMBER_PAUSE_MS = 500
MAX_ADDRESSES = 64
# Larger configurations are parsed in a thread: parsing 1 MB takes 0.1 s, which would
# delay the events of all streams.
MAX_INLINE_TEXT_CHARS = 64 * 1024


class ConfigurationFormat(ABC):
    """Source format of the fleet configuration."""

    @abstractmethod
    def routes(self, revision: int, text: str) -> RouteTable:
        """Return the routes of an accepted configuration.

        Args:
            revision: Revision of the configuration.
            text: Source of the configuration.

        Raises:
            FleetTextError: If the source cannot be parsed.
        """


class FleetView:
    """View of the fleet that one entry keeps up to date.

    Args:
        clock: Clock.
        link: Link to the control members.
        own: Row of this entry.
        seeds: Returns configured addresses of control members, which may be outdated.
        configuration_format: Parses the fleet configuration.
        key_grace_ms: How long keys may be used after their last confirmation.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        own: EntryRow,
        seeds: Callable[[], Sequence[Address]],
        configuration_format: ConfigurationFormat,
        key_grace_ms: float,
    ):
        self.clock = clock
        self.link = link
        self.own_row = own
        self.seeds = seeds
        self.configuration_format = configuration_format
        self.key_grace_ms = key_grace_ms
        self.membership = Membership(own.data_centre)
        self.membership.unconfirmed = True
        self.entries: tuple[EntryRow, ...] = (own,)
        self.table: RouteTable | None = None
        self.marks = NewsMarks()
        self.members: list[Address] = []
        self.avoid_until_ms: dict[Address, int] = {}
        self.current_member: Address | None = None
        # When the newest confirmed poll was sent, on the clock of this entry.
        self.confirmed_ms: int | None = None
        self.on_targets_changed: Callable[[], None] = lambda: None

    @property
    def revision(self) -> int:
        """Revision of the configuration that this entry has applied."""
        return self.marks.revision

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
    def confirmation_age_ms(self) -> int:
        """Age of the newest confirmation in milliseconds; -1 before the first."""
        if self.confirmed_ms is None:
            return -1
        return self.clock.now_ms() - self.confirmed_ms

    def targets(self, service: str) -> list[TargetRow]:
        """Return the targets of a service that may be given work.

        Unresponsive targets are returned only if there are no others: they may be
        unreachable for the control members and still reachable from here.
        """
        rows = self.membership.rows_by_service.get(service, {}).values()
        active = [row for row in rows if not row.leaving]
        return [row for row in active if not row.silent] or active

    def live_entries(self) -> tuple[EntryRow, ...]:
        """Return the running entries, including this one while it accepts requests.

        The tuple is the same object until they change.
        """
        return self.entries

    async def run(self) -> None:
        """Poll the control members until cancelled."""
        while True:
            address = self._pick_member()
            if address is None:
                # The settings name no control member yet; they are read again.
                await self.clock.sleep_ms(NO_MEMBER_PAUSE_MS)
                continue
            sent_ms = self.clock.now_ms()
            poll = PollNews(self.own_row, self.marks, POLL_WAIT_MS)
            try:
                news = await self.link.call(address, poll, POLL_WAIT_MS + POLL_SLACK_MS)
            except PeerUnreachable as error:
                self._avoid(address, str(error))
                await self.clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            if not isinstance(news, News):
                self._avoid(
                    address,
                    f"expected News in reply to a poll, got {type(news).__name__}",
                )
                await self.clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            self._record_confirmation(address, news.confirmed)
            await self._apply_update(news)
            # A newer configuration that cannot be parsed here may revoke keys, so the
            # poll then confirms nothing.
            if news.confirmed and self.revision >= news.marks.revision:
                self.confirmed_ms = sent_ms

    async def announce_stop(self) -> None:
        """Tell a control member that this entry accepts no more work."""
        self.own_row = attrs.evolve(self.own_row, health=Health.DEAD)
        poll = PollNews(self.own_row, self.marks, 0)
        address = self._pick_member()
        if address is None:
            return
        try:
            await self.link.call(address, poll, POLL_SLACK_MS)
        except PeerUnreachable as error:
            # Not retried: the control members drop an entry that stops polling.
            events.log(events.PEER_LOST, peer="control", detail=str(error))

    def _pick_member(self) -> Address | None:
        """Return the member to poll; None if no member is known.

        Each entry has its own ranking of the members and uses the first one that is not
        avoided. If all are avoided, it uses the one whose avoidance ends first.
        """
        now_ms = self.clock.now_ms()
        known = {str(a): a for a in (*self.members, *self.seeds())}
        ranked = rendezvous(self.own_row.name, known, MAX_ADDRESSES)
        addresses = [known[text] for text in ranked]
        return min(addresses, key=lambda a: self._avoided_ms(a, now_ms), default=None)

    def _avoided_ms(self, address: Address, now_ms: int) -> int:
        return max(self.avoid_until_ms.get(address, 0) - now_ms, 0)

    def _avoid(self, address: Address, detail: str) -> None:
        self.avoid_until_ms[address] = self.clock.now_ms() + AVOIDANCE_MS
        if self.current_member is not None:
            self.current_member = None
            events.log(events.PEER_LOST, peer=str(address), detail=detail)

    def _record_confirmation(self, address: Address, confirmed: bool) -> None:
        if not confirmed:
            self.avoid_until_ms[address] = self.clock.now_ms() + AVOIDANCE_MS
        elif address != self.current_member:
            events.log(events.PEER_RECOVERED, peer=str(address), detail="")
            self.current_member = address

    async def _apply_update(self, news: News) -> None:
        now_ms = self.clock.now_ms()
        for aged in news.targets:
            self.membership.put(aged.row, now_ms, aged.age_ms)
        if news.targets:
            self.on_targets_changed()
        if news.entries:
            self.entries = tuple({row.name: row for row in news.entries}.values())
        if news.members:
            self.members = [Address.parse(text) for text in news.members]
        revision = self.marks.revision
        if news.text and news.marks.revision > revision:
            revision = await self._apply_configuration(news)
        self.marks = attrs.evolve(news.marks, revision=revision)

    async def _apply_configuration(self, news: News) -> int:
        """Apply a newer configuration; return the revision that is then applied."""
        parse = self.configuration_format.routes
        started_ms = self.clock.now_ms()
        try:
            if len(news.text) > MAX_INLINE_TEXT_CHARS:
                self.table = await run_in_thread(parse, news.marks.revision, news.text)
            else:
                self.table = parse(news.marks.revision, news.text)
        except FleetTextError as error:
            events.log(
                events.FLEET_CONFIG_UNREADABLE,
                revision=news.marks.revision,
                detail=str(error)[:200],
            )
            return self.marks.revision
        events.log(
            events.FLEET_CONFIG_APPLIED,
            revision=news.marks.revision,
            before=self.marks.revision,
            confirmed=news.confirmed,
            characters=len(news.text),
            parse_ms=self.clock.now_ms() - started_ms,
        )
        return news.marks.revision
