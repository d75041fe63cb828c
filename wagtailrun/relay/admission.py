"""Decides which requests with stages are begun while the stages are busy."""

import random

from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.relay.job import RelayJob
from wagtailrun.stages import StageRunner

__all__ = ["Admission"]

# An overload lasts for seconds; callers wait for a third of their time at most.
MIN_OVERLOAD_RETRY_MS = 1_000
RETRY_SPREAD = 1.6
# A late request is begun only if its pieces wait for less than this.
LATE_QUEUE_MS = 300
# The part of a caller's aim that a margin may take: with more, no request would wait
# for a stage, and the targets would idle between two calls.
MAX_MARGIN = 0.25


class Admission:
    """Begins a request, or refuses it with a time to come back.

    Args:
        clock: Clock.
        runner: Knows how long the stages of a request take.
        seed: Seed of the times to come back.
    """

    def __init__(self, clock: Clock, runner: StageRunner, seed: int | None = None):
        self.clock = clock
        self.runner = runner
        self.random = random.Random(seed)

    def judge(self, job: RelayJob, stages_ms: int | None) -> Refusal | None:
        """Return why a request is not begun, or None.

        One that can be in time is begun. One that will be late is worth a fraction and
        takes as much, so it is begun only while nothing else has to wait for it, and is
        told to come back otherwise: held here, its results would take up memory.
        """
        if stages_ms is None:
            detail = "a stage has no room in time"
            return self._overloaded(job, detail, MIN_OVERLOAD_RETRY_MS)
        now_ms = self.clock.now_ms()
        job.expected_ms = now_ms - job.arrived_ms + stages_ms + job.planned_ms
        detail = f"expected {job.expected_ms} ms"
        end_at_ms = job.first_event_at_ms
        first_at_ms = job.arrived_ms + job.expected_ms
        if first_at_ms > end_at_ms:
            return self._overloaded(job, detail, first_at_ms - end_at_ms)
        aim_ms = job.aim_at_ms - job.arrived_ms
        margin_ms = min(job.margin_ms, int(MAX_MARGIN * aim_ms))
        late_ms = first_at_ms + margin_ms - job.aim_at_ms
        queued_ms = stages_ms - self.runner.min_duration_ms(job.work)
        if late_ms > 0 and queued_ms > LATE_QUEUE_MS:
            return self._overloaded(job, f"{detail}, late", queued_ms)
        return None

    def _overloaded(self, job: RelayJob, detail: str, excess_ms: int) -> Refusal:
        """Return a refusal whose time to come back spreads the returns."""
        retry_ms = max(excess_ms, MIN_OVERLOAD_RETRY_MS)
        retry_ms = int(retry_ms * self.random.uniform(1.0, RETRY_SPREAD))
        return Refusal(RefusalReason.OVERLOADED, Verdict.NOT_RUN, detail, retry_ms)
