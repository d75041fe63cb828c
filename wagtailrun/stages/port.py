"""Port through which the targets of stage services are called."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence

import attrs

from wagtailrun.ports.link import Address
from wagtailrun.targets.table import TargetRow

__all__ = [
    "CallWatch",
    "PieceOutcome",
    "StageClient",
    "StageItem",
    "StageReply",
    "UNWATCHED",
]


class PieceOutcome(enum.StrEnum):
    """Outcome that a target reports for one piece."""

    DONE = "done"
    LATE = "late"
    GONE = "gone"
    NO_MEMORY = "no-memory"
    ERROR = "error"


@attrs.frozen
class StageItem:
    """One piece in a call.

    Attributes:
        request_id: Identifier of the request.
        step: Number of the step in its route.
        piece: Number of the piece.
        remaining_ms: Time until the result would be too late, in milliseconds.
        key: Source of the piece, if it belongs to a first step.
        inputs: Handles of the results that the piece needs; None for a first step.
    """

    request_id: str
    step: int
    piece: int
    remaining_ms: int
    key: str = ""
    inputs: tuple[str, ...] | None = None


@attrs.frozen
class StageReply:
    """Reply for one piece.

    Attributes:
        outcome: Outcome that the target reports.
        handle: Name of the result, if the piece is done.
    """

    outcome: PieceOutcome
    handle: str = ""


class CallWatch(ABC):
    """Is told of the progress of a stage call."""

    @abstractmethod
    def record_sent(self, carrier: Address | None) -> None:
        """Record that the call is sent now, over a connection that is open.

        A call that turns to another path is sent again.

        Args:
            carrier: Entry that carries the connection, or sends the call to the
                target; None if this process does.
        """


class _Unwatched(CallWatch):
    """Ignores the progress."""

    def record_sent(self, carrier: Address | None) -> None:
        """Ignore it."""


UNWATCHED = _Unwatched()


class StageClient(ABC):
    """Calls the targets of stage services."""

    @abstractmethod
    async def run(
        self,
        target: TargetRow,
        items: Sequence[StageItem],
        timeout_ms: int,
        watch: CallWatch = UNWATCHED,
    ) -> list[StageReply]:
        """Run pieces in one call and return a reply for each, in order.

        Args:
            target: Target that runs the pieces.
            items: Pieces to run.
            timeout_ms: Time limit of the call, in milliseconds.
            watch: Is told when the call is sent.

        Raises:
            TargetFailed: If there is no complete reply; the verdict says whether the
                pieces may have been run.
        """

    @abstractmethod
    async def free(self, address: Address, handles: Sequence[str]) -> None:
        """Release results, so that the target can free their memory.

        Raises:
            TargetFailed: If the target did not confirm the release.
        """
