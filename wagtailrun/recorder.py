"""Books what an entry did with requests and attempts into accounts and metrics."""

from collections.abc import Callable

import attrs

from wagtailrun import events
from wagtailrun.accounts import Accounts
from wagtailrun.clock import Clock
from wagtailrun.cost_cells import RequestOutcome
from wagtailrun.exceptions import Refusal
from wagtailrun.fleet import FleetText
from wagtailrun.metrics import Metrics

__all__ = ["Recorder", "RequestScope"]


@attrs.frozen
class RequestScope:
    """What a request is booked under; names that are not in the text are empty.

    Attributes:
        request_id: Identifier of the request.
        workspace: Workspace of the caller.
        started_ms: When the request arrived, on the clock.
        service: Service of a call.
        pipeline: Pipeline.
    """

    request_id: str
    workspace: str
    started_ms: int
    service: str = ""
    pipeline: str = ""


class Recorder:
    """Books requests.

    Args:
        clock: Clock.
        accounts: Accounts of this entry.
        metrics: Metrics of this process.
        fleet: Returns the text in force, or None.
    """

    def __init__(
        self,
        clock: Clock,
        accounts: Accounts,
        metrics: Metrics,
        fleet: Callable[[], FleetText | None],
    ):
        self.clock = clock
        self.accounts = accounts
        self.metrics = metrics
        self.fleet = fleet

    def scope(
        self, request_id: str, workspace: str, service: str = "", pipeline: str = ""
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
            request_id, workspace, self.clock.now_ms(), service, pipeline
        )

    async def refused(self, scope: RequestScope, refusal: Refusal) -> None:
        """Count a refusal; returns once the caller may be answered."""
        events.log(
            events.REQUEST_REFUSED,
            request_id=scope.request_id,
            workspace=scope.workspace,
            of=scope.pipeline or scope.service,
            reason=refusal.reason,
            verdict=refusal.verdict,
        )
        self.metrics.refuse(refusal.reason)
        self._observe(scope, RequestOutcome.REFUSED)
        await self.accounts.refuse(
            scope.workspace,
            refusal.reason,
            service=scope.service,
            pipeline=scope.pipeline,
            request_id=scope.request_id,
        )

    def answered(self, scope: RequestScope, outcome: RequestOutcome) -> None:
        """Count a request that was answered, wholly or in part."""
        self._observe(scope, outcome)
        self.accounts.finish_request(
            scope.workspace,
            outcome,
            self.clock.now_ms() - scope.started_ms,
            service=scope.service,
            pipeline=scope.pipeline,
        )

    def _observe(self, scope: RequestScope, outcome: RequestOutcome) -> None:
        of = scope.pipeline or scope.service or "unknown"
        duration_ms = self.clock.now_ms() - scope.started_ms
        self.metrics.finish_request(of, outcome, duration_ms)
