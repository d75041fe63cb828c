"""Types and interfaces that all parts of the relay share."""

__all__ = [
    "job",
    "metrics",
    "placement_messages",
    "port",
    "request_identity",
]
