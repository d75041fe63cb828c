"""Models of targets that work in virtual time: engines, stages and plain services."""

from wagtailrun.experiments.target_models.base import (
    Load,
    LostRequest,
    ModelTarget,
    RefusalCause,
)
from wagtailrun.experiments.target_models.driver import ModelDriver
from wagtailrun.experiments.target_models.engine import (
    EngineModel,
    EngineRequest,
    PromptPart,
    StreamEvent,
)
from wagtailrun.experiments.target_models.parameters import (
    EngineParameters,
    PlainParameters,
    StageParameters,
)
from wagtailrun.experiments.target_models.plain import PlainAnswer, PlainModel
from wagtailrun.experiments.target_models.prefix_cache import PrefixCache
from wagtailrun.experiments.target_models.stage import (
    CallAnswer,
    Piece,
    PieceEnd,
    PieceReply,
    StageCall,
    StageModel,
)

__all__ = [
    "CallAnswer",
    "EngineModel",
    "EngineParameters",
    "EngineRequest",
    "Load",
    "LostRequest",
    "ModelDriver",
    "Piece",
    "PieceEnd",
    "PieceReply",
    "PlainAnswer",
    "PlainModel",
    "PlainParameters",
    "PrefixCache",
    "PromptPart",
    "RefusalCause",
    "StageCall",
    "StageModel",
    "StageParameters",
    "StreamEvent",
    "ModelTarget",
]
