"""Stages before a request: pieces of many requests share the calls at a target."""

from wagtailrun.stages.messages import (
    CancelPieces,
    FreeResults,
    JobState,
    PieceResult,
    PiecesDropped,
    PiecesState,
    RunPieces,
)
from wagtailrun.stages.pool import PoolHost
from wagtailrun.stages.port import PieceOutcome, StageClient, StageItem
from wagtailrun.stages.runner import StagedWork, StageResults, StageRunner

__all__ = [
    "CancelPieces",
    "FreeResults",
    "JobState",
    "PieceOutcome",
    "PieceResult",
    "PiecesDropped",
    "PiecesState",
    "PoolHost",
    "RunPieces",
    "StageClient",
    "StageItem",
    "StageResults",
    "StageRunner",
    "StagedWork",
]
