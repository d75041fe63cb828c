"""Clock interface: monotonic and wall time in integer milliseconds."""

import time
from abc import ABC, abstractmethod
from collections.abc import Hashable
from typing import TypeVar

import curio

__all__ = ["MS_PER_SECOND", "Clock", "SystemClock", "drop_expired"]

MS_PER_SECOND = 1_000
NS_PER_MS = 1_000_000

T = TypeVar("T", bound=Hashable)


class Clock(ABC):
    """Source of time for every module that waits or takes timestamps."""

    @abstractmethod
    def now_ms(self) -> int:
        """Return monotonic time in milliseconds, from an arbitrary start."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; the clock may be stepped."""

    @abstractmethod
    async def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the calling task for ``duration_ms`` milliseconds."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds, including time spent suspended.

        CLOCK_MONOTONIC stops while a VM is suspended, so a lease measured with it would
        last longer than the other members promised.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NS_PER_MS

    async def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the calling task for ``duration_ms`` milliseconds."""
        await curio.sleep(max(duration_ms, 0) / MS_PER_SECOND)


def drop_expired(until_ms_by_key: dict[T, int], now_ms: int) -> None:
    """Drop the entries of a table whose time, in milliseconds, is over."""
    for key, until_ms in list(until_ms_by_key.items()):
        if until_ms <= now_ms:
            del until_ms_by_key[key]
