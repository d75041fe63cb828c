"""Known targets, and the policies that choose among them."""

__all__ = [
    "affinity",
    "attempt_ends",
    "attempt_observer",
    "estimates",
    "health",
    "paths",
    "retries",
    "routing",
    "subset",
    "table",
    "work",
]
