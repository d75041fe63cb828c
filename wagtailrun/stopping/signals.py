"""Notices the signals to a daemon, and how late it handled the first one to stop."""

import os
import signal
from collections.abc import Callable
from typing import Any

from wagtailrun.clock import MS_PER_SECOND, Clock

__all__ = ["SIGNAL_POLL_MS", "StopSignals"]

# A planned stop has seconds, and polling ten times a second costs next to nothing.
SIGNAL_POLL_MS = 100
# A process that is told twice to stop, and whose event loop stands still, ends by then.
FORCED_END_MS = 1_000
# What a process that handles the signal after its time still has to answer requests.
LATE_STOP_MS = 1_000
EXIT_FORCED = 1


class StopSignals:
    """Counts the signals to stop the process or to reload its settings.

    Args:
        clock: Clock.
        reload: Called on SIGHUP; without it, that signal is ignored.
        forced_end_ms: When the process ends with status 1 in any case, even while a
            call holds the event loop: in milliseconds after the first signal to stop
            was sent, or earlier on a second signal. None if it is not ended.
    """

    def __init__(
        self,
        clock: Clock,
        reload: Callable[[], None] | None = None,
        forced_end_ms: int | None = None,
    ):
        self.clock = clock
        self.reload = reload
        self.forced_end_ms = forced_end_ms
        self.stop_count = 0
        # When the first signal to stop was handled, on the clock.
        self.handled_ms = 0
        # When this process was last known to run; a signal sent before was handled.
        self.polled_ms = 0
        self.last_poll_ms = 0
        self.hangup_count = 0

    def install(self) -> None:
        """Install the signal handlers."""
        self.polled_ms = self.last_poll_ms = self.clock.now_ms()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._count_stop)
        if self.forced_end_ms is not None:
            signal.signal(signal.SIGALRM, _end_process)
        # The default ends the process.
        is_ignored = self.reload is None
        signal.signal(
            signal.SIGHUP, signal.SIG_IGN if is_ignored else self._count_hangup
        )

    async def wait(self) -> None:
        """Return after a signal to stop; reload the settings on SIGHUP until then."""
        while not self.stop_count:
            self._record_poll()
            await self.clock.sleep_ms(SIGNAL_POLL_MS)
            if self.hangup_count and self.reload is not None:
                self.hangup_count = 0
                self.reload()

    @property
    def is_stopping(self) -> bool:
        """Whether the process was told to stop."""
        return self.stop_count > 0

    @property
    def stopped_ms(self) -> int:
        """When the first signal to stop was sent, at the earliest, on the clock.

        The platform's grace period counts from then. The error is up to one poll.
        """
        return self.handled_ms - self.late_ms

    @property
    def late_ms(self) -> int:
        """How long after it was sent the first signal to stop was handled, at most.

        A process that is short of processor time, or stands still, misses its polls and
        handles the signal late.
        """
        return max(self.handled_ms - self.polled_ms - SIGNAL_POLL_MS, 0)

    def end_ms(self, limit_ms: int) -> int:
        """Return when a stop ends, on the clock.

        Args:
            limit_ms: Limit of the stop, in milliseconds after the signal was sent.
        """
        late_end_ms = self.handled_ms + min(limit_ms, LATE_STOP_MS)
        return max(self.stopped_ms + limit_ms, late_end_ms)

    def _record_poll(self) -> None:
        # A signal may be handled between the two lines; the poll then came after it.
        now_ms = self.clock.now_ms()
        if self.stop_count:
            return
        # After a pause of the process this poll may come just before the signal that
        # was sent meanwhile is handled.
        is_late = now_ms - self.last_poll_ms > 2 * SIGNAL_POLL_MS
        self.polled_ms = self.last_poll_ms if is_late else now_ms
        self.last_poll_ms = now_ms

    def count_stop(self) -> None:
        """Count a signal to stop that is handled now."""
        if not self.stop_count:
            self.handled_ms = self.clock.now_ms()
        self.stop_count += 1

    def _count_stop(self, number: int, frame: Any) -> None:
        self.count_stop()
        if self.forced_end_ms is not None:
            self._limit_stop(self.forced_end_ms)

    def _limit_stop(self, forced_end_ms: int) -> None:
        """Set the timer that ends the process, unless it is set to an earlier time."""
        if self.stop_count > 1:
            left_ms = FORCED_END_MS
        else:
            late_left_ms = min(forced_end_ms, 2 * LATE_STOP_MS)
            left_ms = max(forced_end_ms - self.late_ms, late_left_ms)
        left_s = left_ms / MS_PER_SECOND
        set_s, _ = signal.getitimer(signal.ITIMER_REAL)
        if not set_s or left_s < set_s:
            signal.setitimer(signal.ITIMER_REAL, left_s)

    def _count_hangup(self, number: int, frame: Any) -> None:
        self.hangup_count += 1


def _end_process(number: int, frame: Any) -> None:
    os._exit(EXIT_FORCED)
