"""Interface of the routers that choose targets, and the simplest of them."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Collection, Sequence
from typing import TYPE_CHECKING

from wagtailrun.ports.target import StageAnswer
from wagtailrun.targets.affinity import CacheEvents
from wagtailrun.targets.decisions import NO_DECISIONS, DecisionLog
from wagtailrun.targets.filters import AttemptFilter
from wagtailrun.targets.paths import PathObservations
from wagtailrun.targets.table import TargetRow

if TYPE_CHECKING:
    from wagtailrun.targets.work import Work

__all__ = ["LeastLoadedRouter", "Router"]


class Router(ABC):
    """Chooses among usable targets and learns from the outcome of attempts.

    Attributes:
        paths: What was observed of the paths to targets; None if the router does not
            heed them.
        silence: Watches attempts until their first items; None if the router does not
            heed them.
        decisions: Is told the candidates of each choice.
        name: Name of this entry.
    """

    paths: PathObservations | None = None
    silence: AttemptFilter | None = None
    decisions: DecisionLog = NO_DECISIONS
    name = ""

    @abstractmethod
    def choose(
        self,
        candidates: Sequence[TargetRow],
        work: "Work | None" = None,
        avoid: Collection[str] = (),
    ) -> TargetRow | None:
        """Return the target for the next attempt, or None if none has room.

        Args:
            candidates: Usable targets of the service.
            work: Work to run.
            avoid: Names of targets that are chosen only if there is no other.
        """

    def has_path(
        self, candidates: Sequence[TargetRow], work: "Work | None" = None
    ) -> bool:
        """Return whether any target that may get the work can be reached.

        Args:
            candidates: Usable targets of the service.
            work: Work to run.
        """
        return bool(candidates)

    @abstractmethod
    def started(self, target: TargetRow) -> None:
        """Record that an attempt was assigned to ``target``."""

    @abstractmethod
    def ended(
        self,
        target: TargetRow,
        duration_ms: int,
        succeeded: bool,
        work: "Work | None" = None,
        answer: StageAnswer | None = None,
        blamed: bool = True,
    ) -> None:
        """Record that an attempt at ``target`` ended.

        Args:
            target: Row that was chosen.
            duration_ms: Time since the start of the attempt, in milliseconds.
            succeeded: Whether the complete answer arrived.
            work: Work that ran.
            answer: Counters reported by the target, if the attempt succeeded.
            blamed: Whether a failure is attributed to the target.
        """

    def record_first_item(  # noqa: B027
        self, target: TargetRow, wait_ms: int, work: "Work"
    ) -> None:
        """Record the wait for the first item, or until an attempt without one ended."""

    def record_pace(self, target: TargetRow, slowness: float) -> None:  # noqa: B027
        """Record the gap between items as a multiple of the service's typical gap."""

    def mark_unreachable(  # noqa: B027
        self, target: TargetRow, refused: bool = False
    ) -> None:
        """Record that no new connection to ``target`` can be opened.

        Args:
            target: Target.
            refused: Whether it refused one, as opposed to no reply.
        """

    def pause(self, target: TargetRow, duration_ms: int) -> None:  # noqa: B027
        """Record that ``target`` asked for no new work for a time."""

    def is_paused(self, target: TargetRow) -> bool:
        """Return whether ``target`` asked for no new work and that time is not over."""
        return False

    def observe_cache(  # noqa: B027
        self, target: TargetRow, events: CacheEvents
    ) -> None:
        """Record changes that ``target`` reported of its prefix cache."""


class LeastLoadedRouter(Router):
    """Chooses the least loaded target by reported loads and own attempts."""

    def __init__(self) -> None:
        self.in_flight_by_name: Counter[str] = Counter()

    def choose(
        self,
        candidates: Sequence[TargetRow],
        work: "Work | None" = None,
        avoid: Collection[str] = (),
    ) -> TargetRow | None:
        """Return the target with the least load per unit of capacity."""
        preferred = [row for row in candidates if row.name not in avoid] or candidates
        if self.decisions.enabled:
            self.decisions.begin_choice(candidates)
            self.decisions.leave_out(candidates, preferred, "tried")
            self.decisions.rank(preferred, [self._load(row) for row in preferred])
        return min(preferred, key=self._load, default=None)

    def started(self, target: TargetRow) -> None:
        """Count the attempt as in flight."""
        self.in_flight_by_name[target.name] += 1

    def ended(
        self,
        target: TargetRow,
        duration_ms: int,
        succeeded: bool,
        work: "Work | None" = None,
        answer: StageAnswer | None = None,
        blamed: bool = True,
    ) -> None:
        """Count the attempt as no longer in flight."""
        self.in_flight_by_name[target.name] -= 1
        if not self.in_flight_by_name[target.name]:
            del self.in_flight_by_name[target.name]

    def _load(self, target: TargetRow) -> float:
        reported = target.running + target.queued
        return (reported + self.in_flight_by_name[target.name]) / target.capacity
