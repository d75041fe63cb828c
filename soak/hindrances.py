"""What a process lacks while it stops: time before its kill, or descriptors."""

import resource
import signal
from contextlib import suppress

from attrs import define

from soak.fleet import Fleet
from soak.schedule import Action

__all__ = ["Hindrance", "make_hindrance", "take_free_descriptors"]

# Those of the standard streams and of the event loop, which stay open. The number of a
# descriptor that is closed later is above them, so it cannot be used again.
LOWEST_DESCRIPTORS = 4


@define(kw_only=True)
class Hindrance:
    """What hinders one stop of a process.

    Attributes:
        standstill_ms: Time from the signal at which the process stands still, until
            it is killed; 0 for no standstill.
        has_shortage: Whether it has no free descriptor.
        answers_by_ms: Time from the signal by which the process has answered what it
            had by then; 0 if the stop is not hindered.
    """

    standstill_ms: int = 0
    has_shortage: bool = False
    answers_by_ms: int = 0
    _stands_still: bool = False

    def begin(self, fleet: Fleet, name: str) -> None:
        """Hinder the process from its signal on."""
        if self.has_shortage:
            take_free_descriptors(fleet.pid(name))

    def apply(self, fleet: Fleet, name: str, passed_ms: int) -> None:
        """Hinder the process, some time after its signal."""
        is_due = self.standstill_ms and passed_ms >= self.standstill_ms
        if is_due and not self._stands_still:
            fleet.signal(name, signal.SIGSTOP)
            self._stands_still = True


def make_hindrance(action: Action, limit_ms: int, refusals_ms: int) -> Hindrance:
    """Return what hinders a stop.

    Args:
        action: The stop.
        limit_ms: Time from the signal to the kill.
        refusals_ms: Time from the signal at which the last refusals are sent; 0 if the
            process does not promise them.
    """
    if not refusals_ms or not (action.standstill_at or action.has_shortage):
        return Hindrance()
    standstill_ms = 0
    if action.standstill_at:
        last_ms = limit_ms - refusals_ms
        standstill_ms = refusals_ms + round(action.standstill_at * last_ms)
    return Hindrance(
        standstill_ms=standstill_ms,
        has_shortage=action.has_shortage,
        answers_by_ms=refusals_ms,
    )


def take_free_descriptors(pid: int) -> None:
    """Leave a process, if it still runs, no descriptor beside those that it has."""
    with suppress(ProcessLookupError):
        _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (LOWEST_DESCRIPTORS, hard))
