"""Report of a replay: measurements, and whether the stated outcomes hold."""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import Refusal
from wagtailrun.replay.emulated_target import EmulatedTarget

__all__ = ["Outcome", "ReplayReport", "ReportBuilder", "quantile"]

# Latency objectives for ``first_within`` and ``gap_within``.
OBJECTIVE_FIRST_TOKEN_MS = 1_200
OBJECTIVE_GAP_MS = 45


@attrs.define
class ReplayReport:
    """Measurements of a replay; durations are in milliseconds.

    Attributes are keys of the JSON report and of stated outcomes, so their names are
    fixed.

    Attributes:
        requests: Arrivals.
        complete: Requests answered completely, correctly and before their deadline.
        attainment: Share of requests that are complete.
        attainment_by_workspace: The same by workspace.
        attainment_by_pipeline: The same by pipeline, or by service and call.
        refusals_by_reason: Refused requests by reason and verdict.
        late: Requests whose complete answer arrived after the deadline.
        lost: Requests that got no answer because their entry failed.
        wrong: Answers with a part that is missing, repeated or of another request.
        first_token_p50, first_token_p95: Time to the first token.
        gap_p50, gap_p95: Time between tokens.
        gap_within: Share of gaps within the objective.
        first_within: Share of the received first tokens within the objective.
        cached_share: Share of prompt tokens that were in prefix caches.
        tokens: Tokens that engines generated.
        wasted_tokens: Generated tokens that are in no complete answer.
        engine_ms_by_stage: Processing time of targets, by stage.
        wasted_ms: Processing time that contributed to no complete answer.
        attempts, retries, hedges: Counts of first attempts, of retries of attempts that
            were sent, and of hedged attempts.
        redirects: Attempts at another target because no connection could be opened.
        extra_share: Retries and hedges as a share of first attempts.
        most_runs_of_an_order: Largest number of runs of one order key.
        false_not_run: Refusals with the verdict "not run" of orders that ran.
        refusal_wait_p95: Time from arrival to refusal.
        goodput_by_second: Complete pipeline answers by second of completion.
        violations: Stated outcomes that do not hold.
    """

    requests: int = 0
    complete: int = 0
    attainment: float = 0.0
    attainment_by_workspace: dict[str, float] = attrs.field(factory=dict)
    attainment_by_pipeline: dict[str, float] = attrs.field(factory=dict)
    refusals_by_reason: dict[str, int] = attrs.field(factory=dict)
    late: int = 0
    lost: int = 0
    wrong: int = 0
    first_token_p50: float = 0.0
    first_token_p95: float = 0.0
    gap_p50: float = 0.0
    gap_p95: float = 0.0
    gap_within: float = 1.0
    first_within: float = 1.0
    cached_share: float = 0.0
    tokens: int = 0
    wasted_tokens: int = 0
    engine_ms_by_stage: dict[str, float] = attrs.field(factory=dict)
    wasted_ms: float = 0.0
    attempts: int = 0
    retries: int = 0
    hedges: int = 0
    redirects: int = 0
    extra_share: float = 0.0
    most_runs_of_an_order: int = 0
    false_not_run: int = 0
    refusal_wait_p95: float = 0.0
    goodput_by_second: dict[int, int] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)

    @property
    def holds(self) -> bool:
        """Whether every stated outcome holds."""
        return not self.violations


@attrs.define
class Outcome:
    """Result of one arrival.

    Attributes:
        arrival: Record of the trace.
        request_id: Identifier of the request.
        deadline_ms: Deadline, from the arrival.
        ended_ms: End of the request on the virtual clock.
        complete: Whether the answer was complete, correct and in time.
        late: Whether the answer arrived after the deadline.
        wrong: Whether a part was missing, repeated or of another request.
        refusal: Refusal, if the request was refused.
        first_ms: Time from arrival to the first token, if there was one.
        entry: Name of the entry that it was sent to, empty if there was none.
        sent_ms: When it was sent, on the virtual clock.
        tokens: Number of tokens that the caller received.
        failure: Why it got neither an answer nor a refusal: ``no-entry`` or
            ``entry-killed``; else empty.
    """

    arrival: dict[str, Any]
    request_id: str
    deadline_ms: int
    ended_ms: float = 0.0
    complete: bool = False
    late: bool = False
    wrong: bool = False
    refusal: Refusal | None = None
    first_ms: float | None = None
    entry: str = ""
    sent_ms: float = 0.0
    tokens: int = 0
    failure: str = ""

    @property
    def deadline_at_ms(self) -> int:
        """When the deadline ends, on the virtual clock."""
        arrives_at_ms: int = self.arrival["at"]
        return arrives_at_ms + self.deadline_ms


class ReportBuilder:
    """Builds the report of a replay.

    Args:
        outcomes: Result of each arrival.
        gaps: Number of gaps between tokens by their length in milliseconds.
        targets: Targets with their counters.
        counts: Counts of attempts for each entry.
    """

    def __init__(
        self,
        outcomes: list[Outcome],
        gaps: Counter[int],
        targets: Sequence[EmulatedTarget],
        counts: Sequence[Counter[str]],
    ):
        self.outcomes = outcomes
        self.gaps = gaps
        self.targets = targets
        self.counts = counts

    def build(self, stated: dict[str, Any]) -> ReplayReport:
        """Return the report, with the stated outcomes that do not hold."""
        report = ReplayReport(requests=len(self.outcomes))
        refusals: Counter[str] = Counter()
        goodput: Counter[int] = Counter()
        for outcome in self.outcomes:
            report.complete += outcome.complete
            report.late += outcome.late
            report.wrong += outcome.wrong
            if outcome.refusal is not None:
                refusal = outcome.refusal
                refusals[f"{refusal.reason.value}/{refusal.verdict.value}"] += 1
            elif not (outcome.complete or outcome.late or outcome.wrong):
                report.lost += 1
            if outcome.complete and "pipeline" in outcome.arrival:
                goodput[int(outcome.ended_ms) // MS_PER_SECOND] += 1
        targets = self.targets
        report.wrong += sum(target.mismatched_results for target in targets)
        report.goodput_by_second = dict(goodput)
        report.refusals_by_reason = dict(refusals)
        report.attainment = _attainment(self.outcomes)
        report.attainment_by_workspace = _attainment_by(
            self.outcomes, lambda a: a["workspace"]
        )
        report.attainment_by_pipeline = _attainment_by(
            self.outcomes, lambda a: a.get("pipeline") or f"{a['service']}/{a['call']}"
        )
        self._report_times(report)
        self._report_costs(report)
        self._report_orders(report)
        report.violations = _violations(report, stated)
        return report

    def _report_times(self, report: ReplayReport) -> None:
        first = [o.first_ms for o in self.outcomes if o.first_ms is not None]
        report.first_token_p50 = quantile(first, 0.5)
        report.first_token_p95 = quantile(first, 0.95)
        gaps = sorted(self.gaps.elements())
        report.gap_p50 = quantile(gaps, 0.5)
        report.gap_p95 = quantile(gaps, 0.95)
        if gaps:
            within = sum(n for gap, n in self.gaps.items() if gap <= OBJECTIVE_GAP_MS)
            report.gap_within = within / len(gaps)
        if first:
            within = sum(value <= OBJECTIVE_FIRST_TOKEN_MS for value in first)
            report.first_within = within / len(first)
        waits = [
            o.ended_ms - o.arrival["at"] for o in self.outcomes if o.refusal is not None
        ]
        report.refusal_wait_p95 = quantile(waits, 0.95)

    def _report_costs(self, report: ReplayReport) -> None:
        complete = {o.request_id: o for o in self.outcomes if o.complete}
        by_stage: defaultdict[str, float] = defaultdict(float)
        time_by_stage_run: dict[tuple[str, str], dict[int, float]] = defaultdict(dict)
        for target in self.targets:
            for key, duration_ms in target.engine_ms_by_attempt.items():
                request, stage, number = key
                by_stage[stage] += duration_ms
                time_by_stage_run[request, stage][number] = duration_ms
            report.tokens += sum(target.tokens_by_request.values())
        for (request, _), durations in time_by_stage_run.items():
            # A complete answer used the work of one attempt at each stage.
            used = max(durations.values()) if request in complete else 0.0
            report.wasted_ms += sum(durations.values()) - used
        targets = self.targets
        cached = sum(target.tokens_cached for target in targets)
        report.cached_share = cached / max(sum(t.tokens_in for t in targets), 1)
        streamed = [o for o in complete.values() if o.first_ms is not None]
        useful = sum(o.arrival["output"] for o in streamed)
        report.wasted_tokens = report.tokens - useful
        report.engine_ms_by_stage = dict(by_stage)
        for counts in self.counts:
            report.attempts += counts["first"]
            report.retries += counts["retry"]
            report.hedges += counts["hedge"]
            report.redirects += counts["redirect"]
        extra = report.retries + report.hedges
        report.extra_share = extra / max(report.attempts, 1)

    def _report_orders(self, report: ReplayReport) -> None:
        runs: Counter[str] = Counter()
        for target in self.targets:
            runs.update(target.runs_by_key)
        report.most_runs_of_an_order = max(runs.values(), default=0)
        for outcome in self.outcomes:
            key = outcome.arrival.get("key")
            refusal = outcome.refusal
            if key and refusal and refusal.verdict.value == "not-run" and runs[key]:
                report.false_not_run += 1


def _attainment(outcomes: list[Outcome]) -> float:
    return sum(o.complete for o in outcomes) / max(len(outcomes), 1)


def _attainment_by(
    outcomes: list[Outcome], key: Callable[[dict[str, Any]], str]
) -> dict[str, float]:
    groups: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        groups[key(outcome.arrival)].append(outcome)
    return {name: _attainment(group) for name, group in sorted(groups.items())}


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value that ``share`` of the values do not exceed, 0 without any."""
    if not values:
        return 0.0
    return sorted(values)[min(int(len(values) * share), len(values) - 1)]


def _violations(report: ReplayReport, outcomes: dict[str, Any]) -> list[str]:
    """Return a line for each stated outcome that does not hold.

    Args:
        report: Report of the replay.
        outcomes: Bounds by name of an attribute with the suffix ``_at_least`` or
            ``_at_most``; for an attribute that is a dict, a dict of bounds.
    """
    violations = []
    for key, bound in outcomes.items():
        name, _, sense = key.rpartition("_at_")
        if not hasattr(report, name) or sense not in ("least", "most"):
            violations.append(f"stated outcome {key!r} is not known")
            continue
        value = getattr(report, name)
        bounds = bound if isinstance(bound, dict) else {"": bound}
        for part, limit in bounds.items():
            found = value.get(part, 0) if part else value
            if (found < limit) if sense == "least" else (found > limit):
                label = f"{name}[{part}]" if part else name
                violations.append(f"{label} is {found}, stated at {sense} {limit}")
    return violations
