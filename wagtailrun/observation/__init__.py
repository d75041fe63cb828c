"""Metrics and records of requests."""

__all__ = [
    "log_files",
    "log_gaps",
    "metrics",
    "part_report",
    "recorder",
    "stage_report",
    "trace_recorder",
]
