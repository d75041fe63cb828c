"""Client that sends commands and queries to the leader of the control members."""

import random
from collections.abc import Sequence
from typing import Any

from wagtailrun.clock import Clock
from wagtailrun.exceptions import ConsensusUnavailable, PeerUnreachable
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.registry.messages import NotLeader, Unavailable

__all__ = ["ControlClient"]

CALL_TIMEOUT_MS = 1_000
MIN_CALL_TIMEOUT_MS = 50
# One call may take this fraction of the remaining time. After an unresponsive
# connection, time remains for other members, or for the same one over a new connection.
CALL_TIMEOUT_DIVISOR = 3
MAX_CALLS = 64
RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 800
# After a round in which no member replied, further calls fail immediately for this
# time, so that a partitioned data centre does not hold every order until its deadline.
ISOLATION_MS = 1_000
# A single lost message, or timeouts too short for a slow disk, do not prove isolation.
MIN_FAILED_CALLS = 3
SUFFICIENT_CALL_TIMEOUT_MS = 200


class _CallState:
    """State of one ``call_leader``: its attempts and their possible effects.

    Attributes:
        calls: Calls to members so far.
        rounds: Rounds over all members so far.
        may_have_committed: Whether a member may have taken the message.
        detail: Reason of the newest failure.
        retry_after_ms: Delay that the newest failure asks for, in milliseconds.
        received_reply: Whether any member replied in this round.
        timeouts_sufficed: Whether all calls were long enough to prove isolation.
        redirect: Leader that the newest reply names.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.rounds = 0
        self.may_have_committed = False
        self.detail = "no control member is known"
        self.retry_after_ms = RETRY_DELAY_MS
        self.received_reply = False
        self.timeouts_sufficed = True
        self.redirect: Address | None = None

    def to_error(self) -> ConsensusUnavailable:
        return ConsensusUnavailable(
            self.detail,
            may_have_committed=self.may_have_committed,
            retry_after_ms=max(self.retry_after_ms, ISOLATION_MS),
        )


class ControlClient:
    """Sends commands and queries to the leader of the control members.

    Args:
        clock: Clock.
        link: Link to the control members.
        addresses: Peer addresses of the control members.
        rng: Random generator for the jitter of retry delays.
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
        commands must be idempotent. If no member replies at all, the call fails after
        one round. If members reply but none is the leader, an election is probably in
        progress, and the call retries until the timeout.

        Args:
            message: Command or query of the registry.
            timeout_ms: Timeout of the call with all retries, in milliseconds.

        Raises:
            ConsensusUnavailable: If no leader replied in time;
                ``may_have_committed`` is False only if no member can have taken the
                message.
        """
        state = _CallState()
        started_ms = self.clock.now_ms()
        if started_ms < self.isolated_until_ms:
            state.detail = (
                f"no control member replied to calls less than {ISOLATION_MS} ms ago"
            )
            raise state.to_error()
        deadline_ms = started_ms + timeout_ms
        while state.calls < MAX_CALLS:
            reply = await self._try_members(message, state, deadline_ms)
            if reply is not None:
                return reply
            if (
                not state.received_reply
                and state.timeouts_sufficed
                and state.calls >= MIN_FAILED_CALLS
            ):
                self.isolated_until_ms = self.clock.now_ms() + ISOLATION_MS
                break
            delay_ms = self._retry_delay_ms(state.rounds)
            if self.clock.now_ms() + delay_ms >= deadline_ms:
                break
            await self.clock.sleep_ms(delay_ms)
        raise state.to_error()

    async def _try_members(
        self, message: Any, state: _CallState, deadline_ms: int
    ) -> Any:
        """Call each member once and return the first reply, or None without one.

        After a redirect, the leader that it names is called next.
        """
        state.rounds += 1
        state.received_reply = False
        candidates = self._members_in_call_order()
        called: set[Address] = set()
        while candidates and state.calls < MAX_CALLS:
            address = candidates.pop(0)
            remaining_ms = deadline_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                # Not every member was called, so this does not prove isolation.
                state.timeouts_sufficed = False
                return None
            called.add(address)
            reply = await self._call(address, message, state, remaining_ms)
            if reply is not None:
                return reply
            if state.redirect is not None:
                leader = state.redirect
                candidates = [other for other in candidates if other != leader]
                if leader not in called:
                    candidates.insert(0, leader)
        return None

    async def _call(
        self, address: Address, message: Any, state: _CallState, remaining_ms: int
    ) -> Any:
        state.calls += 1
        state.redirect = None
        share_ms = max(remaining_ms // CALL_TIMEOUT_DIVISOR, MIN_CALL_TIMEOUT_MS)
        timeout_ms = min(CALL_TIMEOUT_MS, share_ms, remaining_ms)
        try:
            reply = await self.link.call(address, message, timeout_ms)
        except PeerUnreachable as error:
            state.may_have_committed = state.may_have_committed or error.sent
            state.detail = str(error)
            if error.sent and timeout_ms < SUFFICIENT_CALL_TIMEOUT_MS:
                state.timeouts_sufficed = False
            if not error.shortage:
                self._clear_leader(address)
            return None
        state.received_reply = True
        self.isolated_until_ms = 0
        if isinstance(reply, NotLeader):
            state.detail = f"{address} is not the leader"
            state.redirect = self._record_redirect(address, reply)
            return None
        if isinstance(reply, Unavailable):
            committed = state.may_have_committed or reply.may_have_committed
            state.may_have_committed = committed
            state.detail = reply.detail
            state.retry_after_ms = reply.retry_after_ms
            return None
        self.leader = address
        return reply

    def _retry_delay_ms(self, rounds: int) -> int:
        longest_ms = min(RETRY_DELAY_MS << min(rounds, 8), MAX_RETRY_DELAY_MS)
        return self.rng.randint(longest_ms // 2, longest_ms)

    def _members_in_call_order(self) -> list[Address]:
        """Return all members, starting with the last known leader."""
        if self.leader is None:
            return list(self.addresses)
        others = [address for address in self.addresses if address != self.leader]
        return [self.leader, *others]

    def _clear_leader(self, address: Address) -> None:
        if self.leader == address:
            self.leader = None

    def _record_redirect(self, address: Address, reply: NotLeader) -> Address | None:
        """Store and return the leader that the reply names, unless it is the sender."""
        self._clear_leader(address)
        try:
            redirect = Address.parse(reply.leader)
        except ValueError:
            return None
        if redirect == address:
            return None
        self.leader = redirect
        return redirect
