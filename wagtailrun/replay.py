"""Replays a recorded trace against emulated targets and checks stated outcomes."""

import itertools
import json
import random
import sys
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import aclosing
from pathlib import Path
from typing import Any

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.dispatch import Dispatcher, make_dispatcher
from wagtailrun.emulator import EmulatedClient, Emulator, TargetModel
from wagtailrun.exceptions import Refusal
from wagtailrun.fleet import FleetConfiguration, fleet_from_document, parse_fleet_text
from wagtailrun.membership import Membership
from wagtailrun.pipeline import PipelineRequest, PipelineRunner
from wagtailrun.ports.target import Token
from wagtailrun.replay_report import Outcome, ReplayReport, ReportBuilder
from wagtailrun.virtual_time import run_virtual
from wagtailrun.work import Work

__all__ = ["EntryContext", "ReplayReport", "main", "replay", "replay_records"]

SETTLE_MS = 1_000


@attrs.frozen
class EntryContext:
    """What the decisions of one entry are built from.

    Attributes:
        name: Name of the entry.
        data_centre: Data centre of the entry.
        clock: Virtual clock.
        membership: Targets that the entry knows.
        client: Its target client.
        fleet: Fleet text.
        seed: Seed of its random choices.
    """

    name: str
    data_centre: str
    clock: Clock
    membership: Membership
    client: EmulatedClient
    fleet: FleetConfiguration
    seed: int


Build = Callable[[EntryContext], Dispatcher]


class _Entry:
    """One emulated entry: the real decisions on an emulated client."""

    def __init__(self, parts: EntryContext, dispatcher: Dispatcher):
        self.parts = parts
        self.dispatcher = dispatcher
        self.runner = PipelineRunner(parts.clock, dispatcher)
        self.alive = True
        self.tasks: dict[curio.Task, None] = {}


class _Replay:
    def __init__(self, clock: Clock, records: Iterable[dict[str, Any]], build: Build):
        self.clock = clock
        self.build = build
        self.header: dict[str, Any] = {}
        self.arrivals: list[dict[str, Any]] = []
        self.faults: list[dict[str, Any]] = []
        for record in records:
            if record["kind"] == "header":
                self.header = record
            else:
                lists = {"arrival": self.arrivals, "fault": self.faults}
                lists[record["kind"]].append(record)
        self.arrivals.sort(key=lambda record: record["at"])
        self.random = random.Random(self.header["seed"])
        if "fleet_document" in self.header:
            self.fleet = fleet_from_document(self.header["fleet_document"])
        else:
            self.fleet = parse_fleet_text(self.header["fleet_text"])
        self.emulator = Emulator(
            clock,
            self.header["seed"],
            report_lag_ms=self.header.get("report_lag_ms", 500),
            cache_event_loss=self.header.get("cache_event_loss", 0.0),
            link_ms=self.header.get("link_ms", 0.5),
        )
        self.entries_by_name: dict[str, _Entry] = {}
        self.outcomes: list[Outcome] = []
        self.gaps: Counter[int] = Counter()

    async def run(self) -> ReplayReport:
        for group in self.header["targets"]:
            model = TargetModel(**group["model"])
            for number in range(group["count"]):
                name = f"{group['service']}-{group['data_centre']}-{number}"
                service, data_centre = group["service"], group["data_centre"]
                await self.emulator.add(name, service, data_centre, model)
        for entry in self.header["entries"]:
            self._add_entry(entry["name"], entry["data_centre"])
        await curio.spawn(self.emulator.run_reports, daemon=True)
        for fault in self.faults:
            await curio.spawn(self._put_fault, fault, daemon=True)
        balancer = itertools.count()
        for number, arrival in enumerate(self.arrivals):
            await self.clock.sleep_ms(arrival["at"] - self.clock.now_ms())
            await self._arrive(arrival, f"r{number}", next(balancer))
        while any(entry.tasks for entry in self.entries_by_name.values()):
            await self.clock.sleep_ms(SETTLE_MS)
        return self._report()

    def _add_entry(self, name: str, data_centre: str) -> None:
        membership = Membership()
        parts = EntryContext(
            name=name,
            data_centre=data_centre,
            clock=self.clock,
            membership=membership,
            client=self.emulator.client(name, data_centre),
            fleet=self.fleet,
            seed=self.random.randrange(2**32),
        )
        dispatcher = self.build(parts)
        on_events = getattr(dispatcher.router, "observe_cache", None)
        self.emulator.observe(data_centre, membership, on_events)
        self.entries_by_name[name] = _Entry(parts, dispatcher)

    async def _arrive(self, arrival: dict, request_id: str, turn: int) -> None:
        entries = [
            entry
            for entry in self.entries_by_name.values()
            if entry.alive
            and arrival.get("data_centre", entry.parts.data_centre)
            == entry.parts.data_centre
        ]
        outcome = Outcome(arrival, request_id)
        self.outcomes.append(outcome)
        if entries:
            entry = entries[turn % len(entries)]
            task = await curio.spawn(self._serve, entry, outcome, daemon=True)
            entry.tasks[task] = None

    async def _serve(self, entry: _Entry, outcome: Outcome) -> None:
        task = await curio.current_task()
        try:
            if "pipeline" in outcome.arrival:
                await self._serve_pipeline(entry, outcome)
            else:
                await self._serve_call(entry, outcome)
            outcome.ended_ms = self.clock.now_ms()
        finally:
            entry.tasks.pop(task, None)

    async def _serve_pipeline(self, entry: _Entry, outcome: Outcome) -> None:
        arrival = outcome.arrival
        pipeline = self.fleet.pipelines_by_name[arrival["pipeline"]]
        deadline_at_ms = self._deadline(arrival, pipeline.deadline_ms)
        body = {"prompt": _prompt(arrival, outcome.request_id)}
        body["max_tokens"] = arrival["output"]
        request = PipelineRequest(
            outcome.request_id,
            self.fleet.workspaces_by_name[arrival["workspace"]],
            pipeline,
            body,
            deadline_at_ms,
        )
        result = await entry.runner.run(request)
        if isinstance(result, Refusal):
            outcome.refusal = result
        elif isinstance(result, dict):
            parts = [value for kind, value in result.items() if kind != "input"]
            outcome.wrong = any(
                part["request"] != outcome.request_id for part in parts
            ) or len(parts) != len(pipeline.stages)
            self._settle(outcome, deadline_at_ms)
        else:
            await self._collect(outcome, result, deadline_at_ms)

    async def _collect(
        self,
        outcome: Outcome,
        stream: AsyncIterator[tuple[Token, ...] | Refusal],
        deadline_at_ms: int,
    ) -> None:
        expected = 0
        done = False
        last_ms = 0
        async with aclosing(stream):
            async for item in stream:
                if isinstance(item, Refusal):
                    outcome.refusal = item
                    return
                now_ms = self.clock.now_ms()
                if outcome.first_ms is None:
                    outcome.first_ms = now_ms - outcome.arrival["at"]
                elif not item[0].last:
                    self.gaps[now_ms - last_ms] += 1
                last_ms = now_ms
                for token in item:
                    text = f"{outcome.request_id}:{expected} "
                    good = token.last or token.text == text
                    outcome.wrong |= token.offset != expected or not good
                    expected += not token.last
                    done = done or token.last
        outcome.wrong |= not done or expected != outcome.arrival["output"]
        self._settle(outcome, deadline_at_ms)

    async def _serve_call(self, entry: _Entry, outcome: Outcome) -> None:
        arrival = outcome.arrival
        call = self.fleet.services_by_name[arrival["service"]].calls_by_name[
            arrival["call"]
        ]
        deadline_at_ms = self._deadline(arrival, call.deadline_ms)
        workspace = self.fleet.workspaces_by_name[arrival["workspace"]]
        body = {"order_key": arrival.get("key", "")}
        work = Work.for_call(
            arrival["service"],
            call,
            workspace,
            json.dumps(body).encode(),
            outcome.request_id,
            deadline_at_ms,
        )
        result = await entry.dispatcher.call(work)
        if isinstance(result, Refusal):
            outcome.refusal = result
            return
        answered = json.loads(result.body)["request"]
        outcome.wrong = answered != outcome.request_id
        self._settle(outcome, deadline_at_ms)

    def _deadline(self, arrival: dict[str, Any], longest_ms: int) -> int:
        return arrival["at"] + min(arrival.get("deadline", longest_ms), longest_ms)

    def _settle(self, outcome: Outcome, deadline_at_ms: int) -> None:
        outcome.late = self.clock.now_ms() > deadline_at_ms
        outcome.complete = not outcome.wrong and not outcome.late

    async def _put_fault(self, fault: dict[str, Any]) -> None:
        await self.clock.sleep_ms(fault["at"])
        names = [
            name
            for name, target in self.emulator.targets_by_name.items()
            if name == fault.get("target")
            or (target.row.service, target.row.data_centre)
            == (fault.get("service"), fault.get("data_centre"))
        ]
        targets = [self.emulator.targets_by_name[name] for name in names]
        match fault["fault"]:
            case "straggle":
                for target in targets:
                    target.slowdown_factor = fault["factor"]
                await self._until(fault)
                for target in targets:
                    target.slowdown_factor = 1.0
            case "die":
                for name in names:
                    await self.emulator.die(name)
                await self._until(fault)
                for target in targets:
                    target.restart()
            case "vanish":
                for name in names:
                    await self.emulator.vanish(name)
                await self._until(fault)
                for target in targets:
                    await target.die()
                    target.restart()
            case "silent":
                for name in names:
                    self.emulator.stall_connections(name)
            case "resume-slip":
                for target in targets:
                    target.resume_slip = fault["tokens"]
            case "cut":
                self.emulator.cut(fault["data_centre"])
                await self._until(fault)
                self.emulator.heal(fault["data_centre"])
            case "entry-killed":
                await self._kill_entry(fault["entry"])
            case unknown:
                raise ValueError(f"unknown fault {unknown!r}")

    async def _until(self, fault: dict[str, Any]) -> None:
        end_ms = fault.get("until")
        if end_ms is None:
            await curio.sleep(86_400)
        await self.clock.sleep_ms(end_ms - self.clock.now_ms())

    async def _kill_entry(self, name: str) -> None:
        entry = self.entries_by_name[name]
        entry.alive = False
        for task in list(entry.tasks):
            await task.cancel(blocking=False)
        await self.emulator.drop_entry(name)

    def _report(self) -> ReplayReport:
        entries = self.entries_by_name.values()
        builder = ReportBuilder(
            self.outcomes,
            self.gaps,
            list(self.emulator.targets_by_name.values()),
            [getattr(entry.dispatcher, "counts", Counter()) for entry in entries],
        )
        return builder.build(self.header.get("outcomes", {}))


def _prompt(arrival: dict[str, Any], request_id: str) -> str:
    shared = arrival.get("shared", 0) * 4
    name = f"{arrival.get('prefix', '')} "
    start = (name * (shared // len(name) + 1))[:shared]
    return start + f"{request_id} ".ljust((arrival["prompt"] * 4) - shared, "x")


def build_dispatcher(parts: EntryContext) -> Dispatcher:
    """Return a dispatcher with the policies that an entry uses."""
    services = parts.fleet.services_by_name
    return make_dispatcher(
        parts.clock,
        parts.membership,
        parts.client,
        name=parts.name,
        data_centre=parts.data_centre,
        probe=parts.client.probe,
        seed=parts.seed,
        may_use_remote=lambda service: services[service].fallback,
    )


def replay_records(
    records: Iterable[dict[str, Any]], build: Build = build_dispatcher
) -> ReplayReport:
    """Replay a trace given as records; see ``replay``."""

    async def run(clock: Clock) -> ReplayReport:
        return await _Replay(clock, records, build).run()

    return run_virtual(run)


def replay(path: str | Path, build: Build = build_dispatcher) -> ReplayReport:
    """Replay the trace in a file of JSON lines.

    Args:
        path: File with a header, arrivals and faults.
        build: Makes the decisions of one entry.

    Returns:
        Measured figures, and the stated outcomes that do not hold.
    """
    with open(path, encoding="utf-8") as file:
        records = [json.loads(line) for line in file if line.strip()]
    return replay_records(records, build)


def main(trace: str) -> int:
    """Replay a trace, print its report as JSON and return the exit status.

    Args:
        trace: Path of the trace.
    """
    report = replay(trace)
    json.dump(attrs.asdict(report), sys.stdout, indent=1)
    print()
    return 0 if report.holds else 1
