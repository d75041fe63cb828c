"""Log lines and sums of the steps that ended at the owner of their service."""

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events
from wagtailrun.logs.step_fields import DURATION_NAMES
from wagtailrun.routes import StageCapacity
from wagtailrun.stages.job import Job
from wagtailrun.stages.step_times import Phase

__all__ = ["StepLog"]

# The sums of a service appear in the lines of its calls at most this often.
SUMS_INTERVAL_MS = MS_PER_SECOND
# A step that was done in time has a line of its own if it waited for its turn for more
# than this share of the time to its latency objective. A line for each step would make
# the log half as large again.
LONG_WAIT_SHARE = 0.5


class StepLog:
    """Counts the steps of one service that ended, and logs those that lost time.

    Steps that were abandoned, were late, or waited for long have a line each. The sums
    include all steps.

    Args:
        service: Name of the service.
    """

    def __init__(self, service: str):
        self.service = service
        self.steps = 0
        self.ms_by_phase = [0] * len(Phase)
        # When the first step of the sums ended.
        self.first_ended_ms = 0
        self.next_sums_ms = 0

    def record_abandoned(self, job: Job, queue_ms: int | None) -> None:
        """Count and log a step that ended without its results.

        Args:
            job: The step, whose state and time of end are known.
            queue_ms: Expected queueing delay of new pieces; None without a target.
        """
        self._close(job, job.ended_ms)
        events.log(
            events.PIECES_ABANDONED,
            request_id=job.message.request_id,
            step=job.message.step,
            service=self.service,
            data_centre=job.message.data_centre,
            state=str(job.state),
            detail=job.detail,
            waited_ms=job.ended_ms - job.expires_at_ms + job.message.remaining_ms,
            queue_ms=queue_ms,
            pieces=len(job.message.pieces),
            **job.times.fields(),
        )

    def record_ended(self, job: Job, state: str, detail: str, now_ms: int) -> None:
        """Count a step that is done or moved, and log it if it lost time; once.

        Args:
            job: The step.
            state: "done", "untaken" if nobody took the results, or "moved" if the next
                owner of the service runs it.
            detail: Why it ended so.
            now_ms: When it ended.
        """
        times = job.times
        if times.is_closed:
            return
        self._close(job, now_ms)
        late_ms = job.ended_ms - job.objective_at_ms
        aim_ms = job.objective_at_ms - job.requested_ms
        waited_long = times.turn_ms > aim_ms * LONG_WAIT_SHARE
        if state == "done" and late_ms <= 0 and not waited_long:
            return
        events.log(
            events.STEP_ENDED,
            request_id=job.message.request_id,
            step=job.message.step,
            service=self.service,
            data_centre=job.message.data_centre,
            state=state,
            detail=detail,
            late_ms=late_ms,
            pieces=len(job.message.pieces),
            **times.fields(),
        )

    def _close(self, job: Job, now_ms: int) -> None:
        times = job.times
        times.close(now_ms)
        if not self.steps:
            self.first_ended_ms = now_ms
        self.steps += 1
        for phase, ms in enumerate(times.ms_by_phase):
            self.ms_by_phase[phase] += ms

    def take_sums(self, capacity: StageCapacity, now_ms: int) -> dict[str, object]:
        """Return the sums since the last ones as a field, or nothing before their time.

        ``span_ms`` tells how long before this line their first step ended.

        Args:
            capacity: Capacity of one target, which the sums name.
            now_ms: Reading of the clock.
        """
        if not self.steps or now_ms < self.next_sums_ms:
            return {}
        sums = {"steps": self.steps, "span_ms": now_ms - self.first_ended_ms}
        sums |= {"batch": capacity.batch, "slots": capacity.slots}
        for phase, name in enumerate(DURATION_NAMES):
            if ms := self.ms_by_phase[phase]:
                sums[name] = ms
        self.steps = 0
        self.ms_by_phase = [0] * len(Phase)
        self.next_sums_ms = now_ms + SUMS_INTERVAL_MS
        return {"ended": sums}
