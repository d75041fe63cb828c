"""Known targets, and the policies that choose among them."""

__all__ = [
    "affinity",
    "estimates",
    "routing",
    "subset",
    "table",
    "work",
]
