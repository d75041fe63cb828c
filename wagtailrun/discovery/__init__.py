"""Discovery of entries, control members, targets and the fleet configuration.

Not exported here is ``hub.Hub``, for control members alone: with it an entry would
import the replicated log and the registry, 80 of the 450 ms of its start.
"""

from wagtailrun.discovery.cold_beliefs import ColdSource, bounded_cold_ms
from wagtailrun.discovery.configuration import Configuration, ConfigurationFormat
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
