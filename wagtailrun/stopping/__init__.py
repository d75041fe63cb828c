"""Planned stop of a daemon."""

__all__ = ["running_requests", "signalled_drain", "signals"]
