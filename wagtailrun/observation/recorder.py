"""Records the requests and attempts of an entry in accounts, metrics and the trace."""

from collections.abc import Callable
from typing import Any

import attrs

from wagtailrun.accounts.cells import RequestOutcome, Usage, WorkKind
from wagtailrun.accounts.counters import Accounts
from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, TargetFailed
from wagtailrun.fleet.model import FleetConfiguration, Price
from wagtailrun.logs import events
from wagtailrun.observation.metrics import Metrics
from wagtailrun.observation.trace_recorder import TraceRecorder
from wagtailrun.ports.target import StageAnswer
from wagtailrun.targets.attempt_observer import AttemptObserver
from wagtailrun.targets.table import TargetRow
from wagtailrun.targets.work import Work

__all__ = ["Recorder", "RequestScope"]

MAX_TRACKED_WORK = 10_000


@attrs.frozen
class RequestScope:
    """Names under which a request is recorded.

    Names that the fleet configuration does not have are empty.

    Attributes:
        request_id: Identifier of the request.
        workspace: Workspace of the caller.
        started_ms: Monotonic time at which the request arrived.
        service: Service that was called, or empty.
        pipeline: Pipeline that was called, or empty.
        call: Name of the service's call, or empty.
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
    """Records requests and attempts.

    Args:
        clock: Clock.
        accounts: Accounts of this entry.
        metrics: Metrics of this process.
        fleet: Returns the active fleet configuration, or None.
        trace: Records the requests for a replay, or None.
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
        # Work whose next attempt is a retry, and targets of hedged attempts, by request
        # and stage until the work ends.
        self.pending_retries: dict[tuple[str, str], None] = {}
        self.hedge_targets: dict[tuple[str, str], str] = {}

    def scope(
        self,
        request_id: str,
        workspace: str,
        service: str = "",
        pipeline: str = "",
        **more: Any,
    ) -> RequestScope:
        """Return the scope of a request that arrives now."""
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
        """Record a refusal; returns once the caller may be answered."""
        events.log(
            events.REQUEST_REFUSED,
            request_id=scope.request_id,
            workspace=scope.workspace,
            of=scope.pipeline or scope.service,
            reason=refusal.reason,
            verdict=refusal.verdict,
        )
        self.metrics.count_refusal(refusal.reason)
        self._observe_request(scope, RequestOutcome.REFUSED, 0)
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
        """Record a request that was answered, completely or in part."""
        self._observe_request(scope, outcome, tokens)
        self.accounts.count_request(
            scope.workspace,
            outcome,
            self.clock.now_ms() - scope.started_ms,
            service=scope.service,
            pipeline=scope.pipeline,
        )

    def _observe_request(
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
                # The output of a refused request is unknown.
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
        """Record an attempt whose answer was used."""
        key = (work.request_id, work.stage)
        kind = WorkKind.FIRST
        if self.hedge_targets.pop(key, None) == target.name:
            kind = WorkKind.HEDGE
        elif key in self.pending_retries:
            kind = WorkKind.RETRY
        self.pending_retries.pop(key, None)
        usage = Usage(
            answer.tokens_in, answer.tokens_out, answer.tokens_cached, answer.engine_ms
        )
        self._record_attempt(work, kind, usage, duration_ms)

    def retried(self, work: Work, target: TargetRow, error: TargetFailed) -> None:
        """Mark the next attempt as a retry."""
        _put_bounded(self.pending_retries, (work.request_id, work.stage), None)

    def hedged(self, work: Work, target: TargetRow) -> None:
        """Mark the attempt at ``target`` as a hedge."""
        _put_bounded(self.hedge_targets, (work.request_id, work.stage), target.name)

    def wasted(self, work: Work, target: TargetRow, duration_ms: int) -> None:
        """Record an attempt whose result is not used."""
        self._record_attempt(work, WorkKind.WASTED, Usage(), duration_ms)

    def _record_attempt(
        self, work: Work, kind: WorkKind, usage: Usage, duration_ms: int
    ) -> None:
        fleet = self.fleet()
        service = fleet.services_by_name.get(work.service) if fleet else None
        # A service that was removed meanwhile has no price; its work is free.
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


def _put_bounded(
    table: dict[tuple[str, str], Any], key: tuple[str, str], value: Any
) -> None:
    """Set a value; evict the oldest one if the table is full.

    Requests that end without an answer leave their values behind.
    """
    if len(table) >= MAX_TRACKED_WORK:
        del table[next(iter(table))]
    table[key] = value
