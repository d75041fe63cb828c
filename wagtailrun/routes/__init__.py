"""Routes by host and path prefix, the keys of workspaces, and their checks."""

from wagtailrun.routes.document import table_from_document
from wagtailrun.routes.model import (
    EngineCapacity,
    RequestLimits,
    Route,
    RoutedService,
    RouteKind,
    StagePool,
    StageStep,
    WeightedService,
    WorkspaceKeys,
)
from wagtailrun.routes.table import RouteTable, route_table

__all__ = [
    "EngineCapacity",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RouteTable",
    "RoutedService",
    "StagePool",
    "StageStep",
    "WeightedService",
    "WorkspaceKeys",
    "route_table",
    "table_from_document",
]
