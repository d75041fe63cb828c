"""What plays of both kinds of entries share: samples, faults and records."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.exceptions import ExperimentFailed
from wagtailrun.experiments.attempts import AttemptRecord
from wagtailrun.experiments.model import Fault, FaultKind, Scenario, kind_of_work
from wagtailrun.experiments.promises import measure_promise
from wagtailrun.experiments.records import (
    EventRecord,
    PlayRecords,
    RequestRecord,
    SampleRecord,
)
from wagtailrun.experiments.request_records import make_request_record
from wagtailrun.replay.report import Outcome

__all__ = ["DRAIN_POLL_MS", "BasePlay", "ReportProgress", "TargetState"]

SAMPLE_INTERVAL_MS = 1_000
# How often a stopping entry looks whether its last request has ended.
DRAIN_POLL_MS = 100

ReportProgress = Callable[[int], None]


@attrs.frozen
class TargetState:
    """State of a target in a sample; see ``SampleRecord``."""

    name: str
    service: str
    data_centre: str
    running: int
    queued: int
    capacity: int
    present: bool


class BasePlay(ABC):
    """Faults, samples and records of a play, whatever its entries are.

    Args:
        clock: Clock of the play, which is 0 as the load starts.
        scenario: What to play.
        report_progress: Is told the time of the play, in milliseconds, now and then.
    """

    clock: Clock
    outcomes: list[Outcome]

    def __init__(
        self, clock: Clock, scenario: Scenario, report_progress: ReportProgress
    ):
        self.clock = clock
        self.scenario = scenario
        self.report_progress = report_progress
        self.events: list[EventRecord] = []
        self.samples: list[SampleRecord] = []
        self.error: Exception | None = None
        kinds = [fault.kind for fault in scenario.faults]
        self.rolling_restarts = kinds.count(FaultKind.ROLLING_RESTART)

    @abstractmethod
    def target_states(self) -> Iterable[TargetState]:
        """Return the state of each target now."""

    @abstractmethod
    async def begin_fault(self, fault: Fault, name: str) -> None:
        """Begin a fault of one of its subjects."""

    @abstractmethod
    async def end_fault(self, fault: Fault, name: str) -> None:
        """End a fault of one of its subjects."""

    @abstractmethod
    async def change_fleet(self, fault: Fault) -> None:
        """Let another fleet configuration be accepted."""

    @abstractmethod
    async def stop_entry(self, name: str) -> None:
        """Stop an entry as planned; return when its process has ended."""

    @abstractmethod
    async def return_entry(self, name: str) -> None:
        """Start an entry again."""

    @abstractmethod
    def attempts_of(self, outcome: Outcome) -> tuple[list[AttemptRecord], int]:
        """Return the attempts of a request, in order, and how many were hedges."""

    @abstractmethod
    def busy_ms_by_request(self) -> Mapping[str, Mapping[tuple[str, int], float]]:
        """Return the time of targets by request, by stage and number of attempts."""

    @abstractmethod
    def runs_by_key(self) -> Mapping[str, int]:
        """Return how often each order ran."""

    @asynccontextmanager
    async def _noting_error(self) -> AsyncIterator[None]:
        """Keep the error of a task, which would else end without notice."""
        try:
            yield
        except Exception as error:
            self.error = error

    async def sample(self) -> None:
        """Record the state of all targets regularly, while the load lasts."""
        async with self._noting_error():
            for at_ms in range(0, self.scenario.length_ms, SAMPLE_INTERVAL_MS):
                await self.clock.sleep_ms(at_ms - self.clock.now_ms())
                self.report_progress(at_ms)
                for state in self.target_states():
                    row = attrs.astuple(state)
                    self.samples.append(SampleRecord(at_ms, *row))

    async def inject_fault(self, fault: Fault) -> None:
        """Wait for the start of a fault, and keep it up until its end."""
        async with self._noting_error():
            await self._play_fault(fault)

    async def _play_fault(self, fault: Fault) -> None:
        await self.clock.sleep_ms(fault.at_ms - self.clock.now_ms())
        if fault.kind is FaultKind.ROLLING_RESTART:
            await self._restart_in_turn(fault)
            self.rolling_restarts -= 1
            return
        planned = fault.kind is FaultKind.CHANGE_FLEET
        kind = fault.kind.value
        self.events.append(
            EventRecord(fault.at_ms, fault.until_ms, kind, fault.subjects, planned)
        )
        for name in fault.subjects:
            await self.begin_fault(fault, name)
        if fault.fleet is not None:
            await self.change_fleet(fault)
        if fault.until_ms is not None:
            await self.clock.sleep_ms(fault.until_ms - self.clock.now_ms())
            for name in fault.subjects:
                await self.end_fault(fault, name)

    async def _restart_in_turn(self, fault: Fault) -> None:
        for number, name in enumerate(fault.subjects):
            if number:
                await self.clock.sleep_ms(fault.gap_ms)
            at_ms, position = self.clock.now_ms(), len(self.events)
            event = EventRecord(at_ms, None, fault.kind.value, (name,), True)
            self.events.append(event)
            await self.stop_entry(name)
            await self.clock.sleep_ms(fault.duration_ms or 0)
            await self.return_entry(name)
            until_ms = self.clock.now_ms()
            self.events[position] = attrs.evolve(event, until_ms=until_ms)

    async def wait_for_end(self) -> None:
        """Return when all faults and planned work were played."""
        # Faults that begin after the last request are events, too.
        await self.clock.sleep_ms(self.scenario.length_ms - self.clock.now_ms())
        # How long entries drain is not known before.
        while self.rolling_restarts and self.error is None:
            await curio.sleep(DRAIN_POLL_MS / 1_000)

    def make_records(self) -> PlayRecords:
        """Return the records of the play, once it has ended.

        Raises:
            ExperimentFailed: If a fault or a sample could not be played.
        """
        if self.error is not None:
            raise ExperimentFailed(f"it failed: {self.error!r}") from self.error
        busy_ms = self.busy_ms_by_request()
        runs_by_key = self.runs_by_key()
        requests = [
            self._make_record(number, outcome, busy_ms.get(outcome.request_id, {}))
            for number, outcome in enumerate(self.outcomes)
        ]
        runs = {
            number: runs_by_key.get(outcome.arrival["key"], 0)
            for number, outcome in enumerate(self.outcomes)
            if requests[number].kind == "order"
        }
        promises = self.scenario.promises
        return PlayRecords(
            requests,
            sorted(self.events, key=lambda event: event.at_ms),
            self.samples,
            [measure_promise(promise, requests, runs) for promise in promises],
        )

    def _make_record(
        self, number: int, outcome: Outcome, busy_ms: Mapping[tuple[str, int], float]
    ) -> RequestRecord:
        kind = kind_of_work(self.scenario.fleet, outcome.arrival)
        attempts, hedges = self.attempts_of(outcome)
        return make_request_record(number, outcome, kind, attempts, hedges, busy_ms)
