"""Records of a results directory, as docs/experiments.md describes them.

A play writes whole milliseconds; readers take any number.
"""

import enum
from collections.abc import Sequence
from typing import Any, Literal, TypeVar

import attrs
import cattrs

from wagtailrun.targets.decisions import DecisionPoint

__all__ = [
    "DECISIONS_FILE",
    "CandidateRecord",
    "DecisionRecord",
    "EventRecord",
    "Outcome",
    "PlayRecords",
    "PromiseRecord",
    "RequestKind",
    "RequestRecord",
    "Run",
    "SampleRecord",
    "StepRecord",
    "structure",
]

# Name of the file of a play with its decisions.
DECISIONS_FILE = "decisions.jsonl"
# A longer duration is taken for a fault of the record; histograms end there.
MAX_DURATION_MS = 86_400_000
# From here on, not every whole number has a double.
MAX_NUMBER = 2**53
# Faults of one record that a message names.
MAX_FAULTS = 3

T = TypeVar("T")

# What a candidate was ranked by; several numbers are compared one after the other.
RankValue = float | tuple[float, ...] | None
RequestKind = Literal["pipeline", "call", "order"]


class Outcome(enum.StrEnum):
    """How a request ended."""

    SERVED = "served"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"


@attrs.frozen
class Run:
    """What ``run.json`` says; docs/experiments.md describes the fields."""

    format: int
    version: str
    name: str
    world: Literal["emulator", "processes"]
    length_ms: float
    variants: list[str]
    seeds: list[int]
    finished: list[tuple[str, int]]
    complete: bool


@attrs.frozen
class StepRecord:
    """Step of a request; durations are in milliseconds."""

    stage: str
    target: str
    queue_ms: float
    run_ms: float
    first_ms: float | None


@attrs.frozen
class RequestRecord:
    """What one request experienced; docs/experiments.md describes the fields."""

    number: int
    workspace: str
    data_centre: str
    entry: str
    kind: RequestKind
    name: str
    intended_at_ms: float
    sent_at_ms: float
    deadline_ms: float
    prompt_tokens: int
    max_tokens: int
    outcome: Outcome
    reason: str
    verdict: str
    retry_after_ms: float
    first_ms: float | None
    ended_ms: float | None
    tokens: int
    attempts: int
    hedges: int
    wasted_ms: float
    steps: tuple[StepRecord, ...]

    def __attrs_post_init__(self) -> None:
        """Check fields against each other.

        Raises:
            ValueError: If they contradict each other.
        """
        if self.outcome is Outcome.REFUSED and not self.reason:
            raise ValueError("refused without a reason")
        needs_end = (Outcome.SERVED, Outcome.LATE, Outcome.REFUSED)
        if self.outcome in needs_end and self.ended_ms is None:
            raise ValueError(f"{self.outcome} without ended_ms")
        durations = (
            self.first_ms,
            self.ended_ms,
            self.sent_at_ms - self.intended_at_ms,
        )
        if any(each is not None and each > MAX_DURATION_MS for each in durations):
            raise ValueError("a duration is longer than a day")


@attrs.frozen
class EventRecord:
    """Fault or planned work; ``until_ms`` is None if it does not end."""

    at_ms: float
    until_ms: float | None
    kind: str
    subject: tuple[str, ...]
    planned: bool


@attrs.frozen
class SampleRecord:
    """State of one target at one time; ``capacity`` is in requests at once."""

    at_ms: float
    target: str
    service: str
    data_centre: str
    running: float
    queued: float
    capacity: float
    present: bool


@attrs.frozen
class CandidateRecord:
    """Candidate of a decision; docs/experiments.md describes the fields."""

    name: str
    value: RankValue
    left_out: str


@attrs.frozen
class DecisionRecord:
    """Decision about a request; docs/experiments.md describes the fields."""

    at_ms: float
    entry: str
    request: str
    step: str
    point: DecisionPoint
    chosen: str
    reason: str
    candidates: tuple[CandidateRecord, ...]


def _is_number(value: Any) -> bool:
    return type(value) in (int, float) and abs(value) < MAX_NUMBER


def _is_text(value: Any) -> bool:
    # JSON may hold half a surrogate pair, which no file in UTF-8 can.
    if type(value) is not str:
        return False
    return value.isascii() or value == value.encode(errors="replace").decode()


def _is_plain(_: Any, field: "attrs.Attribute[Any]", value: Any) -> None:
    is_empty = value is None or type(value) is bool
    if not is_empty and not _is_number(value) and not _is_text(value):
        raise ValueError(f"{field.name} is no number, text or null")


@attrs.frozen
class PromiseRecord:
    """Promise of an experiment; ``held`` is None if it was not measured."""

    name: str
    bound: Any = attrs.field(validator=_is_plain)
    measured: Any = attrs.field(validator=_is_plain)
    unit: str
    held: bool | None
    detail: str


@attrs.frozen
class PlayRecords:
    """All records of one play."""

    requests: Sequence[RequestRecord]
    events: Sequence[EventRecord]
    samples: Sequence[SampleRecord]
    promises: Sequence[PromiseRecord]


def _whole(value: Any, _: type) -> int:
    if type(value) is not int or not 0 <= value < MAX_NUMBER:
        raise ValueError(f"{value!r:.40} is no whole number from 0")
    return value


def _number(value: Any, _: type) -> float:
    if not _is_number(value) or value < 0:
        raise ValueError(f"{value!r:.40} is no number from 0")
    return float(value)


def _text(value: Any, _: type) -> str:
    if not _is_text(value):
        raise ValueError(f"{value!r:.40} is no text")
    return str(value)


def _boolean(value: Any, _: type) -> bool:
    if type(value) is not bool:
        raise ValueError(f"{value!r:.40} is neither true nor false")
    return value


def _rank_value(value: Any, _: Any) -> RankValue:
    if value is None or _is_number(value):
        return None if value is None else float(value)
    if type(value) is list and all(map(_is_number, value)):
        return tuple(map(float, value))
    raise ValueError(f"{value!r:.40} is no number, list of numbers or null")


def _is_list(kind: Any) -> bool:
    of_any_length = getattr(kind, "__args__", ())[1:] == (Ellipsis,)
    return of_any_length or getattr(kind, "__origin__", None) is list


def _list_of(kind: Any) -> Any:
    """Return a hook for a list; without one, a text is taken for a list."""
    inner = kind.__args__[0]

    def check(value: Any, _: type) -> Any:
        if type(value) is not list:
            raise ValueError(f"{value!r:.40} is no list")
        return kind([CONVERTER.structure(each, inner) for each in value])

    return check


def _describe(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return "missing field"
    return str(error) or cattrs.v.format_exception(error, kind)


CONVERTER = cattrs.Converter()
CONVERTER.register_structure_hook(int, _whole)
CONVERTER.register_structure_hook(float, _number)
CONVERTER.register_structure_hook(str, _text)
CONVERTER.register_structure_hook(bool, _boolean)
# Else the hook for texts would take any text for an outcome.
CONVERTER.register_structure_hook(Outcome, lambda value, _: Outcome(value))
CONVERTER.register_structure_hook(DecisionPoint, lambda v, _: DecisionPoint(v))
CONVERTER.register_structure_hook_func(lambda kind: kind == RankValue, _rank_value)
CONVERTER.register_structure_hook_factory(_is_list, _list_of)


def structure(value: Any, kind: type[T]) -> T:
    """Return a JSON value as a record.

    Raises:
        ValueError: If a field is missing, of another type or out of range.
    """
    if type(value) is not dict:
        raise ValueError(f"{value!r:.40} is no JSON object")
    try:
        return CONVERTER.structure(value, kind)
    except cattrs.BaseValidationError as error:
        faults = cattrs.transform_error(error, "record", _describe)
        raise ValueError("; ".join(faults[:MAX_FAULTS])) from error
