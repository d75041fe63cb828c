"""Tests of routes, API keys and their validation."""

import attrs
import pytest

from wagtailrun.discovery.fleet_text import FleetTextFormat
from wagtailrun.exceptions import FleetTextError
from wagtailrun.fleet.model import parse_fleet_text
from wagtailrun.routes import (
    RequestLimits,
    Route,
    RoutedService,
    RouteKind,
    StageCapacity,
    StageStep,
    WeightedService,
    WorkspaceKeys,
    build_route_table,
)

PLAIN = RoutedService("desk")
STAGE = RoutedService("stage", pool=StageCapacity(batch=4))


def route(name="r", host="h", prefix="/a/", **options):
    values = {
        "kind": RouteKind.IDEMPOTENT,
        "services": (WeightedService("desk"),),
        "timeout_ms": 1_000,
    }
    return Route(name, host, prefix, **{**values, **options})


def table(*routes, workspaces=(), services=(PLAIN, STAGE)):
    return build_route_table(
        1, routes, services, workspaces, RequestLimits(), demands_keys=True
    )


def test_longest_prefix_of_the_host_is_chosen():
    """Guards against requests that are relayed by the route of a shorter prefix."""
    found = table(
        route("short", prefix="/a/"),
        route("long", prefix="/a/b/"),
        route("other", host="i", prefix="/a/b/c/"),
    )
    assert found.find("h", "/a/b/c/x").name == "long"
    assert found.find("H:80", "/a/x").name == "short"
    assert found.find("h", "/ab/x") is None
    assert found.find("g", "/a/x") is None


@pytest.mark.parametrize(
    ("routes", "word"),
    [
        ([route(services=(WeightedService("none"),))], "no service"),
        ([route("r"), route("s")], "are those of 'r'"),
        ([route(services=(WeightedService("desk", 0),))], "add up to 0"),
        ([route(timeout_ms=0)], "timeout_ms"),
        ([route(prefix="/a")], "begin and end"),
        ([route(steps=(StageStep("desk"),))], "runs no stages"),
        ([route(steps=(StageStep("stage", after=(0,)),))], "earlier steps"),
    ],
)
def test_invalid_routes_are_refused(routes, word):
    """Guards against applying an inconsistent fleet configuration."""
    with pytest.raises(FleetTextError, match=word):
        table(*routes)


def test_shared_key_is_refused_without_showing_it():
    """Guards against requests that run for another workspace, and a leaked key."""
    holders = [WorkspaceKeys("a", ("s3cret",)), WorkspaceKeys("b", ("s3cret",))]
    with pytest.raises(FleetTextError) as caught:
        table(route(), workspaces=holders)
    assert "s3cret" not in str(caught.value)


def test_first_event_timeout_is_the_longest_of_its_bounds():
    """Guards against stages that run for a caller that has abandoned the stream."""
    stream = route(kind=RouteKind.STREAM, timeout_ms=12_000, aim_ms=920, gap_ms=250)
    assert stream.first_event_timeout_ms == 3_680
    assert attrs.evolve(stream, aim_ms=100).first_event_timeout_ms == 2_000
    assert attrs.evolve(stream, gap_ms=1_000).first_event_timeout_ms == 8_000
    assert route().first_event_timeout_ms == 1_000


TEXT = """
[fleet]
name = "works"
data_centres = ["riverside"]
[relay]
version = 7
[[relay.services]]
name = "llm"
engine = {slots = 64}
[[relay.services]]
name = "board"
pool = {batch = 4, call_ms = 150.0, item_ms = 32.0}
[[relay.routes]]
name = "dossier"
host = "works.example"
prefix = "/dossier/"
kind = "stream"
services = [{service = "llm", weight = 90}]
timeout_ms = 15000
steps = [{service = "board"}, {service = "board", after = [0]}]
[[relay.workspaces]]
name = "guild"
keys = ["k1", "k2"]
"""


def test_fleet_text_states_routes_keys_and_stages():
    """Guards against features that only the platform's document can configure."""
    relay = parse_fleet_text(TEXT).relay
    found = relay.find("works.example", "/dossier/1")
    assert (relay.version, found.steps[1].after) == (7, (0,))
    assert relay.services_by_name["board"].pool.duration_ms(4) == 278.0
    assert relay.workspaces_by_key["k2"].name == "guild"
    with pytest.raises(FleetTextError, match="relay"):
        parse_fleet_text(TEXT.replace("timeout_ms", "time_ms"))


def test_entries_read_the_fleet_text():
    """Guards against a relay that only the platform's document can configure."""
    assert FleetTextFormat().routes(9, TEXT).version == 9
    with pytest.raises(FleetTextError, match="missing"):
        FleetTextFormat().routes(9, TEXT.partition("[relay]")[0])
