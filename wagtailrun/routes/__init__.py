"""Routes by host and path prefix, the keys of workspaces, and their checks."""

from wagtailrun.routes.document import route_table_from_document
from wagtailrun.routes.model import (
    EngineCapacity,
    RequestLimits,
    Route,
    RoutedService,
    RouteKind,
    StageCapacity,
    StageStep,
    WeightedService,
    WorkspaceKeys,
)
from wagtailrun.routes.table import RouteTable, build_route_table

__all__ = [
    "EngineCapacity",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RouteTable",
    "RoutedService",
    "StageCapacity",
    "StageStep",
    "WeightedService",
    "WorkspaceKeys",
    "build_route_table",
    "route_table_from_document",
]
