"""The run of one request: its steps, attempts and streams."""

__all__ = [
    "front",
]
