"""Tells other entries of targets of plain services that leave requests unanswered.

Each entry chooses these targets itself. Without news, each of them loses requests at a
target that stands still.
"""

from collections.abc import Callable
from typing import Any

import curio

from wagtailrun.clock import Clock
from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.logs import events
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.relay.core.placement_messages import RunNoted, RunOver
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.health import TargetHealth
from wagtailrun.targets.table import TargetRow

__all__ = ["SilenceNews", "is_silence_news"]

# Nobody waits for the reply.
CALL_TIMEOUT_MS = 500


def is_silence_news(message: RunOver) -> bool:
    """Return whether a message is about a target, and not the end of an attempt."""
    return not message.request_id and bool(message.target)


class SilenceNews:
    """Records silent targets, and tells other entries of them.

    Args:
        clock: Clock.
        link: Link to other entries.
        name: Name of this entry.
        owners: Knows the entries to tell.
        targets: Returns the targets of a service.
        health: What this entry knows of targets.
    """

    def __init__(
        self,
        clock: Clock,
        link: PeerLink,
        name: str,
        owners: Owners,
        targets: Callable[[str], list[TargetRow]],
        health: TargetHealth[Any],
    ):
        self.clock = clock
        self.link = link
        self.name = name
        self.owners = owners
        self.targets = targets
        self.health = health

    async def tell(self, row: TargetRow, since_ms: int) -> None:
        """Record that a request has no answer since a time; tell others if it is news.

        Probes that fail are none: the others send their own.
        """
        if not self.health.record_silence(row, since_ms):
            return
        # An earlier build takes it for the end of an attempt that it does not know.
        message = RunOver(
            "",
            row.service,
            row.name,
            RunOutcome.FAILED,
            first_event_ms=self.clock.now_ms() - since_ms,
        )
        for entry in self.owners.entries():
            if entry.name != self.name:
                await curio.spawn(
                    self._send, entry.name, entry.address, message, daemon=True
                )

    async def _send(self, name: str, address: Address, message: RunOver) -> None:
        try:
            await self.link.call(address, message, CALL_TIMEOUT_MS)
        except (MessageError, PeerUnreachable) as error:
            # It finds out by itself.
            events.log(events.PEER_LOST, peer=name, detail=str(error))

    def handle(self, message: RunOver) -> RunNoted:
        """Record what another entry tells, unless the target has answered since."""
        since_ms = self.clock.now_ms() - max(message.first_event_ms, 0)
        for row in self.targets(message.service):
            if row.name == message.target:
                return RunNoted(self.health.record_silence(row, since_ms))
        return RunNoted(False)
