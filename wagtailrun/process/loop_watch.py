"""Reports that the event loop of a process was late."""

import time

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.logs import events

__all__ = ["LoopWatch"]

# As often as signals are polled: the process then hardly wakes more often.
TICK_MS = 100
# The shortest time limits between processes are 100 ms.
MIN_LATE_MS = 100


class LoopWatch:
    """Measures how late a task of this process wakes.

    A process that was late took the answers of the others for late. Without this
    report, the logs of both do not tell which of the two stood still.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        # When the task wakes next; None before its start.
        self.due_ms: int | None = None
        # When it woke late the last time.
        self.late_at_ms = -1

    def was_held_since(self, since_ms: int) -> bool:
        """Return whether the loop was held after a time on the clock."""
        now_ms = self.clock.now_ms()
        # This task may wake after the one that asks.
        is_due = self.due_ms is not None and now_ms - self.due_ms >= MIN_LATE_MS
        return is_due or self.late_at_ms >= since_ms

    async def run(self) -> None:
        """Report late turns of the loop until cancelled."""
        while True:
            self.due_ms = self.clock.now_ms() + TICK_MS
            used_s = time.thread_time()
            await self.clock.sleep_ms(TICK_MS)
            late_ms = self.clock.now_ms() - self.due_ms
            if late_ms >= MIN_LATE_MS:
                self.late_at_ms = self.clock.now_ms()
                used_s = time.thread_time() - used_s
                events.log(
                    events.LOOP_LATE,
                    late_ms=late_ms,
                    since_wall_ms=self.clock.wall_ms() - late_ms,
                    used_ms=int(used_s * MS_PER_SECOND),
                )
