"""Work of emulated targets, as far as the relay's targets need it."""

import json
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping

import attrs

from wagtailrun.clock import Clock
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.target import Attempt
from wagtailrun.replay.emulated_target import EmulatedTarget, Job, TargetModel
from wagtailrun.targets.table import TargetRow

__all__ = ["SimpleWork", "TargetRequest", "TargetWork", "WorkItem"]

LEAST_URGENT = 9


@attrs.frozen
class TargetRequest:
    """A request as a target reads it.

    Attributes:
        request_id: Identifier of the caller's request.
        number: Number of the attempt.
        entry: Name of the entry that sent it.
        step: Number of the stage; empty for the request itself.
        body: Body.
        remaining_ms: Time until its deadline.
        urgency: Rank, 0 to 9; 0 goes first.
        resume_offset: First event of a stream that is to be sent.
    """

    request_id: str
    number: int
    entry: str
    step: str
    body: bytes
    remaining_ms: int
    urgency: int
    resume_offset: int = 0


@attrs.frozen
class WorkItem:
    """A part of an answer.

    Attributes:
        offset: Number of the event; 0 of an answer that is no stream.
        text: The part.
        is_last: Whether nothing follows.
    """

    offset: int
    text: str
    is_last: bool


class TargetWork(ABC):
    """What one target does with its requests; knows no wire format and no entries.

    Attributes:
        streams: Whether its answers are streams of events.
    """

    streams: bool

    @property
    @abstractmethod
    def capacity(self) -> int:
        """Requests that run at once."""

    @property
    @abstractmethod
    def running(self) -> int:
        """Requests that run now."""

    @property
    @abstractmethod
    def queued(self) -> int:
        """Requests that wait now."""

    @property
    @abstractmethod
    def runs_by_key(self) -> Mapping[str, int]:
        """How often each order ran."""

    @property
    @abstractmethod
    def busy_ms_by_attempt(self) -> Mapping[tuple[str, str, int], float]:
        """Processing times, by request, step and number of the attempt."""

    @abstractmethod
    async def run(self) -> None:
        """Work until cancelled."""

    @abstractmethod
    async def submit(self, request: TargetRequest) -> "Submitted":
        """Queue a request."""

    @abstractmethod
    def pause(self) -> None:
        """Stand still from now on."""

    @abstractmethod
    async def go_on(self) -> None:
        """Go on after a pause."""

    @abstractmethod
    async def wait_for_end_of_pause(self) -> None:
        """Return when the target does not stand still."""

    @abstractmethod
    def slow_down(self, factor: float) -> None:
        """Work this many times slower; 1 for the usual speed."""

    @abstractmethod
    async def die(self) -> None:
        """Lose all state."""


class Submitted(ABC):
    """A request at a target."""

    @abstractmethod
    async def next_item(self) -> WorkItem:
        """Return the next part of the answer.

        Raises:
            TargetFailed: If there is none, as the target ended.
        """

    @abstractmethod
    async def cancel(self) -> None:
        """End the work on the request."""


class SimpleWork(TargetWork):
    """The targets of the product's emulator: a continuous batch, or calls in slots.

    Args:
        clock: Virtual clock.
        row: Row of the target.
        model: Speed and size.
        seed: Seed of the service times.
    """

    def __init__(self, clock: Clock, row: TargetRow, model: TargetModel, seed: int):
        self.clock = clock
        self.target = EmulatedTarget(row, model, seed)
        self.streams = bool(model.decode_ms)

    @property
    def capacity(self) -> int:
        """Requests that run at once."""
        return self.target.model.capacity

    @property
    def running(self) -> int:
        """Requests that run now."""
        return len(self.target.running)

    @property
    def queued(self) -> int:
        """Requests that wait now."""
        return len(self.target.waiting)

    @property
    def runs_by_key(self) -> Counter[str]:
        """How often each order ran."""
        return self.target.runs_by_key

    @property
    def busy_ms_by_attempt(self) -> Mapping[tuple[str, str, int], float]:
        """Processing times, by request, step and number of the attempt."""
        return self.target.engine_ms_by_attempt

    async def run(self) -> None:
        """Work until cancelled."""
        await self.target.run()

    async def submit(self, request: TargetRequest) -> Submitted:
        """Queue a request; see ``TargetWork``."""
        attempt = Attempt(
            number=request.number,
            request_id=request.request_id,
            path=f"/{request.step}",
            body=request.body,
            remaining_ms=request.remaining_ms,
            priority=LEAST_URGENT - request.urgency,
            resume_offset=request.resume_offset,
        )
        job = self.target.submit(attempt, request.entry)
        await self.target.wake.set()
        await self.target.start_calls()
        return _SimpleJob(self.target, job)

    def pause(self) -> None:
        """Stand still from now on."""
        self.target.pause.begin(self.clock.now_ms())

    async def go_on(self) -> None:
        """Go on after a pause."""
        await self.target.pause.end(self.clock.now_ms())

    async def wait_for_end_of_pause(self) -> None:
        """Return when the target does not stand still."""
        if self.target.pause.since_ms is not None:
            await self.target.pause.wait_for_end()

    def slow_down(self, factor: float) -> None:
        """Work this many times slower; 1 for the usual speed."""
        self.target.slowdown_factor = factor

    async def die(self) -> None:
        """Lose all state."""
        await self.target.die()


class _SimpleJob(Submitted):
    """A request at a target of the product's emulator."""

    def __init__(self, target: EmulatedTarget, job: Job):
        self.target = target
        self.job = job

    async def next_item(self) -> WorkItem:
        """Return the next part of the answer; see ``Submitted``."""
        item = await self.job.items.get()
        if isinstance(item, TargetFailed):
            raise item
        if self.target.model.decode_ms:
            return WorkItem(item.offset, item.text, item.last)
        return WorkItem(0, json.loads(item.body)["request"], True)

    async def cancel(self) -> None:
        """End the work on the request."""
        self.target.remove_jobs(lambda job: job is self.job)
        await self.target.start_calls()
