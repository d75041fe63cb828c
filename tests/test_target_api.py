"""Tests of the target API."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.gossip_cluster import FLEET_TEXT
from wagtailrun.adapters.http_server import Request
from wagtailrun.fleet.model import parse_fleet_text
from wagtailrun.serving.target_api import TargetApi
from wagtailrun.targets.table import Membership
from wagtailrun.virtual_time import VirtualClock, run_virtual

BODY = {
    "name": "t",
    "address": "10.0.0.1:80",
    "service": "engines",
    "role": "decode",
    "data_centre": "east",
    "capacity": 4,
    "incarnation": 1_767_225_600_000,
    "sequence": 3,
    "load": {"running": 1, "queued": 2, "report_age_ms": 30},
    "cache_events": {"first": 1, "last": 2, "prefixes": ["a1"]},
    "checks_fencing": True,
}


def send(body, path="/v1/targets/announce", method="POST", api=None, text=FLEET_TEXT):
    """Return status and JSON of the answer, and the API that gave it."""
    fleet = parse_fleet_text(text) if text else None
    clock = VirtualClock()
    api = api or TargetApi(clock, Membership(), lambda: fleet)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()

    async def main(_):
        return await api.handle(Request(method, path, body=data))

    answer = run_virtual(main, clock=clock)
    return answer.status, json.loads(answer.body), api


def test_announcement_and_goodbye_are_kept():
    """Guards against fields of an announcement that get lost."""
    status, value, api = send(BODY)
    assert (status, value["used"], value["newest"]) == (200, True, True)
    row = api.membership.targets_by_name["t"]
    assert (row.role, row.report_age_ms, row.cache_last) == ("decode", 30, 2)
    assert (row.cache_prefixes, row.checks_fencing) == (("a1",), True)
    send(BODY | {"sequence": 4}, "/v1/targets/goodbye", api=api)
    assert api.membership.usable("engines", 0) == []
    _, value, _ = send(BODY | {"sequence": 5}, api=api)
    assert value["known"]["leaving"] and not value["newest"]


@pytest.mark.parametrize(
    ("service", "text", "detail"),
    [
        ("motors", FLEET_TEXT, "not in the fleet configuration"),
        ("engines", "", "not received the fleet configuration"),
    ],
)
def test_unused_service_is_accepted_and_said(service, text, detail):
    """Guards against a target that is not told that no entry uses it."""
    status, value, _ = send(BODY | {"service": service}, text=text)
    assert status == 200 and not value["used"] and detail in value["detail"]


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"name": ""}, "name"),
        ({"name": "a\nb"}, "name"),
        ({"address": 5}, "address"),
        ({"address": "10.0.0.1:0"}, "address"),
        ({"service": None}, "service is missing"),
        ({"capacity": 0}, "capacity"),
        ({"capacity": 10**9}, "capacity"),
        ({"sequence": True}, "sequence"),
        ({"sequence": -1}, "sequence"),
        ({"sequence": 1.5}, "sequence"),
        ({"incarnation": 2**63}, "incarnation"),
        ({"incarnation": 1_767_225_600_000 + 90_000_000}, "future"),
        ({"incarnation": (1_767_225_600_000 + 90_000_000) * 10**6}, "future"),
        ({"load": []}, "load"),
        ({"load": {"queued": "2"}}, "queued"),
        ({"load": {"report_age_ms": 10**9}}, "report_age_ms"),
        ({"cache_events": {"first": 3, "last": 2}}, "cache_events.first"),
        ({"cache_events": {"prefixes": "a"}}, "prefixes"),
        ({"checks_fencing": "yes"}, "checks_fencing"),
    ],
)
def test_bad_field_is_refused_by_name(change, word):
    """Guards against an invalid field that is accepted, or refused without its name."""
    status, value, api = send(BODY | change)
    assert status == 400 and word in value["detail"]
    assert value["verdict"] == "not-run" and not api.membership.targets_by_name


@pytest.mark.parametrize("body", [b"", b"[]", b"\xff", b"[" * 100_000])
def test_body_that_is_no_object_is_refused(body):
    """Guards against a handler that raises on malformed bodies."""
    assert send(body)[0] == 400


def test_wrong_path_and_method():
    """Guards against success for unknown paths and methods."""
    assert send(BODY, path="/v1/targets/other")[0] == 404
    assert send(BODY, method="GET")[0] == 405


@given(
    st.dictionaries(
        st.sampled_from(sorted(BODY)) | st.text(max_size=6),
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text(max_size=12)
        | st.dictionaries(st.sampled_from(["running", "first", "prefixes"]), st.text())
        | st.lists(st.integers(), max_size=2),
        max_size=4,
    )
)
def test_any_announcement_is_kept_or_explained(changes):
    """Guards against an exception, or a partly stored row, on any announcement."""
    status, value, api = send(BODY | changes)
    kept = bool(api.membership.targets_by_name)
    assert (status == 200) == kept
    assert kept or (status == 400 and value["verdict"] == "not-run")
