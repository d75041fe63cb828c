"""Calls of one entry to the owners of stage services, and their common verdict."""

from collections import defaultdict
from collections.abc import Collection
from typing import Any

import curio

from wagtailrun.discovery.owners import Owners
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import PeerLink
from wagtailrun.stages.settled import SettledEntries

__all__ = ["OwnerCalls"]


class OwnerCalls:
    """Sends messages to owners and ends the polls of one that is unreachable.

    A poll may be held for longer than it takes to find out that an owner is dead. What
    one call finds out counts for all polls that wait for the same process.

    Args:
        link: Link to other entries.
        owners: Chooses the owners.
    """

    def __init__(self, link: PeerLink, owners: Owners):
        self.link = link
        self.owners = owners
        # An entry that has just started changes no ranking until it is settled.
        self.settled = owners.among(SettledEntries(owners.clock, owners.entries).rows)
        # Polls in progress by name and incarnation of the owner.
        self.polls_by_process: dict[tuple[str, int], set[curio.Task]] = defaultdict(set)

    def owner(self, service: str, tried: Collection[str] = ()) -> EntryRow | None:
        """Return the owner of a stage service, or None if no entry is eligible.

        An entry that has just started is the owner only if there is no other.

        Args:
            service: Stage service.
            tried: Names of entries to skip because they did not reply.
        """
        return self.settled.owner(service, tried) or self.owners.owner(service, tried)

    def entry(self, name: str) -> EntryRow | None:
        """Return the live entry of a name, or None if none is known."""
        rows = (row for row in self.owners.entries() if row.name == name)
        return next(rows, None)

    async def call(self, owner: EntryRow, message: Any, timeout_ms: int) -> Any:
        """Send a message and return the reply.

        Raises:
            PeerUnreachable: If there is no reply in time.
        """
        return await self.link.call(owner.address, message, timeout_ms)

    async def poll(self, owner: EntryRow, message: Any, timeout_ms: int) -> Any:
        """The same for a message whose reply may be held.

        Raises:
            PeerUnreachable: If there is no reply in time, or the owner was excluded.
        """
        task = await curio.spawn(self.link.call, owner.address, message, timeout_ms)
        polls = self.polls_by_process[owner.process]
        polls.add(task)
        try:
            return await task.join()
        except curio.TaskError as error:
            cause = error.__cause__
            if isinstance(cause, curio.CancelledError):
                detail = f"entry {owner.name} does not reply to other calls"
                raise PeerUnreachable(detail, timed_out=True) from error
            raise cause from None
        except curio.CancelledError:
            await task.cancel()
            raise
        finally:
            polls.discard(task)
            if not polls:
                self.polls_by_process.pop(owner.process, None)

    def leave(self, owner: EntryRow, detail: str) -> None:
        """Use another owner for what one that stops has not taken.

        The polls that wait for it go on, as it finishes what it holds.
        """
        self.owners.exclude(owner, detail)

    async def exclude(self, owner: EntryRow, detail: str) -> None:
        """Use another owner for a while, also for what waits for this one."""
        self.owners.exclude(owner, detail)
        for task in list(self.polls_by_process.get(owner.process, ())):
            await task.cancel(blocking=False)
