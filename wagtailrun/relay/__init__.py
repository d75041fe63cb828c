"""Relays requests to targets unchanged, by route, after running their stages."""

from wagtailrun.relay.front import RelayHandler
from wagtailrun.relay.port import (
    AnswerHead,
    AttemptContext,
    MalformedBound,
    PromptPart,
    RelayRequest,
    RelayWire,
    TargetLoad,
    TargetNotice,
)

__all__ = [
    "AnswerHead",
    "AttemptContext",
    "MalformedBound",
    "PromptPart",
    "RelayHandler",
    "RelayRequest",
    "RelayWire",
    "TargetLoad",
    "TargetNotice",
]
