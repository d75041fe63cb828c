"""Forecasts which requests end before a process that stops does."""

from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, RefusalReason
from wagtailrun.relay.core.job import RelayJob
from wagtailrun.relay.placement.answer_times import COVERED_SHARE, TYPICAL_SHARE
from wagtailrun.relay.stopping.running_jobs import RunningJobs
from wagtailrun.routes import RouteKind
from wagtailrun.stopping.plan import StopPlan
from wagtailrun.stopping.running_requests import STOPPING_RETRY_MS

__all__ = ["StopForecast"]

# Requests that are remembered as refused; a stop lasts for some seconds.
MAX_REFUSED = 4_096


class StopForecast:
    """Tells which requests cannot end before the process does.

    Nothing is forecast without a stop, or of answers of which the caller has a part.

    Args:
        clock: Clock.
        running: How long answers take.
    """

    def __init__(self, clock: Clock, running: RunningJobs):
        self.clock = clock
        self.running = running
        # Set when a planned stop begins.
        self.stop: StopPlan | None = None
        self._refused_digests: set[str] = set()

    def recognise(self, job: RelayJob) -> None:
        """Find out whether a request comes again that was refused here before.

        The load balancer may still send it to no other entry. So it is refused again
        only if it is likely to be cut.
        """
        if self._refused_digests:
            job.came_back = job.digest in self._refused_digests

    def refusal(self, job: RelayJob) -> Refusal | None:
        """Return the refusal of a request that is not to be sent any more, else None.

        It would be cut, or end with a failure, so another entry has to serve it.
        """
        if self.stop is None or job.streaming:
            return None
        share = TYPICAL_SHARE if job.came_back else COVERED_SHARE
        expected_ms = self._expected_ms(job, share)
        left_ms = self._left_ms(job, self.stop)
        if expected_ms <= left_ms and not job.ended_by_stop:
            return None
        if len(self._refused_digests) < MAX_REFUSED:
            self._refused_digests.add(job.digest)
        return Refusal(
            RefusalReason.DRAINING,
            job.verdict,
            f"this entry ends in {left_ms} ms, and the request is expected to take "
            f"{expected_ms} ms",
            STOPPING_RETRY_MS,
        )

    def is_hopeless(self, job: RelayJob) -> bool:
        """Return whether to end a request that waits now, so that another entry has it.

        One that was sent and must not run twice is waited for: its caller could not
        send it again.
        """
        if self.stop is None or job.streaming:
            return False
        if not job.runs:
            return self.refusal(job) is not None
        expected_ms = self._expected_ms(job, TYPICAL_SHARE)
        return job.route.repeatable and expected_ms > self._left_ms(job, self.stop)

    def _left_ms(self, job: RelayJob, stop: StopPlan) -> int:
        """Return until when an answer may take that ends before the process does."""
        is_stream = job.route.kind is RouteKind.STREAM
        ends_ms = stop.ends_ms if is_stream else stop.answers_end_ms
        return ends_ms - self.clock.now_ms()

    def _expected_ms(self, job: RelayJob, share: float) -> int:
        """Return how long a request still takes.

        Args:
            job: Request.
            share: Share of the newest answers that the estimate covers.
        """
        answer_ms = self.running.answer_ms(job, share)
        now_ms = self.clock.now_ms()
        is_stream = job.route.kind is RouteKind.STREAM
        if job.sent_ms is not None and job.runs:
            began_ms = job.sent_ms + (job.placed_ms if is_stream else 0)
        else:
            first_event_ms = (job.placed_ms or job.planned_ms) if is_stream else 0
            began_ms = now_ms + first_event_ms
            if job.work is not None and not job.staged_ms:
                staged_ms = job.expected_ms - job.planned_ms
                began_ms = max(began_ms, job.arrived_ms + staged_ms + first_event_ms)
        if is_stream:
            # The estimate of another answer begins when it is sent.
            began_ms = max(began_ms, now_ms)
        return began_ms + answer_ms - now_ms
