"""Entry side of discovery: the text, the targets and the other entries."""

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

# A poll proves freshness when it returns, so it must return well within the time that
# a revoked key may still be used; three a second cost under 1% of a core.
POLL_WAIT_MS = 300
POLL_SLACK_MS = 600
# Also passes over a member that answers but cannot reach the leader.
AVOID_MS = 1_000
RETRY_PAUSE_MS = 50
MAX_ADDRESSES = 64
# Reading 1 MB takes 0.1 s, in which no event of a stream would be passed on.
MAX_INLINE_TEXT_CHARS = 64 * 1024


class ConfigurationFormat(ABC):
    """Form in which the fleet text is written."""

    @abstractmethod
    def routes(self, revision: int, text: str) -> RouteTable:
        """Return the routes of an accepted text.

        Raises:
            FleetTextError: If it cannot be read.
        """


class FleetView:
    """What one entry knows of the fleet.

    Args:
        clock: Clock.
        link: Link to the control members.
        own: Row of this entry.
        seeds: Returns addresses where control members were once to be found.
        configuration_format: Parses the fleet configuration.
        key_grace_ms: How long keys may be trusted after their last confirmation.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        own: EntryRow,
        seeds: Callable[[], Sequence[Address]],
        configuration_format: ConfigurationFormat,
        key_grace_ms: int,
    ):
        self.clock = clock
        self.link = link
        self.own_row = own
        self.seeds = seeds
        self.configuration_format = configuration_format
        self.key_grace_ms = key_grace_ms
        self.membership = Membership(own.data_centre)
        self.membership.unconfirmed = True
        self.entries_by_name: dict[str, EntryRow] = {own.name: own}
        self.table: RouteTable | None = None
        self.marks = NewsMarks()
        self.members: list[Address] = []
        self.avoid_until_ms: dict[Address, int] = {}
        self.polled: Address | None = None
        # When the newest confirmed poll was sent, by the own clock.
        self.confirmed_ms: int | None = None
        self.on_targets: Callable[[], None] = lambda: None

    @property
    def revision(self) -> int:
        """Revision of the text in force here."""
        return self.marks.revision

    @property
    def is_fresh(self) -> bool:
        """Whether no key can have been revoked for longer than ``key_grace_ms``.

        The time counts from the sending of the confirmed poll: a change that this
        entry does not know was acknowledged after that.
        """
        if self.confirmed_ms is None:
            return False
        return self.clock.now_ms() - self.confirmed_ms < self.key_grace_ms

    @property
    def confirmation_age_ms(self) -> int:
        """Age of the newest confirmation; -1 before the first."""
        if self.confirmed_ms is None:
            return -1
        return self.clock.now_ms() - self.confirmed_ms

    def targets(self, service: str) -> list[TargetRow]:
        """Return the targets of a service that may be given work.

        Silent ones are returned only if there is no other: they may be cut off from
        the control members, and not from here.
        """
        rows = self.membership.rows_by_service.get(service, {}).values()
        staying = [row for row in rows if not row.leaving]
        return [row for row in staying if not row.silent] or staying

    def live_entries(self) -> list[EntryRow]:
        """Return the entries that run, this one included while it takes requests."""
        return list(self.entries_by_name.values())

    async def run(self) -> None:
        """Poll the control members until cancelled."""
        while True:
            address = self._pick()
            sent_ms = self.clock.now_ms()
            poll = PollNews(self.own_row, self.marks, POLL_WAIT_MS)
            try:
                news = await self.link.call(address, poll, POLL_WAIT_MS + POLL_SLACK_MS)
            except PeerUnreachable as error:
                self._lose(address, str(error))
                await self.clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            if not isinstance(news, News):
                self._lose(address, f"unexpected {type(news).__name__}")
                await self.clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            self._note_member(address, news.confirmed)
            await self._apply(news)
            # A text that cannot be read here may hold revocations.
            if news.confirmed and self.revision >= news.marks.revision:
                self.confirmed_ms = sent_ms

    async def announce_stop(self) -> None:
        """Tell a control member that this entry takes no more work."""
        self.own_row = attrs.evolve(self.own_row, health=Health.DEAD)
        poll = PollNews(self.own_row, self.marks, 0)
        try:
            await self.link.call(self._pick(), poll, POLL_SLACK_MS)
        except PeerUnreachable as error:
            # The control members notice the silence of this entry by themselves.
            events.log(events.PEER_LOST, peer="control", detail=str(error))

    def _pick(self) -> Address:
        """Return the member to poll: one for each entry, the next if it fails."""
        now_ms = self.clock.now_ms()
        known = {str(a): a for a in (*self.members, *self.seeds())}
        ranked = rendezvous(self.own_row.name, known, MAX_ADDRESSES)
        addresses = [known[text] for text in ranked]
        return min(addresses, key=lambda a: self._avoided_ms(a, now_ms))

    def _avoided_ms(self, address: Address, now_ms: int) -> int:
        return max(self.avoid_until_ms.get(address, 0) - now_ms, 0)

    def _lose(self, address: Address, detail: str) -> None:
        self.avoid_until_ms[address] = self.clock.now_ms() + AVOID_MS
        if self.polled is not None:
            self.polled = None
            events.log(events.PEER_LOST, peer=str(address), detail=detail)

    def _note_member(self, address: Address, confirmed: bool) -> None:
        if not confirmed:
            self.avoid_until_ms[address] = self.clock.now_ms() + AVOID_MS
        elif address != self.polled:
            events.log(events.PEER_RECOVERED, peer=str(address), detail="")
            self.polled = address

    async def _apply(self, news: News) -> None:
        now_ms = self.clock.now_ms()
        for aged in news.targets:
            self.membership.put(aged.row, now_ms, aged.age_ms)
        if news.targets:
            self.on_targets()
        if news.entries:
            self.entries_by_name = {row.name: row for row in news.entries}
        if news.members:
            self.members = [Address.parse(text) for text in news.members]
        revision = self.marks.revision
        if news.text and news.marks.revision > revision:
            revision = await self._apply_text(news)
        self.marks = attrs.evolve(news.marks, revision=revision)

    async def _apply_text(self, news: News) -> int:
        """Put a newer text in force; return the revision that is in force."""
        read = self.configuration_format.routes
        try:
            if len(news.text) > MAX_INLINE_TEXT_CHARS:
                self.table = await run_in_thread(read, news.marks.revision, news.text)
            else:
                self.table = read(news.marks.revision, news.text)
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
        )
        return news.marks.revision
