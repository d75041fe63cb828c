"""Control member daemon and the interface for operators."""

__all__ = [
    "daemon",
    "service",
    "text_watch",
]
