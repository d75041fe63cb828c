"""Experiments: load, faults and planned work from a file, played in virtual time."""

__all__ = [
    "reading",
    "running",
]
