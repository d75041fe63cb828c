"""Exchange of state between entries."""

__all__ = [
    "incarnations",
    "messages",
    "node",
    "peers",
    "push",
]
