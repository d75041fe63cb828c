"""Which attempts may be repeated, how often, and who is told."""

import random
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING

from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.membership import TargetRow
from wagtailrun.ports.target import StageAnswer

if TYPE_CHECKING:
    from wagtailrun.work import Work

__all__ = ["AttemptObserver", "NoObserver", "RetryBudget", "backoff_ms", "may_retry"]

EARNED_PER_FIRST_ATTEMPT = 0.1
# Lets the first requests after a start be repeated; also bounds a burst of repeats.
INITIAL_TOKENS = 3.0
MAX_TOKENS = 20.0
# Kept for repeats: hedges alone used up the whole budget, so that streams of a dead
# target could not be resumed.
HEDGE_RESERVE = 8.0
BACKOFF_BASE_MS = 25
BACKOFF_MAX_MS = 1_000


class RetryBudget:
    """Tokens for repeated and hedged attempts; every service has its own.

    Args:
        earned: Tokens for each first attempt.
        initial: Tokens of a service of which nothing was attempted yet.
        largest: Returns the most tokens that are kept.
    """

    def __init__(
        self,
        earned: float = EARNED_PER_FIRST_ATTEMPT,
        initial: float = INITIAL_TOKENS,
        largest: Callable[[], float] = lambda: MAX_TOKENS,
    ) -> None:
        self.earned = earned
        self.largest = largest
        self.tokens_by_service: dict[str, float] = defaultdict(lambda: initial)

    def earn(self, service: str) -> None:
        """Count a first attempt."""
        tokens = self.tokens_by_service[service] + self.earned
        self.tokens_by_service[service] = min(tokens, self.largest())

    def has(self, service: str, reserve: float = 0.0) -> bool:
        """Return whether one more attempt leaves at least ``reserve`` tokens."""
        return self.tokens_by_service[service] >= 1.0 + reserve

    def spend(self, service: str) -> bool:
        """Pay for one more attempt; return whether there was a token."""
        if not self.has(service):
            return False
        self.tokens_by_service[service] -= 1.0
        return True


def may_retry(idempotent: bool, error: TargetFailed) -> bool:
    """Return whether work may be sent again after ``error``.

    Work that is not idempotent is sent at most once, so it is repeated only when no
    byte of it was sent.
    """
    return idempotent or (
        isinstance(error, ConnectFailed) and error.verdict is Verdict.NOT_RUN
    )


def backoff_ms(repeats: int, source: random.Random) -> int:
    """Return a wait before a repeat, with full jitter."""
    longest_ms = min(BACKOFF_BASE_MS * 2**repeats, BACKOFF_MAX_MS)
    return source.randint(0, longest_ms)


class AttemptObserver(ABC):
    """Is told of attempts so that they can be counted and charged."""

    @abstractmethod
    def finished(
        self, work: "Work", target: TargetRow, duration_ms: int, answer: StageAnswer
    ) -> None:
        """Note an attempt whose answer, or whose first tokens, were used."""

    @abstractmethod
    def retried(self, work: "Work", target: TargetRow, error: TargetFailed) -> None:
        """Note that work is sent again after ``error`` at ``target``."""

    @abstractmethod
    def hedged(self, work: "Work", target: TargetRow) -> None:
        """Note a second attempt at ``target`` beside one under way."""

    @abstractmethod
    def wasted(self, work: "Work", target: TargetRow, duration_ms: int) -> None:
        """Note an attempt whose work is not used.

        Args:
            work: Work that was attempted.
            target: Target that ran it.
            duration_ms: Time from its start to its cancellation or failure.
        """


class NoObserver(AttemptObserver):
    """Ignores everything."""

    def finished(
        self, work: "Work", target: TargetRow, duration_ms: int, answer: StageAnswer
    ) -> None:
        """Ignore it."""

    def retried(self, work: "Work", target: TargetRow, error: TargetFailed) -> None:
        """Ignore it."""

    def hedged(self, work: "Work", target: TargetRow) -> None:
        """Ignore it."""

    def wasted(self, work: "Work", target: TargetRow, duration_ms: int) -> None:
        """Ignore it."""
