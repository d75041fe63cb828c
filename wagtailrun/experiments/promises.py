"""Measures the promises of an experiment."""

from collections.abc import Mapping, Sequence

from wagtailrun.experiments.model import Measure, Promise
from wagtailrun.experiments.records import PromiseRecord, RequestRecord
from wagtailrun.replay.report import quantile

__all__ = ["measure_promise"]

UNITS = {Measure.FIRST_P95: "ms", Measure.ORDER_RUNS: "runs"}


def measure_promise(
    promise: Promise, requests: Sequence[RequestRecord], runs: Mapping[int, int]
) -> PromiseRecord:
    """Return the record of a promise.

    Args:
        promise: Promise.
        requests: All requests of the play.
        runs: How often each order ran, by the number of its request.
    """
    own = [request for request in requests if _counts(promise, request)]
    breaking = [request for request in own if _breaks(promise, request, runs)]
    measured: float | None = None
    match promise.measure:
        case Measure.SERVED_SHARE if own:
            measured = 1.0 - len(breaking) / len(own)
        case Measure.REFUSED_SHARE | Measure.HELD_THEN_REFUSED if own:
            measured = len(breaking) / len(own)
        case Measure.FIRST_P95:
            times = [r.first_ms for r in own if r.first_ms is not None]
            measured = quantile(times, 0.95) if times else None
        case Measure.ORDER_RUNS:
            orders = [request for request in own if request.kind == "order"]
            if orders:
                measured = max(runs.get(request.number, 0) for request in orders)
    if measured is None:
        held, detail = False, "no request to measure"
    else:
        held = measured <= promise.bound
        if promise.measure is Measure.SERVED_SHARE:
            held = measured >= promise.bound
        detail = "" if held else _describe(breaking[0], runs)
    unit = UNITS.get(promise.measure, "share")
    return PromiseRecord(promise.name, promise.bound, measured, unit, held, detail)


def _counts(promise: Promise, request: RequestRecord) -> bool:
    """Return whether a request is one of those that a promise is about."""
    at_ms, until_ms = request.intended_at_ms, promise.until_ms
    return (
        promise.workspace in ("", request.workspace)
        and promise.data_centre in ("", request.data_centre)
        and promise.from_ms <= at_ms
        and (until_ms is None or at_ms < until_ms)
    )


def _breaks(promise: Promise, request: RequestRecord, runs: Mapping[int, int]) -> bool:
    """Return whether a request speaks against a promise."""
    refused = request.outcome == "refused"
    match promise.measure:
        case Measure.SERVED_SHARE:
            return request.outcome != "served"
        case Measure.REFUSED_SHARE:
            return refused
        case Measure.HELD_THEN_REFUSED:
            return refused and (request.ended_ms or 0) > promise.over_ms
        case Measure.FIRST_P95:
            return request.first_ms is not None and request.first_ms > promise.bound
        case Measure.ORDER_RUNS:
            return runs.get(request.number, 0) > promise.bound


def _describe(request: RequestRecord, runs: Mapping[int, int]) -> str:
    words = [request.outcome, request.reason, request.verdict]
    if request.first_ms is not None:
        words.append(f"first after {request.first_ms} ms")
    if request.number in runs:
        words.append(f"ran {runs[request.number]} times")
    said = ", ".join(word for word in words if word)
    return f"request {request.number} at {request.intended_at_ms} ms: {said}"
