"""Planned stop of a relay entry: readiness, rotation, and what still ends in time."""

__all__ = [
    "readiness",
    "rotation",
    "running_jobs",
    "stop_forecast",
]
