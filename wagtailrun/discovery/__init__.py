"""Discovery of entries, control members, targets and the fleet configuration."""

from wagtailrun.discovery.cold_beliefs import ColdSource, bounded_cold_ms
from wagtailrun.discovery.configuration import Configuration, ConfigurationFormat
from wagtailrun.discovery.hub import Hub
from wagtailrun.discovery.messages import (
    AgedEntry,
    News,
    NewsMarks,
    PollNews,
    ReportLeaving,
    RowsTaken,
    ShareRows,
    StreamOrigin,
)
from wagtailrun.discovery.origin_client import OriginClient
from wagtailrun.discovery.view import FleetView

__all__ = [
    "AgedEntry",
    "ColdSource",
    "Configuration",
    "ConfigurationFormat",
    "FleetView",
    "Hub",
    "News",
    "NewsMarks",
    "OriginClient",
    "PollNews",
    "ReportLeaving",
    "RowsTaken",
    "ShareRows",
    "StreamOrigin",
    "bounded_cold_ms",
]
