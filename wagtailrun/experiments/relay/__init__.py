"""Relay entries in virtual time: their own code over emulated ports."""

__all__ = [
    "fleet",
    "limiting",
    "routes",
    "server",
    "wire",
    "work",
]
