"""Tests of SIGHUP at the product's daemons, which have no settings to reload."""

import os
import signal

import curio

from wagtailrun.clock import SystemClock
from wagtailrun.stopping.signalled_drain import SignalledDrain
from wagtailrun.stopping.signals import SIGNAL_POLL_MS, StopSignals


def test_hangup_neither_ends_nor_drains_a_daemon(stop_signal):
    """Guards against a daemon that SIGHUP ends at once, with all its requests."""
    seen = []
    signal.signal(signal.SIGHUP, lambda number, frame: seen.append(number))

    async def drain():
        return None

    async def main():
        clock = SystemClock()
        signals = StopSignals(clock, forced_end_ms=10_000)
        waiting = SignalledDrain(clock, "e", signals, drain)
        task = await curio.spawn(waiting.run)
        await curio.sleep(0.05)
        for _ in range(5):
            os.kill(os.getpid(), signal.SIGHUP)
            await curio.sleep(SIGNAL_POLL_MS / 5_000)
        assert not signals.is_stopping
        await task.cancel()

    curio.run(main)
    # The default would have ended this process.
    assert seen == []
