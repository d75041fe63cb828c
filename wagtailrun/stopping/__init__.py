"""Planned stop of a daemon: signals, times, and the order of its end."""

__all__ = [
    "entry_stop",
    "member_stop",
    "plan",
    "planned_stop",
    "running_requests",
    "signalled_drain",
    "signals",
]
