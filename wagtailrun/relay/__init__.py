"""Relays requests to targets unchanged, by route, after running their stages."""

from wagtailrun.relay.core.port import (
    AnswerHead,
    AttemptContext,
    MalformedBound,
    PromptPart,
    RelayRequest,
    RelayWire,
    TargetLoad,
    TargetNotice,
)
from wagtailrun.relay.requests.front import RelayHandler

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
