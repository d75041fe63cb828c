"""Port to the targets of stage services."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence

import attrs

from wagtailrun.membership import TargetRow
from wagtailrun.ports.link import Address

__all__ = ["PieceOutcome", "StageClient", "StageItem", "StageReply"]


class PieceOutcome(enum.StrEnum):
    """What a target says of one piece."""

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
        remaining_ms: Time left until the result is of no use.
        key: Source of a piece of a first step.
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
    """What became of one piece; ``handle`` names the result of one that is done."""

    outcome: PieceOutcome
    handle: str = ""


class StageClient(ABC):
    """Calls the targets of stage services."""

    @abstractmethod
    async def run(
        self, target: TargetRow, items: Sequence[StageItem], timeout_ms: int
    ) -> list[StageReply]:
        """Run pieces in one call and return a reply for each, in order.

        Raises:
            TargetFailed: If there is no whole answer; the verdict says whether the
                pieces may have been run.
        """

    @abstractmethod
    async def free(self, address: Address, handles: Sequence[str]) -> None:
        """Give up results.

        Raises:
            TargetFailed: If the target did not answer.
        """
