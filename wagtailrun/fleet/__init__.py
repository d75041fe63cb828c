"""Fleet configuration, its validation, and differences between two of them."""

__all__ = [
    "diff",
    "model",
    "tables",
]
