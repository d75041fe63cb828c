"""Command line."""

__all__ = [
    "commands",
]
