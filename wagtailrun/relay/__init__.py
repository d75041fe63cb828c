"""Relays requests to targets unchanged, by route, after running their stages.

Only the types of the wire format are exported here: with the handler of requests a
control member would import stages and placement, 70 of the 440 ms of its start.
"""

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

__all__ = [
    "AnswerHead",
    "AttemptContext",
    "MalformedBound",
    "PromptPart",
    "RelayRequest",
    "RelayWire",
    "TargetLoad",
    "TargetNotice",
]
