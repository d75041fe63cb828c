"""Makes the records of requests from what the player saw."""

from collections.abc import Mapping, Sequence

from wagtailrun.exceptions import Verdict
from wagtailrun.experiments.attempts import AttemptRecord
from wagtailrun.experiments.records import (
    Outcome,
    RequestKind,
    RequestRecord,
    StepRecord,
)
from wagtailrun.replay.report import Outcome as PlayerOutcome

__all__ = ["make_request_record"]

WRONG_ANSWER = "wrong-answer"
INTERNAL = "internal"


def make_request_record(
    number: int,
    outcome: PlayerOutcome,
    kind: RequestKind,
    attempts: Sequence[AttemptRecord],
    hedges: int,
    engine_ms_by_attempt: Mapping[tuple[str, int], float],
) -> RequestRecord:
    """Return the record of a request.

    Args:
        number: Its place in the order of intended starts.
        outcome: Its result at the player.
        kind: ``pipeline``, ``call`` or ``order``.
        attempts: Its attempts, in order of sending.
        hedges: Number of those that were hedges.
        engine_ms_by_attempt: Processing times by stage and number of the attempt.
    """
    arrival = outcome.arrival
    at_ms = int(arrival["at"])
    counted = _counted_attempts(attempts)
    result, reason, verdict = _classify(outcome)
    answered = result in (Outcome.SERVED, Outcome.LATE)
    ended_ms = int(outcome.ended_ms) - at_ms
    first_ms = outcome.first_ms
    if answered and first_ms is None:
        first_ms = ended_ms
    used_ms = 0.0
    if answered:
        used = [*counted, *_resumed_attempts(attempts, counted)]
        keys = {(attempt.stage, attempt.number) for attempt in used}
        used_ms = sum(engine_ms_by_attempt.get(key, 0.0) for key in sorted(keys))
    refusal = outcome.refusal
    return RequestRecord(
        number=number,
        workspace=arrival["workspace"],
        data_centre=arrival.get("data_centre", ""),
        entry=outcome.entry,
        kind=kind,
        name=arrival.get("pipeline") or f"{arrival['service']}/{arrival['call']}",
        intended_at_ms=at_ms,
        sent_at_ms=int(outcome.sent_ms),
        deadline_ms=outcome.deadline_ms,
        prompt_tokens=arrival.get("prompt", 0),
        max_tokens=arrival.get("output", 0),
        outcome=result,
        reason=reason,
        verdict=verdict,
        retry_after_ms=refusal.retry_after_ms if refusal else 0,
        first_ms=None if first_ms is None else int(first_ms),
        ended_ms=ended_ms,
        tokens=outcome.tokens,
        attempts=len(attempts),
        hedges=hedges,
        wasted_ms=round(max(sum(engine_ms_by_attempt.values()) - used_ms, 0.0), 3),
        steps=_make_steps(at_ms, counted),
    )


def _classify(outcome: PlayerOutcome) -> tuple[Outcome, str, str]:
    """Return outcome, reason and verdict of a request."""
    if outcome.refusal is not None:
        refusal = outcome.refusal
        result = Outcome.BROKEN if outcome.tokens else Outcome.REFUSED
        return result, refusal.reason.value, refusal.verdict.value
    if outcome.wrong:
        return Outcome.FAILED, WRONG_ANSWER, Verdict.MAY_HAVE_RUN.value
    if outcome.complete:
        return Outcome.SERVED, "", ""
    if outcome.late:
        return Outcome.LATE, "", ""
    verdict = Verdict.MAY_HAVE_RUN if outcome.entry else Verdict.NOT_RUN
    result = Outcome.BROKEN if outcome.tokens else Outcome.FAILED
    return result, outcome.failure or INTERNAL, verdict.value


def _counted_attempts(attempts: Sequence[AttemptRecord]) -> list[AttemptRecord]:
    """Return of each stage the attempt that was complete first, in order of stages."""
    counted: dict[str, AttemptRecord] = {}
    ended = [attempt for attempt in attempts if attempt.ended_ms is not None]
    for attempt in sorted(ended, key=lambda each: each.ended_ms or 0):
        counted.setdefault(attempt.stage, attempt)
    return list(counted.values())


def _resumed_attempts(
    attempts: Sequence[AttemptRecord], counted: Sequence[AttemptRecord]
) -> list[AttemptRecord]:
    """Return the attempts whose first tokens a counted stream went on from."""
    offsets = {attempt.stage: attempt.resume_offset for attempt in counted}
    return [
        attempt
        for attempt in attempts
        if attempt.first_ms is not None
        and attempt.ended_ms is None
        and attempt.resume_offset < offsets.get(attempt.stage, 0)
    ]


def _make_steps(
    started_ms: int, counted: Sequence[AttemptRecord]
) -> tuple[StepRecord, ...]:
    steps = []
    for attempt in counted:
        if attempt.first_ms is None or attempt.ended_ms is None:
            continue
        steps.append(
            StepRecord(
                attempt.stage,
                attempt.target,
                attempt.sent_ms - started_ms,
                attempt.ended_ms - attempt.sent_ms,
                attempt.first_ms - attempt.sent_ms,
            )
        )
        started_ms = attempt.ended_ms
    return tuple(steps)
