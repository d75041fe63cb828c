"""Interface of the logs of decisions about requests."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence

import attrs

from wagtailrun.targets.table import TargetRow

__all__ = [
    "NO_DECISIONS",
    "Candidate",
    "DecisionLog",
    "DecisionPoint",
    "NullDecisionLog",
]


class DecisionPoint(enum.StrEnum):
    """Where in the life of a request a decision is made."""

    ADMISSION = "admission"
    TARGET = "target"
    RETRY = "retry"
    HEDGE = "hedge"
    MOVE = "move"
    REFUSAL = "refusal"


@attrs.frozen
class Candidate:
    """One of those among which a decision chose.

    Attributes:
        name: Target, or identifier of a request.
        value: What it was ranked by; several numbers are compared one after the other.
            None if it was not ranked.
        left_out: Why it was not ranked, empty if it was.
    """

    name: str
    value: float | tuple[float, ...] | None = None
    left_out: str = ""


class DecisionLog(ABC):
    """Receives the decisions about requests, in the order in which they are made.

    A choice of a target is stated in steps, as the one who ranks targets may not know
    the request: ``begin_choice``, ``leave_out`` and ``rank`` by the ranking,
    ``record_choice`` by its caller before another choice begins.

    Attributes:
        enabled: Whether decisions are kept. Who states one asks first, so that nothing
            is prepared for a log that keeps none.
    """

    enabled = True

    @abstractmethod
    def begin_choice(self, rows: Iterable[TargetRow]) -> None:
        """Begin a choice among targets; none of them is in use yet."""

    @abstractmethod
    def leave_out(
        self, before: Iterable[TargetRow], after: Iterable[TargetRow], why: str
    ) -> None:
        """State that a rule of the choice took targets away.

        Args:
            before: Targets before the rule.
            after: Those that are left.
            why: Word for the rule.
        """

    @abstractmethod
    def rank(self, rows: Sequence[TargetRow], values: Sequence[float]) -> None:
        """State what targets were ranked by; the lowest value is the best."""

    @abstractmethod
    def record_choice(
        self,
        request: str,
        step: str,
        point: DecisionPoint,
        chosen: str,
        reason: str = "",
    ) -> None:
        """Record a decision among the targets of the choice that was begun last.

        Args:
            request: Identifier of the request.
            step: Kind of the stage, name of the call, or service.
            point: Where the decision was made.
            chosen: Name of the target, or word for what was decided.
            reason: Word for the reason; by default what the values of the candidates
                say.
        """

    @abstractmethod
    def record(
        self,
        request: str,
        step: str,
        point: DecisionPoint,
        chosen: str,
        reason: str,
        candidates: Sequence[Candidate] = (),
    ) -> None:
        """Record any other decision; see ``record_choice``."""


class NullDecisionLog(DecisionLog):
    """Keeps no decisions."""

    enabled = False

    def begin_choice(self, rows: Iterable[TargetRow]) -> None:
        """Ignore it."""

    def leave_out(
        self, before: Iterable[TargetRow], after: Iterable[TargetRow], why: str
    ) -> None:
        """Ignore it."""

    def rank(self, rows: Sequence[TargetRow], values: Sequence[float]) -> None:
        """Ignore it."""

    def record_choice(
        self,
        request: str,
        step: str,
        point: DecisionPoint,
        chosen: str,
        reason: str = "",
    ) -> None:
        """Ignore it."""

    def record(
        self,
        request: str,
        step: str,
        point: DecisionPoint,
        chosen: str,
        reason: str,
        candidates: Sequence[Candidate] = (),
    ) -> None:
        """Ignore it."""


NO_DECISIONS = NullDecisionLog()
