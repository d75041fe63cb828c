"""Plays one variant and seed of an experiment in virtual time."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.experiments.arrivals import make_arrivals
from wagtailrun.experiments.attempts import (
    AttemptLog,
    AttemptRecord,
    HedgeCounter,
    RecordingClient,
)
from wagtailrun.experiments.base_play import (
    DRAIN_POLL_MS,
    BasePlay,
    ReportProgress,
    TargetState,
)
from wagtailrun.experiments.decisions import DecisionFile
from wagtailrun.experiments.model import EntryKind, Fault, FaultKind, Scenario
from wagtailrun.experiments.records import PlayRecords
from wagtailrun.experiments.relay_play import play_relay_scenario
from wagtailrun.replay.player import EntryContext, Replay
from wagtailrun.replay.report import Outcome
from wagtailrun.serving.dispatch import Dispatcher, make_dispatcher
from wagtailrun.settings import EntrySettings
from wagtailrun.targets.decisions import NO_DECISIONS, DecisionLog
from wagtailrun.targets.routing import ExpectedTimeRouter
from wagtailrun.virtual_time import run_virtual

__all__ = ["play_scenario"]


class _Play(BasePlay, Replay):
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
        Replay.__init__(self, clock, records, self._build_dispatcher)
        BasePlay.__init__(self, clock, scenario, report_progress)
        self.faults = list(scenario.faults)
        self.log = AttemptLog()

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
        await Replay.start(self)
        await curio.spawn(self.sample, daemon=True)

    def target_states(self) -> Iterator[TargetState]:
        """Yield the state of each target now."""
        for name, target in self.emulator.targets_by_name.items():
            yield TargetState(
                name,
                target.row.service,
                target.row.data_centre,
                len(target.running),
                len(target.waiting),
                target.model.capacity,
                target.alive and not target.vanished,
            )

    async def begin_fault(self, fault: Fault, name: str) -> None:
        """Begin a fault of one of its subjects."""
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

    async def end_fault(self, fault: Fault, name: str) -> None:
        """End a fault of one of its subjects."""
        match fault.kind:
            case FaultKind.KILL_ENTRY:
                await self.return_entry(name)
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

    async def change_fleet(self, fault: Fault) -> None:
        """Let all entries apply another fleet configuration at once."""
        if fault.fleet is not None:
            self.fleet = fault.fleet

    async def return_entry(self, name: str) -> None:
        """Start an entry again."""
        self.add_entry(name, self.scenario.data_centres_by_entry[name])

    async def stop_entry(self, name: str) -> None:
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

    def attempts_of(self, outcome: Outcome) -> tuple[list[AttemptRecord], int]:
        """Return the attempts of a request, in order, and how many were hedges."""
        request = outcome.request_id
        attempts = self.log.by_request.get(request, [])
        return attempts, self.log.hedges_by_request[request]

    def busy_ms_by_request(self) -> Mapping[str, Mapping[tuple[str, int], float]]:
        """Return the time of targets by request, by stage and number of attempts."""
        busy_ms: defaultdict[str, dict[tuple[str, int], float]] = defaultdict(dict)
        for target in self.emulator.targets_by_name.values():
            for key, spent_ms in target.engine_ms_by_attempt.items():
                busy_ms[key[0]][key[1:]] = spent_ms
        return busy_ms

    def runs_by_key(self) -> Counter[str]:
        """Return how often each order ran."""
        runs: Counter[str] = Counter()
        for target in self.emulator.targets_by_name.values():
            runs.update(target.runs_by_key)
        return runs


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
    if scenario.entry_kind is EntryKind.RELAY:
        return play_relay_scenario(scenario, seed, report_progress, decisions)

    async def run(clock: Clock) -> PlayRecords:
        play = _Play(clock, scenario, seed, report_progress, decisions)
        await play.play()
        await play.wait_for_end()
        return play.make_records()

    records: PlayRecords = run_virtual(run)
    return records
