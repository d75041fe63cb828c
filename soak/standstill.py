"""Watches for how long the event loop of a process stood still."""

from collections import deque

import curio

from soak.records import RecordWriter, StandstillRecord
from wagtailrun.clock import SystemClock

__all__ = ["StandstillWatch"]

INTERVAL_MS = 20
# Shorter times are not recorded.
MIN_STANDSTILL_MS = 50
# For how long standstills are remembered for the requests that they concern.
MEMORY_MS = 60_000


class StandstillWatch:
    """Measures how much later than asked for the loop goes on.

    Args:
        loop: Name of the part of the soak.
        writer: Gets the records.
    """

    def __init__(self, loop: str, writer: RecordWriter):
        self._loop = loop
        self._writer = writer
        self._clock = SystemClock()
        self._recent: deque[StandstillRecord] = deque()

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            before_ms = self._clock.now_ms()
            await curio.sleep(INTERVAL_MS / 1_000)
            now_ms = self._clock.now_ms()
            lasted_ms = now_ms - before_ms - INTERVAL_MS
            if lasted_ms < MIN_STANDSTILL_MS:
                continue
            record = StandstillRecord(
                loop=self._loop, at_ms=now_ms, lasted_ms=lasted_ms
            )
            self._writer.write(record)
            self._recent.append(record)
            while self._recent[0].at_ms < now_ms - MEMORY_MS:
                self._recent.popleft()

    def longest_ms(self, since_ms: int) -> int:
        """Return the longest standstill that ended after a time."""
        return max(
            (r.lasted_ms for r in self._recent if r.at_ms >= since_ms), default=0
        )
