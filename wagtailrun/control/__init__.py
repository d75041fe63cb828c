"""Control member daemon and the interface for operators."""

__all__ = [
    "daemon",
    "founding_calls",
    "service",
    "text_watch",
]
