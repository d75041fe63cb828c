"""How entries and control members find each other, the targets and the text."""

from wagtailrun.discovery.hub import Hub
from wagtailrun.discovery.messages import (
    AgedEntry,
    News,
    NewsMarks,
    PollNews,
    RowsTaken,
    ShareRows,
)
from wagtailrun.discovery.view import ConfigurationFormat, FleetView

__all__ = [
    "AgedEntry",
    "FleetView",
    "Hub",
    "News",
    "NewsMarks",
    "PollNews",
    "RowsTaken",
    "ShareRows",
    "ConfigurationFormat",
]
