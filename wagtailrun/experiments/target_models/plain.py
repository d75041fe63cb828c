"""Model of a plain service: slots and a service time."""

import random
from collections import deque

import attrs

from wagtailrun.experiments.target_models.base import Load, ModelTarget, RefusalCause
from wagtailrun.experiments.target_models.parameters import PlainParameters

__all__ = ["PlainAnswer", "PlainModel"]


@attrs.frozen
class PlainAnswer:
    """Answer to a call.

    Attributes:
        request: Identifier of the call.
        at_ms: When it was given.
        run_ms: How long the call ran, without its waiting.
    """

    request: str
    at_ms: float
    run_ms: float


@attrs.define(eq=False)
class _Call:
    request: str
    started_ms: float = 0.0
    cancelled: bool = False


class PlainModel(ModelTarget[PlainAnswer]):
    """A plain service.

    Args:
        parameters: Speed and size.
        seed: Seed of the durations.
    """

    def __init__(self, parameters: PlainParameters, seed: int = 0):
        super().__init__(parameters.report_lag_ms)
        self.parameters = parameters
        self.random = random.Random(seed)
        self.waiting: deque[_Call] = deque()
        self.running: list[_Call] = []

    def submit(self, request: str, now_ms: float) -> RefusalCause | None:
        """Begin a call, or let it wait; return why it is refused."""
        self._run_until(now_ms)
        if not self.is_alive:
            return RefusalCause.DOWN
        is_full = len(self.running) >= self.parameters.slots
        if is_full and len(self.waiting) >= self.parameters.max_waiting:
            return RefusalCause.FULL
        self._check_new(request)
        self.waiting.append(_Call(request))
        self._start()
        self._note_load()
        return None

    def cancel(self, request: str, now_ms: float) -> None:
        """End a call without an answer; one that runs keeps its slot to its end."""
        self._run_until(now_ms)
        self.waiting = deque(each for each in self.waiting if each.request != request)
        for call in self.running:
            call.cancelled |= call.request == request
        self._note_load()

    def _start(self) -> None:
        while (
            not self.is_paused
            and self.waiting
            and len(self.running) < self.parameters.slots
        ):
            call = self.waiting.popleft()
            call.started_ms = self._now_ms
            self.running.append(call)
            drawn = self.random.uniform(-1.0, 1.0) * self.parameters.spread
            duration_ms = self.parameters.service_ms * (1.0 + drawn) * self.pace
            self.busy_ms += duration_ms
            self._schedule(duration_ms, call)

    def _end(self, call: _Call) -> None:
        self.running.remove(call)
        if not call.cancelled:
            run_ms = self._now_ms - call.started_ms
            self._emit(PlainAnswer(call.request, self._now_ms, run_ms))
        self._start()

    def _requests(self) -> list[str]:
        calls = [*self.running, *self.waiting]
        return [call.request for call in calls if not call.cancelled]

    def _drop_all(self) -> None:
        self.running.clear()
        self.waiting.clear()

    def _present_load(self) -> Load:
        return Load(len(self.running), len(self.waiting), self.parameters.slots)
