"""Paths to targets, direct ones and those through other entries."""

__all__ = [
    "tunnel_messages",
    "tunnels",
]
