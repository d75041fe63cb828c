"""Placement of prompts on engines, by one owner entry for each service.

The owner knows all prompts of the service. An entry alone sees a ninth of them or less,
and two prompts that one engine prefills at once delay each other by 250 ms.
"""

import math
from collections.abc import Awaitable, Callable, Collection, Sequence
from typing import cast

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.discovery.owners import Owners, ownership_key
from wagtailrun.discovery.quarantine import Quarantine, digest_part
from wagtailrun.exceptions import MessageError, PeerUnreachable
from wagtailrun.logs import events
from wagtailrun.ports.link import PeerLink
from wagtailrun.relay.core.placement_messages import (
    Placed,
    PlaceRun,
    RunBroken,
    RunNoted,
    RunOver,
)
from wagtailrun.relay.core.port import PromptPart, TargetLoad
from wagtailrun.relay.limits.crash_detector import (
    CRASH_WINDOW_MS,
    SAFE_AFTER_FIRST_EVENT_MS,
    SETTLE_MS,
    CrashDetector,
)
from wagtailrun.relay.placement.choice import (
    PrefillEstimate,
    TargetChoice,
    TargetChooser,
)
from wagtailrun.relay.placement.estimate import MarginEstimator
from wagtailrun.relay.placement.part_cache import MAX_CHAIN
from wagtailrun.relay.placement.part_news import KnownParts, held_parts
from wagtailrun.relay.placement.placed_attempts import (
    RUN_LIFETIME_MS,
    PlacedAttempt,
    PlacedAttempts,
)
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.decisions import DecisionPoint
from wagtailrun.targets.silence import SilenceWatch
from wagtailrun.targets.table import TargetRow

__all__ = ["PlacementClient", "PlacementHost"]

# A prompt that is tried because its part may crash an engine has this long to show it.
TRIAL_LIFETIME_MS = 10_000
# Prompts that wait for a trial come back after about its duration.
TRIAL_RETRY_MS = 1_000
# Prompts with several suspected parts wait this long for one with a single one.
SEVERAL_SUSPECTS_WAIT_MS = 3_000

# Of a request without tokens.
NO_PREFILL = PrefillEstimate(0.0, 0, 0, 0.0)
# Callers state the tokens of prompts; a sum of odd ones exceeds what messages hold.
MAX_ESTIMATE_MS = 24 * 3_600 * MS_PER_SECOND
# The owner replies within 1 ms; without a reply the entry chooses an engine itself.
CALL_TIMEOUT_MS = 150


@attrs.define
class _Trial:
    """A prompt with suspected parts that an engine is given.

    Attributes:
        request_id: Identifier of the request.
        started_ms: When the engine was chosen.
        first_event_ms: When its first event was reported; 0 until then.
    """

    request_id: str
    started_ms: int
    first_event_ms: int = 0


@attrs.frozen
class _Run:
    """An attempt in progress.

    Attributes:
        row: Engine.
        started_ms: When the engine was chosen.
        prefill_queue_ms: Expected remaining prefill time of earlier prompts.
        uncached_tokens: Tokens that are probably not in the engine's prefix cache.
        expected_ms: Expected time to the first event.
        parts: Digests of the prompt's parts, without the last.
        earlier: Earlier attempts of the request at the engine whose ends were not
            reported yet; reports of ends arrive in the background.
    """

    row: TargetRow
    started_ms: int
    parts: tuple[str, ...] = ()
    prefill_queue_ms: float = 0.0
    uncached_tokens: int = 0
    expected_ms: float = 0.0
    earlier: int = 0


class PlacementHost:
    """Chooses engines for all entries; the owner's side of placement.

    Args:
        clock: Clock.
        chooser: Tracks the attempts placed on each engine.
        targets: Returns the targets of a service.
        quarantine: Prompt parts under which engines crashed.
        wait_ms: Returns when an engine may get a further request, because of the limit
            that it names; 0 if now.
        was_held_since: Returns whether this process stood still after a time.
        known: Prompt parts that engines hold, to be told to the next owners.
    """

    def __init__(
        self,
        clock: Clock,
        chooser: TargetChooser,
        targets: Callable[[str], list[TargetRow]],
        quarantine: Quarantine,
        wait_ms: Callable[[TargetRow], int] = lambda row: 0,
        was_held_since: Callable[[int], bool] = lambda since_ms: False,
        known: KnownParts | None = None,
    ):
        self.clock = clock
        self.known = known or KnownParts()
        self.chooser = chooser
        self.targets = targets
        self.quarantine = quarantine
        self.wait_ms = wait_ms
        self.detector = CrashDetector(clock, quarantine)
        self.silence = SilenceWatch(clock, was_held_since)
        self.trials_by_part: dict[str, _Trial] = {}
        self.runs_by_key: dict[tuple[str, str], _Run] = {}
        self.margins_by_route: dict[str, MarginEstimator] = {}

    def handle(self, message: PlaceRun | RunOver | RunBroken) -> Placed | RunNoted:
        """Return the reply to one message from an entry.

        Raises:
            MessageError: If it is not a placement message.
        """
        match message:
            case PlaceRun():
                return self._place(message)
            case RunOver():
                return self._record_end(message)
            case RunBroken():
                return self._record_break(message)
        raise MessageError(
            f"{type(message).__name__} is not handled by the placement owner"
        )

    def _record_choice(self, message: PlaceRun, choice: TargetChoice | None) -> None:
        """Tell the log which target gets an attempt, or that it waits for a part."""
        point, chosen, reason = DecisionPoint.TARGET, "none", ""
        if choice is not None:
            chosen = choice.row.name
            if choice.estimate is not None and choice.estimate.part_wait_ms:
                point, chosen, reason = DecisionPoint.ADMISSION, "wait", "part"
        self.chooser.decisions.record_choice(
            message.request_id, message.service, point, chosen, reason
        )

    def _place(self, message: PlaceRun) -> Placed:
        rows = self.targets(message.service)
        self.detector.check_rows(rows)
        if message.software_version:
            version = message.software_version
            rows = [row for row in rows if row.software_version == version]
        parts = tuple(
            PromptPart(digest_part(part.name), part.tokens) for part in message.parts
        )
        shared = tuple(part.name for part in parts[:-1])
        log = self.chooser.decisions
        refusal = self._hold_back(message, shared)
        if refusal is not None:
            if log.enabled and message.begin:
                point, reason = DecisionPoint.ADMISSION, "quarantine"
                log.record(message.request_id, message.service, point, "hold", reason)
            return refusal
        rows = [row for row in rows if not self.wait_ms(row)] or rows
        choice = self.chooser.choose_target(
            rows,
            message.avoid,
            admitted=self.silence.admitted(
                rows,
                message.entry,
                message.avoid,
                prompt_tokens=message.prompt_tokens,
                begin=message.begin,
                costs_more=lambda row: self.chooser.reads_again(
                    row, rows, parts, message.prompt_tokens
                ),
            ),
            parts=parts,
            prompt_tokens=message.prompt_tokens,
            result_bytes_by_data_centre={
                size.data_centre: size.bytes for size in message.results
            },
            penalties_ms=self.silence.penalties_ms(rows, message.entry),
            left_ms=message.left_ms or None,
            may_wait=message.may_wait,
        )
        if log.enabled and message.begin:
            self._record_choice(message, choice)
        if choice is None:
            return Placed("", "", 0)
        row, estimate = choice.row, choice.estimate or NO_PREFILL
        expected_ms = self._expected_ms(row, estimate)
        holder_ms = 0.0
        if choice.holder is not None and choice.holder_estimate is not None:
            holder_ms = self._expected_ms(choice.holder, choice.holder_estimate)
        if message.begin and not estimate.part_wait_ms:
            self._begin_trials(message.request_id, shared)
            self._begin(message, row, parts, estimate, expected_ms)
        estimator = self.margins_by_route.get(message.route)
        margin_ms = estimator.margin_ms if estimator is not None else 0.0
        return Placed(
            row.name,
            row.data_centre,
            int(min(expected_ms, MAX_ESTIMATE_MS)),
            int(min(margin_ms, MAX_ESTIMATE_MS)),
            cached_tokens=min(estimate.cached_tokens, message.prompt_tokens),
            holder=choice.holder.name if choice.holder is not None else "",
            holder_ms=int(min(holder_ms, MAX_ESTIMATE_MS)),
            part_wait_ms=math.ceil(min(estimate.part_wait_ms, MAX_ESTIMATE_MS)),
        )

    def _begin(
        self,
        message: PlaceRun,
        row: TargetRow,
        parts: Sequence[PromptPart],
        estimate: PrefillEstimate,
        expected_ms: float,
    ) -> None:
        """Record an attempt that starts now."""
        self._expire_runs()
        key = message.request_id, row.name
        replaced = self.runs_by_key.pop(key, None)
        if replaced is not None:
            self._end_run(key, replaced)
        self.runs_by_key[key] = _Run(
            row=row,
            started_ms=self.clock.now_ms(),
            prefill_queue_ms=estimate.queue_ms,
            uncached_tokens=max(message.prompt_tokens - estimate.cached_tokens, 0),
            expected_ms=expected_ms,
            parts=tuple(part.name for part in parts[:-1]),
            earlier=replaced.earlier + 1 if replaced is not None else 0,
        )
        self.chooser.record_start(row, parts, message.prompt_tokens, key)
        self.silence.begin(key, row, message.entry, expected_ms)

    def _end_run(
        self, key: tuple[str, str], run: _Run, *, has_begun: bool = False
    ) -> None:
        self.chooser.record_end(run.row, key, run.parts, has_begun=has_begun)
        if has_begun:
            self.known.record(run.row, run.parts)

    def _expected_ms(self, row: TargetRow, estimate: PrefillEstimate) -> float:
        """Return the expected time to the first event of a prompt at an engine."""
        ms = self.chooser.expected_first_event_ms(row, estimate)
        return ms + self.wait_ms(row)

    def _hold_back(self, message: PlaceRun, parts: tuple[str, ...]) -> Placed | None:
        """Return the refusal of a prompt that may crash an engine, else None.

        Of the prompts with a suspected part, one at a time is tried.
        """
        self._end_trials()
        pending = self.detector.suspects()
        if not pending and not self.quarantine.evidence_by_key:
            return None
        status = self.quarantine.status(parts)
        if status.held_ms:
            held_parts = tuple(sorted(status.suspects))
            return Placed("", "", 0, held_ms=status.held_ms, held_parts=held_parts)
        unsettled = self.detector.suspects(unsettled=True)
        if message.begin and not unsettled.isdisjoint(parts):
            return Placed("", "", 0, held_ms=TRIAL_RETRY_MS)
        suspects = status.suspects | pending.intersection(parts)
        for part in suspects:
            trial = self.trials_by_part.get(part)
            if trial is not None and trial.request_id != message.request_id:
                return Placed("", "", 0, held_ms=TRIAL_RETRY_MS)
        if len(suspects) > 1 and self._may_be_told_apart():
            return Placed("", "", 0, held_ms=TRIAL_RETRY_MS)
        return None

    def _begin_trials(self, request_id: str, parts: tuple[str, ...]) -> None:
        """Record that a prompt which may crash an engine is given to one now."""
        pending = self.detector.suspects()
        if not pending and not self.quarantine.evidence_by_key:
            return
        suspects = self.quarantine.status(parts).suspects | pending.intersection(parts)
        marked = {part for part in parts if self.quarantine.is_marked(part)}
        trial = _Trial(request_id, self.clock.now_ms())
        self.trials_by_part.update(dict.fromkeys(suspects | marked, trial))

    def _may_be_told_apart(self) -> bool:
        """Return whether prompts with only one suspected part may still come."""
        newest_ms = max(self.quarantine.at_ms_by_key.values(), default=0)
        return self.clock.now_ms() - newest_ms < SEVERAL_SUSPECTS_WAIT_MS

    def _end_trials(self) -> None:
        """End the trials that succeeded or showed nothing."""
        now_ms = self.clock.now_ms()
        for part, trial in list(self.trials_by_part.items()):
            first_ms = trial.first_event_ms
            if first_ms and now_ms - first_ms >= SAFE_AFTER_FIRST_EVENT_MS:
                self.quarantine.clear(part, trial.started_ms)
                del self.trials_by_part[part]
            elif now_ms - trial.started_ms >= TRIAL_LIFETIME_MS:
                del self.trials_by_part[part]

    def _drop_trials(self, request_id: str) -> None:
        for part, trial in list(self.trials_by_part.items()):
            if trial.request_id == request_id:
                del self.trials_by_part[part]

    def _record_break(self, message: RunBroken) -> RunNoted:
        self._drop_trials(message.request_id)
        active = self.targets(message.service)
        # The attempts at a target that leaves break when it ends.
        known = any(
            (row.name, row.incarnation) == (message.target, message.incarnation)
            for row in active
        )
        if known:
            self.detector.record_break(message)
        return RunNoted(known)

    def _record_end(self, message: RunOver) -> RunNoted:
        if message.held:
            return self._take_parts(message)
        if not message.target:
            return self._drop_runs(message.request_id)
        key = message.request_id, message.target
        run = self.runs_by_key.get(key)
        if run is None:
            return RunNoted(False)
        if run.earlier and message.outcome == RunOutcome.OVER:
            # Nothing was sent, or the request would not be at this engine again. Other
            # outcomes are those of the newest attempt, as reports may get lost.
            self.runs_by_key[key] = attrs.evolve(run, earlier=run.earlier - 1)
            return RunNoted(True)
        del self.runs_by_key[key]
        has_begun = message.outcome == RunOutcome.SUCCEEDED
        self._end_run(key, run, has_begun=has_begun)
        if message.slots:
            load = TargetLoad(message.running, message.waiting, message.slots)
            self.chooser.health.record_load(run.row, load)
        if message.outcome != RunOutcome.SUCCEEDED:
            self._drop_trials(message.request_id)
        self.silence.record_end(key, message.outcome, message.first_event_ms)
        if message.outcome in (RunOutcome.SUCCEEDED, RunOutcome.REJECTED):
            self.detector.record_alive(run.row, run.started_ms)
        if message.outcome == RunOutcome.SUCCEEDED:
            self._record_success(run, message)
        elif message.outcome == RunOutcome.UNREACHABLE:
            self.detector.record_unreachable(run.row)
        self.chooser.health.record_outcome(run.row, message.outcome)
        return RunNoted(True)

    def _take_parts(self, message: RunOver) -> RunNoted:
        """Take over what another process knows of the parts that engines hold.

        A process that knows no targets yet asks to be told again.
        """
        rows = self.targets(message.service)
        if not rows:
            return RunNoted(False, again=True)
        taken, ignored = 0, 0
        for row, names in held_parts(message, rows):
            if row is None:
                ignored += len(names)
                continue
            taken += len(names)
            self.chooser.health.state(row).parts.merge(names)
            self.known.record(row, names)
        events.log(
            events.PARTS_TAKEN,
            service=message.service,
            engines=len(message.held),
            parts=taken,
            ignored=ignored,
        )
        return RunNoted(True)

    def _drop_runs(self, request_id: str) -> RunNoted:
        """Drop the attempts of a request, which its entry has placed itself."""
        keys = [key for key in self.runs_by_key if key[0] == request_id]
        for key in keys:
            self._end_run(key, self.runs_by_key.pop(key))
            self.silence.forget(key)
        self._drop_trials(request_id)
        return RunNoted(bool(keys))

    def _record_success(self, run: _Run, message: RunOver) -> None:
        """Update the estimates with the first event of an attempt."""
        self.detector.record_success(run.parts)
        for part in run.parts:
            trial = self.trials_by_part.get(part)
            if trial is not None and trial.request_id == message.request_id:
                trial.first_event_ms = self.clock.now_ms()
        first_event_ms = message.first_event_ms
        if not first_event_ms:
            # Another entry that carried the answer may have stood still.
            self.chooser.health.record_success(run.row, None)
            return
        slowness = first_event_ms / max(run.expected_ms, 1.0)
        self.chooser.health.record_success(run.row, slowness)
        took_ms = first_event_ms - run.prefill_queue_ms
        if not self.silence.shares.is_lowered(run.row):
            self.chooser.record_first_event(run.row, run.uncached_tokens, took_ms)
        if message.route:
            estimator = self.margins_by_route.get(message.route)
            if estimator is None:
                estimator = self.margins_by_route[message.route] = MarginEstimator(
                    self.clock
                )
            estimator.add_error(message.error_ms)

    def retain(
        self, names: Collection[str], services: Collection[str], routes: Collection[str]
    ) -> None:
        """Drop what is known of all other targets, services and routes."""
        self._expire_runs()
        self.chooser.retain(names, services)
        self.known.retain(names, services)
        self.silence.retain(names, services)
        for route in self.margins_by_route.keys() - routes:
            del self.margins_by_route[route]

    def _expire_runs(self) -> None:
        """Drop the oldest runs whose entries did not report an end."""
        limit_ms = self.clock.now_ms() - RUN_LIFETIME_MS
        while self.runs_by_key:
            key, run = next(iter(self.runs_by_key.items()))
            if run.started_ms > limit_ms:
                return
            del self.runs_by_key[key]
            self._end_run(key, run)
            self.silence.forget(key)


class PlacementClient:
    """Requests engines from the owner of a service.

    Args:
        link: Link to other entries.
        name: Name of this entry.
        owners: Chooses the owner of a service.
        host: Chooses engines if this entry is the owner or the owner does not reply.
        report_crashes: Called after each message that the host handled.
    """

    def __init__(
        self,
        link: PeerLink,
        name: str,
        owners: Owners,
        host: PlacementHost,
        report_crashes: Callable[[], Awaitable[None]],
    ):
        self.link = link
        self.name = name
        self.owners = owners
        self.host = host
        self.report_crashes = report_crashes
        self.attempts = PlacedAttempts(owners.clock)

    async def handle(
        self, message: PlaceRun | RunOver | RunBroken
    ) -> Placed | RunNoted:
        """Return the reply of the host, and report the crashes that it detected.

        Raises:
            MessageError: If it is not a placement message.
        """
        reply = self.host.handle(message)
        await self.report_crashes()
        if isinstance(message, RunBroken):
            await curio.spawn(self._settle, daemon=True)
        return reply

    async def _settle(self) -> None:
        """Report a crash once the reports about it are complete."""
        for delay_ms in (SETTLE_MS, CRASH_WINDOW_MS):
            await self.host.clock.sleep_ms(delay_ms + 1)
            self.host.detector.settle()
            await self.report_crashes()

    async def place(self, message: PlaceRun) -> Placed:
        """Return the engine of an attempt."""
        message = attrs.evolve(message, entry=self.name)
        owner = self.owners.owner(ownership_key(message.service))
        owner = self.owners.unless_own(owner, self.name)
        placed = None
        if owner is not None:
            try:
                placed = await self.link.call(owner.address, message, CALL_TIMEOUT_MS)
            except PeerUnreachable as error:
                if not error.alive:
                    self.owners.exclude(owner, str(error))
                elif message.begin:
                    # A slow owner counts the attempt, whose end it would not hear of.
                    end = RunOver(
                        message.request_id, message.service, "", RunOutcome.OVER
                    )
                    await curio.spawn(self._send_end, owner.name, end, daemon=True)
        if not isinstance(placed, Placed):
            # The host answers a request to place with nothing else.
            owner, placed = None, cast(Placed, await self.handle(message))
        if message.begin and placed.target and not placed.part_wait_ms:
            self.attempts.add(
                (message.request_id, placed.target),
                owner.process if owner is not None else None,
                self._row(message.service, placed.target),
                tuple(part.name for part in message.parts[:-1][:MAX_CHAIN]),
            )
        return placed

    def placer(self, request_id: str, target: str) -> str:
        """Return the name of the entry that placed an attempt in progress."""
        attempt = self.attempts.find((request_id, target))
        owner = attempt.owner if attempt is not None else None
        return owner[0] if owner is not None else self.name

    async def report_break(self, message: RunBroken) -> None:
        """Report that a target closed the connection of an attempt.

        Returns once the owner knows, so that a further attempt is placed accordingly.
        """
        owner = self.owners.owner(ownership_key(message.service))
        owner = self.owners.unless_own(owner, self.name)
        if owner is None:
            await self.handle(message)
            return
        try:
            await self.link.call(owner.address, message, CALL_TIMEOUT_MS)
        except PeerUnreachable as error:
            # This entry may place the next attempt itself.
            events.log(events.PEER_LOST, peer=owner.name, detail=str(error))
            await self.handle(message)

    async def report_end(self, message: RunOver) -> None:
        """Report how an attempt ended to the entry that chose its engine."""
        attempt = self.attempts.end((message.request_id, message.target))
        if attempt is None or attempt.owner is None:
            await self.handle(message)
            return
        if message.outcome == RunOutcome.SUCCEEDED:
            self._record_held(message, attempt)
        await curio.spawn(self._send_end, attempt.owner[0], message, daemon=True)

    def _record_held(self, message: RunOver, attempt: PlacedAttempt) -> None:
        """Record the parts of an attempt whose first event has arrived.

        An engine that was started again since holds nothing of it.
        """
        row, placed_on = self._row(message.service, message.target), attempt.row
        if row is None or placed_on is None or row.incarnation != placed_on.incarnation:
            return
        names = [digest_part(name) for name in attempt.parts]
        self.host.known.record(row, names, attempt.owner)

    def _row(self, service: str, name: str) -> TargetRow | None:
        """Return a target of a service as it is known now, None if it is not."""
        rows = self.host.targets(service)
        return next((row for row in rows if row.name == name), None)

    async def _send_end(self, name: str, message: RunOver) -> None:
        for row in self.owners.entries():
            if row.name == name:
                try:
                    await self.link.call(row.address, message, CALL_TIMEOUT_MS)
                except PeerUnreachable as error:
                    # The run expires at the owner without this report.
                    events.log(events.PEER_LOST, peer=name, detail=str(error))
