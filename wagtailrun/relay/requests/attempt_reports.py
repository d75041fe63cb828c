"""Reports how attempts ended to the choosers of their targets."""

from collections.abc import Callable

import curio

from wagtailrun.adapters.http_client import HttpClient, Reachability
from wagtailrun.clock import Clock
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address
from wagtailrun.relay.core.job import RelayJob
from wagtailrun.relay.core.placement_messages import RunBroken, RunOver
from wagtailrun.relay.core.port import AnswerProgress, TargetLoad
from wagtailrun.relay.core.request_identity import AnsweredRequests
from wagtailrun.relay.limits.crash_detector import SAFE_AFTER_FIRST_EVENT_MS
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.service import PlacementClient
from wagtailrun.targets.attempt_ends import RunOutcome, end_of_failure
from wagtailrun.targets.table import TargetRow

__all__ = ["AttemptReports"]

# A process that has ended refuses connections at once; a VM without power does not.
PROBE_TIMEOUT_MS = 300


class AttemptReports:
    """Reports the ends of attempts, and finds out whether targets are at fault.

    Where another entry carries the connection, silence says something about the target
    only if that entry did not stand still. The time of an answer counts only if this
    process did not either.

    Args:
        clock: Clock.
        http: Client with connections to targets.
        chooser: Chooses the targets of routes without prompt affinity.
        placement: Requests engines for routes with prompt affinity.
        answered: Requests that targets answered a moment ago.
        was_held_since: Returns whether the event loop of this process was held after a
            time on the clock.
    """

    def __init__(
        self,
        clock: Clock,
        http: HttpClient,
        chooser: TargetChooser,
        placement: PlacementClient,
        answered: AnsweredRequests,
        was_held_since: Callable[[int], bool],
    ):
        self.clock = clock
        self.http = http
        self.chooser = chooser
        self.placement = placement
        self.answered = answered
        self.was_held_since = was_held_since

    async def record_end(
        self,
        job: RelayJob,
        row: TargetRow,
        outcome: RunOutcome,
        first_event_ms: int = 0,
        load: TargetLoad | None = None,
    ) -> None:
        """Report how an attempt at ``row`` ended to the chooser of its target.

        Args:
            job: Request.
            row: Target.
            outcome: How the attempt ended.
            first_event_ms: Time to its first event or its answer; 0 if there is none,
                or if the time is not that of the target.
            load: Load that the target reported, if any.
        """
        if job.route.prompt_affinity:
            load = load or TargetLoad(0, 0, 0)
            now_ms = self.clock.now_ms()
            message = RunOver(
                job.request.request_id,
                job.service,
                row.name,
                outcome,
                first_event_ms,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
                route=job.route.name if job.went_as_planned else "",
                error_ms=now_ms - job.arrived_ms - job.expected_ms,
            )
            await self.placement.report_end(message)
            return
        if outcome is RunOutcome.SUCCEEDED:
            objective_ms = max(job.objective_at_ms - job.arrived_ms, 1)
            # A target that is not overloaded answers within half the objective.
            slowness = first_event_ms / (objective_ms / 2)
            self.chooser.health.record_success(
                row, slowness if first_event_ms else None
            )
        self.chooser.health.record_outcome(row, outcome)

    async def record_success(
        self, job: RelayJob, row: TargetRow, started_ms: int, load: TargetLoad | None
    ) -> None:
        """Report an attempt whose answer, or first event, has arrived.

        Args:
            job: Request.
            row: Target.
            started_ms: When it was sent, on the clock.
            load: Load that the target reported, if any.
        """
        took_ms = max(self.clock.now_ms() - started_ms, 1)
        if self.was_held_since(started_ms):
            # The time is that of this process.
            took_ms = 0
        expected_ms = job.placed_ms or (job.objective_at_ms - job.arrived_ms) // 2
        carrier = job.carrier

        async def record_if_own() -> None:
            is_own = await self._is_own_time(row, carrier, started_ms)
            first_event_ms = took_ms if is_own else 0
            await self.record_end(job, row, RunOutcome.SUCCEEDED, first_event_ms, load)

        if carrier is None or took_ms <= expected_ms:
            await self.record_end(job, row, RunOutcome.SUCCEEDED, took_ms, load)
        else:
            # The caller does not wait for the entry that carried the answer.
            await curio.spawn(record_if_own, daemon=True)

    async def record_failure(
        self, job: RelayJob, row: TargetRow, error: TargetFailed
    ) -> None:
        """Report an attempt without a usable answer."""
        if error.closed:
            await self._record_closed(job, row)
        elif error.timed_out and job.carrier is not None and job.sent_ms is not None:
            # The next attempt does not wait for the entry that carried this one.
            await curio.spawn(
                self._record_silence, job, row, job.carrier, job.sent_ms, daemon=True
            )
        else:
            await self.record_end(job, row, end_of_failure(error).outcome)

    async def _record_silence(
        self, job: RelayJob, row: TargetRow, carrier: Address, sent_ms: int
    ) -> None:
        is_own = await self._is_own_time(row, carrier, sent_ms)
        outcome = RunOutcome.FAILED if is_own else RunOutcome.OVER
        await self.record_end(job, row, outcome)

    async def _is_own_time(
        self, row: TargetRow, carrier: Address | None, sent_ms: int
    ) -> bool:
        """Return whether the time since a request was sent is that of the target."""
        return await self.http.connector.confirms_silence(row.address, carrier, sent_ms)

    async def _record_closed(self, job: RelayJob, row: TargetRow) -> None:
        """Report an attempt whose connection was closed, by the target or the path.

        A target that accepts connections has not crashed: it, or the network, closed
        this one. Where the path is lost, nothing is known of the target.
        """
        found = await self.http.connector.probe(row.address, PROBE_TIMEOUT_MS)
        is_path = not self.http.connector.may_reuse(row.address)
        if not is_path and job.carrier is not None and job.sent_ms is not None:
            is_path = not await self._is_own_time(row, job.carrier, job.sent_ms)
        if found is Reachability.UNKNOWN or is_path:
            await self.record_end(job, row, RunOutcome.OVER)
        else:
            await self.record_end(job, row, RunOutcome.FAILED)
        if found in (Reachability.REFUSES, Reachability.SILENT):
            await self._record_break(job, row, found is Reachability.REFUSES)

    async def _record_break(self, job: RelayJob, row: TargetRow, refused: bool) -> None:
        """Report a broken attempt at a target that may have crashed.

        Args:
            job: Request.
            row: Target.
            refused: Whether it refuses connections.
        """
        since_ms = self.clock.now_ms() - job.first_ms if job.first_ms else 0
        # A target that has sent events for a while does not end because of the request.
        may_be_cause = refused and (
            job.progress is not AnswerProgress.EVENTS
            or since_ms < SAFE_AFTER_FIRST_EVENT_MS
        )
        waits = job.route.prompt_affinity and job.progress is AnswerProgress.NOTHING
        if may_be_cause and not waits:
            job.crashes += 1
        message = RunBroken(
            job.request.request_id,
            job.service,
            row.name,
            row.incarnation,
            str(row.address),
            tuple(part.name for part in job.request.parts[:-1]),
            job.progress,
            since_ms,
            job.digest
            if may_be_cause and not self.answered.includes(job.digest)
            else "",
            refused,
        )
        if job.route.prompt_affinity:
            await self.placement.report_break(message)
        elif refused:
            # The next attempt is not placed by the owner and need not wait for it.
            await curio.spawn(self.placement.report_break, message, daemon=True)
