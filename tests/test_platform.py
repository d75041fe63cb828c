"""Tests of the adapter of the users' platform."""

import json
import random

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from wagtail_platform.control_calls import ControlHandler, target_row_from_report
from wagtail_platform.documents import PlatformConfigurationFormat, read_document
from wagtail_platform.requests import PlatformWire
from wagtail_platform.stage_calls import _decode_replies

from wagtailrun.adapters.http_server import Request
from wagtailrun.exceptions import (
    FleetTextError,
    Refusal,
    RefusalReason,
    TargetFailed,
    Verdict,
)
from wagtailrun.registry.messages import TextVerdict
from wagtailrun.relay import AttemptContext
from wagtailrun.routes import RouteKind
from wagtailrun.stages import StagedWork
from wagtailrun.stages.port import PieceOutcome

ROUTE = {
    "name": "r",
    "host": "works.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 15000,
    "target_latency_ms": 1900,
    "priority": 1,
    "split": [{"service": "llm", "weight": 90}, {"service": "alt", "weight": 10}],
    "max_attempts": 2,
    "stages": [{"service": "board", "after": [], "bytes": 3000000}],
    "auth_exempt": False,
    "session_affinity": True,
    "stream_resume": True,
    "gap_target_ms": 250,
}
POOL = {
    "slots": 1,
    "queue": 2,
    "batch": 4,
    "call_ms": 150.0,
    "item_ms": 32.0,
    "headroom_mb": 18.0,
    "handle_s": 4.0,
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "llm", "engine": {"slots": 64, "kv_capacity_tokens": 581741}},
        {"name": "alt"},
        {"name": "board", "pieces": POOL},
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [{"name": "guild", "api_keys": ["k1"], "priority": 1}],
}


def document(**changes):
    return json.dumps({**DOCUMENT, **changes})


def test_document_is_parsed_into_routes():
    """Guards against a field that is parsed as a different one."""
    table = PlatformConfigurationFormat().routes(7, document())
    route = table.find("works.example", "/a/b")
    assert (route.kind, route.aim_ms, route.urgency) == (RouteKind.STREAM, 1900, 1)
    assert [row.weight for row in route.services] == [90, 10]
    assert (route.resumable, route.max_attempts, route.gap_ms) == (True, 2, 250)
    pool = table.services_by_name["board"].pool
    assert (pool.memory_bytes, pool.result_ms, pool.batch) == (18_000_000, 4_000, 4)
    assert table.workspaces_by_key["k1"].name == "guild"
    assert table.limits.idle_ms == 15_000
    assert table.demands_keys


@pytest.mark.parametrize(
    "text",
    [
        document()[:-20],
        document(routes=[{**ROUTE, "split": [], "service": "none"}]),
        document(routes=[ROUTE, {**ROUTE, "name": "s"}]),
        document(routes=[{**ROUTE, "split": [{"service": "llm", "weight": 0}]}]),
        document(routes=[{**ROUTE, "timeout_ms": 0}]),
        document(version="x"),
        document(version=0),
        document(routes=None),
        document(
            tenants=[
                {"name": "a", "api_keys": ["k"]},
                {"name": "b", "api_keys": ["k"]},
            ]
        ),
        document(version=2**63),
        document(services=[*DOCUMENT["services"], {"name": "x\ud800"}]),
        document(tenants=[{"name": "a\r\nb", "api_keys": ["k"]}]),
        document(routes=[{**ROUTE, "timeout_ms": float("nan")}]),
        document(routes=[{**ROUTE, "priority": float("inf")}]),
        document().replace('"version": 7', '"version": ' + "7" * 5_000),
        document(x=json.loads("[" * 100 + "]" * 100)),
        "[" * 100_000,
        "[]",
        "",
    ],
)
def test_invalid_document_is_refused(text):
    """Guards against an acknowledged document that cannot be applied."""
    with pytest.raises(FleetTextError):
        read_document(text)


@pytest.mark.parametrize("depth", [60, 200, 700, 900, 940, 960, 980, 1_000])
@pytest.mark.parametrize("field", ["version", "routes", "services", "tenants", "x"])
def test_nested_document_is_read_alike_everywhere(depth, field):
    """Guards against a document that one process accepts and another cannot read."""
    value = "[" * depth + "]" * depth
    text = document(**{field: 0}).replace(f'"{field}": 0', f'"{field}": {value}')

    def outcome(frames):
        if frames:
            return outcome(frames - 1)
        try:
            read_document(text)
        except FleetTextError:
            return "refused"
        return "read"

    expected = "read" if (field, depth) == ("x", 60) else "refused"
    assert (outcome(0), outcome(100)) == (expected, expected)


def test_large_numbers_of_a_document_are_usable():
    """Guards against accepted numbers with which every request of a route fails."""
    large = 10**400
    pool = dict.fromkeys(POOL, large)
    services = [
        {"name": "llm", "max_connections": large, "engine": {"slots": large}},
        {"name": "board", "pieces": pool},
    ]
    route = {
        **ROUTE,
        "split": [{"service": "llm", "weight": large}] * 2,
        "stages": [{"service": "board", "bytes": large}],
        **dict.fromkeys(("timeout_ms", "priority", "max_attempts"), large),
    }
    table = read_document(document(routes=[route], services=services))
    (found,) = table.routes()
    weights = [row.weight for row in found.services]
    assert random.choices(found.services, weights)
    work = StagedWork("r", found.steps, (4_096,), "k", 5, 0, 0)
    assert work.moved_bytes(0) < 2**63
    assert int(table.services_by_name["board"].pool.duration_ms(4_096)) > 0


@given(st.recursive(st.none() | st.booleans() | st.integers() | st.text(), st.lists))
def test_arbitrary_json_is_refused_without_crash(value):
    """Guards against a document that crashes a control member."""
    for text in (json.dumps(value), json.dumps({**DOCUMENT, "routes": value})):
        try:
            read_document(text)
        except FleetTextError:
            continue


REPORT = {
    "service": "llm",
    "address": "10.128.0.9:8080",
    "zone": "riverside",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq_no": 4,
    "born": 1_769_582_732_195,
}


def test_report_is_parsed_into_a_row():
    """Guards against reports with a wrong order or a wrong data centre."""
    row = target_row_from_report("i-1", REPORT)
    assert (row.name, row.data_centre, row.capacity) == ("i-1", "riverside", 64)
    assert row.recency == (1_769_582_732_195, 4)
    assert row.software_version == "v1"
    draining = target_row_from_report("i-1", {**REPORT, "state": "draining"})
    assert (draining.leaving, draining.draining) == (True, True)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"slots": "64"},
        {"seq_no": -1},
        {"born": 1.5},
        {"address": "nowhere"},
        {"service": None},
        {"zone": ""},
        {"version": None},
        {"version": 2},
        {"version": ""},
        {"version": "v" * 1_000},
    ],
)
def test_malformed_report_is_refused(change):
    """Guards against work for a target that something else announced."""
    with pytest.raises((KeyError, TypeError, ValueError)):
        target_row_from_report("i-1", {**REPORT, **change})
    with pytest.raises((KeyError, TypeError)):
        target_row_from_report("i-1", [])


@pytest.mark.parametrize(
    "change",
    [
        {"born": 1e300},
        {"born": 2**64},
        {"seq_no": 2**64},
        {"seq_no": float("inf")},
        {"slots": 10**30},
        {"slots": 2**32},
        {"zone": "\ud800"},
        {"service": "llm\udfff"},
        {"version": "\ud800"},
        {"zone": "z" * 1_000},
        {"address": "10.128.0.9\0:8080"},
        {"address": "1" * 100_000 + ":8080"},
        {"address": "10.128.0.9:\u0661"},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:70000"},
        {"address": "engine.example:8080"},
        {"address": "0.0.0.0:8080"},
        {"address": "[ff02::1]:8080"},
        {"address": "fe80::1%eth0:8080"},
    ],
)
def test_report_that_messages_cannot_carry_is_refused(change):
    """Guards against rows that no message between processes can carry."""
    hub = FakeHub()
    body = json.dumps({**REPORT, **change}).encode()
    reply = call(ControlHandler(FakeStore(), hub), "PUT", "/instances/i-1", body)
    assert (reply.status, hub.rows) == (400, [])
    assert json.loads(reply.body)["detail"]


@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_large_report_is_refused_without_parsing(method, monkeypatch):
    """Guards against a report that stops a leader for the time of a heartbeat."""
    handler = ControlHandler(FakeStore(), FakeHub())
    body = json.dumps({**REPORT, "x": list(range(9_000))}).encode()
    parsed = []
    monkeypatch.setattr(json, "loads", lambda text: parsed.append(text) or REPORT)
    assert call(handler, method, "/instances/i-1", body).status == 400
    assert parsed == []


def test_report_with_the_largest_numbers_is_accepted():
    """Guards against limits that are narrower than those of the messages."""
    change = {"born": 2**64 - 1, "seq_no": 2**64 - 1, "slots": 2**32 - 1}
    row = target_row_from_report("i-1", {**REPORT, **change})
    assert (row.capacity, row.recency) == (2**32 - 1, (2**64 - 1, 2**64 - 1))


@pytest.mark.parametrize("name", ["%ED%A0%80", "a%0D%0Ab", "%C3%A9", "a" * 2_000])
def test_target_whose_name_fits_no_header_is_refused(name):
    """Guards against targets to which no request can be sent."""
    hub = FakeHub()
    body = json.dumps(REPORT).encode()
    handler = ControlHandler(FakeStore(), hub)
    assert call(handler, "PUT", f"/instances/{name}", body).status == 400
    assert hub.rows == []


@pytest.mark.parametrize(
    "body", [b'{"born": 1e300}', b'{"born": -1}', b'{"born": 1.5}', b"[", b"[" * 9**6]
)
def test_malformed_leave_is_refused(body):
    """Guards against a row of a target that left and that no message can carry."""
    hub = FakeHub()
    reply = call(ControlHandler(FakeStore(), hub), "DELETE", "/instances/i-1", body)
    assert (reply.status, hub.left) == (400, [])


HEADERS = (
    (b"Host", b"works.example"),
    (b"Attempt-Id", b"abc"),
    (b"Deadline-Remaining", b"15000"),
    (b"Credential", b"k1"),
    (b"Tenant", b"forged"),
    (b"Hold", b"1"),
    (b"Connection", b"x-hop"),
    (b"X-Hop", b"1"),
    (b"X-Kept", b"yes"),
    (b"Token-Count", b"1460,80"),
    (b"Prompt-Prefix", b"5c:800,91:410,e4:250"),
    (b"Pieces", b"0,6"),
    (b"Piece-Key", b"pk"),
)


def request(headers=HEADERS):
    values = {n.decode().lower(): v.decode() for n, v in headers}
    return Request("POST", "/a/b", headers=values, header_pairs=headers)


def test_request_and_attempt():
    """Guards against forwarded API keys and headers that callers forge."""
    wire = PlatformWire()
    relayed = wire.parse_request(request())
    assert (relayed.request_id, relayed.key, relayed.remaining_ms) == (
        "abc",
        "k1",
        15000,
    )
    assert [part.tokens for part in relayed.parts] == [800, 410, 250]
    assert (relayed.prompt_tokens, relayed.pieces) == (1460, (0, 6))
    order = AttemptContext("i-1", "guild", 900, 1, ("10.0.0.1:80/x",), 5)
    sent = {}
    for name, value in wire.attempt_headers(relayed, order):
        text = name.decode() if isinstance(name, bytes) else name
        sent[text.lower()] = value.decode() if isinstance(value, bytes) else value
    assert sent["tenant"] == "guild"
    assert sent["deadline-remaining"] == "900"
    assert sent["expected-instance"] == "i-1"
    assert sent["inputs"] == "10.0.0.1:80/x"
    assert sent["last-event-id"] == "5"
    assert sent["x-kept"] == "yes"
    assert not sent.keys() & {"credential", "hold", "x-hop", "connection", "host"}


def test_empty_inputs_header_is_sent_if_the_route_has_stages():
    """Guards against a missing header, which engines treat as an error."""
    wire = PlatformWire()
    relayed = wire.parse_request(request())
    names = [
        n for n, _ in wire.attempt_headers(relayed, AttemptContext("i", "", 1, 1, ()))
    ]
    assert "inputs" in names
    names = [n for n, _ in wire.attempt_headers(relayed, AttemptContext("i", "", 1, 1))]
    assert "inputs" not in names


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"Deadline-Remaining", b"soon"),
        (b"Prompt-Prefix", b"x"),
        (b"Pieces", b"1,-2"),
        (b"Pieces", b"1,999999999"),
        (b"Attempt-Id", b""),
    ],
)
def test_malformed_header_is_refused(name, value):
    """Guards against a handler that crashes on malformed input."""
    headers = tuple(p for p in HEADERS if p[0] != name) + ((name, value),)
    refusal = PlatformWire().parse_request(request(headers))
    assert refusal.reason is RefusalReason.MALFORMED


def test_retry_after_is_sent_only_if_the_request_has_not_run():
    """Guards against a header that makes callers repeat a request that may have run."""
    wire = PlatformWire()
    not_run = Refusal(RefusalReason.OVERLOADED, Verdict.NOT_RUN, "", 350)
    assert ("retry-after", "0.350") in wire.refusal_headers("abc", not_run)
    may_have_run = Refusal(RefusalReason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, "", 350)
    assert wire.refusal_headers("abc", may_have_run) == (("attempt-id", "abc"),)


def test_answer_of_a_stage():
    """Guards against results that are assigned to other pieces."""
    body = json.dumps({"items": [{"handle": "h"}, {"reason": "gone"}]}).encode()
    replies = _decode_replies(body, 2)
    assert [reply.outcome for reply in replies] == [
        PieceOutcome.DONE,
        PieceOutcome.GONE,
    ]
    deep = b'{"items": ' + b"[" * 100_000
    for bad in (b"{}", b"", b'{"items": [1, 2]}', b"\xff", deep, body):
        with pytest.raises(TargetFailed):
            _decode_replies(bad, 3 if bad == body else 2)


@pytest.mark.parametrize("handle", ["\ud800", "a\r\nb", "\u00e9", "h" * 9_000, "\0"])
def test_result_whose_handle_fits_no_header_is_an_error(handle):
    """Guards against a handle that breaks the messages and requests that name it."""
    body = json.dumps({"items": [{"handle": handle}, {"handle": "h"}]}).encode()
    outcomes = [reply.outcome for reply in _decode_replies(body, 2)]
    assert outcomes == [PieceOutcome.ERROR, PieceOutcome.DONE]


class FakeStore:
    """Configuration store that records the documents put."""

    def __init__(self, outcome=None):
        self.outcome = outcome
        self.documents = []

    async def put(self, configuration, source):
        version = configuration.table.version
        self.documents.append((version, configuration.text))
        return self.outcome or TextVerdict(True, version)

    async def read(self):
        return self.outcome or "document"


class FakeHub:
    """Hub that records reports."""

    def __init__(self):
        self.rows = []
        self.left = []

    async def report(self, row, cold_ms=None):
        self.rows.append(row)

    async def leave(self, name, incarnation):
        self.left.append((name, incarnation))
        return name != "i-unknown"


def test_goodbye_of_an_unknown_target_is_not_acknowledged():
    """Guards against a target that left and is still used by the other members."""
    handler = ControlHandler(FakeStore(), FakeHub())
    assert call(handler, "DELETE", "/instances/i-unknown", b"").status == 503


def call(handler, method, path, body=b""):
    return curio.run(handler.handle, Request(method, path, body=body))


def test_calls_to_control():
    """Guards against documents and reports that are lost or acknowledged wrongly."""
    store, hub = FakeStore(), FakeHub()
    handler = ControlHandler(store, hub)
    body = document().encode()
    assert call(handler, "PUT", "/configuration", body).status == 200
    assert store.documents == [(7, document())]
    assert call(handler, "PUT", "/configuration", body[:-9]).status == 400
    assert len(store.documents) == 1
    assert call(handler, "GET", "/configuration").body == b"document"
    report = json.dumps(REPORT).encode()
    assert call(handler, "PUT", "/instances/i-1", report).status == 200
    assert call(handler, "PUT", "/instances/i-1", b"{}").status == 400
    assert call(handler, "DELETE", "/instances/i-1", b'{"born": 5}').status == 200
    assert call(handler, "DELETE", "/instances/i-1").status == 200
    assert (len(hub.rows), hub.left) == (1, [("i-1", 5), ("i-1", 0)])
    assert call(handler, "GET", "/elsewhere").status == 404


def test_member_without_quorum_answers_503():
    """Guards against answering with an outdated document instead of a refusal."""
    refusal = Refusal(RefusalReason.CONSENSUS_UNAVAILABLE, Verdict.MAY_HAVE_RUN, "x", 9)
    handler = ControlHandler(FakeStore(refusal), FakeHub())
    assert call(handler, "GET", "/configuration").status == 503
    assert call(handler, "PUT", "/configuration", document().encode()).status == 503


@pytest.mark.parametrize(
    ("count", "hint", "expected"),
    [
        (b"10,600", b"53", 53),
        (b"10,600", b"700", 600),
        (b"10", b"700", 700),
        (b"10,600", b"", 0),
        (b"10,600", b"many", 0),
        (b"10,600", b"-3", 0),
        (b"10,600", b"1,2", 0),
        (b"10,600", b"9" * 20, 0),
    ],
)
def test_length_hint_that_cannot_be_read_refuses_no_request(count, hint, expected):
    """Guards against the refusal of a request for a hint that only entries use."""
    pairs = ((b"Token-Count", count), (b"Length-Hint", hint))
    headers = [pair for pair in HEADERS if pair[0] != b"Token-Count"]
    relayed = PlatformWire().parse_request(request((*headers, *pairs)))
    assert relayed.answer_tokens == expected
    assert (b"Length-Hint", hint) in relayed.headers
