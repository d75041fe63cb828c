"""Prometheus metrics of the relay."""

from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, Metric, generate_latest
from prometheus_client.core import SummaryMetricFamily

from wagtailrun.exceptions import RefusalReason
from wagtailrun.logs.events import EVENT_LOG
from wagtailrun.observation.metrics import memory_families

__all__ = ["RelayMetrics"]

QUANTILES = (0.5, 0.95, 0.99)
MAX_LATENCY_MS = 600_000
# Each histogram takes 17 KB; there is one for each kind of route and outcome.
SIGNIFICANT_DIGITS = 2


class RelayMetrics:
    """Metrics of one relay process; label values never come from callers."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.latencies_by_label: dict[tuple[str, str], HdrHistogram] = {}
        self.sums_by_label: dict[tuple[str, str], int] = {}
        self.requests = Counter(
            "wagtailrun_relay_requests",
            "Requests by outcome and kind of route.",
            ["outcome", "kind"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "wagtailrun_relay_refusals",
            "Refused requests by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.registry.register(self)

    def add_gauge(self, name: str, meaning: str, value: Callable[[], float]) -> None:
        """Export a value that is read on each request of the metrics page."""
        gauge = Gauge(f"wagtailrun_{name}", meaning, registry=self.registry)
        gauge.set_function(value)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refusal."""
        self.refusals.labels(str(reason)).inc()

    def count_request(self, outcome: str, kind: str, took_ms: int) -> None:
        """Count the end of a request and its time."""
        self.requests.labels(outcome, kind).inc()
        label = (outcome, kind)
        latencies = self.latencies_by_label.get(label)
        if latencies is None:
            latencies = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
            self.latencies_by_label[label] = latencies
        latencies.record_value(max(1, min(took_ms, MAX_LATENCY_MS)))
        self.sums_by_label[label] = self.sums_by_label.get(label, 0) + took_ms

    def collect(self) -> Iterator[Metric]:
        """Yield the latencies and the counts of log events."""
        family = SummaryMetricFamily(
            "wagtailrun_relay_latency_ms",
            "Time from the request to its end.",
            labels=["outcome", "kind"],
        )
        for label, latencies in self.latencies_by_label.items():
            family.add_metric(label, latencies.total_count, self.sums_by_label[label])
            for quantile in QUANTILES:
                value = latencies.get_value_at_percentile(100 * quantile)
                labels = {"outcome": label[0], "kind": label[1]}
                labels["quantile"] = str(quantile)
                family.add_sample(f"{family.name}", labels, value)
        yield family
        counts = SummaryMetricFamily(
            "wagtailrun_events", "Log events by number.", labels=["number"]
        )
        for number, count in EVENT_LOG.counts_by_number.items():
            counts.add_metric([str(number)], count, 0)
        yield counts
        yield from memory_families()

    def render(self) -> bytes:
        """Return the page in the Prometheus text format."""
        return generate_latest(self.registry)
