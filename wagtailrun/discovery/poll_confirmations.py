"""Confirms at a control member that the polls of entries saw the newest state."""

from collections.abc import Callable

import curio

from wagtailrun.consensus.member import Member
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.logs import events
from wagtailrun.process.start_steps import StartStep, StartSteps

__all__ = ["PollConfirmations"]

CONFIRM_TIMEOUT_MS = 400


class PollConfirmations:
    """Confirms polls, all that wait at a time with one read barrier at the leader.

    Args:
        member: Returns the member of the replicated log.
        steps: Steps of the start of this process.
    """

    def __init__(self, member: Callable[[], Member], steps: StartSteps):
        self.member = member
        self.steps = steps
        self.pending: list[tuple[curio.Event, list[bool]]] = []
        self.requested = curio.Event()

    async def request(self) -> bool:
        """Return whether the leader confirmed the local state after this call began."""
        done, result = curio.Event(), [False]
        self.pending.append((done, result))
        await self.requested.set()
        await done.wait()
        return result[0]

    async def run(self) -> None:
        """Confirm all waiting polls with one read barrier, again and again."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            # Polls that arrive from here on wait for the next read barrier, because a
            # barrier that started before their arrival does not confirm them.
            waiting, self.pending = self.pending, []
            try:
                await self.member().read_barrier(CONFIRM_TIMEOUT_MS)
                confirmed = True
                self.steps.reach(StartStep.READS_CONFIRMED)
            except ConsensusUnavailable as error:
                confirmed = False
                events.log(events.CONFIG_NOT_CONFIRMED, detail=str(error))
            for done, result in waiting:
                result[0] = confirmed
                await done.set()
