"""Metrics and records of requests."""

__all__ = [
    "log_files",
    "log_gaps",
    "metrics",
    "recorder",
    "restart_report",
    "restarts",
    "stage_report",
    "trace_recorder",
]
