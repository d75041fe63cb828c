"""What the owner of a stage service knows of one of its targets."""

import attrs

from wagtailrun.exceptions import (
    ConnectFailed,
    ConnectShortage,
    TargetFailed,
    Verdict,
)
from wagtailrun.shortages import SHORTAGE_PAUSE_MS

__all__ = ["REFUSAL_PAUSE_MS", "TargetState"]

# Exponential backoff for a target whose calls fail, for example because it refuses
# connections.
FIRST_BACKOFF_MS = 250
MAX_BACKOFF_MS = 2_000
# Pause for a target that refuses a call or reports that it has no memory.
REFUSAL_PAUSE_MS = 40

# Weight of the newest call in the moving average of a target's slowness.
SLOWNESS_WEIGHT = 0.4
MAX_SLOWNESS = 8.0


@attrs.define(eq=False)
class TargetState:
    """State of one target: calls in progress, slowness and failures.

    Attributes:
        calls: Number of calls in progress.
        busy_until_ms: When the last of them is expected to end.
        pause_until_ms: Time before which the target gets no call.
        failures: Number of consecutive failed calls.
        overdue_calls: Number of calls in progress that are overdue.
        refusals: Number of consecutive pieces that it had no memory for.
        answered_ms: When the newest answer to a call arrived, on the clock.
        slowness: Duration of its calls as a multiple of the configured duration.
    """

    calls: int = 0
    busy_until_ms: int = 0
    pause_until_ms: int = 0
    failures: int = 0
    overdue_calls: int = 0
    refusals: int = 0
    answered_ms: int = 0
    slowness: float = 1.0

    @property
    def faults(self) -> int:
        """Number of consecutive failed calls, and of those that are overdue."""
        return self.failures + self.overdue_calls

    def record_answer(self, now_ms: int) -> None:
        """Record that a call was answered."""
        self.failures = 0
        self.answered_ms = now_ms

    def record_failure(self, failure: TargetFailed, now_ms: int) -> bool:
        """Record a failed call; return whether the results there count as lost."""
        if failure.verdict is Verdict.NOT_RUN and not isinstance(
            failure, ConnectFailed
        ):
            # The target is full, or another one has taken over its address; the next
            # update of its row shows which.
            pause_ms = max(REFUSAL_PAUSE_MS, failure.retry_after_ms)
            self.pause_until_ms = now_ms + pause_ms
            return False
        if isinstance(failure, ConnectFailed) and not failure.confirmed:
            # The path failed, which says nothing about the target and its results.
            is_shortage = isinstance(failure, ConnectShortage)
            pause_ms = SHORTAGE_PAUSE_MS if is_shortage else FIRST_BACKOFF_MS
            self.pause_until_ms = now_ms + pause_ms
            return False
        self.failures += 1
        backoff_ms = FIRST_BACKOFF_MS << min(self.failures - 1, 6)
        self.pause_until_ms = now_ms + min(backoff_ms, MAX_BACKOFF_MS)
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
