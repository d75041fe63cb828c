"""What all models of targets have in common: time, faults and the load they tell."""

import enum
import heapq
import itertools
import math
from abc import ABC, abstractmethod
from collections import deque
from typing import Any, Generic, TypeVar

import attrs

__all__ = ["Load", "LostRequest", "RefusalCause", "ModelTarget"]


class RefusalCause(enum.StrEnum):
    """Why a target refuses a request, of which nothing has run."""

    FULL = "full"
    TOO_LARGE = "too-large"
    DOWN = "down"


@attrs.frozen
class Load:
    """Load of a target.

    Attributes:
        running: Requests or calls that run.
        waiting: Those that wait for a place or for memory.
        places: How many can run at once.
        used: Memory in use, in the unit of the model; 0 for one without memory.
    """

    running: int
    waiting: int
    places: int
    used: float = 0.0


@attrs.frozen
class LostRequest:
    """A request or call that the end of the process has ended."""

    request: str
    at_ms: float


OutputT = TypeVar("OutputT")


class ModelTarget(ABC, Generic[OutputT]):
    """A target that works in virtual time, and is driven from outside.

    The caller states the time, in milliseconds on a clock that never goes back, with
    each change, and takes what has become of requests by ``advance``. Nothing happens
    between two times of ``next_ms``, so that a caller who sleeps until then misses
    nothing.

    Args:
        report_lag_ms: Age of the load that the target tells.

    Attributes:
        is_alive: Whether its process runs.
        pace: How many times slower it works; counts for work that begins from now on.
        busy_ms: Time in which it worked, of all places together.
        starts: How often its process was started again.
    """

    def __init__(self, report_lag_ms: float):
        self.report_lag_ms = report_lag_ms
        self.is_alive = True
        self.pace = 1.0
        self.busy_ms = 0.0
        self.starts = 0
        self._now_ms = -math.inf
        self._paused_since_ms: float | None = None
        self._numbers = itertools.count()
        # Ends of work: time, order, and what ends.
        self._ends: list[tuple[float, int, Any]] = []
        self._outputs: list[OutputT | LostRequest] = []
        self._loads: deque[tuple[float, Load]] = deque()

    # What the parts of a model do

    @abstractmethod
    def _end(self, work: Any) -> None:
        """Handle the end of what ``_schedule`` was given, at ``_now_ms``."""

    @abstractmethod
    def _start(self) -> None:
        """Begin what waits and has room; nothing while the process stands still."""

    @abstractmethod
    def _requests(self) -> list[str]:
        """Return the requests or calls that are there."""

    @abstractmethod
    def _drop_all(self) -> None:
        """Lose all state of the process."""

    @abstractmethod
    def _present_load(self) -> Load:
        """Return the load now."""

    def _schedule(self, duration_ms: float, work: Any) -> None:
        """End some work after a duration, from now."""
        at_ms = self._now_ms + duration_ms
        heapq.heappush(self._ends, (at_ms, next(self._numbers), work))

    def _check_new(self, request: str) -> None:
        if request in self._requests():
            raise ValueError(f"{request} is already here; give each attempt its name")

    def _emit(self, output: OutputT | LostRequest) -> None:
        self._outputs.append(output)

    def _note_load(self) -> None:
        """Remember the load now, for those who are told it later."""
        if self._loads and self._loads[-1][0] == self._now_ms:
            self._loads.pop()
        self._loads.append((self._now_ms, self._present_load()))
        oldest_ms = self._now_ms - self.report_lag_ms
        while len(self._loads) > 1 and self._loads[1][0] <= oldest_ms:
            self._loads.popleft()

    # Time

    def next_ms(self) -> float | None:
        """Return when the next work ends; None if nothing runs or it stands still."""
        if self.is_paused or not self._ends:
            return None
        return self._ends[0][0]

    def advance(self, now_ms: float) -> list[OutputT | LostRequest]:
        """Work until a time, and return what came of it since the last call, in order.

        Args:
            now_ms: Time; not before that of any earlier call.
        """
        self._run_until(now_ms)
        outputs, self._outputs = self._outputs, []
        return outputs

    def _run_until(self, now_ms: float) -> None:
        if now_ms < self._now_ms:
            raise ValueError(f"time {now_ms} is before {self._now_ms}")
        while (at_ms := self.next_ms()) is not None and at_ms <= now_ms:
            self._now_ms = at_ms
            self._end(heapq.heappop(self._ends)[2])
            self._note_load()
        self._now_ms = now_ms

    # Load

    @property
    def is_paused(self) -> bool:
        """Whether the process stands still."""
        return self._paused_since_ms is not None

    def load(self, now_ms: float) -> Load:
        """Return the load at a time."""
        self._run_until(now_ms)
        return self._present_load()

    def told_load(self, now_ms: float) -> Load:
        """Return the load that the target tells, which is that of some time ago."""
        self._run_until(now_ms)
        told_ms = now_ms - self.report_lag_ms
        before = [load for at_ms, load in self._loads if at_ms <= told_ms]
        return before[-1] if before else Load(0, 0, self._present_load().places)

    # Faults

    def crash(self, now_ms: float) -> None:
        """End the process: what it had is lost."""
        self._run_until(now_ms)
        self._crash()

    def _crash(self) -> None:
        self.is_alive = False
        self._paused_since_ms = None
        self._ends.clear()
        for request in self._requests():
            self._emit(LostRequest(request, self._now_ms))
        self._drop_all()
        self._loads.clear()
        self._note_load()

    def restart(self, now_ms: float) -> None:
        """Start the process again, without state."""
        if self.is_alive:
            self.crash(now_ms)
        self._run_until(now_ms)
        self.is_alive = True
        self.starts += 1
        self._note_load()

    def pause(self, now_ms: float) -> None:
        """Stand still; work goes on where it was after ``resume``."""
        self._run_until(now_ms)
        if self.is_alive and self._paused_since_ms is None:
            self._paused_since_ms = now_ms

    def resume(self, now_ms: float) -> None:
        """Go on after a pause; does nothing without one."""
        self._run_until(now_ms)
        if self._paused_since_ms is None:
            return
        paused_ms = now_ms - self._paused_since_ms
        self._paused_since_ms = None
        self._ends = [(at + paused_ms, n, work) for at, n, work in self._ends]
        self._start()
