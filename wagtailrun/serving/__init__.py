"""Entry daemon: requests of callers, their pipelines, attempts and orders."""

__all__ = [
    "caller_api",
    "daemon",
    "dispatch",
    "orders",
    "pipeline",
]
