"""Choice of the target of the next attempt, or the refusal if there is none."""

from collections.abc import Callable, Collection

from wagtailrun.clock import Clock
from wagtailrun.discovery import FleetView
from wagtailrun.discovery.quarantine import CRASHES_TO_HOLD, FIRST_HOLD_MS, digest_part
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.relay.core.job import RelayJob
from wagtailrun.relay.core.placement_messages import (
    Placed,
    PlaceRun,
    PlaceSize,
    RunOver,
)
from wagtailrun.relay.core.request_identity import AnsweredRequests
from wagtailrun.relay.limits.notices import TargetNotices
from wagtailrun.relay.placement.choice import TargetChooser
from wagtailrun.relay.placement.service import PlacementClient
from wagtailrun.relay.requests.evacuated_services import evacuated_refusal
from wagtailrun.targets.attempt_ends import RunOutcome
from wagtailrun.targets.decisions import DecisionPoint
from wagtailrun.targets.table import TargetRow

__all__ = ["RETRY_AFTER_MS", "TargetSelection"]

# Retry delay of refusals because no target is usable, the retry budget is exhausted or
# keys are unconfirmed.
RETRY_AFTER_MS = 300
# Retry delay while all targets are in data centres that are away. A cut lasts seconds,
# and the entry notices its end within a second.
AWAY_RETRY_MS = 1_500
# A request waits no longer than this until an engine has read a part of its prompt for
# another one. As that may be sooner than expected, it asks again after this part of the
# expected time, and after this time at the earliest.
MAX_PART_WAIT_MS = 2_000
PART_LOOKS = 3
PART_LOOK_MS = 40
# An objective that is further away than this is no bound.
MAX_LEFT_MS = 3_600_000


class TargetSelection:
    """Selects targets for attempts, and says why a request can have none.

    Args:
        clock: Clock.
        view: This entry's view of the fleet.
        chooser: Chooses the targets of routes without prompt affinity.
        placement: Requests engines for routes with prompt affinity.
        notices: What targets told this VM.
        answered: Requests that targets answered a moment ago.
        stop_refusal: Returns the refusal of a request that would outlast the process,
            else None.
    """

    def __init__(
        self,
        clock: Clock,
        view: FleetView,
        chooser: TargetChooser,
        placement: PlacementClient,
        notices: TargetNotices,
        answered: AnsweredRequests,
        stop_refusal: Callable[[RelayJob], Refusal | None],
    ):
        self.clock = clock
        self.view = view
        self.chooser = chooser
        self.placement = placement
        self.notices = notices
        self.answered = answered
        self.stop_refusal = stop_refusal

    async def next_target(self, job: RelayJob) -> TargetRow | Refusal:
        """Return the target of the next attempt, or why there is none.

        A request whose targets all take no requests now waits for the first of them if
        it can still meet its latency objective.
        """
        found = await self._find_target(job)
        if isinstance(found, Refusal):
            verdict, reason = found.verdict.value, found.reason.value
            self._record(job, DecisionPoint.REFUSAL, verdict, reason)
        return found

    def _record(
        self, job: RelayJob, point: DecisionPoint, chosen: str, reason: str
    ) -> None:
        log = self.chooser.decisions
        if log.enabled:
            log.record(job.request.request_id, job.service, point, chosen, reason)

    async def _find_target(self, job: RelayJob) -> TargetRow | Refusal:
        has_waited = False
        while True:
            refusal = self.send_refusal(job) or self.quarantine_refusal(job)
            if refusal is not None:
                return refusal
            if has_waited and self._is_too_late(job):
                return self._too_late_refusal(job)
            if not has_waited and self._is_behind(job):
                has_waited = True
                await self._wait(job, 0)
                continue
            row = await self._choose_target(job)
            if row is not None:
                return row
            if job.retry_unreached(self.clock.now_ms()):
                continue
            refusal = self.pause_refusal(job)
            if refusal is not None:
                return refusal
            paused_ms = self._soonest_return_ms(job)
            if paused_ms is None:
                return self.no_target_refusal(job)
            self._record(job, DecisionPoint.ADMISSION, "wait", "paused")
            # 0 if a pause has ended since the choice.
            await self._wait(job, paused_ms)
            has_waited = True

    def _is_behind(self, job: RelayJob) -> bool:
        """Return whether requests that arrived earlier wait for the same targets."""
        return self.notices.line.is_behind(
            self._target_service(job), job.urgency, job.deadline_at_ms
        )

    async def _wait(self, job: RelayJob, wait_ms: int) -> None:
        """Wait until the first target takes requests again, and for its turn there."""
        if self._has_brittle_targets(job):
            await self.notices.line.wait(
                self._target_service(job), job.urgency, job.deadline_at_ms, wait_ms
            )
        else:
            await self.clock.sleep_ms(wait_ms)

    def _has_brittle_targets(self, job: RelayJob) -> bool:
        return any(self.notices.is_brittle(row) for row in self._targets(job))

    def _is_too_late(self, job: RelayJob) -> bool:
        """Return whether a request waited too long for room at brittle targets.

        One that is given up at its deadline occupies a place for nothing, and beyond
        that until the target notices.
        """
        if job.planned_ms or not self._has_brittle_targets(job):
            # The refusal for a pause heeds the planned time.
            return False
        run_ms = self.notices.line.run_ms(self._target_service(job))
        needed_ms = min(run_ms, (job.deadline_at_ms - job.arrived_ms) / 2)
        return job.deadline_at_ms - self.clock.now_ms() < needed_ms

    def _too_late_refusal(self, job: RelayJob) -> Refusal:
        detail = f"no target of {job.service} had room in time"
        return Refusal(RefusalReason.OVERLOADED, job.verdict, detail, RETRY_AFTER_MS)

    @staticmethod
    def _target_service(job: RelayJob) -> str:
        return job.origin.service if job.origin is not None else job.service

    def no_target_refusal(self, job: RelayJob) -> Refusal:
        """Return the refusal of a request that no target can run, or continue."""
        refusal = self.away_refusal(job)
        if refusal is not None:
            return refusal
        detail = job.detail or f"no target of {job.service} is known"
        if job.origin is not None:
            detail = (
                f"no target of {job.origin.service} can continue a stream that began "
                f"at {job.origin.target} with software version "
                f"{job.origin.software_version!r}"
            )
        return Refusal(RefusalReason.NO_TARGET, job.verdict, detail, RETRY_AFTER_MS)

    def away_refusal(self, job: RelayJob) -> Refusal | None:
        """Return the refusal of a request whose targets nobody may use, else None.

        They are in data centres that nobody reaches, or that are evacuated.
        """
        if self._targets(job):
            return None
        service = self._target_service(job)
        refusal = evacuated_refusal(self.view, service, job.verdict)
        away = self.view.away_data_centres
        if refusal is not None or not away:
            return refusal
        detail = f"no target of {job.service} outside {sorted(away)}, which are away"
        return Refusal(RefusalReason.NO_TARGET, job.verdict, detail, AWAY_RETRY_MS)

    def pause_refusal(self, job: RelayJob) -> Refusal | None:
        """Return the refusal of a request whose targets take no requests now.

        They asked for a pause, or name a limit that is used up.

        Returns:
            None if one of them may be used, or will be soon enough for the request to
            meet its latency objective.
        """
        paused_ms = self._soonest_return_ms(job)
        left_ms = job.objective_at_ms - self.clock.now_ms()
        if paused_ms is not None:
            if not paused_ms or paused_ms + (job.planned_ms or left_ms // 2) <= left_ms:
                return None
        else:
            # Each target was tried; some may have asked for a pause then.
            paused = [self.paused_ms(job, row) for row in self._targets(job)]
            paused_ms = min(filter(None, paused), default=0)
            if not paused_ms:
                return None
        detail = f"no target of {job.service} takes requests for {paused_ms} ms"
        return Refusal(RefusalReason.OVERLOADED, job.verdict, detail, paused_ms)

    def _soonest_return_ms(self, job: RelayJob) -> int | None:
        """Return when the first target that was not tried may be used.

        Returns:
            Milliseconds, 0 if there is one now, None if all were tried.
        """
        rows = self._targets(job)
        untried = [row for row in rows if row.name not in job.tried_targets]
        return min((self.paused_ms(job, row) for row in untried), default=None)

    def paused_ms(self, job: RelayJob, row: TargetRow) -> int:
        """Return for how long a target takes no requests; 0 if it takes them now."""
        return self.notices.paused_ms(row.address, job.urgency)

    def usable_targets(self, job: RelayJob) -> list[TargetRow]:
        """Return the targets that take requests now."""
        return [row for row in self._targets(job) if not self.paused_ms(job, row)]

    def continue_refusal(self, job: RelayJob) -> Refusal | None:
        """Return why a stream that a caller takes up cannot go on now, else None."""
        refusal = self.send_refusal(job)
        if refusal is None and not self._targets(job):
            return self.no_target_refusal(job)
        return refusal

    def _targets(self, job: RelayJob) -> list[TargetRow]:
        """Return the targets that may run a request, or continue its stream."""
        if job.origin is not None:
            return self.view.targets_to_continue(job.origin, job.tried_targets)
        return self.view.targets(job.service)

    def send_refusal(self, job: RelayJob) -> Refusal | None:
        """Return why a request may not be sent now."""
        if self.clock.now_ms() >= job.deadline_at_ms:
            return Refusal(RefusalReason.DEADLINE, job.verdict, job.detail)
        if job.origin is not None and self.view.is_out_of_step:
            detail = (
                f"this entry last heard of targets {self.view.update_age_ms} ms ago, "
                "and a stream has to go on at the version that began it"
            )
            return Refusal(
                RefusalReason.ORIGIN_UNKNOWN, job.verdict, detail, RETRY_AFTER_MS
            )
        if job.workspace and not self.view.is_fresh and job.verdict is Verdict.NOT_RUN:
            detail = f"keys last confirmed {self.view.confirmation_age_ms} ms ago"
            return Refusal(
                RefusalReason.KEYS_UNCONFIRMED, job.verdict, detail, RETRY_AFTER_MS
            )
        return self.stop_refusal(job)

    def quarantine_refusal(self, job: RelayJob) -> Refusal | None:
        """Return the refusal of a request that is held back, else None."""
        quarantine = self.view.quarantine
        if not quarantine.evidence_by_key:
            return None
        refusal = self._crashing_request_refusal(job)
        if refusal is not None or not job.route.prompt_affinity:
            return refusal
        status = quarantine.status(digest_part(p.name) for p in job.request.parts[:-1])
        if not status.held_ms:
            return None
        return self.hold_refusal(job, status.held_ms, status.suspects)

    def _crashing_request_refusal(self, job: RelayJob) -> Refusal | None:
        """Return the refusal of a request under which targets crashed, else None."""
        held_ms = self.view.quarantine.request_held_ms(job.digest)
        if job.crashes >= CRASHES_TO_HOLD:
            held_ms = max(held_ms, FIRST_HOLD_MS)
        elif held_ms and self.answered.includes(job.digest):
            # It ran beside the cause of the crashes; others learn of it.
            self.view.quarantine.clear(job.digest, self.clock.now_ms())
            return None
        if not held_ms:
            return None
        detail = f"targets crashed under this request (digest {job.digest})"
        return Refusal(RefusalReason.QUARANTINED_REQUEST, job.verdict, detail, held_ms)

    def hold_refusal(
        self, job: RelayJob, held_ms: int, held_parts: Collection[str]
    ) -> Refusal:
        """Return the refusal of a prompt that the quarantine holds back.

        Args:
            job: Request.
            held_ms: How long it is held back.
            held_parts: Digests of the parts that explain crashes; empty if another
                prompt with one of its parts is tried first.
        """
        detail = "a prompt with a part that may crash engines is tried first"
        if held_parts:
            names = [part.name for part in job.request.parts]
            names = [name for name in names if digest_part(name) in held_parts]
            detail = f"engines crashed under prompts with the parts {names}"
        return Refusal(RefusalReason.QUARANTINED, job.verdict, detail, held_ms)

    async def _choose_target(self, job: RelayJob) -> TargetRow | Refusal | None:
        if not job.route.prompt_affinity:
            return self._choose_here(job, self.usable_targets(job))
        placed = await self.place(job, begin=True, may_wait=True)
        since_ms = self.clock.now_ms()
        while placed.part_wait_ms:
            pause_ms = max(placed.part_wait_ms // PART_LOOKS, PART_LOOK_MS)
            await self.clock.sleep_ms(min(pause_ms, placed.part_wait_ms))
            job.part_waited_ms = self.clock.now_ms() - since_ms
            refusal = self.send_refusal(job) or self.quarantine_refusal(job)
            if refusal is not None:
                return refusal
            may_wait = job.part_waited_ms < MAX_PART_WAIT_MS
            placed = await self.place(job, begin=True, may_wait=may_wait)
        # Targets may have left while the owner chose.
        rows = self.usable_targets(job)
        job.placed_ms, job.placed = placed.expected_ms, placed
        job.placed_by = self.placement.placer(job.request.request_id, placed.target)
        if placed.held_ms:
            return self.hold_refusal(job, placed.held_ms, placed.held_parts)
        for row in rows:
            if row.name == placed.target:
                sizes = job.result_bytes()
                job.moved_bytes = sum(sizes.values()) - sizes.get(row.data_centre, 0)
                return row
        if placed.target:
            # The owner chose a target that this entry does not know, because one of the
            # two has not received an update yet.
            await self.placement.report_end(
                RunOver(
                    job.request.request_id, job.service, placed.target, RunOutcome.OVER
                )
            )
        return self._choose_here(job, rows)

    def _choose_here(self, job: RelayJob, rows: list[TargetRow]) -> TargetRow | None:
        """Return the target that this entry chooses itself."""
        row = self.chooser.choose(rows, job.tried_targets)
        log, point = self.chooser.decisions, DecisionPoint.TARGET
        if log.enabled:
            chosen = row.name if row is not None else "none"
            log.record_choice(job.request.request_id, job.service, point, chosen)
        return row

    def _left_ms(self, job: RelayJob) -> int:
        """Return what is left until the latency objective, 1 if nothing."""
        left_ms = job.objective_at_ms - self.clock.now_ms()
        return min(max(left_ms, 1), MAX_LEFT_MS)

    async def place(
        self, job: RelayJob, *, begin: bool, may_wait: bool = False
    ) -> Placed:
        """Return the engine of the next attempt.

        Args:
            job: Request.
            begin: Whether the attempt starts now; otherwise nothing is recorded.
            may_wait: Whether it may be placed again after ``part_wait_ms`` of the reply
                instead.
        """
        sizes = job.result_bytes()
        rows = self._targets(job)
        paused = [row.name for row in rows if self.paused_ms(job, row)]
        return await self.placement.place(
            PlaceRun(
                request_id=job.request.request_id,
                service=job.service,
                parts=job.request.parts,
                prompt_tokens=job.request.prompt_tokens,
                avoid=(*job.tried_targets, *paused),
                results=tuple(PlaceSize(*item) for item in sorted(sizes.items())),
                begin=begin,
                route=job.route.name,
                software_version=job.origin.software_version if job.origin else "",
                left_ms=self._left_ms(job) if begin else 0,
                may_wait=may_wait,
            )
        )
