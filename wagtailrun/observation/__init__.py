"""Metrics and records of requests."""

__all__ = [
    "metrics",
    "recorder",
    "trace_recorder",
]
