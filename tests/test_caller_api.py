"""Tests of the caller API, without sockets."""

import json
from collections import Counter
from pathlib import Path

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.fake_targets import FakeTargets
from wagtailrun.accounts.cells import Source
from wagtailrun.accounts.counters import Accounts
from wagtailrun.adapters.http_server import Request
from wagtailrun.fleet.model import parse_fleet_text
from wagtailrun.observation.metrics import Metrics
from wagtailrun.observation.recorder import Recorder
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Token
from wagtailrun.registry.client import ControlClient
from wagtailrun.serving.caller_api import CallerApi, stream_events
from wagtailrun.serving.dispatch import Dispatcher
from wagtailrun.serving.orders import OrderRunner
from wagtailrun.serving.pipeline import PipelineRunner
from wagtailrun.serving.retry_times import MIN_RETRY_AFTER_MS
from wagtailrun.targets.routing import LeastLoadedRouter
from wagtailrun.targets.table import Membership, TargetRow
from wagtailrun.virtual_time import run_virtual

FLEET = parse_fleet_text(
    (Path(__file__).parent.parent / "demo" / "fleet.toml").read_text("utf-8")
)
PIPELINE = "/v1/pipelines/stockist-query"
ORDER = "/v1/services/dispatch-desk/book-dispatch"
# Answered for operators, not for a workspace.
UNCOUNTED_PATHS = ("/healthz", "/readyz", "/metrics")


def make_recorder(clock, fleet):
    accounts = Accounts(clock, None, Source("entry", 1), lambda: [], [], 1_000)
    return Recorder(clock, accounts, Metrics(), lambda: fleet)


def recorded_sums(targets):
    """Return the recorded sum of each outcome and refusal reason."""
    sums = Counter()
    for _, column, value in targets.recorder.accounts.table.cells():
        sums[column.measure] += value
    return sums


def make_api(clock, targets, fleet=FLEET):
    """Return a caller API whose requests go to fake targets."""
    membership = Membership()
    for port, service in enumerate(FLEET.services_by_name, 1):
        address = Address("127.0.0.1", port)
        membership.put(TargetRow(service, address, service, "east", 8), 0)
    router = LeastLoadedRouter()
    dispatcher = Dispatcher(clock, membership, targets, router, seed=1)
    return CallerApi(
        clock,
        lambda: fleet,
        PipelineRunner(clock, dispatcher),
        dispatcher,
        OrderRunner(clock, ControlClient(clock, None, []), dispatcher, "entry", 1),
        lambda: "" if fleet is not None else "no fleet configuration",
        make_recorder(clock, fleet),
    )


def respond(request, fleet=FLEET, **faults):
    """Return the response to ``request``, its body, and the fake targets."""

    async def main(clock):
        targets = FakeTargets(clock, **faults)
        api = make_api(clock, targets, fleet)
        targets.recorder = api.recorder
        response = await api.handle(request)
        if isinstance(response.body, bytes):
            return response, response.body, targets
        return response, b"".join([piece async for piece in response.body]), targets

    return run_virtual(main)


def request(path, body=b'{"prompt": "a"}', **headers):
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return Request(
        "POST", path, "", {"wagtailrun-workspace": "stockists"} | names, body
    )


@given(
    st.sampled_from([PIPELINE, ORDER, "/v1/pipelines/", "/v1/services/a/b"])
    | st.text(),
    st.binary(max_size=50)
    | st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=8),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=8), inner),
    ).map(lambda value: json.dumps(value).encode()),
    st.dictionaries(
        st.sampled_from(
            ["wagtailrun-deadline-ms", "idempotency-key", "wagtailrun-workspace"]
        ),
        st.text(max_size=12) | st.sampled_from(["1", "٣", "stockists", "1e3"]),
    ),
)
def test_any_request_is_answered(path, body, headers):
    """Guards against an exception, and a refusal without verdict, on any input."""
    response, data, targets = respond(
        Request("POST", path, "", {"wagtailrun-workspace": "stockists"} | headers, body)
    )
    if response.status >= 400 or b"event: error" in data:
        problem = json.loads(data.partition(b"event: error\ndata: ")[2] or data)
        assert problem["status"] == response.status
        if problem["verdict"] == "not-run":
            assert not targets.runs
        assert recorded_sums(targets)["refused"] == 1
        assert recorded_sums(targets)[problem["reason"]] == 1
    elif path in UNCOUNTED_PATHS:
        assert not recorded_sums(targets)
        assert not targets.runs
    else:
        assert recorded_sums(targets) == {"attained": 1}


def test_failed_stream_ends_with_an_error_event():
    """Guards against a failed stream that ends like a complete one."""
    response, data, targets = respond(request(PIPELINE), broken_at=3)
    assert response.status == 200
    assert b"event: done" not in data
    assert b'event: error\ndata: {"type"' in data
    assert b'"verdict": "may-have-run"' in data
    assert recorded_sums(targets)["refused"] == 1
    assert recorded_sums(targets)["target-failed"] == 1


def retry_delays(path, count=20, **faults):
    """Return the delays that callers are told whose requests fail together."""

    async def main(clock):
        api = make_api(clock, FakeTargets(clock, **faults))
        delays = []
        for _ in range(count):
            response = await api.handle(request(path))
            data = response.body
            if not isinstance(data, bytes):
                data = b"".join([piece async for piece in data])
            problem = json.loads(data.partition(b"event: error\ndata: ")[2] or data)
            delays.append(problem["retry_after_ms"])
        return delays

    return run_virtual(main)


@pytest.mark.parametrize(
    ("path", "faults"),
    [(ORDER, {"failure": 1.0}), (PIPELINE, {"broken_at": 3})],
    ids=["refused", "stream"],
)
def test_refused_callers_come_back_later_and_not_together(path, faults):
    """Guards against callers that are told to come back after 1 ms, all at once."""
    delays = retry_delays(path, **faults)
    assert min(delays) >= MIN_RETRY_AFTER_MS
    assert len(set(delays)) > len(delays) // 3


def test_prompt_that_is_not_unicode_is_answered():
    """Guards against an encoding error on lone surrogates, which JSON allows."""
    body = json.dumps({"prompt": "\ud800" * 2_000}).encode()
    response, data, _ = respond(request(PIPELINE, body))
    assert response.status == 200
    assert b"event: done" in data


def test_order_without_a_key_is_sent_once():
    """Guards against a second run of an order whose first run has failed."""
    response, data, targets = respond(request(ORDER), failure=1.0)
    assert response.status == 502
    assert json.loads(data)["verdict"] == "may-have-run"
    assert list(targets.runs.values()) == [1]
    assert targets.attempts[0].new_connection


def test_keyed_order_without_control_members_sends_nothing():
    """Guards against "not run" for a key whose earlier attempts are unknown."""
    response, data, targets = respond(request(ORDER, idempotency_key="k"))
    problem = json.loads(data)
    assert response.status == 503
    assert problem["verdict"] == "may-have-run"
    assert problem["attempt_sent"] is False
    assert problem["retry_after_ms"] > 0
    assert not targets.runs


def test_entry_without_a_configuration_refuses():
    """Guards against serving before the entry has a fleet configuration."""
    response, data, _ = respond(request(PIPELINE), fleet=None)
    assert response.status == 503
    assert json.loads(data)["reason"] == "no-configuration"


@pytest.mark.parametrize(
    ("sent", "verdict"),
    [
        (request(PIPELINE), "not-run"),
        (request(ORDER), "not-run"),
        (request(ORDER, idempotency_key="k"), "may-have-run"),
        (
            attrs.evolve(request("/v1/orders/k"), method="GET"),
            "may-have-run",
        ),
    ],
)
def test_request_after_the_end_of_a_stop_sends_nothing(sent, verdict):
    """Guards against "may have run" for a request that came too late to be started."""

    async def main(clock):
        targets = FakeTargets(clock)
        api = make_api(clock, targets)
        api.running.ends_ms = clock.now_ms()
        await api.running.end_all()
        response = await api.handle(sent)
        return json.loads(response.body), clock.now_ms(), targets.attempts

    problem, now_ms, attempts = run_virtual(main)
    assert problem["reason"] == "draining"
    assert problem["verdict"] == verdict
    assert not problem["attempt_sent"]
    assert now_ms == 0
    assert attempts == []


def test_disconnected_caller_is_recorded_as_incomplete():
    """Guards against an aborted answer that is counted as a complete one."""

    async def main(clock):
        recorder = make_recorder(clock, FLEET)

        async def tokens():
            yield (Token(0, "a"),)
            await clock.sleep_ms(1_000)

        scope = recorder.scope("id", "stockists", pipeline="stockist-query")
        pieces = stream_events(tokens(), scope, recorder)
        await anext(pieces)
        await pieces.aclose()
        return [column.measure for _, column, _ in recorder.accounts.table.cells()]

    assert run_virtual(main) == ["incomplete"]
