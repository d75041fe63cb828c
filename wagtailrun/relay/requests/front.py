"""Handles requests of callers: admits them, runs their stages and relays them."""

import random
from collections.abc import Callable
from typing import Any

import curio

from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import Request, Response, refusal_response
from wagtailrun.clock import Clock
from wagtailrun.discovery import FleetView, OriginClient
from wagtailrun.discovery.quarantine import digest_part
from wagtailrun.discovery.stream_origins import stream_key
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.logs import events
from wagtailrun.process.start_steps import StartStep, StartSteps
from wagtailrun.relay.core.job import RelayJob
from wagtailrun.relay.core.metrics import RelayMetrics
from wagtailrun.relay.core.placement_messages import Placed
from wagtailrun.relay.core.port import RelayRequest, RelayWire
from wagtailrun.relay.limits.notices import TargetNotices
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.continuation import ContinuationChecker, TargetReports
from wagtailrun.relay.placement.estimate import IDLE_FIRST_EVENT_MS
from wagtailrun.relay.placement.service import PlacementClient
from wagtailrun.relay.placement.silence_news import SilenceNews
from wagtailrun.relay.requests.admission import AdmissionController
from wagtailrun.relay.requests.attempts import RelayAttempts
from wagtailrun.relay.requests.evacuated_services import stage_refusal
from wagtailrun.relay.requests.streams import RelayStreams
from wagtailrun.relay.stopping.running_jobs import RunningJobs
from wagtailrun.relay.stopping.stop_forecast import StopForecast
from wagtailrun.routes import Route, RouteKind, WorkspaceKeys
from wagtailrun.stages import StagedWork, StageRunner
from wagtailrun.stopping.plan import StopPlan
from wagtailrun.stopping.running_requests import (
    STOPPING_RETRY_MS,
    EntryEnds,
    forget_end,
)
from wagtailrun.targets.retries import RetryBudget

__all__ = ["RelayHandler"]

# Callers accept a retry delay of at most a third of their remaining time. A fleet
# configuration or its confirmation arrives within one or two polls.
NOT_READY_RETRY_MS = 400
MIN_NOT_READY_RETRY_MS = 100
# Requests that all come back once there is a leader arrive within this time.
LEADER_RETRY_SPREAD_MS = 250
# Members that did not reply are back, or replaced, within a few hundred milliseconds.
ORIGIN_RETRY_MS = 300
# The stages of a request run a second time if a result is lost.
MAX_STAGE_ROUNDS = 2
# Interval of looks for waiting requests that cannot end before the process any more.
FORECAST_INTERVAL_MS = 100
# Shared parts of a prompt in its log line, and the characters of their digests: some
# thousand parts of a day are told apart by 8.
MAX_LOGGED_PARTS = 4
LOGGED_DIGEST_LENGTH = 8
STATUS_NOT_RUN = 503
STATUS_MAY_HAVE_RUN = 502
STATUS_TOO_LATE = 504


class RelayHandler:
    """Handles requests that are relayed to targets unchanged.

    Args:
        clock: Clock.
        view: This entry's view of the fleet.
        wire: Translates requests and answers.
        http: Client with connections to targets.
        runner: Runs the stages of requests.
        chooser: Chooses the targets of routes without prompt affinity.
        placement: Requests engines for routes with prompt affinity.
        budget: Limits retries.
        metrics: Counts outcomes.
        notices: What targets told this VM.
        origins: Records where streams began.
        seed: Seed for the choice among services and the retry jitter.
        was_held_since: Returns whether the event loop of this process was held after a
            time on the clock.
        steps: Steps of the start of this process.
    """

    def __init__(
        self,
        clock: Clock,
        view: FleetView,
        wire: RelayWire,
        http: HttpClient,
        runner: StageRunner,
        chooser: TargetChooser,
        placement: PlacementClient,
        budget: RetryBudget,
        metrics: RelayMetrics,
        notices: TargetNotices,
        origins: OriginClient,
        seed: int | None = None,
        was_held_since: Callable[[int], bool] = lambda since_ms: False,
        steps: StartSteps | None = None,
    ):
        self.clock = clock
        self.steps = steps or StartSteps(clock)
        self.view = view
        self.wire = wire
        self.runner = runner
        self.budget = budget
        self.metrics = metrics
        self.random = random.Random(seed)
        self.admission = AdmissionController(clock, runner, seed, chooser.decisions)
        self.running = RunningJobs(clock)
        self.forecast = StopForecast(clock, self.running)
        self.silence_news = SilenceNews(
            clock,
            placement.link,
            placement.name,
            placement.owners,
            view.targets,
            chooser.health,
        )
        self.attempts = RelayAttempts(
            clock,
            view,
            wire,
            http,
            chooser,
            placement,
            budget,
            notices,
            was_held_since,
            self.forecast.refusal,
            self.running.answer_ms,
            self.silence_news,
        )
        self.origins = origins
        # Tasks of the admitted requests of which no part of an answer was sent.
        self.unanswered_tasks: set[curio.Task] = set()
        checker = ContinuationChecker(origins, TargetReports(http, wire))
        self.streams = RelayStreams(self.attempts, runner, origins, checker)

    @property
    def stop(self) -> StopPlan | None:
        """The planned stop of the process; None before it begins."""
        return self.forecast.stop

    @stop.setter
    def stop(self, plan: StopPlan | None) -> None:
        self.forecast.stop = plan

    async def handle(self, raw_request: Request) -> Response:
        """Return the answer to one request of a caller."""
        arrived_ms = self.clock.now_ms()
        request = self.wire.parse_request(raw_request)
        if isinstance(request, Refusal):
            return self._reject("", "", arrived_ms, request)
        job = self._admit(request, raw_request, arrived_ms)
        if isinstance(job, Refusal):
            return self._reject(request.request_id, "", arrived_ms, job)
        finished = False
        task = await curio.current_task()
        self.unanswered_tasks.add(task)
        self.running.add(job, task)
        self.forecast.recognise(job)
        try:
            try:
                response = await self._run(job)
            except EntryEnds:
                # Else the task could not be cancelled while it sends the refusal.
                task.cancelled = False
                response = self._refuse_job(job, _end_refusal(job))
            finished = True
        finally:
            self.unanswered_tasks.discard(task)
            self.running.record_head(job)
            if not finished:
                self._record_end(job, "abandoned", 0)
            if not (finished and job.streaming):
                await self.runner.release_all(job.work, job.results)
        if self.stop is not None:
            await forget_end()
        return response

    async def _run(self, job: RelayJob) -> Response:
        """Run an admitted request and return its answer."""
        refusal = await self._find_origin(job)
        self.budget.earn(job.service)
        refusal = refusal or await self._run_stages(job)
        if refusal is not None:
            return self._refuse_job(job, refusal)
        if job.route.kind is RouteKind.STREAM:
            return await self.streams.serve(job, self._refuse_job, self._record_end)
        outcome = await self.attempts.call(job)
        if isinstance(outcome, Refusal):
            return self._refuse_job(job, outcome)
        self._record_end(job, "answered", outcome.status)
        return outcome

    async def refuse_unanswered(self) -> None:
        """End all requests of which no part of an answer was sent, with a refusal.

        The end of the process would close their connections without an answer.
        """
        for task in list(self.unanswered_tasks):
            await task.cancel(exc=EntryEnds, blocking=False)

    async def end_hopeless(self) -> None:
        """Until the last refusals, end requests that cannot end before the process.

        Their callers have time to turn to another entry.
        """
        while self.stop and self.clock.now_ms() < self.stop.answers_end_ms:
            for job, task in list(self.running.tasks_by_job.items()):
                if task is None or job.ended_by_stop:
                    continue
                if self.forecast.is_hopeless(job):
                    # Until it has ended, it may still come to send the request.
                    job.ended_by_stop = True
                    await task.cancel(exc=EntryEnds, blocking=False)
            await self.clock.sleep_ms(FORECAST_INTERVAL_MS)

    # Admission

    def _admit(
        self, request: RelayRequest, raw_request: Request, arrived_ms: int
    ) -> RelayJob | Refusal:
        """Return the job of a request, or why it is refused."""
        table = self.view.table
        if table is None or self.view.is_outdated:
            return self._refuse_unconfigured()
        fresh = self.view.is_fresh
        route = table.find(request.host, raw_request.path)
        if route is None:
            if not fresh:
                return self._not_ready(
                    RefusalReason.NO_CONFIGURATION,
                    "no route matches, but the fleet configuration may be outdated",
                )
            return Refusal(
                RefusalReason.UNKNOWN_ROUTE, Verdict.NOT_RUN, raw_request.path
            )
        workspace = None
        if table.demands_keys and not route.keyless:
            if not fresh:
                detail = f"keys last confirmed {self.view.confirmation_age_ms} ms ago"
                return self._not_ready(RefusalReason.KEYS_UNCONFIRMED, detail)
            workspace = table.workspaces_by_key.get(request.key)
            if workspace is None:
                return Refusal(RefusalReason.UNKNOWN_KEY, Verdict.NOT_RUN)
        if route.steps and len(request.pieces) != len(route.steps):
            detail = (
                f"the request has pieces for {len(request.pieces)} steps, "
                f"but the route has {len(route.steps)} steps"
            )
            return self._not_ready(RefusalReason.NO_CONFIGURATION, detail)
        return self._make_job(request, raw_request, route, workspace, arrived_ms)

    def _refuse_unconfigured(self) -> Refusal:
        """Return the refusal of a request while the newest configuration is missing."""
        view = self.view
        if view.table is None:
            reason = RefusalReason.NO_CONFIGURATION
            detail = "this entry has received no fleet configuration yet"
        else:
            reason = RefusalReason.CONFIGURATION_OUTDATED
            detail = (
                f"revision {view.revision} of the fleet configuration was "
                f"replaced {view.confirmation_age_ms} ms ago or less"
            )
        if view.unread_revision:
            # The place and the reason are for operators, who find them in event 601.
            detail = (
                f"this entry cannot read revision {view.unread_revision} of the fleet "
                f"configuration; other entries may"
            )
        return self._not_ready(reason, detail)

    def _not_ready(self, reason: RefusalReason, detail: str) -> Refusal:
        """Return a refusal until the configuration here is confirmed.

        Members that have just started tell when they expect a leader. All entries learn
        of the same moment, so the requests that come back are spread over some time.
        """
        retry_ms = NOT_READY_RETRY_MS
        expected_ms = self.view.control_members.leader_expected_ms
        if expected_ms is not None:
            left_ms = expected_ms - self.clock.now_ms()
            # Long after that moment, the members that told it do not answer any more.
            if left_ms > -NOT_READY_RETRY_MS:
                spread_ms = self.random.randint(0, LEADER_RETRY_SPREAD_MS)
                retry_ms = max(left_ms, 0) + spread_ms
        return Refusal(
            reason, Verdict.NOT_RUN, detail, max(retry_ms, MIN_NOT_READY_RETRY_MS)
        )

    def _make_job(
        self,
        request: RelayRequest,
        raw_request: Request,
        route: Route,
        workspace: WorkspaceKeys | None,
        arrived_ms: int,
    ) -> RelayJob | Refusal:
        limit_ms = route.timeout_ms
        if request.remaining_ms is not None:
            limit_ms = min(limit_ms, request.remaining_ms)
        urgency = route.urgency
        if workspace is not None and workspace.urgency is not None:
            urgency = workspace.urgency
        objective_at_ms = arrived_ms + (route.aim_ms or limit_ms)
        deadline_at_ms = arrived_ms + limit_ms
        stop = self.stop
        if stop is not None and route.kind is not RouteKind.STREAM:
            deadline_at_ms = min(deadline_at_ms, stop.answers_end_ms)
        if stop is not None and not self._ends_before_stop(
            stop, route, objective_at_ms, deadline_at_ms
        ):
            left_ms = stop.ends_ms - arrived_ms
            return Refusal(
                RefusalReason.DRAINING,
                Verdict.NOT_RUN,
                f"this entry stops in {left_ms} ms",
                STOPPING_RETRY_MS,
            )
        return RelayJob(
            request=request,
            http_request=raw_request,
            route=route,
            service=self._choose_service(route),
            workspace=workspace.name if workspace is not None else "",
            urgency=min(max(urgency, 0), 9),
            revision=self.view.revision,
            confirmation_age_ms=self.view.confirmation_age_ms,
            arrived_ms=arrived_ms,
            objective_at_ms=objective_at_ms,
            deadline_at_ms=deadline_at_ms,
        )

    def _ends_before_stop(
        self, stop: StopPlan, route: Route, objective_at_ms: int, deadline_at_ms: int
    ) -> bool:
        """Return whether a request may be admitted although the entry stops.

        While the load balancer has not noticed the stop, all are admitted that are
        expected to end in time; the forecast refuses the others. After that those that
        cannot be cut off by it: streams last longer than their objective.
        """
        if self.clock.now_ms() < stop.notice_ends_ms:
            return True
        if route.kind is RouteKind.STREAM:
            return deadline_at_ms <= stop.answers_end_ms
        return objective_at_ms <= deadline_at_ms

    def _choose_service(self, route: Route) -> str:
        """Return a service of the route, chosen at random by weight.

        Services without targets are chosen only if all are without.
        """
        rows = [row for row in route.services if row.weight > 0]
        if len(rows) == 1:
            return rows[0].service
        candidates = [row for row in rows if self.view.targets(row.service)] or rows
        weights = [row.weight for row in candidates]
        return self.random.choices(candidates, weights)[0].service

    async def _find_origin(self, job: RelayJob) -> Refusal | None:
        """Bind a stream that the caller takes up to the version that began it.

        Returns:
            A refusal if the stream cannot go on at that version, else None.
        """
        request = job.request
        takes_up = request.last_event_id is not None
        if job.route.kind is not RouteKind.STREAM or not (takes_up or request.resumes):
            return None
        key = stream_key(job.workspace, request.resumes) if request.resumes else None
        services = [row.service for row in job.route.services if row.weight > 0]
        found = await self.origins.find(key, services)
        origin, detail = found.origin, found.detail
        if origin is None and not takes_up:
            # It asks for the whole stream, so that nothing is joined.
            return None
        if origin is not None and origin.service not in services:
            detail = f"it began at {origin.service}, which left the route"
            origin = None
        events.log(
            events.STREAM_TAKEN_UP,
            request_id=request.request_id,
            resumes=request.resumes,
            last_event_id=request.last_event_id,
            began_at=origin.target if origin else "",
            service=origin.service if origin else "",
            software_version=origin.software_version if origin else "",
            began_incarnation=origin.incarnation if origin else 0,
            age_ms=found.age_ms,
            replies=found.replies,
            confirmation_age_ms=self.view.confirmation_age_ms,
            detail=detail,
        )
        if origin is None:
            return Refusal(
                RefusalReason.ORIGIN_UNKNOWN,
                Verdict.NOT_RUN,
                f"the software version that began the stream is not known: {detail}",
                ORIGIN_RETRY_MS if found.may_be_found_later else 0,
            )
        job.origin, job.service = origin, origin.service
        return self.attempts.selection.continue_refusal(job)

    # Stages

    async def _run_stages(self, job: RelayJob) -> Refusal | None:
        """Run the stages of a request; return a refusal if they fail, else None."""
        if not any(job.request.pieces):
            return None
        for number in range(MAX_STAGE_ROUNDS):
            refusal = await self._plan_placement(job)
            if refusal is not None:
                return refusal
            deadline_at_ms = job.first_event_deadline_at_ms
            work = StagedWork(
                request_id=job.request.request_id,
                steps=job.route.steps,
                pieces=job.request.pieces,
                key=job.request.piece_key,
                urgency=job.urgency,
                objective_at_ms=job.objective_at_ms - job.planned_ms,
                expires_at_ms=deadline_at_ms - job.planned_ms,
                round=number,
            )
            job.work = work
            stages_ms = await self.runner.announce(work, job.data_centre)
            if stages_ms is not None:
                for step in job.route.steps:
                    self.steps.reach(StartStep.OWNER_REPLIED, step.service)
            refusal = self.admission.check(job, work, stages_ms)
            refusal = refusal or self.forecast.refusal(job)
            if refusal is not None:
                await self.runner.withdraw(work)
                return refusal
            refusal = await self.runner.run(work, job.data_centre, job.results)
            job.staged_ms = self.clock.now_ms()
            if refusal is None or refusal.reason is not RefusalReason.TARGET_FAILED:
                return refusal
            await job.discard_results(self.runner)
        return refusal

    async def _plan_placement(self, job: RelayJob) -> Refusal | None:
        """Choose the data centre of the stages and estimate the engine's time.

        The stages run in the data centre of the engine, because their results are large
        and another engine would have to prefill shared parts of the prompt again.

        Returns:
            A refusal if the prompt is held back, else None.
        """
        refusal = self.attempts.selection.quarantine_refusal(job)
        refusal = refusal or self.attempts.selection.pause_refusal(job)
        refusal = refusal or self.attempts.selection.away_refusal(job)
        refusal = refusal or stage_refusal(self.view, job)
        if refusal is not None:
            return refusal
        placed = await self.attempts.selection.place(job, begin=False, may_wait=True)
        if placed.held_ms:
            return self.attempts.selection.hold_refusal(
                job, placed.held_ms, placed.held_parts
            )
        if not placed.target:
            # No engine is known yet. The stages run meanwhile; the request is refused
            # after them if there is still no engine.
            placed = Placed("", self.view.own_row.data_centre, int(IDLE_FIRST_EVENT_MS))
        else:
            self.steps.reach(StartStep.OWNER_REPLIED, job.service)
        job.data_centre = placed.data_centre
        job.planned_ms = placed.expected_ms
        job.margin_ms = placed.margin_ms
        return None

    # Outcomes

    async def record_unread(self, refusal: Refusal) -> None:
        """Log and count the refusal of a request that was not read completely."""
        self._reject("", "", self.clock.now_ms(), refusal)

    def _reject(
        self, request_id: str, route: str, arrived_ms: int, refusal: Refusal
    ) -> Response:
        """Return the answer to a request that was not admitted."""
        status = refusal_response(refusal).status
        self.metrics.count_refusal(refusal.reason)
        events.log(
            events.RELAY_REFUSED,
            request_id=request_id,
            route=route,
            status=status,
            reason=str(refusal.reason),
            verdict=str(refusal.verdict),
            detail=refusal.detail,
            revision=self.view.revision,
            confirmation_age_ms=self.view.confirmation_age_ms,
            took_ms=self.clock.now_ms() - arrived_ms,
        )
        return self._refusal_response(request_id, refusal, status)

    def _refuse_job(self, job: RelayJob, refusal: Refusal) -> Response:
        """Return the answer to an admitted request that ends with a refusal."""
        late = self.clock.now_ms() >= job.deadline_at_ms
        if refusal.verdict is Verdict.NOT_RUN:
            status = STATUS_NOT_RUN
        else:
            status = STATUS_TOO_LATE if late else STATUS_MAY_HAVE_RUN
        self.metrics.count_refusal(refusal.reason)
        self._record_end(job, "refused", status, refusal)
        return self._refusal_response(job.request.request_id, refusal, status)

    def _refusal_response(
        self, request_id: str, refusal: Refusal, status: int
    ) -> Response:
        response = refusal_response(refusal, status)
        headers = self.wire.refusal_headers(request_id, refusal)
        kept = [pair for pair in response.headers if pair[0] != "Retry-After"]
        return Response(status, response.body, (*kept, *headers))

    def _record_end(
        self, job: RelayJob, outcome: str, status: int, refusal: Refusal | None = None
    ) -> None:
        """Log and count the end of an admitted request."""
        now_ms = self.clock.now_ms()
        self.metrics.count_request(
            outcome, str(job.route.kind), now_ms - job.arrived_ms
        )
        self.running.end(job, outcome, status)
        events.log(
            events.RELAY_ENDED,
            request_id=job.request.request_id,
            route=job.route.name,
            service=job.service,
            workspace=job.workspace,
            outcome=outcome,
            status=status,
            reason=str(refusal.reason) if refusal else "",
            verdict=str(refusal.verdict) if refusal else "",
            detail=refusal.detail if refusal else job.detail,
            revision=job.revision,
            confirmation_age_ms=job.confirmation_age_ms,
            data_centre=job.data_centre,
            targets=list(job.tried_targets),
            carriers=list(job.carriers),
            runs=job.runs,
            began_at=job.origin.target if job.origin else "",
            software_version=job.origin.software_version if job.origin else "",
            began_incarnation=job.origin.incarnation if job.origin else 0,
            expected_ms=job.expected_ms,
            planned_ms=job.planned_ms,
            margin_ms=job.margin_ms,
            placed_ms=job.placed_ms,
            staged_ms=job.staged_ms - job.arrived_ms if job.staged_ms else 0,
            first_ms=job.first_ms - job.arrived_ms if job.first_ms else 0,
            took_ms=now_ms - job.arrived_ms,
            aim_ms=job.objective_at_ms - job.arrived_ms,
            deadline_ms=job.deadline_at_ms - job.arrived_ms,
            **_prompt_fields(job),
        )


def _prompt_fields(job: RelayJob) -> dict[str, Any]:
    """Return the fields of a log line that tell what of a prompt was cached where."""
    placed = job.placed
    if placed is None or not placed.target:
        return {}
    shared = job.request.parts[:-1][:MAX_LOGGED_PARTS]
    own_tokens = job.request.prompt_tokens - sum(part.tokens for part in shared)
    # The last part has no name, as no other prompt has it.
    parts = [
        f"{digest_part(part.name)[:LOGGED_DIGEST_LENGTH]}:{part.tokens}"
        for part in shared
    ]
    fields: dict[str, Any] = {
        "parts": ",".join([*parts, f":{max(own_tokens, 0)}"]),
        "placed_by": job.placed_by,
    }
    if job.moved_bytes:
        fields["moved_bytes"] = job.moved_bytes
    if job.part_waited_ms:
        fields["part_waited_ms"] = job.part_waited_ms
    if placed.cached_tokens:
        fields["cached_tokens"] = placed.cached_tokens
    if placed.holder:
        fields |= {"holder": placed.holder, "holder_ms": placed.holder_ms}
    return fields


def _end_refusal(job: RelayJob) -> Refusal:
    """Return the refusal of a request that the process cannot finish."""
    detail = f"this entry stops; {job.detail}" if job.detail else "this entry stops"
    return Refusal(RefusalReason.DRAINING, job.verdict, detail, STOPPING_RETRY_MS)
