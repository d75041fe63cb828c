"""The ``relay`` table of the fleet text."""

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
class _Document:
    """The ``relay`` table as it is written."""

    version: int = 0
    demands_keys: bool = True
    limits: RequestLimits = RequestLimits()
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    workspaces: tuple[WorkspaceKeys, ...] = ()


CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def route_table_from_document(document: dict[str, Any]) -> RouteTable:
    """Return the checked table of a parsed ``relay`` table.

    Raises:
        FleetTextError: With one line for each fault.
    """
    try:
        value = CONVERTER.structure(document, _Document)
    except cattrs.BaseValidationError as error:
        lines = cattrs.transform_error(error, path="relay")
        raise FleetTextError([f"{line}; correct it" for line in lines]) from error
    return build_route_table(
        value.version,
        value.routes,
        value.services,
        value.workspaces,
        value.limits,
        demands_keys=value.demands_keys,
    )
