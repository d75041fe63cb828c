"""Requests in progress at a relay entry, and the log of those that its end cuts."""

import curio

from wagtailrun.clock import Clock
from wagtailrun.logs import events
from wagtailrun.relay.core.job import RelayJob
from wagtailrun.relay.placement.answer_times import AnswerTimes

__all__ = ["RunningJobs"]

# Lines of one stop; event 103 has the number of all cut answers.
MAX_LOGGED_CUTS = 20


class RunningJobs:
    """Admitted requests until their ends, and how long their answers take.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.answer_times = AnswerTimes()
        # Those whose answers are relayed as streams have the task None.
        self.tasks_by_job: dict[RelayJob, curio.Task | None] = {}

    def add(self, job: RelayJob, task: curio.Task) -> None:
        """Record an admitted request and the task that will return its answer."""
        self.tasks_by_job[job] = task

    def record_head(self, job: RelayJob) -> None:
        """Record that a part of the answer may have been sent."""
        if job in self.tasks_by_job:
            self.tasks_by_job[job] = None

    def end(self, job: RelayJob, outcome: str, status: int) -> None:
        """Record the end of a request; one with a complete answer is a measurement."""
        self.tasks_by_job.pop(job, None)
        if outcome != "answered" or not job.first_ms or not 200 <= status < 300:
            return
        if job.request.last_event_id is not None:
            # The rest of a stream says nothing about a whole one.
            return
        began_ms = job.first_ms if job.streaming else job.sent_ms
        if began_ms is not None:
            self.answer_times.add(
                job.route.name,
                job.service,
                job.request.answer_tokens,
                self.clock.now_ms() - began_ms,
            )

    def answer_ms(self, job: RelayJob, share: float) -> int:
        """Return how long the answer to a request takes; 0 if nothing is known.

        The time of a stream begins with its first event, that of another answer when
        the request is sent.

        Args:
            job: Request.
            share: Share of the newest answers that the estimate covers.
        """
        return self.answer_times.expected_ms(
            job.route.name, job.service, job.request.answer_tokens, share
        )

    def log_cut(self, ends_ms: int, share: float) -> None:
        """Log the answers that the end of the process cuts.

        Args:
            ends_ms: When the process was to end, on the clock.
            share: Share of the newest answers that the logged estimate covers.
        """
        cut = [job for job, task in self.tasks_by_job.items() if task is None]
        for job in cut[:MAX_LOGGED_CUTS]:
            now_ms = self.clock.now_ms()
            events.log(
                events.ANSWER_CUT,
                request_id=job.request.request_id,
                route=job.route.name,
                service=job.service,
                target=job.tried_targets[-1] if job.tried_targets else "",
                resumable=job.route.resumable,
                runs=job.runs,
                progress=str(job.progress),
                arrived_ms=now_ms - job.arrived_ms,
                sent_ms=now_ms - job.sent_ms if job.sent_ms is not None else 0,
                first_ms=now_ms - job.first_ms if job.first_ms else 0,
                expected_ms=job.expected_ms,
                placed_ms=job.placed_ms,
                answer_tokens=job.request.answer_tokens,
                answer_ms=self.answer_ms(job, share),
                left_ms=ends_ms - job.arrived_ms,
                left_at_sending_ms=(
                    ends_ms - job.sent_ms if job.sent_ms is not None else 0
                ),
            )
