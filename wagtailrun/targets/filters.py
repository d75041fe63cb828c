"""Interface of the filters of targets, for both entries."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Sequence

from wagtailrun.targets.table import TargetRow

__all__ = ["AttemptFilter", "TargetFilter"]


class TargetFilter(ABC):
    """Narrows the targets of a choice; who chooses the targets owns it."""

    @abstractmethod
    def admitted(
        self,
        rows: Sequence[TargetRow],
        entry: str,
        avoid: Collection[str] = (),
        *,
        prompt_tokens: int = 0,
        begin: bool = True,
        costs_more: Callable[[TargetRow], bool] = lambda row: False,
    ) -> list[TargetRow]:
        """Return the targets among which to choose; some, if there are any.

        Args:
            rows: Targets that accept work.
            entry: Entry that has the request.
            avoid: Names of targets that were already tried.
            prompt_tokens: Size of the prompt, in one unit for all of a service.
            begin: Whether an attempt starts now.
            costs_more: Returns whether a target has much more work with the request
                than another one, so that others are better probes of it.
        """


class AttemptFilter(TargetFilter):
    """Narrows and ranks the targets of a choice by what attempts have shown of them.

    Its owner reports each attempt that was placed, by the identifier of the attempt or
    its request and the name of the target.
    """

    @abstractmethod
    def penalties_ms(self, rows: Sequence[TargetRow], entry: str) -> dict[str, float]:
        """Return the additional costs of targets to be spared, by their names."""

    @abstractmethod
    def begin(
        self, key: tuple[str, str], row: TargetRow, reporter: str, expected_ms: float
    ) -> None:
        """Record an attempt that starts now.

        Args:
            key: Identifier of the attempt, and name of the target.
            row: Target.
            reporter: Entry that makes it; of one without a name nothing is learnt.
            expected_ms: Expected time to its first event.
        """

    @abstractmethod
    def record_end(
        self, key: tuple[str, str], outcome: str, first_event_ms: float = 0
    ) -> None:
        """Record the end of an attempt, or its first event.

        Args:
            key: See ``begin``; an attempt that is not known is ignored.
            outcome: ``RunOutcome``; ``SUCCEEDED`` with the first event.
            first_event_ms: Time to the first event; 0 if it says nothing.
        """

    @abstractmethod
    def forget(self, key: tuple[str, str]) -> None:
        """Drop an attempt whose end was lost."""

    @abstractmethod
    def retain(self, names: Collection[str], services: Collection[str]) -> None:
        """Drop what is known of all other targets and services."""
