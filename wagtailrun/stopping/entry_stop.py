"""Order in which an entry ends the requests of its callers in a planned stop."""

from abc import abstractmethod

from wagtailrun.adapters.drain_times import DRAIN_IDLE_POLLS, sleep_until_idle
from wagtailrun.adapters.server_state import CallerServer
from wagtailrun.clock import Clock
from wagtailrun.stopping.plan import StopPlan
from wagtailrun.stopping.planned_stop import PlannedStop, StoppableDaemon
from wagtailrun.stopping.running_requests import STOP_ANSWER_MS

__all__ = ["EntryStop", "StoppableEntry"]

# Interval of looks whether the load balancer has noticed the stop.
NOTICE_POLL_MS = 50


class StoppableEntry(StoppableDaemon):
    """What differs between entries in a planned stop, in the order used.

    Attributes:
        idle_polls: After how many polls in a row without a request the entry is idle,
            once it accepts no connections. Other entries may still send it work.
    """

    idle_polls = DRAIN_IDLE_POLLS

    @abstractmethod
    def plan_stop(self) -> StopPlan:
        """Return the times of the stop that was signalled."""

    @abstractmethod
    async def begin_stop(self, plan: StopPlan) -> None:
        """Take no work that cannot end in time."""

    @abstractmethod
    async def announce_stop(self, plan: StopPlan) -> None:
        """Tell other processes of the stop."""

    @abstractmethod
    def drains_at_ms(self, plan: StopPlan) -> int:
        """Return when the load balancer has noticed the stop, on the clock.

        The time moves while the entry stays ready for others, and comes sooner if the
        load balancer is known to have noticed.
        """

    @abstractmethod
    def awaits_another(self) -> bool:
        """Return whether callers may come here until another entry is back.

        The entry then accepts connections to the end of its time for that.
        """

    @abstractmethod
    def end_notice(self, plan: StopPlan) -> None:
        """Admit only requests that end in time from now on."""

    @abstractmethod
    def is_idle(self) -> bool:
        """Return whether the entry has no request, and no work of other entries."""

    @abstractmethod
    async def refuse_running(self) -> None:
        """Refuse the requests in progress that cannot end in time."""

    @abstractmethod
    def refuse_arriving(self) -> None:
        """Refuse the requests that still arrive."""

    @abstractmethod
    def left_ms(self, plan: StopPlan) -> int:
        """Return how long this process may still answer, in milliseconds."""


class EntryStop(PlannedStop):
    """Ends an entry.

    Args:
        clock: Clock.
        entry: The entry that ends.
        server: Its server for callers.
    """

    def __init__(self, clock: Clock, entry: StoppableEntry, server: CallerServer):
        super().__init__(entry)
        self.clock = clock
        self.entry = entry
        self.server = server

    async def end_callers(self) -> None:
        """Answer or refuse all requests of callers, and close their server."""
        plan = self.entry.plan_stop()
        await self.keep_notice(plan)
        await self.finish_requests(plan)

    async def keep_notice(self, plan: StopPlan) -> None:
        """Serve until the load balancer has noticed, then close idle connections."""
        await self.entry.begin_stop(plan)
        # Callers open their next connections elsewhere.
        self.server.closing = True
        await self.entry.announce_stop(plan)
        while (left_ms := self._until_ms(self.entry.drains_at_ms(plan))) > 0:
            await self.clock.sleep_ms(min(left_ms, NOTICE_POLL_MS))
        self.entry.end_notice(plan)
        await self.server.drain()

    async def finish_requests(self, plan: StopPlan) -> None:
        """Finish what ends in time, refuse the rest, and close the callers' server.

        Connections that wait in the queue of the kernel for a descriptor get those of
        the requests that were refused before them.
        """
        await sleep_until_idle(self.clock, self._is_over, plan.accepts_end_ms)
        await self.server.stop_accepting(self._until_ms(plan.answers_end_ms))
        await self._wait_until_idle(plan.answers_end_ms, self.entry.idle_polls)
        await self.entry.refuse_running()
        await self.server.accept_waiting(self._until_ms(plan.ends_ms))
        await self._wait_until_idle(plan.ends_ms, 1)
        self.entry.refuse_arriving()
        # A late entry still answers the connections that wait for a descriptor.
        await self.server.close(max(self.entry.left_ms(plan), STOP_ANSWER_MS))

    def _is_over(self) -> bool:
        """Return whether there is nothing to do, and nothing will come."""
        return self.entry.is_idle() and not self.entry.awaits_another()

    async def _wait_until_idle(self, limit_ms: int, polls: int) -> None:
        await sleep_until_idle(self.clock, self.entry.is_idle, limit_ms, polls)

    def _until_ms(self, time_ms: int) -> int:
        """Return how long it is until a time on the clock; negative after it."""
        return time_ms - self.clock.now_ms()
