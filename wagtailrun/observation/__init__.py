"""Metrics and records of requests."""

__all__ = [
    "log_files",
    "log_gaps",
    "metrics",
    "part_report",
    "recorder",
    "restart_report",
    "restarts",
    "stage_report",
    "trace_recorder",
]
