"""Names of the durations of a step in log lines, which add up to its whole time."""

__all__ = ["DURATION_NAMES", "WAIT_NAMES"]

# As docs/OPERATIONS.md explains; ``stages/step_times.py`` writes them.
DURATION_NAMES = (
    "inputs_ms",
    "queued_ms",
    "memory_ms",
    "remote_ms",
    "paused_ms",
    "calls_ms",
    "transfer_ms",
)
# Those of a step whose pieces wait for their turn.
WAIT_NAMES = DURATION_NAMES[1:5]
