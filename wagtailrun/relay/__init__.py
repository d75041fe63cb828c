"""Passes requests on to targets unchanged, by routes, with stages before them."""

from wagtailrun.relay.front import RelayFront
from wagtailrun.relay.port import (
    AnswerHead,
    AttemptOrder,
    PromptPart,
    RelayRequest,
    RelayWire,
    TargetLoad,
)

__all__ = [
    "AnswerHead",
    "AttemptOrder",
    "PromptPart",
    "RelayFront",
    "RelayRequest",
    "RelayWire",
    "TargetLoad",
]
