"""Lookup of routes and keys, and the faults that make a table unusable."""

from collections.abc import Iterable, Iterator

import attrs

from wagtailrun.exceptions import FleetTextError
from wagtailrun.routes.model import (
    RequestLimits,
    Route,
    RoutedService,
    WorkspaceKeys,
)

__all__ = ["RouteTable", "build_route_table"]

MAX_FAULTS_REPORTED = 50


@attrs.frozen
class RouteTable:
    """Checked routes of one version of the fleet text.

    Attributes:
        version: Version of the text; 0 if it states none.
        routes_by_host: Routes of each host, the longest prefix first.
        services_by_name: Routed services.
        workspaces_by_key: Workspace that holds each key.
        limits: Limits of callers.
        demands_keys: Whether routes that are not keyless need a key.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, RoutedService]
    workspaces_by_key: dict[str, WorkspaceKeys]
    limits: RequestLimits
    demands_keys: bool

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, if there is one."""
        for route in self.routes_by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes(self) -> Iterator[Route]:
        """Yield all routes."""
        for routes in self.routes_by_host.values():
            yield from routes


def build_route_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[RoutedService],
    workspaces: Iterable[WorkspaceKeys],
    limits: RequestLimits,
    *,
    demands_keys: bool,
) -> RouteTable:
    """Check the parts of a table and return it.

    Raises:
        FleetTextError: With one line for each fault.
    """
    routes, workspaces = list(routes), list(workspaces)
    services_by_name = {service.name: service for service in services}
    faults = [*_route_faults(routes, services_by_name), *_key_faults(workspaces)]
    if faults:
        raise FleetTextError(faults[:MAX_FAULTS_REPORTED])
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for rows in by_host.values():
        rows.sort(key=lambda route: -len(route.prefix))
    return RouteTable(
        version=version,
        routes_by_host={host: tuple(rows) for host, rows in by_host.items()},
        services_by_name=services_by_name,
        workspaces_by_key={key: row for row in workspaces for key in row.keys},
        limits=limits,
        demands_keys=demands_keys,
    )


def _route_faults(
    routes: list[Route], services_by_name: dict[str, RoutedService]
) -> Iterator[str]:
    places: dict[tuple[str, str], str] = {}
    for route in routes:
        where = f"routes.{route.name}"
        if route.timeout_ms <= 0:
            yield f"{where}.timeout_ms: it is 0; give the longest wait"
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield f"{where}.prefix: {route.prefix!r} must begin and end with '/'"
        place = (route.host.lower(), route.prefix)
        if place in places:
            yield f"{where}: host and prefix are those of {places[place]!r}"
        places[place] = route.name
        if any(row.weight < 0 for row in route.services):
            yield f"{where}.services: a weight is negative"
        if sum(row.weight for row in route.services) <= 0:
            yield f"{where}.services: the weights add up to 0"
        named = [row.service for row in route.services]
        for service in [*named, *(step.service for step in route.steps)]:
            if service not in services_by_name:
                yield f"{where}: {service!r} is no service; add it"
        yield from _step_faults(where, route, services_by_name)


def _step_faults(
    where: str, route: Route, services_by_name: dict[str, RoutedService]
) -> Iterator[str]:
    for number, step in enumerate(route.steps):
        if any(not 0 <= other < number for other in step.after):
            yield f"{where}.steps[{number}].after: name earlier steps only"
        service = services_by_name.get(step.service)
        if service is not None and service.pool is None:
            yield f"{where}.steps[{number}]: {step.service!r} runs no stages"


def _key_faults(workspaces: list[WorkspaceKeys]) -> Iterator[str]:
    holders: dict[str, str] = {}
    for workspace in workspaces:
        for key in workspace.keys:
            holder = holders.setdefault(key, workspace.name)
            if holder != workspace.name:
                # The key itself is a secret and stays out of the message.
                yield f"workspaces.{workspace.name}: a key is also one of {holder!r}"
