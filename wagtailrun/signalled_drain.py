"""Drains a daemon after a signal to stop."""

import signal
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from wagtailrun import events
from wagtailrun.clock import Clock

__all__ = ["SignalledDrain"]

SIGNAL_POLL_MS = 250


class SignalledDrain:
    """Waits for a signal to stop, then drains; a second signal ends the drain at once.

    Args:
        clock: Clock.
        name: Name of the process in the log.
        drain: Finishes what the process has in progress.
    """

    def __init__(self, clock: Clock, name: str, drain: Callable[[], Awaitable[None]]):
        self.clock = clock
        self.name = name
        self.drain = drain
        self.signal_count = 0

    @property
    def was_signalled(self) -> bool:
        """Whether the process was told to stop."""
        return self.signal_count > 0

    async def run(self) -> None:
        """Install the signal handlers; return when the process may end."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._count_signal)
        while not self.was_signalled:
            await self.clock.sleep_ms(SIGNAL_POLL_MS)
        events.log(events.DRAIN_STARTED, name=self.name)
        drain = await curio.spawn(self.drain, daemon=True)
        while not drain.terminated and self.signal_count < 2:
            await self.clock.sleep_ms(SIGNAL_POLL_MS)

    def _count_signal(self, number: int, frame: Any) -> None:
        self.signal_count += 1
