"""Counters, gauges and latencies of a process in the Prometheus text format.

Label values come from fixed sets or from the fleet configuration, never from callers.
No label has a value for each workspace: with 5,200 workspaces, every entry would export
hundreds of thousands of series.
"""

from collections.abc import Iterable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import GaugeMetricFamily, SummaryMetricFamily

from wagtailrun.accounts.cells import Measure, RequestOutcome, Usage, WorkKind
from wagtailrun.exceptions import RefusalReason
from wagtailrun.fleet.model import Price
from wagtailrun.logs.events import EVENT_LOG, EVENTS_BY_NUMBER, EventLog
from wagtailrun.process.memory_budget import PROCESS_MEMORY, Kind

__all__ = ["CONTENT_TYPE", "Metrics", "memory_families"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Pipelines, services and stages beyond this number share one label value, so that the
# page stays below about 1 MB.
MAX_NAMES = 64
OTHER_NAME = "other"
QUANTILES = (0.5, 0.95, 0.99, 0.999)
MAX_LATENCY_MS = 3_600_000
# A histogram takes 17 KB, so two for each name take at most 2 MB.
SIGNIFICANT_DIGITS = 2


def memory_families() -> Iterator[GaugeMetricFamily]:
    """Yield the bytes that the process holds for requests, and their budget."""
    held = GaugeMetricFamily(
        "wagtailrun_held_bytes", "Bytes held for requests, by holder.", labels=["kind"]
    )
    refusals = GaugeMetricFamily(
        "wagtailrun_memory_refusals",
        "Holders that were refused bytes since the start.",
        labels=["kind"],
    )
    for kind in Kind:
        held.add_metric([str(kind)], PROCESS_MEMORY.held_by_kind[kind])
        refusals.add_metric([str(kind)], PROCESS_MEMORY.refusals_by_kind[kind])
    yield held
    yield refusals
    yield GaugeMetricFamily(
        "wagtailrun_memory_budget_bytes",
        "Largest sum of the bytes held.",
        value=PROCESS_MEMORY.limit_bytes,
    )


class Metrics:
    """Metrics of one process.

    Args:
        events: Event log whose counts are exported.
    """

    def __init__(self, events: EventLog = EVENT_LOG):
        self.events = events
        self.registry = CollectorRegistry()
        self.names: set[str] = set()
        self.latencies_by_label: dict[tuple[str, str], HdrHistogram] = {}
        self.sums_by_label: dict[tuple[str, str], int] = {}
        self.requests = self._counter(
            "requests", "Requests by pipeline or service, and outcome.", "of", "outcome"
        )
        self.refusals = self._counter("refusals", "Refused requests.", "reason")
        self.attempts = self._counter(
            "attempts", "Attempts at targets.", "service", "work"
        )
        self.usage = self._counter(
            "usage", "Work of targets.", "service", "work", "measure"
        )
        self.ready = self._gauge("ready", "Whether the process takes new work.")
        self.disk_full = self._gauge(
            "disk_full", "Whether a control member waits for space on its disk."
        )
        self.revision = self._gauge("revision", "Revision of the fleet text in force.")
        self.requests_in_progress = self._gauge(
            "active_requests", "Requests under way."
        )
        self.account_rows = self._gauge("account_rows", "Account rows held in memory.")
        self.mismatched_answers = self._gauge(
            "crossed_answers", "Answers to another attempt, which were dropped."
        )
        self.ignored_path_hints = self._gauge(
            "ignored_path_hints",
            "Hints of other entries, of targets without a path, that cannot be used.",
        )
        self.targets = self._gauge(
            "usable_targets", "Targets that may be given new work.", ["service"]
        )
        self.registry.register(self)

    def set_usable_targets(self, service: str, count: int) -> None:
        """Set the number of targets of a service that may be given new work."""
        self.targets.labels(self._bounded_label(service)).set(count)

    def count_request(self, of: str, outcome: RequestOutcome, duration_ms: int) -> None:
        """Count a request that ended, of the pipeline or service ``of``."""
        of = self._bounded_label(of)
        self.requests.labels(of, outcome.value).inc()
        self.observe_latency("request", of, duration_ms)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refusal."""
        self.refusals.labels(reason.value).inc()

    def count_attempt(
        self, service: str, work: WorkKind, usage: Usage, duration_ms: int
    ) -> None:
        """Count an attempt that ended."""
        service = self._bounded_label(service)
        self.attempts.labels(service, work.value).inc()
        for measure, amount in zip(Measure, usage.amounts(Price()), strict=True):
            if amount and measure not in (Measure.CALLS, Measure.PRICE_MILLIONTHS):
                self.usage.labels(service, work.value, measure.value).inc(amount)
        self.observe_latency("attempt", service, duration_ms)

    def observe_latency(self, kind: str, of: str, duration_ms: int) -> None:
        """Record a latency.

        Args:
            kind: ``"request"``, ``"attempt"`` or ``"first-token"``.
            of: Pipeline or service.
            duration_ms: Latency in milliseconds.
        """
        label = (kind, self._bounded_label(of))
        histogram = self.latencies_by_label.get(label)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
            self.latencies_by_label[label] = histogram
        value = min(max(duration_ms, 1), MAX_LATENCY_MS)
        histogram.record_value(value)
        self.sums_by_label[label] = self.sums_by_label.get(label, 0) + value

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def collect(self) -> Iterator[SummaryMetricFamily | GaugeMetricFamily]:
        """Yield latencies and event counts; called by ``prometheus_client``."""
        summary = SummaryMetricFamily(
            "wagtailrun_latency_ms", "Latencies, count and sum.", labels=("kind", "of")
        )
        quantiles = GaugeMetricFamily(
            "wagtailrun_latency_quantile_ms",
            "Latencies at quantiles since the process started.",
            labels=("kind", "of", "quantile"),
        )
        for label, histogram in sorted(self.latencies_by_label.items()):
            count = histogram.get_total_count()
            summary.add_metric(label, count, self.sums_by_label[label])
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile * 100)
                quantiles.add_metric((*label, str(quantile)), value)
        yield summary
        yield quantiles
        events = GaugeMetricFamily(
            "wagtailrun_events",
            "Events since the start, with suppressed ones.",
            labels=("number",),
        )
        for number in sorted(EVENTS_BY_NUMBER):
            events.add_metric(
                (str(number),), self.events.counts_by_number.get(number, 0)
            )
        yield events
        yield from memory_families()

    def _bounded_label(self, name: str) -> str:
        """Return ``name`` as label value, or ``"other"`` once too many are in use."""
        if name in self.names:
            return name
        if len(self.names) >= MAX_NAMES:
            return OTHER_NAME
        self.names.add(name)
        return name

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"wagtailrun_{name}", help_text, labels, registry=self.registry)

    def _gauge(self, name: str, help_text: str, labels: Iterable[str] = ()) -> Gauge:
        return Gauge(f"wagtailrun_{name}", help_text, labels, registry=self.registry)
