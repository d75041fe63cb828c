"""Lookup and validation of routes and API keys."""

import math
from collections.abc import Iterable, Iterator

import attrs

from wagtailrun.exceptions import FleetTextError
from wagtailrun.routes.model import (
    RequestLimits,
    Route,
    RoutedService,
    WorkspaceKeys,
)

__all__ = ["RouteTable", "build_route_table", "cold_per_s"]

MAX_FAULTS_REPORTED = 50


@attrs.frozen
class RouteTable:
    """Validated routes of one version of the fleet configuration.

    Attributes:
        version: Version of the configuration; 0 if it states none.
        routes_by_host: Routes of each host in lower case, the longest prefix first.
        services_by_name: Routed services.
        workspaces_by_key: Workspace of each API key.
        limits: Limits on callers.
        demands_keys: Whether requests need an API key, except on keyless routes.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, RoutedService]
    workspaces_by_key: dict[str, WorkspaceKeys]
    limits: RequestLimits
    demands_keys: bool

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, if any.

        Args:
            host: Value of a Host header, with or without port.
            path: Path of the request.
        """
        for route in self.routes_by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes(self) -> Iterator[Route]:
        """Yield all routes."""
        for routes in self.routes_by_host.values():
            yield from routes


def cold_per_s(table: RouteTable | None, service: str) -> float:
    """Return the requests a second that a cold target of a service tolerates.

    Returns:
        0 if there is no bound, or no table yet.
    """
    row = table.services_by_name.get(service) if table is not None else None
    return row.cold_per_s if row is not None else 0.0


def build_route_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[RoutedService],
    workspaces: Iterable[WorkspaceKeys],
    limits: RequestLimits,
    *,
    demands_keys: bool,
) -> RouteTable:
    """Validate routes, services and keys and return their table.

    Args:
        version: Version of the fleet configuration.
        routes: Routes; host and prefix must be unique.
        services: Services that the routes refer to.
        workspaces: API keys; a key must belong to one workspace.
        limits: Limits on callers.
        demands_keys: Whether requests need an API key, except on keyless routes.

    Raises:
        FleetTextError: If the configuration is invalid; has a line for each problem.
    """
    routes, workspaces = list(routes), list(workspaces)
    services_by_name = {service.name: service for service in services}
    faults = [
        *_route_faults(routes, services_by_name),
        *_service_faults(services_by_name),
        *_key_faults(workspaces),
    ]
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
    names_by_address: dict[tuple[str, str], str] = {}
    for route in routes:
        where = f"routes.{route.name}"
        if route.timeout_ms <= 0:
            yield f"{where}.timeout_ms: {route.timeout_ms} must be at least 1"
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield f"{where}.prefix: {route.prefix!r} must begin and end with '/'"
        address = (route.host.lower(), route.prefix)
        if address in names_by_address:
            yield (
                f"{where}: host and prefix are those of {names_by_address[address]!r}; "
                f"change one of the routes"
            )
        names_by_address[address] = route.name
        if any(row.weight < 0 for row in route.services):
            yield f"{where}.services: a weight is negative; use 0 or more"
        if sum(row.weight for row in route.services) <= 0:
            yield f"{where}.services: the weights add up to 0; raise one"
        named = [row.service for row in route.services]
        for service in [*named, *(step.service for step in route.steps)]:
            if service not in services_by_name:
                yield f"{where}: there is no service {service!r}; add it"
        yield from _step_faults(where, route, services_by_name)


def _service_faults(services_by_name: dict[str, RoutedService]) -> Iterator[str]:
    for service in services_by_name.values():
        if not 0 <= service.cold_per_s < math.inf:
            yield (
                f"services.{service.name}.cold_per_s: {service.cold_per_s} must be a "
                f"finite number of 0 or more"
            )


def _step_faults(
    where: str, route: Route, services_by_name: dict[str, RoutedService]
) -> Iterator[str]:
    for number, step in enumerate(route.steps):
        if any(not 0 <= other < number for other in step.after):
            yield f"{where}.steps[{number}].after: only earlier steps are allowed"
        service = services_by_name.get(step.service)
        if service is not None and service.pool is None:
            yield (
                f"{where}.steps[{number}]: service {step.service!r} runs no stages; "
                f"state its capacity for stages"
            )


def _key_faults(workspaces: list[WorkspaceKeys]) -> Iterator[str]:
    holders: dict[str, str] = {}
    for workspace in workspaces:
        for key in workspace.keys:
            holder = holders.setdefault(key, workspace.name)
            if holder != workspace.name:
                # The key is a secret and must not appear in the message.
                yield (
                    f"workspaces.{workspace.name}: one of its keys also belongs to "
                    f"workspace {holder!r}; remove it from one of them"
                )
