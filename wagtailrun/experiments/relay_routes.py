"""Routes that relay entries have in an experiment, and the requests that use them."""

from typing import Any

from wagtailrun.exceptions import FleetTextError
from wagtailrun.experiments.model import Load, Scenario
from wagtailrun.experiments.relay.routes import (
    HOST,
    DerivedFormat,
    ServiceCapacity,
    call_path,
    configuration_text,
    key_of,
    pipeline_path,
)
from wagtailrun.fleet.model import FleetConfiguration
from wagtailrun.routes import RouteTable

__all__ = ["path_of", "relay_table", "relay_text", "route_faults"]

CACHE_BLOCK_TOKENS = 16


def relay_text(scenario: Scenario, fleet: FleetConfiguration) -> str:
    """Return the text from which the entries of a scenario derive their routes.

    Args:
        scenario: Targets.
        fleet: Fleet configuration, that of the start or a later one.
    """
    capacities = {
        group.service: ServiceCapacity(
            group.model.capacity,
            group.model.service_ms,
            group.model.cache_blocks * CACHE_BLOCK_TOKENS,
            group.limits.cold_per_s if group.limits is not None else 0.0,
        )
        for group in scenario.targets
    }
    return configuration_text(fleet, capacities)


def relay_table(scenario: Scenario, fleet: FleetConfiguration) -> RouteTable:
    """Return the routes of a scenario's entries with a fleet configuration.

    Raises:
        FleetTextError: If the routes are not valid.
    """
    return DerivedFormat().routes(None, relay_text(scenario, fleet))


def path_of(arrival: dict[str, Any]) -> str:
    """Return the path of a request, which also is that of its route."""
    if "pipeline" in arrival:
        return pipeline_path(arrival["pipeline"])
    return call_path(arrival["service"], arrival["call"])


def route_faults(scenario: Scenario, load: Load) -> list[str]:
    """Return why requests of a load would find no route or key; empty if they do."""
    work = {"pipeline": load.pipeline} if load.pipeline else {}
    path = path_of({"service": load.service, "call": load.call, **work})
    key = key_of(load.workspace)
    faults = []
    changed = (fault.fleet for fault in scenario.faults if fault.fleet is not None)
    for fleet in (scenario.fleet, *changed):
        try:
            table = relay_table(scenario, fleet)
        except FleetTextError as error:
            faults.extend(error.faults)
            continue
        if table.find(HOST, path) is None:
            faults.append(f"add a route with host {HOST} and prefix {path}")
        if table.demands_keys and key not in table.workspaces_by_key:
            faults.append(f"add a workspace with the key {key}")
    return faults
