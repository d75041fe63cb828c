"""Drains a product daemon after a signal to stop."""

from collections.abc import Awaitable, Callable

import curio

from wagtailrun.clock import Clock
from wagtailrun.stopping.planned_stop import wait_for_signal
from wagtailrun.stopping.signals import SIGNAL_POLL_MS, StopSignals

__all__ = ["SignalledDrain"]


class SignalledDrain:
    """Waits for a signal to stop, then drains; a second signal ends the drain at once.

    A process whose event loop or drain stands still ends when its time is over, with
    status 1.

    Args:
        clock: Clock.
        name: Name of the process in the log.
        signals: Signals to stop, which end the process in any case after a time.
        drain: Finishes what the process has in progress.
    """

    def __init__(
        self,
        clock: Clock,
        name: str,
        signals: StopSignals,
        drain: Callable[[], Awaitable[None]],
    ):
        self.clock = clock
        self.name = name
        self.signals = signals
        self.drain = drain

    async def run(self) -> None:
        """Install the signal handlers; return when the process may end."""
        self.signals.install()
        await wait_for_signal(self.signals, self.name)
        drain = await curio.spawn(self.drain, daemon=True)
        while not drain.terminated and self.signals.stop_count < 2:
            await self.clock.sleep_ms(SIGNAL_POLL_MS)
        # It may wait for a disk, and would use servers that are cancelled from now on.
        await drain.cancel(blocking=False)
