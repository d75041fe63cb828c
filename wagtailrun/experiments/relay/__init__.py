"""Relay entries in virtual time: their own code over emulated ports."""

__all__ = [
    "fleet",
    "routes",
    "server",
    "wire",
    "work",
]
