"""Routes by host and path prefix, API keys of workspaces, and their validation."""

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
from wagtailrun.routes.table import RouteTable, build_route_table, cold_per_s

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
    "cold_per_s",
    "route_table_from_document",
]
