"""Asks the control members, whichever of them leads."""

from collections.abc import Sequence
from typing import Any

from wagtailrun.clock import Clock
from wagtailrun.exceptions import ConsensusUnavailable, PeerUnreachable
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.registry_messages import NotLeader, Unavailable

__all__ = ["ControlClient"]

CALL_TIMEOUT_MS = 1_000
RETRY_PAUSE_MS = 100


class ControlClient:
    """Sends commands and questions to the leader of the control members.

    Args:
        clock: Clock.
        link: Link to the control members.
        addresses: Peer addresses of the control members.
    """

    def __init__(self, clock: Clock, link: PeerLink, addresses: Sequence[Address]):
        self.clock = clock
        self.link = link
        self.addresses = list(addresses)
        self.leader: Address | None = None

    async def ask(self, message: Any, timeout_ms: int) -> Any:
        """Return the leader's reply to ``message``.

        The message may reach the leader more than once when a reply is lost, so
        commands must be idempotent.

        Args:
            message: Command or question of the registry.
            timeout_ms: When to give up, in milliseconds.

        Raises:
            ConsensusUnavailable: If no leader answered in time.
        """
        give_up_ms = self.clock.now_ms() + timeout_ms
        may_have_committed = False
        detail = "no control member is known"
        while (remaining_ms := give_up_ms - self.clock.now_ms()) > 0:
            for address in self._order():
                try:
                    reply = await self.link.call(
                        address, message, min(CALL_TIMEOUT_MS, remaining_ms)
                    )
                except PeerUnreachable as error:
                    may_have_committed = may_have_committed or error.sent
                    detail = str(error)
                    self._forget(address)
                    continue
                if isinstance(reply, NotLeader):
                    self._follow(address, reply)
                    detail = f"{address} does not lead"
                elif isinstance(reply, Unavailable):
                    may_have_committed = may_have_committed or reply.may_have_committed
                    detail = reply.detail
                else:
                    self.leader = address
                    return reply
            await self.clock.sleep_ms(RETRY_PAUSE_MS)
        raise ConsensusUnavailable(detail, may_have_committed=may_have_committed)

    def _order(self) -> list[Address]:
        """Return the members, the one that led last first."""
        if self.leader is None:
            return list(self.addresses)
        others = [address for address in self.addresses if address != self.leader]
        return [self.leader, *others]

    def _forget(self, address: Address) -> None:
        if self.leader == address:
            self.leader = None

    def _follow(self, address: Address, reply: NotLeader) -> None:
        self._forget(address)
        if reply.leader:
            self.leader = Address.parse(reply.leader)
