"""Replicated state of the control members, and its commands."""

__all__ = [
    "audit",
    "client",
    "engine_order_table",
    "evacuations",
    "messages",
    "order_table",
    "plan",
    "state",
]
