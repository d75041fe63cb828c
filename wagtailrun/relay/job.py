"""State of one relayed request on its way through an entry."""

from typing import TYPE_CHECKING

import attrs

from wagtailrun.adapters.http_server import Request
from wagtailrun.relay.port import RelayRequest
from wagtailrun.routes import Route
from wagtailrun.stages import StagedWork, StageResults

if TYPE_CHECKING:
    from wagtailrun.stages import StageRunner

__all__ = ["RelayJob"]


@attrs.define
class RelayJob:
    """One request from its admission to its end.

    Attributes:
        request: What the caller asked, in the words of this system.
        http: The request as it came.
        route: Its route.
        service: Service that runs it.
        workspace: Workspace of the caller, or empty.
        urgency: Rank, 0 to 9; 0 goes first.
        revision: Revision of the text that admitted it.
        confirmation_age_ms: Age of the text's last confirmation at that time.
        arrived_ms: When it was read, on the clock.
        aim_at_ms: Until when the caller counts the answer as good.
        end_at_ms: When the caller's wait, or the route's, is over.
        data_centre: Where its stages run.
        expected_ms: Expected time to its first event when its stages began.
        planned_ms: Part of it that is the engine's.
        margin_ms: How much longer than expected most requests of the route take.
        work: Its stages, if it has any.
        results: Results of its stages.
        tried: Targets that were given it, or refused a connection, in order.
        runs: Attempts that may have run.
        placed_ms: Expected time from its newest attempt to the first event.
        staged_ms: When its stages were done.
        first_ms: When its first event, or its answer, came.
        streaming: Whether its answer is being passed on as a stream.
        detail: What went wrong on the way.
    """

    request: RelayRequest
    http: Request
    route: Route
    service: str
    workspace: str
    urgency: int
    revision: int
    confirmation_age_ms: int
    arrived_ms: int
    aim_at_ms: int
    end_at_ms: int
    data_centre: str = ""
    expected_ms: int = 0
    planned_ms: int = 0
    margin_ms: int = 0
    work: StagedWork | None = None
    results: StageResults = attrs.field(factory=StageResults)
    tried: list[str] = attrs.field(factory=list)
    runs: int = 0
    placed_ms: int = 0
    staged_ms: int = 0
    first_ms: int = 0
    streaming: bool = False
    detail: str = ""

    @property
    def first_event_at_ms(self) -> int:
        """When the caller gives up on a stream that has not begun."""
        return min(self.end_at_ms, self.arrived_ms + self.route.patience_ms)

    @property
    def may_run_again(self) -> bool:
        """Whether one more attempt may run, as far as the route is concerned."""
        return self.route.repeatable and self.runs < self.route.max_attempts

    @property
    def went_as_planned(self) -> bool:
        """Whether it was planned, and no step or run of it failed so far."""
        again = self.runs > 1 or self.work is not None and self.work.round > 0
        return self.expected_ms > 0 and not again

    @property
    def inputs(self) -> tuple[str, ...] | None:
        """Handles that the target needs; None if the route has no stages."""
        if not self.route.steps:
            return None
        return self.results.final_handles(self.work) if self.work else ()

    def result_bytes(self) -> dict[str, int]:
        """Return the sizes of the results that the target needs, by data centre."""
        sizes: dict[str, int] = {}
        for number in self.results.unreleased_steps:
            size = self.route.steps[number].result_bytes
            for result in self.results.results_by_step[number]:
                place = result.data_centre
                sizes[place] = sizes.get(place, 0) + size
        return sizes

    async def restart_stages(self, runner: "StageRunner") -> None:
        """Give up all results, so that the stages can run anew."""
        await runner.release_all(self.work, self.results)
        self.results = StageResults()
