"""Runs a model of a target on the event loop."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.experiments.target_models.base import ModelTarget

__all__ = ["ModelDriver"]

# What happens within this time happens now: a sum of waits in virtual time misses its
# end by a rounding error.
TOLERANCE_MS = 1e-6


class ModelDriver:
    """Advances a model at the times at which something happens there.

    Args:
        model: Model; its times are those of ``now_ms``.
        deliver: Is awaited with each output of the model, in order.
    """

    def __init__(
        self, model: ModelTarget[Any], deliver: Callable[[Any], Awaitable[None]]
    ):
        self.model = model
        self.deliver = deliver
        self._changed = curio.Event()
        self._last_ms = 0.0

    async def now_ms(self) -> float:
        """Return the time to state to the model, finer than that of a ``Clock``."""
        now_s: float = await curio.clock()
        self._last_ms = max(self._last_ms, now_s * MS_PER_SECOND)
        return self._last_ms

    async def wake(self) -> None:
        """Look at the model again; call it after each change that others made."""
        await self._changed.set()

    async def run(self) -> None:
        """Advance the model until cancelled."""
        while True:
            self._changed.clear()
            now_ms = await self.now_ms()
            next_ms = self.model.next_ms()
            if next_ms is not None and 0 < next_ms - now_ms < TOLERANCE_MS:
                now_ms = self._last_ms = next_ms
            for output in self.model.advance(now_ms):
                await self.deliver(output)
            next_ms = self.model.next_ms()
            if next_ms is None:
                await self._changed.wait()
            elif (wait_ms := next_ms - now_ms) > 0:
                await curio.ignore_after(wait_ms / MS_PER_SECOND, self._changed.wait)
