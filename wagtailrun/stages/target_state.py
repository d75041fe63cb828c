"""What the owner of a stage service knows of one of its targets."""

import attrs

from wagtailrun.exceptions import (
    ConnectFailed,
    ConnectShortage,
    TargetFailed,
    Verdict,
)
from wagtailrun.process.shortages import SHORTAGE_PAUSE_MS
from wagtailrun.targets.pauses import MAX_PAUSE_MS

__all__ = ["REFUSAL_PAUSE_MS", "TargetState"]

# Pause for a target that refuses a call.
REFUSAL_PAUSE_MS = 40

# Weight of the newest call in the moving average of a target's slowness.
SLOWNESS_WEIGHT = 0.4
MAX_SLOWNESS = 8.0
# Exponential backoff for a target whose calls fail, for example because it refuses
# connections, or to which there is no path.
FIRST_BACKOFF_MS = 250
MAX_BACKOFF_MS = 2_000


@attrs.define(eq=False)
class TargetState:
    """State of one target: calls in progress, slowness and failures.

    Attributes:
        incarnation: Incarnation of the target; None before it is known.
        calls: Number of calls in progress.
        busy_until_ms: When the last of them is expected to end.
        pause_until_ms: Time before which the target gets no call.
        asked_until_ms: End of the pause that the target itself asked for.
        failures: Number of consecutive failed calls.
        lost_paths: Number of consecutive calls that could not be sent, because this
            entry has no path to the target.
        overdue_calls: Number of calls in progress that are overdue.
        full_until_ms: Until when its memory may be full of results that are not known
            here, so that a call to it may wait or run in part.
        answered_ms: When the newest answer to a call arrived, on the clock.
        slowness: Duration of its calls as a multiple of the configured duration.
    """

    incarnation: int | None = None
    calls: int = 0
    busy_until_ms: int = 0
    pause_until_ms: int = 0
    asked_until_ms: int = 0
    failures: int = 0
    lost_paths: int = 0
    overdue_calls: int = 0
    full_until_ms: int = 0
    answered_ms: int = 0
    slowness: float = 1.0

    @property
    def faults(self) -> int:
        """Number of consecutive failed calls, and of those that are overdue."""
        return self.failures + self.lost_paths + self.overdue_calls

    @property
    def is_usable(self) -> bool:
        """Whether the last call to the target did not fail."""
        return not (self.failures or self.lost_paths)

    def note_incarnation(self, incarnation: int) -> None:
        """End the pause of an earlier incarnation of the target."""
        if self.incarnation is not None and incarnation > self.incarnation:
            self.pause_until_ms = self.asked_until_ms = 0
        if self.incarnation is None or incarnation > self.incarnation:
            self.incarnation = incarnation

    def pause_only(self) -> "TargetState":
        """Return the state of the target as if only its pause were known."""
        return TargetState(
            self.incarnation,
            pause_until_ms=self.pause_until_ms,
            asked_until_ms=self.asked_until_ms,
        )

    def pause(self, until_ms: int) -> None:
        """Send no call before a time, or before the pause that the target asked for."""
        self.pause_until_ms = max(until_ms, self.asked_until_ms)

    def record_answer(self, now_ms: int) -> None:
        """Record that a call was answered."""
        self.failures = self.lost_paths = 0
        self.answered_ms = now_ms

    def record_failure(
        self, failure: TargetFailed, now_ms: int, other_is_usable: bool
    ) -> bool:
        """Record a failed call; return whether the results there count as lost.

        Args:
            failure: Why it failed.
            now_ms: When it ended, on the clock.
            other_is_usable: Whether calls to another target of the service succeed.
        """
        if not isinstance(failure, ConnectFailed):
            self.lost_paths = 0
            if failure.verdict is Verdict.NOT_RUN:
                # The target is full, or another one has taken over its address; the
                # next update of its row shows which.
                pause_ms = max(REFUSAL_PAUSE_MS, failure.retry_after_ms)
                until_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)
                self.asked_until_ms = max(until_ms, self.asked_until_ms)
                self.pause(self.asked_until_ms)
                return False
        elif isinstance(failure, ConnectShortage):
            self.pause(now_ms + SHORTAGE_PAUSE_MS)
            return False
        elif not failure.confirmed:
            # The path failed, which says nothing about the target and its results.
            self.lost_paths += 1
            # An entry that is cut off from all of them may be so for a moment only.
            tries = self.lost_paths if other_is_usable else 1
            self.pause(now_ms + backoff_ms(tries))
            return False
        self.failures += 1
        self.pause(now_ms + backoff_ms(self.failures))
        return True

    def record_duration(self, took_ms: int, expected_ms: float) -> None:
        """Update the slowness with the duration of a call.

        Args:
            took_ms: Duration of the call.
            expected_ms: Configured duration of such a call.
        """
        if expected_ms > 0:
            measured = min(max(took_ms / expected_ms, 1.0), MAX_SLOWNESS)
            self.slowness += SLOWNESS_WEIGHT * (measured - self.slowness)


def backoff_ms(failures: int) -> int:
    """Return the pause after a number of consecutive failures, one at least."""
    return min(FIRST_BACKOFF_MS << min(failures - 1, 6), MAX_BACKOFF_MS)
