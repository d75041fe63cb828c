"""Handles the stage messages of other entries, also while this entry stops."""

from collections.abc import Callable

from wagtailrun.exceptions import Verdict
from wagtailrun.messages import STOPPING, PeerError
from wagtailrun.stages.batcher import StageBatcher
from wagtailrun.stages.messages import (
    CallMade,
    CancelPieces,
    CarryCall,
    FreeResults,
    PiecesDropped,
    PiecesState,
    RunPieces,
    TakenOver,
    TakeOver,
)
from wagtailrun.stages.spread import DelegatingStageClient
from wagtailrun.stages.succession import CALL_TIMEOUT_MS

__all__ = ["StageHost"]

# Reason of an entry that does not know how old a message is.
STOOD_STILL = "stood-still"


class StageHost:
    """Runs pieces and calls for other entries.

    An entry that stops takes nothing new, as the end of the process could cut it off
    after it has begun to run. It finishes the calls that it has begun, and the next
    owners take over what waits.

    Args:
        batcher: Forms the calls of the services that this entry owns.
        client: Sends calls to targets.
        is_stopping: Returns whether this entry stops.
    """

    def __init__(
        self,
        batcher: StageBatcher,
        client: DelegatingStageClient,
        is_stopping: Callable[[], bool],
    ):
        self.batcher = batcher
        self.client = client
        self.is_stopping = is_stopping

    @property
    def is_idle(self) -> bool:
        """Whether no entry waits for pieces or calls."""
        batcher = self.batcher
        busy = batcher.has_open_jobs or batcher.has_unreported_jobs
        return not (busy or self.client.running_for_peers)

    async def handle(
        self, message: RunPieces | CancelPieces | FreeResults | CarryCall | TakeOver
    ) -> PiecesState | PiecesDropped | CallMade | TakenOver | PeerError:
        """Return the reply to one message of another entry."""
        if isinstance(message, TakeOver):
            if self.is_stopping():
                return PeerError(STOPPING, "this entry stops")
            sent_ms = self.batcher.clock.now_ms() - CALL_TIMEOUT_MS
            if self.batcher.was_held_since(sent_ms):
                # The sender may have given up, and run the pieces itself.
                return PeerError(STOOD_STILL, "this entry stood still")
            return await self.batcher.take_over(message)
        if isinstance(message, CarryCall):
            if self.is_stopping():
                # The other entry sends the call itself, over its own links.
                return CallMade(
                    "this entry stops",
                    Verdict.NOT_RUN,
                    connected=False,
                    confirmed=False,
                )
            return await self.client.run_for_peer(message)
        is_new = isinstance(message, RunPieces) and not self.batcher.has_taken(message)
        if is_new and self.is_stopping():
            return PeerError(STOPPING, "this entry stops")
        return await self.batcher.handle(message)
