"""Logs when a process reaches each step of its start, once for each."""

from enum import StrEnum

from wagtailrun.clock import Clock
from wagtailrun.logs import events

__all__ = ["StartStep", "StartSteps"]

# Lines of one process. Services are the only subjects whose number grows.
MAX_LINES = 64


class StartStep(StrEnum):
    """Steps of the start of a relay process that no other event shows."""

    # At a control member: a leader confirmed what the member has applied.
    READS_CONFIRMED = "reads-confirmed"
    # At an entry.
    MEMBER_REPLIED = "member-replied"
    ENTRIES_KNOWN = "entries-known"
    TARGETS_KNOWN = "targets-known"
    CONFIRMED = "confirmed"
    OWNER_REPLIED = "owner-replied"


class StartSteps:
    """Steps of the start that this process has reached.

    Args:
        clock: Clock; the start counts from the construction of this object.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.begun_ms = clock.now_ms()
        self.reached: set[tuple[StartStep, str]] = set()

    def reach(self, step: StartStep, subject: str = "") -> None:
        """Log a step when it is reached for the first time.

        Args:
            step: Step.
            subject: Service, where each one has its own step.
        """
        if (step, subject) in self.reached or len(self.reached) >= MAX_LINES:
            return
        self.reached.add((step, subject))
        events.log(
            events.START_STEP_REACHED,
            step=str(step),
            subject=subject,
            after_ms=self.clock.now_ms() - self.begun_ms,
        )
