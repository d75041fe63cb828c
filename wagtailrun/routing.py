"""Chooses the target of an attempt."""

from abc import ABC, abstractmethod
from collections import Counter

from wagtailrun.membership import TargetRow

__all__ = ["LeastLoadedRouter", "Router"]


class Router(ABC):
    """Chooses among usable targets and learns how attempts end."""

    @abstractmethod
    def choose(self, candidates: list[TargetRow]) -> TargetRow | None:
        """Return the target of the next attempt, or None if there is none."""

    @abstractmethod
    def started(self, target: TargetRow) -> None:
        """Note that an attempt was given to ``target``."""

    @abstractmethod
    def ended(self, target: TargetRow, duration_ms: int, succeeded: bool) -> None:
        """Note that an attempt at ``target`` ended."""


class LeastLoadedRouter(Router):
    """Chooses the least load by late reports and this entry's own attempts."""

    def __init__(self) -> None:
        self.in_flight_by_name: Counter[str] = Counter()

    def choose(self, candidates: list[TargetRow]) -> TargetRow | None:
        """Return the target with the least load a unit of capacity."""
        return min(candidates, key=self._load, default=None)

    def started(self, target: TargetRow) -> None:
        """Count the attempt as in flight."""
        self.in_flight_by_name[target.name] += 1

    def ended(self, target: TargetRow, duration_ms: int, succeeded: bool) -> None:
        """Count the attempt as no longer in flight."""
        self.in_flight_by_name[target.name] -= 1
        if not self.in_flight_by_name[target.name]:
            del self.in_flight_by_name[target.name]

    def _load(self, target: TargetRow) -> float:
        reported = target.running + target.queued
        return (reported + self.in_flight_by_name[target.name]) / target.capacity
