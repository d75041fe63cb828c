"""Plays one variant and seed of an experiment in virtual time."""

from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.exceptions import ExperimentFailed
from wagtailrun.experiments.arrivals import make_arrivals
from wagtailrun.experiments.attempts import AttemptLog, HedgeCounter, RecordingClient
from wagtailrun.experiments.decisions import DecisionFile
from wagtailrun.experiments.model import Fault, FaultKind, Scenario, kind_of_work
from wagtailrun.experiments.promises import measure_promise
from wagtailrun.experiments.records import (
    EventRecord,
    PlayRecords,
    RequestRecord,
    SampleRecord,
)
from wagtailrun.experiments.request_records import make_request_record
from wagtailrun.replay.player import EntryContext, Replay
from wagtailrun.replay.report import Outcome
from wagtailrun.serving.dispatch import Dispatcher, make_dispatcher
from wagtailrun.settings import EntrySettings
from wagtailrun.targets.decisions import NO_DECISIONS, DecisionLog
from wagtailrun.targets.routing import ExpectedTimeRouter
from wagtailrun.virtual_time import run_virtual

__all__ = ["play_scenario"]

SAMPLE_INTERVAL_MS = 1_000
# How often a stopping entry looks whether its last request has ended.
DRAIN_POLL_MS = 100

ReportProgress = Callable[[int], None]


class _Play(Replay):
    """A replay whose load and faults come from an experiment.

    Args:
        clock: Virtual clock.
        scenario: What to play.
        seed: Seed of load, service times and policies.
        report_progress: Is told the virtual time, in milliseconds, now and then.
        decisions: Where to keep the decisions of entries, None to keep none.
    """

    def __init__(
        self,
        clock: Clock,
        scenario: Scenario,
        seed: int,
        report_progress: ReportProgress,
        decisions: DecisionFile | None = None,
    ):
        self.decisions = decisions
        header = _make_header(scenario, seed)
        records = [header, *make_arrivals(scenario, seed)]
        super().__init__(clock, records, self._build_dispatcher)
        self.scenario = scenario
        self.faults = list(scenario.faults)
        self.report_progress = report_progress
        self.log = AttemptLog()
        self.events: list[EventRecord] = []
        self.samples: list[SampleRecord] = []
        self.error: Exception | None = None
        kinds = [fault.kind for fault in scenario.faults]
        self.rolling_restarts = kinds.count(FaultKind.ROLLING_RESTART)

    def _build_dispatcher(self, context: EntryContext) -> Dispatcher:
        """Return the dispatcher of a real entry, with the settings of the file."""
        decisions: DecisionLog = NO_DECISIONS
        if self.decisions is not None:
            decisions = self.decisions.of_entry(context.name, context.clock)
        dispatcher = make_dispatcher(
            context.clock,
            context.membership,
            RecordingClient(context.clock, context.client, self.log),
            name=context.name,
            data_centre=context.data_centre,
            probe=context.client.probe,
            observer=HedgeCounter(self.log),
            seed=context.seed,
            may_use_remote=self._may_use_remote,
            decisions=decisions,
        )
        dispatcher.options = self._with_settings(dispatcher.options)
        router = dispatcher.router
        if isinstance(router, ExpectedTimeRouter):
            router.options = self._with_settings(router.options)
        return dispatcher

    def _may_use_remote(self, name: str) -> bool:
        # Requests in progress may run at a service that a change has removed.
        known = self.scenario.fleet.services_by_name | self.fleet.services_by_name
        return known[name].fallback

    def _with_settings(self, options: Any) -> Any:
        """Return options of a policy with the settings of the file that they have."""
        known = attrs.fields_dict(type(options))
        settings = self.scenario.settings.items()
        return attrs.evolve(options, **{k: v for k, v in settings if k in known})

    def _setting_ms(self, name: str) -> int:
        default: Any = attrs.fields_dict(EntrySettings)[name].default
        return int(self.scenario.settings.get(name, default))

    async def start(self) -> None:
        """Start all processes, faults and samples."""
        await super().start()
        await curio.spawn(self._sample, daemon=True)

    @asynccontextmanager
    async def _noting_error(self) -> AsyncIterator[None]:
        """Keep the error of a task, which would else end without notice."""
        try:
            yield
        except Exception as error:
            self.error = error

    async def _sample(self) -> None:
        async with self._noting_error():
            await self._sample_targets()

    async def _sample_targets(self) -> None:
        for at_ms in range(0, self.scenario.length_ms, SAMPLE_INTERVAL_MS):
            await self.clock.sleep_ms(at_ms - self.clock.now_ms())
            self.report_progress(at_ms)
            for name, target in self.emulator.targets_by_name.items():
                self.samples.append(
                    SampleRecord(
                        at_ms,
                        name,
                        target.row.service,
                        target.row.data_centre,
                        len(target.running),
                        len(target.waiting),
                        target.model.capacity,
                        target.alive and not target.vanished,
                    )
                )

    async def inject_fault(self, fault: Fault) -> None:
        """Wait for the start of a fault, and keep it up until its end."""
        async with self._noting_error():
            await self._play_fault(fault)

    async def _play_fault(self, fault: Fault) -> None:
        await self.clock.sleep_ms(fault.at_ms)
        if fault.kind is FaultKind.ROLLING_RESTART:
            await self._restart_in_turn(fault)
            self.rolling_restarts -= 1
            return
        planned = fault.kind is FaultKind.CHANGE_FLEET
        kind = fault.kind.value
        self.events.append(
            EventRecord(fault.at_ms, fault.until_ms, kind, fault.subjects, planned)
        )
        await self._begin_fault(fault)
        if fault.until_ms is not None:
            await self.clock.sleep_ms(fault.until_ms - self.clock.now_ms())
            await self._end_fault(fault)

    async def _begin_fault(self, fault: Fault) -> None:
        for name in fault.subjects:
            match fault.kind:
                case FaultKind.KILL_ENTRY:
                    await self.kill_entry(name)
                case FaultKind.KILL_TARGET:
                    await self.emulator.die(name)
                case FaultKind.LOSE_TARGET:
                    await self.emulator.vanish(name)
                case FaultKind.PAUSE_TARGET:
                    self.emulator.pause(name)
                case FaultKind.SLOW_TARGET:
                    target = self.emulator.targets_by_name[name]
                    target.slowdown_factor = fault.factor
                case FaultKind.SILENCE_TARGET:
                    self.emulator.stall_connections(name)
                case FaultKind.LOSE_REPORTS:
                    self.emulator.lose_reports(name, fault.share)
                case FaultKind.CUT:
                    self.emulator.cut(name)
                case FaultKind.CUT_ONE_WAY:
                    outward = fault.outward
                    self.emulator.cut(name, outward=outward, inward=not outward)
        if fault.fleet is not None:
            self.fleet = fault.fleet

    async def _end_fault(self, fault: Fault) -> None:
        for name in fault.subjects:
            match fault.kind:
                case FaultKind.KILL_ENTRY:
                    self.add_entry(name, self.scenario.data_centres_by_entry[name])
                case FaultKind.KILL_TARGET:
                    self.emulator.targets_by_name[name].restart()
                case FaultKind.LOSE_TARGET:
                    await self.emulator.die(name)
                    self.emulator.targets_by_name[name].restart()
                case FaultKind.PAUSE_TARGET:
                    await self.emulator.resume(name)
                case FaultKind.SLOW_TARGET:
                    self.emulator.targets_by_name[name].slowdown_factor = 1.0
                case FaultKind.LOSE_REPORTS:
                    self.emulator.lose_reports(name, 0.0)
                case FaultKind.CUT | FaultKind.CUT_ONE_WAY:
                    self.emulator.heal(name)

    async def _restart_in_turn(self, fault: Fault) -> None:
        for number, name in enumerate(fault.subjects):
            if number:
                await self.clock.sleep_ms(fault.gap_ms)
            at_ms, position = self.clock.now_ms(), len(self.events)
            event = EventRecord(at_ms, None, fault.kind.value, (name,), True)
            self.events.append(event)
            await self._stop_entry(name)
            await self.clock.sleep_ms(fault.duration_ms or 0)
            self.add_entry(name, self.scenario.data_centres_by_entry[name])
            until_ms = self.clock.now_ms()
            self.events[position] = attrs.evolve(event, until_ms=until_ms)

    async def _stop_entry(self, name: str) -> None:
        """Stop an entry as planned, in the steps of ``ServingEntryStop``."""
        entry = self.entries_by_name[name]
        now_ms = self.clock.now_ms()
        ends_ms = now_ms + self._setting_ms("drain_limit_ms")
        entry.dispatcher.admission.begin_stop(ends_ms)
        notice_ends_ms = now_ms + self._setting_ms("drain_notice_ms")
        await self.clock.sleep_ms(min(notice_ends_ms, ends_ms) - now_ms)
        entry.in_rotation = False
        while entry.tasks and self.clock.now_ms() < ends_ms:
            await self.clock.sleep_ms(DRAIN_POLL_MS)
        await entry.dispatcher.end()
        await self.kill_entry(name)

    def make_records(self) -> PlayRecords:
        """Return the records of the play, once it has ended.

        Raises:
            ExperimentFailed: If a fault or a sample could not be played.
        """
        if self.error is not None:
            raise ExperimentFailed(f"it failed: {self.error!r}") from self.error
        engine_ms: defaultdict[str, dict[tuple[str, int], float]] = defaultdict(dict)
        runs_by_key: Counter[str] = Counter()
        for target in self.emulator.targets_by_name.values():
            runs_by_key.update(target.runs_by_key)
            for key, spent_ms in target.engine_ms_by_attempt.items():
                engine_ms[key[0]][key[1:]] = spent_ms
        requests = [
            self._make_record(number, outcome, engine_ms[outcome.request_id])
            for number, outcome in enumerate(self.outcomes)
        ]
        runs = {
            number: runs_by_key[outcome.arrival["key"]]
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
        self, number: int, outcome: Outcome, engine_ms: dict[tuple[str, int], float]
    ) -> RequestRecord:
        request = outcome.request_id
        return make_request_record(
            number,
            outcome,
            kind_of_work(self.scenario.fleet, outcome.arrival),
            self.log.by_request.get(request, []),
            self.log.hedges_by_request[request],
            engine_ms,
        )


def _make_header(scenario: Scenario, seed: int) -> dict[str, Any]:
    return {
        "kind": "header",
        "seed": seed,
        "fleet_document": scenario.fleet.document,
        "entries": [
            {"name": name, "data_centre": data_centre}
            for name, data_centre in scenario.data_centres_by_entry.items()
        ],
        "targets": [
            {**attrs.asdict(group), "model": attrs.asdict(group.model)}
            for group in scenario.targets
        ],
        "report_lag_ms": scenario.report_lag_ms,
        "cache_event_loss": scenario.cache_event_loss,
        "link_ms": scenario.link_ms,
    }


def play_scenario(
    scenario: Scenario,
    seed: int,
    report_progress: ReportProgress,
    decisions: DecisionFile | None = None,
) -> PlayRecords:
    """Play a scenario and return its records.

    Args:
        scenario: What to play.
        seed: Seed of load, service times and policies.
        report_progress: Is told the virtual time, in milliseconds, now and then.
        decisions: Where to keep the decisions of entries, None to keep none.
    """

    async def run(clock: Clock) -> PlayRecords:
        play = _Play(clock, scenario, seed, report_progress, decisions)
        await play.play()
        # Faults that begin after the last request are events, too.
        await clock.sleep_ms(scenario.length_ms - clock.now_ms())
        # How long entries drain is not known before.
        while play.rolling_restarts and play.error is None:
            await clock.sleep_ms(DRAIN_POLL_MS)
        return play.make_records()

    records: PlayRecords = run_virtual(run)
    return records
