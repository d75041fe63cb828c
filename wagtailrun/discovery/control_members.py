"""Control members as an entry calls them: their ranking, and who is avoided."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, TypeVar

from wagtailrun.clock import Clock, drop_expired
from wagtailrun.discovery.messages import News
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip.peers import rendezvous
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, PeerLink

__all__ = ["RETRY_PAUSE_MS", "ControlMembers"]

# A member that cannot reach the leader is avoided for this long.
AVOIDANCE_MS = 1_000
# A member that does not reply is avoided for longer than it takes to try three, or dead
# members would be tried in turn and never a live one. Each failure doubles the time.
FAILURE_AVOIDANCE_MS = 3_000
MAX_AVOIDANCE_MS = 24_000
RETRY_PAUSE_MS = 50
MAX_ADDRESSES = 64
# Members withhold their votes for at most 1.3 s after a start, and elect a leader then.
MAX_LEADER_IN_MS = 2_000

T = TypeVar("T")


class ControlMembers:
    """Calls the control members, and chooses the one to call.

    Args:
        clock: Clock.
        link: Link to the control members.
        entry: Name of this entry, which sets its ranking of the members.
        seeds: Returns configured addresses of control members, which may be outdated.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        entry: str,
        seeds: Callable[[], Sequence[Address]],
    ):
        self.clock = clock
        self.link = link
        self.entry = entry
        self.seeds = seeds
        # Addresses that a member named; none before the first reply.
        self.addresses: list[Address] = []
        self.avoid_until_ms: dict[Address, int] = {}
        # Consecutive failures of each member that was not reached since.
        self.failures_by_address: dict[Address, int] = {}
        self.current: Address | None = None
        # When a member that has just started expects a leader, on the clock.
        self.leader_expected_ms: int | None = None

    async def call(
        self, address: Address, message: Any, timeout_ms: int, reply_class: type[T]
    ) -> T | None:
        """Return the reply of a control member; without one, avoid it and pause."""
        try:
            reply = await self.link.call(address, message, timeout_ms)
        except PeerUnreachable as error:
            if error.shortage:
                await self.clock.sleep_ms(RETRY_PAUSE_MS)
                return None
            detail = str(error)
        else:
            if isinstance(reply, reply_class):
                return reply
            detail = (
                f"expected {reply_class.__name__} in reply to "
                f"{type(message).__name__}, got {type(reply).__name__}"
            )
        self.avoid(address, detail)
        await self.clock.sleep_ms(RETRY_PAUSE_MS)
        return None

    def pick(self) -> Address | None:
        """Return the member to poll; None if no member is known.

        Each entry has its own ranking of the members and uses the first one that is not
        avoided. If all are avoided, it uses the one whose avoidance ends first.
        """
        now_ms = self.clock.now_ms()
        addresses = self._rank_addresses([*self.addresses, *self.seeds()])
        return min(addresses, key=lambda a: self._avoided_ms(a, now_ms), default=None)

    def ranked(self) -> list[Address]:
        """Return the control members in this entry's own order, preferred ones first.

        Until a member has named them all, they are the configured seeds.
        """
        now_ms = self.clock.now_ms()
        addresses = self._rank_addresses(self.addresses or self.seeds())
        return sorted(addresses, key=lambda a: self._avoided_ms(a, now_ms))

    def _rank_addresses(self, addresses: Iterable[Address]) -> list[Address]:
        known = {str(address): address for address in addresses}
        ranked = rendezvous(self.entry, known, MAX_ADDRESSES)
        return [known[text] for text in ranked]

    def _avoided_ms(self, address: Address, now_ms: int) -> int:
        return max(self.avoid_until_ms.get(address, 0) - now_ms, 0)

    def avoid(self, address: Address, detail: str) -> None:
        """Avoid a member that failed, for longer after each failure in a row.

        Args:
            address: Address of the member.
            detail: How it failed.
        """
        failures = self.failures_by_address.pop(address, 0)
        if len(self.failures_by_address) >= MAX_ADDRESSES:
            self.failures_by_address.clear()
        self.failures_by_address[address] = failures + 1
        avoid_ms = min(FAILURE_AVOIDANCE_MS << failures, MAX_AVOIDANCE_MS)
        self.avoid_until_ms[address] = self.clock.now_ms() + avoid_ms
        if self.current is not None:
            self.current = None
            events.log(events.PEER_LOST, peer=str(address), detail=detail)

    def record_reply(self, address: Address, news: News) -> None:
        """Record the reply of a member to a poll.

        Args:
            address: Address of the member.
            news: Its reply.
        """
        self.failures_by_address.pop(address, None)
        self.leader_expected_ms = None
        if not news.confirmed:
            now_ms = self.clock.now_ms()
            self.avoid_until_ms[address] = now_ms + AVOIDANCE_MS
            if news.leader_in_ms:
                leader_in_ms = min(news.leader_in_ms, MAX_LEADER_IN_MS)
                self.leader_expected_ms = now_ms + leader_in_ms
        elif address != self.current:
            events.log(events.PEER_RECOVERED, peer=str(address), detail="")
            self.current = address

    def set_addresses(self, texts: Sequence[str]) -> None:
        """Use these control members; those whose address cannot be read are left out.

        Without any that can be read, the known ones stay.
        """
        members = []
        for text in texts:
            try:
                members.append(Address.parse(text))
            except ValueError as error:
                events.log(events.PEER_LOST, peer=text, detail=str(error))
        self.addresses = members or self.addresses

    def drop_gone(self) -> None:
        """Drop what is kept of members that are no longer avoided."""
        drop_expired(self.avoid_until_ms, self.clock.now_ms())
