"""Admission control for requests with stages."""

import random

from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.relay.core.job import RelayJob
from wagtailrun.stages import StagedWork, StageRunner
from wagtailrun.targets.decisions import (
    NO_DECISIONS,
    Candidate,
    DecisionLog,
    DecisionPoint,
)

__all__ = ["AdmissionController"]

# An overload lasts for seconds, but callers accept a retry delay of at most a third of
# their remaining time.
MIN_OVERLOAD_RETRY_MS = 1_000
# Retry delays are multiplied by a random factor between 1 and this.
MAX_RETRY_JITTER = 1.6
# A request that will miss its latency objective is admitted only while its pieces would
# queue for less than this.
MAX_LATE_QUEUE_MS = 300
# Largest safety margin, as a share of the latency objective. With a larger margin no
# request would queue for a stage, and targets would be idle between two calls.
MAX_MARGIN_SHARE = 0.25


class AdmissionController:
    """Admits a request, or refuses it with a retry delay.

    Args:
        clock: Clock.
        runner: Estimates the duration of a request's stages.
        seed: Seed of the retry jitter.
        decisions: Is told what was decided about requests.
    """

    def __init__(
        self,
        clock: Clock,
        runner: StageRunner,
        seed: int | None = None,
        decisions: DecisionLog = NO_DECISIONS,
    ):
        self.clock = clock
        self.decisions = decisions
        self.runner = runner
        self.random = random.Random(seed)

    def check(
        self, job: RelayJob, work: StagedWork, stages_ms: int | None
    ) -> Refusal | None:
        """Return why a request is not admitted, or None if it is admitted.

        A request that can meet its latency objective is admitted. A late answer is
        worth a fraction of a timely one but costs as much, so a request that will be
        late is admitted only while stage queues are short. Otherwise it is refused with
        a retry delay instead of being held, because its results would occupy memory.

        Args:
            job: Request; its ``expected_ms`` is set.
            work: Its stages.
            stages_ms: Expected duration of the stages; None if a stage has no capacity
                before the deadline.
        """
        refusal = self._check(job, work, stages_ms)
        if self.decisions.enabled:
            self._record(job, stages_ms, refusal)
        return refusal

    def _record(
        self, job: RelayJob, stages_ms: int | None, refusal: Refusal | None
    ) -> None:
        """Tell the log what was decided, by the time left until the objective."""
        request = job.request.request_id
        left_ms = job.objective_at_ms - job.arrived_ms - job.expected_ms
        itself = Candidate(request, left_ms)
        if stages_ms is None:
            itself = Candidate(request, left_out="no-capacity")
        chosen, reason = "start", "in-time" if left_ms >= 0 else "short-queues"
        if refusal is not None:
            chosen, reason = "refuse", refusal.reason.value
        point = DecisionPoint.ADMISSION
        self.decisions.record(request, job.service, point, chosen, reason, [itself])

    def _check(
        self, job: RelayJob, work: StagedWork, stages_ms: int | None
    ) -> Refusal | None:
        if stages_ms is None:
            detail = "a stage has no capacity before the request's deadline"
            return self._overloaded(job, detail, MIN_OVERLOAD_RETRY_MS)
        now_ms = self.clock.now_ms()
        job.expected_ms = now_ms - job.arrived_ms + stages_ms + job.planned_ms
        detail = f"expected {job.expected_ms} ms"
        deadline_at_ms = job.first_event_deadline_at_ms
        first_at_ms = job.arrived_ms + job.expected_ms
        if first_at_ms > deadline_at_ms:
            return self._overloaded(job, detail, first_at_ms - deadline_at_ms)
        objective_ms = job.objective_at_ms - job.arrived_ms
        margin_ms = min(job.margin_ms, int(MAX_MARGIN_SHARE * objective_ms))
        late_ms = first_at_ms + margin_ms - job.objective_at_ms
        queued_ms = stages_ms - self.runner.min_duration_ms(work)
        if late_ms > 0 and queued_ms > MAX_LATE_QUEUE_MS:
            return self._overloaded(job, f"{detail}, late", queued_ms)
        return None

    def _overloaded(self, job: RelayJob, detail: str, excess_ms: int) -> Refusal:
        """Return a refusal whose random retry delay spreads the retries."""
        retry_ms = max(excess_ms, MIN_OVERLOAD_RETRY_MS)
        retry_ms = int(retry_ms * self.random.uniform(1.0, MAX_RETRY_JITTER))
        return Refusal(RefusalReason.OVERLOADED, Verdict.NOT_RUN, detail, retry_ms)
