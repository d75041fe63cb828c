"""Parser of the ``relay`` table in the product's own fleet text (TOML)."""

from typing import Any

import attrs
import cattrs

from wagtailrun.exceptions import FleetTextError
from wagtailrun.routes.model import (
    RequestLimits,
    Route,
    RoutedService,
    WorkspaceKeys,
)
from wagtailrun.routes.table import RouteTable, build_route_table

__all__ = ["route_table_from_document"]


@attrs.frozen
class _RelayTable:
    """The ``relay`` table before validation; attributes are its TOML keys."""

    version: int = 0
    demands_keys: bool = True
    limits: RequestLimits = RequestLimits()
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    workspaces: tuple[WorkspaceKeys, ...] = ()


CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def route_table_from_document(document: dict[str, Any]) -> RouteTable:
    """Return the route table of a ``relay`` table.

    Args:
        document: The ``relay`` table as parsed from TOML.

    Raises:
        FleetTextError: If the table is invalid; has a line for each problem.
    """
    try:
        relay = CONVERTER.structure(document, _RelayTable)
    except cattrs.BaseValidationError as error:
        lines = cattrs.transform_error(error, path="relay")
        raise FleetTextError([f"{line}; correct it" for line in lines]) from error
    return build_route_table(
        relay.version,
        relay.routes,
        relay.services,
        relay.workspaces,
        relay.limits,
        demands_keys=relay.demands_keys,
    )
