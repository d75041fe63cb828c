"""Planned stop of a daemon."""

__all__ = ["plan", "running_requests", "signalled_drain", "signals"]
