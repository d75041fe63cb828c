"""Parameters of the models of targets, with defaults of a mid-size deployment."""

from collections.abc import Callable
from typing import Any

import attrs

from wagtailrun.exceptions import ExperimentFileError

__all__ = ["EngineParameters", "PlainParameters", "StageParameters"]

MAX_COUNT = 1_000_000
MAX_TOKENS = 100_000_000
MAX_BYTES = 1e15
MAX_MS = 86_400_000.0


def _check(kind: type, low: float, high: float) -> Callable[[Any, Any, Any], None]:
    """Return a validator of numbers that names key, value and remedy."""

    def validate(_: Any, field: "attrs.Attribute[Any]", value: Any) -> None:
        is_number = type(value) is int or (kind is float and type(value) is float)
        if not is_number or not low <= value <= high:
            whole = "a whole number" if kind is int else "a number"
            remedy = f"give {whole} from {low:g} to {high:g}"
            detail = f"{field.name}: {value!r:.40} is not accepted; {remedy}"
            raise ExperimentFileError([detail])

    return validate


def _count(default: int, low: int = 0, high: int = MAX_COUNT) -> Any:
    return attrs.field(default=default, validator=_check(int, low, high))


def _number(default: float, low: float, high: float) -> Any:
    return attrs.field(default=default, validator=_check(float, low, high))


def _names(_: Any, field: "attrs.Attribute[Any]", value: Any) -> None:
    if not isinstance(value, tuple) or not all(type(n) is str and n for n in value):
        remedy = "give a list of names of parts"
        detail = f"{field.name}: {value!r:.40} is not accepted; {remedy}"
        raise ExperimentFileError([detail])


@attrs.frozen(kw_only=True)
class EngineParameters:
    """Speed and size of an engine with continuous batching.

    Attributes:
        slots: Requests in the batch at once.
        max_waiting: Requests that wait for a slot or for memory; more are refused.
        memory_tokens: Tokens that fit its memory, of requests and cached parts.
        step_ms: Duration of a step in which any stream decodes, without its streams.
        stream_step_ms: By how much each stream that decodes makes a step longer.
        prefill_tokens_per_ms: Prompt tokens read in a millisecond.
        chunk_tokens: Most prompt tokens that one step reads, of all requests.
        cold_factor: How many times slower it is right after its start.
        warm_up_ms: Work after which it has its usual speed, in milliseconds at the
            usual speed; it warms evenly with its work.
        report_lag_ms: Age of the load that it tells.
        crash_parts: Names of parts whose prefill ends its process.
    """

    slots: int = _count(64, 1)
    max_waiting: int = _count(64)
    memory_tokens: int = _count(580_000, 1, MAX_TOKENS)
    step_ms: float = _number(4.55, 0.001, MAX_MS)
    # Reading the keys and values of one stream of about 2,000 tokens.
    stream_step_ms: float = _number(0.05, 0.0, MAX_MS)
    prefill_tokens_per_ms: float = _number(61.0, 0.001, 1e6)
    chunk_tokens: int = _count(512, 1)
    cold_factor: float = _number(3.0, 1.0, 1_000.0)
    warm_up_ms: float = _number(2_000.0, 0.0, MAX_MS)
    report_lag_ms: float = _number(500.0, 0.0, MAX_MS)
    crash_parts: tuple[str, ...] = attrs.field(default=(), validator=_names)


@attrs.frozen(kw_only=True)
class StageParameters:
    """Speed and size of a target of a stage, which runs several pieces in a call.

    Attributes:
        places: Calls at once.
        max_waiting: Calls that wait for a place; more are refused.
        pieces_per_call: Most pieces in a call.
        call_ms: Duration of a call without its pieces.
        piece_ms: By how much each piece makes a call longer.
        memory_bytes: Bytes that fit its memory for results.
        result_bytes: Bytes of the result of a piece.
        result_ms: How long it keeps a result that nobody releases.
        report_lag_ms: Age of the load that it tells.
    """

    places: int = _count(1, 1)
    max_waiting: int = _count(1)
    pieces_per_call: int = _count(7, 1)
    call_ms: float = _number(150.0, 0.0, MAX_MS)
    piece_ms: float = _number(18.0, 0.0, MAX_MS)
    memory_bytes: float = _number(1_300_000.0, 1.0, MAX_BYTES)
    result_bytes: float = _number(30_000.0, 0.0, MAX_BYTES)
    result_ms: float = _number(10_000.0, 0.0, MAX_MS)
    report_lag_ms: float = _number(500.0, 0.0, MAX_MS)


@attrs.frozen(kw_only=True)
class PlainParameters:
    """Speed and size of a plain service.

    Attributes:
        slots: Calls at once.
        max_waiting: Calls that wait for a slot; more are refused.
        service_ms: Mean duration of a call.
        spread: Durations are even between ``1 - spread`` and ``1 + spread`` times the
            mean.
        report_lag_ms: Age of the load that it tells.
    """

    slots: int = _count(6, 1)
    max_waiting: int = _count(256)
    service_ms: float = _number(45.0, 0.0, MAX_MS)
    spread: float = _number(0.3, 0.0, 1.0)
    report_lag_ms: float = _number(500.0, 0.0, MAX_MS)
