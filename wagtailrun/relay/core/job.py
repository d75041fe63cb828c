"""State of one relayed request in an entry."""

from typing import TYPE_CHECKING

import attrs

from wagtailrun.adapters.http_server import Request
from wagtailrun.discovery import StreamOrigin
from wagtailrun.exceptions import Verdict
from wagtailrun.ports.link import Address
from wagtailrun.relay.core.placement_messages import Placed
from wagtailrun.relay.core.port import AnswerProgress, RelayRequest
from wagtailrun.relay.core.request_identity import digest_request
from wagtailrun.routes import Route
from wagtailrun.stages import StagedWork, StageResults

if TYPE_CHECKING:
    from wagtailrun.stages import StageRunner

__all__ = ["RelayJob"]


# Compared by identity, as it is the key of maps.
@attrs.define(eq=False)
class RelayJob:
    """One request from its admission to its end.

    Times ending in ``_at_ms`` and ``arrived_ms``, ``sent_ms``, ``staged_ms`` and
    ``first_ms`` are readings of the entry's clock; the others are durations.

    Attributes:
        request: The caller's request, translated by the wire format.
        http_request: The HTTP request as received.
        route: Route of the request.
        service: Service that runs it.
        workspace: Workspace of the caller, or empty.
        urgency: Rank, 0 to 9; 0 goes first.
        revision: Revision of the fleet configuration that admitted it.
        confirmation_age_ms: Age of the configuration's last confirmation at that time.
        arrived_ms: When it was received.
        objective_at_ms: Until when the answer meets the caller's latency objective.
        deadline_at_ms: When the caller's or the route's timeout ends.
        data_centre: Data centre that its stages run in.
        expected_ms: Expected time from arrival to the first event, at admission.
        planned_ms: The engine's part of ``expected_ms``.
        margin_ms: Safety margin of the route on ``expected_ms``.
        work: Its stages, if any.
        results: Results of its stages.
        target_data_centre: Data centre of the target of the newest attempt.
        tried_targets: Targets that it was sent to, or that refused a connection, in
            order.
        unreached_targets: Those among them that no entry connected to, while one that
            may have a path did not reply in time.
        runs: Attempts that may have run.
        placed_ms: Expected time from the newest attempt to its first event.
        placed: Where that attempt was placed; None if the route has no affinity.
        placed_by: Entry that placed it.
        moved_bytes: Bytes of its results that this target fetches from other data
            centres.
        part_waited_ms: How long it waited until a target had read a part of its prompt.
        sent_ms: When the newest attempt was sent; None before.
        carrier: The entry that carries the newest attempt to its target, if any.
        staged_ms: When its stages were complete; 0 until then.
        paid_for_stages: Whether an attempt since then took a token of the retry budget,
            which pays for one more run of its stages, too.
        first_ms: When its first event or its answer arrived; 0 until then.
        attempt_timed_out: Whether the newest attempt was ended as it took too long.
        was_silent: Whether the newest attempt was on a connection that carried others
            before, and on which nothing arrived for ``MIN_STALL_MS`` or longer.
        ended_by_stop: Whether it was ended, as the process stops.
        came_back: Whether this entry refused it before in its planned stop.
        streaming: Whether its answer is being relayed as a stream.
        progress: How much of the answer to the newest attempt has arrived.
        detail: Description of the newest failure.
        crashes: Targets that ended while they ran it.
        carriers: Addresses of the entries that carried its attempts to targets.
        origin: Where its stream began; None until its first event. A stream that a
            caller takes up has the origin of its first part.
    """

    request: RelayRequest
    http_request: Request
    route: Route
    service: str
    workspace: str
    urgency: int
    revision: int
    confirmation_age_ms: int
    arrived_ms: int
    objective_at_ms: int
    deadline_at_ms: int
    data_centre: str = ""
    expected_ms: int = 0
    planned_ms: int = 0
    margin_ms: int = 0
    work: StagedWork | None = None
    results: StageResults = attrs.field(factory=StageResults)
    target_data_centre: str = ""
    tried_targets: list[str] = attrs.field(factory=list)
    unreached_targets: list[str] = attrs.field(factory=list)
    runs: int = 0
    placed_ms: int = 0
    placed: Placed | None = None
    placed_by: str = ""
    part_waited_ms: int = 0
    moved_bytes: int = 0
    sent_ms: int | None = None
    carrier: Address | None = None
    staged_ms: int = 0
    paid_for_stages: bool = False
    first_ms: int = 0
    attempt_timed_out: bool = False
    was_silent: bool = False
    ended_by_stop: bool = False
    came_back: bool = False
    streaming: bool = False
    progress: AnswerProgress = AnswerProgress.NOTHING
    detail: str = ""
    crashes: int = 0
    carriers: list[str] = attrs.field(factory=list)
    origin: StreamOrigin | None = None
    _digest: str = ""

    def record_carrier(self, carrier: Address | None) -> None:
        """Record the entry that carries the attempt that is sent now, if any."""
        self.carrier = carrier
        if carrier is not None:
            self.carriers.append(str(carrier))

    @property
    def digest(self) -> str:
        """Digest by which all entries recognise the request when it comes again."""
        if not self._digest:
            self._digest = digest_request(
                self.http_request, self.request.host, self.workspace
            )
        return self._digest

    @property
    def first_event_deadline_at_ms(self) -> int:
        """When the caller abandons a stream without a first event."""
        return min(
            self.deadline_at_ms, self.arrived_ms + self.route.first_event_timeout_ms
        )

    def retry_unreached(self, now_ms: int) -> bool:
        """Allow attempts at unreached targets again; return whether there are any.

        In the second half of the request's time a refusal is better, as it leaves the
        caller time to turn to another entry.
        """
        left_ms = self.first_event_deadline_at_ms - now_ms
        if not self.unreached_targets or now_ms - self.arrived_ms >= left_ms:
            return False
        for name in self.unreached_targets:
            self.tried_targets.remove(name)
        self.unreached_targets.clear()
        return True

    @property
    def verdict(self) -> Verdict:
        """Verdict of the request, if it is refused now."""
        return Verdict.MAY_HAVE_RUN if self.runs else Verdict.NOT_RUN

    @property
    def may_run_again(self) -> bool:
        """Whether the route allows one more attempt to run."""
        return self.route.repeatable and self.runs < self.route.max_attempts

    @property
    def went_as_planned(self) -> bool:
        """Whether it was planned and neither stages nor attempts were repeated."""
        repeated = self.runs > 1 or self.work is not None and self.work.round > 0
        return self.expected_ms > 0 and not repeated

    @property
    def inputs(self) -> tuple[str, ...] | None:
        """Handles of the results that the target must fetch; None without stages."""
        if not self.route.steps:
            return None
        return self.results.final_handles(self.work) if self.work else ()

    @property
    def has_released_results(self) -> bool:
        """Whether results that the target must fetch were released."""
        work, results = self.work, self.results
        return work is not None and any(
            results.handles(number) and number not in results.unreleased_steps
            for number in range(len(work.steps))
            if not work.dependents(number)
        )

    def result_bytes(self) -> dict[str, int]:
        """Return the bytes of results that the target must fetch, by data centre."""
        sizes: dict[str, int] = {}
        for number in self.results.unreleased_steps:
            size = self.route.steps[number].result_bytes
            for result in self.results.results_by_step[number]:
                location = result.data_centre
                sizes[location] = sizes.get(location, 0) + size
        return sizes

    async def discard_results(self, runner: "StageRunner") -> None:
        """Release all results, so that the stages can run again."""
        await runner.release_all(self.work, self.results)
        self.results = StageResults()
        self.staged_ms = 0
        self.paid_for_stages = False
