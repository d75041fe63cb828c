"""Counts and sums of plays, of a size that does not grow with their requests."""

import math
from collections import Counter, defaultdict
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.experiments.records import (
    MAX_DURATION_MS,
    EventRecord,
    Outcome,
    PromiseRecord,
    RequestRecord,
    SampleRecord,
)
from wagtailrun.experiments.reports.outages import FaultKey, Outage, Outages
from wagtailrun.experiments.reports.reading import Play, ResultsDirectory

__all__ = ["WAITS", "Cell", "PlayTally", "Refused", "Tally", "tally_play"]

# Intervals of the plots over time.
INTERVALS = 60
HISTOGRAM_DIGITS = 3
# Classes of refusals by the longest time that they were held, in milliseconds.
WAITS = {"up to 10 ms": 10, "up to 100 ms": 100, "up to 1 s": 1_000, "over 1 s": None}


@attrs.frozen
class Cell:
    """Requests of a data centre or workspace that start in one interval."""

    name: str
    outcome: Outcome
    interval: int


@attrs.frozen
class Refused:
    """Refused requests with one reason and a key of ``WAITS``."""

    reason: str
    wait: str


@attrs.frozen
class Use:
    """Samples of the targets of a service in one interval."""

    service: str
    interval: int


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_DURATION_MS, HISTOGRAM_DIGITS)


def _sums() -> Any:
    return attrs.field(factory=lambda: defaultdict(float))


@attrs.define
class Tally:
    """Counts and sums of one play, or of several plays of one variant.

    Attributes:
        length_ms: Length of a play, in milliseconds.
        plays: Number of plays.
        outcomes, centres, workspaces, refusals: Counts of requests.
        beyond: Requests that start after the end of the play; plots leave them out.
        first, end: Milliseconds from the intended start to the first token of all
            requests that have one, and to the end of all that are complete.
        lateness: Milliseconds from the intended start to the sending; 0 if it was
            sent early.
        queue_ms, run_ms: Time of the attempts that counted, by stage.
        wasted_ms: Time of targets that was not used.
        attempts: Attempts at targets.
        running, capacity: Sums over samples, in requests at once.
        events: Faults and planned work of any of the plays.
        outages: What the requests of each play experienced, by fault.
    """

    length_ms: float
    plays: int = 0
    outcomes: Counter[Outcome] = attrs.field(factory=Counter)
    centres: Counter[Cell] = attrs.field(factory=Counter)
    workspaces: Counter[Cell] = attrs.field(factory=Counter)
    refusals: Counter[Refused] = attrs.field(factory=Counter)
    beyond: int = 0
    first: HdrHistogram = attrs.field(factory=_histogram)
    end: HdrHistogram = attrs.field(factory=_histogram)
    lateness: HdrHistogram = attrs.field(factory=_histogram)
    queue_ms: dict[str, float] = _sums()
    run_ms: dict[str, float] = _sums()
    wasted_ms: float = 0.0
    attempts: int = 0
    running: dict[Use, float] = _sums()
    capacity: dict[Use, float] = _sums()
    events: set[EventRecord] = attrs.field(factory=set)
    outages: dict[FaultKey, list[Outage]] = attrs.field(
        factory=lambda: defaultdict(list)
    )

    @property
    def requests(self) -> int:
        """Number of requests."""
        return self.outcomes.total()

    @property
    def interval_ms(self) -> int:
        """Length of an interval in milliseconds: whole seconds."""
        return math.ceil(self.length_ms / (INTERVALS * MS_PER_SECOND)) * MS_PER_SECOND

    def add_request(self, request: RequestRecord) -> None:
        """Count a request."""
        outcome = request.outcome
        self.outcomes[outcome] += 1
        if request.intended_at_ms < self.length_ms:
            interval = int(request.intended_at_ms // self.interval_ms)
            self.centres[Cell(request.data_centre, outcome, interval)] += 1
            self.workspaces[Cell(request.workspace, outcome, interval)] += 1
        else:
            self.beyond += 1
        # A timer of a real sender may end a little early.
        late_ms = max(request.sent_at_ms - request.intended_at_ms, 0)
        self.lateness.record_value(round(late_ms))
        if request.first_ms is not None:
            self.first.record_value(round(request.first_ms))
        if request.ended_ms is not None:
            if outcome in (Outcome.SERVED, Outcome.LATE):
                self.end.record_value(round(request.ended_ms))
            elif outcome is Outcome.REFUSED:
                wait = _wait(request.ended_ms)
                self.refusals[Refused(request.reason, wait)] += 1
        self.wasted_ms += request.wasted_ms
        self.attempts += request.attempts
        for step in request.steps:
            self.queue_ms[step.stage] += step.queue_ms
            self.run_ms[step.stage] += step.run_ms

    def add_sample(self, sample: SampleRecord) -> None:
        """Count a sample of a target that is present, up to the end of the play."""
        if sample.present and sample.at_ms < self.length_ms:
            use = Use(sample.service, int(sample.at_ms // self.interval_ms))
            self.running[use] += sample.running
            self.capacity[use] += sample.capacity

    def merge(self, other: "Tally") -> None:
        """Add the tally of other plays of the same length."""
        for name in attrs.fields_dict(Tally):
            mine, theirs = getattr(self, name), getattr(other, name)
            if isinstance(mine, HdrHistogram):
                mine.add(theirs)
            elif isinstance(mine, set):
                mine |= theirs
            elif isinstance(mine, dict):
                for key, value in theirs.items():
                    mine[key] += value
            elif name != "length_ms":
                setattr(self, name, mine + theirs)


def _wait(held_ms: float) -> str:
    return next(
        label
        for label, longest_ms in WAITS.items()
        if longest_ms is None or held_ms <= longest_ms
    )


@attrs.frozen
class PlayTally:
    """Tally of one play, with its promises and what is missing."""

    seed: int
    tally: Tally
    promises: list[PromiseRecord]
    gaps: list[str]


def tally_play(results: ResultsDirectory, play: Play) -> PlayTally:
    """Read a play.

    Raises:
        ResultsError: If a file of the play is missing or invalid.
    """
    tally = Tally(results.run.length_ms, plays=1)
    tally.events.update(results.events(play))
    outages = Outages(tally.events, tally.length_ms)
    for request in results.requests(play):
        tally.add_request(request)
        outages.add(request)
    for fault, outage in outages.by_fault.items():
        tally.outages[fault].append(outage)
    sampled_ms = -math.inf
    for sample in results.samples(play):
        tally.add_sample(sample)
        sampled_ms = max(sampled_ms, sample.at_ms)
    gaps = []
    # Samples are taken each second, the last one up to a second before the end.
    if sampled_ms < tally.length_ms - 2 * MS_PER_SECOND:
        gaps.append(f"{play.path}/samples.jsonl: the samples end before the play does")
    if tally.beyond:
        detail = f"{tally.beyond} requests start after the end of the play"
        gaps.append(f"{play.path}/requests.jsonl: {detail}; plots leave them out")
    return PlayTally(play.seed, tally, results.promises(play), gaps)
