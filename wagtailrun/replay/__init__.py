"""Replay of recorded traces in virtual time."""

__all__ = [
    "player",
]
