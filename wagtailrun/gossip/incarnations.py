"""Incarnations of entries, which tell when their processes started."""

import secrets

__all__ = ["INCARNATION_TIME_SHIFT", "new_incarnation"]

# The upper bits of an incarnation are the wall time of the start, in milliseconds.
INCARNATION_TIME_SHIFT = 16


def new_incarnation(wall_ms: int) -> int:
    """Return the incarnation of a process that starts at a wall time."""
    random_bits = secrets.randbits(INCARNATION_TIME_SHIFT)
    return wall_ms << INCARNATION_TIME_SHIFT | random_bits
