"""Serving system for multi-stage model pipelines."""

from wagtailrun.clock import Clock, SystemClock
from wagtailrun.exceptions import (
    FleetTextError,
    Refusal,
    RefusalReason,
    Verdict,
    WagtailrunError,
)
from wagtailrun.fleet.model import FleetConfiguration, parse_fleet_text

__all__ = [
    "Clock",
    "FleetConfiguration",
    "FleetTextError",
    "Refusal",
    "RefusalReason",
    "SystemClock",
    "Verdict",
    "WagtailrunError",
    "parse_fleet_text",
]
