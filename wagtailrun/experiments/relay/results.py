"""Results of stages that emulated targets keep until they are released."""

import itertools
from collections import Counter

import attrs

from wagtailrun.clock import Clock
from wagtailrun.experiments.relay.network import Network, Process

__all__ = ["MAX_RESULTS", "RESULT_MS", "ResultStore"]

# Results that one target keeps at a time, and for how long if nobody releases them.
# Longer than the deadlines of most pipelines.
MAX_RESULTS = 64
RESULT_MS = 10_000


@attrs.frozen(eq=False)
class _Result:
    """A result: the process that keeps it, its incarnation, and until when."""

    keeper: Process
    incarnation: int
    until_ms: int


class ResultStore:
    """The results that all targets of a fleet keep.

    Args:
        clock: Clock.
        network: Network, over which targets fetch results of others.
    """

    def __init__(self, clock: Clock, network: Network):
        self.clock = clock
        self.network = network
        # The oldest ones first.
        self.results_by_handle: dict[str, _Result] = {}
        self.kept_by_process: Counter[str] = Counter()
        self.incarnations_by_process: Counter[str] = Counter()
        self.numbers = itertools.count(1)

    def add(self, keeper: Process) -> str:
        """Keep another result; return its handle, empty if there is no memory."""
        self._expire()
        if self.kept_by_process[keeper.name] >= MAX_RESULTS:
            return ""
        handle = f"{keeper.name}/{next(self.numbers)}"
        incarnation = self.incarnations_by_process[keeper.name]
        until_ms = self.clock.now_ms() + RESULT_MS
        self.results_by_handle[handle] = _Result(keeper, incarnation, until_ms)
        self.kept_by_process[keeper.name] += 1
        return handle

    def can_fetch(self, handle: str, fetcher: Process) -> bool:
        """Return whether a target can fetch a result from the one that keeps it."""
        self._expire()
        result = self.results_by_handle.get(handle)
        if result is None:
            return False
        keeper = result.keeper
        return keeper.is_alive and self.network.is_reachable(fetcher, keeper)

    def free(self, handle: str) -> None:
        """Drop a result, if it is kept."""
        result = self.results_by_handle.pop(handle, None)
        if result is None:
            return
        name = result.keeper.name
        if self.incarnations_by_process[name] == result.incarnation:
            self.kept_by_process[name] -= 1

    def drop_all(self, keeper: Process) -> None:
        """Drop the results of a process that has ended."""
        for handle, result in list(self.results_by_handle.items()):
            if result.keeper is keeper:
                del self.results_by_handle[handle]
        self.incarnations_by_process[keeper.name] += 1
        self.kept_by_process[keeper.name] = 0

    def _expire(self) -> None:
        """Drop the results that nobody released in time."""
        now_ms = self.clock.now_ms()
        for handle, result in list(self.results_by_handle.items()):
            if result.until_ms > now_ms:
                return
            self.free(handle)
