"""Replays a recorded trace against emulated targets and checks its stated outcomes.

The keys of records are those of the trace format: ``at`` is the arrival or the start of
a fault in milliseconds, ``until`` the end of a fault, ``shared`` the number of prompt
tokens that requests with the same ``prefix`` have in common.
"""

import itertools
import json
import random
import sys
from collections import Counter
from collections.abc import AsyncGenerator, Callable, Iterable
from contextlib import aclosing
from pathlib import Path
from typing import Any

import attrs
import curio

from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal
from wagtailrun.fleet.model import (
    FleetConfiguration,
    fleet_from_document,
    parse_fleet_text,
)
from wagtailrun.ports.target import Token
from wagtailrun.replay.emulated_target import CHARACTERS_PER_TOKEN, TargetModel
from wagtailrun.replay.emulator import FOREVER_S, EmulatedClient, Emulator, Observer
from wagtailrun.replay.report import Outcome, ReplayReport, ReportBuilder
from wagtailrun.replay.trace_lines import parse_lines
from wagtailrun.serving.dispatch import Dispatcher, make_dispatcher
from wagtailrun.serving.pipeline import PipelineInput, PipelineRequest, PipelineRunner
from wagtailrun.targets.table import Membership
from wagtailrun.targets.work import Work
from wagtailrun.virtual_time import run_virtual

__all__ = [
    "EmulatedEntry",
    "EntryContext",
    "Replay",
    "ReplayReport",
    "main",
    "make_prompt",
    "replay",
    "replay_records",
]

COMPLETION_POLL_MS = 1_000


@attrs.frozen
class EntryContext:
    """Inputs for building the dispatcher of an emulated entry.

    Attributes:
        name: Name of the entry.
        data_centre: Data centre of the entry.
        clock: Virtual clock.
        membership: Targets that the entry knows.
        client: Target client of the entry.
        fleet: Fleet configuration.
        seed: Seed of the entry's random choices.
    """

    name: str
    data_centre: str
    clock: Clock
    membership: Membership
    client: EmulatedClient
    fleet: FleetConfiguration
    seed: int


DispatcherFactory = Callable[[EntryContext], Dispatcher]


class EmulatedEntry:
    """One emulated entry: the production dispatcher with an emulated target client.

    Args:
        context: What the entry was built from.
        dispatcher: Dispatcher of the entry.
        observer: Its receiver of announcements.
    """

    def __init__(
        self, context: EntryContext, dispatcher: Dispatcher, observer: Observer
    ):
        self.context = context
        self.dispatcher = dispatcher
        self.observer = observer
        self.runner = PipelineRunner(context.clock, dispatcher)
        self.alive = True
        # Whether the load balancer sends it new requests.
        self.in_rotation = True
        self.tasks: dict[curio.Task, None] = {}


class Replay:
    """One run of a trace in virtual time.

    Args:
        clock: Virtual clock.
        records: Header, arrivals and faults.
        dispatcher_factory: Returns the dispatcher of an entry.
    """

    def __init__(
        self,
        clock: Clock,
        records: Iterable[dict[str, Any]],
        dispatcher_factory: DispatcherFactory,
    ):
        self.clock = clock
        self.dispatcher_factory = dispatcher_factory
        self.header: dict[str, Any] = {}
        self.arrivals: list[dict[str, Any]] = []
        self.faults: list[Any] = []
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
        self.entries_by_name: dict[str, EmulatedEntry] = {}
        self.outcomes: list[Outcome] = []
        self.gaps: Counter[int] = Counter()

    async def run(self) -> ReplayReport:
        """Play the trace and return the report."""
        await self.play()
        return self._build_report()

    async def play(self) -> None:
        """Play the trace until the last request has ended."""
        await self.start()
        turns = itertools.count()
        for number, arrival in enumerate(self.arrivals):
            await self.clock.sleep_ms(arrival["at"] - self.clock.now_ms())
            await self._dispatch_arrival(arrival, f"r{number}", next(turns))
        while any(entry.tasks for entry in self.entries_by_name.values()):
            await self.clock.sleep_ms(COMPLETION_POLL_MS)

    async def start(self) -> None:
        """Start targets, entries, reports and faults."""
        for group in self.header["targets"]:
            model = TargetModel(**group["model"])
            for number in range(group["count"]):
                name = f"{group['service']}-{group['data_centre']}-{number}"
                service, data_centre = group["service"], group["data_centre"]
                await self.emulator.add(name, service, data_centre, model)
        for entry in self.header["entries"]:
            self.add_entry(entry["name"], entry["data_centre"])
        await curio.spawn(self.emulator.run_reports, daemon=True)
        for fault in self.faults:
            await curio.spawn(self.inject_fault, fault, daemon=True)

    def add_entry(self, name: str, data_centre: str) -> None:
        """Start an entry, in place of an earlier one of this name."""
        membership = Membership()
        context = EntryContext(
            name=name,
            data_centre=data_centre,
            clock=self.clock,
            membership=membership,
            client=self.emulator.client(name, data_centre),
            fleet=self.fleet,
            seed=self.random.randrange(2**32),
        )
        dispatcher = self.dispatcher_factory(context)
        on_events = getattr(dispatcher.router, "observe_cache", None)
        observer = self.emulator.observe(data_centre, membership, on_events)
        self.entries_by_name[name] = EmulatedEntry(context, dispatcher, observer)

    async def _dispatch_arrival(
        self, arrival: dict[str, Any], request_id: str, turn: int
    ) -> None:
        entries = [
            entry
            for entry in self.entries_by_name.values()
            if entry.alive
            and entry.in_rotation
            and arrival.get("data_centre", entry.context.data_centre)
            == entry.context.data_centre
        ]
        deadline_ms = self._deadline_ms(arrival)
        sent_ms = self.clock.now_ms()
        outcome = Outcome(arrival, request_id, deadline_ms, sent_ms=sent_ms)
        self.outcomes.append(outcome)
        if not entries:
            outcome.failure = "no-entry"
            outcome.ended_ms = outcome.sent_ms
        else:
            entry = entries[turn % len(entries)]
            outcome.entry = entry.context.name
            task = await curio.spawn(self._serve, entry, outcome, daemon=True)
            entry.tasks[task] = None

    async def _serve(self, entry: EmulatedEntry, outcome: Outcome) -> None:
        task = await curio.current_task()
        try:
            if "pipeline" in outcome.arrival:
                await self._serve_pipeline(entry, outcome)
            else:
                await self._serve_call(entry, outcome)
        except curio.CancelledError:
            outcome.failure = "entry-killed"
            raise
        finally:
            outcome.ended_ms = self.clock.now_ms()
            if outcome.refusal is not None:
                complete = entry.dispatcher.retry_times.complete
                outcome.refusal = complete(outcome.refusal)
            entry.tasks.pop(task, None)

    async def _serve_pipeline(self, entry: EmulatedEntry, outcome: Outcome) -> None:
        arrival = outcome.arrival
        pipeline = self.fleet.pipelines_by_name[arrival["pipeline"]]
        deadline_at_ms = outcome.deadline_at_ms
        body = {"prompt": make_prompt(arrival, outcome.request_id)}
        body["max_tokens"] = arrival["output"]
        request = PipelineRequest(
            outcome.request_id,
            self.fleet.workspaces_by_name[arrival["workspace"]],
            pipeline,
            PipelineInput.from_value(body),
            deadline_at_ms,
        )
        result = await entry.runner.run(request)
        if isinstance(result, Refusal):
            outcome.refusal = result
        elif isinstance(result, bytes):
            answers = json.loads(result)
            stage_results = [answers[kind] for kind in answers if kind != "input"]
            outcome.wrong = any(
                stage_result["request"] != outcome.request_id
                for stage_result in stage_results
            ) or len(stage_results) != len(pipeline.stages)
            self._record_answer(outcome, deadline_at_ms)
        else:
            await self._read_stream(outcome, result, deadline_at_ms)

    async def _read_stream(
        self,
        outcome: Outcome,
        stream: AsyncGenerator[tuple[Token, ...] | Refusal, None],
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
                    outcome.tokens += not token.last
                    done = done or token.last
        outcome.wrong |= not done or expected != outcome.arrival["output"]
        self._record_answer(outcome, deadline_at_ms)

    async def _serve_call(self, entry: EmulatedEntry, outcome: Outcome) -> None:
        arrival = outcome.arrival
        call = self.fleet.services_by_name[arrival["service"]].calls_by_name[
            arrival["call"]
        ]
        deadline_at_ms = outcome.deadline_at_ms
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
        self._record_answer(outcome, deadline_at_ms)

    def _deadline_ms(self, arrival: dict[str, Any]) -> int:
        if "pipeline" in arrival:
            longest_ms = self.fleet.pipelines_by_name[arrival["pipeline"]].deadline_ms
        else:
            calls = self.fleet.services_by_name[arrival["service"]].calls_by_name
            longest_ms = calls[arrival["call"]].deadline_ms
        stated_ms: int = arrival.get("deadline", longest_ms)
        return min(stated_ms, longest_ms)

    def _record_answer(self, outcome: Outcome, deadline_at_ms: int) -> None:
        outcome.late = self.clock.now_ms() > deadline_at_ms
        outcome.complete = not outcome.wrong and not outcome.late

    async def inject_fault(self, fault: Any) -> None:
        """Wait for the start of a fault, and keep it up until its end."""
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
                await self._wait_for_fault_end(fault)
                for target in targets:
                    target.slowdown_factor = 1.0
            case "die":
                for name in names:
                    await self.emulator.die(name)
                await self._wait_for_fault_end(fault)
                for target in targets:
                    target.restart()
            case "vanish":
                for name in names:
                    await self.emulator.vanish(name)
                await self._wait_for_fault_end(fault)
                for target in targets:
                    await target.die()
                    target.restart()
            case "silent":
                for name in names:
                    self.emulator.stall_connections(name)
            case "resume-slip":
                for target in targets:
                    target.repeated_tokens_on_resume = fault["tokens"]
            case "cut":
                self.emulator.cut(fault["data_centre"])
                await self._wait_for_fault_end(fault)
                self.emulator.heal(fault["data_centre"])
            case "entry-killed":
                await self.kill_entry(fault["entry"])
            case unknown:
                raise ValueError(f"the trace has an unknown fault {unknown!r}")

    async def _wait_for_fault_end(self, fault: dict[str, Any]) -> None:
        end_ms = fault.get("until")
        if end_ms is None:
            await curio.sleep(FOREVER_S)
            return
        await self.clock.sleep_ms(end_ms - self.clock.now_ms())

    async def kill_entry(self, name: str) -> None:
        """End an entry's process: its connections are reset."""
        entry = self.entries_by_name[name]
        entry.alive = entry.observer.alive = False
        for task in list(entry.tasks):
            await task.cancel(blocking=False)
        await self.emulator.drop_entry(name)

    def _build_report(self) -> ReplayReport:
        entries = self.entries_by_name.values()
        counts: list[Counter[str]] = []
        for entry in entries:
            counted: Any = getattr(entry.dispatcher, "counts", None)
            counts.append(Counter() if counted is None else counted)
        builder = ReportBuilder(
            self.outcomes,
            self.gaps,
            list(self.emulator.targets_by_name.values()),
            counts,
        )
        return builder.build(self.header.get("outcomes", {}))


def make_prompt(arrival: dict[str, Any], request_id: str) -> str:
    """Return a prompt of the recorded size with the recorded shared prefix."""
    shared = arrival.get("shared", 0) * CHARACTERS_PER_TOKEN
    name = f"{arrival.get('prefix', '')} "
    start: str = (name * (shared // len(name) + 1))[:shared]
    return start + f"{request_id} ".ljust(
        (arrival["prompt"] * CHARACTERS_PER_TOKEN) - shared, "x"
    )


def build_dispatcher(context: EntryContext) -> Dispatcher:
    """Return a dispatcher with the policies of a real entry."""
    services = context.fleet.services_by_name
    return make_dispatcher(
        context.clock,
        context.membership,
        context.client,
        name=context.name,
        data_centre=context.data_centre,
        probe=context.client.probe,
        seed=context.seed,
        may_use_remote=lambda service: services[service].fallback,
    )


def replay_records(
    records: Iterable[dict[str, Any]],
    dispatcher_factory: DispatcherFactory = build_dispatcher,
) -> ReplayReport:
    """Replay a trace given as parsed records; see ``replay``."""

    async def run(clock: Clock) -> ReplayReport:
        return await Replay(clock, records, dispatcher_factory).run()

    report: ReplayReport = run_virtual(run)
    return report


def replay(
    path: str | Path, dispatcher_factory: DispatcherFactory = build_dispatcher
) -> ReplayReport:
    """Replay the trace in a file of JSON lines.

    Args:
        path: Trace file with a header, arrivals and faults.
        dispatcher_factory: Returns the dispatcher of an entry.

    Returns:
        The measurements, and the stated outcomes that do not hold.
    """
    with open(path, encoding="utf-8") as file:
        lines = parse_lines(file)
    for line in lines:
        if line.error is not None:
            raise line.error
    records = [line.value for line in lines]
    return replay_records(records, dispatcher_factory)


def main(trace: str) -> int:
    """Replay a trace, print the report as JSON and return the exit status.

    Args:
        trace: Path of the trace file.
    """
    report = replay(trace)
    json.dump(attrs.asdict(report), sys.stdout, indent=1)
    print()
    return 0 if report.holds else 1
