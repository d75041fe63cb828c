"""Limits of an HTTP server."""

import attrs

__all__ = ["ServerLimits"]


@attrs.frozen
class ServerLimits:
    """Limits on the size and duration of requests.

    Attributes:
        header_bytes: Largest request head, in bytes.
        body_bytes: Largest request body, in bytes.
        header_ms: Time limit for receiving a request head, in milliseconds.
        idle_ms: Time limit for an idle connection, in milliseconds.
    """

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int
