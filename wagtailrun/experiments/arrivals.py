"""Draws the intended starts and the sizes of an experiment's requests."""

import random
from collections.abc import Iterator
from typing import Any

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.experiments.model import (
    Arrivals,
    Distribution,
    Load,
    Scenario,
    Sizes,
    kind_of_work,
)

__all__ = ["make_arrivals"]


def make_arrivals(scenario: Scenario, seed: int) -> list[dict[str, Any]]:
    """Return the arrivals of all loads in order of time, as records of a trace."""
    arrivals = []
    for number, load in enumerate(scenario.loads):
        # Times and sizes of each load have a sequence of their own, so that a variant
        # changes only the draws that it is about.
        sizes = random.Random(f"{seed}/{number}/sizes")
        if load.arrivals is Arrivals.TRACE:
            made = (dict(record) for record in load.recorded)
        else:
            times = random.Random(f"{seed}/{number}/times")
            made = (
                _draw_arrival(load, scenario, at_ms, sizes)
                for at_ms in _draw_times(load, times)
            )
        for count, arrival in enumerate(made):
            if kind_of_work(scenario.fleet, arrival) == "order":
                arrival["key"] = arrival.get("key") or f"load-{number}-{count}"
            arrivals.append(arrival)
    return sorted(arrivals, key=lambda arrival: int(arrival["at"]))


def _draw_times(load: Load, source: random.Random) -> Iterator[int]:
    """Yield intended starts in milliseconds: a Poisson process of changing rate."""
    highest = max(load.rate, load.peak_rate)
    at_ms = float(load.start_ms)
    while highest > 0:
        at_ms += source.expovariate(highest) * MS_PER_SECOND
        if at_ms >= load.end_ms:
            return
        if source.random() * highest < _rate(load, at_ms):
            yield int(at_ms)


def _rate(load: Load, at_ms: float) -> float:
    """Return the requests a second at a time."""
    since_ms = at_ms - load.start_ms
    if load.arrivals is Arrivals.RAMP:
        share = since_ms / (load.end_ms - load.start_ms)
        return load.rate + share * (load.peak_rate - load.rate)
    if load.arrivals is Arrivals.BURSTS:
        in_burst = since_ms % load.burst_every_ms < load.burst_ms
        return load.peak_rate if in_burst else load.rate
    return load.rate


def _draw_arrival(
    load: Load, scenario: Scenario, at_ms: int, source: random.Random
) -> dict[str, Any]:
    data_centres = list(scenario.entries_by_data_centre)
    arrival: dict[str, Any] = {
        "kind": "arrival",
        "at": at_ms,
        "workspace": load.workspace,
        "data_centre": load.data_centre or source.choice(data_centres),
    }
    if load.pipeline:
        arrival["pipeline"] = load.pipeline
        arrival["prompt"] = _draw_size(load.prompt, source)
        arrival["output"] = _draw_size(load.answer, source)
    else:
        arrival |= {"service": load.service, "call": load.call}
    if load.deadline_ms is not None:
        arrival["deadline"] = load.deadline_ms
    return arrival


def _draw_size(sizes: Distribution, source: random.Random) -> int:
    if sizes.kind is Sizes.LOGNORMAL:
        median, highest = sizes.values
        drawn = median * source.lognormvariate(0.0, sizes.sigma)
        return max(1, round(min(drawn, highest)))
    if sizes.kind is Sizes.UNIFORM:
        low, high = map(int, sizes.values)
        return source.randint(low, high)
    return int(source.choice(sizes.values))
