"""Tells which entries of requests are lost, so that nobody uses their results."""

from collections.abc import Callable

from wagtailrun.clock import Clock
from wagtailrun.stages.job import ANNOUNCEMENT_INTERVAL_MS, Job

__all__ = ["SILENCE_MS", "LostEntries"]

# An entry with a step in progress polls at least every 600 ms and confirms announced
# ones every 500 ms, so that two of these messages are missing.
SILENCE_MS = 2 * ANNOUNCEMENT_INTERVAL_MS


class LostEntries:
    """Tells of which steps the entries are lost to this owner of stage services.

    These are the entries of a data centre that is away, and of which none asks for a
    step any more. Kept connections may outlive a cut, so that its entries still ask.
    An entry that is only silent may have no step in progress, and still use results.

    Args:
        clock: Clock.
        is_away: Returns whether a data centre is cut off from this entry, or down.
        was_held_since: Returns whether the event loop of this process was held after a
            time on the clock.
    """

    def __init__(
        self,
        clock: Clock,
        is_away: Callable[[str], bool],
        was_held_since: Callable[[int], bool],
    ):
        self.clock = clock
        self.is_away = is_away
        self.was_held_since = was_held_since
        self.heard_ms_by_data_centre: dict[str, int] = {}

    def record_heard(self, data_centre: str) -> None:
        """Record that an entry has just asked for, or confirmed, a step."""
        self.heard_ms_by_data_centre[data_centre] = self.clock.now_ms()

    def is_lost(self, job: Job) -> bool:
        """Return whether the entry of a job is lost."""
        data_centre = job.message.entry_data_centre
        if not (data_centre and self.is_away(data_centre)):
            return False
        heard_ms = self.heard_ms_by_data_centre.get(data_centre, 0)
        heard_ms = max(heard_ms, job.asked_ms)
        if self.was_held_since(heard_ms):
            # Messages of the entry may be waiting here.
            self.record_heard(data_centre)
            return False
        return self.clock.now_ms() - heard_ms > SILENCE_MS
