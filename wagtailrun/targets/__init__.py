"""Known targets, and the policies that choose among them."""

__all__ = [
    "affinity",
    "attempt_ends",
    "attempt_observer",
    "decisions",
    "estimates",
    "filters",
    "health",
    "lowered_shares",
    "path_hints",
    "paths",
    "pauses",
    "retries",
    "router",
    "router_options",
    "routing",
    "silence",
    "subset",
    "table",
    "work",
]
