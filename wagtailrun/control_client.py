"""Asks the control members, whichever of them leads."""

import random
from collections.abc import Sequence
from typing import Any

from wagtailrun.clock import Clock
from wagtailrun.exceptions import ConsensusUnavailable, PeerUnreachable
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.registry_messages import NotLeader, Unavailable

__all__ = ["ControlClient"]

CALL_TIMEOUT_MS = 1_000
MIN_CALL_TIMEOUT_MS = 50
# A silent connection may use this part of the time left, so that other members, and
# the same one over a new connection, are still asked.
CALL_PART = 3
MAX_CALLS = 64
RETRY_PAUSE_MS = 100
MAX_RETRY_PAUSE_MS = 800
# After a round in which no member answered, further calls are refused at once for this
# long: a partitioned data centre must not hold every order until its deadline.
ISOLATION_MS = 1_000
# One lost message, or calls too short for a slow disk, are no proof of isolation.
MIN_SILENT_CALLS = 3
PATIENT_CALL_MS = 200


class _Tries:
    """State of one ``ask``: what was tried and what it may have caused."""

    def __init__(self) -> None:
        self.calls = 0
        self.rounds = 0
        self.may_have_committed = False
        self.detail = "no control member is known"
        self.retry_after_ms = RETRY_PAUSE_MS
        self.heard = False
        self.patient = True
        self.redirect: Address | None = None

    def error(self) -> ConsensusUnavailable:
        return ConsensusUnavailable(
            self.detail,
            may_have_committed=self.may_have_committed,
            retry_after_ms=max(self.retry_after_ms, ISOLATION_MS),
        )


class ControlClient:
    """Sends commands and questions to the leader of the control members.

    Args:
        clock: Clock.
        link: Link to the control members.
        addresses: Peer addresses of the control members.
        rng: Source of jitter.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        addresses: Sequence[Address],
        rng: random.Random | None = None,
    ):
        self.clock = clock
        self.link = link
        self.addresses = list(addresses)
        self.rng = rng or random.Random()
        self.leader: Address | None = None
        self.isolated_until_ms = 0

    async def call_leader(self, message: Any, timeout_ms: int) -> Any:
        """Return the leader's reply to ``message``.

        The message may reach the leader more than once when a reply is lost, so
        commands must be idempotent. While no member answers at all, the call fails
        after one round; while members answer but none leads, it goes on until the
        timeout, because an election is under way.

        Args:
            message: Command or question of the registry.
            timeout_ms: When to give up, in milliseconds.

        Raises:
            ConsensusUnavailable: If no leader answered in time;
                ``may_have_committed`` is False only if no member can have taken the
                message.
        """
        tries = _Tries()
        started_ms = self.clock.now_ms()
        if started_ms < self.isolated_until_ms:
            tries.detail = "no control member answered a moment ago"
            raise tries.error()
        give_up_ms = started_ms + timeout_ms
        while tries.calls < MAX_CALLS:
            reply = await self._round(message, tries, give_up_ms)
            if reply is not None:
                return reply
            if not tries.heard and tries.patient and tries.calls >= MIN_SILENT_CALLS:
                self.isolated_until_ms = self.clock.now_ms() + ISOLATION_MS
                break
            pause_ms = self._pause_ms(tries.rounds)
            if self.clock.now_ms() + pause_ms >= give_up_ms:
                break
            await self.clock.sleep_ms(pause_ms)
        raise tries.error()

    async def _round(self, message: Any, tries: _Tries, give_up_ms: int) -> Any:
        """Ask each member once, a named leader next; return None without an answer."""
        tries.rounds += 1
        tries.heard = False
        waiting = self._order()
        asked: set[Address] = set()
        while waiting and tries.calls < MAX_CALLS:
            address = waiting.pop(0)
            remaining_ms = give_up_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                # Not every member was asked, so this is no proof of isolation.
                tries.patient = False
                return None
            asked.add(address)
            reply = await self._call(address, message, tries, remaining_ms)
            if reply is not None:
                return reply
            if tries.redirect is not None:
                named = tries.redirect
                waiting = [other for other in waiting if other != named]
                if named not in asked:
                    waiting.insert(0, named)
        return None

    async def _call(
        self, address: Address, message: Any, tries: _Tries, remaining_ms: int
    ) -> Any:
        tries.calls += 1
        tries.redirect = None
        part_ms = max(remaining_ms // CALL_PART, MIN_CALL_TIMEOUT_MS)
        timeout_ms = min(CALL_TIMEOUT_MS, part_ms, remaining_ms)
        try:
            reply = await self.link.call(address, message, timeout_ms)
        except PeerUnreachable as error:
            tries.may_have_committed = tries.may_have_committed or error.sent
            tries.detail = str(error)
            if error.sent and timeout_ms < PATIENT_CALL_MS:
                tries.patient = False
            self._forget(address)
            return None
        tries.heard = True
        self.isolated_until_ms = 0
        if isinstance(reply, NotLeader):
            tries.detail = f"{address} does not lead"
            tries.redirect = self._follow(address, reply)
            return None
        if isinstance(reply, Unavailable):
            committed = tries.may_have_committed or reply.may_have_committed
            tries.may_have_committed = committed
            tries.detail = reply.detail
            tries.retry_after_ms = reply.retry_after_ms
            return None
        self.leader = address
        return reply

    def _pause_ms(self, rounds: int) -> int:
        longest_ms = min(RETRY_PAUSE_MS << min(rounds, 8), MAX_RETRY_PAUSE_MS)
        return self.rng.randint(longest_ms // 2, longest_ms)

    def _order(self) -> list[Address]:
        """Return the members, the one that led last first."""
        if self.leader is None:
            return list(self.addresses)
        others = [address for address in self.addresses if address != self.leader]
        return [self.leader, *others]

    def _forget(self, address: Address) -> None:
        if self.leader == address:
            self.leader = None

    def _follow(self, address: Address, reply: NotLeader) -> Address | None:
        """Remember and return the leader that ``address`` names, if it is another."""
        self._forget(address)
        try:
            named = Address.parse(reply.leader)
        except ValueError:
            return None
        if named == address:
            return None
        self.leader = named
        return named
