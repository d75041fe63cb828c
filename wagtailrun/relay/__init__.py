"""Passes requests on to targets unchanged, by routes, with stages before them."""

from wagtailrun.relay.front import RelayHandler
from wagtailrun.relay.port import (
    AnswerHead,
    AttemptContext,
    PromptPart,
    RelayRequest,
    RelayWire,
    TargetLoad,
)

__all__ = [
    "AnswerHead",
    "AttemptContext",
    "PromptPart",
    "RelayHandler",
    "RelayRequest",
    "RelayWire",
    "TargetLoad",
]
