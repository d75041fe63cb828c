"""Plays one variant and seed of an experiment with relay entries."""

import json
from collections import defaultdict
from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import curio

from wagtailrun.adapters.http_messages import Request
from wagtailrun.clock import Clock
from wagtailrun.exceptions import (
    ExperimentFailed,
    Refusal,
    RefusalReason,
    Verdict,
)
from wagtailrun.experiments.arrivals import make_arrivals
from wagtailrun.experiments.attempts import AttemptRecord
from wagtailrun.experiments.base_play import BasePlay, ReportProgress, TargetState
from wagtailrun.experiments.decisions import DecisionFile
from wagtailrun.experiments.model import Fault, FaultKind, Scenario
from wagtailrun.experiments.records import PlayRecords
from wagtailrun.experiments.relay import wire
from wagtailrun.experiments.relay.fleet import FleetPlan, RelayFleet
from wagtailrun.experiments.relay.limiting import StatedLimits
from wagtailrun.experiments.relay.routes import HOST, key_of
from wagtailrun.experiments.relay.server import AnswerEnd, AnswerPart, CallerExchange
from wagtailrun.experiments.relay.work import SimpleWork
from wagtailrun.experiments.relay_routes import path_of, relay_table, relay_text
from wagtailrun.fleet.model import StageKind
from wagtailrun.logs import events
from wagtailrun.logs.events import EVENT_LOG
from wagtailrun.replay.player import make_prompt
from wagtailrun.replay.report import Outcome
from wagtailrun.targets.decisions import NO_DECISIONS, DecisionLog
from wagtailrun.virtual_time import VirtualClock, run_virtual

__all__ = ["play_relay_scenario"]

# Time before the load in which entries find the control members, the fleet
# configuration and each other, and the load balancer finds them ready.
WARM_UP_MS = 3_000
# Callers leave this long after their deadline.
PATIENCE_MS = 10_000
COMPLETION_POLL_MS = 1_000
EVENT_END = b"\n\n"
# Errors that no part of the relay expects.
UNEXPECTED_EVENTS = (events.HANDLER_FAILED, events.TASK_RESTARTED)


class _PlayClock(Clock):
    """Clock that is 0 as the load starts.

    Args:
        clock: Virtual clock of the processes.
    """

    def __init__(self, clock: VirtualClock):
        self.clock = clock

    def now_ms(self) -> int:
        """Return the time of the play in milliseconds."""
        return self.clock.now_ms() - WARM_UP_MS

    def wall_ms(self) -> int:
        """Return the wall time."""
        return self.clock.wall_ms()

    async def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the calling task."""
        await self.clock.sleep_ms(duration_ms)


class _RelayPlay(BasePlay):
    """A fleet of relay entries whose load and faults come from an experiment.

    Args:
        clock: Virtual clock.
        scenario: What to play.
        seed: Seed of load, service times and policies.
        report_progress: Is told the time of the play, in milliseconds, now and then.
        decisions: Where to keep the decisions of entries, None to keep none.
    """

    def __init__(
        self,
        clock: VirtualClock,
        scenario: Scenario,
        seed: int,
        report_progress: ReportProgress,
        decisions: DecisionFile | None,
    ):
        super().__init__(_PlayClock(clock), scenario, report_progress)
        self.decisions = decisions
        self.arrivals = make_arrivals(scenario, seed)
        self.outcomes = []
        self.table = relay_table(scenario, scenario.fleet)
        self.running = 0
        plan = FleetPlan(
            data_centres=scenario.fleet.data_centres,
            data_centres_by_entry=scenario.data_centres_by_entry,
            text=relay_text(scenario, scenario.fleet),
            delay_ms=scenario.link_ms,
            report_lag_ms=scenario.report_lag_ms,
            settings=_entry_settings(scenario.settings),
        )
        self.fleet = RelayFleet(clock, plan, seed, self._decisions_of)
        for group in scenario.targets:
            for name in group.names:
                row = self.fleet.next_row(
                    name, group.service, group.data_centre, group.model.capacity
                )
                work_seed = self.fleet.random.randrange(2**32)
                work = SimpleWork(clock, row, group.model, work_seed)
                limits = None
                if group.limits is not None:
                    limits = StatedLimits(**attrs.asdict(group.limits))
                self.fleet.add_target(row, work, limits)

    def _decisions_of(self, name: str) -> DecisionLog:
        if self.decisions is None:
            return NO_DECISIONS
        return self.decisions.of_entry(name, self.clock)

    async def play(self) -> None:
        """Play until the last request has ended."""
        await self.fleet.start()
        await self.clock.sleep_ms(-self.clock.now_ms())
        for fault in self.scenario.faults:
            await curio.spawn(self.inject_fault, fault, daemon=True)
        await curio.spawn(self.sample, daemon=True)
        for number, arrival in enumerate(self.arrivals):
            await self.clock.sleep_ms(arrival["at"] - self.clock.now_ms())
            outcome = Outcome(
                arrival,
                f"r{number}",
                self._deadline_ms(arrival),
                sent_ms=self.clock.now_ms(),
            )
            self.outcomes.append(outcome)
            self.running += 1
            await curio.spawn(self._call, outcome, daemon=True)
        while self.running:
            await self.clock.sleep_ms(COMPLETION_POLL_MS)

    # Callers

    async def _call(self, outcome: Outcome) -> None:
        """Send a request and read its answer."""
        async with self._noting_error():
            sent = await self.fleet.submit(
                outcome.arrival.get("data_centre", ""), self._make_request(outcome)
            )
            if sent is None:
                outcome.failure = "no-entry"
            else:
                outcome.entry, exchange = sent
                left_ms = outcome.deadline_at_ms + PATIENCE_MS - self.clock.now_ms()
                if await curio.ignore_after(
                    left_ms / 1_000,
                    self._read_answer,
                    outcome,
                    exchange,
                    timeout_result=True,
                ):
                    outcome.failure = "no-answer"
                    await exchange.leave()
        outcome.ended_ms = self.clock.now_ms()
        self.running -= 1

    async def _read_answer(self, outcome: Outcome, exchange: CallerExchange) -> None:
        pending = bytearray()
        received: AnswerPart | None = None
        body = b""
        while not isinstance(part := await exchange.parts.get(), AnswerEnd):
            received = part
            if part.status == wire.OK and self._is_stream(outcome):
                self._read_events(outcome, pending, part.data)
            else:
                body += part.data
        if part.failure:
            outcome.failure = part.failure
        elif received is None:
            outcome.failure = "internal"
        elif received.status != wire.OK:
            outcome.refusal = _read_refusal(body)
        else:
            if self._is_stream(outcome):
                total = outcome.arrival["output"]
                outcome.wrong |= bool(pending) or outcome.tokens != total + 1
                outcome.tokens = min(outcome.tokens, total)
            else:
                outcome.wrong = body.decode() != outcome.request_id
            outcome.late = self.clock.now_ms() > outcome.deadline_at_ms
            outcome.complete = not (outcome.wrong or outcome.late)

    def _read_events(self, outcome: Outcome, pending: bytearray, data: bytes) -> None:
        """Check the events of a stream, which are counted as tokens."""
        if outcome.first_ms is None:
            outcome.first_ms = self.clock.now_ms() - outcome.arrival["at"]
        pending += data
        while (end := pending.find(EVENT_END)) >= 0:
            number = outcome.tokens
            is_end = number == outcome.arrival["output"]
            text = "" if is_end else f"{outcome.request_id}:{number} "
            expected = f"id: {number}\ndata: {text}".encode()
            outcome.wrong |= bytes(pending[:end]) != expected
            outcome.tokens += 1
            del pending[: end + len(EVENT_END)]

    def _is_stream(self, outcome: Outcome) -> bool:
        name = outcome.arrival.get("pipeline")
        if name is None:
            return False
        stages = self.scenario.fleet.pipelines_by_name[name].stages
        return stages[-1].kind is StageKind.GENERATE

    def _make_request(self, outcome: Outcome) -> Request:
        arrival = outcome.arrival
        headers = {
            "host": HOST,
            wire.REQUEST_ID: outcome.request_id,
            wire.KEY: key_of(arrival["workspace"]),
            wire.DEADLINE: str(outcome.deadline_at_ms - self.clock.now_ms()),
        }
        body: dict[str, Any] = {"order_key": arrival.get("key", "")}
        if "pipeline" in arrival:
            output = arrival["output"]
            prompt = make_prompt(arrival, outcome.request_id)
            body = {"prompt": prompt, "max_tokens": output}
            headers[wire.TOKENS] = f"{arrival['prompt']},{output}"
            headers[wire.PARTS] = _prompt_parts(arrival, outcome.request_id)
        path = path_of(arrival)
        route = self.table.find(HOST, path)
        if route is not None and route.steps:
            headers[wire.PIECES] = ",".join("1" for _ in route.steps)
            headers[wire.PIECE_KEY] = outcome.request_id
        pairs = tuple((name.encode(), text.encode()) for name, text in headers.items())
        return Request(
            "POST",
            path,
            headers=headers,
            body=json.dumps(body).encode(),
            target=path.encode(),
            header_pairs=pairs,
        )

    def _deadline_ms(self, arrival: dict[str, Any]) -> int:
        fleet = self.scenario.fleet
        if "pipeline" in arrival:
            longest_ms = fleet.pipelines_by_name[arrival["pipeline"]].deadline_ms
        else:
            calls = fleet.services_by_name[arrival["service"]].calls_by_name
            longest_ms = calls[arrival["call"]].deadline_ms
        return min(int(arrival.get("deadline", longest_ms)), longest_ms)

    # Faults

    async def begin_fault(self, fault: Fault, name: str) -> None:
        """Begin a fault of one of its subjects."""
        fleet = self.fleet
        match fault.kind:
            case FaultKind.KILL_ENTRY:
                await fleet.entries_by_name[name].kill()
            case FaultKind.KILL_TARGET:
                await fleet.targets_by_name[name].die()
            case FaultKind.LOSE_TARGET:
                await fleet.network.lose(fleet.targets_by_name[name].process)
            case FaultKind.PAUSE_TARGET:
                fleet.targets_by_name[name].pause()
            case FaultKind.SLOW_TARGET:
                fleet.targets_by_name[name].work.slow_down(fault.factor)
            case FaultKind.SILENCE_TARGET:
                await fleet.network.stall(fleet.targets_by_name[name].process)
            case FaultKind.LOSE_REPORTS:
                fleet.lost_reports_by_target[name] = fault.share
            case FaultKind.CUT:
                await fleet.network.cut(name, outward=True, inward=True)
            case FaultKind.CUT_ONE_WAY:
                outward = fault.outward
                await fleet.network.cut(name, outward=outward, inward=not outward)

    async def end_fault(self, fault: Fault, name: str) -> None:
        """End a fault of one of its subjects."""
        fleet = self.fleet
        match fault.kind:
            case FaultKind.KILL_ENTRY:
                await self.return_entry(name)
            case FaultKind.KILL_TARGET:
                await fleet.targets_by_name[name].restart()
            case FaultKind.LOSE_TARGET:
                await fleet.targets_by_name[name].die()
                await fleet.targets_by_name[name].restart()
            case FaultKind.PAUSE_TARGET:
                await fleet.targets_by_name[name].go_on()
            case FaultKind.SLOW_TARGET:
                fleet.targets_by_name[name].work.slow_down(1.0)
            case FaultKind.LOSE_REPORTS:
                del fleet.lost_reports_by_target[name]
            case FaultKind.CUT | FaultKind.CUT_ONE_WAY:
                await fleet.network.heal(name)
                await fleet.members.spread()

    async def change_fleet(self, fault: Fault) -> None:
        """Let the control members accept another fleet configuration."""
        if fault.fleet is not None:
            text = relay_text(self.scenario, fault.fleet)
            await self.fleet.members.put_text(text)

    async def stop_entry(self, name: str) -> None:
        """Stop an entry as planned; return when its process has ended."""
        await self.fleet.entries_by_name[name].stop()

    async def return_entry(self, name: str) -> None:
        """Start an entry again."""
        await self.fleet.start_entry(name)

    # Records

    def target_states(self) -> Iterator[TargetState]:
        """Yield the state of each target now."""
        for name, target in self.fleet.targets_by_name.items():
            work, process = target.work, target.process
            yield TargetState(
                name,
                target.row.service,
                target.row.data_centre,
                work.running,
                work.queued,
                work.capacity,
                process.is_alive and not process.is_lost,
            )

    def attempts_of(self, outcome: Outcome) -> tuple[list[AttemptRecord], int]:
        """Return the attempts of a request, in order; the relay makes no hedges."""
        attempts = [
            AttemptRecord(
                self._stage_name(outcome, logged.step),
                logged.target,
                logged.number,
                logged.resume_offset,
                logged.sent_ms - WARM_UP_MS,
                None if logged.first_ms is None else logged.first_ms - WARM_UP_MS,
                None if logged.ended_ms is None else logged.ended_ms - WARM_UP_MS,
            )
            for logged in self.fleet.log.by_request.get(outcome.request_id, [])
        ]
        return attempts, 0

    def _stage_name(self, outcome: Outcome, step: str) -> str:
        """Return the kind of the stage, or the call, of a step.

        Steps of a route of the ``relay`` table are named by their service.
        """
        arrival = outcome.arrival
        if "pipeline" not in arrival:
            return str(arrival["call"])
        stages = self.scenario.fleet.pipelines_by_name[arrival["pipeline"]].stages
        if not step:
            return stages[-1].kind.value
        route = self.table.find(HOST, path_of(arrival))
        if self.scenario.fleet.relay is None or route is None:
            return stages[int(step)].kind.value
        return route.steps[int(step)].service

    def busy_ms_by_request(self) -> Mapping[str, Mapping[tuple[str, int], float]]:
        """Return the time of targets by request, by stage and number of attempts."""
        outcomes = {outcome.request_id: outcome for outcome in self.outcomes}
        busy_ms: defaultdict[str, dict[tuple[str, int], float]] = defaultdict(dict)
        for target in self.fleet.targets_by_name.values():
            for key, spent_ms in target.work.busy_ms_by_attempt.items():
                request, step, number = key
                stage = self._stage_name(outcomes[request], step)
                busy_ms[request][stage, number] = spent_ms
        return busy_ms

    def runs_by_key(self) -> dict[str, int]:
        """Return how often each order ran."""
        keys = [str(arrival.get("key", "")) for arrival in self.arrivals]
        return self.fleet.runs_by_key([key for key in keys if key])


def _entry_settings(settings: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a relay entry that a file gives, by their own names."""
    found = dict(settings)
    if "drain_limit_ms" in found:
        found["grace_s"] = found.pop("drain_limit_ms") / 1_000
    return found


def _read_refusal(body: bytes) -> Refusal:
    problem = json.loads(body)
    return Refusal(
        RefusalReason(problem["reason"]),
        Verdict(problem["verdict"]),
        problem["detail"],
        problem["retry_after_ms"],
    )


def _prompt_parts(arrival: dict[str, Any], request_id: str) -> str:
    """Return the parts of a prompt: what it shares with others, and the rest."""
    shared = int(arrival.get("shared", 0))
    own = f"{request_id}:{arrival['prompt'] - shared}"
    return f"{arrival.get('prefix', '')}:{shared},{own}" if shared else own


def play_relay_scenario(
    scenario: Scenario,
    seed: int,
    report_progress: ReportProgress,
    decisions: DecisionFile | None = None,
) -> PlayRecords:
    """Play a scenario with relay entries and return its records.

    Args:
        scenario: What to play.
        seed: Seed of load, service times and policies.
        report_progress: Is told the virtual time, in milliseconds, now and then.
        decisions: Where to keep the decisions of entries, None to keep none.
    """

    async def run(clock: VirtualClock) -> PlayRecords:
        play = _RelayPlay(clock, scenario, seed, report_progress, decisions)
        await play.play()
        await play.wait_for_end()
        return play.make_records()

    # The limits of the log count lines by the time of this process, which does not
    # pass here. What a daemon goes on after would be hidden in a play.
    with EVENT_LOG.muted(UNEXPECTED_EVENTS) as unexpected:
        records: PlayRecords = run_virtual(run)
    if unexpected:
        event, fields = unexpected[0]
        raise ExperimentFailed(f"an entry failed: {event.meaning} {fields}")
    return records
