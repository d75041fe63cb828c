"""Drains a product daemon after a signal to stop."""

from collections.abc import Awaitable, Callable

import curio

from wagtailrun.clock import Clock
from wagtailrun.stopping.planned_stop import wait_for_signal
from wagtailrun.stopping.signals import SIGNAL_POLL_MS, StopSignals

__all__ = ["SignalledDrain"]


class SignalledDrain:
    """Waits for a signal to stop, then drains; a second signal ends the drain at once.

    A process that stands still, such as on a disk that does not answer, ends when its
    time is over, with status 1.

    Args:
        clock: Clock.
        name: Name of the process in the log.
        drain: Finishes what the process has in progress.
        limit_ms: When the process ends in any case, in milliseconds after the signal
            was sent.
    """

    def __init__(
        self,
        clock: Clock,
        name: str,
        drain: Callable[[], Awaitable[None]],
        limit_ms: int,
    ):
        self.clock = clock
        self.name = name
        self.drain = drain
        self.signals = StopSignals(clock, forced_end_ms=limit_ms)

    @property
    def was_signalled(self) -> bool:
        """Whether the process was told to stop."""
        return self.signals.stop_count > 0

    async def run(self) -> None:
        """Install the signal handlers; return when the process may end."""
        self.signals.install()
        await wait_for_signal(self.signals, self.name)
        drain = await curio.spawn(self.drain, daemon=True)
        while not drain.terminated and self.signals.stop_count < 2:
            await self.clock.sleep_ms(SIGNAL_POLL_MS)
