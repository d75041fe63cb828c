"""Tests of the operator API."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.fake_network import FakeNetwork
from tests.test_accounts import MemoryDisk, attempt, refuse
from tests.test_fleet import DEMO
from wagtailrun.accounts.cells import Source, WorkKind
from wagtailrun.accounts.counters import Accounts
from wagtailrun.accounts.store import AccountStore
from wagtailrun.adapters.http_client import HttpReply
from wagtailrun.adapters.http_server import Request
from wagtailrun.clock import SystemClock
from wagtailrun.consensus.local_log import LocalLog
from wagtailrun.control.operator_api import OperatorApi
from wagtailrun.control.service import ControlService
from wagtailrun.exceptions import (
    ConnectFailed,
    ConsensusUnavailable,
    TargetFailed,
    Verdict,
)
from wagtailrun.logs.events import EVENT_LOG, EventLog
from wagtailrun.observation.metrics import Metrics
from wagtailrun.ports.link import Address
from wagtailrun.registry.state import Registry
from wagtailrun.virtual_time import run_virtual

CREDENTIAL = "0123456789abcdef"
MEMBERS = [Address("10.0.0.1", 7), Address("10.0.0.2", 7)]


class Members:
    """Two control members that share one registry; collects the commands sent to it."""

    def __init__(self):
        self.registry = Registry()
        log = LocalLog(self.registry)
        self.service = ControlService(SystemClock(), "control-0", self.registry, log)
        self.commands = []
        self.accounts = None
        self.unreachable = set()
        self.lose_answers = 0

    async def call_leader(self, message, timeout_ms):
        """Stand in for ``ControlClient.call_leader``."""
        self.commands.append(message)
        return await self.service.handle(message)

    def api(self):
        return OperatorApi(self.registry, self, CREDENTIAL, self.accounts)

    async def request(self, address, method, path, headers, body=b"", *, timeout_ms):
        """Stand in for ``HttpClient.request``."""
        if address in self.unreachable:
            raise ConnectFailed(f"cannot connect to {address}")
        path, _, query = path.partition("?")
        fields = {name.lower(): value for name, value in headers}
        request = Request(method, path, query, fields, body, "10.9.9.9")
        response = await self.api().handle(request)
        if self.lose_answers and method == "POST":
            self.lose_answers -= 1
            raise TargetFailed("connection silent", verdict=Verdict.MAY_HAVE_RUN)
        return HttpReply(response.status, dict(response.headers), response.body)

    async def fill_accounts(self, clock):
        """Record two refusals and two attempts."""
        self.accounts = AccountStore(clock, MemoryDisk(), "control-0")
        await self.accounts.open()
        network = FakeNetwork(clock)
        network.handlers_by_address[MEMBERS[0]] = self.accounts.handle
        link = network.link(MEMBERS[1])
        entry = Accounts(clock, link, Source("entry-0", 7), list, MEMBERS[:1], 1_000)
        await refuse(entry)
        await refuse(entry, "mill-clerks")
        attempt(entry)
        attempt(entry, work=WorkKind.RETRY)
        assert await entry.hand_over()


AUTHORIZED = {"authorization": f"Bearer {CREDENTIAL}"}
READ_FIELDS = ("period", "by", "limit", "workspace", "prefix", "stage", "work")
READS = "text orders changes status targets refusals costs requests periods audit"
PATHS = [f"/v1/{name}" for name in READS.split()]


@pytest.fixture(autouse=True)
def muted_event_log(monkeypatch):
    monkeypatch.setattr(EVENT_LOG, "write", lambda *arguments: None)


def call(members, request):
    async def main(clock):
        if members.accounts is None:
            await members.fill_accounts(clock)
        return await members.api().handle(request)

    return run_virtual(main)


def value_of(response):
    return json.loads(response.body)


def post(body, **fields):
    body = body if isinstance(body, bytes) else json.dumps(body).encode()
    return Request("POST", "/v1/text", "", AUTHORIZED | fields, body, "10.9.9.9")


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("given", ["", "Bearer ", f"bearer {CREDENTIAL}", "Bearer ü"])
def test_every_call_needs_the_credential(path, given):
    """Guards against a read or change without the credential."""
    members = Members()
    headers = {"authorization": given}
    for method in ("GET", "POST"):
        response = call(members, Request(method, path, headers=headers))
        assert response.status == 401
        assert value_of(response)["reason"] == "unauthorized"
    assert not members.commands


@pytest.mark.parametrize("path", PATHS)
def test_every_read_answers(path):
    """Guards against a read that fails, or a refusal without problem details."""
    response = call(Members(), Request("GET", path, headers=AUTHORIZED))
    if path == "/v1/targets":
        assert response.status == 503
        assert ("Content-Type", "application/problem+json") in response.headers
    else:
        assert response.status == 200


def test_refusals_and_costs_are_selected_and_summed():
    """Guards against sums of another workspace, and limits that hide the row count."""
    members = Members()

    def rows(path, query=""):
        return value_of(call(members, Request("GET", path, query, AUTHORIZED)))

    assert rows("/v1/refusals")["total_rows"] == 2
    assert rows("/v1/refusals", "workspace=stockists")["total_rows"] == 1
    limited = rows("/v1/refusals", "limit=1")
    assert (len(limited["rows"]), limited["total_rows"]) == (1, 2)
    (total,) = rows("/v1/costs", "by=")["rows"]
    parts = rows("/v1/costs", "by=work,stage")["rows"]
    assert [part["work"] for part in parts] == ["first", "retry"]
    assert sum(part["price_millionths"] for part in parts) == total["price_millionths"]
    assert rows("/v1/costs", "work=retry")["rows"][0]["calls"] == 1
    assert rows("/v1/periods")["rows"][0]["closed"] is False


def test_text_is_applied_once_for_each_change():
    """Guards against a resend that becomes a second revision."""
    members = Members()
    body = {"text": DEMO, "base_revision": 0, "change_id": "c-1", "operator": "ana"}
    for _ in range(2):
        response = call(members, post(body))
        assert (response.status, value_of(response)["revision"]) == (200, 1)
    stale = call(members, post(body | {"change_id": "c-2"}))
    assert stale.status == 409
    assert value_of(stale)["reason"] == "stale-revision"
    assert value_of(stale)["revision"] == 1
    body = {"text": "[fleet", "base_revision": 1, "change_id": "c-3"}
    bad = call(members, post(body))
    assert (bad.status, value_of(bad)["reason"]) == (422, "invalid-text")
    assert members.commands[0].source == "10.9.9.9"
    changes = value_of(
        call(members, Request("GET", "/v1/changes", "prefix=c-", AUTHORIZED))
    )
    assert [row["accepted"] for row in changes["rows"]] == [True, False, False]


@pytest.mark.parametrize("may_have_committed", [True, False])
def test_verdict_when_no_leader_answers(may_have_committed):
    """Guards against "not run" for a change that may have been accepted."""

    class NoLeader(Members):
        async def call_leader(self, message, timeout_ms):
            raise ConsensusUnavailable("none", may_have_committed=may_have_committed)

    body = {"text": DEMO, "base_revision": 0, "change_id": "c-1"}
    response = call(NoLeader(), post(body))
    expected = "may-have-run" if may_have_committed else "not-run"
    assert (response.status, value_of(response)["verdict"]) == (503, expected)
    assert "Retry-After" in dict(response.headers)


def test_audit_records_are_shown():
    """Guards against an export without some records, also those of refused changes."""
    members = Members()
    for base in (0, 7):
        body = {"text": DEMO, "base_revision": base, "change_id": f"c-{base}"}
        call(members, post(body | {"operator": "ana"}))
    request = Request("GET", "/v1/audit", headers=AUTHORIZED)
    rows = value_of(call(members, request))["rows"]
    assert [(row["who"], row["verdict"]) for row in rows] == [
        ("ana", "accepted"),
        ("ana", "refused"),
    ]
    assert rows[1]["previous"] == rows[0]["digest"]


def test_metrics_and_health_need_no_credential():
    """Guards against health checks and metrics that require the credential."""
    members = Members()
    metrics = Metrics(EventLog(lambda *arguments: None))
    api = OperatorApi(members.registry, members, CREDENTIAL, metrics=metrics)

    async def main(clock):
        texts = [await api.handle(Request("GET", p)) for p in ("/metrics", "/healthz")]
        return [response.status for response in texts]

    assert run_virtual(main) == [200, 200]


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=10),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=8,
)
names = ["text", "base_revision", "change_id", "operator", "other"]
bodies = st.one_of(
    st.binary(max_size=50),
    json_values.map(lambda value: json.dumps(value).encode()),
    st.dictionaries(st.sampled_from(names), json_values | st.just("\ud800")).map(
        lambda value: json.dumps(value).encode()
    ),
)
latin = st.text(st.characters(max_codepoint=255), max_size=40)
fields = st.sampled_from(
    ["period", "by", "limit", "workspace", "prefix", "stage", "work"]
)
tricky = st.sampled_from(["2026-01-01", "9999-12-31", "0", "stage,work", "%ff"])
pairs = st.tuples(fields, latin | tricky).map("=".join)
queries = latin | st.lists(pairs, max_size=4).map("&".join)


@given(
    st.sampled_from(["GET", "POST", "PUT", "DELETE", "HEAD"]),
    st.sampled_from(PATHS) | st.text(max_size=30),
    queries,
    st.sampled_from([AUTHORIZED, {}]) | st.dictionaries(st.text(), st.text()),
    bodies,
)
def test_any_input_is_answered_and_changes_nothing(method, path, query, headers, body):
    """Guards against an exception, or a change, by any malformed call."""
    members = Members()
    response = call(members, Request(method, path, query, headers, body, "10.9.9.9"))
    assert response.status in (200, 400, 401, 404, 405, 409, 422, 503)
    assert isinstance(value_of(response), dict)
    assert members.registry.revision == 0 and members.registry.text == ""
    if not (headers is AUTHORIZED and method == "POST" and path == "/v1/text"):
        assert not members.commands
