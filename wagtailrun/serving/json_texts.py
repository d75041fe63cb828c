"""Reads JSON texts of callers and targets, without keeping their values."""

import gc
import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import curio

from wagtailrun.clock import MS_PER_SECOND, Clock

__all__ = ["JsonTexts"]

# Reading a shorter text takes a millisecond at most.
SMALL_BYTES = 16 * 1024

T = TypeVar("T")


class JsonTexts:
    """Reads large texts one at a time.

    One of 1 MiB takes up to 0.1 s, and many may have arrived. Other tasks have as much
    time between two of them as the first one took.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.lock = curio.Lock()
        # When the next large text may be read, on the clock.
        self.free_ms = 0

    async def read(self, text: bytes, use: Callable[[Any], T]) -> T:
        """Return ``use(value)`` of the value in a text.

        The value may take thirty times the memory of its text, so that it should not
        outlive ``use``.

        Raises:
            ValueError: If the text is no JSON.
            RecursionError: If it is nested too deeply.
        """
        if len(text) <= SMALL_BYTES:
            return use(json.loads(text))
        async with self.lock:
            wait_ms = max(self.free_ms - self.clock.now_ms(), 0)
            await curio.sleep(wait_ms / MS_PER_SECOND)
            started_ms = self.clock.now_ms()
            try:
                with _without_collections():
                    return use(json.loads(text))
            finally:
                ended_ms = self.clock.now_ms()
                self.free_ms = 2 * ended_ms - started_ms


@contextmanager
def _without_collections() -> Iterator[None]:
    """Keep the garbage collector from looking at all objects again and again.

    It took two thirds of the time, and JSON values have no cycles.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
