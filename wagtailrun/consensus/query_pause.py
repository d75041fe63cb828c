"""Growing pauses between the questions to members that do not answer them."""

import attrs

from wagtailrun.clock import Clock

__all__ = ["ROUND_INTERVAL_MS", "QueryPause"]

ROUND_INTERVAL_MS = 250
# A member of an earlier build ends the connection at each question. One that answers
# again is known after this time at the latest.
MAX_QUERY_INTERVAL_MS = 4_000


@attrs.define
class QueryPause:
    """When to ask again.

    Attributes:
        clock: Clock.
        interval_ms: Time from the last question to the next one.
        next_ms: Local time of the next question.
    """

    clock: Clock
    interval_ms: int = ROUND_INTERVAL_MS
    next_ms: int = 0

    @property
    def is_due(self) -> bool:
        """Whether to ask now."""
        return self.clock.now_ms() >= self.next_ms

    def record(self, is_silent: bool) -> None:
        """Plan the next question, after one that was answered or not."""
        longer_ms = min(2 * self.interval_ms, MAX_QUERY_INTERVAL_MS)
        self.interval_ms = longer_ms if is_silent else ROUND_INTERVAL_MS
        self.next_ms = self.clock.now_ms() + self.interval_ms
