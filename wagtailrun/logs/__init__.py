"""Numbered events and the lines of the log."""

__all__ = [
    "daemon_log",
    "events",
    "line_writer",
    "step_fields",
]
