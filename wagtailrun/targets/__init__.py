"""Known targets, and the policies that choose among them."""

__all__ = [
    "affinity",
    "attempt_ends",
    "attempt_observer",
    "estimates",
    "health",
    "path_hints",
    "paths",
    "retries",
    "routing",
    "subset",
    "table",
    "work",
]
