"""Exchange of state between entries."""

__all__ = [
    "messages",
    "node",
    "peers",
    "push",
]
