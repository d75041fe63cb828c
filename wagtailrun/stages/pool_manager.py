"""Interface of the manager that creates the pools of an entry."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from wagtailrun.clock import Clock
from wagtailrun.ports.link import Address
from wagtailrun.routes import StageCapacity
from wagtailrun.stages.job import Job
from wagtailrun.stages.lost_entries import LostEntries
from wagtailrun.stages.messages import FreeResults
from wagtailrun.stages.port import StageClient
from wagtailrun.stages.succession import Succession
from wagtailrun.targets.retries import RetryBudget
from wagtailrun.targets.table import TargetRow

__all__ = ["PoolManager"]


class PoolManager(ABC):
    """Holds the components that the pools of an entry share, and observes the pools.

    Attributes:
        clock: Clock.
        client: Sends calls to targets.
        targets: Returns the targets of a service.
        capacity: Returns the configured capacity of one target of a stage service.
        budget: Limits the retries of pieces.
        release_elsewhere: Sends a release of results to the owner of their service.
        was_held_since: Returns whether the event loop of this process was held after a
            time on the clock.
        confirms_silence: Called with the address of a target, the entry that carries a
            call to it and when it was sent; returns whether the target is silent, and
            not that entry.
        is_owner: Returns whether this entry owns a service.
        most_pieces: Returns how many pieces a target may get in one call, beside its
            capacity.
        first_start_ms: Returns when the first of the running entries started, on the
            clock; None if that is unknown.
        lost_entries: Tells of which steps the entries are lost.
        succession: Hands services over; without it they stay until their pieces are
            done.
    """

    clock: Clock
    client: StageClient
    targets: Callable[[str], list[TargetRow]]
    capacity: Callable[[str], StageCapacity]
    budget: RetryBudget
    release_elsewhere: Callable[[FreeResults], Awaitable[None]]
    was_held_since: Callable[[int], bool]
    confirms_silence: Callable[[Address, Address, int], Awaitable[bool]] | None
    is_owner: Callable[[str], bool]
    most_pieces: Callable[[TargetRow], float]
    first_start_ms: Callable[[], int | None]
    lost_entries: LostEntries
    succession: Succession | None

    @abstractmethod
    def record_finished(self, job: Job) -> None:
        """Record a job that ended, whose polls ``notify_finished`` wakes."""

    @abstractmethod
    async def notify_finished(self) -> None:
        """Wake the polls of jobs that ended, and the senders of scheduled releases."""

    @abstractmethod
    def record_call(self, pieces: int, took_ms: int) -> None:
        """Record a call that ended.

        Args:
            pieces: Number of its pieces.
            took_ms: Its duration, in milliseconds.
        """
