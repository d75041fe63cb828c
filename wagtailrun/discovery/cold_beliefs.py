"""Beliefs how long targets stay cold after they start or come back."""

import enum

import attrs

__all__ = [
    "AGE_TOLERANCE_MS",
    "MAX_COLD_MS",
    "RAMP_MS",
    "START_COLD_MS",
    "ColdBelief",
    "ColdSource",
    "bounded_cold_ms",
]

# A target that is cold for longer says so again in a later report.
MAX_COLD_MS = 600_000
# A target that was started and says nothing counts as cold for this long.
START_COLD_MS = 10_000
# Ends that differ by less are the same: reports take different times to arrive.
END_TOLERANCE_MS = 250
# After the end the requests of a second double at this interval until the bound ends.
RAMP_DOUBLING_MS = 500
RAMP_MS = 3_000
# Ages that different processes measure differ by less than this. Of two observations
# that are closer the stricter one counts, so that all processes agree.
AGE_TOLERANCE_MS = 500


class ColdSource(enum.StrEnum):
    """What a belief comes from."""

    REPORT = "report"
    ANSWER = "answer"
    START = "start"


@attrs.frozen
class ColdBelief:
    """Until when a target is cold.

    Attributes:
        until_ms: When it is warm; in the past if it is.
        at_ms: When it was said, or when the start was observed.
        source: Where it comes from.
    """

    until_ms: int
    at_ms: int
    source: ColdSource

    def replaces(self, known: "ColdBelief | None") -> bool:
        """Return whether this belief of another process replaces a known one."""
        if known is None:
            return True
        if abs(self.at_ms - known.at_ms) > AGE_TOLERANCE_MS:
            return self.at_ms > known.at_ms
        return self.until_ms > known.until_ms

    def is_similar(self, other: "ColdBelief | None", now_ms: int) -> bool:
        """Return whether another belief need not be passed on after this one."""
        if other is None:
            return False
        are_over = max(self.until_ms, other.until_ms) <= now_ms
        return are_over or abs(self.until_ms - other.until_ms) <= END_TOLERANCE_MS

    def after(self, said: "ColdBelief") -> "ColdBelief":
        """Return the belief after the target said something else.

        A target that says once more that it is warm does not become warm anew.
        """
        if said.until_ms <= said.at_ms and self.until_ms <= said.until_ms:
            return attrs.evolve(said, until_ms=self.until_ms)
        return said

    def bound_per_s(self, cold_per_s: float, now_ms: int) -> float | None:
        """Return the requests a second that the target tolerates now.

        Args:
            cold_per_s: Requests a second that it tolerates while it is cold.
            now_ms: The time.

        Returns:
            None if the bound has ended. Before that it rises, so that the target does
            not get the requests of all entries at the same moment.
        """
        over_ms = now_ms - self.until_ms - END_TOLERANCE_MS
        if over_ms <= 0:
            return cold_per_s
        if over_ms >= RAMP_MS:
            return None
        return float(cold_per_s * 2.0 ** (over_ms / RAMP_DOUBLING_MS))


def bounded_cold_ms(value: object) -> int | None:
    """Return how long a target says that it stays cold, at most ``MAX_COLD_MS``.

    Returns:
        Milliseconds; None if the value is no number of 0 or more.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    # False for what is not a number.
    return int(min(value, MAX_COLD_MS)) if value >= 0 else None
