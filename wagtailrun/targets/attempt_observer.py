"""Interface of the observers of attempts at targets."""

from abc import ABC, abstractmethod

from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.target import StageAnswer
from wagtailrun.targets.table import TargetRow
from wagtailrun.targets.work import Work

__all__ = ["AttemptObserver", "NullObserver"]


class AttemptObserver(ABC):
    """Receives the outcome of attempts for metrics and accounting."""

    @abstractmethod
    def finished(
        self, work: Work, target: TargetRow, duration_ms: int, answer: StageAnswer
    ) -> None:
        """Record an attempt whose answer, or whose first tokens, were used."""

    @abstractmethod
    def retried(self, work: Work, target: TargetRow, error: TargetFailed) -> None:
        """Record a retry after ``error`` at ``target``."""

    @abstractmethod
    def hedged(self, work: Work, target: TargetRow) -> None:
        """Record a hedge at ``target``, parallel to an attempt in progress."""

    @abstractmethod
    def wasted(self, work: Work, target: TargetRow, duration_ms: int) -> None:
        """Record an attempt whose result is not used.

        Args:
            work: Work that was attempted.
            target: Target that ran it.
            duration_ms: Time from its start to its cancellation or failure.
        """


class NullObserver(AttemptObserver):
    """Ignores all attempts."""

    def finished(
        self, work: Work, target: TargetRow, duration_ms: int, answer: StageAnswer
    ) -> None:
        """Ignore it."""

    def retried(self, work: Work, target: TargetRow, error: TargetFailed) -> None:
        """Ignore it."""

    def hedged(self, work: Work, target: TargetRow) -> None:
        """Ignore it."""

    def wasted(self, work: Work, target: TargetRow, duration_ms: int) -> None:
        """Ignore it."""
