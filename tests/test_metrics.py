"""Tests of the metrics."""

from prometheus_client.parser import text_string_to_metric_families

from wagtailrun.accounts.cells import RequestOutcome, Usage, WorkKind
from wagtailrun.exceptions import RefusalReason
from wagtailrun.logs.events import HANDLER_FAILED, EventLog
from wagtailrun.observation.metrics import MAX_NAMES, Metrics


def samples_of(metrics):
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in families
        for sample in family.samples
    }


def test_text_holds_what_was_counted():
    """Guards against a value that is counted but not exported."""
    log = EventLog(lambda *arguments: None)
    log.log(HANDLER_FAILED)
    metrics = Metrics(log)
    for duration_ms in range(1, 101):
        metrics.count_request("stockist-query", RequestOutcome.ATTAINED, duration_ms)
    metrics.count_refusal(RefusalReason.OVERLOADED)
    usage = Usage(tokens_in=7, engine_ms=30)
    metrics.count_attempt("engines", WorkKind.HEDGE, usage, 40)
    metrics.revision.set(12)
    samples = samples_of(metrics)
    request = (("kind", "request"), ("of", "stockist-query"))
    assert samples["wagtailrun_latency_ms_count", request] == 100
    assert samples["wagtailrun_latency_ms_sum", request] == 5_050
    quantile = (*request, ("quantile", "0.95"))
    assert 95 <= samples["wagtailrun_latency_quantile_ms", quantile] <= 96
    assert samples["wagtailrun_refusals_total", (("reason", "overloaded"),)] == 1
    tokens = (("measure", "tokens-in"), ("service", "engines"), ("work", "hedge"))
    assert samples["wagtailrun_usage_total", tokens] == 7
    assert samples["wagtailrun_revision", ()] == 12
    assert samples["wagtailrun_events", (("number", "201"),)] == 1


def test_label_sets_are_bounded():
    """Guards against memory and pages that grow with the number of names."""
    metrics = Metrics(EventLog(lambda *arguments: None))
    for number in range(5_000):
        metrics.count_request(f"pipeline-{number}", RequestOutcome.LATE, 10)
    requests = [key for key in samples_of(metrics) if key[0].endswith("requests_total")]
    assert len(requests) == MAX_NAMES + 1
    assert len(metrics.latencies_by_label) == MAX_NAMES + 1
