"""Books what an entry did with requests and attempts into accounts and metrics."""

from collections.abc import Callable
from typing import Any

import attrs

from wagtailrun import events
from wagtailrun.accounts import Accounts
from wagtailrun.clock import Clock
from wagtailrun.cost_cells import RequestOutcome, Usage, WorkKind
from wagtailrun.exceptions import Refusal, TargetFailed
from wagtailrun.fleet import FleetConfiguration, Price
from wagtailrun.membership import TargetRow
from wagtailrun.metrics import Metrics
from wagtailrun.ports.target import StageAnswer
from wagtailrun.retries import AttemptObserver
from wagtailrun.trace_recorder import TraceRecorder
from wagtailrun.work import Work

__all__ = ["Recorder", "RequestScope"]

MAX_MARKS = 10_000


@attrs.frozen
class RequestScope:
    """What a request is booked under; names that are not in the text are empty.

    Attributes:
        request_id: Identifier of the request.
        workspace: Workspace of the caller.
        started_ms: When the request arrived, on the clock.
        service: Service of a call.
        pipeline: Pipeline.
        call: Call of the service.
        key: Idempotency key of the caller, or empty.
        prompt_chars: Size of the request's body.
    """

    request_id: str
    workspace: str
    started_ms: int
    service: str = ""
    pipeline: str = ""
    call: str = ""
    key: str = ""
    prompt_chars: int = 0


class Recorder(AttemptObserver):
    """Books requests and attempts.

    Args:
        clock: Clock.
        accounts: Accounts of this entry.
        metrics: Metrics of this process.
        fleet: Returns the text in force, or None.
        trace: Records the requests, or None.
    """

    def __init__(
        self,
        clock: Clock,
        accounts: Accounts,
        metrics: Metrics,
        fleet: Callable[[], FleetConfiguration | None],
        trace: TraceRecorder | None = None,
    ):
        self.clock = clock
        self.accounts = accounts
        self.metrics = metrics
        self.fleet = fleet
        self.trace = trace
        # Work whose next attempt is a repeat, and targets of hedges, until it ends.
        self.repeated: dict[tuple[str, str], None] = {}
        self.hedged_at: dict[tuple[str, str], str] = {}

    def scope(
        self,
        request_id: str,
        workspace: str,
        service: str = "",
        pipeline: str = "",
        **more: Any,
    ) -> RequestScope:
        """Return what a request that arrives now is booked under."""
        fleet = self.fleet()
        if fleet is None:
            workspace = service = pipeline = ""
        else:
            workspace = workspace if workspace in fleet.workspaces_by_name else ""
            service = service if service in fleet.services_by_name else ""
            pipeline = pipeline if pipeline in fleet.pipelines_by_name else ""
        return RequestScope(
            request_id, workspace, self.clock.now_ms(), service, pipeline, **more
        )

    async def record_refusal(self, scope: RequestScope, refusal: Refusal) -> None:
        """Count a refusal; returns once the caller may be answered."""
        events.log(
            events.REQUEST_REFUSED,
            request_id=scope.request_id,
            workspace=scope.workspace,
            of=scope.pipeline or scope.service,
            reason=refusal.reason,
            verdict=refusal.verdict,
        )
        self.metrics.count_refusal(refusal.reason)
        self._observe(scope, RequestOutcome.REFUSED, 0)
        await self.accounts.count_refusal(
            scope.workspace,
            refusal.reason,
            service=scope.service,
            pipeline=scope.pipeline,
            request_id=scope.request_id,
        )

    def record_answer(
        self, scope: RequestScope, outcome: RequestOutcome, tokens: int = 0
    ) -> None:
        """Count a request that was answered, wholly or in part."""
        self._observe(scope, outcome, tokens)
        self.accounts.count_request(
            scope.workspace,
            outcome,
            self.clock.now_ms() - scope.started_ms,
            service=scope.service,
            pipeline=scope.pipeline,
        )

    def _observe(
        self, scope: RequestScope, outcome: RequestOutcome, tokens: int
    ) -> None:
        of = scope.pipeline or scope.service or "unknown"
        duration_ms = self.clock.now_ms() - scope.started_ms
        self.metrics.count_request(of, outcome, duration_ms)
        if self.trace is None or not scope.workspace:
            return
        if scope.pipeline:
            self.trace.record_arrival(
                scope.started_ms,
                scope.workspace,
                pipeline=scope.pipeline,
                prompt_chars=scope.prompt_chars,
                # What a refused request would have generated is not known.
                output=max(tokens, 1),
            )
        elif scope.service:
            self.trace.record_arrival(
                scope.started_ms,
                scope.workspace,
                service=scope.service,
                call=scope.call,
                key=scope.key,
            )

    def finished(
        self, work: Work, target: TargetRow, duration_ms: int, answer: StageAnswer
    ) -> None:
        """Book an attempt whose answer was used."""
        key = (work.request_id, work.stage)
        kind = WorkKind.FIRST
        if self.hedged_at.pop(key, None) == target.name:
            kind = WorkKind.HEDGE
        elif key in self.repeated:
            kind = WorkKind.RETRY
        self.repeated.pop(key, None)
        usage = Usage(
            answer.tokens_in, answer.tokens_out, answer.tokens_cached, answer.engine_ms
        )
        self._book(work, kind, usage, duration_ms)

    def retried(self, work: Work, target: TargetRow, error: TargetFailed) -> None:
        """Note that the next attempt is a repeat."""
        _remember(self.repeated, (work.request_id, work.stage), None)

    def hedged(self, work: Work, target: TargetRow) -> None:
        """Note that the attempt at ``target`` is a hedge."""
        _remember(self.hedged_at, (work.request_id, work.stage), target.name)

    def wasted(self, work: Work, target: TargetRow, duration_ms: int) -> None:
        """Book an attempt whose work is not used."""
        self._book(work, WorkKind.WASTED, Usage(), duration_ms)

    def _book(self, work: Work, kind: WorkKind, usage: Usage, duration_ms: int) -> None:
        fleet = self.fleet()
        service = fleet.services_by_name.get(work.service) if fleet else None
        # A removed service has no price any more; its last work is booked without.
        price = service.price if service else Price()
        self.metrics.count_attempt(work.service, kind, usage, duration_ms)
        self.accounts.count_attempt(
            work.workspace,
            kind,
            usage,
            price,
            service=work.service,
            stage=work.stage,
            pipeline=work.pipeline,
        )


def _remember(table: dict, key: tuple[str, str], value: Any) -> None:
    """Keep a mark; the oldest goes when requests ended without removing theirs."""
    if len(table) >= MAX_MARKS:
        del table[next(iter(table))]
    table[key] = value
