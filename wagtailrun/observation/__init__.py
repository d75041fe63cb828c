"""Metrics and records of requests."""

__all__ = [
    "log_files",
    "metrics",
    "recorder",
    "trace_recorder",
]
