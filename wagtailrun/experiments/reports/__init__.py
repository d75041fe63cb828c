"""Reports of the results of experiments."""

__all__ = [
    "command",
    "decisions",
]
