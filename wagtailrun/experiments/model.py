"""Classes of a checked experiment."""

import enum
from typing import Any

import attrs

from wagtailrun.experiments.records import RequestKind
from wagtailrun.fleet.model import FleetConfiguration
from wagtailrun.replay.emulated_target import TargetModel

__all__ = [
    "Arrivals",
    "Distribution",
    "EntryKind",
    "Experiment",
    "Fault",
    "FaultKind",
    "Load",
    "Measure",
    "Promise",
    "Scenario",
    "Sizes",
    "TargetGroup",
    "TargetLimits",
    "kind_of_work",
]


class Arrivals(enum.StrEnum):
    """Pattern of the intended starts of a load."""

    POISSON = "poisson"
    BURSTS = "bursts"
    RAMP = "ramp"
    TRACE = "trace"


class Sizes(enum.StrEnum):
    """Named distributions of sizes."""

    FIXED = "fixed"
    UNIFORM = "uniform"
    LOGNORMAL = "lognormal"
    CHOICE = "choice"


class EntryKind(enum.StrEnum):
    """Which entries a fleet has."""

    PRODUCT = "product"
    RELAY = "relay"


class FaultKind(enum.StrEnum):
    """Faults and planned work."""

    KILL_ENTRY = "kill-entry"
    ROLLING_RESTART = "rolling-restart"
    KILL_TARGET = "kill-target"
    LOSE_TARGET = "lose-target"
    PAUSE_TARGET = "pause-target"
    SLOW_TARGET = "slow-target"
    SILENCE_TARGET = "silence-target"
    LOSE_REPORTS = "lose-reports"
    CUT = "cut"
    CUT_ONE_WAY = "cut-one-way"
    CHANGE_FLEET = "change-fleet"


class Measure(enum.StrEnum):
    """What a promise bounds."""

    SERVED_SHARE = "served-share"
    FIRST_P95 = "first-p95-ms"
    REFUSED_SHARE = "refused-share"
    ORDER_RUNS = "order-runs"
    HELD_THEN_REFUSED = "held-then-refused-share"


@attrs.frozen
class Distribution:
    """Distribution of a size in tokens.

    Attributes:
        kind: Which one.
        values: The one value of ``fixed``; low and high of ``uniform``; the values of
            ``choice``; median and highest value of ``lognormal``.
        sigma: Standard deviation of the logarithm of ``lognormal``.
    """

    kind: Sizes = Sizes.FIXED
    values: tuple[float, ...] = (1,)
    sigma: float = 0.0


@attrs.frozen(kw_only=True)
class Load:
    """Requests of one kind; open loop.

    Attributes:
        arrivals: Pattern of the intended starts.
        workspace: Workspace of the callers.
        pipeline: Pipeline, empty for a call.
        service: Service of a call, empty for a pipeline.
        call: Call of the service.
        data_centre: Data centre of the callers; empty for each in turn at random.
        start_ms: When the load starts.
        end_ms: When it ends.
        rate: Requests a second; of ``ramp`` at its start, of ``bursts`` between them.
        peak_rate: Requests a second at the end of a ramp, or in bursts.
        burst_every_ms: Time from the start of a burst to that of the next one.
        burst_ms: Length of a burst.
        prompt: Tokens of the prompt.
        answer: Tokens of the answer.
        deadline_ms: Deadline of the callers; None is that of the fleet text.
        recorded: Arrivals of a recorded trace.
    """

    arrivals: Arrivals
    workspace: str = ""
    pipeline: str = ""
    service: str = ""
    call: str = ""
    data_centre: str = ""
    start_ms: int = 0
    end_ms: int = 0
    rate: float = 0.0
    peak_rate: float = 0.0
    burst_every_ms: int = 0
    burst_ms: int = 0
    prompt: Distribution = Distribution()
    answer: Distribution = Distribution()
    deadline_ms: int | None = None
    recorded: tuple[dict[str, Any], ...] = attrs.field(default=(), repr=False)

    @property
    def expected_requests(self) -> float:
        """Mean number of requests."""
        if self.arrivals is Arrivals.TRACE:
            return len(self.recorded)
        rate = self.rate
        if self.arrivals is Arrivals.RAMP:
            rate = (self.rate + self.peak_rate) / 2
        elif self.arrivals is Arrivals.BURSTS:
            share = min(self.burst_ms / max(self.burst_every_ms, 1), 1.0)
            rate += share * (self.peak_rate - self.rate)
        return rate * (self.end_ms - self.start_ms) / 1_000


@attrs.frozen(kw_only=True)
class Fault:
    """A fault or planned work.

    Attributes:
        kind: What happens.
        at_ms: When it starts.
        duration_ms: How long it lasts, None until the end; of ``rolling-restart`` how
            long each entry is down.
        subjects: Names of the entries, targets or data centres concerned.
        factor: How many times slower a slow target is.
        share: Share of the reports that are lost.
        gap_ms: Time between the return of an entry and the stop of the next one.
        outward: Whether what the data centre sends is lost, else what is sent to it.
        fleet: Fleet configuration from then on.
    """

    kind: FaultKind
    at_ms: int
    duration_ms: int | None = None
    subjects: tuple[str, ...] = ()
    factor: float = 1.0
    share: float = 1.0
    gap_ms: int = 0
    outward: bool = True
    fleet: FleetConfiguration | None = None

    @property
    def until_ms(self) -> int | None:
        """When it ends; None at the end of the play, or where that is not known."""
        if self.duration_ms is None or self.kind is FaultKind.ROLLING_RESTART:
            return None
        return self.at_ms + self.duration_ms


@attrs.frozen
class Promise:
    """A bound on a measure.

    Attributes:
        name: Name.
        measure: What is measured.
        bound: Smallest value of ``served-share``, else the largest one.
        workspace: Workspace whose requests count, empty for all.
        over_ms: How long a refused request was held before it counts.
        data_centre: Data centre whose callers' requests count, empty for all.
        from_ms: Earliest intended start of the requests that count.
        until_ms: Requests that start then or later do not count; None for the length.
    """

    name: str
    measure: Measure
    bound: float
    workspace: str = ""
    over_ms: int = 0
    data_centre: str = ""
    from_ms: int = 0
    until_ms: int | None = None


@attrs.frozen
class TargetLimits:
    """What the targets of a group state about the requests that they take.

    Attributes:
        limit_per_s: Requests a second that one takes; 0 if it names no limit.
        max_rejections: Rejections a second that one stands; None if it is not brittle.
        cold_ms: How long after a start one is cold; 0 if it never is.
        cold_per_s: Requests a second that one stands while it is cold.
    """

    limit_per_s: float = 0.0
    max_rejections: float | None = None
    cold_ms: int = 0
    cold_per_s: float = 0.0


@attrs.frozen
class TargetGroup:
    """Equal targets of a service in a data centre."""

    service: str
    data_centre: str
    count: int
    model: TargetModel
    limits: TargetLimits | None = None

    @property
    def names(self) -> list[str]:
        """Names that the player gives the targets."""
        prefix = f"{self.service}-{self.data_centre}"
        return [f"{prefix}-{number}" for number in range(self.count)]


@attrs.frozen(kw_only=True)
class Scenario:
    """What one variant plays.

    Attributes:
        length_ms: When the load ends; requests in progress end after it.
        fleet: Fleet configuration at the start.
        entries_by_data_centre: Number of entries.
        entry_kind: Which entries they are.
        targets: Targets.
        link_ms: One-way delay of every link.
        report_lag_ms: Delay of the targets' reports.
        cache_event_loss: Share of reports whose cache events are lost.
        settings: Settings of the entries that differ from their defaults, by name.
        loads: Loads.
        faults: Faults and planned work.
        promises: Promises.
    """

    length_ms: int
    fleet: FleetConfiguration
    entries_by_data_centre: dict[str, int]
    targets: tuple[TargetGroup, ...]
    link_ms: float
    report_lag_ms: int
    cache_event_loss: float
    settings: dict[str, Any]
    loads: tuple[Load, ...]
    faults: tuple[Fault, ...]
    promises: tuple[Promise, ...]
    entry_kind: EntryKind = EntryKind.PRODUCT

    @property
    def data_centres_by_entry(self) -> dict[str, str]:
        """Data centres of the entries by name."""
        return {
            f"entry-{data_centre}-{number}": data_centre
            for data_centre, count in self.entries_by_data_centre.items()
            for number in range(count)
        }


def kind_of_work(fleet: FleetConfiguration, arrival: dict[str, Any]) -> RequestKind:
    """Return whether an arrival is a ``pipeline``, a ``call`` or an ``order``."""
    if "pipeline" in arrival:
        return "pipeline"
    calls = fleet.services_by_name[arrival["service"]].calls_by_name
    return "call" if calls[arrival["call"]].idempotent else "order"


@attrs.frozen
class Experiment:
    """A checked experiment.

    Attributes:
        name: Name.
        text: The file as it was read.
        length_ms: Length of each play.
        seeds: Seeds to play.
        scenarios_by_variant: What each variant plays.
    """

    name: str
    text: str = attrs.field(repr=False)
    length_ms: int
    seeds: tuple[int, ...]
    scenarios_by_variant: dict[str, Scenario]
