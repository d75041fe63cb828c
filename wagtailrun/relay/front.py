"""Takes the requests of callers, runs their stages, and passes them on."""

import random

from wagtailrun import events
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import Request, Response, refusal_response
from wagtailrun.clock import Clock
from wagtailrun.discovery import FleetView
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.relay.admission import Admission
from wagtailrun.relay.attempts import RelayAttempts
from wagtailrun.relay.choice import TargetChooser
from wagtailrun.relay.estimate import FIRST_EVENT_MS
from wagtailrun.relay.job import RelayJob
from wagtailrun.relay.metrics import RelayMetrics
from wagtailrun.relay.placement import Placement
from wagtailrun.relay.placement_messages import Placed
from wagtailrun.relay.port import RelayRequest, RelayWire
from wagtailrun.relay.streams import RelayStreams
from wagtailrun.retries import RetryBudget
from wagtailrun.routes import Route, RouteKind, WorkspaceKeys
from wagtailrun.stages import StagedWork, StageRunner

__all__ = ["RelayFront"]

# Callers come back within a third of the time that they have left; a text or a
# confirmation is there within a poll or two.
UNREADY_RETRY_MS = 400
# A request whose stages lost a result is staged once more.
STAGE_ROUNDS = 2
STATUS_NOT_RUN = 503
STATUS_MAY_HAVE_RUN = 502
STATUS_TOO_LATE = 504


class RelayFront:
    """The face for callers whose requests are passed on unchanged.

    Args:
        clock: Clock.
        view: What this entry knows of the fleet.
        wire: Translates requests and answers.
        http: Connections to targets.
        runner: Runs the stages of requests.
        chooser: Chooses the targets of plain services.
        placement: Chooses engines.
        budget: Pays for repeated attempts.
        metrics: Counts outcomes.
        seed: Seed of the choices among services and of times to come back.
    """

    def __init__(
        self,
        clock: Clock,
        view: FleetView,
        wire: RelayWire,
        http: HttpClient,
        runner: StageRunner,
        chooser: TargetChooser,
        placement: Placement,
        budget: RetryBudget,
        metrics: RelayMetrics,
        seed: int | None = None,
    ):
        self.clock = clock
        self.view = view
        self.wire = wire
        self.runner = runner
        self.budget = budget
        self.metrics = metrics
        self.random = random.Random(seed)
        self.admission = Admission(clock, runner, seed)
        self.attempts = RelayAttempts(
            clock, view, wire, http, chooser, placement, budget
        )
        self.streams = RelayStreams(self.attempts, runner)

    async def handle(self, http: Request) -> Response:
        """Answer one request of a caller."""
        arrived_ms = self.clock.now_ms()
        request = self.wire.request(http)
        if isinstance(request, Refusal):
            return self._refused("", "", arrived_ms, request)
        job = self._admit(request, http, arrived_ms)
        if isinstance(job, Refusal):
            return self._refused(request.request_id, "", arrived_ms, job)
        self.budget.earn(job.service)
        finished = False
        try:
            refusal = await self._run_stages(job)
            if refusal is not None:
                response = self._refusal_of(job, refusal)
            elif job.route.kind is RouteKind.STREAM:
                response = await self.streams.serve(job, self._refusal_of, self._ended)
            else:
                outcome = await self.attempts.call(job)
                if isinstance(outcome, Refusal):
                    response = self._refusal_of(job, outcome)
                else:
                    self._ended(job, "answered", outcome.status)
                    response = outcome
            finished = True
            return response
        finally:
            if not finished:
                self._ended(job, "abandoned", 0)
            if not (finished and job.streaming):
                await self.runner.release_all(job.work, job.results)

    # Admission

    def _admit(
        self, request: RelayRequest, http: Request, arrived_ms: int
    ) -> RelayJob | Refusal:
        """Return the job of a request, or why it is refused."""
        table = self.view.table
        if table is None:
            return _unready(RefusalReason.NO_CONFIGURATION, "no text is known here")
        fresh = self.view.is_fresh
        route = table.find(request.host, http.path)
        if route is None:
            if not fresh:
                return _unready(RefusalReason.NO_CONFIGURATION, "the text may be old")
            return Refusal(RefusalReason.UNKNOWN_ROUTE, Verdict.NOT_RUN, http.path)
        workspace = None
        if table.demands_keys and not route.keyless:
            if not fresh:
                detail = f"keys confirmed {self.view.confirmation_age_ms} ms ago"
                return _unready(RefusalReason.KEYS_UNCONFIRMED, detail)
            workspace = table.workspaces_by_key.get(request.key)
            if workspace is None:
                return Refusal(RefusalReason.UNKNOWN_KEY, Verdict.NOT_RUN)
        if route.steps and len(request.pieces) != len(route.steps):
            detail = f"{len(request.pieces)} of {len(route.steps)} steps have pieces"
            return _unready(RefusalReason.NO_CONFIGURATION, detail)
        return self._job(request, http, route, workspace, arrived_ms)

    def _job(
        self,
        request: RelayRequest,
        http: Request,
        route: Route,
        workspace: WorkspaceKeys | None,
        arrived_ms: int,
    ) -> RelayJob:
        wait_ms = route.timeout_ms
        if request.remaining_ms is not None:
            wait_ms = min(wait_ms, request.remaining_ms)
        urgency = route.urgency
        if workspace is not None and workspace.urgency is not None:
            urgency = workspace.urgency
        return RelayJob(
            request=request,
            http=http,
            route=route,
            service=self._service(route),
            workspace=workspace.name if workspace is not None else "",
            urgency=min(max(urgency, 0), 9),
            revision=self.view.revision,
            confirmation_age_ms=self.view.confirmation_age_ms,
            arrived_ms=arrived_ms,
            aim_at_ms=arrived_ms + (route.aim_ms or wait_ms),
            end_at_ms=arrived_ms + wait_ms,
        )

    def _service(self, route: Route) -> str:
        """Return the service that runs a request, drawn by the route's weights."""
        rows = [row for row in route.services if row.weight > 0]
        if len(rows) == 1:
            return rows[0].service
        able = [row for row in rows if self.view.targets(row.service)] or rows
        weights = [row.weight for row in able]
        return self.random.choices(able, weights)[0].service

    # Stages

    async def _run_stages(self, job: RelayJob) -> Refusal | None:
        """Run the stages of a request; return why it cannot be run, or None."""
        if not any(job.request.pieces):
            return None
        for number in range(STAGE_ROUNDS):
            await self._plan(job)
            end_at_ms = job.first_event_at_ms
            job.work = StagedWork(
                request_id=job.request.request_id,
                steps=job.route.steps,
                pieces=job.request.pieces,
                key=job.request.piece_key,
                urgency=job.urgency,
                objective_at_ms=job.aim_at_ms - job.planned_ms,
                expires_at_ms=end_at_ms - job.planned_ms,
                round=number,
            )
            stages_ms = await self.runner.announce(job.work, job.data_centre)
            refusal = self.admission.judge(job, stages_ms)
            if refusal is not None:
                await self.runner.withdraw(job.work)
                return refusal
            refusal = await self.runner.run(job.work, job.data_centre, job.results)
            job.staged_ms = self.clock.now_ms()
            if refusal is None or refusal.reason is not RefusalReason.TARGET_FAILED:
                return refusal
            await job.restart_stages(self.runner)
        return refusal

    async def _plan(self, job: RelayJob) -> None:
        """Choose the data centre to run in, and note the expected time of the engine.

        Results are large and shared parts of prompts are dear to read again, so all
        stages run where the engine is.
        """
        placed = await self.attempts.place(job, begin=False)
        if not placed.target:
            # Without an engine the request is refused when it has none to choose.
            placed = Placed("", self.view.own_row.data_centre, int(FIRST_EVENT_MS))
        job.data_centre = placed.data_centre
        job.planned_ms = placed.expected_ms
        job.margin_ms = placed.margin_ms

    # Outcomes

    def _refused(
        self, request_id: str, route: str, arrived_ms: int, refusal: Refusal
    ) -> Response:
        """Return the answer to a request that was not admitted."""
        status = refusal_response(refusal).status
        self.metrics.refused(refusal.reason)
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
        return self._response(request_id, refusal, status)

    def _refusal_of(self, job: RelayJob, refusal: Refusal) -> Response:
        """Return the answer to an admitted request that is not answered."""
        late = self.clock.now_ms() >= job.end_at_ms
        if refusal.verdict is Verdict.NOT_RUN:
            status = STATUS_NOT_RUN
        else:
            status = STATUS_TOO_LATE if late else STATUS_MAY_HAVE_RUN
        self.metrics.refused(refusal.reason)
        self._ended(job, "refused", status, refusal)
        return self._response(job.request.request_id, refusal, status)

    def _response(self, request_id: str, refusal: Refusal, status: int) -> Response:
        response = refusal_response(refusal, status)
        headers = self.wire.refusal_headers(request_id, refusal)
        kept = [pair for pair in response.headers if pair[0] != "Retry-After"]
        return Response(status, response.body, (*kept, *headers))

    def _ended(
        self, job: RelayJob, outcome: str, status: int, refusal: Refusal | None = None
    ) -> None:
        """Log and count the end of a request."""
        now_ms = self.clock.now_ms()
        self.metrics.ended(outcome, str(job.route.kind), now_ms - job.arrived_ms)
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
            targets=list(job.tried),
            runs=job.runs,
            expected_ms=job.expected_ms,
            planned_ms=job.planned_ms,
            margin_ms=job.margin_ms,
            placed_ms=job.placed_ms,
            staged_ms=job.staged_ms - job.arrived_ms if job.staged_ms else 0,
            first_ms=job.first_ms - job.arrived_ms if job.first_ms else 0,
            took_ms=now_ms - job.arrived_ms,
            aim_ms=job.aim_at_ms - job.arrived_ms,
            deadline_ms=job.end_at_ms - job.arrived_ms,
        )


def _unready(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason, Verdict.NOT_RUN, detail, UNREADY_RETRY_MS)
