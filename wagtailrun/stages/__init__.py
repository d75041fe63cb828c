"""Stages that prepare a request: pieces of many requests share calls to targets."""

from wagtailrun.stages.batcher import StageBatcher
from wagtailrun.stages.host import StageHost
from wagtailrun.stages.lost_results import EntryStarts
from wagtailrun.stages.messages import (
    CallMade,
    CancelPieces,
    CarryCall,
    FreeResults,
    JobState,
    PieceResult,
    PiecesDropped,
    PiecesState,
    RunPieces,
    TakeOver,
)
from wagtailrun.stages.port import PieceOutcome, StageClient, StageItem
from wagtailrun.stages.runner import StagedWork, StageResults, StageRunner
from wagtailrun.stages.spread import DelegatingStageClient
from wagtailrun.stages.succession import Succession

__all__ = [
    "CallMade",
    "CancelPieces",
    "CarryCall",
    "EntryStarts",
    "FreeResults",
    "JobState",
    "PieceOutcome",
    "PieceResult",
    "PiecesDropped",
    "PiecesState",
    "StageBatcher",
    "RunPieces",
    "DelegatingStageClient",
    "StageClient",
    "StageHost",
    "StageItem",
    "StageResults",
    "StageRunner",
    "StagedWork",
    "Succession",
    "TakeOver",
]
